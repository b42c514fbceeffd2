//! `forkshift check`: validates settings without starting a controller.

use crate::load::{self, LoadError};
use forkshift_core::{shortfalls, Operator, Shortfall};
use std::path::Path;

/// Why settings are not good.
#[derive(Debug, thiserror::Error)]
pub(crate) enum CheckError {
    /// A file can't be loaded.
    #[error(transparent)]
    Load(#[from] LoadError),
    /// Limits are too small for the fleet that the operators expect.
    #[error("{path}: limits are too small for the fleet{list}", list = lines(.shortfalls))]
    TooSmall {
        /// The platform's settings.
        path: String,
        /// The limits.
        shortfalls: Vec<Shortfall>,
    },
}

/// Loads and validates settings, and says on standard output if they are good.
///
/// # Errors
///
/// [`CheckError`], for the first file that is refused, or for limits that are too small.
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

/// Checks pools against the cloud's catalogue.
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

/// One line for each shortfall.
fn lines(shortfalls: &[Shortfall]) -> String {
    shortfalls
        .iter()
        .map(|shortfall| format!("\n  {shortfall}"))
        .collect()
}
