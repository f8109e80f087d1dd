//! Pages of assignments: which page takes which assignment, and how large each is.

use crate::state::machine::Assignment;
use grebewood_wire::records::{partition_of_page, HOLDER_PAGES_END};
use std::collections::BTreeMap;
use std::ops::Range;

/// A page of assignments: which machines are on it, and how large it is.
#[derive(Clone, Debug, Default)]
pub struct Page {
    pub(crate) machines: BTreeMap<String, usize>,
    pub(crate) bytes: usize,
    /// Its record cannot be read; it is kept as it is.
    pub broken: bool,
    /// Its write may wait for that of another: it takes nothing new.
    pub(crate) barred: bool,
}

impl Page {
    /// What an assignment and, as an upper bound, a machine take in the record's JSON form, with a
    /// blank after each separator.
    fn assignment_size(a: &Assignment) -> usize {
        a.job_id.len() + digits(a.task) + digits(a.attempt) + "[\"\", , ], ".len()
    }

    fn machine_size(machine: &str, a: &Assignment) -> usize {
        machine.len() + a.zone.len() + 60
    }

    /// Notes an assignment on a machine.
    pub fn add(&mut self, machine: &str, a: &Assignment) {
        let n = self.machines.entry(machine.to_string()).or_insert(0);
        if *n == 0 {
            self.bytes += Page::machine_size(machine, a);
        }
        *n += 1;
        self.bytes += Page::assignment_size(a);
    }

    /// Notes that an assignment is gone.
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

/// Decimal digits of a number.
fn digits(n: u64) -> usize {
    n.checked_ilog10().unwrap_or(0) as usize + 1
}

/// The room that is looked for on a page for each new assignment.
const ASSIGNMENT_BYTES: usize = 160;

/// The pages that one writer keeps.
#[derive(Clone, Debug, Default)]
pub struct Pages {
    pub(crate) by_number: BTreeMap<u64, Page>,
    /// The page that takes new assignments.
    open: u64,
    /// The numbers that a holder may use; `None`: all but those of holders.
    range: Option<Range<u64>>,
}

impl Pages {
    /// The pages of the holder of a partition.
    pub fn of_holder(range: Range<u64>) -> Pages {
        Pages {
            by_number: BTreeMap::new(),
            open: range.start,
            range: Some(range),
        }
    }

    /// How many there are.
    pub fn len(&self) -> usize {
        self.by_number.len()
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.by_number.is_empty()
    }

    /// The page with this number, which is there from now on.
    pub fn page_mut(&mut self, n: u64) -> &mut Page {
        self.by_number.entry(n).or_default()
    }

    /// Whether new assignments may go to the page with this number. Leftovers of holders whose
    /// partitions are gone only lose what is on them.
    fn takes_new(&self, n: u64) -> bool {
        match &self.range {
            Some(range) => range.contains(&n),
            None => partition_of_page(n).is_none(),
        }
    }

    /// The lowest number that is not used yet.
    fn next_number(&self) -> u64 {
        let numbers = match &self.range {
            Some(range) => range.clone(),
            None => 0..u64::MAX,
        };
        let mut free = numbers.filter(|n| self.takes_new(*n) && !self.by_number.contains_key(n));
        free.next().unwrap_or(HOLDER_PAGES_END)
    }

    /// A page with room for one more assignment, if pages hold `most` bytes; one that will be written
    /// anyway if there is one. Assignments of one moment share a page; when it is full, the emptiest
    /// comes next, so that few pages are written.
    pub(crate) fn with_room(&mut self, most: usize) -> u64 {
        let fits = |p: &Page| !p.broken && !p.barred && p.bytes + ASSIGNMENT_BYTES <= most;
        if self.by_number.get(&self.open).is_some_and(fits) && self.takes_new(self.open) {
            return self.open;
        }
        let half_empty = self
            .by_number
            .iter()
            .filter(|(n, page)| fits(page) && page.bytes * 2 <= most && self.takes_new(**n));
        let emptiest = half_empty.min_by_key(|(n, page)| (page.bytes, **n));
        let emptiest = emptiest.map(|(n, _)| *n);
        let n = emptiest.unwrap_or_else(|| self.next_number());
        self.page_mut(n);
        self.open = n;
        n
    }

    /// Their numbers.
    pub(crate) fn numbers(&self) -> impl Iterator<Item = u64> + '_ {
        self.by_number.keys().copied()
    }

    /// Whether a page of the range has assignments.
    pub(crate) fn any_in(&self, range: Range<u64>) -> bool {
        let mut pages = self.by_number.range(range);
        pages.any(|(_, page)| !page.machines.is_empty())
    }
}
