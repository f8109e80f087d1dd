//! The serialized form of the settings file. The platform defines the names of the fields; unknown fields are
//! ignored.

use serde::Deserialize;

/// File descriptors that the process may have if the file does not state a limit.
const DEFAULT_FD_LIMIT: usize = 1_024;

/// The whole file.
#[derive(Deserialize)]
pub(super) struct SettingsFile {
    /// Name of this controller.
    pub member: String,
    /// Zone that the controller runs in.
    #[serde(rename = "domain")]
    pub zone: String,
    /// Listening address for users and agents.
    pub front: String,
    /// Listening address for other controllers.
    pub peer_listen: String,
    /// The other controllers.
    #[serde(default)]
    pub siblings: Vec<SiblingEntry>,
    /// Addresses of the services that the controller calls.
    pub endpoints: EndpointsSection,
    /// Settings that all controllers share.
    pub cluster: ClusterSection,
}

/// `[[siblings]]`: another controller.
#[derive(Deserialize)]
pub(super) struct SiblingEntry {
    /// Name of the controller.
    pub member: String,
    /// Zone that the controller runs in.
    #[serde(rename = "domain")]
    pub zone: String,
    /// Address at which the controller serves other controllers.
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

/// `[cluster]`: settings that all controllers share.
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
    /// CPU limit; 0 means no limit.
    pub cpus_max: f64,
    /// Guaranteed GPUs.
    #[serde(default)]
    pub gpus: f64,
    /// GPU limit; 0 means that the team may use no GPUs.
    #[serde(default)]
    pub gpus_max: f64,
}

/// `[[cluster.objectives]]`: a service-level objective. Times are in seconds.
#[derive(Deserialize)]
pub(super) struct ObjectiveEntry {
    /// What the objective measures, such as `wait` or `up`.
    #[serde(default)]
    pub kind: String,
    /// The job class that the objective applies to.
    #[serde(default)]
    pub class: String,
    /// Time within which the measured event should happen.
    pub within_s: Option<f64>,
    /// Only for `up` objectives: time after which a service must be up; 0 means that no time is stated.
    pub after_s: Option<f64>,
    /// Only for `up` objectives: length of the time windows, of which the worst one counts.
    pub worst_s: Option<f64>,
    /// Share of the events that should meet the objective.
    #[serde(default)]
    pub share: f64,
}

/// `[cluster.workers]`: timing of the agents, in seconds.
#[derive(Deserialize)]
pub(super) struct AgentsSection {
    /// Time between two heartbeats.
    #[serde(rename = "report_s")]
    pub heartbeat_interval_s: f64,
    /// Time without a response to a heartbeat after which an agent's lease expires.
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
    /// Maximum size of a value, in units of 1024 bytes.
    pub value_kb: f64,
    /// Maximum number of operations of a transaction.
    pub txn_ops: usize,
    /// The limits after an announced change.
    pub next: Option<NextStoreLimitsEntry>,
}

impl StoreSection {
    /// Returns the current limits.
    pub fn current(&self) -> StoreLimitsEntry {
        StoreLimitsEntry {
            rps: self.rps,
            write_rps: self.write_rps,
            value_kb: self.value_kb,
            txn_ops: self.txn_ops,
        }
    }
}

/// Limits of the key-value store at one time, current or announced.
#[derive(Clone, Copy)]
pub(super) struct StoreLimitsEntry {
    /// Requests per second.
    pub rps: f64,
    /// Writes per second.
    pub write_rps: f64,
    /// Maximum size of a value, in units of 1024 bytes.
    pub value_kb: f64,
    /// Maximum number of operations of a transaction.
    pub txn_ops: usize,
}

/// `[cluster.state.next]`: the limits after an announced change. A limit that is missing does not change.
#[derive(Deserialize)]
pub(super) struct NextStoreLimitsEntry {
    /// Requests per second.
    pub rps: Option<f64>,
    /// Writes per second.
    pub write_rps: Option<f64>,
    /// Maximum size of a value, in units of 1024 bytes.
    pub value_kb: Option<f64>,
    /// Maximum number of operations of a transaction.
    pub txn_ops: Option<usize>,
}

impl NextStoreLimitsEntry {
    /// Returns the limits after the change.
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
    /// Maximum delay after which the cloud's list of machines shows a change, in seconds.
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
