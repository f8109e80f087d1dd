//! Task failures on a machine, as evidence for a fault of the machine.

/// Number of consecutive failures, all of tasks of one job, after which the machine may be at fault.
const MIN_FAILURES_OF_ONE_JOB: usize = 4;

/// Maximum number of failures that are remembered for each machine.
const MAX_FAILURES: usize = 8;

/// Which jobs the failures on a machine come from, as evidence for a fault of the machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FailureAttribution {
    /// Too few failures to blame the machine.
    None,
    /// Repeated failures of tasks of a single job: the machine or the job may be at fault.
    ByOneJob,
    /// Failures of tasks of at least two jobs.
    ByTwoJobs,
}

/// The task failures on a machine since a task last succeeded there.
#[derive(Clone, Debug, Default)]
pub struct MachineFailures {
    /// Ids of the jobs whose tasks failed, one entry for each failure, the latest last.
    jobs: Vec<String>,
}

impl MachineFailures {
    /// Records that a task of the job failed. Failures of jobs that are likely to be at fault themselves do not
    /// count against the machine.
    pub(crate) fn record(&mut self, job: &str, is_faulty_job: impl Fn(&str) -> bool) {
        self.jobs.push(job.to_string());
        self.forget(is_faulty_job);
        let excess = self.jobs.len().saturating_sub(MAX_FAILURES);
        self.jobs.drain(..excess);
    }

    /// Forgets the failures of jobs that are likely to be at fault themselves.
    pub(crate) fn forget(&mut self, is_faulty_job: impl Fn(&str) -> bool) {
        self.jobs.retain(|id| !is_faulty_job(id));
    }

    /// Forgets all failures, because a task succeeded on the machine.
    pub(crate) fn clear(&mut self) {
        self.jobs.clear();
    }

    /// Returns which jobs the failures come from.
    pub(crate) fn attribution(&self) -> FailureAttribution {
        let first = self.jobs.first();
        if self.jobs.iter().any(|id| Some(id) != first) {
            return FailureAttribution::ByTwoJobs;
        }
        match self.jobs.len() >= MIN_FAILURES_OF_ONE_JOB {
            true => FailureAttribution::ByOneJob,
            false => FailureAttribution::None,
        }
    }
}
