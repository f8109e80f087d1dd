//! The working state of a controller that looks after machines under a fenced lease: the leader, or the holder of a
//! partition.
//!
//! It is built from the key-value store once the lease is acquired, and dropped as a whole when the lease is lost.
//! Modules under `leader` run for the leader only, those under `holder` for the holder of a partition only; the others
//! run for both.

use crate::calls::{CallPurpose, SchedulerCall};
use crate::context::{Context, Role};
use crate::scheduler::store_reads::{Loading, Watch};
use crate::state::assignment_pages::AssignmentPages;
use crate::state::completed_tasks::CompletedTaskPages;
use crate::state::fleet::Fleet;
use crate::state::headroom::Headroom;
use crate::state::holder::HolderState;
use crate::state::holder_quota::HolderQuota;
use crate::state::jobs::{JobIndex, Jobs};
use crate::state::long_polls::{HeldHeartbeat, LongPolls};
use crate::state::machine::Machine;
use crate::state::placement::PlacementState;
use crate::state::quota::LeaderQuota;
use crate::state::remote_partitions::RemotePartitions;
use crate::state::stats::Stats;
use crate::state::write_buffer::WriteBuffer;
use crate::{Micros, SECOND};
use grebewood_quota::TeamAmounts;
use grebewood_wire::records::PARTITION_PREFIX;
use log::info;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

pub(crate) mod agents;
pub(crate) mod assignment_pages;
pub(crate) mod completion;
pub(crate) mod flush;
pub(crate) mod holder;
pub(crate) mod leader;
pub(crate) mod loading;
pub(crate) mod progress;
pub(crate) mod quota;
pub(crate) mod replies;
pub(crate) mod store_contact;
pub(crate) mod store_reads;
pub(crate) mod timers;
pub(crate) mod watches;
pub(crate) mod write_conditions;

/// Bits of the counter in the number of an attempt; the bits above are the fencing token under which it was given.
const ATTEMPT_BITS: u32 = 20;

/// How often changed statistics are written.
const STATS_INTERVAL: Micros = 20 * SECOND;

/// Renewals within the lease's time to live.
const RENEWALS_PER_LEASE: Micros = 4;

/// A fenced lease in the key-value store: a record that is attached to a lease and whose mod_revision fences off
/// earlier owners.
#[derive(Clone, Copy, Debug)]
pub struct FencedLease {
    /// The record's mod_revision, which is the fencing token.
    pub token: u64,
    /// The number of the lease.
    pub lease: u64,
    /// When the lease was requested, in microseconds of the steady clock.
    pub lease_requested_at: Micros,
}

/// The working state under one fenced lease. All times are microseconds of the steady clock.
///
/// The fields stand in three groups: those that the leader and holders of partitions share, those that only the leader
/// uses, and those that only a holder uses.
pub struct Scheduler {
    // Shared by the leader and by holders of partitions: the lease.
    pub(crate) role: Role,
    /// The fencing token.
    pub token: u64,
    pub(crate) lease: u64,
    /// When the lease is renewed next.
    pub(crate) lease_renewal_at: Micros,
    /// Whether the process was paused and the lease may have expired meanwhile. Until it is known to hold, no task is
    /// launched or stopped, nothing is written, no machine is provisioned, and no heartbeat is answered.
    pub(crate) uncertain: bool,
    /// When the lease was acquired; the records were read after that.
    pub(crate) began: Micros,

    // Shared: records in the key-value store.
    /// The reads with which the term begins, until all of them are done.
    loading: Option<Loading>,
    /// When all records had been read.
    pub loaded_at: Micros,
    watches: BTreeMap<&'static str, Watch>,
    /// What has to be written.
    pub write_buffer: WriteBuffer,
    /// Flushes in a row that failed, up to a limit.
    flush_failures: u32,
    /// Most bytes of a value: that of the settings until the store refuses a value that fits it.
    value_bytes: usize,
    /// Most operations of a transaction: that of the settings until the store refuses a transaction that fits it.
    transaction_operations: usize,
    /// The assignment pages that this scheduler writes.
    pub pages: AssignmentPages,

    // Shared: jobs.
    /// Live jobs.
    pub jobs: Jobs,
    /// Jobs that ended lately, so that a late list cannot bring them back.
    recently_ended: VecDeque<String>,
    /// Keys of jobs whose records cannot be read.
    unreadable_jobs: Vec<String>,
    /// Jobs taken as cancelled whose cancellation was not found on record: whether they are over is yet to be read.
    unconfirmed_cancellations: BTreeSet<String>,
    /// Averages learned from what was seen.
    pub stats: Stats,
    /// State of the placement rounds.
    pub placement: PlacementState,
    /// Attempts numbered so far under this lease.
    attempts: u64,

    // Shared: machines and their agents.
    /// Machines by name.
    pub machines: BTreeMap<String, Machine>,
    /// Machines that are being provisioned or terminated, or that are gone.
    pub fleet: Fleet,
    /// Heartbeats that are held until there is something to tell their agents.
    pub held_heartbeats: Vec<HeldHeartbeat>,
    /// When the first of them is answered in any case.
    pub held_until: Micros,
    /// Whether something happened that any of them may have waited for.
    pub held_changed: bool,
    /// Heartbeats of machines with free resources that wait for tasks.
    pub long_polls: LongPolls,
    /// When any agent last sent a heartbeat.
    pub last_heartbeat_at: Micros,
    /// Machines with a direct command in flight, with the time at which the last one was sent.
    pub direct: BTreeMap<String, Micros>,
    /// When machines are next checked for being unreachable.
    pub next_machine_check: Micros,

