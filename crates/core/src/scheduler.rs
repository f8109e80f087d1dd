//! The state of a controller that manages machines under a fenced lease, as the leader or as the holder of a
//! partition.
//!
//! A controller builds this state from the key-value store after it has acquired the fenced lease, and drops all of it
//! when it loses that lease. Modules under `leader` run for the leader only, those under `holder` for the holder of a
//! partition only; the others run for both.
//!
//! Terms of these modules:
//! - A fenced lease is a lease in the key-value store with a record attached to it: the leader record for the leader,
//!   the claim record of the partition for a partition holder. The mod_revision of the record is the fencing token.
//! - A change is durable once the store is known to have it.
//! - The leader sends orders to the holder of a partition, which responds with a report.
//! - The leader may delegate a task to the holder of a partition, which then chooses the machine within its quota
//!   grant, the part of each team's limit that the leader lets it use.
//! - A task is proven gone once it neither runs on its machine nor can start there any more.

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
use std::collections::{BTreeMap, BTreeSet, VecDeque};

pub(crate) mod agents;
pub(crate) mod assignment_pages;
pub(crate) mod completion;
pub(crate) mod fenced_lease;
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

/// Width of the counter in the low bits of an attempt number; the bits above hold the fencing token.
const ATTEMPT_COUNTER_BITS: u32 = 20;

/// Interval between two writes of changed statistics.
const STATS_WRITE_INTERVAL_US: Micros = 20 * SECOND;

/// Number of lease renewals that are sent within the time to live of the lease.
const RENEWALS_PER_LEASE: Micros = 4;

/// A lease in the key-value store with a record attached to it. The mod_revision of the record is the fencing
/// token, which fences off earlier owners.
#[derive(Clone, Copy, Debug)]
pub struct FencedLease {
    /// The fencing token: the mod_revision of the leader record or of the partition's claim record.
    pub token: u64,
    /// The id of the lease in the key-value store, to which the leader record or the partition's claim record is
    /// attached.
    pub lease: u64,
    /// When the lease was requested, in microseconds of the steady clock.
    pub lease_requested_at: Micros,
}

impl FencedLease {
    /// Returns when the lease is first renewed. The time counts from the request: with a slow store the lease may
    /// already have been running for some time.
    pub(crate) fn first_renewal_at(&self, context: &Context) -> Micros {
        self.lease_requested_at + context.tuning.leader_lease_us / RENEWALS_PER_LEASE
    }
}

/// The state under one fenced lease. All times are in microseconds of the steady clock.
///
/// The fields are in three groups: those shared by the leader and the holders of partitions, those that only the
/// leader uses, and those that only a holder uses.
pub struct Scheduler {
    // Fields that the leader and holders use: the role, and the fenced lease, to which the leader record or the
    // partition's claim record is attached.
    pub(crate) role: Role,
    /// The fencing token.
    pub token: u64,
    pub(crate) lease: u64,
    /// When the next renewal of the fenced lease is due.
    pub(crate) lease_renewal_at: Micros,
    /// Whether the process was paused and the fenced lease may have expired in the meantime. Until the lease is
    /// confirmed, the scheduler launches or stops no task, writes nothing, provisions no machine, and answers no
    /// heartbeat.
    pub(crate) is_lease_uncertain: bool,
    /// When this process acquired the fenced lease. All records are read after that.
    pub(crate) lease_acquired_at: Micros,

    // Fields that the leader and holders use: records in the key-value store.
    /// The reads of the records that the scheduler starts from; `None` once all of them are complete.
    loading: Option<Loading>,
    /// When all records had been read and applied; for a holder, when it had first reconciled its tasks with the
    /// leader. 0 before that.
    pub loaded_at: Micros,
    watches: BTreeMap<&'static str, Watch>,
    /// Records that have to be written to the key-value store.
    pub write_buffer: WriteBuffer,
    /// Number of consecutive failed flushes, up to a limit.
    flush_failures: u32,
    /// Maximum size of a value. Starts as the configured limit and is lowered when the store refuses a value within
    /// the limit.
    max_value_bytes: usize,
    /// Maximum number of operations in a transaction. Starts as the configured limit and is lowered when the store
    /// refuses a transaction within the limit.
    max_transaction_operations: usize,
    /// The assignment pages that this scheduler writes.
    pub pages: AssignmentPages,

