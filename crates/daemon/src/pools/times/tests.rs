//! Tests of `times`.

use super::*;

#[test]
fn times_and_dates_are_parsed_and_formatted() {
    let cases = [
        ("1970-01-02", Some(86_400_000)),
        ("1970-01-01T00:00:01Z", Some(1_000)),
        ("1970-01-01T01:00:00+01:00", Some(0)),
        ("1970-01-01T00:00:00.5Z", Some(500)),
        ("1969-12-31", None),
        ("2026-02-30", None),
        ("yesterday", None),
        ("", None),
    ];
    for (text, expected) in cases {
        assert_eq!(parse(text), expected, "{text}");
    }
    assert_eq!(format(86_400_999), "1970-01-02T00:00:00Z");
}
