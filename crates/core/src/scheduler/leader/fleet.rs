//! Calls to the cloud: provisioning and terminating machines, boots, and the cloud's machine list.

use crate::calls::{FleetCall, SchedulerCall};
use crate::context::Context;
use crate::scheduler::agents::unreachable::silent_release;
use crate::scheduler::Scheduler;
use crate::state::fleet::{Boot, Offer};
use crate::state::write_buffer::RecordId;
use crate::{micros, Micros, Outcome, Target, SECOND};
use grebewood_wire as wire;
use grebewood_wire::http::{
    Catalogue, Heartbeat, MachineList, MachineNames, ProvisionRequest, Refusal,
};
use log::{info, warn};
use std::collections::BTreeSet;

pub(crate) mod autoscaler;
pub(crate) mod scale_in;

/// How long the removal of what was on a released machine may wait to be written.
const TERMINATED_DELAY: Micros = 2 * SECOND;

/// So many boots of a type given up in a row double the time that the next ones get.
const GIVEN_UP: u32 = 10;

/// Most names in one release.
pub(crate) const MAX_TERMINATIONS: usize = 100;

const CLOUD_TIMEOUT: Micros = 4 * SECOND;

impl Scheduler {
    /// A machine reports: if it was booting, it is up now.
    pub(crate) fn machine_is_up(&mut self, context: &Context, report: &Heartbeat) {
        let now = context.now.steady;
        self.fleet.never_reported.remove(&report.machine);
        if let Some(boot) = self.fleet.boots.remove(&report.machine) {
            self.placement.request_round(now);
            if !boot.up {
                let took = now.saturating_sub(boot.requested);
                info!("{}: up after {} s", report.machine, took / SECOND);
                self.fleet.given_up.remove(&boot.machine_type);
                if let Some(t) = context.machine_type(&boot.machine_type) {
                    self.stats
                        .booted(&boot.machine_type, micros(t.boot_s), took);
                }
            }
        }
        for h in self.fleet.provisions.values_mut() {
            if let Some(unlisted) = &mut h.unlisted {
                unlisted.remove(&report.machine);
            }
        }
    }

    pub(crate) fn run_fleet(&mut self, context: &mut Context) {
        let now = context.now.steady;
        // A release may be what a cancellation waits for. Hires without an outcome, each asked for anew
        // after a second, could take all calls that the cloud's limit leaves.
        self.send_terminations(context);
        self.send_provisions(context);
        if now >= self.fleet.list_at && !self.fleet.list_busy && context.cloud.take(now, 1.0) {
            self.fleet.list_busy = true;
            let since = match &self.fleet.list_since {
                Some(s) => format!("since={s}&"),
                None => String::new(),
            };
            let pending = self.pending(SchedulerCall::Fleet(FleetCall::List));
            let path = format!("/rentals?{since}page=500");
            context.call(
                Target::Cloud,
                "GET",
                path,
                Vec::new(),
                CLOUD_TIMEOUT,
                pending,
            );
        }
        if now >= self.fleet.types_at && !self.fleet.types_busy && context.cloud.take(now, 1.0) {
            self.fleet.types_busy = true;
            self.fleet.types_at = now + 60 * SECOND;
            let pending = self.pending(SchedulerCall::Fleet(FleetCall::Types));
            context.call(
                Target::Cloud,
                "GET",
                "/machine_types".into(),
                Vec::new(),
                CLOUD_TIMEOUT,
                pending,
            );
        }
        if now >= self.fleet.decide_at {
            self.fleet.decide_at = now + context.tuning.decider_interval_us;
            self.check_boots(context);
            self.headroom
                .update(context, &self.jobs, self.machines.len());
            self.decide(context);
            self.give_back(context);
            self.consolidate(context);
            self.close_provisions(context);
        }
    }

