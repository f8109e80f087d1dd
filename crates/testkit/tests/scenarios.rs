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

/// The runner itself must notice what it is there to notice.
#[test]
fn the_runner_fails_a_scenario_that_does_not_hold() {
    let text = "team t cpus=8 max=8\ntype std cpus=8\nmachines std\n\
                at 3 submit req-1 tasks=1 run=20\nat 10 expect req-1 done\nend 12\n";
    let error = grebewood_testkit::play(text).expect_err("an unmet expectation");
    assert!(error.contains("says running of req-1, not done"), "{error}");
}
