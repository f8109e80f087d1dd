//! Flushes the write buffer to the key-value store, and handles the outcome of each transaction.

use crate::calls::SchedulerCall;
use crate::context::{Context, STORE_TIMEOUT};
use crate::scheduler::{page_bytes, Scheduler};
use crate::state::jobs::{FinalStatus, JobIndex};
use crate::state::write_buffer::{Batch, RecordId, Rendered};
use crate::transactions::{absent, put};
use crate::{Micros, Outcome, MILLI, SECOND};
use grebewood_partition::PartitionId;
use grebewood_wire as wire;
use grebewood_wire::http::{
    from_value, to_value, KeyValue, KeyValueList, Operation, Transaction, TransactionApplied,
    TransactionConflict,
};
use grebewood_wire::records::{
    cancel_key, job_key, partition_key, quota_grant_key, FinishedJobRecord, JobKey, CATALOGUE,
    DONE, FINISHED, LIMITS, OLD_CANCEL, PAGE, RENTAL, STATS,
};
use grebewood_wire::Value;
use log::{error, info, warn};

/// The fewest changes and the smallest value that the leader works with.
const LEAST_TXN_OPS: usize = 3;

const LEAST_VALUE: usize = 700;

/// How long a record waits that the state service refused alone.
const REFUSED_PAUSE: Micros = 5 * SECOND;

/// How often, and for how long after a flush without an answer, rentals on record are compared.
const SWEEP: Micros = 20 * SECOND;

const SWEEP_FOR: Micros = 300 * SECOND;

/// How long the parts of a page that is too large may wait: what is new goes first.
const SPLIT_DELAY: Micros = 500 * MILLI;

impl Scheduler {
    /// Whether the state service has failed to take the last writes in time.
    pub(crate) fn store_is_slow(&self) -> bool {
        self.flush_failures > 0
    }

    /// Renders a record's current content.
    pub(crate) fn render(&mut self, context: &Context, rec: &RecordId) -> Option<Rendered> {
        if let RecordId::Allotment(id) = rec {
            return self.render_quota_grant(*id);
        }
        let single = |key: String, change: Operation| Rendered {
            when: vec![self.write_buffer.unchanged(&key)],
            apply: vec![change],
        };
        match rec {
            RecordId::Page(n)
                if !self.is_holder() && self.written_by_holder(context, *n).is_some() =>
            {
                // Its content is the holder's.
                None
            }
            RecordId::Done(n) => {
                let key = format!("{DONE}{n}");
                let record = self.completed_pages.record(*n, &self.jobs);
                Some(single(key.clone(), put(key, &record)))
            }
            RecordId::Page(n) => {
                let key = format!("{PAGE}0/{n}");
                Some(single(key.clone(), put(key, &self.page_record(*n))))
            }
            RecordId::PendingProvision(name) => {
                let key = format!("{RENTAL}{name}");
                match self.fleet.provision_record(name) {
                    Some(record) => Some(single(key.clone(), put(key, &record))),
                    None if self.write_buffer.mod_revisions.contains_key(&key) => {
                        Some(single(key.clone(), Operation::Delete { delete: key }))
                    }
                    None => None,
                }
            }
            RecordId::Stats => {
                let record = self.stats.record_within(self.value_bytes);
                Some(single(STATS.into(), put(STATS.into(), &record)))
            }
            RecordId::Catalogue => {
                let machine_types = context.catalogue.clone()?;
                let record = wire::http::Catalogue { machine_types };
                if wire::json_size(&to_value(&record)) > self.value_bytes {
                    // A part of it would have jobs refused that can run. Every node asks the cloud
                    // for what is not here.
                    warn!("record {CATALOGUE}: too large for the state service, not written");
                    return None;
                }
                Some(single(CATALOGUE.into(), put(CATALOGUE.into(), &record)))
            }
            RecordId::Allotment(_) => None,
            RecordId::Limits => {
                let record = self.limits_record();
                if wire::json_size(&to_value(&record)) > self.value_bytes {
                    warn!("record {LIMITS}: too large for the state service, no allotments are granted");
                    return None;
                }
                Some(single(LIMITS.into(), put(LIMITS.into(), &record)))
            }
            RecordId::Partition(id) => {
                let record = self.remote_partitions.record(*id)?;
                let key = partition_key(*id);
                Some(single(key.clone(), put(key, record)))
            }
            RecordId::Deleted(key) => {
                let known = self.write_buffer.mod_revisions.contains_key(key);
                let change = Operation::Delete {
                    delete: key.clone(),
                };
                known.then(|| single(key.clone(), change))
            }
            RecordId::Over(index) => {
                let job = self.jobs.get(*index)?;
                let ending = job.ending?;
                let (live, finished) = (job_key(&job.id), format!("{FINISHED}{}", job.id));
                let cancel = self.cancellation_key(&job.id);
                let record = FinishedJobRecord {
                    status: ending.status().into(),
                    tasks: job.tasks(),
                };
                let mut r = Rendered {
                    when: vec![absent(&finished), self.write_buffer.unchanged(&live)],
                    apply: vec![
                        put(finished, &record),
                        Operation::Delete {
                            delete: live.clone(),
                        },
                    ],
                };
                match ending {
                    // A cancellation that came first wins.
                    FinalStatus::Done => r.when.push(absent(&cancel)),
                    FinalStatus::Aborted => {
                        r.when.push(self.write_buffer.unchanged(&cancel));
                        r.apply.push(Operation::Delete { delete: cancel });
                    }
                }
                // A record of an earlier version; if there are more, those are left behind,
                // which costs room but is harmless.
                let first = format!("{DONE}{}/0", job.id);
                if self.write_buffer.mod_revisions.contains_key(&first)
                    && r.apply.len() < self.transaction_operations
                {
                    r.when.push(self.write_buffer.unchanged(&first));
                    r.apply.push(Operation::Delete { delete: first });
                }
                Some(r)
            }
        }
    }

