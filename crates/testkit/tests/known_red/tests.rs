use super::*;

const NAMES: [&str; 5] = ["early", "late", "lost", "slow", "twice"];

/// Evaluates outcomes in which these scenarios fail, each with its reason, and all others pass.
fn judge_failures(list: Option<&str>, failing: &[(&str, &str)]) -> Verdict {
    let names = NAMES.map(String::from);
    let outcome = |name: &String| match failing.iter().find(|(n, _)| n == name) {
        Some((_, reason)) => (name.clone(), Err(reason.to_string())),
        None => (name.clone(), Ok(())),
    };
    let outcomes: Vec<_> = names.iter().map(outcome).collect();
    judge(list, &names, &outcomes)
}

fn verdict(known_red: &[&str], faults: &[&str]) -> Verdict {
    let owned = |lines: &[&str]| lines.iter().map(|l| l.to_string()).collect();
    Verdict {
        known_red: owned(known_red),
        faults: owned(faults),
    }
}

#[test]
fn without_a_list_every_failure_counts() {
    assert_eq!(judge_failures(None, &[]), verdict(&[], &[]));
    let failing = [("late", "at 5: one"), ("slow", "at 6: two")];
    let expected = verdict(&[], &["late: at 5: one", "slow: at 6: two"]);
    assert_eq!(judge_failures(None, &failing), expected);
}

#[test]
fn only_the_failure_of_a_listed_scenario_is_tolerated_and_it_is_printed() {
    let list = "# To be mended first.\n\nlate: a write is lost: issue 7\n";
    let known = ["known red: late: at 5: one"];
    let expected = verdict(&known, &[]);
    assert_eq!(
        judge_failures(Some(list), &[("late", "at 5: one")]),
        expected
    );
    // The line tolerates neither the failure of another scenario nor that of a scenario whose name contains its name.
    let failing = [("late", "at 5: one"), ("slow", "at 6: two")];
    let expected = verdict(&known, &["slow: at 6: two"]);
    assert_eq!(judge_failures(Some(list), &failing), expected);
    let names = ["late".to_string(), "later".to_string()];
    let later = [("later".to_string(), Err("at 7: three".to_string()))];
    let expected = verdict(&[], &["later: at 7: three"]);
    assert_eq!(judge(Some(list), &names, &later), expected);
}

#[test]
fn a_listed_scenario_that_passes_fails_the_run() {
    let list = "late: a write is lost: issue 7\nslow: a read waits: issue 12\n";
    let expected = verdict(
        &["known red: slow: at 6: two"],
        &["late: passes, although KNOWN-RED.txt lists it"],
    );
    assert_eq!(
        judge_failures(Some(list), &[("slow", "at 6: two")]),
        expected
    );
}

/// Checks that a listed scenario that was not played counts neither as one that passes nor as an unknown one.
#[test]
fn a_listed_scenario_that_is_not_played_is_ignored() {
    let list = "late: a write is lost: issue 7\n";
    let names = NAMES.map(String::from);
    let outcomes = [("slow".to_string(), Ok(()))];
    assert_eq!(judge(Some(list), &names, &outcomes), verdict(&[], &[]));
}

#[test]
fn an_unknown_scenario_fails_the_run() {
    let list = "later: a write is lost: issue 7\n";
    let expected = "KNOWN-RED.txt, line 1: no such scenario: later: a write is lost: issue 7";
    assert_eq!(judge_failures(Some(list), &[]), verdict(&[], &[expected]));
}

#[test]
fn a_fourth_line_fails_the_run() {
    let failing = ["early", "late", "lost", "slow"].map(|n| (n, "at 5: one"));
    let three = "early: a: issue 7\nlate: a: issue 7\n# Between.\nlost: a: issue 9\n";
    let known = ["early", "late", "lost"].map(|n| format!("known red: {n}: at 5: one"));
    let known = known.each_ref().map(String::as_str);
    let expected = verdict(&known, &[]);
    assert_eq!(judge_failures(Some(three), &failing[..3]), expected);
    let four = format!("{three}slow: a: issue 7\n");
    let faults = [
        "KNOWN-RED.txt, line 5: more than three: slow: a: issue 7",
        "slow: at 5: one",
    ];
    assert_eq!(
        judge_failures(Some(&four), &failing),
        verdict(&known, &faults)
    );
}

#[test]
fn a_malformed_line_fails_the_run_and_tolerates_no_failure() {
    for line in [
        "late",
        "late: a write is lost",
        "late: issue 7",
        "late: : issue 7",
        "late:  : issue 7",
        "late:a write is lost:issue 7",
        "late: a write is lost: 7",
        "late: a write is lost: issue",
        "late: a write is lost: issue ",
        "late: a write is lost: issue x",
        "late: a write is lost: issue 07",
        "late: a write is lost: issue 7 ",
        "late: a write is lost: issue 7 # soon",
        "late: a write: it is lost: issue 7",
        "late:  a write is lost: issue 7",
        " late: a write is lost: issue 7",
        "late : a write is lost: issue 7",
        "late slow: a write is lost: issue 7",
        ": a write is lost: issue 7",
        " # late",
        " ",
    ] {
        let fault = "not of the form `NAME: CAUSE: issue NUMBER`";
        let fault = format!("KNOWN-RED.txt, line 1: {fault}: {line}");
        let expected = verdict(&[], &[&fault, "late: at 5: one"]);
        let list = format!("{line}\n");
        let found = judge_failures(Some(&list), &[("late", "at 5: one")]);
        assert_eq!(found, expected, "{line:?}");
    }
}

#[test]
fn a_scenario_that_is_listed_twice_fails_the_run() {
    let list = "late: a: issue 7\nlate: b: issue 8\n";
    let expected = verdict(
        &["known red: late: at 5: one"],
        &["KNOWN-RED.txt, line 2: listed twice: late: b: issue 8"],
    );
    assert_eq!(
        judge_failures(Some(list), &[("late", "at 5: one")]),
        expected
    );
}

#[test]
fn an_empty_list_fails_the_run() {
    for list in ["", "\n", "# Nothing is red.\n"] {
        let expected = verdict(&[], &["KNOWN-RED.txt lists nothing: it is to be removed"]);
        assert_eq!(judge_failures(Some(list), &[]), expected, "{list:?}");
    }
}

/// Checks that only a missing file counts as an absent list: one that cannot be read is an error.
#[test]
fn an_unreadable_list_is_an_error() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    assert_eq!(read(&root.join("no-such-file")), Ok(None));
    assert!(read(&root.join("Cargo.toml")).is_ok_and(|text| text.is_some()));
    assert!(read(root).is_err(), "a folder");
}
