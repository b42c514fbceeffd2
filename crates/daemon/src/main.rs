//! The forkshift controller: the command line.
//!
//! | command | module | what it does |
//! | --- | --- | --- |
//! | `serve` | [`run`] | runs a controller until the process is killed |
//! | `check` | [`check`] | validates settings |
//! | `pools` | [`pools`] | shows what warm pools have and cost |
//!
//! Each command ends with exit code 0, or with 1 and one message on standard error.

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

/// A scheduler for fleets that serve language models.
#[derive(Parser)]
#[command(version, about)]
struct Args {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Run a controller until it is killed.
    Serve {
        /// The platform's settings (TOML).
        #[arg(long, value_name = "FILE")]
        config: PathBuf,
        /// The operators' own settings (protobuf text format).
        #[arg(long, value_name = "FILE")]
        operator: Option<PathBuf>,
        /// Time the parts of each step, and log a summary every ten seconds.
        #[arg(long)]
        spans: bool,
    },
    /// Read settings, say what is wrong with them, and exit.
    Check {
        /// The platform's settings (TOML).
        #[arg(long, value_name = "FILE")]
        config: PathBuf,
        /// The operators' own settings (protobuf text format).
        #[arg(long, value_name = "FILE")]
        operator: Option<PathBuf>,
        /// The cloud's catalogue (JSON, as `GET /catalog` answers): pools are checked
        /// against it.
        #[arg(long, value_name = "FILE")]
        catalog: Option<PathBuf>,
    },
    /// Say what warm pools have and cost, as the state service has it.
    Pools {
        #[command(subcommand)]
        command: pools::PoolsCommand,
    },
}

/// Why a command failed.
#[derive(Debug, thiserror::Error)]
enum CommandError {
    /// A file can't be loaded.
    #[error(transparent)]
    Load(#[from] load::LoadError),
    /// Settings are not good.
    #[error(transparent)]
    Check(#[from] check::CheckError),
    /// Pools can't be shown.
    #[error(transparent)]
    Pools(#[from] pools::PoolsError),
    /// The controller can't start.
    #[error(transparent)]
    Run(#[from] std::io::Error),
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

/// Starts logging to standard error, for the modules of this project only. The level is in
/// the environment variable `LOG_LEVEL`; the default is `info`.
fn start_log() {
    let level = std::env::var("LOG_LEVEL").unwrap_or_default();
    let level = level.parse().unwrap_or(log::LevelFilter::Info);
    env_logger::Builder::new()
        .filter_module("forkshift", level)
        .target(env_logger::Target::Stderr)
        .init();
}
