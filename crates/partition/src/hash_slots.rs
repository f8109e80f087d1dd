//! Which machines form a partition: a machine's slot is a hash of its name, and a partition has a range
//! of the slots of one zone. So a machine that boots belongs to a partition from its first report on,
//! and a small record says of any number of machines where they belong.

/// Number of slots of a zone.
pub const SLOTS: u16 = 256;

const FNV_OFFSET: u32 = 0x811c_9dc5;
const FNV_PRIME: u32 = 0x0100_0193;

/// The slot of the machine with this name (FNV-1a). It must never change: all versions that hold
/// partitions side by side have to agree on it.
pub fn slot_of(machine: &str) -> u16 {
    let hash = machine.bytes().fold(FNV_OFFSET, |hash, byte| {
        (hash ^ u32::from(byte)).wrapping_mul(FNV_PRIME)
    });
    // The low bits of names that differ in their last digit only are spread less well.
    let mixed = hash ^ (hash >> 16);
    (mixed % u32::from(SLOTS)) as u16
}

/// The ranges of so many partitions of a zone: together they cover all slots, and none twice.
pub fn ranges(partitions: u16) -> Vec<(u16, u16)> {
    let partitions = partitions.clamp(1, SLOTS);
    let bound = |n: u16| (u32::from(SLOTS) * u32::from(n) / u32::from(partitions)) as u16;
    (0..partitions).map(|n| (bound(n), bound(n + 1))).collect()
}
