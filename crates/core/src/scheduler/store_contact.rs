//! How long a leader may go on without contact to the key-value store.

use crate::scheduler::Scheduler;
use crate::state::machine::Machine;
use crate::Micros;

impl Scheduler {
    /// Machines that do not answer and on which cancelled tasks are not proven gone.
    pub(crate) fn unproven_machines(&self, now: Micros, silence: Micros) -> Vec<String> {
        let may_run_cancelled = |machine: &&Machine| {
            let mut live = machine.assignments.iter().filter(|a| a.may_exist());
            live.any(|a| {
                let job = self.jobs.get(a.job);
                job.is_some_and(|job| job.cancelled.is_some())
            })
        };
        self.machines
            .values()
            .filter(|machine| now.saturating_sub(machine.last_contact_at) > silence)
            .filter(may_run_cancelled)
            .map(|machine| machine.name.clone())
            .collect()
    }
}
