//! Random days, for tests and for the soak program. A day is one simulated run with random jobs
//! and faults that are determined by a seed.
//!
//! The order of random draws must not change, so that a seed produces the same day in every build
//! and recorded failures stay reproducible.

use crate::{
    random_early_faults, random_faults, random_pairs, random_repeats, random_upgrade,
    DeploymentConfig, Fault, JobPlan, Ms, NextLimits, Simulation,
};
use forkshift_wire::users::JobKind;
use forkshift_wire::JobId;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// Independent jobs per day.
const JOBS: u32 = 30;
/// Range of times at which the independent jobs are submitted.
const FIRST_JOB_AT: Ms = 2_000;
const LAST_JOB_AT: Ms = 90_000;
/// Range of times at which faults begin.
const FIRST_FAULT_AT: Ms = 15_000;
const LAST_FAULT_AT: Ms = 110_000;
/// Earliest start of a fault that repeats requests, so that the requests of the first jobs are
/// among them.
const FIRST_REPEAT_AT: Ms = 2_000;
/// Distinguishes the seed of the faults that repeat requests from the seed of the day.
const REPEATS_SEED_MASK: u64 = 0x5245_5045_4154_5321;

/// Pipelines of dependent jobs on a day with an upgrade.
const PIPELINES: u32 = 8;
/// Latest submission of pipelines and large arrays, so that some are submitted after the upgrade.
const LAST_PIPELINE_AT: Ms = 150_000;
/// Arrays on a day with an upgrade that are too large for a single store record.
const LARGE_ARRAYS: u32 = 3;
/// Maximum number of jobs in a pipeline.
pub(crate) const MAX_PIPELINE_JOBS: u32 = 6;
/// Latest start of a fault on a day with an upgrade, so that some faults follow the upgrade.
const LAST_LATE_FAULT_AT: Ms = 180_000;
/// Store limits that are announced at the start and take effect after an upgrade.
const NEXT_LIMITS: NextLimits = NextLimits {
    write_rps: 56.0,
    value_kb: 2,
    txn_ops: 4,
};

/// Which faults a day draws, and on which jobs and limits.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum FaultSchedule {
    /// Independent single faults of all kinds.
    Single,
    /// Independent single faults of the kinds that early versions drew from, to reproduce their
    /// seeds.
    Early,
    /// Pairs of faults and known combinations, of all kinds, on longer days with longer jobs, more
    /// cancellations and, on some days, lower team limits and a shorter cancellation time.
    Pairs,
    /// Like [`FaultSchedule::Pairs`], on days that begin with the old release and add an upgrade
    /// of all controllers, lower store limits, large arrays and pipelines of jobs.
    Upgrade,
}

/// Length of a day with single faults. It leaves time after the last fault in which all jobs
/// have to complete.
const DAY_END: Ms = 260_000;
/// Length of a day with pairs of faults, whose jobs run longer.
const LONG_DAY_END: Ms = 600_000;

/// A random day, ready to run.
pub struct Day {
    /// The simulation, at time 0 until it is run.
    pub simulation: Simulation,
    /// The scheduled faults, for reports.
    pub faults: Vec<Fault>,
    /// Time at which the day ends.
    pub end: Ms,
}

impl Day {
    /// The day of a seed, with `faults` faults, or half as many pairs if the schedule has pairs.
    pub fn new(seed: u64, faults: usize, schedule: FaultSchedule) -> Self {
        Self::with_repeats(seed, faults, schedule, 0)
    }

