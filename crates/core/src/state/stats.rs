//! Learnt averages: run times by class and machine type, and boot times.
//!
//! A run time is kept as its ratio to the owner's estimate, by class, and each sample is bounded
//! so that one slow machine or one wild estimate cannot poison the average.

use crate::{micros, Micros, SECOND};
use grebewood_wire::http::Shape;
use grebewood_wire::http::{to_value, Submission};
use grebewood_wire::json_size;
use grebewood_wire::records::StatsRecord;
use std::collections::BTreeMap;

/// Longer than any machine is kept.
const FOR_GOOD: Micros = 365 * 86_400 * SECOND;

/// A weighted mean whose weight is bounded, so that it follows changes.
#[derive(Clone, Copy, Debug, Default)]
struct Mean {
    value: f64,
    weight: f64,
}

impl Mean {
    fn add(&mut self, x: f64, most: f64) {
        self.weight = (self.weight + 1.0).min(most);
        self.value += (x - self.value) / self.weight;
    }
}

/// The averages.
#[derive(Clone, Debug, Default)]
pub struct Stats {
    ratios: BTreeMap<String, Mean>,
    runs: BTreeMap<(String, String), Mean>,
    boots: BTreeMap<String, Mean>,
    pub changed: bool,
}

impl Stats {
    /// A task of the class took `run` on the type.
    pub fn ran(&mut self, spec: &Submission, machine_type: &str, run: Micros) {
        let expected = spec.expected_s.max(0.1) * 1e6;
        let ratio = (run as f64 / expected).clamp(0.2, 4.0);
        self.ratios
            .entry(spec.class.clone())
            .or_default()
            .add(ratio, 200.0);
        let mean = self
            .runs
            .entry((spec.class.clone(), machine_type.to_string()))
            .or_default();
        let bounded = if mean.weight >= 5.0 {
            (run as f64).min(mean.value * 4.0)
        } else {
            run as f64
        };
        mean.add(bounded, 200.0);
        self.changed = true;
    }

    /// A machine of the type took `boot` to report.
    pub fn booted(&mut self, machine_type: &str, startup: Micros, boot: Micros) {
        let bounded = (boot as f64).min(startup as f64 * 3.0);
        self.boots
            .entry(machine_type.to_string())
            .or_default()
            .add(bounded, 20.0);
        self.changed = true;
    }

    /// Expected run time of a task of the job, without the fetch.
    pub fn expected_run(&self, spec: &Submission) -> Micros {
        let ratio = self
            .ratios
            .get(&spec.class)
            .filter(|m| m.weight >= 3.0)
            .map_or(1.0, |m| m.value);
        micros(spec.expected_s * ratio).max(SECOND / 10)
    }

    /// How long a task of the job will stay on its machine, without the fetch. A replica of a daemon
    /// stays until it is stopped.
    pub fn expected_stay(&self, spec: &Submission) -> Micros {
        match Shape::of(spec) {
            Some(Shape::Daemon) => FOR_GOOD,
            _ => self.expected_run(spec),
        }
    }

    /// Average boot time of the type: the published one counts as three samples.
    pub fn boot_time(&self, machine_type: &str, startup: Micros) -> Micros {
        match self.boots.get(machine_type) {
            Some(m) => ((m.value * m.weight + startup as f64 * 3.0) / (m.weight + 3.0)) as Micros,
            None => startup,
        }
    }

    /// The record, without the averages of least weight as far as it would be larger than `bytes`.
    pub fn record_within(&self, bytes: usize) -> StatsRecord {
        let mut record = self.record();
        while json_size(&to_value(&record)) > bytes {
            let least = |weights: Vec<f64>| {
                let all = weights.into_iter().enumerate();
                all.min_by(|a, b| a.1.total_cmp(&b.1))
            };
            let run = least(record.runs.iter().map(|r| r.3).collect());
            let ratio = least(record.ratios.iter().map(|r| r.2).collect());
            // What is known by class and type is of less use than what is known by class.
            match (run, ratio) {
                (Some((at, _)), _) => {
                    record.runs.remove(at);
                }
                (None, Some((at, _))) => {
                    record.ratios.remove(at);
                }
                (None, None) if record.boots.pop().is_some() => {}
                (None, None) => break,
            }
        }
        record
    }

    pub fn record(&self) -> StatsRecord {
        StatsRecord {
            runs: self
                .runs
                .iter()
                .map(|((c, t), m)| (c.clone(), t.clone(), m.value as u64, m.weight))
                .collect(),
            boots: self
                .boots
                .iter()
                .map(|(t, m)| (t.clone(), m.value as u64, m.weight))
                .collect(),
            ratios: self
                .ratios
                .iter()
                .map(|(c, m)| (c.clone(), m.value, m.weight))
                .collect(),
        }
    }

    pub fn load(record: &StatsRecord) -> Self {
        let ok = |v: f64, w: f64| v.is_finite() && w.is_finite() && v >= 0.0 && w >= 0.0;
        let mut stats = Stats::default();
        for (c, t, v, w) in &record.runs {
            if ok(*v as f64, *w) {
                let mean = Mean {
                    value: *v as f64,
                    weight: *w,
                };
                stats.runs.insert((c.clone(), t.clone()), mean);
            }
        }
        for (t, v, w) in &record.boots {
            if ok(*v as f64, *w) {
                let mean = Mean {
                    value: *v as f64,
                    weight: *w,
                };
                stats.boots.insert(t.clone(), mean);
            }
        }
        for (c, v, w) in &record.ratios {
            if ok(*v, *w) {
                let mean = Mean {
                    value: *v,
                    weight: *w,
                };
                stats.ratios.insert(c.clone(), mean);
            }
        }
        stats
    }
}

#[cfg(test)]
mod tests;
