//! Guards against incompatible changes of the outer forms of warm pools: stored account rows
//! with their keys, the report as JSON, and parsed declarations. The expected bytes are in
//! `golden/`.

use forkshift_pools::account::{AccountRow, Price, PRICE_PREFIX};
use forkshift_pools::report::{usage_report, TimeSpan, UsageRecords};
use forkshift_pools::{Pool, PoolName, PoolSpec, Pools, WindowSpec};
use serde_json::Value;
use std::collections::BTreeMap;

const ACCOUNT: &str = include_str!("golden/account.jsonl");
const HOUR_MS: u64 = 3_600_000;

/// The rows of the fixture `golden/account.jsonl`, each as a key and its value.
fn rows() -> impl Iterator<Item = (String, Value)> {
    ACCOUNT.lines().map(|line| {
        let row: Value = serde_json::from_str(line).expect("JSON");
        (
            row["key"].as_str().expect("a key").to_owned(),
            row["data"].clone(),
        )
    })
}

fn accounts() -> UsageRecords {
    let nights = PoolName::parse("nights").expect("a name");
    let mut accounts = UsageRecords {
        teams: BTreeMap::from([(nights, "writers".to_owned())]),
        ..UsageRecords::default()
    };
    for (key, data) in rows() {
        if key.starts_with(PRICE_PREFIX) {
            accounts
                .prices
                .push(serde_json::from_value(data).expect("a price"));
            continue;
        }
        match AccountRow::parse(&key, &data.to_string()).expect("a row") {
            AccountRow::Interval(interval) => accounts.intervals.push(interval),
            AccountRow::Request(request) => accounts.requests.push(request),
            AccountRow::ColdStart(cold_start) => accounts.cold_starts.push(cold_start),
        }
    }
    accounts
}

/// The key and the bytes with which a row is stored after it was read.
fn stored(key: &str, data: &Value) -> (String, String) {
    let text = data.to_string();
    if key.starts_with(PRICE_PREFIX) {
        let price: Price = serde_json::from_str(&text).expect("a price");
        return (price.key(), serde_json::to_string(&price).expect("JSON"));
    }
    match AccountRow::parse(key, &text).expect("a row") {
        AccountRow::Interval(row) => (row.key(), serde_json::to_string(&row).expect("JSON")),
        AccountRow::Request(row) => (row.key(), serde_json::to_string(&row).expect("JSON")),
        AccountRow::ColdStart(row) => (row.key(), serde_json::to_string(&row).expect("JSON")),
    }
}