    // Fields that the leader and holders use: jobs.
    /// Jobs that have not ended.
    pub jobs: Jobs,
    /// Ids of the jobs that ended most recently, so that a list which predates their end does not add them again.
    recently_ended: VecDeque<String>,
    /// Keys of the job records that cannot be decoded.
    unreadable_job_keys: Vec<String>,
    /// Ids of jobs that are marked as cancelled although the store has no cancellation for them. Whether such a job
    /// has already ended is read before the mark is removed.
    unconfirmed_cancellations: BTreeSet<String>,
    /// Averages of observed run times and boot times.
    pub stats: Stats,
    /// State of the placement rounds.
    pub placement: PlacementState,
    /// Count of the attempt numbers allocated under this fenced lease.
    allocated_attempts: u64,

    // Fields that the leader and holders use: machines and their agents.
    /// Machines by name.
    pub machines: BTreeMap<String, Machine>,
    /// Machines that are being provisioned or terminated, or that are gone.
    pub fleet: Fleet,
    /// Heartbeats whose responses are held until a write is durable or a placement round is over.
    pub held_heartbeats: Vec<HeldHeartbeat>,
    /// Earliest time at which a held heartbeat is answered regardless of what it waits for.
    pub next_held_deadline: Micros,
    /// Whether an event since the last check may have completed what a held heartbeat waits for.
    pub held_heartbeats_may_be_ready: bool,
    /// Heartbeats of machines with free resources, held as long polls until a task is placed on the machine.
    pub long_polls: LongPolls,
    /// When the last heartbeat of any agent arrived.
    pub last_heartbeat_at: Micros,
    /// When the direct command that is in flight to a machine was sent, by machine name.
    pub direct_commands_in_flight: BTreeMap<String, Micros>,
    /// When all machines are next checked for missing heartbeats and overdue stops.
    pub next_machine_check: Micros,

    // Fields that only the leader uses.
    /// Partitions and the reports of their holders.
    pub(crate) remote_partitions: RemotePartitions,
    /// Quotas of the teams, and quota grants to the holders of partitions.
    pub(crate) leader_quota: LeaderQuota,
    /// Resources that each team uses. A task counts from its assignment until it is proven gone; tasks placed by
    /// holders are not included.
    pub usage: TeamAmounts,
    /// Free resources that are reserved for services.
    pub headroom: Headroom,
    /// Pages of completed tasks.
    pub completed_pages: CompletedTaskPages,
    /// Jobs whose progress has changed since it was last sent to the other controllers.
    pub progress_dirty: BTreeSet<JobIndex>,
    next_progress_at: Micros,
    /// Number of progress rounds so far, with or without a message.
    progress_round: u32,
    next_stats_at: Micros,
    /// When the provisioning requests in the store are next compared with those of this leader.
    provision_sweep_at: Micros,
    /// When the leader stops comparing provisioning requests in this way.
    provision_sweep_until: Micros,

    // Fields that only the holder of a partition uses.
    /// Orders received from the leader, and reports that are due to it.
    pub(crate) holder_state: HolderState,
    /// The quota grant from the leader, and the tasks that the holder is to place under it.
    pub(crate) holder_quota: HolderQuota,
}

