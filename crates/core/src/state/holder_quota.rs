//! A holder's quota grant, and the tasks that are queued at it.

use crate::Micros;
use grebewood_quota::HolderGrant;
use grebewood_wire::peer::{PlacedTask, TaskAttempt};
use std::collections::{BTreeSet, VecDeque};

/// Most placed tasks in one report.
pub(crate) const MOST_PLACED: usize = 500;

/// A task that is to be placed.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct QueuedTask {
    /// Whether it waits for room that others leave.
    pub(crate) ahead: bool,
    pub(crate) level: u8,
    /// The order in which tasks came.
    pub(crate) number: u64,
    pub(crate) job: String,
    pub(crate) task: u64,
    /// The machine that has room for it, or will have it, as far as the leader knew.
    pub(crate) machine: String,
    pub(crate) expected: Micros,
}

/// What a holder knows of its allotment and of what it is to place.
#[derive(Clone, Debug, Default)]
pub(crate) struct HolderQuota {
    pub allotment: HolderGrant,
    /// The leader whose tasks may be placed, as long as it is on record; `None`: none has given orders, or
    /// another one may lead.
    pub term: Option<u64>,
    /// The revision of the limits under which the allotment was granted; `None`: none is in force.
    pub limits: Option<u64>,
    pub(crate) queue: BTreeSet<QueuedTask>,
    /// Number of the last task that came.
    pub(crate) came: u64,
    /// Tasks that were placed, with their numbers, until the leader knows of them.
    pub(crate) placed: VecDeque<(u64, PlacedTask)>,
    /// Number of the last of them.
    pub(crate) version: u64,
}

impl HolderQuota {
    pub(crate) fn is_queued(&self, job: &str, task: u64) -> bool {
        let mut queue = self.queue.iter();
        queue.any(|queued| queued.task == task && queued.job == job)
    }

    pub(crate) fn is_untold(&self, job: &str, task: u64) -> bool {
        let mut placed = self.placed.iter();
        placed.any(|(_, placed)| placed.task == task && placed.job == job)
    }

    pub(crate) fn note_placed(&mut self, placed: PlacedTask) {
        self.version += 1;
        self.placed.push_back((self.version, placed));
    }

    /// Whether the leader will learn only later that this attempt was placed.
    pub(crate) fn is_told_later(&self, attempt: TaskAttempt) -> bool {
        let later = self.placed.iter().skip(MOST_PLACED);
        later.into_iter().any(|(_, placed)| placed.id() == attempt)
    }
}
