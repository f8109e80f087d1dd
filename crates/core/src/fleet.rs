//! The fleet: renting by the deadline decider, boots, returns, and the cloud's machine list.

use crate::jobs::{fits_type, Job, JobIx, Shape, EPS};
use crate::leadership::Lead;
use crate::ledger::Rec;
use crate::node::{Ctx, LeadCall};
use crate::placement::{permits, slots};
use crate::workers::{leeway, silent_release, Machine};
use crate::{micros, Micros, Outcome, Target, SECOND};
use grebewood_wire as wire;
use grebewood_wire::http::{
    Catalogue, MachineList, MachineType, Perches, Refusal, RentalRequest, Report, Submission,
};
use grebewood_wire::records::HireRecord;
use log::{info, warn};
use std::collections::{BTreeMap, BTreeSet};

mod decider;

/// A call to the cloud.
#[derive(Clone, Debug)]
pub enum FleetCall {
    Types,
    List,
    Hire { name: String },
    Release { machines: Vec<String> },
}

/// How long the removal of what was on a released machine may wait to be written.
const RELEASED_DELAY: Micros = 2 * SECOND;
/// So many boots of a type given up in a row double the time that the next ones get.
const GIVEN_UP: u32 = 10;
/// Most names in one release.
pub(crate) const RELEASE_MOST: usize = 100;
const CLOUD_TIMEOUT: Micros = 4 * SECOND;

/// A machine that was rented and has not reported yet.
#[derive(Clone, Debug)]
struct Boot {
    machine_type: String,
    zone: String,
    spot: bool,
    requested: Micros,
    /// When the list last showed it.
    listed: Option<Micros>,
    /// The list shows it as up: it has yet to report to this leader. However old it is, it is not
    /// an overdue boot; a new leader once returned its whole fleet as such.
    up: bool,
}

/// A rental request.
#[derive(Clone, Debug)]
struct Hire {
    record: HireRecord,
    requested: Micros,
    written: bool,
    asking: bool,
    retry_at: Micros,
    /// Answered, and waiting for the list to show these.
    unlisted: Option<BTreeSet<String>>,
}

/// A type in a zone, as spot or ordinary machine.
type Offer = (String, String, bool);

/// What the leader knows of the cloud.
#[derive(Debug)]
pub struct Fleet {
    boots: BTreeMap<String, Boot>,
    hires: BTreeMap<String, Hire>,
    counter: u64,
    /// Machines whose release was answered, and when.
    gone: BTreeMap<String, Micros>,
    /// Machines to be released.
    releasing: BTreeSet<String>,
    release_busy: bool,
    release_at: Micros,
    list_at: Micros,
    list_busy: bool,
    list: Vec<wire::http::ListedMachine>,
    list_since: Option<String>,
    /// Machines that the list shows as up but that never reported, since when.
    mute: BTreeMap<String, Micros>,
    decide_at: Micros,
    pub types_at: Micros,
    types_busy: bool,
    /// Offers without capacity, until when, and how often in a row.
    unavailable: BTreeMap<Offer, (Micros, u32)>,
    /// Boots of each type that were given up since one came up.
    given_up: BTreeMap<String, u32>,
    /// When the last list was taken in whole.
    listed_at: Option<Micros>,
    started: Micros,
}

impl Fleet {
    pub fn new(now: Micros) -> Self {
        Fleet {
            boots: BTreeMap::new(),
            hires: BTreeMap::new(),
            counter: 0,
            gone: BTreeMap::new(),
            releasing: BTreeSet::new(),
            release_busy: false,
            release_at: now,
            list_at: now,
            list_busy: false,
            list: Vec::new(),
            list_since: None,
            mute: BTreeMap::new(),
            decide_at: now + SECOND,
            types_at: now + 60 * SECOND,
            types_busy: false,
            unavailable: BTreeMap::new(),
            given_up: BTreeMap::new(),
            listed_at: None,
            started: now,
        }
    }

    pub fn next_wake(&self, _cx: &Ctx) -> Micros {
        let mut at = self.decide_at.min(self.types_at);
        if !self.list_busy {
            at = at.min(self.list_at);
        }
        if !self.releasing.is_empty() && !self.release_busy {
            at = at.min(self.release_at);
        }
        for h in self.hires.values() {
            if h.written && !h.asking && h.unlisted.is_none() {
                at = at.min(h.retry_at);
            }
        }
        at
    }

    /// The record of a hire that is still open.
    pub fn hire_record(&self, name: &str) -> Option<HireRecord> {
        self.hires.get(name).map(|h| h.record.clone())
    }

