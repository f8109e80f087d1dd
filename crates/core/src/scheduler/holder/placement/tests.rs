use crate::context::Role;
use crate::controller::Controller;
use crate::scheduler::{FencedLease, Scheduler};
use crate::state::jobs::Job;
use crate::state::long_polls::HeldHeartbeat;
use crate::state::machine::{Assignment, Machine};
use crate::test_support::{first_heartbeat, job_record, unread_leader, WALL};
use crate::{Effect, NoStopwatch, Target, SECOND};
use grebewood_wire::http::{MachineType, Transaction};
use grebewood_wire::peer::{
    DelegatedTask, DelegatedWork, PartitionOrders, PartitionReport, PlacedTask, QuotaOrders,
};
use grebewood_wire::records::{claim_key, quota_grant_key, TeamAmount, LEADER, LIMITS};

const MACHINE: &str = "n-000001";

const TERM: u64 = 7;

const CLAIM: u64 = 9;

const LIMITS_STAMP: u64 = 8;

fn machine_type() -> MachineType {
    MachineType {
        name: "std".into(),
        cpus: 8.0,
        gpus: 0.0,
        memory_gb: 32.0,
        local_gb: Some(50.0),
        fetch_gb_per_s: Some(1.0),
        price: 1.0,
        spot_price: None,
        boot_s: 5.0,
        zones: vec!["a".into()],
    }
}

/// The holder of partition 1 with one machine, which has learnt that nothing is on it.
fn holder() -> (Controller, Scheduler) {
    let mut node = unread_leader(20 * SECOND);
    (
        node.context.tuning.partitions_per_zone,
        node.context.tuning.allotments,
    ) = (3, 1);
    node.context.catalogue = Some(vec![machine_type()]);
    let now = node.context.now.steady;
    let grant = FencedLease {
        token: CLAIM,
        lease: 1,
        lease_requested_at: now,
    };
    let mut holder = Scheduler::new(&node.context, Role::Holder(1), grant);
    holder.jobs.insert(Job::new(job_record(4), now, WALL));
    let kind = machine_type();
    let mut machine = Machine::new(&first_heartbeat(), Some(&kind), now);
    (machine.incarnation, machine.receives_responses) = (1, true);
    holder.machines.insert(MACHINE.into(), machine);
    let sync = PartitionOrders {
        sync: Some(Vec::new()),
        ..orders(1, 0, &[])
    };
    let report = holder.carry_out_orders(&mut node.context, sync);
    assert!(report.is_some_and(|report| report.synced));
    (node, holder)
}

/// Orders that allot so many CPUs and give these tasks.
fn orders(sequence: u64, cpus: u64, tasks: &[u64]) -> PartitionOrders {
    let task = |task: &u64| DelegatedTask {
        task: *task,
        machine: MACHINE.into(),
        waits: false,
    };
    let work = DelegatedWork {
        job: "req-1".into(),
        level: 6,
        expected_us: SECOND,
        tasks: tasks.iter().map(task).collect(),
    };
    let amount = TeamAmount {
        team: "t".into(),
        cpus: cpus * 1_000_000,
        gpus: 0,
    };
    PartitionOrders {
        from: "perch-0".into(),
        term: TERM,
        sequence,
        partition: 1,
        claim: CLAIM,
        quota: Some(Box::new(QuotaOrders {
            number: sequence,
            limits: LIMITS_STAMP,
            allotment: vec![amount],
            work: vec![work],
            ..QuotaOrders::default()
        })),
        ..PartitionOrders::default()
    }
}

fn give(node: &mut Controller, holder: &mut Scheduler, orders: PartitionOrders) -> PartitionReport {
    let report = holder.carry_out_orders(&mut node.context, orders);
    report.expect("a report")
}

fn run(node: &mut Controller, holder: &mut Scheduler) {
    holder.run_holder(&mut node.context, &mut NoStopwatch);
}

