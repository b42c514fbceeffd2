//! Tests that each rule detects a trace which violates it and accepts a similar trace which does
//! not.

use super::*;
use crate::simulation::JobPlan;
use forkshift_wire::users::JobKind;

fn spec(id: &str, tasks: u32) -> JobSpec {
    JobSpec {
        id: JobId::parse(id).unwrap(),
        team: "t".into(),
        cpus: 1.0,
        gpus: 2.0,
        machine_types: Some(vec!["g".into()]),
        ..JobPlan::plain(0, 0, JobKind::Array, tasks, 1_000).spec
    }
}

fn place(machine: &str, zone: &str) -> Place {
    Place {
        machine: MachineId::new(machine),
        machine_type: "g".into(),
        zone: zone.into(),
        spot: false,
    }
}

fn task(i: u32) -> TaskRef {
    TaskRef {
        job: JobId::parse("j-1").unwrap(),
        index: i,
    }
}

/// Submits a job with one dependency and returns its id.
fn dependent(checker: &mut Checker, id: &str, dependency: &JobId) -> JobId {
    let spec = JobSpec {
        dependencies: vec![dependency.clone()],
        ..spec(id, 4)
    };
    checker.on_submitted(&spec);
    spec.id
}

/// Polls a job and two others every second for 91 s. The arguments say whether the polls are
/// answered in a second.
fn poll_three_jobs(
    checker: &mut Checker,
    id: &JobId,
    is_answered: impl Fn(Ms) -> bool,
    are_others_answered: impl Fn(Ms) -> bool,
) {
    let others = [spec("j-2", 1), spec("j-3", 1)];
    for other in &others {
        checker.on_submitted(other);
    }
    let stage = Some(JobStage::Queued);
    let ids = [id, &others[0].id, &others[1].id];
    for id in ids {
        checker.on_immediate_response(1, id, true, 201, stage);
    }
    for second in 1..=91 {
        let now = second * 1_000;
        for polled in ids {
            let is_answered = match polled == id {
                true => is_answered(second),
                false => are_others_answered(second),
            };
            let status = if is_answered { 200 } else { 503 };
            checker.on_poll_sent(now, polled);
            checker.on_immediate_response(now, polled, false, status, stage);
        }
        checker.check_time_limits(now, &BTreeSet::new());
    }
}

