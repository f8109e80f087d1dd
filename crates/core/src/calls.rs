//! The purposes of a controller's calls to other processes. The purpose of a call decides which handler gets the
//! reply.

use crate::{Micros, Outcome};
use grebewood_partition::PartitionId;
use grebewood_wire::http::Submission;

/// The purpose of a call to another process, which decides the handler of the reply.
#[derive(Debug)]
pub enum CallPurpose {
    /// A call of the leader election.
    Election(ElectionStep),
    /// A call of the leader's or a partition holder's scheduler.
    Scheduler {
        /// The fencing token under which the call was made.
        token: u64,
        /// The call.
        call: SchedulerCall,
    },
    /// A call to the store for a user's request.
    User(UserRequest),
    /// A read that updates the view of live jobs.
    JobView(JobViewCall),
    /// A read of the catalogue of machine types.
    Catalogue(CatalogueSource),
    /// A contact request, which asks a peer for its contact with the store and the cancellations that it confirmed.
    Contact {
        /// The peer's index among the siblings in the settings.
        peer: usize,
        /// The number of the contact request.
        number: u64,
    },
    /// A read that updates the controller's copy of the partition map.
    PartitionMap(MapCall),
    /// A step of claiming a partition.
    PartitionClaim {
        /// The partition.
        partition: PartitionId,
        /// The step.
        step: ClaimStep,
    },
    /// A call whose reply is ignored.
    Ignore,
}

impl CallPurpose {
    /// Returns whether a response to the call shows contact with the store.
    pub(crate) fn shows_store_contact(&self) -> bool {
        match self {
            CallPurpose::Election(_)
            | CallPurpose::User(_)
            | CallPurpose::JobView(_)
            | CallPurpose::Catalogue(CatalogueSource::Store)
            | CallPurpose::PartitionMap(_)
            | CallPurpose::PartitionClaim { .. } => true,
            CallPurpose::Scheduler { call, .. } => !matches!(
                call,
                SchedulerCall::Cloud(_)
                    | SchedulerCall::DirectCommands { .. }
                    | SchedulerCall::Orders { .. }
            ),
            CallPurpose::Catalogue(CatalogueSource::Cloud)
            | CallPurpose::Contact { .. }
            | CallPurpose::Ignore => false,
        }
    }
}

/// Returns the status and body of a response; without a response the status is 0 and the body empty.
pub(crate) fn status_and_body(outcome: Outcome) -> (u16, Vec<u8>) {
    match outcome {
        Outcome::Answer { status, body } => (status, body),
        Outcome::Unknown | Outcome::NotSent | Outcome::TooLarge => (0, Vec::new()),
    }
}

/// A call of a scheduler. The reply is dropped if the scheduler has lost its fenced lease since.
#[derive(Debug)]
pub enum SchedulerCall {
    /// Renews the lease to which the leader record or the partition's claim record is attached.
    RenewLease,
    /// Reads the record that is attached to that lease, after a renewal without an answer.
    ReadFencedRecord,
    /// Reads a page of the keys with a prefix.
    List {
        /// The prefix.
        prefix: String,
    },
    /// Reads one key.
    Read {
        /// The key.
        key: &'static str,
    },
    /// Waits for changes of the keys with a prefix.
    Watch {
        /// The prefix.
        prefix: &'static str,
    },
    /// Writes records in a transaction.
    Flush,
    /// Reads a record back after a transaction without a clear outcome.
    FlushReadBack,
    /// Reads a record again, since its known revision may be outdated.
    Refresh {
        /// Key of the record.
        key: String,
    },
    /// A call to the cloud.
    Cloud(CloudCall),
    /// Sends a direct command to an agent: commands outside of the response to a heartbeat.
    DirectCommands {
        /// The agent's machine.
        machine: String,
    },
    /// Sends orders to the holder of a partition.
    Orders {
        /// The partition.
        partition: PartitionId,
        /// The fencing token of the claim on the partition whose holder the orders are for.
        claim: u64,
    },
}

/// A step of the leader election.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ElectionStep {
    /// Reads the leader record.
    Probe,
    /// Requests a lease.
    Lease,
    /// Puts this controller's leader record under the lease.
    Claim {
        /// The id of the lease that the leader record is put under.
        lease: u64,
        /// Whether there was a claim under the same lease before, whose outcome is unknown.
        is_repeated: bool,
    },
    /// Reads the leader record back after a put without a clear outcome.
    ReadBack {
        /// The id of the lease that the leader record was put under.
        lease: u64,
    },
}

