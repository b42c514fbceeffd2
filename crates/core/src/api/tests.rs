//! Tests of the HTTP API.

use super::*;
use crate::fixture::{answer_to, Fixture, EPOCH};
use crate::pending_call::PendingCall;
use crate::records::{job_key, JobRecord};
use crate::shard::job::StartState;
use forkshift_wire::users::JobKind;
use forkshift_wire::NodeName;
use serde_json::json;

fn is_lookup(pending: &PendingCall) -> bool {
    matches!(pending, PendingCall::JobLookup(_))
}

fn job_record_item(f: &mut Fixture, id: &JobId, stage: JobStage) -> serde_json::Value {
    let spec = (*f.shard().jobs[id].spec).clone();
    let record = JobRecord {
        spec,
        shard: f.shard,
        stage,
    };
    json!({"key": job_key(id), "data": record, "stamp": 7})
}

/// A durable cancellation must be confirmed at once, and a holder without a valid lease must
/// refuse to confirm at once: the user would otherwise wait for a write that is not needed, or
/// for one that this holder may not make.
#[test]
fn cancellation_is_answered_at_once_if_its_outcome_is_known() {
    #[derive(Debug)]
    enum Case {
        /// An earlier holder has recorded the cancellation; tasks remain.
        Recorded,
        /// The cancellation must be recorded.
        New,
        /// The cancellation must be recorded, and this holder's lease has expired.
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
        // The request is answered before the user's client times out.
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

/// A job's record may be outdated when the response to its read arrives. The user must not get
/// an older status than a controller has reported before.
#[test]
fn status_is_never_older_than_a_stage_that_became_known_during_the_read() {
    let stage = |answer: Option<(u16, String)>| {
        let (status, body) = answer.expect("an answer");
        let reported = serde_json::from_str::<JobStatus>(&body).ok();
        (status, reported.map(|reported| reported.stage))
    };
    // The job's final stage became known while the record was read.
    let mut f = Fixture::new();
    let id = f.job("j-1", JobKind::Service, 1);
    let old = job_record_item(&mut f, &id, JobStage::Queued);
    f.shard().remove_job(&id, 9);
    assert_eq!(f.request(1, "GET", "/submissions/j-1"), None);
    f.node.final_stages.insert(id.clone(), JobStage::Cancelled);
    let effects = f.answer(is_lookup, 200, &old);
    let cancelled = (200, Some(JobStage::Cancelled));
    assert_eq!(stage(answer_to(&effects, 1)), cancelled, "final meanwhile");
    // The job was accepted here after its record was not found: the record is read again.
    let mut f = Fixture::new();
    assert_eq!(f.request(1, "GET", "/submissions/j-2"), None);
    let id = f.job("j-2", JobKind::Service, 1);
    let new = job_record_item(&mut f, &id, JobStage::Queued);
    let shard = f.shard;
    f.node.job_shards.insert(id, shard);
    let effects = f.answer(is_lookup, 404, &json!({"ledger_rev": 5}));
    assert_eq!(answer_to(&effects, 1), None, "accepted meanwhile");
    let effects = f.answer(is_lookup, 200, &new);
    assert_eq!(stage(answer_to(&effects, 1)), (200, Some(JobStage::Queued)));
    // The job was never accepted.
    let mut f = Fixture::new();
    assert_eq!(f.request(1, "GET", "/submissions/j-3"), None);
    let effects = f.answer(is_lookup, 404, &json!({"ledger_rev": 5}));
    assert_eq!(stage(answer_to(&effects, 1)), (404, None));
}

/// An input may update the view to a new holder of the shard before the same batch drops the
/// shard. The status in memory may then be outdated.
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

/// The watch of cancellations may be ahead of the watch of jobs. A cancellation of a job that is
/// not known yet must be executed when the job becomes known.
#[test]
fn cancellation_that_arrives_before_its_job_is_executed_with_the_job() {
    let mut f = Fixture::new();
    let id = JobId::parse("j-1").expect("an id");
    f.node.view.cancellations.insert(id.clone(), 6);
    f.step(1);
    f.job("j-1", JobKind::Service, 1);
    f.step(1);
    let job = f.shard().jobs.get(&id);
    assert!(job.is_none_or(|job| job.is_cancelled));
}

/// Heartbeats queue in the sockets while the process of their holder is paused. When it resumes,
/// they must be answered according to the state of its lease at that time.
#[test]
fn heartbeat_queued_during_a_pause_is_answered_according_to_the_lease_after_it() {
    let settings = Fixture::new().node.ctx.config.clone();
    let lease = settings.node_lease_ms();
    // A holder without a valid lease continues to answer during the grace period, in which
    // the worker's lease still expires in time after a cancellation by another holder.
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

/// The response to a lease renewal may arrive during a pause of the process. The lease counts
/// from the time at which the renewal was sent; counted from the response, the controller would
/// answer from memory after the lease expired.
#[test]
fn lease_renewed_during_a_pause_counts_from_the_time_of_the_request() {
    let lease = Fixture::new().node.ctx.config.node_lease_ms();
    for (pause, from_memory) in [(lease / 2, true), (lease * 2, false)] {
        let mut f = Fixture::new();
        f.job("j-1", JobKind::Array, 1);
        // The renewal is sent, and the process pauses.
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
