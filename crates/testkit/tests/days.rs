//! Simulations of a few minutes of virtual time: faults that violated a checker rule or left
//! a job unserved in an earlier version, each kind of fault alone, and random faults from
//! fixed seeds.

mod common;

use common::{assert_ran_and_rules_kept, random_plans, random_plans_of_seed};
use forkshift_testkit::{
    random_early_faults, random_faults, DeploymentConfig, Fault, FaultKind, JobPlan, Simulation,
};
use forkshift_wire::users::JobKind;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// Runs a simulation of the default size until `end`. Every job must be served and no
/// checker rule violated.
fn run_simulation(
    name: &str,
    seed: u64,
    plans: Vec<JobPlan>,
    faults: Vec<Fault>,
    end: u64,
) -> Simulation {
    run_simulation_sized(name, seed, plans, faults, end, DeploymentConfig::default())
}

/// Like [`run_simulation`], with a fleet of the given size.
fn run_simulation_sized(
    name: &str,
    seed: u64,
    plans: Vec<JobPlan>,
    faults: Vec<Fault>,
    end: u64,
    size: DeploymentConfig,
) -> Simulation {
    let mut simulation = Simulation::with_config(seed, plans, faults, size);
    simulation.run_until(end);
    assert_ran_and_rules_kept(name, &simulation);
    simulation
}

/// Draws random faults: generator, first and last time in milliseconds, number of faults.
type DrawFaults = fn(&mut StdRng, u64, u64, usize) -> Vec<Fault>;

/// Runs 30 random jobs with `faults` random faults.
fn run_random_simulation(seed: u64, faults: usize, draw: DrawFaults) {
    let mut rng = StdRng::seed_from_u64(seed);
    let plans = random_plans(&mut rng, 30);
    let faults = draw(&mut rng, 15_000, 110_000, faults);
    run_simulation(&format!("seed {seed}"), seed, plans, faults, 260_000);
}

#[test]
fn rules_hold_on_random_days() {
    for (seed, faults) in [
        (1, 0),
        (2, 4),
        (3, 8),
        (4, 8),
        (5, 8),
        (6, 14),
        (7, 14),
        (8, 20),
    ] {
        run_random_simulation(seed, faults, random_faults);
    }
}

/// Seeds on which a fault of the scheduler was found. The reasons are given in the code that
/// prevents these faults.
#[test]
fn rules_hold_on_days_that_once_failed() {
    for (seed, faults) in [
        (1123, 8),
        (1058, 8),
        (1089, 8),
        (1095, 8),
        (5030, 14),
        (5101, 14),
        (9085, 4),
        // A shard holder that had no response yet to its own write of a cancellation
        // reported `queued` after another controller had read and reported `cancelled`.
        (200_160, 12),
    ] {
        run_random_simulation(seed, faults, random_early_faults);
    }
    run_random_simulation(4_000_016, 20, random_faults);
}

/// Each kind of fault alone at 40 s, with random jobs.
#[test]
fn rules_hold_under_each_kind_of_fault_alone() {
    let node = 0;
    let (time, holds_messages) = (15_000, true);
    let fault_kinds = [
        FaultKind::Crash {
            node,
            count: 1,
            restart_after: 50,
        },
        FaultKind::Crash {
            node,
            count: 1,
            restart_after: 6_000,
        },
        FaultKind::Crash {
            node,
            count: 2,
            restart_after: 3_000,
        },
        FaultKind::Crash {
            node,
            count: 3,
            restart_after: 300,
        },
        FaultKind::Crash {
            node,
            count: 3,
            restart_after: 6_000,
        },
        FaultKind::ServicePartition {
            node,
            store: true,
            workers: false,
            cloud: false,
            time,
            holds_messages,
        },
        FaultKind::ServicePartition {
            node,
            store: false,
            workers: true,
            cloud: false,
            time,
            holds_messages,
        },
        FaultKind::ServicePartition {
            node,
            store: true,
            workers: true,
            cloud: true,
            time,
            holds_messages,
        },
        FaultKind::StoreRefusal { node, time },
        FaultKind::StoreOutage(time),
        FaultKind::CloudOutage(time),
        FaultKind::SlowTimers { node, time },
        FaultKind::MachineCrash,
        FaultKind::MachineHang(time),
        FaultKind::MachinePartition(time),
        FaultKind::MachineInboundBlocked(time),
        FaultKind::MachineFailsTasks(time),
        FaultKind::SpotReclaim { notice: 0 },
        FaultKind::SpotReclaim { notice: 4_000 },
        FaultKind::LateHeartbeatCopies(time),
        FaultKind::LostResponses(time),
    ];
    for (i, kind) in fault_kinds.into_iter().enumerate() {
        let seed = 100 + i as u64;
        let name = format!("{kind:?}");
        let plans = random_plans_of_seed(seed, 20);
        let fault = Fault { at: 40_000, kind };
        run_simulation(&name, seed, plans, vec![fault], 200_000);
    }
}

