//! One controller process as a state machine: takes inputs and dispatches them to its parts.
//!
//! The submodules hold the parts that need the whole controller; state and rules are in [`crate::state`], the
//! work of the leader and of partition holders in [`crate::scheduler`].

use crate::calls::{CallPurpose, SchedulerCall};
use crate::context::Context;
use crate::controller::partitions::Partitions;
use crate::scheduler::Scheduler;
use crate::settings::{Settings, Tuning};
use crate::state::election::Election;
use crate::state::finished_jobs::{FinishedJobs, FinishedReads};
use crate::state::job_view::JobView;
use crate::state::unproven_machines::UnprovenMachines;
use crate::{Effect, Input, Interface, Micros, Now, Outcome, Stopwatch, Target, MILLI, SECOND};
use grebewood_wire as wire;
use grebewood_wire::peer::{PeerAnswer, PeerRequest};
use log::{debug, info, warn};
use std::collections::BTreeMap;

pub(crate) mod candidacy;
pub(crate) mod heartbeats;
pub(crate) mod job_view;
pub(crate) mod leader;
pub(crate) mod partition_claims;
pub(crate) mod partition_orders;
pub(crate) mod partitions;
pub(crate) mod peer_contact;
pub(crate) mod user_requests;

/// Without contact for this long, a node takes no requests.
pub const CONTACT_SPAN: Micros = 2_500 * MILLI;

/// One controller.
pub struct Controller {
    pub context: Context,
    pub election: Election,
    pub leader: Option<Box<Scheduler>>,
    pub finished: FinishedJobs,
    pub finished_reads: FinishedReads,
    pub job_view: JobView,
    /// What the leader last said of live jobs: completed and running tasks.
    pub progress: BTreeMap<String, (u64, u64)>,
    /// Its part in the partitions of the fleet.
    pub partitions: Partitions,
    /// What this node left unproven when it last stepped down.
    pub(crate) unproven: Option<UnprovenMachines>,
    catalogue_at: Micros,
    catalogue_from_store: bool,
    started: bool,
}

impl Controller {
    /// A controller that has just started; `seed` must differ between processes.
    pub fn new(settings: Settings, tuning: Tuning, seed: u64) -> Self {
        let context = Context::new(settings, tuning, seed);
        Controller {
            election: Election::new(seed),
            context,
            leader: None,
            finished: FinishedJobs::new(20_000),
            finished_reads: FinishedReads::new(),
            job_view: JobView::default(),
            progress: BTreeMap::new(),
            partitions: Partitions::default(),
            unproven: None,
            catalogue_at: 0,
            catalogue_from_store: true,
            started: false,
        }
    }

    /// Takes one input and returns what is to be done.
    pub fn step(&mut self, now: Now, input: Input, watch: &mut dyn Stopwatch) -> Vec<Effect> {
        let gap = now.steady.saturating_sub(self.context.now.steady);
        self.context.now = now;
        if !self.started {
            self.started = true;
            self.context.cancellations.begin(now.steady);
            info!("{}: started", self.context.settings.member);
        } else if gap > self.context.tuning.leader_lease_us / 2 {
            // Timers fire far more often than that: the process stood still while time went on.
            self.on_process_pause(gap);
        }
        match input {
            Input::Request {
                id,
                interface,
                method,
                path,
                body,
            } => self.on_request(id, interface, &method, &path, &body),
            Input::Gone { id } => {
                for leader in self.schedulers_mut() {
                    leader.forget_heartbeat(id);
                }
            }
            Input::Reply { call, outcome } => self.on_reply(call, outcome),
            Input::Tick => {}
        }
        self.run_timers(watch);
        std::mem::take(&mut self.context.effects)
    }

    /// When the next [`Input::Tick`] is due.
    pub fn next_wake(&self) -> Micros {
        let mut at = self.election.next_wake().min(self.job_view.next_wake());
        at = at.min(self.unproven_due());
        if self.context.catalogue.is_none() {
            at = at.min(self.catalogue_at);
        }
        for leader in self.leader.iter().chain(self.partitions.holders.values()) {
            at = at.min(leader.next_wake());
        }
        if self.context.supports_partitions() {
            at = at.min(self.partitions.next_wake());
        }
        at.max(self.context.now.steady + MILLI)
    }

