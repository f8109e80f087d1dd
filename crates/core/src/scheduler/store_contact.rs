//! Selects the machines that limit how long the leader may go on without contact to the key-value store.

use crate::scheduler::Scheduler;
use crate::state::machine::Machine;
use crate::Micros;

impl Scheduler {
    /// Returns the names of the machines that have been out of contact for longer than `max_silence` and may still
    /// have tasks of cancelled jobs.
    pub(crate) fn unproven_machines(&self, now: Micros, max_silence: Micros) -> Vec<String> {
        let machines = self.machines.values();
        let silent =
            machines.filter(|machine| now.saturating_sub(machine.last_contact_at) > max_silence);
        silent
            .filter(|machine| self.may_run_cancelled_tasks(machine))
            .map(|machine| machine.name.clone())
            .collect()
    }

    fn may_run_cancelled_tasks(&self, machine: &Machine) -> bool {
        let mut assignments = machine.assignments.iter();
        assignments.any(|assignment| {
            let job = self.jobs.get(assignment.job);
            assignment.may_be_on_machine() && job.is_some_and(|job| job.cancelled_at.is_some())
        })
    }
}
