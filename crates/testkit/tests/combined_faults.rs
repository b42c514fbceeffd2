//! Faults in combination, each injected at a fixed virtual time. Every checker rule must
//! hold in each combination and every job must be served; the times are set so that the
//! faults of a test overlap.

mod common;

use common::{assert_ran_and_rules_kept, fault, random_plans_of_seed, Ms};
use forkshift_testkit::job_id as id;
use forkshift_testkit::{
    ControllerSelector, DeploymentConfig, Fault, FaultKind, JobPlan, MachineFault, MachineSelector,
    Simulation,
};
use forkshift_wire::users::JobKind;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

fn job(n: u32, at: Ms, kind: JobKind, tasks: u32, run_ms: Ms, cancel_at: Option<Ms>) -> JobPlan {
    let mut plan = JobPlan::plain(n, at, kind, tasks, run_ms);
    plan.spec.gpus = 2.0;
    plan.cancel_at = cancel_at;
    plan
}

fn crash(at: Ms, who: ControllerSelector, restart_after: Ms) -> Fault {
    let (node, count) = (0, 1);
    fault(
        at,
        FaultKind::Crash {
            node,
            count,
            restart_after,
        }
        .at(who),
    )
}

fn lost_responses(
    key_prefix: Option<&'static str>,
    executes_at_once: bool,
    percent: u32,
    time: Ms,
) -> FaultKind {
    FaultKind::LostWriteResponses {
        percent,
        key_prefix,
        executes_at_once,
        time,
    }
}

/// Runs a simulation of the default size until `end`. Every job must be served and no
/// checker rule violated.
fn run_simulation(
    name: &str,
    seed: u64,
    plans: Vec<JobPlan>,
    faults: Vec<Fault>,
    end: Ms,
) -> Simulation {
    run_simulation_sized(name, seed, plans, faults, end, DeploymentConfig::default())
}

/// Like [`run_simulation`], with a fleet of the given size.
fn run_simulation_sized(
    name: &str,
    seed: u64,
    plans: Vec<JobPlan>,
    mut faults: Vec<Fault>,
    end: Ms,
    size: DeploymentConfig,
) -> Simulation {
    faults.sort_by_key(|f| f.at);
    let mut simulation = Simulation::with_config(seed, plans, faults, size);
    simulation.run_until(end);
    simulation.checker.finish(simulation.now());
    assert_ran_and_rules_kept(name, &simulation);
    simulation
}

/// Users query every controller within milliseconds of a response, repeat submissions and
/// cancel immediately. No controller may report a state older than one already reported.
#[test]
fn no_controller_reports_an_older_state_during_status_bursts() {
    let status_bursts = || fault(10_000, FaultKind::StatusBursts(150_000));
    let time = 15_000;
    let node = 0;
    let with: [(&str, Vec<Fault>); 8] = [
        ("alone", vec![]),
        (
            "unusual requests",
            vec![fault(10_000, FaultKind::UnusualRequests(150_000))],
        ),
        (
            "jobs complete while they are cancelled",
            vec![fault(
                10_000,
                FaultKind::CancelCompletingJobs {
                    percent: 60,
                    time: 120_000,
                },
            )],
        ),
        (
            "write responses are lost",
            vec![fault(40_000, lost_responses(None, true, 30, 40_000))],
        ),
        (
            "writes are executed late",
            vec![fault(40_000, lost_responses(None, false, 20, 40_000))],
        ),
        (
            "the state service is slow",
            vec![fault(40_000, FaultKind::SlowStore(40_000))],
        ),
        (
            "shard holders change",
            vec![
                crash(40_000, ControllerSelector::Leader, 300),
                crash(55_000, ControllerSelector::Leader, 3_000),
            ],
        ),
        (
            "a controller loses the state service and its peers",
            vec![
                fault(40_000, FaultKind::StoreLockout { node, time }),
                fault(
                    40_000,
                    FaultKind::PeerPartition {
                        node,
                        peers: None,
                        time,
                        holds_messages: true,
                    },
                ),
            ],
        ),
    ];
    for (seed, (name, faults)) in (300..).zip(with) {
        let faults = faults.into_iter().chain([status_bursts()]).collect();
        run_simulation(name, seed, random_plans_of_seed(seed, 30), faults, 260_000);
    }
}

