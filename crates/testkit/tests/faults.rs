//! The faults of the script do what they say: small scenarios whose outcome shows it.

use grebewood_testkit::play;

const FLEET: &str = "team t cpus=16 cpus_max=32\ntype std cpus=8 cap=4\nmachines std count=2\n";

/// The scenario holds.
fn holds(text: &str) {
    play(&format!("{FLEET}{text}")).expect(text);
}

/// The scenario fails with this text.
fn fails(text: &str, with: &str) {
    let error = play(&format!("{FLEET}{text}")).expect_err(text).to_string();
    assert!(error.contains(with), "{error}");
}

#[test]
fn heartbeat_copies_reach_the_next_leader_or_every_controller() {
    // Kept for the next leader, they meet it; late ones before it ended meet the one of their token.
    let next =
        "at 2 submit req-1 tasks=8 run=20\nat 6 heartbeat_copies all for=4 next=yes to=all\n\
                at 9 crash leader\nat 20 copies_at_newer_leader 2\nend 30\n";
    holds(next);
    fails(
        &next.replace("copies_at_newer_leader 2", "copies_at_newer_leader 100"),
        "copies met",
    );
    fails(&next.replace("next=yes to=all", "late=1"), "0 copies met");
    holds(&next.replace("next=yes to=all", "late=8 to=all"));
}

#[test]
fn a_mute_machine_loses_its_tasks_with_its_lease() {
    let never_reported =
        "at 2 submit req-1 tasks=1 run=40\nat 8 starts req-1 1\nat 9 drop_heartbeats of=req-1 for=15\n\
                at 45 starts req-1 2\nend 46\n";
    holds(never_reported);
    fails(
        &never_reported.replace("for=15", "for=3"),
        "1 starts, not 2",
    );
    fails(
        &never_reported.replace("of=req-1", "of=req-2"),
        "no machine holds a task",
    );
}

#[test]
fn users_cancel_in_the_middle_and_at_the_end() {
    let now = "at 2 submit req-1 tasks=1 run=60\nat 2 submit req-2 tasks=1 run=60\n\
               at 2 submit req-3 tasks=1 run=10\nat 10 cancel_now 8\nat 12 expect req-1 aborted\n\
               at 12 expect req-2 aborted\nat 12 expect req-3 running\nend 30\n";
    holds(now);
    fails(
        &now.replace("cancel_now 8", "cancel_now 1"),
        "reports running for req-2",
    );
    fails(
        &now.replace("run=60", "run=12"),
        "no running job has enough run time left",
    );
    // At the moment of the end, which the machine cannot report just then.
    let end = "at 2 submit req-1 tasks=1 run=5\nat 5 drop_heartbeats of=req-1 for=5\n\
               at 6 cancel_at_end for=20\nat 30 expect req-1 aborted\nend 31\n";
    holds(end);
    for not_then in ["for=1", "for=20 after=9"] {
        let text = end.replace("end for=20", &format!("end {not_then}"));
        fails(&text, "reports done for req-1");
    }
}

#[test]
fn who_confirms_a_cancellation_crashes() {
    let trap = "at 3 submit req-1 tasks=1 run=60\nat 6 fault_on confirm for=9\nat 7 cancel req-1 controller=leader\n\
                at 8 leaders 0\nat 20 leaders 1\nend 21\n";
    holds(trap);
    fails(
        &trap.replace("controller=leader", "controller=other"),
        "1 controllers lead",
    );
}

#[test]
fn a_crash_lasts_a_fraction_of_a_second() {
    // The same member, back before its grant ends, gives it back and leads anew.
    holds("at 5 crash leader for=0.2\nat 7 leaders 1\nend 8\n");
    holds("at 5 crash all for=0.2\nat 7 leaders 1\nend 8\n");
    fails(
        "at 5 crash all for=4\nat 7 leaders 1\nend 8\n",
        "0 controllers lead",
    );
    // The later of two crashes counts.
    fails(
        "at 5 crash all for=2\nat 6 crash all for=6\nat 11 leaders 1\nend 12\n",
        "0 controllers lead",
    );
}

#[test]
fn machines_boot_within_half_a_second() {
    let boots =
        "at 1 boots 0.5\nat 2 submit req-1 tasks=12 run=30\nat 15 starts req-1 12\nend 16\n";
    holds(boots);
    fails(&boots.replace("boots 0.5", "boots 20"), "starts, not 12");
}

#[test]
fn a_slow_store_and_lost_answers_are_survived() {
    holds(
        "at 1 slow store for=20 by=0.4\nat 2 submit req-1 tasks=4 run=5\nat 1 polls for=30\n\
         at 30 expect req-1 done\nend 31\n",
    );
    for how in ["late=8", "late=3 at_once=yes"] {
        holds(&format!(
            "at 4 late txns for=20 every=3 {how}\nat 2 submit req-1 tasks=4 run=5\n\
             at 1 polls for=60\nat 60 expect req-1 done\nend 61\n"
        ));
    }
    for node in ["leader", "0", "1", "2"] {
        holds(&format!(
            "at 4 late txn for=10 controller={node} at_once=yes\nat 2 submit req-1 controller={node} run=5\n\
             at 30 expect req-1 done\nend 31\n"
        ));
    }
}
