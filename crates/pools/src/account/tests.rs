//! Tests of accounts.

use super::*;
use crate::declaration::PoolName;
use forkshift_wire::MachineId;

fn name() -> PoolName {
    PoolName::parse("exam-help").expect("a name")
}

fn machine() -> BilledMachine {
    BilledMachine {
        id: MachineId::new("host-000001"),
        machine_type: "big".to_owned(),
        spot: false,
    }
}

fn membership() -> Membership {
    Membership {
        pool: name(),
        state: PoolState::Warm,
        since_ms: 1_000,
    }
}

#[test]
fn interval_and_request_never_end_before_they_begin_and_the_next_one_follows_at_once() {
    for (at, to) in [(5_000, 5_000), (1_000, 1_000), (400, 1_000)] {
        let interval = membership().close(&machine(), at, None);
        assert_eq!((interval.from_ms, interval.to_ms), (1_000, to));
        let (past, next) = request().replace_with(4, at);
        assert_eq!((past.machines, past.to_ms), (3, Some(to)));
        assert_eq!((next.machines, next.from_ms, next.to_ms), (4, to, None));
    }
}

/// The present request of a pool, for three machines.
fn request() -> PoolRequest {
    PoolRequest {
        pool: name(),
        team: "readers".to_owned(),
        machines: 3,
        from_ms: 1_000,
        to_ms: None,
    }
}

/// Guards against rows that are stored but not parsed again, and against keys that are not
/// ordered by time.
#[test]
fn rows_are_parsed_from_their_stored_form() {
    let interval = membership().close(&machine(), 5_000, Some(EndReason::Allocated));
    let (past, present) = request().replace_with(4, 2_000);
    let cold_start = ColdStart {
        pool: name(),
        job: "j-000001".to_owned(),
        tasks: 2,
        at_ms: 999,
    };
    let json = |row: &dyn Fn() -> serde_json::Result<String>| row().expect("JSON");
    let rows = [
        (
            interval.key(),
            json(&|| serde_json::to_string(&interval)),
            AccountRow::Interval(interval),
        ),
        (
            past.key(),
            json(&|| serde_json::to_string(&past)),
            AccountRow::Request(past),
        ),
        (
            present.key(),
            json(&|| serde_json::to_string(&present)),
            AccountRow::Request(present),
        ),
        (
            cold_start.key(),
            json(&|| serde_json::to_string(&cold_start)),
            AccountRow::ColdStart(cold_start),
        ),
    ];
    for (key, value, row) in &rows {
        assert_eq!(AccountRow::parse(key, value).as_ref(), Some(row), "{key}");
    }
    assert!(
        rows[3].0 < rows[0].0,
        "a cold start at 999 ms is ordered before an interval from 1,000 ms"
    );
    assert_eq!(
        AccountRow::parse("pool/exam-help/00000000001000-other", "{}"),
        None
    );
    assert_eq!(AccountRow::parse(&rows[0].0, "{}"), None);
}
