//! Plans of jobs that users submit, built by tests or drawn at random.
//!
//! The order of random draws must not change, so that a seed produces the same jobs in every build
//! and recorded failures stay reproducible.

use crate::day::MAX_PIPELINE_JOBS;
use crate::faults::ControllerSelector;
use crate::Ms;
use forkshift_wire::users::{JobKind, JobSpec, Priority};
use forkshift_wire::JobId;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::Rng;

/// Time between the submissions of two consecutive jobs of a pipeline.
const PIPELINE_JOB_INTERVAL_MS: Ms = 300;
/// Deadline of the last job of a pipeline, in seconds.
const PIPELINE_DEADLINE_S: f64 = 120.0;

/// The id of the job with a number that [`JobPlan::plain`] builds.
pub fn job_id(n: u32) -> JobId {
    JobId::new(&format!("j-{n}"))
}

/// The id of the job with a number that is drawn at random.
pub(crate) fn random_job_id(n: u32) -> JobId {
    JobId::new(&format!("j-{n:06}"))
}

/// A defect of a job, due to which its tasks fail on every machine.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum JobDefect {
    /// The tasks fail as soon as their image is ready, and never run.
    FailsAtStart,
    /// The tasks fail after running for this time.
    FailsAfter(Ms),
}

/// A job that a user submits, with its ground truth and the user's later actions.
#[derive(Clone, Debug)]
pub struct JobPlan {
    /// When the user first submits the job.
    pub submit_at: Ms,
    /// The submitted specification.
    pub spec: JobSpec,
    /// Actual run time of each task, whatever the specification estimates.
    pub run_ms: Ms,
    /// When the user cancels the job; never if absent.
    pub cancel_at: Option<Ms>,
    /// The controller to which the user's requests go. If absent or without a match, each request
    /// goes to a random controller.
    pub target_controller: Option<ControllerSelector>,
    /// Defect of the job, if any. Random jobs have none.
    pub defect: Option<JobDefect>,
}

impl JobPlan {
    fn new(at: Ms, spec: JobSpec, run_ms: Ms, cancel_at: Option<Ms>) -> Self {
        Self {
            submit_at: at,
            spec,
            run_ms,
            cancel_at,
            target_controller: None,
            defect: None,
        }
    }

    /// A job with default properties, of which a test overrides the relevant ones: it may run on any
    /// on-demand machine with enough resources, and its estimated run time is exact.
    pub fn plain(n: u32, at: Ms, kind: JobKind, tasks: u32, run_ms: Ms) -> Self {
        let spec = JobSpec {
            id: job_id(n),
            class: "work".to_owned(),
            team: "team-0".to_owned(),
            kind,
            priority: Priority::Normal,
            tasks,
            cpus: 2.0,
            gpus: 4.0,
            memory_gb: 4.0,
            image: "img".to_owned(),
            image_gb: 1.0,
            machine_types: None,
            zone: None,
            require_same_zone: false,
            spread_over_zones: false,
            allow_spot: false,
            estimated_run_time_s: estimate_s(kind, run_ms),
            checkpoint_interval_s: 0.0,
            checkpoint_save_time_s: 0.0,
            deadline_s: None,
            dependencies: Vec::new(),
        };
        Self::new(at, spec, run_ms, None)
    }

    /// Draws a job of any kind that runs for 2 to 15 s.
    pub fn random(rng: &mut StdRng, n: u32, at: Ms) -> Self {
        let kind = random_kind(rng);
        let is_service = kind == JobKind::Service;
        let tasks = match kind {
            JobKind::Array => rng.random_range(1..12),
            _ => rng.random_range(1..4),
        };
        let gpus = [0.0, 1.0, 2.0, 4.0][rng.random_range(0..4)];
        let run_ms = rng.random_range(2_000..15_000);
        let one_zone = rng.random_range(0..4) == 0;
        let has_checkpoints = kind == JobKind::Gang && rng.random();
        let (class, priority) = match is_service {
            true => ("serve", Priority::Production),
            false => ("work", Priority::Normal),
        };
        let mut spec = JobSpec {
            id: random_job_id(n),
            class: class.to_owned(),
            team: random_team(rng),
            priority,
            cpus: rng.random_range(1..5).into(),
            gpus,
            image: format!("img-{}", rng.random_range(0..4)),
            image_gb: 4.0,
            machine_types: (gpus > 0.0 && rng.random()).then(|| vec!["g8".to_owned()]),
            zone: (rng.random_range(0..8) == 0).then(|| "b".to_owned()),
            require_same_zone: one_zone,
            spread_over_zones: !one_zone && is_service && rng.random(),
            allow_spot: !is_service && rng.random(),
            checkpoint_interval_s: if has_checkpoints { 3.0 } else { 0.0 },
            checkpoint_save_time_s: if has_checkpoints { 1.0 } else { 0.0 },
            ..Self::plain(n, at, kind, tasks, run_ms).spec
        };
        if spec.spread_over_zones {
            spec.zone = None;
        }
        let is_cancelled = is_service || rng.random_range(0..4) == 0;
        let cancel_at = is_cancelled.then(|| at + rng.random_range(1_000..60_000));
        Self::new(at, spec, run_ms, cancel_at)
    }

