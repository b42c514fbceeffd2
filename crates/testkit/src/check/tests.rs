//! Each rule is shown to be caught.

use super::*;
use forkshift_wire::users::{JobKind, Priority};

fn spec(id: &str, tasks: u32) -> JobSpec {
    JobSpec {
        id: JobId::parse(id).unwrap(),
        class: "c".into(),
        team: "t".into(),
        kind: JobKind::Array,
        priority: Priority::Normal,
        tasks,
        cpus: 1.0,
        gpus: 2.0,
        memory_gb: 1.0,
        image: "i".into(),
        image_gb: 1.0,
        types: Some(vec!["g".into()]),
        zone: None,
        one_zone: false,
        spread: false,
        spot: false,
        estimate_s: 1.0,
        checkpoint_s: 0.0,
        save_s: 0.0,
        deadline_s: None,
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

/// Each rule is shown to be caught, by a trace that breaks it and by the
/// same trace put right.
#[test]
fn every_rule_is_caught() {
    type Trace = fn(&mut Checker, &JobId, bool);
    let cases: [(Rule, Trace); 11] = [
        (Rule::RanTwice, |c, _, bad| {
            c.started(1, &task(0), place("m1", "a"));
            if !bad {
                c.ended(&task(0), &MachineId::new("m1"));
            }
            c.started(2, &task(0), place("m2", "a"));
        }),
        (Rule::Quota, |c, _, bad| {
            c.started(1, &task(0), place("m1", "a"));
            c.started(1, &task(1), place("m1", "a"));
            if bad {
                c.started(1, &task(2), place("m2", "b"));
            }
        }),
        (Rule::WrongPlace, |c, _, bad| {
            let spot = bad;
            c.started(
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
            c.started(
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
            c.started(1, &task(0), place("m1", "a"));
            c.started(1, &task(1), place("m2", if bad { "b" } else { "a" }));
        }),
        (Rule::WrongPlace, |c, id, bad| {
            c.jobs.get_mut(id).unwrap().spread = true;
            c.started(1, &task(0), place("m1", "a"));
            c.started(1, &task(1), place("m2", "a"));
            if bad {
                c.limits.clear();
                c.started(1, &task(2), place("m2", "a"));
            }
        }),
        (Rule::RanCancelled, |c, id, bad| {
            c.asked_cancel(id);
            c.started(1, &task(0), place("m1", "a"));
            c.answered(5, id, false, 200, Some(JobStage::Cancelled));
            if !bad {
                c.ended(&task(0), &MachineId::new("m1"));
            }
            c.tick(5 + 101);
        }),
        (Rule::Forgotten, |c, id, bad| {
            c.answered(1, id, true, 201, Some(JobStage::Queued));
            c.answered(2, id, false, if bad { 404 } else { 503 }, None);
        }),
        (Rule::Invented, |c, _, bad| {
            let other = JobId::parse("j-9").unwrap();
            c.answered(1, &other, false, if bad { 200 } else { 404 }, None);
        }),
        (Rule::NotDone, |c, id, bad| {
            for i in 0..if bad { 3 } else { 4 } {
                c.completed(&task(i));
            }
            c.answered(1, id, false, 200, Some(JobStage::Done));
        }),
        (Rule::WentBack, |c, id, bad| {
            if !bad {
                c.asked_cancel(id);
            }
            c.answered(1, id, false, 200, Some(JobStage::Cancelled));
        }),
    ];
    for (i, (rule, trace)) in cases.into_iter().enumerate() {
        for bad in [true, false] {
            let limits = BTreeMap::from([("t".to_owned(), (0.0, 4.0))]);
            let mut checker = Checker::new(limits, 100);
            let spec = spec("j-1", 4);
            checker.submitted(&spec);
            trace(&mut checker, &spec.id, bad);
            let rules: Vec<Rule> = checker.broken.iter().map(|b| b.0).collect();
            assert_eq!(rules, vec![rule; usize::from(bad)], "case {i}, bad: {bad}");
        }
    }
}