    fn render_quota_grant(&mut self, id: PartitionId) -> Option<Rendered> {
        if !self.leader_quota.allotments.differs_from_record(id) {
            return None;
        }
        let claim = self.remote_partitions.claim_token(id).unwrap_or(0);
        let record = self.leader_quota.allotments.render(id, claim);
        let key = quota_grant_key(id);
        Some(Rendered {
            when: vec![self.write_buffer.unchanged(&key)],
            apply: vec![put(key, &record)],
        })
    }

    /// When the next flush is due.
    pub(crate) fn flush_wake(&self) -> Micros {
        if self.write_buffer.in_flight.is_some() || self.write_conditions().is_none() {
            return Micros::MAX;
        }
        let due = self.write_buffer.next_due();
        due.map_or(Micros::MAX, |due| due.max(self.write_buffer.not_before))
    }

    /// Writes dirty records, as many as one transaction and the rate allow.
    pub(crate) fn run_flush(&mut self, context: &mut Context) {
        let now = context.now.steady;
        if self.write_buffer.in_flight.is_some() || now < self.write_buffer.not_before {
            return;
        }
        if self.write_buffer.next_due().is_none_or(|due| due > now) {
            return;
        }
        let Some(when) = self.write_conditions() else {
            return;
        };
        if let Some(key) = self.write_buffer.stale.first().cloned() {
            let pending = self.pending(SchedulerCall::Refresh { key: key.clone() });
            self.write_buffer.back_off(now, STORE_TIMEOUT);
            context.read_key(&key, pending);
            return;
        }
        let rate_left = context.writes_of(self.role).available(now);
        let ops_left = self.transaction_operations.min(rate_left);
        let mut transaction = Transaction {
            when,
            apply: Vec::new(),
        };
        let mut records = Vec::new();
        let mut bytes = 0;
        let mut short = false;
        for rec in self.write_buffer.due(now) {
            // A record that may be what made a transaction invalid goes alone.
            if !records.is_empty() && self.write_buffer.is_isolated(&rec) {
                continue;
            }
            if self.write_buffer.must_wait(&rec, &records) {
                continue;
            }
            let Some(r) = self.render(context, &rec) else {
                self.write_buffer.forget(&rec);
                continue;
            };
            let size = wire::to_cbor(&r.apply).len();
            if transaction.apply.len() + r.apply.len() > ops_left || bytes + size > 40 * 1024 {
                short = true;
                if records.is_empty() && ops_left >= Context::cost(&rec) {
                    // Larger than a transaction may be: nothing else waits behind it.
                    warn!("{rec:?}: does not fit a transaction");
                    self.write_buffer.postpone(&rec, now + REFUSED_PAUSE);
                    continue;
                }
                break;
            }
            bytes += size;
            transaction.when.extend(r.when);
            transaction.apply.extend(r.apply);
            records.push((rec.clone(), self.write_buffer.version(&rec)));
            if self.write_buffer.is_isolated(&rec) {
                break;
            }
        }
        if records.is_empty() {
            if short {
                let ready = context.writes_of(self.role).ready_at(now, 4.0);
                self.write_buffer.not_before = ready.max(now + 5 * MILLI);
            } else {
                // All that is due waits for something else.
                self.write_buffer.not_before = now + 20 * MILLI;
            }
            return;
        }
        let changes = transaction.apply.len() as f64;
        context.writes_of(self.role).take(now, changes);
        let pending = self.pending(SchedulerCall::Flush);
        context.post_to_store("/txn", &transaction, pending);
        self.write_buffer.not_before = now + context.tuning.flush_interval_us;
        self.write_buffer.in_flight = Some(Batch {
            records,
            transaction,
            proven: 0,
            mod_revision: 0,
        });
    }

