//! What only the holder of a partition does: carry out the leader's orders, place the tasks that the leader
//! has delegated to it, and report to the leader.

pub(crate) mod orders;
pub(crate) mod placement;
pub(crate) mod report;
