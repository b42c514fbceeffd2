//! `forkshift pools`: shows the machines and the cost of warm pools, as recorded in the
//! key-value store.
//!
//! The commands only read records. They run on the main thread and block it.

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

/// The subcommands of `forkshift pools`.
#[derive(Subcommand)]
pub(crate) enum PoolsCommand {
    /// Show the requested and the present number of machines of each pool.
    Status(PoolsOptions),
    /// Show the requested machines, the machines and the cost of pools in a time span, by team
    /// and pool.
    Report {
        #[command(flatten)]
        options: PoolsOptions,
        /// Start of the time span: a date (midnight UTC) or a time, as in
        /// `2026-12-01T08:00:00Z`.
        #[arg(long, value_name = "TIME")]
        from: String,
        /// End of the time span, in the same form as the start. The span ends just before it.
        #[arg(long, value_name = "TIME")]
        to: String,
    },
}

/// Options of all subcommands of `forkshift pools`.
#[derive(Args)]
pub(crate) struct PoolsOptions {
    /// Settings file of the platform (TOML), which has the address of the key-value store
    /// (`external.state`).
    #[arg(long, value_name = "FILE")]
    config: PathBuf,
    /// Print the result as JSON instead of a table.
    #[arg(long)]
    json: bool,
}

/// Why `pools` can't show its result.
#[derive(Debug, thiserror::Error)]
pub(crate) enum PoolsError {
    /// The settings can't be loaded.
    #[error(transparent)]
    Load(#[from] LoadError),
    /// `--from` and `--to` are not a time span.
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

/// Why `--from` and `--to` are not a time span.
#[derive(Debug, thiserror::Error)]
pub(crate) enum SpanError {
    /// The value of an option is neither a time nor a date, or is before 1970.
    #[error(
        "`--{option}` is `{text}`; it must be a date such as 2026-12-01 or a time such as \
         2026-12-01T08:00:00Z, not before 1970"
    )]
    NotATime {
        /// Name of the option, without the hyphens.
        option: &'static str,
        /// Value of the option.
        text: String,
    },
    /// The span is empty, or ends before it starts.
    #[error("`--to` is `{to}`, which is not after `--from` (`{from}`)")]
    EndNotAfterStart {
        /// Value of `--from`.
        from: String,
        /// Value of `--to`.
        to: String,
    },
}

/// Runs a subcommand, and prints its result to standard output.
///
/// # Errors
///
/// [`PoolsError`]. If any record can't be read, nothing is printed, so that missing records
/// are not taken for a pool without usage.
pub(crate) fn run(command: &PoolsCommand) -> Result<(), PoolsError> {
    let text = match command {
        PoolsCommand::Status(options) => {
            let status = status::read(&record_reader(options)?)?;
            match options.json {
                true => serde_json::to_string_pretty(&status)?,
                false => render::status(&status)?,
            }
        }
        PoolsCommand::Report { options, from, to } => {
            let span = parse_span(from, to)?;
            let now_ms = clock::unix_time_ms();
            let accounts = accounts::read(&record_reader(options)?, now_ms)?;
            let report = usage_report(&accounts, span, now_ms);
            match options.json {
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
        false => Err(SpanError::EndNotAfterStart {
            from: from.to_owned(),
            to: to.to_owned(),
        }),
    }
}

fn parse_time(option: &'static str, text: &str) -> Result<u64, SpanError> {
    times::parse(text).ok_or_else(|| SpanError::NotATime {
        option,
        text: text.to_owned(),
    })
}

fn record_reader(options: &PoolsOptions) -> Result<RecordReader, LoadError> {
    let settings = load::settings(&options.config)?;
    Ok(RecordReader::new(settings.services.state))
}