    /// Draws a job that runs longer than most jobs of [`JobPlan::random`], 5 to 60 s, and is
    /// cancelled more often.
    pub fn random_long(rng: &mut StdRng, n: u32, at: Ms) -> Self {
        let mut plan = Self::random(rng, n, at);
        plan.run_ms = rng.random_range(5_000..60_000);
        plan.spec.estimated_run_time_s = estimate_s(plan.spec.kind, plan.run_ms);
        if rng.random() {
            plan.cancel_at = Some(at + rng.random_range(1_000..90_000));
        }
        plan
    }

    /// Draws an array of 60 to 300 small tasks, which is too large for a single store record.
    pub fn random_large_array(rng: &mut StdRng, n: u32, at: Ms) -> Self {
        let tasks = rng.random_range(60..300);
        let run_ms = rng.random_range(2_000..20_000);
        let mut plan = Self::plain(n, at, JobKind::Array, tasks, run_ms);
        plan.spec.id = random_job_id(n);
        plan.spec.cpus = 1.0;
        plan.spec.gpus = 0.0;
        plan.spec.memory_gb = 1.0;
        plan.spec.team = random_team(rng);
        let is_cancelled = rng.random_range(0..4) == 0;
        plan.cancel_at = is_cancelled.then(|| at + rng.random_range(1_000..90_000));
        plan
    }

    /// Draws a pipeline of two to six jobs, numbered from `first` on. Each job depends on one or two
    /// of the jobs before it, and the first two may depend on one of `others`, of any team. The last
    /// job may be submitted late, and any job may be cancelled.
    pub fn random_pipeline(rng: &mut StdRng, first: u32, at: Ms, others: &[JobId]) -> Vec<Self> {
        let jobs = rng.random_range(2..=MAX_PIPELINE_JOBS);
        let mut plans: Vec<Self> = (0..jobs)
            .map(|index| Self::pipeline_job(rng, first, index, at, others))
            .collect();
        if let Some(last) = plans.last_mut() {
            last.spec.priority = Priority::High;
            last.spec.deadline_s = Some(PIPELINE_DEADLINE_S);
            if rng.random_range(0..6) == 0 {
                last.submit_at += rng.random_range(20_000..90_000);
            }
        }
        plans
    }

    /// Draws the job with an index in a pipeline.
    fn pipeline_job(rng: &mut StdRng, first: u32, index: u32, at: Ms, others: &[JobId]) -> Self {
        let at = at + u64::from(index) * PIPELINE_JOB_INTERVAL_MS;
        let mut plan = Self::random(rng, first + index, at);
        let kind = match rng.random_range(0..3) {
            0 => JobKind::Gang,
            _ => JobKind::Array,
        };
        plan.spec = JobSpec {
            class: "chained".to_owned(),
            kind,
            spread_over_zones: false,
            tasks: rng.random_range(1..4),
            estimated_run_time_s: estimate_s(kind, plan.run_ms),
            priority: Priority::Low,
            dependencies: pipeline_dependencies(rng, first, index, others),
            ..plan.spec
        };
        let is_cancelled = rng.random_range(0..12) == 0;
        plan.cancel_at = is_cancelled.then(|| plan.submit_at + rng.random_range(500..60_000));
        plan
    }
}

/// The exact run time in seconds as the estimate of a specification; 0 for services, which have
/// none.
fn estimate_s(kind: JobKind, run_ms: Ms) -> f64 {
    match kind {
        JobKind::Service => 0.0,
        JobKind::Array | JobKind::Gang => run_ms as f64 / 1000.0,
    }
}

fn random_kind(rng: &mut StdRng) -> JobKind {
    match rng.random_range(0..5) {
        0 | 1 => JobKind::Array,
        2 => JobKind::Gang,
        _ => JobKind::Service,
    }
}

fn random_team(rng: &mut StdRng) -> String {
    format!("team-{}", rng.random_range(0..4))
}

fn pipeline_dependencies(rng: &mut StdRng, first: u32, index: u32, others: &[JobId]) -> Vec<JobId> {
    let mut dependencies = Vec::new();
    for _ in 0..rng.random_range(1..3) {
        if index > 0 {
            let earlier = rng.random_range(index.saturating_sub(2)..index);
            dependencies.push(random_job_id(first + earlier));
        }
    }
    if index < 2 && rng.random_range(0..3) == 0 {
        dependencies.extend(others.choose(rng).cloned());
    }
    dependencies
}
