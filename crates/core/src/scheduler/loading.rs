//! How a new leader or holder reads its state back from the key-value store.

use crate::calls::{CallPurpose, SchedulerCall};
use crate::context::{Context, Role};
use crate::scheduler::{Loading, Scheduler, Watch};
use crate::state::jobs::{Job, JobIndex};
use crate::state::machine::{Assignment, Stop, TaskOnMachine};
use crate::state::stats::Stats;
use crate::state::write_buffer::RecordId;
use crate::{Outcome, MILLI, SECOND};
use grebewood_partition::{PartitionId, PartitionMap};
use grebewood_wire as wire;
use grebewood_wire::http::{from_value, KeyValue, KeyValueList};
use grebewood_wire::peer::PlacedTask;
use grebewood_wire::records::{
    job_key, partition_of_page, CancelRecord, CompletedTasksPageRecord, JobKey, JobRecord,
    LegacyCompletedTasksRecord, PageRecord, ProvisionRecord, CATALOGUE, DONE, JOB, OLD_CANCEL,
    PAGE, PARTITION, QUOTA, RENTAL, STATS,
};
use grebewood_wire::Value;
use log::{error, info, warn};

impl Scheduler {
    pub(crate) fn start_loading(&mut self, context: &mut Context) {
        let mut loading = Loading::default();
        // Whoever claims a partition does so under a leader that understands them. To one that does not
        // they mean nothing: its token is higher than that of every claim.
        let partitions = context.supports_partitions().then_some(PARTITION);
        let quota = context.supports_quota_grants().then_some(QUOTA);
        let of_leader = [DONE, PAGE, RENTAL, STATS, CATALOGUE];
        let of_leader = of_leader.into_iter().chain(partitions).chain(quota);
        let mut prefixes: Vec<String> = vec![JOB.into(), OLD_CANCEL.into()];
        match self.partition() {
            None => prefixes.extend(of_leader.map(str::to_string)),
            // A holder learns from the leader what may be on its machines, but for what it, or the one
            // before it, has placed itself.
            Some(id) if self.places_tasks(context) => prefixes.push(holder_pages_prefix(id)),
            Some(_) => {}
        }
        for prefix in prefixes {
            loading.retry.insert(prefix.clone(), context.now.steady);
            loading.missing.insert(prefix, None);
        }
        self.loading = Some(loading);
        self.run_loading(context);
    }

    pub(crate) fn run_loading(&mut self, context: &mut Context) {
        let now = context.now.steady;
        let token = self.token;
        let Some(loading) = &mut self.loading else {
            return;
        };
        let due: Vec<String> = loading
            .retry
            .iter()
            .filter(|(_, at)| **at <= now)
            .map(|(prefix, _)| prefix.clone())
            .collect();
        for prefix in due {
            loading.retry.remove(&prefix);
            let since = match loading.missing.get(&prefix) {
                Some(Some(since)) => format!("&since={since}"),
                _ => String::new(),
            };
            let single = [STATS, CATALOGUE].into_iter().find(|key| *key == prefix);
            let (path, what) = match single {
                Some(key) => (format!("/kv/{prefix}"), SchedulerCall::Read { key }),
                None => (
                    format!("/kv?prefix={prefix}{since}&page=200"),
                    SchedulerCall::List { prefix },
                ),
            };
            let pending = CallPurpose::Scheduler { token, what };
            context.get_from_store(path, pending);
        }
    }

    /// Takes a reply to a read of the loading, or of a relist of a watch.
    pub(crate) fn on_list(&mut self, context: &mut Context, prefix: &str, outcome: Outcome) {
        let now = context.now.steady;
        let list = match &outcome {
            Outcome::Answer { status: 200, body } => wire::from_cbor::<KeyValueList>(body),
            _ => Err(wire::DecodeError("no answer".into())),
        };
        let Some(loading) = &mut self.loading else {
            return match prefix {
                RENTAL => self.on_sweep(context, list.ok()),
                _ => self.on_relist(context, prefix, list.ok()),
            };
        };
        match list {
            Ok(list) => {
                let revision = loading.revisions.entry(prefix.to_string());
                revision.or_insert(list.revision);
                let last = list.entries.last().map(|e| e.key.clone());
                let entries = loading.entries.entry(prefix.to_string());
                entries.or_default().extend(list.entries);
                if list.more && last.is_some() {
                    loading.missing.insert(prefix.to_string(), last);
                    loading.retry.insert(prefix.to_string(), now);
                } else {
                    loading.missing.remove(prefix);
                    if prefix == PARTITION {
                        self.take_partitions(context);
                    }
                }
            }
            Err(e) => {
                warn!("list {prefix}: {e}");
                loading.retry.insert(prefix.to_string(), now + 200 * MILLI);
            }
        }
        self.run_loading(context);
        self.finish_loading(context);
    }

