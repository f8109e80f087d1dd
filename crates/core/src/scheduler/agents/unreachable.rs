//! Machines that stopped sending heartbeats or do not receive responses, and what that proves about their tasks.

use crate::context::Context;
use crate::scheduler::Scheduler;
use crate::state::jobs::Job;
use crate::state::machine::{Assignment, Machine, ANSWER_TIME};
use crate::{Micros, MILLI, SECOND};
use log::info;

/// A worker that has our answer tells so soon, because the token was news to it; one that does not
/// is asked directly whether it hears us.
const ASK_AFTER: Micros = SECOND;

/// If more than this part of the machines is silent, they are cut off rather than gone.
const MOST_SILENT_PART: usize = 20;

/// Most machines that are asked so at once.
const MOST_ASKED: usize = 100;

/// When a worker's lease has certainly run out after our last answer: with drift, and a little for
/// the answer's own time.
fn lease_end(lease: Micros) -> Micros {
    lease + lease / 500 + 1_500 * MILLI
}

/// How long a machine may be silent before it is released.
pub(crate) fn silent_release(lease: Micros) -> Micros {
    lease_end(lease) + 12 * SECOND
}

impl Scheduler {
    /// Whether no worker reaches this node though there should be some: then another node had
    /// better lead.
    pub(crate) fn cut_from_agents(&self, context: &Context) -> bool {
        let now = context.now.steady;
        // A worker that gets no answer for 4 s goes to another node, and its lease should still hold
        // when it finds the next leader there: a report and a half once reports are far apart.
        let report = context.settings.heartbeat_interval;
        let silence = (report * 5 / 2).min((report * 3 / 2).max(ANSWER_TIME));
        let since = now.saturating_sub(self.last_heartbeat_at.max(self.loaded_at));
        if !self.loaded() || context.settings.siblings.is_empty() || since <= silence {
            return false;
        }
        // Machines known from state only have yet to find this node: they get more time.
        let lately = |m: &&Machine| {
            m.partition.is_none()
                && m.knows_token
                && now.saturating_sub(m.last_contact_at) < silence * 4
        };
        match self.machines.values().filter(lately).count() {
            // Copies of a deleted machine's reports make no machine; nor does a page that lists one
            // which is gone from the cloud: leaders once gave up in turn, none stayed long enough
            // to find that out.
            0 => {
                let list = self.fleet.has_list();
                let real = |m: &Machine| {
                    m.partition.is_none()
                        && (m.knows_token
                            || (m.address.is_empty() && (m.listed.is_some() || !list)))
                };
                since > silence * 4 && self.machines.values().any(real)
            }
            // A single machine may well be at fault itself.
            1 => since > silence * 2,
            _ => true,
        }
    }

    /// Looks after silent machines, stops that were not carried out, and recalls.
    pub(crate) fn run_machines(&mut self, context: &mut Context) {
        let now = context.now.steady;
        if now < self.next_machine_check {
            return;
        }
        self.next_machine_check = now + SECOND;
        let s = &context.settings;
        let (lease, cancel, report) = (s.agent_lease, s.cancel_timeout, s.heartbeat_interval);
        let lease_end = lease_end(lease);
        // Silence of all machines is our own cut, not theirs.
        let hearing = now.saturating_sub(self.last_heartbeat_at) < 3 * report;
        // A new leader waits for the machines' first reports, to stop what it can without a release.
        let new = now.saturating_sub(self.loaded_at) < report * 3 / 2 + SECOND;
        let names: Vec<String> = self.machines.keys().cloned().collect();
        let mut silent_serving: Vec<(Micros, String)> = Vec::new();
        for name in names {
            let Some(m) = self.machines.get_mut(&name) else {
                continue;
            };
            if m.partition.is_some() {
                self.run_remote_machine(context, &name);
                continue;
            }
            let silent = now.saturating_sub(m.last_contact_at);
            // A machine may answer direct commands and reach no controller: nothing can be launched there.
            // A replica was once placed on such a one again and again, each time for a further session.
            let unheard = now.saturating_sub(m.last_heartbeat);
            let lapsed = m.knows_token && now.saturating_sub(m.last_response) > lease_end;
            let jobs = &self.jobs;
            let cancelled = |a: &Assignment| jobs.get(a.job).is_none_or(|j| j.cancelled.is_some());
            if lapsed && m.assignments.iter().any(cancelled) {
                // A hanging machine may not know yet that its lease has run out, and cancelled tasks must
                // be gone in time. Their proof is the release: were they freed before it is answered, the
                // next leader would not know that it is due.
                self.fleet.terminate(&name, now);
                m.cordoned = true;
            }
            let incarnation = m.incarnation;
            let ended = |a: &Assignment| a.incarnation <= incarnation && !cancelled(a);
            if lapsed && m.assignments.iter().any(ended) {
                // The worker has seen our token, so only our answers renew its lease, and the
                // last one is too old: it has killed every task and is in a new session.
                info!("{name}: lease has run out");
                let attempts: Vec<u64> = m
                    .assignments
                    .iter()
                    .filter(|a| ended(a))
                    .map(|a| a.attempt)
                    .collect();
                m.incarnation += 1;
                m.sequence = 0;
                m.exited_attempts.clear();
                while let Some(at) = self.position(&name, |a| attempts.contains(&a.attempt)) {
                    self.remove_assignment(context, &name, at);
                }
            }
            if unheard > 3 * report {
                self.free_unlaunched(context, &name);
            }
            let Some(m) = self.machines.get(&name) else {
                continue;
            };
            let overdue_cancel = m.assignments.iter().any(|a| {
                let ago = self.jobs.get(a.job).and_then(|j| j.cancelled_for(now));
                ago.is_some_and(|ago| ago > cancel / 2 && (!new || ago > cancel * 3 / 4))
            });
            // A release is proof, and sooner than the end of the lease: replicas need not wait for that.
            let serves = m.knows_token
                && m.assignments
                    .iter()
                    .any(|a| self.jobs.get(a.job).is_some_and(Job::is_daemon));
            if serves && hearing && !new && silent > 2 * report + SECOND {
                silent_serving.push((silent, name.clone()));
            }
            if overdue_cancel || (hearing && unheard > silent_release(lease)) {
                if self.fleet.terminate(&name, now) {
                    info!("{name}: released, silent for {} s", unheard / SECOND);
                }
                if let Some(m) = self.machines.get_mut(&name) {
                    m.cordoned = true;
                }
            }
            // Reports may be further apart than a worker waits for an answer; then they do not show
            // by themselves that it hears: idle machines once stayed without work until they were
            // returned.
            let Some(m) = self.machines.get(&name) else {
                continue;
            };
            if !m.receives_responses
                && !m.cordoned
                && silent < 2 * report
                && now.saturating_sub(m.last_response) >= ASK_AFTER
                && self.direct.len() < MOST_ASKED
            {
                self.send_commands(context, &name, true);
            }
            let Some(m) = self.machines.get(&name) else {
                continue;
            };
            // What belongs to no live task: a second assignment of a task that is done.
            let useless: Vec<u64> = m
                .assignments
                .iter()
                .filter(|a| self.jobs.get(a.job).is_none_or(|j| j.is_done(a.task)))
                .map(|a| a.attempt)
                .collect();
            if !useless.is_empty() {
                self.stop_on(context, &name, 0, |a| useless.contains(&a.attempt));
            }
            self.drain_reclaimed(context, &name);
            self.move_replicas(context, &name);
            self.send_direct(context, &name);
        }
        self.check_silent_serving(context, &silent_serving);
    }

