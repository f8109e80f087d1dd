//! The context that all parts of a controller share: settings, clocks, rate limiters, and the calls under way.

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

/// Timeout of a call to the store, unless the caller sets another one.
pub const STORE_CALL_TIMEOUT_US: Micros = 1_500 * MILLI;

/// Lowest write rate of a member, in puts a second, at which holders write assignments. At a lower rate the
/// leader places all tasks.
const MIN_HOLDER_PUTS_PER_S: f64 = 2.0;

/// Share of the store's write rate that the leader uses.
const LEADER_WRITE_SHARE: f64 = 0.7;

/// Share of the store's write rate that all partition holders use together if they write assignments. It is taken
/// from [`LEADER_WRITE_SHARE`].
const HOLDER_WRITE_SHARE: f64 = 0.2;

/// Share of the store's read rate that users' requests use.
const USER_READ_SHARE: f64 = 0.7;

/// Part of one second's puts that a burst of submissions at one controller may use.
const USER_WRITE_BURST_SHARE: f64 = 0.4;

/// Burst of the leader, in puts: the end of a job takes several puts and deletes in one transaction, and a low rate
/// must be able to accumulate tokens for them.
const LEADER_WRITE_BURST_PUTS: f64 = 4.0;

/// Burst of a partition holder, in puts.
const HOLDER_WRITE_BURST_PUTS: f64 = 2.0;

/// Share of the cloud's request rate that this controller uses.
const CLOUD_SHARE: f64 = 0.8;

/// `Retry-After` of a temporary refusal, in seconds.
const RETRY_AFTER_S: u32 = 1;

/// The role in which a scheduler acts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// The leader, which decides for the whole fleet and manages the machines that are in no partition.
    Leader,
    /// The holder of this partition, which manages the partition's machines on the leader's orders.
    Holder(PartitionId),
}

/// The context that all parts of a controller share.
pub struct Context {
    /// Settings that the platform hands over.
    pub settings: Settings,
    /// Settings that operators tune.
    pub tuning: Tuning,
    /// The clocks at the moment of the input.
    pub now: Now,
    /// Source of all randomness, seeded at the start.
    pub rng: SmallRng,
    /// Effects of this step, in order.
    pub effects: Vec<Effect>,
    last_call_id: u64,
    /// Calls under way by number: the purpose of the reply, and when the call was made.
    calls: BTreeMap<u64, (CallPurpose, Micros)>,
    /// Rate limit of requests to the store on behalf of users.
    pub user_reads: RateLimiter,
    /// Rate limit of puts on behalf of users.
    pub user_writes: RateLimiter,
    /// Rate limit of the leader's puts and deletes.
    pub leader_writes: RateLimiter,
    /// Rate limit of the puts and deletes of this controller as a partition holder.
    pub holder_writes: RateLimiter,
    /// Rate limit of requests to the cloud.
    pub cloud_requests: RateLimiter,
    /// Time of the store's last response, in microseconds of the steady clock.
    pub last_store_contact: Option<Micros>,
    /// Time at which this process last resumed after a pause. A reply to a call that was made before may have
    /// waited in this process during the pause, so it does not count as contact with the store and does not prove
    /// that a lease is valid.
    resumed_at: Micros,
    /// Machine types, once they are known.
    pub catalogue: Option<Vec<MachineType>>,
    /// Highest fencing token that this controller knows of.
    pub token: u64,
    /// Cancellations that this controller knows of.
    pub cancellations: Cancellations,
}