    pub fn hire_written(&mut self, now: Micros, name: &str) {
        if let Some(h) = self.hires.get_mut(name) {
            h.written = true;
            h.retry_at = now;
        }
    }

    /// Takes over a hire of an earlier leader: the same request is sent again by its name, which
    /// rents nothing twice.
    pub fn recover_hire(&mut self, cx: &Ctx, name: String, record: HireRecord) {
        let now = cx.now.steady;
        let age = cx.now.wall.saturating_sub(record.requested_us);
        let hire = Hire {
            record,
            requested: now.saturating_sub(age),
            written: true,
            asking: false,
            retry_at: now,
            unlisted: None,
        };
        self.hires.insert(name, hire);
    }

    /// Whether a list of the cloud's was taken in.
    pub fn has_list(&self) -> bool {
        self.listed_at.is_some()
    }

    /// Whether the machine's release was answered.
    pub fn is_gone(&self, name: &str) -> bool {
        self.gone.contains_key(name)
    }

    /// Whether the machine's return is under way.
    pub fn is_releasing(&self, name: &str) -> bool {
        self.releasing.contains(name)
    }

    /// Whether we wait for the machine to come up.
    pub fn is_booting(&self, name: &str) -> bool {
        self.boots.get(name).is_some_and(|b| !b.up)
    }

    /// Wants the machine returned. False if that is under way already.
    pub fn release(&mut self, name: &str, now: Micros) -> bool {
        self.release_at = self.release_at.min(now);
        !self.is_gone(name) && self.releasing.insert(name.to_string())
    }

    /// Booting machines, including those of hires that are not answered yet.
    fn booting(&self) -> usize {
        let asked: u64 = self
            .hires
            .values()
            .filter(|h| h.unlisted.is_none())
            .map(|h| h.record.number)
            .sum();
        self.boots.len() + asked as usize
    }
}

impl Lead {
    /// A machine reports: if it was booting, it is up now.
    pub(crate) fn machine_is_up(&mut self, cx: &Ctx, report: &Report) {
        let now = cx.now.steady;
        self.fleet.mute.remove(&report.perch);
        if let Some(boot) = self.fleet.boots.remove(&report.perch) {
            self.placement.want(now);
            if !boot.up {
                let took = now.saturating_sub(boot.requested);
                info!("{}: up after {} s", report.perch, took / SECOND);
                self.fleet.given_up.remove(&boot.machine_type);
                if let Some(t) = cx.machine_type(&boot.machine_type) {
                    self.stats
                        .booted(&boot.machine_type, micros(t.startup_s), took);
                }
            }
        }
        for h in self.fleet.hires.values_mut() {
            if let Some(unlisted) = &mut h.unlisted {
                unlisted.remove(&report.perch);
            }
        }
    }

    pub(crate) fn run_fleet(&mut self, cx: &mut Ctx) {
        let now = cx.now.steady;
        // A release may be what a cancellation waits for. Hires without an outcome, each asked for anew
        // after a second, could take all calls that the cloud's limit leaves.
        self.send_releases(cx);
        self.send_hires(cx);
        if now >= self.fleet.list_at && !self.fleet.list_busy && cx.cloud.take(now, 1.0) {
            self.fleet.list_busy = true;
            let since = match &self.fleet.list_since {
                Some(s) => format!("since={s}&"),
                None => String::new(),
            };
            let pending = self.pending(LeadCall::Fleet(FleetCall::List));
            let path = format!("/rentals?{since}page=500");
            cx.call(
                Target::Cloud,
                "GET",
                path,
                Vec::new(),
                CLOUD_TIMEOUT,
                pending,
            );
        }
        if now >= self.fleet.types_at && !self.fleet.types_busy && cx.cloud.take(now, 1.0) {
            self.fleet.types_busy = true;
            self.fleet.types_at = now + 60 * SECOND;
            let pending = self.pending(LeadCall::Fleet(FleetCall::Types));
            cx.call(
                Target::Cloud,
                "GET",
                "/machine_types".into(),
                Vec::new(),
                CLOUD_TIMEOUT,
                pending,
            );
        }
        if now >= self.fleet.decide_at {
            self.fleet.decide_at = now + cx.tuning.decider_interval_us;
            self.check_boots(cx);
            self.standby.update(cx, &self.jobs, self.machines.len());
            self.decide(cx);
            self.give_back(cx);
            self.consolidate(cx);
            self.close_hires(cx);
        }
    }

