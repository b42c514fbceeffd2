//! Loading the files that the command line names.

use crate::operator::{self, OperatorError};
use forkshift_core::Operator;
use forkshift_wire::cloud::Catalog;
use forkshift_wire::settings::{Settings, SettingsError};
use std::io;
use std::path::Path;

/// Why a file can't be used; each variant has the path of the file.
#[derive(Debug, thiserror::Error)]
pub(crate) enum LoadError {
    /// The file can't be read.
    #[error("{path}: {source}")]
    Read {
        /// Path of the file.
        path: String,
        /// The error of the system.
        source: io::Error,
    },
    /// The platform's settings are refused.
    #[error("{path}: {source}")]
    Settings {
        /// Path of the file.
        path: String,
        /// Why they are refused.
        source: SettingsError,
    },
    /// The operators' settings are refused, or don't match the catalogue.
    #[error("{path}: {source}")]
    Operator {
        /// Path of the settings, or of the catalogue.
        path: String,
        /// Why they are refused.
        source: OperatorError,
    },
    /// The catalogue is not JSON of the expected form.
    #[error("{path}: not a catalogue: {source}")]
    Catalog {
        /// Path of the file.
        path: String,
        /// What is wrong with it.
        source: serde_json::Error,
    },
}

/// Loads the platform's settings.
pub(crate) fn settings(path: &Path) -> Result<Settings, LoadError> {
    Settings::parse(&read(path)?).map_err(|source| LoadError::Settings {
        path: display(path),
        source,
    })
}

/// Loads the operators' settings; without a file, the defaults.
pub(crate) fn operator(path: Option<&Path>, settings: &Settings) -> Result<Operator, LoadError> {
    let Some(path) = path else {
        return Ok(Operator::default());
    };
    operator::parse(&read(path)?, settings).map_err(|source| LoadError::Operator {
        path: display(path),
        source,
    })
}

/// Loads the cloud's catalogue.
pub(crate) fn catalog(path: &Path) -> Result<Catalog, LoadError> {
    serde_json::from_str(&read(path)?).map_err(|source| LoadError::Catalog {
        path: display(path),
        source,
    })
}

fn read(path: &Path) -> Result<String, LoadError> {
    std::fs::read_to_string(path).map_err(|source| LoadError::Read {
        path: display(path),
        source,
    })
}

/// A path as error messages show it.
pub(crate) fn display(path: &Path) -> String {
    path.display().to_string()
}