impl Context {
    /// Returns the context of a controller that has just started; `seed` must differ between processes.
    pub(crate) fn new(settings: Settings, tuning: Tuning, seed: u64) -> Self {
        let members = settings.siblings.len() as f64 + 1.0;
        let StoreLimits { rps, write_rps, .. } = settings.store;
        let user_write_rate = write_rps * (1.0 - LEADER_WRITE_SHARE);
        let holder_rate = write_rps * HOLDER_WRITE_SHARE / members;
        let holders_write = tuning.grants_quota() && holder_rate >= MIN_HOLDER_PUTS_PER_S;
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
                write_rps.min(LEADER_WRITE_BURST_PUTS),
            ),
            holder_writes: RateLimiter::with_depth(holder_rate, HOLDER_WRITE_BURST_PUTS),
            cloud_requests: RateLimiter::new(settings.cloud_rps * CLOUD_SHARE),
            settings,
            tuning,
            now: Now::default(),
            rng: SmallRng::seed_from_u64(seed),
            effects: Vec::new(),
            last_call_id: 0,
            calls: BTreeMap::new(),
            last_store_contact: None,
            resumed_at: 0,
            catalogue: None,
            token: 0,
            cancellations: Cancellations::default(),
        }
    }

    /// Removes a call that was replied to from those under way, and returns its purpose and when it was made.
    /// `None`: it had a reply already.
    pub(crate) fn take_call(&mut self, call: u64) -> Option<(CallPurpose, Micros)> {
        self.calls.remove(&call)
    }

    /// Records that the process resumes after a pause.
    pub(crate) fn record_resume(&mut self) {
        self.resumed_at = self.now.steady;
    }

    /// Sends a call and returns its number. The reply is dispatched by `purpose`; `timeout` is in microseconds.
    pub fn call(
        &mut self,
        target: Target,
        method: &'static str,
        path: String,
        body: Vec<u8>,
        timeout: Micros,
        purpose: CallPurpose,
    ) -> u64 {
        self.last_call_id += 1;
        let id = self.last_call_id;
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

    /// Sends a GET request to the store.
    pub fn get_from_store(&mut self, path: String, purpose: CallPurpose) -> u64 {
        let nothing = Vec::new();
        self.call(
            Target::Store,
            "GET",
            path,
            nothing,
            STORE_CALL_TIMEOUT_US,
            purpose,
        )
    }

    /// Reads one key of the store.
    pub fn read_key(&mut self, key: &str, purpose: CallPurpose) -> u64 {
        self.get_from_store(format!("/kv/{key}"), purpose)
    }

    /// Sends a POST request to the store.
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
            STORE_CALL_TIMEOUT_US,
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

    /// Answers a request with an error. A temporary refusal carries `Retry-After`.
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

    /// Returns the time since the store's last response, in microseconds; `None`: it never answered.
    pub fn store_contact_age(&self) -> Option<Micros> {
        self.last_store_contact
            .map(|at| self.now.steady.saturating_sub(at))
    }

    /// Returns when this process last resumed after a pause, in microseconds of the steady clock; 0 if it was never
    /// paused.
    pub fn resumed_at(&self) -> Micros {
        self.resumed_at
    }

    /// Returns whether the store has answered within the last `span` microseconds.
    pub fn has_store_contact(&self, span: Micros) -> bool {
        self.store_contact_age().is_some_and(|age| age <= span)
    }

    /// Returns a random time of up to `limit` microseconds.
    pub fn jitter(&mut self, limit: Micros) -> Micros {
        self.rng.gen_range(0..=limit)
    }

    /// Returns whether this controller may hold partitions and, as the leader, assign partitions.
    pub fn supports_partitions(&self) -> bool {
        self.tuning.partitions_per_zone > 0
    }

    /// Returns whether this controller, as the leader, grants quota to partition holders and, as a holder, places
    /// tasks under such grants.
    pub fn supports_quota_grants(&self) -> bool {
        self.tuning.grants_quota()
    }

    /// Returns whether the store's write rate is enough for several members to write assignments. With a lower
    /// rate, tasks wait longer for their holder's writes than for the leader's.
    pub fn holders_can_write(&self) -> bool {
        self.holder_writes.rate() >= MIN_HOLDER_PUTS_PER_S
    }

    /// Returns the rate limit of the puts and deletes of a scheduler in this role.
    pub(crate) fn write_limiter(&mut self, role: Role) -> &mut RateLimiter {
        match role {
            Role::Leader => &mut self.leader_writes,
            Role::Holder(_) => &mut self.holder_writes,
        }
    }

    /// Ends a lease of the store, which deletes the keys that were put under it.
    pub(crate) fn end_lease(&mut self, lease: u64) {
        self.call(
            Target::Store,
            "DELETE",
            format!("/leases/{lease}"),
            Vec::new(),
            STORE_CALL_TIMEOUT_US,
            CallPurpose::Ignore,
        );
    }

    /// Returns the machine type with this name.
    pub fn machine_type(&self, name: &str) -> Option<&MachineType> {
        self.catalogue
            .as_ref()?
            .iter()
            .find(|machine_type| machine_type.name == name)
    }
}
