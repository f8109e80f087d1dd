//! Checks of what users and workers send, by the protocol's names of the fields.

use crate::http::{Heartbeat, Shape, Submission};

/// Most tasks that a job may have.
pub const MAX_TASKS: u64 = 100_000;
/// Longest name, in bytes.
const MAX_NAME: usize = 150;
/// Largest amount.
const MAX_AMOUNT: f64 = 1e9;
/// Most machine types that a job may name.
const MAX_MACHINE_TYPES: usize = 64;

/// Whether `id` has the form of a job id: `req-` and digits.
pub fn valid_id(id: &str) -> bool {
    id.strip_prefix("req-").is_some_and(|digits| {
        (1..=40).contains(&digits.len()) && digits.bytes().all(|b| b.is_ascii_digit())
    })
}

fn valid_name(name: &str) -> bool {
    !name.is_empty() && name.len() <= MAX_NAME
}

impl Submission {
    /// What is wrong with a field, if anything is.
    pub fn invalid_field(&self) -> Option<String> {
        if !valid_id(&self.id) {
            return Some("uid: not of the form req-000000".into());
        }
        let names = [
            ("workclass", &self.class),
            ("owner", &self.team),
            ("bundle", &self.image),
        ];
        if let Some((field, _)) = names.iter().find(|(_, name)| !valid_name(name)) {
            return Some(format!("{field}: empty or too long"));
        }
        if Shape::of(self).is_none() {
            return Some("shape: not one of batch, gang and daemon".into());
        }
        if !(1..=MAX_TASKS).contains(&self.tasks) {
            return Some("shards: not within 1 and 100000".into());
        }
        let amounts = [
            ("vcpus", self.cpus),
            ("accelerators", self.gpus),
            ("memory_gb", self.memory_gb),
            ("pull_gb", self.image_gb),
            ("expected_s", self.expected_s),
            ("savepoint_s", self.checkpoint_interval_s),
            ("flush_s", self.checkpoint_duration_s),
            ("due_s", self.deadline_s.unwrap_or(0.0)),
        ];
        let valid_amount = |amount: f64| (0.0..=MAX_AMOUNT).contains(&amount);
        if let Some((field, _)) = amounts.iter().find(|(_, amount)| !valid_amount(*amount)) {
            return Some(format!("{field}: negative or too large"));
        }
        let machine_types = self.machine_types.as_deref().unwrap_or_default();
        if machine_types.len() > MAX_MACHINE_TYPES || !machine_types.iter().all(|t| valid_name(t)) {
            return Some("builds: too many or invalid names".into());
        }
        if self.zone.as_ref().is_some_and(|zone| !valid_name(zone)) {
            return Some("yard: empty or too long".into());
        }
        None
    }
}

impl Heartbeat {
    /// What is wrong with a field, if anything is.
    pub fn invalid_field(&self) -> Option<&'static str> {
        let names = [&self.machine, &self.zone, &self.machine_type];
        let valid = names.iter().all(|name| valid_name(name)) && self.incarnation > 0;
        (!valid).then_some("perch, yard, build or tenure is invalid")
    }
}
