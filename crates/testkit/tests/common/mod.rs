//! What several test programs share: random jobs, faults at a time, and the checks of a
//! finished simulation.

// Each test program uses a part of it.
#![allow(dead_code)]

use forkshift_testkit::{Fault, FaultKind, JobPlan, Simulation};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// Milliseconds of virtual time.
pub(crate) type Ms = u64;

/// A fault that begins at a time.
pub(crate) fn fault(at: Ms, kind: FaultKind) -> Fault {
    Fault { at, kind }
}

/// Random jobs that are submitted within the first 90 seconds.
pub(crate) fn random_plans(rng: &mut StdRng, count: u32) -> Vec<JobPlan> {
    let plans = (0..count).map(|number| {
        let at = rng.random_range(2_000..90_000);
        JobPlan::random(rng, number, at)
    });
    plans.collect()
}

/// Random jobs of a seed.
pub(crate) fn random_plans_of_seed(seed: u64, count: u32) -> Vec<JobPlan> {
    random_plans(&mut StdRng::seed_from_u64(seed), count)
}

/// Checks that no rule was violated and that every job is done, runs, or is cancelled as
/// its user wants.
pub(crate) fn assert_rules_kept(name: &str, simulation: &Simulation) {
    assert_eq!(
        simulation.checker.violations,
        vec![],
        "{name}: rules broken"
    );
    assert_eq!(
        simulation.unfinished_jobs(),
        Vec::<String>::new(),
        "{name}: unserved"
    );
}

/// Checks that tasks ran and that all rules were kept.
pub(crate) fn assert_ran_and_rules_kept(name: &str, simulation: &Simulation) {
    assert!(simulation.checker.starts > 0, "{name}: nothing ran");
    assert_rules_kept(name, simulation);
}
