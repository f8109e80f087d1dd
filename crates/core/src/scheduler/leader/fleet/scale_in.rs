//! Scale in: which machines are terminated, and which are drained first (consolidation).

use crate::context::Context;
use crate::scheduler::agents::heartbeats::grace;
use crate::scheduler::leader::fleet::autoscaler::{power, slots_of, Work};
use crate::scheduler::Scheduler;
use crate::state::bin_packing::{permits, tasks_that_fit, MachineResources};
use crate::state::jobs::EPS;
use crate::state::machine::Machine;
use crate::{micros, Micros, SECOND};
use log::info;

/// Beyond one, this part of the machines may be emptied at a time.
const EMPTIED_PART: usize = 20;

/// Machines are emptied no further once work has waited so long for room.
const WAITED_LONG: Micros = 20 * SECOND;

impl Scheduler {
    /// Returns machines that have been idle for the hold, if the power without them covers the
    /// work; and those that are closing, once they are empty.
    pub(crate) fn give_back(&mut self, context: &mut Context) {
        let now = context.now.steady;
        let mut terminate: Vec<String> = Vec::new();
        let mut idle: Vec<(bool, Micros, String)> = Vec::new();
        for m in self.machines.values() {
            let empty = m.assignments.is_empty() && m.planned.is_empty();
            if !empty || !m.exited_attempts.is_empty() {
                continue;
            }
            if m.cordoned || m.reclaim_at.is_some() {
                terminate.push(m.name.clone());
                continue;
            }
            let hold = match m.spot {
                true => context.tuning.idle_hold_us,
                false => context.tuning.idle_hold_ordinary_us,
            };
            if now.saturating_sub(m.idle_since) >= hold
                && now.saturating_sub(self.loaded_at) >= hold
            {
                idle.push((m.spot, m.idle_since, m.name.clone()));
            }
        }
        // Ordinary machines first: they cost more.
        idle.sort();
        let work = self.waiting_work(context, false);
        let total: f64 = work.iter().map(|w| w.n * w.t).sum();
        let mut have = match idle.is_empty() {
            true => Vec::new(),
            false => self.power_of_fleet(context, &self.supply(context), &work),
        };
        let mut chosen = Vec::new();
        for (_, _, name) in idle {
            let Some(m) = self.machines.get(&name) else {
                continue;
            };
            let Some(build) = context.machine_type(&m.machine_type) else {
                continue;
            };
            // An empty machine's power, as it is part of the fleet's. What it can do nothing for may lack
            // power all the same, and one that is needed says nothing of the next: an ordinary machine
            // kept free for services once kept all idle spot machines for good.
            let its = power(&work, total, None, |i| {
                slots_of(build, &m.zone, m.spot, &work[i])
            });
            let covered = |((w, h), p): ((&Work, &f64), &f64)| *p <= EPS || h - p + EPS >= w.n;
            if !work.iter().zip(&have).zip(&its).all(covered) {
                continue;
            }
            for (h, p) in have.iter_mut().zip(&its) {
                *h -= p;
            }
            chosen.push(name);
        }
        drop(work);
        for name in chosen {
            info!("{name}: idle, returned");
            if let Some(m) = self.machines.get_mut(&name) {
                m.cordoned = true;
            }
            terminate.push(name);
        }
        for name in terminate {
            let Some(m) = self.machines.get_mut(&name) else {
                continue;
            };
            m.cordoned = true;
            let partition = m.partition;
            if self.may_be_terminated(partition, &name) {
                self.fleet.terminate(&name, now);
            }
        }
    }

    /// Work has waited long, and the others have no room for it: machines that are being emptied take
    /// work again. They once stood half empty for as long as their last tasks took, while jobs waited
    /// and nothing could be rented.
    fn stop_draining(&mut self, now: Micros) {
        for m in self.machines.values_mut().filter(|m| m.draining) {
            if m.assignments.is_empty() || self.fleet.is_terminating(&m.name) {
                continue;
            }
            info!("{}: is not emptied any more, work waits", m.name);
            m.draining = false;
            m.cordoned = false;
            self.placement.request_round(now);
        }
    }

