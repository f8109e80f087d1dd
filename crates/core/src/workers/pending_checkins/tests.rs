use super::*;
use crate::test_support::{first_report, unread_leader};

/// Each check-in that waits holds a connection: with more idle machines than sockets, those that come
/// later found none, and their leases ran out.
#[test]
fn check_ins_that_wait_for_work_leave_sockets_to_others() {
    let mut node = unread_leader(20 * SECOND);
    node.context.settings.sockets = 20;
    let now = node.context.now.steady;
    let lead = node.lead.as_mut().expect("a leader");
    for number in 0..20 {
        let name = format!("n-{number}");
        let mut machine = Machine::new(&first_report(), None, now);
        machine.name.clone_from(&name);
        (machine.cpus, machine.session, machine.hears) = (8.0, 1, true);
        lead.machines.insert(name.clone(), machine);
        if !lead.may_park(&node.context, &name) {
            continue;
        }
        let pending = HeldHeartbeat {
            request: number,
            round: 0,
            machine: name,
            session: 1,
            sequence: 1,
            until: now,
        };
        lead.park(&node.context, pending);
    }
    assert_eq!(lead.parked.len(), 10);
}
