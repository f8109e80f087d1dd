//! What the leader knows of the cloud: machines that boot or are being terminated, and provisioning requests.

use crate::context::Context;
use crate::{Micros, SECOND};
use grebewood_wire as wire;
use grebewood_wire::records::ProvisionRecord;
use std::collections::{BTreeMap, BTreeSet};

/// A machine that was rented and has not reported yet.
#[derive(Clone, Debug)]
pub(crate) struct Boot {
    pub(crate) machine_type: String,
    pub(crate) zone: String,
    pub(crate) spot: bool,
    pub(crate) requested: Micros,
    /// When the list last showed it.
    pub(crate) listed: Option<Micros>,
    /// The list shows it as up: it has yet to report to this leader. However old it is, it is not
    /// an overdue boot; a new leader once returned its whole fleet as such.
    pub(crate) up: bool,
}

/// A rental request.
#[derive(Clone, Debug)]
pub(crate) struct PendingProvision {
    pub(crate) record: ProvisionRecord,
    pub(crate) requested: Micros,
    pub(crate) written: bool,
    pub(crate) asking: bool,
    pub(crate) retry_at: Micros,
    /// Answered, and waiting for the list to show these.
    pub(crate) unlisted: Option<BTreeSet<String>>,
}

/// A type in a zone, as spot or ordinary machine.
pub(crate) type Offer = (String, String, bool);

/// What the leader knows of the cloud.
#[derive(Debug)]
pub struct Fleet {
    pub(crate) boots: BTreeMap<String, Boot>,
    pub(crate) provisions: BTreeMap<String, PendingProvision>,
    pub(crate) counter: u64,
    /// Machines whose release was answered, and when.
    pub(crate) gone: BTreeMap<String, Micros>,
    /// Machines to be released.
    pub(crate) terminating: BTreeSet<String>,
    pub(crate) terminate_busy: bool,
    pub(crate) terminate_at: Micros,
    pub(crate) list_at: Micros,
    pub(crate) list_busy: bool,
    pub(crate) list: Vec<wire::http::ListedMachine>,
    pub(crate) list_since: Option<String>,
    /// Machines that the list shows as up but that never reported, since when.
    pub(crate) never_reported: BTreeMap<String, Micros>,
    pub(crate) decide_at: Micros,
    pub types_at: Micros,
    pub(crate) types_busy: bool,
    /// Offers without capacity, until when, and how often in a row.
    pub(crate) unavailable: BTreeMap<Offer, (Micros, u32)>,
    /// Boots of each type that were given up since one came up.
    pub(crate) given_up: BTreeMap<String, u32>,
    /// When the last list was taken in whole.
    pub(crate) listed_at: Option<Micros>,
    pub(crate) started: Micros,
}

impl Fleet {
    pub fn new(now: Micros) -> Self {
        Fleet {
            boots: BTreeMap::new(),
            provisions: BTreeMap::new(),
            counter: 0,
            gone: BTreeMap::new(),
            terminating: BTreeSet::new(),
            terminate_busy: false,
            terminate_at: now,
            list_at: now,
            list_busy: false,
            list: Vec::new(),
            list_since: None,
            never_reported: BTreeMap::new(),
            decide_at: now + SECOND,
            types_at: now + 60 * SECOND,
            types_busy: false,
            unavailable: BTreeMap::new(),
            given_up: BTreeMap::new(),
            listed_at: None,
            started: now,
        }
    }

    pub fn next_wake(&self) -> Micros {
        let mut at = self.decide_at.min(self.types_at);
        if !self.list_busy {
            at = at.min(self.list_at);
        }
        at = at.min(self.termination_wake());
        for h in self.provisions.values() {
            if h.written && !h.asking && h.unlisted.is_none() {
                at = at.min(h.retry_at);
            }
        }
        at
    }

    /// The record of a rental that is still open.
    pub fn provision_record(&self, name: &str) -> Option<ProvisionRecord> {
        self.provisions.get(name).map(|h| h.record.clone())
    }

    pub fn provision_written(&mut self, now: Micros, name: &str) {
        if let Some(h) = self.provisions.get_mut(name) {
            h.written = true;
            h.retry_at = now;
        }
    }

    /// Takes over a rental of an earlier leader: the same request is sent again by its name, which
    /// rents nothing twice.
    pub fn recover_provision(&mut self, context: &Context, name: String, record: ProvisionRecord) {
        let now = context.now.steady;
        let age = context.now.wall.saturating_sub(record.requested_us);
        let provision = PendingProvision {
            record,
            requested: now.saturating_sub(age),
            written: true,
            asking: false,
            retry_at: now,
            unlisted: None,
        };
        self.provisions.insert(name, provision);
    }

    /// Whether a list of the cloud's was taken in.
    pub fn has_list(&self) -> bool {
        self.listed_at.is_some()
    }

    /// Whether the machine's release was answered.
    pub fn is_gone(&self, name: &str) -> bool {
        self.gone.contains_key(name)
    }

    /// Machines whose release was answered within the last `span`.
    pub(crate) fn gone_within(&self, now: Micros, span: Micros) -> Vec<String> {
        let late = self.gone.iter();
        let late = late.filter(|(_, at)| now.saturating_sub(**at) <= span);
        late.map(|(name, _)| name.clone()).collect()
    }

    /// When the next release goes out.
    pub(crate) fn termination_wake(&self) -> Micros {
        match self.terminating.is_empty() || self.terminate_busy {
            true => Micros::MAX,
            false => self.terminate_at,
        }
    }

    /// Whether the machine's return is under way.
    pub fn is_terminating(&self, name: &str) -> bool {
        self.terminating.contains(name)
    }

    /// Whether we wait for the machine to come up.
    pub fn is_booting(&self, name: &str) -> bool {
        self.boots.get(name).is_some_and(|b| !b.up)
    }

    /// Wants the machine returned. False if that is under way already.
    pub fn terminate(&mut self, name: &str, now: Micros) -> bool {
        self.terminate_at = self.terminate_at.min(now);
        !self.is_gone(name) && self.terminating.insert(name.to_string())
    }

    /// Booting machines, including those of rentals that are not answered yet.
    pub(crate) fn booting(&self) -> usize {
        let asked: u64 = self
            .provisions
            .values()
            .filter(|h| h.unlisted.is_none())
            .map(|h| h.record.number)
            .sum();
        self.boots.len() + asked as usize
    }
}
