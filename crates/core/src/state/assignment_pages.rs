//! Assignment pages: which page records which assignments, and how large each page is.

use crate::state::machine::Assignment;
use grebewood_wire::records::{partition_of_page, HOLDER_PAGES_END};
use std::collections::BTreeMap;
use std::ops::Range;

/// Upper bound of the bytes that a machine takes in the JSON form of a page record, besides its name and zone.
const MACHINE_FRAME_BYTES: usize = 60;

/// Text of an assignment in the JSON form of a page record without its values, with a space after each separator.
const ASSIGNMENT_FRAME: &str = "[\"\", , ], ";

/// Free bytes that a page must have to take another assignment.
const MIN_FREE_BYTES: usize = 160;

/// A page of assignments: its machines and its size.
#[derive(Clone, Debug, Default)]
pub struct AssignmentPage {
    /// Number of assignments on this page for each machine, by machine name.
    pub(crate) machines: BTreeMap<String, usize>,
    /// Upper bound of the size of the page record in its JSON form.
    pub(crate) bytes: usize,
    /// Whether the page record cannot be decoded. Such a page takes no further assignments.
    pub unreadable: bool,
    /// Whether the page takes no further assignments because its write may have to wait for that of another page.
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

    /// Adds an assignment on a machine.
    pub fn add(&mut self, machine: &str, assignment: &Assignment) {
        let count = self.machines.entry(machine.to_string()).or_insert(0);
        if *count == 0 {
            self.bytes += AssignmentPage::machine_bytes(machine, assignment);
        }
        *count += 1;
        self.bytes += AssignmentPage::assignment_bytes(assignment);
    }

    /// Removes an assignment on a machine.
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

    /// Returns whether the page takes one more assignment if pages may have up to `max_bytes` bytes.
    fn has_room(&self, max_bytes: usize) -> bool {
        !self.unreadable && !self.closed && self.bytes + MIN_FREE_BYTES <= max_bytes
    }
}

/// Returns the number of decimal digits of a number.
fn digits(number: u64) -> usize {
    number.checked_ilog10().unwrap_or(0) as usize + 1
}

/// Assignment pages that one scheduler writes.
#[derive(Clone, Debug, Default)]
pub struct AssignmentPages {
    pub(crate) by_number: BTreeMap<u64, AssignmentPage>,
    /// Number of the page that takes new assignments.
    open: u64,
    /// Page numbers that a partition holder may use; `None` on the leader, which uses all others.
    range: Option<Range<u64>>,
}

impl AssignmentPages {
    /// Creates the pages of a partition holder, which have numbers in this range.
    pub fn of_holder(range: Range<u64>) -> AssignmentPages {
        AssignmentPages {
            by_number: BTreeMap::new(),
            open: range.start,
            range: Some(range),
        }
    }

    /// Returns the number of pages.
    pub fn len(&self) -> usize {
        self.by_number.len()
    }

    /// Returns whether there are no pages.
    pub fn is_empty(&self) -> bool {
        self.by_number.is_empty()
    }

    /// Returns the page with this number, and creates it if there is none.
    pub fn page_mut(&mut self, number: u64) -> &mut AssignmentPage {
        self.by_number.entry(number).or_default()
    }

    /// Returns whether new assignments may be added to the page with this number. The leader only removes
    /// assignments from pages of partition holders, some of which are left after their partitions are removed.
    fn may_grow(&self, number: u64) -> bool {
        match &self.range {
            Some(range) => range.contains(&number),
            None => partition_of_page(number).is_none(),
        }
    }

    /// Returns the lowest page number that is not used yet.
    fn next_number(&self) -> u64 {
        let mut numbers = match &self.range {
            Some(range) => range.clone(),
            None => 0..u64::MAX,
        };
        let is_free = |number: &u64| self.may_grow(*number) && !self.by_number.contains_key(number);
        numbers.find(is_free).unwrap_or(HOLDER_PAGES_END)
    }

    /// Returns the number of a page with room for one more assignment, if pages may have up to `max_bytes` bytes.
    /// Consecutive assignments share a page, so that a single write records all of them. When that page is full, the
    /// smallest page that is at most half full is used next, so that few pages are written.
    pub(crate) fn page_with_room(&mut self, max_bytes: usize) -> u64 {
        let open = self.by_number.get(&self.open);
        if open.is_some_and(|page| page.has_room(max_bytes)) && self.may_grow(self.open) {
            return self.open;
        }
        let at_most_half_full = self.by_number.iter().filter(|(number, page)| {
            page.has_room(max_bytes) && page.bytes * 2 <= max_bytes && self.may_grow(**number)
        });
        let smallest = at_most_half_full.min_by_key(|(number, page)| (page.bytes, **number));
        let smallest = smallest.map(|(number, _)| *number);
        let number = smallest.unwrap_or_else(|| self.next_number());
        self.page_mut(number);
        self.open = number;
        number
    }

    /// Returns the numbers of the pages.
    pub(crate) fn numbers(&self) -> impl Iterator<Item = u64> + '_ {
        self.by_number.keys().copied()
    }

    /// Returns whether any page in the range has assignments.
    pub(crate) fn has_assignments_in(&self, range: Range<u64>) -> bool {
        let mut pages = self.by_number.range(range);
        pages.any(|(_, page)| !page.machines.is_empty())
    }
}
