//! Tests of parsing and validation of declarations.

use super::*;
use forkshift_wire::cloud::MachineType;

fn valid_spec() -> PoolSpec {
    PoolSpec {
        name: "exam-help".to_owned(),
        team: "readers".to_owned(),
        image: "img-07".to_owned(),
        image_gb: 34.0,
        types: vec!["big".to_owned()],
        zones: vec!["hall-a".to_owned()],
        min_machines: 2,
        max_machines: 6,
        max_cost_per_hour: Some(100.0),
        time_zone: "Africa/Lagos".to_owned(),
        windows: vec![WindowSpec::default()],
        ..PoolSpec::default()
    }
}

fn parse(specs: &[PoolSpec]) -> Result<Pools, PoolError> {
    Pools::parse(specs, &["readers"], &["hall-a".to_owned()])
}

fn window(change: impl FnOnce(&mut WindowSpec)) -> WindowSpec {
    let mut window = WindowSpec {
        from: "08:00".to_owned(),
        to: "18:00".to_owned(),
        ..WindowSpec::default()
    };
    change(&mut window);
    window
}

/// An invalid declaration: the change that makes a valid one invalid, the field that the
/// error names, and a part of the error's text.
type Case = (fn(&mut PoolSpec), &'static str, &'static str);

#[test]
#[allow(clippy::too_many_lines, reason = "a table of cases")]
fn invalid_declaration_is_refused_with_the_field_in_the_error() {
    let cases: [Case; 26] = [
        (|p| p.name = "Exam Help".to_owned(), "name", "a-z"),
        (|p| p.name = "x".repeat(41), "name", "1 to 40"),
        (|p| p.team = "reader".to_owned(), "team", "`reader`"),
        (|p| p.image.clear(), "image", "empty"),
        (|p| p.image_gb = 0.0, "image_gb", "above 0"),
        (|p| p.image_gb = f64::NAN, "image_gb", "above 0"),
        (
            |p| p.zones = vec!["hall-x".to_owned()],
            "zones[0]",
            "`hall-x`",
        ),
        (|p| p.min_machines = 7, "least", "above `most`"),
        (
            |p| (p.min_machines, p.max_machines) = (0, 0),
            "least",
            "`most` must be above 0",
        ),
        (
            |p| p.max_cost_per_hour = Some(0.0),
            "cost_per_hour_most",
            "above 0",
        ),
        (
            |p| p.time_zone = "Africa/Lagoss".to_owned(),
            "time_zone",
            "`Africa/Lagoss`",
        ),
        (|p| p.time_zone.clear(), "time_zone", "must be given"),
        (
            |p| p.windows = vec![WindowSpec::default(); 33],
            "windows",
            "at most 32",
        ),
        (
            |p| p.windows = vec![window(|w| w.from = "8:00".to_owned())],
            "windows[0].from",
            "`8:00`",
        ),
        (
            |p| p.windows = vec![window(|w| w.from = "24:00".to_owned())],
            "windows[0].from",
            "before 24:00",
        ),
        (
            |p| p.windows = vec![window(|w| w.to = "24:01".to_owned())],
            "windows[0].to",
            "`24:01`",
        ),
        (
            |p| p.windows = vec![window(|w| w.to = "17:60".to_owned())],
            "windows[0].to",
            "`17:60`",
        ),
        (
            |p| p.windows = vec![window(|w| w.to = "08:00".to_owned())],
            "windows[0].to",
            "begins",
        ),
        (
            |p| p.windows = vec![window(|w| w.first_date = "2026-02-30".to_owned())],
            "windows[0].first_date",
            "`2026-02-30`",
        ),
        (
            |p| p.windows = vec![window(|w| w.last_date = "soon".to_owned())],
            "windows[0].last_date",
            "`soon`",
        ),
        (
            |p| {
                p.windows = vec![window(|w| {
                    w.first_date = "2026-06-02".to_owned();
                    w.last_date = "2026-06-01".to_owned();
                })];
            },
            "windows[0].last_date",
            "before `first_date`",
        ),
        (
            |p| p.windows = vec![window(|w| w.weekdays = vec!["monday".to_owned()])],
            "windows[0].weekdays",
            "`monday`",
        ),
        (
            |p| p.windows = vec![window(|w| w.last_days_of_month = Some(29))],
            "windows[0].last_days_of_month",
            "1 to 28",
        ),
        (
            |p| p.windows = vec![window(|w| w.last_days_of_month = Some(0))],
            "windows[0].last_days_of_month",
            "1 to 28",
        ),
        (
            |p| p.windows = vec![window(|w| w.min_machines = Some(9))],
            "windows[0].least",
            "above `most`",
        ),
        (
            |p| p.windows = vec![window(|_| ()), window(|w| w.min_machines = Some(1))],
            "windows[1]",
            "contradicts windows[0]",
        ),
    ];
    for (n, (change, field, text)) in cases.into_iter().enumerate() {
        let mut spec = valid_spec();
        change(&mut spec);
        let error = parse(&[spec]).expect_err(field);
        assert_eq!(error.field, field, "case {n}: {error}");
        assert!(error.to_string().contains(text), "case {n}: {error}");
        assert!(error.to_string().starts_with("pool `"), "case {n}: {error}");
    }
}

