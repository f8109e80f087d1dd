//! Which task goes to which machine.
//!
//! A round serves jobs by priority, guarantee and deadline, each as far as its team's limit and
//! the free room allow. It has a time budget: a round that runs out of it goes on with the next
//! job the next time.

use crate::jobs::{fits_type, rank, Job, JobIx, Shape, EPS};
use crate::leadership::Lead;
use crate::ledger::Rec;
use crate::node::Ctx;
use crate::workers::{leeway, Assignment, Machine, Seen};
use crate::{micros, Micros, Stopwatch, SECOND};
use grebewood_wire::http::{Precedence, Submission};
use grebewood_wire::records::{MachineAssignments, PageRecord};
use log::debug;
use std::collections::BTreeMap;

/// A page of assignments: which machines are on it, and how large it is.
#[derive(Clone, Debug, Default)]
pub struct Page {
    machines: BTreeMap<String, usize>,
    bytes: usize,
    /// Its record cannot be read; it is kept as it is.
    pub broken: bool,
}

impl Page {
    /// Upper bounds of what an assignment and a machine take in the record's JSON form.
    fn assignment_size(a: &Assignment) -> usize {
        a.job_id.len() + 36
    }

    fn machine_size(machine: &str, a: &Assignment) -> usize {
        machine.len() + a.zone.len() + 60
    }

    pub fn add(&mut self, machine: &str, a: &Assignment) {
        let n = self.machines.entry(machine.to_string()).or_insert(0);
        if *n == 0 {
            self.bytes += Page::machine_size(machine, a);
        }
        *n += 1;
        self.bytes += Page::assignment_size(a);
    }

    pub fn remove(&mut self, machine: &str, a: &Assignment) {
        let Some(n) = self.machines.get_mut(machine) else {
            return;
        };
        *n -= 1;
        let mut freed = Page::assignment_size(a);
        if *n == 0 {
            self.machines.remove(machine);
            freed += Page::machine_size(machine, a);
        }
        self.bytes = self.bytes.saturating_sub(freed);
    }
}

/// State of the rounds.
#[derive(Clone, Debug, Default)]
pub struct Placement {
    pub next_at: Micros,
    /// Rounds keep at least their interval.
    not_before: Micros,
    /// Something changed that may let a task be placed.
    pub wanted: bool,
    /// Where the last round stopped for lack of time.
    resume: Option<JobIx>,
    /// Nothing is placed before this time: a page could not be read.
    pub quarantine_until: Micros,
    next_preemption: Micros,
}

impl Placement {
    /// Something changed that may let a task be placed: a round is due now.
    pub fn want(&mut self, now: Micros) {
        self.wanted = true;
        self.next_at = self.next_at.min(now.max(self.not_before));
    }
}

/// A machine with its place in the order of preference and its free slots.
type Candidate = (String, (bool, bool, i64), u64);

/// Use of a team: CPUs and accelerators.
type Usage = BTreeMap<String, (f64, f64)>;

impl Lead {
    pub(crate) fn page_mut(&mut self, n: u64) -> &mut Page {
        // Page numbers come from our own keys and are dense; a wild one would only cost room.
        let n = n.min(100_000) as usize;
        if self.pages.len() <= n {
            self.pages.resize(n + 1, Page::default());
        }
        &mut self.pages[n]
    }

    /// A page with room for `count` more assignments; one that will be written anyway if there
    /// is one.
    pub(crate) fn page_with_room(&mut self, count: usize) -> u64 {
        let most = self.page_bytes;
        let fits = |p: &Page| !p.broken && p.bytes + count * 160 <= most;
        let dirty = (0..self.pages.len())
            .find(|n| fits(&self.pages[*n]) && self.ledger.is_dirty(&Rec::Page(*n as u64)));
        let any = dirty.or_else(|| (0..self.pages.len()).find(|n| fits(&self.pages[*n])));
        let n = any.unwrap_or(self.pages.len());
        self.page_mut(n as u64);
        n as u64
    }

