//! The holder of a partition.

use crate::model::messages::{Answer, Orders, PageWrite};
use crate::model::{TASK, TEAM};
use grebewood_quota::HolderGrant;

pub struct Holder {
    pub claim: u64,
    /// The leader whose orders it has; 0: none yet.
    pub term: u64,
    /// Term and sequence number of the last orders.
    last_orders: (u64, u64),
    limits_revision: u64,
    pub grant: HolderGrant,
    /// Tasks placed and ended since the claim.
    pub placed: u64,
    pub ended: u64,
}

impl Holder {
    /// The holder under a new claim, with this number of tasks on its pages.
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

    /// Carries out orders, unless they are stale or not from the leader on record.
    pub fn on_orders(&mut self, orders: &Orders, leader_on_record: u64) -> Option<Answer> {
        let number = (orders.term, orders.sequence);
        let stale = orders.claim != self.claim || number <= self.last_orders;
        if stale || orders.term != leader_on_record {
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
            held: self.grant.usage_bound(),
            placed: self.placed,
            ended: self.ended,
        })
    }

    /// Places a task if the grant covers it.
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

    /// A task ends, if any is left. Whether one did.
    pub fn end_task(&mut self) -> bool {
        let running = self.placed > self.ended;
        if running {
            self.ended += 1;
            self.grant.release(TEAM, TASK);
        }
        running
    }
}
