//! Plays scenarios that are drawn from seeds, several at a time.

use grebewood_testkit::play;
use std::ops::Range;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Mutex;

/// Number of threads that play scenarios.
const THREADS: usize = 4;

/// Returns the seeds that this environment variable names as `FROM..TO`, if it is set.
pub fn seeds_from(variable: &str) -> Option<Range<u64>> {
    let text = std::env::var(variable).ok()?;
    let (from, to) = text.split_once("..").expect("FROM..TO");
    let number = |text: &str| text.parse().expect("FROM..TO");
    Some(number(from)..number(to))
}

/// Plays the scenario of each seed. Panics with those that fail.
pub fn play_all(seeds: &[u64], scenario: impl Fn(u64) -> String + Sync) {
    let next = AtomicUsize::new(0);
    let failures = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..THREADS {
            scope.spawn(|| loop {
                let index = next.fetch_add(1, Ordering::Relaxed);
                let Some(&seed) = seeds.get(index) else {
                    return;
                };
                let text = scenario(seed);
                if let Err(error) = play(&text) {
                    let failure = format!("seed {seed}: {error}\n{text}");
                    failures.lock().expect("no panic").push(failure);
                }
            });
        }
    });
    let failures = failures.into_inner().expect("no panic");
    assert!(failures.is_empty(), "\n{}", failures.join("\n"));
}
