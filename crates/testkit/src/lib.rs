//! A simulator of everything around the controllers, in simulated time, and the runner of scenario files.
//!
//! A scenario is a text file; [`script`] documents its lines. [`world`] plays it with real controllers
//! ([`grebewood_core::Controller`]), a simulated key-value store ([`state`]), a simulated cloud with machines and
//! agents ([`machines`]) and simulated users. Links between them can be cut, delayed or made to lose messages.
//! The rules of the protocol are checked while the scenario is played, and a broken rule ends the scenario.

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

/// Decodes bytes that are written as pairs of hexadecimal digits.
pub fn unhex(hex: &str) -> Result<Vec<u8>, ScriptError> {
    let byte = |digits: &[u8]| {
        let digits = std::str::from_utf8(digits).ok()?;
        u8::from_str_radix(digits, 16).ok()
    };
    let bytes: Option<Vec<u8>> = hex.as_bytes().chunks(2).map(byte).collect();
    bytes.ok_or_else(|| ScriptError::NotHexadecimal(hex.to_string()))
}

/// Plays a scenario and measures the steps of its controllers, their requests to the key-value store and the delay
/// until tasks start.
pub fn play_measured(text: &str) -> Result<world::World, ScenarioError> {
    let mut world = world::World::new(script::parse(text)?)?;
    world.measurements = Some(measure::Measurements::default());
    world.play_to_the_end()?;
    Ok(world)
}

/// Plays a scenario to its end or its first failure, and traces the effects of its controllers. Returns an error
/// only if the text cannot be read or its setup lines cannot be applied.
pub fn play_traced(text: &str) -> Result<trace::Trace, ScenarioError> {
    let mut world = world::World::new(script::parse(text)?)?;
    world.trace = Some(trace::Trace::default());
    // A scenario that fails with the settings forced on it has a digest, too.
    let _ = world.play_to_the_end();
    Ok(world.trace.take().unwrap_or_default())
}

/// Plays a scenario. The error says what failed and at which simulated time.
pub fn play(text: &str) -> Result<(), ScenarioError> {
    let script = script::parse(text)?;
    world::World::new(script)?.run()
}
