//! Test that no team ever exceeds its limit, even if messages and writes are lost, delayed, repeated or reordered,
//! or any of the processes ends.

mod model;

use model::{Cluster, Step, PARTITIONS};
use proptest::prelude::*;
use proptest::test_runner::{Config, TestRunner};

/// Number of interleavings in one run of the test. The environment variable `INTERLEAVINGS` overrides it.
const CASES: u32 = 4_000;
/// Upper bound of the number of steps in one interleaving, exclusive.
const MAX_STEPS: usize = 300;
/// Highest limit of the team, in tasks.
const MAX_LIMIT: u64 = 12;

/// Generates one step of an interleaving.
fn step() -> impl Strategy<Value = Step> {
    let partition = 0..PARTITIONS;
    let which = 0..64usize;
    prop_oneof![
        8 => partition.clone().prop_map(Step::Queue),
        2 => Just(Step::StartOnLeader),
        2 => Just(Step::EndOnLeader),
        8 => partition.clone().prop_map(Step::WriteGrant),
        16 => (which.clone(), any::<bool>())
            .prop_map(|(which, answered)| Step::ApplyWrite { which, answered }),
        4 => Just(Step::ReadBack),
        10 => partition.clone().prop_map(Step::SendOrders),
        12 => (which.clone(), prop::bool::weighted(0.2))
            .prop_map(|(which, again)| Step::DeliverOrders { which, again }),
        10 => which.prop_map(Step::DeliverAnswer),
        2 => partition.clone().prop_map(Step::TimeOut),
        10 => partition.clone().prop_map(Step::Place),
        6 => partition.clone().prop_map(Step::EndTask),
        1 => partition.prop_map(Step::ReplaceHolder),
        1 => Just(Step::ReplaceLeader),
        1 => (0..2usize, 0..=MAX_LIMIT)
            .prop_map(|(member, limit)| Step::ChangeSettings { member, limit }),
        3 => Just(Step::AdvanceClock),
        16 => (0..PARTITIONS).prop_map(Step::Exchange),
        16 => (0..PARTITIONS).prop_map(Step::PlaceAndWrite),
    ]
}

/// Returns the number of interleavings to run.
fn cases() -> u32 {
    let requested = std::env::var("INTERLEAVINGS").ok();
    requested.and_then(|n| n.parse().ok()).unwrap_or(CASES)
}

#[test]
fn no_team_is_above_its_limit() {
    let config = Config {
        cases: cases(),
        failure_persistence: None,
        ..Config::default()
    };
    // The generator has a fixed seed, so every run of the test has the same cases and the same result.
    let rng = proptest::test_runner::TestRng::deterministic_rng(config.rng_algorithm);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let started = std::cell::Cell::new(0u64);
    let steps = prop::collection::vec(step(), 1..MAX_STEPS);
    let outcome = runner.run(&(1..=MAX_LIMIT, steps), |(limit, steps)| {
        let mut cluster = Cluster::new(limit);
        for step in steps {
            cluster.step(step).map_err(TestCaseError::fail)?;
        }
        started.set(started.get() + cluster.started);
        Ok(())
    });
    if let Err(e) = outcome {
        panic!("{e}");
    }
    let min_started = u64::from(cases()) * 3;
    assert!(
        started.get() > min_started,
        "only {} tasks started",
        started.get()
    );
}