/// The transactions that were sent.
fn txns(node: &mut Controller) -> Vec<Transaction> {
    let out = std::mem::take(&mut node.context.effects);
    let calls = out.into_iter().filter_map(|effect| match effect {
        Effect::Call(call) if call.path == "/txn" && call.target == Target::Store => Some(call),
        _ => None,
    });
    calls
        .map(|call| grebewood_wire::from_cbor(&call.body).expect("a transaction"))
        .collect()
}

fn launches(node: &Controller, holder: &mut Scheduler) -> usize {
    let pending = HeldHeartbeat {
        request: 1,
        round: 0,
        machine: MACHINE.into(),
        incarnation: 1,
        sequence: 2,
        until: 0,
    };
    holder.commands(&node.context, &pending).len()
}

/// The write of the last flush was carried out.
fn written(node: &mut Controller, holder: &mut Scheduler) {
    let batch = holder.write_buffer.in_flight.take().expect("a flush");
    holder.flushed(&mut node.context, &batch, 40);
}

fn waiting(report: &PartitionReport) -> Vec<(u64, u64)> {
    let quota = report.quota.as_ref().expect("a holder that places");
    quota
        .waiting
        .iter()
        .flat_map(|job| job.ranges.clone())
        .collect()
}

/// Each of the three is what keeps a task from being placed by two.
#[test]
fn a_write_depends_on_the_claim_the_leader_and_the_limits() {
    let (mut node, mut holder) = holder();
    give(&mut node, &mut holder, orders(2, 4, &[0, 1]));
    run(&mut node, &mut holder);
    let txns = txns(&mut node);
    assert_eq!(txns.len(), 1);
    let mod_revision = |key: &str| {
        let condition = txns[0].when.iter().find(|when| when.key == key);
        condition.map(|when| when.mod_revision)
    };
    assert_eq!(mod_revision(&claim_key(1)), Some(CLAIM));
    assert_eq!(mod_revision(LEADER), Some(TERM));
    assert_eq!(mod_revision(LIMITS), Some(LIMITS_STAMP));
    assert_eq!(mod_revision("page/0/1000"), Some(0));
    assert_eq!(mod_revision(&quota_grant_key(1)), None);
}

#[test]
fn a_task_is_launched_and_told_once_it_is_on_record() {
    let (mut node, mut holder) = holder();
    give(&mut node, &mut holder, orders(2, 4, &[0]));
    run(&mut node, &mut holder);
    assert_eq!(launches(&node, &mut holder), 0);
    let report = give(&mut node, &mut holder, orders(3, 4, &[]));
    assert_eq!(waiting(&report), [(0, 1)]);
    written(&mut node, &mut holder);
    let report = give(&mut node, &mut holder, orders(4, 4, &[0]));
    let placed = &report.quota.as_ref().expect("a report").placed;
    assert_eq!(placed.len(), 1);
    assert_eq!(waiting(&report), []);
    assert_eq!(launches(&node, &mut holder), 1);
}

#[test]
fn no_more_is_started_than_is_allotted() {
    let (mut node, mut holder) = holder();
    let report = give(&mut node, &mut holder, orders(2, 2, &[0, 1, 2, 3]));
    assert_eq!(waiting(&report), [(0, 4)]);
    run(&mut node, &mut holder);
    assert_eq!(holder.assignments().count(), 2);
    // What is asked back is held as long as tasks use it.
    let report = give(&mut node, &mut holder, orders(3, 0, &[]));
    let held = &report.quota.as_ref().expect("a report").held;
    assert_eq!(held[0].cpus, 2_000_000);
}

