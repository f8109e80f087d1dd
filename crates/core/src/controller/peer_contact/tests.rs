//! Tests of contact requests: what a leader without contact with the store may do, and what it learns from its peers.

use crate::controller::Controller;
use crate::scheduler::Scheduler;
use crate::test_support::{
    advance_time, clocks, first_heartbeat, job_record, leader_before_loading, tick,
    WALL_CLOCK_START_US,
};
use crate::{Effect, Input, Interface, Micros, NoStopwatch, Outcome, MILLI, SECOND};
use grebewood_wire as wire;
use grebewood_wire::http::{to_value, Command, Heartbeat, HeartbeatResponse, ReportedTask};
use grebewood_wire::peer::PeerResponse;
use grebewood_wire::records::{CancelRecord, FinishedJobRecord};
use grebewood_wire::Value;
use std::collections::BTreeMap;

/// Sends the heartbeat of an agent that runs a task of `req-1`; returns the status and the commands of the response.
fn send_heartbeat(controller: &mut Controller, now: Micros, sequence: u64) -> (u16, Vec<Command>) {
    let heartbeat = Heartbeat {
        sequence,
        token: 3,
        tasks: vec![ReportedTask {
            task_name: "req-1/0".into(),
            attempt: 5,
            status: "running".into(),
            cause: None,
            checkpointed: None,
        }],
        ..first_heartbeat()
    };
    let input = Input::Request {
        id: sequence,
        interface: Interface::Front,
        method: "POST".into(),
        path: "/checkin".into(),
        body: wire::to_cbor(&heartbeat),
    };
    let effects = controller.step(clocks(now), input, &mut NoStopwatch);
    let answer = effects.into_iter().find_map(|e| match e {
        Effect::Answer {
            id, status, body, ..
        } if id == sequence => Some((status, body)),
        _ => None,
    });
    let (status, body) = answer.expect("an answer at once");
    let commands = wire::from_cbor::<HeartbeatResponse>(&body).map(|a| a.commands);
    (status, commands.unwrap_or_default())
}

/// A leader that has just started and could not read the store would keep cancelled tasks running.
#[test]
fn a_leader_that_knows_no_cancellations_renews_no_lease() {
    let mut controller = leader_before_loading(20 * SECOND);
    assert_eq!(send_heartbeat(&mut controller, 20 * SECOND, 1).0, 503);
    controller
        .context
        .cancellations
        .record_store_read(20 * SECOND);
    advance_time(&mut controller, 20 * SECOND, 21 * SECOND);
    assert_eq!(send_heartbeat(&mut controller, 21 * SECOND, 2).0, 200);
    // Neither the store nor its peer has answered since.
    let bound = controller.max_cancellation_staleness();
    assert!(
        bound + controller.context.settings.agent_lease
            < controller.context.settings.cancel_timeout
    );
    let late = 20 * SECOND + bound + MILLI;
    advance_time(&mut controller, 21 * SECOND, late);
    assert_eq!(send_heartbeat(&mut controller, late, 3).0, 503);
    controller
        .context
        .cancellations
        .record_peer_list(0, late, SECOND);
    assert_eq!(send_heartbeat(&mut controller, late, 4).0, 200);
}

/// The machine may be in a partition whose holder has a lower token: a response from the leader would take the machine
/// from its holder.
#[test]
fn a_leader_that_knows_no_partitions_yet_answers_no_machine() {
    let mut controller = leader_before_loading(20 * SECOND);
    controller
        .context
        .cancellations
        .record_store_read(20 * SECOND);
    assert_eq!(send_heartbeat(&mut controller, 20 * SECOND, 1).0, 200);
    controller.context.tuning.partitions_per_zone = 2;
    let leader = controller.leader.as_mut().expect("a leader");
    leader.start_loading(&mut controller.context);
    assert_eq!(send_heartbeat(&mut controller, 20 * SECOND, 2).0, 503);
}

#[test]
fn before_reading_the_store_it_stops_what_it_knows_to_be_cancelled() {
    let mut controller = leader_before_loading(20 * SECOND);
    controller
        .context
        .cancellations
        .record_store_read(20 * SECOND);
    assert!(send_heartbeat(&mut controller, 20 * SECOND, 1).1.is_empty());
    advance_time(&mut controller, 20 * SECOND, 21 * SECOND);
    controller
        .context
        .cancellations
        .learn("req-1", WALL_CLOCK_START_US);
    let (_, commands) = send_heartbeat(&mut controller, 21 * SECOND, 2);
    assert_eq!(commands.len(), 1);
    let stop = &commands[0];
    assert_eq!(
        (stop.verb.as_str(), stop.task_name.as_str(), stop.attempt),
        ("stop", "req-1/0", 5)
    );
}

