//! Tests of the admission of jobs with dependencies.

use super::*;
use crate::fixture::{answer_to, spec, team_of, Fixture};
use crate::io::Effect;
use crate::records::JobRecord;
use forkshift_wire::state::{Transaction, Write};
use forkshift_wire::users::{JobStage, JobStatus};
use serde_json::{json, Value};

fn id(n: u32) -> JobId {
    JobId::new(&format!("j-{n}"))
}

/// A job with dependencies.
fn dependent(f: &mut Fixture, n: u32, dependencies: &[u32]) -> JobSpec {
    let team = team_of(f);
    JobSpec {
        dependencies: dependencies.iter().map(|n| id(*n)).collect(),
        ..spec(&id(n), &team, JobKind::Array, 1)
    }
}

/// The record of a dependency, as the key-value store returns it.
fn job_record_item(f: &mut Fixture, n: u32, kind: JobKind, stage: JobStage) -> Value {
    let team = team_of(f);
    let record = JobRecord {
        spec: spec(&id(n), &team, kind, 1),
        shard: f.shard,
        stage,
    };
    json!({"key": job_key(&id(n)), "data": record, "stamp": 40 + n})
}

fn is_read_of(n: u32) -> impl Fn(&PendingCall) -> bool {
    move |p| matches!(p, PendingCall::AdmissionRead { id: read, .. } if *read == id(n))
}

fn is_lookup(pending: &PendingCall) -> bool {
    matches!(pending, PendingCall::JobLookup(_))
}

fn is_job_creation(pending: &PendingCall) -> bool {
    matches!(pending, PendingCall::JobCreation(_))
}

fn stage(body: &str) -> Option<JobStage> {
    let status: Option<JobStatus> = serde_json::from_str(body).ok();
    status.map(|s| s.stage)
}

/// The transaction that accepts a job, if it was sent.
fn transaction(effects: &[Effect]) -> Option<Transaction> {
    effects.iter().find_map(|e| match e {
        Effect::Call { path, body, .. } if path == "/txn" => {
            let body = body.as_deref().unwrap_or_default();
            let transaction: Transaction = serde_json::from_slice(body).ok()?;
            let is_job = |w: &Write| w.key().starts_with("job/");
            transaction.writes.iter().any(is_job).then_some(transaction)
        }
        _ => None,
    })
}

/// Controllers of the first release would ignore dependencies and start a job too early, so
/// dependencies are refused with 503 until the upgrade is finalized. Lists that can never be
/// satisfied are refused with 422. A job that was accepted before is answered with its status.
#[test]
fn invalid_dependencies_are_refused_without_reading_their_records() {
    let many: Vec<u32> = (10..60).collect();
    let cases: [(&str, bool, &[u32], u16); 4] = [
        ("not all are upgraded", false, &[2], 503),
        ("itself", true, &[1], 422),
        ("itself and another", true, &[2, 1], 422),
        ("more than a transaction has conditions", true, &many, 422),
    ];
    for (name, is_finalized, dependencies, status) in cases {
        for is_known in [false, true] {
            let mut f = Fixture::new();
            if is_finalized {
                f.finalize_format();
            }
            let spec = dependent(&mut f, 1, dependencies);
            assert_eq!(f.submit(1, &spec), None, "{name}");
            let effects = match is_known {
                true => {
                    let found = job_record_item(&mut f, 1, JobKind::Array, JobStage::Queued);
                    f.answer(is_lookup, 200, &found)
                }
                false => f.answer(is_lookup, 404, &json!({"ledger_rev": 5})),
            };
            let answered = answer_to(&effects, 1).map(|answer| answer.0);
            let expected = if is_known { 200 } else { status };
            assert_eq!(answered, Some(expected), "{name}, known {is_known}");
        }
    }
}