    /// All partitions were read.
    fn take_partitions(&mut self, context: &Context) {
        let entries = self
            .loading
            .as_mut()
            .and_then(|l| l.entries.remove(PARTITION));
        let mut map = PartitionMap::default();
        for entry in entries.unwrap_or_default() {
            if let Err(why) = map.put(&entry.key, &entry.value, entry.mod_revision) {
                error!("record {}: {why}; set aside", entry.key);
            }
            self.write_buffer
                .mod_revisions
                .insert(entry.key, entry.mod_revision);
        }
        self.load_partitions(context, &map);
    }

    pub(crate) fn on_read(&mut self, context: &mut Context, key: &'static str, outcome: Outcome) {
        let Some(loading) = &mut self.loading else {
            return;
        };
        match outcome {
            Outcome::Answer { status: 200, body } => {
                loading.missing.remove(key);
                match wire::from_cbor::<KeyValue<Value>>(&body) {
                    Ok(entry) => {
                        let entries = loading.entries.entry(key.to_string());
                        entries.or_default().push(entry);
                    }
                    Err(e) => error!("record {key}: {e}"),
                }
            }
            Outcome::Answer { status: 404, .. } => {
                loading.missing.remove(key);
            }
            _ => {
                let again = context.now.steady + 200 * MILLI;
                loading.retry.insert(key.to_string(), again);
            }
        }
        self.finish_loading(context);
    }

    /// Builds the working state once everything is read.
    pub(crate) fn finish_loading(&mut self, context: &mut Context) {
        if !self.loading.as_ref().is_some_and(|l| l.missing.is_empty()) {
            return;
        }
        let Some(mut loading) = self.loading.take() else {
            return;
        };
        let now = context.now.steady;
        let mut take = |prefix: &str| loading.entries.remove(prefix).unwrap_or_default();
        let (mut jobs, mut cancels, dones) = (take(JOB), take(OLD_CANCEL), take(DONE));
        jobs.retain(|e| {
            let live = !matches!(JobKey::parse(&e.key), Some(JobKey::Cancelled(_)));
            if !live {
                cancels.push(e.clone());
            }
            live
        });
        let (mut pages, provisions) = (take(PAGE), take(RENTAL));
        let (stats, catalogue, quota) = (take(STATS), take(CATALOGUE), take(QUOTA));
        if let Some(id) = self.partition() {
            // The prefix is that of other pages, too.
            pages = take(&holder_pages_prefix(id));
            pages.retain(|e| page_number(&e.key).and_then(partition_of_page) == Some(id));
        }
        for e in jobs {
            self.add_job(context, &e.key, &e.value, e.mod_revision);
        }
        for e in dones {
            self.write_buffer
                .mod_revisions
                .insert(e.key.clone(), e.mod_revision);
            self.load_done(context, &e.key, &e.value);
        }
        if self.role == Role::Leader {
            self.load_quota(context, quota);
        }
        for e in pages {
            self.write_buffer
                .mod_revisions
                .insert(e.key.clone(), e.mod_revision);
            self.load_page(context, &e.key, &e.value);
        }
        for e in provisions {
            self.write_buffer
                .mod_revisions
                .insert(e.key.clone(), e.mod_revision);
            match from_value::<ProvisionRecord>(&e.value) {
                Ok(provision) => {
                    let name = e.key.trim_start_matches(RENTAL).to_string();
                    self.fleet.recover_provision(context, name, provision);
                }
                Err(err) => error!("record {}: {err}", e.key),
            }
        }
        for e in stats {
            self.write_buffer
                .mod_revisions
                .insert(e.key, e.mod_revision);
            match from_value(&e.value) {
                Ok(record) => self.stats = Stats::load(&record),
                Err(err) => error!("record {STATS}: {err}"),
            }
        }
        let known = !catalogue.is_empty();
        for e in catalogue {
            self.write_buffer
                .mod_revisions
                .insert(e.key, e.mod_revision);
        }
        if !known {
            self.fleet.types_at = now;
        }
        self.loaded_at = now;
        self.last_heartbeat_at = now;
        self.placement.next_at = now;
        let watch = Watch {
            since: loading.revisions.get(JOB).copied().unwrap_or(0),
            ..Watch::default()
        };
        self.watches.insert(JOB, watch);
        for e in &cancels {
            self.write_buffer
                .mod_revisions
                .insert(e.key.clone(), e.mod_revision);
        }
        for e in &cancels {
            let record = from_value::<CancelRecord>(&e.value);
            if let Err(err) = &record {
                error!("record {}: {err}; taken as a cancellation", e.key);
            }
            if let Some(JobKey::Cancelled(id)) = JobKey::parse(&e.key) {
                self.on_cancelled(context, id, record.ok().as_ref());
            }
        }
        // What the node knows of later ones, or from its peers.
        let known: Vec<String> = context
            .cancellations
            .jobs()
            .map(|(id, _)| id.into())
            .collect();
        for id in known {
            self.apply_cancellation(context, &id);
        }
        context.cancellations.read_as_of(self.began);
        self.note_durable_placements();
        // Pages that an earlier leader wrote under larger limits.
        self.split_pages(context);
        let complete: Vec<JobIndex> = self
            .jobs
            .iter()
            .filter(|(_, j)| j.all_done())
            .map(|(index, _)| index)
            .collect();
        for index in complete {
            self.end_if_over(context, index);
        }
        // What has completed tasks has begun, at this age at the latest.
        for index in self.jobs.indices() {
            if let Some(j) = self.jobs.get_mut(index).filter(|j| j.done_count > 0) {
                j.began_at = Some(j.age(now));
            }
        }
        // Before anything is placed: in the first second of each leader batch tasks once took the room
        // that was kept for services.
        self.headroom
            .update(context, &self.jobs, self.machines.len());
        info!(
            "loaded {} jobs, {} machines with tasks",
            self.jobs.len(),
            self.machines.len()
        );
    }

