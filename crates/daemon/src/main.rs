//! The forkshift controller.

mod operator;
mod pools;
mod run;
mod spans;

use clap::{Parser, Subcommand};
use forkshift_core::{shortfalls, Config, Operator, Shortfall};
use forkshift_wire::cloud::Catalog;
use forkshift_wire::settings::{Settings, SettingsError};
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

#[derive(Debug, thiserror::Error)]
enum Failure {
    #[error("{0}: {1}")]
    Read(String, std::io::Error),
    #[error("{0}: {1}")]
    Settings(String, SettingsError),
    #[error("{0}: {1}")]
    Operator(String, operator::BadOperator),
    #[error("{0}: not a catalogue: {1}")]
    Catalog(String, serde_json::Error),
    #[error("{0}")]
    Pools(#[from] pools::PoolsFailure),
    #[error("{0}")]
    Run(#[from] std::io::Error),
    #[error("{0}: limits are too small for the fleet{list}", list = lines(.1))]
    TooSmall(String, Vec<Shortfall>),
}

fn main() -> ExitCode {
    let args = Args::parse();
    let done = match args.command {
        Command::Check {
            config,
            operator,
            catalog,
        } => check(&config, operator.as_deref(), catalog.as_deref()),
        Command::Pools { command } => pools::run(&command).map_err(Failure::from),
        Command::Serve {
            config,
            operator,
            spans,
        } => serve(&config, operator.as_deref(), spans),
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("forkshift: {e}");
            ExitCode::FAILURE
        }
    }
}

fn read(path: &Path) -> Result<(String, String), Failure> {
    let name = path.display().to_string();
    match std::fs::read_to_string(path) {
        Ok(text) => Ok((name, text)),
        Err(e) => Err(Failure::Read(name, e)),
    }
}

fn load(config: &Path, operator: Option<&Path>) -> Result<(Settings, Operator), Failure> {
    let (name, text) = read(config)?;
    let settings = Settings::parse(&text).map_err(|e| Failure::Settings(name, e))?;
    let ops = match operator {
        None => Operator::default(),
        Some(path) => {
            let (name, text) = read(path)?;
            operator::parse(&text, &settings).map_err(|e| Failure::Operator(name, e))?
        }
    };
    Ok((settings, ops))
}

/// Reads settings, and says whether they are good and large enough.
fn check(config: &Path, operator: Option<&Path>, catalog: Option<&Path>) -> Result<(), Failure> {
    let (settings, ops) = load(config, operator)?;
    if let Some(path) = catalog {
        check_catalog(path, &ops)?;
    }
    let too_small = ops.machines.map(|n| shortfalls(&settings, n));
    match too_small.filter(|found| !found.is_empty()) {
        Some(found) => Err(Failure::TooSmall(config.display().to_string(), found)),
        None => {
            println!("settings are good");
            Ok(())
        }
    }
}

/// Checks pools against the cloud's catalogue.
fn check_catalog(path: &Path, ops: &Operator) -> Result<(), Failure> {
    let (name, text) = read(path)?;
    let catalog: Catalog =
        serde_json::from_str(&text).map_err(|e| Failure::Catalog(name.clone(), e))?;
    for pool in ops.pools.iter() {
        let checked = pool.check_catalog(&catalog.types);
        checked.map_err(|e| Failure::Operator(name.clone(), e.into()))?;
    }
    Ok(())
}

/// A line for each.
fn lines(shortfalls: &[Shortfall]) -> String {
    let lines = shortfalls.iter().map(|s| format!("\n  {s}"));
    lines.collect()
}

fn serve(config: &Path, operator: Option<&Path>, spans: bool) -> Result<(), Failure> {
    let (settings, ops) = load(config, operator)?;
    start_log();
    for shortfall in ops
        .machines
        .map_or(Vec::new(), |n| shortfalls(&settings, n))
    {
        log::warn!("{shortfall}");
    }
    let config = Config::new(&settings, ops);
    let spans = spans.then(spans::SpanTimes::install);
    run::run(&settings, config, spans)?;
    Ok(())
}

/// Levelled logging to standard error; only our own words count.
fn start_log() {
    let level = std::env::var("LOG_LEVEL").unwrap_or_default();
    let level = level.parse().unwrap_or(log::LevelFilter::Info);
    env_logger::Builder::new()
        .filter_module("forkshift", level)
        .target(env_logger::Target::Stderr)
        .init();
}
