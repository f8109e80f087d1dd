//! A digest of all effects of the controllers in a scenario, which are their responses and calls, and samples of
//! the records and messages that they write.
//!
//! The core is deterministic, so a change of the source code that keeps the behaviour keeps every digest. The
//! samples are stored records and peer messages that later versions must still read.

use grebewood_core::{Call, Effect, Target};
use grebewood_wire::http::{Operation, Transaction};
use grebewood_wire::peer::{PeerRequest, PeerResponse};
use grebewood_wire::{from_cbor, from_peer, to_cbor};
use sha2::{Digest, Sha256};
use std::collections::BTreeMap;

/// The size from which records and messages are not kept as samples.
const SAMPLE_SIZE_LIMIT_BYTES: usize = 2_000;

/// A collector of the effects of all controllers in one scenario.
#[derive(Default)]
pub struct Trace {
    hasher: Sha256,
    /// The largest sample of each kind. The kind of a record is the pattern of its key; that of a peer message is
    /// its variant and its parts that are not empty.
    samples: BTreeMap<String, Sample>,
}

/// A record or message as a controller wrote it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Sample {
    /// The key of a record; the variant and parts of a peer message.
    pub name: String,
    /// The encoded value: CBOR for a record, MessagePack for a peer message.
    pub bytes: Vec<u8>,
}

impl Trace {
    /// Adds an effect of a process at this simulated time to the digest, and takes samples of its records and
    /// messages.
    pub fn record_effect(&mut self, time_us: u64, process: &str, effect: &Effect) {
        self.hash_field(&time_us.to_be_bytes());
        self.hash_field(process.as_bytes());
        match effect {
            Effect::Answer {
                id,
                status,
                body,
                retry_after,
            } => {
                self.hash_field(b"answer");
                self.hash_field(&id.to_be_bytes());
                self.hash_field(&status.to_be_bytes());
                self.hash_field(body);
                self.hash_field(&retry_after.unwrap_or_default().to_be_bytes());
            }
            Effect::Call(call) => self.record_call(call),
        }
    }

    fn record_call(&mut self, call: &Call) {
        self.hash_field(b"call");
        self.hash_field(&call.id.to_be_bytes());
        self.hash_field(target_name(&call.target).as_bytes());
        self.hash_field(call.method.as_bytes());
        self.hash_field(call.path.as_bytes());
        self.hash_field(&call.body);
        self.hash_field(&call.timeout.to_be_bytes());
        if call.target == Target::Store && call.path == "/txn" {
            self.sample_records(&call.body);
        }
        if matches!(call.target, Target::Peer(_)) {
            self.sample_message("request", &call.body);
        }
    }

    /// Takes a sample of the response to a peer request.
    pub fn sample_answer(&mut self, body: &[u8]) {
        self.sample_message("answer", body);
    }

    /// Returns the digest of the effects that were recorded so far, in hexadecimal digits.
    pub fn digest(&self) -> String {
        let digest = self.hasher.clone().finalize();
        digest.iter().map(|byte| format!("{byte:02x}")).collect()
    }

    /// Returns the samples by kind.
    pub fn samples(&self) -> &BTreeMap<String, Sample> {
        &self.samples
    }

    /// Adds a field to the digest, after its length, so that different sequences of fields never give the same
    /// bytes.
    fn hash_field(&mut self, bytes: &[u8]) {
        self.hasher.update((bytes.len() as u64).to_be_bytes());
        self.hasher.update(bytes);
    }

    fn sample_records(&mut self, body: &[u8]) {
        let Ok(transaction) = from_cbor::<Transaction>(body) else {
            return;
        };
        for operation in transaction.apply {
            if let Operation::Put { put, value, .. } = operation {
                let kind = format!("record {}", key_pattern(&put));
                self.keep_largest(kind, &put, to_cbor(&value));
            }
        }
    }

    fn sample_message(&mut self, kind: &str, body: &[u8]) {
        let parts = match kind {
            "request" => from_peer(body).map(|request| request_parts(&request)),
            _ => from_peer(body).map(|response| response_parts(&response)),
        };
        if let Ok(parts) = parts {
            self.keep_largest(format!("{kind} {parts}"), &parts, body.to_vec());
        }
    }

    fn keep_largest(&mut self, kind: String, name: &str, bytes: Vec<u8>) {
        let largest_size = self
            .samples
            .get(&kind)
            .map_or(0, |sample| sample.bytes.len());
        if (largest_size + 1..SAMPLE_SIZE_LIMIT_BYTES).contains(&bytes.len()) {
            let name = name.to_string();
            self.samples.insert(kind, Sample { name, bytes });
        }
    }
}

/// Returns the name of a target in the digest. A changed name changes every digest.
fn target_name(target: &Target) -> String {
    match target {
        Target::Store => "state".into(),
        Target::Cloud => "cloud".into(),
        Target::Agent(address) => format!("worker {address}"),
        Target::Peer(index) => format!("peer {index}"),
    }
}

/// Returns the variant of a request and the names of its parts that are not empty.
fn request_parts(request: &PeerRequest) -> String {
    let orders = match request {
        PeerRequest::Contact { .. } => return "Contact".into(),
        PeerRequest::Progress { .. } => return "Progress".into(),
        PeerRequest::Partition(orders) => orders,
    };
    let mut parts = vec!["Partition"];
    let mut add_part = |is_present: bool, name| parts.extend(is_present.then_some(name));
    add_part(orders.sync.is_some(), "sync");
    add_part(!orders.launches.is_empty(), "launches");
    add_part(!orders.stops.is_empty(), "stops");
    add_part(!orders.acknowledged.is_empty(), "acknowledged");
    add_part(!orders.terminated.is_empty(), "released");
    if let Some(quota) = &orders.quota {
        add_part(true, "quota");
        add_part(!quota.work.is_empty(), "work");
        add_part(!quota.revoked.is_empty(), "recalled");
        add_part(!quota.reserved.is_empty(), "reserved");
    }
    parts.join("+")
}

/// Returns the names of the parts of a response that are not empty.
fn response_parts(response: &PeerResponse) -> String {
    let mut parts = vec!["answer"];
    let mut add_part = |is_present: bool, name| parts.extend(is_present.then_some(name));
    add_part(response.confirmed.is_some(), "confirmed");
    add_part(response.limits.is_some(), "limits");
    if let Some(report) = &response.report {
        add_part(!report.accepted.is_empty(), "accepted");
        add_part(!report.outcomes.is_empty(), "outcomes");
        add_part(!report.machines.is_empty(), "machines");
        add_part(!report.terminated.is_empty(), "gone");
        if let Some(quota) = &report.quota {
            add_part(true, "quota");
            add_part(!quota.waiting.is_empty(), "waiting");
            add_part(!quota.placed.is_empty(), "placed");
        }
    }
    parts.join("+")
}

/// Returns a key with each part that contains a digit replaced by `N`: the same for all records of a kind.
fn key_pattern(key: &str) -> String {
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
