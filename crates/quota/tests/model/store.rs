//! Model of the key-value store, and the checks of the invariants, which use the records alone.

use crate::model::messages::{GrantWrite, PageWrite};
use crate::model::{PARTITIONS, TASK};
use grebewood_wire::records::{QuotaGrantRecord, TeamAmount};

/// Limit of the team in the store, in tasks.
#[derive(Clone, Copy, Default)]
pub struct RecordedLimit {
    pub mod_revision: u64,
    pub tasks: u64,
}

/// Quota grant of a partition in the store.
#[derive(Clone, Default)]
pub struct RecordedGrant {
    pub record: QuotaGrantRecord,
    pub mod_revision: u64,
}

/// Content of the store.
#[derive(Default)]
pub struct Store {
    pub revision: u64,
    /// Revision of the leader's record.
    pub leader: u64,
    /// Revisions of the partitions' claims.
    pub claims: [u64; PARTITIONS],
    pub limit: RecordedLimit,
    pub grants: [RecordedGrant; PARTITIONS],
    /// Number of tasks on the pages of each holder.
    pub pages: [u64; PARTITIONS],
    /// Number of tasks on the leader's pages.
    pub leader_tasks: u64,
}

/// Converts amounts to a number of tasks.
fn tasks_in(amounts: &[TeamAmount]) -> u64 {
    let cpus = amounts.iter().map(|amount| amount.cpus);
    cpus.sum::<u64>() / TASK.cpus
}

impl Store {
    /// Increments the revision of the store and returns it.
    pub fn next_revision(&mut self) -> u64 {
        self.revision += 1;
        self.revision
    }

    /// Applies the write of a partition's quota grant if the conditions of the write hold.
    pub fn apply_grant(&mut self, write: GrantWrite) -> GrantOutcome {
        let known = &self.grants[write.partition];
        if (write.leader, write.mod_revision) != (self.leader, known.mod_revision) {
            return GrantOutcome::Refused;
        }
        let grown = tasks_in(&write.record.teams) > tasks_in(&known.record.teams);
        self.grants[write.partition] = RecordedGrant {
            record: write.record,
            mod_revision: self.next_revision(),
        };
        match grown {
            true => GrantOutcome::Grown,
            false => GrantOutcome::Written,
        }
    }

    /// Applies the write of a task's assignment to a page if the conditions of the write hold, and returns whether
    /// they did.
    pub fn apply_page(&mut self, write: &PageWrite) -> bool {
        let holds = write.claim == self.claims[write.partition]
            && write.leader == self.leader
            && write.limits_revision == self.limit.mod_revision;
        if holds {
            self.pages[write.partition] += 1;
        }
        holds
    }

    /// Checks after the start of a task that the recorded tasks do not exceed the recorded limit.
    pub fn check_start(&self) -> Result<(), String> {
        let tasks = self.leader_tasks + self.pages.iter().sum::<u64>();
        let limit = self.limit.tasks;
        match tasks <= limit {
            true => Ok(()),
            false => Err(format!("{tasks} tasks started under a limit of {limit}")),
        }
    }

    /// Checks after the growth of a grant that the grants and tasks that the next leader would read fit the limit.
    pub fn check_grants(&self) -> Result<(), String> {
        let grants = self.grants.iter();
        let granted: u64 = grants.map(|grant| tasks_in(&grant.record.teams)).sum();
        let (by_leader, limit) = (self.leader_tasks, self.limit.tasks);
        match granted + by_leader <= limit {
            true => Ok(()),
            false => Err(format!(
                "{granted} tasks granted and {by_leader} tasks of the leader under a limit of {limit}"
            )),
        }
    }
}

/// Outcome of the write of a grant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GrantOutcome {
    /// A condition of the write did not hold.
    Refused,
    /// The grant is written and is no larger than before.
    Written,
    /// The grant is written and is larger than before.
    Grown,
}
