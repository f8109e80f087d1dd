//! What each call to another process is for, so that its reply reaches the part that waits for it.

use crate::{Micros, Outcome};
use grebewood_partition::PartitionId;
use grebewood_wire::http::Submission;

/// What a reply is for.
#[derive(Debug)]
pub enum CallPurpose {
    /// A step of the election.
    Election(ElectionStep),
    /// A call that the leader's or a partition holder's scheduler made.
    Scheduler {
        /// The fencing token under which the call was made.
        token: u64,
        /// The call.
        call: SchedulerCall,
    },
    /// The store's part in a user's request.
    User(UserRequest),
    /// An update of the view of live jobs.
    JobView(JobViewCall),
    /// The catalogue of machine types.
    Catalogue(CatalogueSource),
    /// A peer's contact with the store and the cancellations it confirmed.
    Contact {
        /// The peer's place in the settings.
        peer: usize,
        /// The number of the question.
        question: u64,
    },
    /// The controller's copy of the partition map.
    PartitionMap(MapCall),
    /// A claim on a partition.
    PartitionClaim {
        /// The partition.
        partition: PartitionId,
        /// How far the claim has come.
        step: ClaimStep,
    },
    /// Nothing depends on the reply.
    Ignore,
}

impl CallPurpose {
    /// Whether an answer shows that the store serves this controller.
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

/// Status and body of an answer; without an answer the status is 0 and the body empty.
pub(crate) fn status_and_body(outcome: Outcome) -> (u16, Vec<u8>) {
    match outcome {
        Outcome::Answer { status, body } => (status, body),
        Outcome::Unknown | Outcome::NotSent | Outcome::TooLarge => (0, Vec::new()),
    }
}

/// Calls that a scheduler waits for; a reply that comes after it lost its lease is dropped.
#[derive(Debug)]
pub enum SchedulerCall {
    /// Renews the lease.
    RenewLease,
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
    /// Reads back what a transaction without a clear outcome wrote.
    FlushReadBack,
    /// Reads a record again that may have changed.
    Refresh {
        /// Its key.
        key: String,
    },
    /// A call to the cloud.
    Cloud(CloudCall),
    /// Commands to an agent that does not wait for an answer to a heartbeat.
    DirectCommands {
        /// The agent's machine.
        machine: String,
    },
    /// Orders to the holder of a partition.
    Orders {
        /// The partition.
        partition: PartitionId,
        /// The fencing token of the claim that is addressed.
        claim: u64,
    },
}

/// A call of the election.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ElectionStep {
    /// Reads who leads.
    Probe,
    /// Asks for a lease.
    Lease,
    /// Puts the leader record.
    Claim {
        /// The lease that the record is put under.
        lease: u64,
    },
    /// Reads the leader record back after a claim without a clear outcome.
    ReadBack {
        /// The lease that the record was put under.
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
        /// The name under which the request can be repeated.
        name: String,
    },
    /// Terminates machines.
    Terminate {
        /// Their names.
        machines: Vec<String>,
    },
}

/// Where the catalogue of machine types is read.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum CatalogueSource {
    /// The key-value store, where an earlier leader has put it.
    #[default]
    Store,
    /// The cloud.
    Cloud,
}

impl CatalogueSource {
    /// Where to ask next after this source had no catalogue.
    pub(crate) fn other(self) -> Self {
        match self {
            CatalogueSource::Store => CatalogueSource::Cloud,
            CatalogueSource::Cloud => CatalogueSource::Store,
        }
    }
}

/// A request for the partition map.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MapCall {
    /// A page of its keys.
    List,
    /// Changes since the revision that was read.
    Watch,
}

/// How far a claim on a partition has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimStep {
    /// Asks for a lease.
    Lease,
    /// Writes the claim.
    Claim {
        /// The lease that the claim is put under.
        lease: u64,
    },
    /// Reads the claim back, since the outcome is not known.
    ReadBack {
        /// The lease that the claim was put under.
        lease: u64,
    },
}

/// A request to the store that brings the view of live jobs up to date.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobViewCall {
    /// A page of the keys with this prefix.
    List(&'static str),
    /// Changes since the revision that was read.
    Watch,
}

/// A live job as a user's request found it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FoundJob {
    /// Number of its tasks.
    pub tasks: u64,
    /// The mod_revision of its record.
    pub mod_revision: u64,
}

/// A user's request that waits for the store.
#[derive(Clone, Debug)]
pub struct UserRequest {
    /// Identifies the request when it is answered.
    pub request: u64,
    /// The job's id.
    pub job: String,
    /// What the user asked for.
    pub action: UserAction,
    /// How far it has come.
    pub stage: UserRequestStage,
    /// When it came in, in microseconds of the steady clock.
    pub arrived_at: Micros,
    /// The live job, once it was found.
    pub live: Option<FoundJob>,
    /// The accepting transaction had no clear outcome.
    pub(crate) uncertain: bool,
    /// How often it was sent to the store, or to wait for the view.
    pub(crate) rounds: u8,
}

impl UserRequest {
    /// A request that has just come in.
    pub(crate) fn new(request: u64, job: &str, action: UserAction, arrived_at: Micros) -> Self {
        UserRequest {
            request,
            job: job.to_string(),
            action,
            stage: UserRequestStage::JobView,
            arrived_at,
            live: None,
            uncertain: false,
            rounds: 0,
        }
    }

    /// The same request at another stage.
    pub(crate) fn at_stage(self, stage: UserRequestStage) -> Self {
        UserRequest { stage, ..self }
    }
}

/// What a user asked for.
#[derive(Clone, Debug)]
pub enum UserAction {
    /// Accept a job.
    Submit(Box<Submission>),
    /// A submission that lacks a field or has an invalid one, and why: refused, unless it repeats
    /// that of an accepted job.
    Malformed(String),
    /// Tell a job's status.
    Poll,
    /// Cancel a job.
    Cancel,
}

/// How far a user's request has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UserRequestStage {
    /// The transaction that accepts the job.
    Accept,
    /// Waits for a view of the live jobs that is no older than the request.
    JobView,
    /// Reads the job's final record.
    ReadFinished,
    /// The transaction that cancels the job.
    Cancel,
}
