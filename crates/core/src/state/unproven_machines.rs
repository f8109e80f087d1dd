//! Machines on which an earlier term may have left tasks that are not proven gone.

use crate::Micros;

/// Machines on which a leader that stepped down could not prove cancelled tasks gone.
#[derive(Debug)]
pub(crate) struct UnprovenMachines {
    pub(crate) names: Vec<String>,
    /// When they are released, unless a successor can read of them in the state service.
    pub(crate) due: Micros,
}
