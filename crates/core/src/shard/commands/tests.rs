//! Tests of [`commands`](super).

use super::*;
use crate::fixture::Fixture;
use crate::io::Effect;
use forkshift_wire::users::JobKind;
use forkshift_wire::workers::TaskStage;
use serde_json::to_value;

/// Verbs of the commands in calls to workers.
fn sent_verbs(effects: &[Effect]) -> Vec<Verb> {
    let bodies = effects.iter().filter_map(|e| match e {
        Effect::Call { path, body, .. } if path == "/commands" => body.as_deref(),
        _ => None,
    });
    let commands = bodies.map(|b| serde_json::from_slice::<CommandRequest>(b).expect("commands"));
    commands
        .flat_map(|c| c.commands.into_iter().map(|o| o.verb))
        .collect()
}

fn is_command_call(pending: &PendingCall) -> bool {
    matches!(pending, PendingCall::Commands { .. })
}

/// A holder that does not know that its lease has expired must not send a start, even one
/// that it recorded before: the next holder may already have confirmed the cancellation of
/// the job.
#[test]
fn starts_are_sent_only_under_a_valid_lease() {
    for (has_valid_lease, verbs) in [(true, vec![Verb::Start]), (false, vec![])] {
        let mut f = Fixture::new();
        let id = f.job("j-1", JobKind::Service, 1);
        f.bind(&id, 0, StartState::NotSent);
        if !has_valid_lease {
            f.lose_lease();
        }
        assert_eq!(
            sent_verbs(&f.step(1)),
            verbs,
            "has_valid_lease: {has_valid_lease}"
        );
    }
}

/// Stops are idempotent and only end tasks, so that they need no valid lease.
#[test]
fn stops_are_sent_without_a_valid_lease() {
    for has_valid_lease in [true, false] {
        let mut f = Fixture::new();
        let id = f.job("j-1", JobKind::Service, 1);
        let (token, incarnation) = (f.token(), 1);
        f.bind(&id, 0, StartState::SentByThisHolder { token, incarnation });
        if !has_valid_lease {
            f.lose_lease();
        }
        f.request(1, "POST", "/submissions/j-1/abort");
        let has_call_in_flight = f.shard().machines.values().any(|m| m.has_call_in_flight);
        assert!(has_call_in_flight, "has_valid_lease: {has_valid_lease}");
    }
}

/// A start that was refused while its task was being stopped kept the task bound forever, as
/// no stop is sent for a task that was never started.
#[test]
fn a_refused_start_of_a_stopped_task_is_unbound() {
    for stopped in [true, false] {
        let mut f = Fixture::new();
        let id = f.job("j-1", JobKind::Gang, 2);
        f.bind(&id, 0, StartState::NotSent);
        f.bind(&id, 1, StartState::NotSent);
        assert_eq!(sent_verbs(&f.step(1)), [Verb::Start, Verb::Start]);
        if stopped {
            f.shard().stop_remaining_tasks(&id);
        }
        let token = f.token();
        let heartbeat = f.heartbeat_message(2, token, &[]);
        f.answer(
            is_command_call,
            409,
            &to_value(heartbeat).expect("a heartbeat"),
        );
        let bound = f.shard().jobs[&id].bindings.len();
        assert_eq!(bound, if stopped { 0 } else { 2 }, "stopped: {stopped}");
    }
}

/// A holder that did not know of its successor called a machine again as soon as the worker
/// refused a call for its old token. A newer token must cause a backoff.
#[test]
fn a_refusal_with_a_newer_token_backs_off_the_next_call() {
    for (token_lead, is_called_again) in [(0, true), (1 << 30, false)] {
        let mut f = Fixture::new();
        let id = f.job("j-1", JobKind::Service, 1);
        f.bind(&id, 0, StartState::NotSent);
        f.step(1);
        let token = f.token() + token_lead;
        let heartbeat = f.heartbeat_message(2, token, &[]);
        let effects = f.answer(
            is_command_call,
            409,
            &to_value(heartbeat).expect("a heartbeat"),
        );
        assert_eq!(
            !sent_verbs(&effects).is_empty(),
            is_called_again,
            "newer by {token_lead}"
        );
    }
}

/// If a worker forgets an attempt while a start for it is in flight, it runs the attempt
/// again when the start arrives. Nothing is forgotten while a call is in flight or
/// unanswered.
#[test]
fn no_attempt_is_forgotten_while_a_call_may_be_executed() {
    for (has_call_in_flight, has_unanswered_call, forgets) in
        [(false, false, 1), (true, false, 0), (false, true, 0)]
    {
        let mut f = Fixture::new();
        let id = JobId::parse("j-9").expect("an id");
        let token = f.token();
        f.heartbeat(1, token, &[(&id, 0, TaskStage::Exited)]);
        let machine = f.machine.clone();
        let m = f
            .shard()
            .machines
            .get_mut(&machine)
            .expect("the machine is in the shard");
        (m.has_call_in_flight, m.has_unanswered_call) = (has_call_in_flight, has_unanswered_call);
        let Fixture { node, shard, .. } = &mut f;
        let shard = node.shards.get_mut(shard).expect("the shard is held");
        let commands = shard.idempotent_commands(&node.ctx, &machine);
        let n = commands.iter().filter(|o| o.verb == Verb::Forget).count();
        assert_eq!(
            n, forgets,
            "in flight: {has_call_in_flight}, unanswered: {has_unanswered_call}"
        );
    }
}

