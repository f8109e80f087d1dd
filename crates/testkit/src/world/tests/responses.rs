//! Tests with responses to users that break the rules.

use super::super::jobs::ObservedJob;
use super::*;

/// Number of kinds of requests whose response may contain a job status.
const KINDS: usize = 6;

/// Returns a request of each kind about the job req-1, sent at this time.
fn requests(sent: Micros) -> [Requester; KINDS] {
    let job = "req-1".to_string();
    let expect = Requester::Expect(job.clone(), "done".into(), 1, sent);
    let raw = Requester::Raw {
        wanted: 200,
        line: 1,
        method: "GET".into(),
        path: "/submissions/req-1".into(),
        body: Vec::new(),
        sent,
    };
    [
        Requester::Poll(job.clone(), sent),
        Requester::Resubmit(job.clone(), sent),
        Requester::Submit(job.clone(), sent),
        Requester::Cancel(job, sent),
        expect,
        raw,
    ]
}

fn job_mut(world: &mut World) -> &mut ObservedJob {
    world.jobs.get_mut("req-1").expect("a job")
}

#[test]
fn premature_end_is_a_violation() {
    for request in requests(8 * SECOND) {
        // The job is not done, and its user has not asked to cancel it.
        let done = respond(&mut world_with_running_job(), request.clone(), 200, "done");
        assert_violation(done, "not_done");
        let cancelled = respond(&mut world_with_running_job(), request, 200, "aborted");
        assert_violation(cancelled, "nobody asked");
    }
}

#[test]
fn status_change_after_the_end_is_a_violation() {
    for request in requests(9 * SECOND) {
        // A job that was reported cancelled may not be reported anything else.
        for word in ["pending", "running", "done"] {
            let mut world = world_with_running_job();
            let job = job_mut(&mut world);
            job.cancel_requested_at = Some(7 * SECOND);
            job.cancelled_at = Some(8 * SECOND);
            if word == "done" {
                job.completed = (0..4).map(|index| format!("req-1/{index}")).collect();
            }
            assert_violation(respond(&mut world, request.clone(), 200, word), "went_back");
        }
        // A job that was reported done may not be reported anything else.
        for word in ["pending", "running", "aborted"] {
            let mut world = world_with_running_job();
            let job = job_mut(&mut world);
            (job.cancel_requested_at, job.done) = (Some(7 * SECOND), true);
            assert_violation(respond(&mut world, request.clone(), 200, word), "went_back");
        }
    }
}

/// Tests that a known job may not be denied in response to a submission or to any other request.
#[test]
fn denial_of_a_known_job_is_a_violation() {
    for kind in 0..KINDS {
        let request = |sent: Micros| requests(sent)[kind].clone();
        for denial in [404, 400, 422] {
            let judged = match request(0) {
                Requester::Submit(..) | Requester::Resubmit(..) => denial != 404,
                _ => denial == 404,
            };
            if !judged {
                continue;
            }
            let accepted = respond(
                &mut world_with_running_job(),
                request(9 * SECOND),
                denial,
                "",
            );
            assert_violation(accepted, "forgotten");
            let mut world = world_with_running_job();
            let job = job_mut(&mut world);
            (job.accepted, job.known_since) = (false, None);
            let poll = requests(8 * SECOND)[0].clone();
            assert_eq!(respond(&mut world, poll, 200, "pending"), Ok(()));
            let told = world.now;
            assert_violation(respond(&mut world, request(told), denial, ""), "went_back");
            // A request that was sent before the job was known may also have been answered before.
            if !matches!(request(0), Requester::Expect(..) | Requester::Raw { .. }) {
                let earlier = respond(&mut world, request(told - 1), denial, "");
                assert_eq!(earlier, Ok(()));
            }
        }
    }
}

#[test]
fn done_daemon_and_unknown_job_are_violations() {
    let mut world = world_after("at 2 submit req-1 tasks=1 shape=daemon run=500", 8);
    job_mut(&mut world).completed.insert("req-1/0".into());
    let poll = |job: &str| Requester::Poll(job.into(), 8 * SECOND);
    assert_violation(respond(&mut world, poll("req-1"), 200, "done"), "not_done");
    assert_violation(
        respond(&mut world, poll("req-7"), 200, "pending"),
        "invented",
    );
    assert_eq!(respond(&mut world, poll("req-7"), 404, ""), Ok(()));
}

#[test]
fn unanswered_polls_are_a_violation() {
    let mut world = world_with_running_job();
    world.now = world.jobs["req-1"].last_answered_at + UNANSWERED_LIMIT_US;
    assert_eq!(world.poll_all_jobs(), Ok(()));
    world.now += 1;
    assert_violation(world.poll_all_jobs(), "forgotten");
    // Jobs that are over are polled as well.
    let mut world = world_after("at 2 submit req-1 run=2\nat 2 submit req-2 run=2", 30);
    assert!(world.jobs["req-1"].done && world.jobs["req-2"].done);
    for turn in 0..2 {
        world.queue.clear();
        world.poll_finished_and_unknown();
        let wanted = ["/submissions/req-1", "/submissions/req-2"];
        let is_wanted = |event: &&Event| matches!(event, Event::Request(request) if wanted.contains(&request.path.as_str()));
        let polled = world.queue.values().filter(is_wanted);
        assert_eq!(polled.count(), 1, "turn {turn}");
    }
}

#[test]
fn users_poll_everywhere_once_after_each_event() {
    let mut world = world_after("at 1 polls for=100\nat 2 submit req-1 tasks=4 run=500", 4);
    world.queue.clear();
    // The job was already polled after it was accepted. Next its user is told that it is cancelled.
    let again = Requester::Resubmit("req-1".into(), world.now);
    assert_eq!(respond(&mut world, again, 200, "running"), Ok(()));
    assert!(world.queue.is_empty());
    job_mut(&mut world).cancel_requested_at = Some(3 * SECOND);
    for _ in 0..2 {
        let cancel = Requester::Cancel("req-1".into(), world.now);
        assert_eq!(respond(&mut world, cancel, 200, "aborted"), Ok(()));
    }
    let polls = world.queue.keys().map(|(at, _)| at - world.now);
    let polls: Vec<Micros> = polls.collect();
    assert_eq!(polls, [1, 5, 20, 60].map(|after| after * MILLISECOND));
    // Each time, every controller that is up receives a poll and a submission.
    world.controllers[1].controller = None;
    world.queue.clear();
    world.poll_everywhere("req-1");
    let requests = world.queue.values().filter_map(|event| match event {
        Event::Request(request) => Some((request.controller, request.method.clone())),
        _ => None,
    });
    let requests: Vec<(usize, String)> = requests.collect();
    let both = |controller| {
        let method = |name: &str| (controller, name.to_string());
        [method("GET"), method("POST")]
    };
    assert_eq!(requests, [both(0), both(2)].concat());
}
