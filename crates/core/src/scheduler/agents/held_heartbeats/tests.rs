use crate::state::long_polls::HeldHeartbeat;
use crate::state::machine::Machine;
use crate::test_support::{first_heartbeat, unread_leader};
use crate::SECOND;

/// Each check-in that waits holds a connection: with more idle machines than sockets, those that come
/// later found none, and their leases ran out.
#[test]
fn check_ins_that_wait_for_work_leave_sockets_to_others() {
    let mut node = unread_leader(20 * SECOND);
    node.context.settings.sockets = 20;
    let now = node.context.now.steady;
    let leader = node.leader.as_mut().expect("a leader");
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
        if !leader.may_long_poll(&node.context, &name) {
            continue;
        }
        let pending = HeldHeartbeat {
            request: number,
            round: 0,
            machine: name,
            incarnation: 1,
            sequence: 1,
            until: now,
        };
        leader.hold_long_poll(&node.context, pending);
    }
    assert_eq!(leader.long_polls.len(), 10);
}
