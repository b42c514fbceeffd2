//! A machine that hangs, and goes on.

use super::*;
use crate::checker::Rule;
use crate::fleet::Fleet;
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
        dependencies: Vec::new(),
    }
}

const LEASE_MS: Ms = 10_000;
const CANCELLED_AT: Ms = 1_000;

/// A machine whose one task's job was confirmed as cancelled at `CANCELLED_AT`.
struct Bench {
    truths: BTreeMap<JobId, GroundTruth>,
    check: Checker,
    worker: Worker,
}

impl Bench {
    fn new(cancel_ms: Ms) -> Self {
        let spec = spec();
        let truth = GroundTruth {
            mistake: None,
            spec: spec.clone(),
            run_ms: 60_000,
        };
        let mut check = Checker::new(BTreeMap::new(), cancel_ms);
        check.on_submitted(&spec);
        let mut bench = Self {
            truths: BTreeMap::from([(spec.id.clone(), truth)]),
            check,
            worker: Worker::new(
                (MachineId::new("m"), "m".to_owned()),
                &machine_type("c8"),
                "a",
                false,
                0,
                false,
            ),
        };
        assert_eq!(bench.command_start(0), 200);
        bench.step(10);
        assert_eq!(bench.check.running_tasks(&spec.id), 1);
        bench.check.on_cancel_requested(&spec.id);
        let told = Some(JobStage::Cancelled);
        let check = &mut bench.check;
        check.on_immediate_response(CANCELLED_AT, &spec.id, false, 200, told);
        bench
    }

    fn around(&mut self, now: Ms) -> (&mut Worker, WorkerContext<'_>) {
        let around = WorkerContext {
            now,
            ground_truths: &self.truths,
            checker: &mut self.check,
            lease_ms: LEASE_MS,
        };
        (&mut self.worker, around)
    }

    fn command_start(&mut self, now: Ms) -> u16 {
        let start = Command {
            verb: Verb::Start,
            task: TaskRef {
                job: spec().id,
                index: 0,
            },
            attempt: 1,
            grace_s: None,
        };
        let commands = CommandRequest {
            token: 1,
            incarnation: 1,
            commands: vec![start],
            prefetch: Vec::new(),
        };
        let body = serde_json::to_vec(&commands).unwrap();
        let (worker, mut around) = self.around(now);
        worker.handle_commands(&mut around, &body).0
    }

    fn step(&mut self, now: Ms) {
        let (worker, mut around) = self.around(now);
        worker.tick(&mut around);
    }

    fn look(&mut self, now: Ms) {
        let hung = self.worker.is_hung_without_lease(now, LEASE_MS);
        let expired = hung.then(|| self.worker.id.clone()).into_iter().collect();
        self.check.tick(now, &expired);
    }

    fn found(&self) -> Vec<Rule> {
        self.check.broken.iter().map(|b| b.0).collect()
    }
}

/// A task of a cancelled job that goes on, or may go on, after its machine's
/// hang breaks the rule. Once the lease is over it can not: it is gone before
/// the machine does anything.
#[test]
fn a_cancelled_task_on_a_machine_that_hangs() {
    // Time for a cancellation, how long it hangs, when the checker looks, and
    // whether it finds that the rule is broken.
    let cases = [
        ("it goes on in time", 6_000, 4_000, 5_000, false),
        ("it goes on too late", 6_000, 8_000, 9_000, true),
        ("it may still go on", 6_000, 20_000, 8_000, true),
        (
            "its lease is over before the time is up",
            12_000,
            20_000,
            14_000,
            false,
        ),
        (
            "its lease is over by the time it goes on",
            12_000,
            20_000,
            21_000,
            false,
        ),
    ];
    for (name, cancel_ms, hang, look_at, broken) in cases {
        let mut bench = Bench::new(cancel_ms);
        bench.worker.hung_until = CANCELLED_AT + hang;
        // Nothing happens on it until it goes on.
        if look_at >= bench.worker.hung_until {
            bench.step(look_at);
        }
        bench.look(look_at);
        let expected = if broken {
            vec![Rule::RanCancelled]
        } else {
            vec![]
        };
        assert_eq!(bench.found(), expected, "{name}");
    }
}

/// A worker that goes on with its tasks though its lease ended while it hung
/// is found out.
#[test]
fn what_goes_on_after_a_lease_that_ended_in_a_hang_counts() {
    let mut bench = Bench::new(12_000);
    bench.worker.hung_until = 20_000;
    bench.look(15_000);
    assert_eq!(bench.found(), []);
    // It goes on without the step that would end its tasks.
    bench.look(20_000);
    assert_eq!(bench.found(), [Rule::RanCancelled]);
}

/// A command that was held up by a hang finds another incarnation.
#[test]
fn a_command_after_a_lease_that_ended_in_a_hang_is_refused() {
    for (goes_on, status) in [(9_000, 200), (12_000, 409)] {
        let mut bench = Bench::new(20_000);
        bench.worker.hung_until = goes_on;
        assert_eq!(bench.command_start(goes_on), status, "at {goes_on}");
        let there = bench.check.running_tasks(&spec().id);
        assert_eq!(there, usize::from(status == 200), "at {goes_on}");
    }
}

/// A type of the usual fleet.
fn machine_type(name: &str) -> MachineType {
    let fleet = Fleet::default();
    fleet.machine_type(name).expect("a type").clone()
}
