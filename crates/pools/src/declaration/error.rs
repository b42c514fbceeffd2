//! Errors of declarations.

/// A declaration of a pool that was refused.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
#[error("pool `{pool}`: `{field}` {problem}")]
pub struct PoolError {
    /// Name of the pool as declared.
    pub pool: String,
    /// The field, as in `windows[0].from`.
    pub field: String,
    /// What is wrong with the field.
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

/// What is wrong with a field of a declaration. The text follows the field's name.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum FieldError {
    /// The name has a wrong length or other characters.
    #[error("must be 1 to 40 of a-z, 0-9 and -")]
    InvalidName,
    /// Another pool has the same name.
    #[error("is used twice")]
    DuplicateName,
    /// The settings have no such team.
    #[error("is `{0}`, which is no team")]
    UnknownTeam(String),
    /// There is no such zone.
    #[error("is `{0}`, which is no zone")]
    UnknownZone(String),
    /// There is no such machine type.
    #[error("is `{0}`, which is no machine type")]
    UnknownMachineType(String),
    /// There is no such time zone.
    #[error("is `{0}`, which is no time zone")]
    UnknownTimeZone(String),
    /// Windows need a time zone.
    #[error("must be given with windows")]
    MissingTimeZone,
    /// The field is empty.
    #[error("must not be empty")]
    Empty,
    /// The number is zero, negative or not finite.
    #[error("must be above 0")]
    NotPositive,
    /// The most machines are zero.
    #[error("and `most`: `most` must be above 0")]
    MaxIsZero,
    /// The least number of machines is above the most.
    #[error("must not be above `most`")]
    MinAboveMax,
    /// There are too many windows.
    #[error("must be at most {0}")]
    TooManyWindows(usize),
    /// The window overlaps another one, by index, that has another size.
    #[error("contradicts windows[{0}]: they overlap, with other sizes")]
    ContradictsWindow(usize),
    /// The window begins at the end of the day.
    #[error("must be before 24:00")]
    BeginsAtEndOfDay,
    /// The window ends when it begins.
    #[error("is when the window begins")]
    EndsWhenItBegins,
    /// The text is no time of day.
    #[error("is `{0}`, which is no time such as 08:30")]
    InvalidTime(String),
    /// The text is no date.
    #[error("is `{0}`, which is no date such as 2026-12-31")]
    InvalidDate(String),
    /// The last date is before the first.
    #[error("is before `first_date`")]
    BeforeFirstDate,
    /// The text is no day of the week.
    #[error("has `{0}`, which is none of mon to sun")]
    InvalidWeekday(String),
    /// The number of days is out of range.
    #[error("must be from 1 to {0}")]
    InvalidLastDays(u32),
    /// No allowed machine type is offered in an allowed zone.
    #[error("are in none of its zones")]
    NotInZones,
    /// No allowed machine can cache the image.
    #[error("is more than the largest cache, {cache_gb} GB")]
    ImageTooLarge {
        /// Largest cache of the allowed machine types, in GB.
        cache_gb: f64,
    },
    /// No allowed machine type is offered as a spot machine.
    #[error("asks for machines that are not to be had as spot")]
    NoSpotOffer,
    /// The cost limit does not allow a single machine.
    #[error("is less than one machine costs, {cheapest}")]
    BelowCheapestMachine {
        /// Lowest price per hour of an allowed machine.
        cheapest: f64,
    },
}
