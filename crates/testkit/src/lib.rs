//! Stand-ins for everything around the controllers, in simulated time, and the runner of scenario
//! files.
//!
//! A scenario is a text file; [`script`] lists its lines. [`world`] plays it: real controllers
//! ([`grebewood_core::Controller`]), a key-value store ([`state`]), a cloud with machines and agents
//! ([`machines`]) and users, joined by links that can be cut, delayed or made to lose messages.
//! The rules of the protocol are checked at every step; a broken one ends the scenario.

pub mod error;
pub mod loopback;
pub mod machines;
pub mod measure;
pub mod production;
pub mod scenario_files;
pub mod script;
pub mod state;
pub mod time;
pub mod trace;
pub mod world;

pub use error::{ScenarioError, ScriptError};

/// Reads bytes that are written as pairs of hexadecimal digits.
pub fn unhex(hex: &str) -> Result<Vec<u8>, ScriptError> {
    let byte = |digits: &[u8]| {
        let digits = std::str::from_utf8(digits).ok()?;
        u8::from_str_radix(digits, 16).ok()
    };
    let bytes: Option<Vec<u8>> = hex.as_bytes().chunks(2).map(byte).collect();
    bytes.ok_or_else(|| ScriptError::NotHexadecimal(hex.to_string()))
}

/// Plays a scenario and measures what its leader costs.
pub fn play_measured(text: &str) -> Result<world::World, ScenarioError> {
    let mut world = world::World::new(script::parse(text)?)?;
    world.measures = Some(measure::Measures::default());
    world.play_to_the_end()?;
    Ok(world)
}

/// Plays a scenario as far as it holds and traces what its controllers do. Fails only if the text is not
/// a scenario.
pub fn play_traced(text: &str) -> Result<trace::Trace, ScenarioError> {
    let mut world = world::World::new(script::parse(text)?)?;
    world.trace = Some(trace::Trace::default());
    // One that does not hold with the settings that are forced on it has a digest all the same.
    let _ = world.play_to_the_end();
    Ok(world.trace.take().unwrap_or_default())
}

/// Plays a scenario. The error says what went wrong, and when.
pub fn play(text: &str) -> Result<(), ScenarioError> {
    let script = script::parse(text)?;
    world::World::new(script)?.run()
}