    /// All grants that this node acts under: as the leader, and as the holder of partitions.
    pub(crate) fn schedulers_mut(&mut self) -> impl Iterator<Item = &mut Box<Scheduler>> {
        let holders = self.partitions.holders.values_mut();
        self.leader.iter_mut().chain(holders)
    }

    /// Whether this node can take users' requests.
    pub fn healthy(&self) -> bool {
        self.context.catalogue.is_some() && self.context.in_contact(CONTACT_SPAN)
    }

    fn on_request(&mut self, id: u64, interface: Interface, method: &str, path: &str, body: &[u8]) {
        if interface == Interface::Peer {
            return match (method, path) {
                ("POST", "/peer") => self.on_peer(id, body),
                (_, "/peer") => self.context.refuse(id, 405, "only POST"),
                _ => self.context.refuse(id, 404, "no such path"),
            };
        }
        match path {
            "/healthz" if method == "GET" => {
                if self.healthy() {
                    self.context.answer(id, 200, &"ok");
                } else {
                    self.context
                        .refuse(id, 503, "no contact with the state service");
                }
            }
            "/checkin" if method == "POST" => self.on_heartbeat(id, body),
            "/submissions" if method == "POST" => self.on_submission(id, body),
            "/healthz" | "/checkin" | "/submissions" => {
                self.context.refuse(id, 405, "wrong method for this path")
            }
            _ => match path.strip_prefix("/submissions/") {
                Some(rest) => match (method, rest.strip_suffix("/cancel")) {
                    ("POST", Some(job)) => self.on_cancel(id, job),
                    (_, Some(_)) => self.context.refuse(id, 405, "only POST"),
                    ("GET", None) => self.on_poll(id, rest),
                    (_, None) => self.context.refuse(id, 405, "only GET"),
                },
                None => self.context.refuse(id, 404, "no such path"),
            },
        }
    }

    fn on_peer(&mut self, id: u64, body: &[u8]) {
        let request: PeerRequest = match wire::from_peer(body) {
            Ok(request) => request,
            Err(e) => {
                warn!("peer: {e}");
                return self.context.refuse(id, 400, "not a peer message");
            }
        };
        let mut confirmed = None;
        let mut limits = None;
        let mut report = None;
        match request {
            PeerRequest::Contact {
                from,
                question,
                known_us,
                limits: wanted,
            } => {
                debug!("peer {from}: asks for contact");
                let now = self.context.now.steady;
                let answer = self
                    .context
                    .cancellations
                    .confirmed(question, known_us, now);
                confirmed = Some(answer).filter(|_| question > 0);
                limits = wanted.then(|| self.context.settings.limits().to_teams());
            }
            // Only the leader that the state service names may tell about progress.
            PeerRequest::Progress { from, token, jobs } => {
                if self.election.leader_is(&from, token) {
                    for (job, done, running) in jobs {
                        self.progress.insert(job, (done, running));
                    }
                    while self.progress.len() > 4_000 {
                        self.progress.pop_first();
                    }
                }
            }
            PeerRequest::Partition(orders) => report = self.on_orders(orders),
        }
        let answer = PeerAnswer {
            member: self.context.settings.member.clone(),
            store_contact_age_us: self.context.contact_age(),
            token: self.context.token,
            grant: self.election.grant(),
            confirmed,
            partitions: self.context.supports_partitions(),
            allotments: self.context.supports_quota_grants(),
            limits,
            report,
        };
        self.context.effects.push(Effect::Answer {
            id,
            status: 200,
            body: wire::to_peer(&answer),
            retry_after: None,
        });
    }

