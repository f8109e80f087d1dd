//! Writes assignments to pages, and splits pages that have become too large.

use crate::scheduler::Scheduler;
use crate::state::assignment_pages::Page;
use crate::state::write_buffer::RecordId;
use crate::Micros;
use grebewood_wire::records::{MachineAssignments, PageRecord};
use std::collections::BTreeMap;

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
