use super::*;

fn name() -> PoolName {
    PoolName::parse("exam-help").expect("a name")
}

fn machine() -> MachineFacts {
    MachineFacts {
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
fn an_interval_ends_where_the_next_begins_and_never_before_its_own_beginning() {
    for (at, to) in [(5_000, 5_000), (1_000, 1_000), (400, 1_000)] {
        let interval = membership().close(&machine(), at, None);
        assert_eq!((interval.from_ms, interval.to_ms), (1_000, to));
        let asked = Asked {
            pool: name(),
            team: "readers".to_owned(),
            machines: 3,
            from_ms: 1_000,
            to_ms: None,
        };
        let (over, next) = asked.change(4, at);
        assert_eq!((over.machines, over.to_ms), (3, Some(to)));
        assert_eq!((next.machines, next.from_ms, next.to_ms), (4, to, None));
    }
}

/// Keys are in the order of time, and every row is read back from its key and value.
#[test]
fn rows_are_read_back() {
    let interval = membership().close(&machine(), 5_000, Some(Ended::HandedOut));
    let asked = Asked {
        pool: name(),
        team: "readers".to_owned(),
        machines: 3,
        from_ms: 1_000,
        to_ms: None,
    };
    let (over, head) = asked.change(4, 2_000);
    let miss = Miss {
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
            Row::Interval(interval),
        ),
        (
            over.key(),
            json(&|| serde_json::to_string(&over)),
            Row::Asked(over),
        ),
        (
            head.key(),
            json(&|| serde_json::to_string(&head)),
            Row::Asked(head),
        ),
        (
            miss.key(),
            json(&|| serde_json::to_string(&miss)),
            Row::Miss(miss),
        ),
    ];
    for (key, value, row) in &rows {
        assert_eq!(Row::parse(key, value).as_ref(), Some(row), "{key}");
    }
    assert!(
        rows[3].0 < rows[0].0,
        "a miss at 999 ms comes before what began at 1,000"
    );
    assert_eq!(
        Row::parse("pool/exam-help/00000000001000-other", "{}"),
        None
    );
    assert_eq!(Row::parse(&rows[0].0, "{}"), None);
}