    /// The current content of a page.
    pub(crate) fn page_record(&self, n: u64) -> PageRecord {
        let mut record = PageRecord::default();
        let Some(page) = self.pages.get(n as usize) else {
            return record;
        };
        for name in page.machines.keys() {
            let Some(m) = self.machines.get(name) else {
                continue;
            };
            let mut groups: BTreeMap<u64, Vec<(String, u64, u64)>> = BTreeMap::new();
            for a in m.assignments.iter().filter(|a| a.page == n) {
                groups
                    .entry(a.tenure)
                    .or_default()
                    .push((a.job_id.clone(), a.task, a.attempt));
            }
            for (tenure, t) in groups {
                record.machines.push(MachineAssignments {
                    m: name.clone(),
                    tenure,
                    zone: m.zone.clone(),
                    t,
                });
            }
        }
        record
    }

    /// What each team uses, from assignment to proof.
    pub(crate) fn usage(&self) -> Usage {
        let mut usage = Usage::new();
        for a in self.machines.values().flat_map(|m| &m.assignments) {
            match usage.get_mut(&a.team) {
                Some(u) => {
                    u.0 += a.cpus;
                    u.1 += a.gpus;
                }
                None => {
                    usage.insert(a.team.clone(), (a.cpus, a.gpus));
                }
            }
        }
        usage
    }

    /// Time that a job still needs if it gets all the room that its team's limit allows.
    pub(crate) fn need(&self, cx: &Ctx, job: &Job) -> Micros {
        let run = self.stats.expected_run(&job.spec);
        let left = job.tasks().saturating_sub(job.done_count) as f64;
        let team = cx.settings.teams.get(&job.spec.owner);
        let most = team.map_or(left, |t| (t.cpus_max / job.spec.vcpus.max(EPS)).floor());
        let rounds = (left / most.clamp(1.0, 1e6)).max(1.0);
        (run as f64 * rounds) as Micros
    }

    /// The order in which waiting jobs are served: by priority; those that can still meet an aim
    /// before those that cannot; then those with the least work left, since that lets the most
    /// jobs meet their aims when not all of them can.
    fn queue(&self, cx: &Ctx) -> Vec<JobIx> {
        let now = cx.now.steady;
        let mut queue: Vec<((u8, bool, i64), JobIx)> = self
            .jobs
            .iter()
            .filter(|(_, j)| j.waiting() > 0 && j.retry_at <= now)
            .map(|(ix, j)| {
                let need = self.need(cx, j);
                let feasible = j.target(cx, need).is_some();
                let left = j.tasks().saturating_sub(j.done_count) as f64;
                let run = self.stats.expected_run(&j.spec) as f64;
                let work = (left * j.spec.vcpus * run) as i64;
                ((3 - rank(j.spec.precedence), !feasible, work), ix)
            })
            .collect();
        queue.sort();
        queue.into_iter().map(|(_, ix)| ix).collect()
    }

    pub(crate) fn run_placement(&mut self, cx: &mut Ctx, watch: &mut dyn Stopwatch) {
        let now = cx.now.steady;
        if now < self.placement.next_at {
            return;
        }
        self.placement.next_at = now + cx.tuning.placement_interval_us;
        self.placement.not_before = self.placement.next_at;
        if !self.placement.wanted && self.placement.resume.is_none() {
            // Rounds without news are needed only for what time itself changes.
            self.placement.next_at = now + SECOND;
        }
        if now < self.placement.quarantine_until {
            return;
        }
        self.placement.wanted = false;
        let mut usage = self.usage();
        let mut queue = self.queue(cx);
        if let Some(from) = self.placement.resume.take() {
            if let Some(at) = queue.iter().position(|ix| *ix == from) {
                queue.rotate_left(at);
            }
        }
        for ix in queue {
            if watch.elapsed() > cx.tuning.placement_budget_us {
                self.placement.resume = Some(ix);
                debug!("placement: out of time, goes on with the next round");
                break;
            }
            self.place_job(cx, ix, &mut usage);
        }
        if now >= self.placement.next_preemption {
            self.placement.next_preemption = now + SECOND;
            self.preempt(cx, &usage);
        }
    }

