//! What runs for the holder of a partition only.

pub(crate) mod orders;
pub(crate) mod placement;
