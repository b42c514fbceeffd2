//! Rate-limited log of exceeded bounds.

use crate::Ms;
use std::collections::BTreeMap;
use std::fmt;

/// Minimum time between two log lines about the same bound, in milliseconds.
const LOG_INTERVAL_MS: Ms = 10_000;

/// The kinds of exceeded bounds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Overflow {
    /// A request that another controller forwarded was refused.
    ForwardedRequests,
    /// A shard has more machines with cancelled tasks than a heartbeat between controllers can
    /// list.
    UnsettledMachines,
    /// A shard's unmet demand was truncated to fit in a message to the leader.
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

/// Occurrences of an exceeded bound.
#[derive(Debug, Default)]
struct Count {
    /// Occurrences since the last log line.
    since_logged: u64,
    /// Earliest time of the next log line.
    next_log_at: Ms,
}

/// Counts exceeded bounds, and logs each kind at most once per [`LOG_INTERVAL_MS`].
#[derive(Debug, Default)]
pub(crate) struct OverflowLog {
    counts: BTreeMap<Overflow, Count>,
}

impl OverflowLog {
    /// Counts an exceeded bound. If this writes a log line, returns the number of occurrences
    /// since the previous one.
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
