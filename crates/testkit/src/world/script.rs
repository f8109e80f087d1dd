//! The events of a script.

use super::*;
use grebewood_partition::overview::Overview;
use grebewood_partition::PartitionMap;
use grebewood_wire::http::{from_value, to_value};
use grebewood_wire::records::PartitionRecord;

impl World {
    pub(super) fn controller_named(&self, word: &str) -> Result<usize, String> {
        if word == "leader" {
            return (0..self.controllers.len())
                .find(|n| self.leads(*n))
                .ok_or("nobody leads".into());
        }
        let n = word.trim_start_matches("perch-").parse::<usize>();
        n.ok()
            .filter(|n| *n < self.controllers.len())
            .ok_or(format!("{word}: no such node"))
    }

    pub(super) fn machine_mut(&mut self, name: &str) -> Result<&mut Machine, String> {
        self.machines
            .get_mut(name)
            .ok_or(format!("{name}: no such machine"))
    }

    /// Assigns a partition to the next member that is up, as an operator would: one after the other, by
    /// the number at the end of the word.
    fn move_partition(&mut self, word: &str) -> Result<(), String> {
        let number: usize = word
            .trim_start_matches(char::is_alphabetic)
            .parse()
            .map_err(|_| format!("{word}: no number"))?;
        let records = self
            .state
            .under("partition/")
            .filter_map(|(key, value, _)| {
                let record = from_value::<PartitionRecord>(value).ok()?;
                Some((key.to_string(), record))
            });
        let records: Vec<(String, PartitionRecord)> = records.collect();
        let up = self.up_controllers();
        if records.is_empty() || up.is_empty() {
            return Ok(());
        }
        let (key, mut record) = records[number % records.len()].clone();
        let now = up
            .iter()
            .position(|n| record.holder == format!("perch-{n}"));
        let next = up[(now.unwrap_or(0) + 1) % up.len()];
        record.holder = format!("perch-{next}");
        self.state.write(&key, to_value(&record));
        self.moves += 1;
        Ok(())
    }

