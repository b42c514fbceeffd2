//! Tests of `job_writes`.

use super::*;
use crate::fixture::{spec, team_of, Fixture, WALL};
use crate::io::{Effect, Input};
use crate::records::{
    job_key, shard_key, unfinished_job_key, JobHeadRecord, JobRecord, TaskBlockRecord,
};
use crate::shard::job::{Binding, StartState};
use crate::shard::layout::BlockLayout;
use forkshift_wire::state::{Change, Changes, Item, Precondition, Write};
use forkshift_wire::users::{JobKind, JobStage};
use forkshift_wire::MachineId;
use serde_json::{json, to_value};

fn is_job_transaction(pending: &PendingCall) -> bool {
    matches!(pending, PendingCall::JobTransaction { .. })
}

fn is_block_read(pending: &PendingCall) -> bool {
    matches!(pending, PendingCall::JobBlockRead { .. })
}

fn is_final_read(pending: &PendingCall) -> bool {
    matches!(pending, PendingCall::JobFinalRead { .. })
}

/// Guards against a finished job that is added again. The final write is executed
/// without a response; the job's permanent record is older than the last version of
/// its head, and the watch shows that version after the job was dropped.
#[test]
fn finished_job_is_not_added_again_by_a_late_watch_event() {
    let mut f = Fixture::new();
    let id = f.job("j-1", JobKind::Service, 1);
    // Cancelled at revision 7; the head was written again at 9; the final write was
    // executed at 10.
    f.request(1, "POST", "/submissions/j-1/abort");
    f.shard()
        .jobs
        .get_mut(&id)
        .expect("it is there")
        .blocks
        .get_mut(&0)
        .expect("a head")
        .record_version = 9;
    let failed = json!({"failed": [unfinished_job_key(f.shard, &id, 0)], "ledger_rev": 10});
    f.answer(is_job_transaction, 409, &failed);
    f.answer(is_block_read, 404, &json!({"ledger_rev": 10}));
    let spec = f.shard().jobs[&id].spec.clone();
    let record = JobRecord {
        spec: (*spec).clone(),
        shard: f.shard,
        stage: JobStage::Cancelled,
    };
    let found = json!({"key": job_key(&id), "data": record, "stamp": 7});
    f.answer(is_final_read, 200, &found);
    assert!(!f.shard().jobs.contains_key(&id), "it is over");
    let head = |cancelled, block| JobHeadRecord {
        spec: (*spec).clone(),
        cancelled,
        cancelled_at_ms: 0,
        submitted_at_ms: 0,
        tasks_per_block: None,
        block,
    };
    let placed = TaskBlockRecord {
        last_attempt: 1,
        bound: vec![(0, 1, MachineId::new("m-1"))],
        ..TaskBlockRecord::default()
    };
    for (name, version, head) in [
        ("as it was last", 9, head(false, TaskBlockRecord::default())),
        ("cancelled", 11, head(true, TaskBlockRecord::default())),
        ("with a place", 11, head(false, placed)),
    ] {
        let changes = Changes {
            revision: version,
            events: vec![Change::Put {
                key: unfinished_job_key(f.shard, &id, 0),
                value: to_value(head).expect("a record"),
                version,
            }],
        };
        let body = serde_json::to_vec(&changes).expect("changes");
        let Fixture { node, shard, .. } = &mut f;
        let shard = node.shards.get_mut(shard).expect("the shard is held");
        shard.on_jobs_watch(&mut node.ctx, 0, 200, &body);
        assert!(!shard.jobs.contains_key(&id), "{name}");
    }
}

/// Guards against a finished job that is held forever: its permanent record shows
/// the final stage while tasks are bound whose start was never sent, and no worker
/// ever reports that those tasks exited.
#[test]
fn unsent_tasks_do_not_keep_a_finished_job() {
    for (sent, kept) in [(StartState::NotSent, false), (StartState::Unknown, true)] {
        let mut f = Fixture::new();
        let id = f.job("j-1", JobKind::Service, 1);
        f.bind(&id, 0, sent);
        let binding: &Binding = &f.shard().jobs[&id].bindings[&0];
        assert_eq!(binding.start, sent);
        let record = JobRecord {
            spec: (*f.shard().jobs[&id].spec).clone(),
            shard: f.shard,
            stage: JobStage::Cancelled,
        };
        let body = json!({"key": job_key(&id), "data": record, "stamp": 7}).to_string();
        let crate::node::Node {
            shards,
            ctx,
            final_stages,
            ..
        } = &mut f.node;
        let shard = shards.get_mut(&f.shard).expect("the shard is held");
        shard.on_final_read(ctx, final_stages, &id, 200, body.as_bytes());
        assert_eq!(shard.jobs.contains_key(&id), kept, "{sent:?}");
        let used = !shard.quotas[0].used.is_zero();
        assert_eq!(used, kept, "{sent:?}: the quota");
    }
}

