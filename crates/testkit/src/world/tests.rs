//! Each check must notice a breach: it is planted by hand, in a world that goes its way otherwise.

use super::*;
use grebewood_wire::Value;

const FLEET: &str = "team t cpus=16 max=32\nteam u cpus=8 max=8\n\
    type std cpus=8 cap=4 zones=a,b\nmachines std count=2\nmachines std zone=b\n";

/// A world that has played a script to this second, without a fault.
fn world(text: &str, seconds: u64) -> World {
    let script = crate::script::parse(&format!("{FLEET}{text}\nend 1000")).expect("a script");
    let mut w = World::new(script).expect("a world");
    w.play_until(seconds * SECOND).expect("no fault yet");
    w
}

/// A world in which a job of four tasks runs.
fn running() -> World {
    let w = world("at 2 submit req-1 tasks=4 run=500", 4);
    assert_eq!(w.jobs["req-1"].starts, 4);
    w
}

fn broken<T: std::fmt::Debug>(got: Result<T, String>, with: &str) {
    let error = got.expect_err(with);
    assert!(error.contains(with), "{error}, not {with}");
}

/// A machine that holds a task of the job, and one in zone a that does not.
fn holder_and_other(w: &World, job: &str) -> (String, String) {
    let prefix = format!("{job}/");
    let holds = |m: &&Machine| m.live().any(|t| t.task_name.starts_with(&prefix));
    let there = || w.machines.values().filter(|m| !m.gone);
    let holder = there().find(holds).expect("a holder");
    let other = there().find(|m| !holds(m));
    let other = other.expect("another machine");
    (holder.name.clone(), other.name.clone())
}

fn task(task_name: &str, cpus: f64) -> Task {
    Task {
        task_name: task_name.into(),
        attempt: 1 << 30,
        status: "running",
        cause: None,
        checkpointed: false,
        ends: 2_000 * SECOND,
        cpus,
    }
}

fn plant(w: &mut World, machine: &str, task: Task) {
    w.machine_mut(machine).expect("a machine").tasks.push(task);
}

fn said(status: &str) -> Vec<u8> {
    to_cbor(&JobStatus {
        id: "req-1".into(),
        status: status.into(),
        done: 0,
        running: 0,
    })
}

#[test]
fn a_task_on_two_machines() {
    // Also where nobody sees it: on a machine that hangs, is deaf, cut off or mute.
    let hide: [fn(&mut Machine); 5] = [
        |_| (),
        |m| m.hangs_until = 900 * SECOND,
        |m| m.deaf_until = 900 * SECOND,
        |m| m.unplugged_until = 900 * SECOND,
        |m| m.mute_until = 900 * SECOND,
    ];
    for hide in hide {
        let mut w = running();
        let (holder, other) = holder_and_other(&w, "req-1");
        let copy = w.machines[&holder].tasks[0].clone();
        plant(&mut w, &other, copy);
        hide(w.machine_mut(&other).expect("a machine"));
        broken(w.play_until(5 * SECOND), "ran_twice");
    }
    // Two attempts on one machine are two.
    let mut w = running();
    let (holder, _) = holder_and_other(&w, "req-1");
    let mut again = w.machines[&holder].tasks[0].clone();
    again.attempt += 1;
    plant(&mut w, &holder, again);
    broken(w.play_until(5 * SECOND), "ran_twice");
    // What is gone or has exited is on no machine.
    let mut w = running();
    let mut ended = w.machines[&holder].tasks[0].clone();
    (ended.status, ended.cause) = ("exited", Some("stopped"));
    w.machine_mut(&other_of(&w, &holder))
        .expect("a machine")
        .tasks
        .push(ended);
    assert_eq!(w.check_invariants(), Ok(()));
}

fn other_of(w: &World, name: &str) -> String {
    let mut others = w.machines.keys().filter(|n| *n != name);
    others.next().expect("another machine").clone()
}

