//! Checks of the protocol's rules that look at the whole world, at what users are told in which order,
//! and at work that is left waiting.

use super::*;
use grebewood_wire::Value;

/// What is counted and remembered for the checks.
#[derive(Default)]
pub(super) struct Checks {
    /// Starts of tasks whose job was confirmed as cancelled before.
    pub(super) late_starts: u64,
    /// Whether to check that nothing waits beside room, and for how long it may.
    waits: Option<Micros>,
    /// Since when a job has waited for a task while this machine had room for it.
    waiting: BTreeMap<(String, String), Micros>,
    /// Jobs that were submitted by a line of the script as they are.
    raw: BTreeSet<String>,
    /// Events that are beside the script: they must not change what comes in which order.
    out_of_band: u64,
    /// The job that is over and was last asked about.
    last_polled: String,
}

/// Keys of events that are beside the script come after all others of the same moment.
const OUT_OF_BAND: u64 = 1 << 48;
/// The most tasks of a job.
const MAX_TASKS: i128 = 100_000;

fn job_of(task_name: &str) -> &str {
    task_name.rsplit_once('/').map_or("", |(j, _)| j)
}

impl World {
    pub(super) fn apply_check_setup(&mut self, line: &Directive) -> Result<(), String> {
        match line.word(1)? {
            "waits" => self.checks.waits = Some(line.time("for", 90.0)?),
            other => return Err(format!("line {}: {other}: no such check", line.number)),
        }
        Ok(())
    }

    /// Checks a line of the script, if it is one of these.
    pub(super) fn check_directive(&mut self, line: &Directive) -> Result<bool, String> {
        match line.word(0)? {
            "late_starts" => {
                let most = line.number("most", 0.0)? as u64;
                let got = self.checks.late_starts;
                if got > most {
                    return Err(format!("{got} tasks of cancelled jobs started"));
                }
            }
            "no_wait" => {
                if self.checks.waits.is_none() {
                    return Err("nothing is known of it without `check waits`".into());
                }
                let most: f64 = line.word(1)?.parse().map_err(|_| "no number".to_string())?;
                self.check_no_wait((most * 1e6) as Micros)?;
            }
            _ => return Ok(false),
        }
        Ok(true)
    }

    // ---- at each moment ----

    /// Checks what must hold at each moment, over all machines that are not gone: those that hang, are
    /// deaf or are cut off, too.
    pub(super) fn check_invariants(&mut self) -> Result<(), String> {
        let mut on: BTreeMap<&str, &str> = BTreeMap::new();
        for m in self.machines.values().filter(|m| !m.gone) {
            for t in m.live() {
                if let Some(other) = on.insert(&t.task_name, &m.name) {
                    return Err(format!(
                        "ran_twice: {} on {other} and {}",
                        t.task_name, m.name
                    ));
                }
            }
        }
        self.check_quota()?;
        self.check_recorded_limits()?;
        self.measure_idle_grants();
        // Cancelled tasks must be gone in time.
        for m in self.machines.values().filter(|m| !m.gone) {
            for t in m.live() {
                let check_status = self
                    .jobs
                    .get(job_of(&t.task_name))
                    .and_then(|j| j.cancelled_at);
                if check_status.is_some_and(|at| self.now > at + self.settings.cancel_timeout) {
                    return Err(format!("ran_cancelled: {} is on {}", t.task_name, m.name));
                }
            }
        }
        if let (Some(most), true) = (self.checks.waits, self.now >= self.faults_end) {
            self.note_waits();
            self.check_no_wait(most)?;
        }
        Ok(())
    }

    /// What each team's tasks use, on whatever machine.
    pub(super) fn used(&self) -> BTreeMap<&str, (f64, f64)> {
        let mut used = BTreeMap::new();
        let machines = self.machines.values().filter(|m| !m.gone);
        for t in machines.flat_map(|m| m.live()) {
            if let Some(job) = self.jobs.get(job_of(&t.task_name)) {
                let team = used.entry(job.spec.team.as_str()).or_insert((0.0, 0.0));
                *team = (team.0 + t.cpus, team.1 + job.spec.gpus);
            }
        }
        used
    }

