//! Tests of [`heartbeats`](super).

use super::*;
use crate::fixture::Fixture;
use crate::records::MachineRecord;
use forkshift_wire::users::JobKind;

/// Returns the state of a start, given the holder's current fencing token.
type StartStateForToken = fn(u64) -> StartState;

fn by_earlier_holder(_: u64) -> StartState {
    StartState::Unknown
}

fn never_sent(_: u64) -> StartState {
    StartState::NotSent
}

fn under_token(token: u64) -> StartState {
    StartState::SentByThisHolder {
        token,
        incarnation: 1,
    }
}

fn under_previous_token(token: u64) -> StartState {
    under_token(token - 1)
}

/// Name of the case, as who sent the start and what the heartbeat echoes; state of the start;
/// incarnation in the heartbeat; its token relative to the current one; whether the task is
/// unbound.
type UnlistedCase = (&'static str, StartStateForToken, u64, i64, bool);

#[rustfmt::skip]
const UNLISTED_CASES: [UnlistedCase; 9] = [
    ("an earlier holder, an earlier token", by_earlier_holder, 1, -1, false),
    ("an earlier holder, an earlier token of a later incarnation", by_earlier_holder, 2, -1, false),
    ("an earlier holder, this holder's token", by_earlier_holder, 1, 0, true),
    ("this holder, the token of the start", under_token, 1, 0, false),
    ("this holder, an older token", under_token, 1, -1, false),
    ("this holder, a newer token", under_previous_token, 1, 0, true),
    ("this holder, a later incarnation", under_token, 2, 0, true),
    ("this holder, an older token of a later incarnation", under_token, 2, -1, true),
    ("never sent", never_sent, 2, 0, false),
];

/// Outdated heartbeats may reach a new holder before any current one. If a heartbeat does not
/// list a task, only a token issued after the start, or a later incarnation, proves that the
/// start cannot be executed any more.
#[test]
fn a_task_is_unbound_only_by_a_newer_token_or_incarnation() {
    for (name, start_state, incarnation, token_offset, is_unbound) in UNLISTED_CASES {
        let mut f = Fixture::new();
        let id = f.job("j-1", JobKind::Service, 1);
        let current_token = f.token();
        f.bind(&id, 0, start_state(current_token));
        let machine = f.machine.clone();
        f.shard()
            .machines
            .get_mut(&machine)
            .expect("the key exists")
            .has_call_in_flight = true;
        f.heartbeat(
            incarnation,
            current_token.saturating_add_signed(token_offset),
            &[],
        );
        let has_no_bindings = f.shard().jobs[&id].bindings.is_empty();
        assert_eq!(has_no_bindings, is_unbound, "{name}");
        let is_quota_free = f.shard().quotas[0].used.is_zero();
        assert_eq!(is_quota_free, is_unbound, "{name}: resources in the quota");
    }
}

/// Delayed copies of heartbeats, also from earlier incarnations of the worker, must not
/// overwrite newer state.
#[test]
fn outdated_heartbeats_are_dropped() {
    for (incarnation, sequence_steps, expected) in
        [(1, 1, true), (1, 0, false), (0, 5, false), (2, 0, true)]
    {
        let mut f = Fixture::new();
        let token = f.token();
        f.heartbeat(1, token, &[]);
        let mut copy = f.heartbeat_message(incarnation, token, &[]);
        f.heartbeat(1, token, &[]);
        copy.sequence += sequence_steps * 2;
        let Fixture { node, shard, .. } = &mut f;
        let shard = node.shards.get_mut(shard).expect("the shard is held");
        let is_processed = shard.on_worker_heartbeat(&mut node.ctx, &copy);
        assert_eq!(
            is_processed, expected,
            "incarnation {incarnation}, {sequence_steps} sequence steps"
        );
    }
}

/// The fencing tokens of a new holder must be higher than those of all earlier holders of the
/// shard, and of the shards to which the machine belonged before.
#[test]
fn the_tokens_of_a_new_holder_are_higher_than_all_earlier_ones() {
    let mut f = Fixture::new();
    let machine = f.machine.clone();
    let record: MachineRecord = f.node.view.machines[&machine].record.clone();
    let first = f.shard().epoch << crate::shard::TOKEN_COUNTER_BITS;
    for (floor, expected) in [
        (0, first),
        (first - 1, first),
        (first, first + 1),
        (first + 7, first + 8),
    ] {
        let record = MachineRecord {
            token_floor: floor,
            ..record.clone()
        };
        assert_eq!(f.shard().first_token(&record), expected, "floor {floor}");
    }
}

/// An unexpected task of a finished job whose last write is in flight is stopped but not
/// bound: the binding would stay on its machine after the job is forgotten.
#[test]
fn an_unexpected_task_of_a_finished_job_is_not_bound() {
    for cancelled in [false, true] {
        let mut f = Fixture::new();
        let id = f.job("j-1", JobKind::Service, 1);
        f.shard()
            .jobs
            .get_mut(&id)
            .expect("the key exists")
            .is_cancelled = cancelled;
        let token = f.token();
        f.heartbeat(1, token, &[(&id, 0, TaskStage::Running)]);
        let bound = f.shard().jobs[&id].bindings.len();
        assert_eq!(bound, usize::from(!cancelled), "cancelled: {cancelled}");
        let machine = f.machine.clone();
        let orphans = f.shard().machines[&machine].orphans.len();
        assert_eq!(orphans, usize::from(cancelled), "cancelled: {cancelled}");
    }
}
