//! Tests of the quotas in force while the members' settings change one after the other.

use grebewood_quota::{Limits, LimitsInForce, Resources, TeamQuota};

fn limits(teams: &[(&str, f64, f64)]) -> Limits {
    let quota = |guarantee: f64, limit: f64| TeamQuota {
        guarantee: Resources::of(guarantee, 0.0),
        limit: Resources::of(limit, 0.0),
    };
    let teams = teams.iter();
    Limits::new(teams.map(|(team, guarantee, limit)| (team.to_string(), quota(*guarantee, *limit))))
}

fn others() -> [String; 2] {
    ["m-1".to_string(), "m-2".to_string()]
}

fn limit(in_force: &LimitsInForce, team: &str) -> Option<f64> {
    Some(in_force.in_force().get(team)?.limit.cpus())
}

/// The limit is lowered as soon as one member announces a lower one, although the leader still has the old
/// settings. It is raised only after all members have announced a higher one.
#[test]
fn one_member_lowers_and_all_raise() {
    let (high, low) = (limits(&[("t", 4.0, 32.0)]), limits(&[("t", 4.0, 12.0)]));
    let mut in_force = LimitsInForce::new(Some(high.clone()), "m-0", high.clone(), others());
    assert!(in_force.apply_announcement("m-1", low.clone()));
    assert_eq!(limit(&in_force, "t"), Some(12.0));
    // The third member has not announced a limit yet. Then it announces the old one.
    assert!(!in_force.apply_announcement("m-2", high.clone()));
    assert_eq!(limit(&in_force, "t"), Some(12.0));
    assert!(in_force.apply_announcement("m-1", high));
    assert_eq!(limit(&in_force, "t"), Some(32.0));
}

/// A member with the old limit becomes the leader. Then a member that could not be reached for a long time is the
/// first to announce a higher limit.
#[test]
fn a_new_leader_acts_on_no_higher_limit_than_the_one_on_record() {
    let (high, low) = (limits(&[("t", 4.0, 32.0)]), limits(&[("t", 4.0, 12.0)]));
    let mut in_force = LimitsInForce::new(Some(low.clone()), "m-0", high.clone(), others());
    assert_eq!(limit(&in_force, "t"), Some(12.0));
    in_force.apply_announcement("m-1", high.clone());
    assert_eq!(limit(&in_force, "t"), Some(12.0));
    // The leader does not act on a limit higher than its own either.
    let in_force = LimitsInForce::new(Some(high), "m-0", low, others());
    assert_eq!(limit(&in_force, "t"), Some(12.0));
}

#[test]
fn without_a_record_the_leaders_own_settings_count() {
    let own = limits(&[("t", 4.0, 32.0)]);
    let in_force = LimitsInForce::new(None, "m-0", own.clone(), others());
    assert_eq!(in_force.in_force(), &own);
}

#[test]
fn a_team_that_a_member_does_not_know_may_use_nothing_until_all_do() {
    let (with, without) = (
        limits(&[("t", 4.0, 32.0), ("u", 0.0, 8.0)]),
        limits(&[("u", 0.0, 8.0)]),
    );
    let mut in_force = LimitsInForce::new(Some(with.clone()), "m-0", with.clone(), others());
    in_force.apply_announcement("m-1", without.clone());
    assert_eq!(limit(&in_force, "t"), Some(0.0));
    assert_eq!(limit(&in_force, "u"), Some(8.0));
    in_force.apply_announcement("m-2", without.clone());
    in_force.apply_announcement("m-0", without);
    assert_eq!(limit(&in_force, "t"), None);
    for member in ["m-0", "m-1"] {
        in_force.apply_announcement(member, with.clone());
        assert_eq!(limit(&in_force, "t"), Some(0.0));
    }
    in_force.apply_announcement("m-2", with);
    assert_eq!(limit(&in_force, "t"), Some(32.0));
}

#[test]
fn what_an_unknown_member_announces_is_ignored() {
    let own = limits(&[("t", 4.0, 32.0)]);
    let mut in_force = LimitsInForce::new(None, "m-0", own.clone(), others());
    assert!(!in_force.apply_announcement("m-9", limits(&[])));
    assert_eq!(in_force.in_force(), &own);
}

/// The guaranteed share never exceeds the limit in force.
#[test]
fn a_lowered_limit_lowers_the_guaranteed_share_too() {
    let (high, low) = (limits(&[("t", 20.0, 32.0)]), limits(&[("t", 10.0, 12.0)]));
    let mut in_force = LimitsInForce::new(Some(high.clone()), "m-0", high, others());
    in_force.apply_announcement("m-1", low);
    let quota = in_force.in_force().get("t").expect("the team");
    assert_eq!(quota.guarantee.cpus(), 10.0);
}

/// Amounts of tasks are rounded up, so that their sums are never less than the tasks use.
#[test]
fn amounts_are_rounded_up_to_millionths() {
    assert_eq!(Resources::of(0.29, 0.1).cpus, 290_000);
    assert_eq!(Resources::of(1.0 / 3.0, 0.0).cpus, 333_334);
    assert_eq!(Resources::of(1e12, 0.0).cpus, 1_000_000_000_000_000_000);
    assert_eq!(Resources::of(-1.0, f64::NAN), Resources::ZERO);
}