    pub(super) fn check_quota(&self) -> Result<(), String> {
        let used = self.used();
        for (team, limit) in &self.settings.teams {
            let (cpus, gpus) = used.get(team.as_str()).copied().unwrap_or_default();
            if cpus > limit.cpus_max + 1e-6 {
                return Err(format!("quota: {team} uses {cpus}"));
            }
            if gpus > limit.gpus_max + 1e-6 {
                return Err(format!("quota: {team} uses {gpus} accelerators"));
            }
        }
        Ok(())
    }

    // ---- work that waits ----

    /// Notes which jobs wait for a task while a machine has room for it, and since when.
    fn note_waits(&mut self) {
        let now = self.now;
        let used = self.used();
        // Of each job: its tasks on machines, in all and by zone.
        let mut live: BTreeMap<&str, BTreeMap<&str, u64>> = BTreeMap::new();
        for m in self.machines.values().filter(|m| !m.gone) {
            for t in m.live() {
                let zones = live.entry(job_of(&t.task_name)).or_default();
                *zones.entry(&m.zone).or_insert(0) += 1;
            }
        }
        let none = BTreeMap::new();
        let mut waits = BTreeMap::new();
        let receives_responses = |m: &&Machine| {
            let until = m.hangs_until.max(m.deaf_until).max(m.unplugged_until);
            let well = !m.faulty && m.reclaim_at.is_none();
            m.up && !m.gone && well && now >= until.max(m.mute_until)
        };
        let rooms: Vec<(&Machine, f64, f64)> = self
            .machines
            .values()
            .filter(receives_responses)
            .map(|m| {
                let memory = self.types.iter().find(|t| t.name == m.machine_type);
                let jobs = m.live().filter_map(|t| self.jobs.get(job_of(&t.task_name)));
                let taken: f64 = jobs.map(|j| j.spec.memory_gb).sum();
                let cpus: f64 = m.live().map(|t| t.cpus).sum();
                let memory = memory.map_or(0.0, |t| t.memory_gb);
                (m, m.cpus - cpus, memory - taken)
            })
            .collect();
        for (id, job) in &self.jobs {
            if !job.accepted || job.done || job.cancel_requested_at.is_some() {
                continue;
            }
            if self.facts.get(id).is_some_and(|f| f.fails) {
                continue;
            }
            let spec = &job.spec;
            let zones = live.get(id.as_str()).unwrap_or(&none);
            let here: u64 = zones.values().sum();
            let missing = spec.tasks.saturating_sub(job.completed.len() as u64 + here);
            // The tasks of a gang start together.
            let together = match spec.shape.as_str() {
                "gang" => missing,
                _ => missing.min(1),
            };
            let limit = self.settings.teams.get(&spec.team);
            let (cpus, gpus) = used.get(spec.team.as_str()).copied().unwrap_or_default();
            let left = limit.map_or(0.0, |l| l.cpus_max) - cpus;
            let gpus_left = limit.map_or(0.0, |l| l.gpus_max) - gpus;
            let over = left + 1e-6 < spec.cpus * together as f64
                || gpus_left + 1e-6 < spec.gpus * together as f64;
            if missing == 0 || over {
                continue;
            }
            let fits = |m: &Machine, cpus: f64, memory: f64| {
                let in_zone = zones.get(m.zone.as_str()).copied().unwrap_or(0);
                let permitted = spec
                    .machine_types
                    .as_ref()
                    .is_none_or(|b| b.contains(&m.machine_type))
                    && spec.zone.as_ref().is_none_or(|y| *y == m.zone)
                    && (spec.spot || !m.spot)
                    && (!spec.one_zone || here == in_zone)
                    && (!spec.spread || in_zone + together <= spec.tasks.div_ceil(2));
                let times = |free: f64, each: f64| match each > 0.0 {
                    true => ((free + 1e-6) / each).max(0.0) as u64,
                    false => u64::MAX,
                };
                match permitted {
                    true => times(cpus, spec.cpus).min(times(memory, spec.memory_gb)),
                    false => 0,
                }
            };
            for (m, cpus, memory) in &rooms {
                // For tasks that start together, room on one machine for all is certain to do.
                if fits(m, *cpus, *memory) >= together {
                    let key = (id.clone(), m.name.clone());
                    // A task of it that starts elsewhere ends one wait and begins the next.
                    let since = self.checks.waiting.get(&key).copied().unwrap_or(now);
                    waits.insert(key, since.max(job.last_start));
                }
            }
        }
        self.checks.waiting = waits;
    }

