//! Prints a digest of behaviour: `cargo run --release -p grebewood-testkit --example trace_digest [-- NAME]` plays
//! each scenario whose name contains NAME three times: unchanged, with partitions forced on, and with partitions and
//! quota grants forced on. It prints a line for each run: name, settings, hash of all effects. `-- --samples` prints
//! the largest record and peer message of each kind instead, in hexadecimal digits.

use grebewood_testkit::scenario_files::{
    scenario_files, scenario_name, LARGE_SCENARIOS, SCENARIOS,
};
use grebewood_testkit::trace::Sample;
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Mutex;

/// The variants in which each scenario is played: their name and the lines that are put before the scenario.
const VARIANTS: [(&str, &str); 3] = [
    ("as-it-stands", ""),
    (
        "partitions",
        "store writes=60 rps=400\ntuning partitions_per_zone=3\n",
    ),
    (
        "allotments",
        "store writes=60 rps=400\ntuning partitions_per_zone=3 allotments=1\n",
    ),
];

/// A scenario with the settings of a variant.
struct Play {
    name: String,
    variant: &'static str,
    text: String,
}

/// The lines of the digest by the index of their play, and the samples by kind.
#[derive(Default)]
struct Results {
    lines: BTreeMap<usize, String>,
    samples: BTreeMap<String, Sample>,
}

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let argument = std::env::args().nth(1).unwrap_or_default();
    let samples_only = argument == "--samples";
    let name_filter = if samples_only { "" } else { &argument };
    let plays = list_plays(name_filter)?;
    let results = play_all(&plays);
    if samples_only {
        for (kind, sample) in &results.samples {
            let kind = kind.split(' ').next().unwrap_or_default();
            let hex: String = sample
                .bytes
                .iter()
                .map(|byte| format!("{byte:02x}"))
                .collect();
            println!("{kind} {} {hex}", sample.name);
        }
        return Ok(());
    }
    for line in results.lines.values() {
        println!("{line}");
    }
    Ok(())
}

/// Returns the plays of all scenarios whose name contains the filter. Those with large fleets come first because
/// they take the longest.
fn list_plays(name_filter: &str) -> Result<Vec<Play>, std::io::Error> {
    let mut files = scenario_files(LARGE_SCENARIOS)?;
    files.extend(scenario_files(SCENARIOS)?);
    let mut plays = Vec::new();
    for file in files {
        let name = scenario_name(&file);
        if !name.contains(name_filter) {
            continue;
        }
        let text = std::fs::read_to_string(&file)?;
        for (variant, settings) in VARIANTS {
            plays.push(Play {
                name: name.clone(),
                variant,
                text: format!("{settings}{text}"),
            });
        }
    }
    Ok(plays)
}

/// Plays all scenarios, with a thread for each processor.
fn play_all(plays: &[Play]) -> Results {
    let next_index = AtomicUsize::new(0);
    let results = Mutex::new(Results::default());
    let threads = std::thread::available_parallelism().map_or(1, |number| number.get());
    std::thread::scope(|scope| {
        for _ in 0..threads {
            scope.spawn(|| {
                while let Some((index, play)) = take_play(plays, &next_index) {
                    run_play(index, play, &results);
                }
            });
        }
    });
    results.into_inner().unwrap_or_default()
}

/// Takes the next play that no thread has taken yet.
fn take_play<'a>(plays: &'a [Play], next_index: &AtomicUsize) -> Option<(usize, &'a Play)> {
    let index = next_index.fetch_add(1, Ordering::Relaxed);
    Some((index, plays.get(index)?))
}

/// Plays a scenario and stores its line (name, variant and digest) and its largest samples.
fn run_play(index: usize, play: &Play, results: &Mutex<Results>) {
    let trace = grebewood_testkit::play_traced(&play.text);
    let digest = match &trace {
        Ok(trace) => trace.digest(),
        Err(error) => format!("scenario cannot be played: {error}"),
    };
    let Ok(mut results) = results.lock() else {
        return;
    };
    let line = format!("{} {} {digest}", play.name, play.variant);
    results.lines.insert(index, line);
    let Ok(trace) = trace else {
        return;
    };
    for (kind, sample) in trace.samples() {
        let known = results.samples.get(kind);
        let size = |sample: &Sample| (sample.bytes.len(), sample.bytes.clone());
        if known.is_none_or(|known| size(known) < size(sample)) {
            results.samples.insert(kind.clone(), sample.clone());
        }
    }
}