    /// The phases of all partitions on record.
    fn partition_phases(&self) -> Vec<&'static str> {
        let mut map = PartitionMap::default();
        for (key, value, mod_revision) in self.state.under("partition/") {
            // What cannot be read is told by the map itself.
            let _ = map.put(key, value, mod_revision);
        }
        let overview = Overview::of(&map, None, 0);
        overview.partitions.iter().map(|row| row.phase).collect()
    }

    pub(super) fn script(&mut self, line: Directive) -> Result<(), String> {
        let now = self.now;
        if self.inject_fault(&line)?
            || self.check_directive(&line)?
            || self.limits_directive(&line)?
        {
            return Ok(());
        }
        match line.word(0)? {
            "submit" => {
                let job = line.word(1)?.to_string();
                if !self.jobs.contains_key(&job) {
                    self.add_job(&job, &line)?;
                }
                let controller = self.requested_controller(&line)?;
                self.submit(&job, controller);
            }
            "cancel" => {
                let controller = self.requested_controller(&line)?;
                self.cancel(line.word(1)?, controller);
            }
            "expect" => {
                let (job, status) = (line.word(1)?.to_string(), line.word(2)?.to_string());
                for n in self.up_controllers() {
                    self.expected += 1;
                    let requester =
                        Requester::Expect(job.clone(), status.clone(), line.number, now);
                    self.ask(
                        n,
                        "GET",
                        format!("/submissions/{job}"),
                        Vec::new(),
                        requester,
                    );
                }
            }
            "request" => {
                let status = line.word(3)?.parse().map_err(|_| "no status".to_string())?;
                let body = match line.words.get(4) {
                    None => Vec::new(),
                    Some(hex) => unhex(hex)?,
                };
                for n in self.up_controllers() {
                    self.expected += 1;
                    let (method, path) = (line.word(1)?.to_string(), line.word(2)?.to_string());
                    let requester = Requester::Raw {
                        wanted: status,
                        line: line.number,
                        method: method.clone(),
                        path: path.clone(),
                        body: body.clone(),
                        sent: now,
                    };
                    self.ask(n, &method, path, body.clone(), requester);
                }
            }
            "starts" => {
                let got = self.jobs.get(line.word(1)?).map_or(0, |j| j.starts);
                let wanted: u64 = line.word(2)?.parse().map_err(|_| "no number".to_string())?;
                if got != wanted {
                    return Err(format!("{got} starts, not {wanted}"));
                }
            }
            "begun" => {
                if self.jobs.get(line.word(1)?).is_none_or(|j| j.starts == 0) {
                    return Err("it has not begun".into());
                }
            }
            "leaders" => {
                let got = (0..self.controllers.len())
                    .filter(|n| self.leads(*n))
                    .count();
                if got.to_string() != line.word(1)? {
                    return Err(format!("{got} nodes lead"));
                }
            }
            "moves" => {
                let least: u64 = line.word(1)?.parse().map_err(|_| "no number".to_string())?;
                if self.moves < least {
                    return Err(format!("only {} moves", self.moves));
                }
            }
            "partitions" => {
                let wanted: usize = line.word(1)?.parse().map_err(|_| "no number".to_string())?;
                let phase = line.word(2)?;
                let got = self.partition_phases();
                let matching = got.iter().filter(|p| **p == phase).count();
                if got.len() != wanted || matching != wanted {
                    return Err(format!("partitions are {}", got.join(", ")));
                }
            }
            "move" => self.move_partition(line.word(1)?)?,
            "downgrade" => {
                let n = self.controller_named(line.word(1)?)?;
                self.previous_version.insert(n);
                let crash = Directive {
                    words: vec!["crash".into(), n.to_string()],
                    ..line
                };
                return self.script(crash);
            }
            "machines" => {
                let got = self.machines.values().filter(|m| !m.gone).count();
                if got.to_string() != line.word(1)? {
                    return Err(format!("{got} machines are rented"));
                }
            }
            "upgrade" => {
                let n = self.controller_named(line.word(1)?)?;
                self.previous_version.remove(&n);
                let crash = Directive {
                    words: vec!["crash".into(), n.to_string()],
                    ..line
                };
                return self.script(crash);
            }
            "limits" => {
                let limits =
                    limits_of(&line, "", self.state.limits.unwrap_or(self.settings.store))?;
                self.push(now, Event::StoreLimits(limits));
            }
            "busy" => self.state.busy_until = now + line.time("for", 10.0)?,
            "largest" => {
                let (size, key) = self.state.largest();
                let most = (line.number("most", 2.0)? * 1024.0) as usize;
                if size > most {
                    return Err(format!("{key} has {size} bytes"));
                }
            }
            "refused" => {
                let most = line.number("most", 0.0)? as u64;
                if self.state.refused > most {
                    return Err(format!("{} requests were malformed", self.state.refused));
                }
            }
            "halves" => self.check_half_served()?,
            "serving" => {
                let prefix = format!("{}/", line.word(1)?);
                let machines = self.machines.values().filter(|m| !m.gone && m.up);
                let zone = line.options.get("zone");
                let got = machines
                    .filter(|m| zone.is_none_or(|z| *z == m.zone))
                    .flat_map(|m| m.live())
                    .filter(|t| t.status == "running" && t.task_name.starts_with(&prefix))
                    .count();
                if got.to_string() != line.word(2)? {
                    return Err(format!("{got} replicas are served"));
                }
            }
            "crash" => {
                let controllers = match line.word(1)? {
                    "all" => (0..self.controllers.len()).collect(),
                    word => vec![self.controller_named(word)?],
                };
                for n in controllers {
                    self.controllers[n].controller = None;
                    self.controllers[n].process = 0;
                    let lost: Vec<_> = self
                        .requests
                        .keys()
                        .filter(|(controller, _)| *controller == n)
                        .cloned()
                        .collect();
                    for key in lost {
                        if let Some(requester) = self.requests.remove(&key) {
                            self.push(
                                now + MILLISECOND,
                                Event::Response(requester, n, 0, Vec::new()),
                            );
                        }
                    }
                    let back = now + line.time("for", 4.0)?;
                    self.controllers[n].down_until = back;
                    self.push(back, Event::Start(n));
                }
            }
            "cut" => {
                let cut = Cut {
                    controller: self.controller_named(line.word(1)?)?,
                    what: line.word(2)?.into(),
                    until: now + line.time("for", 10.0)?,
                    hold: line.yes("hold", false),
                };
                self.cuts.push(cut);
            }
            "freeze" => {
                let n = self.controller_named(line.word(1)?)?;
                self.controllers[n].uncertain = true;
                self.controllers[n].renewals.clear();
                self.controllers[n].paused_until = now + line.time("for", 30.0)?;
            }
            "refuse" => {
                let n = self.controller_named(line.word(1)?)?;
                self.refused.push((n, now + line.time("for", 10.0)?));
            }
            "state" => {
                self.state.down = true;
                self.push(now + line.time("for", 10.0)?, Event::StoreUp);
            }
            "cloud" => {
                self.cloud_down = true;
                self.push(now + line.time("for", 10.0)?, Event::CloudUp);
            }
            "trap" => self.crash_on_page_write = true,
            "late" => {
                let name = line.word(2)?.to_string();
                self.late_heartbeat.insert(name, line.time("for", 10.0)?);
            }
            "slow" => {
                let late = line.time("for", 1.5)?;
                self.slow_launch.insert(line.word(2)?.into(), late);
            }
            "overtake" => {
                let late = line.time("for", 1.0)?;
                self.overtake_heartbeat.insert(line.word(2)?.into(), late);
            }
            "lose" => {
                self.lose_response.insert(line.word(2)?.into());
            }
            "restart" => {
                // A new incarnation is a change, which is reported at once.
                let m = self.machine_mut(line.word(1)?)?;
                m.restart_agent(now);
                m.next_heartbeat = m.next_heartbeat.min(now + SECOND / 2);
            }
            "rented" => {
                let there = self.machines.get(line.word(1)?).is_some_and(|m| !m.gone);
                if there != (line.word(2)? == "yes") {
                    return Err(format!("that it is rented is {there}"));
                }
            }
            "faulty" => self.machine_mut(line.word(1)?)?.faulty = true,
            "kill" => self.machine_mut(line.word(1)?)?.gone = true,
            "recall" => {
                let at = now + line.time("in", 10.0)?;
                self.machine_mut(line.word(1)?)?.reclaim_at = Some(at);
            }
            "boots" => match line.word(1)?.parse::<f64>() {
                Ok(s) => {
                    self.boots_never = false;
                    self.boot = (s * 1e6) as Micros;
                }
                Err(_) => self.boots_never = true,
            },
            "corrupt" => {
                if !self.state.corrupt(line.word(1)?) {
                    return Err("no such record".into());
                }
            }
            "record" => {
                let there = self.state.has(line.word(1)?);
                if there != (line.word(2)? == "yes") {
                    return Err(format!("the record's presence is {there}"));
                }
            }
            other => return Err(format!("{other}: unknown")),
        }
        Ok(())
    }

    pub(super) fn add_job(&mut self, job: &str, line: &Directive) -> Result<(), String> {
        let run = line.number("run", 5.0)?;
        let priority = match line.text("prec", "normal").as_str() {
            "idle" => Priority::Idle,
            "high" => Priority::High,
            "prod" => Priority::Prod,
            _ => Priority::Normal,
        };
        let saves = line.yes("saves", false);
        let spec = Submission {
            id: job.into(),
            class: line.text("class", "work"),
            team: line.text("owner", "t"),
            shape: line.text("shape", "batch"),
            priority,
            tasks: line.number("tasks", 1.0)? as u64,
            cpus: line.number("cpus", 2.0)?,
            gpus: line.number("gpus", 0.0)?,
            memory_gb: line.number("mem", 1.0)?,
            image: "img".into(),
            image_gb: 0.5,
            machine_types: line.options.get("type").map(|t| vec![t.clone()]),
            zone: line.options.get("zone").cloned(),
            one_zone: line.yes("one_zone", false),
            spread: line.yes("spread", false),
            spot: line.yes("spot", true),
            expected_s: line.number("expected", run)?,
            checkpoint_interval_s: if saves { 10.0 } else { 0.0 },
            checkpoint_duration_s: line.number("flush", 2.0)?,
            deadline_s: match line.options.contains_key("due") {
                true => Some(line.number("due", 0.0)?),
                false => None,
            },
        };
        let facts = JobFacts {
            cpus: spec.cpus,
            run: (run * 1e6) as Micros,
            flush: (spec.checkpoint_duration_s * 1e6) as Micros,
            saves,
            fails: line.yes("fails", false),
        };
        self.facts.insert(job.into(), facts);
        let observed = ObservedJob {
            spec,
            accepted: false,
            cancelled_at: None,
            cancel_requested_at: None,
            known_since: None,
            done: false,
            completed: BTreeSet::new(),
            starts: 0,
            last_start: 0,
            submitted: self.now,
            first_start: None,
            answered: self.now,
            completed_at: None,
        };
        self.jobs.insert(job.into(), observed);
        Ok(())
    }
}
