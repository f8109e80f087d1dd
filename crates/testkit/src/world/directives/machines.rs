//! What a script does to machines, their agents and the cloud.

use super::super::events::Event;
use super::super::World;
use crate::error::{ScriptError, StepResult};
use crate::script::Directive;
use crate::time::{from_seconds, SECOND};

/// An agent that is back in a new incarnation sends a heartbeat within this time.
const RESTART_HEARTBEAT: u64 = SECOND / 2;

impl World {
    /// Carries out what is done to machines and the cloud, if the directive is about them.
    pub(super) fn run_machine_directive(&mut self, directive: &Directive) -> StepResult<bool> {
        match directive.word(0)? {
            "cloud" => {
                self.cloud.down = true;
                let until = self.now + directive.duration("for", 10.0)?;
                self.push(until, Event::CloudUp);
            }
            "boots" => match directive.word(1)?.parse() {
                Ok(seconds) => {
                    self.cloud.boots_never = false;
                    self.cloud.boot_time = from_seconds(seconds);
                }
                Err(_) => self.cloud.boots_never = true,
            },
            "late" => {
                let name = directive.word(2)?.to_string();
                let delay = directive.duration("for", 10.0)?;
                self.faults.late_heartbeat.insert(name, delay);
            }
            "slow" => {
                let name = directive.word(2)?.to_string();
                let delay = directive.duration("for", 1.5)?;
                self.faults.slow_launch.insert(name, delay);
            }
            "overtake" => {
                let name = directive.word(2)?.to_string();
                let delay = directive.duration("for", 1.0)?;
                self.faults.overtake_heartbeat.insert(name, delay);
            }
            "lose" => {
                let name = directive.word(2)?.to_string();
                self.faults.lose_response.insert(name);
            }
            "restart" => self.restart_agent(directive.word(1)?)?,
            "faulty" => self.machine_mut(directive.word(1)?)?.is_faulty = true,
            "kill" => self.machine_mut(directive.word(1)?)?.is_gone = true,
            "recall" => {
                let at = self.now + directive.duration("in", 10.0)?;
                self.machine_mut(directive.word(1)?)?.reclaim_at = Some(at);
            }
            _ => return Ok(false),
        }
        Ok(true)
    }

    /// An agent is back at once in a new incarnation: a change, of which it sends a heartbeat soon.
    fn restart_agent(&mut self, name: &str) -> Result<(), ScriptError> {
        let now = self.now;
        let machine = self.machine_mut(name)?;
        machine.restart_agent(now);
        machine.next_heartbeat = machine.next_heartbeat.min(now + RESTART_HEARTBEAT);
        Ok(())
    }
}