/// Rows that are read and stored again keep their bytes. One line of the fixture has no field
/// `spot`; the field is added when the row is stored.
#[test]
fn stored_rows_keep_their_keys_and_bytes() {
    let mut actual = Vec::new();
    for line in ACCOUNT.lines() {
        let row: Value = serde_json::from_str(line).expect("JSON");
        let (key, bytes) = stored(row["key"].as_str().expect("a key"), &row["data"]);
        actual.push(format!(r#"{{"key":"{key}","data":{bytes}}}"#));
    }
    let expected = ACCOUNT.replace(
        r#""type":"g8","state""#,
        r#""type":"g8","spot":false,"state""#,
    );
    assert_eq!(actual, expected.lines().collect::<Vec<_>>());
}

#[test]
fn report_has_the_golden_json() {
    let span = |from, to| TimeSpan {
        from_ms: from * HOUR_MS,
        to_ms: to * HOUR_MS,
    };
    let accounts = accounts();
    let mut actual = String::new();
    for span in [span(0, 10), span(2, 4), span(20, 21)] {
        let found = usage_report(&accounts, span, 8 * HOUR_MS);
        actual += &serde_json::to_string(&found).expect("JSON");
        actual += "\n";
    }
    assert!(actual == include_str!("golden/report.jsonl"), "{actual}");
}

/// A valid declaration with a value in every field.
fn full_spec() -> PoolSpec {
    let text = str::to_owned;
    PoolSpec {
        name: text("exam-help"),
        team: text("readers"),
        image: text("img-07"),
        image_gb: 34.5,
        types: vec![text("g8"), text("g16")],
        zones: vec![text("hall-a")],
        spot: true,
        min_machines: 2,
        max_machines: 6,
        max_cost_per_hour: Some(100.5),
        time_zone: text("Africa/Lagos"),
        windows: vec![
            WindowSpec {
                weekdays: vec![text("mon"), text("fri")],
                from: text("08:30"),
                to: text("17:00"),
                first_date: text("2026-12-01"),
                last_date: text("2026-12-18"),
                last_days_of_month: None,
                min_machines: Some(3),
                max_machines: Some(9),
            },
            WindowSpec {
                from: text("22:00"),
                to: text("02:00"),
                last_days_of_month: Some(2),
                ..WindowSpec::default()
            },
        ],
    }
}

fn parse(specs: &[PoolSpec]) -> Result<Pools, forkshift_pools::PoolError> {
    Pools::parse(specs, &["readers"], &["hall-a".to_owned()])
}

/// Times at which the size of a pool is looked up.
const TIMES: [&str; 8] = [
    "2026-11-30T08:00:00Z",
    "2026-12-04T07:29:59Z",
    "2026-12-04T07:30:00Z",
    "2026-12-04T15:59:59Z",
    "2026-12-04T16:00:00Z",
    "2026-12-05T08:00:00Z",
    "2026-12-31T21:30:00Z",
    "2027-01-01T00:30:00Z",
];

fn describe(pool: &Pool) -> String {
    let mut text = format!(
        "name {}\nteam {}\nimage {}\nimage_gb {}\n",
        pool.name, pool.team, pool.image, pool.image_gb
    );
    text += &format!(
        "types {:?}\nzones {:?}\nspot {}\n",
        pool.types, pool.zones, pool.spot
    );
    text += &format!("cost_per_hour_most {:?}\n", pool.max_cost_per_hour);
    for time_text in TIMES {
        let time: jiff::Timestamp = time_text.parse().expect("a time");
        let size = pool.calendar.size_at(time.as_millisecond() as u64);
        text += &format!(
            "{time_text} {} to {}\n",
            size.min_machines, size.max_machines
        );
    }
    text
}

#[test]
fn declaration_parses_to_the_golden_values() {
    let short = PoolSpec {
        name: "short".to_owned(),
        types: Vec::new(),
        zones: Vec::new(),
        spot: false,
        max_cost_per_hour: None,
        time_zone: String::new(),
        windows: Vec::new(),
        ..full_spec()
    };
    let pools = parse(&[full_spec(), short]).expect("both are valid");
    let actual: Vec<String> = pools.iter().map(describe).collect();
    let actual = actual.join("\n");
    assert!(actual == include_str!("golden/declaration.txt"), "{actual}");
}

/// A change that makes a valid declaration invalid.
type Change = fn(&mut PoolSpec);

/// The changes are in the order of the lines of `golden/wrong_fields.txt`, which holds the
/// field that each error names.
#[test]
fn invalid_declaration_names_the_golden_field() {
    let changes: [Change; 18] = [
        |p| p.name = "Exam Help".to_owned(),
        |p| p.team = "reader".to_owned(),
        |p| p.image.clear(),
        |p| p.image_gb = 0.0,
        |p| p.zones = vec!["hall-a".to_owned(), "hall-x".to_owned()],
        |p| p.min_machines = 7,
        |p| p.max_cost_per_hour = Some(0.0),
        |p| p.time_zone = "Africa/Lagoss".to_owned(),
        |p| p.windows = vec![WindowSpec::default(); 33],
        |p| p.windows[0].weekdays = vec!["monday".to_owned()],
        |p| p.windows[0].from = "8:30".to_owned(),
        |p| p.windows[0].to = "24:01".to_owned(),
        |p| p.windows[0].first_date = "2026-13-01".to_owned(),
        |p| p.windows[0].last_date = "2026-11-01".to_owned(),
        |p| p.windows[1].last_days_of_month = Some(29),
        |p| p.windows[1].min_machines = Some(10),
        |p| p.windows[1].max_machines = Some(0),
        |p| {
            p.windows[1] = WindowSpec {
                min_machines: Some(1),
                ..p.windows[0].clone()
            }
        },
    ];
    let mut actual = String::new();
    for change in changes {
        let mut spec = full_spec();
        change(&mut spec);
        let error = parse(&[spec]).expect_err("it is invalid");
        actual += &format!("{}: {}\n", error.pool, error.field);
    }
    assert!(
        actual == include_str!("golden/wrong_fields.txt"),
        "{actual}"
    );
}
