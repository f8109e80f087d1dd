use crate::context::Role;
use crate::controller::Controller;
use crate::scheduler::fenced_lease::FencedLeaseLost;
use crate::scheduler::{FencedLease, Scheduler};
use crate::state::jobs::Job;
use crate::state::long_polls::HeldHeartbeat;
use crate::state::machine::{Assignment, Machine};
use crate::test_support::{
    first_heartbeat, job_record, leader_before_loading, WALL_CLOCK_START_US,
};
use crate::{Effect, NoStopwatch, Target, SECOND};
use grebewood_wire::http::{MachineType, Transaction};
use grebewood_wire::peer::{
    DelegatedTask, DelegatedWork, PartitionOrders, PartitionReport, PlacedTask, QuotaOrders,
};
use grebewood_wire::records::{
    claim_key, quota_grant_key, TeamAmount, LEADER_KEY, QUOTA_LIMITS_KEY,
};

const MACHINE: &str = "n-000001";

const LEADER_TOKEN: u64 = 7;

const CLAIM: u64 = 9;

const LIMITS_REVISION: u64 = 8;

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

/// Returns a controller and the holder of partition 1 with one machine and no tasks, reconciled with the leader.
fn holder() -> (Controller, Scheduler) {
    let mut controller = leader_before_loading(20 * SECOND);
    controller.context.tuning.partitions_per_zone = 3;
    controller.context.tuning.allotments = 1;
    controller.context.catalogue = Some(vec![machine_type()]);
    let now = controller.context.now.steady;
    let lease = FencedLease {
        token: CLAIM,
        lease: 1,
        lease_requested_at: now,
    };
    let mut holder = Scheduler::new(&controller.context, Role::Holder(1), lease);
    holder
        .jobs
        .insert(Job::new(job_record(4), now, WALL_CLOCK_START_US));
    let machine_type = machine_type();
    let mut machine = Machine::new(&first_heartbeat(), Some(&machine_type), now);
    machine.incarnation = 1;
    machine.receives_responses = true;
    holder.machines.insert(MACHINE.into(), machine);
    let sync = PartitionOrders {
        sync: Some(Vec::new()),
        ..orders(1, 0, &[])
    };
    let report = holder.carry_out_orders(&mut controller.context, sync);
    assert!(report.is_some_and(|report| report.synced));
    (controller, holder)
}

/// Returns orders that grant this many CPUs and delegate these tasks.
fn orders(sequence: u64, cpus: u64, tasks: &[u64]) -> PartitionOrders {
    let task = |task: &u64| DelegatedTask {
        task: *task,
        machine: MACHINE.into(),
        awaits_resources: false,
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
        term: LEADER_TOKEN,
        sequence,
        partition: 1,
        claim: CLAIM,
        quota: Some(Box::new(QuotaOrders {
            grant_version: sequence,
            limits_revision: LIMITS_REVISION,
            grant: vec![amount],
            work: vec![work],
            ..QuotaOrders::default()
        })),
        ..PartitionOrders::default()
    }
}

fn carry_out(
    controller: &mut Controller,
    holder: &mut Scheduler,
    orders: PartitionOrders,
) -> PartitionReport {
    let report = holder.carry_out_orders(&mut controller.context, orders);
    report.expect("a report")
}

fn run_holder(controller: &mut Controller, holder: &mut Scheduler) {
    holder.run_holder(&mut controller.context, &mut NoStopwatch);
}

/// Returns the transactions that were sent to the store, and clears the list of effects.
fn transactions(controller: &mut Controller) -> Vec<Transaction> {
    let effects = std::mem::take(&mut controller.context.effects);
    let calls = effects.into_iter().filter_map(|effect| match effect {
        Effect::Call(call) if call.path == "/txn" && call.target == Target::Store => Some(call),
        _ => None,
    });
    calls
        .map(|call| grebewood_wire::from_cbor(&call.body).expect("a transaction"))
        .collect()
}

