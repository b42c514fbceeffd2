//! Requests of controllers that were executed arrive again, seconds to minutes later. No copy of
//! a start may run an attempt again that its worker has forgotten.

mod common;

use common::{assert_ran_and_rules_kept, fault, random_plans_of_seed, small_job, Ms};
use forkshift_testkit::{
    ControllerSelector, Day, DeploymentConfig, Fault, FaultKind, FaultSchedule, JobDefect, JobPlan,
    MachineFault, MachineSelector, RepeatedReceiver, Simulation,
};
use forkshift_wire::users::{JobKind, Priority};

/// Every command that a worker executes arrives there a second time.
fn repeated_commands() -> Fault {
    let kind = FaultKind::RepeatedRequests {
        receiver: RepeatedReceiver::Worker,
        percent: 100,
        time: 200_000,
    };
    fault(0, kind)
}

/// Jobs whose attempts end in each way: completed, failed, cancelled, and stopped for a job of a
/// higher priority.
fn jobs_that_end_in_each_way() -> Vec<JobPlan> {
    let mut preempted = small_job(0, 2_000, JobKind::Array, 8, 60_000);
    preempted.spec.priority = Priority::Low;
    let mut preempting = small_job(1, 20_000, JobKind::Service, 1, 0);
    preempting.spec.priority = Priority::Production;
    preempting.spec.gpus = 4.0;
    preempting.cancel_at = Some(45_000);
    let mut failing = small_job(2, 3_000, JobKind::Array, 2, 5_000);
    failing.defect = Some(JobDefect::FailsAtStart);
    failing.cancel_at = Some(60_000);
    let mut failing_late = small_job(3, 4_000, JobKind::Array, 2, 30_000);
    failing_late.defect = Some(JobDefect::FailsAfter(3_000));
    failing_late.cancel_at = Some(70_000);
    let mut cancelled = small_job(4, 5_000, JobKind::Gang, 3, 100_000);
    cancelled.cancel_at = Some(40_000);
    let mut saved = small_job(5, 6_000, JobKind::Gang, 2, 40_000);
    saved.spec.checkpoint_interval_s = 5.0;
    saved.spec.checkpoint_save_time_s = 1.0;
    let short = small_job(6, 7_000, JobKind::Array, 12, 3_000);
    vec![
        preempted,
        preempting,
        failing,
        failing_late,
        cancelled,
        saved,
        short,
    ]
}

/// Runs jobs while all commands are repeated, with further faults.
fn run_with_repeated_commands(name: &str, seed: u64, plans: Vec<JobPlan>, mut faults: Vec<Fault>) {
    faults.push(repeated_commands());
    // Few machines, so that jobs of a higher priority stop others.
    let config = DeploymentConfig {
        capacity: 1,
        ..DeploymentConfig::default()
    };
    let mut simulation = Simulation::with_config(seed, plans, faults, config);
    simulation.run_until(420_000);
    simulation.finish();
    let repeated = simulation.repeated_requests();
    assert!(repeated > 20, "{name}: {repeated} requests repeated");
    let restarted = &simulation.checker.restarted_attempts;
    assert_eq!(*restarted, vec![], "{name}: attempts started again");
    assert_ran_and_rules_kept(name, &simulation);
}

/// A start that was executed arrived again after its attempt was forgotten, under a token that
/// was still valid, and its task ran on two machines or after its cancellation. Attempts that
/// ended in any way are forgotten by calls and in responses to heartbeats, also by a new holder.
#[test]
fn a_repeated_start_runs_no_forgotten_attempt() {
    let node = 0;
    let at_holder = |kind: FaultKind| {
        let holder = ControllerSelector::HolderOfJob(forkshift_testkit::job_id(0));
        fault(22_000, kind.at(holder))
    };
    let machines = |kind| FaultKind::Machines(MachineSelector::All, kind);
    let time = 15_000;
    let cases = [
        ("no other fault", vec![]),
        (
            "the holder ends",
            vec![at_holder(FaultKind::Crash {
                node,
                count: 1,
                restart_after: 14_000,
            })],
        ),
        (
            "the holder restarts",
            vec![at_holder(FaultKind::Crash {
                node,
                count: 1,
                restart_after: 300,
            })],
        ),
        (
            "the holder loses the store",
            vec![at_holder(FaultKind::StoreLockout { node, time })],
        ),
        (
            "answers are lost",
            vec![fault(15_000, FaultKind::LostResponses(60_000))],
        ),
        (
            "commands are delayed",
            vec![fault(
                15_000,
                FaultKind::DelayedCommands {
                    percent: 40,
                    time: 60_000,
                },
            )],
        ),
        (
            "machines hang",
            vec![fault(22_000, machines(MachineFault::Hang(5_000)))],
        ),
        (
            "machines are not reached",
            vec![fault(22_000, machines(MachineFault::InboundLoss(5_000)))],
        ),
        (
            "heartbeats are lost",
            vec![fault(22_000, machines(MachineFault::OutboundLoss(5_000)))],
        ),
    ];
    for (index, (name, faults)) in cases.into_iter().enumerate() {
        let seed = 500 + index as u64;
        run_with_repeated_commands(name, seed, jobs_that_end_in_each_way(), faults);
    }
}

/// A failed attempt was started again 5.9 s after its first start, while controllers ended.
#[test]
fn a_repeated_start_runs_no_forgotten_attempt_while_controllers_end() {
    for seed in [502, 503] {
        let ends = [(24_000, 0), (31_000, 1), (39_000, 0)].map(|(at, node)| {
            let kind = FaultKind::Crash {
                node,
                count: 1,
                restart_after: 300,
            };
            fault(at, kind)
        });
        let plans = jobs_that_end_in_each_way();
        run_with_repeated_commands("controllers end", seed, plans, ends.to_vec());
    }
}