#[test]
fn a_team_beyond_its_limit() {
    let mut w = running();
    assert_eq!(w.check_invariants(), Ok(()));
    let (_, other) = holder_and_other(&w, "req-1");
    w.machine_mut(&other).expect("a machine").hangs_until = 900 * SECOND;
    plant(&mut w, &other, task("req-1/9", 24.1));
    broken(w.check_invariants(), "quota: t uses");
    broken(w.play_until(5 * SECOND), "quota: t uses");
    w.machine_mut(&other).expect("a machine").tasks.clear();
    plant(&mut w, &other, task("req-1/9", 24.0));
    assert_eq!(w.check_invariants(), Ok(()));
}

#[test]
fn a_task_in_the_wrong_place() {
    let start = |options: &str, on: fn(&Machine) -> bool| {
        let w = world(
            &format!("at 2 submit req-1 tasks=4 run=500\nat 4 submit req-2 run=500 {options}"),
            4,
        );
        let mut w = w;
        w.play_until(4 * SECOND + MILLISECOND)
            .expect("no fault yet");
        let on = w.machines.values().find(|m| !m.gone && m.up && on(m));
        let on = on.expect("a machine").name.clone();
        plant(&mut w, &on, task("req-2/0", 2.0));
        w.started(&on, &["req-2/0".to_string()])
    };
    assert_eq!(start("zone=a", |m| m.zone == "a"), Ok(()));
    broken(start("zone=b", |m| m.zone == "a"), "wrong_place");
    broken(start("type=other", |m| m.zone == "a"), "wrong_place");
    let mut w = running();
    let (holder, _) = holder_and_other(&w, "req-1");
    w.machine_mut(&holder).expect("a machine").spot = true;
    let spec = |w: &mut World, change: fn(&mut Submission)| {
        change(&mut w.jobs.get_mut("req-1").expect("a job").spec);
    };
    spec(&mut w, |s| s.spot = false);
    let task_name = ["req-1/0".to_string()];
    broken(w.started(&holder, &task_name), "wrong_place");
    spec(&mut w, |s| s.spot = true);
    assert_eq!(w.started(&holder, &task_name), Ok(()));
    // Alone in a zone it is not spread; with one elsewhere it is not in one zone.
    spec(&mut w, |s| s.spread = true);
    for m in w.machines.values_mut() {
        m.zone = "a".into();
    }
    broken(w.started(&holder, &task_name), "not spread");
    spec(&mut w, |s| (s.spread, s.one_zone) = (false, true));
    assert_eq!(w.started(&holder, &task_name), Ok(()));
    let (_, other) = holder_and_other(&w, "req-1");
    w.machine_mut(&other).expect("a machine").zone = "b".into();
    plant(&mut w, &other, task("req-1/9", 2.0));
    broken(w.started(&holder, &task_name), "in several zones");
}

#[test]
fn a_start_after_a_confirmed_cancellation() {
    let mut w = world(
        "at 2 submit req-1 tasks=4 run=500\nat 4 cancel req-1\nat 5 late_starts most=0",
        5,
    );
    let confirmed = w.jobs["req-1"].cancelled_at.expect("a confirmation");
    let there = w.machines.values().find(|m| !m.gone).expect("a machine");
    let name = there.name.clone();
    plant(&mut w, &name, task("req-1/0", 2.0));
    let task_name = ["req-1/0".to_string()];
    let line = |most: &str| Directive {
        words: vec!["late_starts".into()],
        options: BTreeMap::from([("most".into(), most.into())]),
        ..Directive::default()
    };
    assert_eq!(w.script(line("0")), Ok(()));
    // In time it is counted, and no more than that.
    assert_eq!(w.started(&name, &task_name), Ok(()));
    assert_eq!(w.script(line("1")), Ok(()));
    broken(w.script(line("0")), "1 tasks of cancelled jobs started");
    assert_eq!(w.check_invariants(), Ok(()));
    // Later than that it is a breach, and so is that it is there; on a machine that hangs, too.
    w.now = confirmed + w.settings.cancel_timeout + 1;
    broken(w.started(&name, &task_name), "ran_cancelled");
    w.machine_mut(&name).expect("a machine").hangs_until = 900 * SECOND;
    broken(w.check_invariants(), "ran_cancelled");
}

