//! Runs five controllers as processes on loopback that place tasks concurrently: jobs of several teams are
//! submitted to all controllers at the same time while controllers are killed, which may be partition holders or
//! the leader. The assertions check counts, never times.

mod common;

use common::{
    assert_command_names_unreachable_store, job_facts, submission, Controllers, Setup, TeamQuota,
    KEEP_IDLE_MACHINES, POLL_INTERVAL,
};
use grebewood_net::blocking;
use grebewood_testkit::loopback::Cluster;
use grebewood_wire::to_cbor;
use std::thread;

const MEMBERS: usize = 5;
const MACHINES: usize = 15;
/// Number of waves; in a wave, each controller receives one job of each team at the same time.
const WAVES: usize = 6;
const TASKS: u64 = 5;
/// Run time of each task.
const TASK_RUN_TIME_US: u64 = 1_500_000;
/// Rounds of the submission loop between two waves.
const ROUNDS_PER_WAVE: usize = 12;
/// Rounds between two kills.
const ROUNDS_PER_KILL: usize = 20;
/// Rounds from a kill to the restart of the same controller.
const ROUNDS_TO_RESTART: usize = 4;
const ROUNDS: usize = WAVES * ROUNDS_PER_WAVE;
/// Lowest number of the assignment pages that partition holders write.
const FIRST_HOLDER_PAGE: u64 = 1_000;

/// The teams; their jobs' names begin with `req-1`, `req-2` and `req-3`.
const TEAMS: [TeamQuota; 3] = [
    TeamQuota {
        name: "first",
        cpus: 8.0,
        cpus_max: 20.0,
    },
    TeamQuota {
        name: "second",
        cpus: 8.0,
        cpus_max: 9.0,
    },
    TeamQuota {
        name: "third",
        cpus: 0.0,
        cpus_max: 40.0,
    },
];

fn setup(name: &'static str) -> Setup {
    Setup {
        name,
        members: MEMBERS,
        tuning: format!("partitions_per_zone = 5\nallotments = 1\n{KEEP_IDLE_MACHINES}"),
        teams: TEAMS.to_vec(),
    }
}

/// Returns the name of a team's job for a wave and a controller.
fn job_name(team: usize, wave: usize, member: usize) -> String {
    format!("req-{}{wave:03}{member:02}", team + 1)
}

/// Submits a wave: a job of each team to each controller, all at the same time.
fn submit_wave(controllers: &Controllers, wave: usize) {
    thread::scope(|scope| {
        for (member, front) in controllers.fronts.values().enumerate() {
            for (team, limits) in TEAMS.iter().enumerate() {
                let body = to_cbor(&submission(
                    &job_name(team, wave, member),
                    limits.name,
                    TASKS,
                ));
                // Submissions to a killed controller fail; the test submits all jobs again later.
                scope.spawn(move || blocking::request(*front, "POST", "/submissions", &body).ok());
            }
        }
    });
}

/// Submits all waves while one controller after the other is killed, whether it holds partitions or leads.
fn submit_waves_and_kill(controllers: &mut Controllers) {
    for round in 0..ROUNDS {
        if round % ROUNDS_PER_WAVE == 0 {
            submit_wave(controllers, round / ROUNDS_PER_WAVE);
        }
        let member = round / ROUNDS_PER_KILL % MEMBERS;
        match round % ROUNDS_PER_KILL {
            0 if round > 0 => controllers.kill(member),
            ROUNDS_TO_RESTART if round > ROUNDS_PER_KILL => controllers.spawn(member),
            _ => {}
        }
        thread::sleep(POLL_INTERVAL);
    }
}

fn assert_command_shows_teams(controllers: &Controllers) {
    let (code, text) = controllers.run_command("quota", &[]);
    assert_eq!(code, Some(0), "{text}");
    assert!(text.contains("second"), "{text}");
    let (code, json) = controllers.run_command("quota", &["--json"]);
    assert_eq!(code, Some(0), "{json}");
    assert!(json.contains("\"ceiling\""), "{json}");
}

fn assert_holders_placed_tasks(cluster: &Cluster) {
    let placed_by_holders = cluster
        .store()
        .entries_with_prefix("page/0/")
        .any(|(key, _, _)| {
            let number = key
                .rsplit_once('/')
                .map(|(_, number)| number.parse::<u64>());
            number.is_some_and(|number| number.is_ok_and(|n| n >= FIRST_HOLDER_PAGE))
        });
    assert!(placed_by_holders, "no partition holder has placed a task");
}

/// Checks that each team has used some CPUs, and never more than its limit.
fn assert_limits_held(cluster: &Cluster) {
    let executions = cluster.execution_log();
    for (team, quota) in TEAMS.iter().enumerate() {
        let most = executions
            .peak_tasks_by_team
            .get(&format!("req-{}", team + 1))
            .copied();
        let most = most.unwrap_or(0);
        let limit = quota.cpus_max as u64;
        assert!(
            most > 0 && most <= limit,
            "{}: {most} of {limit}",
            quota.name
        );
    }
}

#[test]
fn no_team_exceeds_its_limit_while_five_controllers_place() {
    let mut jobs = Vec::new();
    for wave in 0..WAVES {
        for team in 0..TEAMS.len() {
            jobs.extend((0..MEMBERS).map(|member| (team, job_name(team, wave, member))));
        }
    }
    let facts = jobs
        .iter()
        .map(|(_, job)| (job.clone(), job_facts(TASK_RUN_TIME_US)));
    let cluster = Cluster::new(MACHINES, facts.collect());
    let mut controllers = Controllers::start(&setup("quota"), &cluster);

    submit_waves_and_kill(&mut controllers);
    for (team, job) in &jobs {
        let body = to_cbor(&submission(job, TEAMS[*team].name, TASKS));
        controllers.request("POST", "/submissions", &body, &[200, 201]);
    }
    let names: Vec<String> = jobs.iter().map(|(_, job)| job.clone()).collect();
    assert_eq!(controllers.wait_for_jobs(&names), Ok(()));
    assert_command_shows_teams(&controllers);
    assert_holders_placed_tasks(&cluster);

    cluster.stop_agents();
    {
        let executions = cluster.execution_log();
        assert_eq!(executions.duplicate_executions, Vec::<String>::new());
        assert_eq!(executions.completed.len(), jobs.len() * TASKS as usize);
    }
    assert_limits_held(&cluster);
}

#[test]
fn without_a_store_the_command_names_its_address() {
    assert_command_names_unreachable_store(&setup("quota-nobody"), "quota");
}
