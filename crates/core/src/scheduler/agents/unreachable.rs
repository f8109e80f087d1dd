//! Detects machines that stopped sending heartbeats or do not receive responses, and derives what that proves about
//! their tasks.
//!
//! The lease of an agent is the time for which it keeps its tasks running without a response from a controller.

use crate::context::Context;
use crate::scheduler::Scheduler;
use crate::state::jobs::Job;
use crate::state::machine::{Assignment, Machine, RESPONSE_TIMEOUT_US};
use crate::{Micros, MILLI, SECOND};
use log::info;

/// Interval between two checks of all machines.
const CHECK_INTERVAL_US: Micros = SECOND;

/// Time after a response at which an agent is probed that has not shown that it received the response. An agent
/// that received it sends a heartbeat sooner, because the fencing token was new to it.
const PROBE_DELAY_US: Micros = SECOND;

/// Maximum number of direct commands in flight at which another agent is still probed.
const MAX_PROBES: usize = 100;

/// If more than one in this many machines is unreachable, the network is assumed to be at fault, not the machines.
const MACHINES_PER_UNREACHABLE: usize = 20;

/// Time from the expiry of an agent's lease to the termination of its machine.
const TERMINATION_DELAY_US: Micros = 12 * SECOND;

/// Returns the time after the last response at which an agent's lease has certainly expired, in microseconds. It
/// allows for clock drift (1/500) and for the time that the response takes to travel.
fn lease_expiry(lease: Micros) -> Micros {
    lease + lease / 500 + 1_500 * MILLI
}

/// Returns how long a machine may be out of contact before it is terminated, in microseconds.
pub(crate) fn termination_delay(lease: Micros) -> Micros {
    lease_expiry(lease) + TERMINATION_DELAY_US
}

/// Machine with replicas that is out of contact.
struct UnreachableMachine {
    name: String,
    /// Time since the last contact, in microseconds.
    silence: Micros,
}

impl Scheduler {
    /// Returns whether no agent reaches this controller although some should. Another controller should lead then.
    pub(crate) fn is_isolated_from_agents(&self, context: &Context) -> bool {
        let now = context.now.steady;
        // An agent that gets no response for 4 s turns to another controller. Its lease should still hold when it
        // finds the next leader there, so the limit is one and a half heartbeat intervals once heartbeats are far
        // apart.
        let interval = context.settings.heartbeat_interval;
        let max_silence = (interval * 5 / 2).min((interval * 3 / 2).max(RESPONSE_TIMEOUT_US));
        let silence = now.saturating_sub(self.last_heartbeat_at.max(self.loaded_at));
        if !self.is_loaded() || context.settings.siblings.is_empty() || silence <= max_silence {
            return false;
        }
        // Machines known only from records get more time, because they have yet to find this controller.
        let in_contact_lately = |machine: &&Machine| {
            machine.partition.is_none()
                && machine.knows_token
                && now.saturating_sub(machine.last_contact_at) < max_silence * 4
        };
        match self.machines.values().filter(in_contact_lately).count() {
            0 => silence > max_silence * 4 && self.expects_heartbeats(),
            // A single machine may be at fault itself.
            1 => silence > max_silence * 2,
            _ => true,
        }
    }

    /// Returns whether some machine should send heartbeats to this controller. Delayed copies of a deleted
    /// machine's heartbeats don't count, and neither does a machine that is on a page but not in the cloud's list:
    /// otherwise, leaders would resign in turn, and none would lead for long enough to find out that the machine is
    /// gone.
    fn expects_heartbeats(&self) -> bool {
        let has_machine_list = self.fleet.has_machine_list();
        self.machines.values().any(|machine| {
            let is_recovered = machine.address.is_empty()
                && (machine.first_listed_at.is_some() || !has_machine_list);
            machine.partition.is_none() && (machine.knows_token || is_recovered)
        })
    }

    /// Handles unreachable machines, stops that were not carried out, and machines that will be reclaimed.
    pub(crate) fn check_machines(&mut self, context: &mut Context) {
        let now = context.now.steady;
        if now < self.next_machine_check {
            return;
        }
        self.next_machine_check = now + CHECK_INTERVAL_US;
        let names: Vec<String> = self.machines.keys().cloned().collect();
        let mut unreachable = Vec::new();
        for name in names {
            let Some(machine) = self.machines.get(&name) else {
                continue;
            };
            if machine.partition.is_some() {
                self.check_remote_machine(context, &name);
            } else {
                self.check_own_machine(context, &name, &mut unreachable);
            }
        }
        self.check_unreachable_replicas(context, &unreachable);
    }

    /// Checks a machine that this controller manages itself, and adds it to `unreachable` if it has replicas and is
    /// out of contact.
    fn check_own_machine(
        &mut self,
        context: &mut Context,
        name: &str,
        unreachable: &mut Vec<UnreachableMachine>,
    ) {
        self.apply_lease_expiry(context, name);
        if self.misses_heartbeats(context, name) {
            self.remove_unlaunched(context, name);
        }
        unreachable.extend(self.unreachable_with_replicas(context, name));
        self.terminate_if_unreachable(context, name);
        if self.needs_probe(context, name) {
            self.probe_agent(context, name);
        }
        self.stop_obsolete_assignments(context, name);
        self.drain_reclaimed(context, name);
        self.move_replicas(context, name);
        self.send_due_stops(context, name);
    }

