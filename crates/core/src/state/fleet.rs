//! State that the leader keeps about the cloud: booting machines, machines that are being terminated, and
//! provisioning requests.

use crate::context::Context;
use crate::{Micros, SECOND};
use grebewood_wire::http::ListedMachine;
use grebewood_wire::records::ProvisionRecord;
use std::collections::{BTreeMap, BTreeSet};

/// Boot time that is assumed for an unknown machine type, in microseconds.
pub(crate) const DEFAULT_BOOT_TIME_US: Micros = 30 * SECOND;

/// Time between the start of a leader's term and its first round of the autoscaler, in microseconds.
const FIRST_AUTOSCALER_ROUND_DELAY_US: Micros = SECOND;

/// Time between the start of a leader's term and its first read of the catalogue, in microseconds.
const FIRST_CATALOGUE_READ_DELAY_US: Micros = 60 * SECOND;

/// A kind of machine that the cloud provisions: a machine type in a zone, as spot or on-demand machine.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct MachineOffering {
    /// Name of the machine type.
    pub(crate) machine_type: String,
    /// Zone of the machine.
    pub(crate) zone: String,
    /// Whether the machine is a spot machine.
    pub(crate) spot: bool,
}

impl MachineOffering {
    /// Creates the offering of a machine type in a zone, as spot or on-demand machine.
    pub(crate) fn new(machine_type: &str, zone: &str, spot: bool) -> Self {
        MachineOffering {
            machine_type: machine_type.to_string(),
            zone: zone.to_string(),
            spot,
        }
    }
}

/// A provisioned machine that has not sent a heartbeat to this leader yet.
#[derive(Clone, Debug)]
pub(crate) struct BootingMachine {
    /// Offering that was provisioned.
    pub(crate) offering: MachineOffering,
    /// Time of the request, in microseconds.
    pub(crate) requested_at: Micros,
    /// Time at which the cloud's machine list last showed the machine, in microseconds.
    pub(crate) last_listed: Option<Micros>,
    /// Whether the cloud's machine list shows the machine with status `running`. Such a machine only has to send
    /// its first heartbeat to this leader and is not an overdue boot, regardless of its age. Without this
    /// distinction, a new leader would terminate its whole fleet as overdue boots.
    pub(crate) listed_as_running: bool,
}

/// A provisioning request. It is kept from the write of its record until the cloud has refused it, or until the
/// machine list or heartbeats have shown all of its machines.
#[derive(Clone, Debug)]
pub(crate) struct PendingProvision {
    /// Record of the request in the key-value store.
    pub(crate) record: ProvisionRecord,
    /// Time of the request, in microseconds.
    pub(crate) requested_at: Micros,
    /// Whether the record is durable. The request is not sent before.
    pub(crate) durable: bool,
    /// Whether a call with the request is in flight.
    pub(crate) in_flight: bool,
    /// Time at which the request is sent next, in microseconds.
    pub(crate) retry_at: Micros,
    /// Machines of the request that neither the machine list nor a heartbeat has shown yet; `None` until the cloud
    /// has answered which machines it provisioned.
    pub(crate) unlisted: Option<BTreeSet<String>>,
}

impl PendingProvision {
    /// Returns whether the cloud has not answered yet which machines it provisioned.
    pub(crate) fn is_unanswered(&self) -> bool {
        self.unlisted.is_none()
    }

    /// Returns whether the request may be sent or sent again once `retry_at` has come.
    fn may_be_sent(&self) -> bool {
        self.durable && !self.in_flight && self.is_unanswered()
    }

    /// Returns whether the request is to be sent now.
    pub(crate) fn is_due(&self, now: Micros) -> bool {
        self.may_be_sent() && self.retry_at <= now
    }

    /// Returns the offering that is requested.
    pub(crate) fn offering(&self) -> MachineOffering {
        let record = &self.record;
        MachineOffering::new(&record.machine_type, &record.zone, record.spot)
    }
}

