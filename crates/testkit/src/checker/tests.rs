//! Each rule is shown to be caught.

use super::*;
use crate::simulation::Plan;

fn spec(id: &str, tasks: u32) -> JobSpec {
    JobSpec {
        id: JobId::parse(id).unwrap(),
        team: "t".into(),
        cpus: 1.0,
        gpus: 2.0,
        types: Some(vec!["g".into()]),
        ..Plan::plain(0, 0, JobKind::Array, tasks, 1_000).spec
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

/// A job that needs another.
fn dependent(checker: &mut Checker, id: &str, needs: &JobId) -> JobId {
    let spec = JobSpec {
        dependencies: vec![needs.clone()],
        ..spec(id, 4)
    };
    checker.on_submitted(&spec);
    spec.id
}

/// Each rule is shown to be caught, by a trace that breaks it and by the
/// same trace put right.
#[test]
fn every_rule_is_caught() {
    type Trace = fn(&mut Checker, &JobId, bool);
    let cases: [(Rule, Trace); 29] = [
        (Rule::RanTwice, |c, _, bad| {
            c.on_task_started(1, &task(0), place("m1", "a"));
            if !bad {
                c.on_task_ended(&task(0), &MachineId::new("m1"));
            }
            c.on_task_started(2, &task(0), place("m2", "a"));
        }),
        (Rule::Quota, |c, _, bad| {
            c.on_task_started(1, &task(0), place("m1", "a"));
            c.on_task_started(1, &task(1), place("m1", "a"));
            if bad {
                c.on_task_started(1, &task(2), place("m2", "b"));
            }
        }),
        (Rule::WrongPlace, |c, _, bad| {
            let spot = bad;
            c.on_task_started(
                1,
                &task(0),
                Place {
                    spot,
                    ..place("m1", "a")
                },
            );
        }),
        (Rule::WrongPlace, |c, _, bad| {
            let machine_type = if bad { "h" } else { "g" }.to_owned();
            c.on_task_started(
                1,
                &task(0),
                Place {
                    machine_type,
                    ..place("m1", "a")
                },
            );
        }),
        (Rule::WrongPlace, |c, id, bad| {
            c.jobs.get_mut(id).unwrap().one_zone = true;
            c.on_task_started(1, &task(0), place("m1", "a"));
            c.on_task_started(1, &task(1), place("m2", if bad { "b" } else { "a" }));
        }),
        (Rule::WrongPlace, |c, id, bad| {
            c.jobs.get_mut(id).unwrap().spread = true;
            c.on_task_started(1, &task(0), place("m1", "a"));
            c.on_task_started(1, &task(1), place("m2", "a"));
            if bad {
                c.limits.clear();
                c.on_task_started(1, &task(2), place("m2", "a"));
            }
        }),
        (Rule::RanCancelled, |c, id, bad| {
            c.on_cancel_requested(id);
            c.on_task_started(1, &task(0), place("m1", "a"));
            c.on_immediate_response(5, id, false, 200, Some(JobStage::Cancelled));
            if !bad {
                c.on_task_ended(&task(0), &MachineId::new("m1"));
            }
            c.tick(5 + 101, &BTreeSet::new());
        }),
        (Rule::Forgotten, |c, id, bad| {
            c.on_immediate_response(1, id, true, 201, Some(JobStage::Queued));
            c.on_immediate_response(2, id, false, if bad { 404 } else { 503 }, None);
        }),
        (Rule::Invented, |c, _, bad| {
            let other = JobId::parse("j-9").unwrap();
            c.on_immediate_response(1, &other, false, if bad { 200 } else { 404 }, None);
        }),
        (Rule::NotDone, |c, id, bad| {
            for i in 0..if bad { 3 } else { 4 } {
                c.on_task_completed(1, &task(i));
            }
            c.on_immediate_response(1, id, false, 200, Some(JobStage::Done));
        }),
        (Rule::WentBack, |c, id, bad| {
            if !bad {
                c.on_cancel_requested(id);
            }
            c.on_immediate_response(1, id, false, 200, Some(JobStage::Cancelled));
        }),
        // Older answers to requests that were sent before something newer had
        // been told are fine, to later ones they are not.
        (Rule::Forgotten, |c, id, bad| {
            let early = c.on_request_sent(1, id);
            c.on_immediate_response(1, id, true, 201, Some(JobStage::Queued));
            let late = c.on_request_sent(1, id);
            c.on_response(if bad { late } else { early }, 1, id, false, 404, None);
        }),
        (Rule::Forgotten, |c, id, bad| {
            let early = c.on_request_sent(1, id);
            c.on_immediate_response(1, id, true, 201, Some(JobStage::Queued));
            let late = c.on_request_sent(1, id);
            c.on_response(if bad { late } else { early }, 1, id, true, 422, None);
        }),
        (Rule::WentBack, |c, id, bad| {
            c.on_cancel_requested(id);
            let early = c.on_request_sent(1, id);
            c.on_immediate_response(1, id, false, 200, Some(JobStage::Cancelled));
            let late = c.on_request_sent(1, id);
            let ticket = if bad { late } else { early };
            c.on_response(ticket, 1, id, false, 200, Some(JobStage::Running));
        }),
        (Rule::WentBack, |c, id, bad| {
            (0..4).for_each(|i| c.on_task_completed(1, &task(i)));
            let early = c.on_request_sent(1, id);
            c.on_immediate_response(1, id, false, 200, Some(JobStage::Done));
            let late = c.on_request_sent(1, id);
            let ticket = if bad { late } else { early };
            c.on_response(ticket, 1, id, true, 200, Some(JobStage::Queued));
        }),
        // Two final stages never go together.
        (Rule::WentBack, |c, id, bad| {
            c.on_cancel_requested(id);
            (0..4).for_each(|i| c.on_task_completed(1, &task(i)));
            let early = c.on_request_sent(1, id);
            c.on_immediate_response(1, id, false, 200, Some(JobStage::Done));
            let stage = match bad {
                true => JobStage::Cancelled,
                false => JobStage::Done,
            };
            c.on_response(early, 1, id, false, 200, Some(stage));
        }),
        (Rule::RanCancelled, |c, id, bad| {
            c.on_cancel_requested(id);
            c.on_immediate_response(5, id, false, 200, Some(JobStage::Cancelled));
            let at = 5 + 100 + u64::from(bad);
            c.on_task_started(at, &task(0), place("m1", "a"));
        }),
        (Rule::Unfit, |c, _, bad| {
            let other = JobId::parse("j-9").unwrap();
            c.expect_refusal(&other);
            let status = if bad { 201 } else { 422 };
            c.on_immediate_response(1, &other, true, status, None);
            c.check_refusal(1, &other, status, 422);
        }),
        (Rule::WrongAnswer, |c, _, bad| {
            let other = JobId::parse("j-9").unwrap();
            c.expect_refusal(&other);
            c.check_refusal(1, &other, 503, 400);
            c.check_refusal(1, &other, if bad { 422 } else { 400 }, 400);
        }),
        (Rule::Unanswered, |c, id, bad| {
            c.on_immediate_response(1, id, true, 201, Some(JobStage::Queued));
            c.on_request_sent(10, id);
            c.tick(90_000, &BTreeSet::new());
            c.set_quiescence(Quiescence::Since(100_000));
            c.on_immediate_response(110_000, id, false, 503, None);
            let status = if bad { 504 } else { 200 };
            c.on_immediate_response(174_000, id, false, status, Some(JobStage::Queued));
            c.tick(175_001, &BTreeSet::new());
        }),
        (Rule::LeftWaiting, |c, id, bad| {
            c.on_job_waiting(1, id, true);
            c.set_quiescence(Quiescence::Since(100_000));
            c.on_job_waiting(100_000, id, true);
            c.on_job_waiting(150_000, id, bad);
            c.on_job_waiting(190_001, id, true);
        }),
        (Rule::LeftWaiting, |c, id, bad| {
            c.set_quiescence(Quiescence::Since(0));
            c.on_job_waiting(1_000, id, true);
            if !bad {
                c.set_quiescence(Quiescence::NotYet);
                c.on_job_waiting(50_000, id, true);
                c.set_quiescence(Quiescence::Since(60_000));
            }
            c.on_job_waiting(91_001, id, true);
        }),
        (Rule::LateBegin, |c, id, bad| {
            c.on_request_sent(1, id);
            c.on_task_started(240_001 + u64::from(bad), &task(0), place("m1", "a"));
            c.finish(500_000);
        }),
        // A gang begins with its last task, and never if it does not come.
        (Rule::LateBegin, |c, id, bad| {
            let spec = c.jobs.get_mut(id).unwrap();
            (spec.kind, spec.tasks) = (JobKind::Gang, 2);
            c.on_request_sent(1, id);
            c.on_task_started(2, &task(0), place("m1", "a"));
            if !bad {
                c.on_task_started(3, &task(1), place("m1", "a"));
            }
            c.finish(240_002);
        }),
        (Rule::TooEarly, |c, id, bad| {
            let next = dependent(c, "j-2", id);
            let completed = if bad { 3 } else { 4 };
            (0..completed).for_each(|i| c.on_task_completed(1, &task(i)));
            c.on_task_started(
                2,
                &TaskRef {
                    job: next,
                    index: 0,
                },
                place("m1", "a"),
            );
        }),
        // Through another, and not before the time for it is over.
        (Rule::Orphaned, |c, id, bad| {
            let next = dependent(c, "j-2", id);
            let last = dependent(c, "j-3", &next);
            c.on_cancel_requested(id);
            c.on_immediate_response(5, id, false, 200, Some(JobStage::Cancelled));
            let at = 5 + 100 + u64::from(bad);
            c.on_immediate_response(at, &last, false, 200, Some(JobStage::Queued));
            c.on_immediate_response(at, &last, false, 200, Some(JobStage::Cancelled));
        }),
        // A cancellation that is answered with `done` cancels nothing.
        (Rule::WentBack, |c, id, bad| {
            let next = dependent(c, "j-2", id);
            (0..4).for_each(|i| c.on_task_completed(1, &task(i)));
            c.on_cancel_requested(id);
            if bad {
                c.on_immediate_response(5, id, false, 200, Some(JobStage::Done));
            }
            c.on_immediate_response(6, &next, false, 200, Some(JobStage::Cancelled));
        }),
        // Its time begins when the last job that it needs is done.
        (Rule::LateBegin, |c, id, bad| {
            c.jobs.get_mut(id).unwrap().class = "other".to_owned();
            c.on_request_sent(1, id);
            c.on_task_started(2, &task(0), place("m1", "a"));
            let next = dependent(c, "j-2", id);
            c.on_request_sent(1, &next);
            (0..4).for_each(|i| c.on_task_completed(100_000, &task(i)));
            let at = 340_000 + u64::from(bad);
            c.on_task_started(
                at,
                &TaskRef {
                    job: next,
                    index: 0,
                },
                place("m1", "a"),
            );
            c.finish(500_000);
        }),
        (Rule::WrongAnswer, |c, id, bad| {
            c.on_immediate_response(1, id, true, 201, Some(JobStage::Queued));
            let next = dependent(c, "j-2", id);
            c.check_admission(2, &next, if bad { 422 } else { 503 });
        }),
    ];
    for (i, (rule, trace)) in cases.into_iter().enumerate() {
        for bad in [true, false] {
            let limits = BTreeMap::from([("t".to_owned(), (0.0, 4.0))]);
            let mut checker = Checker::new(limits, 100);
            let spec = spec("j-1", 4);
            checker.on_submitted(&spec);
            trace(&mut checker, &spec.id, bad);
            let rules: Vec<Rule> = checker.broken.iter().map(|b| b.0).collect();
            assert_eq!(rules, vec![rule; usize::from(bad)], "case {i}, bad: {bad}");
        }
    }
}

/// Starts after a confirmed cancellation are counted, also within the time
/// that the rule leaves.
#[test]
fn starts_after_a_cancellation_are_counted() {
    let mut c = Checker::new(BTreeMap::new(), 100);
    let spec = spec("j-1", 4);
    c.on_submitted(&spec);
    c.on_cancel_requested(&spec.id);
    c.on_task_started(1, &task(0), place("m1", "a"));
    c.on_immediate_response(5, &spec.id, false, 200, Some(JobStage::Cancelled));
    c.on_task_started(25, &task(1), place("m1", "a"));
    assert_eq!(c.starts_after_cancel, vec![(25, 20, task(1))]);
    assert_eq!(c.broken, vec![]);
}
