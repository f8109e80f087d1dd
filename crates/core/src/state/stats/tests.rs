use crate::state::stats::{Mean, Stats};
use grebewood_wire::http::to_value;
use grebewood_wire::json_size;

/// Users choose the names of classes, so their number is not limited. The record of averages must stay within the
/// size of a value of the key-value store nevertheless.
#[test]
fn the_record_keeps_the_averages_of_most_weight_within_a_limit() {
    let mut stats = Stats::default();
    for number in 0..100 {
        let (class, weight) = (format!("class-{number:03}"), f64::from(number));
        let mean = Mean { value: 1.5, weight };
        stats.ratios.insert(class.clone(), mean);
        stats.runs.insert((class, "std".into()), mean);
    }
    let boot = Mean {
        value: 9e6,
        weight: 1.0,
    };
    stats.boots.insert("std".into(), boot);
    let record = stats.record_within(2048);
    assert!(json_size(&to_value(&record)) <= 2048);
    assert_eq!((record.runs.len(), record.boots.len()), (0, 1));
    assert!(record.ratios.len() > 20);
    assert!(record.ratios.iter().any(|r| r.0 == "class-099"));
    assert!(record.ratios.iter().all(|r| r.0 != "class-000"));
    let all = stats.record_within(1_000_000);
    assert_eq!((all.runs.len(), all.ratios.len()), (100, 100));
}
