//! Controllers whose process is paused while their clock runs, and controllers that are down
//! for a minute or more.
//!
//! Messages buffered in the sockets of a paused controller are delivered all at once, in any
//! order, when it resumes (`Simulation::wake`). By then other controllers may hold its shards
//! and have reported to users states that it has not read.

mod common;

use common::Ms;
use forkshift_testkit::job_id as id;
use forkshift_testkit::{
    ControllerSelector, DeploymentConfig, Fault, FaultKind, JobPlan, MachineFault, MachineSelector,
    Simulation,
};
use forkshift_wire::users::JobKind;
use std::collections::BTreeSet;

/// When controllers pause or crash: all jobs submitted in the first seconds run by then.
const FAULT_AT: Ms = 60_000;
/// A controller's lease at the state service with the default settings.
const NODE_LEASE_MS: Ms = 2_500;

/// An array of small tasks, in one of four teams by its number.
fn job(n: u32, at: Ms, tasks: u32, run_ms: Ms, cancel_at: Option<Ms>) -> JobPlan {
    let mut plan = JobPlan::plain(n, at, JobKind::Array, tasks, run_ms);
    plan.spec.team = format!("team-{}", n % 4);
    plan.spec.cpus = 1.0;
    plan.spec.gpus = 1.0;
    plan.cancel_at = cancel_at;
    plan
}

/// Jobs that run before, during and after a pause of `pause_ms`, jobs that are submitted
/// around its beginning and during it, and cancellations before, during and after it.
fn jobs_around_pause(pause_ms: Ms) -> Vec<JobPlan> {
    let mut plans = Vec::new();
    for n in 0..8 {
        let cancel_at = FAULT_AT - 200 + u64::from(n) * (pause_ms + 400) / 8;
        let cancel_at = (n % 2 == 1).then_some(cancel_at);
        plans.push(job(n, 2_000, 2, 150_000, cancel_at));
    }
    for n in 8..20 {
        let at = FAULT_AT - 600 + u64::from(n - 8) * 150;
        let cancel_at = (n % 3 == 0).then_some(at + pause_ms / 2 + 300);
        plans.push(job(n, at, 2, 20_000, cancel_at));
    }
    for n in 20..26 {
        let at = FAULT_AT + pause_ms * u64::from(n - 19) / 7;
        plans.push(job(n, at, 1, 10_000, None));
    }
    plans
}

/// The role of a controller at the time it is paused.
#[derive(Clone, Copy, PartialEq, Debug)]
enum Role {
    Leader,
    Holder,
    /// It has just acquired the shard of a crashed controller.
    AcquiringShard,
    /// All controllers are paused.
    All,
}

fn pause(node: usize, time: Ms) -> FaultKind {
    FaultKind::Pause { node, time }
}

