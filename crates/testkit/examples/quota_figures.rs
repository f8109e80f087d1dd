//! Measures the benefit and cost of quota grants in simulated time: `cargo run --release -p grebewood-testkit
//! --example quota_figures -- MACHINES...` prints Markdown tables. Each scenario is played with partitions off, with
//! partitions, and with quota grants, with the same submissions and the same faults.

use grebewood_testkit::measure::Measurements;
use grebewood_testkit::play_measured;
use hdrhistogram::Histogram;
use std::error::Error;

/// The settings that are compared: their name in the tables and the lines that are put before each scenario.
const SETTINGS: [(&str, &str); 3] = [
    ("partitions off", ""),
    ("partitions", "tuning partitions_per_zone=3\n"),
    (
        "quota grants",
        "tuning partitions_per_zone=3 allotments=1\n",
    ),
];
/// The duration of the scenario with steady load in simulated time.
const LENGTH_S: u64 = 120;
/// The number of crashes of the leader in the scenario with steady load.
const LEADER_CRASHES: u64 = 6;
/// The number of runs of the scenario with a team below its guaranteed share.
const GUARANTEED_SHARE_RUNS: u32 = 20;
/// The precision of histograms.
const HISTOGRAM_SIGNIFICANT_DIGITS: u8 = 3;

/// Returns a scenario with a steady load of two teams near their limits, in which the leader crashes every 15 s.
fn steady_load(machines: u64) -> String {
    let crashes: String = (0..LEADER_CRASHES)
        .map(|crash| format!("at {} crash leader for=4\n", 25 + crash * 15))
        .collect();
    let cpus = machines * 4;
    format!(
        "controllers 3\nagents heartbeat=2 lease=20 cancel=40\nstore writes=60 rps=400 ops=8 value=8\n\
         tuning idle_hold_us=600000000 idle_hold_ordinary_us=600000000\n\
         team t cpus={cpus} cpus_max={cpus}\nteam u cpus={half} cpus_max={cpus}\n\
         type std cpus=8 mem=64 price=1 spot=0.3 boot=4 cap={machines} zones=a\n\
         machines std count={machines}\n\
         every 1 from 8 to 112 submit req-1 tasks={tasks} cpus=1 run=5\n\
         every 1 from 8 to 112 submit req-2 tasks={tasks} cpus=1 run=5 team=u\n\
         {crashes}end {LENGTH_S}\n",
        half = cpus / 2,
        tasks = cpus / 6,
    )
}

/// Returns a scenario in which a team below its guaranteed share submits a job while the tasks of another team use
/// all machines and take `flush` seconds to write a checkpoint.
fn guaranteed_share(flush: f64, start: f64) -> String {
    format!(
        "controllers 3\nstore writes=60 rps=400\n\
         tuning idle_hold_us=600000000 idle_hold_ordinary_us=600000000\n\
         team t cpus=24 cpus_max=48\nteam u cpus=8 cpus_max=48\n\
         type std cpus=8 mem=32 price=1 spot=0.3 boot=30 cap=6 spotcap=0 zones=a\n\
         machines std count=6\n\
         at 7 submit req-1 tasks=48 cpus=1 run=300 team=u saves=yes flush={flush} priority=high\n\
         at {start} submit req-2 tasks=12 cpus=2 run=20 priority=idle\nend 70\n"
    )
}

/// Returns the number of values and their quantiles in seconds, as cells of a table.
fn quantile_cells(histogram: Option<&Histogram<u64>>) -> String {
    let Some(histogram) = histogram.filter(|histogram| !histogram.is_empty()) else {
        return "none | | | ".into();
    };
    let seconds = |quantile: f64| histogram.value_at_quantile(quantile) as f64 / 1e3;
    format!(
        "{} | {:.2} | {:.2} | {:.2}",
        histogram.len(),
        seconds(0.5),
        seconds(0.99),
        histogram.max() as f64 / 1e3
    )
}

fn play(settings: &str, text: &str) -> Result<Measurements, Box<dyn Error>> {
    let world = play_measured(&format!("{settings}{text}"))?;
    Ok(world.measurements.ok_or("nothing was measured")?)
}

/// Prints the measurements of a steady load on this many machines, a line for each of the settings.
fn print_steady_load(machines: u64) -> Result<(), Box<dyn Error>> {
    for (name, settings) in SETTINGS {
        let measurements = play(settings, &steady_load(machines))?;
        let mut starts = Histogram::<u64>::new(HISTOGRAM_SIGNIFICANT_DIGITS)?;
        for team in measurements.start_delays_ms.values() {
            starts.add(team)?;
        }
        let steps = measurements.leader_step_times_ns.values();
        let leader_s: f64 = steps
            .map(|step| step.mean() * step.len() as f64 / 1e9)
            .sum();
        println!(
            "| {machines} | {name} | {} | {} | {:.1} | {:.4} | {:.4} |",
            quantile_cells(Some(&starts)),
            measurements.leaderless_starts,
            measurements.store_changes as f64 / LENGTH_S as f64,
            leader_s / LENGTH_S as f64,
            measurements.follower_step_time.as_secs_f64() / LENGTH_S as f64,
        );
        if let Some(unused) = &measurements.unused_grant_thousandths {
            println!(
                "| {machines} | {name}, granted and unused part of a limit: mean {:.3}, p99 {:.3} | | | | | | | | |",
                unused.mean() / 1e3,
                unused.value_at_quantile(0.99) as f64 / 1e3,
            );
        }
    }
    Ok(())
}

/// Prints the delays until tasks within a team's guaranteed share start, a line for each of the settings.
fn print_guaranteed_share() -> Result<(), Box<dyn Error>> {
    for (name, settings) in SETTINGS {
        let mut starts = Histogram::<u64>::new(HISTOGRAM_SIGNIFICANT_DIGITS)?;
        for run in 0..GUARANTEED_SHARE_RUNS {
            let submitted_s = 20.0 + f64::from(run) * 0.17;
            let measurements = play(settings, &guaranteed_share(1.0, submitted_s))?;
            if let Some(team) = measurements.start_delays_ms.get("t") {
                starts.add(team)?;
            }
        }
        println!("| {name} | {} |", quantile_cells(Some(&starts)));
    }
    Ok(())
}

fn main() -> Result<(), Box<dyn Error>> {
    println!("| machines | settings | starts | median s | p99 s | longest s | without leader | changes a second | leader | others |");
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    let arguments = std::env::args().skip(1);
    for machines in arguments.filter_map(|argument| argument.parse().ok()) {
        print_steady_load(machines)?;
    }
    println!(
        "\n| settings | tasks within the guarantee that started | median s | p99 s | longest s |"
    );
    println!("| --- | --- | --- | --- | --- |");
    print_guaranteed_share()
}
