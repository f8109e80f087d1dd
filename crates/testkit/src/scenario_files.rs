//! The scenario files of this package.

use std::io;
use std::path::{Path, PathBuf};

/// The folder of scenarios that are played in all variants.
pub const SCENARIOS: &str = "scenarios";
/// The folder of scenarios with large fleets, which take long.
pub const LARGE_SCENARIOS: &str = "scenarios/large";

/// The scenario files of a folder of this package, in order of their names.
pub fn scenario_files(folder: &str) -> io::Result<Vec<PathBuf>> {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join(folder);
    let mut files = Vec::new();
    for entry in std::fs::read_dir(folder)? {
        let path = entry?.path();
        if path.extension().is_some_and(|extension| extension == "txt") {
            files.push(path);
        }
    }
    files.sort();
    Ok(files)
}

/// The name of a scenario: its file's name without the extension.
pub fn scenario_name(file: &Path) -> String {
    let stem = file.file_stem().unwrap_or_default();
    stem.to_string_lossy().into_owned()
}
