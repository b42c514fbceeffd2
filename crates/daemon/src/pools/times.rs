//! Parsing and formatting of times on the command line.

use jiff::civil::Date;
use jiff::tz::TimeZone;
use jiff::Timestamp;

/// Parses a time (RFC 3339) or a date (its midnight UTC) to milliseconds since 1970. Returns
/// none if the text is neither, or the time is before 1970.
pub(super) fn parse(text: &str) -> Option<u64> {
    let time = text.parse::<Timestamp>().ok();
    let midnight = || {
        let date: Date = text.parse().ok()?;
        Some(date.to_zoned(TimeZone::UTC).ok()?.timestamp())
    };
    let time = time.or_else(midnight)?;
    u64::try_from(time.as_millisecond()).ok()
}

/// Formats milliseconds since 1970 as a UTC time, rounded down to the second. Returns an empty
/// text if the time is out of the range of the library.
pub(super) fn format(ms: u64) -> String {
    let seconds = i64::try_from(ms / 1_000).ok();
    let time = seconds.and_then(|s| Timestamp::from_second(s).ok());
    time.map_or_else(String::new, |time| time.to_string())
}

#[cfg(test)]
mod tests;