/// Guards against a checker that misses violations or reports false ones: each trace violates
/// exactly its rule if `violates` is set, and no rule otherwise.
#[test]
#[allow(clippy::too_many_lines, reason = "a table of cases")]
fn every_rule_is_violated_by_its_trace_and_by_no_corrected_one() {
    type Trace = fn(&mut Checker, &JobId, bool);
    let cases: [(Rule, Trace); 31] = [
        (Rule::RanTwice, |checker, _, violates| {
            checker.on_task_started(1, &task(0), place("m1", "a"));
            if !violates {
                checker.on_task_ended(&task(0), &MachineId::new("m1"));
            }
            checker.on_task_started(2, &task(0), place("m2", "a"));
        }),
        (Rule::Quota, |checker, _, violates| {
            checker.on_task_started(1, &task(0), place("m1", "a"));
            checker.on_task_started(1, &task(1), place("m1", "a"));
            if violates {
                checker.on_task_started(1, &task(2), place("m2", "b"));
            }
        }),
        (Rule::WrongPlace, |checker, _, violates| {
            let spot = violates;
            checker.on_task_started(
                1,
                &task(0),
                Place {
                    spot,
                    ..place("m1", "a")
                },
            );
        }),
        (Rule::WrongPlace, |checker, _, violates| {
            let machine_type = if violates { "h" } else { "g" }.to_owned();
            checker.on_task_started(
                1,
                &task(0),
                Place {
                    machine_type,
                    ..place("m1", "a")
                },
            );
        }),
        (Rule::WrongPlace, |checker, id, violates| {
            checker.jobs.get_mut(id).unwrap().require_same_zone = true;
            checker.on_task_started(1, &task(0), place("m1", "a"));
            checker.on_task_started(1, &task(1), place("m2", if violates { "b" } else { "a" }));
        }),
        (Rule::WrongPlace, |checker, id, violates| {
            checker.jobs.get_mut(id).unwrap().spread_over_zones = true;
            checker.on_task_started(1, &task(0), place("m1", "a"));
            checker.on_task_started(1, &task(1), place("m2", "a"));
            if violates {
                checker.limits.clear();
                checker.on_task_started(1, &task(2), place("m2", "a"));
            }
        }),
        (Rule::RanCancelled, |checker, id, violates| {
            checker.on_cancel_requested(id);
            checker.on_task_started(1, &task(0), place("m1", "a"));
            checker.on_immediate_response(5, id, false, 200, Some(JobStage::Cancelled));
            if !violates {
                checker.on_task_ended(&task(0), &MachineId::new("m1"));
            }
            checker.check_time_limits(5 + 101, &BTreeSet::new());
        }),
        (Rule::Forgotten, |checker, id, violates| {
            checker.on_immediate_response(1, id, true, 201, Some(JobStage::Queued));
            checker.on_immediate_response(2, id, false, if violates { 404 } else { 503 }, None);
        }),
        (Rule::Invented, |checker, _, violates| {
            let other = JobId::parse("j-9").unwrap();
            checker.on_immediate_response(1, &other, false, if violates { 200 } else { 404 }, None);
        }),
        (Rule::NotDone, |checker, id, violates| {
            for i in 0..if violates { 3 } else { 4 } {
                checker.on_task_completed(1, &task(i));
            }
            checker.on_immediate_response(1, id, false, 200, Some(JobStage::Done));
        }),
        (Rule::WentBack, |checker, id, violates| {
            if !violates {
                checker.on_cancel_requested(id);
            }
            checker.on_immediate_response(1, id, false, 200, Some(JobStage::Cancelled));
        }),
        // A response may contain an older state if its request was sent before a newer state was
        // reported, but not if the request was sent later.
        (Rule::Forgotten, |checker, id, violates| {
            let early = checker.on_request_sent(1, id);
            checker.on_immediate_response(1, id, true, 201, Some(JobStage::Queued));
            let late = checker.on_request_sent(1, id);
            checker.on_response(if violates { late } else { early }, 1, id, false, 404, None);
        }),
        (Rule::Forgotten, |checker, id, violates| {
            let early = checker.on_request_sent(1, id);
            checker.on_immediate_response(1, id, true, 201, Some(JobStage::Queued));
            let late = checker.on_request_sent(1, id);
            checker.on_response(if violates { late } else { early }, 1, id, true, 422, None);
        }),
        (Rule::WentBack, |checker, id, violates| {
            checker.on_cancel_requested(id);
            let early = checker.on_request_sent(1, id);
            checker.on_immediate_response(1, id, false, 200, Some(JobStage::Cancelled));
            let late = checker.on_request_sent(1, id);
            let ticket = if violates { late } else { early };
            checker.on_response(ticket, 1, id, false, 200, Some(JobStage::Running));
        }),
        (Rule::WentBack, |checker, id, violates| {
            (0..4).for_each(|i| checker.on_task_completed(1, &task(i)));
            let early = checker.on_request_sent(1, id);
            checker.on_immediate_response(1, id, false, 200, Some(JobStage::Done));
            let late = checker.on_request_sent(1, id);
            let ticket = if violates { late } else { early };
            checker.on_response(ticket, 1, id, true, 200, Some(JobStage::Queued));
        }),
        // Two different final stages are a violation even if the requests overlap.
        (Rule::WentBack, |checker, id, violates| {
            checker.on_cancel_requested(id);
            (0..4).for_each(|i| checker.on_task_completed(1, &task(i)));
            let early = checker.on_request_sent(1, id);
            checker.on_immediate_response(1, id, false, 200, Some(JobStage::Done));
            let stage = match violates {
                true => JobStage::Cancelled,
                false => JobStage::Done,
            };
            checker.on_response(early, 1, id, false, 200, Some(stage));
        }),
        (Rule::RanCancelled, |checker, id, violates| {
            checker.on_cancel_requested(id);
            checker.on_immediate_response(5, id, false, 200, Some(JobStage::Cancelled));
            let at = 5 + 100 + u64::from(violates);
            checker.on_task_started(at, &task(0), place("m1", "a"));
        }),
        (Rule::Unfit, |checker, _, violates| {
            let other = JobId::parse("j-9").unwrap();
            checker.expect_refusal(&other);
            let status = if violates { 201 } else { 422 };
            checker.on_immediate_response(1, &other, true, status, None);
            checker.check_refusal(1, &other, status, 422);
        }),
        (Rule::WrongAnswer, |checker, _, violates| {
            let other = JobId::parse("j-9").unwrap();
            checker.expect_refusal(&other);
            checker.check_refusal(1, &other, 503, 400);
            checker.check_refusal(1, &other, if violates { 422 } else { 400 }, 400);
        }),
        (Rule::Unanswered, |checker, id, violates| {
            checker.on_immediate_response(1, id, true, 201, Some(JobStage::Queued));
            checker.on_request_sent(10, id);
            checker.check_time_limits(90_000, &BTreeSet::new());
            checker.set_quiescence(Quiescence::Since(100_000));
            checker.on_immediate_response(110_000, id, false, 503, None);
            let status = if violates { 504 } else { 200 };
            checker.on_immediate_response(174_000, id, false, status, Some(JobStage::Queued));
            checker.check_time_limits(175_001, &BTreeSet::new());
        }),
        (Rule::Forgotten, |checker, id, violates| {
            // The job's polls fail, or one of them is answered.
            let is_answered = |second| second == 45 && !violates;
            poll_three_jobs(checker, id, is_answered, |_| true);
        }),
        (Rule::Forgotten, |checker, id, violates| {
            // Most of the other jobs' polls are answered, or most of them fail.
            let are_others_answered = |second| violates || second % 4 == 0;
            poll_three_jobs(checker, id, |_| false, are_others_answered);
        }),
        (Rule::LeftWaiting, |checker, id, violates| {
            checker.on_job_pending(1, id, true);
            checker.set_quiescence(Quiescence::Since(100_000));
            checker.on_job_pending(100_000, id, true);
            checker.on_job_pending(150_000, id, violates);
            checker.on_job_pending(190_001, id, true);
        }),
        (Rule::LeftWaiting, |checker, id, violates| {
            checker.set_quiescence(Quiescence::Since(0));
            checker.on_job_pending(1_000, id, true);
            if !violates {
                checker.set_quiescence(Quiescence::NotYet);
                checker.on_job_pending(50_000, id, true);
                checker.set_quiescence(Quiescence::Since(60_000));
            }
            checker.on_job_pending(91_001, id, true);
        }),
        (Rule::LateBegin, |checker, id, violates| {
            checker.on_request_sent(1, id);
            checker.on_task_started(240_001 + u64::from(violates), &task(0), place("m1", "a"));
            checker.finish(500_000);
        }),
        // A gang begins when its last task starts.
        (Rule::LateBegin, |checker, id, violates| {
            let spec = checker.jobs.get_mut(id).unwrap();
            (spec.kind, spec.tasks) = (JobKind::Gang, 2);
            checker.on_request_sent(1, id);
            checker.on_task_started(2, &task(0), place("m1", "a"));
            if !violates {
                checker.on_task_started(3, &task(1), place("m1", "a"));
            }
            checker.finish(240_002);
        }),
        (Rule::TooEarly, |checker, id, violates| {
            let next = dependent(checker, "j-2", id);
            let completed = if violates { 3 } else { 4 };
            (0..completed).for_each(|i| checker.on_task_completed(1, &task(i)));
            checker.on_task_started(
                2,
                &TaskRef {
                    job: next,
                    index: 0,
                },
                place("m1", "a"),
            );
        }),
        // The rule covers indirect dependencies, and applies only after the cancellation time.
        (Rule::Orphaned, |checker, id, violates| {
            let next = dependent(checker, "j-2", id);
            let last = dependent(checker, "j-3", &next);
            checker.on_cancel_requested(id);
            checker.on_immediate_response(5, id, false, 200, Some(JobStage::Cancelled));
            let at = 5 + 100 + u64::from(violates);
            checker.on_immediate_response(at, &last, false, 200, Some(JobStage::Queued));
            checker.on_immediate_response(at, &last, false, 200, Some(JobStage::Cancelled));
        }),
        // A cancellation request that is answered with `done` does not cancel dependents.
        (Rule::WentBack, |checker, id, violates| {
            let next = dependent(checker, "j-2", id);
            (0..4).for_each(|i| checker.on_task_completed(1, &task(i)));
            checker.on_cancel_requested(id);
            if violates {
                checker.on_immediate_response(5, id, false, 200, Some(JobStage::Done));
            }
            checker.on_immediate_response(6, &next, false, 200, Some(JobStage::Cancelled));
        }),
        // The time of a dependent job starts when its last dependency completes.
        (Rule::LateBegin, |checker, id, violates| {
            checker.jobs.get_mut(id).unwrap().class = "other".to_owned();
            checker.on_request_sent(1, id);
            checker.on_task_started(2, &task(0), place("m1", "a"));
            let next = dependent(checker, "j-2", id);
            checker.on_request_sent(1, &next);
            (0..4).for_each(|i| checker.on_task_completed(100_000, &task(i)));
            let at = 340_000 + u64::from(violates);
            checker.on_task_started(
                at,
                &TaskRef {
                    job: next,
                    index: 0,
                },
                place("m1", "a"),
            );
            checker.finish(500_000);
        }),
        (Rule::WrongAnswer, |checker, id, violates| {
            checker.on_immediate_response(1, id, true, 201, Some(JobStage::Queued));
            let next = dependent(checker, "j-2", id);
            checker.check_admission(2, &next, if violates { 422 } else { 503 });
        }),
    ];
    for (i, (rule, trace)) in cases.into_iter().enumerate() {
        for violates in [true, false] {
            let limits = BTreeMap::from([("t".to_owned(), (0.0, 4.0))]);
            let mut checker = Checker::new(limits, 100);
            let spec = spec("j-1", 4);
            checker.on_submitted(&spec);
            trace(&mut checker, &spec.id, violates);
            let rules: Vec<Rule> = checker.violations.iter().map(|b| b.0).collect();
            assert_eq!(
                rules,
                vec![rule; usize::from(violates)],
                "case {i}, violated: {violates}"
            );
        }
    }
}

/// Tests compare the number of starts after a confirmed cancellation, so starts within the allowed
/// time must be counted although they violate no rule.
#[test]
fn starts_after_a_confirmed_cancellation_are_counted() {
    let mut checker = Checker::new(BTreeMap::new(), 100);
    let spec = spec("j-1", 4);
    checker.on_submitted(&spec);
    checker.on_cancel_requested(&spec.id);
    checker.on_task_started(1, &task(0), place("m1", "a"));
    checker.on_immediate_response(5, &spec.id, false, 200, Some(JobStage::Cancelled));
    checker.on_task_started(25, &task(1), place("m1", "a"));
    assert_eq!(checker.starts_after_cancel, vec![(25, 20, task(1))]);
    assert_eq!(checker.violations, vec![]);
}