/// Takes a forged answer to a question that was sent at that time.
fn forge(w: &mut World, requester: Requester, status: u16, word: &str) -> Result<(), String> {
    w.answered(requester, 0, status, said(word))
}

#[test]
fn an_answer_that_goes_back() {
    let ask = |sent| {
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
    };
    for k in 0..6 {
        let one = |sent: Micros| ask(sent)[k].clone();
        // Not done yet; never cancelled by its user.
        broken(
            forge(&mut running(), one(8 * SECOND), 200, "done"),
            "not_done",
        );
        broken(
            forge(&mut running(), one(8 * SECOND), 200, "aborted"),
            "nobody asked",
        );
        // Cancelled, then anything else.
        for word in ["pending", "running", "done"] {
            let mut w = running();
            let observed = w.jobs.get_mut("req-1").expect("a job");
            (observed.cancel_requested_at, observed.cancelled_at) =
                (Some(7 * SECOND), Some(8 * SECOND));
            if word == "done" {
                observed.completed = (0..4).map(|i| format!("req-1/{i}")).collect();
            }
            broken(forge(&mut w, one(9 * SECOND), 200, word), "went_back");
        }
        // Done, then anything else.
        for word in ["pending", "running", "aborted"] {
            let mut w = running();
            let observed = w.jobs.get_mut("req-1").expect("a job");
            (observed.cancel_requested_at, observed.done) = (Some(7 * SECOND), true);
            broken(forge(&mut w, one(9 * SECOND), 200, word), "went_back");
        }
        // Known, then denied: by the answer to a submission, or to any other question.
        for denial in [404, 400, 422] {
            let judged = match one(0) {
                Requester::Submit(..) | Requester::Resubmit(..) => denial != 404,
                _ => denial == 404,
            };
            if !judged {
                continue;
            }
            broken(
                forge(&mut running(), one(9 * SECOND), denial, ""),
                "forgotten",
            );
            let mut w = running();
            let observed = w.jobs.get_mut("req-1").expect("a job");
            (observed.accepted, observed.known_since) = (false, None);
            assert_eq!(
                forge(&mut w, ask(8 * SECOND)[0].clone(), 200, "pending"),
                Ok(())
            );
            let check_status = w.now;
            broken(forge(&mut w, one(check_status), denial, ""), "went_back");
            // The question was sent before: it may have been answered before, too.
            if !matches!(one(0), Requester::Expect(..) | Requester::Raw { .. }) {
                assert_eq!(forge(&mut w, one(check_status - 1), denial, ""), Ok(()));
            }
        }
    }
}

#[test]
fn a_daemon_that_is_done_and_a_job_that_nobody_submitted() {
    let mut w = world("at 2 submit req-1 tasks=1 shape=daemon run=500", 8);
    let observed = w.jobs.get_mut("req-1").expect("a job");
    observed.completed.insert("req-1/0".into());
    let poll = |job: &str| Requester::Poll(job.into(), 8 * SECOND);
    broken(forge(&mut w, poll("req-1"), 200, "done"), "not_done");
    broken(forge(&mut w, poll("req-7"), 200, "pending"), "invented");
    assert_eq!(forge(&mut w, poll("req-7"), 404, ""), Ok(()));
}

#[test]
fn a_job_about_which_nobody_answers() {
    let mut w = running();
    w.now = w.jobs["req-1"].answered + UNANSWERED_LIMIT;
    assert_eq!(w.poll_all_jobs(), Ok(()));
    w.now += 1;
    broken(w.poll_all_jobs(), "forgotten");
    // What is over is asked about as well.
    let mut w = world("at 2 submit req-1 run=2\nat 2 submit req-2 run=2", 30);
    assert!(w.jobs["req-1"].done && w.jobs["req-2"].done);
    for turn in 0..2 {
        w.queue.clear();
        w.poll_finished_and_unknown();
        let wanted = ["req-1", "req-2"].map(|j| format!("/submissions/{j}"));
        let asked = w.queue.values().filter(
            |event| matches!(event, Event::Request { path, .. } if wanted.iter().any(|w| w == path)),
        );
        assert_eq!(asked.count(), 1, "turn {turn}");
    }
}