/// For each kind of record, a write is executed at once and its response lost, or executed
/// 2 to 12 s late, after newer writes of the same controller. Other controllers read the
/// record meanwhile.
#[test]
fn rules_hold_when_responses_to_any_kind_of_write_are_lost() {
    let kinds = [
        ("job acceptance and completion", "job/"),
        ("job start and progress", "live/"),
        ("shard", "c/share/"),
        ("leader", "c/leader"),
        ("controller", "c/node/"),
        ("provisioning intent", "c/charter/"),
        ("machine", "c/machine/"),
        ("cancellation", "c/abort/"),
        ("demand", "c/demand/"),
    ];
    for (n, (name, key_prefix)) in (0u64..).zip(kinds) {
        for executes_at_once in [true, false] {
            let seed = 320 + 2 * n + u64::from(executes_at_once);
            let faults = vec![
                fault(20_000, FaultKind::StatusBursts(60_000)),
                fault(
                    25_000,
                    lost_responses(Some(key_prefix), executes_at_once, 50, 30_000),
                ),
                // The new leader and the new shard holders write these records too.
                crash(35_000, ControllerSelector::Leader, 3_000),
            ];
            let name = format!("{name}, executed at once: {executes_at_once}");
            run_simulation(&name, seed, random_plans_of_seed(seed, 25), faults, 260_000);
        }
    }
}

/// Every team is at its limit, and jobs are cancelled whose machines are partitioned or
/// hang, while the leader changes. A cancelled task counts towards the limit until there is
/// evidence that it has exited.
#[test]
fn teams_stay_within_their_limits_when_the_leader_changes() {
    let time = 20_000;
    for (seed, machine_fault) in [
        (350, MachineFault::Partition(time)),
        (351, MachineFault::Hang(time)),
        (352, MachineFault::InboundLoss(time)),
        (353, MachineFault::OutboundLoss(time)),
    ] {
        let size = DeploymentConfig {
            limit: (16.0, 12.0),
            guarantee: (8.0, 4.0),
            ..DeploymentConfig::default()
        };
        let kinds = [JobKind::Array, JobKind::Gang, JobKind::Service];
        let mut plans: Vec<JobPlan> = (0..24)
            .map(|n| {
                let kind = kinds[n as usize % 3];
                // The first six jobs are cancelled while they run. Later services are
                // cancelled too, because a service has no end of its own.
                let early = n < 6;
                let cancel_at = match kind {
                    JobKind::Service if !early => Some(110_000 + 1_000 * Ms::from(n)),
                    _ => early.then_some(51_000),
                };
                let mut plan = job(
                    n,
                    2_000,
                    kind,
                    4,
                    if early { 200_000 } else { 8_000 },
                    cancel_at,
                );
                plan.spec.team = format!("team-{}", n % 2);
                plan.spec.require_same_zone = n % 4 == 1;
                plan.spec.spread_over_zones = kind == JobKind::Service && n % 4 != 1;
                plan
            })
            .collect();
        plans.truncate(24);
        let faults = vec![
            fault(
                50_000,
                FaultKind::Machines(MachineSelector::RunningJob(id(0)), machine_fault),
            ),
            fault(
                50_000,
                FaultKind::Machines(MachineSelector::RunningJob(id(1)), machine_fault),
            ),
            crash(51_500, ControllerSelector::HolderOfJob(id(0)), 3_000),
            crash(58_000, ControllerSelector::Leader, 3_000),
        ];
        let name = format!("{machine_fault:?}");
        run_simulation_sized(&name, seed, plans, faults, 320_000, size);
    }
}

/// Jobs are cancelled at any moment of the seconds in which their shard changes its holder,
/// once by a crash and once by a planned handover.
#[test]
fn jobs_cancelled_during_a_failover_of_their_shard_exit_in_time() {
    for step in 0..10 {
        // The holder crashes at 50 s and restarts at 53 s; later the shard is handed back
        // to it as planned.
        let at = 49_800 + 400 * step;
        let plans = (0..6).map(|n| {
            let cancel = at + 70 * Ms::from(n);
            job(n, 2_000, JobKind::Service, 2, 0, Some(cancel))
        });
        let later = (6..12).map(|n| {
            let cancel = at + 11_000 + 70 * Ms::from(n);
            job(n, 2_000, JobKind::Service, 1, 0, Some(cancel))
        });
        let faults = vec![
            fault(45_000, FaultKind::StatusBursts(40_000)),
            crash(50_000, ControllerSelector::HolderOfJob(id(0)), 3_000),
        ];
        let name = format!("cancelled from {at} ms");
        let plans: Vec<JobPlan> = plans.chain(later).collect();
        let simulation = run_simulation(&name, 360 + step, plans, faults, 160_000);
        for n in 0..12 {
            let cancelled_at = simulation.cancelled_at(&id(n)).expect("cancelled");
            assert!(
                cancelled_at < at + 30_000,
                "{name}: cancellation of {n} confirmed at {cancelled_at} ms"
            );
            assert_eq!(simulation.checker.running_tasks(&id(n)), 0, "{name}: {n}");
        }
    }
}

