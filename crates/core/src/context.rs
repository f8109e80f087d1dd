//! What all parts of a controller share: settings, clocks, rate limiters, and the calls under way.

use crate::calls::CallPurpose;
use crate::cancellations::Cancellations;
use crate::rate_limiter::RateLimiter;
use crate::settings::{Settings, StoreLimits, Tuning};
use crate::{Call, Effect, Micros, Now, Target, MILLI};
use grebewood_partition::PartitionId;
use grebewood_wire as wire;
use grebewood_wire::http::{ErrorResponse, MachineType};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::BTreeMap;

/// How long the store may take to answer, unless a call says otherwise.
pub const STORE_TIMEOUT: Micros = 1_500 * MILLI;

/// With fewer puts a second for each member the leader places all tasks.
const MIN_HOLDER_WRITES: f64 = 2.0;

/// The share of the store's write rate that the leader takes.
const LEADER_WRITE_SHARE: f64 = 0.7;

/// The part of that share that all holders of partitions take together if they write assignments.
const HOLDER_WRITE_SHARE: f64 = 0.2;

/// The share of the store's read rate that users' requests take.
const USER_READ_SHARE: f64 = 0.7;

/// How much of one second's puts a burst of submissions at one controller may take.
const USER_WRITE_BURST_SHARE: f64 = 0.4;

/// Puts that the leader may save up: the end of a job takes several changes at once, and under a small rate
/// these must add up.
const LEADER_WRITE_BURST: f64 = 4.0;

/// Puts that a holder may save up.
const HOLDER_WRITE_BURST: f64 = 2.0;

/// The share of the cloud's rate that this controller takes.
const CLOUD_SHARE: f64 = 0.8;

/// After how many seconds a request may be repeated that was refused for the moment.
const RETRY_AFTER_S: u32 = 1;

/// What a scheduler is to the machines that it looks after.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// It decides for the whole fleet, and looks after the machines that are in no partition.
    Leader,
    /// It looks after the machines of this partition, on the leader's orders.
    Holder(PartitionId),
}

/// What all parts of a controller share.
pub struct Context {
    /// What the platform handed over.
    pub settings: Settings,
    /// What operators tuned.
    pub tuning: Tuning,
    /// The clocks at the moment of the input.
    pub now: Now,
    /// The source of all randomness, seeded at the start.
    pub rng: SmallRng,
    /// What is to be done after this step, in order.
    pub effects: Vec<Effect>,
    last_call: u64,
    /// Calls under way: what the reply is for, and when the call was made.
    calls: BTreeMap<u64, (CallPurpose, Micros)>,
    /// Requests to the store on behalf of users.
    pub user_reads: RateLimiter,
    /// Puts on behalf of users.
    pub user_writes: RateLimiter,
    /// Puts of the leader.
    pub leader_writes: RateLimiter,
    /// Puts of this controller as the holder of partitions.
    pub holder_writes: RateLimiter,
    /// Requests to the cloud.
    pub cloud_requests: RateLimiter,
    /// When the store last answered, in microseconds of the steady clock.
    pub last_store_contact: Option<Micros>,
    /// When this process last resumed after a pause. A reply to a call made before may have waited
    /// in this process all that time: it is no contact and does not prove that a lease is valid.
    resumed_at: Micros,
    /// The machine types, once they are known.
    pub catalogue: Option<Vec<MachineType>>,
    /// Highest fencing token known.
    pub token: u64,
    /// Which confirmed cancellations this controller knows of.
    pub cancellations: Cancellations,
}

impl Context {
    /// The context of a controller that has just started; `seed` must differ between processes.
    pub(crate) fn new(settings: Settings, tuning: Tuning, seed: u64) -> Self {
        let members = settings.siblings.len() as f64 + 1.0;
        let StoreLimits { rps, write_rps, .. } = settings.store;
        let user_write_rate = write_rps * (1.0 - LEADER_WRITE_SHARE);
        let holder_rate = write_rps * HOLDER_WRITE_SHARE / members;
        let holders_write = tuning.grants_quota() && holder_rate >= MIN_HOLDER_WRITES;
        let leader_share = if holders_write {
            LEADER_WRITE_SHARE - HOLDER_WRITE_SHARE
        } else {
            LEADER_WRITE_SHARE
        };
        Context {
            user_reads: RateLimiter::new(rps * USER_READ_SHARE / members),
            user_writes: RateLimiter::with_depth(
                user_write_rate / members,
                write_rps * USER_WRITE_BURST_SHARE,
            ),
            leader_writes: RateLimiter::with_depth(
                write_rps * leader_share,
                write_rps.min(LEADER_WRITE_BURST),
            ),
            holder_writes: RateLimiter::with_depth(holder_rate, HOLDER_WRITE_BURST),
            cloud_requests: RateLimiter::new(settings.cloud_rps * CLOUD_SHARE),
            settings,
            tuning,
            now: Now::default(),
            rng: SmallRng::seed_from_u64(seed),
            effects: Vec::new(),
            last_call: 0,
            calls: BTreeMap::new(),
            last_store_contact: None,
            resumed_at: 0,
            catalogue: None,
            token: 0,
            cancellations: Cancellations::default(),
        }
    }

