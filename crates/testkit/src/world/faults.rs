//! Faults that a scenario can inject: lost answers to transactions, late copies of heartbeats, machines that
//! cannot be reached, and users who cancel and poll jobs at critical moments.

use super::network::Link;
use super::World;
use crate::error::{ScenarioError, ScriptError, StepResult};
use crate::machines::Machine;
use crate::script::Directive;
use crate::time::Micros;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

mod commands;
mod heartbeats;
mod store;
mod users;

pub(super) use commands::start_tasks;
use commands::CommandCopies;
use heartbeats::{HeartbeatCopies, HeartbeatKey, HeldCopy};
use store::{LostAnswer, RecurringTransactionFault};

/// A delay that applies until a given time.
#[derive(Clone, Copy, Debug, Default)]
struct Delay {
    until: Micros,
    by: Micros,
}

impl Delay {
    /// Returns the delay at this time; `None` once it is over.
    fn at(self, now: Micros) -> Option<Micros> {
        (now < self.until).then_some(self.by)
    }
}

/// Faults that are active or armed, and counts of their effects.
#[derive(Default)]
pub(super) struct Faults {
    /// Time at which the last fault of the script is over; armed faults that occur later move it.
    pub(super) end: Micros,
    /// Faults of the next transactions, in order, by controller; `None` stands for the controller that leads then.
    next_transaction_faults: BTreeMap<Option<usize>, VecDeque<LostAnswer>>,
    /// Faults of the next call that ends a lease, by controller.
    next_lease_end_faults: BTreeMap<usize, LostAnswer>,
    /// Time until which a controller's renewals of leases get lost, by controller.
    renewals_dropped_until: BTreeMap<usize, Micros>,
    recurring_transaction_fault: Option<RecurringTransactionFault>,
    /// Number of transactions without an answer that were applied.
    unanswered_applied: u64,
    /// Number of transactions without an answer that the key-value store rejected (400 or 409).
    unanswered_failed: u64,
    /// Number of users' polls that were refused temporarily (429 or 503).
    refused_polls: u64,
    /// Active copying of heartbeats, by machine; `None` stands for every machine.
    heartbeat_copies: BTreeMap<Option<String>, HeartbeatCopies>,
    /// Copies of heartbeats that are held for the next leader, by machine.
    held_copies: BTreeMap<String, HeldCopy>,
    /// Highest fencing token under which a controller has led.
    highest_token: u64,
    /// Number of copies that arrived at a controller that led with a higher fencing token than that of the copy.
    copies_at_newer_leader: u64,
    /// Incarnation and sequence number of the newest heartbeat that a controller has accepted.
    newest_heartbeats: BTreeMap<HeartbeatKey, (u64, u64)>,
    /// Delays of direct commands whose responses are lost, by machine.
    lost_direct_commands: BTreeMap<String, Delay>,
    /// Late copies of start commands and of direct commands.
    command_copies: CommandCopies,
    /// Delay after which users cancel a job whose last task has completed.
    cancel_at_end: Delay,
    /// Time until which users poll a job at every controller after each new kind of response about it.
    polls_until: Micros,
    /// Jobs, and the events after which they were polled at every controller; each event counts once.
    polled_after: BTreeSet<(String, &'static str)>,
    /// Additional latency of the key-value store's answers.
    slow_store: Delay,
    /// Additional one-way latency of messages between controllers and agents.
    slow_agent_links: Delay,
    /// Whether the leader crashes when it writes its next page of assignments.
    pub(super) crash_on_page_write: bool,
    /// Downtime of the next controller that confirms a cancellation, which crashes then.
    crash_on_confirmation: Option<Micros>,
    /// Downtime of the key-value store right after the next write of the `leader` record.
    store_outage_on_election: Option<Micros>,
    /// Job that peers' answers list as cancelled although nobody cancelled it, and until when.
    forged_cancellation: Option<(String, Micros)>,
    /// Delays of the copy of a machine's next heartbeat, by machine.
    pub(super) heartbeat_copy_delays: BTreeMap<String, Micros>,
    /// Delays of a machine's next heartbeat, which a newer status must overtake, by machine.
    pub(super) heartbeat_delays: BTreeMap<String, Micros>,
    /// Delays of the next response to a machine that carries a launch, by machine.
    pub(super) launch_response_delays: BTreeMap<String, Micros>,
    /// Machines that lose the response to their next heartbeat.
    pub(super) lost_heartbeat_responses: BTreeSet<String>,
}

impl Faults {
    /// Creates the state without active faults; the last fault of the script is over at this time.
    pub(super) fn until(end: Micros) -> Faults {
        Faults {
            end,
            ..Faults::default()
        }
    }
}

impl World {
    /// Injects a fault, or checks the effects of one. Returns whether the directive is about faults.
    pub(super) fn run_fault_directive(&mut self, directive: &Directive) -> StepResult<bool> {
        let object = directive.words.get(1).map_or("", String::as_str);
        match (directive.word(0)?, object) {
            ("late", "txn") => self.set_transaction_fault(directive)?,
            ("late", "lease_end") => self.set_lease_end_fault(directive)?,
            ("drop_renewals", _) => self.drop_renewals(directive)?,
            ("late", "txns") => self.set_recurring_transaction_fault(directive)?,
            ("unanswered", _) => self.expect_unanswered_transactions(directive)?,
            ("slow", "store") => {
                self.faults.slow_store = self.delay(directive, 20.0, ("by", 0.8))?
            }
            ("slow", "agents") => {
                self.faults.slow_agent_links = self.delay(directive, 20.0, ("by", 0.5))?;
            }
            ("fault_on", "confirm") => {
                let down_for = directive.duration("for", 0.3)?;
                self.faults.crash_on_confirmation = Some(down_for);
            }
            ("fault_on", "grant") => {
                let down_for = directive.duration("for", 40.0)?;
                self.faults.store_outage_on_election = Some(down_for);
            }
            ("forge", job) => {
                let until = self.now + directive.duration("for", 5.0)?;
                self.faults.forged_cancellation = Some((job.into(), until));
            }
            ("heartbeat_copies", machine) => self.start_heartbeat_copies(directive, machine)?,
            ("command_copies", _) => self.start_command_copies(directive)?,
            ("command_copies_arrived", _) => self.expect_command_copies(directive)?,
            ("copies_at_newer_leader", _) => self.expect_copies(directive)?,
            ("drop_heartbeats" | "drop_inbound" | "disconnect" | "hang", _) => {
                self.apply_machine_fault(directive)?
            }
            ("lose", "direct") => {
                let delay = self.delay(directive, 10.0, ("late", 6.0))?;
                for name in self.machines_named(directive, 2)? {
                    self.faults.lost_direct_commands.insert(name, delay);
                }
            }
            _ => return self.run_user_fault(directive),
        }
        Ok(true)
    }