/// New machines boot within two seconds and get tasks at once, while writes are executed
/// late and the leader crashes. Each machine is adopted by the new leader or returned to
/// the cloud, never both.
#[test]
fn rules_hold_when_machines_boot_fast_while_writes_are_late_and_the_leader_crashes() {
    for (seed, key_prefix) in [
        (380, None),
        (381, Some("c/machine/")),
        (382, Some("c/charter/")),
        (383, Some("live/")),
    ] {
        for (n, restart_after) in [300, 6_000].into_iter().enumerate() {
            let faults = vec![
                fault(1_000, FaultKind::FastBoots(60_000)),
                fault(4_000, lost_responses(key_prefix, false, 50, 12_000)),
                crash(7_000, ControllerSelector::Leader, restart_after),
                crash(13_000, ControllerSelector::Leader, restart_after),
            ];
            let plans = (0..16).map(|n| {
                let (kind, tasks) = match n % 3 {
                    0 => (JobKind::Array, 6),
                    1 => (JobKind::Gang, 2),
                    _ => (JobKind::Service, 2),
                };
                let mut plan = job(n, 3_000 + 700 * Ms::from(n), kind, tasks, 8_000, None);
                plan.spec.team = format!("team-{}", n % 4);
                plan
            });
            let name = format!("{key_prefix:?}, restart after {restart_after} ms");
            let seed = seed + 10 * n as u64;
            let simulation = run_simulation(&name, seed, plans.collect(), faults, 200_000);
            assert!(simulation.max_machines() > 0, "{name}");
        }
    }
}

/// Delayed heartbeats, some from earlier worker sessions and task attempts, reach every
/// controller just as a new leader starts or after it has acted. They must not make a
/// running task look exited, nor replace newer state.
#[test]
fn old_heartbeats_change_nothing_when_they_reach_a_new_leader() {
    for (seed, until_failover) in [(400, true), (401, false), (402, true), (403, false)] {
        let faults = vec![
            fault(
                30_000,
                FaultKind::LateHeartbeats {
                    percent: 60,
                    until_failover,
                    time: 20_000,
                },
            ),
            fault(
                38_000,
                FaultKind::Machines(
                    MachineSelector::Random(3),
                    MachineFault::InboundLoss(15_000),
                ),
            ),
            fault(
                42_000,
                FaultKind::CancelRunningJobs {
                    count: 5,
                    hang_ms: 8_000,
                },
            ),
            crash(50_500, ControllerSelector::Leader, 3_000),
            fault(
                60_000,
                FaultKind::LateHeartbeats {
                    percent: 60,
                    until_failover,
                    time: 20_000,
                },
            ),
            crash(81_000, ControllerSelector::Leader, 300),
            crash(81_000, ControllerSelector::Leader, 300),
        ];
        run_simulation(
            &format!("delayed until the failover: {until_failover}"),
            seed,
            random_plans_of_seed(seed, 30),
            faults,
            280_000,
        );
    }
}

