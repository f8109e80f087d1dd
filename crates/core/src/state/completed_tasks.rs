//! Records of completed tasks, one for each page of them.
//!
//! Tasks of many jobs end every second, while the store takes some ten writes a second. So the completed tasks of many
//! jobs share a record, which is written every few seconds. Until then the agents keep the results, since the exit of a
//! task is acknowledged only when it is durable.
//!
//! The tasks of a job are divided into spans of [`TASKS_PER_LEGACY_RECORD`] tasks; each span is on one page.

use crate::state::jobs::{Job, JobIndex, Jobs};
use grebewood_wire::records::{CompletedTasksPageRecord, TASKS_PER_LEGACY_RECORD};
use std::collections::BTreeSet;

/// A page: which spans of which jobs are on it.
#[derive(Clone, Debug, Default)]
struct CompletedTaskPage {
    spans: BTreeSet<(JobIndex, u64)>,
    /// Its size once all tasks of its spans are completed.
    bytes: usize,
    /// Whether it takes no further spans: its write may wait for that of another page, or its record cannot be read.
    closed: bool,
}

/// All pages of completed tasks.
#[derive(Clone, Debug)]
pub struct CompletedTaskPages {
    pages: Vec<CompletedTaskPage>,
    /// Most bytes of a page.
    page_bytes: usize,
}

/// Page numbers are those of our own keys and are dense; one beyond this limit can only come from a foreign record.
const MAX_PAGE_NUMBER: u64 = 10_000;

/// Most bytes that a span takes in the record's JSON form besides the job's id and its bits.
const SPAN_FRAME_BYTES: usize = 24;

/// Tasks in one hexadecimal digit.
const TASKS_PER_DIGIT: u64 = 4;

/// Bytes that a span takes in the record's JSON form once all of its tasks are completed.
fn span_bytes(job: &Job, span: u64) -> usize {
    let tasks = job
        .task_count()
        .saturating_sub(span * TASKS_PER_LEGACY_RECORD)
        .min(TASKS_PER_LEGACY_RECORD);
    job.id.len() + tasks.div_ceil(TASKS_PER_DIGIT) as usize + SPAN_FRAME_BYTES
}

impl CompletedTaskPages {
    /// Creates an empty set of pages that may have up to `page_bytes` each.
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

    /// The page that holds the span of the job; the first time, one that has room for it is chosen.
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

    /// Notes that the page holds the span.
    pub fn add_span(&mut self, page: u64, index: JobIndex, span: u64, job: &mut Job) {
        let bytes = span_bytes(job, span);
        let holder = self.page_mut(page);
        if holder.spans.insert((index, span)) {
            holder.bytes += bytes;
        }
        job.completed_pages.insert(span, page);
    }

    /// Moves spans off pages that are larger than a value may be, as an earlier leader wrote them under larger limits
    /// of the store. The result says from which page to which.
    pub fn split_oversized_pages(&mut self, page_bytes: usize, jobs: &mut Jobs) -> Vec<(u64, u64)> {
        self.page_bytes = page_bytes;
        let mut moves = Vec::new();
        for page in &mut self.pages {
            page.closed |= page.bytes > page_bytes;
        }
        for from in 0..self.pages.len() {
            // A page whose record cannot be read has no spans.
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

    /// The page takes no further spans: its write waits for that of another page, or its record cannot be read.
    pub fn close_page(&mut self, page: u64) {
        self.page_mut(page).closed = true;
    }

    /// Forgets a job that is over. Its entries vanish when their pages are next written.
    pub fn remove_job(&mut self, index: JobIndex, job: &Job) {
        for (span, page) in &job.completed_pages {
            let bytes = span_bytes(job, *span);
            let page = self.page_mut(*page);
            if page.spans.remove(&(index, *span)) {
                page.bytes = page.bytes.saturating_sub(bytes);
            }
        }
    }

    /// The current content of a page.
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