    fn send_hires(&mut self, cx: &mut Ctx) {
        let now = cx.now.steady;
        let ready: Vec<String> = self
            .fleet
            .hires
            .iter()
            .filter(|(_, h)| h.written && !h.asking && h.unlisted.is_none() && h.retry_at <= now)
            .map(|(n, _)| n.clone())
            .collect();
        for name in ready {
            if !cx.cloud.take(now, 1.0) {
                if let Some(h) = self.fleet.hires.get_mut(&name) {
                    h.retry_at = cx.cloud.ready_at(now, 1.0);
                }
                continue;
            }
            let Some(h) = self.fleet.hires.get_mut(&name) else {
                continue;
            };
            h.asking = true;
            let body = RentalRequest {
                hire: name.clone(),
                build: h.record.machine_type.clone(),
                yard: h.record.zone.clone(),
                loaner: h.record.spot,
                number: h.record.number,
            };
            let pending = self.pending(LeadCall::Fleet(FleetCall::Hire { name }));
            cx.call(
                Target::Cloud,
                "POST",
                "/rentals".into(),
                wire::to_cbor(&body),
                CLOUD_TIMEOUT,
                pending,
            );
        }
    }

    fn send_releases(&mut self, cx: &mut Ctx) {
        let now = cx.now.steady;
        let f = &mut self.fleet;
        if f.releasing.is_empty() || f.release_busy || now < f.release_at {
            return;
        }
        if !cx.cloud.take(now, 1.0) {
            f.release_at = cx.cloud.ready_at(now, 1.0);
            return;
        }
        f.release_busy = true;
        let machines: Vec<String> = f.releasing.iter().take(RELEASE_MOST).cloned().collect();
        let body = Perches {
            perches: machines.clone(),
        };
        let pending = self.pending(LeadCall::Fleet(FleetCall::Release { machines }));
        cx.call(
            Target::Cloud,
            "POST",
            "/rentals/release".into(),
            wire::to_cbor(&body),
            CLOUD_TIMEOUT,
            pending,
        );
    }

    pub(crate) fn on_fleet(&mut self, cx: &mut Ctx, call: FleetCall, outcome: Outcome) {
        let now = cx.now.steady;
        let (status, body) = match outcome {
            Outcome::Answer { status, body } => (status, body),
            _ => (0, Vec::new()),
        };
        if status == 429 {
            cx.cloud.drain(now);
        }
        match call {
            FleetCall::Types => {
                self.fleet.types_busy = false;
                match wire::from_cbor::<Catalogue>(&body) {
                    Ok(c) if status == 200 && !c.builds.is_empty() => {
                        let known = self.ledger.stamps.contains_key(wire::records::CATALOGUE);
                        if !known || cx.catalogue.as_ref() != Some(&c.builds) {
                            self.ledger.touch(Rec::Catalogue, now);
                        }
                        cx.catalogue = Some(c.builds);
                    }
                    _ => self.fleet.types_at = now + 5 * SECOND,
                }
            }
            FleetCall::List => {
                self.fleet.list_busy = false;
                match wire::from_cbor::<MachineList>(&body) {
                    Ok(list) if status == 200 => {
                        let last = list.perches.last().map(|p| p.uid.clone());
                        self.fleet.list.extend(list.perches);
                        if list.more && last.is_some() {
                            self.fleet.list_since = last;
                            self.fleet.list_at = now;
                        } else {
                            self.fleet.list_since = None;
                            self.fleet.list_at = now + cx.tuning.list_interval_us;
                            self.take_list(cx);
                        }
                    }
                    Ok(_) | Err(_) => {
                        if status == 200 {
                            warn!("cloud: unreadable machine list");
                        }
                        self.fleet.list_at = now + SECOND + cx.jitter(SECOND / 2);
                    }
                }
            }
            FleetCall::Hire { name } => self.on_hire(cx, &name, status, &body),
            FleetCall::Release { machines } => {
                self.fleet.release_busy = false;
                if status == 200 {
                    for name in machines {
                        self.released(cx, &name);
                    }
                } else {
                    self.fleet.release_at = now + SECOND + cx.jitter(SECOND / 2);
                }
            }
        }
    }

    /// A release was answered 200: the machine and all that was on it are gone.
    fn released(&mut self, cx: &mut Ctx, name: &str) {
        self.fleet.releasing.remove(name);
        self.fleet.gone.insert(name.to_string(), cx.now.steady);
        while self.fleet.gone.len() > 20_000 {
            self.fleet.gone.pop_first();
        }
        self.fleet.boots.remove(name);
        self.fleet.mute.remove(name);
        while let Some(page) = self
            .machines
            .get(name)
            .and_then(|m| m.assignments.first())
            .map(|a| a.page)
        {
            self.free(cx, name, 0);
            // No report will tell the next leader: it would wait for this machine's lease.
            let due = cx.now.steady + RELEASED_DELAY;
            self.ledger.touch_by(Rec::Page(page), due);
        }
        self.machines.remove(name);
        self.refuse_held(cx, name, "the machine was returned");
    }

