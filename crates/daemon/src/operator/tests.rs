//! Tests of `operator`.

use super::*;

const SETTINGS: &str = include_str!("../../../../examples/settings.toml");

fn parse(text: &str) -> Result<Operator, OperatorError> {
    let settings = Settings::parse(SETTINGS).expect("the example is valid");
    super::parse(text, &settings)
}

#[test]
fn field_out_of_range_is_refused_by_name() {
    let cases = [
        ("", None),
        ("round_s: 0.5 # quick", None),
        ("weights { fit: 0.3333 cost: 0.2667 latency: 0.4 }", None),
        (
            "weights { fit: 0.3333 cost: 0.5 latency: 0.5 }",
            Some("`weights`"),
        ),
        (
            "weights { fit: 0.5 cost: 0.25 latency: 0.25 }",
            Some("`weights.fit`"),
        ),
        (
            "weights { fit: 0.3333 cost: -0.3333 latency: 1.0 }",
            Some("`weights`"),
        ),
        ("round_s: 0", Some("`round_s`")),
        ("round_gap_s: 11", Some("`round_gap_s`")),
        ("assign_s: -1", Some("`assign_s`")),
        ("spare: 11", Some("`spare`")),
        ("idle_boots: -0.1", Some("`idle_boots`")),
        ("silent_leases: 0", Some("`silent_leases`")),
        ("machines: 4000", None),
        ("machines: 0", Some("`machines`")),
        ("machines: -1", Some("")),
        ("speed: 1", Some("speed")),
        ("round_s: {", Some("")),
    ];
    for (text, refused) in cases {
        match (parse(text), refused) {
            (Ok(_), None) => {}
            (Err(e), Some(field)) => assert!(e.to_string().contains(field), "{text}: {e}"),
            (Ok(_), Some(_)) => panic!("{text:?} was accepted"),
            (Err(e), None) => panic!("{text:?}: {e}"),
        }
    }
    assert_eq!(parse("round_s: 0.5").unwrap().round_interval_s, 0.5);
    assert_eq!(
        parse("").unwrap().headroom_ratio,
        Operator::default().headroom_ratio
    );
}

/// The text of a valid declaration of a pool. `fields` are added, and override earlier values
/// of the same fields.
fn pool(fields: &str) -> String {
    format!("pools {{ name: 'help' team: 'readers' image: 'img-07' image_gb: 34 least: 2 most: 6 {fields} }}")
}

#[test]
fn invalid_pool_is_refused_with_its_name_and_field() {
    let cases = [
        (pool(""), None),
        (pool("types: 'g8' zones: 'hall-a' spot: true cost_per_hour_most: 40"), None),
        (
            pool("time_zone: 'Africa/Lagos' windows { weekdays: 'mon' from: '08:00' to: '18:00' last_days_of_month: 3 first_date: '2026-05-01' last_date: '2026-06-30' least: 1 most: 9 }"),
            None,
        ),
        (pool("team: 'writers'"), Some("pool `help`: `team` is `writers`")),
        (pool("zones: 'hall-x'"), Some("pool `help`: `zones[0]` is `hall-x`")),
        (pool("time_zone: 'Lagos'"), Some("pool `help`: `time_zone` is `Lagos`")),
        (pool("least: 7"), Some("pool `help`: `least` must not be above `most`")),
        (format!("{} {}", pool(""), pool("")), Some("pool `help`: `name` is used twice")),
        (pool("colour: 'red'"), Some("")),
    ];
    for (text, refused) in cases {
        match (parse(&text), refused) {
            (Ok(operator), None) => assert!(!operator.pools.is_empty(), "{text}"),
            (Err(e), Some(message)) => assert!(e.to_string().contains(message), "{text}: {e}"),
            (Ok(_), Some(_)) => panic!("{text} was accepted"),
            (Err(e), None) => panic!("{text}: {e}"),
        }
    }
}

/// The file that enables warm pools declares one pool, and the default file declares none.
#[test]
fn deployment_files_are_valid_with_and_without_pools() {
    let text = include_str!("../../../../deploy/warm-pools.textproto");
    assert_eq!(parse(text).expect("a valid file").pools.iter().count(), 1);
    let disabled = include_str!("../../../../deploy/operator.textproto");
    assert!(parse(disabled).expect("a valid file").pools.is_empty());
}

/// Formats parsed settings as text, each value after the name of its field in the file.
fn to_text(operator: &Operator) -> String {
    let mut text = format!(
        "weights.fit {:.4}\nweights.cost {:.4}\nweights.latency {:.4}\n",
        operator.weights.fit, operator.weights.cost, operator.weights.latency
    );
    text += &format!(
        "round_s {}\nround_gap_s {}\n",
        operator.round_interval_s, operator.min_round_interval_s
    );
    text += &format!(
        "assign_s {}\nspare {}\n",
        operator.assignment_interval_s, operator.headroom_ratio
    );
    text += &format!("idle_boots {}\n", operator.idle_boots);
    text += &format!("silent_leases {}\n", operator.max_silence_leases);
    text += &format!("machines {:?}\n", operator.expected_machines);
    for pool in operator.pools.iter() {
        text += &format!("pool {} team {} ", pool.name, pool.team);
        text += &format!("image {} image_gb {}\n", pool.image, pool.image_gb);
        text += &format!("  types {:?} zones {:?}", pool.types, pool.zones);
        text += &format!(" spot {}", pool.spot);
        text += &format!(" cost_per_hour_most {:?}\n", pool.max_cost_per_hour);
        // Minutes since 1970: the last minute of the first window, the minute after it, a
        // minute in the second window, and a minute in no window.
        for minutes in [29_939_999, 29_940_000, 29_979_210, 29_962_680] {
            let size = pool.calendar.size_at(minutes * 60_000);
            text += &format!(
                "  {minutes}: {} to {}\n",
                size.min_machines, size.max_machines
            );
        }
    }
    text
}

/// Guards against a change of the meaning of operators' files: each file must be parsed to the
/// values in `golden/values.txt`.
#[test]
fn golden_files_keep_their_values() {
    let files = [
        (
            "operator",
            include_str!("../../../../deploy/operator.textproto"),
        ),
        (
            "warm-pools",
            include_str!("../../../../deploy/warm-pools.textproto"),
        ),
        ("full", include_str!("golden/full.textproto")),
    ];
    let mut seen = String::new();
    for (name, text) in files {
        let operator = parse(text).expect("a valid file");
        seen += &format!("== {name}\n{}", to_text(&operator));
    }
    assert!(seen == include_str!("golden/values.txt"), "{seen}");
}
