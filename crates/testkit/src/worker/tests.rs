//! Tests of a machine that hangs and resumes, with the checker's rule for cancelled jobs.

use super::*;
use crate::checker::Rule;
use crate::fleet::Fleet;
use forkshift_wire::users::{JobStage, Priority};
use forkshift_wire::workers::{Command, Verb};
use forkshift_wire::TaskRef;

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
        machine_types: None,
        zone: None,
        require_same_zone: false,
        spread_over_zones: false,
        allow_spot: false,
        estimated_run_time_s: 1.0,
        checkpoint_interval_s: 0.0,
        checkpoint_save_time_s: 0.0,
        deadline_s: None,
        dependencies: Vec::new(),
    }
}

const LEASE_MS: Ms = 10_000;
const CANCELLED_AT: Ms = 1_000;

/// A worker with one running task, the job of which was confirmed as cancelled at `CANCELLED_AT`.
struct HungWorkerFixture {
    ground_truths: BTreeMap<JobId, GroundTruth>,
    checker: Checker,
    worker: Worker,
}

impl HungWorkerFixture {
    fn new(cancel_ms: Ms) -> Self {
        let spec = spec();
        let ground_truth = GroundTruth {
            defect: None,
            spec: spec.clone(),
            run_ms: 60_000,
        };
        let mut checker = Checker::new(BTreeMap::new(), cancel_ms);
        checker.on_submitted(&spec);
        let mut fixture = Self {
            ground_truths: BTreeMap::from([(spec.id.clone(), ground_truth)]),
            checker,
            worker: Worker::new(
                (MachineId::new("m"), "m".to_owned()),
                &machine_type("c8"),
                "a",
                false,
                0,
                false,
            ),
        };
        assert_eq!(fixture.command_start(0), 200);
        fixture.step(10);
        assert_eq!(fixture.checker.running_tasks(&spec.id), 1);
        fixture.checker.on_cancel_requested(&spec.id);
        let stage = Some(JobStage::Cancelled);
        let checker = &mut fixture.checker;
        checker.on_immediate_response(CANCELLED_AT, &spec.id, false, 200, stage);
        fixture
    }

    fn context(&mut self, now: Ms) -> (&mut Worker, WorkerContext<'_>) {
        let context = WorkerContext {
            now,
            ground_truths: &self.ground_truths,
            checker: &mut self.checker,
            lease_ms: LEASE_MS,
        };
        (&mut self.worker, context)
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
        let (worker, mut context) = self.context(now);
        worker.respond_to_commands(&mut context, &body).0
    }

    fn step(&mut self, now: Ms) {
        let (worker, mut context) = self.context(now);
        worker.tick(&mut context);
    }

    fn check(&mut self, now: Ms) {
        let hung = self.worker.is_hung_without_lease(now, LEASE_MS);
        let expired = hung.then(|| self.worker.id.clone()).into_iter().collect();
        self.checker.check_time_limits(now, &expired);
    }

    fn violations(&self) -> Vec<Rule> {
        self.checker
            .violations
            .iter()
            .map(|violation| violation.0)
            .collect()
    }
}

/// Guards against a checker that excuses all tasks on hung machines: the task of a cancelled job
/// violates the rule if it runs, or may still run, after the machine resumes. It cannot run once
/// the lease has expired, as the worker kills it first.
#[test]
fn a_cancelled_task_on_a_hung_machine_violates_the_rule_unless_the_lease_has_expired() {
    // Case, allowed cancellation time, duration of the hang, time of the check, and whether the
    // check finds a violation.
    let cases = [
        ("it resumes in time", 6_000, 4_000, 5_000, false),
        ("it resumes too late", 6_000, 8_000, 9_000, true),
        ("it may still resume", 6_000, 20_000, 8_000, true),
        (
            "its lease expires before the time is up",
            12_000,
            20_000,
            14_000,
            false,
        ),
        (
            "its lease has expired when it resumes",
            12_000,
            20_000,
            21_000,
            false,
        ),
    ];
    for (name, cancel_ms, hang, check_at, is_violated) in cases {
        let mut fixture = HungWorkerFixture::new(cancel_ms);
        fixture.worker.hung_until = CANCELLED_AT + hang;
        // The worker does not run until it resumes.
        if check_at >= fixture.worker.hung_until {
            fixture.step(check_at);
        }
        fixture.check(check_at);
        let expected = if is_violated {
            vec![Rule::RanCancelled]
        } else {
            vec![]
        };
        assert_eq!(fixture.violations(), expected, "{name}");
    }
}

/// Guards against a checker that excuses a task for good: a worker that resumes its tasks although
/// its lease expired during the hang violates the rule.
#[test]
fn a_task_that_resumes_after_the_lease_expired_in_a_hang_violates_the_rule() {
    let mut fixture = HungWorkerFixture::new(12_000);
    fixture.worker.hung_until = 20_000;
    fixture.check(15_000);
    assert_eq!(fixture.violations(), []);
    // The hang is over, but the step that would kill the tasks has not run.
    fixture.check(20_000);
    assert_eq!(fixture.violations(), [Rule::RanCancelled]);
}

/// A start command that was delayed by a hang must not start a task after the lease has expired,
/// as the worker has a new incarnation then.
#[test]
fn a_command_is_refused_after_the_lease_expired_in_a_hang() {
    for (resumes_at, status) in [(9_000, 200), (12_000, 409)] {
        let mut fixture = HungWorkerFixture::new(20_000);
        fixture.worker.hung_until = resumes_at;
        assert_eq!(fixture.command_start(resumes_at), status, "at {resumes_at}");
        let running = fixture.checker.running_tasks(&spec().id);
        assert_eq!(running, usize::from(status == 200), "at {resumes_at}");
    }
}

/// The machine type of the default fleet with a name.
fn machine_type(name: &str) -> MachineType {
    let fleet = Fleet::default();
    fleet.machine_type(name).expect("a type").clone()
}
