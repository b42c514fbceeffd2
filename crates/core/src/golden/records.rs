//! Golden tests of the values in the key-value store.

use super::{compare, Case};
use crate::fixture::spec;
use crate::membership::format::FormatVersion;
use crate::records::{
    DemandRecord, JobHeadRecord, JobRecord, LeaderRecord, MachineRecord, NodeRecord,
    ProvisioningIntent, ShapeRecord, ShardId, ShardRecord, TaskBlockRecord,
};
use forkshift_pools::account::{ColdStart, PoolRequest, Price};
use forkshift_pools::{EndReason, Membership, PoolName, PoolState, UsageInterval};
use forkshift_wire::cloud::MachineType;
use forkshift_wire::users::{JobKind, JobSpec, JobStage};
use forkshift_wire::{JobId, MachineId, NodeName};
use serde::de::DeserializeOwned;
use serde::Serialize;
use serde_json::{from_str, from_value, to_string, to_value, Value};

/// The bytes of a record as a transaction contains it. Asserts that the bytes read back to the
/// same record.
fn stored<T: Serialize + DeserializeOwned>(name: &str, record: &T) -> Case {
    let value = to_value(record).expect("JSON");
    let bytes = value.to_string();
    let parsed: Value = from_str(&bytes).expect("JSON");
    let back: T = from_value(parsed).expect(name);
    assert_eq!(to_value(&back).expect("JSON"), value, "{name}");
    (name.to_owned(), bytes)
}

/// The bytes of a record that was read from `bytes`, which may omit fields.
fn read<T: Serialize + DeserializeOwned>(name: &str, bytes: &str) -> Case {
    let record: T = from_str(bytes).expect(name);
    (
        name.to_owned(),
        to_value(&record).expect("JSON").to_string(),
    )
}

fn machines(names: &[&str]) -> Vec<MachineId> {
    names.iter().map(|name| MachineId::new(name)).collect()
}

fn texts(names: &[&str]) -> Vec<String> {
    names.iter().map(|&name| name.to_owned()).collect()
}

fn pool() -> PoolName {
    PoolName::parse("exam-help").expect("a name")
}

