//! Times as they are given on the command line and shown.

use jiff::civil::Date;
use jiff::tz::TimeZone;
use jiff::Timestamp;
use std::time::{SystemTime, UNIX_EPOCH};

/// Milliseconds since 1970 of a time, or of midnight UTC of a date.
pub fn parse(text: &str) -> Option<u64> {
    let time = text.parse::<Timestamp>().ok();
    let midnight = || {
        let date: Date = text.parse().ok()?;
        Some(date.to_zoned(TimeZone::UTC).ok()?.timestamp())
    };
    let time = time.or_else(midnight)?;
    u64::try_from(time.as_millisecond()).ok()
}

/// A time as text, to the second.
pub fn show(ms: u64) -> String {
    let seconds = i64::try_from(ms / 1_000).ok();
    let time = seconds.and_then(|s| Timestamp::from_second(s).ok());
    time.map_or_else(String::new, |t| t.to_string())
}

/// Now, in milliseconds since 1970.
pub fn now_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.map_or(0, |t| t.as_millis() as u64)
}

#[cfg(test)]
mod tests;
