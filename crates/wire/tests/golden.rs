//! Golden bytes of all that this crate encodes: they must never change.
//!
//! Each fixture file has a line `name<TAB>bytes` for each case. A value is encoded, decoded
//! and encoded again, and both encodings are compared with the fixture.

use forkshift_wire::cloud::*;
use forkshift_wire::peer::*;
use forkshift_wire::settings::*;
use forkshift_wire::state::*;
use forkshift_wire::users::*;
use forkshift_wire::workers::*;
use forkshift_wire::{JobId, MachineId, NodeName, TaskRef};
use serde::de::DeserializeOwned;
use serde::Serialize;
use serde_json::json;

/// Name of a case and its encoding.
type Case = (&'static str, String);

/// Compares all cases with all lines of a fixture file, in order.
fn compare(fixture: &str, cases: &[Case]) {
    let to_line = |(name, bytes): &Case| format!("{name}\t{bytes}\n");
    let text: String = cases.iter().map(to_line).collect();
    let only_in = |one: &str, other: &str, sign: &str| -> String {
        let lines = one.lines().filter(|l| !other.lines().any(|o| o == *l));
        lines.map(|l| format!("{sign}{l}\n")).collect()
    };
    let missing = only_in(fixture, &text, "-");
    let added = only_in(&text, fixture, "+");
    assert!(
        text == fixture,
        "other bytes than before:\n{missing}{added}"
    );
}

/// Encodes a value; checks that decoding and encoding again gives the same bytes.
fn round_trip<T: Serialize + DeserializeOwned>(name: &'static str, value: &T) -> Case {
    let bytes = serde_json::to_string(value).expect("JSON");
    let decoded: T = serde_json::from_str(&bytes).expect(name);
    assert_eq!(
        serde_json::to_string(&decoded).expect("JSON"),
        bytes,
        "{name}"
    );
    (name, bytes)
}

/// Decodes bytes and encodes the value again.
fn reencode<T: Serialize + DeserializeOwned>(name: &'static str, bytes: &str) -> Case {
    let value: T = serde_json::from_str(bytes).expect(name);
    (name, serde_json::to_string(&value).expect("JSON"))
}

fn job(id: &str) -> JobId {
    JobId::parse(id).expect("an id")
}

fn task(index: u32) -> TaskRef {
    TaskRef {
        job: job("j-000412"),
        index,
    }
}

fn machines(names: &[&str]) -> Vec<MachineId> {
    names.iter().map(|name| MachineId::new(name)).collect()
}

fn texts(names: &[&str]) -> Vec<String> {
    names.iter().map(|&name| name.to_owned()).collect()
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
        types: Some(texts(&["big", "small"])),
        zone: Some("hall-a".to_owned()),
        one_zone: true,
        spread: false,
        spot: true,
        estimate_s: 600.0,
        checkpoint_s: 60.0,
        save_s: 5.0,
        deadline_s: Some(3600.0),
        dependencies: vec![job("j-1"), job("j-2")],
    }
}

