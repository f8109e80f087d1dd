//! The settings file as it is written: the names of its fields are those of the platform. Unknown fields are
//! ignored.

use serde::Deserialize;

/// Sockets that the process may have if the file does not say.
const DEFAULT_FD_LIMIT: usize = 1_024;

/// The whole file.
#[derive(Deserialize)]
pub(super) struct SettingsFile {
    /// Name of this controller.
    pub member: String,
    /// The zone that it runs in.
    #[serde(rename = "domain")]
    pub zone: String,
    /// Address at which it serves users and agents.
    pub front: String,
    /// Address at which it serves other controllers.
    pub peer_listen: String,
    /// The other controllers.
    #[serde(default)]
    pub siblings: Vec<SiblingEntry>,
    /// Addresses of the services that it calls.
    pub endpoints: EndpointsSection,
    /// What all controllers share.
    pub cluster: ClusterSection,
}

/// `[[siblings]]`: another controller.
#[derive(Deserialize)]
pub(super) struct SiblingEntry {
    /// Its name.
    pub member: String,
    /// The zone that it runs in.
    #[serde(rename = "domain")]
    pub zone: String,
    /// Address at which it serves other controllers.
    #[serde(rename = "addr")]
    pub address: String,
}

/// `[endpoints]`: addresses of the services that controllers call.
#[derive(Deserialize)]
pub(super) struct EndpointsSection {
    /// Address of the cloud's API.
    pub cloud: String,
    /// Address of the key-value store.
    #[serde(rename = "state")]
    pub store: String,
}

/// `[cluster]`: what all controllers share.
#[derive(Deserialize)]
pub(super) struct ClusterSection {
    /// Quotas of the teams.
    #[serde(default)]
    pub teams: Vec<TeamEntry>,
    /// Service-level objectives.
    #[serde(default)]
    pub objectives: Vec<ObjectiveEntry>,
    /// Timing of the agents.
    #[serde(rename = "workers")]
    pub agents: AgentsSection,
    /// Limits of the key-value store.
    #[serde(rename = "state")]
    pub store: StoreSection,
    /// Limits of the cloud's API.
    pub cloud: CloudSection,
    /// Limits of this process.
    #[serde(default, rename = "quota")]
    pub process: ProcessSection,
}

/// `[[cluster.teams]]`: a team's guaranteed share and limit.
#[derive(Deserialize)]
pub(super) struct TeamEntry {
    /// Name of the team.
    pub name: String,
    /// Guaranteed CPUs.
    pub cpus: f64,
    /// Limit of CPUs; 0: unlimited.
    pub cpus_max: f64,
    /// Guaranteed GPUs.
    #[serde(default)]
    pub gpus: f64,
    /// Limit of GPUs; 0: the team may use none.
    #[serde(default)]
    pub gpus_max: f64,
}

/// `[[cluster.objectives]]`: a service-level objective. Times are in seconds.
#[derive(Deserialize)]
pub(super) struct ObjectiveEntry {
    /// What the objective measures, such as `wait` or `up`.
    #[serde(default)]
    pub kind: String,
    /// The job class that it is for.
    #[serde(default)]
    pub class: String,
    /// The time within which the measured event should happen.
    pub within_s: Option<f64>,
    /// Of an `up` objective: the time from which on a service is to be served; 0: not stated.
    pub after_s: Option<f64>,
    /// Of an `up` objective: the length of the spans of which the worst counts.
    pub worst_s: Option<f64>,
    /// The share of events that should meet the objective.
    #[serde(default)]
    pub share: f64,
}

/// `[cluster.workers]`: timing of the agents, in seconds.
#[derive(Deserialize)]
pub(super) struct AgentsSection {
    /// Time between two heartbeats.
    #[serde(rename = "report_s")]
    pub heartbeat_interval_s: f64,
    /// Time without a response after which an agent's lease expires.
    pub lease_s: f64,
    /// Time within which a cancellation must take effect.
    #[serde(rename = "cancel_s")]
    pub cancel_timeout_s: f64,
}

/// `[cluster.state]`: limits of the key-value store.
#[derive(Deserialize)]
pub(super) struct StoreSection {
    /// Requests per second.
    pub rps: f64,
    /// Writes per second.
    pub write_rps: f64,
    /// Largest value, in units of 1024 bytes.
    pub value_kb: f64,
    /// Most operations of a transaction.
    pub txn_ops: usize,
    /// The limits after an announced change.
    pub next: Option<NextStoreLimitsEntry>,
}

impl StoreSection {
    /// The limits in force now.
    pub fn current(&self) -> StoreLimitsEntry {
        StoreLimitsEntry {
            rps: self.rps,
            write_rps: self.write_rps,
            value_kb: self.value_kb,
            txn_ops: self.txn_ops,
        }
    }
}

/// Limits of the key-value store: requests and writes per second, size of a value, operations of a
/// transaction.
#[derive(Clone, Copy)]
pub(super) struct StoreLimitsEntry {
    /// Requests per second.
    pub rps: f64,
    /// Writes per second.
    pub write_rps: f64,
    /// Largest value, in units of 1024 bytes.
    pub value_kb: f64,
    /// Most operations of a transaction.
    pub txn_ops: usize,
}

/// `[cluster.state.next]`: the limits after an announced change; a missing one stays as it is.
#[derive(Deserialize)]
pub(super) struct NextStoreLimitsEntry {
    /// Requests per second.
    pub rps: Option<f64>,
    /// Writes per second.
    pub write_rps: Option<f64>,
    /// Largest value, in units of 1024 bytes.
    pub value_kb: Option<f64>,
    /// Most operations of a transaction.
    pub txn_ops: Option<usize>,
}

impl NextStoreLimitsEntry {
    /// The limits after the change.
    pub fn applied_to(&self, current: StoreLimitsEntry) -> StoreLimitsEntry {
        StoreLimitsEntry {
            rps: self.rps.unwrap_or(current.rps),
            write_rps: self.write_rps.unwrap_or(current.write_rps),
            value_kb: self.value_kb.unwrap_or(current.value_kb),
            txn_ops: self.txn_ops.unwrap_or(current.txn_ops),
        }
    }
}

/// `[cluster.cloud]`: limits of the cloud's API.
#[derive(Deserialize)]
pub(super) struct CloudSection {
    /// Requests per second.
    pub rps: f64,
    /// How long the cloud's list of machines may lag behind, in seconds.
    pub list_lag_s: f64,
}

/// `[cluster.quota]`: limits of this process.
#[derive(Deserialize)]
pub(super) struct ProcessSection {
    /// File descriptors that the process may have.
    #[serde(default = "default_fd_limit")]
    pub fd_limit: usize,
}

impl Default for ProcessSection {
    fn default() -> Self {
        ProcessSection {
            fd_limit: DEFAULT_FD_LIMIT,
        }
    }
}

fn default_fd_limit() -> usize {
    DEFAULT_FD_LIMIT
}
