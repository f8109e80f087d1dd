use crate::state::long_polls::HeldHeartbeat;
use crate::state::machine::Machine;
use crate::test_support::{first_heartbeat, leader_before_loading};
use crate::SECOND;

/// Each long poll holds a connection. Without a limit, a cluster with more idle machines than sockets leaves none
/// to agents that connect later, and their leases expire.
#[test]
fn long_polls_leave_sockets_to_other_requests() {
    let mut controller = leader_before_loading(20 * SECOND);
    controller.context.settings.max_sockets = 20;
    let now = controller.context.now.steady;
    let leader = controller.leader.as_mut().expect("a leader");
    for number in 0..20 {
        let name = format!("n-{number}");
        let mut machine = Machine::new(&first_heartbeat(), None, now);
        machine.name.clone_from(&name);
        (
            machine.cpus,
            machine.incarnation,
            machine.receives_responses,
        ) = (8.0, 1, true);
        leader.machines.insert(name.clone(), machine);
        if !leader.may_long_poll(&controller.context, &name) {
            continue;
        }
        let held = HeldHeartbeat {
            request: number,
            placement_round: 0,
            machine: name,
            incarnation: 1,
            sequence: 1,
            deadline: now,
        };
        leader.hold_long_poll(&controller.context, held);
    }
    assert_eq!(leader.long_polls.len(), 10);
}
