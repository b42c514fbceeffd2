//! `forkshift check`: validates settings files without starting a controller.

use crate::load::{self, LoadError};
use forkshift_core::{shortfalls, Operator, Shortfall};
use std::path::Path;

/// Why `check` fails.
#[derive(Debug, thiserror::Error)]
pub(crate) enum CheckError {
    /// A file can't be read or is refused.
    #[error(transparent)]
    Load(#[from] LoadError),
    /// Limits of the platform's settings are too small for the number of machines that the
    /// operators' settings expect.
    #[error(
        "{path}: limits are too small for the fleet that the operators' settings expect:{list}",
        list = shortfall_lines(.shortfalls)
    )]
    TooSmall {
        /// Path of the platform's settings.
        path: String,
        /// The limits that are too small; never empty.
        shortfalls: Vec<Shortfall>,
    },
}

/// Loads and validates settings, and prints one line to standard output if they are valid.
///
/// # Errors
///
/// [`CheckError`], for the first file that is refused, or for all limits that are too small.
pub(crate) fn run(
    config: &Path,
    operator: Option<&Path>,
    catalog: Option<&Path>,
) -> Result<(), CheckError> {
    let settings = load::settings(config)?;
    let operator = load::operator(operator, &settings)?;
    if let Some(path) = catalog {
        check_catalog(path, &operator)?;
    }
    let machines = operator.expected_machines;
    let shortfalls = machines.map_or(Vec::new(), |n| shortfalls(&settings, n));
    if !shortfalls.is_empty() {
        let path = load::display(config);
        return Err(CheckError::TooSmall { path, shortfalls });
    }
    println!("settings are good");
    Ok(())
}

/// Validates the declared pools against the cloud's catalog.
fn check_catalog(path: &Path, operator: &Operator) -> Result<(), LoadError> {
    let catalog = load::catalog(path)?;
    for pool in operator.pools.iter() {
        let checked = pool.check_catalog(&catalog.types);
        checked.map_err(|error| LoadError::Operator {
            path: load::display(path),
            source: error.into(),
        })?;
    }
    Ok(())
}

/// Formats the shortfalls as an indented list, each on a line of its own.
fn shortfall_lines(shortfalls: &[Shortfall]) -> String {
    shortfalls
        .iter()
        .map(|shortfall| format!("\n  {shortfall}"))
        .collect()
}
