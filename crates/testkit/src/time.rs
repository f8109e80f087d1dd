//! Simulated time.

/// A time since the start of a scenario, or a duration, in microseconds.
pub type Micros = u64;

/// One millisecond.
pub const MILLISECOND: Micros = 1_000;
/// One second.
pub const SECOND: Micros = 1_000 * MILLISECOND;

/// Returns a duration from seconds; fractions of a microsecond are cut off.
pub fn from_seconds(seconds: f64) -> Micros {
    (seconds * 1e6) as Micros
}

/// Returns a duration in seconds.
pub fn as_seconds(duration: Micros) -> f64 {
    duration as f64 / 1e6
}
