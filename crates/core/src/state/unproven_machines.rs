//! Machines on which an earlier term may have left tasks that are not proven to have ended.

use crate::Micros;

/// Machines on which a leader that stepped down could not prove that cancelled tasks have ended.
#[derive(Debug)]
pub(crate) struct UnprovenMachines {
    /// The machines' names.
    pub(crate) names: Vec<String>,
    /// When they are terminated, unless a successor can read of them in the store by then.
    pub(crate) termination_due_at: Micros,
}
