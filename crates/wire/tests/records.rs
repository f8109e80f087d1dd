//! Tests of the parsing of record keys.

use grebewood_wire::records::{cancel_key, JobKey};

/// The keys of this version and of the previous one are parsed. Other keys are not keys of jobs.
#[test]
fn keys_of_both_versions_are_read() {
    assert_eq!(JobKey::parse("job/req-1"), Some(JobKey::Live("req-1")));
    let cancelled = Some(JobKey::Cancelled("req-1"));
    assert_eq!(JobKey::parse(&cancel_key("req-1")), cancelled);
    assert_eq!(JobKey::parse("cancel/req-1"), cancelled);
    assert_eq!(JobKey::parse("past/req-1"), None);
    assert_eq!(JobKey::parse("done/0"), None);
}