/// A submission as users send it, changed.
fn changed(key: &str, value: Option<Value>) -> Vec<u8> {
    let w = running();
    let body = to_cbor(&w.jobs["req-1"].spec);
    let mut map: BTreeMap<String, Value> = from_cbor(&body).expect("a map");
    map.insert("uid".into(), Value::Text("req-5".into()));
    match value {
        Some(value) => map.insert(key.into(), value),
        None => map.remove(key),
    };
    to_cbor(&map)
}

#[test]
fn what_must_be_refused_is_accepted() {
    let mut w = running();
    let mut accept = |body: Vec<u8>| {
        let raw = Requester::Raw {
            wanted: 201,
            line: 1,
            method: "POST".into(),
            path: "/submissions".into(),
            body,
            sent: 8 * SECOND,
        };
        w.answered(raw, 0, 201, said("pending"))
    };
    let integer = |i: i64| Some(Value::Integer(i.into()));
    let text = |s: &str| Some(Value::Text(s.into()));
    assert_eq!(accept(changed("", None)), Ok(()));
    for key in ["builds", "yard", "due_s"] {
        assert_eq!(accept(changed(key, None)), Ok(()), "{key}");
        assert_eq!(accept(changed(key, Some(Value::Null))), Ok(()), "{key}");
    }
    let fields = "uid workclass owner shape precedence shards vcpus accelerators memory_gb bundle \
                  pull_gb one_zone spread loaner expected_s savepoint_s flush_s";
    for key in fields.split_whitespace() {
        broken(accept(changed(key, None)), "must be refused");
        broken(accept(changed(key, Some(Value::Null))), "must be refused");
        let wrong = Some(Value::Array(Vec::new()));
        broken(accept(changed(key, wrong)), "must be refused");
    }
    for (key, value) in [
        ("shards", integer(0)),
        ("shards", integer(100_001)),
        ("vcpus", Some(Value::Float(-1.0))),
        ("expected_s", Some(Value::Float(f64::NAN))),
        ("due_s", text("soon")),
        ("shape", text("round")),
        ("precedence", text("urgent")),
    ] {
        broken(accept(changed(key, value)), "must be refused");
    }
    for (key, value, why) in [
        ("owner", text("nobody"), "team is unknown"),
        ("vcpus", integer(9), "fits no machine type"),
        ("memory_gb", integer(33), "fits no machine type"),
        (
            "accelerators",
            integer(1),
            "needs more than its team's limit",
        ),
        ("vcpus", integer(33), "needs more than its team's limit"),
        ("yard", text("c"), "fits no machine type"),
        (
            "builds",
            Some(Value::Array(vec![Value::Text("big".into())])),
            "fits no machine type",
        ),
    ] {
        broken(accept(changed(key, value)), why);
    }
    broken(accept(vec![0xff]), "no map");
    // A gang needs its team's limit for all its tasks at once.
    let mut w = running();
    let observed = w.jobs.get_mut("req-1").expect("a job");
    observed.spec.tasks = 17;
    let submit = || Requester::Submit("req-1".into(), 8 * SECOND);
    assert_eq!(forge(&mut w, submit(), 200, "running"), Ok(()));
    let observed = w.jobs.get_mut("req-1").expect("a job");
    observed.spec.shape = "gang".into();
    broken(forge(&mut w, submit(), 200, "running"), "team's limit");
}

/// A world in which a job that no controller knows waits beside room; what it needs is up to the test.
/// The result says after how many seconds the check breaks, if it does within 200.
fn waits(options: &str, change: fn(&mut World)) -> Option<u64> {
    let mut w = world(
        "check waits\nat 2 submit req-1 tasks=4 run=500\nat 2 submit req-2 tasks=1 owner=u run=500",
        4,
    );
    let text = format!("at 4 submit req-3 {options}\nend 9");
    let script = crate::script::parse(&text).expect("a script");
    w.add_job("req-3", &script.events[0].1).expect("a job");
    w.jobs.get_mut("req-3").expect("a job").accepted = true;
    change(&mut w);
    let from = w.now;
    (0..200).find(|s| {
        w.now = from + s * SECOND;
        let got = w.check_invariants();
        if let Err(e) = &got {
            assert!(e.contains("waits: req-3"), "{e}");
        }
        got.is_err()
    })
}