    pub(crate) fn add_job(
        &mut self,
        context: &Context,
        key: &str,
        value: &Value,
        mod_revision: u64,
    ) {
        let Some(id) = key.strip_prefix(JOB) else {
            return;
        };
        if self.jobs.find(id).is_some() || self.ended.iter().any(|e| e == id) {
            return;
        }
        match from_value::<JobRecord>(value) {
            Ok(record) if record.spec.id == id => {
                self.write_buffer
                    .mod_revisions
                    .insert(key.to_string(), mod_revision);
                let job = Job::new(record, context.now.steady, context.now.wall);
                self.headroom.note(&job, context.now.steady);
                self.jobs.insert(job);
                self.placement.request_round(context.now.steady);
            }
            Ok(_) => error!("record {key}: holds another job; set aside"),
            Err(e) => {
                if !self.corrupt.iter().any(|k| k == key) {
                    error!("record {key}: {e}; set aside");
                    self.corrupt.push(key.to_string());
                }
            }
        }
    }

    /// Reads completed tasks back, in the present form or in that of an earlier version.
    pub(crate) fn load_done(&mut self, context: &Context, key: &str, value: &Value) {
        let now = context.now.steady;
        let rest = key.strip_prefix(DONE).unwrap_or_default();
        if let Some((id, n)) = rest.rsplit_once('/') {
            let job = self
                .jobs
                .find(id)
                .and_then(|index| self.jobs.get_mut(index));
            match (
                job,
                n.parse(),
                from_value::<LegacyCompletedTasksRecord>(value),
            ) {
                (Some(job), Ok(n), Ok(record)) => job.load_done(n, &record.bits),
                (None, _, _) => {}
                _ => error!("record {key}: unreadable; its tasks may run again"),
            }
            return;
        }
        match (
            rest.parse::<u64>(),
            from_value::<CompletedTasksPageRecord>(value),
        ) {
            (Ok(page), Ok(record)) => {
                for (id, n, bits) in record.jobs {
                    let Some(index) = self.jobs.find(&id) else {
                        continue;
                    };
                    if let Some(job) = self.jobs.get_mut(index) {
                        job.load_done(n, &bits);
                        match job.completed_pages.get(&n) {
                            None => self.completed_pages.adopt(page, index, n, job),
                            // On two pages, after a move that was half written: this one drops it
                            // once the other has the bits of both.
                            Some(other) => {
                                let other = RecordId::Done(*other);
                                self.completed_pages.bar(page);
                                let due = now + SECOND;
                                let version =
                                    self.write_buffer.mark_dirty_lazily(other.clone(), due);
                                self.write_buffer
                                    .wait_for(RecordId::Done(page), other, version);
                                self.write_buffer
                                    .mark_dirty_lazily(RecordId::Done(page), due);
                            }
                        }
                    }
                }
            }
            (page, _) => {
                // It is kept as it is. Results of tasks are kept too, so those that it lists end
                // at once when they are started again.
                error!("record {key}: unreadable; its tasks may run again");
                if let Ok(page) = page {
                    self.completed_pages.set_aside(page);
                }
            }
        }
    }

