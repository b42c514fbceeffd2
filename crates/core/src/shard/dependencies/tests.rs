//! Tests of `dependencies`.

use super::*;
use crate::fixture::{answer_to, spec, team_of, Fixture};
use crate::io::Effect;
use crate::pending_call::PendingCall;
use crate::records::{job_key, JobRecord};
use crate::shard::job::StartState;
use forkshift_wire::peer::Envelope;
use forkshift_wire::users::{JobKind, JobSpec};
use serde_json::json;

fn id(n: u32) -> JobId {
    JobId::new(&format!("j-{n}"))
}

/// Adds job `n` to the shard, with dependencies on the jobs `needs`.
fn add(f: &mut Fixture, n: u32, needs: &[u32], priority: Priority) {
    let team = team_of(f);
    let spec = JobSpec {
        dependencies: needs.iter().map(|n| id(*n)).collect(),
        priority,
        ..spec(&id(n), &team, JobKind::Array, 1)
    };
    let Node { shards, ctx, .. } = &mut f.node;
    let shard = shards.get_mut(&f.shard).expect("the shard is held");
    shard.add_job(ctx, spec, None, 5_000_000, 6);
    f.step(0);
}

fn is_read(pending: &PendingCall) -> bool {
    matches!(pending, PendingCall::DependencyRead { .. })
}

fn is_lookup(pending: &PendingCall) -> bool {
    matches!(pending, PendingCall::JobLookup(_))
}

fn record(f: &mut Fixture, n: u32, stage: JobStage) -> serde_json::Value {
    let team = team_of(f);
    let record = JobRecord {
        spec: spec(&id(n), &team, JobKind::Array, 1),
        shard: f.shard,
        stage,
    };
    json!({"key": job_key(&id(n)), "data": record, "stamp": 7})
}

/// How the controller learns the final stage of a dependency.
#[derive(Clone, Copy, Debug)]
enum Source {
    OwnWrite,
    Message,
    Read,
}

/// Guards against a job that starts before its dependency is done, or that stays
/// blocked after it: the job is placed or cancelled when the final stage is learned
/// by an own write, a message or a read, and not before.
#[test]
fn blocked_job_is_placed_or_cancelled_when_its_dependency_ends() {
    for source in [Source::OwnWrite, Source::Message, Source::Read] {
        for stage in [JobStage::Done, JobStage::Cancelled] {
            let name = format!("{source:?}, {stage:?}");
            let mut f = Fixture::new();
            f.finalize_format();
            add(&mut f, 1, &[2], Priority::Normal);
            f.step(2_000);
            let job = &f.shard().jobs[&id(1)];
            assert!(
                job.is_blocked() && job.bindings.is_empty(),
                "{name}: blocked"
            );
            match source {
                Source::OwnWrite => f.node.final_stages.insert_written(id(2), stage),
                Source::Message => {
                    let message = Envelope {
                        version: 6,
                        from: "berth-9".to_owned(),
                        incarnation: 3,
                        epoch: 0,
                        body: Body::JobEnded {
                            id: "j-2".to_owned(),
                            cancelled: stage == JobStage::Cancelled,
                        },
                    };
                    f.node
                        .on_peer_message(&message.encode().expect("a message"));
                }
                Source::Read => {
                    let body = record(&mut f, 2, stage);
                    f.answer(is_read, 200, &body);
                }
            }
            // The machine has capacity for the job all the time.
            let token = f.token();
            f.heartbeat(1, token, &[]);
            f.step(1_000);
            let job = &f.shard().jobs[&id(1)];
            assert_eq!(job.is_cancelled, stage == JobStage::Cancelled, "{name}");
            assert_eq!(job.bindings.len(), usize::from(!job.is_cancelled), "{name}");
        }
    }
}

/// Guards against a job that is unblocked by the first of two dependencies, and
/// against an age that includes the time for which the job was blocked.
#[test]
fn job_age_counts_from_completion_of_the_last_dependency() {
    let mut f = Fixture::new();
    f.finalize_format();
    add(&mut f, 1, &[2, 3], Priority::Normal);
    f.node.on_job_ended_message("j-2", false);
    f.step(10_000);
    assert!(f.shard().jobs[&id(1)].is_blocked());
    f.node.on_job_ended_message("j-3", false);
    f.step(0);
    let now = f.node.ctx.now;
    let job = &f.shard().jobs[&id(1)];
    assert!(!job.is_blocked());
    assert_eq!(job.age_ms(now), 0);
}

