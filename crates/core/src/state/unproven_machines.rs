//! Machines on which cancelled tasks may still run after this controller has stepped down as the leader or released a
//! partition.

use crate::Micros;

/// Machines on which cancelled tasks were not proven to have ended when this controller stepped down as the leader
/// or released a partition.
#[derive(Debug)]
pub(crate) struct UnprovenMachines {
    /// Names of the machines.
    pub(crate) names: Vec<String>,
    /// Time at which the machines are terminated if this controller is still without contact with the key-value
    /// store. With contact, a successor reads from the store which tasks are on them.
    pub(crate) termination_due_at: Micros,
}
