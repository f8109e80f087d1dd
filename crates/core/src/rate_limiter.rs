//! Token buckets: the controllers share the rate limits of the key-value store and of the cloud.

use crate::{Micros, SECOND};

/// A token bucket that holds at most one second's worth.
#[derive(Clone, Debug)]
pub struct RateLimiter {
    rate: f64,
    depth: f64,
    level: f64,
    at: Micros,
}

impl RateLimiter {
    /// A full bucket that refills `rate` tokens a second.
    pub fn new(rate: f64) -> Self {
        let depth = rate.max(1.0);
        RateLimiter {
            rate,
            depth,
            level: depth,
            at: 0,
        }
    }

    /// A full bucket with room for at least `depth` tokens.
    pub fn with_depth(rate: f64, depth: f64) -> Self {
        let mut bucket = RateLimiter::new(rate);
        bucket.depth = bucket.depth.max(depth);
        bucket.level = bucket.depth;
        bucket
    }

    /// Changes the rate, as when a node becomes the leader.
    pub fn set_rate(&mut self, now: Micros, rate: f64) {
        self.refill(now);
        self.rate = rate;
        self.depth = rate.max(1.0);
        self.level = self.level.min(self.depth);
    }

    /// Tokens that come each second.
    pub fn rate(&self) -> f64 {
        self.rate
    }

    fn refill(&mut self, now: Micros) {
        let passed = now.saturating_sub(self.at);
        self.at = self.at.max(now);
        self.level = (self.level + passed as f64 / SECOND as f64 * self.rate).min(self.depth);
    }

    /// Takes `n` tokens if they are there. More than the depth is taken from a full bucket.
    pub fn take(&mut self, now: Micros, n: f64) -> bool {
        self.refill(now);
        if self.level + 1e-9 >= n.min(self.depth) {
            self.level -= n;
            true
        } else {
            false
        }
    }

    /// Whole tokens that can be taken now.
    pub fn available(&mut self, now: Micros) -> usize {
        self.refill(now);
        self.level.max(0.0) as usize
    }

    /// When `n` tokens will be there.
    pub fn ready_at(&mut self, now: Micros, n: f64) -> Micros {
        self.refill(now);
        let missing = (n.min(self.depth) - self.level).max(0.0);
        now + (missing / self.rate.max(1e-6) * SECOND as f64).ceil() as Micros
    }

    /// How long `n` tokens take to come.
    pub fn time_for(&self, n: f64) -> Micros {
        (n / self.rate.max(1e-6) * SECOND as f64).ceil() as Micros
    }

    /// Empties the bucket, as after an answer 429.
    pub fn drain(&mut self, now: Micros) {
        self.refill(now);
        self.level = self.level.min(0.0);
    }
}
