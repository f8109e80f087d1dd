//! What each call to another process is for, so that its reply reaches the part that waits for it.

use crate::Micros;
use grebewood_partition::PartitionId;
use grebewood_wire::http::Submission;

/// What a reply is for.
#[derive(Debug)]
pub enum CallPurpose {
    Election(ElectionStep),
    Scheduler {
        token: u64,
        what: SchedulerCall,
    },
    User(UserRequest),
    JobView(JobViewCall),
    /// The machine types, from state (true) or from the cloud.
    Catalogue(bool),
    /// A peer's contact with state and the cancellations it confirmed.
    Contact {
        peer: usize,
        question: u64,
    },
    /// The node's copy of the partition map.
    PartitionMap(MapCall),
    /// A claim on a partition.
    PartitionClaim {
        partition: PartitionId,
        step: ClaimStep,
    },
    /// Nothing depends on the reply.
    Ignore,
}

/// Calls that the leader waits for; a reply that comes after it stepped down is dropped.
#[derive(Debug)]
pub enum SchedulerCall {
    Extend,
    List {
        prefix: String,
    },
    Read {
        key: &'static str,
    },
    Watch {
        prefix: &'static str,
    },
    Flush,
    FlushReadBack,
    Refresh {
        key: String,
    },
    Fleet(FleetCall),
    Direct {
        machine: String,
    },
    /// Orders to the holder of a partition, under this claim.
    Orders {
        partition: PartitionId,
        claim: u64,
    },
}

/// A call of the election.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ElectionStep {
    /// Reads who leads.
    Probe,
    Lease,
    Claim {
        lease: u64,
    },
    /// Reads back after a claim without a clear outcome.
    ReadBack {
        lease: u64,
    },
}

/// A call to the cloud.
#[derive(Clone, Debug)]
pub enum FleetCall {
    Types,
    List,
    PendingProvision { name: String },
    Terminate { machines: Vec<String> },
}

/// A request for the map.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MapCall {
    /// A page of its keys.
    List,
    /// What changed since.
    WatchResponse,
}

/// How far a claim has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimStep {
    /// Asks for a lease.
    Lease,
    /// Writes the claim under this lease.
    Claim {
        /// The lease.
        lease: u64,
    },
    /// Reads it back, since the outcome is not known.
    ReadBack {
        /// The lease.
        lease: u64,
    },
}

/// A request of the view to the state service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobViewCall {
    /// A page of the keys with this prefix.
    List(&'static str),
    WatchResponse,
}

/// A user's request that waits for the state service.
#[derive(Clone, Debug)]
pub struct UserRequest {
    pub request: u64,
    pub job: String,
    pub ask: UserAction,
    pub stage: UserRequestStage,
    pub arrived: Micros,
    /// Tasks and stamp of the live job, once known.
    pub live: Option<(u64, u64)>,
    /// The accepting transaction had no clear outcome.
    pub(crate) uncertain: bool,
    pub(crate) rounds: u8,
}

/// What a user asked for.
#[derive(Clone, Debug)]
pub enum UserAction {
    Submit(Box<Submission>),
    /// A submission that lacks a field or has an invalid one, and why: refused, unless it repeats
    /// that of an accepted job.
    Malformed(String),
    Poll,
    Cancel,
}

/// How far a user's request has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UserRequestStage {
    /// The transaction that accepts the job.
    Accept,
    /// Waits for a view that is no older than the request.
    JobView,
    ReadFinished,
    /// The transaction that cancels the job.
    Cancel,
}
