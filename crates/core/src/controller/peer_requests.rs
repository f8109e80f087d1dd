//! Handles requests of other controllers: contact requests, task counts of live jobs from the leader, and the
//! leader's orders to partition holders.

use crate::controller::{Controller, TaskCounts};
use crate::Effect;
use grebewood_wire as wire;
use grebewood_wire::peer::{PeerRequest, PeerResponse};
use log::{debug, warn};

/// Maximum number of live jobs whose task counts, as sent by the leader, a controller keeps to answer users.
const MAX_PROGRESS_JOBS: usize = 4_000;

impl Controller {
    /// Routes a request on the peer interface.
    pub(crate) fn on_peer_request(&mut self, id: u64, method: &str, path: &str, body: &[u8]) {
        match (method, path) {
            ("POST", "/peer") => self.on_peer_message(id, body),
            (_, "/peer") => self.context.refuse(id, 405, "only POST"),
            _ => self.context.refuse(id, 404, "no such path"),
        }
    }

    fn on_peer_message(&mut self, id: u64, body: &[u8]) {
        let request: PeerRequest = match wire::from_peer(body) {
            Ok(request) => request,
            Err(e) => {
                warn!(error:% = e; "cannot decode a request of a peer");
                return self.context.refuse(id, 400, "not a peer message");
            }
        };
        let mut confirmed = None;
        let mut limits = None;
        let mut report = None;
        match request {
            PeerRequest::Contact {
                from,
                question,
                known_us,
                wants_limits,
            } => {
                debug!(member = from.as_str(); "received a contact request of a peer");
                let now = self.context.now.steady;
                let cancellations = &self.context.cancellations;
                confirmed =
                    (question > 0).then(|| cancellations.list_confirmed(question, known_us, now));
                limits = wants_limits.then(|| self.context.settings.limits().to_teams());
            }
            PeerRequest::Progress { from, token, jobs } => self.on_progress(&from, token, jobs),
            PeerRequest::Partition(orders) => report = self.on_orders(orders),
        }
        let response = PeerResponse {
            member: self.context.settings.member.clone(),
            store_contact_age_us: self.context.store_contact_age(),
            token: self.context.token,
            highest_leader_token: self.election.highest_token(),
            confirmed,
            supports_partitions: self.context.supports_partitions(),
            supports_quota_grants: self.context.supports_quota_grants(),
            limits,
            report,
        };
        self.context.effects.push(Effect::Answer {
            id,
            status: 200,
            body: wire::to_peer(&response),
            retry_after: None,
        });
    }

    /// Handles task counts of live jobs. Task counts from any member but the leader that the leader record names
    /// are ignored.
    fn on_progress(&mut self, from: &str, token: u64, jobs: Vec<(String, u64, u64)>) {
        if !self.election.is_led_by(from, token) {
            return;
        }
        for (job, completed, running) in jobs {
            self.progress.insert(job, TaskCounts { completed, running });
        }
        while self.progress.len() > MAX_PROGRESS_JOBS {
            self.progress.pop_first();
        }
    }
}
