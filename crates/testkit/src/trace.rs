//! A digest of all that the controllers of a scenario do, and samples of what they write.
//!
//! The core is deterministic, so a change of the sources that leaves behaviour alone leaves every digest
//! the same. The samples are the stored records and peer messages that later sources must still read.

use grebewood_core::{Call, Effect, Target};
use grebewood_wire::http::{Operation, Transaction};
use grebewood_wire::peer::{PeerRequest, PeerResponse};
use grebewood_wire::{from_cbor, from_peer, to_cbor};
use sha2::{Digest, Sha256};
use std::collections::BTreeMap;

/// Larger records and messages are not kept as samples, in bytes.
const MAX_SAMPLE: usize = 2_000;

/// Collects the effects of every controller of one scenario.
#[derive(Default)]
pub struct Trace {
    hasher: Sha256,
    /// The largest sample of each kind: stored records by the shape of their key, peer messages by name.
    samples: BTreeMap<String, Sample>,
}

/// One record or message as it was written.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Sample {
    /// The key of a record; the kind of a peer message.
    pub name: String,
    /// The bytes, CBOR for a record and MessagePack for a peer message.
    pub bytes: Vec<u8>,
}

impl Trace {
    /// Adds an effect of a process at this simulated time, in microseconds.
    pub fn record_effect(&mut self, time_us: u64, process: &str, effect: &Effect) {
        self.field(&time_us.to_be_bytes());
        self.field(process.as_bytes());
        match effect {
            Effect::Answer {
                id,
                status,
                body,
                retry_after,
            } => {
                self.field(b"answer");
                self.field(&id.to_be_bytes());
                self.field(&status.to_be_bytes());
                self.field(body);
                self.field(&retry_after.unwrap_or_default().to_be_bytes());
            }
            Effect::Call(call) => self.add_call(call),
        }
    }

    fn add_call(&mut self, call: &Call) {
        self.field(b"call");
        self.field(&call.id.to_be_bytes());
        self.field(target_name(&call.target).as_bytes());
        self.field(call.method.as_bytes());
        self.field(call.path.as_bytes());
        self.field(&call.body);
        self.field(&call.timeout.to_be_bytes());
        if call.target == Target::Store && call.path == "/txn" {
            self.sample_records(&call.body);
        }
        if matches!(call.target, Target::Peer(_)) {
            self.sample_message("request", &call.body);
        }
    }

    /// Takes the answer to a peer message as a sample.
    pub fn sample_answer(&mut self, body: &[u8]) {
        self.sample_message("answer", body);
    }

    /// The digest of all effects so far, in hexadecimal digits.
    pub fn digest(&self) -> String {
        let digest = self.hasher.clone().finalize();
        digest.iter().map(|byte| format!("{byte:02x}")).collect()
    }

    /// The samples by kind.
    pub fn samples(&self) -> &BTreeMap<String, Sample> {
        &self.samples
    }

    /// A field is preceded by its length, so that no two sequences of fields are the same bytes.
    fn field(&mut self, bytes: &[u8]) {
        self.hasher.update((bytes.len() as u64).to_be_bytes());
        self.hasher.update(bytes);
    }

    fn sample_records(&mut self, body: &[u8]) {
        let Ok(transaction) = from_cbor::<Transaction>(body) else {
            return;
        };
        for operation in transaction.apply {
            if let Operation::Put { put, value, .. } = operation {
                let kind = format!("record {}", key_shape(&put));
                self.keep_largest(kind, &put, to_cbor(&value));
            }
        }
    }

    fn sample_message(&mut self, kind: &str, body: &[u8]) {
        let parts = match kind {
            "request" => from_peer(body).map(|request| request_parts(&request)),
            _ => from_peer(body).map(|answer| answer_parts(&answer)),
        };
        if let Ok(parts) = parts {
            self.keep_largest(format!("{kind} {parts}"), &parts, body.to_vec());
        }
    }

    fn keep_largest(&mut self, kind: String, name: &str, bytes: Vec<u8>) {
        let known = self
            .samples
            .get(&kind)
            .map_or(0, |sample| sample.bytes.len());
        if (known + 1..MAX_SAMPLE).contains(&bytes.len()) {
            let name = name.to_string();
            self.samples.insert(kind, Sample { name, bytes });
        }
    }
}

/// What a target is called in the digest, and must be for it to stay the same.
fn target_name(target: &Target) -> String {
    match target {
        Target::Store => "state".into(),
        Target::Cloud => "cloud".into(),
        Target::Agent(address) => format!("worker {address}"),
        Target::Peer(place) => format!("peer {place}"),
    }
}

/// The variant of a request, with the parts of it that are not empty.
fn request_parts(request: &PeerRequest) -> String {
    let orders = match request {
        PeerRequest::Contact { .. } => return "Contact".into(),
        PeerRequest::Progress { .. } => return "Progress".into(),
        PeerRequest::Partition(orders) => orders,
    };
    let mut parts = vec!["Partition"];
    let mut part = |present: bool, name| parts.extend(present.then_some(name));
    part(orders.sync.is_some(), "sync");
    part(!orders.launches.is_empty(), "launches");
    part(!orders.stops.is_empty(), "stops");
    part(!orders.acknowledged.is_empty(), "acknowledged");
    part(!orders.terminated.is_empty(), "released");
    if let Some(quota) = &orders.quota {
        part(true, "quota");
        part(!quota.work.is_empty(), "work");
        part(!quota.revoked.is_empty(), "recalled");
        part(!quota.reserved.is_empty(), "reserved");
    }
    parts.join("+")
}

/// The parts of an answer that are not empty.
fn answer_parts(answer: &PeerResponse) -> String {
    let mut parts = vec!["answer"];
    let mut part = |present: bool, name| parts.extend(present.then_some(name));
    part(answer.confirmed.is_some(), "confirmed");
    part(answer.limits.is_some(), "limits");
    if let Some(report) = &answer.report {
        part(!report.accepted.is_empty(), "accepted");
        part(!report.outcomes.is_empty(), "outcomes");
        part(!report.machines.is_empty(), "machines");
        part(!report.gone.is_empty(), "gone");
        if let Some(quota) = &report.quota {
            part(true, "quota");
            part(!quota.waiting.is_empty(), "waiting");
            part(!quota.placed.is_empty(), "placed");
        }
    }
    parts.join("+")
}

/// A key with its numbers replaced, which all records of a kind share.
fn key_shape(key: &str) -> String {
    let parts: Vec<&str> = key
        .split('/')
        .map(
            |part| match part.chars().any(|letter| letter.is_ascii_digit()) {
                true => "N",
                false => part,
            },
        )
        .collect();
    parts.join("/")
}