/// A model of the key-value store that holds the records of a shard's jobs.
#[derive(Clone, Default)]
struct Records {
    items: std::collections::BTreeMap<String, Item>,
    revision: u64,
}

impl Records {
    /// Executes a transaction, and returns the status and the body of the response.
    fn execute(&mut self, transaction: &Transaction, shard_key: &str) -> (u16, serde_json::Value) {
        let version = |key: &str| self.items.get(key).map_or(0, |i| i.version);
        let holds = |c: &&Precondition| c.key != shard_key && version(&c.key) != c.version;
        let failed: Vec<String> = transaction
            .preconditions
            .iter()
            .filter(holds)
            .map(|c| c.key.clone())
            .collect();
        if !failed.is_empty() {
            return (409, json!({"failed": failed, "ledger_rev": self.revision}));
        }
        self.revision += 1;
        for write in &transaction.writes {
            match write {
                Write::Put { key, value, .. } => {
                    let item = Item {
                        key: key.clone(),
                        value: value.clone(),
                        version: self.revision,
                    };
                    self.items.insert(key.clone(), item);
                }
                Write::Remove { key } => drop(self.items.remove(key)),
            }
        }
        (200, json!({"ledger_rev": self.revision}))
    }

    fn live(&self) -> Vec<Item> {
        let all = self.items.values();
        all.filter(|i| i.key.starts_with("live/"))
            .cloned()
            .collect()
    }
}

/// State of a job's tasks: the completed ones as ranges, and the bound ones with
/// their attempt numbers.
type Tasks = (Vec<(u32, u32)>, Vec<(u32, u64)>);

fn tasks_of(f: &mut Fixture, id: &JobId) -> Tasks {
    let job = &f.shard().jobs[id];
    let bound = job.bindings.iter().map(|(i, b)| (*i, b.attempt)).collect();
    (job.completed.ranges_within(0, job.spec.tasks), bound)
}

/// Runs the controller and answers its transactions until it sends no more. Passes
/// the records to `inspect` after each transaction.
fn settle(f: &mut Fixture, records: &mut Records, mut inspect: impl FnMut(&Records)) {
    let shard_key = shard_key(f.shard);
    let mut steps = 0;
    let mut effects = Vec::new();
    while steps < 200 || !effects.is_empty() {
        if effects.is_empty() {
            effects = f.step(200);
            steps += 1;
        }
        for (call, body) in std::mem::take(&mut effects)
            .iter()
            .filter_map(transaction_of)
        {
            let transaction: Transaction = serde_json::from_slice(&body).expect("a transaction");
            check_limits(f, &transaction);
            let is_of_jobs =
                |w: &Write| w.key().starts_with("live/") || w.key().starts_with("job/");
            let (status, reply) = match transaction.writes.iter().all(is_of_jobs) {
                true => records.execute(&transaction, &shard_key),
                false => (200, json!({"ledger_rev": records.revision})),
            };
            inspect(records);
            let body = reply.to_string().into_bytes();
            let answer = Input::Response { call, status, body };
            let now = f.node.ctx.now;
            effects.extend(f.node.step(now, WALL, vec![answer]));
        }
    }
}

/// Call number and body of an effect that sends a transaction.
fn transaction_of(effect: &Effect) -> Option<(u64, Vec<u8>)> {
    match effect {
        Effect::Call { id, path, body, .. } if path == "/txn" => {
            Some((*id, body.clone().unwrap_or_default()))
        }
        _ => None,
    }
}

fn check_limits(f: &Fixture, transaction: &Transaction) {
    let limits = &f.node.ctx.limits;
    assert!(transaction.writes.len() <= limits.txn_ops, "changes");
    assert!(
        transaction.preconditions.len() <= limits.max_preconditions(),
        "conditions"
    );
    for write in &transaction.writes {
        if let Write::Put { key, value, .. } = write {
            assert!(value.to_string().len() <= limits.value_bytes, "{key}");
        }
    }
}

