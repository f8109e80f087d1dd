//! The working state of a controller that looks after machines under a fenced lease: the leader, or a partition's holder.
//!
//! It is built from the key-value store once the lease is granted, and dropped whole when the lease is lost. Modules
//! under `leader` run for the leader only, those under `holder` for the holder of a partition only; the others
//! run for both.

use crate::calls::{CallPurpose, SchedulerCall};
use crate::context::{Context, Role};
use crate::state::assignment_pages::Pages;
use crate::state::completed_tasks::CompletedTaskPages;
use crate::state::fleet::Fleet;
use crate::state::headroom::Headroom;
use crate::state::holder::HolderState;
use crate::state::holder_quota::HolderQuota;
use crate::state::jobs::{JobIndex, Jobs};
use crate::state::long_polls::{HeldHeartbeat, LongPolls};
use crate::state::machine::Machine;
use crate::state::placement::Placement;
use crate::state::quota::LeaderQuota;
use crate::state::remote_partitions::RemotePartitions;
use crate::state::stats::Stats;
use crate::state::write_buffer::{RecordId, WriteBuffer};
use crate::{Micros, Outcome, Stopwatch, Target, MILLI, SECOND};
use grebewood_quota::TeamAmounts;
use grebewood_wire as wire;
use grebewood_wire::http::KeyValue;
use grebewood_wire::peer::PeerRequest;
use grebewood_wire::records::PARTITION;
use grebewood_wire::Value;
use log::info;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

pub(crate) mod agents;
pub(crate) mod assignment_pages;
pub(crate) mod completion;
pub(crate) mod flush;
pub(crate) mod holder;
pub(crate) mod leader;
pub(crate) mod loading;
pub(crate) mod quota;
pub(crate) mod store_contact;
pub(crate) mod watches;
pub(crate) mod write_conditions;

/// The number of an attempt carries the token under which it was given, above so many bits of a count.
const ATTEMPT_BITS: u32 = 20;

/// How often peers are told of changed progress, so that polls at any node show short tasks too.
const PROGRESS: Micros = 500 * MILLI;

/// Every so many times they are told all of it.
const PROGRESS_WHOLE: u32 = 5;

/// How far the leader has read its state.
#[derive(Debug, Default)]
struct Loading {
    /// Reads under way or to be repeated, by prefix or key, with where a list goes on.
    missing: BTreeMap<String, Option<String>>,
    retry: BTreeMap<String, Micros>,
    entries: BTreeMap<String, Vec<KeyValue<Value>>>,
    revisions: BTreeMap<String, u64>,
}

/// A watch of a prefix.
#[derive(Clone, Debug, Default)]
struct Watch {
    since: u64,
    open: bool,
    retry_at: Micros,
    /// The keys must be listed again.
    relist: bool,
    /// The last key of the pages that were listed again so far.
    relisted_to: Option<String>,
    /// The revision of the first of these pages.
    relisted_as_of: Option<u64>,
}

/// A grant in the state service: a record under a lease.
#[derive(Clone, Copy, Debug)]
pub struct FencedLease {
    /// The record's stamp, which is the fencing token.
    pub token: u64,
    /// The lease.
    pub lease: u64,
    /// When the lease was asked for.
    pub lease_requested_at: Micros,
}

