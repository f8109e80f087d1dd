//! Messages between controllers: one request, one answer, over `POST /peer`.

use serde::{Deserialize, Serialize};

/// A question or hint to another controller.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerRequest {
    /// Asks whether the other one has contact with the state service, and which cancellations it
    /// has confirmed to users in the last `known_us` (`None`: ever).
    Contact {
        /// Who asks.
        from: String,
        /// Number of the question; 0 from a version that asks for no cancellations.
        #[serde(default)]
        question: u64,
        /// Time since which the asker knows all that the other one confirmed.
        #[serde(default)]
        known_us: Option<u64>,
    },
    /// The leader's view of live jobs, for display: `(job, completed tasks, running tasks)`.
    /// Never trusted over state.
    Progress {
        /// The leader's name.
        from: String,
        /// Its fencing token.
        token: u64,
        /// Progress of each job.
        jobs: Vec<(String, u64, u64)>,
    },
}

/// The answer to a [`PeerRequest`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PeerAnswer {
    /// Who answers.
    pub member: String,
    /// Microseconds since the state service last answered it, if it ever did.
    pub state_contact_age_us: Option<u64>,
    /// The highest fencing token it knows of.
    pub token: u64,
    /// The highest fencing token of a grant that it read from state or holds.
    #[serde(default)]
    pub grant: u64,
    /// What it has confirmed to users; not from a version that does not remember it.
    #[serde(default)]
    pub confirmed: Option<Confirmed>,
}

/// Cancellations that a node has confirmed to users.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Confirmed {
    /// The question that this answers.
    pub question: u64,
    /// For how long the node has remembered all that it told; `None`: the list is not whole.
    pub remembers_us: Option<u64>,
    /// Jobs, and how long ago a user was first told.
    pub jobs: Vec<(String, u64)>,
}