    /// What the leader itself sees to on a machine that the holder of a partition looks after.
    fn run_remote_machine(&mut self, context: &mut Context, name: &str) {
        let now = context.now.steady;
        let (report, cancel) = (
            context.settings.heartbeat_interval,
            context.settings.cancel_timeout,
        );
        let Some(m) = self.machines.get(name) else {
            return;
        };
        let unheard = now.saturating_sub(m.last_heartbeat);
        let incarnation = m.incarnation;
        if m.reclaim_at.is_some() || unheard > 3 * report {
            self.free_unlaunched(context, name);
        }
        while let Some(at) = self.position(name, |a| {
            a.launched.is_none() && a.incarnation != incarnation
        }) {
            self.remove_assignment(context, name, at);
        }
        let Some(m) = self.machines.get(name) else {
            return;
        };
        // Its holder releases it after half of the time; where there is none in time, the leader does.
        let overdue = m.assignments.iter().any(|a| {
            let ago = self.jobs.get(a.job).and_then(|j| j.cancelled_for(now));
            ago.is_some_and(|ago| ago > cancel * 5 / 8)
        });
        // A holder that hears no other machine cannot tell whose silence it is; the leader can.
        let silence = silent_release(context.settings.agent_lease);
        let hearing = now.saturating_sub(self.last_heartbeat_at) < 3 * report;
        let patience = match m
            .partition
            .is_some_and(|id| self.remote_partitions.is_synced(id))
            && hearing
        {
            true => silence,
            false => 3 * silence,
        };
        if (overdue || unheard > patience) && self.fleet.terminate(name, now) {
            info!(
                "{name}: released, its holder has not heard it for {} s",
                unheard / SECOND
            );
        }
        let useless = |a: &Assignment| self.jobs.get(a.job).is_none_or(|j| j.is_done(a.task));
        let useless = m.assignments.iter().filter(|a| useless(a));
        let useless: Vec<u64> = useless.map(|a| a.attempt).collect();
        if !useless.is_empty() {
            self.stop_on(context, name, 0, |a| useless.contains(&a.attempt));
        }
        self.move_replicas(context, name);
    }

    /// Machines that hold replicas and are silent are asked directly, and released if that brings no
    /// answer either. Many at once are more likely cut off than gone, and keep serving meanwhile.
    pub(crate) fn check_silent_serving(
        &mut self,
        context: &mut Context,
        silent: &[(Micros, String)],
    ) {
        let now = context.now.steady;
        let few = 1 + self.machines.len() / MOST_SILENT_PART;
        for (silence, name) in silent {
            if *silence < context.settings.heartbeat_interval * 3 + 2 * SECOND {
                self.send_commands(context, name, true);
            } else if silent.len() <= few && self.fleet.terminate(name, now) {
                info!(
                    "{name}: released, silent for {} s with replicas on it",
                    silence / SECOND
                );
                if let Some(m) = self.machines.get_mut(name) {
                    m.cordoned = true;
                }
            }
        }
    }
}
