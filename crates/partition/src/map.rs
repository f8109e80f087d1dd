//! Partition map, built from the records in the key-value store: the record of each partition, which the leader
//! writes, and the claim of the partition holder.

use crate::hash_slots::{slot_of, SLOTS_PER_ZONE};
use crate::Micros;
use grebewood_wire::http::from_value;
use grebewood_wire::records::{partition_key, PartitionClaim, PartitionKey, PartitionRecord};
use grebewood_wire::{DecodeError, Value};
use std::collections::{BTreeMap, BTreeSet};
use thiserror::Error;

/// Number of a partition.
pub type PartitionId = u64;

/// Claim on a partition, as recorded in the key-value store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Claim {
    /// Name of the member that holds the partition.
    pub member: String,
    /// Incarnation of the controller process that holds the partition.
    pub incarnation: u64,
    /// Time of the claim, in microseconds since the Unix epoch.
    pub claimed_us: Micros,
    /// Fencing token of the partition's machines: the mod_revision of the claim.
    pub token: u64,
}

/// Partition, as recorded in the key-value store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Partition {
    /// Record that the leader wrote.
    pub record: PartitionRecord,
    /// Modification revision of that record.
    pub mod_revision: u64,
    /// Claim of the partition holder; `None`: no member holds the partition.
    pub claim: Option<Claim>,
}

/// Phase of the handoff of a partition to its assigned holder. The phase follows from the partition's record and
/// claim, so a leader that ends in the middle of a handoff leaves no other state behind.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// The partition is held by the member to which it is assigned.
    Held,
    /// The partition is held by another member than the assigned one, and that member has to release its claim.
    Moving,
    /// The partition is held by no member. The machines of the partition keep running their tasks until their leases
    /// expire.
    Unclaimed,
}

impl Partition {
    /// Returns the phase of the handoff, which follows from the partition's record and claim.
    pub fn phase(&self) -> Phase {
        match &self.claim {
            None => Phase::Unclaimed,
            Some(claim) if claim.member == self.record.holder => Phase::Held,
            Some(_) => Phase::Moving,
        }
    }
}

/// Reason why a record of the key-value store was not applied to the partition map.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum RecordError {
    /// The key is neither the key of a partition's record nor the key of a claim.
    #[error("not the key of a partition record or of a claim")]
    NotAPartitionKey,
    /// The value cannot be decoded.
    #[error("{0}")]
    Decode(String),
    /// The range of hash slots is empty or exceeds the slots of a zone.
    #[error("invalid range of hash slots")]
    InvalidSlots,
    /// The name of the zone or of the assigned holder is empty.
    #[error("the partition record names no zone or no assigned holder")]
    MissingName,
}

impl From<DecodeError> for RecordError {
    fn from(error: DecodeError) -> RecordError {
        RecordError::Decode(error.to_string())
    }
}

/// Returns the partition, among the given ones, that a machine belongs to.
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

/// Map of all partitions.
#[derive(Clone, Debug, Default)]
pub struct PartitionMap {
    partitions: BTreeMap<PartitionId, Partition>,
    /// Claims on partitions whose record is not known yet.
    claims_without_record: BTreeMap<PartitionId, Claim>,
    /// Keys of records that could not be applied to the map, until the key is overwritten with a valid record or
    /// deleted.
    unreadable: BTreeSet<String>,
}

impl PartitionMap {
    /// Returns the partitions, ordered by number.
    pub fn iter(&self) -> impl Iterator<Item = (PartitionId, &Partition)> {
        self.partitions
            .iter()
            .map(|(id, partition)| (*id, partition))
    }

    /// Returns the partition with this number.
    pub fn get(&self, id: PartitionId) -> Option<&Partition> {
        self.partitions.get(&id)
    }

    /// Returns whether there are no partitions.
    pub fn is_empty(&self) -> bool {
        self.partitions.is_empty()
    }

    /// Returns the partition of a machine; `None`: the machine belongs to no partition, and the leader manages it.
    pub fn partition_of_machine(&self, zone: &str, machine: &str) -> Option<PartitionId> {
        let records = self.iter().map(|(id, partition)| (id, &partition.record));
        partition_of(records, zone, machine)
    }

    /// Returns the keys in the key-value store whose value cannot be decoded.
    pub fn unreadable_keys(&self) -> impl Iterator<Item = &str> {
        self.unreadable.iter().map(String::as_str)
    }

    /// Returns the keys of all partitions' records and all keys whose value cannot be decoded.
    pub fn keys(&self) -> Vec<String> {
        let records = self.partitions.keys().map(|id| partition_key(*id));
        let keys: BTreeSet<String> = records.chain(self.unreadable.iter().cloned()).collect();
        keys.into_iter().collect()
    }

    /// Applies the write of a key.
    ///
    /// # Errors
    ///
    /// The key or its value cannot be decoded, or the value is invalid. The map keeps the earlier state of the
    /// partition, which stays usable because the range of hash slots never changes.
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

    /// Applies the write of a partition's record, unless the known record is newer.
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

    /// Applies the write of a partition's claim to the map. If the partition has a record, a known claim that is newer
    /// than the written one stays.
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

    /// Applies the deletion of a key at this revision.
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
                    let is_older = |claim: &Claim| claim.token <= mod_revision;
                    if partition.claim.as_ref().is_some_and(is_older) {
                        partition.claim = None;
                    }
                }
            }
            None => {}
        }
    }

    /// Removes all partitions, before the keys are listed again.
    pub fn clear(&mut self) {
        *self = PartitionMap::default();
    }
}
