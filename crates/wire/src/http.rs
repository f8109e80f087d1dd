//! HTTP bodies, by the client or server that exchanges them with a controller. The Rust names are the usual terms
//! in cluster scheduling; the serde names are the protocol's.

mod agents;
mod cloud;
mod store;
mod users;

pub use crate::protocol_names::{ExitCause, TaskStatus, Verb};
pub use agents::{Command, DirectCommands, Heartbeat, HeartbeatResponse, Redirect, ReportedTask};
pub use cloud::{
    Catalogue, ListedMachine, MachineList, MachineNames, MachineType, ProvisionRequest,
};
pub use store::{
    from_value, to_value, Condition, KeyValue, KeyValueList, Lease, LeaseRequest, Operation,
    Transaction, TransactionApplied, TransactionConflict, WatchEvent, WatchResponse,
};
pub use users::{ErrorResponse, JobAccepted, JobStatus, Priority, Shape, Submission};
