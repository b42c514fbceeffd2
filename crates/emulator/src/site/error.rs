//! Errors of the site file.

/// Why a site file is rejected.
#[derive(Debug, thiserror::Error)]
pub(crate) enum SiteError {
    /// The text is not TOML, or a field is unknown, missing or of another type.
    #[error(transparent)]
    Toml(#[from] toml::de::Error),
    /// The value of a field is invalid.
    #[error("`{field}` {problem}")]
    Field {
        /// Path of the field in the file, such as `classes[1].tasks`, or the sum of one.
        field: String,
        /// The rule that the value violates.
        problem: FieldProblem,
    },
}

/// The rule that the value of a field violates.
#[derive(Debug, thiserror::Error)]
pub(crate) enum FieldProblem {
    /// The value must be finite and above 0.
    #[error("must be above 0, but is {value}")]
    NotPositive {
        /// The invalid value, from the file or an override.
        value: f64,
    },
    /// The value must be finite and not below 0.
    #[error("must be 0 or above, but is {value}")]
    Negative {
        /// The invalid value, from the file or an override.
        value: f64,
    },
    /// The value must be from 0 to 1.
    #[error("must be from 0 to 1, but is {value}")]
    NotAFraction {
        /// The invalid value, from the file or an override.
        value: f64,
    },
    /// The value, or the sum of the counts of a list, must be from 1 to a limit.
    #[error("must be from 1 to {max}, but is {value}")]
    CountOutOfRange {
        /// The invalid value or sum, from the file or an override.
        value: usize,
        /// The largest value allowed.
        max: usize,
    },
    /// The value must not exceed a limit.
    #[error("must be at most {max}, but is {value}")]
    TooLarge {
        /// The invalid value, from the file or an override.
        value: f64,
        /// The largest value allowed.
        max: f64,
    },
    /// The warm-up must end before the run does.
    #[error("must be from 0 to below `duration_s` ({duration_s}), but is {value}")]
    NotBelowDuration {
        /// The invalid value, from the file or an override.
        value: f64,
        /// Length of a run, in seconds.
        duration_s: f64,
    },
    /// The list must have an entry.
    #[error("must have at least one entry, but is empty")]
    Empty,
    /// The list must have a number, and none that is 0.
    #[error("must be a list of at least one number, each above 0, but is {values:?}")]
    NotPositiveNumbers {
        /// The invalid list.
        values: Vec<u32>,
    },
    /// No machine type has this name.
    #[error("must be the name of an entry of `machine_types`, but is `{name}`")]
    UnknownMachineType {
        /// The unknown name.
        name: String,
    },
    /// No zone has this name.
    #[error("must be one of `zones`, but is `{name}`")]
    UnknownZone {
        /// The unknown name.
        name: String,
    },
    /// No team has this name.
    #[error(
        "must be the name of a team of `teams`, with its index if `count` is above 1, \
         but is `{name}`"
    )]
    UnknownTeam {
        /// The unknown name.
        name: String,
    },
    /// No controller has this index.
    #[error("must be an index below `controllers.count` ({controllers}), but is {index}")]
    UnknownController {
        /// The invalid index.
        index: usize,
        /// Number of controllers.
        controllers: usize,
    },
    /// Only classes of services may set the field.
    #[error("may be true only if `kind` is `service`")]
    ServicesOnly,
    /// A crash must have exactly one target.
    #[error("must set exactly one of `controller`, `workers`, `zone` and `holder`")]
    NotOneCrashTarget,
}
