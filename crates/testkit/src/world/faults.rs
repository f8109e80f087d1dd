//! Faults that a scenario can make: late transactions, copies of heartbeats, silent machines, users
//! who cancel and ask at bad moments.

use super::network::Link;
use super::World;
use crate::error::{ScenarioError, ScriptError, StepResult};
use crate::machines::Machine;
use crate::script::Directive;
use crate::time::Micros;
use std::collections::{BTreeMap, BTreeSet};

mod heartbeats;
mod store;
mod users;

use heartbeats::{HeartbeatCopies, HeartbeatKey, HeldCopy};
use store::{LateTransaction, LateTransactions};

/// Something takes so much longer, or comes so much later, up to a moment.
#[derive(Clone, Copy, Debug, Default)]
struct Delay {
    until: Micros,
    by: Micros,
}

impl Delay {
    /// The delay at this moment; `None` once it is over.
    fn at(self, now: Micros) -> Option<Micros> {
        (now < self.until).then_some(self.by)
    }
}

/// Faults that are under way or awaited.
#[derive(Default)]
pub(super) struct Faults {
    /// When the last fault of the script is over.
    pub(super) end: Micros,
    /// What the next transaction of a controller meets, or (none) that of whoever leads then.
    late_transaction: BTreeMap<Option<usize>, LateTransaction>,
    late_transactions: Option<LateTransactions>,
    /// Transactions without an answer that were carried out.
    late_carried_out: u64,
    /// Transactions without an answer that failed on their conditions.
    late_failed: u64,
    /// Polls that were refused for now.
    refusals: u64,
    /// By machine; none: every machine.
    copies: BTreeMap<Option<String>, HeartbeatCopies>,
    /// Copies of heartbeats that are kept for the next leader, by machine.
    held: BTreeMap<String, HeldCopy>,
    /// The highest token under which a controller has led.
    highest_token: u64,
    /// Copies that arrived at a controller that led with a token newer than that of the copy.
    copies_at_newer_leader: u64,
    /// The newest heartbeat of a machine that a leader has under its grant.
    newest_heartbeats: BTreeMap<HeartbeatKey, (u64, u64)>,
    /// Machines whose direct commands are carried out late and answered to nobody.
    lost_direct_commands: BTreeMap<String, Delay>,
    /// Jobs are cancelled as they end, or so much later.
    cancel_at_end: Delay,
    /// Until then users poll each job everywhere right after something was said of it.
    polls_until: Micros,
    /// After what each job was polled everywhere: once after each thing.
    polled: BTreeSet<(String, &'static str)>,
    /// Answers of the key-value store take that much longer.
    slow_store: Delay,
    /// Messages between controllers and agents take that much longer, each way.
    slow_agent_links: Delay,
    /// The leader crashes as its next page of assignments is written.
    pub(super) crash_on_page_write: bool,
    /// The next controller that confirms a cancellation crashes for so long.
    crash_on_confirmation: Option<Micros>,
    /// The key-value store is down for so long right after the next grant.
    store_outage_on_grant: Option<Micros>,
    /// Until then peers' answers list this job as cancelled, which nobody cancelled.
    forged_cancellation: Option<(String, Micros)>,
    /// By how much the copy of a machine's next heartbeat is late.
    pub(super) late_heartbeat: BTreeMap<String, Micros>,
    /// By how much a machine's next heartbeat is late, which something must overtake.
    pub(super) overtake_heartbeat: BTreeMap<String, Micros>,
    /// By how much the next response to a machine that carries a launch is late.
    pub(super) slow_launch: BTreeMap<String, Micros>,
    /// Machines that lose the response to their next heartbeat.
    pub(super) lose_response: BTreeSet<String>,
}

impl Faults {
    /// No faults yet; the last one of the script is over at this time.
    pub(super) fn until(end: Micros) -> Faults {
        Faults {
            end,
            ..Faults::default()
        }
    }
}

impl World {
    /// Makes a fault, or checks what came of one, if the directive says so.
    pub(super) fn run_fault_directive(&mut self, directive: &Directive) -> StepResult<bool> {
        let object = directive.words.get(1).map_or("", String::as_str);
        match (directive.word(0)?, object) {
            ("late", "txn") => self.delay_transaction(directive)?,
            ("late", "txns") => self.delay_transactions(directive)?,
            ("unanswered", _) => self.expect_late_transactions(directive)?,
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
                self.faults.store_outage_on_grant = Some(down_for);
            }
            ("forge", job) => {
                let until = self.now + directive.duration("for", 5.0)?;
                self.faults.forged_cancellation = Some((job.into(), until));
            }
            ("heartbeat_copies", machine) => self.make_copies(directive, machine)?,
            ("copies_at_newer_leader", _) => self.expect_copies(directive)?,
            ("drop_heartbeats" | "drop_inbound" | "disconnect" | "hang", _) => {
                self.silence_machines(directive)?
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

    /// Makes a fault of users, or checks what came of one, if the directive says so.
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
                let (got, most) = (self.faults.refusals, directive.count("most", 0)?);
                if got > most {
                    let detail = format!("{got} questions were refused");
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

    /// A delay from now on, for as long as the directive says (or by default, in seconds), by the span of
    /// this option (or its default, in seconds).
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

    /// How much longer a message over this link takes.
    pub(super) fn link_delay(&self, link: Link) -> Micros {
        match link {
            Link::Agents => self.faults.slow_agent_links.at(self.now).unwrap_or(0),
            _ => 0,
        }
    }

    /// Machines hear nothing, say nothing, or do nothing for a time.
    fn silence_machines(&mut self, directive: &Directive) -> StepResult {
        let fault = directive.word(0)?;
        let default_s = if fault == "hang" { 5.0 } else { 30.0 };
        let until = self.now + directive.duration("for", default_s)?;
        for name in self.machines_named(directive, 1)? {
            let machine = self.machine_mut(&name)?;
            match fault {
                "drop_heartbeats" => machine.mute_until = until,
                "drop_inbound" => machine.deaf_until = until,
                "disconnect" => machine.unplugged_until = until,
                _ => machine.hangs_until = until,
            }
        }
        Ok(())
    }

    /// The machines that a directive names at this place: one, all, or those that hold a task of a job
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
