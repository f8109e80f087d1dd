//! Assignment pages: moves assignments off pages that have become too large, and renders the content of pages.

use crate::context::Context;
use crate::scheduler::Scheduler;
use crate::state::assignment_pages::AssignmentPage;
use crate::state::machine::{Assignment, Machine};
use crate::state::write_buffer::RecordId;
use crate::Micros;
use grebewood_partition::PartitionId;
use grebewood_wire::records::{partition_of_page, AssignmentPageRecord, MachineAssignments};
use std::collections::BTreeMap;

impl Scheduler {
    pub(crate) fn page_mut(&mut self, number: u64) -> &mut AssignmentPage {
        self.pages.page_mut(number)
    }

    /// Returns the partition whose holder writes the page with this number; `None` if the leader does.
    pub(crate) fn partition_writing_page(
        &self,
        context: &Context,
        page: u64,
    ) -> Option<PartitionId> {
        let partition = partition_of_page(page).filter(|_| context.supports_quota_grants());
        partition.filter(|id| self.is_holder() || self.remote_partitions.record(*id).is_some())
    }

    /// Returns the number of a page with room for one more assignment.
    pub(crate) fn page_with_room(&mut self) -> u64 {
        let max_bytes = self.max_page_bytes();
        self.pages.page_with_room(max_bytes)
    }

    /// Moves assignments off pages that exceed the size of a value. Returns the source and the destination page of
    /// each move.
    pub(crate) fn split_assignment_pages(&mut self, due: Micros) -> Vec<(RecordId, RecordId)> {
        let max_bytes = self.max_page_bytes();
        for page in self.pages.by_number.values_mut() {
            page.closed |= page.bytes > max_bytes;
        }
        let mut moves = Vec::new();
        let numbers: Vec<u64> = self.pages.numbers().collect();
        for from in numbers {
            let page = self.page_mut(from);
            if page.unreadable || page.bytes <= max_bytes {
                continue;
            }
            for (machine, assignment_index) in self.assignments_on_page(from).into_iter().rev() {
                if self.page_mut(from).bytes <= max_bytes {
                    break;
                }
                let to = self.move_assignment(&machine, assignment_index, from, due);
                moves.extend(
                    to.map(|to| (RecordId::AssignmentPage(from), RecordId::AssignmentPage(to))),
                );
            }
        }
        moves
    }

    /// Returns the assignments on a page, each as the name of its machine and its index among the assignments of
    /// the machine.
    fn assignments_on_page(&self, number: u64) -> Vec<(String, usize)> {
        let Some(page) = self.pages.by_number.get(&number) else {
            return Vec::new();
        };
        let machines = page.machines.keys();
        let assignments = machines.filter_map(|name| {
            let assignments = self.machines.get(name)?.assignments.iter().enumerate();
            let on_page = assignments.filter(|(_, a)| self.is_on_own_page(a, number));
            Some(on_page.map(|(assignment_index, _)| (name.clone(), assignment_index)))
        });
        assignments.flatten().collect()
    }

    /// Moves an assignment to a page with room, and returns the number of that page.
    fn move_assignment(
        &mut self,
        machine: &str,
        assignment_index: usize,
        from: u64,
        due: Micros,
    ) -> Option<u64> {
        let to = self.page_with_room();
        let assignments = &mut self.machines.get_mut(machine)?.assignments;
        let assignment = &mut assignments[assignment_index];
        assignment.page = to;
        if !assignment.may_be_on_machine() {
            // The assignment is launched once it is durable on the new page.
            assignment.page_version = self
                .write_buffer
                .mark_dirty(RecordId::AssignmentPage(to), due);
        }
        let assignment = assignment.clone();
        self.page_mut(from).remove(machine, &assignment);
        self.page_mut(to).add(machine, &assignment);
        Some(to)
    }

    /// Returns the current content of a page.
    pub(crate) fn page_record(&self, number: u64) -> AssignmentPageRecord {
        let page = self.pages.by_number.get(&number);
        let names = page.into_iter().flat_map(|page| page.machines.keys());
        let machines = names.filter_map(|name| self.machines.get(name));
        let groups = machines.flat_map(|machine| self.assignments_by_incarnation(machine, number));
        AssignmentPageRecord {
            machines: groups.collect(),
        }
    }

    /// Returns whether the assignment is on this page, which this scheduler writes. The leader does not know the page
    /// of a task that a holder has placed, and a holder does not know that of a task that the leader has placed.
    fn is_on_own_page(&self, assignment: &Assignment, page: u64) -> bool {
        assignment.page == page && assignment.placed_by_holder == self.is_holder()
    }

    /// Returns the assignments of a machine on this page, grouped by the incarnation of the agent that is to run them.
    fn assignments_by_incarnation(&self, machine: &Machine, page: u64) -> Vec<MachineAssignments> {
        let mut groups: BTreeMap<u64, Vec<(String, u64, u64)>> = BTreeMap::new();
        let on_page = machine.assignments.iter();
        for assignment in on_page.filter(|a| self.is_on_own_page(a, page)) {
            let group = groups.entry(assignment.incarnation).or_default();
            let job = assignment.job_id.clone();
            group.push((job, assignment.task, assignment.attempt));
        }
        let groups = groups.into_iter().map(|(incarnation, assignments)| {
            let (machine, zone) = (machine.name.clone(), machine.zone.clone());
            MachineAssignments {
                machine,
                incarnation,
                zone,
                assignments,
            }
        });
        groups.collect()
    }
}
