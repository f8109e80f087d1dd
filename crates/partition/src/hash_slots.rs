//! Assignment of machines to partitions. A machine's hash slot follows from its name, and a partition owns a range
//! of the hash slots of one zone. So a machine that boots belongs to a partition from its first heartbeat on, and
//! one small record covers any number of machines.

/// Number of hash slots of a zone.
pub const SLOTS_PER_ZONE: u16 = 256;

const FNV_OFFSET: u32 = 0x811c_9dc5;
const FNV_PRIME: u32 = 0x0100_0193;

/// Returns the hash slot of the machine with this name (FNV-1a). The result for a name must never change, because
/// controllers of different versions that hold partitions at the same time have to agree on it.
pub fn slot_of(machine: &str) -> u16 {
    let hash = machine.bytes().fold(FNV_OFFSET, |hash, byte| {
        (hash ^ u32::from(byte)).wrapping_mul(FNV_PRIME)
    });
    // The low bits alone are distributed unevenly for names that differ only in their last digit.
    let mixed = hash ^ (hash >> 16);
    (mixed % u32::from(SLOTS_PER_ZONE)) as u16
}

/// Returns the slot ranges of a zone's partitions: the first slot of each range and the slot after its last one.
/// Together, the ranges cover every slot exactly once.
pub fn slot_ranges(partitions: u16) -> Vec<(u16, u16)> {
    let partitions = partitions.clamp(1, SLOTS_PER_ZONE);
    let bound =
        |index: u16| (u32::from(SLOTS_PER_ZONE) * u32::from(index) / u32::from(partitions)) as u16;
    (0..partitions)
        .map(|index| (bound(index), bound(index + 1)))
        .collect()
}