#[test]
fn users() {
    let minimal = JobSpec {
        kind: JobKind::Array,
        priority: Priority::Normal,
        types: None,
        zone: None,
        one_zone: false,
        spread: true,
        spot: false,
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
    let refusal = Refusal {
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
    compare(include_str!("golden/users.tsv"), &cases);
}

/// A submission without any optional field.
fn minimal_submission() -> serde_json::Value {
    json!({"uid": "j-7", "roster": "r", "crew": "c", "shape": "standing", "rank": "idle",
        "shifts": 1, "cpus": 1, "accelerators": 0, "mem_gb": 2, "kit": "k", "image_gb": 0,
        "same_place": false, "scatter": false, "loaner": false, "expect_s": 1,
        "bookmark_s": 0, "stow_s": 0})
}

/// The parsed submission, or the text of the error, which is part of the response to users.
fn parsed(name: &'static str, body: &str) -> Case {
    match JobSpec::parse(body.as_bytes()) {
        Ok(spec) => (name, serde_json::to_string(&spec).expect("JSON")),
        Err(e) => (name, e.to_string()),
    }
}

#[test]
fn parsed_submissions() {
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
    compare(include_str!("golden/submissions_read.tsv"), &cases);
}

fn heartbeat() -> WorkerHeartbeat {
    let ended = TaskReport {
        task: task(3),
        attempt: 2,
        stage: TaskStage::Exited,
        cause: Some(ExitCause::Done),
        saved: true,
    };
    let running = TaskReport {
        task: task(4),
        attempt: 1,
        stage: TaskStage::Running,
        cause: None,
        saved: false,
    };
    WorkerHeartbeat {
        machine: MachineId::new("m-1"),
        addr: "10.1.0.1:9000".to_owned(),
        machine_type: "big".to_owned(),
        zone: "hall-a".to_owned(),
        spot: true,
        incarnation: 11,
        sequence: 12,
        token: 13,
        notice_s: Some(29.5),
        tasks: vec![ended, running],
        images: Some(HeldImages {
            held: texts(&["train:7"]),
            fetching: texts(&["train:8"]),
        }),
    }
}

fn commands() -> Vec<Command> {
    let command = |verb, index, grace_s| Command {
        verb,
        task: task(index),
        attempt: 9,
        grace_s,
    };
    vec![
        command(Verb::Start, 0, None),
        command(Verb::Stop, 1, Some(2.5)),
        command(Verb::Forget, 2, None),
    ]
}

fn command_request(prefetch: Vec<Prefetch>) -> CommandRequest {
    CommandRequest {
        token: 13,
        incarnation: 11,
        commands: commands(),
        prefetch,
    }
}

#[test]
fn workers() {
    let minimal = WorkerHeartbeat {
        spot: false,
        token: 0,
        notice_s: None,
        tasks: Vec::new(),
        images: None,
        ..heartbeat()
    };
    let image = Prefetch {
        image: "train:8".to_owned(),
        image_gb: 4.5,
    };
    let reply = HeartbeatReply {
        token: 13,
        commands: commands(),
    };
    let redirect = Redirect {
        report_to: Some("10.0.0.1:8080".to_owned()),
    };
    let short = r#"{"berth":"m-1","addr":"a:1","rig":"big","yard":"y","watch":1,"tally":2}"#;
    let cases = [
        round_trip("report_full", &heartbeat()),
        round_trip("report_least", &minimal),
        reencode::<WorkerHeartbeat>("report_fields_left_out", short),
        reencode::<TaskReport>(
            "shift_fields_left_out",
            r#"{"shift":"j-1/0","try":1,"stage":"running"}"#,
        ),
        round_trip("kits_none", &HeldImages::default()),
        reencode::<HeldImages>("kits_fields_left_out", r#"{"held":["a"]}"#),
        round_trip("stage_fetching", &TaskStage::Fetching),
        round_trip("stage_gathering", &TaskStage::WaitingForGang),
        round_trip("stage_running", &TaskStage::Running),
        round_trip("stage_flushing", &TaskStage::Saving),
        round_trip("stage_exited", &TaskStage::Exited),
        round_trip("cause_done", &ExitCause::Done),
        round_trip("cause_stopped", &ExitCause::Stopped),
        round_trip("cause_peers", &ExitCause::GangMemberLost),
        round_trip("cause_alone", &ExitCause::GangTimeout),
        round_trip("cause_error", &ExitCause::Error),
        round_trip("cause_full", &ExitCause::NoRoom),
        round_trip("cause_in_use", &ExitCause::InUse),
        round_trip("cause_no_such", &ExitCause::UnknownTask),
        round_trip("orders_full", &command_request(vec![image])),
        round_trip("orders_least", &command_request(Vec::new())),
        round_trip("report_accepted", &reply),
        round_trip("report_to_another", &redirect),
        round_trip("report_to_nobody", &Redirect::default()),
    ];
    compare(include_str!("golden/workers.tsv"), &cases);
}

fn machine_type() -> MachineType {
    MachineType {
        name: "big".to_owned(),
        cpus: 96.0,
        gpus: 8.0,
        memory_gb: 768.0,
        cache_gb: 200.0,
        fetch_gb_per_s: 1.5,
        price: 12.25,
        spot_price: Some(4.75),
        boot_s: 45.0,
        zones: texts(&["hall-a", "hall-b"]),
    }
}

#[test]
fn cloud() {
    let catalog = Catalog {
        types: vec![machine_type()],
    };
    let request = Rent {
        request: "r-1".to_owned(),
        machine_type: "big".to_owned(),
        zone: "hall-a".to_owned(),
        spot: true,
        count: 7,
    };
    let list = MachineList {
        machines: vec![Listed {
            id: MachineId::new("m-1"),
            addr: "10.1.0.1:9000".to_owned(),
            machine_type: "big".to_owned(),
            zone: "hall-a".to_owned(),
            spot: true,
            stage: MachineStage::Running,
            age_s: 61.5,
        }],
        more: true,
    };
    let names = Machines {
        machines: machines(&["m-1", "m-2"]),
    };
    let cases = [
        round_trip("catalog", &catalog),
        reencode::<MachineType>(
            "rig_fields_left_out",
            r#"{"name":"s","cpus":1,"mem_gb":2,"hourly":3}"#,
        ),
        round_trip("charter", &request),
        round_trip("berths", &names),
        round_trip("list", &list),
        reencode::<MachineList>(
            "list_fields_left_out",
            r#"{"berths":[{"uid":"m","rig":"r","yard":"y","stage":"failed"}]}"#,
        ),
        round_trip("stage_booting", &MachineStage::Booting),
        round_trip("stage_running", &MachineStage::Running),
        round_trip("stage_failed", &MachineStage::Failed),
        round_trip("stage_unknown", &MachineStage::Unknown),
        reencode::<MachineStage>("stage_other", r#""sunk""#),
    ];
    compare(include_str!("golden/cloud.tsv"), &cases);
}

#[test]
fn state() {
    let item = Item {
        key: "c/epoch".to_owned(),
        value: json!({"b": 1, "a": [1.5, null, "x"]}),
        version: 17,
    };
    let page = Page {
        items: vec![item.clone()],
        has_next: true,
        revision: 18,
    };
    let txn = Transaction {
        preconditions: vec![Precondition {
            key: "c/leader".to_owned(),
            version: 3,
        }],
        writes: vec![
            Write::Put {
                put: "c/leader".to_owned(),
                value: json!({"x": 1}),
                lease: Some(7),
            },
            Write::put("c/epoch".to_owned(), json!(4)),
            Write::Remove {
                remove: "job/j-1".to_owned(),
            },
        ],
    };
    let reply = TransactionReply {
        revision: 19,
        failed: texts(&["c/leader"]),
    };
    let changes = Changes {
        revision: 20,
        events: vec![
            Change::Put {
                put: "c/epoch".to_owned(),
                value: json!(5),
                version: 20,
            },
            Change::Remove {
                remove: "c/leader".to_owned(),
                version: 19,
            },
        ],
    };
    let cases = [
        round_trip("item", &item),
        reencode::<Item>("item_fields_left_out", r#"{"data":1,"stamp":2}"#),
        round_trip("page", &page),
        reencode::<Page>("page_fields_left_out", r#"{"items":[],"ledger_rev":1}"#),
        round_trip("txn_full", &txn),
        round_trip("txn_least", &Transaction::default()),
        reencode::<Transaction>("txn_fields_left_out", "{}"),
        round_trip("txn_reply", &reply),
        reencode::<TransactionReply>("txn_reply_fields_left_out", "{}"),
        round_trip("grant", &LeaseRequest { ttl_ms: 4000 }),
        round_trip("grant_reply", &LeaseReply { lease: 7 }),
        round_trip("changes", &changes),
        reencode::<Changes>("changes_fields_left_out", r#"{"ledger_rev":1}"#),
    ];
    compare(include_str!("golden/state.tsv"), &cases);
}

/// A message with the version that its body is sent with.
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

fn encoded(name: &'static str, envelope: &Envelope) -> Case {
    let bytes = envelope.encode().expect("a message");
    let decoded = Envelope::decode(&bytes).expect("a message");
    assert_eq!(&decoded, envelope, "{name}");
    let hex = bytes.iter().map(|b| format!("{b:02x}"));
    (name, hex.collect())
}

#[test]
fn peers() {
    let id = || "j-412".to_owned();
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
    let job_ended = |cancelled| Body::JobEnded {
        id: id(),
        cancelled,
    };
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
    let inherit_priority = Body::InheritPriority {
        id: id(),
        priority: 3,
    };
    let relay_request = Body::RelayRequest {
        list: 8,
        machines: texts(&["m-1", "m-2"]),
    };
    let probe_request = Body::ProbeRequest {
        machines: texts(&["m-1"]),
    };
    let probe_result = Body::ProbeResult {
        heartbeat: b"{\"berth\":\"m-1\"}".to_vec(),
    };
    let in_version = |version| Envelope {
        version,
        from: "b".to_owned(),
        incarnation: 1,
        epoch: 2,
        body: Body::CancelJob { id: id() },
    };
    let cases = [
        message("00_new_job", new_job),
        message("01_need", budget_request(false)),
        message("01_need_granted", budget_request(true)),
        message("02_grant", grant),
        message("03_demand", demand),
        message("04_cancel", Body::CancelJob { id: id() }),
        message("05_forward", forward(Some(b"{}".to_vec()))),
        message("05_forward_no_body", forward(None)),
        message("06_heartbeat_full", Body::Heartbeat(heartbeat)),
        message("06_heartbeat_least", Body::Heartbeat(minimal)),
        message("07_answer", response(Some(1))),
        message("07_answer_least", response(None)),
        message("08_job_over_done", job_ended(false)),
        message("08_job_over_cancelled", job_ended(true)),
        message("09_needed", inherit_priority),
        message("10_unheard", relay_request),
        message("11_probe", probe_request),
        message("12_probed", probe_result),
        encoded("version_5", &in_version(FIRST_VERSION)),
        encoded("version_6", &in_version(FIRST_VERSION + 1)),
        encoded("version_7", &in_version(VERSION)),
    ];
    compare(include_str!("golden/peers.hex"), &cases);
}

#[test]
fn unsupported_peer_versions_are_refused() {
    for version in [0, FIRST_VERSION - 1, VERSION + 1] {
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

fn addr(text: &str) -> std::net::SocketAddr {
    text.parse().expect("an address")
}

fn cluster() -> Cluster {
    Cluster {
        nodes: 3,
        zones: texts(&["hall-a", "hall-b"]),
        clock_off_ms: 2.5,
        teams: vec![Team {
            name: "vision".to_owned(),
            cpus: 10.0,
            cpus_max: 11.0,
            gpus: 12.0,
            gpus_max: 13.0,
        }],
        objectives: vec![Objective {
            kind: "wait".to_owned(),
            class: Some("nightly".to_owned()),
            within_s: 14.0,
            share: 0.95,
        }],
        workers: Workers {
            report_s: 1.0,
            lease_s: 10.0,
            gang_wait_s: 60.0,
            gang_peer_s: 3.0,
            cancel_s: 35.0,
        },
        state: StateLimits {
            rps: 80.0,
            write_rps: 30.0,
            value_kb: 8.0,
            txn_ops: 12,
            next: Some(NextStateLimits {
                rps: Some(70.0),
                write_rps: Some(20.0),
                value_kb: Some(4.0),
                txn_ops: Some(5),
            }),
        },
        cloud: CloudLimits {
            rps: 5.0,
            list_lag_s: 6.0,
        },
        limits: Limits {
            cpu_share: 0.5,
            memory_mb: 256.0,
            sockets: 600,
        },
    }
}

#[test]
fn settings() {
    let full = Settings {
        node: NodeName::new("berth-0"),
        zone: "hall-a".to_owned(),
        listen: addr("127.0.0.1:8080"),
        peer_listen: addr("127.0.0.1:8081"),
        peers: vec![Peer {
            node: NodeName::new("berth-1"),
            zone: "hall-b".to_owned(),
            addr: addr("127.0.0.2:8081"),
        }],
        services: Services {
            cloud: addr("127.0.0.1:2378"),
            state: addr("127.0.0.1:2379"),
        },
        cluster: cluster(),
    };
    let file = include_str!("golden/settings_full.toml");
    let read = Settings::parse(file).expect("good settings");
    assert_eq!(toml::to_string(&full).expect("TOML"), file);
    assert_eq!(toml::to_string(&read).expect("TOML"), file);
    let minimal = Settings::parse(include_str!("golden/settings_least.toml"));
    let minimal = toml::to_string(&minimal.expect("good settings")).expect("TOML");
    assert_eq!(
        minimal,
        include_str!("golden/settings_least_filled_in.toml")
    );
}
