//! Three real controllers on loopback with stand-ins for all else: partitions move hundreds of times
//! while jobs run, and holders are killed. Counts are asserted, never times.

mod common;

use common::{
    free_address, machine_type, submission, Controllers, Services, Setup, TeamLimits, LOOKS,
};
use grebewood_testkit::loopback::Cluster;
use grebewood_testkit::machines::JobFacts;
use grebewood_wire::http::{from_value, to_value};
use grebewood_wire::records::{PartitionKey, PartitionRecord};
use grebewood_wire::to_cbor;
use std::time::Duration;

const MEMBERS: usize = 3;
const MACHINES: usize = 12;
const JOBS: usize = 30;
const TASKS: u64 = 4;
/// Moves, each a fifth of a second after the one before.
const MOVES: usize = 200;
const MOVE_EVERY: Duration = Duration::from_millis(200);
/// After so many moves the member whose turn it is is killed, and started again after a few more.
const KILL_EVERY: usize = 60;
const BACK_AFTER: usize = 8;

fn setup(name: &'static str) -> Setup {
    Setup {
        name,
        members: MEMBERS,
        tuning:
            "partitions_per_zone = 3\nidle_hold_us = 600000000\nidle_hold_ordinary_us = 600000000\n",
        teams: vec![TeamLimits {
            name: "t",
            cpus: 96.0,
            cpus_max: 96.0,
        }],
    }
}

/// Assigns a partition to the next member. False: there is none yet.
fn move_partition(cluster: &Cluster, number: usize) -> bool {
    let mut state = cluster.state();
    let records: Vec<(String, PartitionRecord)> = state
        .under("partition/")
        .filter(|(key, _, _)| matches!(PartitionKey::parse(key), Some(PartitionKey::Record(_))))
        .filter_map(|(key, value, _)| Some((key.to_string(), from_value(value).ok()?)))
        .collect();
    if records.is_empty() {
        return false;
    }
    let (key, mut record) = records[number % records.len()].clone();
    let member = record.holder.trim_start_matches("m-").parse::<usize>();
    record.holder = format!("m-{}", (member.expect("a member") + 1) % MEMBERS);
    state.write(&key, to_value(&record));
    true
}

#[test]
fn partitions_move_while_jobs_run_and_holders_are_killed() {
    let jobs: Vec<String> = (0..JOBS).map(|n| format!("req-{n:06}")).collect();
    let fact = JobFacts {
        cpus: 1.0,
        run: 4_000_000,
        flush: 0,
        saves: false,
        fails: false,
    };
    let facts = jobs.iter().map(|job| (job.clone(), fact.clone())).collect();
    let cluster = Cluster::new(MACHINES, facts);
    let services = Services {
        state: cluster.serve_state().expect("a state service"),
        cloud: cluster.serve_cloud(machine_type()).expect("a cloud"),
    };
    let mut controllers = Controllers::configure(&setup("moves"), services);
    (0..MEMBERS).for_each(|n| controllers.spawn(n));
    cluster.start_workers(&machine_type(), &controllers.fronts);

    let (mut submitted, mut moves) = (0, 0);
    for round in 0..LOOKS * 10 {
        if moves >= MOVES && submitted == JOBS {
            break;
        }
        if submitted < JOBS && round % 8 == 0 {
            let body = to_cbor(&submission(&jobs[submitted], "t", TASKS));
            controllers.ask("POST", "/submissions", &body, &[200, 201]);
            submitted += 1;
        }
        if move_partition(&cluster, round) {
            moves += 1;
            let member = moves / KILL_EVERY % MEMBERS;
            if moves % KILL_EVERY == 0 {
                controllers.kill(member);
            } else if moves > KILL_EVERY && moves % KILL_EVERY == BACK_AFTER {
                controllers.spawn(member);
            }
        }
        std::thread::sleep(MOVE_EVERY);
    }
    assert!(moves >= MOVES, "only {moves} moves");
    assert_eq!(controllers.all_done(&jobs), Ok(()));
    let (code, text) = controllers.command("partitions", &[]);
    assert_eq!(code, Some(0), "{text}");
    assert_eq!(text.matches("slots ").count(), 3, "{text}");
    let (code, json) = controllers.command("partitions", &["--json"]);
    assert_eq!(code, Some(0), "{json}");
    assert!(json.contains("\"assigned_to\": \"m-"), "{json}");

    cluster.end();
    let write_buffer = cluster.write_buffer();
    assert_eq!(write_buffer.twice, Vec::<String>::new());
    assert_eq!(write_buffer.completed.len() as u64, JOBS as u64 * TASKS);
    let repeated: Vec<_> = write_buffer
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
fn without_a_state_service_the_command_says_so() {
    let nobody = free_address();
    let services = Services {
        state: nobody,
        cloud: nobody,
    };
    let controllers = Controllers::configure(&setup("nobody"), services);
    let (code, text) = controllers.command("partitions", &[]);
    assert_eq!(code, Some(1));
    assert!(text.contains(&nobody.to_string()), "{text}");
}
