//! Golden encodings of the messages between controllers.

use crate::case::{compare, texts, Case};
use forkshift_wire::peer::*;

/// A message in the version of the format in which its body is sent.
fn message(name: &'static str, body: Body) -> Case {
    let envelope = Envelope {
        version: body.version(),
        from: "berth-0".to_owned(),
        incarnation: 0x0102_0304_0506_0708,
        epoch: 9,
        body,
    };
    encoded(name, &envelope)
}

/// Encodes a message in hexadecimal, and asserts that it is decoded to the same message.
fn encoded(name: &'static str, envelope: &Envelope) -> Case {
    let bytes = envelope.encode().expect("a message");
    let decoded = Envelope::decode(&bytes).expect("a message");
    assert_eq!(&decoded, envelope, "{name}");
    let hex = bytes.iter().map(|b| format!("{b:02x}"));
    (name, hex.collect())
}

fn shard_cases() -> Vec<Case> {
    let id = || "j-412".to_owned();
    let budget_request = |granted| Body::BudgetRequest {
        writes: 1500,
        requests: 2500,
        granted,
    };
    let new_job = Body::NewJob {
        shard: 2,
        spec: "{\"uid\":\"j-412\"}".to_owned(),
        submitted_at_ms: 1000,
        revision: 77,
    };
    let grant = Body::BudgetGrant {
        writes: 1500,
        requests: 2500,
    };
    let demand = Body::UnmetDemand {
        shard: 2,
        demand: "{\"rev\":1,\"shapes\":[]}".to_owned(),
    };
    vec![
        message("00_new_job", new_job),
        message("01_need", budget_request(false)),
        message("01_need_granted", budget_request(true)),
        message("02_grant", grant),
        message("03_demand", demand),
        message("04_cancel", Body::CancelJob { id: id() }),
    ]
}

fn forwarding_and_heartbeat_cases() -> Vec<Case> {
    let heartbeat = PeerHeartbeat {
        sent_at: 100,
        acknowledged: Some(HeartbeatAck {
            incarnation: 5,
            sent_at: 99,
        }),
        epochs: Some(vec![(1, 2), (3, 4)]),
        store_refused_for_ms: Some(250),
        settled_shards: vec![SettledShard {
            shard: 3,
            unsettled_machines: texts(&["m-1", "m-2"]),
        }],
    };
    let minimal = PeerHeartbeat {
        sent_at: 100,
        acknowledged: None,
        epochs: None,
        store_refused_for_ms: None,
        settled_shards: Vec::new(),
    };
    let response = |retry_after_s| Body::ForwardedResponse {
        incarnation: 5,
        request_number: 6,
        status: 503,
        body: b"{}".to_vec(),
        retry_after_s,
    };
    let forward = |body| Body::ForwardedRequest {
        request_number: 6,
        method: "POST".to_owned(),
        path: "/submissions".to_owned(),
        body,
    };
    vec![
        message("05_forward", forward(Some(b"{}".to_vec()))),
        message("05_forward_no_body", forward(None)),
        message("06_heartbeat_full", Body::Heartbeat(heartbeat)),
        message("06_heartbeat_least", Body::Heartbeat(minimal)),
        message("07_answer", response(Some(1))),
        message("07_answer_least", response(None)),
    ]
}

fn job_and_relay_cases() -> Vec<Case> {
    let id = || "j-412".to_owned();
    let job_ended = |cancelled| Body::JobEnded {
        id: id(),
        cancelled,
    };
    let inherit_priority = Body::InheritPriority {
        id: id(),
        priority: 3,
    };
    let relay_request = Body::RelayRequest {
        list_number: 8,
        machines: texts(&["m-1", "m-2"]),
    };
    let probe_request = Body::ProbeRequest {
        machines: texts(&["m-1"]),
    };
    let probe_result = Body::ProbeResult {
        heartbeat: b"{\"berth\":\"m-1\"}".to_vec(),
    };
    vec![
        message("08_job_over_done", job_ended(false)),
        message("08_job_over_cancelled", job_ended(true)),
        message("09_needed", inherit_priority),
        message("10_unheard", relay_request),
        message("11_probe", probe_request),
        message("12_probed", probe_result),
    ]
}

fn version_cases() -> Vec<Case> {
    let id = || "j-412".to_owned();
    let in_version = |version| Envelope {
        version,
        from: "b".to_owned(),
        incarnation: 1,
        epoch: 2,
        body: Body::CancelJob { id: id() },
    };
    vec![
        encoded("version_5", &in_version(FIRST_VERSION)),
        encoded("version_6", &in_version(FIRST_VERSION + 1)),
        encoded("version_7", &in_version(LATEST_VERSION)),
    ]
}

#[test]
fn messages_are_encoded_as_before() {
    let cases = [
        shard_cases(),
        forwarding_and_heartbeat_cases(),
        job_and_relay_cases(),
        version_cases(),
    ]
    .concat();
    compare(include_str!("peers.hex"), &cases);
}

#[test]
fn unsupported_versions_are_refused() {
    for version in [0, FIRST_VERSION - 1, LATEST_VERSION + 1] {
        let envelope = Envelope {
            version,
            from: "b".to_owned(),
            incarnation: 1,
            epoch: 2,
            body: Body::CancelJob {
                id: "j-1".to_owned(),
            },
        };
        let bytes = envelope.encode().expect("a message");
        let refused = Envelope::decode(&bytes);
        assert!(matches!(refused, Err(MessageError::UnsupportedVersion(v)) if v == version));
    }
}