    fn on_reply(&mut self, call: u64, outcome: Outcome) {
        let Some((pending, made)) = self.context.take_call(call) else {
            return;
        };
        let stale = made < self.context.resumed_at();
        // Any answer but "unavailable" shows that the state service serves this node.
        let of_state = match &pending {
            CallPurpose::Election(_)
            | CallPurpose::User(_)
            | CallPurpose::JobView(_)
            | CallPurpose::Catalogue(true) => true,
            CallPurpose::Scheduler { what, .. } => !matches!(
                what,
                SchedulerCall::Fleet(_)
                    | SchedulerCall::Direct { .. }
                    | SchedulerCall::Orders { .. }
            ),
            CallPurpose::PartitionMap(_) | CallPurpose::PartitionClaim { .. } => true,
            _ => false,
        };
        if let (true, Outcome::Answer { status, .. }) = (of_state && !stale, &outcome) {
            if *status < 500 {
                self.context.last_contact = Some(self.context.now.steady);
            }
        }
        match pending {
            // What an election's answer said may have changed meanwhile: its outcome is unknown.
            CallPurpose::Election(step) if stale => self.on_election(step, Outcome::Unknown),
            CallPurpose::Election(step) => self.on_election(step, outcome),
            // So may what the renewal of a grant said, unless it says that the grant has ended.
            CallPurpose::Scheduler {
                what: SchedulerCall::Extend,
                ..
            } if stale && !matches!(outcome, Outcome::Answer { status: 404, .. }) => {}
            CallPurpose::Scheduler { token, what } => self.on_scheduler_reply(token, what, outcome),
            // A claim that was made before a standstill may have ended since.
            CallPurpose::PartitionClaim { partition, step } if stale => {
                self.on_claim(partition, step, Outcome::Unknown)
            }
            CallPurpose::PartitionClaim { partition, step } => {
                self.on_claim(partition, step, outcome)
            }
            CallPurpose::PartitionMap(call) => self.on_partition_map(call, outcome),
            // What users are told may have changed too: it is asked for anew.
            CallPurpose::User(user) if stale => self.on_user_reply(user, Outcome::Unknown),
            CallPurpose::JobView(what) if stale => self.on_job_view(what, made, Outcome::Unknown),
            CallPurpose::User(user) => self.on_user_reply(user, outcome),
            CallPurpose::JobView(what) => self.on_job_view(what, made, outcome),
            CallPurpose::Catalogue(from_store) => self.on_catalogue(from_store, outcome),
            CallPurpose::Contact { peer, question } => {
                self.on_contact(peer, question, made, outcome)
            }
            CallPurpose::Ignore => {}
        }
    }

    fn on_catalogue(&mut self, from_store: bool, outcome: Outcome) {
        let Outcome::Answer { status: 200, body } = outcome else {
            // Not in state yet: the cloud knows. Not at the cloud either: ask state again.
            self.catalogue_from_store = !from_store;
            return;
        };
        let machine_types = if from_store {
            wire::from_cbor::<wire::http::KeyValue<wire::http::Catalogue>>(&body).map(|e| e.value)
        } else {
            wire::from_cbor::<wire::http::Catalogue>(&body)
        };
        match machine_types {
            Ok(c) if !c.machine_types.is_empty() => self.context.catalogue = Some(c.machine_types),
            Ok(_) => self.catalogue_from_store = !from_store,
            Err(e) => {
                warn!("machine types: {e}");
                self.catalogue_from_store = !from_store;
            }
        }
    }

    /// The process stood still, by its clocks for `gap`.
    fn on_process_pause(&mut self, gap: Micros) {
        warn!("stood still for {} ms", gap / MILLI);
        self.context.note_resumed();
        self.suspend_uncertain_leases();
    }

    fn run_timers(&mut self, watch: &mut dyn Stopwatch) {
        let now = self.context.now.steady;
        if self.context.catalogue.is_none() && now >= self.catalogue_at {
            self.catalogue_at = now + 500 * MILLI;
            if self.catalogue_from_store {
                self.context
                    .read_key(wire::records::CATALOGUE, CallPurpose::Catalogue(true));
            } else if self.context.cloud.take(now, 1.0) {
                self.context.call(
                    Target::Cloud,
                    "GET",
                    "/machine_types".into(),
                    Vec::new(),
                    3 * SECOND,
                    CallPurpose::Catalogue(false),
                );
            }
        }
        self.run_election();
        self.run_job_view();
        self.run_leader(watch);
        self.run_partitions(watch);
        self.run_unproven();
    }
}
