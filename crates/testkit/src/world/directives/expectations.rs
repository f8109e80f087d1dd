//! Directives that check the state of the world at a moment.

use super::super::setup::KIB;
use super::super::World;
use crate::error::{ScenarioError, ScriptError, StepResult};
use crate::machines::TaskStatus;
use crate::script::Directive;
use grebewood_partition::overview::Overview;
use grebewood_partition::PartitionMap;

/// Fails with this text unless the condition holds.
fn ensure(is_met: bool, detail: impl FnOnce() -> String) -> StepResult {
    match is_met {
        true => Ok(()),
        false => Err(ScenarioError::unmet(detail())),
    }
}

impl World {
    /// Carries out a directive that checks something. Returns whether the directive is one.
    pub(super) fn run_expectation(&mut self, directive: &Directive) -> StepResult<bool> {
        match directive.word(0)? {
            "starts" => {
                let (got, wanted) = (self.starts_of(directive)?, directive.number_at(2)?);
                ensure(got == wanted, || {
                    format!("{got} task starts of the job, not {wanted}")
                })?;
            }
            "has_started" => {
                let has_started = self.starts_of(directive)? > 0;
                ensure(has_started, || "no task of the job has started".into())?;
            }
            "leaders" => {
                let got = self.leading_controllers().count();
                let wanted = directive.word(1)?;
                ensure(got.to_string() == wanted, || {
                    format!("{got} controllers lead")
                })?;
            }
            "moves" => {
                let (got, least) = (self.expectations.partition_moves, directive.number_at(1)?);
                ensure(got >= least, || format!("only {got} partitions were moved"))?;
            }
            "partitions" => self.expect_partitions(directive)?,
            "machines" => {
                let got = self.present_machines().count();
                let wanted = directive.word(1)?;
                let detail = || format!("{got} machines are provisioned");
                ensure(got.to_string() == wanted, detail)?;
            }
            "largest_value" => {
                let (size, key) = self.store.largest_value();
                let most = (directive.number("most", 2.0)? * KIB) as usize;
                ensure(size <= most, || format!("{key} has {size} bytes"))?;
            }
            "malformed" => {
                let got = self.store.malformed_transactions;
                let most = directive.count("most", 0)?;
                ensure(got <= most, || format!("{got} transactions were malformed"))?;
            }
            "half_served" => self.check_half_served()?,
            "serving" => self.expect_serving(directive)?,
            "provisioned" => {
                let machine = self.machines.get(directive.word(1)?);
                let is_provisioned = machine.is_some_and(|machine| !machine.is_gone);
                let wanted = directive.word(2)? == "yes";
                let detail = || format!("whether the machine is provisioned: {is_provisioned}");
                ensure(is_provisioned == wanted, detail)?;
            }
            "record" => {
                let is_present = self.store.contains_key(directive.word(1)?);
                let wanted = directive.word(2)? == "yes";
                let detail = || format!("whether the key-value store has the record: {is_present}");
                ensure(is_present == wanted, detail)?;
            }
            _ => return Ok(false),
        }
        Ok(true)
    }

    /// Returns how often tasks of the job that a directive names have started on machines.
    fn starts_of(&self, directive: &Directive) -> Result<u64, ScriptError> {
        let job = self.jobs.get(directive.word(1)?);
        Ok(job.map_or(0, |job| job.starts))
    }

    fn expect_partitions(&self, directive: &Directive) -> StepResult {
        let wanted: usize = directive.number_at(1)?;
        let phase = directive.word(2)?;
        let got = self.partition_phases();
        let matching = got.iter().filter(|known| **known == phase).count();
        let all = got.len() == wanted && matching == wanted;
        ensure(all, || {
            format!("the phases of the partitions are {}", got.join(", "))
        })
    }

    /// Returns the phases of all partitions on record.
    fn partition_phases(&self) -> Vec<&'static str> {
        let mut map = PartitionMap::default();
        for (key, value, mod_revision) in self.store.entries_with_prefix("partition/") {
            // The map itself reports a record that cannot be read.
            let _ = map.apply_put(key, value, mod_revision);
        }
        let overview = Overview::of(&map, None, 0);
        overview.partitions.iter().map(|row| row.phase).collect()
    }

    fn expect_serving(&self, directive: &Directive) -> StepResult {
        let prefix = format!("{}/", directive.word(1)?);
        let zone = directive.options.get("zone");
        let machines = self.present_machines().filter(|machine| machine.is_up);
        let machines = machines.filter(|machine| zone.is_none_or(|zone| *zone == machine.zone));
        let tasks = machines.flat_map(|machine| machine.live_tasks());
        let serving = tasks
            .filter(|task| {
                task.status == TaskStatus::Running && task.task_name.starts_with(&prefix)
            })
            .count();
        let wanted = directive.word(2)?;
        let detail = || format!("{serving} tasks of the job run");
        ensure(serving.to_string() == wanted, detail)
    }
}
