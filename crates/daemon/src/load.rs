//! Loading of the files that are given on the command line.

use crate::operator::{self, OperatorError};
use forkshift_core::Operator;
use forkshift_wire::cloud::Catalog;
use forkshift_wire::settings::{Settings, SettingsError};
use std::io;
use std::path::Path;

/// Why a file can't be loaded. Each message starts with the path of the file.
#[derive(Debug, thiserror::Error)]
pub(crate) enum LoadError {
    /// The file can't be read.
    #[error("{path}: cannot be read: {source}")]
    Read {
        /// Path of the file.
        path: String,
        /// The error of the operating system.
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
    /// The operators' settings are refused, or don't match the catalog.
    #[error("{path}: {source}")]
    Operator {
        /// Path of the operators' settings, or of the catalog that they don't match.
        path: String,
        /// Why they are refused.
        source: OperatorError,
    },
    /// The catalog is not JSON of the expected form.
    #[error("{path}: not a catalog of the cloud (JSON, the response to `GET /catalog`): {source}")]
    Catalog {
        /// Path of the file.
        path: String,
        /// The position and kind of the mistake.
        source: serde_json::Error,
    },
}

/// Loads and validates the platform's settings.
pub(crate) fn settings(path: &Path) -> Result<Settings, LoadError> {
    Settings::parse(&read(path)?).map_err(|source| LoadError::Settings {
        path: display(path),
        source,
    })
}

/// Loads and validates the operators' settings. Without a path, returns the defaults.
pub(crate) fn operator(path: Option<&Path>, settings: &Settings) -> Result<Operator, LoadError> {
    let Some(path) = path else {
        return Ok(Operator::default());
    };
    operator::parse(&read(path)?, settings).map_err(|source| LoadError::Operator {
        path: display(path),
        source,
    })
}

/// Loads the cloud's catalog.
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

/// Formats a path for error messages.
pub(crate) fn display(path: &Path) -> String {
    path.display().to_string()
}
