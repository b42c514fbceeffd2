//! Golden encodings of the messages of users, and golden texts of refusals.

use crate::case::{compare, round_trip, texts, Case};
use forkshift_wire::users::*;
use forkshift_wire::JobId;
use serde_json::json;

fn job(id: &str) -> JobId {
    JobId::parse(id).expect("an id")
}

fn submission() -> JobSpec {
    JobSpec {
        id: job("j-000412"),
        class: "nightly".to_owned(),
        team: "vision".to_owned(),
        kind: JobKind::Gang,
        priority: Priority::High,
        tasks: 16,
        cpus: 1.5,
        gpus: 2.0,
        memory_gb: 3.25,
        image: "train:7".to_owned(),
        image_gb: 4.5,
        machine_types: Some(texts(&["big", "small"])),
        zone: Some("hall-a".to_owned()),
        require_same_zone: true,
        spread_over_zones: false,
        allow_spot: true,
        estimated_run_time_s: 600.0,
        checkpoint_interval_s: 60.0,
        checkpoint_save_time_s: 5.0,
        deadline_s: Some(3600.0),
        dependencies: vec![job("j-1"), job("j-2")],
    }
}

#[test]
fn messages_are_encoded_as_before() {
    let minimal = JobSpec {
        kind: JobKind::Array,
        priority: Priority::Normal,
        machine_types: None,
        zone: None,
        require_same_zone: false,
        spread_over_zones: true,
        allow_spot: false,
        deadline_s: None,
        dependencies: Vec::new(),
        ..submission()
    };
    let status = |done, running| JobStatus {
        id: job("j-000412"),
        stage: JobStage::Running,
        done,
        running,
    };
    let refusal = ErrorBody {
        error: "no such job".to_owned(),
    };
    let cases = [
        round_trip("submission_full", &submission()),
        round_trip("submission_least", &minimal),
        round_trip("shape_batch", &JobKind::Array),
        round_trip("shape_group", &JobKind::Gang),
        round_trip("shape_standing", &JobKind::Service),
        round_trip("rank_idle", &Priority::Low),
        round_trip("rank_standard", &Priority::Normal),
        round_trip("rank_urgent", &Priority::High),
        round_trip("rank_production", &Priority::Production),
        round_trip("stage_pending", &JobStage::Queued),
        round_trip("stage_running", &JobStage::Running),
        round_trip("stage_done", &JobStage::Done),
        round_trip("stage_aborted", &JobStage::Cancelled),
        round_trip("status_full", &status(Some(3), Some(5))),
        round_trip("status_least", &status(None, None)),
        round_trip("error", &refusal),
    ];
    compare(include_str!("users.tsv"), &cases);
}

/// A submission without any optional field.
fn minimal_submission() -> serde_json::Value {
    json!({"uid": "j-7", "roster": "r", "crew": "c", "shape": "standing", "rank": "idle",
        "shifts": 1, "cpus": 1, "accelerators": 0, "mem_gb": 2, "kit": "k", "image_gb": 0,
        "same_place": false, "scatter": false, "loaner": false, "expect_s": 1,
        "bookmark_s": 0, "stow_s": 0})
}

/// Parses a submission. The result is its encoding, or the text of the error, which is part of
/// the response to the user.
fn parsed(name: &'static str, body: &str) -> Case {
    match JobSpec::parse(body.as_bytes()) {
        Ok(spec) => (name, serde_json::to_string(&spec).expect("JSON")),
        Err(e) => (name, e.to_string()),
    }
}

#[test]
fn submissions_are_parsed_or_refused_as_before() {
    let with = |field: &str, value: serde_json::Value| {
        let mut body = minimal_submission();
        body[field] = value;
        body.to_string()
    };
    let cases = [
        parsed("fields_left_out", &minimal_submission().to_string()),
        parsed("awaits_null", &with("awaits", json!(null))),
        parsed(
            "awaits_twice",
            &with("awaits", json!(["j-1", "j-2", "j-1"])),
        ),
        parsed("unknown_field", &with("color", json!("red"))),
        parsed("empty", ""),
        parsed("not_an_object", "7"),
        parsed("no_fields", "{}"),
        parsed("uid_wrong", &with("uid", json!("x-1"))),
        parsed("awaits_wrong", &with("awaits", json!(["x"]))),
        parsed("roster_wrong", &with("roster", json!(""))),
        parsed("crew_wrong", &with("crew", json!(""))),
        parsed("shape_unknown", &with("shape", json!("round"))),
        parsed("shape_number", &with("shape", json!(5))),
        parsed("rank_unknown", &with("rank", json!("high"))),
        parsed("rank_number", &with("rank", json!(5))),
        parsed("shifts_wrong", &with("shifts", json!(0))),
        parsed("shifts_text", &with("shifts", json!("1"))),
        parsed("cpus_wrong", &with("cpus", json!(-1))),
        parsed("accelerators_wrong", &with("accelerators", json!(-1))),
        parsed("mem_gb_wrong", &with("mem_gb", json!(-1))),
        parsed("kit_wrong", &with("kit", json!(""))),
        parsed("image_gb_wrong", &with("image_gb", json!(-1))),
        parsed("expect_s_wrong", &with("expect_s", json!(-1))),
        parsed("bookmark_s_wrong", &with("bookmark_s", json!(-1))),
        parsed("stow_s_wrong", &with("stow_s", json!(-1))),
        parsed("due_s_wrong", &with("due_s", json!(-1))),
        parsed("rigs_wrong", &with("rigs", json!([]))),
    ];
    compare(include_str!("submissions_read.tsv"), &cases);
}
