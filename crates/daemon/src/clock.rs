//! Access to the wall clock.

use std::time::{SystemTime, UNIX_EPOCH};

/// Milliseconds since 1970-01-01 00:00 UTC; 0 if the clock is set to an earlier time.
pub(crate) fn unix_time_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.map_or(0, |time| time.as_millis() as u64)
}
