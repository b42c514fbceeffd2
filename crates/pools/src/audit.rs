//! Whether accounts agree with themselves and with what the cloud charged.

use crate::account::Interval;
use forkshift_wire::MachineId;
use std::collections::BTreeMap;
use std::fmt;

/// From when to when the cloud charged for a machine, in milliseconds since 1970.
pub type Life = (u64, u64);

/// What is wrong with an account.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Mistake {
    /// Two intervals of a machine overlap.
    ChargedTwice(MachineId),
    /// A membership goes on, and some time of it belongs to no interval.
    NotCharged(MachineId),
    /// An interval begins before the cloud's charge for the machine, or ends after it, by
    /// more than clocks may differ.
    OutsideLife(MachineId),
}

impl fmt::Display for Mistake {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::ChargedTwice(id) => write!(f, "{id}: charged twice"),
            Self::NotCharged(id) => write!(f, "{id}: not charged"),
            Self::OutsideLife(id) => write!(f, "{id}: charged outside its life"),
        }
    }
}

/// Everything that is wrong with the accounts of all pools together, where clocks may
/// differ from the cloud's by so much. Memberships that go on are among the intervals, as
/// if they ended now, and so do the lives of machines that are there. A machine without a
/// life was never rented.
pub fn mistakes(
    intervals: &[Interval],
    lives: &BTreeMap<MachineId, Life>,
    clock_off_ms: u64,
) -> Vec<Mistake> {
    let mut by_machine: BTreeMap<&MachineId, Vec<&Interval>> = BTreeMap::new();
    for interval in intervals {
        by_machine
            .entry(&interval.machine)
            .or_default()
            .push(interval);
    }
    let mut found = Vec::new();
    for (id, mut intervals) in by_machine {
        intervals.sort_by_key(|i| (i.from_ms, i.to_ms));
        let life = lives.get(id).copied();
        let is_outside = |i: &&Interval| {
            life.is_none_or(|(from, to)| {
                i.from_ms + clock_off_ms < from || i.to_ms > to.saturating_add(clock_off_ms)
            })
        };
        if intervals.iter().any(is_outside) {
            found.push(Mistake::OutsideLife(id.clone()));
        }
        // A membership that goes on, and of which nothing more is recorded.
        let last = intervals.last().filter(|i| i.ended.is_none());
        let breaks_off =
            |i: &&Interval| life.is_some_and(|(_, to)| i.to_ms.saturating_add(clock_off_ms) < to);
        if last.is_some_and(breaks_off) {
            found.push(Mistake::NotCharged(id.clone()));
        }
        for pair in intervals.windows(2) {
            if pair[1].from_ms < pair[0].to_ms {
                found.push(Mistake::ChargedTwice(id.clone()));
            } else if pair[0].ended.is_none() && pair[1].from_ms > pair[0].to_ms {
                found.push(Mistake::NotCharged(id.clone()));
            }
        }
    }
    found
}

#[cfg(test)]
mod tests;
