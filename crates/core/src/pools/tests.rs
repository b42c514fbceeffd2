//! Tests of `pools` that need no whole day.

use crate::fixture::{Fixture, WALL};
use crate::io::Effect;
use crate::records::{machine_key, MachineRecord, ShardId};
use forkshift_pools::{Ended, Interval, Membership, PoolName, PoolState};
use forkshift_wire::state::{Transaction, Write};
use forkshift_wire::MachineId;
use serde_json::from_value;

/// When the machine's membership began.
const SINCE: u64 = WALL - 60_000;

/// The machine's record says that it is a pool's.
fn make_member(f: &mut Fixture) {
    let id = f.machine.clone();
    let versioned = f.node.view.machines.get_mut(&id).expect("a record");
    versioned.record.pool = Some(Membership {
        pool: PoolName::parse("help").expect("a name"),
        state: PoolState::Warm,
        since_ms: SINCE,
    });
    let record = versioned.record.clone();
    let machine = f.shard().machines.get_mut(&id).expect("it is ours");
    machine.pool.follow(&record);
}

/// Transactions that were sent.
fn transactions(effects: &[Effect]) -> Vec<Transaction> {
    let bodies = effects.iter().filter_map(|e| match e {
        Effect::Call { path, body, .. } if path == "/txn" => body.as_deref(),
        _ => None,
    });
    bodies
        .map(|body| serde_json::from_slice(body).expect("a transaction"))
        .collect()
}

/// The transaction that writes or removes a machine's record, and the row of an account
/// that is written with it.
fn change_of(effects: &[Effect], id: &MachineId) -> (Option<MachineRecord>, Option<Interval>) {
    let key = machine_key(id);
    let touches = |w: &Write| match w {
        Write::Put { put, .. } => *put == key,
        Write::Remove { remove } => *remove == key,
    };
    let all = transactions(effects);
    let transaction = all
        .iter()
        .find(|transaction| transaction.writes.iter().any(touches))
        .expect("a change");
    let mut found = (None, None);
    for write in &transaction.writes {
        match write {
            Write::Put { put, value, .. } if *put == key => {
                found.0 = from_value(value.clone()).ok();
            }
            Write::Put { put, value, .. } if put.starts_with("pool/") => {
                let is_new = transaction
                    .preconditions
                    .iter()
                    .any(|c| c.key == *put && c.version == 0);
                assert!(is_new, "{put} may be there already");
                found.1 = from_value(value.clone()).ok();
            }
            _ => {}
        }
    }
    found
}

/// The holder may not have noted the end of a machine that the cloud has deleted: its
/// time is closed with its record.
#[test]
fn the_leader_closes_a_membership_with_the_record_that_it_removes() {
    for is_member in [true, false] {
        let mut f = Fixture::new();
        if is_member {
            make_member(&mut f);
        }
        let id = f.machine.clone();
        let node = &mut f.node;
        node.leader
            .on_machines_deleted(&mut node.ctx, &node.view, vec![id.clone()], 200, b"{}");
        let (record, row) = change_of(&f.step(0), &id);
        assert!(record.is_none(), "it is removed");
        assert_eq!(row.is_some(), is_member);
        let Some(row) = row else { continue };
        assert_eq!((row.from_ms, row.to_ms), (SINCE, WALL));
        assert_eq!(row.ended, Some(Ended::Lost));
    }
}

/// A pool's machine goes to another shard only if it was offered, and its time for the
/// pool ends in the very transaction that gives it away.
#[test]
fn a_member_is_given_away_only_if_it_was_offered() {
    for is_offered in [true, false] {
        let mut f = Fixture::new();
        make_member(&mut f);
        let id = f.machine.clone();
        let other = ShardId(f.shard.0 + 1);
        if let Some(versioned) = f.node.view.machines.get_mut(&id) {
            versioned.record.reassign_to = Some(other);
        }
        if is_offered {
            f.shard().last_demand_sent.pool_machines.push(id.clone());
        }
        let node = &mut f.node;
        let shard = node.shards.get_mut(&f.shard).expect("it is ours");
        shard.transfer_machine(&mut node.ctx, &node.view, &id);
        node.ctx.send_due_store_calls();
        let (record, row) = change_of(&std::mem::take(&mut f.node.ctx.effects), &id);
        let record = record.expect("it is written");
        assert_eq!(record.reassign_to, None);
        assert_eq!(record.shard == other, is_offered);
        assert_eq!(record.pool.is_none(), is_offered);
        let ended = row.map(|row| (row.to_ms, row.ended));
        let expected = is_offered.then_some((WALL, Some(Ended::Reclaimed)));
        assert_eq!(ended, expected);
    }
}
