//! Test fixture: a controller that holds a shard with one machine.

use crate::config::{Config, Operator};
use crate::io::{Effect, Input, Reply, RequestId};
use crate::membership::format::FormatVersion;
use crate::node::Node;
use crate::pending_call::PendingCall;
use crate::records::{
    machine_key, machine_type_key, node_key, shard_key, LeaderRecord, MachineRecord, NodeRecord,
    ShardId, ShardRecord, LEADER_KEY,
};
use crate::shard::job::{Binding, StartState};
use crate::shard::{RecoveryState, Shard};
use crate::store::view::Versioned;
use crate::Ms;
use forkshift_wire::settings::Settings;
use forkshift_wire::state::Item;
use forkshift_wire::users::{JobKind, JobSpec, Priority};
use forkshift_wire::workers::{ExitCause, TaskStage, TaskStatus, WorkerHeartbeat};
use forkshift_wire::{JobId, MachineId, TaskRef};
use serde::Serialize;
use serde_json::{json, to_value, Value};
use std::rc::Rc;

const SETTINGS: &str = include_str!("../../../examples/settings.toml");
/// Monotonic clock at the start, in milliseconds.
pub(crate) const NOW: Ms = 100_000;
/// Wall-clock time at the start, in milliseconds since 1970.
pub(crate) const WALL: Ms = 5_000_000;
/// Epoch under which the controller holds the shard.
pub(crate) const EPOCH: u64 = 3;
/// Incarnation of the controller.
const INCARNATION: u64 = 1;
/// Address of the machine's worker.
const WORKER_ADDR: &str = "10.1.0.1:9000";

/// A controller with a valid lease that holds an active shard with one machine.
pub(crate) struct Fixture {
    pub(crate) node: Node,
    /// The shard that the controller holds.
    pub(crate) shard: ShardId,
    /// The shard's machine.
    pub(crate) machine: MachineId,
    /// Sequence number of the machine's last heartbeat.
    seq: u64,
}

