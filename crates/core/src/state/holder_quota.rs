//! State that a partition holder keeps about its quota grant (the part of each team's limit that the leader lets it
//! use) and about the tasks that are delegated to it.

use crate::Micros;
use grebewood_quota::HolderGrant;
use grebewood_wire::peer::{PlacedTask, TaskAttempt};
use std::collections::{BTreeSet, VecDeque};

/// Maximum number of placed tasks in one report.
pub(crate) const MAX_PLACED_PER_REPORT: usize = 500;

/// A delegated task that the holder has yet to place. The order of the fields determines the order in which tasks
/// are served.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct QueuedTask {
    /// Whether the task waits for resources that other tasks will free.
    pub(crate) awaits_resources: bool,
    /// Level of the job in the leader's queue. Lower levels are served first.
    pub(crate) level: u8,
    /// Sequence number of the task in the order of arrival.
    pub(crate) arrival: u64,
    /// Id of the job.
    pub(crate) job: String,
    /// Number of the task within the job.
    pub(crate) task: u64,
    /// Machine that had or would soon have enough free resources for the task, according to the leader.
    pub(crate) machine: String,
    /// Time that the task is expected to stay on its machine, in microseconds.
    pub(crate) expected_stay: Micros,
}

/// A task that the holder has placed, with its sequence number.
#[derive(Clone, Debug)]
pub(crate) struct NumberedPlacement {
    /// Sequence number of the placement.
    pub(crate) number: u64,
    /// Task that was placed.
    pub(crate) task: PlacedTask,
}

/// State that a holder keeps about its quota grant and the tasks delegated to it.
#[derive(Clone, Debug, Default)]
pub struct HolderQuota {
    /// Amounts of each team's limit that the holder may use and that it uses.
    pub grant: HolderGrant,
    /// Fencing token of the leader whose delegated tasks this holder may place, as long as the leader record exists;
    /// `None` if no leader has sent orders with quota or if another controller may lead.
    pub leader_token: Option<u64>,
    /// The mod_revision of the limits under which the grant was made; `None` if no limits are in force.
    pub limits_revision: Option<u64>,
    /// Delegated tasks that are not placed yet.
    pub(crate) queue: BTreeSet<QueuedTask>,
    /// Arrival number of the task that was queued last.
    pub(crate) last_arrival: u64,
    /// Placed tasks that the leader has not acknowledged yet.
    pub(crate) placed: VecDeque<NumberedPlacement>,
    /// Sequence number of the last placement.
    pub(crate) last_placement: u64,
}

impl HolderQuota {
    /// Returns whether the task is in the queue.
    pub(crate) fn is_queued(&self, job: &str, task: u64) -> bool {
        let mut queue = self.queue.iter();
        queue.any(|queued| queued.task == task && queued.job == job)
    }

    /// Returns whether the task was placed and the leader has not acknowledged that yet.
    pub(crate) fn is_placed_unacknowledged(&self, job: &str, task: u64) -> bool {
        let mut placed = self.placed.iter().map(|placement| &placement.task);
        placed.any(|placed| placed.task == task && placed.job == job)
    }

    /// Records a task that was placed, for the next report to the leader.
    pub(crate) fn record_placed(&mut self, task: PlacedTask) {
        self.last_placement += 1;
        self.placed.push_back(NumberedPlacement {
            number: self.last_placement,
            task,
        });
    }

    /// Returns the placements that the next report contains.
    pub(crate) fn placements_in_report(&self) -> impl Iterator<Item = &NumberedPlacement> {
        self.placed.iter().take(MAX_PLACED_PER_REPORT)
    }

    /// Returns the placements that only a later report will contain.
    pub(crate) fn placements_in_later_reports(&self) -> impl Iterator<Item = &NumberedPlacement> {
        self.placed.iter().skip(MAX_PLACED_PER_REPORT)
    }

    /// Returns whether only a later report will tell the leader that this attempt was placed.
    pub(crate) fn is_in_later_report(&self, attempt: TaskAttempt) -> bool {
        let mut later = self.placements_in_later_reports();
        later.any(|placement| placement.task.id() == attempt)
    }
}
