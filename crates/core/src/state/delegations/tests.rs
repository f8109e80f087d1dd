use crate::state::delegations::{Delegation, Delegations, TaskKey};
use grebewood_partition::PartitionId;
use grebewood_quota::Resources;
use std::collections::BTreeSet;

const FIRST: TaskKey = TaskKey { job: 4, task: 0 };
const SECOND: TaskKey = TaskKey { job: 4, task: 1 };

fn delegation(partition: PartitionId, awaits_resources: bool) -> Delegation {
    Delegation {
        partition,
        job_id: "req-1".into(),
        machine: "n-000001".into(),
        team: "t".into(),
        amount: Resources::of(2.0, 0.0),
        awaits_resources,
        level: 6,
        expected_stay: 1,
        delegated_at: 0,
        sent: false,
        confirmed: false,
    }
}

fn two_tasks() -> Delegations {
    let mut delegations = Delegations::default();
    delegations.insert(FIRST, delegation(1, false));
    delegations.insert(SECOND, delegation(1, true));
    delegations
}

/// The response to a message cannot contain tasks that were not in the message. If their absence counted as a return,
/// they would be taken back before they were sent.
#[test]
fn only_what_was_sent_can_be_returned() {
    let mut delegations = two_tasks();
    delegations.mark_sent(&[FIRST]);
    assert_eq!(delegations.on_queue_reported(1, &BTreeSet::new()), [FIRST]);
}

#[test]
fn what_the_holder_has_is_not_sent_again() {
    let mut delegations = two_tasks();
    delegations.mark_sent(&[FIRST, SECOND]);
    let queued = BTreeSet::from([FIRST, SECOND]);
    assert_eq!(delegations.on_queue_reported(1, &queued), []);
    assert!(delegations.of_partition(1).all(|(_, d)| d.confirmed));
}

/// Tasks of a job are not sent while the job is being revoked. A revocation that never ended would keep tasks that
/// are delegated again from being sent.
#[test]
fn a_revocation_ends_once_it_is_answered() {
    let mut delegations = two_tasks();
    delegations.revoke(1, 4);
    // The response to a message that was sent before the revocation does not end the revocation.
    delegations.on_queue_reported(1, &BTreeSet::new());
    assert!(delegations.is_revoked(1, 4));
    assert_eq!(delegations.revocations_to_send(1), ["req-1"]);
    assert!(delegations.is_revoked(1, 4));
    delegations.on_queue_reported(1, &BTreeSet::new());
    assert!(!delegations.is_revoked(1, 4));
}

#[test]
fn what_awaits_resources_is_summed_up_by_partition_and_team() {
    let mut delegations = two_tasks();
    let two_cpus = Resources::of(2.0, 0.0);
    assert_eq!(delegations.awaiting_resources(1, "t"), two_cpus);
    assert_eq!(delegations.awaiting_resources(1, "u"), Resources::ZERO);
    delegations.remove(SECOND);
    assert_eq!(delegations.awaiting_resources(1, "t"), Resources::ZERO);
    assert!(delegations.has_tasks_in(1) && !delegations.has_tasks_in(2));
}
