//! Simulations of fleets with up to 1.5 times the machines of the largest deployments, with
//! fixed seeds: failover, loss of a zone, and the work of a controller per heartbeat. Writes
//! must stay within the rate limit of the state service.

mod common;

use common::assert_rules_kept;
use forkshift_testkit::{
    ControllerSelector, DeploymentConfig, Fault, FaultKind, JobPlan, MachineFault, MachineSelector,
    Simulation,
};
use forkshift_wire::users::{JobKind, Priority};
use forkshift_wire::JobId;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// `services` services that fill most of the fleet at the start, and `others` random jobs
/// that are submitted from 30 s to 80 s.
fn plans(seed: u64, size: &DeploymentConfig, services: u32, others: u32) -> Vec<JobPlan> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut plans = Vec::new();
    for n in 0..services + others {
        let is_service = n < services;
        let at = if is_service {
            rng.random_range(1_000..4_000)
        } else {
            rng.random_range(30_000..80_000)
        };
        let mut plan = JobPlan::random(&mut rng, n, at);
        plan.spec.team = format!("team-{}", n as usize % size.teams);
        if is_service {
            plan.spec.kind = JobKind::Service;
            plan.spec.class = "serve".to_owned();
            plan.spec.priority = Priority::Production;
            plan.spec.tasks = rng.random_range(2..12);
            plan.spec.gpus = if n % 5 == 0 { 4.0 } else { 0.0 };
            plan.spec.cpus = 6.0;
            plan.spec.machine_types = None;
            plan.spec.zone = None;
            plan.spec.require_same_zone = false;
            plan.spec.spread_over_zones = true;
            plan.spec.allow_spot = false;
            plan.cancel_at = (n % 3 == 0).then(|| rng.random_range(60_000..100_000));
        } else if plan.spec.kind == JobKind::Array {
            plan.spec.tasks = rng.random_range(20..120);
        }
        plans.push(plan);
    }
    plans
}

/// Runs a simulation until `end`. The fleet must reach `machines` machines, the jobs be
/// served, and the writes stay within the rate limit of the state service.
fn run_simulation(
    name: &str,
    size: DeploymentConfig,
    (services, others): (u32, u32),
    machines: usize,
    faults: Vec<Fault>,
    end: u64,
) -> Simulation {
    let plans = plans(size.controllers as u64, &size, services, others);
    let mut simulation = Simulation::with_config(size.controllers as u64, plans, faults, size);
    simulation.run_until(end);
    assert_rules_kept(name, &simulation);
    let peak = simulation.max_machines();
    assert!(peak >= machines, "{name}: {peak} machines");
    let max_writes = (size.store_write_rps * end as f64 / 1000.0) as u64;
    assert!(
        simulation.writes() < max_writes,
        "{name}: {} writes",
        simulation.writes()
    );
    simulation
}

fn crash(at: u64, node: usize, count: usize, restart_after: u64) -> Fault {
    let kind = FaultKind::Crash {
        node,
        count,
        restart_after,
    };
    Fault { at, kind }
}

/// Four of five controllers crash at once, and all five during an outage.
#[test]
fn rules_hold_on_failover_among_five_controllers_with_1860_machines() {
    let faults = vec![
        crash(70_000, 0, 4, 3_000),
        Fault {
            at: 100_000,
            kind: FaultKind::StoreOutage(15_000),
        },
        crash(108_000, 0, 5, 300),
    ];
    let size = DeploymentConfig::five_by_1860();
    run_simulation("five", size, (900, 120), 1_500, faults, 160_000);
}

/// Six of seven controllers crash at once, and later all seven twice within a second.
#[test]
fn rules_hold_on_failover_among_seven_controllers_with_810_machines() {
    let faults = vec![
        crash(70_000, 1, 6, 6_000),
        crash(100_000, 0, 7, 50),
        crash(101_000, 0, 7, 6_000),
    ];
    let size = DeploymentConfig::seven_by_810();
    run_simulation("seven", size, (420, 80), 650, faults, 160_000);
}