/// All controllers restart during an outage, so none of them can read the stored state until
/// the state service is back.
#[test]
fn rules_hold_when_all_controllers_restart_during_a_store_outage() {
    let plans = random_plans_of_seed(77, 25);
    let crash = FaultKind::Crash {
        node: 0,
        count: 3,
        restart_after: 2_000,
    };
    let faults = vec![
        Fault {
            at: 40_000,
            kind: FaultKind::StoreOutage(20_000),
        },
        Fault {
            at: 50_000,
            kind: crash,
        },
    ];
    run_simulation("restart during an outage", 77, plans, faults, 240_000);
}

/// The controllers are restarted one by one, 15 s apart, so that shards and leadership move
/// several times.
#[test]
fn rules_hold_during_a_rolling_restart_of_all_controllers() {
    let plans = random_plans_of_seed(78, 25);
    let crash = |node| FaultKind::Crash {
        node,
        count: 1,
        restart_after: 3_000,
    };
    let faults = (0..3).map(|node| Fault {
        at: 40_000 + 15_000 * node as u64,
        kind: crash(node),
    });
    run_simulation("rolling restart", 78, plans, faults.collect(), 240_000);
}

/// A leader that loses its leader key and is elected again must not reuse the idempotency
/// keys of its cloud requests: the cloud would repeat old responses, and no machine would be
/// provisioned.
#[test]
fn a_controller_that_is_elected_twice_still_provisions_machines() {
    let job = |n: u32, at: u64| JobPlan::plain(n, at, JobKind::Array, 2, 5_000);
    let refuse = |node, at, time| Fault {
        at,
        kind: FaultKind::StoreRefusal { node, time },
    };
    let faults = vec![
        refuse(0, 30_000, 15_000),
        refuse(1, 60_000, 15_000),
        refuse(2, 90_000, 15_000),
        refuse(0, 120_000, 15_000),
        refuse(1, 150_000, 15_000),
    ];
    let plans = (0..8).map(|n| job(n, 2_000 + 30_000 * u64::from(n)));
    let simulation = run_simulation("elected twice", 5, plans.collect(), faults, 330_000);
    assert!(simulation.checker.starts >= 16);
}

/// Seven controllers and sixteen teams share a state service with low rate limits. Five
/// controllers crash at once, six during the failover, and later all seven. The writes must
/// stay within the rate limit.
#[test]
fn rules_hold_when_a_large_deployment_loses_most_controllers_twice() {
    let size = DeploymentConfig {
        controllers: 7,
        teams: 16,
        capacity: 20,
        store_rps: 80.0,
        store_write_rps: 30.0,
        ..DeploymentConfig::default()
    };
    let mut rng = StdRng::seed_from_u64(700);
    let plans = random_plans(&mut rng, 90).into_iter().map(|mut plan| {
        plan.spec.team = format!("team-{}", rng.random_range(0..16));
        plan
    });
    let crash = |at, node, count| Fault {
        at,
        kind: FaultKind::Crash {
            node,
            count,
            restart_after: 6_000,
        },
    };
    let faults = vec![
        crash(60_000, 1, 5),
        crash(64_000, 0, 6),
        crash(100_000, 0, 7),
    ];
    let simulation = run_simulation_sized(
        "seven controllers",
        700,
        plans.collect(),
        faults,
        300_000,
        size,
    );
    // 30 writes per second over 300 s is the rate limit of the state service.
    assert!(
        simulation.writes() < 30 * 300,
        "{} writes",
        simulation.writes()
    );
}

/// A large fleet is provisioned in a few cloud calls and recorded in several transactions.
/// If one call returns more machines than the leader may write at a time, the leader must
/// not repeat the call for ever.
#[test]
fn a_large_fleet_is_up_within_a_few_boots() {
    let size = DeploymentConfig {
        controllers: 7,
        teams: 16,
        capacity: 200,
        store_rps: 80.0,
        store_write_rps: 30.0,
        ..DeploymentConfig::default()
    };
    let mut rng = StdRng::seed_from_u64(701);
    let plans = (0..60).map(|n| {
        let mut plan = JobPlan::random(&mut rng, n, 1_000);
        plan.spec.kind = JobKind::Service;
        plan.spec.tasks = 4;
        plan.spec.cpus = 4.0;
        plan.spec.gpus = 0.0;
        plan.spec.machine_types = None;
        plan.spec.zone = None;
        plan.spec.require_same_zone = false;
        plan.spec.spread_over_zones = true;
        plan.spec.team = format!("team-{}", n % 16);
        plan.cancel_at = None;
        plan
    });
    let simulation = run_simulation_sized(
        "large fleet",
        701,
        plans.collect(),
        Vec::new(),
        90_000,
        size,
    );
    assert!(
        simulation.checker.starts >= 240,
        "{} starts",
        simulation.checker.starts
    );
}