    pub(crate) fn on_flush(
        &mut self,
        context: &mut Context,
        outcome: Outcome,
    ) -> Result<(), String> {
        let now = context.now.steady;
        let Some(batch) = self.write_buffer.in_flight.take() else {
            return Ok(());
        };
        match outcome {
            Outcome::Answer { status: 200, body } => {
                match wire::from_cbor::<TransactionApplied>(&body) {
                    Ok(e) => {
                        self.flush_failures = 0;
                        self.flushed(context, &batch, e.revision);
                    }
                    Err(_) => self.read_back(context, batch),
                }
            }
            Outcome::Answer { status: 409, body } => {
                let failed = wire::from_cbor::<TransactionConflict>(&body)
                    .map(|f| f.failed)
                    .unwrap_or_default();
                self.write_buffer.back_off(now, MILLI);
                self.conditions_failed(&failed)?;
                if failed.is_empty() {
                    // It does not say which: all of them are read, at a pace that leaves room.
                    let keys = batch.transaction.apply.iter().map(|c| c.key().to_string());
                    self.write_buffer.stale.extend(keys);
                    self.flush_failed(context);
                }
                for key in failed {
                    if self.is_condition(&key) {
                        continue;
                    }
                    if let Some(JobKey::Cancelled(id)) = JobKey::parse(&key) {
                        self.on_cancelled(context, id, None);
                    }
                    self.write_buffer.stale.push(key);
                }
            }
            Outcome::Unknown | Outcome::TooLarge => self.read_back(context, batch),
            Outcome::Answer { status: 400, body } => {
                let text = String::from_utf8_lossy(&body[..body.len().min(200)]).to_string();
                self.flush_invalid(context, &batch, &text);
            }
            Outcome::Answer { status, body } => {
                if status != 429 && status != 503 {
                    let text = String::from_utf8_lossy(&body[..body.len().min(200)]).to_string();
                    error!("state service: flush got {status}: {text}");
                }
                if status == 429 {
                    context.writes_of(self.role).drain(now);
                }
                self.flush_failed(context);
            }
            Outcome::NotSent => self.flush_failed(context),
        }
        Ok(())
    }

    /// The state service called a flush invalid: a value or the transaction is larger than it takes
    /// now. The same transaction would be refused for good, so each of its records goes alone; and
    /// one that is refused alone becomes smaller.
    fn flush_invalid(&mut self, context: &mut Context, batch: &Batch, why: &str) {
        let now = context.now.steady;
        self.write_buffer
            .back_off(now, context.tuning.flush_interval_us);
        let [(rec, _)] = &batch.records[..] else {
            warn!(
                "state service: {} records refused, to be written one by one: {why}",
                batch.records.len()
            );
            self.write_buffer.isolate(&batch.records);
            self.transaction_operations = (batch.transaction.apply.len() / 2).max(LEAST_TXN_OPS);
            return;
        };
        let keys: Vec<&str> = batch.puts().chain(batch.deletes()).collect();
        error!("state service: {} refused: {why}", keys.join(", "));
        // It was not the number of changes, then.
        self.transaction_operations = match batch.transaction.apply.len() > LEAST_TXN_OPS {
            true => LEAST_TXN_OPS,
            false => context.settings.store.transaction_operations,
        };
        let large = batch.transaction.apply.iter().any(|c| match c {
            Operation::Put { value, .. } => wire::json_size(value) > LEAST_VALUE,
            Operation::Delete { .. } => false,
        });
        match rec {
            RecordId::Page(_) | RecordId::Done(_) | RecordId::Stats if large => {
                self.value_bytes = (self.value_bytes / 2).max(LEAST_VALUE);
                self.split_pages(context);
                self.write_buffer.postpone(rec, now + SECOND);
            }
            RecordId::Limits | RecordId::Allotment(_) => {
                self.leader_quota.refused = true;
                self.write_buffer.postpone(rec, now + REFUSED_PAUSE);
            }
            _ => self.write_buffer.postpone(rec, now + REFUSED_PAUSE),
        }
    }

