//! Plays scenario files with forced settings: `cargo run --release -p grebewood-testkit --example forced -- LINES
//! [NAME]` plays the scenarios whose name contains NAME with LINES put before each. LINES are lines of the scenario
//! language, such as "tuning partitions_per_zone=3 allotments=1"; `\n` separates them.

use grebewood_testkit::scenario_files::{scenario_files, scenario_name, SCENARIOS};
use std::error::Error;

fn main() -> Result<(), Box<dyn Error>> {
    let mut arguments = std::env::args().skip(1);
    let settings = arguments.next().ok_or("argument LINES is missing")?;
    let settings = settings.replace("\\n", "\n");
    let name_filter = arguments.next().unwrap_or_default();
    env_logger::Builder::new()
        .parse_filters(&std::env::var("LOG_LEVEL").unwrap_or("off".into()))
        .init();
    let (mut played, mut failed) = (0, 0);
    for file in scenario_files(SCENARIOS)? {
        let name = scenario_name(&file);
        if !name.contains(&name_filter) {
            continue;
        }
        let text = std::fs::read_to_string(&file)?;
        played += 1;
        if let Err(error) = grebewood_testkit::play(&format!("{settings}\n{text}")) {
            failed += 1;
            println!("{name}: {error}");
        }
    }
    println!("{failed} of {played} scenarios failed");
    Ok(())
}
