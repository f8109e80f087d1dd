//! Messages between controllers: one request, one answer, over `POST /peer`.

use serde::{Deserialize, Serialize};

/// A question or hint to another controller.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerRequest {
    /// Asks whether the other one has contact with the state service.
    Contact { from: String },
    /// The leader's view of live jobs, for display: `(job, completed tasks, running tasks)`.
    /// Never trusted over state.
    Progress {
        from: String,
        token: u64,
        jobs: Vec<(String, u64, u64)>,
    },
}

/// The answer to a [`PeerRequest`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PeerAnswer {
    pub member: String,
    /// Microseconds since the state service last answered it, if it ever did.
    pub state_contact_age_us: Option<u64>,
    /// The highest fencing token it knows of.
    pub token: u64,
}