    /// Places as many tasks of a job as the team's limit and the machines allow.
    fn place_job(&mut self, cx: &mut Ctx, ix: JobIx, usage: &mut Usage) {
        let now = cx.now.steady;
        let Some(job) = self.jobs.get(ix) else { return };
        let Some(team) = cx.settings.teams.get(&job.spec.owner) else {
            return;
        };
        let spec = job.spec.clone();
        let used = usage.entry(spec.owner.clone()).or_insert((0.0, 0.0));
        let mut left = job.waiting();
        // A job whose tasks keep failing is tried with one task at a time.
        if job.errors >= 3 {
            let live: u32 = job.zones.values().sum();
            left = left.min(1u64.saturating_sub(live as u64));
        }
        let expected = self.stats.expected_run(&spec);
        let silence = cx.settings.report * 3;
        let mut candidates: Vec<Candidate> = self
            .machines
            .values()
            .filter(|m| m.usable(now, silence) && permits(cx, &spec, m))
            .filter(|m| m.kept_until <= now || spec.precedence > Precedence::Idle)
            .filter_map(|m| {
                let slots = slots(m.free(), &spec);
                let (free, _, _) = m.free();
                let key = (!m.has_image(&spec.bundle), !m.spot, (free * 1e3) as i64);
                (slots > 0).then(|| (m.name.clone(), key, slots))
            })
            .collect();
        candidates.sort_by(|a, b| (a.1, &a.0).cmp(&(b.1, &b.0)));
        let fixed_zone = self.fixed_zone(ix, &spec, &candidates);
        let mut together = None;
        if Shape::of(&spec) == Some(Shape::Gang) {
            let room = self.gang_room(ix, &spec, &candidates, fixed_zone.as_deref());
            let quota = used.0 + spec.vcpus * left as f64 <= team.cpus_max + EPS
                && used.1 + spec.accelerators * left as f64 <= team.gpus_max + EPS;
            if room < left || !quota {
                return;
            }
            // The tasks of one start of a gang share its attempt number.
            together = Some(self.next_attempt());
        }
        for (name, _, slots) in candidates {
            let Some(zone) = self.machines.get(&name).map(|m| m.zone.clone()) else {
                continue;
            };
            if fixed_zone.as_ref().is_some_and(|z| *z != zone) {
                continue;
            }
            for _ in 0..slots {
                if left == 0
                    || used.0 + spec.vcpus > team.cpus_max + EPS
                    || used.1 + spec.accelerators > team.gpus_max + EPS
                {
                    return;
                }
                let Some(job) = self.jobs.get_mut(ix) else {
                    return;
                };
                let here = job.zones.get(&zone).copied().unwrap_or(0) as u64;
                if spec.spread && here >= spec.shards.div_ceil(2) {
                    break;
                }
                let Some(task) = job.next_waiting() else {
                    return;
                };
                job.take(task);
                *job.zones.entry(zone.clone()).or_insert(0) += 1;
                if job.waiting() == 0 {
                    job.waiting_since = None;
                }
                left -= 1;
                used.0 += spec.vcpus;
                used.1 += spec.accelerators;
                let attempt = match together {
                    Some(attempt) => attempt,
                    None => self.next_attempt(),
                };
                self.assign(cx, &name, ix, task, &spec, (attempt, expected));
            }
        }
    }

    /// How many tasks of a gang could be placed at once.
    fn gang_room(
        &self,
        ix: JobIx,
        spec: &Submission,
        candidates: &[Candidate],
        fixed_zone: Option<&str>,
    ) -> u64 {
        let mut zones: BTreeMap<&str, u64> = BTreeMap::new();
        for (name, _, slots) in candidates {
            if let Some(m) = self.machines.get(name) {
                if fixed_zone.is_none_or(|z| z == m.zone) {
                    *zones.entry(&m.zone).or_insert(0) += slots;
                }
            }
        }
        let here = |zone: &str| {
            let n = self.jobs.get(ix).and_then(|j| j.zones.get(zone));
            n.copied().unwrap_or(0) as u64
        };
        zones
            .into_iter()
            .map(|(zone, n)| {
                if spec.spread {
                    n.min(spec.shards.div_ceil(2).saturating_sub(here(zone)))
                } else {
                    n
                }
            })
            .sum()
    }

