//! The work that only a partition holder does: carrying out the leader's orders, placing the tasks that the leader
//! has delegated to it, and reporting to the leader.

pub(crate) mod orders;
pub(crate) mod placement;
pub(crate) mod report;
