//! Random days, for tests and for the soak program.
//!
//! The order of draws may not change: a seed stands for the same day in every build.

use crate::{
    random_early_faults, random_faults, random_pairs, random_upgrade, DeploymentConfig, Fault,
    JobPlan, Ms, NextLimits, Simulation,
};
use forkshift_wire::users::JobKind;
use forkshift_wire::JobId;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// Jobs of a day.
const JOBS: u32 = 30;
/// Jobs are submitted within these times.
const FIRST_JOB_AT: Ms = 2_000;
const LAST_JOB_AT: Ms = 90_000;
/// Faults begin within these times.
const FIRST_FAULT_AT: Ms = 15_000;
const LAST_FAULT_AT: Ms = 110_000;

/// Pipelines of a day with an upgrade.
const PIPELINES: u32 = 8;
/// Pipelines and large arrays are submitted until then.
const LAST_PIPELINE_AT: Ms = 150_000;
/// Arrays of a day with an upgrade that take more than one record.
const LARGE_ARRAYS: u32 = 3;
/// Most jobs of a pipeline.
pub(crate) const MAX_PIPELINE_JOBS: u32 = 6;
/// Faults of a day with an upgrade begin until then.
const LAST_LATE_FAULT_AT: Ms = 180_000;
/// Limits that come into force after an upgrade.
const NEXT_LIMITS: NextLimits = NextLimits {
    write_rps: 56.0,
    value_kb: 2,
    txn_ops: 4,
};

/// How a day's faults are drawn.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum FaultSchedule {
    /// Each by itself.
    Single,
    /// Each by itself, of the kinds that early seeds drew from.
    Early,
    /// In pairs and known combinations, of all kinds, on days that are longer and
    /// have longer jobs, more cancellations and tighter limits.
    Pairs,
    /// As pairs, on days that begin with the old release, of an upgrade, lower
    /// limits, and pipelines of jobs.
    Upgrade,
}

/// Ends of days with single faults, and of days with pairs.
const DAY_END: Ms = 260_000;
const LONG_DAY_END: Ms = 600_000;

/// A random day.
pub struct Day {
    /// The simulation at the beginning of the day.
    pub simulation: Simulation,
    /// All faults of the day.
    pub faults: Vec<Fault>,
    /// The end of the day.
    pub end: Ms,
}

impl Day {
    /// The day of a seed, with so many faults, or half as many pairs.
    pub fn new(seed: u64, faults: usize, schedule: FaultSchedule) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let plans = random_plans(&mut rng, schedule);
        let faults = random_day_faults(&mut rng, faults, schedule);
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

    /// Runs the day to its end, and the checks of the whole day.
    pub fn play(&mut self) {
        self.simulation.run_until(self.end);
        self.simulation.finish();
    }
}

impl FaultSchedule {
    /// Whether faults come in pairs, on long days with long jobs.
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
    // Services never end, so no job depends on one.
    let specs = plans.iter().map(|plan| &plan.spec);
    let others = specs.filter(|spec| spec.kind != JobKind::Service);
    let others: Vec<JobId> = others.map(|spec| spec.id.clone()).collect();
    for index in 0..PIPELINES {
        let at = rng.random_range(FIRST_JOB_AT..LAST_PIPELINE_AT);
        let first = JOBS + index * MAX_PIPELINE_JOBS;
        plans.extend(JobPlan::random_pipeline(rng, first, at, &others));
    }
}

/// Faults of a day; pairs are half as many.
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