#[test]
fn valid_declarations_are_parsed() {
    let mut always = valid_spec();
    always.name = "always".to_owned();
    (always.windows, always.time_zone) = (Vec::new(), String::new());
    let mut twice = valid_spec();
    twice.name = "twice".to_owned();
    twice.windows = vec![
        window(|_| ()),
        // Windows may overlap if their sizes are equal.
        window(|w| w.from = "17:00".to_owned()),
        window(|w| {
            (w.from, w.to) = ("18:00".to_owned(), "24:00".to_owned());
            w.max_machines = Some(3);
        }),
    ];
    let pools = parse(&[valid_spec(), always, twice]).expect("all are valid");
    assert_eq!(pools.iter().count(), 3);
    let name = PoolName::parse("twice").expect("a name");
    assert!(pools.get(&name).is_some());
}

#[test]
fn duplicate_name_is_refused() {
    let error = parse(&[valid_spec(), valid_spec()]).expect_err("twice");
    assert_eq!(error.to_string(), "pool `exam-help`: `name` is used twice");
}

fn catalog() -> Vec<MachineType> {
    let of = |name: &str, price, spot_price, cache_gb| MachineType {
        name: name.to_owned(),
        cpus: 8.0,
        gpus: 0.0,
        memory_gb: 16.0,
        cache_gb,
        fetch_gb_per_s: 1.0,
        price_per_hour: price,
        spot_price_per_hour: spot_price,
        boot_s: 45.0,
        zones: vec!["hall-a".to_owned()],
    };
    vec![
        of("big", 12.0, Some(4.0), 200.0),
        of("small", 1.0, None, 20.0),
    ]
}

#[test]
fn declaration_that_no_machine_type_satisfies_is_refused_with_the_field_in_the_error() {
    let cases: [Case; 7] = [
        (|_| (), "", ""),
        (|p| p.types = vec!["huge".to_owned()], "types[0]", "`huge`"),
        (
            |p| p.zones = vec!["hall-x".to_owned()],
            "zones[0]",
            "`hall-x`",
        ),
        (|p| p.image_gb = 201.0, "image_gb", "largest cache, 200 GB"),
        (
            |p| p.types = vec!["small".to_owned()],
            "image_gb",
            "largest cache, 20 GB",
        ),
        (
            |p| p.max_cost_per_hour = Some(11.9),
            "cost_per_hour_most",
            "12",
        ),
        (
            |p| {
                (p.types, p.image_gb) = (vec!["small".to_owned()], 10.0);
                p.spot = true;
            },
            "spot",
            "no allowed machine type is offered as spot",
        ),
    ];
    for (n, (change, field, text)) in cases.into_iter().enumerate() {
        let mut spec = valid_spec();
        change(&mut spec);
        let pools = Pools::parse(&[spec], &["readers"], &[]).expect("valid without the catalogue");
        let found = pools
            .iter()
            .next()
            .expect("a pool")
            .check_catalog(&catalog());
        match (found, field) {
            (Ok(()), "") => {}
            (Err(e), field) => {
                assert_eq!(e.field, field, "case {n}: {e}");
                assert!(e.to_string().contains(text), "case {n}: {e}");
            }
            (Ok(()), field) => panic!("case {n}: {field} was accepted"),
        }
    }
}
