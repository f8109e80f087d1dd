//! Tests of jobs: which submissions fit the store, when replicas are restarted, and how starved jobs catch up.

use grebewood_core::state::jobs::{check_fields, check_size, Job};
use grebewood_core::SECOND;
use grebewood_wire::http::{Priority, Submission};
use grebewood_wire::records::JobRecord;

fn submission(shape: &str, tasks: u64) -> Submission {
    Submission {
        id: "req-1".into(),
        class: "work".into(),
        team: "t".into(),
        shape: shape.into(),
        priority: Priority::Normal,
        tasks,
        cpus: 1.0,
        gpus: 0.0,
        memory_gb: 1.0,
        image: "img".into(),
        image_gb: 0.5,
        machine_types: Some(vec!["g8".into(); 20]),
        zone: None,
        one_zone: false,
        spread: false,
        spot: true,
        expected_s: 1.0,
        checkpoint_interval_s: 0.0,
        checkpoint_duration_s: 0.0,
        deadline_s: None,
    }
}

/// A replica is always restarted after it exits: the first time at once, then after a growing backoff, which a long
/// run resets. Other replicas of the job do not wait for it.
#[test]
fn a_replica_that_keeps_ending_is_restarted_with_growing_backoff() {
    let record = JobRecord {
        spec: submission("daemon", 2),
        accepted_us: 0,
    };
    let mut job = Job::new(record, 0, 0);
    assert!(!job.complete_task(0) && !job.has_completed_all_tasks());
    let mut now = 100 * SECOND;
    let mut backoffs_s = Vec::new();
    for ran in [SECOND, SECOND, SECOND, 90 * SECOND, 0, 0, 0, 0, 0, 0, 0, 0] {
        job.record_replica_exit(0, "n-000001", ran, now);
        let from = now;
        while job.next_waiting_task(now) != Some(0) {
            assert_eq!(
                (job.next_waiting_task(now), job.placeable_count(now)),
                (Some(1), 1)
            );
            now += SECOND;
        }
        assert_eq!(job.placeable_count(now), 2);
        backoffs_s.push((now - from) / SECOND);
    }
    assert_eq!(backoffs_s, [0, 1, 2, 0, 1, 2, 4, 8, 16, 30, 30, 30]);
    assert!(job.avoids("n-000001", now) && !job.avoids("n-000002", now));
}

/// The store refuses values that exceed its limit. A job with such a record is refused as invalid, since a retry
/// cannot help.
#[test]
fn a_job_whose_record_exceeds_the_limit_of_a_value_is_invalid() {
    let mut large = submission("batch", 1);
    assert_eq!(check_fields(&large), Ok(()));
    assert_eq!(check_size(&large, 2048), Ok(()));
    assert_eq!(check_size(&large, 4096), Ok(()));
    large.machine_types = Some(vec!["g".repeat(100); 40]);
    assert_eq!(check_fields(&large), Ok(()));
    assert!(check_size(&large, 4096).is_err());
    assert_eq!(check_size(&large, 16_384), Ok(()));
}

/// A small job that starved places all of its tasks ahead of other jobs. A larger one catches up in a single round,
/// with the tasks that find free resources then, and has to starve again before it catches up the next time. The
/// tasks of a small job that starved are not preempted for tasks of normal priority.
#[test]
fn a_small_job_that_starved_catches_up_with_all_of_its_tasks() {
    for (tasks, placed_ahead, aged_priority) in [
        (4, 4, Priority::Normal),
        (8, 8, Priority::Normal),
        (9, 1, Priority::Idle),
        (1_000, 1, Priority::Idle),
    ] {
        let mut spec = submission("batch", tasks);
        spec.priority = Priority::Idle;
        let record = JobRecord {
            spec,
            accepted_us: 0,
        };
        let mut job = Job::new(record, 0, 0);
        job.begin_catch_up(70 * SECOND);
        assert_eq!(job.catching_up_since(), None);
        assert_eq!(job.preemption_priority(), Priority::Idle);
        let now = 71 * SECOND;
        job.begin_catch_up(now);
        let mut placed = 0;
        while let Some(since) = job.catching_up_since() {
            assert_eq!(since, 0);
            let task = job.next_waiting_task(now).expect("a waiting task");
            job.assign_task(task);
            job.record_placed(now);
            job.begin_catch_up(now);
            placed += 1;
        }
        assert_eq!(placed, placed_ahead, "of {tasks} tasks");
        assert_eq!(job.preemption_priority(), aged_priority);
        job.begin_catch_up(now + 71 * SECOND);
        assert_eq!(job.catching_up_since().is_some(), tasks > placed_ahead);
    }
}
