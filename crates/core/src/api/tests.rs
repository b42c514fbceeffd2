//! Tests of the API.

use super::*;
use crate::fixture::{answer_to, Fixture, EPOCH};
use crate::pending_call::PendingCall;
use crate::records::{job_key, JobRecord};
use crate::shard::job::StartState;
use forkshift_wire::users::JobKind;
use forkshift_wire::NodeName;
use serde_json::json;

fn is_lookup(pending: &PendingCall) -> bool {
    matches!(pending, PendingCall::JobLookup { .. })
}

fn record(f: &mut Fixture, id: &JobId, stage: JobStage) -> serde_json::Value {
    let spec = (*f.shard().jobs[id].spec).clone();
    let record = JobRecord {
        spec,
        shard: f.shard,
        stage,
    };
    json!({"key": job_key(id), "data": record, "stamp": 7})
}

/// A cancellation is confirmed at once if it is recorded, and refused at once by a
/// holder without a valid lease.
#[test]
fn cancellation_is_answered_at_once_if_its_outcome_is_known() {
    #[derive(Debug)]
    enum Case {
        /// An earlier holder has recorded it; tasks remain.
        Recorded,
        /// It has to be recorded.
        New,
        /// It has to be recorded by another holder.
        WithoutLease,
    }
    let answers = [
        (Case::Recorded, Some(200)),
        (Case::New, None),
        (Case::WithoutLease, Some(503)),
    ];
    for (case, status) in answers {
        let mut f = Fixture::new();
        let id = f.job("j-1", JobKind::Service, 1);
        f.bind(&id, 0, StartState::Unknown);
        match case {
            Case::Recorded => {
                let job = f.shard().jobs.get_mut(&id).expect("it is there");
                (job.is_cancelled, job.is_cancellation_durable) = (true, true);
            }
            Case::New => {}
            Case::WithoutLease => f.lose_lease(),
        }
        let answer = f.request(1, "POST", "/submissions/j-1/abort");
        assert_eq!(answer.as_ref().map(|a| a.0), status, "{case:?}");
        assert!(
            f.shard().jobs[&id].is_cancelled,
            "{case:?}: its tasks are stopped"
        );
        // A request is answered before its user gives up.
        if status.is_none() {
            let mut late_answer = None;
            for _ in 0..50 {
                late_answer = late_answer.or(answer_to(&f.step(100), 1));
            }
            let late_status = late_answer.map(|answer| answer.0);
            assert_eq!(late_status, Some(503), "{case:?}: in time");
        }
    }
}

/// A record that was read before a newer stage became known is not answered any more.
#[test]
fn status_is_never_older_than_a_stage_that_became_known_during_the_read() {
    let stage = |answer: Option<(u16, String)>| {
        let (status, body) = answer.expect("an answer");
        let reported = serde_json::from_str::<JobStatus>(&body).ok();
        (status, reported.map(|reported| reported.stage))
    };
    // Its final stage became known while its record was read.
    let mut f = Fixture::new();
    let id = f.job("j-1", JobKind::Service, 1);
    let old = record(&mut f, &id, JobStage::Queued);
    f.shard().remove_job(&id, 9);
    assert_eq!(f.request(1, "GET", "/submissions/j-1"), None);
    f.node.final_stages.insert(id.clone(), JobStage::Cancelled);
    let effects = f.answer(is_lookup, 200, &old);
    let cancelled = (200, Some(JobStage::Cancelled));
    assert_eq!(stage(answer_to(&effects, 1)), cancelled, "final meanwhile");
    // It was accepted here while its record was not found: it is read again.
    let mut f = Fixture::new();
    assert_eq!(f.request(1, "GET", "/submissions/j-2"), None);
    let id = f.job("j-2", JobKind::Service, 1);
    let new = record(&mut f, &id, JobStage::Queued);
    let shard = f.shard;
    f.node.job_shards.insert(id, shard);
    let effects = f.answer(is_lookup, 404, &json!({"ledger_rev": 5}));
    assert_eq!(answer_to(&effects, 1), None, "accepted meanwhile");
    let effects = f.answer(is_lookup, 200, &new);
    assert_eq!(stage(answer_to(&effects, 1)), (200, Some(JobStage::Queued)));
    // It was never accepted.
    let mut f = Fixture::new();
    assert_eq!(f.request(1, "GET", "/submissions/j-3"), None);
    let effects = f.answer(is_lookup, 404, &json!({"ledger_rev": 5}));
    assert_eq!(stage(answer_to(&effects, 1)), (404, None));
}

