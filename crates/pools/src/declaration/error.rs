//! Errors in declarations of pools.

/// The error of a declaration that was refused. Operators read it in the output of
/// `check` and in logs.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
#[error("pool `{pool}`: `{field}` {problem}")]
pub struct PoolError {
    /// Name of the pool as declared, also if it is not a valid name.
    pub pool: String,
    /// Path of the field, for example `windows[0].from`.
    pub field: String,
    /// Why the field is refused.
    pub problem: FieldError,
}

impl PoolError {
    /// The error for a field of a declaration.
    pub(super) fn new(pool: &str, field: impl Into<String>, problem: FieldError) -> Self {
        Self {
            pool: pool.to_owned(),
            field: field.into(),
            problem,
        }
    }
}

/// Why a field of a declaration is refused. The text of the error continues a sentence that
/// begins with the name of the field.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum FieldError {
    /// The name has an invalid length, or contains a character that is not allowed.
    #[error("must be 1 to 40 of a-z, 0-9 and -")]
    InvalidName,
    /// Another pool has the same name.
    #[error("is used twice")]
    DuplicateName,
    /// The settings do not contain the team.
    #[error("is `{0}`, which is not a team of the settings")]
    UnknownTeam(String),
    /// The zone is neither in the settings nor, if these list no zones, in the catalogue.
    #[error("is `{0}`, which is not a known zone")]
    UnknownZone(String),
    /// The catalogue does not contain the machine type.
    #[error("is `{0}`, which is not a known machine type")]
    UnknownMachineType(String),
    /// The time zone is not an IANA name.
    #[error("is `{0}`, which is not a known time zone")]
    UnknownTimeZone(String),
    /// The pool has windows but no time zone.
    #[error("must be given if there are windows")]
    MissingTimeZone,
    /// The field is empty.
    #[error("must not be empty")]
    Empty,
    /// The number is zero, negative or not finite.
    #[error("must be above 0")]
    NotPositive,
    /// The maximum number of machines, `most`, is zero.
    #[error("and `most`: `most` must be above 0")]
    MaxIsZero,
    /// The minimum number of machines, `least`, is above the maximum, `most`.
    #[error("must not be above `most`")]
    MinAboveMax,
    /// The pool has more windows than the given limit.
    #[error("must be at most {0}")]
    TooManyWindows(usize),
    /// The window overlaps an earlier window with a different size, which is given by index.
    #[error("contradicts windows[{0}]: the windows overlap, but their sizes differ")]
    ContradictsWindow(usize),
    /// The window begins at 24:00.
    #[error("must be before 24:00")]
    BeginsAtEndOfDay,
    /// The window ends at the time at which it begins, so that its length is ambiguous.
    #[error("must not be the time at which the window begins")]
    EndsWhenItBegins,
    /// The text is not a time of day in the form `hh:mm`.
    #[error("is `{0}`, which is not a time of day such as 08:30")]
    InvalidTime(String),
    /// The text is not a date in the form `yyyy-mm-dd`.
    #[error("is `{0}`, which is not a date such as 2026-12-31")]
    InvalidDate(String),
    /// The last date is before the first date.
    #[error("is before `first_date`")]
    BeforeFirstDate,
    /// The text is not an abbreviated day of the week.
    #[error("contains `{0}`, which is not one of mon, tue, wed, thu, fri, sat and sun")]
    InvalidWeekday(String),
    /// The number of days is zero, or above the given limit.
    #[error("must be from 1 to {0}")]
    InvalidLastDays(u32),
    /// No allowed machine type is offered in an allowed zone.
    #[error("are offered in none of the pool's zones")]
    NotInZones,
    /// The image is larger than the cache of each allowed machine type.
    #[error("is more than the largest cache, {cache_gb} GB")]
    ImageTooLarge {
        /// Largest cache of the allowed machine types, in GB.
        cache_gb: f64,
    },
    /// No allowed machine type is offered as a spot instance.
    #[error("requires spot machines, but no allowed machine type is offered as spot")]
    NoSpotOffer,
    /// The cost limit of the pool is below the price of a single machine.
    #[error("is less than the price of the cheapest allowed machine, {cheapest}")]
    BelowCheapestMachine {
        /// Lowest price per hour of an allowed machine.
        cheapest: f64,
    },
}
