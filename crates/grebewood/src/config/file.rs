//! The settings file as it is written: the names of its fields are those of the platform. Unknown fields are
//! ignored.

use serde::Deserialize;

/// Sockets that the process may have if the file does not say.
const DEFAULT_FD_LIMIT: usize = 1_024;

/// The whole file.
#[derive(Deserialize)]
pub(super) struct SettingsFile {
    pub member: String,
    #[serde(rename = "domain")]
    pub zone: String,
    pub front: String,
    pub peer_listen: String,
    #[serde(default)]
    pub siblings: Vec<SiblingEntry>,
    pub endpoints: EndpointsSection,
    pub cluster: ClusterSection,
}

/// `[[siblings]]`: another controller.
#[derive(Deserialize)]
pub(super) struct SiblingEntry {
    pub member: String,
    #[serde(rename = "domain")]
    pub zone: String,
    #[serde(rename = "addr")]
    pub address: String,
}

/// `[endpoints]`: addresses of the services that controllers call.
#[derive(Deserialize)]
pub(super) struct EndpointsSection {
    pub cloud: String,
    #[serde(rename = "state")]
    pub store: String,
}

/// `[cluster]`: what all controllers share.
#[derive(Deserialize)]
pub(super) struct ClusterSection {
    #[serde(default)]
    pub teams: Vec<TeamEntry>,
    #[serde(default)]
    pub objectives: Vec<ObjectiveEntry>,
    #[serde(rename = "workers")]
    pub agents: AgentsSection,
    #[serde(rename = "state")]
    pub store: StoreSection,
    pub cloud: CloudSection,
    #[serde(default, rename = "quota")]
    pub process: ProcessSection,
}

/// `[[cluster.teams]]`: a team's guaranteed share and limit.
#[derive(Deserialize)]
pub(super) struct TeamEntry {
    pub name: String,
    pub cpus: f64,
    pub cpus_max: f64,
    #[serde(default)]
    pub gpus: f64,
    #[serde(default)]
    pub gpus_max: f64,
}

/// `[[cluster.objectives]]`: a service-level objective. Times are in seconds.
#[derive(Deserialize)]
pub(super) struct ObjectiveEntry {
    #[serde(default)]
    pub kind: String,
    #[serde(default)]
    pub class: String,
    pub within_s: Option<f64>,
    pub after_s: Option<f64>,
    pub worst_s: Option<f64>,
    #[serde(default)]
    pub share: f64,
}

/// `[cluster.workers]`: timing of the agents, in seconds.
#[derive(Deserialize)]
pub(super) struct AgentsSection {
    #[serde(rename = "report_s")]
    pub heartbeat_interval_s: f64,
    pub lease_s: f64,
    #[serde(rename = "cancel_s")]
    pub cancel_timeout_s: f64,
}

/// `[cluster.state]`: limits of the key-value store.
#[derive(Deserialize)]
pub(super) struct StoreSection {
    pub rps: f64,
    pub write_rps: f64,
    pub value_kb: f64,
    pub txn_ops: usize,
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
    pub rps: f64,
    pub write_rps: f64,
    pub value_kb: f64,
    pub txn_ops: usize,
}

/// `[cluster.state.next]`: the limits after an announced change; a missing one stays as it is.
#[derive(Deserialize)]
pub(super) struct NextStoreLimitsEntry {
    pub rps: Option<f64>,
    pub write_rps: Option<f64>,
    pub value_kb: Option<f64>,
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
    pub rps: f64,
    pub list_lag_s: f64,
}

/// `[cluster.quota]`: limits of this process.
#[derive(Deserialize)]
pub(super) struct ProcessSection {
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