/// The view may show within a batch that the shard has a new holder, before
/// the shard is dropped.
#[test]
fn status_is_answered_from_memory_only_under_the_current_epoch() {
    for (epoch, answers) in [(EPOCH, true), (EPOCH + 1, false)] {
        let mut f = Fixture::new();
        let id = f.job("j-1", JobKind::Service, 1);
        let shard = f.shard;
        let record = f.node.view.shards.get_mut(&shard).expect("it is there");
        record.record.epoch = epoch;
        let answer = f.node.status_from_memory(&id);
        assert_eq!(answer.is_some(), answers, "epoch {epoch}");
    }
}

/// A cancellation that is seen before its job is carried out as soon as the job is seen.
#[test]
fn cancellation_that_is_seen_before_its_job_is_carried_out() {
    let mut f = Fixture::new();
    let id = JobId::parse("j-1").expect("an id");
    f.node.view.cancellations.insert(id.clone(), 6);
    f.step(1);
    f.job("j-1", JobKind::Service, 1);
    f.step(1);
    let job = f.shard().jobs.get(&id);
    assert!(job.is_none_or(|job| job.is_cancelled));
}

/// Heartbeats that waited in the sockets while their holder was paused are
/// answered by the lease that it has when it resumes.
#[test]
fn heartbeat_that_waited_during_a_pause_is_answered_by_the_remaining_lease() {
    let settings = Fixture::new().node.ctx.config.clone();
    let lease = settings.node_lease_ms();
    // Without a valid lease a holder goes on answering while no other holder can have
    // confirmed a cancellation for too long.
    let grace = settings.grace_ms();
    for (pause, status) in [(lease / 2, 200), (lease + grace + 1_000, 421)] {
        let mut f = Fixture::new();
        let config = std::rc::Rc::get_mut(&mut f.node.ctx.config).expect("no other reference");
        config.nodes.push(NodeName::new("another"));
        let token = f.token();
        let heartbeat = f.heartbeat_message(1, token, &[]);
        let request = crate::io::Input::Request {
            request: RequestId(1),
            method: "POST".to_owned(),
            path: "/v1/report".to_owned(),
            body: Some(serde_json::to_vec(&heartbeat).expect("a heartbeat")),
        };
        let now = f.node.ctx.now + pause;
        let effects = f.node.step(now, 0, vec![request]);
        let answer = answer_to(&effects, 1).expect("an answer");
        assert_eq!(answer.0, status, "after {pause} ms");
    }
}

/// A renewal of the lease that was answered while its controller was paused
/// counts from when it was sent: nothing is answered from memory.
#[test]
fn lease_renewal_that_is_answered_during_a_pause_counts_from_when_it_was_sent() {
    let lease = Fixture::new().node.ctx.config.node_lease_ms();
    for (pause, from_memory) in [(lease / 2, true), (lease * 2, false)] {
        let mut f = Fixture::new();
        f.job("j-1", JobKind::Array, 1);
        // It is sent, and the process pauses.
        f.step(lease / 4);
        f.node.ctx.now += pause;
        f.answer(
            |p| matches!(p, PendingCall::LeaseRenewal { .. }),
            200,
            &json!({}),
        );
        let answer = f.request(1, "GET", "/submissions/j-1");
        assert_eq!(answer.is_some(), from_memory, "after {pause} ms");
    }
}
