//! Tests of `admission`.

use super::*;
use crate::fixture::{answer_to, spec, team_of, Fixture};
use crate::io::Effect;
use crate::records::JobRecord;
use forkshift_wire::state::{Transaction, Write};
use forkshift_wire::users::JobStatus;
use serde_json::{json, Value};

fn id(n: u32) -> JobId {
    JobId::new(&format!("j-{n}"))
}

/// A job that needs these.
fn dependent(f: &mut Fixture, n: u32, needs: &[u32]) -> JobSpec {
    let team = team_of(f);
    JobSpec {
        dependencies: needs.iter().map(|n| id(*n)).collect(),
        ..spec(&id(n), &team, JobKind::Array, 1)
    }
}

/// The record of a dependency, as the state service answers.
fn record(f: &mut Fixture, n: u32, kind: JobKind, stage: JobStage) -> Value {
    let team = team_of(f);
    let record = JobRecord {
        spec: spec(&id(n), &team, kind, 1),
        shard: f.shard,
        stage,
    };
    json!({"key": job_key(&id(n)), "data": record, "stamp": 40 + n})
}

fn reads(n: u32) -> impl Fn(&PendingCall) -> bool {
    move |p| matches!(p, PendingCall::AdmissionRead { id: read, .. } if *read == id(n))
}

fn is_lookup(pending: &PendingCall) -> bool {
    matches!(pending, PendingCall::JobLookup { .. })
}

fn is_create(pending: &PendingCall) -> bool {
    matches!(pending, PendingCall::JobCreation(_))
}

fn stage(body: &str) -> Option<JobStage> {
    let status: Option<JobStatus> = serde_json::from_str(body).ok();
    status.map(|s| s.stage)
}

/// The transaction that is sent, if one is.
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

/// Without any look at records: before all controllers know dependencies a user
/// comes back later, and what can never be is refused, unless the job is known.
#[test]
fn some_lists_are_refused_without_reading_them() {
    let many: Vec<u32> = (10..60).collect();
    let cases: [(&str, bool, &[u32], u16); 4] = [
        ("not all are upgraded", false, &[2], 503),
        ("itself", true, &[1], 422),
        ("itself and another", true, &[2, 1], 422),
        ("more than a transaction has conditions", true, &many, 422),
    ];
    for (name, is_finalized, needs, status) in cases {
        for is_known in [false, true] {
            let mut f = Fixture::new();
            if is_finalized {
                f.finalize_format();
            }
            let spec = dependent(&mut f, 1, needs);
            assert_eq!(f.submit(1, &spec), None, "{name}");
            let effects = match is_known {
                true => {
                    let found = record(&mut f, 1, JobKind::Array, JobStage::Queued);
                    f.answer(is_lookup, 200, &found)
                }
                false => f.answer(is_lookup, 404, &json!({"ledger_rev": 5})),
            };
            let told = answer_to(&effects, 1).map(|a| a.0);
            let expected = if is_known { 200 } else { status };
            assert_eq!(told, Some(expected), "{name}, known {is_known}");
        }
    }
}

/// What a dependency's record says decides; a record that can't be read decides
/// nothing.
#[test]
fn a_submission_is_decided_by_the_records_of_its_dependencies() {
    use JobKind::{Array, Service};
    use JobStage::{Cancelled, Done, Queued};
    /// What a read answers, and what the user is told.
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
    for (name, read, of, status, told) in cases {
        let mut f = Fixture::new();
        f.finalize_format();
        let spec = dependent(&mut f, 1, &[2, 3]);
        assert_eq!(f.submit(1, &spec), None, "{name}");
        let other = record(&mut f, 3, Array, Queued);
        f.answer(reads(3), 200, &other);
        let body = match of {
            Some((kind, stage)) => record(&mut f, 2, kind, stage),
            None => json!({"error": "no"}),
        };
        let mut effects = f.answer(reads(2), read, &body);
        if let Some(transaction) = transaction(&effects) {
            // On condition of just what was read.
            let versions: Vec<u64> = transaction
                .preconditions
                .iter()
                .map(|c| c.version)
                .collect();
            assert_eq!(versions.len(), 3, "{name}");
            assert!(versions.contains(&42) && versions.contains(&43), "{name}");
            let lives = transaction.writes.len() == 2;
            assert_eq!(lives, told != Some(Cancelled), "{name}");
            effects = f.answer(is_create, 200, &json!({"ledger_rev": 50}));
        } else if answer_to(&effects, 1).is_none() {
            effects = f.answer(is_lookup, 404, &json!({"ledger_rev": 5}));
        }
        let (code, body) = answer_to(&effects, 1).expect("an answer");
        assert_eq!(code, status, "{name}");
        assert_eq!(stage(&body), told, "{name}");
        assert!(f.node.admissions.is_empty(), "{name}");
        // What was cancelled with it never comes to its holder.
        let holds = f.shard().jobs.contains_key(&id(1));
        assert_eq!(holds, told == Some(Queued), "{name}");
    }
}

/// A dependency that ends between the read and the transaction is read again;
/// a job that was accepted meanwhile gets its state.
#[test]
fn an_acceptance_that_lost_a_race_is_decided_anew() {
    for (name, failed, is_read_again) in [("the dependency", 2, true), ("the job", 1, false)] {
        let mut f = Fixture::new();
        f.finalize_format();
        let spec = dependent(&mut f, 1, &[2]);
        f.submit(1, &spec);
        let unfinished = record(&mut f, 2, JobKind::Array, JobStage::Queued);
        f.answer(reads(2), 200, &unfinished);
        let lost = json!({"failed": [job_key(&id(failed))], "ledger_rev": 60});
        f.answer(is_create, 409, &lost);
        let waits = |f: &Fixture, which: &dyn Fn(&PendingCall) -> bool| {
            f.node.ctx.pending.values().any(which)
        };
        assert_eq!(waits(&f, &reads(2)), is_read_again, "{name}");
        assert_eq!(waits(&f, &is_lookup), !is_read_again, "{name}");
    }
}
