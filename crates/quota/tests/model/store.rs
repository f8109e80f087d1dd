//! The key-value store, and the check of the invariants, which uses its records alone.

use crate::model::messages::{GrantWrite, PageWrite};
use crate::model::{PARTITIONS, TASK};
use grebewood_wire::records::{QuotaGrantRecord, TeamAmount};

/// The team's limit on record, in tasks.
#[derive(Clone, Copy, Default)]
pub struct LimitOnRecord {
    pub mod_revision: u64,
    pub tasks: u64,
}

/// A partition's quota grant on record.
#[derive(Clone, Default)]
pub struct GrantOnRecord {
    pub record: QuotaGrantRecord,
    pub mod_revision: u64,
}

/// What the store holds.
#[derive(Default)]
pub struct Store {
    pub revision: u64,
    /// The revision of the leader's record.
    pub leader: u64,
    /// The revisions of the partitions' claims.
    pub claims: [u64; PARTITIONS],
    pub limit: LimitOnRecord,
    pub grants: [GrantOnRecord; PARTITIONS],
    /// Tasks on the pages of each holder.
    pub pages: [u64; PARTITIONS],
    /// Tasks on the leader's pages.
    pub leader_tasks: u64,
}

/// An amount as a number of tasks.
fn tasks_in(amounts: &[TeamAmount]) -> u64 {
    let cpus = amounts.iter().map(|amount| amount.cpus);
    cpus.sum::<u64>() / TASK.cpus
}

impl Store {
    pub fn next_revision(&mut self) -> u64 {
        self.revision += 1;
        self.revision
    }

    /// Applies the write if its conditions hold.
    pub fn apply_grant(&mut self, write: GrantWrite) -> GrantOutcome {
        let known = &self.grants[write.partition];
        if (write.leader, write.mod_revision) != (self.leader, known.mod_revision) {
            return GrantOutcome::Refused;
        }
        let grown = tasks_in(&write.record.teams) > tasks_in(&known.record.teams);
        self.grants[write.partition] = GrantOnRecord {
            record: write.record,
            mod_revision: self.next_revision(),
        };
        match grown {
            true => GrantOutcome::Grown,
            false => GrantOutcome::Written,
        }
    }

    /// Applies the write if its conditions hold, and returns whether it did.
    pub fn apply_page(&mut self, write: &PageWrite) -> bool {
        let holds = write.claim == self.claims[write.partition]
            && write.leader == self.leader
            && write.limits_revision == self.limit.mod_revision;
        if holds {
            self.pages[write.partition] += 1;
        }
        holds
    }

    /// A task was started: no more may be on record than the limit on record.
    pub fn check_start(&self) -> Result<(), String> {
        let tasks = self.leader_tasks + self.pages.iter().sum::<u64>();
        let limit = self.limit.tasks;
        match tasks <= limit {
            true => Ok(()),
            false => Err(format!("{tasks} tasks started under a limit of {limit}")),
        }
    }

    /// A grant has grown: what the next leader reads must fit the limit.
    pub fn check_grants(&self) -> Result<(), String> {
        let grants = self.grants.iter();
        let granted: u64 = grants.map(|grant| tasks_in(&grant.record.teams)).sum();
        let (by_leader, limit) = (self.leader_tasks, self.limit.tasks);
        match granted + by_leader <= limit {
            true => Ok(()),
            false => Err(format!(
                "{granted} granted and {by_leader} of the leader, of {limit}"
            )),
        }
    }
}

/// What became of the write of a grant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GrantOutcome {
    /// A condition did not hold.
    Refused,
    /// It is on record, with no more granted than before.
    Written,
    /// It is on record, with more granted than before.
    Grown,
}
