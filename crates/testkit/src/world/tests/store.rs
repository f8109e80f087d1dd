//! Tests of faults of the key-value store and of links, and of the time at which all faults are over.

use super::*;

/// Returns a transaction that a controller sends.
fn transaction() -> Call {
    Call {
        id: 1,
        target: Target::Store,
        method: "POST",
        path: "/txn".into(),
        body: Vec::new(),
        timeout: SECOND,
    }
}

fn loses_transaction(world: &mut World, controller: usize) -> bool {
    let caller = Caller {
        controller,
        process: world.controllers[controller].process,
        call: transaction().id,
    };
    world.lose_store_call(caller, world.now, &transaction())
}

#[test]
fn every_third_transaction_is_lost() {
    let mut world = world_with_running_job();
    let many = [("for", "20"), ("every", "3"), ("late", "8")];
    world
        .run_directive(&directive("late txns", &many))
        .expect("a fault");
    world.queue.clear();
    let lost: Vec<bool> = (0..7)
        .map(|turn| loses_transaction(&mut world, turn % 3))
        .collect();
    assert_eq!(lost, [false, false, true, false, false, true, false]);
    let at: Vec<Micros> = world.queue.keys().map(|(at, _)| *at).collect();
    assert_eq!(at, [world.now + 8 * SECOND; 2]);
    world.now += 20 * SECOND;
    assert!((0..6).all(|_| !loses_transaction(&mut world, 0)));
}

/// The fault is for the next transaction of a given controller, or of the one that leads.
#[test]
fn the_next_transaction_is_lost() {
    let mut world = world_with_running_job();
    let leader = leader_of(&world);
    let other = (leader + 1) % 3;
    world.queue.clear();
    let at_once = [("controller", "leader"), ("at_once", "yes")];
    world
        .run_directive(&directive("late txn", &at_once))
        .expect("a fault");
    assert!(!loses_transaction(&mut world, other));
    assert!(loses_transaction(&mut world, leader) && !loses_transaction(&mut world, leader));
    assert!(world.queue.keys().all(|(at, _)| *at == world.now));
    let number = other.to_string();
    world
        .run_directive(&directive("late txn", &[("controller", &number)]))
        .expect("a fault");
    assert!(!loses_transaction(&mut world, leader) && loses_transaction(&mut world, other));
}

/// A call to end a lease, or to renew it.
fn lease_call(method: &'static str, path: &str) -> Call {
    Call {
        method,
        path: path.into(),
        ..transaction()
    }
}

fn loses(world: &mut World, call: &Call) -> bool {
    let caller = call_of_first(world);
    world.lose_store_call(caller, world.now, call)
}

/// The second directive is for the transaction after that of the first one, and a closed connection tells the caller
/// at once that it gets no answer.
#[test]
fn transactions_in_a_row_are_lost_and_connections_closed() {
    let mut world = world_with_running_job();
    world.queue.clear();
    for options in [
        [("controller", "0"), ("for", "5"), ("closed", "yes")],
        [("controller", "0"), ("at_once", "yes"), ("closed", "no")],
    ] {
        world
            .run_directive(&directive("late txn", &options))
            .expect("a fault");
    }
    let lost: Vec<bool> = (0..3).map(|_| loses_transaction(&mut world, 0)).collect();
    assert_eq!(lost, [true, true, false]);
    let events = world.queue.iter();
    let after = events.map(|((at, _), event)| (at - world.now, matches!(event, Event::Input(..))));
    let expected = [(0, false), (CALL_LATENCY_US, true), (5 * SECOND, false)];
    assert_eq!(after.collect::<Vec<_>>(), expected);
}

#[test]
fn the_end_of_a_lease_is_late() {
    let mut world = world_with_running_job();
    world.queue.clear();
    let late = [("controller", "0"), ("for", "5")];
    world
        .run_directive(&directive("late lease_end", &late))
        .expect("a fault");
    let end = lease_call("DELETE", "/leases/1");
    assert!(!loses_transaction(&mut world, 0));
    assert!(loses(&mut world, &end) && !loses(&mut world, &end));
    let at: Vec<Micros> = world.queue.keys().map(|(at, _)| *at).collect();
    assert_eq!(at, [world.now + 5 * SECOND]);
}

#[test]
fn renewals_are_dropped_for_a_time() {
    let mut world = world_with_running_job();
    world.queue.clear();
    let drop = directive("drop_renewals 0", &[("for", "5")]);
    world.run_directive(&drop).expect("a fault");
    let renewal = lease_call("POST", "/leases/1/extend");
    assert!(loses(&mut world, &renewal) && loses(&mut world, &renewal));
    assert!(!loses_transaction(&mut world, 0));
    assert!(world.queue.is_empty());
    world.now += 5 * SECOND;
    assert!(!loses(&mut world, &renewal));
}

/// Returns the latency of a reply over this link.
fn reply_latency(world: &mut World, link: Link) -> Option<Micros> {
    let caller = call_of_first(world);
    world.queue.clear();
    world.reply(caller, link, CALL_LATENCY_US, 200, Vec::new());
    let ((at, _), _) = world.queue.pop_first()?;
    Some(at - world.now)
}

#[test]
fn a_slow_store_and_slow_agent_links_answer_later() {
    let fast = Some(2 * MILLISECOND);
    let mut world = world_with_running_job();
    assert_eq!(reply_latency(&mut world, Link::Store), fast);
    let slow = directive("slow store", &[("by", "0.8"), ("for", "5")]);
    world.run_directive(&slow).expect("a fault");
    assert_eq!(
        reply_latency(&mut world, Link::Store),
        Some(802 * MILLISECOND)
    );
    assert_eq!(reply_latency(&mut world, Link::Agents), fast);
    world.now += 5 * SECOND;
    assert_eq!(reply_latency(&mut world, Link::Store), fast);
    let slow = directive("slow agents", &[("by", "0.7"), ("for", "5")]);
    world.run_directive(&slow).expect("a fault");
    assert_eq!(reply_latency(&mut world, Link::Store), fast);
    assert_eq!(
        reply_latency(&mut world, Link::Agents),
        Some(702 * MILLISECOND)
    );
    world.now += 5 * SECOND;
    assert_eq!(reply_latency(&mut world, Link::Agents), fast);
}

#[test]
fn faults_are_over_when_the_last_of_them_is() {
    let end = |line: &str| {
        let script = parse(&format!("at 10 {line}\nend 99")).expect("a script");
        script.faults_end() / SECOND
    };
    for (line, seconds) in [
        ("late txn for=5", 15),
        ("late lease_end for=5", 15),
        ("drop_renewals 0", 20),
        ("late txns for=20 late=8", 38),
        ("drop_heartbeats all", 40),
        ("slow store for=5", 15),
        ("lose direct n-000000", 26),
        ("lose direct n-000000 for=1 late=2", 13),
        ("lose answer n-000000", 0),
        ("cancel_now 3", 10),
        ("cancel_now 3 hang=30", 40),
        ("polls for=50", 0),
    ] {
        assert_eq!(end(line), seconds, "{line}");
    }
}
