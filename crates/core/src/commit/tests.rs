//! Tests of `commit`.

use super::*;
use crate::fixture::Fixture;
use crate::job::Binding;
use crate::records::{live_key, JobHeadRecord, TaskBlockRecord};
use forkshift_wire::state::{Change, Changes};
use forkshift_wire::users::JobKind;
use forkshift_wire::MachineId;
use serde_json::json;

fn is_txn(pending: &Pending) -> bool {
    matches!(pending, Pending::JobTxn { .. })
}

fn is_fix(pending: &Pending) -> bool {
    matches!(pending, Pending::JobFix { .. })
}

fn is_final(pending: &Pending) -> bool {
    matches!(pending, Pending::JobFinal { .. })
}

/// A job whose last write landed without an answer once came back: its record
/// is older than its head's last version, which the watch still showed.
#[test]
fn a_job_that_is_over_does_not_come_back() {
    let mut f = Fixture::new();
    let id = f.job("j-1", JobKind::Service, 1);
    // Cancelled at revision 7; the head was written again at 9; the last write
    // landed at 10.
    f.ask(1, "POST", "/submissions/j-1/abort");
    f.share()
        .jobs
        .get_mut(&id)
        .expect("it is there")
        .blocks
        .get_mut(&0)
        .expect("a head")
        .stamp = 9;
    let failed = json!({"failed": [live_key(f.share, &id, 0)], "ledger_rev": 10});
    f.answer(is_txn, 409, &failed);
    f.answer(is_fix, 404, &json!({"ledger_rev": 10}));
    let spec = f.share().jobs[&id].spec.clone();
    let rec = JobRecord {
        spec: (*spec).clone(),
        share: f.share,
        stage: JobStage::Cancelled,
    };
    let found = json!({"key": job_key(&id), "data": rec, "stamp": 7});
    f.answer(is_final, 200, &found);
    assert!(!f.share().jobs.contains_key(&id), "it is over");
    let head = |cancelled, block| JobHeadRecord {
        spec: (*spec).clone(),
        cancelled,
        cancelled_at: 0,
        at: 0,
        layout: None,
        block,
    };
    let placed = TaskBlockRecord {
        next: 1,
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
                put: live_key(f.share, &id, 0),
                value: to_value(head).expect("a record"),
                version,
            }],
        };
        let body = serde_json::to_vec(&changes).expect("changes");
        let Fixture { node, share, .. } = &mut f;
        let ours = node.shares.get_mut(share).expect("it is ours");
        ours.on_watch(&mut node.ctx, 200, &body);
        assert!(!ours.jobs.contains_key(&id), "{name}");
    }
}

/// Tasks of a job that turns out to be over, and that were never sent, once
/// kept it for ever.
#[test]
fn what_was_never_sent_does_not_keep_a_job_that_is_over() {
    for (sent, kept) in [(Sent::No, false), (Sent::Inherited, true)] {
        let mut f = Fixture::new();
        let id = f.job("j-1", JobKind::Service, 1);
        f.bind(&id, 0, sent);
        let binding: &Binding = &f.share().jobs[&id].bound[&0];
        assert_eq!(binding.sent, sent);
        let rec = JobRecord {
            spec: (*f.share().jobs[&id].spec).clone(),
            share: f.share,
            stage: JobStage::Cancelled,
        };
        let body = json!({"key": job_key(&id), "data": rec, "stamp": 7}).to_string();
        let crate::node::Node {
            shares,
            ctx,
            finals,
            ..
        } = &mut f.node;
        let share = shares.get_mut(&f.share).expect("it is ours");
        share.on_final(ctx, finals, &id, 200, body.as_bytes());
        assert_eq!(share.jobs.contains_key(&id), kept, "{sent:?}");
        let used = !share.quotas[0].used.is_zero();
        assert_eq!(used, kept, "{sent:?}: the quota");
    }
}
