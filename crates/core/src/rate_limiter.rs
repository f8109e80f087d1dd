//! Token buckets: the controllers share the rate limits of the key-value store and of the cloud.

use crate::{Micros, SECOND};

/// Tolerance when the level is compared with the tokens that are asked for, against rounding errors.
const LEVEL_TOLERANCE: f64 = 1e-9;

/// The lowest rate, in tokens a second, that waiting times are computed with.
const LOWEST_RATE: f64 = 1e-6;

/// A token bucket that holds one second's worth of tokens, unless it is made with more room.
#[derive(Clone, Debug)]
pub struct RateLimiter {
    /// Tokens a second.
    rate: f64,
    /// Most tokens that it holds.
    depth: f64,
    /// Tokens that it holds; negative after more than the depth was taken.
    level: f64,
    /// When the level was last brought up to date.
    refilled_at: Micros,
}

impl RateLimiter {
    /// A full bucket that refills `rate` tokens a second.
    pub fn new(rate: f64) -> Self {
        let depth = rate.max(1.0);
        RateLimiter {
            rate,
            depth,
            level: depth,
            refilled_at: 0,
        }
    }

    /// A full bucket with room for at least `depth` tokens.
    pub fn with_depth(rate: f64, depth: f64) -> Self {
        let mut bucket = RateLimiter::new(rate);
        bucket.depth = bucket.depth.max(depth);
        bucket.level = bucket.depth;
        bucket
    }

    /// Tokens that come each second.
    pub fn rate(&self) -> f64 {
        self.rate
    }

    fn refill(&mut self, now: Micros) {
        let passed = now.saturating_sub(self.refilled_at);
        self.refilled_at = self.refilled_at.max(now);
        let refilled = self.level + passed as f64 / SECOND as f64 * self.rate;
        self.level = refilled.min(self.depth);
    }

    /// Takes `tokens` if they are there, and returns whether they were. More than the depth is taken from a
    /// full bucket.
    pub fn take(&mut self, now: Micros, tokens: f64) -> bool {
        self.refill(now);
        let available = self.level + LEVEL_TOLERANCE >= tokens.min(self.depth);
        if available {
            self.level -= tokens;
        }
        available
    }

    /// Whole tokens that can be taken now.
    pub fn available(&mut self, now: Micros) -> usize {
        self.refill(now);
        self.level.max(0.0) as usize
    }

    /// When `tokens` will be there, in microseconds of the steady clock.
    pub fn ready_at(&mut self, now: Micros, tokens: f64) -> Micros {
        self.refill(now);
        let missing = (tokens.min(self.depth) - self.level).max(0.0);
        now + self.refill_time(missing)
    }

    /// How many microseconds `tokens` take to come.
    pub fn refill_time(&self, tokens: f64) -> Micros {
        (tokens / self.rate.max(LOWEST_RATE) * SECOND as f64).ceil() as Micros
    }

    /// Empties the bucket, as after an answer 429.
    pub fn drain(&mut self, now: Micros) {
        self.refill(now);
        self.level = self.level.min(0.0);
    }
}
