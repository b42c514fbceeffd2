//! Checks that accounts are consistent, and agree with the charges of the cloud.

use crate::account::Interval;
use forkshift_wire::MachineId;
use std::collections::BTreeMap;

/// Beginning and end of the time for which the cloud charged for a machine, in
/// milliseconds since 1970.
pub type Life = (u64, u64);

/// An error in an account.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Mistake {
    /// Two intervals of a machine overlap.
    #[error("{0}: charged twice")]
    ChargedTwice(MachineId),
    /// Some time of a membership belongs to no interval.
    #[error("{0}: not charged")]
    NotCharged(MachineId),
    /// An interval begins before the cloud's charge for the machine, or ends after it, by
    /// more than clocks may differ.
    #[error("{0}: charged outside its life")]
    OutsideLife(MachineId),
}

/// All errors in the accounts of all pools together. Clocks may differ from the cloud's by
/// `clock_off_ms`. The intervals include present memberships, as if they ended now; the
/// lives include those of present machines. A machine without a life was never
/// provisioned.
pub fn mistakes(
    intervals: &[Interval],
    lives: &BTreeMap<MachineId, Life>,
    clock_off_ms: u64,
) -> Vec<Mistake> {
    let mut by_machine: BTreeMap<&MachineId, Vec<&Interval>> = BTreeMap::new();
    for interval in intervals {
        let of_machine = by_machine.entry(&interval.machine).or_default();
        of_machine.push(interval);
    }
    let mut errors = Vec::new();
    for (machine, mut intervals) in by_machine {
        intervals.sort_by_key(|interval| (interval.from_ms, interval.to_ms));
        let audit = MachineAudit {
            machine,
            intervals,
            life: lives.get(machine).copied(),
            clock_off_ms,
        };
        errors.extend(audit.outside_life());
        errors.extend(audit.unrecorded_end());
        errors.extend(audit.gaps_and_overlaps());
    }
    errors
}

/// The account of one machine.
struct MachineAudit<'a> {
    machine: &'a MachineId,
    /// Its intervals, by their beginnings.
    intervals: Vec<&'a Interval>,
    life: Option<Life>,
    clock_off_ms: u64,
}

impl MachineAudit<'_> {
    /// An error if some interval is not within the machine's life.
    fn outside_life(&self) -> Option<Mistake> {
        let is_outside = |interval: &&Interval| {
            self.life.is_none_or(|(from, to)| {
                interval.from_ms + self.clock_off_ms < from
                    || interval.to_ms > to.saturating_add(self.clock_off_ms)
            })
        };
        let any_outside = self.intervals.iter().any(is_outside);
        any_outside.then(|| Mistake::OutsideLife(self.machine.clone()))
    }

    /// An error if the last interval does not end the membership, and the machine's life
    /// goes on after it.
    fn unrecorded_end(&self) -> Option<Mistake> {
        let last = self.intervals.last().filter(|last| last.ended.is_none())?;
        let (_, life_end) = self.life?;
        let ends_early = last.to_ms.saturating_add(self.clock_off_ms) < life_end;
        ends_early.then(|| Mistake::NotCharged(self.machine.clone()))
    }

    /// Errors between each interval and the next one.
    fn gaps_and_overlaps(&self) -> impl Iterator<Item = Mistake> + '_ {
        self.intervals.windows(2).filter_map(|pair| {
            let (first, second) = (pair[0], pair[1]);
            if second.from_ms < first.to_ms {
                Some(Mistake::ChargedTwice(self.machine.clone()))
            } else if first.ended.is_none() && second.from_ms > first.to_ms {
                Some(Mistake::NotCharged(self.machine.clone()))
            } else {
                None
            }
        })
    }
}

#[cfg(test)]
mod tests;
