//! Checks that files and names that the documentation mentions exist.

use std::collections::BTreeSet;
use std::path::{Path, PathBuf};

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// Collects the files with this extension below a folder, except build results.
fn files_below(folder: &Path, extension: &str, files: &mut Vec<PathBuf>) {
    for entry in std::fs::read_dir(folder).expect("a folder") {
        let path = entry.expect("an entry").path();
        if path.is_dir() && !path.ends_with("target") {
            files_below(&path, extension, files);
        } else if path.extension().is_some_and(|e| e == extension) {
            files.push(path);
        }
    }
}

/// Returns the pages that describe the present state. Pages on history and incidents keep the names of their time.
fn pages() -> Vec<PathBuf> {
    let mut pages = vec![root().join("README.md")];
    for folder in ["docs/design", "docs/operations"] {
        files_below(&root().join(folder), "md", &mut pages);
    }
    for entry in std::fs::read_dir(root().join("docs")).expect("docs") {
        let path = entry.expect("an entry").path();
        if path.extension().is_some_and(|e| e == "md") {
            pages.push(path);
        }
    }
    pages
}

/// Returns the texts between single backticks.
fn code_spans(text: &str) -> Vec<&str> {
    text.split('`').skip(1).step_by(2).collect()
}

fn read(path: &Path) -> String {
    let text = std::fs::read_to_string(path).expect("a readable file");
    // Without this, the fences of code blocks would be taken for those of code spans.
    text.replace("```", "")
}

/// Returns all words of the sources, and the names of the scenarios.
fn known_words() -> BTreeSet<String> {
    let mut sources = Vec::new();
    files_below(&root().join("crates"), "rs", &mut sources);
    let mut words = BTreeSet::new();
    for source in sources {
        let text = std::fs::read_to_string(source).expect("a source");
        let parts = text.split(|c: char| !c.is_alphanumeric() && c != '_');
        words.extend(parts.map(str::to_string));
    }
    let mut scenarios = Vec::new();
    files_below(
        &root().join("crates/testkit/scenarios"),
        "txt",
        &mut scenarios,
    );
    let stems = scenarios.iter().filter_map(|path| path.file_stem());
    words.extend(stems.map(|stem| stem.to_string_lossy().to_string()));
    words
}

fn is_name(span: &str) -> bool {
    span.chars()
        .all(|c| c.is_alphanumeric() || c == '_' || c == ':')
}

fn last_part(name: &str) -> &str {
    name.rsplit("::").next().unwrap_or(name)
}

#[test]
fn files_that_pages_mention_exist() {
    let mut missing = Vec::new();
    for page in pages() {
        let text = read(&page);
        for span in code_spans(&text) {
            let is_path = ["docs/", "crates/", "deploy/", ".ci/"]
                .iter()
                .any(|prefix| span.starts_with(prefix));
            let is_literal = !span.contains(['<', '*', ' ', '{']);
            if is_path && is_literal && !root().join(span).exists() {
                missing.push(format!("{}: {span}", page.display()));
            }
        }
    }
    assert!(missing.is_empty(), "\n{}", missing.join("\n"));
}

/// The operators' pages quote log messages between quotation marks: each has to be in the sources.
#[test]
fn log_messages_that_pages_quote_exist() {
    let mut sources = Vec::new();
    for package in ["core", "net", "grebewood", "partition", "quota"] {
        let folder = root().join("crates").join(package).join("src");
        files_below(&folder, "rs", &mut sources);
    }
    let texts: Vec<String> = sources.iter().map(|source| read(source)).collect();
    let mut missing = Vec::new();
    for page in ["on-call.md", "partition.md", "quota.md"] {
        let page = read(&root().join("docs/operations").join(page));
        let quoted = page.split('"').skip(1).step_by(2);
        // A message may be wrapped over several lines of a page; "..." stands for the rest of it.
        let messages = quoted.map(|message| message.replace('\n', " "));
        for message in messages.map(|m| m.trim_end_matches(" ...").to_string()) {
            if !texts.iter().any(|text| text.contains(&message)) {
                missing.push(message);
            }
        }
    }
    assert!(missing.is_empty(), "{missing:?}");
}

#[test]
fn types_in_the_architecture_exist() {
    let words = known_words();
    let text = read(&root().join("docs/architecture.md"));
    let spans = code_spans(&text).into_iter().filter(|span| is_name(span));
    let types = spans.filter(|span| span.starts_with(|c: char| c.is_uppercase()));
    let missing: Vec<&str> = types
        .filter(|name| !words.contains(last_part(name)))
        .collect();
    assert!(missing.is_empty(), "{missing:?}");
}

#[test]
fn guards_and_scenarios_in_the_fault_matrix_exist() {
    let words = known_words();
    let text = read(&root().join("docs/fault-matrix.md"));
    let mut missing = Vec::new();
    for row in text.lines().filter(|line| line.starts_with('|')) {
        // The cells are fault, possible damage, guards, and scenarios.
        let guards_and_scenarios = row.split('|').skip(3);
        for cell in guards_and_scenarios {
            let names = code_spans(cell).into_iter().filter(|span| is_name(span));
            missing.extend(names.filter(|name| !words.contains(last_part(name))));
        }
    }
    assert!(missing.is_empty(), "{missing:?}");
}
