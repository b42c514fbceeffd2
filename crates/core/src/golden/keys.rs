//! Golden tests of the keys in the key-value store.

use super::{compare, Case};
use crate::config::StateLimits;
use crate::records::{
    cancellation_key, demand_key, job_key, machine_key, machine_type_key, node_key,
    provisioning_intent_key, shard_key, unfinished_job_key, unfinished_jobs_prefix, ShardId,
    CLUSTER_PREFIX, EPOCH_KEY, FINALIZED_FORMAT_KEY, LEADER_KEY,
};
use crate::shard::layout::BlockLayout;
use crate::store::view::ClusterView;
use forkshift_pools::account::{
    current_request_key, ACCOUNT_PREFIX, CURRENT_REQUEST_PREFIX, PRICE_PREFIX,
};
use forkshift_pools::PoolName;
use forkshift_wire::state::Item;
use forkshift_wire::{JobId, MachineId, NodeName};
use serde_json::{json, Value};

const LIMITS: StateLimits = StateLimits {
    rps: 80.0,
    write_rps: 30.0,
    value_bytes: 16_384,
    txn_ops: 12,
};

fn key(name: &str, key: impl Into<String>) -> Case {
    (name.to_owned(), key.into())
}

#[test]
fn keys_match_the_golden_file() {
    let job = JobId::parse("j-412").expect("an id");
    let shard = ShardId(2);
    let pool = PoolName::parse("exam-help").expect("a name");
    let unnamed = BlockLayout::from_head(None, &LIMITS);
    let named = BlockLayout::from_head(Some(40), &LIMITS);
    let cases = [
        key("cluster", CLUSTER_PREFIX),
        key("epoch", EPOCH_KEY),
        key("format", FINALIZED_FORMAT_KEY),
        key("leader", LEADER_KEY),
        key("share", shard_key(shard)),
        key("node", node_key(&NodeName::new("berth-0"))),
        key("machine", machine_key(&MachineId::new("m-1"))),
        key("charter", provisioning_intent_key("r-1")),
        key("rig", machine_type_key("big")),
        key("demand", demand_key(shard)),
        key("abort", cancellation_key(&job)),
        key("job", job_key(&job)),
        key("live", unfinished_jobs_prefix(shard)),
        key("live_head", unfinished_job_key(shard, &job, 0)),
        key("live_block", unfinished_job_key(shard, &job, 3)),
        key("unnamed_layout_head", unnamed.key(shard, &job, 0)),
        key("unnamed_layout_block", unnamed.key(shard, &job, 3)),
        key("named_layout_head", named.key(shard, &job, 0)),
        key("named_layout_block", named.key(shard, &job, 3)),
        key(
            "unnamed_layout_tasks_a_block",
            unnamed.task_range(0).1.to_string(),
        ),
        key("pools", ACCOUNT_PREFIX),
        key("pool_heads", CURRENT_REQUEST_PREFIX),
        key("pool_head", current_request_key(&pool)),
        key("prices", PRICE_PREFIX),
    ];
    compare(include_str!("keys.tsv"), &cases);
    assert_eq!(unnamed.parse_block("3"), Some(3));
    assert_eq!(named.parse_block("40-3"), Some(3));
    assert_eq!(named.parse_block("3"), None);
}

/// The view must assign every kind of cluster record by its key. A kind that it did not
/// recognize would silently be missing.
#[test]
fn view_reads_every_kind_of_cluster_record_from_its_key() {
    let records = [
        ("c/node/berth-0", json!({"inc": 5})),
        ("c/leader", json!({"node": "berth-0", "inc": 5})),
        ("c/epoch", json!(7)),
        ("c/format", json!(3)),
        (
            "c/share/2",
            json!({"holder": "berth-0", "inc": 5, "epoch": 7}),
        ),
        (
            "c/machine/m-1",
            json!({"share": 2, "type": "big", "zone": "hall-a", "spot": false}),
        ),
        (
            "c/charter/r-1",
            json!({"parts": [[2, 1]], "type": "big", "zone": "hall-a", "spot": false}),
        ),
        (
            "c/rig/big",
            json!({"name": "big", "cpus": 1, "mem_gb": 2, "hourly": 3}),
        ),
        ("c/demand/2", json!({"rev": 1, "shapes": []})),
        ("c/abort/j-412", json!({})),
    ];
    let item = |(key, value): (&str, Value)| Item {
        key: key.to_owned(),
        value,
        version: 4,
    };
    let mut view = ClusterView::default();
    view.replace_all(records.map(item).into(), 9);
    assert_eq!(view.nodes[&NodeName::new("berth-0")].record.incarnation, 5);
    assert_eq!(view.leader.expect("a leader").record.incarnation, 5);
    assert_eq!(view.epoch.expect("an epoch").record, 7);
    assert_eq!(view.finalized_format.expect("a format").version, 4);
    assert_eq!(view.shards[&ShardId(2)].record.epoch, 7);
    assert_eq!(
        view.machines[&MachineId::new("m-1")].record.shard,
        ShardId(2)
    );
    assert_eq!(view.provisioning_intents["r-1"].record.count(), 1);
    assert_eq!(view.machine_types["big"].record.name, "big");
    assert_eq!(view.demands[&ShardId(2)].record.revision, 1);
    assert!(view.cancellations.contains_key(&JobId::new("j-412")));
}
