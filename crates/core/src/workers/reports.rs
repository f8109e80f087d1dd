//! Reports: what they say of a machine and of the tasks on it.

use super::*;

impl Lead {
    /// Takes in a report. Returns false if a newer one is known already.
    pub(super) fn on_report(&mut self, cx: &mut Ctx, report: Report, source: Source) -> bool {
        let now = cx.now.steady;
        let name = report.perch.clone();
        if !self.machines.contains_key(&name) {
            let mut machine = Machine::new(&report, cx.machine_type(&report.build), now);
            // One that we wait for gets work at once; of others it must be seen first that our
            // answers reach them.
            machine.hears = self.fleet.is_booting(&name);
            self.machines.insert(name.clone(), machine);
        }
        self.machine_is_up(cx, &report);
        let Some(m) = self.machines.get_mut(&name) else {
            return false;
        };
        if (report.tenure, report.tally) <= (m.tenure, m.tally) {
            return false;
        }
        // Known from state only until now, or reported before the machine types were known: a
        // machine without its type's room would stay empty for good.
        if m.endpoint.is_empty() || m.cpus <= 0.0 {
            let known = Machine::new(&report, cx.machine_type(&report.build), now);
            *m = Machine {
                assignments: std::mem::take(&mut m.assignments),
                used: m.used,
                reaps: std::mem::take(&mut m.reaps),
                tenure: m.tenure,
                tally: m.tally,
                knows_token: m.knows_token,
                closing: m.closing,
                emptying: m.emptying,
                listed: m.listed,
                hears: m.hears,
                deaf_since: m.deaf_since,
                ..known
            };
        }
        m.endpoint = report.endpoint.clone();
        m.last_report = now;
        m.recall_at = report.recall_s.map(|s| now + micros(s));
        let new_tenure = report.tenure > m.tenure;
        m.tenure = report.tenure;
        m.tally = report.tally;
        if source == Source::Checkin {
            m.checkin = (report.tenure, report.tally);
            m.last_checkin = now;
        }
        if report.warrant == self.token {
            // Until it saw our token, answers of an earlier leader that does not know of its end
            // renewed its lease; a check-in's own answer is yet to come.
            if !m.knows_token && source == Source::Direct {
                m.last_answer = now;
            }
            m.knows_token = true;
        }
        // A worker that has our answer reports here again well before the time after which one
        // without an answer gives up and goes elsewhere.
        let in_time = now.saturating_sub(m.last_answer) < ANSWER_TIME;
        if source == Source::Checkin && m.knows_token && in_time && !new_tenure {
            m.hears = true;
            m.deaf_since = None;
        }
        if new_tenure && report.tenure > 1 {
            m.hears = false;
        }
        if new_tenure {
            m.reaps.clear();
            // A new session: the worker has killed and forgotten every task of the earlier ones.
            while let Some(at) = self.position(&name, |a| a.tenure < report.tenure) {
                self.free(cx, &name, at);
            }
        }
        if report.warrant == self.token {
            self.take_tasks(cx, &report, source);
        }
        if report.recall_s.is_some() {
            // Nothing is launched here any more: what waited for its record once waited on until
            // the machine was gone.
            self.free_unlaunched(cx, &name);
            self.drain_recalled(cx, &name);
            self.move_replicas(cx, &name);
        }
        let mut deaf = false;
        if let Some(m) = self.machines.get_mut(&name) {
            if !m.assignments.is_empty() {
                m.idle_since = now;
            }
            if !m.hears {
                deaf = true;
                let since = *m.deaf_since.get_or_insert(now);
                if now.saturating_sub(since) > 2 * cx.settings.lease && !m.closing {
                    info!("{name}: reports, but no answer reaches it; to be returned");
                    m.closing = true;
                    self.fleet.release(&name, now);
                }
            }
        }
        if deaf {
            self.free_unlaunched(cx, &name);
        }
        true
    }