/// The records of the dependencies decide on a submission. If the key-value store does not
/// answer, the user must get a 503, and not a refusal that would be final.
#[test]
fn submission_is_decided_by_the_records_of_its_dependencies() {
    use JobKind::{Array, Service};
    use JobStage::{Cancelled, Done, Queued};
    /// Name of the case, response to the read of a dependency, and response to the user.
    type Case = (
        &'static str,
        u16,
        Option<(JobKind, JobStage)>,
        u16,
        Option<JobStage>,
    );
    let cases: [Case; 7] = [
        ("unfinished", 200, Some((Array, Queued)), 201, Some(Queued)),
        ("done", 200, Some((Array, Done)), 201, Some(Queued)),
        (
            "cancelled",
            200,
            Some((Array, Cancelled)),
            201,
            Some(Cancelled),
        ),
        ("a service", 200, Some((Service, Queued)), 422, None),
        ("never accepted", 404, None, 422, None),
        ("out", 503, None, 503, None),
        ("too many requests", 429, None, 503, None),
    ];
    for (name, read_status, found, status, answered) in cases {
        let mut f = Fixture::new();
        f.finalize_format();
        let spec = dependent(&mut f, 1, &[2, 3]);
        assert_eq!(f.submit(1, &spec), None, "{name}");
        let other = job_record_item(&mut f, 3, Array, Queued);
        f.answer(is_read_of(3), 200, &other);
        let body = match found {
            Some((kind, stage)) => job_record_item(&mut f, 2, kind, stage),
            None => json!({"error": "no"}),
        };
        let mut effects = f.answer(is_read_of(2), read_status, &body);
        if let Some(transaction) = transaction(&effects) {
            // The transaction is conditional on exactly the versions that were read.
            let versions: Vec<u64> = transaction
                .preconditions
                .iter()
                .map(|c| c.version)
                .collect();
            assert_eq!(versions.len(), 3, "{name}");
            assert!(versions.contains(&42) && versions.contains(&43), "{name}");
            let has_head = transaction.writes.len() == 2;
            assert_eq!(has_head, answered != Some(Cancelled), "{name}");
            effects = f.answer(is_job_creation, 200, &json!({"ledger_rev": 50}));
        } else if answer_to(&effects, 1).is_none() {
            effects = f.answer(is_lookup, 404, &json!({"ledger_rev": 5}));
        }
        let (code, body) = answer_to(&effects, 1).expect("an answer");
        assert_eq!(code, status, "{name}");
        assert_eq!(stage(&body), answered, "{name}");
        assert!(f.node.admissions.is_empty(), "{name}");
        // A job that is cancelled upon acceptance is not added to the holder's shard.
        let is_held = f.shard().jobs.contains_key(&id(1));
        assert_eq!(is_held, answered == Some(Queued), "{name}");
    }
}

/// A dependency may end between its read and the transaction that accepts the job: then it must
/// be read again. If the conflict is on the job itself, the job was accepted by another request
/// in the meantime, and its status is read instead.
#[test]
fn acceptance_with_a_failed_precondition_is_decided_again() {
    for (name, failed, is_read_again) in [("the dependency", 2, true), ("the job", 1, false)] {
        let mut f = Fixture::new();
        f.finalize_format();
        let spec = dependent(&mut f, 1, &[2]);
        f.submit(1, &spec);
        let unfinished = job_record_item(&mut f, 2, JobKind::Array, JobStage::Queued);
        f.answer(is_read_of(2), 200, &unfinished);
        let conflict = json!({"failed": [job_key(&id(failed))], "ledger_rev": 60});
        f.answer(is_job_creation, 409, &conflict);
        let is_pending = |f: &Fixture, which: &dyn Fn(&PendingCall) -> bool| {
            f.node.ctx.pending_calls.values().any(which)
        };
        assert_eq!(is_pending(&f, &is_read_of(2)), is_read_again, "{name}");
        assert_eq!(is_pending(&f, &is_lookup), !is_read_again, "{name}");
    }
}
