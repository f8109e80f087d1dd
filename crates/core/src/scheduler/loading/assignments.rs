//! Loads the assignment pages.

use crate::context::Context;
use crate::scheduler::loading::page_number;
use crate::scheduler::Scheduler;
use crate::state::jobs::JobIndex;
use crate::state::machine::{Assignment, Stop, TaskOnMachine};
use crate::state::write_buffer::RecordId;
use crate::SECOND;
use grebewood_partition::PartitionId;
use grebewood_wire::http::{from_value, KeyValue, Submission};
use grebewood_wire::peer::{PlacedTask, TaskAttempt};
use grebewood_wire::records::{job_key, AssignmentPageRecord, MachineAssignments};
use grebewood_wire::Value;
use log::error;

/// Launch of an assignment that an earlier leader or holder wrote: earlier than every heartbeat.
const LAUNCHED_EARLIER: (u64, u64) = (0, 0);

/// An assignment page that is being loaded.
#[derive(Clone, Copy)]
struct LoadedPage {
    number: u64,
    /// The partition whose holder writes the page; `None` if the leader does.
    written_by: Option<PartitionId>,
    /// Whether this scheduler writes the page.
    is_own: bool,
}

/// Job of a loaded assignment.
#[derive(Clone, Copy)]
enum LoadedJob {
    /// The record of the job has been read.
    Known(JobIndex),
    /// The record of the job cannot be decoded.
    Unreadable,
}

impl Scheduler {
    /// Loads all assignment pages.
    pub(crate) fn load_assignment_pages(
        &mut self,
        context: &mut Context,
        mut entries: Vec<KeyValue<Value>>,
    ) {
        // An earlier version may have listed the tasks that a holder has placed on the leader's pages, too. Those are
        // the holder's, which counts them in its quota grant.
        entries.sort_by_key(|entry| {
            let number = page_number(&entry.key);
            number.is_none_or(|number| self.partition_writing_page(context, number).is_none())
        });
        for entry in entries {
            self.write_buffer
                .record_revision(&entry.key, entry.mod_revision);
            self.load_assignment_page(context, &entry);
        }
    }

    fn load_assignment_page(&mut self, context: &mut Context, entry: &KeyValue<Value>) {
        let number = page_number(&entry.key);
        let (Some(number), Ok(record)) = (number, from_value::<AssignmentPageRecord>(&entry.value))
        else {
            return self.on_unreadable_page(context, &entry.key, number);
        };
        let written_by = self.partition_writing_page(context, number);
        let page = LoadedPage {
            number,
            written_by,
            is_own: written_by.is_some() == self.is_holder(),
        };
        if page.is_own {
            self.page_mut(number);
        }
        for machine in &record.machines {
            for (job, task, attempt) in &machine.assignments {
                let (task, attempt) = (*task, *attempt);
                let attempt = TaskAttempt { attempt, task };
                self.load_assignment(context, page, machine, job, attempt);
            }
        }
        if let Some(partition) = written_by.filter(|_| !page.is_own) {
            self.schedule_quota_grant_write(context, partition, 0);
        }
    }

    /// Handles a page that cannot be decoded. Its assignments are unknown, so no task is started until every machine
    /// has had time to send a heartbeat or to be terminated.
    fn on_unreadable_page(&mut self, context: &Context, key: &str, number: Option<u64>) {
        error!(key = key; "cannot decode an assignment page; placing no task until all machines have had time to send a heartbeat");
        self.placement.blocked_until =
            context.now.steady + context.settings.agent_lease * 2 + 10 * SECOND;
        if let Some(number) = number {
            self.page_mut(number).unreadable = true;
        }
    }

    fn load_assignment(
        &mut self,
        context: &Context,
        page: LoadedPage,
        machine: &MachineAssignments,
        job: &str,
        attempt: TaskAttempt,
    ) {
        // A job that is not found has ended. Tasks of it that still run are stopped when a heartbeat lists them.
        let Some(loaded_job) = self.find_loaded_job(job) else {
            return;
        };
        if self.is_assigned(&machine.machine, job, attempt) {
            // The assignment is on two pages, because only the first half of a move was written. It is dropped from
            // this page.
            if page.is_own {
                let due = context.now.steady + SECOND;
                self.write_buffer
                    .mark_dirty_lazily(RecordId::AssignmentPage(page.number), due);
            }
            return;
        }
        let spec = self.take_loaded_task(loaded_job, attempt.task, &machine.zone);
        let task = PlacedTask {
            machine: machine.machine.clone(),
            incarnation: machine.incarnation,
            job: job.to_string(),
            task: attempt.task,
            attempt: attempt.attempt,
            expected_us: spec
                .as_ref()
                .map_or(SECOND, |spec| self.stats.expected_stay(spec)),
        };
        let task = TaskOnMachine {
            task: &task,
            job: loaded_job.index(),
            spec: spec.as_ref(),
            zone: machine.zone.clone(),
            now: context.now.steady,
        };
        let assignment = recovered_assignment(page, loaded_job, task);
        self.count_on_page(page, &machine.machine, &assignment);
        self.recover_machine(
            context,
            &machine.machine,
            &machine.zone,
            machine.incarnation,
        );
        self.add_assignment(&machine.machine, assignment);
    }

    /// Returns the job of an assignment; `None` if it has ended.
    fn find_loaded_job(&self, job: &str) -> Option<LoadedJob> {
        match self.jobs.find(job) {
            Some(index) => Some(LoadedJob::Known(index)),
            None => {
                let is_unreadable = self.unreadable_job_keys.contains(&job_key(job));
                is_unreadable.then_some(LoadedJob::Unreadable)
            }
        }
    }

    fn is_assigned(&self, machine: &str, job: &str, attempt: TaskAttempt) -> bool {
        let is_this = |a: &Assignment| a.id() == attempt && a.job_id == job;
        self.assignment_index(machine, is_this).is_some()
    }

    /// Marks the task as assigned if its job is known, and returns the description of the job.
    fn take_loaded_task(&mut self, job: LoadedJob, task: u64, zone: &str) -> Option<Submission> {
        let job = self.jobs.get_mut(job.index()?)?;
        job.assign_task(task);
        *job.assignments_by_zone.entry(zone.to_string()).or_insert(0) += 1;
        Some(job.spec.clone())
    }

    /// Counts the assignment on its page, or in the quota grant of the holder that writes the page.
    fn count_on_page(&mut self, page: LoadedPage, machine: &str, assignment: &Assignment) {
        if page.is_own {
            self.page_mut(page.number).add(machine, assignment);
        } else if let Some(partition) = page.written_by {
            let grants = &mut self.leader_quota.grants;
            grants.add_placed(partition, &assignment.team, assignment.amount());
        }
    }
}

impl LoadedJob {
    fn index(self) -> Option<JobIndex> {
        match self {
            LoadedJob::Known(index) => Some(index),
            LoadedJob::Unreadable => None,
        }
    }
}

fn recovered_assignment(page: LoadedPage, job: LoadedJob, task: TaskOnMachine) -> Assignment {
    // If the record of the job cannot be decoded, neither its team nor its resources are known. Its tasks are stopped,
    // and no task is placed until they are proven gone.
    let stop = match job {
        LoadedJob::Known(_) => None,
        LoadedJob::Unreadable => Some(Stop {
            grace: 0,
            since: task.now,
            sent_at: None,
        }),
    };
    Assignment {
        page: page.number,
        launched: Some(LAUNCHED_EARLIER),
        delivered: false,
        placed_by_holder: page.written_by.is_some(),
        stop,
        ..Assignment::new(task)
    }
}
