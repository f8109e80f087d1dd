//! Tests of the amounts that a partition holder may use of its quota grant.

use grebewood_quota::{HolderGrant, Resources};
use grebewood_wire::records::TeamAmount;

fn grant(cpus: u64) -> Vec<TeamAmount> {
    vec![TeamAmount {
        team: "t".into(),
        cpus: cpus * 1_000_000,
        gpus: 0,
    }]
}

/// The usage bound includes revoked amounts that tasks still use, also tasks whose write is in flight.
#[test]
fn usage_of_tasks_stays_in_the_bound_after_revocation() {
    let task = Resources::of(2.0, 0.0);
    let mut holder = HolderGrant::default();
    holder.set_granted(&grant(6));
    holder.reserve("t", task);
    holder.reserve("t", task);
    holder.set_granted(&grant(1));
    assert_eq!(holder.usage_bound(), grant(4));
    assert!(!holder.may_use("t", task));
    holder.release("t", task);
    holder.release("t", task);
    assert_eq!(holder.usage_bound(), grant(1));
}

#[test]
fn a_team_without_a_grant_may_use_nothing() {
    let task = Resources::of(1.0, 0.0);
    let mut holder = HolderGrant::default();
    assert!(!holder.may_use("t", task));
    holder.set_granted(&grant(2));
    assert!(holder.may_use("t", task) && !holder.may_use("u", task));
    holder.suspend();
    assert!(!holder.may_use("t", task));
}
