//! Averages learned from past tasks and boots: run times by class and machine type, and boot times by machine type.
//!
//! For each class, the ratio of run times to the estimates in submissions is averaged as well. Each sample is
//! bounded, so that a single slow machine or a single wrong estimate cannot distort an average.

use crate::{micros, Micros, SECOND};
use grebewood_wire::http::{to_value, Shape, Submission};
use grebewood_wire::json_size;
use grebewood_wire::records::StatsRecord;
use std::collections::BTreeMap;

/// Time that a replica of a daemon is expected to stay on its machine, in microseconds; longer than any machine is
/// kept.
const UNLIMITED_STAY_US: Micros = 365 * 86_400 * SECOND;

/// Highest weight of an average of run times or of their ratios to the estimates.
const MAX_RUN_WEIGHT: f64 = 200.0;

/// Highest weight of an average of boot times.
const MAX_BOOT_WEIGHT: f64 = 20.0;

/// Lower bound of the ratio of a run time to its estimate.
const MIN_RATIO: f64 = 0.2;

/// Upper bound of the ratio of a run time to its estimate.
const MAX_RATIO: f64 = 4.0;

/// Lower bound of the estimate that a ratio is computed with, in seconds.
const MIN_ESTIMATE_S: f64 = 0.1;

/// Upper bound of a run time sample, as a multiple of its average, once the average has enough weight.
const MAX_RUN_FACTOR: f64 = 4.0;

/// Weight from which on an average bounds further samples.
const BOUNDING_WEIGHT: f64 = 5.0;

/// Upper bound of a boot time sample, as a multiple of the published boot time.
const MAX_BOOT_FACTOR: f64 = 3.0;

/// Weight from which on an average ratio is applied to estimates.
const TRUSTED_RATIO_WEIGHT: f64 = 3.0;

/// Number of samples that the published boot time counts as.
const PUBLISHED_BOOT_WEIGHT: f64 = 3.0;

/// Lower bound of an expected run time, in microseconds.
const MIN_EXPECTED_RUN_US: Micros = SECOND / 10;

/// A weighted mean whose weight is bounded so that the mean follows changes.
#[derive(Clone, Copy, Debug, Default)]
struct Mean {
    value: f64,
    weight: f64,
}

impl Mean {
    /// Adds a sample of weight one.
    fn add(&mut self, sample: f64, max_weight: f64) {
        self.weight = (self.weight + 1.0).min(max_weight);
        self.value += (sample - self.value) / self.weight;
    }

    /// Returns a mean read from a record; `None` if the value or the weight is not a valid number.
    fn from_record(value: f64, weight: f64) -> Option<Mean> {
        let is_valid = |number: f64| number.is_finite() && number >= 0.0;
        (is_valid(value) && is_valid(weight)).then_some(Mean { value, weight })
    }
}

/// Averages of run times and boot times.
#[derive(Clone, Debug, Default)]
pub struct Stats {
    /// Ratios of run times to their estimates, by class.
    ratios: BTreeMap<String, Mean>,
    /// Run times in microseconds, by class and machine type.
    runs: BTreeMap<(String, String), Mean>,
    /// Boot times in microseconds, by machine type.
    boots: BTreeMap<String, Mean>,
    /// Whether any average has changed since the write of the statistics record was last scheduled.
    pub changed: bool,
}

impl Stats {
    /// Records that a task of the job ran for `run_time` microseconds on the machine type.
    pub fn record_run(&mut self, spec: &Submission, machine_type: &str, run_time: Micros) {
        let estimate = spec.expected_s.max(MIN_ESTIMATE_S) * 1e6;
        let ratio = (run_time as f64 / estimate).clamp(MIN_RATIO, MAX_RATIO);
        self.ratios
            .entry(spec.class.clone())
            .or_default()
            .add(ratio, MAX_RUN_WEIGHT);
        let mean = self
            .runs
            .entry((spec.class.clone(), machine_type.to_string()))
            .or_default();
        let bounded = match mean.weight >= BOUNDING_WEIGHT {
            true => (run_time as f64).min(mean.value * MAX_RUN_FACTOR),
            false => run_time as f64,
        };
        mean.add(bounded, MAX_RUN_WEIGHT);
        self.changed = true;
    }

