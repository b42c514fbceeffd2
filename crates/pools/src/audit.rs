//! Checks that the accounts of pools are consistent, and agree with the billing of the cloud.

use crate::account::UsageInterval;
use forkshift_wire::MachineId;
use std::collections::BTreeMap;

/// Beginning and end of the time for which the cloud bills a machine, in milliseconds since
/// 1970.
pub type BillingPeriod = (u64, u64);

/// An error in an account.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum AuditError {
    /// Two intervals of a machine overlap.
    #[error("{0}: charged twice")]
    DoubleCharge(MachineId),
    /// A part of a membership is in no interval.
    #[error("{0}: not charged")]
    MissingCharge(MachineId),
    /// An interval begins before the cloud's billing period of the machine, or ends after it,
    /// by more than the maximum clock skew.
    #[error("{0}: charged outside its billing period")]
    ChargeOutsideBillingPeriod(MachineId),
}

/// Finds all errors in the accounts of all pools.
///
/// `intervals` are those of all pools, with present memberships included as if they ended
/// now. `billing_periods` include those of machines that still run; a machine without a
/// billing period was never provisioned. Clocks of controllers differ from the clock of the
/// cloud by at most `max_clock_skew_ms`.
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
    /// Intervals of the machine in all pools, by ascending beginning.
    intervals: Vec<&'a UsageInterval>,
    billing_period: Option<BillingPeriod>,
    max_clock_skew_ms: u64,
}

impl MachineAudit<'_> {
    /// The error if an interval is not within the machine's billing period.
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

    /// The error if the last interval does not end the membership, although the machine's
    /// billing period continues after it.
    fn missing_end(&self) -> Option<AuditError> {
        let last = self
            .intervals
            .last()
            .filter(|last| last.end_reason.is_none())?;
        let (_, period_end) = self.billing_period?;
        let ends_early = last.to_ms.saturating_add(self.max_clock_skew_ms) < period_end;
        ends_early.then(|| AuditError::MissingCharge(self.machine.clone()))
    }

    /// The errors of gaps and overlaps between successive intervals. A gap is an error only if
    /// the first interval did not end the membership.
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
