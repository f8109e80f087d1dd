//! `grebewood`: a cluster scheduler. The program runs one controller, and provides commands for operators.

mod config;
mod logging;
mod partitions;
mod quota;
mod store;

use clap::{Parser, Subcommand};
use config::ConfigError;
use grebewood_core::Controller;
use grebewood_net::ServeError;
use log::{error, info};
use serde::Serialize;
use std::error::Error;
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::{SystemTime, UNIX_EPOCH};
use store::ReadError;

/// A cluster scheduler: provisions machines by the second and runs jobs on them.
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
    /// Shows who holds which machines, from the key-value store alone.
    Partitions {
        /// The settings of any controller (TOML).
        #[arg(long, value_name = "FILE")]
        config: PathBuf,
        /// As JSON.
        #[arg(long)]
        json: bool,
    },
    /// Shows what the teams may use and what they do, from the key-value store alone.
    Quota {
        /// The settings of any controller (TOML).
        #[arg(long, value_name = "FILE")]
        config: PathBuf,
        /// As JSON.
        #[arg(long)]
        json: bool,
    },
}

/// Reasons why a command failed.
#[derive(Debug, thiserror::Error)]
enum CommandError {
    #[error(transparent)]
    Config(#[from] ConfigError),
    #[error("cannot serve")]
    Serve(#[from] ServeError),
    #[error(transparent)]
    Read(#[from] ReadError),
    #[error("cannot encode the output as JSON")]
    Encode(#[from] serde_json::Error),
    #[error("cannot write to standard output")]
    Write(#[from] io::Error),
}

/// Runs the command that the command line names. The exit code is 0 for success and 1 for any [`CommandError`];
/// `clap` exits with 2 for an invalid command line.
fn main() -> ExitCode {
    let cli = Cli::parse();
    logging::init();
    match run(cli.command) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            error!("{}", format_error_chain(&error));
            ExitCode::FAILURE
        }
    }
}

fn run(command: Command) -> Result<(), CommandError> {
    match command {
        Command::Serve { config, tuning } => serve(&config, tuning.as_deref()),
        Command::Partitions { config, json } => show_partitions(&config, json),
        Command::Quota { config, json } => show_quota(&config, json),
    }
}

fn serve(config: &Path, tuning: Option<&Path>) -> Result<(), CommandError> {
    let tuning = config::load_tuning(tuning)?;
    let (settings, endpoints) = config::load_settings(config)?;
    info!(member:% = settings.member, zone:% = settings.zone; "controller starting");
    let controller = Controller::new(settings, tuning, random_seed());
    grebewood_net::run(controller, endpoints)?;
    Ok(())
}

/// Returns a seed that differs between processes that start at the same time.
fn random_seed() -> u64 {
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    since_epoch.as_nanos() as u64 ^ u64::from(std::process::id()) << 48
}

fn show_partitions(config: &Path, json: bool) -> Result<(), CommandError> {
    let (_, endpoints) = config::load_settings(config)?;
    let overview = partitions::read_overview(endpoints.store)?;
    print_overview(&overview, json, overview.to_text())
}

fn show_quota(config: &Path, json: bool) -> Result<(), CommandError> {
    let (_, endpoints) = config::load_settings(config)?;
    let overview = quota::read_overview(endpoints.store)?;
    print_overview(&overview, json, overview.to_text())
}

/// Prints the overview of the partitions or of the quotas, as text or as JSON.
fn print_overview<T: Serialize>(
    overview: &T,
    json: bool,
    text: String,
) -> Result<(), CommandError> {
    let output = if json {
        serde_json::to_string_pretty(overview)? + "\n"
    } else {
        text
    };
    io::stdout().write_all(output.as_bytes())?;
    Ok(())
}

/// Formats an error and the chain of its causes on one line.
fn format_error_chain(error: &dyn Error) -> String {
    let mut line = error.to_string();
    let mut cause = error.source();
    while let Some(error) = cause {
        line.push_str(": ");
        line.push_str(&error.to_string());
        cause = error.source();
    }
    line
}
