//! Puts tasks on machines, and has that written.

use crate::context::Context;
use crate::scheduler::Scheduler;
use crate::state::jobs::JobIndex;
use crate::state::machine::{Assignment, TaskOnMachine};
use crate::state::write_buffer::RecordId;
use crate::{Micros, MILLI, SECOND};
use grebewood_wire::http::{Priority, Shape, Submission};
use grebewood_wire::peer::PlacedTask;
use log::info;

/// By how much the writes of assignments of priority `prod` go ahead of their turn, in microseconds.
const PROD_AHEAD: Micros = 60 * SECOND;

/// The same for priority `high`.
const HIGH_AHEAD: Micros = 10 * SECOND;

impl Scheduler {
    /// Puts a task on a machine, which launches it once that is durable; `attempt` is its number, and `expected`
    /// how long it is expected to stay, in microseconds.
    pub(crate) fn create_assignment(
        &mut self,
        context: &Context,
        name: &str,
        job: JobIndex,
        task: u64,
        spec: &Submission,
        (attempt, expected): (u64, Micros),
    ) {
        let now = context.now.steady;
        let page = self.page_with_room();
        let due = now.saturating_sub(write_ahead(spec));
        let written = self.write_buffer.mark_dirty_by(RecordId::Page(page), due);
        let by_holder = self.is_holder();
        self.log_service_placement(context, name, job, task, spec);
        let Some(machine) = self.machines.get_mut(name) else {
            return;
        };
        let placed = PlacedTask {
            machine: name.to_string(),
            incarnation: machine.incarnation,
            job: spec.id.clone(),
            task,
            attempt,
            expected_us: expected,
        };
        let assignment = Assignment {
            page,
            written,
            delivered: false,
            by_holder,
            ..Assignment::new(TaskOnMachine {
                task: &placed,
                job: Some(job),
                spec: Some(spec),
                zone: machine.zone.clone(),
                now,
            })
        };
        machine.use_image(&spec.image, spec.image_gb);
        machine.idle_since = now;
        self.page_mut(page).add(name, &assignment);
        self.add_assignment(name, assignment);
        // Its answer carries the launch once the page is written.
        self.wake_long_poll(context, name);
    }

    fn log_service_placement(
        &self,
        context: &Context,
        name: &str,
        index: JobIndex,
        task: u64,
        spec: &Submission,
    ) {
        let is_service = Shape::of(spec) == Some(Shape::Daemon);
        let Some(machine) = self.machines.get(name).filter(|_| is_service) else {
            return;
        };
        let job = self.jobs.get(index);
        let age = job.map_or(0, |job| job.age(context.now.steady));
        info!(
            job = spec.id, task = task, machine = name, zone = machine.zone, age_ms = age / MILLI,
            image_cached = machine.has_image(&spec.image), free_cpus = machine.free().cpus;
            "placing a task of a service"
        );
    }
}

/// By how much the write of an assignment goes ahead of its turn, in microseconds. When far more is to be written
/// than the rate allows, as after a failover, services once waited half a minute behind hundreds of batch tasks.
fn write_ahead(spec: &Submission) -> Micros {
    match spec.priority {
        Priority::Prod => PROD_AHEAD,
        Priority::High => HIGH_AHEAD,
        _ => 0,
    }
}
