//! Jobs that wait for others, beside work that fills the fleet.

use forkshift_testkit::job_id as id;
use forkshift_testkit::{DeploymentConfig, JobPlan, Simulation};
use forkshift_wire::users::{JobKind, JobStage, Priority};
use forkshift_wire::JobId;

/// Jobs that keep every machine busy, and more that wait behind them.
const BUSY_JOBS: u32 = 40;
/// When the chain is submitted.
const CHAIN_AT: u64 = 60_000;

/// A stage of low priority and an urgent end, which is submitted last.
fn chain(first: u32) -> Vec<JobPlan> {
    let stage = |n: u32, priority, needs: &[JobId]| {
        let mut plan = JobPlan::plain(
            n,
            CHAIN_AT + u64::from(n - first) * 200,
            JobKind::Array,
            2,
            2_000,
        );
        plan.spec.gpus = 0.0;
        plan.spec.priority = priority;
        plan.spec.dependencies = needs.to_vec();
        plan
    };
    let middle = stage(first + 1, Priority::Low, &[id(first)]);
    let end = stage(first + 2, Priority::High, &[id(first + 1)]);
    vec![stage(first, Priority::Low, &[]), middle, end]
}

/// Cheap stages once would have waited behind all ordinary work that had come
/// before, and with them the urgent end that needs them.
#[test]
fn an_urgent_end_is_not_held_back_by_the_priority_of_its_stages() {
    let mut plans: Vec<JobPlan> = (0..BUSY_JOBS)
        .map(|n| {
            let mut plan = JobPlan::plain(n, 2_000 + u64::from(n) * 100, JobKind::Array, 6, 15_000);
            plan.spec.cpus = 8.0;
            plan.spec.gpus = 0.0;
            plan
        })
        .collect();
    plans.extend(chain(BUSY_JOBS));
    let size = DeploymentConfig {
        capacity: 1,
        limit: (0.0, 0.0),
        ..DeploymentConfig::default()
    };
    let mut simulation = Simulation::with_config(51, plans, vec![], size);
    simulation.run_until(400_000);
    assert_eq!(simulation.checker.violations, vec![]);
    let begun = |n| simulation.checker.began_at(&id(n)).expect("it has begun");
    let behind = (0..BUSY_JOBS).filter(|n| begun(*n) > begun(BUSY_JOBS));
    assert!(behind.count() > 0, "ordinary work was waiting");
    assert_eq!(
        simulation.checker.final_stage(&id(BUSY_JOBS + 2)),
        Some(JobStage::Done)
    );
    let took = begun(BUSY_JOBS + 2) - CHAIN_AT;
    // 56.8 s; 92.4 s if each stage counts with its own priority.
    assert!(took < 75_000, "the end began after {took} ms");
}
