//! Golden tests of requests and responses: what a controller sends in scripted situations.

use super::{compare, Case};
use crate::config::{Config, Operator};
use crate::fixture::{spec, team_of, Fixture, NOW, WALL};
use crate::io::{Effect, Input, RequestId, Target};
use crate::membership::format::FormatVersion;
use crate::node::Node;
use crate::pending_call::PendingCall;
use crate::records::ProvisioningIntent;
use crate::store::view::Versioned;
use forkshift_pools::{PoolSpec, Pools};
use forkshift_wire::settings::Settings;
use forkshift_wire::users::{JobKind, JobSpec};
use forkshift_wire::{JobId, MachineId};
use serde_json::{json, to_string, to_value, Value};
use std::rc::Rc;

/// Everything that was sent, in order, with a name for each effect.
#[derive(Default)]
struct Transcript(Vec<Case>);

impl Transcript {
    fn add(&mut self, step: &str, effects: &[Effect]) {
        let lines = effects.iter().enumerate();
        let lines = lines.map(|(i, effect)| (format!("{step}/{i}"), text_of(effect)));
        self.0.extend(lines);
    }
}

fn text_of(effect: &Effect) -> String {
    let utf8 = |body: &[u8]| String::from_utf8_lossy(body).into_owned();
    match effect {
        Effect::Respond { reply, .. } => {
            let wait = reply.retry_after_s;
            let wait = wait.map_or(String::new(), |s| format!(" retry after {s}"));
            format!("{}{wait} {}", reply.status, utf8(&reply.body))
        }
        Effect::SendToPeer { node, message } => {
            let hex: String = message.iter().map(|b| format!("{b:02x}")).collect();
            format!("to {node} {hex}")
        }
        Effect::Call {
            target,
            method,
            path,
            body,
            ..
        } => {
            let target = match target {
                Target::Store => "state",
                Target::Cloud => "cloud",
                Target::Worker(addr) => addr,
            };
            let body = body.as_deref().map(utf8).unwrap_or_default();
            format!("{target} {method} {path} {body}")
                .trim_end()
                .to_owned()
        }
    }
}

/// The responses of the key-value store to a starting and to a running controller; `None` for
/// calls that get no response.
fn answer_to(path: &str) -> Option<Value> {
    let epoch = json!({"key": "c/epoch", "data": 3, "stamp": 2});
    let registered = json!({"put": "c/node/berth-0", "data": {"inc": 1, "format": 2}, "stamp": 6});
    match path {
        "/grants" => Some(json!({"hold": 7})),
        "/grants/7/extend" => Some(json!({})),
        "/kv?starts=c/&most=500" => {
            Some(json!({"items": [epoch], "has_next": true, "ledger_rev": 5}))
        }
        "/kv?starts=c/&most=500&from=c/epoch" => {
            Some(json!({"items": [], "has_next": false, "ledger_rev": 5}))
        }
        "/txn" => Some(json!({"ledger_rev": 6})),
        "/changes?starts=c/&from=5&wait_ms=0" => {
            Some(json!({"news": [registered], "ledger_rev": 6}))
        }
        _ => None,
    }
}

/// Runs steps at intervals of 300 ms, in which calls are answered by [`answer_to`].
fn run(node: &mut Node, turns: u64, transcript: &mut Transcript) {
    let start = node.ctx.now.max(NOW);
    let mut inputs = Vec::new();
    for turn in 0..turns {
        let now = start + turn * 300;
        let effects = node.step(now, WALL + now - NOW, std::mem::take(&mut inputs));
        transcript.add(&format!("turn_{turn}"), &effects);
        for effect in effects {
            let Effect::Call { id, path, .. } = effect else {
                continue;
            };
            inputs.extend(answer_to(&path).map(|body| Input::Response {
                call: id,
                status: 200,
                body: body.to_string().into_bytes(),
            }));
        }
    }
}

#[test]
fn calls_of_a_starting_controller_match_the_golden_file() {
    let settings = include_str!("../../../../examples/settings.toml");
    let settings = Settings::parse(settings).expect("the example is good");
    let mut node = Node::new(Config::new(&settings, Operator::default()), 1, 1);
    let mut transcript = Transcript::default();
    run(&mut node, 5, &mut transcript);
    compare(include_str!("start.tsv"), &transcript.0);
}

/// Sends a request to the controller. Returns the effects.
fn request(f: &mut Fixture, method: &str, path: &str, body: &str) -> Vec<Effect> {
    let input = Input::Request {
        request: RequestId(1),
        method: method.to_owned(),
        path: path.to_owned(),
        body: Some(body.as_bytes().to_vec()),
    };
    let now = f.node.ctx.now;
    f.node.step(now, WALL + now - NOW, vec![input])
}

