//! Tests of the job feed.

use super::*;
use crate::fixture::{spec, team_of, Fixture};
use crate::io::Effect;
use crate::records::ShardId;
use forkshift_wire::users::{JobKind, JobSpec, JobStage};
use serde_json::{json, Value};

fn id(n: u32) -> JobId {
    JobId::new(&format!("j-{n}"))
}

fn is_poll(pending: &PendingCall) -> bool {
    matches!(pending, PendingCall::JobFeedPoll { .. })
}

fn is_read(pending: &PendingCall) -> bool {
    matches!(pending, PendingCall::DependencyRead { .. })
}

fn count(f: &Fixture, is_kind: impl Fn(&PendingCall) -> bool) -> usize {
    let calls = f.node.ctx.pending_calls.values();
    calls.filter(|call| is_kind(call)).count()
}

fn record(f: &mut Fixture, n: u32, stage: JobStage) -> JobRecord {
    let team = team_of(f);
    JobRecord {
        spec: JobSpec {
            dependencies: vec![id(n + 1)],
            ..spec(&id(n), &team, JobKind::Array, 1)
        },
        shard: ShardId(7),
        stage,
    }
}

/// A change of the record of job `n`.
fn put(f: &mut Fixture, n: u32, stage: JobStage) -> Value {
    let record = record(f, n, stage);
    json!({"put": job_key(&id(n)), "data": record, "stamp": 9})
}

/// Keeps the controller's lease valid while time passes.
fn advance(f: &mut Fixture, by: Ms) {
    f.step(by);
    let now = f.node.ctx.now;
    f.node.membership.on_lease_renewed(&f.node.ctx, now, 200);
}

/// Guards against jobs that count as unfinished after their end, or whose state counts as known
/// as of a later time than the request of the poll.
#[test]
fn polls_show_new_and_ended_jobs_as_of_their_request() {
    let mut f = Fixture::new();
    f.node.request_job_feed();
    f.step(0);
    let polled_at = f.node.ctx.now;
    advance(&mut f, 700);
    let events = [
        put(&mut f, 1, JobStage::Queued),
        put(&mut f, 3, JobStage::Queued),
    ];
    f.answer(is_poll, 200, &json!({"ledger_rev": 9, "news": events}));
    let feed = &f.node.job_feed;
    let job = feed.unfinished(&id(1)).expect("it is unfinished");
    assert_eq!(feed.unfinished_as_of(job), polled_at);
    assert_eq!(feed.dependents_of(&id(2)).collect::<Vec<_>>(), vec![&id(1)]);
    assert_eq!((job.shard, count(&f, is_poll)), (ShardId(7), 0));
    // The next poll asks for the changes since the first, and shows the end.
    let interval_ms = f.node.job_feed_interval_ms();
    advance(&mut f, interval_ms);
    let next_at = f.node.ctx.now;
    assert_eq!(count(&f, is_poll), 1);
    let events = [put(&mut f, 1, JobStage::Cancelled)];
    f.answer(is_poll, 200, &json!({"ledger_rev": 12, "news": events}));
    assert!(f.node.job_feed.unfinished(&id(1)).is_none());
    assert_eq!(f.node.final_stages.get(&id(1)), Some(JobStage::Cancelled));
    let feed = &f.node.job_feed;
    let other = feed.unfinished(&id(3)).expect("it is unfinished");
    assert_eq!(feed.unfinished_as_of(other), next_at);
    assert_eq!(feed.revision, Some(12));
}

/// Guards against a feed that goes on from a gap: if changes were lost, nothing that was known
/// of unfinished jobs is, and late answers of the earlier run change nothing.
#[test]
fn lost_changes_and_idle_time_make_known_jobs_unknown() {
    for (name, status) in [("too old", 410), ("too large", 413)] {
        let mut f = Fixture::new();
        f.node.request_job_feed();
        f.step(0);
        let run = f.node.job_feed.run();
        let record = record(&mut f, 1, JobStage::Queued);
        let now = f.node.ctx.now;
        f.node.job_feed.insert_read(run, &record, now);
        assert!(f.node.job_feed.unfinished(&id(1)).is_some());
        f.answer(is_poll, status, &json!({}));
        assert!(f.node.job_feed.unfinished(&id(1)).is_none(), "{name}");
        assert!(f.node.job_feed.revision.is_some(), "{name}: started again");
        f.node.job_feed.insert_read(run, &record, now);
        assert!(f.node.job_feed.unfinished(&id(1)).is_none(), "{name}: late");
    }
    // A feed that nothing needs is stopped.
    let mut f = Fixture::new();
    f.node.request_job_feed();
    f.step(0);
    let timeout_ms = f.node.ctx.config.cancellation_timeout_ms;
    advance(&mut f, timeout_ms);
    assert!(f.node.job_feed.revision.is_none());
}

