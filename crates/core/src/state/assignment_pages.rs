//! Assignment pages: which page takes which assignment, and how large each is.

use crate::state::machine::Assignment;
use grebewood_wire::records::{partition_of_page, HOLDER_PAGES_END};
use std::collections::BTreeMap;
use std::ops::Range;

/// Bytes that a machine takes in the record's JSON form besides its name and zone, as an upper bound.
const MACHINE_FRAME_BYTES: usize = 60;

/// What an assignment takes in the record's JSON form besides its values, with a blank after each separator.
const ASSIGNMENT_FRAME: &str = "[\"\", , ], ";

/// A page takes another assignment if it has room for this number of bytes.
const ASSIGNMENT_BYTES: usize = 160;

/// A page of assignments: which machines are on it, and how large it is.
#[derive(Clone, Debug, Default)]
pub struct AssignmentPage {
    /// Machines by name, with the number of their assignments on this page.
    pub(crate) machines: BTreeMap<String, usize>,
    /// An upper bound of the record's size in its JSON form.
    pub(crate) bytes: usize,
    /// Whether its record cannot be read; it is left as it is.
    pub unreadable: bool,
    /// Whether it takes no further assignments: its write may wait for that of another page.
    pub(crate) closed: bool,
}

impl AssignmentPage {
    fn assignment_bytes(assignment: &Assignment) -> usize {
        let values = assignment.job_id.len() + digits(assignment.task) + digits(assignment.attempt);
        values + ASSIGNMENT_FRAME.len()
    }

    fn machine_bytes(machine: &str, assignment: &Assignment) -> usize {
        machine.len() + assignment.zone.len() + MACHINE_FRAME_BYTES
    }

    /// Notes an assignment on a machine.
    pub fn add(&mut self, machine: &str, assignment: &Assignment) {
        let count = self.machines.entry(machine.to_string()).or_insert(0);
        if *count == 0 {
            self.bytes += AssignmentPage::machine_bytes(machine, assignment);
        }
        *count += 1;
        self.bytes += AssignmentPage::assignment_bytes(assignment);
    }

    /// Notes that an assignment is gone.
    pub fn remove(&mut self, machine: &str, assignment: &Assignment) {
        let Some(count) = self.machines.get_mut(machine) else {
            return;
        };
        *count -= 1;
        let mut freed = AssignmentPage::assignment_bytes(assignment);
        if *count == 0 {
            self.machines.remove(machine);
            freed += AssignmentPage::machine_bytes(machine, assignment);
        }
        self.bytes = self.bytes.saturating_sub(freed);
    }

    /// Whether the page takes one more assignment, if a page may have `max_bytes`.
    fn has_room(&self, max_bytes: usize) -> bool {
        !self.unreadable && !self.closed && self.bytes + ASSIGNMENT_BYTES <= max_bytes
    }
}

/// Decimal digits of a number.
fn digits(number: u64) -> usize {
    number.checked_ilog10().unwrap_or(0) as usize + 1
}

/// The assignment pages that one scheduler writes.
#[derive(Clone, Debug, Default)]
pub struct AssignmentPages {
    pub(crate) by_number: BTreeMap<u64, AssignmentPage>,
    /// The page that takes new assignments.
    open: u64,
    /// The numbers that a holder may use; `None`: the leader uses all others.
    range: Option<Range<u64>>,
}

impl AssignmentPages {
    /// The pages of the holder of a partition, which have the numbers of this range.
    pub fn of_holder(range: Range<u64>) -> AssignmentPages {
        AssignmentPages {
            by_number: BTreeMap::new(),
            open: range.start,
            range: Some(range),
        }
    }

    /// The number of pages.
    pub fn len(&self) -> usize {
        self.by_number.len()
    }

    /// Whether there are no pages.
    pub fn is_empty(&self) -> bool {
        self.by_number.is_empty()
    }

    /// The page with this number, which is created if there is none.
    pub fn page_mut(&mut self, number: u64) -> &mut AssignmentPage {
        self.by_number.entry(number).or_default()
    }

    /// Whether new assignments may go to the page with this number. The leader only removes from pages of holders, of
    /// which some are left when their partitions are gone.
    fn may_grow(&self, number: u64) -> bool {
        match &self.range {
            Some(range) => range.contains(&number),
            None => partition_of_page(number).is_none(),
        }
    }

    /// The lowest number that is not used yet.
    fn next_number(&self) -> u64 {
        let mut numbers = match &self.range {
            Some(range) => range.clone(),
            None => 0..u64::MAX,
        };
        let is_free = |number: &u64| self.may_grow(*number) && !self.by_number.contains_key(number);
        numbers.find(is_free).unwrap_or(HOLDER_PAGES_END)
    }

    /// A page with room for one more assignment, if pages may have `max_bytes`. Assignments of one moment share a page,
    /// which is written once for all of them; when it is full, the emptiest comes next, so that few pages are written.
    pub(crate) fn page_with_room(&mut self, max_bytes: usize) -> u64 {
        let open = self.by_number.get(&self.open);
        if open.is_some_and(|page| page.has_room(max_bytes)) && self.may_grow(self.open) {
            return self.open;
        }
        let half_empty = self.by_number.iter().filter(|(number, page)| {
            page.has_room(max_bytes) && page.bytes * 2 <= max_bytes && self.may_grow(**number)
        });
        let emptiest = half_empty.min_by_key(|(number, page)| (page.bytes, **number));
        let emptiest = emptiest.map(|(number, _)| *number);
        let number = emptiest.unwrap_or_else(|| self.next_number());
        self.page_mut(number);
        self.open = number;
        number
    }

    /// The numbers of the pages.
    pub(crate) fn numbers(&self) -> impl Iterator<Item = u64> + '_ {
        self.by_number.keys().copied()
    }

    /// Whether a page of the range has assignments.
    pub(crate) fn has_assignments_in(&self, range: Range<u64>) -> bool {
        let mut pages = self.by_number.range(range);
        pages.any(|(_, page)| !page.machines.is_empty())
    }
}
