//! A machine that hangs, and goes on.

use super::*;
use crate::check::Rule;
use forkshift_wire::users::{JobStage, Priority};

fn spec() -> JobSpec {
    JobSpec {
        id: JobId::new("j-1"),
        class: "c".into(),
        team: "t".into(),
        kind: JobKind::Array,
        priority: Priority::Normal,
        tasks: 1,
        cpus: 1.0,
        gpus: 0.0,
        memory_gb: 1.0,
        image: "i".into(),
        image_gb: 0.0,
        types: None,
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

/// A task of a cancelled job that goes on after its machine's hang breaks the
/// rule; if the lease is over by then, it is gone before it does anything.
#[test]
fn a_cancelled_task_goes_on_after_a_hang() {
    let spec = spec();
    let (lease_ms, cancel_ms) = (10_000, 6_000);
    let truths = BTreeMap::from([(
        spec.id.clone(),
        Truth {
            spec: spec.clone(),
            run_ms: 60_000,
            mistake: None,
        },
    )]);
    for (hang, rules) in [
        (4_000, vec![]),
        (8_000, vec![Rule::RanCancelled]),
        (12_000, vec![]),
    ] {
        let mut check = Checker::new(BTreeMap::new(), cancel_ms);
        check.submitted(&spec);
        let mut worker = Worker::new(MachineId::new("m"), "c8", "a", false, 0);
        let start = Command {
            verb: Verb::Start,
            task: TaskRef {
                job: spec.id.clone(),
                index: 0,
            },
            attempt: 1,
            grace_s: None,
        };
        let request = CommandRequest {
            token: 1,
            session: 1,
            commands: vec![start],
        };
        let body = serde_json::to_vec(&request).unwrap();
        let step = |worker: &mut Worker, check: &mut Checker, now: Ms| {
            let mut around = Around {
                now,
                truths: &truths,
                check,
                lease_ms,
            };
            worker.tick(&mut around);
        };
        let mut around = Around {
            now: 0,
            truths: &truths,
            check: &mut check,
            lease_ms,
        };
        assert_eq!(worker.commands(&mut around, &body).0, 200);
        step(&mut worker, &mut check, 10);
        assert_eq!(check.running(&spec.id), 1);
        check.asked_cancel(&spec.id);
        check.answered(1_000, &spec.id, false, 200, Some(JobStage::Cancelled));
        worker.hung_until = 1_000 + hang;
        // It hangs: nothing happens on it until it goes on.
        step(&mut worker, &mut check, 1_000 + hang);
        check.tick(1_000 + hang);
        let found: Vec<Rule> = check.broken.iter().map(|b| b.0).collect();
        assert_eq!(found, rules, "hung for {hang} ms");
    }
}
