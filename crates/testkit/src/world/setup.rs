//! The setup lines of a scenario.

use super::configuration::{objective_within, WALL_CLOCK_START_US};
use super::World;
use crate::error::{ScenarioError, ScriptError, StepResult};
use crate::script::Directive;
use grebewood_core::settings::StoreLimits;
use grebewood_core::Team;
use grebewood_wire::http::MachineType;

/// Bytes in a KiB, the unit of sizes in scenarios.
pub(super) const KIB: f64 = 1024.0;
/// The size of each machine's local disk, in GB.
const LOCAL_DISK_GB: f64 = 50.0;
/// The rate at which each machine fetches images, in GB a second.
const FETCH_GB_PER_S: f64 = 1.0;

/// Reads limits of the key-value store from a directive's options. A limit without an option keeps its current
/// value.
pub(super) fn store_limits(
    directive: &Directive,
    prefix: &str,
    current: StoreLimits,
) -> Result<StoreLimits, ScriptError> {
    let number = |key: &str, default| directive.number(&format!("{prefix}{key}"), default);
    Ok(StoreLimits {
        rps: number("rps", current.rps)?,
        write_rps: number("writes", current.write_rps)?,
        value_bytes: (number("value", current.value_bytes as f64 / KIB)? * KIB) as usize,
        transaction_operations: number("ops", current.transaction_operations as f64)? as usize,
    })
}

impl World {
    /// Carries out a setup line.
    pub(super) fn apply_setup(&mut self, directive: &Directive) -> StepResult {
        match directive.word(0)? {
            "controllers" => self.configuration.controllers = directive.number_at(1)?,
            "agents" => self.set_up_agents(directive)?,
            "store" => self.set_up_store(directive)?,
            "tuning" => self.set_up_tuning(directive)?,
            "previous_version" => {
                for index in 1..directive.words.len() {
                    let controller = directive.number_at(index)?;
                    self.configuration.previous_version.insert(controller);
                }
            }
            "snapshot" => self.set_up_snapshot(directive)?,
            "objective" => {
                let within = directive.duration("within", 60.0)?;
                let objective = objective_within(directive.word(1)?, directive.word(2)?, within);
                self.configuration.settings.objectives.push(objective);
            }
            "team" => self.set_up_team(directive)?,
            "type" => self.set_up_machine_type(directive)?,
            "check" => self.set_up_check(directive)?,
            "machines" => self.set_up_machines(directive)?,
            other => return Err(ScriptError::Unknown(other.to_string()).into()),
        }
        Ok(())
    }

    fn set_up_agents(&mut self, directive: &Directive) -> Result<(), ScriptError> {
        let settings = &mut self.configuration.settings;
        settings.heartbeat_interval = directive.duration("heartbeat", 1.5)?;
        settings.agent_lease = directive.duration("lease", 10.0)?;
        settings.cancel_timeout = directive.duration("cancel", 30.0)?;
        Ok(())
    }

    fn set_up_store(&mut self, directive: &Directive) -> Result<(), ScriptError> {
        let configuration = &mut self.configuration;
        let limits = store_limits(directive, "", configuration.settings.store)?;
        configuration.settings.store = limits;
        if directive.options.keys().any(|key| key.starts_with("next_")) {
            configuration.next_limits = Some(store_limits(directive, "next_", limits)?);
        }
        Ok(())
    }

    fn set_up_tuning(&mut self, directive: &Directive) -> Result<(), ScriptError> {
        for (key, value) in &directive.options {
            let set = self.configuration.tuning.set(key, value);
            set.map_err(|error| ScriptError::Setting(error.to_string()))?;
        }
        Ok(())
    }

    /// Loads the records, machines, tasks and jobs that an earlier version left in the middle of its work.
    fn set_up_snapshot(&mut self, directive: &Directive) -> StepResult {
        let name = directive.word(1)?;
        let path = format!("{}/data/{name}.txt", env!("CARGO_MANIFEST_DIR"));
        let text = std::fs::read_to_string(&path).map_err(|error| ScriptError::Unreadable {
            file: path.clone(),
            reason: error.to_string(),
        })?;
        for (index, line) in text.lines().enumerate() {
            let loaded = self.load_snapshot_line(line);
            loaded.map_err(|error| {
                let reason = ScenarioError::from(error).at_line(index + 1);
                ScriptError::Unreadable {
                    file: path.clone(),
                    reason: reason.to_string(),
                }
            })?;
        }
        let age = directive.duration("age", 0.0)?;
        self.configuration.wall_clock_start = WALL_CLOCK_START_US + age;
        Ok(())
    }

    fn set_up_team(&mut self, directive: &Directive) -> Result<(), ScriptError> {
        let team = Team {
            cpus: directive.number("cpus", 0.0)?,
            cpus_max: directive.number("cpus_max", 0.0)?,
            gpus: directive.number("gpus", 0.0)?,
            gpus_max: directive.number("gpus_max", 0.0)?,
        };
        let name = directive.word(1)?.to_string();
        self.configuration.settings.teams.insert(name, team);
        Ok(())
    }

    fn set_up_machine_type(&mut self, directive: &Directive) -> Result<(), ScriptError> {
        let name = directive.word(1)?.to_string();
        let zones = directive.text("zones", "a");
        self.cloud.boot_time = directive.duration("boot", 10.0)?;
        self.cloud.machine_types.push(MachineType {
            name: name.clone(),
            cpus: directive.number("cpus", 8.0)?,
            gpus: directive.number("gpus", 0.0)?,
            memory_gb: directive.number("mem", 32.0)?,
            local_gb: Some(LOCAL_DISK_GB),
            fetch_gb_per_s: Some(FETCH_GB_PER_S),
            price: directive.number("price", 1.0)?,
            spot_price: Some(directive.number("spot", 0.3)?),
            boot_s: directive.number("boot", 10.0)?,
            zones: zones.split(',').map(str::to_string).collect(),
        });
        let capacity = &mut self.cloud.capacity;
        capacity.insert((name.clone(), false), directive.count("cap", 4)?);
        capacity.insert((name, true), directive.count("spotcap", 0)?);
        Ok(())
    }

    fn set_up_machines(&mut self, directive: &Directive) -> Result<(), ScriptError> {
        let zone = directive.text("zone", "a");
        let spot = directive.flag("spot", false);
        for _ in 0..directive.count("count", 1)? {
            let name = self.provision_machine(directive.word(1)?, &zone, spot);
            self.machine_mut(&name)?.boots_at = Some(0);
        }
        Ok(())
    }
}
