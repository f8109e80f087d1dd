//! Plays drawn scenarios with more work than room of many kinds on a few machines that the cloud has no more of: wide and
//! narrow jobs, gangs, services, jobs with a mistake, estimates that are wrong, cancellations and changes of the leader.
//!
//! The seeds are fixed, so that each run plays the same scenarios. To play others:
//! `WAITING_SEEDS=1000..2000 cargo test -p grebewood-testkit --test waiting_jobs`

mod drawn;

use rand::rngs::SmallRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use std::fmt::Write;
use std::ops::Range;

/// The seeds that are played unless `WAITING_SEEDS` names others.
const SEEDS: Range<u64> = 0..120;
/// Further seeds that are played, whose scenarios failed before a fault was fixed: a machine refused what was placed
/// there, and the wait began anew; delegated tasks were revoked before they were sent, and kept for good.
const SEEDS_OF_FIXED_FAULTS: [u64; 2] = [1001, 1523];
/// Times between which jobs are submitted, in seconds.
const SUBMISSIONS_S: Range<f64> = 2.0..240.0;
/// Times between which faults begin, in seconds. Waits count from the end of the last fault on.
const FAULTS_S: Range<f64> = 20.0..200.0;
/// Duration of most faults, in seconds: longer than the lease of a leader, so that a pause counts as one.
const FAULT_S: Range<f64> = 3.0..8.0;
/// Time at which the scenario ends, in seconds: the last fault, twice the longest wait, and more.
const END_S: u32 = 420;
/// Run times of tasks, in seconds.
const RUN_S: [u32; 5] = [5, 20, 60, 150, 400];
/// Ratios of the owner's estimate to the run time.
const ESTIMATE_RATIOS: [f64; 5] = [0.1, 0.4, 1.0, 2.0, 8.0];

/// The setup lines of the drawn scenarios: without partitions, with partitions, and with quota grants.
const SETUPS: [&str; 3] = [
    "",
    "tuning partitions_per_zone=2\n",
    "tuning partitions_per_zone=2 allotments=1\n",
];

/// Returns the submission of a random job.
fn submission(rng: &mut SmallRng, number: u32) -> String {
    let team = ["t", "u", "v"].choose(rng).expect("a team");
    let priority = ["idle", "normal", "high"].choose(rng).expect("a priority");
    let run_s = *RUN_S.choose(rng).expect("a run time");
    let expected_s = f64::from(run_s) * ESTIMATE_RATIOS.choose(rng).expect("a ratio");
    let common = format!("submit req-{number} team={team} run={run_s} expected={expected_s:.1}");
    let saves = ["yes", "no"].choose(rng).expect("an option");
    match rng.gen_range(0..12) {
        0..=4 => {
            let (tasks, cpus) = (rng.gen_range(1..4), rng.gen_range(1..3));
            format!("{common} tasks={tasks} cpus={cpus} priority={priority} saves={saves} flush=1")
        }
        5..=7 => {
            let cpus = rng.gen_range(5..=8);
            format!("{common} tasks=1 cpus={cpus} priority={priority}")
        }
        8 => format!("{common} tasks=3 cpus=2 shape=gang priority={priority}"),
        9 => format!("{common} tasks=12 cpus=1 priority=idle saves=yes flush=1"),
        10 => {
            let (tasks, cpus) = (rng.gen_range(1..3), rng.gen_range(1..5));
            format!(
                "submit req-{number} team={team} tasks={tasks} cpus={cpus} run=1000 expected=0 shape=daemon \
                 priority=prod spot=no"
            )
        }
        _ => format!("submit req-{number} team={team} tasks=2 cpus=2 run=1 fails=yes"),
    }
}

/// Returns a random fault.
fn fault(rng: &mut SmallRng) -> String {
    let controller = rng.gen_range(0..3);
    let duration_s = rng.gen_range(FAULT_S);
    let short_s: f64 = rng.gen_range(0.1..FAULT_S.start);
    match rng.gen_range(0..5) {
        0 => format!("crash {controller} for={duration_s:.3}"),
        1 => format!("crash {controller} for={short_s:.3}"),
        2 => format!("crash all for={duration_s:.3}"),
        3 => format!("pause {controller} for={duration_s:.3}"),
        _ => format!("slow store for={duration_s:.3} by=0.5"),
    }
}

/// Returns the scenario of a seed.
fn scenario(seed: u64) -> String {
    let mut rng = SmallRng::seed_from_u64(seed);
    let setup = SETUPS[seed as usize % SETUPS.len()];
    let machines = rng.gen_range(2..6);
    let limit = rng.gen_range(8..30);
    let mut text = format!(
        "{setup}controllers 3\nstore writes=60 rps=400\nteam t cpus=8 cpus_max={limit}\nteam u cpus=8 cpus_max=40\n\
         team v cpus=0 cpus_max=16\ntype std cpus=8 mem=64 price=1 spot=0.3 boot=4 cap={machines} spotcap=0 zones=a\n\
         tuning idle_hold_ordinary_us=900000000\nmachines std count={machines}\ncheck waits\n"
    );
    for number in 0..rng.gen_range(10..60) {
        let at = rng.gen_range(SUBMISSIONS_S);
        writeln!(text, "at {at:.3} {}", submission(&mut rng, number)).expect("a string");
        if rng.gen_range(0..4) == 0 {
            let cancelled_at = at + rng.gen_range(1.0..120.0);
            writeln!(text, "at {cancelled_at:.3} cancel req-{number}").expect("a string");
        }
    }
    for _ in 0..rng.gen_range(0..4) {
        let at = rng.gen_range(FAULTS_S);
        writeln!(text, "at {at:.3} {}", fault(&mut rng)).expect("a string");
    }
    writeln!(text, "end {END_S}").expect("a string");
    text
}

/// Guards against jobs that wait for over 90 s beside room which something keeps from them: a cordon, a reservation of a
/// machine or of a team's limit, headroom, a delegation.
#[test]
fn no_job_waits_for_long_while_a_machine_has_room() {
    let seeds: Vec<u64> = match drawn::seeds_from("WAITING_SEEDS") {
        Some(seeds) => seeds.collect(),
        None => SEEDS.chain(SEEDS_OF_FIXED_FAULTS).collect(),
    };
    drawn::play_all(&seeds, scenario);
}
