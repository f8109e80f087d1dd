//! The partition map, as the records in the state service have it.

use crate::hash_slots::{slot_of, SLOTS};
use grebewood_wire::http::from_value;
use grebewood_wire::records::{PartitionClaim, PartitionKey, PartitionRecord};
use grebewood_wire::Value;
use std::collections::{BTreeMap, BTreeSet};

/// Number of a partition.
pub type PartitionId = u64;

/// A claim on record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Claim {
    /// Who holds the partition.
    pub member: String,
    /// The process that holds it.
    pub incarnation: u64,
    /// Time of day of the claim, in microseconds.
    pub claimed_us: u64,
    /// The fencing token: the stamp of the claim.
    pub token: u64,
}

/// A partition on record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Partition {
    /// What the leader wrote.
    pub record: PartitionRecord,
    /// The stamp of its record.
    pub mod_revision: u64,
    /// Who holds it.
    pub claim: Option<Claim>,
}

/// How far a partition is from being held by the member that is to hold it. Both records together say
/// so: a leader that ends in the middle of a move leaves nothing behind that they do not tell.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Held by whom it is assigned to.
    Held,
    /// Held by another member, which is to give it back.
    Moving,
    /// Held by nobody: its machines go on until their leases run out.
    Unclaimed,
}

impl Partition {
    /// The phase that the records tell.
    pub fn phase(&self) -> Phase {
        match &self.claim {
            None => Phase::Unclaimed,
            Some(claim) if claim.member == self.record.holder => Phase::Held,
            Some(_) => Phase::Moving,
        }
    }
}

/// The one of these partitions that a machine is in.
pub fn partition_of<'a>(
    partitions: impl IntoIterator<Item = (PartitionId, &'a PartitionRecord)>,
    zone: &str,
    machine: &str,
) -> Option<PartitionId> {
    let slot = slot_of(machine);
    let mut found = partitions.into_iter().filter(|(_, record)| {
        record.zone == zone && (record.first_slot..record.end_slot).contains(&slot)
    });
    found.next().map(|(id, _)| id)
}

/// All partitions.
#[derive(Clone, Debug, Default)]
pub struct PartitionMap {
    partitions: BTreeMap<PartitionId, Partition>,
    /// Claims on partitions whose record is not known yet.
    early_claims: BTreeMap<PartitionId, Claim>,
    /// Keys whose value cannot be read, until they are written anew or removed.
    unreadable: BTreeSet<String>,
}

impl PartitionMap {
    /// The partitions in order of their numbers.
    pub fn iter(&self) -> impl Iterator<Item = (PartitionId, &Partition)> {
        self.partitions
            .iter()
            .map(|(id, partition)| (*id, partition))
    }

    /// The partition with this number.
    pub fn get(&self, id: PartitionId) -> Option<&Partition> {
        self.partitions.get(&id)
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.partitions.is_empty()
    }

    /// The partition of a machine; `None` if it belongs to none, so that the leader looks after it.
    pub fn find(&self, zone: &str, machine: &str) -> Option<PartitionId> {
        let records = self.iter().map(|(id, partition)| (id, &partition.record));
        partition_of(records, zone, machine)
    }

    /// Keys whose value cannot be read.
    pub fn unreadable(&self) -> impl Iterator<Item = &str> {
        self.unreadable.iter().map(String::as_str)
    }

    /// Every key on record, readable or not.
    pub fn keys(&self) -> Vec<String> {
        let records = self.partitions.keys();
        let mut keys: Vec<String> = records
            .map(|id| grebewood_wire::records::partition_key(*id))
            .collect();
        keys.extend(self.unreadable.iter().cloned());
        keys.sort();
        keys.dedup();
        keys
    }

    /// Takes in a key that was written. The error says why its value is set aside; what was known of
    /// the partition before stays, since its machines' range never changes.
    pub fn put(&mut self, key: &str, value: &Value, mod_revision: u64) -> Result<(), String> {
        let outcome = match PartitionKey::parse(key) {
            None => Err("no key of a partition".to_string()),
            Some(PartitionKey::Record(id)) => self.put_record(id, value, mod_revision),
            Some(PartitionKey::Claim(id)) => self.put_claim(id, value, mod_revision),
        };
        match &outcome {
            Ok(()) => self.unreadable.remove(key),
            Err(_) => self.unreadable.insert(key.to_string()),
        };
        outcome
    }

    fn put_record(
        &mut self,
        id: PartitionId,
        value: &Value,
        mod_revision: u64,
    ) -> Result<(), String> {
        let record: PartitionRecord = from_value(value).map_err(|e| e.to_string())?;
        if record.first_slot >= record.end_slot || record.end_slot > SLOTS {
            return Err("no range of slots".into());
        }
        if record.zone.is_empty() || record.holder.is_empty() {
            return Err("a name is missing".into());
        }
        let early = self.early_claims.remove(&id);
        match self.partitions.get_mut(&id) {
            Some(known) if mod_revision < known.mod_revision => {}
            Some(known) => {
                known.record = record;
                known.mod_revision = mod_revision;
            }
            None => {
                let partition = Partition {
                    record,
                    mod_revision,
                    claim: early,
                };
                self.partitions.insert(id, partition);
            }
        }
        Ok(())
    }

    fn put_claim(
        &mut self,
        id: PartitionId,
        value: &Value,
        mod_revision: u64,
    ) -> Result<(), String> {
        let record: PartitionClaim = from_value(value).map_err(|e| e.to_string())?;
        let claim = Claim {
            member: record.member,
            incarnation: record.incarnation,
            claimed_us: record.claimed_us,
            token: mod_revision,
        };
        match self.partitions.get_mut(&id) {
            Some(partition) => {
                let known = partition.claim.as_ref().map_or(0, |c| c.token);
                if mod_revision >= known {
                    partition.claim = Some(claim);
                }
            }
            None => {
                self.early_claims.insert(id, claim);
            }
        }
        Ok(())
    }

    /// Takes in that a key was removed at this revision.
    pub fn delete(&mut self, key: &str, mod_revision: u64) {
        self.unreadable.remove(key);
        match PartitionKey::parse(key) {
            Some(PartitionKey::Record(id)) => {
                self.partitions
                    .retain(|known, p| *known != id || p.mod_revision > mod_revision);
            }
            Some(PartitionKey::Claim(id)) => {
                self.early_claims.remove(&id);
                if let Some(partition) = self.partitions.get_mut(&id) {
                    let older = |claim: &Claim| claim.token <= mod_revision;
                    if partition.claim.as_ref().is_some_and(older) {
                        partition.claim = None;
                    }
                }
            }
            None => {}
        }
    }

    /// Forgets everything, before the keys are listed anew.
    pub fn clear(&mut self) {
        *self = PartitionMap::default();
    }
}
