//! Checks by the `use` lines of the sources that modules import only from their own layer and from lower ones.

use std::collections::{BTreeMap, BTreeSet};
use std::path::{Path, PathBuf};

/// Modules that each module imports. A module is named by its path from the crate's root, such as `state::jobs`.
type Imports = BTreeMap<String, BTreeSet<String>>;

/// Returns the layer of a module, which may import modules of its own layer and of lower ones.
fn layer(module: &str) -> usize {
    match module.split("::").next() {
        Some("controller") => 3,
        Some("scheduler") => 2,
        Some("state") => 1,
        _ => 0,
    }
}

fn is_test(path: &Path) -> bool {
    let name = path.file_name().unwrap_or_default();
    name == "tests.rs" || name == "test_support.rs"
}

fn source_files(folder: &Path, files: &mut Vec<PathBuf>) {
    for entry in std::fs::read_dir(folder).expect("a folder of sources") {
        let path = entry.expect("a source").path();
        if path.is_dir() {
            source_files(&path, files);
        } else if path.extension().is_some_and(|e| e == "rs") && !is_test(&path) {
            files.push(path);
        }
    }
}

fn module_of(root: &Path, file: &Path) -> String {
    let relative = file.strip_prefix(root).expect("a file below the root");
    let parts: Vec<_> = relative.iter().map(|part| part.to_string_lossy()).collect();
    parts.join("::").trim_end_matches(".rs").to_string()
}

/// Returns the module that an import names: the longest prefix of the path that is a module.
fn imported_module(path: &str, modules: &BTreeSet<String>) -> Option<String> {
    let path = path.strip_prefix("crate::")?;
    let path = path.split('{').next().unwrap_or_default();
    let mut parts: Vec<&str> = path.split("::").filter(|part| !part.is_empty()).collect();
    while !parts.is_empty() {
        let module = parts.join("::");
        if modules.contains(&module) {
            return Some(module);
        }
        parts.pop();
    }
    None
}

/// Returns the paths of the `use` statements that begin at the start of a line, without whitespace.
fn use_paths(source: &str) -> Vec<String> {
    let statements = source.split(';').filter_map(|statement| {
        let from = statement
            .rfind("\nuse ")
            .or(statement.rfind("\npub use "))?;
        let path = statement[from..].split_once("use ")?.1;
        Some(path.split_whitespace().collect::<String>())
    });
    statements.collect()
}

fn imports() -> Imports {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("src");
    let mut files = Vec::new();
    source_files(&root, &mut files);
    let names = files.iter().map(|file| module_of(&root, file));
    let modules: BTreeSet<String> = names.filter(|name| name != "lib").collect();
    let mut imports = Imports::new();
    for file in &files {
        let module = module_of(&root, file);
        let source = std::fs::read_to_string(file).expect("a source");
        let paths = use_paths(&source);
        assert!(
            !paths.iter().any(|path| path.starts_with("super")),
            "{module}: imports are written from the crate's root"
        );
        let imported = paths.iter().filter_map(|p| imported_module(p, &modules));
        let others = imported.filter(|other| *other != module);
        imports.insert(module.clone(), others.collect());
    }
    // The crate's root re-exports items of all layers, and other modules import it only for units of time, inputs and
    // effects.
    imports.remove("lib");
    imports
}

#[test]
fn no_module_imports_from_a_layer_above() {
    for (module, imported) in imports() {
        for other in imported {
            assert!(layer(&other) <= layer(&module), "{module} imports {other}");
        }
    }
}

#[test]
fn what_runs_for_the_leader_and_for_holders_is_apart() {
    for (module, imported) in imports() {
        let of_leader = module.starts_with("scheduler::leader");
        let of_holder = module.starts_with("scheduler::holder");
        for other in imported {
            let crosses = (other.starts_with("scheduler::leader") && !of_leader)
                || (other.starts_with("scheduler::holder") && !of_holder);
            let from_above = module.starts_with("controller");
            assert!(!crosses || from_above, "{module} imports {other}");
        }
    }
}

#[test]
fn no_modules_import_each_other_in_a_ring() {
    let mut imports = imports();
    assert!(imports.len() > 50, "only {} modules", imports.len());
    // Removes modules that import no remaining module, until only cycles remain.
    loop {
        let done: Vec<String> = imports
            .iter()
            .filter(|(_, imported)| !imported.iter().any(|other| imports.contains_key(other)))
            .map(|(module, _)| module.clone())
            .collect();
        if done.is_empty() {
            break;
        }
        for module in done {
            imports.remove(&module);
        }
    }
    let ring: Vec<&String> = imports.keys().collect();
    assert!(ring.is_empty(), "modules that import each other: {ring:?}");
}
