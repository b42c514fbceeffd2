//! Tests of `ids`.

use super::*;

#[test]
fn job_ids_are_taken_in_one_form_only() {
    let cases = [
        ("j-000412", true),
        ("j-1", true),
        ("j-", false),
        ("J-1", false),
        ("j-12a", false),
        ("j-1/2", false),
        ("", false),
    ];
    for (text, good) in cases {
        assert_eq!(JobId::parse(text).is_some(), good, "{text:?}");
    }
    assert!(JobId::parse(&format!("j-{}", "1".repeat(80))).is_none());
}

#[test]
fn tasks_are_written_as_job_and_number() {
    let task: TaskRef = "j-000412/3".parse().unwrap();
    assert_eq!((task.job.as_str(), task.index), ("j-000412", 3));
    assert_eq!(task.to_string(), "j-000412/3");
    for bad in ["j-1", "j-1/", "j-1/-2", "x/1", "j-1/99999999999"] {
        assert!(bad.parse::<TaskRef>().is_err(), "{bad}");
    }
}
