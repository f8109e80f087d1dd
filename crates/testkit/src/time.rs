//! Simulated time.

/// A moment since the start of a scenario, or a span of time, in microseconds.
pub type Micros = u64;

/// A millisecond.
pub const MILLISECOND: Micros = 1_000;
/// A second.
pub const SECOND: Micros = 1_000 * MILLISECOND;

/// A span of so many seconds; fractions of a microsecond are cut off.
pub fn from_seconds(seconds: f64) -> Micros {
    (seconds * 1e6) as Micros
}

/// A span in seconds.
pub fn as_seconds(span: Micros) -> f64 {
    span as f64 / 1e6
}
