//! One controller: dispatches inputs to the parts, and keeps what all of them share.

use crate::cancellations::Cancellations;
use crate::job_view::{JobView, JobViewCall};
use crate::leadership::Role;
use crate::leadership::{Election, Scheduler, UnprovenMachines};
use crate::rate_limiter::RateLimiter;
use crate::user_requests::{FinishedJobs, FinishedReads, UserRequest};
use crate::{
    fleet, leadership, partitions, Call, Effect, Input, Interface, Micros, Now, Outcome, Settings,
    Stopwatch, Target, Tuning, MILLI, SECOND,
};
use grebewood_partition::PartitionId;
use grebewood_wire as wire;
use grebewood_wire::http::{MachineType, Refusal};
use grebewood_wire::peer::{PeerAnswer, PeerRequest};
use log::{debug, info, warn};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::BTreeMap;

/// What a reply is for.
#[derive(Debug)]
pub enum CallPurpose {
    Election(leadership::ElectionStep),
    Scheduler {
        token: u64,
        what: SchedulerCall,
    },
    User(UserRequest),
    JobView(JobViewCall),
    /// The machine types, from state (true) or from the cloud.
    Catalogue(bool),
    /// A peer's contact with state and the cancellations it confirmed.
    Contact {
        peer: usize,
        question: u64,
    },
    /// The node's copy of the partition map.
    PartitionMap(partitions::MapCall),
    /// A claim on a partition.
    PartitionClaim {
        partition: PartitionId,
        step: partitions::ClaimStep,
    },
    /// Nothing depends on the reply.
    Ignore,
}

/// Calls that the leader waits for; a reply that comes after it stepped down is dropped.
#[derive(Debug)]
pub enum SchedulerCall {
    Extend,
    List {
        prefix: String,
    },
    Read {
        key: &'static str,
    },
    Watch {
        prefix: &'static str,
    },
    Flush,
    FlushReadBack,
    Refresh {
        key: String,
    },
    Fleet(fleet::FleetCall),
    Direct {
        machine: String,
    },
    /// Orders to the holder of a partition, under this claim.
    Orders {
        partition: PartitionId,
        claim: u64,
    },
}

/// What all parts of a node share.
pub struct Context {
    pub settings: Settings,
    pub tuning: Tuning,
    pub now: Now,
    pub rng: SmallRng,
    pub out: Vec<Effect>,
    next_call: u64,
    /// Calls under way: what the reply is for, and when the call was made.
    calls: BTreeMap<u64, (CallPurpose, Micros)>,
    /// Requests to the state service on behalf of users.
    pub reads: RateLimiter,
    /// Puts on behalf of users.
    pub writes: RateLimiter,
    /// Puts of the leader.
    pub leader_writes: RateLimiter,
    /// Puts of this node as the holder of partitions.
    pub holder_writes: RateLimiter,
    pub cloud: RateLimiter,
    pub last_contact: Option<Micros>,
    /// When this process last stood still and went on. A reply to a call made before may have lain
    /// here all that time: it is no contact and no proof of a grant.
    resumed_at: Micros,
    pub catalogue: Option<Vec<MachineType>>,
    /// Highest fencing token known.
    pub token: u64,
    /// Which confirmed cancellations this node knows of.
    pub cancellations: Cancellations,
}

impl Context {
    /// Sends a call; `pending` says what its reply is for.
    pub fn call(
        &mut self,
        target: Target,
        method: &'static str,
        path: String,
        body: Vec<u8>,
        timeout: Micros,
        pending: CallPurpose,
    ) -> u64 {
        self.next_call += 1;
        let id = self.next_call;
        self.calls.insert(id, (pending, self.now.steady));
        self.out.push(Effect::Call(Call {
            id,
            target,
            method,
            path,
            body,
            timeout,
        }));
        id
    }

    /// Gets from the state service.
    pub fn get_from_store(&mut self, path: String, pending: CallPurpose) -> u64 {
        let nothing = Vec::new();
        self.call(Target::State, "GET", path, nothing, STORE_TIMEOUT, pending)
    }

    /// Reads one key of the state service.
    pub fn read_key(&mut self, key: &str, pending: CallPurpose) -> u64 {
        self.get_from_store(format!("/kv/{key}"), pending)
    }

    /// Posts to the state service.
    pub fn post_to_store<T: serde::Serialize>(
        &mut self,
        path: &str,
        body: &T,
        pending: CallPurpose,
    ) -> u64 {
        self.call(
            Target::State,
            "POST",
            path.to_string(),
            wire::to_cbor(body),
            STORE_TIMEOUT,
            pending,
        )
    }

    pub fn answer<T: serde::Serialize>(&mut self, id: u64, status: u16, body: &T) {
        self.out.push(Effect::Answer {
            id,
            status,
            body: wire::to_cbor(body),
            retry_after: None,
        });
    }

    /// Refuses a request at once; a temporary refusal says when to come back.
    pub fn refuse(&mut self, id: u64, status: u16, why: &str) {
        let temporary = matches!(status, 429 | 503 | 504);
        self.out.push(Effect::Answer {
            id,
            status,
            body: wire::to_cbor(&Refusal { error: why.into() }),
            retry_after: temporary.then_some(1),
        });
    }

