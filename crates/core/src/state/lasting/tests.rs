use crate::state::lasting::LastingConditions;
use crate::SECOND;

/// A round of placement that runs out of time may not observe a condition. If the condition began anew after that, a job
/// would be kept from free resources for longer than it may.
#[test]
fn a_condition_lasts_unless_it_is_not_observed_for_long() {
    let mut conditions = LastingConditions::default();
    assert!(conditions.observe(&"n-1", 10 * SECOND));
    assert!(!conditions.observe(&"n-1", 14 * SECOND));
    assert!(conditions.observe(&"n-2", 14 * SECOND));
    conditions.remove_lapsed(19 * SECOND);
    assert_eq!(conditions.since(&"n-1", 19 * SECOND), Some(10 * SECOND));
    assert_eq!(conditions.since(&"n-1", 20 * SECOND), None);
    assert!(conditions.observe(&"n-1", 20 * SECOND));
}