/// Random jobs while every command is repeated.
#[test]
fn repeated_starts_run_no_forgotten_attempt_of_random_jobs() {
    for seed in 520..526 {
        let plans = random_plans_of_seed(seed, 20);
        run_with_repeated_commands(&format!("seed {seed}"), seed, plans, Vec::new());
    }
}

/// Random days with repeated requests on which a rule was violated before workers had to see a
/// higher token than that of an attempt's start before they forgot the attempt.
#[test]
fn rules_hold_on_random_days_with_repeated_requests() {
    for (seed, schedule) in [
        // A task ran on two machines.
        (930_022, FaultSchedule::Upgrade),
        // A task ran on two machines, and its team exceeded its limit.
        (930_028, FaultSchedule::Upgrade),
        // Tasks ran after their cancellation.
        (910_002, FaultSchedule::Pairs),
        (920_064, FaultSchedule::Single),
    ] {
        let mut day = Day::with_repeats(seed, 8, schedule, 2);
        day.play();
        let restarted = &day.simulation.checker.restarted_attempts;
        assert_eq!(*restarted, vec![], "seed {seed}: attempts started again");
        assert_ran_and_rules_kept(&format!("seed {seed}"), &day.simulation);
    }
}

/// The transaction that wrote a provisioning intent took effect again after the intent's machine
/// was recorded, and the intent stayed: no job of its shard got a machine any more. A job that is
/// submitted after all copies has to be served in 90 s, also if the leader ends in between.
#[test]
fn a_job_gets_a_machine_after_provisioning_intents_were_repeated() {
    const LAST_COPY_AT: Ms = 190_000;
    const MAX_WAIT_MS: Ms = 90_000;
    let node = 0;
    let repeated = FaultKind::RepeatedRequests {
        receiver: RepeatedReceiver::Store,
        percent: 100,
        time: 60_000,
    };
    let crash = FaultKind::Crash {
        node,
        count: 1,
        restart_after: 5_000,
    };
    let crash = fault(150_000, crash.at(ControllerSelector::Leader));
    // When the service that took the first machine is cancelled, if it is: its machine is deleted
    // then, and a repeated intent names a machine that is gone.
    let cases = [
        ("the leader stays", 540, None, vec![]),
        ("the leader ends", 541, None, vec![crash.clone()]),
        ("the machine is deleted", 542, Some(30_000), vec![]),
        ("both", 543, Some(30_000), vec![crash]),
    ];
    for (name, seed, cancel_at, further) in cases {
        let mut service = small_job(0, 2_000, JobKind::Service, 1, 0);
        service.spec.gpus = 8.0;
        service.cancel_at = cancel_at;
        let mut later = small_job(1, LAST_COPY_AT, JobKind::Array, 1, 3_000);
        later.spec.gpus = 4.0;
        let mut faults = vec![fault(0, repeated.clone())];
        faults.extend(further);
        let config = DeploymentConfig::default();
        let mut simulation = Simulation::with_config(seed, vec![service, later], faults, config);
        simulation.run_until(LAST_COPY_AT);
        assert!(simulation.repeated_requests() > 20, "{name}");
        simulation.run_until(LAST_COPY_AT + MAX_WAIT_MS);
        assert_ran_and_rules_kept(name, &simulation);
    }
}

/// Forgetting an attempt only under a higher token must not cost calls or waits where tasks are
/// short: with an end a second on one machine, a task needs at most one call for its start and
/// one to be forgotten, and it starts within two heartbeat intervals.
#[test]
fn short_tasks_need_one_call_to_start_and_one_to_be_forgotten() {
    const TASKS: u32 = 160;
    const FIRST_AT: Ms = 60_000;
    const INTERVAL_MS: Ms = 1_000;
    // Two heartbeat intervals.
    const MAX_START_MS: Ms = 2_000;
    // Holds the machine until the short tasks come.
    let mut first = small_job(0, 2_000, JobKind::Service, 1, 0);
    first.spec.gpus = 0.0;
    let short = (1..=TASKS).map(|n| {
        let at = FIRST_AT + INTERVAL_MS * Ms::from(n);
        small_job(n, at, JobKind::Array, 1, 7_000)
    });
    let mut plans: Vec<JobPlan> = [first].into_iter().chain(short).collect();
    for plan in &mut plans {
        plan.spec.zone = Some("a".to_owned());
        plan.spec.machine_types = Some(vec!["g8".to_owned()]);
    }
    let config = DeploymentConfig {
        capacity: 1,
        ..DeploymentConfig::default()
    };
    let mut simulation = Simulation::with_config(530, plans, Vec::new(), config);
    simulation.checker.observe();
    simulation.run_until(FIRST_AT);
    let calls_before = simulation.command_calls();
    simulation.checker.take_observations();
    simulation.run_until(FIRST_AT + INTERVAL_MS * Ms::from(TASKS) + 20_000);
    let calls = simulation.command_calls() - calls_before;
    let (starts, _) = simulation.checker.take_observations();
    assert_eq!(starts.len(), TASKS as usize, "started tasks");
    let max_wait = starts.iter().map(|start| start.after_ms).max();
    assert!(
        calls <= u64::from(2 * TASKS),
        "{calls} calls for {TASKS} tasks"
    );
    assert!(
        max_wait <= Some(MAX_START_MS),
        "a task waited {max_wait:?} ms"
    );
}