/// A call to the cloud.
#[derive(Clone, Debug)]
pub enum CloudCall {
    /// Reads the machine types with their prices.
    MachineTypes,
    /// Lists the machines.
    List,
    /// Provisions a machine.
    Provision {
        /// The name of the provisioning request, under which it can be repeated.
        name: String,
    },
    /// Terminates machines.
    Terminate {
        /// Names of the machines.
        machines: Vec<String>,
    },
}

/// The source of the catalogue of machine types.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum CatalogueSource {
    /// The key-value store, if an earlier leader has put the catalogue there.
    #[default]
    Store,
    /// The cloud.
    Cloud,
}

impl CatalogueSource {
    /// Returns the source to ask next if this one had no catalogue.
    pub(crate) fn other(self) -> Self {
        match self {
            CatalogueSource::Store => CatalogueSource::Cloud,
            CatalogueSource::Cloud => CatalogueSource::Store,
        }
    }
}

/// A read of the partition map.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MapCall {
    /// Reads a page of the partition map's keys.
    List,
    /// Waits for changes of the partition map since the revision up to which the controller's copy is up to date.
    Watch,
}

/// A step of claiming a partition.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimStep {
    /// Requests a lease.
    Lease,
    /// Puts the partition's claim record, which names this controller, under the lease.
    Claim {
        /// The id of the lease that the partition's claim record is put under.
        lease: u64,
    },
    /// Reads the partition's claim record back after a put without a clear outcome.
    ReadBack {
        /// The id of the lease that the partition's claim record was to be put under.
        lease: u64,
    },
}

/// A read that updates the view of live jobs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobViewCall {
    /// Reads a page of the keys with this prefix.
    List(&'static str),
    /// Reads the changes of the job records since the revision up to which the view is up to date.
    Watch,
}

/// A live job, as it was in the job view when a user's request was looked up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FoundJob {
    /// Number of the job's tasks.
    pub tasks: u64,
    /// The mod_revision of the job's record.
    pub mod_revision: u64,
}

/// A user's request that needs the store.
#[derive(Clone, Debug)]
pub struct UserRequest {
    /// Number of the HTTP request, under which the controller sends the response.
    pub request: u64,
    /// The job's id.
    pub job: String,
    /// The action that the user requests.
    pub action: UserAction,
    /// The call to the store, or the update of the job view, that the request waits for.
    pub stage: UserRequestStage,
    /// Time at which the request arrived, in microseconds of the steady clock.
    pub arrived_at: Micros,
    /// The live job, once the controller has found the job in its job view.
    pub live: Option<FoundJob>,
    /// Whether the transaction that accepts the job had no clear outcome.
    pub(crate) is_acceptance_uncertain: bool,
    /// Number of times that the request was sent to the store or set to wait for the job view.
    pub(crate) rounds: u8,
}

impl UserRequest {
    /// Returns a request that has just arrived.
    pub(crate) fn new(request: u64, job: &str, action: UserAction, arrived_at: Micros) -> Self {
        UserRequest {
            request,
            job: job.to_string(),
            action,
            stage: UserRequestStage::JobView,
            arrived_at,
            live: None,
            is_acceptance_uncertain: false,
            rounds: 0,
        }
    }

    /// Returns the request at another stage.
    pub(crate) fn at_stage(self, stage: UserRequestStage) -> Self {
        UserRequest { stage, ..self }
    }
}

/// The action that a user requests for a job: submission, a query of the status, or cancellation.
#[derive(Clone, Debug)]
pub enum UserAction {
    /// Submits a job.
    Submit(Box<Submission>),
    /// Submits a job with a missing or invalid field; the text describes the error. Refused unless the job was
    /// accepted before.
    Malformed(String),
    /// Asks for a job's status.
    Poll,
    /// Cancels a job.
    Cancel,
}

/// Stage of a user's request: the call to the store, or the update of the job view, that the request waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UserRequestStage {
    /// The transaction that accepts the job.
    Accept,
    /// An update of the view of live jobs that is sent after the request arrived.
    JobView,
    /// The read of the job's final record.
    ReadFinished,
    /// The transaction that cancels the job.
    Cancel,
}
