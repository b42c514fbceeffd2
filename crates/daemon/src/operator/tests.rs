//! Tests of `operator`.

use super::*;

#[test]
fn settings_are_read_and_checked_field_by_field() {
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
    for (text, wrong) in cases {
        match (parse(text), wrong) {
            (Ok(_), None) => {}
            (Err(e), Some(field)) => assert!(e.to_string().contains(field), "{text}: {e}"),
            (Ok(_), Some(_)) => panic!("{text:?} was taken"),
            (Err(e), None) => panic!("{text:?}: {e}"),
        }
    }
    assert_eq!(parse("round_s: 0.5").unwrap().round_s, 0.5);
    assert_eq!(parse("").unwrap().spare, Operator::default().spare);
}
