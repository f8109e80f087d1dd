//! Plays scenario files with operators' settings forced on: `cargo run --release -p grebewood-testkit
//! --example forced -- LINES [NAME]`, LINES as in a scenario, such as "tuning partitions_per_zone=3
//! allotments=1", plays those whose name has NAME in it.

use grebewood_testkit::scenario_files::{scenario_files, scenario_name, SCENARIOS};
use std::error::Error;

fn main() -> Result<(), Box<dyn Error>> {
    let mut arguments = std::env::args().skip(1);
    let tuning = arguments.next().ok_or("which settings?")?;
    let tuning = tuning.replace("\\n", "\n");
    let only = arguments.next().unwrap_or_default();
    env_logger::Builder::new()
        .parse_filters(&std::env::var("LOG_LEVEL").unwrap_or("off".into()))
        .init();
    let (mut played, mut failed) = (0, 0);
    for file in scenario_files(SCENARIOS)? {
        let name = scenario_name(&file);
        if !name.contains(&only) {
            continue;
        }
        let text = std::fs::read_to_string(&file)?;
        played += 1;
        if let Err(error) = grebewood_testkit::play(&format!("{tuning}\n{text}")) {
            failed += 1;
            println!("{name}: {error}");
        }
    }
    println!("{failed} of {played} do not hold");
    Ok(())
}
