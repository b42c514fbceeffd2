//! Tests of `api`.

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

/// Who asks to cancel a job is answered at once where it is known how it
/// stands, and refused at once by a holder without a right.
#[test]
fn a_cancellation_has_its_answer_at_once() {
    #[derive(Debug)]
    enum Case {
        /// An earlier holder has written it; tasks are left.
        Written,
        /// It has to be written.
        New,
        /// It has to be written, by somebody else.
        NoRight,
    }
    let answers = [
        (Case::Written, Some(200)),
        (Case::New, None),
        (Case::NoRight, Some(503)),
    ];
    for (case, status) in answers {
        let mut f = Fixture::new();
        let id = f.job("j-1", JobKind::Service, 1);
        f.bind(&id, 0, StartState::Unknown);
        match case {
            Case::Written => {
                let job = f.shard().jobs.get_mut(&id).expect("it is there");
                (job.is_cancelled, job.is_cancellation_durable) = (true, true);
            }
            Case::New => {}
            Case::NoRight => f.lose_right(),
        }
        let answer = f.ask(1, "POST", "/submissions/j-1/abort");
        assert_eq!(answer.as_ref().map(|a| a.0), status, "{case:?}");
        assert!(
            f.shard().jobs[&id].is_cancelled,
            "{case:?}: its tasks are stopped"
        );
        // Nobody waits for longer than users do.
        if status.is_none() {
            let mut later = None;
            for _ in 0..50 {
                later = later.or(answer_to(&f.step(100), 1));
            }
            assert_eq!(later.map(|a| a.0), Some(503), "{case:?}: at last");
        }
    }
}

/// What was read before something newer was told is not told any more.
#[test]
fn an_answer_is_never_older_than_what_was_told_meanwhile() {
    let stage = |answer: Option<(u16, String)>| {
        let (status, body) = answer.expect("an answer");
        let told = serde_json::from_str::<JobStatus>(&body).ok();
        (status, told.map(|t| t.stage))
    };
    // It was told to be over while its record was read.
    let mut f = Fixture::new();
    let id = f.job("j-1", JobKind::Service, 1);
    let old = record(&mut f, &id, JobStage::Queued);
    f.shard().forget_job(&id, 9);
    assert_eq!(f.ask(1, "GET", "/submissions/j-1"), None);
    f.node.final_stages.insert(id.clone(), JobStage::Cancelled);
    let effects = f.answer(is_lookup, 200, &old);
    let cancelled = (200, Some(JobStage::Cancelled));
    assert_eq!(stage(answer_to(&effects, 1)), cancelled, "over meanwhile");
    // It was accepted here while its record was not found: it is read again.
    let mut f = Fixture::new();
    assert_eq!(f.ask(1, "GET", "/submissions/j-2"), None);
    let id = f.job("j-2", JobKind::Service, 1);
    let new = record(&mut f, &id, JobStage::Queued);
    let shard = f.shard;
    f.node.job_shards.insert(id, shard);
    let effects = f.answer(is_lookup, 404, &json!({"ledger_rev": 5}));
    assert_eq!(answer_to(&effects, 1), None, "accepted meanwhile");
    let effects = f.answer(is_lookup, 200, &new);
    assert_eq!(stage(answer_to(&effects, 1)), (200, Some(JobStage::Queued)));
    // Nothing is known of it: it is not there.
    let mut f = Fixture::new();
    assert_eq!(f.ask(1, "GET", "/submissions/j-3"), None);
    let effects = f.answer(is_lookup, 404, &json!({"ledger_rev": 5}));
    assert_eq!(stage(answer_to(&effects, 1)), (404, None));
}

/// The view may show within a batch that the shard has changed hands, before
/// the shard is let go.
#[test]
fn memory_answers_only_under_the_epoch_that_the_view_shows() {
    for (epoch, answers) in [(EPOCH, true), (EPOCH + 1, false)] {
        let mut f = Fixture::new();
        let id = f.job("j-1", JobKind::Service, 1);
        let shard = f.shard;
        let record = f.node.view.shards.get_mut(&shard).expect("it is there");
        record.record.epoch = epoch;
        let answer = f.node.remembered_status(&id);
        assert_eq!(answer.is_some(), answers, "epoch {epoch}");
    }
}

/// A cancellation that is left before its job is seen is carried out when it is.
#[test]
fn a_cancellation_may_be_seen_before_its_job() {
    let mut f = Fixture::new();
    let id = JobId::parse("j-1").expect("an id");
    f.node.view.cancellations.insert(id.clone(), 6);
    f.step(1);
    f.job("j-1", JobKind::Service, 1);
    f.step(1);
    let job = f.shard().jobs.get(&id);
    assert!(job.is_none_or(|j| j.is_cancelled));
}

/// Reports that waited in the sockets while their holder stood still are
/// answered by the right that it has as it goes on.
#[test]
fn a_report_that_waited_through_a_stop() {
    let settings = Fixture::new().node.ctx.config.clone();
    let right = settings.node_lease_ms();
    // Without a right a holder goes on answering while nobody can have
    // confirmed a cancellation in its stead for too long.
    let grace = settings.grace_ms();
    for (stop, status) in [(right / 2, 200), (right + grace + 1_000, 421)] {
        let mut f = Fixture::new();
        let config = std::rc::Rc::get_mut(&mut f.node.ctx.config).expect("nobody else has it");
        config.nodes.push(NodeName::new("another"));
        let token = f.token();
        let heartbeat = f.message(1, token, &[]);
        let request = crate::io::Input::Request {
            request: RequestId(1),
            method: "POST".to_owned(),
            path: "/v1/report".to_owned(),
            body: Some(serde_json::to_vec(&heartbeat).expect("a report")),
        };
        let now = f.node.ctx.now + stop;
        let effects = f.node.step(now, 0, vec![request]);
        let answer = answer_to(&effects, 1).expect("an answer");
        assert_eq!(answer.0, status, "after {stop} ms");
    }
}

/// An extension of the lease that was answered while its controller stood still
/// counts from when it was sent: nothing is answered from memory.
#[test]
fn an_extension_that_was_answered_during_a_stop() {
    let right = Fixture::new().node.ctx.config.node_lease_ms();
    for (stop, from_memory) in [(right / 2, true), (right * 2, false)] {
        let mut f = Fixture::new();
        f.job("j-1", JobKind::Array, 1);
        // It is sent, and everything stops.
        f.step(right / 4);
        f.node.ctx.now += stop;
        f.answer(
            |p| matches!(p, PendingCall::LeaseRenewal { .. }),
            200,
            &json!({}),
        );
        let answer = f.ask(1, "GET", "/submissions/j-1");
        assert_eq!(answer.is_some(), from_memory, "after {stop} ms");
    }
}