    /// Moves what is on pages that are larger than a value may be to others: these are written
    /// first, then the old ones. Until then what an earlier leader wrote stays as it is, and lists
    /// all of it.
    pub(crate) fn split_pages(&mut self, context: &Context) {
        let due = context.now.steady + SPLIT_DELAY;
        let pages = self.split_placements(due);
        let done = self
            .completed_pages
            .split(page_bytes(self.value_bytes), &mut self.jobs)
            .into_iter()
            .map(|(from, to)| (RecordId::Done(from), RecordId::Done(to)));
        let mut last = None;
        for (from, to) in pages.into_iter().chain(done) {
            if last.as_ref() == Some(&(from.clone(), to.clone())) {
                continue;
            }
            let version = self.write_buffer.mark_dirty_lazily(to.clone(), due);
            self.write_buffer
                .wait_for(from.clone(), to.clone(), version);
            self.write_buffer
                .mark_dirty_lazily(from.clone(), due + SECOND);
            last = Some((from, to));
        }
    }

    pub(crate) fn flush_failed(&mut self, context: &mut Context) {
        self.flush_failures = (self.flush_failures + 1).min(4);
        let pause = (100 * MILLI) << self.flush_failures;
        let jitter = context.jitter(pause / 4);
        self.write_buffer
            .back_off(context.now.steady, pause / 2 + jitter);
    }

    /// The outcome of a flush is unknown: looks whether it was applied, one key after the other.
    pub(crate) fn read_back(&mut self, context: &mut Context, batch: Batch) {
        match batch.transaction.apply.get(batch.proven) {
            Some(change) => {
                let pending = self.pending(SchedulerCall::FlushReadBack);
                context.read_key(change.key(), pending);
                self.write_buffer.in_flight = Some(batch);
            }
            None => self.flushed(context, &batch, batch.mod_revision),
        }
    }

    /// A flush without an answer was applied if each of its keys is now as it would have it. That
    /// one of them has a new stamp is no proof: an earlier flush without an answer may have been
    /// carried out meanwhile, and then this one never will be. What only this one listed was once
    /// launched, unknown to the next leader.
    pub(crate) fn on_read_back(
        &mut self,
        context: &mut Context,
        outcome: Outcome,
    ) -> Result<(), String> {
        let Some(mut batch) = self.write_buffer.in_flight.take() else {
            return Ok(());
        };
        let proven = match (batch.transaction.apply.get(batch.proven), outcome) {
            (Some(Operation::Put { put, value, .. }), Outcome::Answer { status: 200, body }) => {
                let known = self
                    .write_buffer
                    .mod_revisions
                    .get(put)
                    .copied()
                    .unwrap_or(0);
                wire::from_cbor::<KeyValue<Value>>(&body)
                    .ok()
                    .filter(|e| e.mod_revision > known && wire::same_value(&e.value, value))
                    // All changes of a transaction have the same stamp.
                    .filter(|e| batch.mod_revision == 0 || batch.mod_revision == e.mod_revision)
                    .map(|e| e.mod_revision)
            }
            (Some(Operation::Delete { .. }), Outcome::Answer { status: 404, .. }) => {
                Some(batch.mod_revision)
            }
            _ => None,
        };
        match proven {
            Some(mod_revision) => {
                batch.mod_revision = mod_revision;
                batch.proven += 1;
                self.read_back(context, batch);
            }
            None => {
                // Not applied so far, or it cannot be told. It is written anew; its keys' stamps
                // are read before that, since one of an earlier flush may have come in between.
                let keys = batch.transaction.apply.iter().map(|c| c.key().to_string());
                self.write_buffer.stale.extend(keys);
                self.flush_failed(context);
                if batch
                    .records
                    .iter()
                    .any(|(r, _)| matches!(r, RecordId::PendingProvision(_)))
                {
                    let now = context.now.steady;
                    self.sweep_at = now + SWEEP;
                    self.sweep_until = now + SWEEP_FOR;
                }
            }
        }
        Ok(())
    }

    /// A rental that was written by a flush without an answer, written again and then deleted is put
    /// back if the first flush is carried out after all: its condition, that there is no such
    /// record, holds again. The next leader would rent by it. So what is on record is looked
    /// through for a while.
    pub(crate) fn run_sweep(&mut self, context: &mut Context) {
        let now = context.now.steady;
        if now < self.sweep_at || now > self.sweep_until {
            return;
        }
        self.sweep_at = now + SWEEP;
        let pending = self.pending(SchedulerCall::List {
            prefix: RENTAL.into(),
        });
        let path = format!("/kv?prefix={RENTAL}&page=200");
        context.get_from_store(path, pending);
    }

