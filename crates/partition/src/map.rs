//! The partition map, from the records in the key-value store.

use crate::hash_slots::{slot_of, SLOTS_PER_ZONE};
use crate::Micros;
use grebewood_wire::http::from_value;
use grebewood_wire::records::{partition_key, PartitionClaim, PartitionKey, PartitionRecord};
use grebewood_wire::{DecodeError, Value};
use std::collections::{BTreeMap, BTreeSet};
use thiserror::Error;

/// Number of a partition.
pub type PartitionId = u64;

/// A claim on record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Claim {
    /// The member that holds the partition.
    pub member: String,
    /// The incarnation of the controller that holds it.
    pub incarnation: u64,
    /// Time of day of the claim, in microseconds.
    pub claimed_us: Micros,
    /// The fencing token: the mod_revision of the claim.
    pub token: u64,
}

/// A partition on record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Partition {
    /// What the leader wrote.
    pub record: PartitionRecord,
    /// The mod_revision of that record.
    pub mod_revision: u64,
    /// The claim of the partition holder; `None`: it is not held.
    pub claim: Option<Claim>,
}

/// How far the handoff of a partition to its assigned holder is. It follows from both records together, so
/// a leader that ends in the middle of a handoff leaves no other state behind.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Held by the member that it is assigned to.
    Held,
    /// Held by another member, which is to give its claim up.
    Moving,
    /// Held by no member: its machines keep running tasks until their leases expire.
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

/// Why the value of a key was not applied to the map.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum RecordError {
    /// The key is neither that of a partition's record nor that of a claim.
    #[error("not the key of a partition")]
    NotAPartitionKey,
    /// The value cannot be decoded.
    #[error("{0}")]
    Decode(String),
    /// The range of hash slots is empty or exceeds the slots of a zone.
    #[error("invalid range of hash slots")]
    InvalidSlots,
    /// The name of the zone or of the assigned holder is empty.
    #[error("zone or holder is missing")]
    MissingName,
}

impl From<DecodeError> for RecordError {
    fn from(error: DecodeError) -> RecordError {
        RecordError::Decode(error.to_string())
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
    claims_without_record: BTreeMap<PartitionId, Claim>,
    /// Keys whose value cannot be read, until they are written anew or removed.
    unreadable: BTreeSet<String>,
}

impl PartitionMap {
    /// The partitions, ordered by number.
    pub fn iter(&self) -> impl Iterator<Item = (PartitionId, &Partition)> {
        self.partitions
            .iter()
            .map(|(id, partition)| (*id, partition))
    }

    /// The partition with this number.
    pub fn get(&self, id: PartitionId) -> Option<&Partition> {
        self.partitions.get(&id)
    }

    /// Whether there are no partitions.
    pub fn is_empty(&self) -> bool {
        self.partitions.is_empty()
    }

    /// The partition of a machine; `None` if it belongs to none, so that the leader manages it.
    pub fn partition_of_machine(&self, zone: &str, machine: &str) -> Option<PartitionId> {
        let records = self.iter().map(|(id, partition)| (id, &partition.record));
        partition_of(records, zone, machine)
    }

    /// Keys of the store whose value cannot be read.
    pub fn unreadable_keys(&self) -> impl Iterator<Item = &str> {
        self.unreadable.iter().map(String::as_str)
    }

    /// The keys of all partitions' records, and all unreadable keys.
    pub fn keys(&self) -> Vec<String> {
        let records = self.partitions.keys().map(|id| partition_key(*id));
        let keys: BTreeSet<String> = records.chain(self.unreadable.iter().cloned()).collect();
        keys.into_iter().collect()
    }

    /// Applies a key that was written.
    ///
    /// # Errors
    ///
    /// The value cannot be read. What was known of the partition before stays, since its range of hash slots
    /// never changes.
    pub fn apply_put(
        &mut self,
        key: &str,
        value: &Value,
        mod_revision: u64,
    ) -> Result<(), RecordError> {
        let outcome = match PartitionKey::parse(key) {
            None => Err(RecordError::NotAPartitionKey),
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
    ) -> Result<(), RecordError> {
        let record: PartitionRecord = from_value(value)?;
        if record.first_slot >= record.end_slot || record.end_slot > SLOTS_PER_ZONE {
            return Err(RecordError::InvalidSlots);
        }
        if record.zone.is_empty() || record.holder.is_empty() {
            return Err(RecordError::MissingName);
        }
        let early_claim = self.claims_without_record.remove(&id);
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
                    claim: early_claim,
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
    ) -> Result<(), RecordError> {
        let record: PartitionClaim = from_value(value)?;
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
                self.claims_without_record.insert(id, claim);
            }
        }
        Ok(())
    }

    /// Applies that a key was deleted at this revision.
    pub fn apply_delete(&mut self, key: &str, mod_revision: u64) {
        self.unreadable.remove(key);
        match PartitionKey::parse(key) {
            Some(PartitionKey::Record(id)) => {
                let partition = self.partitions.get(&id);
                if partition.is_some_and(|known| known.mod_revision <= mod_revision) {
                    self.partitions.remove(&id);
                }
            }
            Some(PartitionKey::Claim(id)) => {
                self.claims_without_record.remove(&id);
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

    /// Removes everything, before the keys are listed anew.
    pub fn clear(&mut self) {
        *self = PartitionMap::default();
    }
}