    fn send_provisions(&mut self, context: &mut Context) {
        let now = context.now.steady;
        let ready: Vec<String> = self
            .fleet
            .provisions
            .iter()
            .filter(|(_, h)| h.written && !h.asking && h.unlisted.is_none() && h.retry_at <= now)
            .map(|(n, _)| n.clone())
            .collect();
        for name in ready {
            if !context.cloud.take(now, 1.0) {
                if let Some(h) = self.fleet.provisions.get_mut(&name) {
                    h.retry_at = context.cloud.ready_at(now, 1.0);
                }
                continue;
            }
            let Some(h) = self.fleet.provisions.get_mut(&name) else {
                continue;
            };
            h.asking = true;
            let body = ProvisionRequest {
                name: name.clone(),
                machine_type: h.record.machine_type.clone(),
                zone: h.record.zone.clone(),
                spot: h.record.spot,
                number: h.record.number,
            };
            let pending = self.pending(SchedulerCall::Fleet(FleetCall::PendingProvision { name }));
            context.call(
                Target::Cloud,
                "POST",
                "/rentals".into(),
                wire::to_cbor(&body),
                CLOUD_TIMEOUT,
                pending,
            );
        }
    }

    /// Sends releases that are due.
    pub(crate) fn send_terminations(&mut self, context: &mut Context) {
        let now = context.now.steady;
        let f = &mut self.fleet;
        if f.terminating.is_empty() || f.terminate_busy || now < f.terminate_at {
            return;
        }
        if !context.cloud.take(now, 1.0) {
            f.terminate_at = context.cloud.ready_at(now, 1.0);
            return;
        }
        f.terminate_busy = true;
        let machines: Vec<String> = f
            .terminating
            .iter()
            .take(MAX_TERMINATIONS)
            .cloned()
            .collect();
        let body = MachineNames {
            machines: machines.clone(),
        };
        let pending = self.pending(SchedulerCall::Fleet(FleetCall::Terminate { machines }));
        context.call(
            Target::Cloud,
            "POST",
            "/rentals/release".into(),
            wire::to_cbor(&body),
            CLOUD_TIMEOUT,
            pending,
        );
    }

    pub(crate) fn on_fleet(&mut self, context: &mut Context, call: FleetCall, outcome: Outcome) {
        let now = context.now.steady;
        let (status, body) = match outcome {
            Outcome::Answer { status, body } => (status, body),
            _ => (0, Vec::new()),
        };
        if status == 429 {
            context.cloud.drain(now);
        }
        match call {
            FleetCall::Types => {
                self.fleet.types_busy = false;
                match wire::from_cbor::<Catalogue>(&body) {
                    Ok(c) if status == 200 && !c.machine_types.is_empty() => {
                        let known = self
                            .write_buffer
                            .mod_revisions
                            .contains_key(wire::records::CATALOGUE);
                        if !known || context.catalogue.as_ref() != Some(&c.machine_types) {
                            self.write_buffer.mark_dirty(RecordId::Catalogue, now);
                        }
                        context.catalogue = Some(c.machine_types);
                    }
                    _ => self.fleet.types_at = now + 5 * SECOND,
                }
            }
            FleetCall::List => {
                self.fleet.list_busy = false;
                match wire::from_cbor::<MachineList>(&body) {
                    Ok(list) if status == 200 => {
                        let last = list.machines.last().map(|p| p.id.clone());
                        self.fleet.list.extend(list.machines);
                        if list.more && last.is_some() {
                            self.fleet.list_since = last;
                            self.fleet.list_at = now;
                        } else {
                            self.fleet.list_since = None;
                            self.fleet.list_at = now + context.tuning.list_interval_us;
                            self.take_list(context);
                        }
                    }
                    Ok(_) | Err(_) => {
                        if status == 200 {
                            warn!("cloud: unreadable machine list");
                        }
                        self.fleet.list_at = now + SECOND + context.jitter(SECOND / 2);
                    }
                }
            }
            FleetCall::PendingProvision { name } => {
                self.on_provisioned(context, &name, status, &body)
            }
            FleetCall::Terminate { machines } => {
                self.fleet.terminate_busy = false;
                if status == 200 {
                    for name in machines {
                        self.terminated(context, &name);
                    }
                } else {
                    self.fleet.terminate_at = now + SECOND + context.jitter(SECOND / 2);
                }
            }
        }
    }

