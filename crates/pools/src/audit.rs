//! Checks that accounts are consistent, and agree with the charges of the cloud.

use crate::account::UsageInterval;
use forkshift_wire::MachineId;
use std::collections::BTreeMap;

/// Beginning and end of the time for which the cloud charged for a machine, in
/// milliseconds since 1970.
pub type BillingPeriod = (u64, u64);

/// An error in an account.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum AuditError {
    /// Two intervals of a machine overlap.
    #[error("{0}: charged twice")]
    DoubleCharge(MachineId),
    /// Some time of a membership belongs to no interval.
    #[error("{0}: not charged")]
    MissingCharge(MachineId),
    /// An interval begins before the cloud's charge for the machine, or ends after it, by
    /// more than clocks may differ.
    #[error("{0}: charged outside its billing period")]
    ChargeOutsideBillingPeriod(MachineId),
}

/// All errors in the accounts of all pools together. Clocks may differ from the cloud's by
/// `max_clock_skew_ms`. The intervals include present memberships, as if they ended now; the
/// lives include those of present machines. A machine without a life was never
/// provisioned.
pub fn audit_errors(
    intervals: &[UsageInterval],
    billing_periods: &BTreeMap<MachineId, BillingPeriod>,
    max_clock_skew_ms: u64,
) -> Vec<AuditError> {
    let mut by_machine: BTreeMap<&MachineId, Vec<&UsageInterval>> = BTreeMap::new();
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
            billing_period: billing_periods.get(machine).copied(),
            max_clock_skew_ms,
        };
        errors.extend(audit.charge_outside_billing_period());
        errors.extend(audit.missing_end());
        errors.extend(audit.gaps_and_overlaps());
    }
    errors
}

/// The account of one machine.
struct MachineAudit<'a> {
    machine: &'a MachineId,
    /// Its intervals, by their beginnings.
    intervals: Vec<&'a UsageInterval>,
    billing_period: Option<BillingPeriod>,
    max_clock_skew_ms: u64,
}

impl MachineAudit<'_> {
    /// An error if some interval is not within the machine's life.
    fn charge_outside_billing_period(&self) -> Option<AuditError> {
        let is_outside = |interval: &&UsageInterval| {
            self.billing_period.is_none_or(|(from, to)| {
                interval.from_ms + self.max_clock_skew_ms < from
                    || interval.to_ms > to.saturating_add(self.max_clock_skew_ms)
            })
        };
        let any_outside = self.intervals.iter().any(is_outside);
        any_outside.then(|| AuditError::ChargeOutsideBillingPeriod(self.machine.clone()))
    }

    /// An error if the last interval does not end the membership, and the machine's life
    /// goes on after it.
    fn missing_end(&self) -> Option<AuditError> {
        let last = self
            .intervals
            .last()
            .filter(|last| last.end_reason.is_none())?;
        let (_, period_end) = self.billing_period?;
        let ends_early = last.to_ms.saturating_add(self.max_clock_skew_ms) < period_end;
        ends_early.then(|| AuditError::MissingCharge(self.machine.clone()))
    }

    /// Errors between each interval and the next one.
    fn gaps_and_overlaps(&self) -> impl Iterator<Item = AuditError> + '_ {
        self.intervals.windows(2).filter_map(|pair| {
            let (first, second) = (pair[0], pair[1]);
            if second.from_ms < first.to_ms {
                Some(AuditError::DoubleCharge(self.machine.clone()))
            } else if first.end_reason.is_none() && second.from_ms > first.to_ms {
                Some(AuditError::MissingCharge(self.machine.clone()))
            } else {
                None
            }
        })
    }
}

#[cfg(test)]
mod tests;