#[test]
fn a_job_that_waits_beside_room() {
    let all = |w: &mut World| {
        for m in w.machines.values_mut().filter(|m| !m.gone) {
            m.deaf_until = 900 * SECOND;
        }
    };
    assert_eq!(waits("cpus=1", |_| ()), Some(90));
    assert_eq!(waits("tasks=3 cpus=1 shape=gang", |_| ()), Some(90));
    assert_eq!(
        waits("cpus=1", |w| w.faults_end = 60 * SECOND),
        Some(56 + 90)
    );
    assert_eq!(waits("cpus=1", |w| w.checks = Checks::default()), None);
    let first_start =
        |w: &mut World| w.jobs.get_mut("req-3").expect("a job").last_start = 20 * SECOND;
    assert_eq!(waits("cpus=1", first_start), Some(16 + 90));
    // No room, no machine that fits or hears, no leave of its team.
    assert_eq!(waits("cpus=8 mem=1", |w| fill(w, 1.0, 0.0)), None);
    assert_eq!(waits("cpus=1 mem=20", |w| fill(w, 0.0, 20.0)), None);
    assert_eq!(waits("cpus=1 zone=c", |_| ()), None);
    assert_eq!(waits("cpus=1 type=big", |_| ()), None);
    assert_eq!(waits("cpus=1", all), None);
    assert_eq!(waits("cpus=7 owner=u", |_| ()), None);
    assert_eq!(waits("cpus=6 owner=u", |_| ()), Some(90));
    // Cancelled, done, or it fails wherever it runs.
    let cancel =
        |w: &mut World| w.jobs.get_mut("req-3").expect("a job").cancel_requested_at = Some(0);
    assert_eq!(waits("cpus=1", cancel), None);
    assert_eq!(waits("cpus=1 fails=yes", |_| ()), None);
    // Its other tasks are elsewhere, or already half of them here.
    let beside = |w: &mut World| {
        let there: Vec<String> = w.machines.keys().cloned().collect();
        for (i, name) in there.iter().enumerate() {
            let m = w.machine_mut(name).expect("a machine");
            m.gone = false;
            m.zone = if i == 0 { "z" } else { "a" }.into();
        }
        plant(w, &there[0], task("req-3/0", 1.0));
    };
    assert_eq!(waits("tasks=2 cpus=1", beside), Some(90));
    let one_zone = |w: &mut World| {
        let name = w.machines.keys().next().expect("a machine").clone();
        let m = w.machine_mut(&name).expect("a machine");
        (m.gone, m.zone) = (false, "z".into());
        plant(w, &name, task("req-3/0", 8.0));
    };
    assert_eq!(waits("tasks=2 cpus=1 one_zone=yes", one_zone), None);
}

/// Fills all machines, up to less than the job asks for.
fn fill(w: &mut World, cpus: f64, memory: f64) {
    w.settings.teams.get_mut("t").expect("a team").cpus_max = 900.0;
    let mut w2 = task("req-4/0", cpus);
    let line = crate::script::parse("at 1 submit req-4 tasks=9\nend 2").expect("a script");
    w.add_job("req-4", &line.events[0].1).expect("a job");
    w.jobs.get_mut("req-4").expect("a job").spec.memory_gb = memory;
    let names: Vec<String> = w.machines.keys().cloned().collect();
    for (i, name) in names.iter().enumerate() {
        w2.task_name = format!("req-4/{i}");
        plant(w, name, w2.clone());
    }
}

#[test]
fn commands_in_the_answer_to_a_copy() {
    let answer = |verb: &str| {
        let commands = vec![Command {
            verb: verb.into(),
            task_name: "req-1/0".into(),
            attempt: 1,
            grace_s: None,
        }];
        to_cbor(&HeartbeatResponse { token: 9, commands })
    };
    let mut w = running();
    for (first, verb, fine) in [
        (false, "launch", false),
        (false, "stop", false),
        (false, "reap", false),
        (true, "launch", false),
        (true, "stop", true),
        (true, "reap", true),
    ] {
        let got = w.answered(Requester::HeartbeatCopy { first }, 0, 200, answer(verb));
        assert_eq!(got.is_ok(), fine, "{first} {verb}: {got:?}");
    }
}

