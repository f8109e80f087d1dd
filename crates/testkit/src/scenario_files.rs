//! The scenario files of this package.

use std::io;
use std::path::{Path, PathBuf};

/// The directory of the scenarios that tests play as written, and again with quota grants forced on.
pub const SCENARIOS: &str = "scenarios";
/// The directory of the scenarios with large fleets, which take long.
pub const LARGE_SCENARIOS: &str = "scenarios/large";

/// Returns the scenario files in a directory of this package, sorted by name.
pub fn scenario_files(directory: &str) -> io::Result<Vec<PathBuf>> {
    let directory = Path::new(env!("CARGO_MANIFEST_DIR")).join(directory);
    let mut files = Vec::new();
    for entry in std::fs::read_dir(directory)? {
        let path = entry?.path();
        if path.extension().is_some_and(|extension| extension == "txt") {
            files.push(path);
        }
    }
    files.sort();
    Ok(files)
}

/// Returns the name of a scenario, which is the name of its file without the extension.
pub fn scenario_name(file: &Path) -> String {
    let stem = file.file_stem().unwrap_or_default();
    stem.to_string_lossy().into_owned()
}