    /// Like [`Day::new`], with `repeats` further faults that repeat executed requests.
    pub fn with_repeats(seed: u64, faults: usize, schedule: FaultSchedule, repeats: usize) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let plans = random_plans(&mut rng, schedule);
        let mut faults = random_day_faults(&mut rng, faults, schedule);
        let mut repeats_rng = StdRng::seed_from_u64(seed ^ REPEATS_SEED_MASK);
        let (from, to) = (FIRST_REPEAT_AT, LAST_FAULT_AT);
        faults.extend(random_repeats(&mut repeats_rng, from, to, repeats));
        let config = random_config(&mut rng, schedule);
        let end = match schedule.has_pairs() {
            true => LONG_DAY_END,
            false => DAY_END,
        };
        Self {
            simulation: Simulation::with_config(seed, plans, faults.clone(), config),
            faults,
            end,
        }
    }

    /// Runs the day to its end, then the checks that need the whole day.
    pub fn play(&mut self) {
        self.simulation.run_until(self.end);
        self.simulation.finish();
    }
}

impl FaultSchedule {
    /// Whether faults come in pairs, which also makes the day and its jobs longer.
    fn has_pairs(self) -> bool {
        matches!(self, Self::Pairs | Self::Upgrade)
    }
}

fn random_plans(rng: &mut StdRng, schedule: FaultSchedule) -> Vec<JobPlan> {
    let mut plans: Vec<JobPlan> = (0..JOBS)
        .map(|number| {
            let at = rng.random_range(FIRST_JOB_AT..LAST_JOB_AT);
            match schedule.has_pairs() {
                true => JobPlan::random_long(rng, number, at),
                false => JobPlan::random(rng, number, at),
            }
        })
        .collect();
    if schedule == FaultSchedule::Upgrade {
        add_large_arrays(rng, &mut plans);
        add_pipelines(rng, &mut plans);
    }
    plans
}

fn add_large_arrays(rng: &mut StdRng, plans: &mut Vec<JobPlan>) {
    let first = JOBS + PIPELINES * MAX_PIPELINE_JOBS;
    for index in 0..LARGE_ARRAYS {
        let at = rng.random_range(FIRST_JOB_AT..LAST_PIPELINE_AT);
        plans.push(JobPlan::random_large_array(rng, first + index, at));
    }
}

fn add_pipelines(rng: &mut StdRng, plans: &mut Vec<JobPlan>) {
    // A job that depends on a service would never start, as services never complete.
    let specs = plans.iter().map(|plan| &plan.spec);
    let others = specs.filter(|spec| spec.kind != JobKind::Service);
    let others: Vec<JobId> = others.map(|spec| spec.id.clone()).collect();
    for index in 0..PIPELINES {
        let at = rng.random_range(FIRST_JOB_AT..LAST_PIPELINE_AT);
        let first = JOBS + index * MAX_PIPELINE_JOBS;
        plans.extend(JobPlan::random_pipeline(rng, first, at, &others));
    }
}

/// Draws the faults of a day: `count` single faults, or `count / 2` pairs, rounded up.
fn random_day_faults(rng: &mut StdRng, count: usize, schedule: FaultSchedule) -> Vec<Fault> {
    let (from, to) = (FIRST_FAULT_AT, LAST_FAULT_AT);
    let pairs = count.div_ceil(2);
    match schedule {
        FaultSchedule::Single => random_faults(rng, from, to, count),
        FaultSchedule::Early => random_early_faults(rng, from, to, count),
        FaultSchedule::Pairs => random_pairs(rng, from, to, pairs, JOBS),
        FaultSchedule::Upgrade => {
            let upgrade_at = rng.random_range(from..to / 2);
            let mut faults =
                random_upgrade(rng, upgrade_at, DeploymentConfig::default().controllers);
            faults.extend(random_pairs(rng, from, LAST_LATE_FAULT_AT, pairs, JOBS));
            faults
        }
    }
}

fn random_config(rng: &mut StdRng, schedule: FaultSchedule) -> DeploymentConfig {
    match schedule {
        FaultSchedule::Single | FaultSchedule::Early => DeploymentConfig::default(),
        FaultSchedule::Pairs => DeploymentConfig::random(rng),
        FaultSchedule::Upgrade => DeploymentConfig {
            next_limits: Some(NEXT_LIMITS),
            starts_with_old_release: true,
            ..DeploymentConfig::random(rng)
        },
    }
}
