//! Runs three controllers as processes on loopback, with simulators of the services and agents: partitions are
//! handed off hundreds of times while jobs run, and holders are killed. The assertions check counts, never times.

mod common;

use common::{
    assert_command_names_unreachable_store, job_facts, submission, Controllers, Setup, TeamQuota,
    KEEP_IDLE_MACHINES, MAX_POLLS,
};
use grebewood_testkit::loopback::Cluster;
use grebewood_wire::http::{from_value, to_value};
use grebewood_wire::records::{PartitionKey, PartitionRecord};
use grebewood_wire::to_cbor;
use std::time::Duration;

const MEMBERS: usize = 3;
const MACHINES: usize = 12;
const JOBS: usize = 30;
const TASKS: u64 = 4;
/// Run time of each task.
const TASK_RUN_TIME_US: u64 = 4_000_000;
/// Minimum number of handoffs.
const HANDOFFS: usize = 200;
/// Time between two handoffs.
const HANDOFF_INTERVAL: Duration = Duration::from_millis(200);
/// Handoffs between two kills.
const HANDOFFS_PER_KILL: usize = 60;
/// Handoffs from a kill to the restart of the same controller.
const HANDOFFS_TO_RESTART: usize = 8;
/// Rounds of the submission loop between two submissions.
const ROUNDS_PER_SUBMISSION: usize = 8;

fn setup(name: &'static str) -> Setup {
    Setup {
        name,
        members: MEMBERS,
        tuning: format!("partitions_per_zone = 3\n{KEEP_IDLE_MACHINES}"),
        teams: vec![TeamQuota {
            name: "t",
            cpus: 96.0,
            cpus_max: 96.0,
        }],
    }
}

/// Assigns a partition to the next controller. Returns false if there are no partitions yet.
fn hand_off_partition(cluster: &Cluster, round: usize) -> bool {
    let mut store = cluster.store();
    let records: Vec<(String, PartitionRecord)> = store
        .entries_with_prefix("partition/")
        .filter(|(key, _, _)| matches!(PartitionKey::parse(key), Some(PartitionKey::Record(_))))
        .filter_map(|(key, value, _)| Some((key.to_string(), from_value(value).ok()?)))
        .collect();
    if records.is_empty() {
        return false;
    }
    let (key, mut record) = records[round % records.len()].clone();
    let member = record.holder.trim_start_matches("m-").parse::<usize>();
    record.holder = format!("m-{}", (member.expect("a member") + 1) % MEMBERS);
    store.write(&key, to_value(&record));
    true
}

/// Kills the controllers in turn, one after every [`HANDOFFS_PER_KILL`] handoffs, and restarts each after
/// [`HANDOFFS_TO_RESTART`] more.
fn kill_or_restart(controllers: &mut Controllers, handoffs: usize) {
    let member = handoffs / HANDOFFS_PER_KILL % MEMBERS;
    match handoffs % HANDOFFS_PER_KILL {
        0 => controllers.kill(member),
        HANDOFFS_TO_RESTART if handoffs > HANDOFFS_PER_KILL => controllers.spawn(member),
        _ => {}
    }
}

/// Submits the jobs one by one while partitions are handed off, and returns the number of handoffs.
fn submit_during_handoffs(
    cluster: &Cluster,
    controllers: &mut Controllers,
    jobs: &[String],
) -> usize {
    let (mut submitted, mut handoffs) = (0, 0);
    for round in 0..MAX_POLLS * 10 {
        if handoffs >= HANDOFFS && submitted == jobs.len() {
            break;
        }
        if submitted < jobs.len() && round % ROUNDS_PER_SUBMISSION == 0 {
            let body = to_cbor(&submission(&jobs[submitted], "t", TASKS));
            controllers.request("POST", "/submissions", &body, &[200, 201]);
            submitted += 1;
        }
        if hand_off_partition(cluster, round) {
            handoffs += 1;
            kill_or_restart(controllers, handoffs);
        }
        std::thread::sleep(HANDOFF_INTERVAL);
    }
    handoffs
}

fn assert_command_shows_partitions(controllers: &Controllers) {
    let (code, text) = controllers.run_command("partitions", &[]);
    assert_eq!(code, Some(0), "{text}");
    assert_eq!(text.matches("slots ").count(), 3, "{text}");
    let (code, json) = controllers.run_command("partitions", &["--json"]);
    assert_eq!(code, Some(0), "{json}");
    assert!(json.contains("\"assigned_to\": \"m-"), "{json}");
}

#[test]
fn partitions_are_handed_off_while_jobs_run_and_holders_are_killed() {
    let jobs: Vec<String> = (0..JOBS).map(|n| format!("req-{n:06}")).collect();
    let facts = jobs
        .iter()
        .map(|job| (job.clone(), job_facts(TASK_RUN_TIME_US)));
    let cluster = Cluster::new(MACHINES, facts.collect());
    let mut controllers = Controllers::start(&setup("moves"), &cluster);

    let handoffs = submit_during_handoffs(&cluster, &mut controllers, &jobs);
    assert!(
        handoffs >= HANDOFFS,
        "only {handoffs} of {HANDOFFS} handoffs"
    );
    assert_eq!(controllers.wait_for_jobs(&jobs), Ok(()));
    assert_command_shows_partitions(&controllers);

    cluster.stop_agents();
    let executions = cluster.execution_log();
    assert_eq!(executions.duplicate_executions, Vec::<String>::new());
    assert_eq!(executions.completed.len() as u64, JOBS as u64 * TASKS);
    let repeated: Vec<_> = executions
        .completed
        .iter()
        .filter(|(_, n)| **n != 1)
        .collect();
    assert!(
        repeated.is_empty(),
        "completed more than once: {repeated:?}"
    );
}

#[test]
fn without_a_store_the_command_names_its_address() {
    assert_command_names_unreachable_store(&setup("nobody"), "partitions");
}
