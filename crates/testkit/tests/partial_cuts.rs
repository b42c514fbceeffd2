//! Cuts that leave some links of a controller up, while replicas serve and a sweep runs.
//!
//! What is asserted for each link in turn: no rule is broken, every job has one final
//! answer, no replica is dropped, no task of the sweep runs a second time, and the
//! sweep goes on while the cut lasts.

mod common;

use common::Ms;
use forkshift_testkit::job_id as id;
use forkshift_testkit::{
    ControllerSelector, DeploymentConfig, FaultKind, JobPlan, LinkDirection, MachineSelector,
    Simulation,
};
use forkshift_wire::users::{JobKind, Priority};
use forkshift_wire::{JobId, MachineId};

/// When the trouble begins: the replicas serve by then.
const TROUBLE: Ms = 90_000;
const SERVICES: u32 = 4;
const REPLICAS: u32 = 3;
/// Jobs of the sweep, from a little before the trouble on, and the pause between two.
const SWEEPS: u32 = 40;
const SWEEP_EVERY: Ms = 1_500;
const SWEEP_TASKS: u32 = 6;
/// One in so many jobs of the sweep is cancelled.
const CANCELLED: u32 = 5;

/// Reports and leases of workers.
#[derive(Clone, Copy, Debug)]
enum Pace {
    /// Of 1 s and 10 s: two tries at controllers that do not answer are a lease.
    Short,
    /// Of 5 s and 24 s.
    Long,
}

fn size(pace: Pace) -> DeploymentConfig {
    let (report_ms, lease_ms, cancel_ms) = match pace {
        Pace::Short => (1_000, 10_000, 35_000),
        Pace::Long => (5_000, 24_000, 49_000),
    };
    DeploymentConfig {
        controllers: 5,
        limit: (96.0, 96.0),
        heartbeat_ms: report_ms,
        lease_ms,
        cancel_ms,
        ..DeploymentConfig::default()
    }
}

/// Replicas of a team that take so much of a machine that none is moved to save money, and
/// a sweep of the same team in what is left.
fn plans() -> Vec<JobPlan> {
    let services = (0..SERVICES).map(|n| {
        let mut plan = JobPlan::plain(n, 1_000, JobKind::Service, REPLICAS, 0);
        plan.spec.priority = Priority::Production;
        (plan.spec.cpus, plan.spec.gpus, plan.spec.memory_gb) = (1.0, 7.0, 1.0);
        plan
    });
    let sweep = (SERVICES..SERVICES + SWEEPS).map(|n| {
        let at = TROUBLE - 5_000 + u64::from(n - SERVICES) * SWEEP_EVERY;
        let mut plan = JobPlan::plain(n, at, JobKind::Array, SWEEP_TASKS, 4_000);
        (plan.spec.cpus, plan.spec.gpus, plan.spec.memory_gb) = (0.5, 0.25, 0.5);
        plan.cancel_at = (n % CANCELLED == 0).then_some(at + 2_000);
        plan
    });
    services.chain(sweep).collect()
}

#[derive(Clone, Copy, PartialEq, Debug)]
enum Lost {
    State,
    Cloud,
    Peers,
    /// Workers: which part of the controller's, and in which direction.
    Workers(Part, LinkDirection),
}

#[derive(Clone, Copy, PartialEq, Debug)]
enum Part {
    /// Every other machine of the replicas.
    Some,
    All,
}

fn lose(simulation: &mut Simulation, node: usize, lost: Lost, time: Ms) {
    let cut = |state, cloud| FaultKind::ServicePartition {
        node,
        store: state,
        workers: false,
        cloud,
        time,
        holds_messages: true,
    };
    match lost {
        Lost::State => simulation.inject_fault(cut(true, false)),
        Lost::Cloud => simulation.inject_fault(cut(false, true)),
        Lost::Peers => simulation.inject_fault(FaultKind::PeerPartition {
            node,
            peers: None,
            time,
            holds_messages: true,
        }),
        Lost::Workers(part, lost) => {
            let machines = match part {
                Part::All => MachineSelector::All,
                Part::Some => MachineSelector::Named(
                    replica_machines(simulation)
                        .into_iter()
                        .step_by(2)
                        .collect(),
                ),
            };
            simulation.inject_fault(FaultKind::LinkPartition {
                node,
                machines,
                direction: lost,
                time,
                holds_messages: true,
            });
        }
    }
}

