//! Simulated cluster: plays the script of a scenario and checks the rules of the protocol.
//!
//! The world holds real controllers and simulates what they communicate with: the key-value store, the cloud, the
//! machines with their agents, and users. A fault is a failure that the script injects, such as a lost message; a
//! violation is a broken rule of the protocol, and ends the scenario. A poll is a user's request for the status of
//! a job.

use crate::error::{ScenarioError, StepResult};
use crate::machines::{JobFacts, Machine};
use crate::measure::Measurements;
use crate::script::Script;
use crate::state::KeyValueStore;
use crate::time::{Micros, MILLISECOND, SECOND};
use crate::trace::Trace;
use std::collections::BTreeMap;

mod agents;
mod calls;
mod checks;
mod cloud;
mod configuration;
mod controllers;
mod directives;
mod events;
mod faults;
mod jobs;
mod network;
mod responses;
mod setup;
mod snapshot;
mod team_limits;
#[cfg(test)]
mod tests;
mod users;

use calls::PendingCalls;
use checks::Checks;
use cloud::Cloud;
use configuration::Configuration;
use controllers::ControllerProcess;
use events::Event;
use faults::Faults;
use jobs::ObservedJob;
use network::Network;
use team_limits::LimitChanges;

/// Interval at which controllers, machines and the key-value store's watches are advanced.
const TICK_INTERVAL_US: Micros = 20 * MILLISECOND;
/// Time between the starts of two controllers.
const START_INTERVAL_US: Micros = 5 * MILLISECOND;
/// Interval at which users poll each job.
const POLL_INTERVAL_US: Micros = 5 * SECOND;

/// Counts of the responses that the script expects, and of the partition moves that it makes.
#[derive(Default)]
struct Expectations {
    /// Number of expected responses so far, received or not.
    requested: u64,
    /// Number of expected responses that arrived and were as expected.
    met: u64,
    /// Number of partition moves that the script has made.
    partition_moves: u64,
}

/// A cluster in simulated time.
pub struct World {
    /// Current simulated time.
    now: Micros,
    /// Simulated time at which the scenario ends.
    end: Micros,
    /// Scheduled events by time and number; events of the same time are handled in the order of their numbers.
    queue: BTreeMap<(Micros, u64), Event>,
    /// Last number that was assigned to an event, a watch or a heartbeat. A new process takes the number that
    /// follows it.
    sequence: u64,
    configuration: Configuration,
    controllers: Vec<ControllerProcess>,
    calls: PendingCalls,
    network: Network,
    store: KeyValueStore,
    cloud: Cloud,
    machines: BTreeMap<String, Machine>,
    jobs: BTreeMap<String, ObservedJob>,
    job_facts: BTreeMap<String, JobFacts>,
    next_poll: Micros,
    faults: Faults,
    checks: Checks,
    limit_changes: LimitChanges,
    expectations: Expectations,
    /// First violation of the protocol that was found while the current event was handled.
    violation: Option<ScenarioError>,
    /// Measurements of the scenario; `None` if nothing is measured.
    pub measurements: Option<Measurements>,
    /// Trace of the controllers' effects; `None` if they are not traced.
    pub trace: Option<Trace>,
}

impl World {
    /// Creates the world that the script's setup lines describe, at simulated time 0.
    pub fn new(script: Script) -> Result<World, ScenarioError> {
        let mut world = World::empty(&script);
        for directive in &script.setup {
            let done = world.apply_setup(directive);
            done.map_err(|error| error.at_line(directive.line_number))?;
        }
        world.store.limits = Some(world.configuration.settings.store);
        for index in 0..world.configuration.controllers {
            world.controllers.push(ControllerProcess::default());
            let start = index as Micros * START_INTERVAL_US;
            world.schedule_event(start, Event::Start(index));
        }
        for (at, directive) in script.events {
            world.schedule_event(at, Event::Directive(directive));
        }
        world.schedule_event(TICK_INTERVAL_US, Event::Tick);
        Ok(world)
    }

    /// Creates a world without controllers, machines and jobs.
    fn empty(script: &Script) -> World {
        World {
            now: 0,
            end: script.end,
            queue: BTreeMap::new(),
            sequence: 0,
            configuration: Configuration::default(),
            controllers: Vec::new(),
            calls: PendingCalls::default(),
            network: Network::default(),
            store: KeyValueStore::default(),
            cloud: Cloud::default(),
            machines: BTreeMap::new(),
            jobs: BTreeMap::new(),
            job_facts: BTreeMap::new(),
            next_poll: POLL_INTERVAL_US,
            faults: Faults::until(script.faults_end()),
            checks: Checks::default(),
            limit_changes: LimitChanges::default(),
            expectations: Expectations::default(),
            violation: None,
            measurements: None,
            trace: None,
        }
    }

    /// Plays the scenario to its end.
    pub fn run(mut self) -> Result<(), ScenarioError> {
        self.play_to_the_end()
    }

    /// Ends the leader's process, so that the memory that it occupied can be measured.
    pub fn end_leader(&mut self) {
        if let Ok(leader) = self.controller_named("leader") {
            self.controllers[leader].controller = None;
        }
    }

    /// Plays the scenario to its end, and checks that every expected response has arrived by then.
    pub(crate) fn play_to_the_end(&mut self) -> StepResult {
        self.play_until(self.end)?;
        let Expectations { requested, met, .. } = self.expectations;
        if met < requested {
            return Err(ScenarioError::unmet(format!(
                "{} of {requested} expected responses did not arrive",
                requested - met
            )));
        }
        Ok(())
    }

    /// Handles all events up to and including this time.
    fn play_until(&mut self, end: Micros) -> StepResult {
        while let Some(next) = self.queue.first_entry() {
            let at = next.key().0;
            if at > end {
                break;
            }
            let event = next.remove();
            self.now = at;
            let outcome = self.handle_event(event);
            let outcome = outcome.and_then(|()| self.violation.take().map_or(Ok(()), Err));
            outcome.map_err(|error| error.at_time(at))?;
        }
        Ok(())
    }

    /// Schedules an event at this time.
    fn schedule_event(&mut self, at: Micros, event: Event) {
        let number = self.next_number();
        self.queue.insert((at, number), event);
    }

    /// Returns the next sequence number.
    fn next_number(&mut self) -> u64 {
        self.sequence += 1;
        self.sequence
    }

    /// Advances watches, controllers and machines, polls the jobs if it is time, and checks the invariants.
    fn tick(&mut self) -> StepResult {
        self.schedule_event(self.now + TICK_INTERVAL_US, Event::Tick);
        self.answer_watches();
        self.tick_controllers();
        let names: Vec<String> = self.machines.keys().cloned().collect();
        for name in names {
            self.tick_machine(&name)?;
        }
        if self.now >= self.next_poll {
            self.next_poll = self.now + POLL_INTERVAL_US;
            self.poll_all_jobs()?;
        }
        self.check_invariants()
    }
}