#[test]
fn records_of_controllers_and_shards_match_the_golden_file() {
    let node = |blind, format| NodeRecord {
        incarnation: 5,
        receives_no_heartbeats: blind,
        format,
    };
    let leader = LeaderRecord {
        node: NodeName::new("berth-0"),
        incarnation: 5,
    };
    let shard = |want| ShardRecord {
        holder: NodeName::new("berth-0"),
        holder_incarnation: 5,
        epoch: 7,
        handover_to: want,
    };
    let cases = [
        stored("node_full", &node(true, FormatVersion::POOLS)),
        stored("node_least", &node(false, FormatVersion::FIRST)),
        read::<NodeRecord>("node_fields_left_out", r#"{"inc":5}"#),
        stored("leader", &leader),
        stored("share_full", &shard(Some(NodeName::new("berth-1")))),
        stored("share_least", &shard(None)),
        stored("epoch", &7_u64),
        stored("format_1", &FormatVersion::FIRST),
        stored("format_2", &FormatVersion::DEPENDENCIES),
        stored("format_3", &FormatVersion::POOLS),
        stored("format_newest", &FormatVersion::CURRENT),
    ];
    compare(include_str!("controllers.tsv"), &cases);
}

fn machine() -> MachineRecord {
    MachineRecord {
        shard: ShardId(2),
        machine_type: "big".to_owned(),
        zone: "hall-a".to_owned(),
        spot: true,
        addr: Some("10.1.0.1:9000".to_owned()),
        decommission_reason: Some("silent".to_owned()),
        reassign_to: Some(ShardId(3)),
        token_floor: 4,
        images: vec![("train:7".to_owned(), 4.5)],
        pool: Some(Membership {
            pool: pool(),
            state: PoolState::Warm,
            since_ms: 1000,
        }),
        charged_until_ms: 900,
    }
}

#[test]
fn records_of_machines_and_provisioning_match_the_golden_file() {
    let least = MachineRecord {
        addr: None,
        decommission_reason: None,
        reassign_to: None,
        token_floor: 0,
        images: Vec::new(),
        pool: None,
        charged_until_ms: 0,
        ..machine()
    };
    let intent = |recorded_count| ProvisioningIntent {
        machines_per_shard: vec![(ShardId(2), 3), (ShardId(4), 1)],
        machine_type: "big".to_owned(),
        zone: "hall-a".to_owned(),
        spot: true,
        recorded_count,
    };
    let rig = MachineType {
        name: "big".to_owned(),
        cpus: 96.0,
        gpus: 8.0,
        memory_gb: 768.0,
        cache_gb: 200.0,
        fetch_gb_per_s: 1.5,
        price_per_hour: 12.25,
        spot_price_per_hour: None,
        boot_s: 45.0,
        zones: texts(&["hall-a"]),
    };
    let cases = [
        stored("machine_full", &machine()),
        stored("machine_least", &least),
        read::<MachineRecord>(
            "machine_fields_left_out",
            r#"{"share":2,"type":"big","zone":"hall-a","spot":false}"#,
        ),
        stored("charter_full", &intent(2)),
        stored("charter_least", &intent(0)),
        stored("rig", &rig),
    ];
    compare(include_str!("machines.tsv"), &cases);
}

fn shape() -> ShapeRecord {
    ShapeRecord {
        milli_resources: (1500, 2000, 3250),
        count: 6,
        types: Some(texts(&["big"])),
        zones: Some(texts(&["hall-a"])),
        spot: true,
        is_headroom: true,
        may_reclaim: true,
        is_borrowing: true,
        is_gang: true,
    }
}

#[test]
fn records_of_demand_match_the_golden_file() {
    let least = ShapeRecord {
        types: None,
        zones: None,
        spot: false,
        is_headroom: false,
        may_reclaim: false,
        is_borrowing: false,
        is_gang: false,
        ..shape()
    };
    let demand = DemandRecord {
        revision: 17,
        unmet_shapes: vec![shape(), least.clone()],
        pending_shapes: vec![least.clone()],
        headroom_machines: machines(&["m-1"]),
        surplus_machines: machines(&["m-2"]),
        reclaimable_machines: machines(&["m-3"]),
        pool_machines: machines(&["m-4"]),
    };
    let told = to_string(&demand).expect("JSON");
    let cases = [
        stored("shape_full", &shape()),
        stored("shape_least", &least),
        read::<ShapeRecord>("shape_fields_left_out", r#"{"res":[1,2,3],"n":4}"#),
        stored("demand_full", &demand),
        ("demand_full_in_a_message".to_owned(), told),
        stored("demand_least", &DemandRecord::default()),
        read::<DemandRecord>("demand_fields_left_out", r#"{"rev":1,"shapes":[]}"#),
    ];
    compare(include_str!("demand.tsv"), &cases);
}

fn submission() -> JobSpec {
    let id = JobId::parse("j-412").expect("an id");
    JobSpec {
        zone: Some("hall-a".to_owned()),
        deadline_s: Some(60.0),
        dependencies: vec![JobId::parse("j-1").expect("an id")],
        ..spec(&id, "vision", JobKind::Gang, 4)
    }
}

#[test]
fn records_of_jobs_match_the_golden_file() {
    let record = |stage| JobRecord {
        spec: submission(),
        shard: ShardId(2),
        stage,
    };
    let block = TaskBlockRecord {
        last_attempt: 9,
        done: vec![(0, 2), (3, 4)],
        bound: vec![(2, 8, MachineId::new("m-1"))],
    };
    let head = JobHeadRecord {
        spec: submission(),
        cancelled: true,
        cancelled_at_ms: 2000,
        submitted_at_ms: 1000,
        tasks_per_block: Some(40),
        block: block.clone(),
    };
    let least = JobHeadRecord {
        cancelled: false,
        cancelled_at_ms: 0,
        submitted_at_ms: 0,
        tasks_per_block: None,
        block: TaskBlockRecord::default(),
        ..head.clone()
    };
    let mut head_left_out = to_value(&least).expect("JSON");
    let fields = head_left_out.as_object_mut().expect("an object");
    fields.retain(|field, _| field == "spec");
    let cases = [
        stored("job_pending", &record(JobStage::Queued)),
        stored("job_done", &record(JobStage::Done)),
        stored("job_aborted", &record(JobStage::Cancelled)),
        stored("job_head_full", &head),
        stored("job_head_least", &least),
        read::<JobHeadRecord>("job_head_fields_left_out", &head_left_out.to_string()),
        stored("task_block_full", &block),
        stored("task_block_least", &TaskBlockRecord::default()),
        read::<TaskBlockRecord>("task_block_fields_left_out", "{}"),
    ];
    compare(include_str!("jobs.tsv"), &cases);
}

#[test]
fn records_of_pools_match_the_golden_file() {
    let interval = |ended| UsageInterval {
        pool: pool(),
        machine: MachineId::new("m-1"),
        machine_type: "big".to_owned(),
        spot: true,
        state: PoolState::Fetching,
        from_ms: 1000,
        to_ms: 2000,
        end_reason: ended,
    };
    let asked = |to_ms| PoolRequest {
        pool: pool(),
        team: "vision".to_owned(),
        machines: 3,
        from_ms: 1000,
        to_ms,
    };
    let miss = ColdStart {
        pool: pool(),
        job: "j-412".to_owned(),
        tasks: 4,
        at_ms: 1000,
    };
    let price = |spot_hourly| Price {
        machine_type: "big".to_owned(),
        from_ms: 1000,
        hourly: 12.25,
        spot_hourly,
    };
    let interval_left_out = r#"{"pool":"p","machine":"m","type":"t","state":"up",
        "from_ms":1,"to_ms":2}"#;
    let cases = [
        stored("state_booting", &PoolState::Booting),
        stored("state_up", &PoolState::Up),
        stored("state_fetching", &PoolState::Fetching),
        stored("state_warm", &PoolState::Warm),
        stored("ended_handed_out", &EndReason::Allocated),
        stored("ended_reclaimed", &EndReason::Reclaimed),
        stored("ended_surplus", &EndReason::ScaledIn),
        stored("ended_withdrawn", &EndReason::PoolRemoved),
        stored("ended_stalled", &EndReason::FetchTimedOut),
        stored("ended_lost", &EndReason::Failed),
        stored("interval_full", &interval(Some(EndReason::Failed))),
        stored("interval_least", &interval(None)),
        read::<UsageInterval>("interval_fields_left_out", interval_left_out),
        stored("asked_full", &asked(Some(2000))),
        stored("asked_least", &asked(None)),
        stored("miss", &miss),
        stored("price_full", &price(Some(4.75))),
        stored("price_least", &price(None)),
        ("interval_key".to_owned(), interval(None).key()),
        ("asked_over_key".to_owned(), asked(Some(2000)).key()),
        ("asked_key".to_owned(), asked(None).key()),
        ("miss_key".to_owned(), miss.key()),
        ("price_key".to_owned(), price(None).key()),
    ];
    compare(include_str!("pools.tsv"), &cases);
}