/// Guards against hundreds of reads that hold up the calls behind them, and against reads that
/// are given up after a failure.
#[test]
fn requested_records_are_read_a_few_at_a_time_and_again_after_failures() {
    let mut f = Fixture::new();
    f.node.request_job_feed();
    let now = f.node.ctx.now;
    let priority = ReadPriority::Background;
    f.node.job_feed.read((100..300).map(id), priority, now);
    f.step(0);
    assert_eq!(count(&f, is_read), MAX_READS_IN_FLIGHT);
    f.answer(is_read, 503, &json!({}));
    assert_eq!(count(&f, is_read), MAX_READS_IN_FLIGHT - 1, "pause");
    advance(&mut f, RETRY_PAUSE_MS);
    assert_eq!(count(&f, is_read), MAX_READS_IN_FLIGHT);
    let mut reads = 0;
    while count(&f, is_read) > 0 && reads < 1_000 {
        reads += 1;
        let calls = f.node.ctx.pending_calls.iter();
        let last = calls
            .filter(|(_, call)| is_read(call))
            .max_by_key(|(id, _)| **id);
        let Some((_, PendingCall::DependencyRead { id: read, .. })) = last else {
            break;
        };
        let team_record = JobRecord {
            stage: JobStage::Done,
            ..record_of(&f, read)
        };
        let body = json!({"key": job_key(&team_record.spec.id), "data": team_record, "stamp": 9});
        f.answer(is_read, 200, &body);
        f.step(10);
    }
    assert_eq!(reads, 200, "each once");
}

fn record_of(f: &Fixture, id: &JobId) -> JobRecord {
    let shard = &f.node.shards[&f.shard];
    let team = shard.teams.keys().next().expect("a team");
    JobRecord {
        spec: spec(id, team, JobKind::Array, 1),
        shard: f.shard,
        stage: JobStage::Queued,
    }
}

fn poll_paths(f: &mut Fixture) -> Vec<String> {
    let effects = f.step(0);
    let paths = effects.into_iter().filter_map(|effect| match effect {
        Effect::Call { path, .. } if path.starts_with("/changes?starts=job/") => Some(path),
        _ => None,
    });
    paths.collect()
}

/// Guards against a controller that starts and reads the records of all recent jobs one by one:
/// the first poll shows them, and starts later if its answer is refused or does not come.
#[test]
fn feed_starts_in_the_past_and_later_if_that_is_refused() {
    for status in [410, 413, 0] {
        let mut f = Fixture::new();
        f.node.view.revision = 50_000;
        let look_back = f.node.job_feed.look_back;
        assert!(look_back > 1_000, "{look_back}");
        f.node.request_job_feed();
        let paths = poll_paths(&mut f);
        let from = 50_000 - look_back;
        let expected = format!("/changes?starts=job/&from={from}&wait_ms=0");
        assert_eq!(paths, vec![expected]);
        f.answer(is_poll, status, &json!({}));
        let from = 50_000 - look_back / 2;
        assert_eq!(f.node.job_feed.revision, Some(from), "{status}");
    }
}

/// Guards against a job that counts as unfinished since one of its earlier records was read
/// after its last one.
#[test]
fn of_several_changes_of_a_record_the_last_counts() {
    let mut f = Fixture::new();
    f.node.request_job_feed();
    f.step(0);
    let events = [
        put(&mut f, 1, JobStage::Queued),
        put(&mut f, 1, JobStage::Done),
        put(&mut f, 3, JobStage::Queued),
    ];
    f.node.final_stages.insert(id(3), JobStage::Cancelled);
    f.answer(is_poll, 200, &json!({"ledger_rev": 9, "news": events}));
    assert_eq!(f.node.final_stages.get(&id(1)), Some(JobStage::Done));
    for n in [1, 3] {
        assert!(f.node.job_feed.unfinished(&id(n)).is_none(), "j-{n}");
    }
}

/// Guards against thousands of reads of old unfinished jobs: their heads are listed. Jobs that
/// are cancelled, and blocks of tasks, do not count as unfinished jobs.
#[test]
fn unfinished_jobs_are_listed_if_many_records_are_wanted() {
    let is_page = |call: &PendingCall| matches!(call, PendingCall::UnfinishedJobsPage { .. });
    let mut f = Fixture::new();
    f.node.request_job_feed();
    f.step(0);
    let now = f.node.ctx.now;
    f.node
        .job_feed
        .read((100..300).map(id), ReadPriority::Request, now);
    f.step(0);
    assert_eq!(count(&f, is_page), 0, "not before the first poll");
    f.answer(is_poll, 200, &json!({"ledger_rev": 9, "news": []}));
    assert_eq!(count(&f, is_page), 1);
    let team = team_of(&mut f);
    let head = |n: u32, is_cancelled: bool| {
        let spec = JobSpec {
            dependencies: vec![id(n + 1)],
            ..spec(&id(n), &team, JobKind::Array, 1)
        };
        json!({"spec": spec, "cancelled": is_cancelled})
    };
    let items = json!([
        {"key": "live/7/j-150", "data": head(150, false), "stamp": 3},
        {"key": "live/7/j-150/1", "data": head(151, false), "stamp": 4},
        {"key": "live/7/j-152", "data": head(152, true), "stamp": 5},
    ]);
    let page = json!({"items": items, "has_next": true, "ledger_rev": 9});
    f.answer(is_page, 200, &page);
    assert_eq!(count(&f, is_page), 1, "the next page");
    let feed = &f.node.job_feed;
    let job = feed.unfinished(&id(150)).expect("it is unfinished");
    assert_eq!((job.shard, job.read_at), (ShardId(7), now));
    assert!(feed.unfinished(&id(151)).is_none() && feed.unfinished(&id(152)).is_none());
    assert_eq!(feed.wanted_for_ms(&id(150), now), None, "not read any more");
    assert!(feed.wanted_for_ms(&id(152), now).is_some());
    let last = json!({"items": [], "has_next": false, "ledger_rev": 9});
    f.answer(is_page, 200, &last);
    assert_eq!(count(&f, is_page), 0, "once");
}
