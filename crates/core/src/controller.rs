//! One controller process as a state machine, which dispatches each input to the code that handles it.
//!
//! The submodules hold the code that needs the whole controller. Data and its rules are in [`crate::state`], the work
//! of the leader and of partition holders is in [`crate::scheduler`].

use crate::context::Context;
use crate::controller::catalogue_reader::CatalogueReader;
use crate::controller::partitions::Partitions;
use crate::scheduler::Scheduler;
use crate::settings::{Settings, Tuning};
use crate::state::election::Election;
use crate::state::finished_jobs::{FinishedJobs, FinishedReads};
use crate::state::job_view::JobView;
use crate::state::unproven_machines::UnprovenMachines;
use crate::{Effect, Input, Interface, Micros, Now, Stopwatch, MILLI};
use log::{info, warn};
use std::collections::BTreeMap;

pub(crate) mod candidacy;
pub(crate) mod catalogue;
pub(crate) mod catalogue_reader;
pub(crate) mod claim_read_back;
pub(crate) mod heartbeats;
pub(crate) mod job_view;
pub(crate) mod leader;
pub(crate) mod partition_claims;
pub(crate) mod partition_map;
pub(crate) mod partition_orders;
pub(crate) mod partitions;
pub(crate) mod peer_contact;
pub(crate) mod peer_requests;
pub(crate) mod replies;
pub(crate) mod submission;
pub(crate) mod unproven_machines;
pub(crate) mod user_answers;
pub(crate) mod user_requests;

/// A controller that has had no contact with the store for this long refuses users' requests.
pub const USER_REQUEST_CONTACT_TIMEOUT_US: Micros = 2_500 * MILLI;

/// Most finished jobs whose final records a controller keeps in memory.
const MAX_FINISHED_JOBS: usize = 20_000;

/// Numbers of completed and running tasks of a live job, for display.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TaskCounts {
    /// Completed tasks.
    pub completed: u64,
    /// Running tasks.
    pub running: u64,
}

/// A controller.
pub struct Controller {
    /// Settings, clocks, rate limiters and calls under way, which all parts of the controller share.
    pub context: Context,
    /// What this controller knows of the leader and of its peers.
    pub election: Election,
    /// The scheduler of this controller as the leader, while it is the leader.
    pub leader: Option<Box<Scheduler>>,
    /// Final records that this controller has read, and final records of jobs whose cancellation it has confirmed.
    pub finished_jobs: FinishedJobs,
    /// Reads of final records that are under way.
    pub finished_reads: FinishedReads,
    /// This controller's view of the live jobs.
    pub job_view: JobView,
    /// Task counts of live jobs, as last sent by the leader.
    pub progress: BTreeMap<String, TaskCounts>,
    /// This controller's copy of the partition map, and the partitions that it holds or claims.
    pub partitions: Partitions,
    /// Machines on which cancelled tasks were not proven to have ended when this controller last stepped down as the
    /// leader or released a partition.
    pub(crate) unproven_machines: Option<UnprovenMachines>,
    catalogue_reader: CatalogueReader,
    started: bool,
}

impl Controller {
    /// Returns a controller that has just started; `seed` must differ between processes.
    pub fn new(settings: Settings, tuning: Tuning, seed: u64) -> Self {
        let context = Context::new(settings, tuning, seed);
        Controller {
            election: Election::new(seed),
            context,
            leader: None,
            finished_jobs: FinishedJobs::new(MAX_FINISHED_JOBS),
            finished_reads: FinishedReads::new(),
            job_view: JobView::default(),
            progress: BTreeMap::new(),
            partitions: Partitions::default(),
            unproven_machines: None,
            catalogue_reader: CatalogueReader::default(),
            started: false,
        }
    }