    pub(crate) fn load_page(&mut self, context: &mut Context, key: &str, value: &Value) {
        let number = page_number(key);
        let (Some(number), Ok(page)) = (number, from_value::<PageRecord>(value)) else {
            // Nothing can be said of what it lists: no task of any live job may be started
            // until every machine has been heard or released, which `quarantine` sees to.
            error!("record {key}: unreadable; waiting for proof from all machines");
            self.placement.blocked_until =
                context.now.steady + context.settings.agent_lease * 2 + 10 * SECOND;
            if let Some(n) = number {
                self.page_mut(n).broken = true;
            }
            return;
        };
        let placed_in = self.written_by_holder(context, number);
        let by_holder = placed_in.is_some();
        // A page is kept by whoever writes it.
        let kept = by_holder == self.is_holder();
        if kept {
            self.page_mut(number);
        }
        for m in page.machines {
            for (job_id, task, attempt) in m.assignments {
                let index = self.jobs.find(&job_id);
                // Of a job whose record cannot be read it is not known what it takes, nor of which
                // team: it is stopped, and nothing is placed until it is proven gone.
                let unreadable = index.is_none() && self.corrupt.contains(&job_key(&job_id));
                if index.is_none() && !unreadable {
                    // Its job is over; whatever still runs is stopped when the worker reports it.
                    continue;
                }
                // On two pages, after a move that was half written: this one drops it.
                let known = self.machines.get(&m.machine).is_some_and(|m| {
                    m.assignments
                        .iter()
                        .any(|a| a.attempt == attempt && a.task == task && a.job_id == job_id)
                });
                if known && !kept {
                    continue;
                }
                if known {
                    let due = context.now.steady + SECOND;
                    self.write_buffer
                        .mark_dirty_lazily(RecordId::Page(number), due);
                    continue;
                }
                let job = index.and_then(|index| self.jobs.get_mut(index));
                let spec = job.map(|job| {
                    job.take(task);
                    *job.zones.entry(m.zone.clone()).or_insert(0) += 1;
                    job.spec.clone()
                });
                let spec = spec.as_ref();
                let task = PlacedTask {
                    machine: m.machine.clone(),
                    incarnation: m.incarnation,
                    job: job_id,
                    task,
                    attempt,
                    expected_us: spec.map_or(SECOND, |s| self.stats.expected_stay(s)),
                };
                let assignment = Assignment {
                    page: number,
                    launched: Some((0, 0)),
                    delivered: false,
                    by_holder,
                    stop: unreadable.then_some(Stop {
                        grace: 0,
                        since: context.now.steady,
                        sent: None,
                    }),
                    ..Assignment::new(TaskOnMachine {
                        task: &task,
                        job: index,
                        spec,
                        zone: m.zone.clone(),
                        now: context.now.steady,
                    })
                };
                if kept {
                    self.page_mut(number).add(&m.machine, &assignment);
                } else if let Some(partition) = placed_in {
                    let allotments = &mut self.leader_quota.allotments;
                    allotments.place(partition, &assignment.team, assignment.amount());
                }
                self.recovered_machine(context, &m.machine, &m.zone, m.incarnation);
                self.add_assignment(&m.machine, assignment);
            }
        }
        if let Some(partition) = placed_in.filter(|_| !kept) {
            self.write_quota_grant(context, partition, 0);
        }
    }

    /// The partition whose holder writes the page with this number; `None`: it is the leader's.
    pub(crate) fn written_by_holder(&self, context: &Context, page: u64) -> Option<PartitionId> {
        let partition = partition_of_page(page).filter(|_| context.supports_quota_grants());
        partition.filter(|id| self.is_holder() || self.remote_partitions.record(*id).is_some())
    }
}

/// The number of a page, from its key.
fn page_number(key: &str) -> Option<u64> {
    key.rsplit_once('/')?.1.parse().ok()
}

/// What the keys of the pages of a partition's holder begin with, and those of some others.
fn holder_pages_prefix(partition: PartitionId) -> String {
    format!("{PAGE}0/{partition}")
}
