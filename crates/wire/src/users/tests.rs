//! Tests of `users`.

use super::*;
use serde_json::json;

/// A valid submission with an unknown field.
fn valid_submission() -> serde_json::Value {
    json!({"uid":"j-000412","roster":"train","crew":"vision","shape":"group","rank":"urgent","shifts":16,
        "cpus":8.0,"accelerators":1.0,"mem_gb":64.0,"kit":"img-07","image_gb":6.2,
        "rigs":["g8"],"yard":null,"same_place":true,"scatter":false,"loaner":true,
        "expect_s":240.0,"bookmark_s":30.0,"stow_s":4.0,"due_s":900.0,"later":[1]})
}

#[test]
fn submission_with_an_invalid_field_is_refused() {
    assert!(JobSpec::parse(valid_submission().to_string().as_bytes()).is_ok());
    let cases = [
        ("uid", json!("x-1")),
        ("uid", json!(7)),
        ("shape", json!("heap")),
        ("rank", json!("top")),
        ("shifts", json!(0)),
        ("shifts", json!(100_001)),
        ("shifts", json!(1.5)),
        ("cpus", json!(-1.0)),
        ("cpus", json!("8")),
        ("accelerators", json!(null)),
        ("rigs", json!([])),
        ("rigs", json!("g8")),
        ("same_place", json!(0)),
        ("due_s", json!(-2.0)),
        ("awaits", json!("j-1")),
        ("awaits", json!(["j-1", 2])),
        ("awaits", json!(["j-1", "k-2"])),
        ("awaits", json!([null])),
    ];
    for (field, value) in cases {
        let mut body = valid_submission();
        body[field] = value.clone();
        let read = JobSpec::parse(body.to_string().as_bytes());
        assert!(read.is_err(), "{field} = {value}");
    }
    for field in ["uid", "roster", "crew", "cpus", "loaner", "expect_s"] {
        let mut body = valid_submission();
        body.as_object_mut().unwrap().remove(field);
        assert!(
            JobSpec::parse(body.to_string().as_bytes()).is_err(),
            "{field}"
        );
    }
    for field in ["rigs", "yard", "due_s"] {
        let mut body = valid_submission();
        body.as_object_mut().unwrap().remove(field);
        assert!(
            JobSpec::parse(body.to_string().as_bytes()).is_ok(),
            "{field}"
        );
    }
    for body in ["", "[]", "nope", "{}", "null", "{\"uid\":"] {
        assert!(JobSpec::parse(body.as_bytes()).is_err(), "{body:?}");
    }
}

/// `null` and `[]` are decoded to the empty list, which is not encoded. Duplicates are
/// removed.
#[test]
fn dependencies_are_deduplicated_and_an_empty_list_is_omitted() {
    let cases = [
        (json!(null), vec![]),
        (json!([]), vec![]),
        (json!(["j-2", "j-1", "j-2"]), vec!["j-2", "j-1"]),
    ];
    for (value, expected) in cases {
        let mut body = valid_submission();
        body["awaits"] = value.clone();
        let spec = JobSpec::parse(body.to_string().as_bytes()).expect("a submission");
        let ids: Vec<&str> = spec.dependencies.iter().map(JobId::as_str).collect();
        assert_eq!(ids, expected, "{value}");
        let written = serde_json::to_value(&spec).expect("a submission");
        assert_eq!(written.get("awaits").is_some(), !expected.is_empty());
    }
    assert!(JobSpec::parse(valid_submission().to_string().as_bytes())
        .is_ok_and(|s| s.dependencies.is_empty()));
}