    /// No job may wait so long for a task while a machine that fits has room for it.
    fn check_no_wait(&self, most: Micros) -> Result<(), String> {
        let mut waiting = self.checks.waiting.iter();
        match waiting.find(|(_, since)| self.now.saturating_sub(**since) >= most) {
            None => Ok(()),
            Some(((job, machine), since)) => Err(format!(
                "waits: {job} has waited for {} s while {machine} has room",
                (self.now - since) / SECOND
            )),
        }
    }

    // ---- what users are told ----

    /// Something positive was said of a job: from now on no question may bring 404, and no repeated
    /// submission a refusal.
    pub(super) fn known(&mut self, job: &str) {
        let now = self.now;
        if let Some(observed) = self.jobs.get_mut(job) {
            observed.known_since.get_or_insert(now);
        }
    }

    /// Checks an answer that denies a job: 404, 400 or 422. The question was sent at that time.
    pub(super) fn check_denial(&self, job: &str, sent: Micros, status: u16) -> Result<(), String> {
        let Some(observed) = self.jobs.get(job) else {
            return Ok(());
        };
        if observed.accepted {
            return Err(format!("forgotten: {job} gets {status}"));
        }
        match observed.known_since.is_some_and(|at| sent >= at) {
            true => Err(format!("went_back: {job} gets {status} though it is known")),
            false => Ok(()),
        }
    }

    /// Checks an answer to a raw request: it is as good as any user's.
    pub(super) fn check_raw_response(
        &mut self,
        method: &str,
        path: &str,
        body: &[u8],
        sent: Micros,
        status: u16,
        answer: &[u8],
    ) -> Result<(), String> {
        if (method, path) == ("POST", "/submissions") && matches!(status, 200 | 201) {
            // A repeat of an accepted job is answered 200 whatever it says.
            let map: BTreeMap<String, Value> = from_cbor(body).unwrap_or_default();
            let repeated = map.get("uid").and_then(|v| v.as_text()).unwrap_or_default();
            if self.jobs.get(repeated).is_some_and(|j| j.accepted) {
                return self.check_status(repeated, &status_in(answer));
            }
            self.check_acceptable(body)?;
            let uid = from_cbor::<Submission>(body).map(|s| s.id);
            self.checks.raw.extend(uid);
            return Ok(());
        }
        let Some(job) = path.strip_prefix("/submissions/") else {
            return Ok(());
        };
        let job = job.strip_suffix("/cancel").unwrap_or(job).to_string();
        if self.checks.raw.contains(&job) {
            return Ok(());
        }
        match status {
            200 => {
                if let (true, Some(observed)) = (method == "POST", self.jobs.get_mut(&job)) {
                    observed.cancel_requested_at.get_or_insert(sent);
                }
                self.check_status(&job, &status_in(answer))
            }
            404 => self.check_denial(&job, sent, status),
            _ => Ok(()),
        }
    }

    /// A submission was accepted: it must have every field, and be able to run.
    pub(super) fn check_acceptable(&self, body: &[u8]) -> Result<(), String> {
        match self.refusal_due(body) {
            None => Ok(()),
            Some(why) => Err(format!("accepted though it must be refused: {why}")),
        }
    }

