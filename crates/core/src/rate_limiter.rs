//! Token buckets, by which the controllers share the rate limits of the key-value store and of the cloud.

use crate::{Micros, SECOND};

/// Tolerance for rounding errors when the level is compared with the requested tokens.
const LEVEL_TOLERANCE: f64 = 1e-9;

/// Lowest rate for which waiting times are computed, in tokens a second.
const LOWEST_TOKENS_PER_S: f64 = 1e-6;

/// A token bucket. It holds the tokens of one second, but at least one token, unless it is created with a greater
/// depth.
#[derive(Clone, Debug)]
pub struct RateLimiter {
    /// Refill rate, in tokens a second.
    rate: f64,
    /// Most tokens that the bucket holds.
    depth: f64,
    /// Tokens that the bucket holds; negative after more than the depth was taken.
    level: f64,
    /// Time at which the level was last updated.
    refilled_at: Micros,
}

impl RateLimiter {
    /// Returns a full bucket that refills at `rate` tokens a second.
    pub fn new(rate: f64) -> Self {
        let depth = rate.max(1.0);
        RateLimiter {
            rate,
            depth,
            level: depth,
            refilled_at: 0,
        }
    }

    /// Returns a full bucket that holds at least `depth` tokens.
    pub fn with_depth(rate: f64, depth: f64) -> Self {
        let mut bucket = RateLimiter::new(rate);
        bucket.depth = bucket.depth.max(depth);
        bucket.level = bucket.depth;
        bucket
    }

    /// Returns the refill rate, in tokens a second.
    pub fn rate(&self) -> f64 {
        self.rate
    }

    fn refill(&mut self, now: Micros) {
        let passed = now.saturating_sub(self.refilled_at);
        self.refilled_at = self.refilled_at.max(now);
        let refilled = self.level + passed as f64 / SECOND as f64 * self.rate;
        self.level = refilled.min(self.depth);
    }

    /// Takes `tokens` if the bucket holds them, and returns whether it did. More tokens than the depth can be taken
    /// from a full bucket, which leaves its level negative.
    pub fn try_acquire(&mut self, now: Micros, tokens: f64) -> bool {
        self.refill(now);
        let available = self.level + LEVEL_TOLERANCE >= tokens.min(self.depth);
        if available {
            self.level -= tokens;
        }
        available
    }

    /// Returns the number of whole tokens that the bucket holds.
    pub fn available(&mut self, now: Micros) -> usize {
        self.refill(now);
        self.level.max(0.0) as usize
    }

    /// Returns when `tokens` can be taken, in microseconds of the steady clock.
    pub fn ready_at(&mut self, now: Micros, tokens: f64) -> Micros {
        self.refill(now);
        let missing = (tokens.min(self.depth) - self.level).max(0.0);
        now + self.refill_time(missing)
    }

    /// Returns how long the bucket takes to refill by `tokens`, in microseconds.
    pub fn refill_time(&self, tokens: f64) -> Micros {
        (tokens / self.rate.max(LOWEST_TOKENS_PER_S) * SECOND as f64).ceil() as Micros
    }

    /// Empties the bucket, as after a response with status 429.
    pub fn discard_tokens(&mut self, now: Micros) {
        self.refill(now);
        self.level = self.level.min(0.0);
    }
}