fn command_count(controller: &Controller, holder: &mut Scheduler) -> usize {
    let heartbeat = HeldHeartbeat {
        request: 1,
        placement_round: 0,
        machine: MACHINE.into(),
        incarnation: 1,
        sequence: 2,
        deadline: 0,
    };
    holder
        .prepare_commands(&controller.context, &heartbeat)
        .len()
}

/// Completes the write of the last flush.
fn complete_flush(controller: &mut Controller, holder: &mut Scheduler) {
    let batch = holder.write_buffer.in_flight.take().expect("a flush");
    holder.on_flush_applied(&mut controller.context, &batch, 40);
}

fn waiting_ranges(report: &PartitionReport) -> Vec<(u64, u64)> {
    let quota = report.quota.as_ref().expect("a holder that places");
    quota
        .waiting
        .iter()
        .flat_map(|job| job.ranges.clone())
        .collect()
}

/// Each of the three conditions prevents a task from being placed twice.
#[test]
fn a_write_depends_on_the_claim_the_leader_and_the_limits() {
    let (mut controller, mut holder) = holder();
    carry_out(&mut controller, &mut holder, orders(2, 4, &[0, 1]));
    run_holder(&mut controller, &mut holder);
    let transactions = transactions(&mut controller);
    assert_eq!(transactions.len(), 1);
    let mod_revision = |key: &str| {
        let condition = transactions[0].when.iter().find(|when| when.key == key);
        condition.map(|when| when.mod_revision)
    };
    assert_eq!(mod_revision(&claim_key(1)), Some(CLAIM));
    assert_eq!(mod_revision(LEADER_KEY), Some(LEADER_TOKEN));
    assert_eq!(mod_revision(QUOTA_LIMITS_KEY), Some(LIMITS_REVISION));
    assert_eq!(mod_revision("page/0/1000"), Some(0));
    assert_eq!(mod_revision(&quota_grant_key(1)), None);
}

#[test]
fn a_task_is_launched_and_reported_once_it_is_on_record() {
    let (mut controller, mut holder) = holder();
    carry_out(&mut controller, &mut holder, orders(2, 4, &[0]));
    run_holder(&mut controller, &mut holder);
    assert_eq!(command_count(&controller, &mut holder), 0);
    let report = carry_out(&mut controller, &mut holder, orders(3, 4, &[]));
    assert_eq!(waiting_ranges(&report), [(0, 1)]);
    complete_flush(&mut controller, &mut holder);
    let report = carry_out(&mut controller, &mut holder, orders(4, 4, &[0]));
    let placed = &report.quota.as_ref().expect("a report").placed;
    assert_eq!(placed.len(), 1);
    assert_eq!(waiting_ranges(&report), []);
    assert_eq!(command_count(&controller, &mut holder), 1);
}

#[test]
fn no_more_is_started_than_is_granted() {
    let (mut controller, mut holder) = holder();
    let report = carry_out(&mut controller, &mut holder, orders(2, 2, &[0, 1, 2, 3]));
    assert_eq!(waiting_ranges(&report), [(0, 4)]);
    run_holder(&mut controller, &mut holder);
    assert_eq!(holder.assignments().count(), 2);
    // Revoked quota is held as long as tasks use it.
    let report = carry_out(&mut controller, &mut holder, orders(3, 0, &[]));
    let held = &report.quota.as_ref().expect("a report").usage_bound;
    assert_eq!(held[0].cpus, 2_000_000);
}

