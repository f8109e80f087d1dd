//! What the leader knows of the cloud: machines that boot or are being terminated, and provisioning requests.

use crate::context::Context;
use crate::{Micros, SECOND};
use grebewood_wire::http::ListedMachine;
use grebewood_wire::records::ProvisionRecord;
use std::collections::{BTreeMap, BTreeSet};

/// The boot time that is assumed of an unknown machine type, in microseconds.
pub(crate) const DEFAULT_BOOT_TIME_US: Micros = 30 * SECOND;

/// Time between the beginning of a leader's term and its first round of the autoscaler, in microseconds.
const FIRST_AUTOSCALER_ROUND: Micros = SECOND;

/// Time between the beginning of a leader's term and its first read of the catalogue, in microseconds.
const FIRST_CATALOGUE_READ: Micros = 60 * SECOND;

/// What the cloud provisions: a machine type in a zone, as spot or on-demand machine.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct MachineOffering {
    /// The name of the machine type.
    pub(crate) machine_type: String,
    /// The zone.
    pub(crate) zone: String,
    /// Whether it is a spot machine.
    pub(crate) spot: bool,
}

impl MachineOffering {
    /// The machine type in the zone, as spot or on-demand machine.
    pub(crate) fn new(machine_type: &str, zone: &str, spot: bool) -> Self {
        MachineOffering {
            machine_type: machine_type.to_string(),
            zone: zone.to_string(),
            spot,
        }
    }
}

/// A machine that was provisioned and has not sent a heartbeat to this leader yet.
#[derive(Clone, Debug)]
pub(crate) struct BootingMachine {
    /// What was provisioned.
    pub(crate) offering: MachineOffering,
    /// When it was requested, in microseconds.
    pub(crate) requested_at: Micros,
    /// When the cloud's machine list last showed it, in microseconds.
    pub(crate) last_listed: Option<Micros>,
    /// The cloud's machine list shows it as running: it has yet to send a heartbeat to this leader. However old
    /// it is, it is not an overdue boot; a new leader once terminated its whole fleet as such.
    pub(crate) running: bool,
}

/// A provisioning request, from its record in the store until all its machines are known otherwise.
#[derive(Clone, Debug)]
pub(crate) struct PendingProvision {
    /// The request, as the store has it.
    pub(crate) record: ProvisionRecord,
    /// When it was first sent, in microseconds.
    pub(crate) requested_at: Micros,
    /// Whether its record is durable: only then it is sent.
    pub(crate) durable: bool,
    /// Whether a call of it is under way.
    pub(crate) in_flight: bool,
    /// When it is sent next, in microseconds.
    pub(crate) retry_at: Micros,
    /// Once it is answered: its machines that neither the machine list nor a heartbeat has shown yet.
    pub(crate) unlisted: Option<BTreeSet<String>>,
}

impl PendingProvision {
    /// Whether the cloud has not said yet which machines it provisioned.
    pub(crate) fn is_unanswered(&self) -> bool {
        self.unlisted.is_none()
    }

    /// Whether it may be sent, or sent again, as soon as its retry is due.
    fn may_be_sent(&self) -> bool {
        self.durable && !self.in_flight && self.is_unanswered()
    }

    /// Whether it is to be sent now.
    pub(crate) fn is_due(&self, now: Micros) -> bool {
        self.may_be_sent() && self.retry_at <= now
    }

    /// What it requests.
    pub(crate) fn offering(&self) -> MachineOffering {
        let record = &self.record;
        MachineOffering::new(&record.machine_type, &record.zone, record.spot)
    }
}

/// A machine offering that had no capacity lately.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct CapacityBackoff {
    /// Nothing of it is requested before this time, in microseconds.
    pub(crate) until: Micros,
    /// How often in a row it had no capacity, up to a bound.
    pub(crate) refusals: u32,
}

