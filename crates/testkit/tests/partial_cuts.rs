//! Partial partitions: a controller loses some of its links while replicas serve and users
//! submit a sweep of array jobs. For each link no rule may be violated, every job must reach
//! one final state, no replica or sweep task may be restarted, and sweep jobs must keep
//! starting during the partition.

mod common;

use common::Ms;
use forkshift_testkit::job_id as id;
use forkshift_testkit::{
    ControllerSelector, DeploymentConfig, FaultKind, JobPlan, LinkDirection, MachineSelector,
    Simulation,
};
use forkshift_wire::users::{JobKind, Priority};
use forkshift_wire::{JobId, MachineId};

/// When the partitions begin: all replicas are running by then.
const PARTITION_AT: Ms = 90_000;
const SERVICES: u32 = 4;
const REPLICAS: u32 = 3;
/// Array jobs of the sweep; the first is submitted 5 s before the partitions begin.
const SWEEP_JOBS: u32 = 40;
/// The time between two submissions of the sweep.
const SWEEP_INTERVAL: Ms = 1_500;
const SWEEP_TASKS: u32 = 6;
/// One in this many sweep jobs is cancelled, 2 s after its submission.
const CANCEL_EVERY_NTH_JOB: u32 = 5;

/// Heartbeat interval, lease and cancellation deadline of workers.
#[derive(Clone, Copy, Debug)]
enum WorkerTiming {
    /// Heartbeats each 1 s and leases of 10 s: two attempts at controllers that do not answer
    /// take as long as a lease.
    Short,
    /// Heartbeats each 5 s and leases of 24 s.
    Long,
}

