//! Receives agents' heartbeats and routes each to the scheduler that may answer it, or redirects it.

use crate::controller::Controller;
use grebewood_partition::PartitionId;
use grebewood_wire as wire;
use grebewood_wire::http::{Heartbeat, Redirect};

impl Controller {
    /// Takes an agent's heartbeat.
    pub(crate) fn on_heartbeat(&mut self, id: u64, body: &[u8]) {
        let heartbeat: Heartbeat = match wire::from_cbor(body) {
            Ok(heartbeat) => heartbeat,
            Err(e) => return self.context.refuse(id, 400, &e.to_string()),
        };
        if let Some(reason) = heartbeat.invalid_field() {
            return self.context.refuse(id, 400, reason);
        }
        self.context.token = self.context.token.max(heartbeat.token);
        match self.partition_of(&heartbeat) {
            Some(partition) => self.on_partition_heartbeat(id, partition, heartbeat),
            None => self.on_leader_heartbeat(id, heartbeat),
        }
    }

    /// A heartbeat of a machine that is in no partition: the leader answers it, others redirect it.
    fn on_leader_heartbeat(&mut self, id: u64, heartbeat: Heartbeat) {
        let may_renew = self.may_renew_agent_leases();
        let Some(leader) = &mut self.leader else {
            return self.redirect_to_leader(id);
        };
        // The heartbeat may have come in during a process pause, and the lease may have expired.
        if leader.uncertain() {
            let reason = "it is not certain who leads";
            return self.context.refuse(id, 503, reason);
        }
        // Its machine may be in a partition: an answer would take it from its holder.
        if !leader.knows_partitions(&self.context) {
            let reason = "partitions are not known yet";
            return self.context.refuse(id, 503, reason);
        }
        // Before the store is read only the controller's own knowledge of cancellations stops tasks.
        if !leader.loaded() && !may_renew {
            let reason = "cancellations are not known yet";
            return self.context.refuse(id, 503, reason);
        }
        if heartbeat.token <= leader.token {
            return leader.on_heartbeat(&mut self.context, id, heartbeat);
        }
        // Another member acts under a higher token, and it is not known here which one.
        self.context.answer(id, 421, &Redirect { controller: None });
    }

    /// Sends an agent to the leader, unless none is known or the record names this member although this
    /// process does not lead.
    fn redirect_to_leader(&mut self, id: u64) {
        let own_name = self.context.settings.member.as_str();
        let leader = self.election.leader().filter(|name| *name != own_name);
        let leader = leader.map(str::to_string);
        self.context
            .answer(id, 421, &Redirect { controller: leader });
    }

    /// The partition of the heartbeat's machine. The leader goes by what it read under its lease, other
    /// controllers by their copy of the map: that only decides where an agent is sent.
    fn partition_of(&self, heartbeat: &Heartbeat) -> Option<PartitionId> {
        let (zone, machine) = (&heartbeat.zone, &heartbeat.machine);
        match &self.leader {
            Some(leader) => leader.remote_partitions.partition_of(zone, machine),
            None => self.partitions.map.partition_of_machine(zone, machine),
        }
    }

    /// A heartbeat of a machine that is in a partition: its holder answers it, others redirect it.
    fn on_partition_heartbeat(&mut self, id: u64, partition: PartitionId, heartbeat: Heartbeat) {
        let may_renew = self.may_renew_agent_leases();
        let Some(holder) = self.partitions.holders.get_mut(&partition) else {
            return self.redirect_to_holder(id, partition);
        };
        if holder.uncertain() {
            let reason = "it is not certain who holds it";
            return self.context.refuse(id, 503, reason);
        }
        if !holder.loaded() && !may_renew {
            let reason = "cancellations are not known yet";
            return self.context.refuse(id, 503, reason);
        }
        if heartbeat.token <= holder.token {
            return holder.on_heartbeat(&mut self.context, id, heartbeat);
        }
        self.context.answer(id, 421, &Redirect { controller: None });
    }

    /// Sends an agent to the member that its partition is assigned to.
    fn redirect_to_holder(&mut self, id: u64, partition: PartitionId) {
        let Some(holder) = self.other_holder_of(partition) else {
            let reason = "its partition is not held yet";
            return self.context.refuse(id, 503, reason);
        };
        let leader = Some(holder);
        self.context
            .answer(id, 421, &Redirect { controller: leader });
    }
}
