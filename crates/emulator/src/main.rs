//! Runs real controllers with hollow workers on one machine, and measures them.
//!
//! Everything around the controllers is played by one process: the state service,
//! the cloud, users, and thousands of workers, each with sockets of its own on the
//! loopback network. The rules are checked while it runs.

mod addresses;
mod bridge;
mod controllers;
mod emulation;
mod fit;
mod load;
mod metrics;
mod model_servers;
mod plot;
mod pools;
mod preflight;
mod process;
mod progress;
mod report;
mod request_category;
mod settings;
mod site;
mod sweep;

use clap::{Args, Parser, Subcommand};
use report::Report;
use site::{Overrides, Site, SiteError};
use std::fs;
use std::io;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use sweep::Dimension;

/// Exit status where a rule was broken.
const BROKEN: u8 = 1;
/// Exit status where the run could not be made as asked for.
const REFUSED: u8 = 2;

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

#[derive(Debug, thiserror::Error)]
enum Failure {
    #[error("{0}: {1}")]
    File(String, io::Error),
    #[error("{0}: {1}")]
    Site(String, SiteError),
    #[error("{0}")]
    Run(#[from] emulation::Failure),
    #[error("{0}")]
    Sweep(#[from] sweep::Failure),
    #[error("Ctrl-C can't be caught: {0}")]
    Signal(#[from] ctrlc::Error),
}

fn main() -> ExitCode {
    env_logger::Builder::from_env(env_logger::Env::new().filter("LOG_LEVEL")).init();
    let done = match Arguments::parse().command {
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
        } => read_site(&site).and_then(|_| {
            let plan = sweep::Plan {
                site: &site,
                dimension: over,
                sizes: &sizes,
                base: load.overrides(workers),
                folder: &folder,
                label: &label,
            };
            Ok(plan.carry_out(&stop_flag()?)?)
        }),
    };
    match done {
        Ok(broken) => ExitCode::from(if broken { BROKEN } else { 0 }),
        Err(e) => {
            eprintln!("forkshift-emulator: {e}");
            ExitCode::from(REFUSED)
        }
    }
}

/// Set once Ctrl-C was pressed.
fn stop_flag() -> Result<Arc<AtomicBool>, Failure> {
    let stop = Arc::new(AtomicBool::new(false));
    let set = stop.clone();
    ctrlc::set_handler(move || set.store(true, Ordering::Relaxed))?;
    Ok(stop)
}

fn read_site(path: &Path) -> Result<(String, Site), Failure> {
    let name = path.display().to_string();
    let text = fs::read_to_string(path).map_err(|e| Failure::File(name.clone(), e))?;
    let site = Site::parse(&text).map_err(|e| Failure::Site(name.clone(), e))?;
    Ok((name, site))
}

fn write(path: &Path, text: &str) -> Result<(), Failure> {
    let failed = |e| Failure::File(path.display().to_string(), e);
    fs::write(path, text).map_err(failed)
}

/// Runs a site once; says whether a rule was broken, or an account is wrong.
fn run(
    path: &Path,
    overrides: &Overrides,
    operator: Option<PathBuf>,
    file: Option<&Path>,
) -> Result<bool, Failure> {
    let (name, site) = read_site(path)?;
    let mut site = site
        .with_overrides(overrides)
        .map_err(|e| Failure::Site(name, e))?;
    site.controllers.operator = operator.or(site.controllers.operator);
    let report = emulation::run(&site, &stop_flag()?)?;
    print!("{report}");
    if let Some(file) = file {
        write(file, &json(&report))?;
    }
    Ok(report.has_failures())
}

fn json(report: &Report) -> String {
    serde_json::to_string(report).unwrap_or_default() + "\n"
}