/// Commands beyond the bound of one call are sent in the next call, after the response to the
/// first.
#[test]
fn commands_beyond_one_call_are_sent_in_the_next() {
    let max_commands = MAX_COMMANDS_PER_CALL as u32;
    for (tasks, first, second) in [
        (max_commands, max_commands, 0),
        (max_commands + 1, max_commands, 1),
    ] {
        let mut f = Fixture::new();
        let id = f.job("j-1", JobKind::Service, tasks);
        for index in 0..tasks {
            f.bind(&id, index, StartState::NotSent);
        }
        assert_eq!(sent_verbs(&f.step(1)).len() as u32, first, "{tasks} tasks");
        let token = f.token();
        let started: Vec<_> = (0..first).map(|i| (&id, i, TaskStage::Running)).collect();
        let heartbeat = to_value(f.heartbeat_message(1, token, &started)).expect("a heartbeat");
        let mut effects = f.answer(is_command_call, 200, &heartbeat);
        effects.extend(f.step(1));
        assert_eq!(sent_verbs(&effects).len() as u32, second, "{tasks} tasks");
    }
}

/// When the bound of concurrent calls to workers is reached, a start is delayed until a call
/// has ended.
#[test]
fn a_call_beyond_the_concurrency_bound_is_delayed() {
    for (free_calls, starts) in [(1, 1), (0, 0)] {
        let mut f = Fixture::new();
        let id = f.job("j-1", JobKind::Service, 1);
        f.bind(&id, 0, StartState::NotSent);
        f.node.ctx.worker_calls_in_flight = f.node.ctx.config.bounds.worker_calls - free_calls;
        assert_eq!(
            sent_verbs(&f.step(1)).len(),
            starts,
            "{free_calls} free calls"
        );
        f.node.ctx.worker_calls_in_flight = 0;
        let heartbeat_interval_ms = f.node.ctx.config.heartbeat_interval_ms;
        assert_eq!(
            sent_verbs(&f.step(heartbeat_interval_ms)).len(),
            1 - starts,
            "{free_calls} free calls, one heartbeat interval later"
        );
    }
}

/// Calls with commands among the effects.
fn command_calls(effects: &[Effect]) -> Vec<CommandRequest> {
    let bodies = effects.iter().filter_map(|e| match e {
        Effect::Call { path, body, .. } if path == "/commands" => body.as_deref(),
        _ => None,
    });
    let calls = bodies.map(|body| serde_json::from_slice(body).expect("commands"));
    calls.collect()
}

/// A copy of an answered start arrived after the worker had forgotten the attempt, under a token
/// that was still valid, and ran the task again. The call that makes the worker forget an attempt
/// must carry a higher token than its start, but none may be raised while a transfer is in flight.
#[test]
fn an_attempt_is_forgotten_under_a_higher_token_than_its_start() {
    for is_transfer_in_flight in [false, true] {
        let mut f = Fixture::new();
        let (id, machine) = (f.job("j-1", JobKind::Service, 1), f.machine.clone());
        f.bind(&id, 0, StartState::NotSent);
        let start_token = command_calls(&f.step(1)).first().expect("a call").token;
        let answer_call = |f: &mut Fixture, stage| {
            let heartbeat = f.heartbeat_message(1, start_token, &[(&id, 0, stage)]);
            let heartbeat = to_value(heartbeat).expect("a heartbeat");
            f.answer(is_command_call, 200, &heartbeat)
        };
        answer_call(&mut f, TaskStage::Running);
        f.request(1, "POST", "/submissions/j-1/abort");
        if is_transfer_in_flight {
            let m = f.shard().machines.get_mut(&machine).expect("a machine");
            m.transfer_version = Some(m.record_version);
        }
        let mut effects = answer_call(&mut f, TaskStage::Exited);
        for revision in [8, 9] {
            let is_write = |call: &PendingCall| matches!(call, PendingCall::JobTransaction { .. });
            let written = serde_json::json!({"ledger_rev": revision});
            effects.extend(f.answer(is_write, 200, &written));
        }
        let heartbeat_interval_ms = f.node.ctx.config.heartbeat_interval_ms;
        effects.extend(f.step(heartbeat_interval_ms / 2));
        let calls = command_calls(&effects);
        let is_forget = |command: &Command| command.verb == Verb::Forget;
        let forgets = calls.iter().filter(|c| c.commands.iter().any(is_forget));
        let is_fenced: Vec<bool> = forgets.map(|call| call.token > start_token).collect();
        let expected = if is_transfer_in_flight {
            vec![]
        } else {
            vec![true]
        };
        assert_eq!(is_fenced, expected, "transfer: {is_transfer_in_flight}");
    }
}
