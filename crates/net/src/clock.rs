//! The clocks that the event loop passes to the controller.

use grebewood_core::{Micros, Now, Stopwatch};
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// Measures the monotonic time since its start, and reads the wall-clock time.
pub(crate) struct Clock {
    start: Instant,
}

impl Clock {
    /// Returns a clock whose monotonic time starts now.
    pub(crate) fn start() -> Clock {
        Clock {
            start: Instant::now(),
        }
    }

    /// Returns the current time of both clocks.
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
