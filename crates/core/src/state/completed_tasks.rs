//! Pages of completed tasks: each page is one record in the key-value store, which lists completed tasks of
//! many jobs.
//!
//! Tasks of many jobs end every second, while the key-value store accepts about ten writes a second. The completed
//! tasks of many jobs therefore share a record, which is written every few seconds. Until then the agents keep the
//! results, since the exit of a task is acknowledged only once it is durable.
//!
//! The tasks of a job are divided into spans. A span is a range of [`TASKS_PER_LEGACY_RECORD`] consecutive task
//! numbers; the last span of a job may be shorter. The completed tasks of a span are all on the same page.

use crate::state::jobs::{Job, JobIndex, Jobs};
use grebewood_wire::records::{CompletedTasksPageRecord, TASKS_PER_LEGACY_RECORD};
use std::collections::BTreeSet;

/// A page of completed tasks, with the spans of jobs that are on it.
#[derive(Clone, Debug, Default)]
struct CompletedTaskPage {
    spans: BTreeSet<(JobIndex, u64)>,
    /// Size of the page record once all tasks of its spans are completed.
    bytes: usize,
    /// Whether the page takes no further spans, because the write of its record may have to wait for the write of
    /// another page's record, or because its record cannot be decoded.
    closed: bool,
}

/// The pages that list the completed tasks of live jobs, as a scheduler keeps them in memory.
#[derive(Clone, Debug)]
pub struct CompletedTaskPages {
    pages: Vec<CompletedTaskPage>,
    /// Maximum size of a page, in bytes.
    page_bytes: usize,
}

/// Highest page number. Controllers use consecutive page numbers, so a higher number can only come from a foreign
/// record.
const MAX_PAGE_NUMBER: u64 = 10_000;

/// Upper bound of the bytes that a span takes in the JSON form of a page record, besides the job's id and the bits.
const SPAN_FRAME_BYTES: usize = 24;

/// Number of tasks that one hexadecimal digit covers.
const TASKS_PER_DIGIT: u64 = 4;

/// Returns the bytes that a span takes in the JSON form of a page record once all of its tasks are completed.
fn span_bytes(job: &Job, span: u64) -> usize {
    let tasks = job
        .task_count()
        .saturating_sub(span * TASKS_PER_LEGACY_RECORD)
        .min(TASKS_PER_LEGACY_RECORD);
    job.id.len() + tasks.div_ceil(TASKS_PER_DIGIT) as usize + SPAN_FRAME_BYTES
}

impl CompletedTaskPages {
    /// Creates an empty set of pages of up to `page_bytes` bytes each.
    pub fn new(page_bytes: usize) -> Self {
        CompletedTaskPages {
            pages: Vec::new(),
            page_bytes,
        }
    }

    fn page_mut(&mut self, page: u64) -> &mut CompletedTaskPage {
        let page = page.min(MAX_PAGE_NUMBER) as usize;
        if self.pages.len() <= page {
            self.pages.resize(page + 1, CompletedTaskPage::default());
        }
        &mut self.pages[page]
    }

    /// Returns the number of the page that lists the completed tasks of a job's span. A span that is on no page yet
    /// is added to a page with enough room.
    pub fn page_of(&mut self, index: JobIndex, span: u64, job: &mut Job) -> u64 {
        if let Some(page) = job.completed_pages.get(&span) {
            return *page;
        }
        let bytes = span_bytes(job, span);
        let max_bytes = self.page_bytes;
        let has_room = |page: &CompletedTaskPage| !page.closed && page.bytes + bytes <= max_bytes;
        let page = self.pages.iter().position(has_room);
        let page = page.unwrap_or(self.pages.len()) as u64;
        self.add_span(page, index, span, job);
        page
    }

    /// Records that the page lists the completed tasks of a span, that is, of a range of the job's task numbers.
    pub fn add_span(&mut self, page: u64, index: JobIndex, span: u64, job: &mut Job) {
        let bytes = span_bytes(job, span);
        let holding_page = self.page_mut(page);
        if holding_page.spans.insert((index, span)) {
            holding_page.bytes += bytes;
        }
        job.completed_pages.insert(span, page);
    }

    /// Moves spans off pages that are larger than `page_bytes`. Such pages exist if an earlier leader wrote them
    /// while the key-value store accepted larger values. Returns the old and the new page number of each move.
    pub fn split_oversized_pages(&mut self, page_bytes: usize, jobs: &mut Jobs) -> Vec<(u64, u64)> {
        self.page_bytes = page_bytes;
        let mut moves = Vec::new();
        for page in &mut self.pages {
            page.closed |= page.bytes > page_bytes;
        }
        for from in 0..self.pages.len() {
            // A page whose record could not be decoded has no spans.
            while self.pages[from].bytes > page_bytes && self.pages[from].spans.len() > 1 {
                let Some((index, span)) = self.pages[from].spans.pop_last() else {
                    break;
                };
                let Some(job) = jobs.get_mut(index) else {
                    continue;
                };
                let page = &mut self.pages[from];
                page.bytes = page.bytes.saturating_sub(span_bytes(job, span));
                job.completed_pages.remove(&span);
                let to = self.page_of(index, span, job);
                moves.push((from as u64, to));
            }
        }
        moves
    }

    /// Closes a page, which then takes no further spans, because the write of its record waits for the write of
    /// another page's record, or because its record cannot be decoded.
    pub fn close_page(&mut self, page: u64) {
        self.page_mut(page).closed = true;
    }

    /// Removes a job that has ended. The job's entries disappear from the records in the key-value store when their
    /// pages are next written.
    pub fn remove_job(&mut self, index: JobIndex, job: &Job) {
        for (span, page) in &job.completed_pages {
            let bytes = span_bytes(job, *span);
            let page = self.page_mut(*page);
            if page.spans.remove(&(index, *span)) {
                page.bytes = page.bytes.saturating_sub(bytes);
            }
        }
    }

    /// Returns the record of a page with its current content.
    pub fn record(&self, page: u64, jobs: &Jobs) -> CompletedTasksPageRecord {
        let page = self.pages.get(page as usize);
        let spans = page.into_iter().flat_map(|page| &page.spans);
        let entries = spans.filter_map(|(index, span)| {
            let job = jobs.get(*index)?;
            Some((job.id.clone(), *span, job.completed_bits(*span)))
        });
        CompletedTasksPageRecord {
            jobs: entries.collect(),
        }
    }
}
