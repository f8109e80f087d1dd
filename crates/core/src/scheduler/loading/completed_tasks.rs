//! Loads the records of completed tasks, in the current format and in that of an earlier version.

use crate::context::Context;
use crate::scheduler::Scheduler;
use crate::state::write_buffer::RecordId;
use crate::SECOND;
use grebewood_wire::http::{from_value, KeyValue};
use grebewood_wire::records::{
    CompletedTasksPageRecord, LegacyCompletedTasksRecord, COMPLETED_TASKS_PREFIX,
};
use grebewood_wire::Value;
use log::error;

impl Scheduler {
    /// Loads all records of completed tasks.
    pub(crate) fn load_completed_tasks(
        &mut self,
        context: &Context,
        entries: Vec<KeyValue<Value>>,
    ) {
        for entry in entries {
            self.write_buffer
                .record_revision(&entry.key, entry.mod_revision);
            let name = entry
                .key
                .strip_prefix(COMPLETED_TASKS_PREFIX)
                .unwrap_or_default();
            match name.rsplit_once('/') {
                Some((job, span)) => self.load_legacy_span(&entry, job, span),
                None => self.load_completed_tasks_page(context, &entry, name),
            }
        }
    }

    /// Loads a record in the format of an earlier version: the completed tasks of one span of a job.
    fn load_legacy_span(&mut self, entry: &KeyValue<Value>, job: &str, span: &str) {
        let index = self.jobs.find(job);
        let Some(job) = index.and_then(|index| self.jobs.get_mut(index)) else {
            return;
        };
        let record = from_value::<LegacyCompletedTasksRecord>(&entry.value);
        match (span.parse(), record) {
            (Ok(span), Ok(record)) => job.restore_completed_tasks(span, &record.bits),
            _ => log_unreadable(&entry.key),
        }
    }

    fn load_completed_tasks_page(
        &mut self,
        context: &Context,
        entry: &KeyValue<Value>,
        number: &str,
    ) {
        let number = number.parse::<u64>();
        let record = from_value::<CompletedTasksPageRecord>(&entry.value);
        match (number, record) {
            (Ok(page), Ok(record)) => {
                for (job, span, bits) in record.jobs {
                    self.load_span(context, page, &job, span, &bits);
                }
            }
            (number, _) => {
                // The record is left as it is. Agents keep the results of tasks, so a task that the page lists ends
                // immediately when it is started again.
                log_unreadable(&entry.key);
                if let Ok(page) = number {
                    self.completed_pages.close_page(page);
                }
            }
        }
    }

    /// Loads the completed tasks of one span of a job from a page.
    fn load_span(&mut self, context: &Context, page: u64, job: &str, span: u64, bits: &str) {
        let Some(index) = self.jobs.find(job) else {
            return;
        };
        let Some(job) = self.jobs.get_mut(index) else {
            return;
        };
        job.restore_completed_tasks(span, bits);
        let Some(other) = job.completed_pages.get(&span).copied() else {
            return self.completed_pages.add_span(page, index, span, job);
        };
        // The span is on two pages, because only the first half of a move was written. This page drops it once the
        // other page has the completed tasks of both.
        self.completed_pages.close_page(page);
        let due = context.now.steady + SECOND;
        self.write_moved_content(
            RecordId::CompletedTasksPage(page),
            RecordId::CompletedTasksPage(other),
            due,
            due,
        );
    }
}

fn log_unreadable(key: &str) {
    error!(key = key; "cannot decode a record of completed tasks; the tasks that it lists may run again");
}