    /// Handles one input and returns the calls to send and the requests to answer.
    pub fn step(&mut self, now: Now, input: Input, watch: &mut dyn Stopwatch) -> Vec<Effect> {
        let since_last_input = now.steady.saturating_sub(self.context.now.steady);
        self.context.now = now;
        if !self.started {
            self.started = true;
            self.context.cancellations.record_process_start(now.steady);
            info!(member = self.context.settings.member.as_str(); "controller started");
        } else if since_last_input > self.context.tuning.leader_lease_us / 2 {
            // Timers fire far more often than that, so the process was paused.
            self.on_process_pause(since_last_input);
        }
        match input {
            Input::Request {
                id,
                interface,
                method,
                path,
                body,
            } => match interface {
                Interface::Front => self.on_front_request(id, &method, &path, &body),
                Interface::Peer => self.on_peer_request(id, &method, &path, &body),
            },
            Input::RequestAbandoned { id } => {
                self.for_each_scheduler(|_, scheduler| scheduler.forget_heartbeat(id));
            }
            Input::Reply { call, outcome } => self.on_reply(call, outcome),
            Input::Tick => {}
        }
        self.run_timers(watch);
        std::mem::take(&mut self.context.effects)
    }

    /// Returns when the next [`Input::Tick`] is due, in microseconds of the steady clock.
    pub fn next_wake(&self) -> Micros {
        let mut at = self.election.next_wake().min(self.job_view.next_wake());
        at = at.min(self.unproven_machines_due());
        if self.context.catalogue.is_none() {
            at = at.min(self.catalogue_reader.next_attempt);
        }
        for scheduler in self.leader.iter().chain(self.partitions.holders.values()) {
            at = at.min(scheduler.next_wake());
        }
        if self.context.supports_partitions() {
            at = at.min(self.partitions.next_wake());
        }
        at.max(self.context.now.steady + MILLI)
    }

    /// Runs `action` on every scheduler of this controller: the leader's, then those of its partitions.
    pub(crate) fn for_each_scheduler(
        &mut self,
        mut action: impl FnMut(&mut Context, &mut Scheduler),
    ) {
        let holders = self.partitions.holders.values_mut();
        for scheduler in self.leader.iter_mut().chain(holders) {
            action(&mut self.context, scheduler);
        }
    }

    /// Returns whether this controller can serve users' requests.
    pub fn is_healthy(&self) -> bool {
        self.context.catalogue.is_some()
            && self
                .context
                .has_store_contact(USER_REQUEST_CONTACT_TIMEOUT_US)
    }

    /// Routes a request of a user, an agent or a health check.
    fn on_front_request(&mut self, id: u64, method: &str, path: &str, body: &[u8]) {
        match (method, path) {
            ("GET", "/healthz") => self.on_health_check(id),
            ("POST", "/checkin") => self.on_heartbeat(id, body),
            ("POST", "/submissions") => self.on_submission(id, body),
            (_, "/healthz" | "/checkin" | "/submissions") => {
                self.context.refuse(id, 405, "wrong method for this path");
            }
            _ => match path.strip_prefix("/submissions/") {
                Some(rest) => self.on_job_request(id, method, rest),
                None => self.context.refuse(id, 404, "no such path"),
            },
        }
    }

    fn on_health_check(&mut self, id: u64) {
        if self.is_healthy() {
            return self.context.answer(id, 200, &"ok");
        }
        self.refuse_without_contact(id);
    }

    /// Refuses a request for now, since this controller has no contact with the store.
    pub(crate) fn refuse_without_contact(&mut self, id: u64) {
        self.context
            .refuse(id, 503, "no contact with the state service");
    }

    /// Routes a request about one job; `rest` is its path below `/submissions/`.
    fn on_job_request(&mut self, id: u64, method: &str, rest: &str) {
        match (method, rest.strip_suffix("/cancel")) {
            ("POST", Some(job)) => self.on_cancel(id, job),
            (_, Some(_)) => self.context.refuse(id, 405, "only POST"),
            ("GET", None) => self.on_poll(id, rest),
            (_, None) => self.context.refuse(id, 405, "only GET"),
        }
    }

    /// Handles a pause of the process of `pause` microseconds, as its steady clock shows it.
    fn on_process_pause(&mut self, pause: Micros) {
        let member = self.context.settings.member.as_str();
        warn!(member = member, pause_ms = pause / MILLI; "process was paused");
        self.context.record_resume();
        self.suspend_uncertain_leases();
    }

    fn run_timers(&mut self, watch: &mut dyn Stopwatch) {
        self.run_catalogue();
        self.run_election();
        self.run_job_view();
        self.run_leader(watch);
        self.run_partitions(watch);
        self.run_unproven_machines();
    }
}
