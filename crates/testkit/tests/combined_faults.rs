//! Combined faults: two at a time, each at a set moment.
//! What every checker rule says must hold in all of them; besides, each test
//! makes sure that its faults did coincide.

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

fn lost(
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

/// Plays a day to its end. Nobody is left unserved, and no rule is broken.
fn play(name: &str, seed: u64, plans: Vec<JobPlan>, faults: Vec<Fault>, end: Ms) -> Simulation {
    play_sized(name, seed, plans, faults, end, DeploymentConfig::default())
}

fn play_sized(
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

/// Users ask at all controllers within milliseconds after something was told,
/// repeat submissions and cancel at once: no controller answers anything older.
#[test]
fn no_controller_reports_an_older_state_during_status_bursts() {
    let looks = || fault(10_000, FaultKind::StatusBursts(150_000));
    let time = 15_000;
    let node = 0;
    let with: [(&str, Vec<Fault>); 8] = [
        ("alone", vec![]),
        (
            "odd requests",
            vec![fault(10_000, FaultKind::UnusualRequests(150_000))],
        ),
        (
            "jobs end as they are cancelled",
            vec![fault(
                10_000,
                FaultKind::CancelCompletingJobs {
                    percent: 60,
                    time: 120_000,
                },
            )],
        ),
        (
            "answers of writes are lost",
            vec![fault(40_000, lost(None, true, 30, 40_000))],
        ),
        (
            "writes land late",
            vec![fault(40_000, lost(None, false, 20, 40_000))],
        ),
        (
            "the service is slow",
            vec![fault(40_000, FaultKind::SlowStore(40_000))],
        ),
        (
            "holders change",
            vec![
                crash(40_000, ControllerSelector::Leader, 300),
                crash(55_000, ControllerSelector::Leader, 3_000),
            ],
        ),
        (
            "a controller loses the service and its peers",
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
        let faults = faults.into_iter().chain([looks()]).collect();
        play(name, seed, random_plans_of_seed(seed, 30), faults, 260_000);
    }
}

/// Each kind of write is carried out at once with its answer lost, or 2 to 12 s
/// late, after newer ones of the same controller, while others read what it wrote.
#[test]
fn rules_hold_when_responses_to_any_kind_of_write_are_lost() {
    let kinds = [
        ("accept and end", "job/"),
        ("start and progress", "live/"),
        ("share", "c/share/"),
        ("leader", "c/leader"),
        ("controller", "c/node/"),
        ("rental intent", "c/charter/"),
        ("machine", "c/machine/"),
        ("cancellation", "c/abort/"),
        ("demand", "c/demand/"),
    ];
    for (n, (name, key_prefix)) in (0u64..).zip(kinds) {
        for executes_at_once in [true, false] {
            let seed = 320 + 2 * n + u64::from(executes_at_once);
            let faults = vec![
                fault(20_000, FaultKind::StatusBursts(60_000)),
                fault(25_000, lost(Some(key_prefix), executes_at_once, 50, 30_000)),
                // A new leader and a new holder write, too.
                crash(35_000, ControllerSelector::Leader, 3_000),
            ];
            let name = format!("{name}, at once: {executes_at_once}");
            play(&name, seed, random_plans_of_seed(seed, 25), faults, 260_000);
        }
    }
}

/// Every team is at its limit while jobs are cancelled whose machines are cut
/// off or hang, and the leader changes: places count until there is evidence.
#[test]
fn teams_stay_within_their_limits_when_the_leader_changes() {
    let time = 20_000;
    for (seed, what) in [
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
                // Two are cancelled; services end some day.
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
                FaultKind::Machines(MachineSelector::RunningJob(id(0)), what),
            ),
            fault(
                50_000,
                FaultKind::Machines(MachineSelector::RunningJob(id(1)), what),
            ),
            crash(51_500, ControllerSelector::HolderOfJob(id(0)), 3_000),
            crash(58_000, ControllerSelector::Leader, 3_000),
        ];
        let name = format!("{what:?}");
        play_sized(&name, seed, plans, faults, 320_000, size);
    }
}

/// A job is cancelled in the seconds in which its shard changes hands, by a
/// crash and in order, wherever in that time the request falls.
#[test]
fn jobs_cancelled_during_a_failover_of_their_shard_exit_in_time() {
    for step in 0..10 {
        // The holder ends at 50 s and is back at 53 s; later it gets its shard
        // back, in order.
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
        let name = format!("at {at}");
        let plans: Vec<JobPlan> = plans.chain(later).collect();
        let simulation = play(&name, 360 + step, plans, faults, 160_000);
        for n in 0..12 {
            let told = simulation.cancelled_at(&id(n)).expect("cancelled");
            assert!(told < at + 30_000, "{name}: {n} was told at {told}");
            assert_eq!(simulation.checker.running_tasks(&id(n)), 0, "{name}: {n}");
        }
    }
}

/// New machines are up within two seconds and get work at once while writes
/// lag, and the leader ends: they are adopted or returned, never both.
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
                fault(4_000, lost(key_prefix, false, 50, 12_000)),
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
            let name = format!("{key_prefix:?}, back after {restart_after} ms");
            let seed = seed + 10 * n as u64;
            let simulation = play(&name, seed, plans.collect(), faults, 200_000);
            assert!(simulation.max_machines() > 0, "{name}");
        }
    }
}

