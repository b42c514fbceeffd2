//! Jobs with dependencies while other jobs fill the fleet.

use forkshift_testkit::job_id as id;
use forkshift_testkit::{DeploymentConfig, JobPlan, Simulation};
use forkshift_wire::users::{JobKind, JobStage, Priority};
use forkshift_wire::JobId;

/// Ordinary jobs, which need more than the fleet's capacity, so that some are pending.
const ORDINARY_JOBS: u32 = 40;
/// When the chain is submitted.
const CHAIN_AT: u64 = 60_000;

/// Two dependent jobs of low priority, and a last one of high priority that depends on both.
fn chain(first: u32) -> Vec<JobPlan> {
    let job = |n: u32, priority, dependencies: &[JobId]| {
        let mut plan = JobPlan::plain(
            n,
            CHAIN_AT + u64::from(n - first) * 200,
            JobKind::Array,
            2,
            2_000,
        );
        plan.spec.gpus = 0.0;
        plan.spec.priority = priority;
        plan.spec.dependencies = dependencies.to_vec();
        plan
    };
    let middle = job(first + 1, Priority::Low, &[id(first)]);
    let last = job(first + 2, Priority::High, &[id(first + 1)]);
    vec![job(first, Priority::Low, &[]), middle, last]
}

/// If jobs of low priority wait behind all ordinary jobs submitted before, a job of high
/// priority that depends on them is delayed as well. They must inherit its priority.
#[test]
fn a_high_priority_job_is_not_delayed_by_its_low_priority_dependencies() {
    let mut plans: Vec<JobPlan> = (0..ORDINARY_JOBS)
        .map(|n| {
            let mut plan = JobPlan::plain(n, 2_000 + u64::from(n) * 100, JobKind::Array, 6, 15_000);
            plan.spec.cpus = 8.0;
            plan.spec.gpus = 0.0;
            plan
        })
        .collect();
    plans.extend(chain(ORDINARY_JOBS));
    let size = DeploymentConfig {
        capacity: 1,
        limit: (0.0, 0.0),
        ..DeploymentConfig::default()
    };
    let mut simulation = Simulation::with_config(51, plans, vec![], size);
    simulation.run_until(400_000);
    assert_eq!(simulation.checker.violations, vec![]);
    let started_at = |n| simulation.checker.began_at(&id(n)).expect("started");
    let started_later = (0..ORDINARY_JOBS).filter(|n| started_at(*n) > started_at(ORDINARY_JOBS));
    assert!(started_later.count() > 0, "no ordinary job was pending");
    assert_eq!(
        simulation.checker.final_stage(&id(ORDINARY_JOBS + 2)),
        Some(JobStage::Done)
    );
    let delay_ms = started_at(ORDINARY_JOBS + 2) - CHAIN_AT;
    // The last job starts after 56.8 s, or after 92.4 s if priority is not inherited.
    assert!(
        delay_ms < 75_000,
        "the last job started after {delay_ms} ms"
    );
}
