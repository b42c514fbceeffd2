//! Random days, the same for tests and for the soak.

use crate::{
    random_faults, random_faults_once, random_pairs, random_upgrade, Fault, Ms, NextLimits, Plan,
    Size, World,
};
use forkshift_wire::users::JobKind;
use forkshift_wire::JobId;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// Jobs of a day.
const JOBS: u32 = 30;
/// Jobs and faults begin within these.
const JOBS_FROM: Ms = 2_000;
const JOBS_TO: Ms = 90_000;
const FAULTS_FROM: Ms = 15_000;
const FAULTS_TO: Ms = 110_000;

/// Pipelines of a day that has some, and until when they begin.
const PIPELINES: u32 = 8;
const PIPELINES_TO: Ms = 150_000;
/// Arrays of such a day that take more than one record.
const LARGE_ARRAYS: u32 = 3;
/// Jobs of a pipeline, at most.
pub(crate) const PIPELINE_JOBS_MOST: u32 = 6;
/// Faults of such a day begin within this.
const LATE_FAULTS_TO: Ms = 180_000;
/// Limits that come into force after an upgrade.
const NEXT_LIMITS: NextLimits = NextLimits {
    write_rps: 56.0,
    value_kb: 2,
    txn_ops: 4,
};

/// How a day's faults are drawn.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Draw {
    /// Each by itself.
    Single,
    /// Each by itself, of the kinds that there once were.
    Once,
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
    pub world: World,
    /// What is to go wrong.
    pub faults: Vec<Fault>,
    /// Its end.
    pub end: Ms,
}

impl Day {
    /// The day of a seed, with so many faults, or half as many pairs.
    pub fn new(seed: u64, faults: usize, draw: Draw) -> Self {
        let pairs = matches!(draw, Draw::Pairs | Draw::Upgrade);
        let mut rng = StdRng::seed_from_u64(seed);
        let one = |n| {
            let at = rng.random_range(JOBS_FROM..JOBS_TO);
            match pairs {
                true => Plan::long(&mut rng, n, at),
                false => Plan::random(&mut rng, n, at),
            }
        };
        let mut plans: Vec<Plan> = (0..JOBS).map(one).collect();
        if draw == Draw::Upgrade {
            for n in 0..LARGE_ARRAYS {
                let at = rng.random_range(JOBS_FROM..PIPELINES_TO);
                let first = JOBS + PIPELINES * PIPELINE_JOBS_MOST;
                plans.push(Plan::large_array(&mut rng, first + n, at));
            }
            // Services never end, so nobody waits for one.
            let others = plans.iter().map(|p| &p.spec);
            let others = others.filter(|s| s.kind != JobKind::Service);
            let others: Vec<JobId> = others.map(|s| s.id.clone()).collect();
            for n in 0..PIPELINES {
                let at = rng.random_range(JOBS_FROM..PIPELINES_TO);
                let first = JOBS + n * PIPELINE_JOBS_MOST;
                plans.extend(Plan::pipeline(&mut rng, first, at, &others));
            }
        }
        let (from, to) = (FAULTS_FROM, FAULTS_TO);
        let faults = match draw {
            Draw::Single => random_faults(&mut rng, from, to, faults),
            Draw::Once => random_faults_once(&mut rng, from, to, faults),
            Draw::Pairs => random_pairs(&mut rng, from, to, faults.div_ceil(2), JOBS),
            Draw::Upgrade => {
                let turns = rng.random_range(from..FAULTS_TO / 2);
                let upgrade = random_upgrade(&mut rng, turns, Size::default().nodes);
                let pairs = random_pairs(&mut rng, from, LATE_FAULTS_TO, faults.div_ceil(2), JOBS);
                upgrade.into_iter().chain(pairs).collect()
            }
        };
        let (size, end) = match pairs {
            true if draw == Draw::Upgrade => {
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
            world: World::sized(seed, plans, faults.clone(), size),
            faults,
            end,
        }
    }

    /// Plays it to its end, and looks at the whole of it.
    pub fn play(&mut self) {
        self.world.run_until(self.end);
        self.world.close();
    }
}