    /// Empties machines whose tasks have room elsewhere while nothing waits for room, so that they can be
    /// returned: tasks that can save move, the others run to their end. Ordinary machines
    /// go first, then the emptiest. A machine's worth of room is left over for what comes next.
    pub(crate) fn consolidate(&mut self, context: &mut Context) {
        let now = context.now.steady;
        // Tasks that wait for their team's limit need no room.
        let waiting = self
            .jobs
            .iter()
            .filter(|(index, j)| j.placeable(now) > 0 && self.has_quota(context, *index));
        let longest = waiting
            .map(|(_, j)| now.saturating_sub(j.waiting_since.unwrap_or(now)))
            .max();
        if longest.is_some_and(|waited| waited > WAITED_LONG) {
            self.stop_draining(now);
        }
        if longest.is_some() || now.saturating_sub(self.loaded_at) < context.tuning.idle_hold_us {
            return;
        }
        let silence = context.settings.heartbeat_interval * 3;
        let usable: Vec<&Machine> = self
            .machines
            .values()
            .filter(|m| m.usable(now, silence))
            .collect();
        // A few at a time, as the fleet's size has it.
        let draining = |m: &&Machine| m.cordoned && !m.assignments.is_empty();
        let most = 1 + usable.len() / EMPTIED_PART;
        let most = most.saturating_sub(self.machines.values().filter(draining).count());
        let mut free: f64 = usable.iter().map(|m| m.free().cpus).sum();
        let mut candidates: Vec<(bool, i64, &Machine)> = usable
            .iter()
            .filter(|m| !m.assignments.is_empty() && m.free().cpus > m.cpus * 0.25)
            .map(|m| (m.spot, -(m.free().cpus * 1e3) as i64, *m))
            .collect();
        candidates.sort_by(|a, b| (a.0, a.1, &a.2.name).cmp(&(b.0, b.1, &b.2.name)));
        let mut rooms: Vec<(&Machine, MachineResources)> = usable
            .iter()
            .filter(|o| o.free().cpus > EPS)
            .map(|o| (*o, o.free()))
            .collect();
        let mut chosen = Vec::new();
        // Only the best are tried: the rest comes next time.
        for (_, _, m) in candidates.into_iter().take(8 * most) {
            if chosen.len() >= most || free < 2.0 * m.cpus {
                break;
            }
            let before = rooms.clone();
            rooms.retain(|(o, _)| o.name != m.name);
            let mut stops = Vec::new();
            let fits = m.assignments.iter().all(|a| {
                let Some(job) = self.jobs.get(a.job) else {
                    return true;
                };
                // A move is a gap in what it serves.
                if job.is_daemon() {
                    return false;
                }
                let spec = &job.spec;
                let place = rooms.iter_mut().find(|(o, r)| {
                    (o.spot || !m.spot)
                        && tasks_that_fit(*r, spec) > 0
                        && permits(context, spec, &o.machine_type, &o.zone, o.spot)
                });
                let Some((_, r)) = place else { return false };
                *r = *r - a.resources();
                if spec.checkpoint_interval_s > 0.0 && a.remaining(now, 0) > 20 * SECOND {
                    stops.push((a.attempt, grace(micros(spec.checkpoint_duration_s))));
                }
                true
            });
            // Without a task to move it would empty as soon by itself.
            if fits && !stops.is_empty() {
                free -= m.cpus;
                chosen.push((m.name.clone(), stops));
            } else {
                rooms = before;
            }
        }
        for (name, stops) in chosen {
            info!("{name}: being emptied, {} tasks move", stops.len());
            if let Some(m) = self.machines.get_mut(&name) {
                m.cordoned = true;
                m.draining = true;
            }
            for (attempt, grace) in stops {
                self.stop_on(context, &name, grace, |a| a.attempt == attempt);
            }
        }
    }
}
