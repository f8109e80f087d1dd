//! Creates assignments of tasks to machines and schedules the writes that record them.

use crate::context::Context;
use crate::scheduler::Scheduler;
use crate::state::jobs::JobIndex;
use crate::state::machine::{Assignment, TaskOnMachine};
use crate::state::write_buffer::RecordId;
use crate::{Micros, MILLI, SECOND};
use grebewood_wire::http::{Priority, Shape, Submission};
use grebewood_wire::peer::PlacedTask;
use log::info;

/// Time by which the writes of assignments of priority `prod` are scheduled ahead of others.
const PROD_WRITE_ADVANCE_US: Micros = 60 * SECOND;

/// Time by which the writes of assignments of priority `high` are scheduled ahead of others.
const HIGH_WRITE_ADVANCE_US: Micros = 10 * SECOND;

impl Scheduler {
    /// Assigns a task to a machine. The launch is sent to the agent of the machine once the assignment is durable.
    /// `attempt` is the attempt number, and `expected_stay` is how long the task is expected to stay on the machine,
    /// in microseconds.
    pub(crate) fn create_assignment(
        &mut self,
        context: &Context,
        name: &str,
        job: JobIndex,
        task: u64,
        spec: &Submission,
        (attempt, expected_stay): (u64, Micros),
    ) {
        let now = context.now.steady;
        let page = self.page_with_room();
        let due = now.saturating_sub(write_advance(spec));
        let page_version = self
            .write_buffer
            .mark_dirty_by(RecordId::AssignmentPage(page), due);
        let placed_by_holder = self.is_holder();
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
            expected_us: expected_stay,
        };
        let assignment = Assignment {
            page,
            page_version,
            delivered: false,
            placed_by_holder,
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
        // The response to the agent's long poll carries the launch once the page is written.
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
        let job_age = job.map_or(0, |job| job.age(context.now.steady));
        info!(
            job = spec.id, task = task, machine = name, zone = machine.zone, age_ms = job_age / MILLI,
            image_cached = machine.has_image(&spec.image), free_cpus = machine.free().cpus;
            "placed a replica of a service on a machine"
        );
    }
}

/// Returns the time by which the write of an assignment is scheduled ahead of others, in microseconds. After a
/// failover, far more writes are due than the rate limit allows. Without this lead, the writes for services wait
/// half a minute behind those of hundreds of batch tasks.
fn write_advance(spec: &Submission) -> Micros {
    match spec.priority {
        Priority::Prod => PROD_WRITE_ADVANCE_US,
        Priority::High => HIGH_WRITE_ADVANCE_US,
        _ => 0,
    }
}
