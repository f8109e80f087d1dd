//! Model of a partition holder.

use crate::model::messages::{Answer, Orders, PageWrite};
use crate::model::{TASK, TEAM};
use grebewood_quota::HolderGrant;

/// Holder of one partition.
pub struct Holder {
    /// Revision of the holder's claim.
    pub claim: u64,
    /// Fencing token of the leader whose orders the holder has applied; 0: it has applied none.
    pub term: u64,
    /// Term and sequence number of the last orders that the holder has applied.
    last_orders: (u64, u64),
    /// Revision of the limits under which the quota was granted.
    limits_revision: u64,
    /// Quota grant of the partition.
    pub grant: HolderGrant,
    /// Number of tasks placed since the claim, including those found on the pages.
    pub placed: u64,
    /// Number of tasks ended since the claim.
    pub ended: u64,
}

impl Holder {
    /// Creates the holder under a new claim, with this number of tasks on its pages.
    pub fn new(claim: u64, tasks_on_pages: u64) -> Holder {
        let mut grant = HolderGrant::default();
        for _ in 0..tasks_on_pages {
            grant.reserve(TEAM, TASK);
        }
        Holder {
            claim,
            term: 0,
            last_orders: (0, 0),
            limits_revision: 0,
            grant,
            placed: tasks_on_pages,
            ended: 0,
        }
    }

    /// Applies orders and returns the answer, unless the orders are stale or not from the leader in the store.
    pub fn on_orders(&mut self, orders: &Orders, recorded_leader: u64) -> Option<Answer> {
        let number = (orders.term, orders.sequence);
        let is_stale = orders.claim != self.claim || number <= self.last_orders;
        if is_stale || orders.term != recorded_leader {
            return None;
        }
        self.last_orders = number;
        self.grant.set_granted(&orders.usable);
        self.term = orders.term;
        self.limits_revision = orders.limits_revision;
        Some(Answer {
            partition: orders.partition,
            claim: self.claim,
            term: orders.term,
            sequence: orders.sequence,
            usage_bound: self.grant.usage_bound(),
            placed: self.placed,
            ended: self.ended,
        })
    }

    /// Places a task if the grant covers it, and returns the write of the task's assignment to a page.
    pub fn place(&mut self, partition: usize) -> Option<PageWrite> {
        if self.term == 0 || !self.grant.may_use(TEAM, TASK) {
            return None;
        }
        self.grant.reserve(TEAM, TASK);
        Some(PageWrite {
            partition,
            claim: self.claim,
            leader: self.term,
            limits_revision: self.limits_revision,
        })
    }

    /// Ends a task, if any is left, and returns whether one ended.
    pub fn end_task(&mut self) -> bool {
        let has_running_tasks = self.placed > self.ended;
        if has_running_tasks {
            self.ended += 1;
            self.grant.release(TEAM, TASK);
        }
        has_running_tasks
    }
}