/// Old reports reach every controller just as a new leader begins, or once it
/// has acted, of earlier sessions and attempts too: nothing is believed gone,
/// nothing is made current.
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
        play(
            &format!("for next: {until_failover}"),
            seed,
            random_plans_of_seed(seed, 30),
            faults,
            280_000,
        );
    }
}

/// One-task jobs come four a second for two minutes, a quarter of them
/// cancelled, alone and with one other trouble.
#[test]
fn rules_hold_for_many_small_jobs_under_each_fault() {
    let (node, time) = (0, 10_000);
    let with: [(&str, Vec<Fault>); 5] = [
        ("alone", vec![]),
        (
            "the leader ends",
            vec![crash(70_000, ControllerSelector::Leader, 3_000)],
        ),
        (
            "writes land late",
            vec![fault(60_000, lost(None, false, 10, 20_000))],
        ),
        (
            "a controller is refused",
            vec![fault(60_000, FaultKind::StoreRefusal { node, time })],
        ),
        (
            "an outage",
            vec![fault(60_000, FaultKind::StoreOutage(time))],
        ),
    ];
    for (seed, (name, faults)) in (420..).zip(with) {
        let size = DeploymentConfig {
            capacity: 20,
            limit: (400.0, 0.0),
            ..DeploymentConfig::default()
        };
        let quiet = faults.is_empty();
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
        let simulation = play_sized(name, seed, plans.collect(), faults, 280_000, size);
        if quiet {
            let slow = simulation.checker.max_acceptance_ms();
            assert!(slow < 1_000, "{name}: accepted after {slow} ms");
        }
    }
}

/// Jobs of two tasks whose ends lie far apart, over a change of leader.
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
            // Two fit at a time, so the third ends much later.
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
        play_sized(
            &format!("at {at}"),
            seed,
            plans.collect(),
            faults,
            320_000,
            size,
        );
    }
}

/// Leaders change ten times in two minutes, also inside an outage.
#[test]
fn rules_hold_over_ten_changes_of_leader_in_two_minutes() {
    for (seed, outage) in [(450, None), (451, Some(80_000))] {
        let crashes =
            (0..10).map(|n| crash(40_000 + 12_000 * n, ControllerSelector::Leader, 2_000));
        let outage = outage.map(|at| fault(at, FaultKind::StoreOutage(20_000)));
        let more = [fault(
            70_000,
            FaultKind::CancelRunningJobs {
                count: 4,
                hang_ms: 6_000,
            },
        )];
        let faults = crashes.chain(outage).chain(more).collect();
        play(
            &format!("outage: {seed}"),
            seed,
            random_plans_of_seed(seed, 30),
            faults,
            330_000,
        );
    }
}

/// All controllers are away for longer than a lease, and hand over and back
/// within a second.
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
            "within a second",
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
        play(name, seed, random_plans_of_seed(seed, 25), faults, 260_000);
    }
}

/// Machines that hear nothing, or reach nobody, or hang with a cancelled task,
/// while the leader ends: the task is gone in time and does not go on.
#[test]
fn cancelled_tasks_on_lost_machines_exit_when_the_leader_changes() {
    let time = 25_000;
    for (seed, what) in [
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
        let lose = |n| {
            fault(
                50_000,
                FaultKind::Machines(MachineSelector::RunningJob(id(n)), what),
            )
        };
        let faults = vec![
            lose(0),
            lose(1),
            lose(5),
            crash(53_000, ControllerSelector::HolderOfJob(id(0)), 3_000),
        ];
        let simulation = play(&format!("{what:?}"), seed, plans.collect(), faults, 260_000);
        for n in 0..4 {
            assert!(simulation.cancelled_at(&id(n)).is_some(), "{what:?}: {n}");
        }
    }
}

/// Jobs that are bound to one zone, arrays too, lose machines, and a zone with
/// a controller is cut off for longer than a lease.
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
        let die = |n| {
            fault(
                40_000,
                FaultKind::Machines(MachineSelector::RunningJob(id(n)), MachineFault::Crash),
            )
        };
        let (zone, time) = ("b", 16_000);
        let faults = vec![
            die(0),
            die(1),
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
        play(
            &format!("held: {holds_messages}"),
            seed,
            plans.collect(),
            faults,
            300_000,
        );
    }
}

/// Commands and their answers are held up for seconds, and machines go on.
#[test]
fn rules_hold_when_commands_are_delayed_for_seconds() {
    for (seed, with) in [(490, false), (491, true)] {
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
        if with {
            faults.push(crash(41_000, ControllerSelector::Leader, 3_000));
        }
        play(
            &format!("a new leader: {with}"),
            seed,
            random_plans_of_seed(seed, 30),
            faults,
            280_000,
        );
    }
}