    /// Returns whether this controller receives any heartbeats. If it does not, the controller itself is cut off,
    /// and the machines may still be reachable.
    fn receives_heartbeats(&self, context: &Context) -> bool {
        let silence = context.now.steady.saturating_sub(self.last_heartbeat_at);
        silence < context.settings.heartbeat_timeout()
    }

    /// Returns whether the records were read so recently that machines have yet to send their first heartbeat to
    /// this controller. A new leader waits for these heartbeats, so that it can stop tasks without terminating
    /// machines.
    fn is_newly_loaded(&self, context: &Context) -> bool {
        let first_heartbeats = context.settings.heartbeat_interval * 3 / 2 + SECOND;
        context.now.steady.saturating_sub(self.loaded_at) < first_heartbeats
    }

    /// Returns whether a machine has missed its heartbeats. It may still answer direct commands while it reaches no
    /// controller, but nothing can be launched on it: a replica placed there would be abandoned with each further
    /// incarnation.
    fn misses_heartbeats(&self, context: &Context, name: &str) -> bool {
        let max_silence = context.settings.heartbeat_timeout();
        self.machines.get(name).is_some_and(|machine| {
            context.now.steady.saturating_sub(machine.last_heartbeat_at) > max_silence
        })
    }

    /// Handles the expiry of the lease of a machine's agent. The agent has seen the current fencing token, so only
    /// responses of this controller renew its lease. If the last response is too old, the agent has killed every
    /// task and begun a new incarnation.
    fn apply_lease_expiry(&mut self, context: &mut Context, name: &str) {
        let now = context.now.steady;
        let expiry = lease_expiry(context.settings.agent_lease);
        let Some(machine) = self.machines.get_mut(name) else {
            return;
        };
        if !machine.knows_token || now.saturating_sub(machine.last_response_at) <= expiry {
            return;
        }
        let jobs = &self.jobs;
        let is_cancelled =
            |a: &Assignment| jobs.get(a.job).is_none_or(|job| job.cancelled_at.is_some());
        if machine.assignments.iter().any(is_cancelled) {
            // A machine that hangs may not have noticed the expiry of its lease, and cancelled tasks have to be
            // gone in time: the termination of the machine proves that. The assignments of cancelled tasks stay
            // until the cloud confirms the termination; without them, the next leader would not know that it is
            // due.
            self.fleet.terminate(name, now);
            machine.cordon_for_termination();
        }
        let incarnation = machine.incarnation;
        let ended = machine
            .assignments
            .iter()
            .filter(|a| a.incarnation <= incarnation && !is_cancelled(a));
        let attempts: Vec<u64> = ended.map(|a| a.attempt).collect();
        if attempts.is_empty() {
            return;
        }
        info!(machine = name; "lease of an agent expired; counting its tasks as ended, except for cancelled ones");
        machine.incarnation += 1;
        machine.sequence = 0;
        machine.exited_attempts.clear();
        self.remove_assignments(context, name, |a| attempts.contains(&a.attempt));
    }

    /// Returns the machine if it has replicas and is out of contact. Its termination proves that the replicas are
    /// gone sooner than the expiry of its lease does.
    fn unreachable_with_replicas(
        &self,
        context: &Context,
        name: &str,
    ) -> Option<UnreachableMachine> {
        let machine = self.machines.get(name)?;
        let is_replica = |a: &Assignment| self.jobs.get(a.job).is_some_and(Job::is_daemon);
        let silence = context.now.steady.saturating_sub(machine.last_contact_at);
        let is_unreachable = machine.knows_token
            && machine.assignments.iter().any(is_replica)
            && self.receives_heartbeats(context)
            && !self.is_newly_loaded(context)
            && silence > 2 * context.settings.heartbeat_interval + SECOND;
        is_unreachable.then(|| UnreachableMachine {
            name: name.to_string(),
            silence,
        })
    }

    /// Terminates a machine that has sent no heartbeat for too long, or that has a task whose cancellation is
    /// overdue.
    fn terminate_if_unreachable(&mut self, context: &Context, name: &str) {
        let now = context.now.steady;
        let cancel_timeout = context.settings.cancel_timeout;
        let max_age = match self.is_newly_loaded(context) {
            true => cancel_timeout * 3 / 4,
            false => cancel_timeout / 2,
        };
        let has_overdue_cancellation = self.has_older_cancellation(name, now, max_age);
        let receives_heartbeats = self.receives_heartbeats(context);
        let Some(machine) = self.machines.get_mut(name) else {
            return;
        };
        let silence = now.saturating_sub(machine.last_heartbeat_at);
        let is_gone =
            receives_heartbeats && silence > termination_delay(context.settings.agent_lease);
        if !has_overdue_cancellation && !is_gone {
            return;
        }
        machine.cordon_for_termination();
        if self.fleet.terminate(name, now) {
            info!(machine = name, silence_s = silence / SECOND; "terminating a machine: no heartbeats or an overdue cancellation");
        }
    }