/// Everything the leader works with. It is built from state after the grant, and dropped whole
/// when the leader steps down.
pub struct Scheduler {
    pub(crate) role: Role,
    /// The leader's part in partitions.
    pub(crate) remote_partitions: RemotePartitions,
    /// A holder's part in its partition.
    pub(crate) holder_state: HolderState,
    /// The leader's part in allotments of the teams' limits.
    pub(crate) leader_quota: LeaderQuota,
    /// A holder's part in them.
    pub(crate) holder_quota: HolderQuota,
    pub token: u64,
    pub(crate) lease: u64,
    pub(crate) extend_at: Micros,
    /// The process stood still, and whether the grant still holds is not known yet. Until it is,
    /// nothing is launched, stopped, written, rented or answered to a worker.
    pub(crate) uncertain: bool,
    loading: Option<Loading>,
    /// When the grant was won; state was read after that.
    pub(crate) began: Micros,
    pub loaded_at: Micros,
    pub jobs: Jobs,
    /// Jobs that ended lately, so that a late list cannot bring them back.
    ended: VecDeque<String>,
    pub machines: BTreeMap<String, Machine>,
    pub pages: Pages,
    /// Most bytes of a value, and most changes of a transaction. They are those of the settings
    /// until the state service refuses what fits them.
    value_bytes: usize,
    transaction_operations: usize,
    pub write_buffer: WriteBuffer,
    pub fleet: Fleet,
    pub stats: Stats,
    pub placement: Placement,
    pub headroom: Headroom,
    pub held_heartbeats: Vec<HeldHeartbeat>,
    /// When the first of them is answered whatever it waits for.
    pub held_until: Micros,
    /// Check-ins of machines with room that wait for work.
    pub long_polls: LongPolls,
    /// Something happened that any of them may have waited for.
    pub held_changed: bool,
    pub completed_pages: CompletedTaskPages,
    /// What each team uses, from assignment to proof, but for what holders have placed.
    pub usage: TeamAmounts,
    /// Jobs whose progress changed since the peers were told.
    pub progress_dirty: BTreeSet<JobIndex>,
    watches: BTreeMap<&'static str, Watch>,
    pub attempts: u64,
    pub next_machine_check: Micros,
    progress_at: Micros,
    progress_round: u32,
    stats_at: Micros,
    /// When a worker last reported.
    pub last_heartbeat_at: Micros,
    /// Machines with a direct call under way, and when the last one was sent.
    pub direct: BTreeMap<String, Micros>,
    flush_failures: u32,
    /// When the rentals on record are next compared with ours, and until when that goes on.
    sweep_at: Micros,
    sweep_until: Micros,
    corrupt: Vec<String>,
    /// Jobs said to be cancelled whose cancellation was not found on record; whether they are over
    /// is yet to be read.
    unproven: BTreeSet<String>,
}

/// Most bytes of a page in a value of this size.
fn page_bytes(value_bytes: usize) -> usize {
    value_bytes * 9 / 10
}

impl Scheduler {
    pub(crate) fn new(context: &Context, role: Role, grant: FencedLease) -> Self {
        let now = context.now.steady;
        Scheduler {
            role,
            remote_partitions: RemotePartitions::default(),
            holder_state: HolderState::default(),
            leader_quota: LeaderQuota::default(),
            holder_quota: HolderQuota::default(),
            token: grant.token,
            lease: grant.lease,
            // The lease may be old already, if the state service is slow.
            extend_at: grant.lease_requested_at + context.tuning.leader_lease_us / 4,
            uncertain: false,
            loading: None,
            began: now,
            loaded_at: 0,
            jobs: Jobs::default(),
            ended: VecDeque::new(),
            machines: BTreeMap::new(),
            pages: Scheduler::pages_of(role),
            value_bytes: context.settings.store.value_bytes,
            transaction_operations: context.settings.store.transaction_operations,
            write_buffer: WriteBuffer::default(),
            fleet: Fleet::new(now),
            stats: Stats::default(),
            placement: Placement::default(),
            headroom: Headroom::default(),
            held_heartbeats: Vec::new(),
            long_polls: LongPolls::default(),
            held_until: 0,
            held_changed: false,
            completed_pages: CompletedTaskPages::new(page_bytes(
                context.settings.store.value_bytes,
            )),
            usage: TeamAmounts::new(),
            progress_dirty: BTreeSet::new(),
            watches: BTreeMap::new(),
            attempts: 0,
            next_machine_check: now,
            progress_at: now,
            progress_round: 0,
            stats_at: now + 20 * SECOND,
            last_heartbeat_at: now,
            direct: BTreeMap::new(),
            flush_failures: 0,
            sweep_at: 0,
            sweep_until: 0,
            corrupt: Vec::new(),
            unproven: BTreeSet::new(),
        }
    }

