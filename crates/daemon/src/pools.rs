//! `forkshift pools`: what warm pools have and cost, read from the state service.

mod accounts;
mod render;
mod times;

use accounts::StateReader;
use clap::{Args, Subcommand};
use forkshift_pools::report::{report, Span};
use forkshift_wire::settings::{Settings, SettingsError};
use std::net::SocketAddr;
use std::path::PathBuf;

/// What is to be said of pools.
#[derive(Subcommand)]
pub enum PoolsCommand {
    /// What each pool is asked for and has now.
    Status(Source),
    /// What pools were asked for, had and cost in a span of time, by team and pool.
    Report {
        #[command(flatten)]
        source: Source,
        /// Its beginning: a date (midnight UTC) or a time, as in `2026-12-01T08:00:00Z`.
        #[arg(long, value_name = "TIME")]
        from: String,
        /// Its end, likewise; it does not belong to the span.
        #[arg(long, value_name = "TIME")]
        to: String,
    },
}

/// Where it is read, and how it is written.
#[derive(Args)]
pub struct Source {
    /// The platform's settings (TOML), for the address of the state service.
    #[arg(long, value_name = "FILE")]
    config: PathBuf,
    /// As JSON.
    #[arg(long)]
    json: bool,
}

/// Why nothing can be said.
#[derive(Debug, thiserror::Error)]
pub enum PoolsFailure {
    /// A file can't be read.
    #[error("{0}: {1}")]
    Read(String, std::io::Error),
    /// The settings are wrong.
    #[error("{0}: {1}")]
    Settings(String, SettingsError),
    /// Not a time, or a span that ends before it begins.
    #[error("`--{option}` {problem}")]
    Time {
        /// The option.
        option: &'static str,
        /// What is wrong with it.
        problem: String,
    },
    /// The state service does not answer, or refuses.
    #[error("the state service at {addr} {problem}")]
    State {
        /// Its address.
        addr: SocketAddr,
        /// What it does.
        problem: String,
    },
    /// A record is not understood.
    #[error("record {key} is not understood: {problem}")]
    Record {
        /// Its key.
        key: String,
        /// Why.
        problem: String,
    },
    /// The template is wrong.
    #[error("{0}")]
    Template(#[from] minijinja::Error),
    /// The report can't be written as JSON.
    #[error("{0}")]
    Json(#[from] serde_json::Error),
}

/// Carries a command out.
///
/// # Errors
///
/// Whatever keeps it from saying how things are; it never says that there is nothing
/// where it could not read.
pub fn run(command: &PoolsCommand) -> Result<(), PoolsFailure> {
    let text = match command {
        PoolsCommand::Status(source) => {
            let status = reader(source)?.status()?;
            match source.json {
                true => serde_json::to_string_pretty(&status)?,
                false => render::status(&status)?,
            }
        }
        PoolsCommand::Report { source, from, to } => {
            let span = span(from, to)?;
            let now_ms = times::now_ms();
            let accounts = reader(source)?.accounts(now_ms)?;
            let report = report(&accounts, span, now_ms);
            match source.json {
                true => serde_json::to_string_pretty(&report)?,
                false => render::report(&report)?,
            }
        }
    };
    println!("{}", text.trim_end());
    Ok(())
}

fn span(from: &str, to: &str) -> Result<Span, PoolsFailure> {
    let parse = |option, text| {
        times::parse(text).ok_or_else(|| PoolsFailure::Time {
            option,
            problem: format!("is `{text}`, which is no time such as 2026-12-01T08:00:00Z"),
        })
    };
    let (from_ms, to_ms) = (parse("from", from)?, parse("to", to)?);
    if to_ms <= from_ms {
        return Err(PoolsFailure::Time {
            option: "to",
            problem: "is not behind `--from`".to_owned(),
        });
    }
    Ok(Span { from_ms, to_ms })
}

fn reader(source: &Source) -> Result<StateReader, PoolsFailure> {
    let name = source.config.display().to_string();
    let text = std::fs::read_to_string(&source.config);
    let text = text.map_err(|e| PoolsFailure::Read(name.clone(), e))?;
    let settings = Settings::parse(&text).map_err(|e| PoolsFailure::Settings(name, e))?;
    Ok(StateReader::new(settings.services.state))
}