#[test]
fn a_report_that_a_leader_has_not_had() {
    let mut w = running();
    let leader = (0..3).find(|n| w.leads(*n)).expect("a leader");
    let (holder, _) = holder_and_other(&w, "req-1");
    let m = w.machine_mut(&holder).expect("a machine");
    let newest = m.report(4 * SECOND);
    let copy = |incarnation, sequence, token| {
        let report = grebewood_wire::http::Heartbeat {
            incarnation,
            sequence,
            token,
            ..newest.clone()
        };
        to_cbor(&report)
    };
    let (incarnation, sequence, token) = (newest.incarnation, newest.sequence, newest.token);
    let requester = Requester::HeartbeatCopy { first: false };
    // The world played on so far: all but the newest one came under this grant.
    assert!(!w.note_heartbeat(leader, &copy(incarnation, sequence - 1, token), &requester));
    assert!(w.note_heartbeat(leader, &copy(incarnation, sequence, token), &requester));
    assert!(!w.note_heartbeat(leader, &copy(incarnation, sequence, token), &requester));
    assert!(w.note_heartbeat(leader, &copy(incarnation + 1, 1, token), &requester));
    assert!(!w.note_heartbeat(leader, &copy(incarnation, sequence + 9, token), &requester));
    // Nobody else leads.
    let other = (leader + 1) % 3;
    assert!(!w.note_heartbeat(other, &copy(incarnation, sequence, token), &requester));
    // Copies of older tokens count as a meeting; heartbeats themselves do not.
    let count = |n: &str| Directive {
        words: vec!["copied".into(), n.into()],
        ..Directive::default()
    };
    let met = |w: &mut World| {
        (0..)
            .take_while(|n| w.script(count(&n.to_string())).is_ok())
            .count()
            - 1
    };
    assert_eq!(met(&mut w), 0);
    w.note_heartbeat(leader, &copy(incarnation, sequence, token - 1), &requester);
    assert_eq!(met(&mut w), 1);
    let agent = Requester::Heartbeat {
        machine: holder.clone(),
        heartbeat_id: 1,
    };
    w.note_heartbeat(leader, &copy(incarnation, sequence, token - 1), &agent);
    assert_eq!(met(&mut w), 1);
}

#[test]
fn a_direct_command_is_carried_out_late_and_answered_to_nobody() {
    let mut w = running();
    let (holder, _) = holder_and_other(&w, "req-1");
    let (incarnation, token) = (w.machines[&holder].incarnation, w.machines[&holder].token);
    let first = w.machines[&holder].tasks[0].clone();
    let commands = vec![Command {
        verb: "stop".into(),
        task_name: first.task_name.clone(),
        attempt: first.attempt,
        grace_s: None,
    }];
    let body = to_cbor(&DirectCommands {
        token,
        incarnation,
        commands,
    });
    let line = Directive {
        words: vec!["lose".into(), "direct".into(), holder.clone()],
        options: BTreeMap::from([("late".into(), "6".into())]),
        ..Directive::default()
    };
    w.script(line).expect("a trouble");
    let caller = Caller {
        controller: 0,
        process: w.controllers[0].process,
        call: 1 << 40,
    };
    w.queue.clear();
    w.direct(caller, &format!("worker:{holder}"), &body)
        .expect("no fault");
    let live = |w: &World| {
        w.machines[&holder]
            .live()
            .any(|t| t.task_name == first.task_name)
    };
    assert!(live(&w));
    let ((at, _), late) = w.queue.pop_first().expect("a late command");
    assert_eq!((at, w.queue.len()), (w.now + 6 * SECOND, 0));
    w.now = at;
    let Event::DirectCommand(nobody, address, body) = late else {
        panic!("no command")
    };
    w.direct(nobody, &address, &body).expect("no fault");
    assert!(!live(&w));
    // What answers it reaches no process.
    let answers = |event: &Event| matches!(event, Event::Input(_, process, _) if *process != 0);
    assert!(!w.queue.values().any(answers));
}