    fn on_hire(&mut self, cx: &mut Ctx, name: &str, status: u16, body: &[u8]) {
        let now = cx.now.steady;
        let Some(h) = self.fleet.hires.get_mut(name) else {
            return;
        };
        h.asking = false;
        let offer = (
            h.record.machine_type.clone(),
            h.record.zone.clone(),
            h.record.spot,
        );
        let wanted = h.record.number;
        match status {
            200 => match wire::from_cbor::<Perches>(body) {
                Ok(p) => {
                    info!("{name}: {} of {wanted} machines rented", p.perches.len());
                    if (p.perches.len() as u64) < wanted {
                        self.no_capacity(now, offer.clone());
                    } else {
                        self.fleet.unavailable.remove(&offer);
                    }
                    let Some(h) = self.fleet.hires.get_mut(name) else {
                        return;
                    };
                    let requested = h.requested;
                    h.unlisted = Some(p.perches.iter().cloned().collect());
                    for machine in p.perches {
                        if self.machines.contains_key(&machine) || self.fleet.is_gone(&machine) {
                            continue;
                        }
                        let boot = Boot {
                            machine_type: offer.0.clone(),
                            zone: offer.1.clone(),
                            spot: offer.2,
                            requested,
                            listed: None,
                            up: false,
                        };
                        self.fleet.boots.entry(machine).or_insert(boot);
                    }
                }
                Err(e) => {
                    warn!("{name}: {e}");
                    h.retry_at = now + SECOND;
                }
            },
            503 if wire::from_cbor::<Refusal>(body).is_ok_and(|r| r.error == "no capacity") => {
                self.no_capacity(now, offer);
                self.drop_hire(cx, name);
            }
            400 => {
                warn!("{name}: the cloud calls the request malformed");
                self.no_capacity(now, offer);
                self.drop_hire(cx, name);
            }
            // No clear outcome: the same request again, by the same name.
            _ => h.retry_at = now + SECOND + cx.jitter(SECOND / 2),
        }
    }

    fn no_capacity(&mut self, now: Micros, offer: Offer) {
        let entry = self.fleet.unavailable.entry(offer).or_insert((0, 0));
        entry.1 = (entry.1 + 1).min(3);
        entry.0 = now + ((5 * SECOND) << entry.1.saturating_sub(1)).min(20 * SECOND);
    }

    fn drop_hire(&mut self, cx: &Ctx, name: &str) {
        if self.fleet.hires.remove(name).is_some() {
            // Rendered as a deletion.
            self.ledger
                .touch(Rec::Hire(name.to_string()), cx.now.steady);
        }
    }

    /// Ends hires whose machines the list or their own reports show: from then on a new leader
    /// finds them there.
    fn close_hires(&mut self, cx: &mut Ctx) {
        let closed: Vec<String> = self
            .fleet
            .hires
            .iter()
            .filter(|(_, h)| h.unlisted.as_ref().is_some_and(BTreeSet::is_empty))
            .map(|(n, _)| n.clone())
            .collect();
        for name in closed {
            self.drop_hire(cx, &name);
        }
    }

    /// Takes in a full machine list. It lags, so absence from it says little.
    fn take_list(&mut self, cx: &mut Ctx) {
        let now = cx.now.steady;
        let list = std::mem::take(&mut self.fleet.list);
        self.fleet.listed_at = Some(now);
        let old = 4 * cx.settings.list_lag + 30 * SECOND;
        self.find_taken(cx, &list);
        for p in list {
            for h in self.fleet.hires.values_mut() {
                if let Some(unlisted) = &mut h.unlisted {
                    unlisted.remove(&p.uid);
                }
            }
            if let Some(at) = self.fleet.gone.get(&p.uid) {
                if now.saturating_sub(*at) > old {
                    // Still there long after its release was answered: release it again.
                    self.fleet.gone.remove(&p.uid);
                    self.fleet.release(&p.uid, now);
                }
                continue;
            }
            if p.status == "failed" {
                info!("{}: failed", p.uid);
                self.fleet.release(&p.uid, now);
                continue;
            }
            if let Some(boot) = self.fleet.boots.get_mut(&p.uid) {
                boot.listed = Some(now);
                boot.up = p.status == "running";
            }
            let reported = self
                .machines
                .get(&p.uid)
                .is_some_and(|m| !m.endpoint.is_empty());
            if reported {
                continue;
            }
            if p.status == "running" {
                self.fleet.mute.entry(p.uid.clone()).or_insert(now);
            }
            self.fleet.boots.entry(p.uid.clone()).or_insert_with(|| {
                info!("{}: not known until now", p.uid);
                Boot {
                    machine_type: p.build.clone(),
                    zone: p.yard.clone(),
                    spot: p.loaner,
                    requested: now.saturating_sub(micros(p.held_s)),
                    listed: Some(now),
                    up: p.status == "running",
                }
            });
        }
    }