/// Machines with replicas, in order.
fn replica_machines(simulation: &Simulation) -> Vec<MachineId> {
    let services =
        (0..SERVICES).flat_map(|n| simulation.select_machines(&MachineSelector::RunningJob(id(n))));
    let mut machines: Vec<MachineId> = services.collect();
    machines.sort();
    machines.dedup();
    machines
}

/// What a cut has cost.
#[derive(Default, Debug)]
struct Cost {
    /// Replicas that were started again.
    dropped: u64,
    /// Tasks of the sweep that were started again.
    repeated: u64,
    /// The longest time from a submission of the sweep to its first start.
    stood_still: Ms,
}

/// The longest time without a start: two calls without an answer and a handover, or a start
/// without an answer and two reports until it is known to be void.
fn still_most(pace: Pace) -> Ms {
    match pace {
        Pace::Short => 12_000,
        Pace::Long => 18_000,
    }
}

impl Cost {
    fn assert_small(&self, name: &str, pace: Pace) {
        assert_eq!((self.dropped, self.repeated), (0, 0), "{name}: {self:?}");
        assert!(self.stood_still < still_most(pace), "{name}: {self:?}");
    }
}

fn play(name: &str, seed: u64, pace: Pace, cuts: &[(ControllerSelector, Lost, Ms)]) -> Cost {
    let mut simulation = Simulation::with_config(seed, plans(), Vec::new(), size(pace));
    simulation.run_until(TROUBLE);
    let starts = |simulation: &Simulation, jobs: std::ops::Range<u32>| -> u64 {
        jobs.map(|n| simulation.checker.starts_of(&id(n))).sum()
    };
    let up: usize = (0..SERVICES)
        .map(|n| simulation.checker.running_tasks(&id(n)))
        .sum();
    assert_eq!(up as u32, SERVICES * REPLICAS, "{name}: replicas serve");
    let serving = starts(&simulation, 0..SERVICES);
    let mut longest = 0;
    let mut lost_at = Vec::new();
    for (who, lost, time) in cuts {
        let node = simulation.select_controller(who).expect("there is one");
        lose(&mut simulation, node, *lost, *time);
        lost_at.push(node);
        longest = longest.max(*time);
    }
    // A load balancer may send users to such a controller all the same. How long they
    // wait for an answer there is not what is measured.
    let mut nodes = 0..size(pace).controllers;
    let other = nodes.find(|n| !lost_at.contains(n));
    simulation.route_users_to(other.expect("one has no trouble"));
    simulation.run_until(TROUBLE + longest + 180_000);
    assert_eq!(simulation.checker.violations, vec![], "{name}");
    assert_eq!(
        simulation.unfinished_jobs(),
        Vec::<String>::new(),
        "{name}: unserved"
    );
    let sweep = plans().into_iter().skip(SERVICES as usize);
    let kept: Vec<JobPlan> = sweep.filter(|p| p.cancel_at.is_none()).collect();
    let ids: Vec<JobId> = kept.iter().map(|p| p.spec.id.clone()).collect();
    let started: u64 = ids.iter().map(|id| simulation.checker.starts_of(id)).sum();
    let wait = |p: &JobPlan| simulation.checker.began_at(&p.spec.id).expect("it ran") - p.submit_at;
    Cost {
        dropped: starts(&simulation, 0..SERVICES) - serving,
        repeated: started - ids.len() as u64 * u64::from(SWEEP_TASKS),
        stood_still: kept.iter().map(wait).max().unwrap_or(0),
    }
}

const LINKS: [Lost; 9] = [
    Lost::State,
    Lost::Cloud,
    Lost::Peers,
    Lost::Workers(Part::Some, LinkDirection::Both),
    Lost::Workers(Part::Some, LinkDirection::Heartbeats),
    Lost::Workers(Part::Some, LinkDirection::Commands),
    Lost::Workers(Part::All, LinkDirection::Both),
    Lost::Workers(Part::All, LinkDirection::Heartbeats),
    Lost::Workers(Part::All, LinkDirection::Commands),
];

