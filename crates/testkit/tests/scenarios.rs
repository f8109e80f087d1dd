//! Plays every scenario file. Scenarios that `KNOWN-RED.txt` lists may fail ([`known_red`]).

mod known_red;

use grebewood_testkit::play;
use grebewood_testkit::scenario_files::{
    scenario_files, scenario_name, LARGE_SCENARIOS, SCENARIOS,
};
use std::io::Write;
use std::path::{Path, PathBuf};

/// Returns the scenario files of a folder.
fn files_in(folder: &str) -> Vec<PathBuf> {
    scenario_files(folder).expect("the folder of scenarios")
}

/// Plays a scenario file with these lines put before it. The error says why the scenario fails.
fn play_file(file: &Path, settings: &str) -> Result<(), String> {
    let text = std::fs::read_to_string(file).expect("a scenario");
    play(&format!("{settings}{text}")).map_err(|error| error.to_string())
}

/// Scenarios with large fleets take so long that they are played in parallel with the others.
#[test]
fn large_scenarios() {
    for file in files_in(LARGE_SCENARIOS) {
        if let Err(reason) = play_file(&file, "") {
            panic!("{}: {reason}", file.display());
        }
    }
}

#[test]
fn scenarios() {
    let package = Path::new(env!("CARGO_MANIFEST_DIR"));
    let files = files_in(SCENARIOS);
    assert!(files.len() >= 20, "only {} scenarios", files.len());
    // To play a single scenario: SCENARIO=name LOG_LEVEL=info cargo test ... -- --nocapture
    let only = std::env::var("SCENARIO").unwrap_or_default();
    env_logger::Builder::new()
        .parse_filters(&std::env::var("LOG_LEVEL").unwrap_or("off".into()))
        .init();
    let (mut names, mut outcomes) = (Vec::new(), Vec::new());
    for file in files {
        let name = scenario_name(&file);
        names.push(name.clone());
        if !name.contains(&only) {
            continue;
        }
        let outcome = play_file(&file, "");
        if outcome.is_ok() {
            println!("{name}: ok");
        }
        outcomes.push((name, outcome));
    }
    let list = known_red::read(&package.join("../../KNOWN-RED.txt"))
        .expect("KNOWN-RED.txt can be read or is absent");
    let verdict = known_red::judge(list.as_deref(), &names, &outcomes);
    for line in &verdict.known_red {
        // `eprintln!` would not do: its output is hidden when the test passes.
        writeln!(std::io::stderr(), "\n{line}").expect("standard error");
    }
    let failed = verdict.faults;
    assert!(failed.is_empty(), "\n{}", failed.join("\n"));
}

/// Lines put before each scenario, so that partition holders place tasks. The key-value store takes enough changes
/// for that unless the scenario itself sets its limits.
const WITH_QUOTA_GRANTS: &str =
    "store writes=60 rps=400\ntuning partitions_per_zone=3 allotments=1\n";

/// Plays every scenario with quota grants forced on. Scenarios that a list names with a reason must fail, so that
/// a scenario which passes again does not stay on the list.
#[test]
fn scenarios_with_quota_grants() {
    let package = Path::new(env!("CARGO_MANIFEST_DIR"));
    let list = std::fs::read_to_string(package.join("data/not_with_quota_grants.txt"));
    let list = list.expect("the list of exceptions");
    let lines = list.lines().filter(|line| !line.starts_with('#'));
    let listed: Vec<&str> = lines
        .filter_map(|line| Some(line.split_once(": ")?.0))
        .collect();
    let mut faults = Vec::new();
    let mut played = Vec::new();
    for file in files_in(SCENARIOS) {
        let name = scenario_name(&file);
        let outcome = play_file(&file, WITH_QUOTA_GRANTS);
        match (outcome, listed.contains(&name.as_str())) {
            (Err(reason), false) => faults.push(format!("{name}: {reason}")),
            (Ok(()), true) => faults.push(format!(
                "{name}: passes, although the list of exceptions names it"
            )),
            _ => {}
        }
        played.push(name);
    }
    let unknown = listed
        .iter()
        .filter(|name| !played.iter().any(|played_name| played_name == *name));
    faults.extend(unknown.map(|name| format!("{name}: no such scenario")));
    assert!(faults.is_empty(), "\n{}", faults.join("\n"));
}

/// The runner itself must report an expectation that is not met.
#[test]
fn the_runner_fails_a_scenario_with_an_unmet_expectation() {
    let text = "team t cpus=8 cpus_max=8\ntype std cpus=8\nmachines std\n\
                at 3 submit req-1 tasks=1 run=20\nat 10 expect req-1 done\nend 12\n";
    let error = play(text).expect_err("an unmet expectation").to_string();
    assert!(
        error.contains("reports running for req-1, not done"),
        "{error}"
    );
}
