//! A gang of 512 tasks: it is recorded and started within the transactions that the
//! state service takes, also when its holder ends between any two writes.

mod common;

use common::Ms;
use forkshift_testkit::job_id as id;
use forkshift_testkit::{ControllerSelector, DeploymentConfig, FaultKind, JobPlan, Simulation};
use forkshift_wire::users::{JobKind, JobStage};

const TASKS: u32 = 512;
const SUBMITTED: Ms = 25_000;
const RUN: Ms = 15_000;
const END: Ms = 200_000;

fn simulation(seed: u64) -> Simulation {
    let mut gang = JobPlan::plain(0, SUBMITTED, JobKind::Gang, TASKS, RUN);
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

/// Plays until so many changes were written since the gang was accepted, or the end.
fn play_writes(simulation: &mut Simulation, writes: u64) {
    while !simulation.checker.is_accepted(&id(0)) && simulation.now() < END {
        simulation.run_until(simulation.now() + 10);
    }
    let from = simulation.writes();
    while simulation.writes() < from + writes && simulation.now() < END {
        simulation.run_until(simulation.now() + 10);
    }
}

fn finish(simulation: &mut Simulation, what: &str) {
    while simulation.checker.final_stage(&id(0)).is_none() && simulation.now() < END {
        simulation.run_until(simulation.now() + 1_000);
    }
    simulation.finish();
    assert_eq!(
        simulation.checker.final_stage(&id(0)),
        Some(JobStage::Done),
        "{what}"
    );
    assert_eq!(simulation.checker.violations, vec![], "{what}");
    assert_eq!(simulation.unfinished_jobs(), Vec::<String>::new(), "{what}");
    assert_eq!(
        simulation.oversized_transactions(),
        0,
        "{what}: a transaction was too large"
    );
}

/// What a whole gang writes fits into the service's transactions.
#[test]
fn a_gang_of_512_is_recorded_within_the_limits() {
    let mut simulation = simulation(900);
    simulation.record_puts_and_messages();
    finish(&mut simulation, "nothing goes wrong");
    let mut records = simulation.recorded_puts().iter();
    assert!(
        records.any(|(key, _)| key.ends_with("/5")),
        "its last block"
    );
    let began = simulation.checker.began_at(&id(0)).expect("it began");
    assert!(began < SUBMITTED + 60_000, "it began at {began}");
}

/// The holder ends after each number of changes that the gang takes from its
/// acceptance until it is done; all 512 tasks run at the same time all the same.
#[test]
fn a_large_gang_completes_when_its_holder_crashes_between_any_two_writes() {
    let mut whole = simulation(900);
    play_writes(&mut whole, 0);
    let from = whole.writes();
    finish(&mut whole, "nothing goes wrong");
    let changes = whole.writes() - from;
    assert!(
        changes > 12,
        "it takes several transactions: {changes} changes"
    );
    for writes in 0..changes {
        let mut simulation = simulation(900);
        play_writes(&mut simulation, writes);
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
            &format!("the holder ends after {writes} changes"),
        );
    }
}