    // The leader only.
    /// Partitions and what their holders have told.
    pub(crate) remote_partitions: RemotePartitions,
    /// The teams' limits, and quota grants to holders.
    pub(crate) leader_quota: LeaderQuota,
    /// What each team uses, from assignment until proof that the task is gone, without what holders have placed.
    pub usage: TeamAmounts,
    /// Free resources that are kept for services.
    pub headroom: Headroom,
    /// The pages of completed tasks.
    pub completed_pages: CompletedTaskPages,
    /// Jobs whose progress changed since the peers were told.
    pub progress_dirty: BTreeSet<JobIndex>,
    next_progress_at: Micros,
    /// Messages of progress sent so far.
    progress_round: u32,
    next_stats_at: Micros,
    /// When the provision requests on record are next compared with ours.
    provision_sweep_at: Micros,
    /// When that ends.
    provision_sweep_until: Micros,

    // The holder of a partition only.
    /// What the leader has told, and what it is to be told.
    pub(crate) holder_state: HolderState,
    /// The quota grant, and the tasks that are to be placed under it.
    pub(crate) holder_quota: HolderQuota,
}

/// Most bytes of a page if a value may have `value_bytes`: sizes of pages are upper bounds, except for the frame of the
/// record.
fn page_bytes(value_bytes: usize) -> usize {
    value_bytes * 9 / 10
}

impl Scheduler {
    pub(crate) fn new(context: &Context, role: Role, lease: FencedLease) -> Self {
        let now = context.now.steady;
        let store = &context.settings.store;
        Scheduler {
            role,
            token: lease.token,
            lease: lease.lease,
            // The lease may be old already, if the store is slow.
            lease_renewal_at: lease.lease_requested_at
                + context.tuning.leader_lease_us / RENEWALS_PER_LEASE,
            uncertain: false,
            began: now,
            loading: None,
            loaded_at: 0,
            watches: BTreeMap::new(),
            write_buffer: WriteBuffer::default(),
            flush_failures: 0,
            value_bytes: store.value_bytes,
            transaction_operations: store.transaction_operations,
            pages: Scheduler::pages_of(role),
            jobs: Jobs::default(),
            recently_ended: VecDeque::new(),
            unreadable_jobs: Vec::new(),
            unconfirmed_cancellations: BTreeSet::new(),
            stats: Stats::default(),
            placement: PlacementState::default(),
            attempts: 0,
            machines: BTreeMap::new(),
            fleet: Fleet::new(now),
            held_heartbeats: Vec::new(),
            held_until: 0,
            held_changed: false,
            long_polls: LongPolls::default(),
            last_heartbeat_at: now,
            direct: BTreeMap::new(),
            next_machine_check: now,
            remote_partitions: RemotePartitions::default(),
            leader_quota: LeaderQuota::default(),
            usage: TeamAmounts::new(),
            headroom: Headroom::default(),
            completed_pages: CompletedTaskPages::new(page_bytes(store.value_bytes)),
            progress_dirty: BTreeSet::new(),
            next_progress_at: now,
            progress_round: 0,
            next_stats_at: now + STATS_INTERVAL,
            provision_sweep_at: 0,
            provision_sweep_until: 0,
            holder_state: HolderState::default(),
            holder_quota: HolderQuota::default(),
        }
    }

    /// Most bytes of a page.
    pub(crate) fn page_bytes(&self) -> usize {
        page_bytes(self.value_bytes)
    }

    /// Whether a machine may have a task of a job whose record cannot be read.
    pub(crate) fn has_unreadable_tasks(&self) -> bool {
        // The team of such a task is not known.
        !self.unreadable_jobs.is_empty() && self.assignments().any(|a| a.team.is_empty())
    }

    /// Whether all records have been read and, for the holder of a partition, all tasks that may be on its machines are
    /// known, so that it can act.
    pub fn loaded(&self) -> bool {
        self.loading.is_none() && (!self.is_holder() || self.holder_state.is_reconciled())
    }

    /// Whether the live jobs have been read.
    pub(crate) fn jobs_are_read(&self) -> bool {
        self.loading.is_none()
    }

    /// Whether it is known which machines are in partitions.
    pub(crate) fn knows_partitions(&self, context: &Context) -> bool {
        let loading = self.loading.as_ref();
        !context.supports_partitions()
            || loading.is_none_or(|loading| loading.has_read(PARTITION_PREFIX))
    }

    /// The number of the lease.
    pub(crate) fn lease(&self) -> u64 {
        self.lease
    }

    /// Whether the lease may have expired while the process was paused.
    pub fn uncertain(&self) -> bool {
        self.uncertain
    }

    /// The lease is known to hold.
    pub(crate) fn confirm_lease(&mut self) {
        if self.uncertain {
            self.uncertain = false;
            info!(token = self.token; "lease still holds after a pause of the process");
        }
    }

    /// The purpose of a call that this scheduler makes.
    pub(crate) fn pending(&self, what: SchedulerCall) -> CallPurpose {
        CallPurpose::Scheduler {
            token: self.token,
            what,
        }
    }

    /// A new number for an attempt. It contains the fencing token, so no leader or holder ever reuses one of another.
    pub fn next_attempt(&mut self) -> u64 {
        self.attempts += 1;
        (self.token << ATTEMPT_BITS) + self.attempts
    }

    /// Whether the number of the attempt was given under this lease.
    pub(crate) fn has_numbered(&self, attempt: u64) -> bool {
        attempt >> ATTEMPT_BITS == self.token
    }

    /// Tasks of a live job that are completed and that are running, for display.
    pub fn progress_of(&self, id: &str) -> Option<(u64, u64)> {
        let job = self.jobs.get(self.jobs.find(id)?)?;
        Some((job.completed_count, u64::from(job.running_count)))
    }
}