    /// Most bytes of a page: sizes are upper bounds, but for the frame of the record.
    pub(crate) fn page_bytes(&self) -> usize {
        page_bytes(self.value_bytes)
    }

    /// Whether a machine may have a task of a job whose record cannot be read.
    pub(crate) fn has_unreadable_tasks(&self) -> bool {
        let unknown = |m: &Machine| m.assignments.iter().any(|a| a.team.is_empty());
        !self.corrupt.is_empty() && self.machines.values().any(unknown)
    }

    /// Whether state has been read, and the holder of a partition knows all that may be on its
    /// machines, so that it can act.
    pub fn loaded(&self) -> bool {
        self.loading.is_none() && (!self.is_holder() || self.holder_state.knows_tasks())
    }

    /// Whether the live jobs have been read.
    pub(crate) fn jobs_are_read(&self) -> bool {
        self.loading.is_none()
    }

    /// Whether it is known which machines are in partitions.
    pub(crate) fn knows_partitions(&self, context: &Context) -> bool {
        let loading = self.loading.as_ref();
        !context.supports_partitions()
            || loading.is_none_or(|loading| !loading.missing.contains_key(PARTITION))
    }

    /// The lease of its grant.
    pub(crate) fn lease(&self) -> u64 {
        self.lease
    }

    /// Whether the grant may have run out while the process stood still.
    pub fn uncertain(&self) -> bool {
        self.uncertain
    }

    pub(crate) fn confirm_lease(&mut self) {
        if self.uncertain {
            self.uncertain = false;
            info!("the grant with token {} still holds", self.token);
        }
    }

    pub(crate) fn pending(&self, what: SchedulerCall) -> CallPurpose {
        CallPurpose::Scheduler {
            token: self.token,
            what,
        }
    }

    /// A number for an attempt. It carries the token, so no leader ever reuses one of another.
    pub fn next_attempt(&mut self) -> u64 {
        self.attempts += 1;
        (self.token << ATTEMPT_BITS) + self.attempts
    }

    /// Whether the number of the attempt was given under this grant.
    pub(crate) fn has_numbered(&self, attempt: u64) -> bool {
        attempt >> ATTEMPT_BITS == self.token
    }

    pub fn next_wake(&self) -> Micros {
        let mut at = self.extend_at;
        if self.uncertain {
            return at;
        }
        if let Some(loading) = &self.loading {
            for t in loading.retry.values() {
                at = at.min(*t);
            }
            return at;
        }
        for w in self.watches.values().filter(|w| !w.open) {
            at = at.min(w.retry_at);
        }
        at = at.min(self.flush_wake());
        if self.is_holder() {
            return at.min(self.holder_wake());
        }
        at = at.min(self.remote_partitions.next_wake());
        if !self.held_heartbeats.is_empty() {
            at = at.min(self.held_until);
        }
        at.min(self.long_polls.next_until())
            .min(self.placement.next_at)
            .min(self.next_machine_check)
            .min(self.fleet.next_wake())
            .min(self.progress_at)
    }

    /// Tasks completed and running of a live job, for display.
    pub fn progress_of(&self, id: &str) -> Option<(u64, u64)> {
        let job = self.jobs.get(self.jobs.find(id)?)?;
        Some((job.done_count, job.running as u64))
    }

