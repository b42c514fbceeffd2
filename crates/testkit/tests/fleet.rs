//! Days of large fleets in virtual time: as many machines as half again what
//! the largest deployments have, fixed seeds, the rule checker on.

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

/// Services that fill most of the fleet at the start, and arrays and gangs
/// that come all the time.
fn plans(seed: u64, size: &DeploymentConfig, services: u32, others: u32) -> Vec<JobPlan> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut plans = Vec::new();
    for n in 0..services + others {
        let service = n < services;
        let at = if service {
            rng.random_range(1_000..4_000)
        } else {
            rng.random_range(30_000..80_000)
        };
        let mut plan = JobPlan::random(&mut rng, n, at);
        plan.spec.team = format!("team-{}", n as usize % size.teams);
        if service {
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

fn play(
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
    let most = (size.store_write_rps * end as f64 / 1000.0) as u64;
    assert!(
        simulation.writes() < most,
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
    play("five", size, (900, 120), 1_500, faults, 160_000);
}

#[test]
fn rules_hold_on_failover_among_seven_controllers_with_810_machines() {
    let faults = vec![
        crash(70_000, 1, 6, 6_000),
        crash(100_000, 0, 7, 50),
        crash(101_000, 0, 7, 6_000),
    ];
    let size = DeploymentConfig::seven_by_810();
    play("seven", size, (420, 80), 650, faults, 160_000);
}

/// A zone's machines stop, the holder of a team's shard ends, and the leader is refused,
/// all within half a minute, where most machines are in use.
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
    let simulation = play("4,000", size, (2_100, 250), 4_000, faults, 160_000);
    assert!(
        simulation.terminated_machines() > 1_200,
        "{} machines ended",
        simulation.terminated_machines()
    );
}

/// A fleet of replicas that has come to rest.
fn at_rest(size: DeploymentConfig, services: u32, faults: Vec<Fault>) -> Simulation {
    let mut plans = plans(9, &size, services, 0);
    for plan in &mut plans {
        plan.cancel_at = None;
    }
    let mut simulation = Simulation::with_config(9, plans, faults, size);
    simulation.run_until(90_000);
    simulation
}

/// Passes over all machines and jobs in every step once took more than a day's
/// whole processor time on a fleet of 1,860 machines.
#[test]
fn the_work_per_heartbeat_does_not_grow_with_the_fleet() {
    let per_report = |services| {
        let mut simulation = at_rest(DeploymentConfig::five_by_1860(), services, Vec::new());
        let (reports, visits) = simulation.heartbeat_and_visit_counts();
        simulation.run_until(110_000);
        let (more_reports, more_visits) = simulation.heartbeat_and_visit_counts();
        let part = (more_visits - visits) as f64 / (more_reports - reports) as f64;
        (simulation.machines(), part)
    };
    let (few, small) = per_report(12);
    let (many, large) = per_report(240);
    assert!(many > few * 8, "{few} and {many} machines");
    assert!(large < small * 1.5, "{small} and {large} visits a report");
}

/// Machines that were returned for reasons that no cut has to do with: nothing
/// needed them, or they had not come up after several boots; and why others
/// were given up.
fn given_up(simulation: &Simulation) -> (usize, Vec<String>) {
    const ORDINARY: [&str; 2] = ["it is not needed", "it never came up"];
    let reasons = simulation.decommissioned().values();
    let (returned, lost): (Vec<&String>, Vec<&String>) =
        reasons.partition(|why| ORDINARY.contains(&why.as_str()));
    (returned.len(), lost.into_iter().cloned().collect())
}

/// A controller that lost its workers once took all of its machines for dead
/// and had them deleted; so it did with the machines of a zone that was cut off.
#[test]
fn many_silent_machines_are_not_deleted() {
    let size = DeploymentConfig {
        heartbeat_ms: 1_000,
        lease_ms: 10_000,
        ..DeploymentConfig::five_by_1860()
    };
    let (at, time, hold) = (90_000, 7_000, true);
    let cases = [
        FaultKind::ZonePartition {
            zone: "b",
            time,
            holds_messages: hold,
        },
        FaultKind::ServicePartition {
            node: 1,
            store: false,
            workers: true,
            cloud: false,
            time: 30_000,
            holds_messages: hold,
        },
    ];
    for kind in cases {
        let name = format!("{kind:?}");
        let mut simulation = at_rest(size, 40, vec![Fault { at, kind }]);
        let (ended, machines) = (simulation.terminated_machines(), simulation.machines());
        let (returned, _) = given_up(&simulation);
        simulation.run_until(140_000);
        assert_eq!(
            simulation.checker.violations,
            vec![],
            "{name}: rules broken"
        );
        let (returned_later, lost) = given_up(&simulation);
        assert_eq!(lost, Vec::<String>::new(), "{name}: given up");
        let gone = simulation.terminated_machines() - ended - (returned_later - returned);
        assert!(gone * 20 < machines, "{name}: {gone} of {machines} deleted");
    }
}
