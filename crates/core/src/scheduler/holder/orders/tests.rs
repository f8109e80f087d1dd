use crate::context::{Context, Role};
use crate::controller::Controller;
use crate::scheduler::{FencedLease, Scheduler};
use crate::state::jobs::Job;
use crate::state::long_polls::HeldHeartbeat;
use crate::state::machine::Machine;
use crate::test_support::{
    first_heartbeat, job_record, leader_before_loading, WALL_CLOCK_START_US,
};
use crate::SECOND;
use grebewood_wire::http::{ExitCause, Verb};
use grebewood_wire::peer::{PartitionOrders, PlacedTask, TaskAttempt, TaskEnd};

const MACHINE: &str = "n-000001";

const LEADER_TOKEN: u64 = 7;

const CLAIM: u64 = 9;

/// Returns a controller and the holder of a partition with one machine and no tasks, reconciled with the leader.
fn holder() -> (Controller, Scheduler) {
    let mut controller = leader_before_loading(20 * SECOND);
    let now = controller.context.now.steady;
    let lease = FencedLease {
        token: CLAIM,
        lease: 1,
        lease_requested_at: now,
    };
    let mut holder = Scheduler::new(&controller.context, Role::Holder(1), lease);
    holder
        .jobs
        .insert(Job::new(job_record(2), now, WALL_CLOCK_START_US));
    let mut machine = Machine::new(&first_heartbeat(), None, now);
    machine.cpus = 8.0;
    machine.incarnation = 1;
    machine.receives_responses = true;
    holder.machines.insert(MACHINE.into(), machine);
    let sync = PartitionOrders {
        sync: Some(Vec::new()),
        ..orders(1)
    };
    let report = holder.carry_out_orders(&mut controller.context, sync);
    assert!(report.is_some_and(|report| report.synced));
    (controller, holder)
}

fn orders(sequence: u64) -> PartitionOrders {
    PartitionOrders {
        from: "perch-0".into(),
        term: LEADER_TOKEN,
        sequence,
        partition: 1,
        claim: CLAIM,
        ..PartitionOrders::default()
    }
}

fn launch(sequence: u64) -> PartitionOrders {
    let task = PlacedTask {
        machine: MACHINE.into(),
        incarnation: 1,
        job: "req-1".into(),
        task: 0,
        attempt: 70,
        expected_us: SECOND,
    };
    PartitionOrders {
        launches: vec![task],
        ..orders(sequence)
    }
}

fn commands_for_agent(holder: &mut Scheduler, context: &Context) -> Vec<Verb> {
    let heartbeat = HeldHeartbeat {
        request: 1,
        placement_round: 0,
        machine: MACHINE.into(),
        incarnation: 1,
        sequence: 2,
        deadline: 0,
    };
    let commands = holder.prepare_commands(context, &heartbeat);
    commands.into_iter().map(|command| command.verb).collect()
}

fn acknowledge(sequence: u64) -> PartitionOrders {
    PartitionOrders {
        acknowledged: vec![TaskAttempt {
            attempt: 70,
            task: 0,
        }],
        ..orders(sequence)
    }
}

#[test]
fn an_agent_keeps_a_result_until_the_leader_has_it_on_record() {
    let (mut controller, mut holder) = holder();
    let report = holder.carry_out_orders(&mut controller.context, launch(2));
    assert_eq!(report.map(|report| report.accepted.len()), Some(1));
    assert_eq!(
        commands_for_agent(&mut holder, &controller.context),
        [Verb::Launch]
    );
    holder.on_task_exited(
        &mut controller.context,
        MACHINE,
        0,
        &ExitCause::Done,
        "req-1/0",
    );
    assert_eq!(commands_for_agent(&mut holder, &controller.context), []);
    // The outcome is reported until the leader acknowledges it.
    for sequence in 3..5 {
        let report = holder.carry_out_orders(&mut controller.context, orders(sequence));
        let outcomes = report.expect("a report").outcomes;
        assert_eq!(outcomes[0].end, TaskEnd::Exited(ExitCause::Done));
    }
    let report = holder.carry_out_orders(&mut controller.context, acknowledge(5));
    assert_eq!(report.expect("a report").outcomes, []);
    assert_eq!(
        commands_for_agent(&mut holder, &controller.context),
        [Verb::Acknowledge]
    );
}

/// Without the check of the sequence number, a late copy of orders would launch a task again that has ended and
/// was acknowledged.
#[test]
fn orders_that_arrive_late_launch_nothing() {
    let (mut controller, mut holder) = holder();
    holder.carry_out_orders(&mut controller.context, launch(2));
    commands_for_agent(&mut holder, &controller.context);
    holder.on_task_exited(
        &mut controller.context,
        MACHINE,
        0,
        &ExitCause::Done,
        "req-1/0",
    );
    holder.carry_out_orders(&mut controller.context, acknowledge(3));
    let late = holder.carry_out_orders(&mut controller.context, launch(2));
    assert_eq!(late, None);
    let commands = commands_for_agent(&mut holder, &controller.context);
    assert!(!commands.contains(&Verb::Launch), "{commands:?}");
}

#[test]
fn orders_of_an_earlier_term_or_for_another_claim_are_dropped() {
    let (mut controller, mut holder) = holder();
    let earlier = PartitionOrders {
        term: LEADER_TOKEN - 1,
        ..launch(9)
    };
    let another = PartitionOrders {
        claim: CLAIM - 1,
        ..launch(9)
    };
    for orders in [earlier, another] {
        assert_eq!(
            holder.carry_out_orders(&mut controller.context, orders),
            None
        );
    }
    assert_eq!(commands_for_agent(&mut holder, &controller.context), []);
    // Orders of a member that is not the leader according to the store are dropped, too.
    controller.partitions.holders.insert(1, Box::new(holder));
    let not_from_leader = PartitionOrders {
        from: "perch-9".into(),
        ..launch(9)
    };
    assert_eq!(controller.on_orders(not_from_leader), None);
}

/// A task that a later leader does not list was never launched, or its end is recorded in the store.
#[test]
fn tasks_that_a_new_leader_does_not_list_are_dropped() {
    let (mut controller, mut holder) = holder();
    holder.carry_out_orders(&mut controller.context, launch(2));
    let sync = PartitionOrders {
        term: LEADER_TOKEN + 1,
        sync: Some(Vec::new()),
        ..orders(1)
    };
    holder.carry_out_orders(&mut controller.context, sync);
    assert_eq!(commands_for_agent(&mut holder, &controller.context), []);
}
