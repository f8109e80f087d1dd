//! Checks that a controller answers agents only while the key-value store has the record whose mod_revision is its
//! fencing token: the leader record, or its claim on a partition.

use super::super::configuration::member_name;
use super::super::events::Requester;
use super::super::World;
use crate::time::{as_seconds, Micros};
use grebewood_core::Effect;
use grebewood_wire::from_cbor;
use grebewood_wire::http::HeartbeatResponse;
use grebewood_wire::records::{PartitionKey, LEADER_KEY, PARTITION_PREFIX};
use std::collections::BTreeMap;

/// When controllers last were entitled to answer agents, or could not know that they were not.
#[derive(Default)]
pub(in crate::world) struct FencingObservations {
    /// When the key-value store last had the record of a fencing token, by token.
    on_record_at: BTreeMap<u64, Micros>,
    /// When a controller last was without contact with the key-value store, or paused, by controller.
    hindered_at: BTreeMap<usize, Micros>,
}

impl World {
    /// Records which fencing tokens are on record now, and which controllers cannot read the key-value store.
    pub(super) fn observe_fencing_records(&mut self) {
        for token in self.fencing_tokens_on_record() {
            self.checks.fencing.on_record_at.insert(token, self.now);
        }
        for controller in 0..self.controllers.len() {
            if self.is_hindered(controller) {
                let hindered_at = &mut self.checks.fencing.hindered_at;
                hindered_at.insert(controller, self.now);
            }
        }
    }

    fn fencing_tokens_on_record(&self) -> Vec<u64> {
        let leader = self.store.entries_with_prefix(LEADER_KEY);
        let claims = self.store.entries_with_prefix(PARTITION_PREFIX);
        let claims = claims
            .filter(|(key, ..)| matches!(PartitionKey::parse(key), Some(PartitionKey::Claim(_))));
        let tokens = leader
            .chain(claims)
            .map(|(_, _, mod_revision)| mod_revision);
        tokens.collect()
    }

    /// Returns whether a controller is paused or gets no answers from the key-value store, so that it cannot know
    /// whether its record is still there.
    fn is_hindered(&self, controller: usize) -> bool {
        self.store.is_down
            || self.now < self.network.refused_until(controller)
            || self.network.is_cut_from_store(controller, self.now)
            || self.now < self.controllers[controller].paused_until
    }

    /// Checks an effect of a controller: if the effect answers an agent with 200, the record of its fencing token
    /// may not have been gone for longer than an agent's lease during which the controller had contact with the
    /// key-value store.
    pub(in crate::world) fn check_fencing_token(&mut self, controller: usize, effect: &Effect) {
        let Some(token) = self.token_sent_to_agent(controller, effect) else {
            return;
        };
        let now = self.now;
        let fencing = &mut self.checks.fencing;
        let on_record_at = *fencing.on_record_at.entry(token).or_insert(now);
        let hindered_at = fencing.hindered_at.get(&controller).copied().unwrap_or(0);
        let gone_for = now - on_record_at.max(hindered_at);
        if gone_for > self.configuration.settings.agent_lease {
            let member = member_name(controller);
            let seconds = as_seconds(gone_for);
            self.note_violation(format!(
                "{member} answers an agent under token {token}, whose record has been gone for {seconds} s"
            ));
        }
    }

    /// Returns the fencing token in an effect that answers an agent's heartbeat with 200.
    fn token_sent_to_agent(&self, controller: usize, effect: &Effect) -> Option<u64> {
        let Effect::Answer {
            id,
            status: 200,
            body,
            ..
        } = effect
        else {
            return None;
        };
        let requester = self.calls.requests.get(&(controller, *id))?;
        let is_agent = matches!(
            requester,
            Requester::Heartbeat { .. } | Requester::HeartbeatCopy { .. }
        );
        let response = from_cbor::<HeartbeatResponse>(body).ok()?;
        is_agent.then_some(response.token)
    }
}