#[test]
fn every_third_transaction_is_lost() {
    let mut w = running();
    let line = |words: &str, options: &[(&str, &str)]| Directive {
        words: words.split(' ').map(str::to_string).collect(),
        options: options
            .iter()
            .map(|(k, v)| (k.to_string(), v.to_string()))
            .collect(),
        ..Directive::default()
    };
    let call = grebewood_core::Call {
        id: 1,
        target: Target::Store,
        method: "POST",
        path: "/txn".into(),
        body: Vec::new(),
        timeout: SECOND,
    };
    let many = [("for", "20"), ("every", "3"), ("late", "8")];
    w.script(line("late txns", &many)).expect("a trouble");
    w.queue.clear();
    let lost: Vec<bool> = (0..7)
        .map(|i| w.lose_transaction(i % 3, w.now, &call))
        .collect();
    assert_eq!(lost, [false, false, true, false, false, true, false]);
    let at: Vec<Micros> = w.queue.keys().map(|(at, _)| *at).collect();
    assert_eq!(at, [w.now + 8 * SECOND; 2]);
    w.now += 20 * SECOND;
    assert!((0..6).all(|_| !w.lose_transaction(0, w.now, &call)));
    // The next one of a controller, or of whoever leads.
    let leader = (0..3).find(|n| w.leads(*n)).expect("a leader");
    let other = (leader + 1) % 3;
    w.queue.clear();
    let at_once = [("node", "leader"), ("at_once", "yes")];
    w.script(line("late txn", &at_once)).expect("a trouble");
    assert!(!w.lose_transaction(other, w.now, &call));
    assert!(w.lose_transaction(leader, w.now, &call) && !w.lose_transaction(leader, w.now, &call));
    assert!(w.queue.keys().all(|(at, _)| *at == w.now));
    let controller = other.to_string();
    w.script(line("late txn", &[("node", &controller)]))
        .expect("a trouble");
    assert!(!w.lose_transaction(leader, w.now, &call) && w.lose_transaction(other, w.now, &call));
}

#[test]
fn a_slow_state_service_answers_later() {
    let mut w = running();
    let caller = Caller {
        controller: 0,
        process: w.controllers[0].process,
        call: 1 << 40,
    };
    let answered = |w: &mut World, what: &str| {
        w.queue.clear();
        w.reply(caller, what, 2 * MILLISECOND, 200, Vec::new());
        w.queue.pop_first().map(|((at, _), _)| at - w.now)
    };
    assert_eq!(answered(&mut w, "state"), Some(2 * MILLISECOND));
    w.script(Directive {
        words: vec!["slow".into(), "state".into()],
        options: BTreeMap::from([("by".into(), "0.8".into()), ("for".into(), "5".into())]),
        ..Directive::default()
    })
    .expect("a trouble");
    assert_eq!(answered(&mut w, "state"), Some(802 * MILLISECOND));
    assert_eq!(answered(&mut w, "workers"), Some(2 * MILLISECOND));
    w.now += 5 * SECOND;
    assert_eq!(answered(&mut w, "state"), Some(2 * MILLISECOND));
    w.script(Directive {
        words: vec!["slow".into(), "workers".into()],
        options: BTreeMap::from([("by".into(), "0.7".into()), ("for".into(), "5".into())]),
        ..Directive::default()
    })
    .expect("a trouble");
    assert_eq!(answered(&mut w, "state"), Some(2 * MILLISECOND));
    assert_eq!(answered(&mut w, "workers"), Some(702 * MILLISECOND));
    w.now += 5 * SECOND;
    assert_eq!(answered(&mut w, "workers"), Some(2 * MILLISECOND));
}