/// Guards against dependents that are not cancelled, or only after several steps, if
/// the chain of jobs is long, and against the cancellation of jobs that precede the
/// cancelled one.
#[test]
fn cancellation_reaches_all_transitive_dependents_and_no_other_jobs() {
    let mut f = Fixture::new();
    f.finalize_format();
    add(&mut f, 1, &[], Priority::Normal);
    let length = 400;
    for n in 2..=length {
        add(&mut f, n, &[n - 1], Priority::Normal);
    }
    f.node.on_job_ended_message("j-100", true);
    f.step(0);
    let cancelled = |f: &mut Fixture, n| f.shard().jobs.get(&id(n)).is_none_or(|j| j.is_cancelled);
    let all: Vec<bool> = (1..=length).map(|n| cancelled(&mut f, n)).collect();
    assert!(all[100..].iter().all(|c| *c), "what follows");
    assert!(all[..99].iter().all(|c| !c), "what precedes");
}

/// Guards against priority inversion: a dependency inherits the highest priority of
/// its transitive dependents, in whichever order the jobs are submitted.
#[test]
fn dependencies_inherit_the_highest_priority_of_their_dependents() {
    for late in [false, true] {
        let mut f = Fixture::new();
        f.finalize_format();
        add(&mut f, 1, &[], Priority::Low);
        add(&mut f, 2, &[1], Priority::Low);
        if late {
            f.step(20_000);
        }
        add(&mut f, 3, &[2], Priority::High);
        add(&mut f, 4, &[2], Priority::Normal);
        for n in 1..=3 {
            let priority = f.shard().jobs[&id(n)].priority();
            assert_eq!(priority, Priority::High, "j-{n}, late {late}");
        }
        assert_eq!(f.shard().jobs[&id(4)].priority(), Priority::Normal);
    }
    // A message of another controller raises the priority; an invalid one doesn't.
    let mut f = Fixture::new();
    f.finalize_format();
    add(&mut f, 1, &[], Priority::Low);
    f.node
        .on_inherited_priority_message("j-1", Priority::High as u8);
    assert_eq!(f.shard().jobs[&id(1)].priority(), Priority::High);
    f.node.on_inherited_priority_message("j-1", 200);
    f.node.on_inherited_priority_message("no id", 1);
    assert_eq!(f.shard().jobs[&id(1)].priority(), Priority::High);
}

/// Guards against a started job that is blocked again after a failover: only a job
/// of which no task was ever placed is blocked, and reads its dependencies again.
#[test]
fn recovered_job_is_blocked_only_if_no_task_was_ever_placed() {
    for (next, is_blocked) in [(0, true), (1, false)] {
        let mut f = Fixture::new();
        f.finalize_format();
        add(&mut f, 1, &[2], Priority::Normal);
        let job = f.shard().jobs.get_mut(&id(1)).expect("it is there");
        job.blocks.get_mut(&0).expect("a head").last_attempt = next;
        let head = job.head_record();
        let key = crate::records::unfinished_job_key(f.shard, &id(1), 0);
        let value = serde_json::to_value(head).expect("a record");
        let item = forkshift_wire::state::Item {
            key,
            value,
            version: 9,
        };
        let mut f = Fixture::new();
        f.finalize_format();
        f.recover_shard(vec![item]);
        f.step(0);
        assert_eq!(f.shard().jobs[&id(1)].is_blocked(), is_blocked, "{next}");
        let reads = f
            .node
            .ctx
            .pending_calls
            .values()
            .filter(|p| is_read(p))
            .count();
        assert_eq!(reads, usize::from(is_blocked), "{next}");
    }
}

/// The status of job 1 as a user gets it, if the record of the job says that it is queued and
/// needs job 2: status code of the answer, within the time in which lookups are delayed.
fn ask(f: &mut Fixture, request: u64) -> u16 {
    if let Some((status, _)) = f.request(request, "GET", "/submissions/j-1") {
        return status;
    }
    let mut body = record(f, 1, JobStage::Queued);
    body["data"]["spec"]["awaits"] = json!(["j-2"]);
    for _ in 0..20 {
        let effects = if f.node.ctx.pending_calls.values().any(is_lookup) {
            f.answer(is_lookup, 200, &body)
        } else {
            f.step(100)
        };
        if let Some((status, _)) = answer_to(&effects, request) {
            return status;
        }
    }
    panic!("no answer");
}

/// Lets time pass without an answer of the store, while the controller's lease stays valid.
fn wait(f: &mut Fixture, ms: Ms) {
    f.node.ctx.now += ms;
    let now = f.node.ctx.now;
    f.node.membership.on_lease_renewed(&f.node.ctx, now, 200);
}

