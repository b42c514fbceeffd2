//! Tests of [`reconciliation`](super).

use super::*;
use crate::fixture::{Fixture, WALL};
use crate::io::Effect;
use crate::pending_call::PendingCall;
use crate::records::{unfinished_job_key, JobHeadRecord};
use forkshift_wire::state::Item;
use forkshift_wire::users::JobKind;
use forkshift_wire::workers::TaskStage;
use serde_json::{json, to_value};

fn is_deletion(pending: &PendingCall) -> bool {
    matches!(pending, PendingCall::DeleteShardMachines { .. })
}

fn deletes_machines(effects: &[Effect]) -> bool {
    let path = |e: &Effect| matches!(e, Effect::Call { path, .. } if path == "/machines/delete");
    effects.iter().any(path)
}

/// A machine that may run a cancelled task must be deleted in time even while no write to the
/// store succeeds. The deletion used to wait for the machine's record.
#[test]
fn a_machine_with_a_cancelled_task_is_deleted_without_a_write() {
    let mut f = Fixture::new();
    let timeout_ms = f.node.ctx.config.cancellation_timeout_ms;
    let id = f.job("j-1", JobKind::Service, 1);
    let other = f.job("j-2", JobKind::Service, 1);
    let (token, incarnation) = (f.token(), 1);
    f.bind(&id, 0, StartState::SentByThisHolder { token, incarnation });
    f.bind(
        &other,
        0,
        StartState::SentByThisHolder { token, incarnation },
    );
    f.request(1, "POST", "/submissions/j-1/abort");
    f.lose_lease();
    let started_at = f.node.ctx.now;
    let mut deleted_at = None;
    while f.node.ctx.now < started_at + timeout_ms && deleted_at.is_none() {
        if deletes_machines(&f.step(500)) {
            deleted_at = Some(f.node.ctx.now - started_at);
        }
    }
    let deleted_at = deleted_at.expect("the machine is deleted in time");
    let fraction = deleted_at as f64 / timeout_ms as f64;
    assert!(
        (0.4..0.7).contains(&fraction),
        "after {deleted_at} of {timeout_ms} ms"
    );
    // Without a response nothing is unbound, and the request is repeated.
    f.answer(is_deletion, 0, &json!({}));
    assert_eq!(f.shard().jobs[&id].bindings.len(), 1);
    let heartbeat_interval_ms = f.node.ctx.config.heartbeat_interval_ms;
    let again = (0..4).any(|_| deletes_machines(&f.step(heartbeat_interval_ms)));
    assert!(again, "the deletion is requested again");
    f.answer(is_deletion, 200, &json!({}));
    for job in [&id, &other] {
        let bound = f.shard().jobs.get(job).map_or(0, |j| j.bindings.len());
        assert_eq!(bound, 0, "{job} is unbound with the machine");
    }
    // An outdated heartbeat must not bind the task again, and the machine must not be used
    // again.
    f.heartbeat(1, token, &[(&other, 0, TaskStage::Running)]);
    f.step(2_000);
    let bound = f.shard().jobs.get(&other).map_or(0, |j| j.bindings.len());
    assert_eq!(bound, 0);
}

/// The cancellation timeout runs from the first request and must not restart with a new
/// holder. The new holder gives the tasks time to stop only if some of the timeout is left.
#[test]
fn the_cancellation_timeout_runs_from_the_first_request() {
    // Age of the request when the new holder takes the shard, and latest age for the
    // decommissioning, as fractions of the timeout.
    for (age_fraction, latest_fraction) in [
        (0.0, 0.4),
        (0.2, 0.4),
        (0.34, 0.5),
        (0.5, 0.55),
        (0.9, 0.95),
    ] {
        let mut f = Fixture::new();
        let timeout_ms = f.node.ctx.config.cancellation_timeout_ms;
        let age_ms = (timeout_ms as f64 * age_fraction) as Ms;
        let id = f.job("j-1", JobKind::Service, 1);
        f.bind(&id, 0, StartState::Unknown);
        let mut head: JobHeadRecord = f.shard().jobs[&id].head_record();
        f.shard().remove_job(&id, 0);
        head.cancelled = true;
        head.cancelled_at_ms = WALL - age_ms;
        let item = Item {
            key: unfinished_job_key(f.shard, &id, 0),
            value: to_value(head).expect("a record"),
            version: 8,
        };
        f.recover_shard(vec![item]);
        let started_at = f.node.ctx.now;
        let machine = f.machine.clone();
        let end = started_at + (timeout_ms as f64 * (latest_fraction - age_fraction)) as Ms;
        while f.node.ctx.now < end && f.shard().machines[&machine].decommission_reason.is_none() {
            f.step(100);
        }
        let reason = f.shard().machines[&machine].decommission_reason.clone();
        assert!(
            reason.is_some(),
            "requested {age_ms} of {timeout_ms} ms ago"
        );
    }
}

/// A machine with tasks but no recorded address must be decommissioned when it is silent. An
/// earlier holder placed the tasks and did not get to write the address.
#[test]
fn a_silent_machine_with_tasks_but_no_address_is_decommissioned() {
    for tasks in [true, false] {
        let mut f = Fixture::new();
        let id = f.job("j-1", JobKind::Service, 1);
        if tasks {
            f.bind(&id, 0, StartState::Unknown);
        }
        let machine = f.machine.clone();
        let m = f
            .shard()
            .machines
            .get_mut(&machine)
            .expect("the machine is in the shard");
        (m.addr, m.last_heartbeat_at) = (None, None);
        f.node.ctx.now += f.node.ctx.config.lease_ms;
        f.node.ctx.has_valid_lease = true;
        let deadline =
            decommission_deadline(&f.node.ctx, &f.node.shards[&f.shard].machines[&machine]);
        assert_eq!(deadline.is_err(), tasks, "with tasks: {tasks}");
    }
}

/// The token is raised whenever attempts are forgotten that were started under it. Tokens beyond
/// those of the holder's epoch would be taken for a newer holder's, so a machine is replaced
/// before it needs them.
#[test]
fn a_machine_is_decommissioned_before_its_tokens_reach_the_next_epoch() {
    for (tokens_left, is_decommissioned) in [(1 << 20, false), (1 << 10, true)] {
        let mut f = Fixture::new();
        let machine = f.machine.clone();
        let next_epoch = (f.shard().epoch + 1) << crate::shard::TOKEN_COUNTER_BITS;
        let token = next_epoch - tokens_left;
        let m = f.shard().machines.get_mut(&machine).expect("a machine");
        m.token = token;
        f.heartbeat(1, token, &[]);
        f.step(1);
        let reason = &f.shard().machines[&machine].decommission_reason;
        assert_eq!(reason.is_some(), is_decommissioned, "{tokens_left} left");
    }
}
