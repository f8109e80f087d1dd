//! Tests of the token bucket behind the controllers' rate limits.

use grebewood_core::rate_limiter::RateLimiter;
use grebewood_core::SECOND;

#[test]
fn a_bucket_refills_at_its_rate_and_no_deeper_than_a_second() {
    let mut bucket = RateLimiter::new(4.0);
    assert!((0..4).all(|_| bucket.try_acquire(0, 1.0)));
    assert!(!bucket.try_acquire(0, 1.0));
    assert_eq!(bucket.ready_at(0, 1.0), SECOND / 4);
    assert!(bucket.try_acquire(SECOND / 4, 1.0));
    assert_eq!(bucket.available(100 * SECOND), 4);
}
