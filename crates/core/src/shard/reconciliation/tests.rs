//! Tests of `reconciliation`.

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
    matches!(pending, PendingCall::DeleteOwnMachines { .. })
}

fn deletes_machines(effects: &[Effect]) -> bool {
    let path = |e: &Effect| matches!(e, Effect::Call { path, .. } if path == "/machines/delete");
    effects.iter().any(path)
}

/// While no write lands, a machine that may hold a cancelled task was never
/// deleted: the deletion waited for its record.
#[test]
fn a_machine_with_a_cancelled_task_is_deleted_without_a_write() {
    let mut f = Fixture::new();
    let cancel = f.node.ctx.config.cancellation_timeout_ms;
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
    let begun = f.node.ctx.now;
    let mut deleted_at = None;
    while f.node.ctx.now < begun + cancel && deleted_at.is_none() {
        if deletes_machines(&f.step(500)) {
            deleted_at = Some(f.node.ctx.now - begun);
        }
    }
    let deleted_at = deleted_at.expect("it is deleted in time");
    let part = deleted_at as f64 / cancel as f64;
    assert!(
        (0.4..0.7).contains(&part),
        "after {deleted_at} of {cancel} ms"
    );
    // Without an answer nothing is unbound, and the request is repeated.
    f.answer(is_deletion, 0, &json!({}));
    assert_eq!(f.shard().jobs[&id].bound.len(), 1);
    let report_ms = f.node.ctx.config.heartbeat_interval_ms;
    let again = (0..4).any(|_| deletes_machines(&f.step(report_ms)));
    assert!(again, "it is tried again");
    f.answer(is_deletion, 200, &json!({}));
    for job in [&id, &other] {
        let bound = f.shard().jobs.get(job).map_or(0, |j| j.bound.len());
        assert_eq!(bound, 0, "{job} is unbound with the machine");
    }
    // An older heartbeat does not bind it again, nor is the machine used again.
    f.heartbeat(1, token, &[(&other, 0, TaskStage::Running)]);
    f.step(2_000);
    let bound = f.shard().jobs.get(&other).map_or(0, |j| j.bound.len());
    assert_eq!(bound, 0);
}

/// The deadline once began anew with every holder. It counts from the first
/// request; there is time to try a stop only if some is left.
#[test]
fn the_deadline_of_a_cancellation_outlives_its_holder() {
    // How long ago it was requested, as parts of the time; when the machine is
    // decommissioned at the latest.
    for (age, by) in [
        (0.0, 0.4),
        (0.2, 0.4),
        (0.34, 0.5),
        (0.5, 0.55),
        (0.9, 0.95),
    ] {
        let mut f = Fixture::new();
        let cancel = f.node.ctx.config.cancellation_timeout_ms;
        let ago = (cancel as f64 * age) as Ms;
        let id = f.job("j-1", JobKind::Service, 1);
        f.bind(&id, 0, StartState::Unknown);
        let mut head: JobHeadRecord = f.shard().jobs[&id].head_record();
        f.shard().forget_job(&id, 0);
        head.cancelled = true;
        head.cancelled_at_ms = WALL - ago;
        let item = Item {
            key: unfinished_job_key(f.shard, &id, 0),
            value: to_value(head).expect("a record"),
            version: 8,
        };
        f.recover_shard(vec![item]);
        let begun = f.node.ctx.now;
        let machine = f.machine.clone();
        let end = begun + (cancel as f64 * (by - age)) as Ms;
        while f.node.ctx.now < end && f.shard().machines[&machine].decommission_reason.is_none() {
            f.step(100);
        }
        let reason = f.shard().machines[&machine].decommission_reason.clone();
        assert!(reason.is_some(), "requested {ago} of {cancel} ms ago");
    }
}

/// A machine that got work from an earlier holder, who had no time to write its
/// address, was once never taken for silent.
#[test]
fn a_machine_with_tasks_and_no_address_can_be_silent() {
    for tasks in [true, false] {
        let mut f = Fixture::new();
        let id = f.job("j-1", JobKind::Service, 1);
        if tasks {
            f.bind(&id, 0, StartState::Unknown);
        }
        let machine = f.machine.clone();
        let m = f.shard().machines.get_mut(&machine).expect("it is there");
        (m.addr, m.last_heartbeat_at) = (None, None);
        f.node.ctx.now += f.node.ctx.config.lease_ms;
        f.node.ctx.has_valid_lease = true;
        let deadline = removal_deadline(&f.node.ctx, &f.node.shards[&f.shard].machines[&machine]);
        assert_eq!(deadline.is_err(), tasks, "with tasks: {tasks}");
    }
}