/// Backoff of a machine offering that recently had no capacity.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct CapacityBackoff {
    /// Time before which the offering is not requested, in microseconds.
    pub(crate) until: Micros,
    /// Number of consecutive requests for which there was no capacity, up to a limit.
    pub(crate) refusals: u32,
}

/// State that the leader keeps about the cloud.
#[derive(Debug)]
pub struct Fleet {
    /// Machines that have not sent a heartbeat yet, by name.
    pub(crate) booting_machines: BTreeMap<String, BootingMachine>,
    /// Provisioning requests that are still open, by name.
    pub(crate) provisions: BTreeMap<String, PendingProvision>,
    /// Number of the last provisioning request of this leader.
    pub(crate) last_provision_number: u64,
    /// Machines whose termination the cloud has confirmed, each with the time of the response, in microseconds.
    pub(crate) terminated: BTreeMap<String, Micros>,
    /// Machines to be terminated.
    pub(crate) terminating: BTreeSet<String>,
    /// Whether a termination call is in flight.
    pub(crate) termination_in_flight: bool,
    /// Earliest time of the next termination call, in microseconds.
    pub(crate) next_termination: Micros,
    /// Time of the next read of a page of the cloud's machine list, in microseconds.
    pub(crate) next_list_read: Micros,
    /// Whether a read of a page of the machine list is in flight.
    pub(crate) list_in_flight: bool,
    /// Machines on the pages of the machine list that were read so far.
    pub(crate) listed_so_far: Vec<ListedMachine>,
    /// Last machine on the pages read so far, if the list has more pages.
    pub(crate) list_continues_after: Option<String>,
    /// Machines that the machine list shows as running but that have sent no heartbeat, each with the time since
    /// which that has been known, in microseconds.
    pub(crate) running_without_heartbeat: BTreeMap<String, Micros>,
    /// Time of the next round of the autoscaler, in microseconds.
    pub(crate) next_autoscaler_round: Micros,
    /// Time of the next read of the catalogue of machine types, in microseconds.
    pub next_catalogue_read: Micros,
    /// Whether a read of the catalogue is in flight.
    pub(crate) catalogue_in_flight: bool,
    /// Backoffs of machine offerings that had no capacity.
    pub(crate) capacity_backoffs: BTreeMap<MachineOffering, CapacityBackoff>,
    /// Number of boots of each machine type that were given up since the last successful one.
    pub(crate) failed_boots: BTreeMap<String, u32>,
    /// Time at which a whole machine list was last read, in microseconds.
    pub(crate) last_full_list: Option<Micros>,
    /// Time at which this leader's term started, in microseconds.
    pub(crate) term_started_at: Micros,
}

impl Fleet {
    /// Creates the state of a leader whose term starts at `now`.
    pub fn new(now: Micros) -> Self {
        Fleet {
            booting_machines: BTreeMap::new(),
            provisions: BTreeMap::new(),
            last_provision_number: 0,
            terminated: BTreeMap::new(),
            terminating: BTreeSet::new(),
            termination_in_flight: false,
            next_termination: now,
            next_list_read: now,
            list_in_flight: false,
            listed_so_far: Vec::new(),
            list_continues_after: None,
            running_without_heartbeat: BTreeMap::new(),
            next_autoscaler_round: now + FIRST_AUTOSCALER_ROUND_DELAY_US,
            next_catalogue_read: now + FIRST_CATALOGUE_READ_DELAY_US,
            catalogue_in_flight: false,
            capacity_backoffs: BTreeMap::new(),
            failed_boots: BTreeMap::new(),
            last_full_list: None,
            term_started_at: now,
        }
    }

    /// Returns the time at which the next action is due, in microseconds.
    pub fn next_wake(&self) -> Micros {
        let mut at = self.next_autoscaler_round.min(self.next_catalogue_read);
        if !self.list_in_flight {
            at = at.min(self.next_list_read);
        }
        at = at.min(self.termination_wake());
        for provision in self.provisions.values() {
            if provision.may_be_sent() {
                at = at.min(provision.retry_at);
            }
        }
        at
    }

