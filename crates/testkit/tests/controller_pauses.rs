//! Controllers that stand still while their clocks run, and controllers that
//! are away for a minute or more.
//!
//! What waits in the sockets of a controller that stands still is delivered at
//! once when it goes on, in any order (`Simulation::wake`). By then others may hold
//! its shards and have told users what it does not know.

mod common;

use common::Ms;
use forkshift_testkit::job_id as id;
use forkshift_testkit::{
    ControllerSelector, DeploymentConfig, Fault, FaultKind, JobPlan, Simulation,
};
use forkshift_wire::users::JobKind;

/// When the trouble begins: all jobs of the first seconds run by then.
const TROUBLE: Ms = 60_000;
/// A controller's lease at the state service with the usual settings.
const NODE_LEASE: Ms = 2_500;

/// An array whose tasks run for a while.
fn job(n: u32, at: Ms, tasks: u32, run_ms: Ms, cancel_at: Option<Ms>) -> JobPlan {
    let mut plan = JobPlan::plain(n, at, JobKind::Array, tasks, run_ms);
    plan.spec.team = format!("team-{}", n % 4);
    plan.spec.cpus = 1.0;
    plan.spec.gpus = 1.0;
    plan.cancel_at = cancel_at;
    plan
}

/// Jobs that run through the trouble, jobs that are submitted around its
/// beginning and in it, and cancellations of both before, in and after it.
fn through_the_trouble(stop: Ms) -> Vec<JobPlan> {
    let mut plans = Vec::new();
    for n in 0..8 {
        let cancel_at = TROUBLE - 200 + u64::from(n) * (stop + 400) / 8;
        let cancel_at = (n % 2 == 1).then_some(cancel_at);
        plans.push(job(n, 2_000, 2, 150_000, cancel_at));
    }
    for n in 8..20 {
        let at = TROUBLE - 600 + u64::from(n - 8) * 150;
        let cancel_at = (n % 3 == 0).then_some(at + stop / 2 + 300);
        plans.push(job(n, at, 2, 20_000, cancel_at));
    }
    for n in 20..26 {
        let at = TROUBLE + stop * u64::from(n - 19) / 7;
        plans.push(job(n, at, 1, 10_000, None));
    }
    plans
}

/// What a controller does as it stops.
#[derive(Clone, Copy, PartialEq, Debug)]
enum Role {
    Leader,
    Holder,
    /// It has just been given the shard of a controller that ended.
    TakingOver,
    /// All controllers stop.
    All,
}

fn pause(node: usize, time: Ms) -> FaultKind {
    FaultKind::Pause { node, time }
}

/// Plays until controllers in a role stop for a while.
fn stop_in_role(simulation: &mut Simulation, role: Role, time: Ms) {
    simulation.run_until(TROUBLE);
    match role {
        Role::Leader => simulation.inject_fault(pause(0, time).at(ControllerSelector::Leader)),
        Role::Holder => {
            simulation.inject_fault(pause(0, time).at(ControllerSelector::HolderOfJob(id(0))));
        }
        Role::TakingOver => {
            let (node, count, restart_after) = (0, 1, 30_000);
            let before = simulation.epoch_of(&id(0));
            let crash = FaultKind::Crash {
                node,
                count,
                restart_after,
            };
            simulation.inject_fault(crash.at(ControllerSelector::HolderOfJob(id(0))));
            while simulation.epoch_of(&id(0)) == before {
                simulation.run_until(simulation.now() + 10);
                assert!(simulation.now() < TROUBLE + 10_000, "nobody takes over");
            }
            simulation.inject_fault(pause(0, time).at(ControllerSelector::HolderOfJob(id(0))));
        }
        Role::All => {
            for node in 0..3 {
                simulation.inject_fault(pause(node, time));
            }
        }
    }
}

/// Whoever goes on after standing still answers nothing older than what others
/// have told meanwhile, starts nothing that was cancelled meanwhile, and takes
/// no machine for silent that it could not have heard.
#[test]
fn rules_hold_when_a_paused_controller_resumes() {
    let stops = [NODE_LEASE / 2, NODE_LEASE + 500, 8_000, 40_000];
    let roles = [Role::Leader, Role::Holder, Role::TakingOver, Role::All];
    for (seed, (role, stop)) in (500..).zip(
        roles
            .iter()
            .flat_map(|r| stops.iter().map(move |s| (*r, *s))),
    ) {
        let name = format!("{role:?} for {stop} ms");
        let looks = FaultKind::StatusBursts(TROUBLE + stop + 20_000);
        // Calls are under way as it stops.
        let slow = FaultKind::SlowStore(3_000);
        let at = TROUBLE - 2_000;
        let faults = vec![Fault { at: 0, kind: looks }, Fault { at, kind: slow }];
        let plans = through_the_trouble(stop);
        let mut simulation =
            Simulation::with_config(seed, plans, faults, DeploymentConfig::default());
        stop_in_role(&mut simulation, role, stop);
        let ended = simulation.terminated_machines();
        simulation.run_until(TROUBLE + stop + 8_000);
        if stop < 10_000 {
            assert_eq!(
                simulation.terminated_machines(),
                ended,
                "{name}: a machine was given up"
            );
        }
        simulation.run_until(TROUBLE + stop + 200_000);
        assert_eq!(simulation.checker.violations, vec![], "{name}");
        let after_cancel = &simulation.checker.starts_after_cancel;
        assert_eq!(after_cancel, &vec![], "{name}: started though cancelled");
        let (over, all) = simulation.rate_limit_counts();
        assert_eq!(over, 0, "{name}: of {all} requests, beyond the limits");
        assert_eq!(
            simulation.unfinished_jobs(),
            Vec::<String>::new(),
            "{name}: unserved"
        );
    }
}

