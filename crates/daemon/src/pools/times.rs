//! Times as the command line takes and shows them.

use jiff::civil::Date;
use jiff::tz::TimeZone;
use jiff::Timestamp;

/// Parses a time, or a date as its midnight UTC, to milliseconds since 1970; none if the
/// text is neither, or before 1970.
pub(super) fn parse(text: &str) -> Option<u64> {
    let time = text.parse::<Timestamp>().ok();
    let midnight = || {
        let date: Date = text.parse().ok()?;
        Some(date.to_zoned(TimeZone::UTC).ok()?.timestamp())
    };
    let time = time.or_else(midnight)?;
    u64::try_from(time.as_millisecond()).ok()
}

/// Formats milliseconds since 1970 as a UTC time, to the second; empty if out of range.
pub(super) fn format(ms: u64) -> String {
    let seconds = i64::try_from(ms / 1_000).ok();
    let time = seconds.and_then(|s| Timestamp::from_second(s).ok());
    time.map_or_else(String::new, |time| time.to_string())
}

#[cfg(test)]
mod tests;
