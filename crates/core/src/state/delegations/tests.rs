use crate::state::delegations::{Delegation, Delegations};
use grebewood_partition::PartitionId;
use grebewood_quota::Resources;
use std::collections::BTreeSet;

fn delegation(partition: PartitionId, waits: bool) -> Delegation {
    Delegation {
        partition,
        job_id: "req-1".into(),
        machine: "n-000001".into(),
        team: "t".into(),
        amount: Resources::of(2.0, 0.0),
        waits,
        level: 6,
        expected: 1,
        since: 0,
        sent: false,
        confirmed: false,
    }
}

fn two_tasks() -> Delegations {
    let mut delegations = Delegations::default();
    delegations.insert((4, 0), delegation(1, false));
    delegations.insert((4, 1), delegation(1, true));
    delegations
}

/// What a message has not carried yet cannot be in its answer.
#[test]
fn only_what_was_sent_can_be_given_back() {
    let mut delegations = two_tasks();
    delegations.note_sent(&[(4, 0)]);
    assert_eq!(delegations.returned(1, &BTreeSet::new()), [(4, 0)]);
}

#[test]
fn what_the_holder_has_is_not_sent_again() {
    let mut delegations = two_tasks();
    delegations.note_sent(&[(4, 0), (4, 1)]);
    assert_eq!(
        delegations.returned(1, &BTreeSet::from([(4, 0), (4, 1)])),
        []
    );
    assert!(delegations.of_partition(1).all(|(_, d)| d.confirmed));
}

/// Tasks that were given anew to a holder that had been asked for their job were once never sent to it.
#[test]
fn a_recall_is_over_once_it_is_answered() {
    let mut delegations = two_tasks();
    delegations.revoke(1, 4);
    // An answer to a message before the recall ends nothing.
    delegations.returned(1, &BTreeSet::new());
    assert!(delegations.is_revoked(1, 4));
    assert_eq!(delegations.ask_back(1), ["req-1"]);
    assert!(delegations.is_revoked(1, 4));
    delegations.returned(1, &BTreeSet::new());
    assert!(!delegations.is_revoked(1, 4));
}

#[test]
fn what_waits_is_summed_up_by_partition_and_team() {
    let mut delegations = two_tasks();
    assert_eq!(delegations.waiting(1, "t"), Resources::of(2.0, 0.0));
    assert_eq!(delegations.waiting(1, "u"), Resources::ZERO);
    delegations.remove((4, 1));
    assert_eq!(delegations.waiting(1, "t"), Resources::ZERO);
    assert!(delegations.has(1) && !delegations.has(2));
}
