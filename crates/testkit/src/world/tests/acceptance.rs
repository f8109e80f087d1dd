//! Tests with submissions that are accepted though they must be refused.

use super::*;

/// Returns a valid submission in which one field is replaced or, with `None`, removed.
fn changed_submission(key: &str, value: Option<Value>) -> Vec<u8> {
    let world = world_with_running_job();
    let body = to_cbor(&world.jobs["req-1"].spec);
    let mut map: BTreeMap<String, Value> = from_cbor(&body).expect("a map");
    map.insert("uid".into(), Value::Text("req-5".into()));
    match value {
        Some(value) => map.insert(key.into(), value),
        None => map.remove(key),
    };
    to_cbor(&map)
}

/// Handles a response by which a controller accepts this submission.
fn accept(world: &mut World, body: Vec<u8>) -> StepResult {
    let raw = Requester::Raw {
        wanted: 201,
        line: 1,
        method: "POST".into(),
        path: "/submissions".into(),
        body,
        sent: 8 * SECOND,
    };
    world.handle_response(raw, 0, 201, status_body("pending"))
}

fn integer(number: i64) -> Option<Value> {
    Some(Value::Integer(number.into()))
}

fn text(word: &str) -> Option<Value> {
    Some(Value::Text(word.into()))
}

#[test]
fn accepting_missing_or_invalid_fields_is_a_violation() {
    let mut world = world_with_running_job();
    assert_eq!(accept(&mut world, changed_submission("", None)), Ok(()));
    for key in ["builds", "yard", "due_s"] {
        let absent = accept(&mut world, changed_submission(key, None));
        assert_eq!(absent, Ok(()), "{key}");
        let null = accept(&mut world, changed_submission(key, Some(Value::Null)));
        assert_eq!(null, Ok(()), "{key}");
    }
    let fields = "uid workclass owner shape precedence shards vcpus accelerators memory_gb bundle \
                  pull_gb one_zone spread loaner expected_s savepoint_s flush_s";
    for key in fields.split_whitespace() {
        let wrong = Some(Value::Array(Vec::new()));
        for value in [None, Some(Value::Null), wrong] {
            let accepted = accept(&mut world, changed_submission(key, value));
            assert_violation(accepted, "must be refused");
        }
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
        assert_violation(
            accept(&mut world, changed_submission(key, value)),
            "must be refused",
        );
    }
    assert_violation(accept(&mut world, vec![0xff]), "not a map");
}

#[test]
fn accepting_a_job_that_cannot_run_is_a_violation() {
    let mut world = world_with_running_job();
    let other_type = Value::Array(vec![Value::Text("big".into())]);
    let beyond_limit = "needs more than its team's limit";
    for (key, value, reason) in [
        ("owner", text("nobody"), "team is unknown"),
        ("vcpus", integer(9), "fits no machine type"),
        ("memory_gb", integer(33), "fits no machine type"),
        ("accelerators", integer(1), beyond_limit),
        ("vcpus", integer(33), beyond_limit),
        ("yard", text("c"), "fits no machine type"),
        ("builds", Some(other_type), "fits no machine type"),
    ] {
        assert_violation(accept(&mut world, changed_submission(key, value)), reason);
    }
}

/// All tasks of a gang must fit within its team's limit at once.
#[test]
fn accepting_a_gang_above_its_team_limit_is_a_violation() {
    let mut world = world_with_running_job();
    world.jobs.get_mut("req-1").expect("a job").spec.tasks = 17;
    let submit = || Requester::Submit("req-1".into(), 8 * SECOND);
    assert_eq!(respond(&mut world, submit(), 200, "running"), Ok(()));
    world.jobs.get_mut("req-1").expect("a job").spec.shape = "gang".into();
    assert_violation(
        respond(&mut world, submit(), 200, "running"),
        "team's limit",
    );
}