    /// Returns the record of an open provisioning request.
    pub fn provision_record(&self, name: &str) -> Option<ProvisionRecord> {
        self.provisions.get(name).map(|p| p.record.clone())
    }

    /// Records that the record of a provisioning request is durable, so that the request may be sent from now on.
    pub fn record_provision_durable(&mut self, now: Micros, name: &str) {
        if let Some(provision) = self.provisions.get_mut(name) {
            provision.durable = true;
            provision.retry_at = now;
        }
    }

    /// Takes over a provisioning request of an earlier leader. The request is sent again under the same name, which
    /// makes it idempotent.
    pub fn recover_provision(&mut self, context: &Context, name: String, record: ProvisionRecord) {
        let now = context.now.steady;
        let age = context.now.wall.saturating_sub(record.requested_us);
        let provision = PendingProvision {
            record,
            requested_at: now.saturating_sub(age),
            durable: true,
            in_flight: false,
            retry_at: now,
            unlisted: None,
        };
        self.provisions.insert(name, provision);
    }

    /// Returns the provisioning requests for which the cloud has not answered yet which machines it provisioned.
    pub(crate) fn unanswered_provisions(&self) -> impl Iterator<Item = &PendingProvision> {
        self.provisions.values().filter(|p| p.is_unanswered())
    }

    /// Records that the machine list or a heartbeat has shown the machine, so that its provisioning request need not
    /// be kept for this machine any longer.
    pub(crate) fn record_listed(&mut self, machine: &str) {
        for provision in self.provisions.values_mut() {
            if let Some(unlisted) = &mut provision.unlisted {
                unlisted.remove(machine);
            }
        }
    }

    /// Returns whether the offering is not requested now because it recently had no capacity.
    pub(crate) fn is_unavailable(&self, offering: &MachineOffering, now: Micros) -> bool {
        let backoff = self.capacity_backoffs.get(offering);
        backoff.is_some_and(|backoff| backoff.until > now)
    }

    /// Returns whether a whole machine list has been read.
    pub fn has_machine_list(&self) -> bool {
        self.last_full_list.is_some()
    }

    /// Returns whether the cloud has confirmed the termination of the machine.
    pub fn is_terminated(&self, name: &str) -> bool {
        self.terminated.contains_key(name)
    }

    /// Returns the machines whose termination was confirmed within the last `span` microseconds.
    pub(crate) fn terminated_within(&self, now: Micros, span: Micros) -> Vec<String> {
        let recent = self.terminated.iter();
        let recent = recent.filter(|(_, at)| now.saturating_sub(**at) <= span);
        recent.map(|(name, _)| name.clone()).collect()
    }

    /// Returns the time of the next termination call, in microseconds; [`Micros::MAX`] if none is to be sent.
    pub(crate) fn termination_wake(&self) -> Micros {
        match self.terminating.is_empty() || self.termination_in_flight {
            true => Micros::MAX,
            false => self.next_termination,
        }
    }

    /// Returns whether the machine is to be terminated and the cloud has not confirmed that yet.
    pub fn is_terminating(&self, name: &str) -> bool {
        self.terminating.contains(name)
    }

    /// Returns whether the machine is still booting.
    pub fn is_booting(&self, name: &str) -> bool {
        self.booting_machines
            .get(name)
            .is_some_and(|b| !b.listed_as_running)
    }

    /// Queues the machine for termination. Returns false if it is already queued or terminated.
    pub fn terminate(&mut self, name: &str, now: Micros) -> bool {
        self.next_termination = self.next_termination.min(now);
        !self.is_terminated(name) && self.terminating.insert(name.to_string())
    }

    /// Returns the number of booting machines, including those of unanswered provisioning requests.
    pub(crate) fn booting_count(&self) -> usize {
        let requested: u64 = self.unanswered_provisions().map(|p| p.record.number).sum();
        self.booting_machines.len() + requested as usize
    }
}
