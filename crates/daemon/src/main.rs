//! The program `forkshift`: the command line of the controller.
//!
//! | command | module | purpose |
//! | --- | --- | --- |
//! | `serve` | [`run`] | runs a controller until the process is killed |
//! | `check` | [`check`] | validates settings files |
//! | `pools` | [`pools`] | shows the machines and the cost of warm pools |
//!
//! A command that succeeds ends with exit code 0. A command that fails writes one message to
//! standard error and ends with exit code 1. Invalid arguments end with exit code 2.

mod check;
mod clock;
mod load;
mod operator;
mod pools;
mod run;
mod spans;

use clap::{Parser, Subcommand};
use forkshift_core::{shortfalls, Config};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// Command-line arguments. `about` is the description of the package.
#[derive(Parser)]
#[command(version, about)]
struct Args {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Run a controller until the process is killed.
    Serve {
        /// Settings file of the platform (TOML).
        #[arg(long, value_name = "FILE")]
        config: PathBuf,
        /// Settings file of the operators (protobuf text format). Without it, all fields have
        /// their defaults.
        #[arg(long, value_name = "FILE")]
        operator: Option<PathBuf>,
        /// Measure the parts of each step of the controller, and log a summary every 10
        /// seconds.
        #[arg(long)]
        spans: bool,
    },
    /// Validate settings files without starting a controller.
    Check {
        /// Settings file of the platform (TOML).
        #[arg(long, value_name = "FILE")]
        config: PathBuf,
        /// Settings file of the operators (protobuf text format).
        #[arg(long, value_name = "FILE")]
        operator: Option<PathBuf>,
        /// Catalog of the cloud (JSON, the response to `GET /catalog`). The pools in the
        /// operators' settings are validated against it.
        #[arg(long, value_name = "FILE")]
        catalog: Option<PathBuf>,
    },
    /// Show the machines and the cost of warm pools, as recorded in the key-value store.
    Pools {
        #[command(subcommand)]
        command: pools::PoolsCommand,
    },
}

/// Why a command failed.
#[derive(Debug, thiserror::Error)]
enum CommandError {
    /// A file can't be read or is refused.
    #[error(transparent)]
    Load(#[from] load::LoadError),
    /// `check` refuses the settings.
    #[error(transparent)]
    Check(#[from] check::CheckError),
    /// `pools` can't show its result.
    #[error(transparent)]
    Pools(#[from] pools::PoolsError),
    /// `serve` can't listen on an address.
    #[error(transparent)]
    Listen(#[from] run::ListenError),
}

fn main() -> ExitCode {
    match execute(Args::parse().command) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("forkshift: {e}");
            ExitCode::FAILURE
        }
    }
}

fn execute(command: Command) -> Result<(), CommandError> {
    match command {
        Command::Check {
            config,
            operator,
            catalog,
        } => check::run(&config, operator.as_deref(), catalog.as_deref())?,
        Command::Pools { command } => pools::run(&command)?,
        Command::Serve {
            config,
            operator,
            spans,
        } => serve(&config, operator.as_deref(), spans)?,
    }
    Ok(())
}

fn serve(config: &Path, operator: Option<&Path>, spans: bool) -> Result<(), CommandError> {
    let settings = load::settings(config)?;
    let operator = load::operator(operator, &settings)?;
    start_log();
    let machines = operator.expected_machines;
    for shortfall in machines.map_or(Vec::new(), |n| shortfalls(&settings, n)) {
        log::warn!("{shortfall}");
    }
    let config = Config::new(&settings, operator);
    let spans = spans.then(spans::SpanTimes::install);
    run::run(&settings, config, spans)?;
    Ok(())
}

/// Starts logging to standard error, for the modules of this project only. The environment
/// variable `LOG_LEVEL` sets the level; if it is absent or not a level, the level is `info`.
fn start_log() {
    let level = std::env::var("LOG_LEVEL").unwrap_or_default();
    let level = level.parse().unwrap_or(log::LevelFilter::Info);
    env_logger::Builder::new()
        .filter_module("forkshift", level)
        .target(env_logger::Target::Stderr)
        .init();
}
