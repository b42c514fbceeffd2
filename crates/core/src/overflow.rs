//! Rate-limited log of exceeded bounds, with counts.

use crate::Ms;
use std::collections::BTreeMap;
use std::fmt;

/// Least time between two log lines about the same bound, in milliseconds.
const LOG_INTERVAL_MS: Ms = 10_000;

/// A bound that was exceeded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Overflow {
    /// A request forwarded by another controller was refused.
    ForwardedRequests,
    /// A shard has too many machines with cancelled tasks to name them in a heartbeat.
    UnsettledMachines,
    /// Part of a shard's unmet demand was omitted from the message to the leader.
    Demand,
}

impl fmt::Display for Overflow {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::ForwardedRequests => "forwarded requests refused with 503",
            Self::UnsettledMachines => {
                "cancelled tasks of a shard omitted from heartbeats, they are on too many machines"
            }
            Self::Demand => "demand of a shard truncated to its most urgent part",
        })
    }
}

/// How often a bound was exceeded.
#[derive(Debug, Default)]
struct Count {
    /// Since the last log line.
    since_logged: u64,
    /// When it may be logged next.
    next_log_at: Ms,
}

/// Counts and logs exceeded bounds.
#[derive(Debug, Default)]
pub(crate) struct OverflowLog {
    counts: BTreeMap<Overflow, Count>,
}

impl OverflowLog {
    /// A bound was exceeded. Returns how often it was since the last log line, if
    /// one is written now.
    pub(crate) fn record(&mut self, now: Ms, bound: Overflow) -> Option<u64> {
        let count = self.counts.entry(bound).or_default();
        count.since_logged += 1;
        if now < count.next_log_at {
            return None;
        }
        let times = std::mem::take(&mut count.since_logged);
        count.next_log_at = now + LOG_INTERVAL_MS;
        log::warn!("bounds: {bound}, {times} times");
        Some(times)
    }
}

#[cfg(test)]
mod tests;