/// How long controllers are away, from now on.
type Away = [Option<Ms>; 3];

/// What is seen of a day on which controllers were away.
struct Seen {
    /// From when the first was there to when all that had been lost ran again.
    resumed: Ms,
    /// Tasks of the long jobs that had to begin anew.
    begun_anew: u64,
}

/// Long jobs, one of which is cancelled just before and two in the time, and
/// a few short ones for that time.
fn while_away() -> Vec<JobPlan> {
    let long = (0..8).map(|n| {
        let cancel_at = match n {
            1 => Some(TROUBLE - 150),
            3 => Some(TROUBLE + 500),
            5 => Some(TROUBLE + 30_000),
            _ => None,
        };
        job(n, 2_000, 2, 400_000, cancel_at)
    });
    let short = (8..14).map(|n| job(n, TROUBLE + u64::from(n - 8) * 10_000, 1, 2_000, None));
    long.chain(short).collect()
}

fn play_away(name: &str, seed: u64, away: Away) -> Seen {
    // The service takes little: a burst shows.
    let size = DeploymentConfig {
        store_rps: 80.0,
        store_write_rps: 30.0,
        ..DeploymentConfig::default()
    };
    let mut simulation = Simulation::with_config(seed, while_away(), Vec::new(), size);
    simulation.run_until(TROUBLE);
    let running = |simulation: &Simulation| -> usize {
        let kept = [0, 2, 4, 6].map(id);
        kept.iter()
            .map(|j| simulation.checker.running_tasks(j))
            .sum()
    };
    assert_eq!(running(&simulation), 8, "{name}: the long jobs run");
    let starts = simulation.checker.starts;
    for (node, restart_after) in away.into_iter().enumerate() {
        if let Some(restart_after) = restart_after {
            let count = 1;
            simulation.inject_fault(FaultKind::Crash {
                node,
                count,
                restart_after,
            });
        }
    }
    let first = away.iter().map(|a| a.unwrap_or(0)).min().unwrap_or(0);
    simulation.run_until(TROUBLE + first);
    let mut resumed = 0;
    while simulation.now() < TROUBLE + 200_000 {
        simulation.run_until(simulation.now() + 100);
        if running(&simulation) < 8 {
            resumed = simulation.now() - TROUBLE - first;
        }
    }
    let short = (8..14).filter(|n| simulation.checker.began_at(&id(*n)).is_some());
    let begun_anew = simulation.checker.starts - starts - short.count() as u64;
    assert_eq!(simulation.checker.violations, vec![], "{name}");
    let after_cancel = &simulation.checker.starts_after_cancel;
    assert_eq!(after_cancel, &vec![], "{name}: started though cancelled");
    for n in [1, 3, 5].map(id) {
        assert!(
            simulation.cancelled_at(&n).is_some(),
            "{name}: {n} is cancelled"
        );
    }
    let (over, all) = simulation.rate_limit_counts();
    assert_eq!(over, 0, "{name}: of {all} requests, beyond the limits");
    simulation.run_until(600_000);
    assert_eq!(
        simulation.unfinished_jobs(),
        Vec::<String>::new(),
        "{name}: unserved"
    );
    Seen {
        resumed,
        begun_anew,
    }
}

/// Controllers are away for a minute or more, and come back together or one by
/// one. What runs goes on if one has stayed; else it begins anew within
/// seconds, what was cancelled does not, and the state service is not flooded.
#[test]
fn rules_hold_when_controllers_were_down_for_a_minute() {
    let (minute, more) = (Some(60_000), Some(90_000));
    let cases: [(&str, Away); 6] = [
        ("one", [minute, None, None]),
        ("most, together", [minute, minute, None]),
        ("most, one by one", [Some(60_000), Some(75_000), None]),
        ("all, together", [minute, minute, minute]),
        ("all, one by one", [minute, Some(65_000), more]),
        (
            "all, in the same second",
            [minute, Some(60_300), Some(60_900)],
        ),
    ];
    for (seed, (name, away)) in (540..).zip(cases) {
        let seen = play_away(name, seed, away);
        if away.contains(&None) {
            assert_eq!(seen.begun_anew, 0, "{name}: what ran goes on");
        }
        assert!(seen.resumed < 12_000, "{name}: {} ms", seen.resumed);
    }
}
