//! Plays every scenario file. Those that `KNOWN-RED.txt` lists may fail ([`known_red`]).

mod known_red;

use std::io::Write;
use std::path::{Path, PathBuf};

/// The scenario files of a folder of this package, in order of their names.
fn scenario_files(folder: &str) -> Vec<PathBuf> {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join(folder);
    let mut files: Vec<_> = std::fs::read_dir(&folder)
        .expect("the folder of scenarios")
        .filter_map(|e| e.ok().map(|e| e.path()))
        .filter(|p| p.extension().is_some_and(|e| e == "txt"))
        .collect();
    files.sort();
    files
}

/// Those of large fleets take so long that they are played beside the others.
#[test]
fn large_scenarios() {
    for file in scenario_files("scenarios/large") {
        let text = std::fs::read_to_string(&file).expect("a scenario");
        if let Err(why) = grebewood_testkit::play(&text) {
            panic!("{}: {why}", file.display());
        }
    }
}

#[test]
fn scenarios() {
    let package = Path::new(env!("CARGO_MANIFEST_DIR"));
    let files = scenario_files("scenarios");
    assert!(files.len() >= 20, "only {} scenarios", files.len());
    // To look into one of them: SCENARIO=name LOG_LEVEL=info cargo test ... -- --nocapture
    let only = std::env::var("SCENARIO").unwrap_or_default();
    env_logger::Builder::new()
        .parse_filters(&std::env::var("LOG_LEVEL").unwrap_or("off".into()))
        .init();
    let (mut names, mut outcomes) = (Vec::new(), Vec::new());
    for file in files {
        let name = file.file_stem().unwrap_or_default().to_string_lossy();
        names.push(name.to_string());
        if !name.contains(&only) {
            continue;
        }
        let text = std::fs::read_to_string(&file).expect("a scenario");
        let outcome = grebewood_testkit::play(&text);
        if outcome.is_ok() {
            println!("{name}: ok");
        }
        outcomes.push((name.to_string(), outcome));
    }
    let list = known_red::read(&package.join("../../KNOWN-RED.txt")).expect("the known red");
    let verdict = known_red::judge(list.as_deref(), &names, &outcomes);
    for line in &verdict.known_red {
        // Not by `eprintln!`, whose output is hidden where the test passes: this is to be seen.
        writeln!(std::io::stderr(), "\n{line}").expect("standard error");
    }
    let failed = verdict.faults;
    assert!(failed.is_empty(), "\n{}", failed.join("\n"));
}

/// What is put before each scenario: holders of partitions place tasks, where the scenario's key-value store
/// takes enough changes.
const WITH_ALLOTMENTS: &str =
    "state writes=60 rps=400\ntuning partitions_per_zone=3 allotments=1\n";

/// Every scenario with quota grants forced on, but for those that a list names with the reason. These must fail:
/// the list does not hide what holds again.
#[test]
fn scenarios_with_allotments() {
    let package = Path::new(env!("CARGO_MANIFEST_DIR"));
    let list = std::fs::read_to_string(package.join("data/not_with_allotments.txt"));
    let list = list.expect("the list of exceptions");
    let lines = list.lines().filter(|line| !line.starts_with('#'));
    let listed: Vec<&str> = lines
        .filter_map(|line| Some(line.split_once(": ")?.0))
        .collect();
    let mut faults = Vec::new();
    let mut played = Vec::new();
    for file in scenario_files("scenarios") {
        let name = file
            .file_stem()
            .unwrap_or_default()
            .to_string_lossy()
            .to_string();
        let text = std::fs::read_to_string(&file).expect("a scenario");
        let outcome = grebewood_testkit::play(&format!("{WITH_ALLOTMENTS}{text}"));
        match (outcome, listed.contains(&name.as_str())) {
            (Err(why), false) => faults.push(format!("{name}: {why}")),
            (Ok(()), true) => faults.push(format!("{name}: is listed, and holds")),
            _ => {}
        }
        played.push(name);
    }
    let unknown = listed
        .iter()
        .filter(|name| !played.iter().any(|p| p == *name));
    faults.extend(unknown.map(|name| format!("{name}: no such scenario")));
    assert!(faults.is_empty(), "\n{}", faults.join("\n"));
}

/// The runner itself must notice what it is there to notice.
#[test]
fn the_runner_fails_a_scenario_that_does_not_hold() {
    let text = "team t cpus=8 max=8\ntype std cpus=8\nmachines std\n\
                at 3 submit req-1 tasks=1 run=20\nat 10 expect req-1 done\nend 12\n";
    let error = grebewood_testkit::play(text).expect_err("an unmet expectation");
    assert!(error.contains("says running of req-1, not done"), "{error}");
}
