//! The time that the controller is told.

use grebewood_core::{Micros, Now, Stopwatch};
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// Monotonic time since the start of the process, and wall-clock time.
pub(crate) struct Clock {
    start: Instant,
}

impl Clock {
    /// A clock that starts now.
    pub(crate) fn start() -> Clock {
        Clock {
            start: Instant::now(),
        }
    }

    pub(crate) fn now(&self) -> Now {
        let since_epoch = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Now {
            steady: self.start.elapsed().as_micros() as Micros,
            wall: since_epoch.as_micros() as Micros,
        }
    }
}

/// Measures the duration of one step of the controller.
pub(crate) struct StepStopwatch(Instant);

impl StepStopwatch {
    pub(crate) fn start() -> StepStopwatch {
        StepStopwatch(Instant::now())
    }
}

impl Stopwatch for StepStopwatch {
    fn elapsed(&mut self) -> Micros {
        self.0.elapsed().as_micros() as Micros
    }
}
