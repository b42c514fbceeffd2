//! Tests of `render`.

use super::*;
use crate::pools::status::{CountByState, PoolStatus};
use forkshift_pools::report::{PoolReport, StateTotals, TimeSpan};
use forkshift_pools::PoolName;
use std::collections::BTreeMap;

fn pool() -> PoolName {
    PoolName::parse("exam-help").expect("a name")
}

#[test]
fn status_has_one_line_for_each_pool() {
    let pool_status = PoolStatus {
        pool: pool(),
        team: "readers".to_owned(),
        requested_machines: 4,
        machines: CountByState {
            booting: 1,
            up: 0,
            fetching: 0,
            warm: 3,
        },
        cost_per_hour: 64.0,
    };
    let text = status(&[pool_status]).expect("it renders");
    let lines: Vec<Vec<&str>> = text
        .lines()
        .map(|l| l.split_whitespace().collect())
        .collect();
    assert_eq!(
        lines[1],
        ["exam-help", "readers", "4", "1", "0", "0", "3", "64.00"]
    );
    assert_eq!(status(&[]).expect("it renders"), "no pool is recorded");
}

#[test]
fn report_shows_hours_cost_and_unpriced_time() {
    let pool_report = PoolReport {
        pool: pool(),
        team: "readers".to_owned(),
        requested_s: 7_200.0,
        machine_s: StateTotals {
            warm: 3_600.0,
            ..StateTotals::default()
        },
        unmet_s: 3_600.0,
        cost: StateTotals {
            warm: 16.0,
            ..StateTotals::default()
        },
        unpriced_s: 1_800.0,
        allocated: 5,
        cold_starts: 2,
        reclaimed: 1,
        lost: 0,
    };
    let span = TimeSpan {
        from_ms: 0,
        to_ms: 86_400_000,
    };
    let mut pools_report = UsageReport {
        span,
        pools: vec![pool_report],
        teams: BTreeMap::from([("readers".to_owned(), 16.0)]),
    };
    let text = report(&pools_report).expect("it renders");
    for part in [
        "1970-01-01T00:00:00Z to 1970-01-02T00:00:00Z",
        "readers pays 16.00",
        "exam-help: of 0.500 machine-hours no price is recorded",
    ] {
        assert!(text.contains(part), "{part} in {text}");
    }
    let rows: Vec<Vec<&str>> = text
        .lines()
        .filter(|l| l.starts_with("readers ") && !l.contains("pays"))
        .map(|l| l.split_whitespace().collect())
        .collect();
    assert_eq!(
        rows[0][2..],
        ["2.000", "0.000", "0.000", "0.000", "1.000", "1.000"]
    );
    assert_eq!(
        rows[1][2..],
        ["0.00", "0.00", "0.00", "16.00", "5", "2", "1", "0"]
    );
    pools_report.pools.clear();
    let empty = report(&pools_report).expect("it renders");
    assert!(
        empty.contains("nothing is recorded of pools in this time"),
        "{empty}"
    );
}