    /// A machine that was listed long ago, is listed no more and does not report has been taken
    /// without notice; so has one of an earlier leader's that no list of ours ever showed. Its
    /// release, which costs nothing, gives the proof that frees its tasks, earlier than the end of
    /// its lease would. Of machines that are gone before a leader begins there is no other proof,
    /// if nobody is left whose reports show that the silence is theirs.
    fn find_taken(&mut self, cx: &Ctx, list: &[wire::http::ListedMachine]) {
        let now = cx.now.steady;
        let listed: BTreeSet<&str> = list.iter().map(|p| p.uid.as_str()).collect();
        let mut taken = Vec::new();
        for m in self.machines.values_mut() {
            if listed.contains(m.name.as_str()) {
                m.listed.get_or_insert(now);
                continue;
            }
            // A list may be older than the one before it, by as much as the lag allows.
            let long_ago = 2 * cx.settings.list_lag + 2 * SECOND;
            let from_state = m.endpoint.is_empty().then_some(self.loaded_at);
            let since = m.listed.or(from_state);
            if since.is_some_and(|at| now.saturating_sub(at) > long_ago)
                && now.saturating_sub(m.last_report) > 2 * cx.settings.report + SECOND
            {
                taken.push(m.name.clone());
            }
        }
        for name in taken {
            if self.fleet.release(&name, now) {
                info!("{name}: gone from the list and silent");
            }
        }
    }

    /// Gives up boots that are far overdue, that vanished from the list, or whose machines are
    /// listed as up without ever reporting.
    fn check_boots(&mut self, cx: &mut Ctx) {
        let now = cx.now.steady;
        let lag = cx.settings.list_lag;
        let hearing = now.saturating_sub(self.heard_at) < 3 * cx.settings.report;
        let mut release = Vec::new();
        let mut vanished = Vec::new();
        // What no list shows because there was none has not vanished: boots were once given up during
        // an outage of the cloud, and rented anew after it.
        let last_list = self.fleet.listed_at.unwrap_or(0);
        for (name, b) in &self.fleet.boots {
            let limit = self.overdue_after(cx, &b.machine_type);
            if !b.up && now.saturating_sub(b.requested) > limit + limit / 2 {
                release.push(name.clone());
            } else if b
                .listed
                .is_some_and(|at| last_list.saturating_sub(at) > 3 * lag + 10 * SECOND)
            {
                vanished.push(name.clone());
            }
        }
        // A machine that is cut off for longer than this has lost its tasks; one that is silent is
        // released as late.
        let patience = silent_release(cx.settings.lease).max(30 * SECOND);
        if hearing {
            for (name, since) in &self.fleet.mute {
                if now.saturating_sub(*since) > patience {
                    release.push(name.clone());
                }
            }
        }
        for name in vanished {
            self.fleet.boots.remove(&name);
        }
        for name in release {
            if self.fleet.release(&name, now) {
                info!("{name}: did not come up, released");
                if let Some(boot) = self.fleet.boots.get(&name).filter(|b| !b.up) {
                    let machine_type = boot.machine_type.clone();
                    *self.fleet.given_up.entry(machine_type).or_insert(0) += 1;
                }
            }
        }
    }

    /// How long a boot may take before it counts for nothing: by the average, but not by one that was
    /// learnt while machines were up within seconds. Boots of usual length were once all given up
    /// after that, for good, since none came up to be learnt from. For the same reason a type gets
    /// more time when one boot after the other is given up.
    fn overdue_after(&self, cx: &Ctx, machine_type: &str) -> Micros {
        let startup = cx
            .machine_type(machine_type)
            .map_or(30 * SECOND, |t| micros(t.startup_s));
        let mean = self.stats.boot_time(machine_type, startup).max(startup);
        let given_up = self.fleet.given_up.get(machine_type).copied().unwrap_or(0);
        let limit = (mean as f64 * cx.tuning.boot_overdue) as Micros + 2 * SECOND;
        limit << (given_up / GIVEN_UP).min(3)
    }
}

#[cfg(test)]
mod tests;