/// Several leases of workers.
const CUT_FOR: Ms = 45_000;
/// For how long: a lost report, less than a worker's lease, and several of them.
const TIMES: [Ms; 3] = [1_500, 6_000, CUT_FOR];

#[test]
fn rules_hold_when_each_link_is_partitioned_in_turn() {
    let mut seed = 4_100;
    for who in [
        ControllerSelector::HolderOfJob(id(0)),
        ControllerSelector::Leader,
    ] {
        for lost in LINKS {
            for time in TIMES {
                let name = format!("{lost:?} at {who:?} for {time} ms");
                let cost = play(&name, seed, Pace::Short, &[(who.clone(), lost, time)]);
                cost.assert_small(&name, Pace::Short);
                seed += 1;
            }
        }
    }
}

/// The holder loses workers, and something happens to a second controller: to the leader,
/// or to one that passes reports on, or that is about to take over.
#[test]
fn rules_hold_when_two_controllers_have_different_partitions() {
    let holder = ControllerSelector::HolderOfJob(id(0));
    let second = ControllerSelector::NextAfter(Box::new(holder.clone()));
    let mut seed = 4_200;
    for direction in [
        LinkDirection::Both,
        LinkDirection::Heartbeats,
        LinkDirection::Commands,
    ] {
        let first = (
            holder.clone(),
            Lost::Workers(Part::Some, direction),
            CUT_FOR,
        );
        for lost in LINKS {
            let name = format!("{first:?} and {lost:?} at {second:?}");
            let cuts = [first.clone(), (second.clone(), lost, CUT_FOR)];
            play(&name, seed, Pace::Long, &cuts).assert_small(&name, Pace::Long);
            seed += 1;
        }
    }
}

/// The leader alone speaks to the cloud. One that lost it went on leading, and nothing was
/// provisioned until its link was back.
#[test]
fn a_leader_without_the_cloud_resigns() {
    let cut: Ms = 300_000;
    // No machine that is up has room for it.
    let mut large = JobPlan::plain(SERVICES + SWEEPS, TROUBLE + 5_000, JobKind::Array, 4, 5_000);
    (large.spec.cpus, large.spec.gpus) = (1.0, 8.0);
    let large_id = large.spec.id.clone();
    let all = plans().into_iter().chain([large]).collect();
    let mut simulation = Simulation::with_config(4_300, all, Vec::new(), size(Pace::Short));
    simulation.run_until(TROUBLE);
    let first = simulation.leader().expect("somebody leads");
    lose(&mut simulation, first, Lost::Cloud, cut);
    simulation.run_until(TROUBLE + cut);
    let began = simulation
        .checker
        .began_at(&large_id)
        .expect("it began in the cut");
    assert!(began < TROUBLE + cut / 2, "after {} ms", began - TROUBLE);
    assert_ne!(simulation.leader(), Some(first), "another leads");
    simulation.run_until(TROUBLE + cut + 120_000);
    assert_eq!(simulation.checker.violations, vec![]);
    assert_eq!(simulation.unfinished_jobs(), Vec::<String>::new());
}

/// Where no controller reaches the cloud leadership goes round, more and more seldom, and
/// nothing that runs is touched.
#[test]
fn an_unreachable_cloud_moves_leadership_ever_more_seldom() {
    let cut: Ms = 240_000;
    let mut simulation = Simulation::with_config(4_301, plans(), Vec::new(), size(Pace::Short));
    simulation.run_until(TROUBLE);
    for node in 0..size(Pace::Short).controllers {
        lose(&mut simulation, node, Lost::Cloud, cut);
    }
    let mut changes = [0_u32; 2];
    let mut leader = simulation.leader();
    for half in &mut changes {
        for _ in 0..cut / 2 / 500 {
            simulation.run_until(simulation.now() + 500);
            let now = simulation.leader();
            if now.is_some() && now != leader {
                *half += 1;
                leader = now;
            }
        }
    }
    assert!(changes[0] >= 1, "{changes:?}");
    assert!(changes[1] * 3 < changes[0] * 2, "{changes:?}");
    simulation.run_until(TROUBLE + cut + 120_000);
    assert_eq!(simulation.checker.violations, vec![]);
    assert_eq!(simulation.unfinished_jobs(), Vec::<String>::new());
}