/// The next leader has read the pages after its grant: what was not on them it places anew.
#[test]
fn what_was_not_on_record_is_dropped_when_the_leader_changes() {
    let (mut node, mut holder) = holder();
    give(&mut node, &mut holder, orders(2, 4, &[0]));
    run(&mut node, &mut holder);
    written(&mut node, &mut holder);
    let on_record = holder.assignments().next().expect("a task").id();
    give(&mut node, &mut holder, orders(3, 4, &[1, 2]));
    node.context.now.steady += SECOND;
    holder.placement.next_at = 0;
    run(&mut node, &mut holder);
    assert_eq!(holder.assignments().count(), 3);
    let listed = PlacedTask {
        machine: MACHINE.into(),
        incarnation: 1,
        job: "req-1".into(),
        task: on_record.task,
        attempt: on_record.attempt,
        expected_us: SECOND,
    };
    let sync = PartitionOrders {
        term: TERM + 10,
        sync: Some(vec![listed]),
        ..orders(1, 4, &[])
    };
    let report = give(&mut node, &mut holder, sync);
    assert_eq!(waiting(&report), []);
    assert_eq!(
        holder.assignments().map(Assignment::id).collect::<Vec<_>>(),
        [on_record]
    );
    assert_eq!(launches(&node, &mut holder), 1);
}

/// Another leader was elected: until it has given orders, nothing is written.
#[test]
fn nothing_is_written_once_another_leader_is_on_record() {
    let (mut node, mut holder) = holder();
    assert_eq!(holder.conditions_failed(&[LEADER.to_string()]), Ok(()));
    give_nothing_writes(&mut node, &mut holder);
    // Limits that have changed are told by the leader, too.
    give(&mut node, &mut holder, orders(5, 4, &[]));
    assert_eq!(holder.conditions_failed(&[LIMITS.to_string()]), Ok(()));
    give_nothing_writes(&mut node, &mut holder);
    let ended = holder.conditions_failed(&[claim_key(1)]);
    assert_eq!(ended, Err("its claim has ended".to_string()));
}

fn give_nothing_writes(node: &mut Controller, holder: &mut Scheduler) {
    node.context.effects.clear();
    holder.write_buffer.mark_dirty(
        crate::state::write_buffer::RecordId::Page(1000),
        node.context.now.steady,
    );
    run(node, holder);
    assert_eq!(txns(node).len(), 0);
}

#[test]
fn what_is_recalled_is_given_back_and_reserved_machines_take_nothing() {
    let (mut node, mut holder) = holder();
    let mut reserving = orders(2, 4, &[0]);
    if let Some(quota) = &mut reserving.quota {
        quota.reserved = vec![MACHINE.into()];
    }
    give(&mut node, &mut holder, reserving.clone());
    run(&mut node, &mut holder);
    assert_eq!(holder.assignments().count(), 0);
    let mut recalling = orders(3, 4, &[]);
    if let Some(quota) = &mut recalling.quota {
        quota.revoked = vec!["req-1".into()];
    }
    let report = give(&mut node, &mut holder, recalling);
    assert_eq!(waiting(&report), []);
}

/// A leader that grants nothing may place the tasks itself.
#[test]
fn under_a_leader_without_allotments_nothing_is_placed() {
    let (mut node, mut holder) = holder();
    give(&mut node, &mut holder, orders(2, 4, &[0]));
    let without = PartitionOrders {
        quota: None,
        ..orders(3, 4, &[])
    };
    give(&mut node, &mut holder, without);
    run(&mut node, &mut holder);
    assert_eq!(holder.assignments().count(), 0);
    assert_eq!(txns(&mut node).len(), 0);
}

/// A launch of the leader's for which the holder's own tasks have left no room: it is placed elsewhere.
#[test]
fn a_launch_without_room_is_refused() {
    let (mut node, mut holder) = holder();
    give(&mut node, &mut holder, orders(2, 4, &[0]));
    run(&mut node, &mut holder);
    holder.machines.get_mut(MACHINE).expect("it").cpus = 1.0;
    let launch = PartitionOrders {
        launches: vec![PlacedTask {
            machine: MACHINE.into(),
            incarnation: 1,
            job: "req-1".into(),
            task: 3,
            attempt: 70,
            expected_us: SECOND,
        }],
        ..orders(3, 4, &[])
    };
    let report = give(&mut node, &mut holder, launch);
    assert_eq!(report.outcomes.len(), 1);
    assert_eq!(holder.assignments().count(), 1);
}
