//! Helpers shared by the test programs: random jobs, timed faults, and the checks of a
//! finished simulation.

// Each test program compiles this module and uses only some of its items.
#![allow(dead_code)]

use forkshift_testkit::{Fault, FaultKind, JobPlan, Simulation};
use forkshift_wire::users::JobKind;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// Milliseconds of virtual time.
pub(crate) type Ms = u64;

/// A fault that begins at the virtual time `at`.
pub(crate) fn fault(at: Ms, kind: FaultKind) -> Fault {
    Fault { at, kind }
}

/// A job whose tasks need one CPU, one GPU and 1 GB of memory each.
pub(crate) fn small_job(n: u32, at: Ms, kind: JobKind, tasks: u32, run_ms: Ms) -> JobPlan {
    let mut plan = JobPlan::plain(n, at, kind, tasks, run_ms);
    plan.spec.cpus = 1.0;
    plan.spec.gpus = 1.0;
    plan.spec.memory_gb = 1.0;
    plan
}

/// `count` random jobs, submitted between 2 s and 90 s of virtual time.
pub(crate) fn random_plans(rng: &mut StdRng, count: u32) -> Vec<JobPlan> {
    let plans = (0..count).map(|number| {
        let at = rng.random_range(2_000..90_000);
        JobPlan::random(rng, number, at)
    });
    plans.collect()
}

/// Like [`random_plans`], with a generator seeded by `seed`.
pub(crate) fn random_plans_of_seed(seed: u64, count: u32) -> Vec<JobPlan> {
    random_plans(&mut StdRng::seed_from_u64(seed), count)
}

/// Asserts that no checker rule was violated and that every job is in the state that its
/// user asked for: done, running or cancelled.
pub(crate) fn assert_rules_kept(name: &str, simulation: &Simulation) {
    assert_eq!(
        simulation.checker.violations,
        vec![],
        "{name}: rules violated"
    );
    assert_eq!(
        simulation.unfinished_jobs(),
        Vec::<String>::new(),
        "{name}: unfinished jobs"
    );
}

/// Asserts that at least one task started, and [`assert_rules_kept`].
pub(crate) fn assert_ran_and_rules_kept(name: &str, simulation: &Simulation) {
    assert!(simulation.checker.starts > 0, "{name}: no task started");
    assert_rules_kept(name, simulation);
}
