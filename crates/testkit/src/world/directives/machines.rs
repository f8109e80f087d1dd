//! Directives about machines, their agents and the cloud.

use super::super::events::Event;
use super::super::World;
use crate::error::{ScriptError, StepResult};
use crate::script::Directive;
use crate::time::{from_seconds, SECOND};

/// An agent that is back in a new incarnation sends a heartbeat within this time, in microseconds.
const RESTART_HEARTBEAT_US: u64 = SECOND / 2;

impl World {
    /// Carries out a directive about machines or the cloud. Returns whether the directive is one.
    pub(super) fn run_machine_directive(&mut self, directive: &Directive) -> StepResult<bool> {
        match directive.word(0)? {
            "cloud" => {
                self.cloud.down = true;
                let until = self.now + directive.duration("for", 10.0)?;
                self.schedule_event(until, Event::CloudUp);
            }
            "boots" => match directive.word(1)?.parse() {
                Ok(seconds) => {
                    self.cloud.boots_fail = false;
                    self.cloud.boot_time = from_seconds(seconds);
                }
                Err(_) => self.cloud.boots_fail = true,
            },
            "late" => {
                let name = directive.word(2)?.to_string();
                let delay = directive.duration("for", 10.0)?;
                self.faults.heartbeat_copy_delays.insert(name, delay);
            }
            "slow" => {
                let name = directive.word(2)?.to_string();
                let delay = directive.duration("for", 1.5)?;
                self.faults.launch_response_delays.insert(name, delay);
            }
            "overtake" => {
                let name = directive.word(2)?.to_string();
                let delay = directive.duration("for", 1.0)?;
                self.faults.heartbeat_delays.insert(name, delay);
            }
            "lose" => {
                let name = directive.word(2)?.to_string();
                self.faults.lost_heartbeat_responses.insert(name);
            }
            "restart" => self.restart_agent(directive.word(1)?)?,
            "faulty" => self.machine_mut(directive.word(1)?)?.is_faulty = true,
            "kill" => self.machine_mut(directive.word(1)?)?.is_gone = true,
            "reclaim" => {
                let at = self.now + directive.duration("in", 10.0)?;
                self.machine_mut(directive.word(1)?)?.reclaim_at = Some(at);
            }
            _ => return Ok(false),
        }
        Ok(true)
    }

    /// Restarts an agent, which is back at once in a new incarnation and sends a heartbeat soon.
    fn restart_agent(&mut self, name: &str) -> Result<(), ScriptError> {
        let now = self.now;
        let machine = self.machine_mut(name)?;
        machine.restart_agent(now);
        machine.next_heartbeat = machine.next_heartbeat.min(now + RESTART_HEARTBEAT_US);
        Ok(())
    }
}