/// Runs the simulation until `FAULT_AT` and pauses the controllers in a role for `time`.
fn pause_controllers(simulation: &mut Simulation, role: Role, time: Ms) {
    simulation.run_until(FAULT_AT);
    match role {
        Role::Leader => simulation.inject_fault(pause(0, time).at(ControllerSelector::Leader)),
        Role::Holder => {
            simulation.inject_fault(pause(0, time).at(ControllerSelector::HolderOfJob(id(0))));
        }
        Role::AcquiringShard => {
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
                assert!(
                    simulation.now() < FAULT_AT + 10_000,
                    "no controller acquires the shard"
                );
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

/// A controller that resumes after a pause must report no state older than one reported by
/// others, start no task of a job cancelled meanwhile, and not decommission machines whose
/// heartbeats it missed only because of its own pause.
#[test]
fn rules_hold_when_a_paused_controller_resumes() {
    let pauses_ms = [NODE_LEASE_MS / 2, NODE_LEASE_MS + 500, 8_000, 40_000];
    let roles = [Role::Leader, Role::Holder, Role::AcquiringShard, Role::All];
    for (seed, (role, pause_ms)) in (500..).zip(
        roles
            .iter()
            .flat_map(|r| pauses_ms.iter().map(move |s| (*r, *s))),
    ) {
        let name = format!("{role:?} paused for {pause_ms} ms");
        let status_bursts = FaultKind::StatusBursts(FAULT_AT + pause_ms + 20_000);
        // A slow state service leaves calls in flight when the pause begins.
        let slow_store = FaultKind::SlowStore(3_000);
        let at = FAULT_AT - 2_000;
        let faults = vec![
            Fault {
                at: 0,
                kind: status_bursts,
            },
            Fault {
                at,
                kind: slow_store,
            },
        ];
        let plans = jobs_around_pause(pause_ms);
        let mut simulation =
            Simulation::with_config(seed, plans, faults, DeploymentConfig::default());
        pause_controllers(&mut simulation, role, pause_ms);
        let terminated_before = simulation.terminated_machines();
        simulation.run_until(FAULT_AT + pause_ms + 8_000);
        if pause_ms < 10_000 {
            assert_eq!(
                simulation.terminated_machines(),
                terminated_before,
                "{name}: machines terminated"
            );
        }
        simulation.run_until(FAULT_AT + pause_ms + 200_000);
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

/// Guards against a holder that deletes a machine when it resumes after a pause, for a
/// cancellation of long ago, although another controller holds the machine by now, the cancelled
/// task is gone and a replica runs there. The machine hung for a moment, so the holder has not
/// learned that the cancelled task exited.
#[test]
fn a_holder_that_resumes_deletes_no_machine_that_another_holds() {
    let pause_ms = 40_000;
    let holder = || ControllerSelector::HolderOfJob(id(0));
    for seed in 600..610 {
        let mut replica = JobPlan::plain(0, 2_000, JobKind::Service, 1, 0);
        let mut cancelled = JobPlan::plain(1, 2_000, JobKind::Array, 1, 300_000);
        cancelled.cancel_at = Some(FAULT_AT + 300);
        for plan in [&mut replica, &mut cancelled] {
            plan.spec.cpus = 1.0;
            plan.spec.gpus = 1.0;
            plan.spec.zone = Some("a".to_owned());
            plan.spec.machine_types = Some(vec!["g8".to_owned()]);
            plan.target_controller = Some(holder());
        }
        let size = DeploymentConfig {
            capacity: 1,
            poll_ms: 200,
            ..DeploymentConfig::default()
        };
        let plans = vec![replica, cancelled];
        let mut simulation = Simulation::with_config(seed, plans, Vec::new(), size);
        simulation.run_until(FAULT_AT);
        let machines_of = |simulation: &Simulation, n| {
            let tasks = simulation.tasks_of(&BTreeSet::from([id(n)]));
            tasks.into_iter().map(|(_, machine, _)| machine).next()
        };
        let shared = machines_of(&simulation, 0);
        assert!(shared.is_some() && shared == machines_of(&simulation, 1));
        let hang = MachineFault::Hang(2_000);
        let machine = MachineSelector::RunningJob(id(1));
        simulation.inject_fault(FaultKind::Machines(machine, hang));
        simulation.run_until(FAULT_AT + 1_000);
        assert!(simulation.cancelled_at(&id(1)).is_some(), "seed {seed}");
        let epoch = simulation.epoch_of(&id(0));
        simulation.inject_fault(pause(0, pause_ms).at(holder()));
        simulation.run_until(FAULT_AT + pause_ms);
        assert_ne!(
            simulation.epoch_of(&id(0)),
            epoch,
            "seed {seed}: no new holder"
        );
        assert_eq!(
            machines_of(&simulation, 1),
            None,
            "seed {seed}: not stopped"
        );
        assert_eq!(machines_of(&simulation, 0), shared, "seed {seed}: before");
        let terminated_before = simulation.terminated_machines();
        simulation.run_until(FAULT_AT + pause_ms + 30_000);
        assert_eq!(machines_of(&simulation, 0), shared, "seed {seed}: replica");
        let terminated = simulation.terminated_machines();
        assert_eq!(terminated, terminated_before, "seed {seed}: machines");
        assert_eq!(simulation.checker.violations, vec![], "seed {seed}");
    }
}

/// For each controller, how many milliseconds it is down from `FAULT_AT`; `None` for a
/// controller that keeps running.
type Downtimes = [Option<Ms>; 3];

/// Results of a simulation in which controllers were down.
struct DowntimeResult {
    /// Milliseconds from the first controller's restart, or from `FAULT_AT` if one kept
    /// running, until all long jobs ran again.
    resumed_after_ms: Ms,
    /// Tasks of the long jobs that were restarted.
    restarted_tasks: u64,
}

/// Long jobs, one of which is cancelled just before the controllers crash and two while they
/// are down, and short jobs submitted while they are down.
fn jobs_around_downtime() -> Vec<JobPlan> {
    let long = (0..8).map(|n| {
        let cancel_at = match n {
            1 => Some(FAULT_AT - 150),
            3 => Some(FAULT_AT + 500),
            5 => Some(FAULT_AT + 30_000),
            _ => None,
        };
        job(n, 2_000, 2, 400_000, cancel_at)
    });
    let short = (8..14).map(|n| job(n, FAULT_AT + u64::from(n - 8) * 10_000, 1, 2_000, None));
    long.chain(short).collect()
}

fn run_with_downtimes(name: &str, seed: u64, downtimes: Downtimes) -> DowntimeResult {
    // Low rate limits of the state service reveal a burst of requests after the restart.
    let size = DeploymentConfig {
        store_rps: 80.0,
        store_write_rps: 30.0,
        ..DeploymentConfig::default()
    };
    let mut simulation = Simulation::with_config(seed, jobs_around_downtime(), Vec::new(), size);
    simulation.run_until(FAULT_AT);
    let running = |simulation: &Simulation| -> usize {
        let uncancelled = [0, 2, 4, 6].map(id);
        uncancelled
            .iter()
            .map(|j| simulation.checker.running_tasks(j))
            .sum()
    };
    assert_eq!(
        running(&simulation),
        8,
        "{name}: running tasks of the long jobs"
    );
    let starts = simulation.checker.starts;
    for (node, restart_after) in downtimes.into_iter().enumerate() {
        if let Some(restart_after) = restart_after {
            let count = 1;
            simulation.inject_fault(FaultKind::Crash {
                node,
                count,
                restart_after,
            });
        }
    }
    let first_restart = downtimes.iter().map(|a| a.unwrap_or(0)).min().unwrap_or(0);
    simulation.run_until(FAULT_AT + first_restart);
    let mut resumed_after_ms = 0;
    while simulation.now() < FAULT_AT + 200_000 {
        simulation.run_until(simulation.now() + 100);
        if running(&simulation) < 8 {
            resumed_after_ms = simulation.now() - FAULT_AT - first_restart;
        }
    }
    let short = (8..14).filter(|n| simulation.checker.began_at(&id(*n)).is_some());
    let restarted_tasks = simulation.checker.starts - starts - short.count() as u64;
    assert_eq!(simulation.checker.violations, vec![], "{name}");
    let after_cancel = &simulation.checker.starts_after_cancel;
    assert_eq!(after_cancel, &vec![], "{name}: started though cancelled");
    for n in [1, 3, 5].map(id) {
        assert!(
            simulation.cancelled_at(&n).is_some(),
            "{name}: {n} is not cancelled"
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
    DowntimeResult {
        resumed_after_ms,
        restarted_tasks,
    }
}

/// Controllers are down for a minute or more and restart together or one by one. Running
/// tasks must continue if one controller kept running; otherwise they must be restarted
/// within 12 s, without those of cancelled jobs and without exceeding the rate limits of the
/// state service.
#[test]
fn rules_hold_when_controllers_were_down_for_a_minute() {
    let (one_minute, ninety_seconds) = (Some(60_000), Some(90_000));
    let cases: [(&str, Downtimes); 6] = [
        ("one", [one_minute, None, None]),
        ("most, together", [one_minute, one_minute, None]),
        ("most, one by one", [Some(60_000), Some(75_000), None]),
        ("all, together", [one_minute, one_minute, one_minute]),
        (
            "all, one by one",
            [one_minute, Some(65_000), ninety_seconds],
        ),
        (
            "all, in the same second",
            [one_minute, Some(60_300), Some(60_900)],
        ),
    ];
    for (seed, (name, downtimes)) in (540..).zip(cases) {
        let result = run_with_downtimes(name, seed, downtimes);
        if downtimes.contains(&None) {
            assert_eq!(result.restarted_tasks, 0, "{name}: restarted tasks");
        }
        assert!(
            result.resumed_after_ms < 12_000,
            "{name}: resumed after {} ms",
            result.resumed_after_ms
        );
    }
}
