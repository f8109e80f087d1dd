//! The simulated world: plays a script and checks the rules.

use crate::error::{ScenarioError, StepResult};
use crate::machines::{JobFacts, Machine};
use crate::measure::Measures;
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

/// How often time passes for machines, controllers and the key-value store.
const TICK_INTERVAL: Micros = 20 * MILLISECOND;
/// How far apart the controllers start.
const START_INTERVAL: Micros = 5 * MILLISECOND;
/// How often users poll each job.
const POLL_INTERVAL: Micros = 5 * SECOND;

/// What the script expects of responses.
#[derive(Default)]
struct Expectations {
    /// Responses that were asked for.
    requested: u64,
    /// Responses that came and were as expected.
    met: u64,
    /// Partitions that the script has moved.
    partition_moves: u64,
}

/// A cluster in simulated time.
pub struct World {
    /// The simulated time.
    now: Micros,
    /// When the scenario ends.
    end: Micros,
    /// What is to happen, by time and number; events of the same moment come in the order of their numbers.
    queue: BTreeMap<(Micros, u64), Event>,
    /// The last number that was given to an event, a process, a watch or a heartbeat.
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
    /// A rule that was broken within a step.
    violation: Option<ScenarioError>,
    /// What the leader costs, if that is measured.
    pub measures: Option<Measures>,
    /// What the controllers do, if that is traced.
    pub trace: Option<Trace>,
}

impl World {
    /// A world as the script sets it up, at the start.
    pub fn new(script: Script) -> Result<World, ScenarioError> {
        let mut world = World::empty(&script);
        for directive in &script.setup {
            let done = world.apply_setup(directive);
            done.map_err(|error| error.at_line(directive.line_number))?;
        }
        world.store.limits = Some(world.configuration.settings.store);
        for index in 0..world.configuration.controllers {
            world.controllers.push(ControllerProcess::default());
            let start = index as Micros * START_INTERVAL;
            world.push(start, Event::Start(index));
        }
        for (at, directive) in script.events {
            world.push(at, Event::Directive(directive));
        }
        world.push(TICK_INTERVAL, Event::Tick);
        Ok(world)
    }

    /// A world in which there is nothing yet.
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
            next_poll: POLL_INTERVAL,
            faults: Faults::until(script.faults_end()),
            checks: Checks::default(),
            limit_changes: LimitChanges::default(),
            expectations: Expectations::default(),
            violation: None,
            measures: None,
            trace: None,
        }
    }

    /// Plays to the end.
    pub fn run(mut self) -> Result<(), ScenarioError> {
        self.play_to_the_end()
    }

    /// Ends the leader's process, so that its memory can be measured.
    pub fn end_leader(&mut self) {
        if let Ok(leader) = self.controller_named("leader") {
            self.controllers[leader].controller = None;
        }
    }

    /// Plays to the end; every expected response must have come by then.
    pub(crate) fn play_to_the_end(&mut self) -> StepResult {
        self.play_until(self.end)?;
        let Expectations { requested, met, .. } = self.expectations;
        if met < requested {
            return Err(ScenarioError::unmet(format!(
                "{} of {requested} expectations got no answer",
                requested - met
            )));
        }
        Ok(())
    }

    /// Plays all events up to this time.
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

    /// Puts an event into the queue.
    fn push(&mut self, at: Micros, event: Event) {
        let number = self.next_number();
        self.queue.insert((at, number), event);
    }

    /// A number that nothing else has.
    fn next_number(&mut self) -> u64 {
        self.sequence += 1;
        self.sequence
    }

    /// Time passes.
    fn tick(&mut self) -> StepResult {
        self.push(self.now + TICK_INTERVAL, Event::Tick);
        self.answer_watches();
        self.tick_controllers();
        let names: Vec<String> = self.machines.keys().cloned().collect();
        for name in names {
            self.tick_machine(&name)?;
        }
        if self.now >= self.next_poll {
            self.next_poll = self.now + POLL_INTERVAL;
            self.poll_all_jobs()?;
        }
        self.check_invariants()
    }
}