impl Fixture {
    /// A controller that is the leader, with all cluster records in its view. The machine has
    /// sent one heartbeat.
    pub(crate) fn new() -> Self {
        let settings = Settings::parse(SETTINGS).expect("the example is valid");
        let config = Config::new(&settings, Operator::default());
        let team = config.teams.values().next().expect("a team");
        let shard = team.shard;
        let machine = MachineId::new("m-1");
        let items = cluster_items(&config, shard, &machine, &settings.zone);
        let mut node = Node::new(config, INCARNATION, 1);
        node.ctx.now = NOW;
        node.ctx.wall_clock_ms = WALL;
        node.view.replace_all(items, 5);
        acquire_lease(&mut node);
        activate_shard(&mut node, shard);
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

    /// The state of the held shard.
    pub(crate) fn shard(&mut self) -> &mut Shard {
        self.node
            .shards
            .get_mut(&self.shard)
            .expect("the shard is held")
    }

    /// The fencing token that the holder uses for the machine.
    pub(crate) fn token(&mut self) -> u64 {
        let id = self.machine.clone();
        self.shard().machines[&id].token
    }

    /// Lets the controller's lease expire.
    pub(crate) fn lose_lease(&mut self) {
        self.node.ctx.now += self.node.ctx.config.node_lease_ms();
        self.node.run_failure_detector();
    }

    /// Adds a job to the shard.
    pub(crate) fn job(&mut self, id: &str, kind: JobKind, tasks: u32) -> JobId {
        let id = JobId::parse(id).expect("an id");
        let team = self.shard().teams.keys().next().expect("a team").clone();
        let spec = spec(&id, &team, kind, tasks);
        let Node { shards, ctx, .. } = &mut self.node;
        let shard = shards.get_mut(&self.shard).expect("the shard is held");
        shard.add_job(ctx, spec, None, WALL, 6);
        id
    }

    /// Binds a task to the machine in its first attempt, with a recorded binding.
    pub(crate) fn bind(&mut self, id: &JobId, index: u32, start: StartState) {
        let (machine, since) = (self.machine.clone(), self.node.ctx.now);
        let binding = Binding {
            machine,
            attempt: 1,
            recorded_in_version: 0,
            start,
            stage: None,
            stop: None,
            bound_at: since,
            running_since: None,
        };
        self.shard().bind(id, index, binding);
    }

    /// Delivers a heartbeat of the machine that lists tasks in their first attempt.
    pub(crate) fn heartbeat(
        &mut self,
        incarnation: u64,
        token: u64,
        tasks: &[(&JobId, u32, TaskStage)],
    ) {
        let heartbeat = self.heartbeat_message(incarnation, token, tasks);
        let Node { shards, ctx, .. } = &mut self.node;
        let shard = shards.get_mut(&self.shard).expect("the shard is held");
        shard.on_worker_heartbeat(ctx, &heartbeat);
    }

    /// The next heartbeat of the machine, which lists tasks in their first attempt.
    pub(crate) fn heartbeat_message(
        &mut self,
        incarnation: u64,
        token: u64,
        tasks: &[(&JobId, u32, TaskStage)],
    ) -> WorkerHeartbeat {
        self.seq += 1;
        let report = |(id, index, stage): &(&JobId, u32, TaskStage)| TaskStatus {
            task: TaskRef {
                job: (*id).clone(),
                index: *index,
            },
            attempt: 1,
            stage: *stage,
            cause: (*stage == TaskStage::Exited).then_some(ExitCause::Stopped),
            checkpoint_saved: false,
        };
        WorkerHeartbeat {
            machine: self.machine.clone(),
            addr: WORKER_ADDR.to_owned(),
            machine_type: "big".to_owned(),
            zone: "hall-a".to_owned(),
            spot: false,
            incarnation,
            sequence: self.seq,
            token,
            reclaim_notice_s: None,
            images: None,
            tasks: tasks.iter().map(report).collect(),
        }
    }

    /// Finalizes the newest format, with which the announced limits come into force.
    pub(crate) fn finalize_format(&mut self) {
        let mut config = (*self.node.ctx.config).clone();
        config.min_state_limits.value_bytes = 2_048;
        config.min_state_limits.txn_ops = 4;
        self.node.ctx.config = Rc::new(config);
        self.node.view.finalized_format = Some(Versioned {
            record: FormatVersion::CURRENT,
            version: 5,
        });
        self.step(0);
    }

    /// Completes a task on the machine.
    pub(crate) fn exit_task(&mut self, id: &JobId, index: u32) {
        let shard = self.shard();
        shard.unbind(id, index);
        let job = shard.jobs.get_mut(id).expect("the job is known");
        job.completed.insert(index);
    }

    /// Recovers the shard anew from the given records.
    pub(crate) fn recover_shard(&mut self, items: Vec<Item>) {
        let Node { ctx, view, .. } = &mut self.node;
        let mut shard = Shard::new(ctx, self.shard, EPOCH, 3);
        let page = json!({"items": items.iter().map(|i| json!({"key": i.key, "data": i.value,
            "stamp": i.version})).collect::<Vec<_>>(), "has_next": false, "ledger_rev": 5});
        shard.on_job_list(ctx, 200, page.to_string().as_bytes());
        shard.activate(ctx, view);
        self.node.shards.insert(self.shard, shard);
    }

    /// Advances the clocks by `by` milliseconds and runs a step without inputs.
    pub(crate) fn step(&mut self, by: Ms) -> Vec<Effect> {
        let now = self.node.ctx.now + by;
        self.node.step(now, WALL + now - NOW, Vec::new())
    }

    /// Sends a request without a body. Returns status and body of an immediate response.
    pub(crate) fn request(
        &mut self,
        request: u64,
        method: &str,
        path: &str,
    ) -> Option<(u16, String)> {
        self.send(request, method, path, Vec::new())
    }

    /// Submits a job. Returns status and body of an immediate response.
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

    /// Responds to the last pending call that matches `is_kind`. Returns the effects.
    pub(crate) fn answer(
        &mut self,
        is_kind: impl Fn(&PendingCall) -> bool,
        status: u16,
        body: &Value,
    ) -> Vec<Effect> {
        let pending = self.node.ctx.pending_calls.iter();
        let calls = pending.filter(|(_, call)| is_kind(call));
        let call = calls.map(|(id, _)| *id).max().expect("a pending call");
        let body = body.to_string().into_bytes();
        let now = self.node.ctx.now;
        let answer = Input::Response { call, status, body };
        self.node.step(now, WALL + now - NOW, vec![answer])
    }
}

/// Cluster records: the controller, which is the leader, the shard, and its machine.
fn cluster_items(config: &Config, shard: ShardId, machine: &MachineId, zone: &str) -> Vec<Item> {
    let node = NodeRecord {
        incarnation: INCARNATION,
        receives_no_heartbeats: false,
        format: FormatVersion::CURRENT,
    };
    let leader = LeaderRecord {
        node: config.node.clone(),
        incarnation: INCARNATION,
    };
    let held = ShardRecord {
        holder: config.node.clone(),
        holder_incarnation: INCARNATION,
        epoch: EPOCH,
        handover_to: None,
    };
    let machine_type = json!({"name": "big", "cpus": 96.0, "accelerators": 8.0, "mem_gb": 768.0,
        "cache_gb": 200.0, "pull_gb_per_s": 1.0, "hourly": 12.0, "market_price": null,
        "boot_s": 45.0, "yards": [zone]});
    let machine_record = MachineRecord {
        addr: Some(WORKER_ADDR.to_owned()),
        ..MachineRecord::new(shard, "big", zone, false)
    };
    vec![
        item(node_key(&config.node), &node, 1),
        item(LEADER_KEY.to_owned(), &leader, 2),
        item(shard_key(shard), &held, 3),
        item(machine_type_key("big"), &machine_type, 4),
        item(machine_key(machine), &machine_record, 5),
    ]
}

/// Grants the controller's lease and confirms the write of its record.
fn acquire_lease(node: &mut Node) {
    node.membership
        .on_lease_granted(&node.ctx, NOW, 200, br#"{"hold":7}"#);
    node.membership
        .on_node_record_written(7, 200, br#"{"ledger_rev":1}"#);
}

/// Activates the shard, as after a recovery without jobs.
fn activate_shard(node: &mut Node, shard_id: ShardId) {
    let mut shard = Shard::new(&mut node.ctx, shard_id, EPOCH, 3);
    shard.recovery_state = RecoveryState::AwaitingView(5);
    shard.activate(&mut node.ctx, &node.view);
    node.shards.insert(shard_id, shard);
}

/// A record as an item of the key-value store.
fn item(key: String, record: &impl Serialize, version: u64) -> Item {
    Item {
        key,
        value: to_value(record).expect("a record"),
        version,
    }
}

/// The name of a team whose jobs belong to the shard.
pub(crate) fn team_of(f: &mut Fixture) -> String {
    f.shard().teams.keys().next().expect("a team").clone()
}

/// Status and body of the response to a request, if it is among the effects.
pub(crate) fn answer_to(effects: &[Effect], request: u64) -> Option<(u16, String)> {
    let text = |r: &Reply| (r.status, String::from_utf8_lossy(&r.body).into_owned());
    effects.iter().find_map(|e| match e {
        Effect::Respond { request: id, reply } if id.0 == request => Some(text(reply)),
        _ => None,
    })
}

/// The specification of a job whose tasks require one CPU and 1 GB of memory each.
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
        machine_types: None,
        zone: None,
        require_same_zone: false,
        spread_over_zones: false,
        allow_spot: false,
        estimated_run_time_s: 10.0,
        checkpoint_interval_s: 0.0,
        checkpoint_save_time_s: 0.0,
        deadline_s: None,
        dependencies: Vec::new(),
    }
}

/// Indices of a job's tasks that must be stopped.
pub(crate) fn stopping_tasks(f: &mut Fixture, id: &JobId) -> Vec<u32> {
    let bound = f.shard().jobs[id].bindings.iter();
    bound
        .filter(|(_, b)| b.stop.is_some())
        .map(|(index, _)| *index)
        .collect()
}
