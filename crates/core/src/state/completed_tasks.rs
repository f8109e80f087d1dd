//! Pages of completed tasks.
//!
//! Tasks of many jobs end every second, while the store takes some ten writes a second. So the completed tasks of
//! many jobs share a record, which is written every few seconds: until then the agents keep the results, since an exited task is
//! acknowledged only when its end is durable.

use crate::state::jobs::{Job, JobIndex, Jobs};
use grebewood_wire::records::{CompletedTasksPageRecord, DONE_SPAN};
use std::collections::BTreeSet;

/// A page: which spans of which jobs are on it, and how large it may become.
#[derive(Clone, Debug, Default)]
struct CompletedTaskPage {
    spans: BTreeSet<(JobIndex, u64)>,
    bytes: usize,
    /// Its write may wait for that of another: it takes nothing new.
    barred: bool,
}

/// All pages.
#[derive(Clone, Debug)]
pub struct CompletedTaskPages {
    pages: Vec<CompletedTaskPage>,
    page_bytes: usize,
}

/// What a span takes in the record's JSON form, once all of its tasks are done.
fn size(job: &Job, n: u64) -> usize {
    let tasks = job.tasks().saturating_sub(n * DONE_SPAN).min(DONE_SPAN);
    job.id.len() + tasks.div_ceil(4) as usize + 24
}

impl CompletedTaskPages {
    pub fn new(page_bytes: usize) -> Self {
        CompletedTaskPages {
            pages: Vec::new(),
            page_bytes,
        }
    }

    fn page_mut(&mut self, page: u64) -> &mut CompletedTaskPage {
        // Page numbers come from our own keys and are dense; a wild one would only cost room.
        let page = page.min(10_000) as usize;
        if self.pages.len() <= page {
            self.pages.resize(page + 1, CompletedTaskPage::default());
        }
        &mut self.pages[page]
    }

    /// The page that holds the span of the job; one with room is chosen the first time.
    pub fn page_of(&mut self, index: JobIndex, n: u64, job: &mut Job) -> u64 {
        if let Some(page) = job.completed_pages.get(&n) {
            return *page;
        }
        let need = size(job, n);
        let at = self
            .pages
            .iter()
            .position(|p| !p.barred && p.bytes + need <= self.page_bytes)
            .unwrap_or(self.pages.len()) as u64;
        self.adopt(at, index, n, job);
        at
    }

    /// Notes that the page holds the span.
    pub fn adopt(&mut self, page: u64, index: JobIndex, n: u64, job: &mut Job) {
        let need = size(job, n);
        let p = self.page_mut(page);
        if p.spans.insert((index, n)) {
            p.bytes += need;
        }
        job.completed_pages.insert(n, page);
    }

    /// Moves spans off pages that are larger than a value may be, as an earlier leader with larger
    /// limits wrote them. The result says from which page to which.
    pub fn split(&mut self, page_bytes: usize, jobs: &mut Jobs) -> Vec<(u64, u64)> {
        self.page_bytes = page_bytes;
        let mut moves = Vec::new();
        for page in &mut self.pages {
            page.barred |= page.bytes > page_bytes;
        }
        for from in 0..self.pages.len() {
            // One that is set aside has no spans.
            while self.pages[from].bytes > page_bytes && self.pages[from].spans.len() > 1 {
                let Some((index, n)) = self.pages[from].spans.pop_last() else {
                    break;
                };
                let Some(job) = jobs.get_mut(index) else {
                    continue;
                };
                let p = &mut self.pages[from];
                p.bytes = p.bytes.saturating_sub(size(job, n));
                job.completed_pages.remove(&n);
                let to = self.page_of(index, n, job);
                moves.push((from as u64, to));
            }
        }
        moves
    }

    /// The page's write waits for that of another.
    pub fn bar(&mut self, page: u64) {
        self.page_mut(page).barred = true;
    }

    /// The page cannot be read: nothing is written to it.
    pub fn set_aside(&mut self, page: u64) {
        self.page_mut(page).barred = true;
    }

    /// Forgets a job that is over. Its entries vanish when their pages are next written.
    pub fn drop_job(&mut self, index: JobIndex, job: &Job) {
        for (n, page) in &job.completed_pages {
            let need = size(job, *n);
            let p = self.page_mut(*page);
            if p.spans.remove(&(index, *n)) {
                p.bytes = p.bytes.saturating_sub(need);
            }
        }
    }

    /// The current content of a page.
    pub fn record(&self, page: u64, jobs: &Jobs) -> CompletedTasksPageRecord {
        let spans = self.pages.get(page as usize).map(|p| &p.spans);
        let jobs = spans
            .into_iter()
            .flatten()
            .filter_map(|(index, n)| {
                let job = jobs.get(*index)?;
                Some((job.id.clone(), *n, job.done_bits(*n)))
            })
            .collect();
        CompletedTasksPageRecord { jobs }
    }
}