    /// Returns whether a task on the machine was cancelled more than `max_age` microseconds ago.
    fn has_older_cancellation(&self, name: &str, now: Micros, max_age: Micros) -> bool {
        let is_older = |a: &Assignment| {
            let job = self.jobs.get(a.job);
            let age = job.and_then(|job| job.cancelled_for(now));
            age.is_some_and(|age| age > max_age)
        };
        self.machines
            .get(name)
            .is_some_and(|machine| machine.assignments.iter().any(is_older))
    }

    /// Returns whether a machine that sends heartbeats has to be probed for whether responses reach it. Heartbeats
    /// may be further apart than an agent waits for a response. They then do not show whether responses arrive, and
    /// without a probe the machine would get no task.
    fn needs_probe(&self, context: &Context, name: &str) -> bool {
        let now = context.now.steady;
        let max_silence = 2 * context.settings.heartbeat_interval;
        self.machines.get(name).is_some_and(|machine| {
            !machine.receives_responses
                && machine.cordon.is_none()
                && now.saturating_sub(machine.last_contact_at) < max_silence
                && now.saturating_sub(machine.last_response_at) >= PROBE_DELAY_US
                && self.direct_commands_in_flight.len() < MAX_PROBES
        })
    }

    /// Stops the assignments of a machine that belong to no live task, such as a second assignment of a completed
    /// task.
    fn stop_obsolete_assignments(&mut self, context: &mut Context, name: &str) {
        let Some(machine) = self.machines.get(name) else {
            return;
        };
        let is_obsolete = |a: &&Assignment| {
            let job = self.jobs.get(a.job);
            job.is_none_or(|job| job.is_task_completed(a.task))
        };
        let obsolete = machine.assignments.iter().filter(is_obsolete);
        let obsolete_attempts: Vec<u64> = obsolete.map(|a| a.attempt).collect();
        if !obsolete_attempts.is_empty() {
            self.stop_assignments(context, name, 0, |a| obsolete_attempts.contains(&a.attempt));
        }
    }

    /// Checks a machine that a partition holder manages, for what the leader does itself.
    fn check_remote_machine(&mut self, context: &mut Context, name: &str) {
        let Some(machine) = self.machines.get(name) else {
            return;
        };
        let incarnation = machine.incarnation;
        if machine.reclaim_at.is_some() || self.misses_heartbeats(context, name) {
            self.remove_unlaunched(context, name);
        }
        self.remove_assignments(context, name, |a| {
            a.launched.is_none() && a.incarnation != incarnation
        });
        self.terminate_for_holder(context, name);
        self.stop_obsolete_assignments(context, name);
        self.move_replicas(context, name);
    }

    /// Terminates a machine on behalf of its partition holder. The holder terminates a machine after half of the
    /// cancellation timeout. The leader does so a little later, in case no holder does.
    fn terminate_for_holder(&mut self, context: &Context, name: &str) {
        let now = context.now.steady;
        let has_overdue_cancellation =
            self.has_older_cancellation(name, now, context.settings.cancel_timeout * 5 / 8);
        let Some(machine) = self.machines.get(name) else {
            return;
        };
        // A holder that receives no heartbeats at all cannot tell whether it is cut off itself; the leader can.
        let is_holder_synced = machine
            .partition
            .is_some_and(|id| self.remote_partitions.is_holder_reconciled(id));
        let max_silence = termination_delay(context.settings.agent_lease);
        let max_silence = match is_holder_synced && self.receives_heartbeats(context) {
            true => max_silence,
            false => 3 * max_silence,
        };
        let silence = now.saturating_sub(machine.last_heartbeat_at);
        if (has_overdue_cancellation || silence > max_silence) && self.fleet.terminate(name, now) {
            info!(
                machine = name, silence_s = silence / SECOND;
                "terminating a machine of a partition: no heartbeats or an overdue cancellation"
            );
        }
    }

    /// Probes unreachable machines with replicas, and terminates them if the probe brings no response either. If
    /// many are unreachable at once, they are more likely cut off than gone, and their replicas keep serving.
    fn check_unreachable_replicas(
        &mut self,
        context: &mut Context,
        unreachable: &[UnreachableMachine],
    ) {
        let now = context.now.steady;
        let max_silence = context.settings.heartbeat_timeout() + 2 * SECOND;
        let only_few_unreachable =
            unreachable.len() <= 1 + self.machines.len() / MACHINES_PER_UNREACHABLE;
        for UnreachableMachine { name, silence } in unreachable {
            if *silence < max_silence {
                self.probe_agent(context, name);
            } else if only_few_unreachable && self.fleet.terminate(name, now) {
                info!(
                    machine = name, silence_s = silence / SECOND;
                    "terminating an unreachable machine with replicas of services"
                );
                if let Some(machine) = self.machines.get_mut(name) {
                    machine.cordon_for_termination();
                }
            }
        }
    }
}
