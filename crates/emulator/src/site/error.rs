//! Errors of the site file.

/// Why a site file is rejected.
#[derive(Debug, thiserror::Error)]
pub(crate) enum SiteError {
    /// Not TOML, or a field is unknown, missing or of another type.
    #[error(transparent)]
    Toml(#[from] toml::de::Error),
    /// The value of a field is invalid.
    #[error("`{field}` {problem}")]
    Field {
        /// Path of the field in the file, such as `classes[1].tasks`.
        field: String,
        /// The rule that the value violates.
        problem: FieldProblem,
    },
}

/// The rule that the value of a field violates.
#[derive(Debug, thiserror::Error)]
pub(crate) enum FieldProblem {
    /// Must be finite and above 0.
    #[error("must be above 0")]
    NotPositive,
    /// Must not be below 0.
    #[error("must not be negative")]
    Negative,
    /// Must be from 0 to 1.
    #[error("must be from 0 to 1")]
    NotAFraction,
    /// Must be from 1 to a limit.
    #[error("must be from 1 to {max}")]
    CountOutOfRange {
        /// The largest value allowed.
        max: usize,
    },
    /// Must not exceed a limit.
    #[error("must be at most {max}")]
    TooLarge {
        /// The largest value allowed.
        max: f64,
    },
    /// The warm-up must end before the run does.
    #[error("must be below duration_s")]
    NotBelowDuration,
    /// A list must have an entry.
    #[error("must not be empty")]
    Empty,
    /// Every number of the list must be above 0, and there must be one.
    #[error("must be a list of numbers above 0")]
    NotPositiveNumbers,
    /// No machine type has this name.
    #[error("names no machine type")]
    UnknownMachineType,
    /// No zone has this name.
    #[error("names no zone")]
    UnknownZone,
    /// No team has this name.
    #[error("names no team")]
    UnknownTeam,
    /// No controller has this index.
    #[error("is not the index of a controller")]
    UnknownController,
    /// Only classes of services may set the field.
    #[error("is for classes of kind `service`")]
    ServicesOnly,
    /// A crash needs exactly one target.
    #[error("must name one of `controller`, `workers`, `zone` and `holder`")]
    NotOneCrashTarget,
}
