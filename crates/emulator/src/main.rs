//! Runs real controllers with thousands of hollow workers on one machine, and measures them.
//!
//! A hollow worker speaks the workers' protocol over its own sockets but runs no task
//! processes. The emulator simulates everything around the controllers in one process: the
//! key-value store, the cloud, users, and the hollow workers, each with an address of its own
//! on the loopback network. The controllers are child processes of the real program. The
//! checker of the simulation verifies the scheduler's rules during the run.

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

/// Exit status if a scheduling rule was violated or a pool's usage records are wrong.
const EXIT_VIOLATION: u8 = 1;
/// Exit status if a run could not be started or completed.
const EXIT_ERROR: u8 = 2;

/// Runs real controllers with hollow workers on one machine.
#[derive(Parser)]
#[command(version, about)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Run a site once and print the report.
    Run {
        /// The site file (TOML).
        site: PathBuf,
        #[command(flatten)]
        load: LoadArguments,
        /// Total on-demand machines; `count` and `spot` of `capacity`, the quotas of `teams`, and
        /// `initial` and `per_s` of `classes` are scaled in proportion.
        #[arg(long)]
        workers: Option<u32>,
        /// Operators' settings (text protobuf) for the controllers, in place of
        /// `controllers.operator`.
        #[arg(long, value_name = "FILE")]
        operator: Option<PathBuf>,
        /// Also write the report to this file, as JSON.
        #[arg(long, value_name = "FILE")]
        report: Option<PathBuf>,
    },
    /// Run a site at several sizes, and fit how each metric of the report grows.
    Sweep {
        /// The site file (TOML).
        site: PathBuf,
        #[command(flatten)]
        load: LoadArguments,
        /// The dimension that `--sizes` sets.
        #[arg(long, value_enum, default_value_t = Dimension::Workers)]
        over: Dimension,
        /// Values of the dimension, separated by commas; each is one run.
        #[arg(long, value_delimiter = ',', required = true)]
        sizes: Vec<f64>,
        /// Total on-demand machines of each run, if another dimension is varied.
        #[arg(long)]
        workers: Option<u32>,
        /// Directory for reports, regressions and plots.
        #[arg(long, default_value = "docs/capacity")]
        folder: PathBuf,
        /// Prefix of the names of the files.
        #[arg(long, default_value = "sweep")]
        label: String,
    },
}

#[derive(Args, Clone, Copy)]
struct LoadArguments {
    /// Mean task starts per second of the jobs that arrive; `per_s` of all classes is scaled.
    #[arg(long)]
    starts_per_second: Option<f64>,
    /// Number of controllers, in place of `controllers.count`.
    #[arg(long)]
    controllers: Option<usize>,
    /// Number of teams of each entry of `teams`; the sum of the entry's quotas stays.
    #[arg(long)]
    teams: Option<usize>,
    /// Length of a run, in seconds; `warmup_s` is scaled in proportion.
    #[arg(long)]
    duration_s: Option<f64>,
    /// Seed of all random draws.
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
    /// A site file can't be read, or a report can't be written.
    #[error("{path}: {source}")]
    File { path: String, source: io::Error },
    /// A site file, or a site with the overrides, is invalid.
    #[error("{path}: {source}")]
    Site { path: String, source: SiteError },
    #[error(transparent)]
    Run(#[from] EmulationError),
    #[error(transparent)]
    Sweep(#[from] SweepError),
    #[error("the handler of Ctrl-C can't be installed: {0}")]
    Signal(#[from] ctrlc::Error),
}

/// Whether all runs of a command kept the scheduling rules.
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

/// Runs a sweep. The site file is validated first, so that an invalid one starts no run.
fn sweep(sweep: &Sweep) -> Result<Outcome, CommandError> {
    read_site(sweep.site)?;
    let has_violations = sweep.run(&*stop_flag()?)?;
    Ok(Outcome::from_violations(has_violations))
}

/// A flag that Ctrl-C sets. Runs then end early and still report.
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
