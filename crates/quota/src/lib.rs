//! Team limits as one figure while several controllers place tasks.
//!
//! A team may use no more than its ceiling across the whole cluster. The leader grants the holder of each
//! partition an allotment of a team's ceiling, and writes it before it is used; a holder starts tasks out
//! of its allotment without asking. What is allotted counts as used until the holder has said that it
//! will not use it, or whoever holds the partition next has.
//!
//! Like the scheduler's core this package is pure: inputs in, what to write and to send out. It does no
//! I/O and reads no clock.
//!
//! - [`limits`]: which guarantees and ceilings are in force while settings change;
//! - [`allotments`]: the leader's books;
//! - [`holder`]: a holder's books;
//! - [`overview`]: what an operator is shown, from the records alone.
//!
//! For each team, at any moment, and by the records alone for whoever leads next:
//!
//! ```text
//! used by tasks of the leader + sum over partitions of max(allotted, may be on record) <= ceiling in force
//! used by tasks of a partition's holder <= allotted to the partition, on record
//! ```
//!
//! unless the ceiling was lowered below what is used: then nothing new starts until the first line holds
//! again.

#![warn(missing_docs)]

pub mod grants;
pub mod holder_grant;
pub mod limits;
pub mod overview;
mod resources;

pub use grants::{GrantReduction, QuotaGrants};
pub use holder_grant::HolderGrant;
pub use limits::{Limits, LimitsInForce, TeamQuota};
pub use resources::{Resources, TeamAmounts};

/// Whole microseconds of a steady clock.
pub type Micros = u64;
