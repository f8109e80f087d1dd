//! Checks that the digest of behaviour changes with each effect and is the same for the same scenario.

use grebewood_core::Effect;
use grebewood_testkit::trace::Trace;

fn answer_effect(body: &[u8]) -> Effect {
    Effect::Answer {
        id: 1,
        status: 200,
        body: body.to_vec(),
        retry_after: None,
    }
}

fn digest(time_us: u64, process: &str, body: &[u8]) -> String {
    let mut trace = Trace::default();
    trace.record_effect(time_us, process, &answer_effect(body));
    trace.digest()
}

#[test]
fn one_changed_byte_changes_the_digest() {
    let digest_of_abc = digest(5, "perch-0", b"abc");
    assert_eq!(digest_of_abc, digest(5, "perch-0", b"abc"));
    assert_ne!(digest_of_abc, digest(5, "perch-0", b"abd"));
    assert_ne!(digest_of_abc, digest(6, "perch-0", b"abc"));
    assert_ne!(digest_of_abc, digest(5, "perch-1", b"abc"));
}

#[test]
fn a_scenario_has_the_same_digest_each_time_and_another_one_after_a_change() {
    let text = "team t cpus=8 cpus_max=8\ntype std cpus=8\nmachines std\n\
                at 3 submit req-1 tasks=1 run=20\nend 12\n";
    let play = |text: &str| grebewood_testkit::play_traced(text).expect("a scenario");
    assert_eq!(play(text).digest(), play(text).digest());
    let other = text.replace("run=20", "run=21 deadline=60");
    assert_ne!(play(text).digest(), play(&other).digest());
}