/// Users submit four one-task jobs a second for two minutes and cancel a quarter of them,
/// without a fault and with one fault at a time. Without a fault each job is accepted
/// within a second.
#[test]
fn rules_hold_for_many_small_jobs_under_each_fault() {
    let (node, time) = (0, 10_000);
    let with: [(&str, Vec<Fault>); 5] = [
        ("alone", vec![]),
        (
            "the leader crashes",
            vec![crash(70_000, ControllerSelector::Leader, 3_000)],
        ),
        (
            "writes are executed late",
            vec![fault(60_000, lost_responses(None, false, 10, 20_000))],
        ),
        (
            "the state service refuses one controller",
            vec![fault(60_000, FaultKind::StoreRefusal { node, time })],
        ),
        (
            "the state service is out",
            vec![fault(60_000, FaultKind::StoreOutage(time))],
        ),
    ];
    for (seed, (name, faults)) in (420..).zip(with) {
        let size = DeploymentConfig {
            capacity: 20,
            limit: (400.0, 0.0),
            ..DeploymentConfig::default()
        };
        let is_fault_free = faults.is_empty();
        let mut rng = StdRng::seed_from_u64(seed);
        let plans = (0..480).map(|n| {
            let at = 20_000 + 250 * Ms::from(n);
            let cancel = (n % 4 == 0).then(|| at + rng.random_range(0..20_000));
            let mut plan = job(
                n,
                at,
                JobKind::Array,
                1,
                rng.random_range(2_000..12_000),
                cancel,
            );
            (plan.spec.gpus, plan.spec.cpus) = (0.0, 1.0);
            plan.spec.team = format!("team-{}", n % 4);
            plan
        });
        let simulation = run_simulation_sized(name, seed, plans.collect(), faults, 280_000, size);
        if is_fault_free {
            let slowest_ms = simulation.checker.max_acceptance_ms();
            assert!(slowest_ms < 1_000, "{name}: accepted after {slowest_ms} ms");
        }
    }
}

/// The tasks of a job end far apart, and its shard holder and the leader crash in between.
/// The ends recorded before the crashes must not be lost.
#[test]
fn tasks_that_end_far_apart_are_recorded_across_a_change_of_leader() {
    for (seed, at) in [(440, 40_000), (441, 50_000), (442, 60_000)] {
        let plans = (0..8).map(|n| {
            let mut plan = job(
                n,
                2_000 + 4_000 * Ms::from(n),
                JobKind::Array,
                3,
                12_000,
                None,
            );
            // Two tasks of a job fit at a time, so the third ends much later.
            plan.spec.gpus = 8.0;
            plan.spec.team = format!("team-{}", n % 4);
            plan
        });
        let size = DeploymentConfig {
            limit: (96.0, 16.0),
            ..DeploymentConfig::default()
        };
        let faults = vec![
            fault(20_000, FaultKind::StatusBursts(100_000)),
            crash(at, ControllerSelector::HolderOfJob(id(0)), 3_000),
            crash(at + 9_000, ControllerSelector::Leader, 50),
        ];
        run_simulation_sized(
            &format!("holder crashes at {at} ms"),
            seed,
            plans.collect(),
            faults,
            320_000,
            size,
        );
    }
}

/// The leader crashes ten times in two minutes, in one case also during an outage of the
/// state service.
#[test]
fn rules_hold_over_ten_changes_of_leader_in_two_minutes() {
    for (seed, outage) in [(450, None), (451, Some(80_000))] {
        let crashes =
            (0..10).map(|n| crash(40_000 + 12_000 * n, ControllerSelector::Leader, 2_000));
        let name = format!("outage: {}", outage.is_some());
        let outage = outage.map(|at| fault(at, FaultKind::StoreOutage(20_000)));
        let cancellations = [fault(
            70_000,
            FaultKind::CancelRunningJobs {
                count: 4,
                hang_ms: 6_000,
            },
        )];
        let faults = crashes.chain(outage).chain(cancellations).collect();
        run_simulation(&name, seed, random_plans_of_seed(seed, 30), faults, 330_000);
    }
}

/// All controllers crash: for longer than a lease, repeatedly within a second, and one
/// after the other. Jobs are cancelled just before.
#[test]
fn rules_hold_after_all_controllers_crash_and_restart() {
    let all = |at, restart_after| {
        let (node, count) = (0, 3);
        fault(
            at,
            FaultKind::Crash {
                node,
                count,
                restart_after,
            },
        )
    };
    let cancel = || {
        fault(
            49_500,
            FaultKind::CancelRunningJobs {
                count: 4,
                hang_ms: 0,
            },
        )
    };
    let cases = [
        ("longer than a lease", vec![cancel(), all(50_000, 14_000)]),
        (
            "repeated within a second",
            vec![cancel(), all(50_000, 50), all(50_600, 300), all(52_000, 50)],
        ),
        (
            "one after the other",
            vec![
                cancel(),
                crash(50_000, ControllerSelector::Index(0), 400),
                crash(50_300, ControllerSelector::Index(1), 400),
                crash(50_600, ControllerSelector::Index(2), 9_000),
                crash(52_000, ControllerSelector::Index(0), 12_000),
            ],
        ),
    ];
    for (seed, (name, faults)) in (460..).zip(cases) {
        run_simulation(name, seed, random_plans_of_seed(seed, 25), faults, 260_000);
    }
}