fn submission_of(team: &str, id: &str) -> JobSpec {
    let id = JobId::parse(id).expect("an id");
    spec(&id, team, JobKind::Array, 2)
}

fn submission(f: &mut Fixture, id: &str) -> JobSpec {
    submission_of(&team_of(f), id)
}

#[test]
fn responses_to_requests_match_the_golden_file() {
    let mut f = Fixture::new();
    f.step(0);
    f.job("j-1", JobKind::Array, 2);
    let mut unknown_team = submission(&mut f, "j-2");
    unknown_team.team = "nobody".to_owned();
    let mut too_large = submission(&mut f, "j-3");
    too_large.cpus = 1000.0;
    let mut over_limit = submission(&mut f, "j-4");
    (over_limit.gpus, over_limit.tasks) = (8.0, 100);
    over_limit.kind = JobKind::Gang;
    let mut awaits_itself = submission(&mut f, "j-5");
    awaits_itself.dependencies = vec![awaits_itself.id.clone()];
    let mut awaits = submission(&mut f, "j-6");
    awaits.dependencies = vec![JobId::new("j-1")];
    let heartbeat = to_string(&f.heartbeat_message(1, 0, &[])).expect("JSON");
    let elsewhere = heartbeat.replace("\"m-1\"", "\"m-9\"");
    let body = |spec: &JobSpec| to_string(spec).expect("JSON");
    let requests = [
        ("up", "GET", "/up", String::new()),
        ("no_such_path", "GET", "/down", String::new()),
        ("wrong_method", "GET", "/submissions", String::new()),
        ("question", "GET", "/submissions/j-1", String::new()),
        ("question_bad_id", "GET", "/submissions/x", String::new()),
        ("question_unknown", "GET", "/submissions/j-9", String::new()),
        ("report", "POST", "/v1/report", heartbeat),
        ("report_elsewhere", "POST", "/v1/report", elsewhere),
        ("report_bad", "POST", "/v1/report", "7".to_owned()),
        ("submit_bad", "POST", "/submissions", "{}".to_owned()),
        (
            "submit_unknown_team",
            "POST",
            "/submissions",
            body(&unknown_team),
        ),
        ("submit_too_large", "POST", "/submissions", body(&too_large)),
        (
            "submit_over_limit",
            "POST",
            "/submissions",
            body(&over_limit),
        ),
        (
            "submit_awaits_itself",
            "POST",
            "/submissions",
            body(&awaits_itself),
        ),
        ("submit_awaits", "POST", "/submissions", body(&awaits)),
        (
            "abort_bad_id",
            "POST",
            "/submissions/x/abort",
            String::new(),
        ),
        (
            "abort_unknown",
            "POST",
            "/submissions/j-9/abort",
            String::new(),
        ),
        ("abort", "POST", "/submissions/j-1/abort", String::new()),
    ];
    let mut transcript = Transcript::default();
    for (name, method, path, body) in requests {
        let effects = request(&mut f, method, path, &body);
        transcript.add(name, &effects);
        let is_lookup = |e: &Effect| matches!(e, Effect::Call { method: "GET", .. });
        if effects.iter().any(is_lookup) {
            let lookup = |p: &PendingCall| matches!(p, PendingCall::JobLookup(_));
            let effects = f.answer(lookup, 404, &json!({"ledger_rev": 5}));
            transcript.add(&format!("{name}_not_recorded"), &effects);
        }
    }
    compare(include_str!("answers.tsv"), &transcript.0);
}

/// A job from its submission to the commands that start its tasks.
#[test]
fn effects_of_a_job_match_the_golden_file() {
    let mut f = Fixture::new();
    f.step(0);
    let token = f.token();
    let heartbeat = to_value(f.heartbeat_message(1, token, &[])).expect("JSON");
    let is_command = |p: &PendingCall| matches!(p, PendingCall::Commands { .. });
    f.answer(is_command, 200, &heartbeat);
    let mut transcript = Transcript::default();
    let body = submission(&mut f, "j-2");
    let body = to_string(&body).expect("JSON");
    transcript.add("submit", &request(&mut f, "POST", "/submissions", &body));
    let is_submission = |p: &PendingCall| matches!(p, PendingCall::JobCreation(_));
    let accepted = f.answer(is_submission, 200, &json!({"ledger_rev": 8}));
    transcript.add("accepted", &accepted);
    run(&mut f.node, 10, &mut transcript);
    let heartbeat = to_string(&f.heartbeat_message(1, token, &[])).expect("JSON");
    transcript.add("report", &request(&mut f, "POST", "/v1/report", &heartbeat));
    compare(include_str!("job.tsv"), &transcript.0);
}

