//! Checks that each fault of the scenario language has its effect, by the outcome of small scenarios. The
//! directives are described in `grebewood_testkit::script`.

use grebewood_testkit::play;

const FLEET: &str = "team t cpus=16 cpus_max=32\ntype std cpus=8 cap=4\nmachines std count=2\n";

/// Asserts that a scenario on [`FLEET`] passes.
fn assert_passes(text: &str) {
    play(&format!("{FLEET}{text}")).expect(text);
}

/// Asserts that a scenario on [`FLEET`] fails with an error that contains this text.
fn assert_fails(text: &str, expected_error: &str) {
    let error = play(&format!("{FLEET}{text}")).expect_err(text).to_string();
    assert!(error.contains(expected_error), "{error}");
}

#[test]
fn heartbeat_copies_reach_the_next_leader_or_every_controller() {
    // Copies that are kept for the next leader reach a leader with a newer token. Copies with a short delay reach
    // only the leader of their own token, which does not count.
    let next =
        "at 2 submit req-1 tasks=8 run=20\nat 6 heartbeat_copies all for=4 next=yes to=all\n\
                at 9 crash leader\nat 20 copies_at_newer_leader 2\nend 30\n";
    assert_passes(next);
    assert_fails(
        &next.replace("copies_at_newer_leader 2", "copies_at_newer_leader 100"),
        "copies met",
    );
    assert_fails(&next.replace("next=yes to=all", "late=1"), "0 copies met");
    assert_passes(&next.replace("next=yes to=all", "late=8 to=all"));
}

#[test]
fn a_machine_whose_heartbeats_are_dropped_loses_its_tasks_with_its_lease() {
    let never_reported = "at 2 submit req-1 tasks=1 run=40\nat 8 starts req-1 1\nat 9 drop_heartbeats of=req-1 for=15\n\
                at 45 starts req-1 2\nend 46\n";
    assert_passes(never_reported);
    assert_fails(
        &never_reported.replace("for=15", "for=3"),
        "1 task starts of the job, not 2",
    );
    assert_fails(
        &never_reported.replace("of=req-1", "of=req-2"),
        "no machine holds a task",
    );
}

#[test]
fn users_cancel_in_the_middle_and_at_the_end() {
    let now = "at 2 submit req-1 tasks=1 run=60\nat 2 submit req-2 tasks=1 run=60\n\
               at 2 submit req-3 tasks=1 run=10\nat 10 cancel_now 8\nat 12 expect req-1 aborted\n\
               at 12 expect req-2 aborted\nat 12 expect req-3 running\nend 30\n";
    assert_passes(now);
    assert_fails(
        &now.replace("cancel_now 8", "cancel_now 1"),
        "reports running for req-2",
    );
    assert_fails(
        &now.replace("run=60", "run=12"),
        "no running job has enough run time left to be cancelled while it runs",
    );
    // The cancellation comes at the moment at which the task completes, and the agent cannot report that because its
    // heartbeats are dropped.
    let end = "at 2 submit req-1 tasks=1 run=5\nat 5 drop_heartbeats of=req-1 for=5\n\
               at 6 cancel_at_end for=20\nat 30 expect req-1 aborted\nend 31\n";
    assert_passes(end);
    for not_then in ["for=1", "for=20 after=9"] {
        let text = end.replace("end for=20", &format!("end {not_then}"));
        assert_fails(&text, "reports done for req-1");
    }
}

#[test]
fn the_controller_that_confirms_a_cancellation_crashes() {
    let trap = "at 3 submit req-1 tasks=1 run=60\nat 6 fault_on confirm for=9\nat 7 cancel req-1 controller=leader\n\
                at 8 leaders 0\nat 20 leaders 1\nend 21\n";
    assert_passes(trap);
    assert_fails(
        &trap.replace("controller=leader", "controller=other"),
        "1 controllers lead",
    );
}

#[test]
fn a_crash_lasts_a_fraction_of_a_second() {
    // A member that restarts before its earlier leader lease has expired deletes its own leader record and becomes
    // leader again.
    assert_passes("at 5 crash leader for=0.2\nat 7 leaders 1\nend 8\n");
    assert_passes("at 5 crash all for=0.2\nat 7 leaders 1\nend 8\n");
    assert_fails(
        "at 5 crash all for=4\nat 7 leaders 1\nend 8\n",
        "0 controllers lead",
    );
    // A second crash during the first one extends the time for which the controllers are down.
    assert_fails(
        "at 5 crash all for=2\nat 6 crash all for=6\nat 11 leaders 1\nend 12\n",
        "0 controllers lead",
    );
}

#[test]
fn machines_boot_within_half_a_second() {
    let boots =
        "at 1 boots 0.5\nat 2 submit req-1 tasks=12 run=30\nat 15 starts req-1 12\nend 16\n";
    assert_passes(boots);
    assert_fails(
        &boots.replace("boots 0.5", "boots 20"),
        "task starts of the job, not 12",
    );
}

#[test]
fn jobs_complete_despite_a_slow_store_and_lost_responses() {
    assert_passes(
        "at 1 slow store for=20 by=0.4\nat 2 submit req-1 tasks=4 run=5\nat 1 polls for=30\n\
         at 30 expect req-1 done\nend 31\n",
    );
    for how in ["late=8", "late=3 at_once=yes"] {
        assert_passes(&format!(
            "at 4 late txns for=20 every=3 {how}\nat 2 submit req-1 tasks=4 run=5\n\
             at 1 polls for=60\nat 60 expect req-1 done\nend 61\n"
        ));
    }
    for controller in ["leader", "0", "1", "2"] {
        assert_passes(&format!(
            "at 4 late txn for=10 controller={controller} at_once=yes\nat 2 submit req-1 controller={controller} run=5\n\
             at 30 expect req-1 done\nend 31\n"
        ));
    }
}