    /// Injects a fault by users, or checks the effects of one. Returns whether the directive is about such faults.
    fn run_user_fault(&mut self, directive: &Directive) -> StepResult<bool> {
        match directive.word(0)? {
            "cancel_now" => {
                let most = directive.number_at(1)?;
                self.cancel_now(most, directive.duration("hang", 0.0)?)?;
            }
            "cancel_at_end" => {
                self.faults.cancel_at_end = self.delay(directive, 20.0, ("after", 0.0))?;
            }
            "refused_polls" => {
                let (got, most) = (self.faults.refused_polls, directive.count("most", 0)?);
                if got > most {
                    let detail = format!("{got} polls were refused");
                    return Err(ScenarioError::unmet(detail));
                }
            }
            "ends" => self.check_ends(directive)?,
            "polls" => {
                let until = self.now + directive.duration("for", 20.0)?;
                self.faults.polls_until = until;
            }
            _ => return Ok(false),
        }
        Ok(true)
    }

    /// Returns a delay that applies from now on, for the directive's `for` option, by the span of the given
    /// option. Both have a default in seconds.
    fn delay(
        &self,
        directive: &Directive,
        default_s: f64,
        (option, default_by_s): (&str, f64),
    ) -> Result<Delay, ScriptError> {
        Ok(Delay {
            until: self.now + directive.duration("for", default_s)?,
            by: directive.duration(option, default_by_s)?,
        })
    }

    /// Returns the additional latency of a message over this link.
    pub(super) fn link_delay(&self, link: Link) -> Micros {
        match link {
            Link::Agents => self.faults.slow_agent_links.at(self.now).unwrap_or(0),
            _ => 0,
        }
    }

    /// Makes machines hang for a time, or drops their inbound messages, their heartbeats, or all messages from and
    /// to them.
    fn apply_machine_fault(&mut self, directive: &Directive) -> StepResult {
        let fault = directive.word(0)?;
        let default_s = if fault == "hang" { 5.0 } else { 30.0 };
        let until = self.now + directive.duration("for", default_s)?;
        for name in self.machines_named(directive, 1)? {
            let machine = self.machine_mut(&name)?;
            match fault {
                "drop_heartbeats" => machine.heartbeats_dropped_until = until,
                "drop_inbound" => machine.inbound_dropped_until = until,
                "disconnect" => machine.disconnected_until = until,
                _ => machine.hangs_until = until,
            }
        }
        Ok(())
    }

    /// Returns the machines that a directive names at this place: one, all, or those that hold a task of a job
    /// (`of=JOB`).
    fn machines_named(&self, directive: &Directive, at: usize) -> StepResult<Vec<String>> {
        let name_of = |machine: &Machine| machine.name.clone();
        if let Some(job) = directive.options.get("of") {
            let machines = self.present_machines();
            let holders = machines.filter(|machine| machine.holds_task_of(job));
            let names: Vec<String> = holders.map(name_of).collect();
            return match names.is_empty() {
                true => Err(ScenarioError::unmet(format!(
                    "no machine holds a task of {job}"
                ))),
                false => Ok(names),
            };
        }
        match directive.word(at)? {
            "all" => Ok(self.present_machines().map(name_of).collect()),
            name if self.machines.contains_key(name) => Ok(vec![name.into()]),
            name => Err(ScriptError::NotFound {
                kind: "machine",
                name: name.into(),
            }
            .into()),
        }
    }
}
