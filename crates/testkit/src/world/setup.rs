//! The setup lines of a script, and what an earlier version left in the key-value store.

use super::*;

impl World {
    pub(super) fn apply_setup(
        &mut self,
        line: &Directive,
        controllers: &mut usize,
    ) -> Result<(), String> {
        match line.word(0)? {
            "nodes" => {
                *controllers = line
                    .word(1)?
                    .parse()
                    .map_err(|_| format!("line {}: no number", line.number))?;
            }
            "workers" => {
                let s = &mut self.settings;
                s.heartbeat_interval = line.time("report", 1.5)?;
                s.agent_lease = line.time("lease", 10.0)?;
                s.cancel_timeout = line.time("cancel", 30.0)?;
            }
            "state" => {
                let s = self.settings.store;
                self.settings.store = limits_of(line, "", s)?;
                if line.options.keys().any(|k| k.starts_with("next_")) {
                    self.next_limits = Some(limits_of(line, "next_", self.settings.store)?);
                }
            }
            "tuning" => {
                for (key, value) in &line.options {
                    let set = self.tuning.set(key, value);
                    set.map_err(|e| format!("line {}: {e}", line.number))?;
                }
            }
            "old" => {
                for word in &line.words[1..] {
                    let n = word.parse();
                    self.previous_version
                        .insert(n.map_err(|_| format!("line {}: no node", line.number))?);
                }
            }
            "store" => {
                let name = line.word(1)?;
                let path = format!("{}/data/{name}.txt", env!("CARGO_MANIFEST_DIR"));
                let text = std::fs::read_to_string(&path).map_err(|e| format!("{path}: {e}"))?;
                for (i, line) in text.lines().enumerate() {
                    self.load(line)
                        .map_err(|e| format!("{path}: line {}: {e}", i + 1))?;
                }
                self.wall_clock_start = WALL_CLOCK_START + line.time("age", 0.0)?;
            }
            "aim" => {
                let aim = Objective {
                    kind: line.word(1)?.into(),
                    class: line.word(2)?.into(),
                    within: Some(line.time("within", 60.0)?),
                    share: 0.9,
                    after: None,
                    worst: None,
                };
                self.settings.objectives.push(aim);
            }
            "team" => {
                let team = Team {
                    cpus: line.number("cpus", 0.0)?,
                    cpus_max: line.number("max", 0.0)?,
                    gpus: line.number("gpus", 0.0)?,
                    gpus_max: line.number("gmax", 0.0)?,
                };
                self.settings.teams.insert(line.word(1)?.into(), team);
            }
            "type" => {
                let name = line.word(1)?.to_string();
                self.boot = line.time("boot", 10.0)?;
                self.types.push(MachineType {
                    name: name.clone(),
                    cpus: line.number("cpus", 8.0)?,
                    gpus: line.number("gpus", 0.0)?,
                    memory_gb: line.number("mem", 32.0)?,
                    local_gb: Some(50.0),
                    fetch_gb_per_s: Some(1.0),
                    price: line.number("price", 1.0)?,
                    spot_price: Some(line.number("spot", 0.3)?),
                    boot_s: line.number("boot", 10.0)?,
                    zones: line
                        .text("zones", "a")
                        .split(',')
                        .map(str::to_string)
                        .collect(),
                });
                self.capacity
                    .insert((name.clone(), false), line.number("cap", 4.0)? as u64);
                self.capacity
                    .insert((name, true), line.number("spotcap", 0.0)? as u64);
            }
            "check" => self.apply_check_setup(line)?,
            "machines" => {
                for _ in 0..line.number("count", 1.0)? as u64 {
                    let name = self.provision(
                        line.word(1)?,
                        &line.text("zone", "a"),
                        line.yes("spot", false),
                    );
                    if let Some(m) = self.machines.get_mut(&name) {
                        m.boots_at = Some(0);
                    }
                }
            }
            other => return Err(format!("line {}: {other}: unknown", line.number)),
        }
        Ok(())
    }

