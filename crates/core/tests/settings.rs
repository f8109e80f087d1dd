//! Tests of the tuning keys that operators may set.

use grebewood_core::Tuning;

/// The README's table of keys has a row for each key, with its range, default and description.
#[test]
fn the_readme_documents_every_key() {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../../README.md");
    let readme = std::fs::read_to_string(path).expect("the README");
    let mut missing = Vec::new();
    for (key, doc, default, low, high) in Tuning::KEYS {
        let row = format!(
            "| `{key}` | {default} | {low} to {high} | {} |",
            doc.trim().trim_end_matches('.')
        );
        if !readme.contains(&row) {
            missing.push(row);
        }
    }
    assert!(missing.is_empty(), "README lacks:\n{}", missing.join("\n"));
}

#[test]
fn tuning_keys_are_checked() {
    let mut tuning = Tuning::default();
    assert!(tuning.set("idle_hold_us", "5000000").is_ok());
    assert_eq!(tuning.idle_hold_us, 5_000_000);
    assert!(tuning.set("idle_hold_us", "soon").is_err());
    assert!(tuning.set("deadline_share", "7").is_err());
    assert!(tuning.set("no_such_key", "1").is_err());
}