#[test]
fn users_look_closely_once_after_each_thing_said() {
    let mut w = world("at 1 looks for=100\nat 2 submit req-1 tasks=4 run=500", 4);
    w.queue.clear();
    // It was looked at when it was accepted; now its user is told that it is cancelled.
    let again = Requester::Resubmit("req-1".into(), w.now);
    assert_eq!(forge(&mut w, again, 200, "running"), Ok(()));
    assert!(w.queue.is_empty());
    w.jobs.get_mut("req-1").expect("a job").cancel_requested_at = Some(3 * SECOND);
    for _ in 0..2 {
        let cancel = Requester::Cancel("req-1".into(), w.now);
        assert_eq!(forge(&mut w, cancel, 200, "aborted"), Ok(()));
    }
    let looks: Vec<Micros> = w.queue.keys().map(|(at, _)| at - w.now).collect();
    assert_eq!(
        looks,
        [
            MILLISECOND,
            5 * MILLISECOND,
            20 * MILLISECOND,
            60 * MILLISECOND
        ]
    );
    // Each is a question and a submission at every controller that is up.
    w.controllers[1].controller = None;
    w.queue.clear();
    w.poll_everywhere("req-1");
    let asked: Vec<(usize, String)> = w
        .queue
        .values()
        .filter_map(|event| match event {
            Event::Request {
                controller, method, ..
            } => Some((*controller, method.clone())),
            _ => None,
        })
        .collect();
    let both = |n| [(n, "GET".to_string()), (n, "POST".to_string())];
    assert_eq!(asked, [both(0), both(2)].concat());
}

#[test]
fn troubles_are_over_when_the_last_of_them_is() {
    let end = |line: &str| {
        let script = crate::script::parse(&format!("at 10 {line}\nend 99")).expect("a script");
        script.faults_end() / SECOND
    };
    for (line, seconds) in [
        ("late txn for=5", 15),
        ("late txns for=20 late=8", 38),
        ("mute all", 40),
        ("slow state for=5", 15),
        ("lose direct n-000000", 26),
        ("lose direct n-000000 for=1 late=2", 13),
        ("lose answer n-000000", 0),
        ("cancel_now 3", 10),
        ("cancel_now 3 hang=30", 40),
        ("looks for=50", 0),
    ] {
        assert_eq!(end(line), seconds, "{line}");
    }
}

#[test]
fn an_old_node_loses_what_it_does_not_know() {
    use grebewood_wire::{from_peer, to_peer};
    #[derive(serde::Serialize, serde::Deserialize)]
    enum Request {
        Contact {
            from: String,
            #[serde(default)]
            load: u64,
        },
    }
    #[derive(serde::Serialize, serde::Deserialize)]
    struct Answer {
        member: String,
        store_contact_age_us: Option<u64>,
        token: u64,
        #[serde(default)]
        load: u64,
    }
    // Node 0 asks controller 1: what arrives of the request, and of the answer.
    for (previous_version, load) in [(None, 5), (Some(0), 0), (Some(1), 0), (Some(2), 5)] {
        let mut w = running();
        w.previous_version.extend(previous_version);
        let caller = Caller {
            controller: 0,
            process: w.controllers[0].process,
            call: 1 << 40,
        };
        w.queue.clear();
        let call = grebewood_core::Call {
            id: caller.call,
            target: Target::Peer(0),
            method: "POST",
            path: "/peer".into(),
            body: to_peer(&Request::Contact {
                from: "perch-0".into(),
                load: 5,
            }),
            timeout: SECOND,
        };
        w.send(caller, call);
        let Some((
            _,
            Event::Request {
                controller, body, ..
            },
        )) = w.queue.pop_first()
        else {
            panic!("no request")
        };
        let Request::Contact { load: got, .. } = from_peer(&body).expect("a request");
        assert_eq!((controller, got), (1, load), "{previous_version:?}");
        let answer = to_peer(&Answer {
            member: "perch-1".into(),
            store_contact_age_us: None,
            token: 1,
            load: 5,
        });
        w.answered(Requester::Peer(caller), 1, 200, answer)
            .expect("no fault");
        let Some((_, Event::Input(0, _, Input::Reply { outcome, .. }))) = w.queue.pop_first()
        else {
            panic!("no reply")
        };
        let Outcome::Answer { body, .. } = outcome else {
            panic!("no answer")
        };
        let got: Answer = from_peer(&body).expect("an answer");
        assert_eq!(got.load, load, "{previous_version:?}");
    }
}