fn size(timing: WorkerTiming) -> DeploymentConfig {
    let (report_ms, lease_ms, cancel_ms) = match timing {
        WorkerTiming::Short => (1_000, 10_000, 35_000),
        WorkerTiming::Long => (5_000, 24_000, 49_000),
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

/// Services whose replicas nearly fill a machine, so that none is migrated to save cost, and
/// a sweep of the same team in the remaining capacity.
fn plans() -> Vec<JobPlan> {
    let services = (0..SERVICES).map(|n| {
        let mut plan = JobPlan::plain(n, 1_000, JobKind::Service, REPLICAS, 0);
        plan.spec.priority = Priority::Production;
        (plan.spec.cpus, plan.spec.gpus, plan.spec.memory_gb) = (1.0, 7.0, 1.0);
        plan
    });
    let sweep = (SERVICES..SERVICES + SWEEP_JOBS).map(|n| {
        let at = PARTITION_AT - 5_000 + u64::from(n - SERVICES) * SWEEP_INTERVAL;
        let mut plan = JobPlan::plain(n, at, JobKind::Array, SWEEP_TASKS, 4_000);
        (plan.spec.cpus, plan.spec.gpus, plan.spec.memory_gb) = (0.5, 0.25, 0.5);
        plan.cancel_at = (n % CANCEL_EVERY_NTH_JOB == 0).then_some(at + 2_000);
        plan
    });
    services.chain(sweep).collect()
}

/// The links that a controller loses.
#[derive(Clone, Copy, PartialEq, Debug)]
enum LostLinks {
    StateService,
    Cloud,
    Peers,
    /// Links to some or all workers, in one direction or both.
    Workers(WorkerSet, LinkDirection),
}

/// The workers whose links are lost.
#[derive(Clone, Copy, PartialEq, Debug)]
enum WorkerSet {
    /// Workers on every other machine with replicas.
    EveryOther,
    All,
}

fn partition_links(simulation: &mut Simulation, node: usize, lost: LostLinks, time: Ms) {
    let service_partition = |store, cloud| FaultKind::ServicePartition {
        node,
        store,
        workers: false,
        cloud,
        time,
        holds_messages: true,
    };
    match lost {
        LostLinks::StateService => simulation.inject_fault(service_partition(true, false)),
        LostLinks::Cloud => simulation.inject_fault(service_partition(false, true)),
        LostLinks::Peers => simulation.inject_fault(FaultKind::PeerPartition {
            node,
            peers: None,
            time,
            holds_messages: true,
        }),
        LostLinks::Workers(workers, direction) => {
            let machines = match workers {
                WorkerSet::All => MachineSelector::All,
                WorkerSet::EveryOther => MachineSelector::Named(
                    replica_machines(simulation)
                        .into_iter()
                        .step_by(2)
                        .collect(),
                ),
            };
            simulation.inject_fault(FaultKind::LinkPartition {
                node,
                machines,
                direction,
                time,
                holds_messages: true,
            });
        }
    }
}

/// Machines with replicas, sorted by id.
fn replica_machines(simulation: &Simulation) -> Vec<MachineId> {
    let services =
        (0..SERVICES).flat_map(|n| simulation.select_machines(&MachineSelector::RunningJob(id(n))));
    let mut machines: Vec<MachineId> = services.collect();
    machines.sort();
    machines.dedup();
    machines
}

/// The effects of partitions on running and submitted jobs.
#[derive(Default, Debug)]
struct Impact {
    /// Replicas that were restarted.
    restarted_replicas: u64,
    /// Sweep tasks that were restarted.
    restarted_sweep_tasks: u64,
    /// The longest time from the submission of a sweep job to its first start.
    longest_start_delay: Ms,
}

/// Upper bound for [`Impact::longest_start_delay`]: two calls without a response and a
/// handover of the shard, or a start command without a response and the two heartbeats after
/// which it is known not to have been executed.
fn max_start_delay(timing: WorkerTiming) -> Ms {
    match timing {
        WorkerTiming::Short => 12_000,
        WorkerTiming::Long => 18_000,
    }
}

impl Impact {
    fn assert_within_bounds(&self, name: &str, timing: WorkerTiming) {
        assert_eq!(
            (self.restarted_replicas, self.restarted_sweep_tasks),
            (0, 0),
            "{name}: {self:?}"
        );
        assert!(
            self.longest_start_delay < max_start_delay(timing),
            "{name}: {self:?}"
        );
    }
}

fn run_simulation(
    name: &str,
    seed: u64,
    timing: WorkerTiming,
    partitions: &[(ControllerSelector, LostLinks, Ms)],
) -> Impact {
    let mut simulation = Simulation::with_config(seed, plans(), Vec::new(), size(timing));
    simulation.run_until(PARTITION_AT);
    let starts = |simulation: &Simulation, jobs: std::ops::Range<u32>| -> u64 {
        jobs.map(|n| simulation.checker.starts_of(&id(n))).sum()
    };
    let running_replicas: usize = (0..SERVICES)
        .map(|n| simulation.checker.running_tasks(&id(n)))
        .sum();
    assert_eq!(
        running_replicas as u32,
        SERVICES * REPLICAS,
        "{name}: running replicas"
    );
    let serving = starts(&simulation, 0..SERVICES);
    let mut longest = 0;
    let mut partitioned_nodes = Vec::new();
    for (who, lost, time) in partitions {
        let node = simulation
            .select_controller(who)
            .expect("a controller in this role");
        partition_links(&mut simulation, node, *lost, *time);
        partitioned_nodes.push(node);
        longest = longest.max(*time);
    }
    // Users are routed to a controller without a partition, because the time until a
    // partitioned controller answers them is not measured here.
    let mut nodes = 0..size(timing).controllers;
    let other = nodes.find(|n| !partitioned_nodes.contains(n));
    simulation.route_users_to(other.expect("a controller without a partition"));
    simulation.run_until(PARTITION_AT + longest + 180_000);
    assert_eq!(simulation.checker.violations, vec![], "{name}");
    assert_eq!(
        simulation.unfinished_jobs(),
        Vec::<String>::new(),
        "{name}: unfinished jobs"
    );
    let sweep = plans().into_iter().skip(SERVICES as usize);
    let not_cancelled: Vec<JobPlan> = sweep.filter(|p| p.cancel_at.is_none()).collect();
    let ids: Vec<JobId> = not_cancelled.iter().map(|p| p.spec.id.clone()).collect();
    let started: u64 = ids.iter().map(|id| simulation.checker.starts_of(id)).sum();
    let wait =
        |p: &JobPlan| simulation.checker.began_at(&p.spec.id).expect("started") - p.submit_at;
    Impact {
        restarted_replicas: starts(&simulation, 0..SERVICES) - serving,
        restarted_sweep_tasks: started - ids.len() as u64 * u64::from(SWEEP_TASKS),
        longest_start_delay: not_cancelled.iter().map(wait).max().unwrap_or(0),
    }
}

const LINKS: [LostLinks; 9] = [
    LostLinks::StateService,
    LostLinks::Cloud,
    LostLinks::Peers,
    LostLinks::Workers(WorkerSet::EveryOther, LinkDirection::Both),
    LostLinks::Workers(WorkerSet::EveryOther, LinkDirection::Heartbeats),
    LostLinks::Workers(WorkerSet::EveryOther, LinkDirection::Commands),
    LostLinks::Workers(WorkerSet::All, LinkDirection::Both),
    LostLinks::Workers(WorkerSet::All, LinkDirection::Heartbeats),
    LostLinks::Workers(WorkerSet::All, LinkDirection::Commands),
];

/// More than four of the workers' short leases.
const LONG_PARTITION_MS: Ms = 45_000;
/// Durations of a partition: one lost heartbeat, less than a worker's lease, and several
/// leases.
const PARTITION_TIMES_MS: [Ms; 3] = [1_500, 6_000, LONG_PARTITION_MS];

/// A controller that loses one kind of link may wrongly take working machines or peers for
/// failed. The holder of a service's shard and the leader lose each kind in turn.
#[test]
fn rules_hold_when_each_link_is_partitioned_in_turn() {
    let mut seed = 4_100;
    for who in [
        ControllerSelector::HolderOfJob(id(0)),
        ControllerSelector::Leader,
    ] {
        for lost in LINKS {
            for time in PARTITION_TIMES_MS {
                let name = format!("{lost:?} lost at {who:?} for {time} ms");
                let impact = run_simulation(
                    &name,
                    seed,
                    WorkerTiming::Short,
                    &[(who.clone(), lost, time)],
                );
                impact.assert_within_bounds(&name, WorkerTiming::Short);
                seed += 1;
            }
        }
    }
}

/// The holder loses links to workers while a second controller loses another kind of link.
/// The second controller may be the leader, may forward heartbeats, or may be about to
/// acquire the holder's shard.
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
            LostLinks::Workers(WorkerSet::EveryOther, direction),
            LONG_PARTITION_MS,
        );
        for lost in LINKS {
            let name = format!("{first:?} and {lost:?} lost at {second:?}");
            let partitions = [first.clone(), (second.clone(), lost, LONG_PARTITION_MS)];
            run_simulation(&name, seed, WorkerTiming::Long, &partitions)
                .assert_within_bounds(&name, WorkerTiming::Long);
            seed += 1;
        }
    }
}

