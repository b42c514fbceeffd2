//! A controller that holds a shard with a machine, for tests of what it does.

use crate::config::{Config, Operator};
use crate::io::{Effect, Input, Reply, RequestId};
use crate::membership::format::FormatVersion;
use crate::node::Node;
use crate::pending_call::PendingCall;
use crate::records::{
    machine_key, node_key, shard_key, type_key, LeaderRecord, MachineRecord, NodeRecord, ShardId,
    ShardRecord, LEADER,
};
use crate::shard::job::{Binding, StartState};
use crate::shard::{Phase, Shard};
use crate::store::view::Versioned;
use crate::Ms;
use forkshift_wire::settings::Settings;
use forkshift_wire::state::Item;
use forkshift_wire::users::{JobKind, JobSpec, Priority};
use forkshift_wire::workers::{ExitCause, TaskReport, TaskStage, WorkerHeartbeat};
use forkshift_wire::{JobId, MachineId, TaskRef};
use serde::Serialize;
use serde_json::{json, to_value, Value};
use std::rc::Rc;

const SETTINGS: &str = include_str!("../../../examples/settings.toml");
pub(crate) const NOW: Ms = 100_000;
pub(crate) const WALL: Ms = 5_000_000;
pub(crate) const EPOCH: u64 = 3;

/// A controller with a right, and a shard in use with one machine.
pub(crate) struct Fixture {
    pub(crate) node: Node,
    pub(crate) shard: ShardId,
    pub(crate) machine: MachineId,
    seq: u64,
}

