//! What quota grants bring and cost, in simulated time: `cargo run --release -p grebewood-testkit --example
//! quota_figures` prints Markdown tables. Each scenario is played with partitions off, with partitions, and with
//! quota grants, with the same submissions and the same faults.

use grebewood_testkit::measure::Measures;
use grebewood_testkit::play_measured;
use hdrhistogram::Histogram;

const SETTINGS: [(&str, &str); 3] = [
    ("partitions off", ""),
    ("partitions", "tuning partitions_per_zone=3\n"),
    ("allotments", "tuning partitions_per_zone=3 allotments=1\n"),
];
/// Simulated seconds of the scenarios with work for all machines.
const LENGTH_S: u64 = 120;
const CHANGES_OF_LEADER: u64 = 6;

/// Steady work of two teams near their limits, and a leader that ends every 15 s.
fn steady(machines: u64) -> String {
    let crashes: String = (0..CHANGES_OF_LEADER)
        .map(|n| format!("at {} crash leader for=4\n", 25 + n * 15))
        .collect();
    let cpus = machines * 4;
    format!(
        "nodes 3\nworkers report=2 lease=20 cancel=40\nstate writes=60 rps=400 ops=8 value=8\n\
         tuning idle_hold_us=600000000 idle_hold_ordinary_us=600000000\n\
         team t cpus={cpus} max={cpus}\nteam u cpus={half} max={cpus}\n\
         type std cpus=8 mem=64 price=1 spot=0.3 boot=4 cap={machines} zones=a\n\
         machines std count={machines}\n\
         every 1 from 8 to 112 submit req-1 tasks={tasks} cpus=1 run=5\n\
         every 1 from 8 to 112 submit req-2 tasks={tasks} cpus=1 run=5 owner=u\n\
         {crashes}end {LENGTH_S}\n",
        half = cpus / 2,
        tasks = cpus / 6,
    )
}

/// A team below its guarantee while another runs all the machines hold, `flush` to save.
fn floor(flush: f64, start: f64) -> String {
    format!(
        "nodes 3\nstate writes=60 rps=400\n\
         tuning idle_hold_us=600000000 idle_hold_ordinary_us=600000000\n\
         team t cpus=24 max=48\nteam u cpus=8 max=48\n\
         type std cpus=8 mem=32 price=1 spot=0.3 boot=30 cap=6 spotcap=0 zones=a\n\
         machines std count=6\n\
         at 7 submit req-1 tasks=48 cpus=1 run=300 owner=u saves=yes flush={flush} prec=high\n\
         at {start} submit req-2 tasks=12 cpus=2 run=20 prec=idle\nend 70\n"
    )
}

fn quantiles(histogram: Option<&Histogram<u64>>) -> String {
    let Some(h) = histogram.filter(|h| !h.is_empty()) else {
        return "none | | | ".into();
    };
    let at = |q: f64| h.value_at_quantile(q) as f64 / 1e3;
    format!(
        "{} | {:.2} | {:.2} | {:.2}",
        h.len(),
        at(0.5),
        at(0.99),
        h.max() as f64 / 1e3
    )
}

fn play(settings: &str, text: &str) -> Result<Measures, String> {
    let world = play_measured(&format!("{settings}{text}"))?;
    world.measures.ok_or("nothing was measured".into())
}

fn main() -> Result<(), String> {
    let sizes: Vec<u64> = std::env::args()
        .skip(1)
        .filter_map(|n| n.parse().ok())
        .collect();
    println!("| machines | settings | starts | median s | p99 s | longest s | without leader | changes a second | leader | others |");
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    for machines in sizes {
        for (name, settings) in SETTINGS {
            let m = play(settings, &steady(machines))?;
            let mut starts = Histogram::<u64>::new(3).map_err(|e| e.to_string())?;
            for team in m.starts.values() {
                starts.add(team).map_err(|e| e.to_string())?;
            }
            let leader: f64 = m
                .steps
                .values()
                .map(|h| h.mean() * h.len() as f64 / 1e9)
                .sum();
            println!(
                "| {machines} | {name} | {} | {} | {:.1} | {:.4} | {:.4} |",
                quantiles(Some(&starts)),
                m.leaderless_starts,
                m.changes as f64 / LENGTH_S as f64,
                leader / LENGTH_S as f64,
                m.other_steps.as_secs_f64() / LENGTH_S as f64,
            );
            if let Some(idle) = &m.idle_granted {
                println!(
                    "| {machines} | {name}, idle part of a ceiling: mean {:.3}, p99 {:.3} | | | | | | | | |",
                    idle.mean() / 1e3,
                    idle.value_at_quantile(0.99) as f64 / 1e3,
                );
            }
        }
    }
    println!(
        "\n| settings | tasks within the guarantee that started | median s | p99 s | longest s |"
    );
    println!("| --- | --- | --- | --- | --- |");
    for (name, settings) in SETTINGS {
        let mut starts = Histogram::<u64>::new(3).map_err(|e| e.to_string())?;
        for n in 0..20 {
            let m = play(settings, &floor(1.0, 20.0 + f64::from(n) * 0.17))?;
            if let Some(team) = m.starts.get("t") {
                starts.add(team).map_err(|e| e.to_string())?;
            }
        }
        println!("| {name} | {} |", quantiles(Some(&starts)));
    }
    Ok(())
}