/// Guards against an outdated `queued` status of a job that was cancelled through a
/// dependency held elsewhere: without recent knowledge of the dependency, the question is
/// refused, also by a holder that has just begun to hold the job.
#[test]
fn blocked_job_status_is_uncertain_without_recent_knowledge_of_its_dependencies() {
    let half = |f: &Fixture| f.node.ctx.config.cancellation_timeout_ms / 2;
    for (is_held_here, is_read_first, after_half, answers) in [
        (false, false, false, 503),
        (false, true, false, 200),
        (false, true, true, 503),
        (true, false, true, 200),
    ] {
        let name = format!("here {is_held_here}, read {is_read_first}, late {after_half}");
        let mut f = Fixture::new();
        f.finalize_format();
        if is_held_here {
            add(&mut f, 2, &[], Priority::Normal);
            f.bind(&id(2), 0, StartState::Unknown);
        }
        add(&mut f, 1, &[2], Priority::Normal);
        if is_read_first {
            let body = record(&mut f, 2, JobStage::Queued);
            f.answer(is_read, 200, &body);
        }
        let passes = if after_half {
            half(&f) + 5
        } else {
            half(&f) - 2_500
        };
        wait(&mut f, passes);
        assert_eq!(ask(&mut f, 1), answers, "{name}");
    }
}

/// Guards against a status that is refused although the records show it: a question waits for
/// the reads of dependencies of which nothing is known, direct or transitive.
#[test]
fn status_is_answered_once_the_records_of_all_dependencies_are_read() {
    for (stage, answers) in [(JobStage::Queued, 200), (JobStage::Cancelled, 503)] {
        let mut f = Fixture::new();
        f.finalize_format();
        add(&mut f, 1, &[2], Priority::Normal);
        assert_eq!(f.request(1, "GET", "/submissions/j-1"), None);
        let mut job = record(&mut f, 1, JobStage::Queued);
        job["data"]["spec"]["awaits"] = json!(["j-2"]);
        let effects = f.answer(is_lookup, 200, &job);
        assert_eq!(answer_to(&effects, 1), None, "nothing is known of j-2");
        let mut dependency = record(&mut f, 2, JobStage::Queued);
        dependency["data"]["spec"]["awaits"] = json!(["j-3"]);
        f.answer(is_read, 200, &dependency);
        let last = record(&mut f, 3, stage);
        f.answer(is_read, 200, &last);
        let effects = f.answer(is_lookup, 200, &job);
        let status = answer_to(&effects, 1).map(|(status, _)| status);
        assert_eq!(status, Some(answers), "{stage:?}");
        // The holder does not wait for the record of the job in between.
        let is_cancelled = f
            .shard()
            .jobs
            .get(&id(1))
            .is_none_or(|job| job.is_cancelled);
        assert_eq!(is_cancelled, stage == JobStage::Cancelled);
    }
}

/// Guards against a dependent that is called queued for as long as the cancellation of the
/// dependency, which is held here, cannot be recorded: an earlier write may have arrived.
#[test]
fn dependent_is_uncertain_if_a_cancellation_has_been_waiting_to_be_recorded() {
    let mut f = Fixture::new();
    f.finalize_format();
    add(&mut f, 2, &[], Priority::Normal);
    f.bind(&id(2), 0, StartState::Unknown);
    add(&mut f, 1, &[2], Priority::Normal);
    f.request(9, "POST", "/submissions/j-2/abort");
    assert_eq!(ask(&mut f, 1), 200, "just requested");
    let half_ms = f.node.ctx.config.cancellation_timeout_ms / 2;
    wait(&mut f, half_ms);
    assert_eq!(ask(&mut f, 2), 503, "requested long ago");
}

/// Guards against messages that controllers of the first release can't read: a final
/// stage is announced only once a format with dependencies is finalized.
#[test]
fn final_stages_are_announced_only_after_the_format_is_finalized() {
    for is_finalized in [false, true] {
        let mut f = Fixture::new();
        let mut config = (*f.node.ctx.config).clone();
        config.nodes.push(NodeName::new("berth-9"));
        f.node.ctx.config = std::rc::Rc::new(config);
        if is_finalized {
            f.finalize_format();
        }
        f.node.final_stages.insert_written(id(2), JobStage::Done);
        let effects = f.step(0);
        let sent = |e: &Effect| match e {
            Effect::SendToPeer { message, .. } => Envelope::decode(message).ok(),
            _ => None,
        };
        let announced: Vec<Envelope> = effects.iter().filter_map(sent).collect();
        let is_end = |e: &&Envelope| matches!(e.body, Body::JobEnded { .. });
        assert_eq!(
            announced.iter().filter(is_end).count(),
            usize::from(is_finalized)
        );
        let newest = announced.iter().map(|e| e.version).max();
        assert_eq!(newest == Some(6), is_finalized);
    }
}