    /// A release was answered 200: the machine and all that was on it are gone.
    pub(crate) fn terminated(&mut self, context: &mut Context, name: &str) {
        if let Some(partition) = self.machines.get(name).and_then(|m| m.partition) {
            self.remote_partitions.note_terminated(partition, name);
        }
        self.fleet.terminating.remove(name);
        self.fleet.gone.insert(name.to_string(), context.now.steady);
        while self.fleet.gone.len() > 20_000 {
            self.fleet.gone.pop_first();
        }
        self.fleet.boots.remove(name);
        self.fleet.never_reported.remove(name);
        while let Some(page) = self
            .machines
            .get(name)
            .and_then(|m| m.assignments.first())
            .map(|a| a.page)
        {
            self.remove_assignment(context, name, 0);
            // No report will tell the next leader: it would wait for this machine's lease.
            let due = context.now.steady + TERMINATED_DELAY;
            if !self.is_holder() {
                self.write_buffer.mark_dirty_by(RecordId::Page(page), due);
            }
        }
        self.machines.remove(name);
        self.refuse_held_heartbeats(context, name, "the machine was returned");
    }

    fn on_provisioned(&mut self, context: &mut Context, name: &str, status: u16, body: &[u8]) {
        let now = context.now.steady;
        let Some(h) = self.fleet.provisions.get_mut(name) else {
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
            200 => match wire::from_cbor::<MachineNames>(body) {
                Ok(p) => {
                    info!("{name}: {} of {wanted} machines rented", p.machines.len());
                    if (p.machines.len() as u64) < wanted {
                        self.no_capacity(now, offer.clone());
                    } else {
                        self.fleet.unavailable.remove(&offer);
                    }
                    let Some(h) = self.fleet.provisions.get_mut(name) else {
                        return;
                    };
                    let requested = h.requested;
                    h.unlisted = Some(p.machines.iter().cloned().collect());
                    for machine in p.machines {
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
                self.drop_provision(context, name);
            }
            400 => {
                warn!("{name}: the cloud calls the request malformed");
                self.no_capacity(now, offer);
                self.drop_provision(context, name);
            }
            // No clear outcome: the same request again, by the same name.
            _ => h.retry_at = now + SECOND + context.jitter(SECOND / 2),
        }
    }

    fn no_capacity(&mut self, now: Micros, offer: Offer) {
        let entry = self.fleet.unavailable.entry(offer).or_insert((0, 0));
        entry.1 = (entry.1 + 1).min(3);
        entry.0 = now + ((5 * SECOND) << entry.1.saturating_sub(1)).min(20 * SECOND);
    }

    fn drop_provision(&mut self, context: &Context, name: &str) {
        if self.fleet.provisions.remove(name).is_some() {
            // Rendered as a deletion.
            self.write_buffer.mark_dirty(
                RecordId::PendingProvision(name.to_string()),
                context.now.steady,
            );
        }
    }

    /// Ends rentals whose machines the list or their own reports show: from then on a new leader
    /// finds them there.
    fn close_provisions(&mut self, context: &mut Context) {
        let closed: Vec<String> = self
            .fleet
            .provisions
            .iter()
            .filter(|(_, h)| h.unlisted.as_ref().is_some_and(BTreeSet::is_empty))
            .map(|(n, _)| n.clone())
            .collect();
        for name in closed {
            self.drop_provision(context, &name);
        }
    }

    /// Takes in a full machine list. It lags, so absence from it says little.
    fn take_list(&mut self, context: &mut Context) {
        let now = context.now.steady;
        let list = std::mem::take(&mut self.fleet.list);
        self.fleet.listed_at = Some(now);
        let old = 4 * context.settings.list_lag + 30 * SECOND;
        self.find_taken(context, &list);
        for p in list {
            for h in self.fleet.provisions.values_mut() {
                if let Some(unlisted) = &mut h.unlisted {
                    unlisted.remove(&p.id);
                }
            }
            if let Some(at) = self.fleet.gone.get(&p.id) {
                if now.saturating_sub(*at) > old {
                    // Still there long after its release was answered: release it again.
                    self.fleet.gone.remove(&p.id);
                    self.fleet.terminate(&p.id, now);
                }
                continue;
            }
            if p.status == "failed" {
                info!("{}: failed", p.id);
                self.fleet.terminate(&p.id, now);
                continue;
            }
            if let Some(boot) = self.fleet.boots.get_mut(&p.id) {
                boot.listed = Some(now);
                boot.up = p.status == "running";
            }
            let reported = self
                .machines
                .get(&p.id)
                .is_some_and(|m| !m.address.is_empty());
            if reported {
                continue;
            }
            if p.status == "running" {
                self.fleet.never_reported.entry(p.id.clone()).or_insert(now);
            }
            self.fleet.boots.entry(p.id.clone()).or_insert_with(|| {
                info!("{}: not known until now", p.id);
                Boot {
                    machine_type: p.machine_type.clone(),
                    zone: p.zone.clone(),
                    spot: p.spot,
                    requested: now.saturating_sub(micros(p.age_s)),
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
    fn find_taken(&mut self, context: &Context, list: &[wire::http::ListedMachine]) {
        let now = context.now.steady;
        let listed: BTreeSet<&str> = list.iter().map(|p| p.id.as_str()).collect();
        let mut taken = Vec::new();
        for m in self.machines.values_mut() {
            if listed.contains(m.name.as_str()) {
                m.listed.get_or_insert(now);
                continue;
            }
            // A list may be older than the one before it, by as much as the lag allows.
            let long_ago = 2 * context.settings.list_lag + 2 * SECOND;
            let from_store = m.address.is_empty().then_some(self.loaded_at);
            let since = m.listed.or(from_store);
            if since.is_some_and(|at| now.saturating_sub(at) > long_ago)
                && now.saturating_sub(m.last_contact_at)
                    > 2 * context.settings.heartbeat_interval + SECOND
            {
                taken.push(m.name.clone());
            }
        }
        for name in taken {
            if self.fleet.terminate(&name, now) {
                info!("{name}: gone from the list and silent");
            }
        }
    }

    /// Gives up boots that are far overdue, that vanished from the list, or whose machines are
    /// listed as up without ever reporting.
    fn check_boots(&mut self, context: &mut Context) {
        let now = context.now.steady;
        let lag = context.settings.list_lag;
        let hearing =
            now.saturating_sub(self.last_heartbeat_at) < 3 * context.settings.heartbeat_interval;
        let mut terminate = Vec::new();
        let mut vanished = Vec::new();
        // What no list shows because there was none has not vanished: boots were once given up during
        // an outage of the cloud, and rented anew after it.
        let last_list = self.fleet.listed_at.unwrap_or(0);
        for (name, b) in &self.fleet.boots {
            let limit = self.overdue_after(context, &b.machine_type);
            if !b.up && now.saturating_sub(b.requested) > limit + limit / 2 {
                terminate.push(name.clone());
            } else if b
                .listed
                .is_some_and(|at| last_list.saturating_sub(at) > 3 * lag + 10 * SECOND)
            {
                vanished.push(name.clone());
            }
        }
        // A machine that is cut off for longer than this has lost its tasks; one that is silent is
        // released as late.
        let patience = silent_release(context.settings.agent_lease).max(30 * SECOND);
        if hearing {
            for (name, since) in &self.fleet.never_reported {
                if now.saturating_sub(*since) > patience {
                    terminate.push(name.clone());
                }
            }
        }
        for name in vanished {
            self.fleet.boots.remove(&name);
        }
        for name in terminate {
            if self.fleet.terminate(&name, now) {
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
    fn overdue_after(&self, context: &Context, machine_type: &str) -> Micros {
        let startup = context
            .machine_type(machine_type)
            .map_or(30 * SECOND, |t| micros(t.boot_s));
        let mean = self.stats.boot_time(machine_type, startup).max(startup);
        let given_up = self.fleet.given_up.get(machine_type).copied().unwrap_or(0);
        let limit = (mean as f64 * context.tuning.boot_overdue) as Micros + 2 * SECOND;
        limit << (given_up / GIVEN_UP).min(3)
    }
}

#[cfg(test)]
mod tests;
