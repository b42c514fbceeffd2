//! Random days, the same for tests and for the soak.

use crate::{
    random_early_faults, random_faults, random_pairs, random_upgrade, Fault, Ms, NextLimits, Plan,
    Size, World,
};
use forkshift_wire::users::JobKind;
use forkshift_wire::JobId;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// Jobs of a day.
const JOBS: u32 = 30;
/// Jobs and faults begin within these.
const FIRST_JOB_AT: Ms = 2_000;
const LAST_JOB_AT: Ms = 90_000;
const FIRST_FAULT_AT: Ms = 15_000;
const LAST_FAULT_AT: Ms = 110_000;

/// Pipelines of a day that has some, and until when they begin.
const PIPELINES: u32 = 8;
const LAST_PIPELINE_AT: Ms = 150_000;
/// Arrays of such a day that take more than one record.
const LARGE_ARRAYS: u32 = 3;
/// Jobs of a pipeline, at most.
pub(crate) const MAX_PIPELINE_JOBS: u32 = 6;
/// Faults of such a day begin within this.
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
    /// Each by itself, of the kinds that there once were.
    Early,
    /// In pairs and known combinations, of all kinds, on days that are longer and
    /// have longer jobs, more cancellations and tighter limits.
    Pairs,
    /// As pairs, on days that begin with the old release, of an upgrade, lower
    /// limits, and pipelines of jobs.
    Upgrade,
}

/// A random day.
pub struct Day {
    /// It, at its beginning.
    pub simulation: World,
    /// What is to go wrong.
    pub faults: Vec<Fault>,
    /// Its end.
    pub end: Ms,
}

impl Day {
    /// The day of a seed, with so many faults, or half as many pairs.
    pub fn new(seed: u64, faults: usize, draw: FaultSchedule) -> Self {
        let pairs = matches!(draw, FaultSchedule::Pairs | FaultSchedule::Upgrade);
        let mut rng = StdRng::seed_from_u64(seed);
        let one = |n| {
            let at = rng.random_range(FIRST_JOB_AT..LAST_JOB_AT);
            match pairs {
                true => Plan::long(&mut rng, n, at),
                false => Plan::random(&mut rng, n, at),
            }
        };
        let mut plans: Vec<Plan> = (0..JOBS).map(one).collect();
        if draw == FaultSchedule::Upgrade {
            for n in 0..LARGE_ARRAYS {
                let at = rng.random_range(FIRST_JOB_AT..LAST_PIPELINE_AT);
                let first = JOBS + PIPELINES * MAX_PIPELINE_JOBS;
                plans.push(Plan::large_array(&mut rng, first + n, at));
            }
            // Services never end, so nobody waits for one.
            let others = plans.iter().map(|p| &p.spec);
            let others = others.filter(|s| s.kind != JobKind::Service);
            let others: Vec<JobId> = others.map(|s| s.id.clone()).collect();
            for n in 0..PIPELINES {
                let at = rng.random_range(FIRST_JOB_AT..LAST_PIPELINE_AT);
                let first = JOBS + n * MAX_PIPELINE_JOBS;
                plans.extend(Plan::pipeline(&mut rng, first, at, &others));
            }
        }
        let (from, to) = (FIRST_FAULT_AT, LAST_FAULT_AT);
        let faults = match draw {
            FaultSchedule::Single => random_faults(&mut rng, from, to, faults),
            FaultSchedule::Early => random_early_faults(&mut rng, from, to, faults),
            FaultSchedule::Pairs => random_pairs(&mut rng, from, to, faults.div_ceil(2), JOBS),
            FaultSchedule::Upgrade => {
                let turns = rng.random_range(from..LAST_FAULT_AT / 2);
                let upgrade = random_upgrade(&mut rng, turns, Size::default().nodes);
                let pairs =
                    random_pairs(&mut rng, from, LAST_LATE_FAULT_AT, faults.div_ceil(2), JOBS);
                upgrade.into_iter().chain(pairs).collect()
            }
        };
        let (size, end) = match pairs {
            true if draw == FaultSchedule::Upgrade => {
                let size = Size {
                    next_limits: Some(NEXT_LIMITS),
                    begins_old: true,
                    ..Size::random(&mut rng)
                };
                (size, 600_000)
            }
            true => (Size::random(&mut rng), 600_000),
            false => (Size::default(), 260_000),
        };
        Self {
            simulation: World::with_size(seed, plans, faults.clone(), size),
            faults,
            end,
        }
    }

    /// Plays it to its end, and looks at the whole of it.
    pub fn play(&mut self) {
        self.simulation.run_until(self.end);
        self.simulation.finish();
    }
}
