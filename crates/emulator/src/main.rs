//! Runs real controllers with hollow workers on one machine, and measures them.
//!
//! One process simulates everything around the controllers: the key-value store, the cloud,
//! users, and thousands of workers, each with its own sockets on the loopback network. The
//! rules of the simulation are checked during the run.

mod addresses;
mod controllers;
mod emulation;
mod load;
mod metrics;
mod model_servers;
mod plot;
mod pools;
mod preflight;
mod process;
mod progress;
mod regression;
mod report;
mod request_category;
mod settings;
mod site;
mod socket_bridge;
mod sweep;

use clap::{Args, Parser, Subcommand};
use emulation::EmulationError;
use site::{Overrides, Site, SiteError};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::{fs, io};
use sweep::{Dimension, Sweep, SweepError};

/// Exit status if a rule was violated or an account is wrong.
const EXIT_VIOLATION: u8 = 1;
/// Exit status if the run could not be made.
const EXIT_ERROR: u8 = 2;

/// Real controllers with hollow workers on one machine.
#[derive(Parser)]
#[command(version, about)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Run a site once and print what it showed.
    Run {
        /// The site file (TOML).
        site: PathBuf,
        #[command(flatten)]
        load: LoadArguments,
        /// Workers in all; capacity, teams and jobs at the start follow.
        #[arg(long)]
        workers: Option<u32>,
        /// The operators' settings of the controllers, instead of the site's.
        #[arg(long, value_name = "FILE")]
        operator: Option<PathBuf>,
        /// Write the report here too (JSON).
        #[arg(long, value_name = "FILE")]
        report: Option<PathBuf>,
    },
    /// Run a site at several sizes, and tell how each figure grows.
    Sweep {
        /// The site file (TOML).
        site: PathBuf,
        #[command(flatten)]
        load: LoadArguments,
        /// What is varied.
        #[arg(long, value_enum, default_value_t = Dimension::Workers)]
        over: Dimension,
        /// The sizes.
        #[arg(long, value_delimiter = ',', required = true)]
        sizes: Vec<f64>,
        /// Workers in all, where something else is varied.
        #[arg(long)]
        workers: Option<u32>,
        /// The folder for reports, fits and plots.
        #[arg(long, default_value = "docs/capacity")]
        folder: PathBuf,
        /// Begins the names of the files.
        #[arg(long, default_value = "sweep")]
        label: String,
    },
}

#[derive(Args, Clone, Copy)]
struct LoadArguments {
    /// Task starts a second of what arrives.
    #[arg(long)]
    starts_per_second: Option<f64>,
    /// Controllers.
    #[arg(long)]
    controllers: Option<usize>,
    /// Teams of each entry; what they have together stays.
    #[arg(long)]
    teams: Option<usize>,
    /// Length of a run, in seconds.
    #[arg(long)]
    duration_s: Option<f64>,
    /// Seed of everything that is drawn.
    #[arg(long)]
    seed: Option<u64>,
}

impl LoadArguments {
    fn overrides(self, workers: Option<u32>) -> Overrides {
        Overrides {
            workers,
            starts_per_s: self.starts_per_second,
            controllers: self.controllers,
            teams: self.teams,
            duration_s: self.duration_s,
            seed: self.seed,
        }
    }
}

/// Why a command fails.
#[derive(Debug, thiserror::Error)]
enum CommandError {
    /// A file can't be read or written.
    #[error("{path}: {source}")]
    File { path: String, source: io::Error },
    /// A site file, or a site with the overrides, is invalid.
    #[error("{path}: {source}")]
    Site { path: String, source: SiteError },
    #[error(transparent)]
    Run(#[from] EmulationError),
    #[error(transparent)]
    Sweep(#[from] SweepError),
    #[error("Ctrl-C can't be caught: {0}")]
    Signal(#[from] ctrlc::Error),
}

/// Whether the rules were kept in all runs of a command.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Outcome {
    RulesKept,
    RulesViolated,
}

impl Outcome {
    fn from_violations(has_violations: bool) -> Self {
        match has_violations {
            true => Self::RulesViolated,
            false => Self::RulesKept,
        }
    }
}

fn main() -> ExitCode {
    env_logger::Builder::from_env(env_logger::Env::new().filter("LOG_LEVEL")).init();
    match execute(Arguments::parse().command) {
        Ok(Outcome::RulesKept) => ExitCode::SUCCESS,
        Ok(Outcome::RulesViolated) => ExitCode::from(EXIT_VIOLATION),
        Err(error) => {
            eprintln!("forkshift-emulator: {error}");
            ExitCode::from(EXIT_ERROR)
        }
    }
}

fn execute(command: Command) -> Result<Outcome, CommandError> {
    match command {
        Command::Run {
            site,
            load,
            workers,
            operator,
            report,
        } => run(&site, &load.overrides(workers), operator, report.as_deref()),
        Command::Sweep {
            site,
            load,
            over,
            sizes,
            workers,
            folder,
            label,
        } => sweep(&Sweep {
            site: &site,
            dimension: over,
            sizes: &sizes,
            overrides: load.overrides(workers),
            directory: &folder,
            label: &label,
        }),
    }
}

/// Runs a site once, and prints its report.
fn run(
    path: &Path,
    overrides: &Overrides,
    operator: Option<PathBuf>,
    report_path: Option<&Path>,
) -> Result<Outcome, CommandError> {
    let site = read_site(path)?;
    let mut site = site
        .with_overrides(overrides)
        .map_err(|source| site_error(path, source))?;
    site.controllers.operator = operator.or(site.controllers.operator);
    let report = emulation::run(&site, &*stop_flag()?)?;
    print!("{report}");
    if let Some(path) = report_path {
        let json = serde_json::to_string(&report).unwrap_or_default();
        fs::write(path, json + "\n").map_err(|source| file_error(path, source))?;
    }
    Ok(Outcome::from_violations(report.has_failures()))
}

/// Runs a sweep of a valid site file.
fn sweep(sweep: &Sweep) -> Result<Outcome, CommandError> {
    read_site(sweep.site)?;
    let has_violations = sweep.run(&*stop_flag()?)?;
    Ok(Outcome::from_violations(has_violations))
}

/// A flag that Ctrl-C sets.
fn stop_flag() -> Result<Arc<AtomicBool>, CommandError> {
    let stop = Arc::new(AtomicBool::new(false));
    let handler_stop = stop.clone();
    ctrlc::set_handler(move || handler_stop.store(true, Ordering::Relaxed))?;
    Ok(stop)
}

fn read_site(path: &Path) -> Result<Site, CommandError> {
    let text = fs::read_to_string(path).map_err(|source| file_error(path, source))?;
    Site::parse(&text).map_err(|source| site_error(path, source))
}

fn file_error(path: &Path, source: io::Error) -> CommandError {
    let path = path.display().to_string();
    CommandError::File { path, source }
}

fn site_error(path: &Path, source: SiteError) -> CommandError {
    let path = path.display().to_string();
    CommandError::Site { path, source }
}
