//! A gang of 512 tasks needs more records than one transaction of the state service may
//! write. The gang must be recorded and started in several transactions, even if its shard
//! holder crashes between any two of them.

mod common;

use common::Ms;
use forkshift_testkit::job_id as id;
use forkshift_testkit::{ControllerSelector, DeploymentConfig, FaultKind, JobPlan, Simulation};
use forkshift_wire::users::{JobKind, JobStage};

const TASKS: u32 = 512;
/// When the gang is submitted.
const SUBMITTED_AT: Ms = 25_000;
/// How long each task runs.
const RUN_MS: Ms = 15_000;
const END: Ms = 200_000;

fn simulation(seed: u64) -> Simulation {
    let mut gang = JobPlan::plain(0, SUBMITTED_AT, JobKind::Gang, TASKS, RUN_MS);
    gang.spec.cpus = 1.0;
    gang.spec.gpus = 0.0;
    gang.spec.memory_gb = 1.0;
    let size = DeploymentConfig {
        capacity: 20,
        limit: (1_000.0, 100.0),
        ..DeploymentConfig::default()
    };
    Simulation::with_config(seed, vec![gang], Vec::new(), size)
}

/// Runs until `writes` keys were written after the gang's acceptance, or until `END`.
fn run_until_writes(simulation: &mut Simulation, writes: u64) {
    while !simulation.checker.is_accepted(&id(0)) && simulation.now() < END {
        simulation.run_until(simulation.now() + 10);
    }
    let from = simulation.writes();
    while simulation.writes() < from + writes && simulation.now() < END {
        simulation.run_until(simulation.now() + 10);
    }
}

/// Runs until the gang has a final stage. It must be done, without a violated checker rule
/// or a transaction beyond the limits of the state service.
fn finish(simulation: &mut Simulation, name: &str) {
    while simulation.checker.final_stage(&id(0)).is_none() && simulation.now() < END {
        simulation.run_until(simulation.now() + 1_000);
    }
    simulation.finish();
    assert_eq!(
        simulation.checker.final_stage(&id(0)),
        Some(JobStage::Done),
        "{name}"
    );
    assert_eq!(simulation.checker.violations, vec![], "{name}");
    assert_eq!(simulation.unfinished_jobs(), Vec::<String>::new(), "{name}");
    assert_eq!(
        simulation.oversized_transactions(),
        0,
        "{name}: transactions beyond the limits"
    );
}

/// Without faults, every transaction of the gang must be within the limits of the state
/// service, and the gang must start within 60 s.
#[test]
fn a_gang_of_512_is_recorded_within_the_limits() {
    let mut simulation = simulation(900);
    simulation.record_puts_and_messages();
    finish(&mut simulation, "no fault");
    let mut records = simulation.recorded_puts().iter();
    assert!(
        records.any(|(key, _)| key.ends_with("/5")),
        "no record of the last block of tasks"
    );
    let began = simulation.checker.began_at(&id(0)).expect("started");
    assert!(began < SUBMITTED_AT + 60_000, "started at {began} ms");
}

/// A simulation without faults counts the changes from the gang's acceptance to its end. The
/// simulation is then repeated for each number of changes, with a crash of the shard holder
/// after that many. The gang must be done each time, and the checker requires that all its
/// tasks run at the same time.
#[test]
fn a_large_gang_completes_when_its_holder_crashes_between_any_two_writes() {
    let mut reference = simulation(900);
    run_until_writes(&mut reference, 0);
    let from = reference.writes();
    finish(&mut reference, "no fault");
    let changes = reference.writes() - from;
    assert!(
        changes > 12,
        "one transaction may hold all {changes} changes"
    );
    for writes in 0..changes {
        let mut simulation = simulation(900);
        run_until_writes(&mut simulation, writes);
        let crash = FaultKind::Crash {
            node: 0,
            count: 1,
            restart_after: 3_000,
        };
        simulation.inject_fault(FaultKind::At(
            ControllerSelector::HolderOfJob(id(0)),
            Box::new(crash),
        ));
        finish(
            &mut simulation,
            &format!("the holder crashes after {writes} changes"),
        );
    }
}
