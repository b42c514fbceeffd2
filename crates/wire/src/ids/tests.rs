//! Tests of `ids`.

use super::*;

#[test]
fn job_id_is_accepted_only_as_prefix_and_digits() {
    let cases = [
        ("j-000412", true),
        ("j-1", true),
        ("j-", false),
        ("J-1", false),
        ("j-12a", false),
        ("j-1/2", false),
        ("", false),
    ];
    for (text, is_valid) in cases {
        assert_eq!(JobId::parse(text).is_some(), is_valid, "{text:?}");
    }
    assert!(JobId::parse(&format!("j-{}", "1".repeat(80))).is_none());
}

#[test]
fn task_reference_round_trips_as_job_and_index() {
    let task: TaskRef = "j-000412/3".parse().unwrap();
    assert_eq!((task.job.as_str(), task.index), ("j-000412", 3));
    assert_eq!(task.to_string(), "j-000412/3");
    for malformed in ["j-1", "j-1/", "j-1/-2", "x/1", "j-1/99999999999"] {
        assert!(malformed.parse::<TaskRef>().is_err(), "{malformed}");
    }
}
