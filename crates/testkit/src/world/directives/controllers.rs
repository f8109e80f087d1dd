//! Directives about controllers, their links and the key-value store.

use super::super::configuration::member_name;
use super::super::events::Event;
use super::super::network::Cut;
use super::super::setup::store_limits;
use super::super::World;
use crate::error::{ScriptError, StepResult};
use crate::script::Directive;
use grebewood_wire::http::{from_value, to_value};
use grebewood_wire::records::PartitionRecord;

/// The default time for which a crashed controller is down, in seconds.
const DEFAULT_CRASH_S: f64 = 4.0;
/// The default duration of most faults, in seconds.
const DEFAULT_FAULT_S: f64 = 10.0;

impl World {
    /// Carries out a directive about controllers or the key-value store. Returns whether the directive is one.
    pub(super) fn run_controller_directive(&mut self, directive: &Directive) -> StepResult<bool> {
        match directive.word(0)? {
            "move" => self.move_partition(directive.word(1)?)?,
            "downgrade" => {
                let controller = self.controller_named(directive.word(1)?)?;
                self.configuration.previous_version.insert(controller);
                self.crash_controller(controller, directive.duration("for", DEFAULT_CRASH_S)?);
            }
            "upgrade" => {
                let controller = self.controller_named(directive.word(1)?)?;
                self.configuration.previous_version.remove(&controller);
                self.crash_controller(controller, directive.duration("for", DEFAULT_CRASH_S)?);
            }
            "crash" => {
                let down_for = directive.duration("for", DEFAULT_CRASH_S)?;
                for controller in self.controllers_named(directive.word(1)?)? {
                    self.crash_controller(controller, down_for);
                }
            }
            "cut" => {
                let cut = Cut {
                    controller: self.controller_named(directive.word(1)?)?,
                    link: directive.word(2)?.into(),
                    until: self.now + directive.duration("for", DEFAULT_FAULT_S)?,
                    holds_messages: directive.flag("hold", false),
                };
                self.network.cuts.push(cut);
            }
            "pause" => {
                let controller = self.controller_named(directive.word(1)?)?;
                self.pause_controller(controller, directive.duration("for", 30.0)?);
            }
            "refuse" => {
                let controller = self.controller_named(directive.word(1)?)?;
                let until = self.now + directive.duration("for", DEFAULT_FAULT_S)?;
                self.network.refused.push((controller, until));
            }
            "fault_on" => self.faults.crash_on_page_write = true,
            _ => return self.run_store_directive(directive),
        }
        Ok(true)
    }

    /// Carries out a directive about the key-value store. Returns whether the directive is one.
    fn run_store_directive(&mut self, directive: &Directive) -> StepResult<bool> {
        match directive.word(0)? {
            "limits" => {
                let current = self.store.limits;
                let current = current.unwrap_or(self.configuration.settings.store);
                let limits = store_limits(directive, "", current)?;
                self.schedule_event(self.now, Event::StoreLimits(limits));
            }
            "busy" => {
                let until = self.now + directive.duration("for", DEFAULT_FAULT_S)?;
                self.store.writes_throttled_until = until;
            }
            "store" => {
                self.store.is_down = true;
                let until = self.now + directive.duration("for", DEFAULT_FAULT_S)?;
                self.schedule_event(until, Event::StoreUp);
            }
            "corrupt" => {
                let key = directive.word(1)?;
                if !self.store.corrupt(key) {
                    let name = key.to_string();
                    let kind = "record";
                    return Err(ScriptError::NotFound { kind, name }.into());
                }
            }
            _ => return Ok(false),
        }
        Ok(true)
    }

    /// Assigns a partition to the next controller that is up, as an operator would. The number at the end of the
    /// word chooses the partition.
    fn move_partition(&mut self, word: &str) -> Result<(), ScriptError> {
        let number: usize = word
            .trim_start_matches(char::is_alphabetic)
            .parse()
            .map_err(|_| ScriptError::NotANumber(word.to_string()))?;
        let records = self.store.entries_with_prefix("partition/");
        let records = records.filter_map(|(key, value, _)| {
            let record = from_value::<PartitionRecord>(value).ok()?;
            Some((key.to_string(), record))
        });
        let records: Vec<(String, PartitionRecord)> = records.collect();
        let up = self.up_controllers();
        if records.is_empty() || up.is_empty() {
            return Ok(());
        }
        let (key, mut record) = records[number % records.len()].clone();
        let mut members = up.iter().map(|index| member_name(*index));
        let holder = members.position(|member| record.holder == member);
        let next = up[(holder.unwrap_or(0) + 1) % up.len()];
        record.holder = member_name(next);
        self.store.write(&key, to_value(&record));
        self.expectations.partition_moves += 1;
        Ok(())
    }
}
