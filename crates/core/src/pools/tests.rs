//! Tests of membership in warm pools. The simulated days of the testkit cover the other cases.

use crate::fixture::{Fixture, WALL};
use crate::io::Effect;
use crate::records::{machine_key, MachineRecord, ShardId};
use forkshift_pools::{EndReason, Membership, PoolName, PoolState, UsageInterval};
use forkshift_wire::state::{Transaction, Write};
use forkshift_wire::MachineId;
use serde_json::from_value;

/// Time at which the machine's membership began.
const SINCE: u64 = WALL - 60_000;

/// Records the machine as a member of a pool.
fn record_membership(fixture: &mut Fixture) {
    let id = fixture.machine.clone();
    let versioned = fixture.node.view.machines.get_mut(&id).expect("a record");
    versioned.record.pool = Some(Membership {
        pool: PoolName::parse("help").expect("a name"),
        state: PoolState::Warm,
        since_ms: SINCE,
    });
    let record = versioned.record.clone();
    let machine = fixture.shard().machines.get_mut(&id).expect("it is ours");
    machine.pool.update_from_record(&record);
}

/// The transactions among the effects.
fn sent_transactions(effects: &[Effect]) -> Vec<Transaction> {
    let bodies = effects.iter().filter_map(|e| match e {
        Effect::Call { path, body, .. } if path == "/txn" => body.as_deref(),
        _ => None,
    });
    bodies
        .map(|body| serde_json::from_slice(body).expect("a transaction"))
        .collect()
}

/// The machine record that a transaction writes, and the account row that the same transaction
/// writes. The record is `None` if the transaction removes it.
fn machine_change(
    effects: &[Effect],
    id: &MachineId,
) -> (Option<MachineRecord>, Option<UsageInterval>) {
    let key = machine_key(id);
    let touches = |w: &Write| match w {
        Write::Put { key: written, .. } => *written == key,
        Write::Remove { key: written } => *written == key,
    };
    let all = sent_transactions(effects);
    let transaction = all
        .iter()
        .find(|transaction| transaction.writes.iter().any(touches))
        .expect("a change");
    let mut found = (None, None);
    for write in &transaction.writes {
        match write {
            Write::Put {
                key: written,
                value,
                ..
            } if *written == key => {
                found.0 = from_value(value.clone()).ok();
            }
            Write::Put {
                key: written,
                value,
                ..
            } if written.starts_with("pool/") => {
                let is_new = transaction
                    .preconditions
                    .iter()
                    .any(|p| p.key == *written && p.version == 0);
                assert!(is_new, "{written} may exist already");
                found.1 = from_value(value.clone()).ok();
            }
            _ => {}
        }
    }
    found
}

/// The holder may not have recorded the end of the membership of a machine that the cloud has
/// deleted. The leader must close the membership when it removes the machine's record, or the
/// last charged interval would be missing from the account.
#[test]
fn leader_closes_the_membership_when_it_removes_the_record_of_a_machine() {
    for is_member in [true, false] {
        let mut fixture = Fixture::new();
        if is_member {
            record_membership(&mut fixture);
        }
        let id = fixture.machine.clone();
        let node = &mut fixture.node;
        node.leader
            .on_machines_deleted(&mut node.ctx, &node.view, vec![id.clone()], 200, b"{}");
        let (record, row) = machine_change(&fixture.step(0), &id);
        assert!(record.is_none(), "it is removed");
        assert_eq!(row.is_some(), is_member);
        let Some(row) = row else { continue };
        assert_eq!((row.from_ms, row.to_ms), (SINCE, WALL));
        assert_eq!(row.end_reason, Some(EndReason::Failed));
    }
}

/// A requested machine may have joined a pool since the request. It must be transferred only if
/// the shard has offered it as a pool's machine, and its membership must end in the same
/// transaction.
#[test]
fn pool_member_is_transferred_only_if_it_was_offered() {
    for is_offered in [true, false] {
        let mut fixture = Fixture::new();
        record_membership(&mut fixture);
        let id = fixture.machine.clone();
        let other = ShardId(fixture.shard.0 + 1);
        if let Some(versioned) = fixture.node.view.machines.get_mut(&id) {
            versioned.record.reassign_to = Some(other);
        }
        if is_offered {
            fixture
                .shard()
                .last_demand_sent
                .pool_machines
                .push(id.clone());
        }
        let node = &mut fixture.node;
        let shard = node.shards.get_mut(&fixture.shard).expect("it is ours");
        shard.transfer_machine_if_requested(&mut node.ctx, &node.view, &id);
        node.ctx.send_due_store_calls();
        let (record, row) = machine_change(&std::mem::take(&mut fixture.node.ctx.effects), &id);
        let record = record.expect("it is written");
        assert_eq!(record.reassign_to, None);
        assert_eq!(record.shard == other, is_offered);
        assert_eq!(record.pool.is_none(), is_offered);
        let ended = row.map(|row| (row.to_ms, row.end_reason));
        let expected = is_offered.then_some((WALL, Some(EndReason::Reclaimed)));
        assert_eq!(ended, expected);
    }
}