    /// Deletes rentals on record that are none of ours.
    pub(crate) fn on_sweep(&mut self, context: &mut Context, list: Option<KeyValueList>) {
        for e in list.map(|list| list.entries).unwrap_or_default() {
            let name = e.key.strip_prefix(RENTAL).unwrap_or_default();
            if self.fleet.provision_record(name).is_some()
                || self.write_buffer.mod_revisions.contains_key(&e.key)
            {
                continue;
            }
            warn!("record {}: put back by a late transaction", e.key);
            self.write_buffer
                .mod_revisions
                .insert(e.key.clone(), e.mod_revision);
            self.write_buffer.mark_dirty(
                RecordId::PendingProvision(name.to_string()),
                context.now.steady,
            );
        }
    }

    /// Takes the stamp of a key that differs from what we knew: an earlier transaction of ours
    /// was applied after all.
    pub(crate) fn on_refresh(&mut self, context: &mut Context, key: &str, outcome: Outcome) {
        let now = context.now.steady;
        self.write_buffer.not_before = now;
        match outcome {
            Outcome::Answer { status: 200, body } => {
                match wire::from_cbor::<KeyValue<Value>>(&body) {
                    Ok(e) => {
                        self.write_buffer
                            .mod_revisions
                            .insert(key.to_string(), e.mod_revision);
                        if let Some(id) = key.strip_prefix(FINISHED) {
                            // The end of this job was written before.
                            let ended: Option<FinishedJobRecord> = from_value(&e.value).ok();
                            if let (Some(index), Some(_)) = (self.jobs.find(id), ended) {
                                self.write_buffer.forget(&RecordId::Over(index));
                                self.job_ended(index);
                            }
                        }
                    }
                    Err(_) => return self.flush_failed(context),
                }
            }
            Outcome::Answer { status: 404, .. } => {
                self.write_buffer.mod_revisions.remove(key);
                let said = |id: &str| {
                    let job = self.jobs.find(id).and_then(|index| self.jobs.get(index));
                    job.is_some_and(|j| j.cancelled.is_some())
                };
                if let Some(JobKey::Cancelled(id)) = JobKey::parse(key) {
                    if said(id) {
                        // The end of the job, which takes its cancellation away, may have been
                        // written late: that is read next.
                        self.unproven.insert(id.to_string());
                        self.write_buffer.stale.push(format!("{FINISHED}{id}"));
                    }
                } else if let Some(id) = key.strip_prefix(FINISHED) {
                    if self.unproven.remove(id) && said(id) {
                        self.retract_cancellation(context, id);
                    }
                }
            }
            _ => return self.flush_failed(context),
        }
        self.write_buffer.stale.retain(|k| k != key);
    }

    pub(crate) fn flushed(&mut self, context: &mut Context, batch: &Batch, revision: u64) {
        self.write_buffer.applied(batch, revision);
        self.held_changed = true;
        for (rec, _) in &batch.records {
            match rec {
                RecordId::Over(index) => {
                    if let Some(j) = self.jobs.get(*index) {
                        info!(
                            "{}: {} after {} s, began after {} s, {} tasks of {} for {}, {} s each",
                            j.id,
                            j.ending.map_or("over", FinalStatus::status),
                            j.age(context.now.steady) / SECOND,
                            j.began_at.unwrap_or(0) / SECOND,
                            j.tasks(),
                            j.spec.class,
                            j.spec.team,
                            j.run_mean.0 / SECOND
                        );
                    }
                    self.job_ended(*index)
                }
                RecordId::PendingProvision(name) => {
                    self.fleet.provision_written(context.now.steady, name)
                }
                RecordId::Allotment(id) => {
                    self.leader_quota.allotments.written(*id);
                    self.write_quota_grant(context, *id, 0);
                }
                RecordId::Limits => self.placement.request_round(context.now.steady),
                _ => {}
            }
        }
        if self.is_holder() {
            self.note_durable_placements();
        }
    }

    pub(crate) fn job_ended(&mut self, index: JobIndex) {
        if let Some(job) = self.jobs.remove(index) {
            for key in [
                job_key(&job.id),
                cancel_key(&job.id),
                format!("{OLD_CANCEL}{}", job.id),
                format!("{FINISHED}{}", job.id),
                format!("{DONE}{}/0", job.id),
            ] {
                self.write_buffer.mod_revisions.remove(&key);
            }
            self.completed_pages.drop_job(index, &job);
            self.progress_dirty.remove(&index);
            self.write_buffer.forget(&RecordId::Over(index));
            self.ended.push_back(job.id);
            if self.ended.len() > 200 {
                self.ended.pop_front();
            }
        }
    }
}
