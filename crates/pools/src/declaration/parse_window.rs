//! Parsing of a window's declaration.

use super::error::FieldError;
use super::parse::parse_size;
use super::spec::WindowSpec;
use crate::calendar::{PoolSize, Window, MINUTES_PER_DAY, MINUTES_PER_HOUR};
use jiff::civil::Date;

/// Largest value of `last_days_of_month`: the number of days of the shortest month.
const MAX_LAST_DAYS: u32 = 28;
/// Days of the week as they are written in declarations, Monday first.
const WEEKDAYS: [&str; 7] = ["mon", "tue", "wed", "thu", "fri", "sat", "sun"];

/// An error in a field of a window.
pub(super) struct WindowFieldError {
    /// Name of the field in a declaration.
    pub(super) field: &'static str,
    /// Why the field is refused.
    pub(super) problem: FieldError,
}

impl WindowFieldError {
    /// A function that adds the name of the field to an error, for use with `map_err`.
    fn in_field(field: &'static str) -> impl Fn(FieldError) -> Self {
        move |problem| Self { field, problem }
    }
}

/// Parses a window. Bounds on the number of machines that the window leaves out are those of
/// the pool, `pool_size`.
pub(super) fn parse_window(
    spec: &WindowSpec,
    pool_size: PoolSize,
) -> Result<Window, WindowFieldError> {
    let in_field = WindowFieldError::in_field;
    let from = parse_time(&spec.from, 0).map_err(in_field("from"))?;
    let to = parse_time(&spec.to, MINUTES_PER_DAY).map_err(in_field("to"))?;
    if from == MINUTES_PER_DAY {
        return Err(in_field("from")(FieldError::BeginsAtEndOfDay));
    }
    if from == to {
        return Err(in_field("to")(FieldError::EndsWhenItBegins));
    }
    let first_date = parse_date(&spec.first_date).map_err(in_field("first_date"))?;
    let last_date = parse_date(&spec.last_date).map_err(in_field("last_date"))?;
    let dates = first_date.zip(last_date);
    if dates.is_some_and(|(first, last)| last < first) {
        return Err(in_field("last_date")(FieldError::BeforeFirstDate));
    }
    let last_days_of_month =
        parse_last_days(spec.last_days_of_month).map_err(in_field("last_days_of_month"))?;
    let weekdays = parse_weekdays(&spec.weekdays).map_err(in_field("weekdays"))?;
    let min_machines = spec.min_machines.unwrap_or(pool_size.min_machines);
    let max_machines = spec.max_machines.unwrap_or(pool_size.max_machines);
    let size = parse_size(min_machines, max_machines).map_err(in_field("least"))?;
    Ok(Window {
        weekdays,
        from_minute: from,
        to_minute: to,
        first_date,
        last_date,
        last_days_of_month,
        size,
    })
}

/// Parses a time such as `08:30` to the minute of the day, from 0 to 1,440 (`24:00`). Returns
/// `default` if the text is empty.
fn parse_time(text: &str, default: u16) -> Result<u16, FieldError> {
    if text.is_empty() {
        return Ok(default);
    }
    let invalid = || FieldError::InvalidTime(text.to_owned());
    let (hour, minute) = text.split_once(':').ok_or_else(invalid)?;
    let two_digits = |part: &str| match part.len() {
        2 => part.parse::<u16>().ok(),
        _ => None,
    };
    let parts = two_digits(hour).zip(two_digits(minute));
    let (hour, minute) = parts.ok_or_else(invalid)?;
    match hour * MINUTES_PER_HOUR + minute {
        minutes if minute < MINUTES_PER_HOUR && minutes <= MINUTES_PER_DAY => Ok(minutes),
        _ => Err(invalid()),
    }
}

/// Parses a date such as `2026-12-31`. Returns `None` if the text is empty.
fn parse_date(text: &str) -> Result<Option<Date>, FieldError> {
    if text.is_empty() {
        return Ok(None);
    }
    let invalid = |_| FieldError::InvalidDate(text.to_owned());
    text.parse().map(Some).map_err(invalid)
}

fn parse_last_days(days: Option<u32>) -> Result<Option<u8>, FieldError> {
    match days {
        Some(days) if !(1..=MAX_LAST_DAYS).contains(&days) => {
            Err(FieldError::InvalidLastDays(MAX_LAST_DAYS))
        }
        // The number was checked above to be at most 28, so that the cast is exact.
        days => Ok(days.map(|days| days as u8)),
    }
}

/// Parses days of the week to one flag per day, Monday first. Without names, all are set.
fn parse_weekdays(names: &[String]) -> Result<[bool; 7], FieldError> {
    if names.is_empty() {
        return Ok([true; 7]);
    }
    let mut days = [false; 7];
    for name in names {
        let day = WEEKDAYS.iter().position(|known| known == name);
        let invalid = || FieldError::InvalidWeekday(name.clone());
        days[day.ok_or_else(invalid)?] = true;
    }
    Ok(days)
}
