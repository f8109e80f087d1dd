//! Five real controllers on loopback that place tasks at once: work of several teams is submitted to all of them in
//! the same moment while holders and leaders are killed. Counts are asserted, never times.

mod common;

use common::{
    free_address, machine_type, submission, Controllers, Services, Setup, TeamLimits, LOOK_EVERY,
};
use grebewood_net::blocking;
use grebewood_testkit::loopback::Cluster;
use grebewood_testkit::machines::JobFacts;
use grebewood_wire::to_cbor;
use std::collections::BTreeMap;
use std::thread;

const MEMBERS: usize = 5;
const MACHINES: usize = 15;
/// Jobs of each team that each controller is given in the same moment.
const WAVES: usize = 6;
const TASKS: u64 = 5;
/// Looks between two waves, and between two kills.
const WAVE_EVERY: usize = 12;
const KILL_EVERY: usize = 20;
const BACK_AFTER: usize = 4;
const ROUNDS: usize = WAVES * WAVE_EVERY;

/// The teams; their jobs' names begin with `req-1`, `req-2` and `req-3`.
const TEAMS: [TeamLimits; 3] = [
    TeamLimits {
        name: "first",
        cpus: 8.0,
        cpus_max: 20.0,
    },
    TeamLimits {
        name: "second",
        cpus: 8.0,
        cpus_max: 9.0,
    },
    TeamLimits {
        name: "third",
        cpus: 0.0,
        cpus_max: 40.0,
    },
];

fn setup(name: &'static str) -> Setup {
    Setup {
        name,
        members: MEMBERS,
        tuning: "partitions_per_zone = 5\nallotments = 1\nidle_hold_us = 600000000\n\
                 idle_hold_ordinary_us = 600000000\n",
        teams: TEAMS.to_vec(),
    }
}

/// The name of a team's job, one for each wave and controller.
fn job_name(team: usize, wave: usize, member: usize) -> String {
    format!("req-{}{wave:03}{member:02}", team + 1)
}

/// Submits a wave: each controller gets a job of each team, all in the same moment.
fn submit_wave(controllers: &Controllers, wave: usize) {
    thread::scope(|scope| {
        for (member, front) in controllers.fronts.values().enumerate() {
            for (team, limits) in TEAMS.iter().enumerate() {
                let body = to_cbor(&submission(
                    &job_name(team, wave, member),
                    limits.name,
                    TASKS,
                ));
                // A controller that is down takes none; those jobs are submitted again later.
                scope.spawn(move || blocking::request(*front, "POST", "/submissions", &body).ok());
            }
        }
    });
}

#[test]
fn no_team_is_above_its_ceiling_while_five_controllers_place() {
    let mut jobs = Vec::new();
    for wave in 0..WAVES {
        for team in 0..TEAMS.len() {
            jobs.extend((0..MEMBERS).map(|member| (team, job_name(team, wave, member))));
        }
    }
    let fact = JobFacts {
        cpus: 1.0,
        run: 1_500_000,
        flush: 0,
        saves: false,
        fails: false,
    };
    let facts: BTreeMap<String, JobFacts> = jobs
        .iter()
        .map(|(_, job)| (job.clone(), fact.clone()))
        .collect();
    let cluster = Cluster::new(MACHINES, facts);
    let services = Services {
        state: cluster.serve_state().expect("a state service"),
        cloud: cluster.serve_cloud(machine_type()).expect("a cloud"),
    };
    let mut controllers = Controllers::configure(&setup("quota"), services);
    (0..MEMBERS).for_each(|n| controllers.spawn(n));
    cluster.start_workers(&machine_type(), &controllers.fronts);

    for round in 0..ROUNDS {
        if round % WAVE_EVERY == 0 {
            submit_wave(&controllers, round / WAVE_EVERY);
        }
        // One after the other is killed, so that holders and leaders are among them.
        let member = round / KILL_EVERY % MEMBERS;
        match round % KILL_EVERY {
            0 if round > 0 => controllers.kill(member),
            BACK_AFTER if round > KILL_EVERY => controllers.spawn(member),
            _ => {}
        }
        thread::sleep(LOOK_EVERY);
    }
    for (team, job) in &jobs {
        let body = to_cbor(&submission(job, TEAMS[*team].name, TASKS));
        controllers.ask("POST", "/submissions", &body, &[200, 201]);
    }
    let names: Vec<String> = jobs.iter().map(|(_, job)| job.clone()).collect();
    assert_eq!(controllers.all_done(&names), Ok(()));
    let (code, text) = controllers.command("quota", &[]);
    assert_eq!(code, Some(0), "{text}");
    assert!(text.contains("second"), "{text}");
    let (code, json) = controllers.command("quota", &["--json"]);
    assert_eq!(code, Some(0), "{json}");
    assert!(json.contains("\"ceiling\""), "{json}");
    let placed_by_holders = cluster.state().under("page/0/").any(|(key, _, _)| {
        // Pages with such numbers are those of partitions' holders.
        let number = key
            .rsplit_once('/')
            .and_then(|(_, n)| n.parse::<u64>().ok());
        number.is_some_and(|n| n >= 1_000)
    });
    assert!(placed_by_holders, "no holder has placed anything");

    cluster.end();
    let write_buffer = cluster.write_buffer();
    assert_eq!(write_buffer.twice, Vec::<String>::new());
    assert_eq!(write_buffer.completed.len(), jobs.len() * TASKS as usize);
    for (team, limits) in TEAMS.iter().enumerate() {
        let most = write_buffer.most.get(&format!("req-{}", team + 1)).copied();
        let most = most.unwrap_or(0);
        let limit = limits.cpus_max as u64;
        assert!(
            most > 0 && most <= limit,
            "{}: {most} of {limit}",
            limits.name
        );
    }
}

#[test]
fn without_a_state_service_the_command_says_so() {
    let nobody = free_address();
    let services = Services {
        state: nobody,
        cloud: nobody,
    };
    let controllers = Controllers::configure(&setup("quota-nobody"), services);
    let (code, text) = controllers.command("quota", &[]);
    assert_eq!(code, Some(1));
    assert!(text.contains(&nobody.to_string()), "{text}");
}