    /// Takes in one line of what an earlier version left.
    pub(super) fn load(&mut self, line: &str) -> Result<(), String> {
        let words: Vec<&str> = line.split_whitespace().collect();
        let word = |at: usize| {
            words
                .get(at)
                .copied()
                .ok_or("a word is missing".to_string())
        };
        let number = |at: usize| {
            word(at).and_then(|w| w.parse::<u64>().map_err(|_| format!("{w}: no number")))
        };
        let option = |key: &str| {
            let found = words
                .iter()
                .find_map(|w| w.strip_prefix(key)?.strip_prefix('='));
            found.ok_or(format!("{key} is missing"))
        };
        match words.first().copied().unwrap_or("#") {
            "record" => {
                let value = from_cbor(&unhex(word(3)?)?).map_err(|e| e.to_string())?;
                self.state.load(word(1)?, value, number(2)?);
            }
            "machine" => {
                let name = self.provision(word(2)?, word(3)?, word(4)? == "yes");
                if name != word(1)? {
                    return Err(format!("{name} is not the next machine"));
                }
                let Some(m) = self.machines.get_mut(&name) else {
                    return Err("no such machine".into());
                };
                m.boots_at = Some(if word(5)? == "up" { 0 } else { number(5)? });
                (m.incarnation, m.sequence, m.token) = (number(6)?, number(7)?, number(8)?);
            }
            "task" => {
                let task_name = word(2)?.to_string();
                let status = ["fetching", "running", "saving", "exited"];
                let status = status.into_iter().find(|s| word(4) == Ok(s));
                let task = Task {
                    attempt: number(3)?,
                    status: status.ok_or("no such state")?,
                    cause: (word(5)? == "done").then_some("done"),
                    checkpointed: false,
                    ends: number(6)?,
                    cpus: 0.0,
                    task_name,
                };
                let m = self.machine_mut(word(1)?)?;
                m.tasks.push(task);
            }
            "hire" => {
                let machines = words[2..].iter().map(|w| w.to_string()).collect();
                self.provisions.insert(word(1)?.into(), machines);
            }
            "job" => {
                let yes = |key: &str| option(key).map(|v| v == "true");
                let time = |key: &str| {
                    let text = option(key)?;
                    text.parse::<Micros>()
                        .map_err(|_| format!("{key}: no time"))
                };
                let spec: Submission =
                    from_cbor(&unhex(option("spec")?)?).map_err(|e| e.to_string())?;
                let facts = JobFacts {
                    cpus: spec.cpus,
                    run: time("run")?,
                    flush: time("flush")?,
                    saves: yes("saves")?,
                    fails: false,
                };
                let tasks = self.machines.values_mut().flat_map(|m| &mut m.tasks);
                let prefix = format!("{}/", spec.id);
                for t in tasks.filter(|t| t.task_name.starts_with(&prefix)) {
                    t.cpus = spec.cpus;
                }
                self.facts.insert(word(1)?.into(), facts);
                let observed = ObservedJob {
                    spec,
                    accepted: yes("accepted")?,
                    cancelled_at: yes("cancelled")?.then_some(0),
                    cancel_requested_at: yes("cancelled")?.then_some(0),
                    known_since: yes("accepted")?.then_some(0),
                    done: yes("done")?,
                    completed: BTreeSet::new(),
                    starts: 0,
                    last_start: 0,
                    submitted: 0,
                    first_start: None,
                    answered: 0,
                    completed_at: None,
                };
                self.jobs.insert(word(1)?.into(), observed);
            }
            "completed" => {
                let task_name = word(1)?;
                let job = task_name.rsplit_once('/').map_or("", |(j, _)| j);
                let observed = self.jobs.get_mut(job).ok_or("no such job")?;
                observed.completed.insert(task_name.into());
            }
            "#" | "epoch" | "peer-request" | "peer-answer" => {}
            other => return Err(format!("{other}: unknown")),
        }
        Ok(())
    }

    pub(super) fn provision(&mut self, machine_type: &str, zone: &str, spot: bool) -> String {
        let name = format!("n-{:06}", self.next_machine);
        self.next_machine += 1;
        let unknown = MachineType {
            name: machine_type.into(),
            cpus: 0.0,
            gpus: 0.0,
            memory_gb: 0.0,
            local_gb: None,
            fetch_gb_per_s: None,
            price: 0.0,
            spot_price: None,
            boot_s: 0.0,
            zones: Vec::new(),
        };
        let kind = self.types.iter().find(|t| t.name == machine_type);
        let m = Machine {
            spot,
            requested: self.now,
            boots_at: (!self.boots_never).then_some(self.now + self.boot),
            controller: self.next_machine as usize % 3,
            ..Machine::new(&name, kind.unwrap_or(&unknown), zone)
        };
        self.machines.insert(name.clone(), m);
        name
    }
}
