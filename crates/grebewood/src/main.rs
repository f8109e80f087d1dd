//! `grebewood`: a cluster scheduler. This program is one controller.

mod config;
mod partitions;
mod quota;
mod store;

use clap::{Parser, Subcommand};
use grebewood_core::Controller;
use log::{error, info};
use std::io::Write;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::{SystemTime, UNIX_EPOCH};

/// A cluster scheduler: rents machines by the second and runs batch jobs on them.
#[derive(Parser)]
#[command(name = "grebewood", version, about)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Runs one controller until it is killed.
    Serve {
        /// The settings that the platform hands over (TOML).
        #[arg(long, value_name = "FILE")]
        config: PathBuf,
        /// The operators' own settings (INI); the README lists the keys.
        #[arg(long, value_name = "FILE")]
        tuning: Option<PathBuf>,
    },
    /// Shows who holds which machines, from the state service alone.
    Partitions {
        /// The settings of any controller (TOML).
        #[arg(long, value_name = "FILE")]
        config: PathBuf,
        /// As JSON.
        #[arg(long)]
        json: bool,
    },
    /// Shows what the teams may use and what they do, from the state service alone.
    Quota {
        /// The settings of any controller (TOML).
        #[arg(long, value_name = "FILE")]
        config: PathBuf,
        /// As JSON.
        #[arg(long)]
        json: bool,
    },
}

fn main() -> ExitCode {
    let cli = Cli::parse();
    start_log();
    let outcome = match cli.command {
        Command::Serve { config, tuning } => serve(&config, tuning.as_deref()),
        Command::Partitions { config, json } => show_partitions(&config, json),
        Command::Quota { config, json } => show_quota(&config, json),
    };
    match outcome {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            error!("{e}");
            ExitCode::FAILURE
        }
    }
}

fn serve(config: &std::path::Path, tuning: Option<&std::path::Path>) -> Result<(), String> {
    let tuning = config::load_tuning(tuning)?;
    let (settings, endpoints) = config::load(config)?;
    info!("{} in {}", settings.member, settings.zone);
    let time = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    let seed = time.as_nanos() as u64 ^ (std::process::id() as u64) << 48;
    let node = Controller::new(settings, tuning, seed);
    grebewood_net::run(node, endpoints).map_err(|e| format!("cannot serve: {e}"))
}

fn show_partitions(config: &std::path::Path, json: bool) -> Result<(), String> {
    let (_, endpoints) = config::load(config)?;
    let overview = partitions::read(endpoints.store).map_err(|e| e.to_string())?;
    print(&overview, json, overview.to_text())
}

fn show_quota(config: &std::path::Path, json: bool) -> Result<(), String> {
    let (_, endpoints) = config::load(config)?;
    let overview = quota::read(endpoints.store).map_err(|e| e.to_string())?;
    print(&overview, json, overview.to_text())
}

/// Prints something as text or as JSON.
fn print<T: serde::Serialize>(shown: &T, json: bool, text: String) -> Result<(), String> {
    let text = match json {
        true => serde_json::to_string_pretty(shown).map_err(|e| e.to_string())? + "\n",
        false => text,
    };
    let written = std::io::stdout().write_all(text.as_bytes());
    written.map_err(|e| format!("cannot write: {e}"))
}

/// Logs go to standard error, in the amount given by `LOG_LEVEL`.
fn start_log() {
    let level = match std::env::var("LOG_LEVEL").as_deref() {
        Ok("debug") => log::LevelFilter::Debug,
        Ok("info") => log::LevelFilter::Info,
        Ok("error") => log::LevelFilter::Error,
        _ => log::LevelFilter::Warn,
    };
    env_logger::Builder::new()
        .filter_level(level)
        .format(|out, record| {
            writeln!(
                out,
                "{:<5} {}: {}",
                record.level(),
                record.target().trim_start_matches("grebewood_"),
                record.args()
            )
        })
        .target(env_logger::Target::Stderr)
        .init();
}