/// The cloud's catalog adds a machine type.
fn record_catalog(f: &mut Fixture) {
    let catalog = json!({"rigs": [{"name": "new", "cpus": 1, "mem_gb": 2, "hourly": 3,
        "market_price": 1.5}]});
    let body = catalog.to_string().into_bytes();
    let Node {
        leader, ctx, view, ..
    } = &mut f.node;
    leader.on_catalog(ctx, view, 200, &body);
}

#[test]
fn calls_to_cloud_and_workers_match_the_golden_file() {
    let mut f = Fixture::new();
    let mut transcript = Transcript::default();
    for turn in 0..3 {
        transcript.add(&format!("turn_{turn}"), &f.step(300));
    }
    let listed = json!({"berths": [{"uid": "m-1", "addr": "10.1.0.1:9000", "rig": "big",
        "yard": "hall-a", "stage": "running"}], "has_next": true});
    let is_list = |p: &PendingCall| matches!(p, PendingCall::MachineList { .. });
    transcript.add("second_page", &f.answer(is_list, 200, &listed));
    record_catalog(&mut f);
    transcript.add("catalog", &f.step(0));
    let intent = ProvisioningIntent {
        machines_per_shard: vec![(f.shard, 3)],
        machine_type: "big".to_owned(),
        zone: "hall-a".to_owned(),
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
    transcript.add("rent", &f.step(1000));
    let ctx = &mut f.node.ctx;
    ctx.delete_machines(vec![MachineId::new("m-8")], PendingCall::Catalog);
    ctx.request_worker_status("10.1.0.1:9000", 100, PendingCall::Catalog);
    transcript.add("delete_and_status", &std::mem::take(&mut ctx.effects));
    compare(include_str!("cloud_and_workers.tsv"), &transcript.0);
}

/// A shard that is newly held, and a job of it that is cancelled before the shard is loaded.
#[test]
fn effects_of_loading_a_shard_match_the_golden_file() {
    let mut f = Fixture::new();
    f.step(0);
    let mut transcript = Transcript::default();
    let shard = f.shard;
    f.node.shards.remove(&shard);
    transcript.add("load", &f.step(10));
    let abort = request(&mut f, "POST", "/submissions/j-5/abort", "");
    transcript.add("abort", &abort);
    let job = json!({"spec": submission_of("readers", "j-5"), "share": 0, "stage": "pending"});
    let job = json!({"data": job, "stamp": 5});
    let is_lookup = |p: &PendingCall| matches!(p, PendingCall::JobLookup(_));
    transcript.add("abort_recorded", &f.answer(is_lookup, 200, &job));
    let page = json!({"items": [{"key": "live/0/j-4", "data": {}, "stamp": 5}],
        "has_next": true, "ledger_rev": 6});
    let is_list = |p: &PendingCall| matches!(p, PendingCall::ShardList { .. });
    transcript.add("second_page", &f.answer(is_list, 200, &page));
    f.node.shards.remove(&shard);
    f.node.view.shards.remove(&shard);
    for turn in 0..5 {
        transcript.add(&format!("assign_{turn}"), &f.step(300));
    }
    compare(include_str!("share.tsv"), &transcript.0);
}

/// A controller with a warm pool of two machines.
#[test]
fn effects_of_a_warm_pool_match_the_golden_file() {
    let mut f = Fixture::new();
    f.step(0);
    let spec = PoolSpec {
        name: "help".to_owned(),
        team: team_of(&mut f),
        image: "img".to_owned(),
        image_gb: 1.0,
        min_machines: 2,
        max_machines: 2,
        ..PoolSpec::default()
    };
    let teams = [spec.team.as_str()];
    let mut config = (*f.node.ctx.config).clone();
    config.operator.pools = Pools::parse(std::slice::from_ref(&spec), &teams, &[]).expect("a pool");
    config.format = FormatVersion::POOLS;
    f.node.ctx.config = Rc::new(config);
    let mut transcript = Transcript::default();
    f.node.view.finalized_format = Some(Versioned {
        record: FormatVersion::POOLS,
        version: 5,
    });
    transcript.add("finalized", &f.step(0));
    record_catalog(&mut f);
    transcript.add("catalog", &f.step(200));
    let is_heads = |p: &PendingCall| matches!(p, PendingCall::PoolRecordsRead { .. });
    let none = json!({"items": [], "has_next": false, "ledger_rev": 6});
    transcript.add("no_heads", &f.answer(is_heads, 200, &none));
    run(&mut f.node, 8, &mut transcript);
    compare(include_str!("warm_pool.tsv"), &transcript.0);
}