    pub fn contact_age(&self) -> Option<Micros> {
        self.last_contact
            .map(|at| self.now.steady.saturating_sub(at))
    }

    /// When this process last went on after it had stood still; 0 if it never did.
    pub fn resumed_at(&self) -> Micros {
        self.resumed_at
    }

    /// Whether the state service has answered within `span`.
    pub fn in_contact(&self, span: Micros) -> bool {
        self.contact_age().is_some_and(|age| age <= span)
    }

    /// A random time up to `most`.
    pub fn jitter(&mut self, most: Micros) -> Micros {
        self.rng.gen_range(0..=most)
    }

    /// Whether this node may hold partitions, and lead members that hold some.
    pub fn supports_partitions(&self) -> bool {
        self.tuning.partitions_per_zone > 0
    }

    /// Whether holders of partitions place tasks, or let this node grant them what they need for it.
    pub fn supports_quota_grants(&self) -> bool {
        self.tuning.grants_quota()
    }

    /// Whether the state service takes enough changes for several members to write assignments: with fewer,
    /// tasks wait longer for their holder's turn than for the leader.
    pub fn holders_can_write(&self) -> bool {
        self.holder_writes.rate() >= LEAST_HOLDER_WRITES
    }

    /// The puts that may be made under a grant.
    pub(crate) fn writes_of(&mut self, role: Role) -> &mut RateLimiter {
        match role {
            Role::Leader => &mut self.leader_writes,
            Role::Holder(_) => &mut self.holder_writes,
        }
    }

    /// Gives a lease back, and with it what is attached to it.
    pub(crate) fn end_lease(&mut self, lease: u64) {
        self.call(
            Target::State,
            "DELETE",
            format!("/leases/{lease}"),
            Vec::new(),
            STORE_TIMEOUT,
            CallPurpose::Ignore,
        );
    }

    /// The machine type with this name.
    pub fn machine_type(&self, name: &str) -> Option<&MachineType> {
        self.catalogue.as_ref()?.iter().find(|t| t.name == name)
    }
}

/// How long the state service may take.
pub const STORE_TIMEOUT: Micros = 1_500 * MILLI;
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
    pub partitions: partitions::Partitions,
    /// What this node left unproven when it last stepped down.
    pub(crate) unproven: Option<UnprovenMachines>,
    catalogue_at: Micros,
    catalogue_from_store: bool,
    started: bool,
}

/// The share of the state service's write rate that the leader takes.
const LEADER_WRITES: f64 = 0.7;
/// What of it all holders of partitions take together if they write assignments.
const HOLDER_WRITES: f64 = 0.2;
/// With fewer puts a second for each member the leader places all tasks.
const LEAST_HOLDER_WRITES: f64 = 2.0;

impl Controller {
    /// A controller that has just started; `seed` must differ between processes.
    pub fn new(settings: Settings, tuning: Tuning, seed: u64) -> Self {
        let nodes = settings.siblings.len() as f64 + 1.0;
        let (rps, write_rps) = (settings.state.rps, settings.state.write_rps);
        let user_writes = write_rps * (1.0 - LEADER_WRITES);
        let holder_rate = write_rps * HOLDER_WRITES / nodes;
        let leader_part = match tuning.grants_quota() && holder_rate >= LEAST_HOLDER_WRITES {
            true => LEADER_WRITES - HOLDER_WRITES,
            false => LEADER_WRITES,
        };
        let context = Context {
            reads: RateLimiter::new(rps * 0.7 / nodes),
            // A burst of submissions may use most of one second's worth at one node.
            writes: RateLimiter::with_depth(user_writes / nodes, write_rps * 0.4),
            // The end of a job takes several changes at once: under a small rate these must add up.
            leader_writes: RateLimiter::with_depth(write_rps * leader_part, write_rps.min(4.0)),
            holder_writes: RateLimiter::with_depth(holder_rate, 2.0),
            cloud: RateLimiter::new(settings.cloud_rps * 0.8),
            settings,
            tuning,
            now: Now::default(),
            rng: SmallRng::seed_from_u64(seed),
            out: Vec::new(),
            next_call: 0,
            calls: BTreeMap::new(),
            last_contact: None,
            resumed_at: 0,
            catalogue: None,
            token: 0,
            cancellations: Cancellations::default(),
        };
        Controller {
            election: Election::new(seed),
            context,
            leader: None,
            finished: FinishedJobs::new(20_000),
            finished_reads: FinishedReads::new(),
            job_view: JobView::default(),
            progress: BTreeMap::new(),
            partitions: partitions::Partitions::default(),
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
        std::mem::take(&mut self.context.out)
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
        self.context.out.push(Effect::Answer {
            id,
            status: 200,
            body: wire::to_peer(&answer),
            retry_after: None,
        });
    }

    fn on_reply(&mut self, call: u64, outcome: Outcome) {
        let Some((pending, made)) = self.context.calls.remove(&call) else {
            return;
        };
        let stale = made < self.context.resumed_at;
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
        self.context.resumed_at = self.context.now.steady;
        self.doubt_grant();
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
