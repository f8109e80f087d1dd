//! Loading of a snapshot that an earlier version left in the middle of its work: records, machines, tasks and
//! jobs.
//!
//! The file has a line for each. `record KEY REVISION HEX` is a record of the key-value store; `machine`,
//! `task`, `hire`, `job` and `completed` describe the simulated cluster outside the key-value store.

use super::jobs::{job_of, ObservedJob};
use super::World;
use crate::error::ScriptError;
use crate::machines::{JobFacts, Task, TaskStatus};
use crate::time::Micros;
use crate::unhex;
use grebewood_wire::from_cbor;
use grebewood_wire::http::Submission;
use std::str::FromStr;

/// A line of a snapshot file.
struct SnapshotLine<'a> {
    words: Vec<&'a str>,
}

impl<'a> SnapshotLine<'a> {
    fn word(&self, at: usize) -> Result<&'a str, ScriptError> {
        self.words.get(at).copied().ok_or(ScriptError::MissingWord)
    }

    fn number(&self, at: usize) -> Result<u64, ScriptError> {
        parsed(self.word(at)?)
    }

    fn option(&self, key: &str) -> Result<&'a str, ScriptError> {
        let value = |word: &&'a str| word.strip_prefix(key)?.strip_prefix('=');
        let found = self.words.iter().find_map(value);
        found.ok_or_else(|| ScriptError::MissingOption(key.to_string()))
    }

    fn flag(&self, key: &str) -> Result<bool, ScriptError> {
        Ok(self.option(key)? == "true")
    }

    fn time(&self, key: &str) -> Result<Micros, ScriptError> {
        parsed(self.option(key)?)
    }
}

fn parsed<T: FromStr>(word: &str) -> Result<T, ScriptError> {
    let number = word.parse();
    number.map_err(|_| ScriptError::NotANumber(word.to_string()))
}

fn not_found(kind: &'static str, name: &str) -> ScriptError {
    let name = name.to_string();
    ScriptError::NotFound { kind, name }
}

/// Decodes CBOR that is written in hexadecimal digits.
fn decoded<T: serde::de::DeserializeOwned>(name: &str, hex: &str) -> Result<T, ScriptError> {
    let value = from_cbor(&unhex(hex)?);
    value.map_err(|error| ScriptError::Unreadable {
        file: name.to_string(),
        reason: error.to_string(),
    })
}

impl World {
    /// Loads one line of a snapshot file.
    pub(super) fn load_snapshot_line(&mut self, text: &str) -> Result<(), ScriptError> {
        let words = text.split_whitespace().collect();
        let line = SnapshotLine { words };
        match line.words.first().copied().unwrap_or("#") {
            "record" => {
                let key = line.word(1)?;
                let value = decoded(key, line.word(3)?)?;
                self.store.load(key, value, line.number(2)?);
                Ok(())
            }
            "machine" => self.load_machine(&line),
            "task" => self.load_task(&line),
            "hire" => {
                let machines = line.words[2..].iter().map(|word| word.to_string());
                let name = line.word(1)?.to_string();
                self.cloud.provisions.insert(name, machines.collect());
                Ok(())
            }
            "job" => self.load_job(&line),
            "completed" => {
                let task_name = line.word(1)?;
                let job = job_of(task_name);
                let observed = self.jobs.get_mut(job);
                let observed = observed.ok_or_else(|| not_found("job", job))?;
                observed.completed.insert(task_name.into());
                Ok(())
            }
            "#" | "epoch" | "peer-request" | "peer-answer" => Ok(()),
            other => Err(ScriptError::Unknown(other.to_string())),
        }
    }

    fn load_machine(&mut self, line: &SnapshotLine) -> Result<(), ScriptError> {
        let name = self.provision_machine(line.word(2)?, line.word(3)?, line.word(4)? == "yes");
        if name != line.word(1)? {
            return Err(not_found("next machine", line.word(1)?));
        }
        let boots_at = match line.word(5)? {
            "up" => 0,
            _ => line.number(5)?,
        };
        let machine = self.machine_mut(&name)?;
        machine.boots_at = Some(boots_at);
        machine.incarnation = line.number(6)?;
        machine.sequence = line.number(7)?;
        machine.token = line.number(8)?;
        Ok(())
    }

    fn load_task(&mut self, line: &SnapshotLine) -> Result<(), ScriptError> {
        let word = line.word(4)?;
        let mut statuses = TaskStatus::ALL.into_iter();
        let status = statuses.find(|status| status.as_str() == word);
        let task = Task {
            task_name: line.word(2)?.to_string(),
            attempt: line.number(3)?,
            status: status.ok_or_else(|| not_found("status", word))?,
            cause: (line.word(5)? == "done").then_some("done"),
            checkpointed: false,
            state_ends_at: line.number(6)?,
            cpus: 0.0,
        };
        self.machine_mut(line.word(1)?)?.tasks.push(task);
        Ok(())
    }

    fn load_job(&mut self, line: &SnapshotLine) -> Result<(), ScriptError> {
        let id = line.word(1)?;
        let spec: Submission = decoded(id, line.option("spec")?)?;
        let facts = JobFacts {
            cpus: spec.cpus,
            run_time: line.time("run")?,
            checkpoint_time: line.time("flush")?,
            writes_checkpoints: line.flag("saves")?,
            always_fails: false,
        };
        let tasks = self.machines.values_mut();
        let tasks = tasks.flat_map(|machine| &mut machine.tasks);
        for task in tasks.filter(|task| job_of(&task.task_name) == spec.id) {
            task.cpus = spec.cpus;
        }
        self.job_facts.insert(id.into(), facts);
        let accepted = line.flag("accepted")?;
        let cancelled = line.flag("cancelled")?;
        let observed = ObservedJob {
            accepted,
            cancelled_at: cancelled.then_some(0),
            cancel_requested_at: cancelled.then_some(0),
            known_since: accepted.then_some(0),
            done: line.flag("done")?,
            ..ObservedJob::new(spec, 0)
        };
        self.jobs.insert(id.into(), observed);
        Ok(())
    }
}