/// Returns the maximum size of a page in bytes, for values of at most `value_bytes`. The tracked sizes of pages are
/// upper bounds but leave out the frame of the record, for which a tenth is kept free.
fn max_page_bytes(value_bytes: usize) -> usize {
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
            lease_renewal_at: lease.first_renewal_at(context),
            is_lease_uncertain: false,
            lease_acquired_at: now,
            loading: None,
            loaded_at: 0,
            watches: BTreeMap::new(),
            write_buffer: WriteBuffer::default(),
            flush_failures: 0,
            max_value_bytes: store.value_bytes,
            max_transaction_operations: store.transaction_operations,
            pages: Scheduler::pages_of(role),
            jobs: Jobs::default(),
            recently_ended: VecDeque::new(),
            unreadable_job_keys: Vec::new(),
            unconfirmed_cancellations: BTreeSet::new(),
            stats: Stats::default(),
            placement: PlacementState::default(),
            allocated_attempts: 0,
            machines: BTreeMap::new(),
            fleet: Fleet::new(now),
            held_heartbeats: Vec::new(),
            next_held_deadline: 0,
            held_heartbeats_may_be_ready: false,
            long_polls: LongPolls::default(),
            last_heartbeat_at: now,
            direct_commands_in_flight: BTreeMap::new(),
            next_machine_check: now,
            remote_partitions: RemotePartitions::default(),
            leader_quota: LeaderQuota::default(),
            usage: TeamAmounts::new(),
            headroom: Headroom::default(),
            completed_pages: CompletedTaskPages::new(max_page_bytes(store.value_bytes)),
            progress_dirty: BTreeSet::new(),
            next_progress_at: now,
            progress_round: 0,
            next_stats_at: now + STATS_WRITE_INTERVAL_US,
            provision_sweep_at: 0,
            provision_sweep_until: 0,
            holder_state: HolderState::default(),
            holder_quota: HolderQuota::default(),
        }
    }

    /// Returns the maximum size of a page in bytes.
    pub(crate) fn max_page_bytes(&self) -> usize {
        max_page_bytes(self.max_value_bytes)
    }

    /// Returns whether a machine may have a task of a job whose record cannot be decoded.
    pub(crate) fn has_unreadable_tasks(&self) -> bool {
        // The team of such a task is unknown.
        !self.unreadable_job_keys.is_empty() && self.assignments().any(|a| a.team.is_empty())
    }

    /// Returns whether the scheduler can act: all records have been read and, for the holder of a partition, all
    /// tasks that may be on its machines are known.
    pub fn is_loaded(&self) -> bool {
        self.loading.is_none() && (!self.is_holder() || self.holder_state.is_reconciled())
    }

    /// Returns whether the records of the live jobs have been read.
    pub(crate) fn jobs_are_read(&self) -> bool {
        self.loading.is_none()
    }

    /// Returns whether it is known which partition each machine belongs to, if any.
    pub(crate) fn knows_partitions(&self, context: &Context) -> bool {
        let loading = self.loading.as_ref();
        !context.supports_partitions()
            || loading.is_none_or(|loading| loading.has_read(PARTITION_PREFIX))
    }

    /// Returns the purpose of a call that this scheduler makes, by which the reply is routed back to it.
    pub(crate) fn call_purpose(&self, call: SchedulerCall) -> CallPurpose {
        CallPurpose::Scheduler {
            token: self.token,
            call,
        }
    }

    /// Returns a new attempt number. It contains the fencing token, so it is never allocated under another lease.
    pub fn allocate_attempt(&mut self) -> u64 {
        self.allocated_attempts += 1;
        (self.token << ATTEMPT_COUNTER_BITS) + self.allocated_attempts
    }

    /// Returns whether the attempt number was allocated under this fenced lease.
    pub(crate) fn has_allocated_attempt(&self, attempt: u64) -> bool {
        attempt >> ATTEMPT_COUNTER_BITS == self.token
    }

    /// Returns the numbers of completed and of running tasks of a live job; `None` if the job is unknown.
    pub fn progress_of(&self, id: &str) -> Option<(u64, u64)> {
        let job = self.jobs.get(self.jobs.find(id)?)?;
        Some((job.completed_count, u64::from(job.running_count)))
    }
}