    /// The zone that a `one_zone` job is bound to: where its tasks are, else where most fit.
    fn fixed_zone(&self, ix: JobIx, spec: &Submission, candidates: &[Candidate]) -> Option<String> {
        if !spec.one_zone {
            return None;
        }
        let job = self.jobs.get(ix)?;
        if let Some((zone, _)) = job.zones.iter().find(|(_, n)| **n > 0) {
            return Some(zone.clone());
        }
        let mut room: BTreeMap<&str, u64> = BTreeMap::new();
        for (name, _, slots) in candidates {
            if let Some(m) = self.machines.get(name) {
                *room.entry(&m.zone).or_insert(0) += slots;
            }
        }
        room.into_iter()
            .max_by_key(|(_, n)| *n)
            .map(|(z, _)| z.to_string())
    }

    fn assign(
        &mut self,
        cx: &Ctx,
        name: &str,
        job: JobIx,
        task: u64,
        spec: &Submission,
        (attempt, expected): (u64, Micros),
    ) {
        let now = cx.now.steady;
        let page = self.page_with_room(1);
        let written = self.ledger.touch(Rec::Page(page), now);
        let Some(m) = self.machines.get_mut(name) else {
            return;
        };
        let assignment = Assignment {
            job,
            job_id: spec.uid.clone(),
            task,
            attempt,
            tenure: m.tenure,
            page,
            written,
            cpus: spec.vcpus,
            gpus: spec.accelerators,
            memory: spec.memory_gb,
            team: spec.owner.clone(),
            zone: m.zone.clone(),
            launched: None,
            seen: Seen::Never,
            decided: now,
            started: None,
            expected,
            stop: None,
        };
        m.use_image(&spec.bundle, spec.pull_gb);
        m.idle_since = now;
        m.assignments.push(assignment.clone());
        self.page_mut(page).add(name, &assignment);
    }

    /// Stops tasks of lower priority that can save, for jobs that wait for room or for their
    /// team's quota. Only as much is stopped on a machine as makes room there for a whole task,
    /// and that room is kept from lower priorities until it is taken: narrow tasks that were
    /// stopped for a wide one used to come back into the gap, to be stopped again.
    fn preempt(&mut self, cx: &mut Ctx, usage: &Usage) {
        let now = cx.now.steady;
        let silence = cx.settings.report * 3;
        let mut stopping: BTreeMap<String, f64> = BTreeMap::new();
        let mut future: BTreeMap<String, Room> = BTreeMap::new();
        for m in self.machines.values().filter(|m| m.usable(now, silence)) {
            let mut room = m.free();
            for a in m.assignments.iter().filter(|a| a.stop.is_some()) {
                room = (room.0 + a.cpus, room.1 + a.gpus, room.2 + a.memory);
                *stopping.entry(a.team.clone()).or_insert(0.0) += a.cpus;
            }
            future.insert(m.name.clone(), room);
        }
        let mut stops: Vec<(String, u64, Micros)> = Vec::new();
        for ix in self.queue(cx) {
            let Some(j) = self.jobs.get(ix) else { continue };
            let waited = j.waiting_since.map_or(0, |at| now.saturating_sub(at));
            let spec = &j.spec;
            if spec.precedence == Precedence::Idle
                || j.errors >= 3
                || waited < cx.tuning.preempt_after_us
            {
                continue;
            }
            let Some(team) = cx.settings.teams.get(&spec.owner) else {
                continue;
            };
            let mut need = j.waiting();
            let mut quota = team.cpus_max - usage.get(&spec.owner).map_or(0.0, |u| u.0)
                + stopping.get(&spec.owner).copied().unwrap_or(0.0);
            let task = (spec.vcpus, spec.accelerators, spec.memory_gb);
            // What is free, or will be, is counted first.
            for (name, room) in &mut future {
                if !self
                    .machines
                    .get(name)
                    .is_some_and(|m| permits(cx, spec, m))
                {
                    continue;
                }
                while need > 0 && quota + EPS >= spec.vcpus && slots(*room, spec) > 0 {
                    *room = (room.0 - task.0, room.1 - task.1, room.2 - task.2);
                    quota -= spec.vcpus;
                    need -= 1;
                }
            }
            for (name, room) in &mut future {
                if need == 0 {
                    break;
                }
                let Some(m) = self.machines.get(name) else {
                    continue;
                };
                if !permits(cx, spec, m) {
                    continue;
                }
                let mut victims = self.victims(cx, m, spec);
                victims.retain(|v| !stops.iter().any(|(_, attempt, _)| *attempt == v.attempt));
                while need > 0 {
                    let mut gain = *room;
                    let mut quota_gain = quota;
                    let mut count = 0;
                    for v in &victims {
                        if slots(gain, spec) > 0 && quota_gain + EPS >= spec.vcpus {
                            break;
                        }
                        count += 1;
                        gain = (gain.0 + v.cpus, gain.1 + v.gpus, gain.2 + v.memory);
                        if v.team == spec.owner {
                            quota_gain += v.cpus;
                        }
                    }
                    if slots(gain, spec) == 0 || quota_gain + EPS < spec.vcpus {
                        break;
                    }
                    for v in victims.drain(..count) {
                        stops.push((name.clone(), v.attempt, v.leeway));
                    }
                    *room = (gain.0 - task.0, gain.1 - task.1, gain.2 - task.2);
                    quota = quota_gain - spec.vcpus;
                    need -= 1;
                }
            }
        }
        for (name, attempt, leeway) in stops {
            if let Some(m) = self.machines.get_mut(&name) {
                m.kept_until = now + leeway + 4 * SECOND;
            }
            self.stop_on(cx, &name, leeway, |a| a.attempt == attempt);
        }
    }

