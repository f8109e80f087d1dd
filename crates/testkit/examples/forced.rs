//! Plays scenario files with operators' settings forced on: `cargo run --release -p grebewood-testkit
//! --example forced -- LINES [NAME]`, LINES
//! as in a scenario, such as "tuning partitions_per_zone=3 allotments=1", plays those whose name has NAME in it.

use std::path::Path;

fn main() -> Result<(), String> {
    let mut arguments = std::env::args().skip(1);
    let tuning = arguments
        .next()
        .ok_or("which settings?")?
        .replace("\\n", "\n");
    let only = arguments.next().unwrap_or_default();
    env_logger::Builder::new()
        .parse_filters(&std::env::var("LOG_LEVEL").unwrap_or("off".into()))
        .init();
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("scenarios");
    let files = std::fs::read_dir(&folder).map_err(|e| e.to_string())?;
    let mut files: Vec<_> = files.filter_map(|e| e.ok().map(|e| e.path())).collect();
    files.sort();
    let (mut played, mut failed) = (0, 0);
    for file in files {
        let name = file.file_stem().unwrap_or_default().to_string_lossy();
        if !name.contains(&only) || file.extension().is_none_or(|e| e != "txt") {
            continue;
        }
        let text = std::fs::read_to_string(&file).map_err(|e| e.to_string())?;
        played += 1;
        if let Err(why) = grebewood_testkit::play(&format!("{tuning}\n{text}")) {
            failed += 1;
            println!("{name}: {why}");
        }
    }
    println!("{failed} of {played} do not hold");
    Ok(())
}
