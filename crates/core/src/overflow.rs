//! What went beyond a bound is logged, with its count, and not too often.

use crate::Ms;
use std::collections::BTreeMap;
use std::fmt;

/// Least time between two lines about the same bound.
const LOG_PAUSE: Ms = 10_000;

/// A bound that something went beyond.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Overflow {
    /// A request passed on by another controller was refused.
    ForwardedRequests,
    /// A shard has too many machines with cancelled tasks to name them in a heartbeat.
    UnsettledMachines,
    /// Part of a shard's unmet demand was left out of the message to the leader.
    Demand,
}

impl fmt::Display for Overflow {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::ForwardedRequests => "requests of other controllers were refused with 503",
            Self::UnsettledMachines => {
                "heartbeats said nothing of a shard's cancelled tasks, which are on too many machines"
            }
            Self::Demand => "messages held only the most urgent part of a shard's demand",
        })
    }
}

#[derive(Debug, Default)]
struct Count {
    since_logged: u64,
    log_at: Ms,
}

/// Counts what goes beyond bounds, and logs it.
#[derive(Debug, Default)]
pub(crate) struct OverflowLog {
    counts: BTreeMap<Overflow, Count>,
}

impl OverflowLog {
    /// Something went beyond a bound. Returns how often since the last line, if
    /// one is logged now.
    pub(crate) fn note(&mut self, now: Ms, what: Overflow) -> Option<u64> {
        let count = self.counts.entry(what).or_default();
        count.since_logged += 1;
        if now < count.log_at {
            return None;
        }
        let times = std::mem::take(&mut count.since_logged);
        count.log_at = now + LOG_PAUSE;
        log::warn!("{times} times: {what}");
        Some(times)
    }
}

#[cfg(test)]
mod tests;
