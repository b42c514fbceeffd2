//! Tests of `job_writes`.

use super::*;
use crate::fixture::{spec, team_of, Fixture, WALL};
use crate::io::{Effect, Input};
use crate::records::{
    job_key, shard_key, unfinished_key, JobHeadRecord, JobRecord, TaskBlockRecord,
};
use crate::shard::job::{Binding, StartState};
use crate::shard::layout::Layout;
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

/// A job whose last write landed without an answer once came back: its record
/// is older than its head's last version, which the watch still showed.
#[test]
fn a_job_that_is_over_does_not_come_back() {
    let mut f = Fixture::new();
    let id = f.job("j-1", JobKind::Service, 1);
    // Cancelled at revision 7; the head was written again at 9; the last write
    // landed at 10.
    f.request(1, "POST", "/submissions/j-1/abort");
    f.shard()
        .jobs
        .get_mut(&id)
        .expect("it is there")
        .blocks
        .get_mut(&0)
        .expect("a head")
        .record_version = 9;
    let failed = json!({"failed": [unfinished_key(f.shard, &id, 0)], "ledger_rev": 10});
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
        next_attempt: 1,
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
                key: unfinished_key(f.shard, &id, 0),
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

/// Tasks of a job that turns out to be over, and that were never sent, once
/// kept it for ever.
#[test]
fn what_was_never_sent_does_not_keep_a_job_that_is_over() {
    for (sent, kept) in [(StartState::NotSent, false), (StartState::Unknown, true)] {
        let mut f = Fixture::new();
        let id = f.job("j-1", JobKind::Service, 1);
        f.bind(&id, 0, sent);
        let binding: &Binding = &f.shard().jobs[&id].bound[&0];
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
            final_stages: finals,
            ..
        } = &mut f.node;
        let shard = shards.get_mut(&f.shard).expect("the shard is held");
        shard.on_final_read(ctx, finals, &id, 200, body.as_bytes());
        assert_eq!(shard.jobs.contains_key(&id), kept, "{sent:?}");
        let used = !shard.quotas[0].used.is_zero();
        assert_eq!(used, kept, "{sent:?}: the quota");
    }
}

/// The records of a shard's jobs, as the state service would have them.
#[derive(Clone, Default)]
struct Records {
    items: std::collections::BTreeMap<String, Item>,
    revision: u64,
}

impl Records {
    /// Executes a transaction, and returns its status and answer.
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

/// Everything that matters of a job's tasks: those that are done, as ranges, and
/// those that may be on a machine, with their attempts.
type Tasks = (Vec<(u32, u32)>, Vec<(u32, u64)>);

fn tasks_of(f: &mut Fixture, id: &JobId) -> Tasks {
    let job = &f.shard().jobs[id];
    let bound = job.bound.iter().map(|(i, b)| (*i, b.attempt)).collect();
    (job.done.ranges_within(0, job.spec.tasks), bound)
}

/// Answers every transaction that is sent until none is left; after each, the
/// records are passed to `inspect`.
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

/// The call and the body of a transaction that is sent.
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
        transaction.preconditions.len() <= limits.conditions(),
        "conditions"
    );
    for write in &transaction.writes {
        if let Write::Put { key, value, .. } = write {
            assert!(value.to_string().len() <= limits.value_bytes, "{key}");
        }
    }
}

/// The records of an array as the first release has them: one task in three is
/// done, one in three is on the machine.
fn old_records(f: &mut Fixture, id: &JobId, tasks: u32) -> Records {
    let spec = spec(id, &team_of(f), JobKind::Array, tasks);
    let layout = Layout::unnamed(&f.node.ctx.config.state_limits);
    let block = |b: u32| {
        let (from, to) = layout.tasks_of(b);
        let all = || from..to.min(tasks);
        let done = all().filter(|i| i % 3 == 0).map(|i| (i, i + 1));
        let bound = all().filter(|i| i % 3 == 1);
        TaskBlockRecord {
            next_attempt: 2,
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
        unfinished_key(f.shard, id, 0),
        to_value(head).expect("a head"),
    );
    for b in 1..=layout.block_of(tasks - 1) {
        let value = to_value(block(b)).expect("a block");
        put(unfinished_key(f.shard, id, b), value);
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

/// A job that the first release recorded in large blocks is moved to small ones
/// when it next changes. A holder that recovers it after any transaction finds
/// each task once, as it was or as it has become.
#[test]
fn a_job_is_moved_to_smaller_records_whatever_happens_on_the_way() {
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
        // Nothing of the old layout is left, and nothing is too large.
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

/// What is written under a layout that the head does not name yet does not
/// count: a start that rests on it waits.
#[test]
fn nothing_is_durable_before_the_head_names_the_layout() {
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
            let head = &records.items[&unfinished_key(f.shard, &id, 0)];
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
