//! Messages between the leader and holders, and writes to the store that are in flight.

use grebewood_wire::records::{QuotaGrantRecord, TeamAmount};

/// What the leader tells the holder of a partition.
#[derive(Clone, Debug)]
pub struct Orders {
    pub partition: usize,
    pub claim: u64,
    pub term: u64,
    pub sequence: u64,
    pub limits_revision: u64,
    pub usable: Vec<TeamAmount>,
}

/// A holder's answer to orders.
#[derive(Clone, Debug)]
pub struct Answer {
    pub partition: usize,
    pub claim: u64,
    /// Which message it answers: a call has one answer, and no other call gets it.
    pub term: u64,
    pub sequence: u64,
    pub held: Vec<TeamAmount>,
    /// Tasks placed and ended since the claim.
    pub placed: u64,
    pub ended: u64,
}

/// The leader writes a partition's quota grant.
#[derive(Clone, Debug)]
pub struct GrantWrite {
    pub partition: usize,
    pub record: QuotaGrantRecord,
    pub leader: u64,
    pub mod_revision: u64,
    /// The revision of the limits when the record was rendered, which the check needs.
    pub limits_revision: u64,
}

/// A holder writes the assignment of a task to its page.
#[derive(Clone, Copy, Debug)]
pub struct PageWrite {
    pub partition: usize,
    pub claim: u64,
    pub leader: u64,
    pub limits_revision: u64,
}

/// A write in flight.
#[derive(Clone, Debug)]
pub enum Write {
    Grant(GrantWrite),
    Page(PageWrite),
}
