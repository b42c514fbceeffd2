//! Tests of `heartbeats`.

use super::*;
use crate::fixture::Fixture;
use crate::records::MachineRecord;
use forkshift_wire::users::JobKind;

/// What a heartbeat proves of a task that it does not list. Old heartbeats
/// reach a new holder, too, before anything newer has: only a token minted after
/// the start proves that the task cannot come any more.
#[test]
fn a_task_is_unbound_only_by_a_newer_token_or_incarnation() {
    // Who sent the start; the message's incarnation, and its token as measured by
    // the one that is used now; whether the task is unbound.
    type Case = (&'static str, fn(u64) -> StartState, u64, i64, bool);
    let cases: [Case; 9] = [
        (
            "an earlier holder, a heartbeat from before this one",
            |_| StartState::Unknown,
            1,
            -1,
            false,
        ),
        (
            "the same, of a later incarnation",
            |_| StartState::Unknown,
            2,
            -1,
            false,
        ),
        (
            "an earlier holder, our token",
            |_| StartState::Unknown,
            1,
            0,
            true,
        ),
        (
            "ours, the token that it came with",
            |t| StartState::SentByUs {
                token: t,
                incarnation: 1,
            },
            1,
            0,
            false,
        ),
        (
            "ours, an older token",
            |t| StartState::SentByUs {
                token: t,
                incarnation: 1,
            },
            1,
            -1,
            false,
        ),
        (
            "ours, raised since",
            |t| StartState::SentByUs {
                token: t - 1,
                incarnation: 1,
            },
            1,
            0,
            true,
        ),
        (
            "ours, a later incarnation",
            |t| StartState::SentByUs {
                token: t,
                incarnation: 1,
            },
            2,
            0,
            true,
        ),
        (
            "ours, a later incarnation's old token",
            |t| StartState::SentByUs {
                token: t,
                incarnation: 1,
            },
            2,
            -1,
            true,
        ),
        ("never sent", |_| StartState::NotSent, 2, 0, false),
    ];
    for (name, sent, incarnation, token, is_unbound) in cases {
        let mut f = Fixture::new();
        let id = f.job("j-1", JobKind::Service, 1);
        let used = f.token();
        f.bind(&id, 0, sent(used));
        let machine = f.machine.clone();
        f.shard()
            .machines
            .get_mut(&machine)
            .expect("it is there")
            .has_call_in_flight = true;
        f.heartbeat(incarnation, used.saturating_add_signed(token), &[]);
        let has_no_bindings = f.shard().jobs[&id].bound.is_empty();
        assert_eq!(has_no_bindings, is_unbound, "{name}");
        let free = f.shard().quotas[0].used.is_zero();
        assert_eq!(free, is_unbound, "{name}: its place in the quota");
    }
}

/// Copies of old messages are dropped, of earlier incarnations too.
#[test]
fn old_copies_of_heartbeats_are_dropped() {
    for (incarnation, later, taken) in [(1, 1, true), (1, 0, false), (0, 5, false), (2, 0, true)] {
        let mut f = Fixture::new();
        let token = f.token();
        f.heartbeat(1, token, &[]);
        let mut copy = f.message(incarnation, token, &[]);
        f.heartbeat(1, token, &[]);
        copy.sequence += later * 2;
        let Fixture { node, shard, .. } = &mut f;
        let ours = node.shards.get_mut(shard).expect("it is ours");
        let is_taken = ours.on_worker_heartbeat(&mut node.ctx, &copy);
        assert_eq!(is_taken, taken, "incarnation {incarnation}, {later} later");
    }
}

/// The tokens of a new holder are above those of earlier holders of the shard,
/// and of the shards that the machine belonged to before.
#[test]
fn a_new_holders_tokens_are_above_all_earlier_ones() {
    let mut f = Fixture::new();
    let machine = f.machine.clone();
    let record: MachineRecord = f.node.view.machines[&machine].record.clone();
    let ours = f.shard().epoch << crate::shard::TOKEN_BITS;
    for (floor, least) in [
        (0, ours),
        (ours - 1, ours),
        (ours, ours + 1),
        (ours + 7, ours + 8),
    ] {
        let record = MachineRecord {
            token_floor: floor,
            ..record.clone()
        };
        assert_eq!(f.shard().first_token(&record), least, "floor {floor}");
    }
}

/// An unexpected task of a job whose last write is under way is stopped, not
/// bound: its machine would keep it when the job is forgotten.
#[test]
fn an_unexpected_task_of_a_finished_job_is_not_bound() {
    for cancelled in [false, true] {
        let mut f = Fixture::new();
        let id = f.job("j-1", JobKind::Service, 1);
        f.shard()
            .jobs
            .get_mut(&id)
            .expect("it is there")
            .is_cancelled = cancelled;
        let token = f.token();
        f.heartbeat(1, token, &[(&id, 0, TaskStage::Running)]);
        let bound = f.shard().jobs[&id].bound.len();
        assert_eq!(bound, usize::from(!cancelled), "cancelled: {cancelled}");
        let machine = f.machine.clone();
        let orphans = f.shard().machines[&machine].orphans.len();
        assert_eq!(orphans, usize::from(cancelled), "cancelled: {cancelled}");
    }
}