    /// Frees what was placed on a machine but not launched: it can only be launched by an answer
    /// that reaches the worker.
    pub(super) fn free_unlaunched(&mut self, cx: &mut Ctx, name: &str) {
        while let Some(at) = self.position(name, |a| a.launched.is_none()) {
            self.free(cx, name, at);
        }
    }

    /// Compares a report, which has seen our token, with what should be on the machine.
    pub(super) fn take_tasks(&mut self, cx: &mut Ctx, report: &Report, source: Source) {
        let now = cx.now.steady;
        let name = &report.perch;
        for s in &report.shards {
            let Some((job_id, task)) = parse_task(&s.shard) else {
                warn!("{name}: task {:?} is not of the form job/number", s.shard);
                continue;
            };
            let at = self.position(name, |a| {
                a.attempt == s.attempt && a.task == task && a.job_id == job_id
            });
            let exited = s.status == "exited";
            match at {
                Some(at) if exited => {
                    self.exited(cx, name, at, s.cause.as_deref().unwrap_or(""), &s.shard)
                }
                Some(at) => {
                    let Some(m) = self.machines.get_mut(name) else {
                        return;
                    };
                    let a = &mut m.assignments[at];
                    let before = a.seen;
                    a.seen = match s.status.as_str() {
                        "running" => Seen::Running,
                        "saving" => Seen::Saving,
                        _ => Seen::Fetching,
                    };
                    if a.seen == Seen::Running && a.started.is_none() {
                        // When a task of an earlier leader began is not known: halfway, say.
                        let ran = if a.recovered() { a.expected / 2 } else { 0 };
                        a.started = Some(now.saturating_sub(ran));
                    }
                    let (ix, seen) = (a.job, a.seen);
                    self.count_running(now, ix, before, seen);
                }
                None if exited => self.exited_unknown(cx, name, job_id, task, s),
                None => self.foreign(cx, report, job_id, task, s),
            }
        }
        let listed = |shard: &str, attempt: u64| {
            report
                .shards
                .iter()
                .any(|s| s.attempt == attempt && s.shard == shard)
        };
        if let Some(m) = self.machines.get_mut(name) {
            m.reaps.retain(|r| listed(&r.shard, r.attempt));
        }
        if source == Source::Direct {
            // The answer to a check-in may still bring a launch: absence proves nothing here.
            return;
        }
        let newest = (report.tenure, report.tally);
        let mut lost = false;
        let mut at = 0;
        while let Some(a) = self
            .machines
            .get_mut(name)
            .and_then(|m| m.assignments.get_mut(at))
        {
            let absent = a.launched.is_some_and(|l| l < newest)
                && !listed(&format!("{}/{}", a.job_id, a.task), a.attempt);
            if !absent {
                at += 1;
            } else if a.seen == Seen::Never && a.stop.is_none() && !a.recovered() {
                // The answer with the launch was lost and is never carried out late: it may be
                // sent again, under the same attempt, once answers arrive.
                a.launched = None;
                lost = true;
                at += 1;
            } else {
                // A later report that has seen our token, without the task: it is gone.
                self.free(cx, name, at);
            }
        }
        if let (true, Some(m)) = (lost, self.machines.get_mut(name)) {
            m.hears = false;
        }
    }

    /// Counts a task of the job that began or ceased to run, as far as seen.
    pub(super) fn count_running(&mut self, at: Micros, ix: JobIx, before: Seen, now: Seen) {
        let (was, is) = (before == Seen::Running, now == Seen::Running);
        if was == is {
            return;
        }
        if let Some(job) = self.jobs.get_mut(ix) {
            if is && job.began_at.is_none() {
                job.began_at = Some(job.age(at));
            }
            if is && job.running == 0 {
                job.running_well_since = at;
            }
            job.running = match is {
                true => job.running + 1,
                false => job.running.saturating_sub(1),
            };
            self.progress_dirty.insert(ix);
        }
    }
}