/// A response counts only if it comes from the sibling that was asked, and its list of cancellations only if it
/// answers that very contact request.
#[test]
fn a_foreign_or_late_answer_makes_nothing_certain() {
    let answer = |member: &str, question: u64| Outcome::Answer {
        status: 200,
        body: wire::to_peer(&PeerResponse {
            supports_partitions: false,
            supports_quota_grants: false,
            limits: None,
            report: None,
            member: member.into(),
            store_contact_age_us: None,
            token: 7,
            highest_leader_token: 7,
            confirmed: Some(grebewood_wire::peer::ConfirmedCancellations {
                question,
                complete_for_us: Some(15 * SECOND),
                jobs: vec![("req-1".into(), SECOND)],
            }),
        }),
    };
    let mut controller = leader_before_loading(20 * SECOND);
    controller
        .context
        .cancellations
        .record_store_read(10 * SECOND);
    let certain =
        |controller: &Controller| controller.context.cancellations.known_until(1, 20 * SECOND);
    controller.on_contact_response(0, 5, 19 * SECOND, answer("perch-9", 5));
    controller.on_contact_response(0, 5, 19 * SECOND, answer("perch-1", 4));
    assert_eq!(certain(&controller), Some(10 * SECOND));
    assert!(controller.context.cancellations.get("req-1").is_none());
    controller.on_contact_response(0, 5, 19 * SECOND, answer("perch-1", 5));
    assert_eq!(certain(&controller), Some(19 * SECOND));
    assert!(controller.context.cancellations.get("req-1").is_some());
}

/// Returns whether a leader with contact to the store still leads after a peer told it of this fencing token of a
/// leader.
fn leads_after_hearing_of(highest_leader_token: u64) -> bool {
    let mut controller = leader_before_loading(20 * SECOND);
    controller.context.last_store_contact = Some(20 * SECOND);
    let response = PeerResponse {
        member: "perch-1".into(),
        store_contact_age_us: Some(0),
        token: highest_leader_token,
        highest_leader_token,
        confirmed: None,
        supports_partitions: false,
        supports_quota_grants: false,
        limits: None,
        report: None,
    };
    let outcome = Outcome::Answer {
        status: 200,
        body: wire::to_peer(&response),
    };
    controller.on_contact_response(0, 1, 20 * SECOND, outcome);
    tick(&mut controller, 20 * SECOND + MILLI);
    controller.leader.is_some()
}

/// Two leaders acted: the leader record was gone and another member led, but a leader with contact to the store paid
/// no attention to what its peers had read.
#[test]
fn a_leader_with_store_contact_steps_down_for_a_higher_token() {
    let own_token = 7;
    assert!(leads_after_hearing_of(own_token));
    assert!(!leads_after_hearing_of(own_token + 1));
}

/// Returns a leader that learned from elsewhere than the store that `req-1` is cancelled, and is about to read the
/// cancellation's record.
fn leader_with_learned_cancellation() -> Controller {
    let mut controller = leader_before_loading(20 * SECOND);
    let record = job_record(1);
    let leader = controller.leader.as_mut().expect("a leader");
    leader.add_job(&controller.context, "job/req-1", &to_value(&record), 5);
    let cancel = CancelRecord {
        cancelled_us: WALL_CLOCK_START_US,
    };
    leader.on_cancelled(&mut controller.context, "req-1", Some(&cancel));
    assert_eq!(
        leader.write_buffer.stale_keys,
        vec!["job/req-1/cancel".to_string()]
    );
    controller
}

fn answer<T: serde::Serialize>(status: u16, body: &T) -> Outcome {
    let body = wire::to_cbor(body);
    Outcome::Answer { status, body }
}

/// If the store has no record of a cancellation that a peer reported to the leader, the report was wrong, unless
/// the job is finished: the transaction that ends a job deletes the record. Retracting the cancellation of a
/// finished job would start the job's tasks again.
#[test]
fn a_cancellation_without_record_is_taken_back_only_if_the_job_is_not_over() {
    for over in [false, true] {
        let mut controller = leader_with_learned_cancellation();
        let leader = controller.leader.as_mut().expect("a leader");
        leader.on_refresh(
            &mut controller.context,
            "job/req-1/cancel",
            answer(404, &()),
        );
        let cancelled = |leader: &Scheduler| {
            let job = leader
                .jobs
                .find("req-1")
                .and_then(|index| leader.jobs.get(index));
            job.map(|j| j.cancelled_at.is_some())
        };
        assert_eq!(cancelled(leader), Some(true));
        assert_eq!(
            leader.write_buffer.stale_keys,
            vec!["past/req-1".to_string()]
        );
        let finished = FinishedJobRecord {
            status: "aborted".into(),
            tasks: 1,
        };
        let finished = BTreeMap::from([
            ("k", Value::from("past/req-1")),
            ("value", to_value(&finished)),
            ("stamp", Value::from(9)),
        ]);
        let outcome = match over {
            true => answer(200, &finished),
            false => answer(404, &()),
        };
        leader.on_refresh(&mut controller.context, "past/req-1", outcome);
        assert_eq!(cancelled(leader), (!over).then_some(false));
        assert!(leader.write_buffer.stale_keys.is_empty());
    }
}
