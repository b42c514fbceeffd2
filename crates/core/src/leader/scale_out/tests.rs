//! Tests of scale-out.

use crate::fixture::Fixture;
use crate::io::Effect;
use crate::node::Node;
use crate::pending_call::PendingCall;
use crate::records::ProvisioningIntent;
use crate::store::view::Versioned;
use forkshift_wire::state::{Transaction, Write};
use serde_json::json;
use std::collections::BTreeSet;

fn is_provisioned_records_write(pending: &PendingCall) -> bool {
    matches!(pending, PendingCall::ProvisionedRecordsWrite { .. })
}

/// Names of the machines whose records the transactions among `effects` put.
fn recorded_machines(effects: &[Effect]) -> Vec<String> {
    let mut put = Vec::new();
    for effect in effects {
        let Effect::Call { path, body, .. } = effect else {
            continue;
        };
        if path != "/txn" {
            continue;
        }
        let transaction: Transaction =
            serde_json::from_slice(body.as_deref().unwrap_or_default()).expect("a transaction");
        let keys = transaction.writes.iter().map(Write::key);
        let new = keys.filter_map(|k| k.strip_prefix("c/machine/host-"));
        put.extend(new.map(str::to_owned));
    }
    put
}

/// The store's limit on writes per transaction decreases between the write of a batch
/// and its response. If the number of recorded machines were recomputed from the new limit
/// when the response arrives, machines would be recorded twice or not at all.
#[test]
fn each_machine_is_recorded_once_when_limits_fall_between_batches() {
    for provisioned in [5, 11, 12, 30] {
        let mut f = Fixture::new();
        // The controller is elected.
        f.step(0);
        let machine_type = "big".to_owned();
        let zone = "hall-a".to_owned();
        let intent = ProvisioningIntent {
            machines_per_shard: vec![(f.shard, provisioned)],
            machine_type,
            zone,
            spot: false,
            recorded_count: 0,
        };
        let versioned = Versioned {
            record: intent,
            version: 9,
        };
        f.node
            .view
            .provisioning_intents
            .insert("r-1".to_owned(), versioned);
        let names: Vec<String> = (0..provisioned).map(|i| format!("host-{i:03}")).collect();
        let body = json!({"berths": names}).to_string();
        let Node {
            leader, ctx, view, ..
        } = &mut f.node;
        leader.on_provisioned(ctx, view, "r-1", 200, body.as_bytes());
        let mut put = recorded_machines(&f.step(0));
        f.finalize_format();
        for revision in 20..40 {
            if !f
                .node
                .ctx
                .pending_calls
                .values()
                .any(is_provisioned_records_write)
            {
                break;
            }
            let mut effects = f.answer(
                is_provisioned_records_write,
                200,
                &json!({"ledger_rev": revision}),
            );
            effects.extend(f.step(1_000));
            put.extend(recorded_machines(&effects));
        }
        let distinct: BTreeSet<&String> = put.iter().collect();
        assert_eq!(put.len(), provisioned as usize, "of {provisioned}: {put:?}");
        assert_eq!(
            distinct.len(),
            provisioned as usize,
            "of {provisioned}: twice"
        );
    }
}