/// A machine with a cancelled task loses its inbound or outbound messages, hangs, is
/// partitioned or has a slow link, while the holder of the job crashes. The task must exit
/// by its deadline and not resume.
#[test]
fn cancelled_tasks_on_lost_machines_exit_when_the_leader_changes() {
    let time = 25_000;
    for (seed, machine_fault) in [
        (470, MachineFault::InboundLoss(time)),
        (471, MachineFault::OutboundLoss(time)),
        (472, MachineFault::Hang(8_000)),
        (473, MachineFault::Hang(time)),
        (474, MachineFault::Partition(time)),
        (475, MachineFault::SlowLink(time)),
    ] {
        let plans = (0..8).map(|n| {
            let cancel = (n < 4).then_some(50_500);
            let run = if n < 4 { 200_000 } else { 70_000 };
            job(n, 2_000, JobKind::Array, 2, run, cancel)
        });
        let fail_machine_of = |n| {
            fault(
                50_000,
                FaultKind::Machines(MachineSelector::RunningJob(id(n)), machine_fault),
            )
        };
        let faults = vec![
            fail_machine_of(0),
            fail_machine_of(1),
            fail_machine_of(5),
            crash(53_000, ControllerSelector::HolderOfJob(id(0)), 3_000),
        ];
        let simulation = run_simulation(
            &format!("{machine_fault:?}"),
            seed,
            plans.collect(),
            faults,
            260_000,
        );
        for n in 0..4 {
            assert!(
                simulation.cancelled_at(&id(n)).is_some(),
                "{machine_fault:?}: {n}"
            );
        }
    }
}

/// Jobs bound to one zone lose machines, and then a zone with a controller is partitioned
/// for longer than a lease. The jobs must be placed again in a zone that they allow.
#[test]
fn jobs_of_one_zone_restart_after_they_lose_machines() {
    for (seed, holds_messages) in [(480, true), (481, false)] {
        let plans = (0..9).map(|n| {
            let kind = [JobKind::Array, JobKind::Gang, JobKind::Service][n as usize % 3];
            let cancel = (kind == JobKind::Service).then_some(120_000);
            let mut plan = job(n, 2_000, kind, 3, 20_000, cancel);
            plan.spec.require_same_zone = n % 2 == 0;
            plan.spec.zone = (n % 2 == 1).then(|| "b".to_owned());
            plan.spec.team = format!("team-{}", n % 4);
            plan
        });
        let crash_machine_of = |n| {
            fault(
                40_000,
                FaultKind::Machines(MachineSelector::RunningJob(id(n)), MachineFault::Crash),
            )
        };
        let (zone, time) = ("b", 16_000);
        let faults = vec![
            crash_machine_of(0),
            crash_machine_of(1),
            fault(
                60_000,
                FaultKind::ZonePartition {
                    zone,
                    time,
                    holds_messages,
                },
            ),
            fault(
                62_000,
                FaultKind::CancelRunningJobs {
                    count: 3,
                    hang_ms: 0,
                },
            ),
        ];
        run_simulation(
            &format!("messages held: {holds_messages}"),
            seed,
            plans.collect(),
            faults,
            300_000,
        );
    }
}

/// Commands and their responses are delayed by seconds while workers keep running their
/// tasks, with and without a crash of the leader.
#[test]
fn rules_hold_when_commands_are_delayed_for_seconds() {
    for (seed, leader_crashes) in [(490, false), (491, true)] {
        let mut faults = vec![
            fault(
                20_000,
                FaultKind::DelayedCommands {
                    percent: 40,
                    time: 60_000,
                },
            ),
            fault(
                40_000,
                FaultKind::CancelRunningJobs {
                    count: 5,
                    hang_ms: 5_000,
                },
            ),
        ];
        if leader_crashes {
            faults.push(crash(41_000, ControllerSelector::Leader, 3_000));
        }
        run_simulation(
            &format!("the leader crashes: {leader_crashes}"),
            seed,
            random_plans_of_seed(seed, 30),
            faults,
            280_000,
        );
    }
}
