//! Messages between the leader and partition holders, and writes to the store that are in flight.

use grebewood_wire::records::{QuotaGrantRecord, TeamAmount};

/// Orders of the leader to the holder of a partition.
#[derive(Clone, Debug)]
pub struct Orders {
    pub partition: usize,
    pub claim: u64,
    pub term: u64,
    pub sequence: u64,
    pub limits_revision: u64,
    pub usable: Vec<TeamAmount>,
}

/// Answer of a partition's holder to orders of the leader.
#[derive(Clone, Debug)]
pub struct Answer {
    pub partition: usize,
    pub claim: u64,
    /// Term and sequence number of the answered orders. A call has one answer, and no other call receives it.
    pub term: u64,
    pub sequence: u64,
    /// Largest amounts that the holder will use until it is granted more.
    pub usage_bound: Vec<TeamAmount>,
    /// Number of tasks placed since the claim.
    pub placed: u64,
    /// Number of tasks ended since the claim.
    pub ended: u64,
}

/// Write of a partition's quota grant by the leader.
#[derive(Clone, Debug)]
pub struct GrantWrite {
    pub partition: usize,
    pub record: QuotaGrantRecord,
    pub leader: u64,
    pub mod_revision: u64,
    /// Revision of the limits at the time when the record was built, for the check of the invariants.
    pub limits_revision: u64,
}

/// Write of a task's assignment to a page of the holder.
#[derive(Clone, Copy, Debug)]
pub struct PageWrite {
    pub partition: usize,
    pub claim: u64,
    pub leader: u64,
    pub limits_revision: u64,
}

/// Write in flight.
#[derive(Clone, Debug)]
pub enum Write {
    Grant(GrantWrite),
    Page(PageWrite),
}