/// What the leader knows of the cloud.
#[derive(Debug)]
pub struct Fleet {
    /// Machines that have not sent a heartbeat yet, by name.
    pub(crate) booting_machines: BTreeMap<String, BootingMachine>,
    /// Provisioning requests that are still open, by name.
    pub(crate) provisions: BTreeMap<String, PendingProvision>,
    /// The number of the last provisioning request of this leader.
    pub(crate) last_provision_number: u64,
    /// Machines whose termination was answered, and when, in microseconds.
    pub(crate) terminated: BTreeMap<String, Micros>,
    /// Machines to be terminated.
    pub(crate) terminating: BTreeSet<String>,
    /// Whether a termination call is under way.
    pub(crate) termination_in_flight: bool,
    /// When the next termination call may go out, in microseconds.
    pub(crate) next_termination: Micros,
    /// When the machine list is read next, in microseconds.
    pub(crate) next_list_read: Micros,
    /// Whether a page of the machine list is being read.
    pub(crate) list_in_flight: bool,
    /// The pages of the machine list that were read so far.
    pub(crate) listed_so_far: Vec<ListedMachine>,
    /// The last machine of these pages, if there are more.
    pub(crate) list_continues_after: Option<String>,
    /// Machines that the list shows as running but that never sent a heartbeat, since when, in microseconds.
    pub(crate) running_without_heartbeat: BTreeMap<String, Micros>,
    /// When the autoscaler runs next, in microseconds.
    pub(crate) next_autoscaler_round: Micros,
    /// When the catalogue of machine types is read next, in microseconds.
    pub next_catalogue_read: Micros,
    /// Whether the catalogue is being read.
    pub(crate) catalogue_in_flight: bool,
    /// Machine offerings without capacity.
    pub(crate) capacity_backoffs: BTreeMap<MachineOffering, CapacityBackoff>,
    /// Boots of each machine type that were given up since one succeeded.
    pub(crate) failed_boots: BTreeMap<String, u32>,
    /// When a whole machine list was last read, in microseconds.
    pub(crate) last_full_list: Option<Micros>,
    /// When this leader's term began, in microseconds.
    pub(crate) term_started_at: Micros,
}

impl Fleet {
    /// What a leader knows of the cloud when its term begins.
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
            next_autoscaler_round: now + FIRST_AUTOSCALER_ROUND,
            next_catalogue_read: now + FIRST_CATALOGUE_READ,
            catalogue_in_flight: false,
            capacity_backoffs: BTreeMap::new(),
            failed_boots: BTreeMap::new(),
            last_full_list: None,
            term_started_at: now,
        }
    }

    /// When something is due next, in microseconds.
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

    /// The record of a provisioning request that is still open.
    pub fn provision_record(&self, name: &str) -> Option<ProvisionRecord> {
        self.provisions.get(name).map(|p| p.record.clone())
    }

    /// The record of a provisioning request is durable: the request is sent from now on.
    pub fn note_provision_durable(&mut self, now: Micros, name: &str) {
        if let Some(provision) = self.provisions.get_mut(name) {
            provision.durable = true;
            provision.retry_at = now;
        }
    }

    /// Takes over a provisioning request of an earlier leader: it is sent again by its name, which makes it
    /// idempotent.
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

    /// Provisioning requests of which it is not known yet which machines they brought.
    pub(crate) fn unanswered_provisions(&self) -> impl Iterator<Item = &PendingProvision> {
        self.provisions.values().filter(|p| p.is_unanswered())
    }

    /// The machine list or a heartbeat shows the machine: its provisioning request need not be remembered
    /// for it.
    pub(crate) fn note_listed(&mut self, machine: &str) {
        for provision in self.provisions.values_mut() {
            if let Some(unlisted) = &mut provision.unlisted {
                unlisted.remove(machine);
            }
        }
    }

    /// Whether nothing of the offering is requested now, since it had no capacity lately.
    pub(crate) fn is_unavailable(&self, offering: &MachineOffering, now: Micros) -> bool {
        let backoff = self.capacity_backoffs.get(offering);
        backoff.is_some_and(|backoff| backoff.until > now)
    }

    /// Whether a whole machine list was read.
    pub fn has_machine_list(&self) -> bool {
        self.last_full_list.is_some()
    }

    /// Whether the machine's termination was answered.
    pub fn is_terminated(&self, name: &str) -> bool {
        self.terminated.contains_key(name)
    }

    /// Machines whose termination was answered within the last `span` microseconds.
    pub(crate) fn terminated_within(&self, now: Micros, span: Micros) -> Vec<String> {
        let recent = self.terminated.iter();
        let recent = recent.filter(|(_, at)| now.saturating_sub(**at) <= span);
        recent.map(|(name, _)| name.clone()).collect()
    }

    /// When the next termination call goes out, in microseconds.
    pub(crate) fn termination_wake(&self) -> Micros {
        match self.terminating.is_empty() || self.termination_in_flight {
            true => Micros::MAX,
            false => self.next_termination,
        }
    }

    /// Whether the machine's termination is under way.
    pub fn is_terminating(&self, name: &str) -> bool {
        self.terminating.contains(name)
    }

    /// Whether the machine is still booting.
    pub fn is_booting(&self, name: &str) -> bool {
        self.booting_machines.get(name).is_some_and(|b| !b.running)
    }

    /// Has the machine terminated. False if that is under way or done already.
    pub fn terminate(&mut self, name: &str, now: Micros) -> bool {
        self.next_termination = self.next_termination.min(now);
        !self.is_terminated(name) && self.terminating.insert(name.to_string())
    }

    /// How many machines boot, including those of provisioning requests that are not answered yet.
    pub(crate) fn booting_count(&self) -> usize {
        let requested: u64 = self.unanswered_provisions().map(|p| p.record.number).sum();
        self.booting_machines.len() + requested as usize
    }
}
