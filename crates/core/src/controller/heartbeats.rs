//! Receives agents' heartbeats and routes each to the scheduler that may answer it, or redirects it.

use crate::controller::Controller;
use grebewood_partition::PartitionId;
use grebewood_wire as wire;
use grebewood_wire::http::{Heartbeat, Redirect};

impl Controller {
    pub(crate) fn on_heartbeat(&mut self, id: u64, body: &[u8]) {
        let report: Heartbeat = match wire::from_cbor(body) {
            Ok(r) => r,
            Err(e) => return self.context.refuse(id, 400, &e.to_string()),
        };
        if let Some(why) = report.invalid_field() {
            return self.context.refuse(id, 400, why);
        }
        self.context.token = self.context.token.max(report.token);
        if let Some(partition) = self.partition_to_report_to(&report) {
            return self.on_partition_heartbeat(id, partition, report);
        }
        let me = self.context.settings.member.clone();
        let unread = self.leader.as_ref().is_some_and(|l| !l.loaded());
        let blind = unread && !self.may_renew();
        match &mut self.leader {
            // It may have come in during the standstill, and the grant may have run out.
            Some(leader) if leader.uncertain() => {
                self.context.refuse(id, 503, "it is not certain who leads");
            }
            // Its machine may be in a partition: an answer would take it from its holder.
            Some(leader) if !leader.knows_partitions(&self.context) => {
                self.context.refuse(id, 503, "partitions are not known yet");
            }
            // Before state is read only the node's own knowledge of cancellations stops tasks.
            Some(_) if blind => {
                self.context
                    .refuse(id, 503, "cancellations are not known yet");
            }
            Some(leader) if report.token <= leader.token => {
                leader.on_heartbeat(&mut self.context, id, report)
            }
            // Somebody with a higher token acts for the controllers: not us, and it is not known
            // here who.
            Some(_) => self.context.answer(id, 421, &Redirect { leader: None }),
            None => {
                let leader = self
                    .election
                    .leader()
                    .filter(|l| *l != me)
                    .map(str::to_string);
                self.context.answer(id, 421, &Redirect { leader });
            }
        }
    }

    /// The partition of a reporting machine. The leader goes by what it read under its grant, other
    /// nodes by their copy of the map: that only decides where a worker is sent.
    fn partition_to_report_to(&self, report: &Heartbeat) -> Option<PartitionId> {
        match &self.leader {
            Some(leader) => leader
                .remote_partitions
                .partition_of(&report.zone, &report.machine),
            None => self.partitions.map.find(&report.zone, &report.machine),
        }
    }

    /// A check-in of a machine that is in a partition: its holder answers it, others lead it there.
    fn on_partition_heartbeat(&mut self, id: u64, partition: PartitionId, report: Heartbeat) {
        let may_renew = self.may_renew();
        let Some(holder) = self.partitions.holders.get_mut(&partition) else {
            return match self.holder_to_report_to(partition) {
                Some(leader) => self.context.answer(
                    id,
                    421,
                    &Redirect {
                        leader: Some(leader),
                    },
                ),
                None => self
                    .context
                    .refuse(id, 503, "its partition is not held yet"),
            };
        };
        if holder.uncertain() {
            return self
                .context
                .refuse(id, 503, "it is not certain who holds it");
        }
        if !holder.loaded() && !may_renew {
            return self
                .context
                .refuse(id, 503, "cancellations are not known yet");
        }
        match report.token <= holder.token {
            true => holder.on_heartbeat(&mut self.context, id, report),
            false => self.context.answer(id, 421, &Redirect { leader: None }),
        }
    }
}