/// The machines of a zone crash, the holder of a team's shard crashes and the state service
/// refuses the leader, all within 20 s and while most machines are in use.
#[test]
fn rules_hold_when_4200_machines_lose_a_zone_a_holder_and_the_leader() {
    let job = JobId::parse("j-000000").expect("an id");
    let holder = FaultKind::Crash {
        node: 0,
        count: 1,
        restart_after: 3_000,
    };
    let refused = FaultKind::StoreRefusal {
        node: 0,
        time: 20_000,
    };
    let faults = vec![
        Fault {
            at: 70_000,
            kind: FaultKind::Machines(MachineSelector::InZone("b"), MachineFault::Crash),
        },
        Fault {
            at: 78_000,
            kind: FaultKind::At(ControllerSelector::HolderOfJob(job), Box::new(holder)),
        },
        Fault {
            at: 90_000,
            kind: FaultKind::At(ControllerSelector::Leader, Box::new(refused)),
        },
    ];
    let size = DeploymentConfig::five_by_4200();
    let simulation = run_simulation("4,000", size, (2_100, 250), 4_000, faults, 160_000);
    assert!(
        simulation.terminated_machines() > 1_200,
        "{} machines terminated",
        simulation.terminated_machines()
    );
}

/// A simulation after 90 s, when all replicas of the services run and no job is pending.
fn steady_simulation(size: DeploymentConfig, services: u32, faults: Vec<Fault>) -> Simulation {
    let mut plans = plans(9, &size, services, 0);
    for plan in &mut plans {
        plan.cancel_at = None;
    }
    let mut simulation = Simulation::with_config(9, plans, faults, size);
    simulation.run_until(90_000);
    simulation
}

/// If a controller visits all machines and jobs for every heartbeat, it needs more CPU time
/// than one core has on a fleet of 1,860 machines. The visits per heartbeat must not grow
/// with the fleet.
#[test]
fn the_work_per_heartbeat_does_not_grow_with_the_fleet() {
    let visits_per_heartbeat = |services| {
        let mut simulation =
            steady_simulation(DeploymentConfig::five_by_1860(), services, Vec::new());
        let (heartbeats, visits) = simulation.heartbeat_and_visit_counts();
        simulation.run_until(110_000);
        let (later_heartbeats, later_visits) = simulation.heartbeat_and_visit_counts();
        let ratio = (later_visits - visits) as f64 / (later_heartbeats - heartbeats) as f64;
        (simulation.machines(), ratio)
    };
    let (few, small) = visits_per_heartbeat(12);
    let (many, large) = visits_per_heartbeat(240);
    assert!(many > few * 8, "{few} and {many} machines");
    assert!(
        large < small * 1.5,
        "{small} and {large} visits per heartbeat"
    );
}

/// The number of machines decommissioned for reasons unrelated to a partition (not needed, or
/// not up after several boot times), and the recorded reasons of all others.
fn decommissioned(simulation: &Simulation) -> (usize, Vec<String>) {
    const EXPECTED_REASONS: [&str; 2] = ["it is not needed", "it never came up"];
    let reasons = simulation.decommissioned().values();
    let (returned, lost): (Vec<&String>, Vec<&String>) =
        reasons.partition(|why| EXPECTED_REASONS.contains(&why.as_str()));
    (returned.len(), lost.into_iter().cloned().collect())
}

/// A controller that loses its links to workers, or to one zone, must not treat all silent
/// machines as failed and have them deleted.
#[test]
fn many_silent_machines_are_not_deleted() {
    let size = DeploymentConfig {
        heartbeat_ms: 1_000,
        lease_ms: 10_000,
        ..DeploymentConfig::five_by_1860()
    };
    let (at, time, holds_messages) = (90_000, 7_000, true);
    let cases = [
        FaultKind::ZonePartition {
            zone: "b",
            time,
            holds_messages,
        },
        FaultKind::ServicePartition {
            node: 1,
            store: false,
            workers: true,
            cloud: false,
            time: 30_000,
            holds_messages,
        },
    ];
    for kind in cases {
        let name = format!("{kind:?}");
        let mut simulation = steady_simulation(size, 40, vec![Fault { at, kind }]);
        let (terminated_before, machines) =
            (simulation.terminated_machines(), simulation.machines());
        let (returned, _) = decommissioned(&simulation);
        simulation.run_until(140_000);
        assert_eq!(
            simulation.checker.violations,
            vec![],
            "{name}: rules violated"
        );
        let (returned_later, lost) = decommissioned(&simulation);
        assert_eq!(
            lost,
            Vec::<String>::new(),
            "{name}: reasons of decommissioning"
        );
        let gone =
            simulation.terminated_machines() - terminated_before - (returned_later - returned);
        assert!(gone * 20 < machines, "{name}: {gone} of {machines} deleted");
    }
}