    /// What the reply to a call is for, and when the call was made. A second reply has no purpose.
    pub(crate) fn take_call(&mut self, call: u64) -> Option<(CallPurpose, Micros)> {
        self.calls.remove(&call)
    }

    /// The process was paused and runs again.
    pub(crate) fn note_resumed(&mut self) {
        self.resumed_at = self.now.steady;
    }

    /// Sends a call, whose reply is for `purpose`, and returns its number. `timeout` is in microseconds.
    pub fn call(
        &mut self,
        target: Target,
        method: &'static str,
        path: String,
        body: Vec<u8>,
        timeout: Micros,
        purpose: CallPurpose,
    ) -> u64 {
        self.last_call += 1;
        let id = self.last_call;
        self.calls.insert(id, (purpose, self.now.steady));
        self.effects.push(Effect::Call(Call {
            id,
            target,
            method,
            path,
            body,
            timeout,
        }));
        id
    }

    /// Gets from the store.
    pub fn get_from_store(&mut self, path: String, purpose: CallPurpose) -> u64 {
        let nothing = Vec::new();
        self.call(Target::Store, "GET", path, nothing, STORE_TIMEOUT, purpose)
    }

    /// Reads one key of the store.
    pub fn read_key(&mut self, key: &str, purpose: CallPurpose) -> u64 {
        self.get_from_store(format!("/kv/{key}"), purpose)
    }

    /// Posts to the store.
    pub fn post_to_store<T: serde::Serialize>(
        &mut self,
        path: &str,
        body: &T,
        purpose: CallPurpose,
    ) -> u64 {
        self.call(
            Target::Store,
            "POST",
            path.to_string(),
            wire::to_cbor(body),
            STORE_TIMEOUT,
            purpose,
        )
    }

    /// Answers a request.
    pub fn answer<T: serde::Serialize>(&mut self, id: u64, status: u16, body: &T) {
        self.effects.push(Effect::Answer {
            id,
            status,
            body: wire::to_cbor(body),
            retry_after: None,
        });
    }

    /// Refuses a request at once; a temporary refusal says when to come back.
    pub fn refuse(&mut self, id: u64, status: u16, reason: &str) {
        let temporary = matches!(status, 429 | 503 | 504);
        self.effects.push(Effect::Answer {
            id,
            status,
            body: wire::to_cbor(&ErrorResponse {
                error: reason.into(),
            }),
            retry_after: temporary.then_some(RETRY_AFTER_S),
        });
    }

    /// How many microseconds ago the store last answered.
    pub fn store_contact_age(&self) -> Option<Micros> {
        self.last_store_contact
            .map(|at| self.now.steady.saturating_sub(at))
    }

    /// When this process last resumed after a pause, in microseconds of the steady clock; 0 if it was never paused.
    pub fn resumed_at(&self) -> Micros {
        self.resumed_at
    }

    /// Whether the store has answered within the last `span` microseconds.
    pub fn has_store_contact(&self, span: Micros) -> bool {
        self.store_contact_age().is_some_and(|age| age <= span)
    }

    /// A random time of up to `most` microseconds.
    pub fn jitter(&mut self, most: Micros) -> Micros {
        self.rng.gen_range(0..=most)
    }

    /// Whether this controller may hold partitions, and lead members that hold some.
    pub fn supports_partitions(&self) -> bool {
        self.tuning.partitions_per_zone > 0
    }

    /// Whether this controller grants quota to holders of partitions, and places tasks out of such grants.
    pub fn supports_quota_grants(&self) -> bool {
        self.tuning.grants_quota()
    }

    /// Whether the store's write rate is enough for several members to write assignments: with a lower one,
    /// tasks wait longer for their holder's turn than for the leader.
    pub fn holders_can_write(&self) -> bool {
        self.holder_writes.rate() >= MIN_HOLDER_WRITES
    }

    /// The limit of the puts that a scheduler with this role may make.
    pub(crate) fn write_limiter(&mut self, role: Role) -> &mut RateLimiter {
        match role {
            Role::Leader => &mut self.leader_writes,
            Role::Holder(_) => &mut self.holder_writes,
        }
    }

    /// Ends a lease, which deletes what is attached to it.
    pub(crate) fn end_lease(&mut self, lease: u64) {
        self.call(
            Target::Store,
            "DELETE",
            format!("/leases/{lease}"),
            Vec::new(),
            STORE_TIMEOUT,
            CallPurpose::Ignore,
        );
    }

    /// The machine type with this name.
    pub fn machine_type(&self, name: &str) -> Option<&MachineType> {
        self.catalogue
            .as_ref()?
            .iter()
            .find(|machine_type| machine_type.name == name)
    }
}