    /// All timers of the leader.
    pub(crate) fn run(&mut self, context: &mut Context, watch: &mut dyn Stopwatch) {
        let now = context.now.steady;
        if now >= self.extend_at {
            // A reply may be lost: the next renewal goes out all the same.
            let parts = if self.uncertain { 12 } else { 4 };
            self.extend_at = now + context.tuning.leader_lease_us / parts;
            let path = format!("/leases/{}/extend", self.lease);
            let pending = self.pending(SchedulerCall::Extend);
            let timeout = context.tuning.leader_lease_us / 4;
            context.call(Target::Store, "POST", path, Vec::new(), timeout, pending);
        }
        if self.uncertain {
            return;
        }
        if self.loading.is_some() {
            return self.run_loading(context);
        }
        self.run_watches(context);
        if self.is_holder() {
            return self.run_holder(context, watch);
        }
        self.run_machines(context);
        self.enforce_limits(context);
        self.run_placement(context, watch);
        self.run_fleet(context);
        if now >= self.stats_at {
            self.stats_at = now + 20 * SECOND;
            if self.stats.changed {
                self.stats.changed = false;
                self.write_buffer
                    .mark_dirty_by(RecordId::Stats, now + SECOND);
            }
        }
        self.run_flush(context);
        self.run_sweep(context);
        self.run_held_heartbeats(context);
        if now >= self.progress_at {
            self.progress_at = now + PROGRESS;
            self.send_progress(context);
        }
    }

    pub(crate) fn on_reply(
        &mut self,
        context: &mut Context,
        what: SchedulerCall,
        outcome: Outcome,
    ) -> Result<(), String> {
        match what {
            SchedulerCall::Extend => {
                if let Outcome::Answer { status: 404, .. } = outcome {
                    return Err("the lease has ended".into());
                }
                if matches!(outcome, Outcome::Answer { status: 200, .. }) {
                    self.confirm_lease();
                } else {
                    self.extend_at = self
                        .extend_at
                        .min(context.now.steady + context.tuning.leader_lease_us / 12);
                }
                Ok(())
            }
            SchedulerCall::List { prefix } => {
                self.on_list(context, &prefix, outcome);
                Ok(())
            }
            SchedulerCall::Read { key } => {
                self.on_read(context, key, outcome);
                Ok(())
            }
            SchedulerCall::Watch { prefix } => {
                self.on_watch(context, prefix, outcome);
                Ok(())
            }
            SchedulerCall::Flush => self.on_flush(context, outcome),
            SchedulerCall::FlushReadBack => self.on_read_back(context, outcome),
            SchedulerCall::Refresh { key } => {
                self.on_refresh(context, &key, outcome);
                Ok(())
            }
            SchedulerCall::Fleet(call) => {
                self.on_fleet(context, call, outcome);
                Ok(())
            }
            SchedulerCall::Direct { machine } => {
                self.on_direct(context, &machine, outcome);
                Ok(())
            }
            SchedulerCall::Orders { partition, claim } => {
                self.on_orders_answered(context, partition, claim, outcome);
                Ok(())
            }
        }
    }

    fn send_progress(&mut self, context: &mut Context) {
        // A node that was not there missed what did not change since: all of it goes out again
        // now and then.
        self.progress_round += 1;
        if self.progress_round.is_multiple_of(PROGRESS_WHOLE) {
            self.progress_dirty
                .extend(self.jobs.iter().map(|(index, _)| index));
        }
        let mut changed = Vec::new();
        while let (Some(index), true) = (self.progress_dirty.pop_first(), changed.len() < 500) {
            if let Some(j) = self.jobs.get(index) {
                changed.push((j.id.clone(), j.done_count, j.running as u64));
            }
        }
        if changed.is_empty() {
            return;
        }
        let message = wire::to_peer(&PeerRequest::Progress {
            from: context.settings.member.clone(),
            token: self.token,
            jobs: changed,
        });
        for peer in 0..context.settings.siblings.len() {
            context.call(
                Target::Peer(peer),
                "POST",
                "/peer".into(),
                message.clone(),
                900 * MILLI,
                CallPurpose::Ignore,
            );
        }
    }
}
