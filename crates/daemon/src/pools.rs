//! `forkshift pools`: what warm pools have and cost, read from the state service.
//!
//! The commands read records and change nothing. They run on the main thread and block it.

mod accounts;
mod records;
mod render;
mod status;
mod times;

use crate::clock;
use crate::load::{self, LoadError};
use clap::{Args, Subcommand};
use forkshift_pools::report::{usage_report, TimeSpan};
use records::{RecordReader, RecordsError};
use std::path::PathBuf;

/// What is to be said of pools.
#[derive(Subcommand)]
pub(crate) enum PoolsCommand {
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
pub(crate) struct Source {
    /// The platform's settings (TOML), for the address of the state service.
    #[arg(long, value_name = "FILE")]
    config: PathBuf,
    /// As JSON.
    #[arg(long)]
    json: bool,
}

/// Why pools can't be shown.
#[derive(Debug, thiserror::Error)]
pub(crate) enum PoolsError {
    /// The settings can't be loaded.
    #[error(transparent)]
    Load(#[from] LoadError),
    /// The options don't give a span of time.
    #[error(transparent)]
    Span(#[from] SpanError),
    /// The records can't be read.
    #[error(transparent)]
    Records(#[from] RecordsError),
    /// A template can't be rendered.
    #[error("{0}")]
    Template(#[from] minijinja::Error),
    /// The result can't be encoded as JSON.
    #[error("{0}")]
    Json(#[from] serde_json::Error),
}

/// Why options don't give a span of time.
#[derive(Debug, thiserror::Error)]
pub(crate) enum SpanError {
    /// The value of an option is neither a time nor a date.
    #[error("`--{option}` is `{text}`, which is no time such as 2026-12-01T08:00:00Z")]
    NotATime {
        /// Name of the option.
        option: &'static str,
        /// Its value.
        text: String,
    },
    /// The span is empty, or ends before it begins.
    #[error("`--to` is not behind `--from`")]
    EndNotAfterStart,
}

/// Runs a command, and prints its result on standard output.
///
/// # Errors
///
/// [`PoolsError`]. What can't be read is never shown as nothing.
pub(crate) fn run(command: &PoolsCommand) -> Result<(), PoolsError> {
    let text = match command {
        PoolsCommand::Status(source) => {
            let status = status::read(&reader(source)?)?;
            match source.json {
                true => serde_json::to_string_pretty(&status)?,
                false => render::status(&status)?,
            }
        }
        PoolsCommand::Report { source, from, to } => {
            let span = parse_span(from, to)?;
            let now_ms = clock::unix_time_ms();
            let accounts = accounts::read(&reader(source)?, now_ms)?;
            let report = usage_report(&accounts, span, now_ms);
            match source.json {
                true => serde_json::to_string_pretty(&report)?,
                false => render::report(&report)?,
            }
        }
    };
    println!("{}", text.trim_end());
    Ok(())
}

fn parse_span(from: &str, to: &str) -> Result<TimeSpan, SpanError> {
    let from_ms = parse_time("from", from)?;
    let to_ms = parse_time("to", to)?;
    match from_ms < to_ms {
        true => Ok(TimeSpan { from_ms, to_ms }),
        false => Err(SpanError::EndNotAfterStart),
    }
}

fn parse_time(option: &'static str, text: &str) -> Result<u64, SpanError> {
    times::parse(text).ok_or_else(|| SpanError::NotATime {
        option,
        text: text.to_owned(),
    })
}

fn reader(source: &Source) -> Result<RecordReader, LoadError> {
    let settings = load::settings(&source.config)?;
    Ok(RecordReader::new(settings.services.state))
}