    /// Records that a machine of the type took `boot_time` microseconds until its first heartbeat. `published` is
    /// the boot time that the cloud publishes for the type.
    pub fn record_boot_time(&mut self, machine_type: &str, published: Micros, boot_time: Micros) {
        let bounded = (boot_time as f64).min(published as f64 * MAX_BOOT_FACTOR);
        self.boots
            .entry(machine_type.to_string())
            .or_default()
            .add(bounded, MAX_BOOT_WEIGHT);
        self.changed = true;
    }

    /// Returns the expected run time of a task of the job, in microseconds, without fetching its image.
    pub fn expected_run(&self, spec: &Submission) -> Micros {
        let ratio = self
            .ratios
            .get(&spec.class)
            .filter(|mean| mean.weight >= TRUSTED_RATIO_WEIGHT)
            .map_or(1.0, |mean| mean.value);
        micros(spec.expected_s * ratio).max(MIN_EXPECTED_RUN_US)
    }

    /// Returns the time that a task of the job is expected to stay on its machine, in microseconds, without fetching
    /// its image. A replica of a daemon stays until it is stopped.
    pub fn expected_stay(&self, spec: &Submission) -> Micros {
        match Shape::of(spec) {
            Some(Shape::Daemon) => UNLIMITED_STAY_US,
            _ => self.expected_run(spec),
        }
    }

    /// Returns the average boot time of the type, in microseconds. The published boot time counts as a few samples.
    pub fn boot_time(&self, machine_type: &str, published: Micros) -> Micros {
        let Some(mean) = self.boots.get(machine_type) else {
            return published;
        };
        let weight = mean.weight + PUBLISHED_BOOT_WEIGHT;
        let sum = mean.value * mean.weight + published as f64 * PUBLISHED_BOOT_WEIGHT;
        (sum / weight) as Micros
    }

    /// Returns the record without the averages that have to be left out to keep it within `bytes` bytes. Averages
    /// with the lowest weight are left out first.
    pub fn record_within(&self, bytes: usize) -> StatsRecord {
        let mut record = self.record();
        while json_size(&to_value(&record)) > bytes {
            // Averages by class and machine type are dropped first, because they are less useful than those by
            // class.
            if let Some(index) = lightest(record.runs.iter().map(|run| run.3)) {
                record.runs.remove(index);
            } else if let Some(index) = lightest(record.ratios.iter().map(|ratio| ratio.2)) {
                record.ratios.remove(index);
            } else if record.boots.pop().is_none() {
                break;
            }
        }
        record
    }

    /// Returns the record with all averages.
    pub fn record(&self) -> StatsRecord {
        let runs = self.runs.iter().map(|((class, machine_type), mean)| {
            let (class, machine_type) = (class.clone(), machine_type.clone());
            (class, machine_type, mean.value as u64, mean.weight)
        });
        let boots = self
            .boots
            .iter()
            .map(|(machine_type, mean)| (machine_type.clone(), mean.value as u64, mean.weight));
        let ratios = self
            .ratios
            .iter()
            .map(|(class, mean)| (class.clone(), mean.value, mean.weight));
        StatsRecord {
            runs: runs.collect(),
            boots: boots.collect(),
            ratios: ratios.collect(),
        }
    }

    /// Creates the averages from a record, without those that are not valid numbers.
    pub fn from_record(record: &StatsRecord) -> Self {
        let runs = record.runs.iter().filter_map(|run| {
            let (class, machine_type, value, weight) = run;
            let mean = Mean::from_record(*value as f64, *weight)?;
            Some(((class.clone(), machine_type.clone()), mean))
        });
        let boots = record
            .boots
            .iter()
            .filter_map(|(machine_type, value, weight)| {
                Some((
                    machine_type.clone(),
                    Mean::from_record(*value as f64, *weight)?,
                ))
            });
        let ratios = record.ratios.iter().filter_map(|(class, value, weight)| {
            Some((class.clone(), Mean::from_record(*value, *weight)?))
        });
        Stats {
            ratios: ratios.collect(),
            runs: runs.collect(),
            boots: boots.collect(),
            changed: false,
        }
    }
}

/// Returns the index of the lowest weight, or of the first of several equal ones.
fn lightest(weights: impl Iterator<Item = f64>) -> Option<usize> {
    weights
        .enumerate()
        .min_by(|a, b| a.1.total_cmp(&b.1))
        .map(|(index, _)| index)
}

#[cfg(test)]
mod tests;
