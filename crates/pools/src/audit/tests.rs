//! Tests of audits.

use super::*;
use crate::account::{EndReason, PoolState};
use crate::declaration::PoolName;

fn interval(from_ms: u64, to_ms: u64, end_reason: Option<EndReason>) -> UsageInterval {
    UsageInterval {
        pool: PoolName::parse("help").expect("a name"),
        machine: MachineId::new("m"),
        machine_type: "big".to_owned(),
        spot: false,
        state: PoolState::Warm,
        from_ms,
        to_ms,
        end_reason,
    }
}

/// Guards against an audit that misses an error or reports consistent accounts: each kind of
/// error occurs, with and without clock skew.
#[test]
fn each_kind_of_error_in_an_account_is_found() {
    let id = MachineId::new("m");
    let billing_periods = BTreeMap::from([(id.clone(), (100, 900))]);
    let removed = Some(EndReason::ScaledIn);
    let (double_charge, missing_charge, outside) = (
        AuditError::DoubleCharge(id.clone()),
        AuditError::MissingCharge(id.clone()),
        AuditError::ChargeOutsideBillingPeriod(id),
    );
    let cases: [(Vec<UsageInterval>, u64, Vec<AuditError>); 12] = [
        (
            vec![
                interval(100, 200, None),
                interval(200, 300, removed),
                interval(400, 900, removed),
            ],
            0,
            vec![],
        ),
        (
            vec![interval(100, 200, None), interval(199, 300, removed)],
            0,
            vec![double_charge.clone()],
        ),
        (
            vec![interval(100, 200, None), interval(201, 300, removed)],
            0,
            vec![missing_charge.clone()],
        ),
        (vec![interval(100, 900, None)], 0, vec![]),
        (vec![interval(100, 899, None)], 1, vec![]),
        (vec![interval(100, 899, None)], 0, vec![missing_charge]),
        (vec![interval(99, 200, removed)], 0, vec![outside.clone()]),
        (vec![interval(99, 200, removed)], 1, vec![]),
        (vec![interval(800, 901, removed)], 0, vec![outside.clone()]),
        (vec![interval(800, 901, removed)], 1, vec![]),
        (vec![interval(800, 902, removed)], 1, vec![outside.clone()]),
        (
            vec![interval(100, 300, removed), interval(100, 300, removed)],
            0,
            vec![double_charge],
        ),
    ];
    for (n, (intervals, max_clock_skew_ms, expected)) in cases.into_iter().enumerate() {
        assert_eq!(
            audit_errors(&intervals, &billing_periods, max_clock_skew_ms),
            expected,
            "case {n}"
        );
    }
    let never_provisioned = audit_errors(&[interval(100, 200, removed)], &BTreeMap::new(), 0);
    assert_eq!(never_provisioned, vec![outside]);
}
