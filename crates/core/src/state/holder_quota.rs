//! A holder's quota grant, and the tasks that are queued at the holder.

use crate::Micros;
use grebewood_quota::HolderGrant;
use grebewood_wire::peer::{PlacedTask, TaskAttempt};
use std::collections::{BTreeSet, VecDeque};

/// Most placed tasks in one answer to orders.
pub(crate) const MAX_PLACED_PER_ANSWER: usize = 500;

/// A task that the holder is to place. The order of the fields is the order in which tasks are served.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct QueuedTask {
    /// Whether it waits for resources that other tasks will free.
    pub(crate) awaits_resources: bool,
    /// How urgent its job is: lower numbers come first.
    pub(crate) level: u8,
    /// Its place in the order in which tasks arrived.
    pub(crate) arrival: u64,
    /// Its job.
    pub(crate) job: String,
    /// Its number within the job.
    pub(crate) task: u64,
    /// The machine that has room for it, or will have it, as far as the leader knew.
    pub(crate) machine: String,
    /// How long it is expected to run, in microseconds.
    pub(crate) expected_stay: Micros,
}

/// A task that the holder has placed.
#[derive(Clone, Debug)]
pub(crate) struct Placement {
    /// Its place in the order in which tasks were placed.
    pub(crate) number: u64,
    /// The task.
    pub(crate) task: PlacedTask,
}

/// What a holder knows of its quota grant and of the tasks that it is to place.
#[derive(Clone, Debug, Default)]
pub struct HolderQuota {
    /// What may be used of each team's limit, and what is used.
    pub grant: HolderGrant,
    /// The leader whose tasks may be placed, as long as it is on record; `None`: none has given orders, or
    /// another one may lead.
    pub term: Option<u64>,
    /// The mod_revision of the limits under which the grant was made; `None`: none are in force.
    pub limits_revision: Option<u64>,
    /// Tasks that are to be placed.
    pub(crate) queue: BTreeSet<QueuedTask>,
    /// The arrival number of the last task that was queued.
    pub(crate) last_arrival: u64,
    /// Tasks that were placed, until the leader knows of them.
    pub(crate) placed: VecDeque<Placement>,
    /// The number of the last placement.
    pub(crate) last_placement: u64,
}

impl HolderQuota {
    /// Whether the task is to be placed.
    pub(crate) fn is_queued(&self, job: &str, task: u64) -> bool {
        let mut queue = self.queue.iter();
        queue.any(|queued| queued.task == task && queued.job == job)
    }

    /// Whether the task was placed and the leader may not know it yet.
    pub(crate) fn is_placed_unacknowledged(&self, job: &str, task: u64) -> bool {
        let mut placed = self.placed.iter().map(|placement| &placement.task);
        placed.any(|placed| placed.task == task && placed.job == job)
    }

    /// Records a task that was placed, for the next answer to the leader.
    pub(crate) fn note_placed(&mut self, task: PlacedTask) {
        self.last_placement += 1;
        self.placed.push_back(Placement {
            number: self.last_placement,
            task,
        });
    }

    /// The placements that the next answer contains.
    pub(crate) fn placements_in_answer(&self) -> impl Iterator<Item = &Placement> {
        self.placed.iter().take(MAX_PLACED_PER_ANSWER)
    }

    /// The placements that only a later answer will contain.
    pub(crate) fn placements_in_later_answers(&self) -> impl Iterator<Item = &Placement> {
        self.placed.iter().skip(MAX_PLACED_PER_ANSWER)
    }

    /// Whether only a later answer will tell the leader that this attempt was placed.
    pub(crate) fn is_in_later_answer(&self, attempt: TaskAttempt) -> bool {
        let mut later = self.placements_in_later_answers();
        later.any(|placement| placement.task.id() == attempt)
    }
}
