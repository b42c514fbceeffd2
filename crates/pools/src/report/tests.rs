//! Tests of reports.

use super::*;
use forkshift_wire::MachineId;

const HOUR_MS: u64 = 3_600_000;
const NOW_MS: u64 = 10 * HOUR_MS;

fn pool() -> PoolName {
    PoolName::parse("exam-help").expect("a name")
}

fn interval(
    machine: &str,
    state: PoolState,
    from: u64,
    to: u64,
    end_reason: Option<EndReason>,
) -> UsageInterval {
    UsageInterval {
        pool: pool(),
        machine: MachineId::new(machine),
        machine_type: "big".to_owned(),
        spot: false,
        state,
        from_ms: from,
        to_ms: to,
        end_reason,
    }
}

fn accounts() -> UsageRecords {
    use PoolState::{Booting, Fetching, Warm};
    let price = |from_ms, hourly| Price {
        machine_type: "big".to_owned(),
        from_ms,
        hourly,
        spot_hourly: None,
    };
    let request = |machines, from_ms, to_ms| PoolRequest {
        pool: pool(),
        team: "readers".to_owned(),
        machines,
        from_ms,
        to_ms,
    };
    UsageRecords {
        intervals: vec![
            interval("a", Booting, HOUR_MS, 2 * HOUR_MS, None),
            interval("a", Fetching, 2 * HOUR_MS, 3 * HOUR_MS, None),
            interval(
                "a",
                Warm,
                3 * HOUR_MS,
                6 * HOUR_MS,
                Some(EndReason::Allocated),
            ),
            interval(
                "b",
                Warm,
                4 * HOUR_MS,
                5 * HOUR_MS,
                Some(EndReason::Reclaimed),
            ),
            interval(
                "c",
                Booting,
                6 * HOUR_MS,
                7 * HOUR_MS,
                Some(EndReason::Failed),
            ),
        ],
        requests: vec![
            request(2, HOUR_MS, Some(6 * HOUR_MS)),
            request(1, 6 * HOUR_MS, None),
        ],
        cold_starts: vec![ColdStart {
            pool: pool(),
            job: "j-1".to_owned(),
            tasks: 3,
            at_ms: 2 * HOUR_MS,
        }],
        prices: vec![price(4 * HOUR_MS, 20.0), price(HOUR_MS, 10.0)],
        teams: BTreeMap::new(),
    }
}

fn span(from: u64, to: u64) -> TimeSpan {
    TimeSpan {
        from_ms: from * HOUR_MS,
        to_ms: to * HOUR_MS,
    }
}

#[test]
fn usage_cost_and_events_are_summed_up() {
    let usage = usage_report(&accounts(), span(0, 10), NOW_MS);
    let [found] = usage.pools.as_slice() else {
        panic!("{usage:?}");
    };
    assert_eq!(found.team, "readers");
    assert_eq!(found.requested_s, (2.0 * 5.0 + 4.0) * 3_600.0);
    let hours = StateTotals {
        booting: 2.0 * 3_600.0,
        up: 0.0,
        fetching: 3_600.0,
        warm: 4.0 * 3_600.0,
    };
    assert_eq!(found.machine_s, hours);
    // Unmet machines: 2 in the first two hours, 1 in the third and fifth hour, none in the
    // fourth hour, and 1 in each of the last four hours.
    assert_eq!(found.unmet_s, (2.0 * 2.0 + 1.0 + 1.0 + 4.0) * 3_600.0);
    // Booting: one hour at a price of 10 and one at 20. Warm: one hour at 10 and three at 20.
    assert_eq!(found.cost.booting, 30.0);
    assert_eq!(found.cost.fetching, 10.0);
    assert_eq!(found.cost.warm, 10.0 + 40.0 + 20.0);
    assert_eq!(found.unpriced_s, 0.0);
    let counts = (
        found.allocated,
        found.cold_starts,
        found.reclaimed,
        found.lost,
    );
    assert_eq!(counts, (1, 1, 1, 1));
    assert_eq!(usage.teams, BTreeMap::from([("readers".to_owned(), 110.0)]));
}

#[test]
fn adjacent_spans_add_up_to_the_whole() {
    let accounts = accounts();
    let whole = usage_report(&accounts, span(0, 10), NOW_MS);
    for middle in 1..10 {
        let parts = [span(0, middle), span(middle, 10)];
        let parts = parts.map(|span| usage_report(&accounts, span, NOW_MS));
        let sum = |of: fn(&PoolReport) -> f64| -> f64 {
            parts.iter().flat_map(|r| r.pools.iter().map(of)).sum()
        };
        let of_whole = &whole.pools[0];
        assert!(
            (sum(|p| p.cost.sum()) - of_whole.cost.sum()).abs() < 1e-9,
            "{middle}"
        );
        assert_eq!(
            sum(|p| p.machine_s.sum()),
            of_whole.machine_s.sum(),
            "{middle}"
        );
        assert_eq!(sum(|p| p.requested_s), of_whole.requested_s, "{middle}");
        assert_eq!(sum(|p| p.unmet_s), of_whole.unmet_s, "{middle}");
        assert_eq!(sum(|p| f64::from(p.allocated)), 1.0, "{middle}");
    }
}

#[test]
fn span_without_records_is_empty_and_missing_prices_are_counted() {
    assert!(usage_report(&accounts(), span(0, 1), NOW_MS).is_empty());
    assert!(usage_report(&UsageRecords::default(), span(0, 10), NOW_MS).is_empty());
    let mut unpriced = accounts();
    unpriced.prices.clear();
    let found = usage_report(&unpriced, span(0, 10), NOW_MS);
    assert_eq!(found.pools[0].unpriced_s, 7.0 * 3_600.0);
    assert_eq!(found.pools[0].cost.sum(), 0.0);
}