    /// Why a submission must be refused, by the protocol's words.
    fn refusal_due(&self, body: &[u8]) -> Option<String> {
        let Ok(map) = from_cbor::<BTreeMap<String, Value>>(body) else {
            return Some("it is no map".into());
        };
        let text = |k: &str| match map.get(k) {
            Some(Value::Text(s)) if !s.is_empty() => Ok(s.as_str()),
            _ => Err(format!("{k} is missing or invalid")),
        };
        let amount = |k: &str| match map.get(k) {
            Some(Value::Integer(i)) if i128::from(*i) >= 0 => Ok(i128::from(*i) as f64),
            Some(Value::Float(x)) if x.is_finite() && *x >= 0.0 => Ok(*x),
            _ => Err(format!("{k} is missing or invalid")),
        };
        let optional = |k: &str| match map.get(k) {
            None | Some(Value::Null) => Ok(None),
            Some(_) => text(k).map(Some),
        };
        let read = || -> Result<(), String> {
            for k in ["uid", "workclass", "bundle"] {
                text(k)?;
            }
            for k in ["one_zone", "spread", "loaner"] {
                if !matches!(map.get(k), Some(Value::Bool(_))) {
                    return Err(format!("{k} is missing or invalid"));
                }
            }
            for k in ["pull_gb", "expected_s", "savepoint_s", "flush_s"] {
                amount(k)?;
            }
            if !matches!(map.get("due_s"), None | Some(Value::Null)) {
                amount("due_s")?;
            }
            let shape = text("shape")?;
            if !["batch", "gang", "daemon"].contains(&shape) {
                return Err("shape is unknown".into());
            }
            if !["prod", "high", "normal", "idle"].contains(&text("precedence")?) {
                return Err("precedence is unknown".into());
            }
            let tasks = match map.get("shards") {
                Some(Value::Integer(i)) if (1..=MAX_TASKS).contains(&i128::from(*i)) => {
                    i128::from(*i) as f64
                }
                _ => return Err("shards is missing or invalid".into()),
            };
            let (cpus, gpus) = (amount("vcpus")?, amount("accelerators")?);
            let memory = amount("memory_gb")?;
            let machine_types = match map.get("builds") {
                None | Some(Value::Null) => None,
                Some(Value::Array(a)) => Some(a),
                Some(_) => return Err("builds is invalid".into()),
            };
            let zone = optional("yard")?;
            let Some(team) = self.settings.teams.get(text("owner")?) else {
                return Err("its team is unknown".into());
            };
            let together = if shape == "batch" { 1.0 } else { tasks };
            if cpus * together > team.cpus_max + 1e-6 || gpus * together > team.gpus_max + 1e-6 {
                return Err("it needs more than its team's limit".into());
            }
            let fits = |t: &MachineType| {
                machine_types.is_none_or(|b| b.contains(&Value::Text(t.name.clone())))
                    && zone.is_none_or(|z| t.zones.iter().any(|y| y == z))
                    && cpus <= t.cpus + 1e-6
                    && gpus <= t.gpus + 1e-6
                    && memory <= t.memory_gb + 1e-6
            };
            match self.types.iter().any(fits) {
                true => Ok(()),
                false => Err("a task fits no machine type".into()),
            }
        };
        read().err()
    }

    /// Users ask about what is over, too, and about what nobody submitted: one question each, at a controller
    /// that is up, beside the script.
    pub(super) fn poll_finished_and_unknown(&mut self) {
        let up = self.up_controllers();
        if up.is_empty() {
            return;
        }
        self.checks.out_of_band += 1;
        let controller = up[self.checks.out_of_band as usize % up.len()];
        let over = |j: &ObservedJob| j.done || j.cancelled_at.is_some();
        let after = (
            std::ops::Bound::Excluded(self.checks.last_polled.clone()),
            std::ops::Bound::Unbounded,
        );
        let next = self.jobs.range(after).chain(self.jobs.iter());
        let mut next = next.filter(|(_, j)| over(j));
        let mut jobs = vec!["req-999999".to_string()];
        if let Some((job, _)) = next.next() {
            self.checks.last_polled = job.clone();
            jobs.push(job.clone());
        }
        for job in jobs {
            let event = Event::Request {
                controller,
                interface: Interface::Front,
                method: "GET".into(),
                path: format!("/submissions/{job}"),
                body: Vec::new(),
                requester: Requester::Poll(job, self.now),
            };
            self.checks.out_of_band += 1;
            let key = (
                self.now + MILLISECOND,
                OUT_OF_BAND + self.checks.out_of_band,
            );
            self.queue.insert(key, event);
        }
    }
}
