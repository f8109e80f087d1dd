//! Cordons: why nothing new is placed on a machine, and what ends that.

/// Why nothing new is placed on a machine. A cordoned machine is terminated once it is empty.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cordon {
    /// The machine is being terminated. Nothing but its termination ends the cordon.
    Termination,
    /// The machine is not needed: it is idle, or its tasks are moved away, to save its price. It takes tasks again
    /// if some wait for free resources.
    ScaleIn,
    /// Tasks failed on the machine, which may be at fault. It takes tasks again once the failures are attributed to
    /// the failing jobs, and on trial if it does not become empty while tasks wait for free resources.
    Faulty,
}
