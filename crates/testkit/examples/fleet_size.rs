//! Measures the cost of a leader by the number of machines: `cargo run --release -p grebewood-testkit --example
//! fleet_size -- 400 1000 4000` prints a Markdown table.

use grebewood_testkit::measure::StepKind;
use grebewood_testkit::play_measured;
use std::error::Error;

/// The duration of a run in simulated time.
const LENGTH_S: u64 = 60;

/// Returns a scenario with this many machines, all of them with tasks, whose leader crashes once.
fn scenario(machines: u64) -> String {
    format!(
        "controllers 3\nagents heartbeat=5 lease=26.5 cancel=46.5\n\
         tuning idle_hold_us=600000000 idle_hold_ordinary_us=600000000\n\
         store rps=350 writes=50 ops=8 value=8\n\
         team t cpus={cpus} cpus_max={cpus}\n\
         type std cpus=8 mem=32 price=1 spot=0.3 boot=5 cap={machines} zones=a\n\
         machines std count={machines}\n\
         every 1 from 4 to 55 submit req-1 tasks={tasks} cpus=2 run=20\n\
         at 30 crash leader for=4\nat 40 leaders 1\nend {LENGTH_S}\n",
        cpus = machines * 8,
        tasks = machines / 5,
    )
}

/// Returns the number of bytes that are allocated and not freed.
fn allocated_bytes() -> u64 {
    // SAFETY: `mallinfo2` has no arguments and only reads the allocator's own counters.
    unsafe { libc::mallinfo2().uordblks as u64 }
}

fn main() -> Result<(), Box<dyn Error>> {
    println!("| machines | step | number | mean us | p99 us | longest us | share of a core |");
    println!("| --- | --- | --- | --- | --- | --- | --- |");
    for argument in std::env::args().skip(1) {
        let machines = argument.parse()?;
        let mut world = play_measured(&scenario(machines))?;
        let Some(measurements) = world.measurements.take() else {
            continue;
        };
        for (kind, times) in &measurements.leader_step_times_ns {
            let total_s = times.mean() * times.len() as f64 / 1e9;
            println!(
                "| {machines} | {kind:?} | {} | {:.1} | {:.1} | {:.0} | {:.4} |",
                times.len(),
                times.mean() / 1e3,
                times.value_at_quantile(0.99) as f64 / 1e3,
                times.max() as f64 / 1e3,
                total_s / LENGTH_S as f64,
            );
        }
        let heartbeats = measurements
            .leader_step_times_ns
            .get(&StepKind::Heartbeat)
            .map_or(0, |histogram| histogram.len());
        let allocated_before = allocated_bytes();
        world.end_leader();
        println!(
            "| {machines} | all | {:.0} heartbeats a second, {:.1} changes and {:.1} requests of state a \
             second, leader's memory {} KiB | | | | |",
            heartbeats as f64 / LENGTH_S as f64,
            measurements.store_changes as f64 / LENGTH_S as f64,
            measurements.store_requests as f64 / LENGTH_S as f64,
            allocated_before.saturating_sub(allocated_bytes()) / 1024,
        );
    }
    Ok(())
}