/// Records of an array job as the first release writes them: one task in three is
/// completed, and one in three is bound to the machine.
fn old_records(f: &mut Fixture, id: &JobId, tasks: u32) -> Records {
    let spec = spec(id, &team_of(f), JobKind::Array, tasks);
    let layout = BlockLayout::implicit(&f.node.ctx.config.state_limits);
    let block = |b: u32| {
        let (from, to) = layout.task_range(b);
        let all = || from..to.min(tasks);
        let done = all().filter(|i| i % 3 == 0).map(|i| (i, i + 1));
        let bound = all().filter(|i| i % 3 == 1);
        TaskBlockRecord {
            last_attempt: 2,
            done: done.collect(),
            bound: bound.map(|i| (i, 2, MachineId::new("m-1"))).collect(),
        }
    };
    let head = JobHeadRecord {
        spec,
        cancelled: false,
        cancelled_at_ms: 0,
        submitted_at_ms: WALL,
        tasks_per_block: None,
        block: block(0),
    };
    let mut records = Records {
        revision: 5,
        ..Records::default()
    };
    let mut put = |key: String, value| {
        let version = 4;
        let item = Item {
            key: key.clone(),
            value,
            version,
        };
        records.items.insert(key, item);
    };
    put(
        unfinished_job_key(f.shard, id, 0),
        to_value(head).expect("a head"),
    );
    for b in 1..=layout.block_of(tasks - 1) {
        let value = to_value(block(b)).expect("a block");
        put(unfinished_job_key(f.shard, id, b), value);
    }
    records
}

/// Bodies of the calls that remove records.
fn removals(effects: &[Effect]) -> Vec<String> {
    let bodies = effects.iter().filter_map(|effect| match effect {
        Effect::Call {
            body: Some(body), ..
        } => Some(String::from_utf8_lossy(body).into_owned()),
        _ => None,
    });
    bodies.filter(|body| body.contains("\"remove\"")).collect()
}

/// Guards against tasks that are lost or found twice if the shard changes its holder
/// during a layout change. A job that the first release recorded in large blocks is
/// moved to small ones; a recovery after each transaction must find either the state
/// before the change or the state after it.
#[test]
fn recovery_during_a_layout_change_finds_each_task_once() {
    for tasks in [10, 60, 300] {
        let mut f = Fixture::new();
        let id = JobId::new("j-1");
        let mut records = old_records(&mut f, &id, tasks);
        f.recover_shard(records.live());
        let before = tasks_of(&mut f, &id);
        assert!(!before.0.is_empty() && !before.1.is_empty());
        f.finalize_format();
        f.exit_task(&id, 1);
        let after = tasks_of(&mut f, &id);
        assert_ne!(before, after);
        let mut seen = Vec::new();
        settle(&mut f, &mut records, |records| {
            let mut next = Fixture::new();
            next.finalize_format();
            next.recover_shard(records.live());
            seen.push(tasks_of(&mut next, &JobId::new("j-1")));
        });
        assert!(
            seen.iter().all(|s| *s == before || *s == after),
            "{tasks} tasks"
        );
        let changed = seen
            .iter()
            .position(|s| *s == after)
            .expect("it is written");
        assert!(
            seen[changed..].iter().all(|s| *s == after),
            "{tasks} tasks: back again"
        );
        // No block of the old layout is left, and no record exceeds the limit.
        let most = f.node.ctx.limits.value_bytes;
        for item in records.live() {
            assert!(item.value.to_string().len() <= most, "{}", item.key);
        }
        let mut next = Fixture::new();
        next.finalize_format();
        next.recover_shard(records.live());
        let effects = next.step(200);
        assert_eq!(
            removals(&effects),
            Vec::<String>::new(),
            "{tasks} tasks: left over"
        );
    }
}

/// Guards against a task start that a recovery would not find: writes under a layout
/// that the head does not name yet must not count as durable.
#[test]
fn writes_are_not_durable_until_the_head_names_the_layout() {
    let mut f = Fixture::new();
    let (id, index) = (JobId::new("j-1"), 30);
    let mut records = old_records(&mut f, &id, 300);
    f.recover_shard(records.live());
    f.finalize_format();
    let job = f.shard().jobs.get_mut(&id).expect("it is there");
    let version = job.mark_block_changed(job.block_of(index));
    f.shard().unwritten_jobs.mark_due(&id);
    let shard_key = shard_key(f.shard);
    let mut durable = Vec::new();
    let mut effects = f.step(1_000);
    for _ in 0..100 {
        for (call, body) in std::mem::take(&mut effects)
            .iter()
            .filter_map(transaction_of)
        {
            let transaction: Transaction = serde_json::from_slice(&body).expect("a transaction");
            let (status, reply) = records.execute(&transaction, &shard_key);
            let body = reply.to_string().into_bytes();
            let answer = Input::Response { call, status, body };
            let now = f.node.ctx.now;
            effects.extend(f.node.step(now, WALL, vec![answer]));
            let head = &records.items[&unfinished_job_key(f.shard, &id, 0)];
            let is_named = head.value.get("layout").is_some();
            let is_durable = f.shard().jobs[&id].is_durable(index, version);
            durable.push(is_durable);
            assert!(is_named || !is_durable, "before the head was written");
        }
        effects.extend(f.step(200));
    }
    assert_eq!(durable.first(), Some(&false));
    assert_eq!(durable.last(), Some(&true));
}