    /// Tasks on the machine that may be stopped for a task of the job, the youngest first.
    fn victims(&self, cx: &Ctx, m: &Machine, spec: &Submission) -> Vec<Victim> {
        let now = cx.now.steady;
        let mut victims = Vec::new();
        for a in &m.assignments {
            let Some(job) = self.jobs.get(a.job) else {
                continue;
            };
            let ran = a.started.map_or(0, |at| now.saturating_sub(at));
            // A start counts for an aim only if the task is left alone for 30 s.
            let least_run = match cx.settings.starts_count(&job.spec.workclass) {
                true => 31 * SECOND,
                false => 5 * SECOND,
            };
            if a.stop.is_some()
                || job.spec.precedence >= spec.precedence
                || job.spec.savepoint_s <= 0.0
                || a.seen != Seen::Running
                || ran < least_run
                || a.remaining(now, 0) < 10 * SECOND
            {
                continue;
            }
            victims.push(Victim {
                ran,
                attempt: a.attempt,
                team: a.team.clone(),
                leeway: leeway(micros(job.spec.flush_s)),
                cpus: a.cpus,
                gpus: a.gpus,
                memory: a.memory,
            });
        }
        victims.sort_by_key(|v| (v.team != spec.owner, v.ran, v.attempt));
        victims
    }
}

/// A task that may be stopped for another.
struct Victim {
    ran: Micros,
    attempt: u64,
    team: String,
    leeway: Micros,
    cpus: f64,
    gpus: f64,
    memory: f64,
}

/// CPUs, accelerators and memory.
type Room = (f64, f64, f64);

/// Whether the job permits the machine.
pub(crate) fn permits(cx: &Ctx, spec: &Submission, m: &Machine) -> bool {
    (spec.loaner || !m.spot)
        && spec.yard.as_ref().is_none_or(|y| *y == m.zone)
        && cx
            .machine_type(&m.machine_type)
            .is_some_and(|t| fits_type(spec, t))
}

/// How many tasks of the job fit into the free room.
pub(crate) fn slots(free: (f64, f64, f64), spec: &Submission) -> u64 {
    let fit = |have: f64, need: f64| {
        if need <= EPS {
            f64::MAX
        } else {
            ((have + EPS) / need).floor()
        }
    };
    fit(free.0, spec.vcpus)
        .min(fit(free.1, spec.accelerators))
        .min(fit(free.2, spec.memory_gb))
        .clamp(0.0, 1e5) as u64
}