impl Fixture {
    pub(crate) fn new() -> Self {
        let settings = Settings::parse(SETTINGS).expect("the example is good");
        let config = Config::new(&settings, Operator::default());
        let us = config.node.clone();
        let team = config.teams.values().next().expect("a team");
        let (shard, zone) = (team.shard, settings.zone.clone());
        let mut node = Node::new(config, 1, 1);
        let machine = MachineId::new("m-1");
        let held = ShardRecord {
            holder: us.clone(),
            holder_incarnation: 1,
            epoch: EPOCH,
            handover_to: None,
        };
        let record = MachineRecord {
            shard,
            machine_type: "big".to_owned(),
            zone: zone.clone(),
            spot: false,
            addr: Some("10.1.0.1:9000".to_owned()),
            decommission_reason: None,
            reassign_to: None,
            token_floor: 0,
            images: Vec::new(),
            pool: None,
            charged_until_ms: 0,
        };
        let of_type = json!({"name": "big", "cpus": 96.0, "accelerators": 8.0, "mem_gb": 768.0,
            "cache_gb": 200.0, "pull_gb_per_s": 1.0, "hourly": 12.0, "market_price": null,
            "boot_s": 45.0, "yards": [zone]});
        let lead = LeaderRecord {
            node: us.clone(),
            incarnation: 1,
        };
        let here = NodeRecord {
            incarnation: 1,
            receives_no_heartbeats: false,
            format: FormatVersion::CURRENT,
        };
        let items = vec![
            item(node_key(&us), &here, 1),
            item(LEADER.to_owned(), &lead, 2),
            item(shard_key(shard), &held, 3),
            item(type_key("big"), &of_type, 4),
            item(machine_key(&machine), &record, 5),
        ];
        node.ctx.now = NOW;
        node.ctx.wall_clock_ms = WALL;
        node.view.replace(items, 5);
        node.membership
            .on_lease_granted(&node.ctx, NOW, 200, br#"{"hold":7}"#);
        node.membership
            .on_node_record_written(7, 200, br#"{"ledger_rev":1}"#);
        let mut ours = Shard::new(&mut node.ctx, shard, EPOCH, 3);
        ours.phase = Phase::Waiting(5);
        ours.activate(&mut node.ctx, &node.view);
        node.shards.insert(shard, ours);
        node.run_failure_detector();
        let mut fixture = Self {
            node,
            shard,
            machine,
            seq: 0,
        };
        let token = fixture.token();
        fixture.heartbeat(1, token, &[]);
        fixture
    }

    pub(crate) fn shard(&mut self) -> &mut Shard {
        self.node.shards.get_mut(&self.shard).expect("it is ours")
    }

    /// The token that the machine's holder uses.
    pub(crate) fn token(&mut self) -> u64 {
        let id = self.machine.clone();
        self.shard().machines[&id].token
    }

    /// The controller loses its right.
    pub(crate) fn lose_right(&mut self) {
        self.node.ctx.now += self.node.ctx.config.node_lease_ms();
        self.node.run_failure_detector();
    }

    /// A new job of the shard.
    pub(crate) fn job(&mut self, id: &str, kind: JobKind, tasks: u32) -> JobId {
        let id = JobId::parse(id).expect("an id");
        let team = self.shard().teams.keys().next().expect("a team").clone();
        let spec = spec(&id, &team, kind, tasks);
        let Node { shards, ctx, .. } = &mut self.node;
        let shard = shards.get_mut(&self.shard).expect("it is ours");
        shard.add_job(ctx, spec, None, WALL, 6);
        id
    }

    /// Binds a task to the machine, by a record that is written.
    pub(crate) fn bind(&mut self, id: &JobId, index: u32, sent: StartState) {
        let (machine, since) = (self.machine.clone(), self.node.ctx.now);
        let binding = Binding {
            machine,
            attempt: 1,
            version: 0,
            start: sent,
            stage: None,
            stop: None,
            since,
            running_since: None,
        };
        self.shard().bind(id, index, binding);
    }

    /// A message of the machine that lists tasks in their first attempt.
    pub(crate) fn heartbeat(
        &mut self,
        incarnation: u64,
        token: u64,
        tasks: &[(&JobId, u32, TaskStage)],
    ) {
        let heartbeat = self.message(incarnation, token, tasks);
        let Node { shards, ctx, .. } = &mut self.node;
        let shard = shards.get_mut(&self.shard).expect("it is ours");
        shard.on_worker_heartbeat(ctx, &heartbeat);
    }

    pub(crate) fn message(
        &mut self,
        incarnation: u64,
        token: u64,
        tasks: &[(&JobId, u32, TaskStage)],
    ) -> WorkerHeartbeat {
        self.seq += 1;
        let one = |(id, index, stage): &(&JobId, u32, TaskStage)| TaskReport {
            task: TaskRef {
                job: (*id).clone(),
                index: *index,
            },
            attempt: 1,
            stage: *stage,
            cause: (*stage == TaskStage::Exited).then_some(ExitCause::Stopped),
            saved: false,
        };
        WorkerHeartbeat {
            machine: self.machine.clone(),
            addr: "10.1.0.1:9000".to_owned(),
            machine_type: "big".to_owned(),
            zone: "hall-a".to_owned(),
            spot: false,
            incarnation,
            sequence: self.seq,
            token,
            notice_s: None,
            images: None,
            tasks: tasks.iter().map(one).collect(),
        }
    }

    /// All controllers know the newest format, and the limits that are announced
    /// are those of the large deployments' next ones.
    pub(crate) fn finalize_format(&mut self) {
        let mut config = (*self.node.ctx.config).clone();
        config.least_state_limits.value_bytes = 2_048;
        config.least_state_limits.txn_ops = 4;
        self.node.ctx.config = Rc::new(config);
        self.node.view.finalized_format = Some(Versioned {
            record: FormatVersion::CURRENT,
            version: 5,
        });
        self.step(0);
    }

    /// A task on the machine has completed.
    pub(crate) fn exit_task(&mut self, id: &JobId, index: u32) {
        let shard = self.shard();
        shard.unbind(id, index);
        let job = shard.jobs.get_mut(id).expect("it is there");
        job.done.insert(index);
    }

    /// Takes the shard over anew, with these records.
    pub(crate) fn load(&mut self, items: Vec<Item>) {
        let Node { ctx, view, .. } = &mut self.node;
        let mut shard = Shard::new(ctx, self.shard, EPOCH, 3);
        let page = json!({"items": items.iter().map(|i| json!({"key": i.key, "data": i.value,
            "stamp": i.version})).collect::<Vec<_>>(), "has_next": false, "ledger_rev": 5});
        shard.on_job_list(ctx, 200, page.to_string().as_bytes());
        shard.activate(ctx, view);
        self.node.shards.insert(self.shard, shard);
    }

    /// Lets time pass.
    pub(crate) fn step(&mut self, by: Ms) -> Vec<Effect> {
        let now = self.node.ctx.now + by;
        self.node.step(now, WALL + now - NOW, Vec::new())
    }

    /// A request, and its answer if that comes at once.
    pub(crate) fn ask(&mut self, request: u64, method: &str, path: &str) -> Option<(u16, String)> {
        self.send(request, method, path, Vec::new())
    }

    /// A submission, and its answer if that comes at once.
    pub(crate) fn submit(&mut self, request: u64, spec: &JobSpec) -> Option<(u16, String)> {
        let body = serde_json::to_vec(spec).expect("a submission");
        self.send(request, "POST", "/submissions", body)
    }

    fn send(
        &mut self,
        request: u64,
        method: &str,
        path: &str,
        body: Vec<u8>,
    ) -> Option<(u16, String)> {
        let input = Input::Request {
            request: RequestId(request),
            method: method.to_owned(),
            path: path.to_owned(),
            body: Some(body),
        };
        let now = self.node.ctx.now;
        let effects = self.node.step(now, WALL + now - NOW, vec![input]);
        answer_to(&effects, request)
    }

    /// Ends the last call of a kind that waits.
    pub(crate) fn answer(
        &mut self,
        which: impl Fn(&PendingCall) -> bool,
        status: u16,
        body: &Value,
    ) -> Vec<Effect> {
        let waiting = self.node.ctx.pending.iter();
        let call = waiting.filter(|(_, p)| which(p)).map(|(id, _)| *id).max();
        let call = call.expect("a call waits");
        let body = body.to_string().into_bytes();
        let now = self.node.ctx.now;
        let answer = Input::Response { call, status, body };
        self.node.step(now, WALL + now - NOW, vec![answer])
    }
}

fn item(key: String, record: &impl Serialize, version: u64) -> Item {
    Item {
        key,
        value: to_value(record).expect("a record"),
        version,
    }
}

/// A team whose jobs belong to the shard.
pub(crate) fn team_of(f: &mut Fixture) -> String {
    f.shard().teams.keys().next().expect("a team").clone()
}

/// Status and body of the answer to a request.
pub(crate) fn answer_to(effects: &[Effect], request: u64) -> Option<(u16, String)> {
    let text = |r: &Reply| (r.status, String::from_utf8_lossy(&r.body).into_owned());
    effects.iter().find_map(|e| match e {
        Effect::Respond { request: id, reply } if id.0 == request => Some(text(reply)),
        _ => None,
    })
}

pub(crate) fn spec(id: &JobId, team: &str, kind: JobKind, tasks: u32) -> JobSpec {
    JobSpec {
        id: id.clone(),
        class: "work".to_owned(),
        team: team.to_owned(),
        kind,
        priority: Priority::Normal,
        tasks,
        cpus: 1.0,
        gpus: 0.0,
        memory_gb: 1.0,
        image: "img".to_owned(),
        image_gb: 1.0,
        types: None,
        zone: None,
        one_zone: false,
        spread: false,
        spot: false,
        estimate_s: 10.0,
        checkpoint_s: 0.0,
        save_s: 0.0,
        deadline_s: None,
        dependencies: Vec::new(),
    }
}

/// Tasks of a job that are to be stopped.
pub(crate) fn stopped(f: &mut Fixture, id: &JobId) -> Vec<u32> {
    let bound = f.shard().jobs[id].bound.iter();
    bound
        .filter(|(_, b)| b.stop.is_some())
        .map(|(index, _)| *index)
        .collect()
}
