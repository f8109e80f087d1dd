//! What all parts of a controller share: settings, clocks, rate limiters, and the calls under way.

use crate::calls::CallPurpose;
use crate::cancellations::Cancellations;
use crate::rate_limiter::RateLimiter;
use crate::settings::{Settings, Tuning};
use crate::{Call, Effect, Micros, Now, Target, MILLI};
use grebewood_partition::PartitionId;
use grebewood_wire as wire;
use grebewood_wire::http::{MachineType, Refusal};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::BTreeMap;

/// How long the state service may take.
pub const STORE_TIMEOUT: Micros = 1_500 * MILLI;

/// With fewer puts a second for each member the leader places all tasks.
const LEAST_HOLDER_WRITES: f64 = 2.0;

/// The share of the state service's write rate that the leader takes.
const LEADER_WRITES: f64 = 0.7;

/// What of it all holders of partitions take together if they write assignments.
const HOLDER_WRITES: f64 = 0.2;

/// What a node is to the machines that it looks after.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// It decides for the whole fleet, and looks after the machines that are in no partition.
    Leader,
    /// It looks after the machines of this partition, on the leader's orders.
    Holder(PartitionId),
}

/// What all parts of a node share.
pub struct Context {
    pub settings: Settings,
    pub tuning: Tuning,
    pub now: Now,
    pub rng: SmallRng,
    pub effects: Vec<Effect>,
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
    /// The context of a controller that has just started; `seed` must differ between processes.
    pub(crate) fn new(settings: Settings, tuning: Tuning, seed: u64) -> Self {
        let nodes = settings.siblings.len() as f64 + 1.0;
        let (rps, write_rps) = (settings.store.rps, settings.store.write_rps);
        let user_writes = write_rps * (1.0 - LEADER_WRITES);
        let holder_rate = write_rps * HOLDER_WRITES / nodes;
        let leader_part = match tuning.grants_quota() && holder_rate >= LEAST_HOLDER_WRITES {
            true => LEADER_WRITES - HOLDER_WRITES,
            false => LEADER_WRITES,
        };
        Context {
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
            effects: Vec::new(),
            next_call: 0,
            calls: BTreeMap::new(),
            last_contact: None,
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

    /// Gets from the state service.
    pub fn get_from_store(&mut self, path: String, pending: CallPurpose) -> u64 {
        let nothing = Vec::new();
        self.call(Target::Store, "GET", path, nothing, STORE_TIMEOUT, pending)
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
            Target::Store,
            "POST",
            path.to_string(),
            wire::to_cbor(body),
            STORE_TIMEOUT,
            pending,
        )
    }

    pub fn answer<T: serde::Serialize>(&mut self, id: u64, status: u16, body: &T) {
        self.effects.push(Effect::Answer {
            id,
            status,
            body: wire::to_cbor(body),
            retry_after: None,
        });
    }

    /// Refuses a request at once; a temporary refusal says when to come back.
    pub fn refuse(&mut self, id: u64, status: u16, why: &str) {
        let temporary = matches!(status, 429 | 503 | 504);
        self.effects.push(Effect::Answer {
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
        self.catalogue.as_ref()?.iter().find(|t| t.name == name)
    }
}