/// Only the leader calls the cloud. If a leader that cannot reach the cloud does not resign,
/// no machine is provisioned until its link is restored.
#[test]
fn a_leader_without_the_cloud_resigns() {
    let partition_ms: Ms = 300_000;
    // No running machine has enough free capacity for this job.
    let mut large = JobPlan::plain(
        SERVICES + SWEEP_JOBS,
        PARTITION_AT + 5_000,
        JobKind::Array,
        4,
        5_000,
    );
    (large.spec.cpus, large.spec.gpus) = (1.0, 8.0);
    let large_id = large.spec.id.clone();
    let all = plans().into_iter().chain([large]).collect();
    let mut simulation = Simulation::with_config(4_300, all, Vec::new(), size(WorkerTiming::Short));
    simulation.run_until(PARTITION_AT);
    let first = simulation.leader().expect("a leader");
    partition_links(&mut simulation, first, LostLinks::Cloud, partition_ms);
    simulation.run_until(PARTITION_AT + partition_ms);
    let began = simulation
        .checker
        .began_at(&large_id)
        .expect("started during the partition");
    assert!(
        began < PARTITION_AT + partition_ms / 2,
        "started after {} ms",
        began - PARTITION_AT
    );
    assert_ne!(
        simulation.leader(),
        Some(first),
        "the same controller leads"
    );
    simulation.run_until(PARTITION_AT + partition_ms + 120_000);
    assert_eq!(simulation.checker.violations, vec![]);
    assert_eq!(simulation.unfinished_jobs(), Vec::<String>::new());
}

/// If no controller reaches the cloud, leaders resign one after the other. The changes of the
/// leader must become rarer, and running tasks must not be affected.
#[test]
fn leader_changes_become_rarer_while_no_controller_reaches_the_cloud() {
    let partition_ms: Ms = 240_000;
    let mut simulation =
        Simulation::with_config(4_301, plans(), Vec::new(), size(WorkerTiming::Short));
    simulation.run_until(PARTITION_AT);
    for node in 0..size(WorkerTiming::Short).controllers {
        partition_links(&mut simulation, node, LostLinks::Cloud, partition_ms);
    }
    let mut changes = [0_u32; 2];
    let mut leader = simulation.leader();
    for changes_in_half in &mut changes {
        for _ in 0..partition_ms / 2 / 500 {
            simulation.run_until(simulation.now() + 500);
            let now = simulation.leader();
            if now.is_some() && now != leader {
                *changes_in_half += 1;
                leader = now;
            }
        }
    }
    assert!(changes[0] >= 1, "{changes:?}");
    assert!(changes[1] * 3 < changes[0] * 2, "{changes:?}");
    simulation.run_until(PARTITION_AT + partition_ms + 120_000);
    assert_eq!(simulation.checker.violations, vec![]);
    assert_eq!(simulation.unfinished_jobs(), Vec::<String>::new());
}
