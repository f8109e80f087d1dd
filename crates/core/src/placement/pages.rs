//! Pages of assignments: which page takes which, and what is written.

use crate::agents::Assignment;
use crate::scheduler::Scheduler;
use crate::write_buffer::RecordId;
use crate::Micros;
use grebewood_wire::records::{
    partition_of_page, MachineAssignments, PageRecord, HOLDER_PAGES_END,
};
use std::collections::BTreeMap;
use std::ops::Range;

/// A page of assignments: which machines are on it, and how large it is.
#[derive(Clone, Debug, Default)]
pub struct Page {
    machines: BTreeMap<String, usize>,
    bytes: usize,
    /// Its record cannot be read; it is kept as it is.
    pub broken: bool,
    /// Its write may wait for that of another: it takes nothing new.
    barred: bool,
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
    by_number: BTreeMap<u64, Page>,
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
    fn with_room(&mut self, most: usize) -> u64 {
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

impl Scheduler {
    pub(crate) fn page_mut(&mut self, n: u64) -> &mut Page {
        self.pages.page_mut(n)
    }

    /// A page with room for one more assignment.
    pub(crate) fn page_with_room(&mut self) -> u64 {
        let most = self.page_bytes();
        self.pages.with_room(most)
    }

    /// Moves assignments off pages that are larger than a value may be. The result says from which
    /// page to which.
    pub(crate) fn split_placements(&mut self, due: Micros) -> Vec<(RecordId, RecordId)> {
        let most = self.page_bytes();
        for page in self.pages.by_number.values_mut() {
            page.barred |= page.bytes > most;
        }
        let mut moves = Vec::new();
        let numbers: Vec<u64> = self.pages.by_number.keys().copied().collect();
        for from in numbers {
            if self.page_mut(from).bytes <= most || self.page_mut(from).broken {
                continue;
            }
            let names: Vec<String> = self.page_mut(from).machines.keys().cloned().collect();
            let here = names.iter().filter_map(|name| {
                let assignments = &self.machines.get(name)?.assignments;
                let at = assignments.iter().enumerate();
                Some(
                    at.filter(|(_, a)| a.page == from)
                        .map(move |(at, _)| (name, at)),
                )
            });
            let here: Vec<(&String, usize)> = here.flatten().collect();
            for (name, at) in here.into_iter().rev() {
                if self.page_mut(from).bytes <= most {
                    break;
                }
                let to = self.page_with_room();
                let Some(a) = self.machines.get_mut(name).map(|m| &mut m.assignments[at]) else {
                    continue;
                };
                let old = a.clone();
                a.page = to;
                if !a.may_exist() {
                    // Not launched yet: that waits for the new page.
                    a.written = self.write_buffer.mark_dirty(RecordId::Page(to), due);
                }
                let new = a.clone();
                self.page_mut(from).remove(name, &old);
                self.page_mut(to).add(name, &new);
                moves.push((RecordId::Page(from), RecordId::Page(to)));
            }
        }
        moves
    }

    /// The current content of a page.
    pub(crate) fn page_record(&self, n: u64) -> PageRecord {
        let mut record = PageRecord::default();
        let Some(page) = self.pages.by_number.get(&n) else {
            return record;
        };
        for name in page.machines.keys() {
            let Some(m) = self.machines.get(name) else {
                continue;
            };
            let mut groups: BTreeMap<u64, Vec<(String, u64, u64)>> = BTreeMap::new();
            for a in m.assignments.iter().filter(|a| a.page == n) {
                groups.entry(a.incarnation).or_default().push((
                    a.job_id.clone(),
                    a.task,
                    a.attempt,
                ));
            }
            for (incarnation, t) in groups {
                record.machines.push(MachineAssignments {
                    machine: name.clone(),
                    incarnation,
                    zone: m.zone.clone(),
                    assignments: t,
                });
            }
        }
        record
    }
}
