//! Random days, the same for tests and for the soak.

use crate::{random_faults, random_faults_once, random_pairs, Fault, Ms, Plan, Size, World};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// Jobs of a day.
const JOBS: u32 = 30;
/// Jobs and faults begin within these.
const JOBS_FROM: Ms = 2_000;
const JOBS_TO: Ms = 90_000;
const FAULTS_FROM: Ms = 15_000;
const FAULTS_TO: Ms = 110_000;

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
        let pairs = draw == Draw::Pairs;
        let mut rng = StdRng::seed_from_u64(seed);
        let one = |n| {
            let at = rng.random_range(JOBS_FROM..JOBS_TO);
            match pairs {
                true => Plan::long(&mut rng, n, at),
                false => Plan::random(&mut rng, n, at),
            }
        };
        let plans: Vec<Plan> = (0..JOBS).map(one).collect();
        let (from, to) = (FAULTS_FROM, FAULTS_TO);
        let faults = match draw {
            Draw::Single => random_faults(&mut rng, from, to, faults),
            Draw::Once => random_faults_once(&mut rng, from, to, faults),
            Draw::Pairs => random_pairs(&mut rng, from, to, faults.div_ceil(2), JOBS),
        };
        let (size, end) = match pairs {
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
