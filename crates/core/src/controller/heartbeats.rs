//! Receives agents' heartbeats and routes each to the scheduler that may answer it, or redirects it.

use crate::controller::Controller;
use grebewood_partition::PartitionId;
use grebewood_wire as wire;
use grebewood_wire::http::{Heartbeat, Redirect};

impl Controller {
    /// Handles a heartbeat of an agent.
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

    /// Handles a heartbeat of a machine that is in no partition: the leader answers it, other controllers
    /// redirect it to the leader.
    fn on_leader_heartbeat(&mut self, id: u64, heartbeat: Heartbeat) {
        let may_renew = self.may_renew_agent_leases();
        let Some(leader) = &mut self.leader else {
            return self.redirect_to_leader(id);
        };
        // The heartbeat may have arrived during a process pause, and the leader's lease may have expired since.
        if leader.is_lease_uncertain() {
            let reason = "it is not certain who leads";
            return self.context.refuse(id, 503, reason);
        }
        // The machine may be in a partition: a response from the leader would take it from the partition's holder.
        if !leader.knows_partitions(&self.context) {
            let reason = "partitions are not known yet";
            return self.context.refuse(id, 503, reason);
        }
        // Until the store is read, only the cancellations that this controller knows stop tasks.
        if !leader.is_loaded() && !may_renew {
            let reason = "cancellations are not known yet";
            return self.context.refuse(id, 503, reason);
        }
        if heartbeat.token <= leader.token {
            return leader.on_heartbeat(&mut self.context, id, heartbeat);
        }
        // Another member acts under a higher fencing token, and this controller does not know which member.
        self.context.answer(id, 421, &Redirect { controller: None });
    }

    /// Redirects an agent to the leader. The response names no leader if none is known, or if the leader record
    /// names this member although this process is not the leader.
    fn redirect_to_leader(&mut self, id: u64) {
        let own_name = self.context.settings.member.as_str();
        let controller = self.election.leader().filter(|name| *name != own_name);
        let controller = controller.map(str::to_string);
        self.context.answer(id, 421, &Redirect { controller });
    }

    /// Returns the partition of the heartbeat's machine: on the leader by the partitions that it read under its
    /// lease, on other controllers by their copy of the partition map, which only decides where an agent is
    /// redirected to.
    fn partition_of(&self, heartbeat: &Heartbeat) -> Option<PartitionId> {
        let (zone, machine) = (&heartbeat.zone, &heartbeat.machine);
        match &self.leader {
            Some(leader) => leader.remote_partitions.partition_of(zone, machine),
            None => self.partitions.map.partition_of_machine(zone, machine),
        }
    }

    /// Handles a heartbeat of a machine that is in a partition: the partition's holder answers it, other
    /// controllers redirect it to the holder.
    fn on_partition_heartbeat(&mut self, id: u64, partition: PartitionId, heartbeat: Heartbeat) {
        let may_renew = self.may_renew_agent_leases();
        let Some(holder) = self.partitions.holders.get_mut(&partition) else {
            return self.redirect_to_holder(id, partition);
        };
        if holder.is_lease_uncertain() {
            let reason = "it is not certain who holds it";
            return self.context.refuse(id, 503, reason);
        }
        if !holder.is_loaded() && !may_renew {
            let reason = "cancellations are not known yet";
            return self.context.refuse(id, 503, reason);
        }
        if heartbeat.token <= holder.token {
            return holder.on_heartbeat(&mut self.context, id, heartbeat);
        }
        self.context.answer(id, 421, &Redirect { controller: None });
    }

    /// Redirects an agent to the member that its partition is assigned to.
    fn redirect_to_holder(&mut self, id: u64, partition: PartitionId) {
        let Some(holder) = self.other_holder_of(partition) else {
            let reason = "its partition is not held yet";
            return self.context.refuse(id, 503, reason);
        };
        let controller = Some(holder);
        self.context.answer(id, 421, &Redirect { controller });
    }
}
