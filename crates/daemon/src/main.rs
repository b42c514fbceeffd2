//! The forkshift controller.

mod run;

use clap::{Parser, Subcommand};
use forkshift_core::{Config, Operator};
use forkshift_wire::settings::{BadSettings, Settings};
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
    },
    /// Read settings, say what is wrong with them, and exit.
    Check {
        /// The platform's settings (TOML).
        #[arg(long, value_name = "FILE")]
        config: PathBuf,
    },
}

#[derive(Debug, thiserror::Error)]
enum Failure {
    #[error("{0}: {1}")]
    Read(String, std::io::Error),
    #[error("{0}: {1}")]
    Settings(String, BadSettings),
    #[error("{0}")]
    Run(#[from] std::io::Error),
}

fn main() -> ExitCode {
    let args = Args::parse();
    let done = match args.command {
        Command::Check { config } => load(&config).map(|_| println!("settings are good")),
        Command::Serve { config } => serve(&config),
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("forkshift: {e}");
            ExitCode::FAILURE
        }
    }
}

fn load(path: &Path) -> Result<Settings, Failure> {
    let name = path.display().to_string();
    let text = std::fs::read_to_string(path).map_err(|e| Failure::Read(name.clone(), e))?;
    Settings::parse(&text).map_err(|e| Failure::Settings(name, e))
}

fn serve(path: &Path) -> Result<(), Failure> {
    let settings = load(path)?;
    start_log();
    let config = Config::new(&settings, Operator::default());
    run::run(&settings, config)?;
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
