//! HTTP bodies, by who exchanges them with a controller. Fields have the standard terms of the field; the
//! protocol's own words are their serde names.

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