/// The next leader reads the pages after its election and places tasks again that are not on them.
#[test]
fn what_was_not_on_record_is_dropped_when_the_leader_changes() {
    let (mut controller, mut holder) = holder();
    carry_out(&mut controller, &mut holder, orders(2, 4, &[0]));
    run_holder(&mut controller, &mut holder);
    complete_flush(&mut controller, &mut holder);
    let in_store = holder.assignments().next().expect("a task").id();
    carry_out(&mut controller, &mut holder, orders(3, 4, &[1, 2]));
    controller.context.now.steady += SECOND;
    holder.placement.next_at = 0;
    run_holder(&mut controller, &mut holder);
    assert_eq!(holder.assignments().count(), 3);
    let listed = PlacedTask {
        machine: MACHINE.into(),
        incarnation: 1,
        job: "req-1".into(),
        task: in_store.task,
        attempt: in_store.attempt,
        expected_us: SECOND,
    };
    let sync = PartitionOrders {
        term: LEADER_TOKEN + 10,
        sync: Some(vec![listed]),
        ..orders(1, 4, &[])
    };
    let report = carry_out(&mut controller, &mut holder, sync);
    assert_eq!(waiting_ranges(&report), []);
    assert_eq!(
        holder.assignments().map(Assignment::id).collect::<Vec<_>>(),
        [in_store]
    );
    assert_eq!(command_count(&controller, &mut holder), 1);
}

/// After another leader was elected, the holder writes nothing until that leader has given orders.
#[test]
fn nothing_is_written_once_another_leader_is_on_record() {
    let (mut controller, mut holder) = holder();
    assert_eq!(
        holder.on_conditions_failed(&[LEADER_KEY.to_string()]),
        Ok(())
    );
    assert_nothing_is_written(&mut controller, &mut holder);
    // After the limits have changed, the holder writes nothing until the leader has sent them.
    carry_out(&mut controller, &mut holder, orders(5, 4, &[]));
    assert_eq!(
        holder.on_conditions_failed(&[QUOTA_LIMITS_KEY.to_string()]),
        Ok(())
    );
    assert_nothing_is_written(&mut controller, &mut holder);
    let ended = holder.on_conditions_failed(&[claim_key(1)]);
    assert_eq!(ended, Err(FencedLeaseLost::ClaimGone));
}

fn assert_nothing_is_written(controller: &mut Controller, holder: &mut Scheduler) {
    controller.context.effects.clear();
    holder.write_buffer.mark_dirty(
        crate::state::write_buffer::RecordId::AssignmentPage(1000),
        controller.context.now.steady,
    );
    run_holder(controller, holder);
    assert_eq!(transactions(controller).len(), 0);
}

#[test]
fn revoked_tasks_are_returned_and_reserved_machines_take_nothing() {
    let (mut controller, mut holder) = holder();
    let mut reserving = orders(2, 4, &[0]);
    if let Some(quota) = &mut reserving.quota {
        quota.reserved = vec![MACHINE.into()];
    }
    carry_out(&mut controller, &mut holder, reserving.clone());
    run_holder(&mut controller, &mut holder);
    assert_eq!(holder.assignments().count(), 0);
    let mut revoking = orders(3, 4, &[]);
    if let Some(quota) = &mut revoking.quota {
        quota.revoked = vec!["req-1".into()];
    }
    let report = carry_out(&mut controller, &mut holder, revoking);
    assert_eq!(waiting_ranges(&report), []);
}

/// A leader that grants no quota may place the tasks itself.
#[test]
fn under_a_leader_without_quota_grants_nothing_is_placed() {
    let (mut controller, mut holder) = holder();
    carry_out(&mut controller, &mut holder, orders(2, 4, &[0]));
    let without_quota = PartitionOrders {
        quota: None,
        ..orders(3, 4, &[])
    };
    carry_out(&mut controller, &mut holder, without_quota);
    run_holder(&mut controller, &mut holder);
    assert_eq!(holder.assignments().count(), 0);
    assert_eq!(transactions(&mut controller).len(), 0);
}

/// A launch for which the holder's own tasks leave no room is refused, so that the leader places the task
/// elsewhere.
#[test]
fn a_launch_without_room_is_refused() {
    let (mut controller, mut holder) = holder();
    carry_out(&mut controller, &mut holder, orders(2, 4, &[0]));
    run_holder(&mut controller, &mut holder);
    holder.machines.get_mut(MACHINE).expect("the machine").cpus = 1.0;
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
    let report = carry_out(&mut controller, &mut holder, launch);
    assert_eq!(report.outcomes.len(), 1);
    assert_eq!(holder.assignments().count(), 1);
}
