//! Cancellations of jobs that others depend on, while the key-value store, the connections
//! between controllers or controllers fail.
//!
//! The bound is the protocol's: from `cancel_ms` after a user was told that a job is cancelled,
//! no job that needs it, directly or through others, may be reported as queued or running
//! (`Rule::Orphaned`). Once all faults are over, every job is answered for within 75 s
//! (`Rule::Unanswered`). All jobs are submitted, cancelled and polled as users do it.

mod common;

use common::{fault, Ms};
use forkshift_testkit::job_id as id;
use forkshift_testkit::{
    ControllerSelector, Day, DeploymentConfig, Fault, FaultKind, FaultSchedule, JobPlan, Simulation,
};
use forkshift_wire::users::{JobKind, JobStage, Priority};
use forkshift_wire::JobId;
use std::collections::BTreeSet;

const SEED: u64 = 1;
/// Number of faults that the soak program draws for a day by default.
const FAULTS_PER_DAY: usize = 8;

/// When the first job is submitted.
const SUBMIT_AT: Ms = 20_000;
/// When the first jobs of the pipelines are cancelled: all jobs are accepted by then.
const CANCEL_AT: Ms = 60_000;
/// Longer than the cancellation timeout of 35 s.
const OUTAGE_MS: Ms = 45_000;
/// Time from the end of the last fault to the end of the simulation.
const REST_MS: Ms = 120_000;
/// Time within which all cancellations are confirmed if the store is not out.
const CONFIRMATION_MS: Ms = 5_000;
/// Longer than any simulation, so that jobs end by cancellation only.
const RUN_MS: Ms = 1_000_000;

/// Three controllers with a store that takes as few requests as that of a small deployment.
fn small_deployment() -> DeploymentConfig {
    DeploymentConfig {
        controllers: 3,
        teams: 3,
        capacity: 2,
        store_rps: 80.0,
        store_write_rps: 30.0,
        ..DeploymentConfig::default()
    }
}

/// A job of one small task.
fn job(n: u32, at: Ms, team: u32, dependencies: &[u32]) -> JobPlan {
    let mut plan = JobPlan::plain(n, at, JobKind::Array, 1, RUN_MS);
    plan.spec.cpus = 0.5;
    plan.spec.gpus = 0.0;
    plan.spec.memory_gb = 0.5;
    plan.spec.priority = Priority::Low;
    plan.spec.team = format!("team-{team}");
    plan.spec.dependencies = dependencies.iter().map(|n| id(*n)).collect();
    plan
}

/// One job, three that need it, and one that needs those, by three teams.
fn pipeline(first: u32, at: Ms) -> Vec<JobPlan> {
    let middle = [first + 1, first + 2, first + 3];
    let mut plans = vec![job(first, at, 0, &[])];
    plans.extend(middle.map(|n| job(n, at, 1, &[first])));
    plans.push(job(first + 4, at, 2, &middle));
    plans
}

/// Pipelines of which the first jobs are cancelled at the same time.
fn cancelled_pipelines(count: u32) -> Vec<JobPlan> {
    let mut plans = Vec::new();
    for n in 0..count {
        let mut pipeline = pipeline(n * 5, SUBMIT_AT);
        pipeline[0].cancel_at = Some(CANCEL_AT + u64::from(n) * 5);
        plans.extend(pipeline);
    }
    plans
}

/// A chain of jobs, each of which needs the one before, by alternating teams. The first one is
/// cancelled.
fn cancelled_chain(length: u32, teams: u32) -> Vec<JobPlan> {
    let mut plans = vec![job(0, SUBMIT_AT, 0, &[])];
    plans[0].cancel_at = Some(CANCEL_AT);
    plans.extend((1..length).map(|n| job(n, SUBMIT_AT, n % teams, &[n - 1])));
    plans
}

/// The jobs that users cancel, and those that need them, directly or through others. Jobs are
/// planned after those that they need.
fn cancelled_jobs(plans: &[JobPlan]) -> BTreeSet<JobId> {
    let mut cancelled = BTreeSet::new();
    for plan in plans {
        let spec = &plan.spec;
        let needs_cancelled = spec.dependencies.iter().any(|id| cancelled.contains(id));
        if plan.cancel_at.is_some() || needs_cancelled {
            cancelled.insert(spec.id.clone());
        }
    }
    cancelled
}

/// Runs until a time, and checks that all rules are kept and that all jobs that are to be
/// cancelled are reported as cancelled by then.
fn run_until(
    end: Ms,
    name: &str,
    plans: Vec<JobPlan>,
    faults: Vec<Fault>,
    config: DeploymentConfig,
) {
    let cancelled = cancelled_jobs(&plans);
    let mut simulation = Simulation::with_config(SEED, plans, faults, config);
    simulation.run_until(end);
    let checker = &simulation.checker;
    assert_eq!(checker.violations, vec![], "{name}");
    let is_cancelled = |id: &&JobId| checker.final_stage(id) == Some(JobStage::Cancelled);
    let others: Vec<&JobId> = cancelled.iter().filter(|id| !is_cancelled(id)).collect();
    assert_eq!(others, Vec::<&JobId>::new(), "{name}: not cancelled");
}

/// Like [`run_until`], until a while after the last fault.
fn run(name: &str, plans: Vec<JobPlan>, faults: Vec<Fault>, config: DeploymentConfig) {
    let last_fault_at = faults.iter().map(|fault| fault.at).max();
    let end = last_fault_at.unwrap_or(CANCEL_AT) + OUTAGE_MS + REST_MS;
    run_until(end, name, plans, faults, config);
}

fn outage(at: Ms) -> Fault {
    fault(at, FaultKind::StoreOutage(OUTAGE_MS))
}

fn peer_partitions(at: Ms, controllers: usize, time: Ms) -> Vec<Fault> {
    let partition = |node| FaultKind::PeerPartition {
        node,
        peers: None,
        time,
        holds_messages: false,
    };
    (0..controllers)
        .map(|node| fault(at, partition(node)))
        .collect()
}

/// Guards against jobs that are called queued since only their direct dependencies, which are
/// not recorded as cancelled yet, were looked at: by the holder, or by a controller that answers
/// from the job's record.
#[test]
fn jobs_behind_a_cancelled_one_are_not_called_queued_after_a_long_outage() {
    for delay_ms in [700, 1_500, 3_000] {
        let faults = vec![outage(CANCEL_AT + delay_ms)];
        run(
            "outage",
            cancelled_pipelines(40),
            faults,
            small_deployment(),
        );
    }
}

/// Guards against a cancellation that goes down a chain one recorded job at a time: the last
/// job of a chain of any length, over any number of shards, is as certain as the second.
#[test]
fn the_last_job_of_a_long_chain_is_not_called_queued_after_a_long_outage() {
    for (length, teams) in [(4, 2), (5, 3), (12, 3), (60, 2)] {
        let faults = vec![outage(CANCEL_AT + 700)];
        let plans = cancelled_chain(length, teams);
        run(
            &format!("chain of {length}"),
            plans,
            faults,
            small_deployment(),
        );
    }
}

/// Guards against controllers that know nothing when they start, take over or return: the
/// holder or all controllers restart at the end of the outage, or the store has refused the
/// holder alone.
#[test]
fn a_new_holder_does_not_call_jobs_behind_a_cancelled_one_queued() {
    let last = ControllerSelector::HolderOfJob(id(4));
    let middle = ControllerSelector::HolderOfJob(id(1));
    let crash = |count| FaultKind::Crash {
        node: 0,
        count,
        restart_after: 2_000,
    };
    let outage_at = CANCEL_AT + 1_500;
    let outage_end = outage_at + OUTAGE_MS;
    let lockout = FaultKind::StoreLockout {
        node: 0,
        time: OUTAGE_MS,
    };
    let cases = [
        (
            "the last job's holder",
            vec![
                outage(outage_at),
                fault(outage_end, crash(1).at(last.clone())),
            ],
        ),
        (
            "the middle jobs' holder",
            vec![
                outage(outage_at),
                fault(outage_end + 500, crash(1).at(middle.clone())),
            ],
        ),
        (
            "all in the outage",
            vec![outage(outage_at), fault(outage_end - 3_000, crash(3))],
        ),
        (
            "all after the outage",
            vec![outage(outage_at), fault(outage_end + 1_000, crash(3))],
        ),
        (
            "the last job's holder is refused",
            vec![fault(CANCEL_AT - 1_000, lockout.clone().at(last))],
        ),
        (
            "the middle jobs' holder is refused",
            vec![fault(CANCEL_AT - 1_000, lockout.at(middle))],
        ),
    ];
    for (name, faults) in cases {
        run(name, cancelled_pipelines(40), faults, small_deployment());
    }
}

/// Guards against a cancellation that is told to other controllers once, by a message that may
/// be lost, and then noticed only by reads whose pace falls with the number of dependencies.
#[test]
fn jobs_behind_a_cancelled_one_are_cancelled_while_controllers_are_cut_from_each_other() {
    let mut plans = Vec::new();
    for list in 0..18 {
        let first = list * 7;
        let runs: Vec<u32> = (first..first + 6).collect();
        plans.extend(runs.iter().map(|n| job(*n, SUBMIT_AT, 0, &[])));
        plans[first as usize + 5].cancel_at = Some(CANCEL_AT);
        plans.push(job(first + 6, SUBMIT_AT, 1, &runs));
    }
    let config = small_deployment();
    let faults = peer_partitions(CANCEL_AT - 1_000, 3, 60_000);
    // The cancellations are confirmed some seconds after their requests.
    let end = CANCEL_AT + CONFIRMATION_MS + config.cancel_ms;
    run_until(end, "cut from each other", plans, faults, config);
}

/// Guards against answers that are refused for longer the more dependencies a controller has to
/// look after: jobs that need one of many unfinished jobs are answered for by their holder.
#[test]
fn jobs_with_many_unfinished_dependencies_are_answered_for_by_their_holder() {
    let count = 56;
    let config = DeploymentConfig {
        controllers: 7,
        teams: 7,
        ..small_deployment()
    };
    let mut plans: Vec<JobPlan> = (0..count)
        .map(|n| job(n, SUBMIT_AT + u64::from(n) * 250, 0, &[]))
        .collect();
    for n in 0..7 {
        let needed: Vec<u32> = (0..count).filter(|needed| needed % 7 == n).collect();
        plans.push(job(100 + n, SUBMIT_AT + 20_000, 1, &needed));
        plans.push(job(200 + n, SUBMIT_AT + 20_000, 1, &[n]));
    }
    for plan in &mut plans {
        plan.target_controller = Some(ControllerSelector::HolderOfJob(plan.spec.id.clone()));
    }
    let mut simulation = Simulation::with_config(SEED, plans, vec![], config);
    simulation.run_until(SUBMIT_AT + 180_000);
    assert_eq!(simulation.checker.violations, vec![]);
}

/// Guards against a fan-in whose cancellation is noticed late: a few of the hundreds of jobs that
/// a job needs through others are cancelled, with and without messages between controllers and
/// a restart of all of them.
#[test]
fn cancelled_jobs_of_a_fan_in_of_hundreds_cancel_the_last() {
    let (groups, group_size) = (10, 40);
    let first_of = |group: u32| group * (group_size + 1);
    let last = first_of(groups);
    let plans = || {
        let mut plans = Vec::new();
        let mut joins = Vec::new();
        for group in 0..groups {
            let first = first_of(group);
            let needed: Vec<u32> = (first..first + group_size).collect();
            plans.extend(needed.iter().map(|n| job(*n, 2_000, n % 2, &[])));
            plans.push(job(first + group_size, 2_000, 1, &needed));
            joins.push(first + group_size);
        }
        for group in 0..groups {
            // The user of the cancelled job tells only its holder.
            let cancelled = &mut plans[(first_of(group) + 3) as usize];
            cancelled.cancel_at = Some(CANCEL_AT);
            let holder = ControllerSelector::HolderOfJob(cancelled.spec.id.clone());
            cancelled.target_controller = Some(holder);
        }
        plans.push(job(last, 2_000, 2, &joins));
        plans
    };
    let config = DeploymentConfig {
        store_rps: 200.0,
        store_write_rps: 80.0,
        ..small_deployment()
    };
    let crash = FaultKind::Crash {
        node: 0,
        count: 3,
        restart_after: 2_000,
    };
    let in_time = CANCEL_AT + CONFIRMATION_MS + config.cancel_ms;
    let after_outage = CANCEL_AT + OUTAGE_MS + REST_MS;
    let no_messages = peer_partitions(CANCEL_AT - 1_000, 3, 60_000);
    let outage = outage(CANCEL_AT + 400);
    let restart = fault(CANCEL_AT + OUTAGE_MS, crash);
    let cases = [
        ("no fault", vec![], in_time),
        ("no messages", no_messages, in_time),
        ("outage", vec![outage.clone()], after_outage),
        ("restart", vec![outage, restart], after_outage),
    ];
    for (name, faults, end) in cases {
        run_until(end, name, plans(), faults, config);
    }
}

/// Guards against the same on random days: on each of these, jobs were called queued long after
/// a job that they need was confirmed as cancelled.
#[test]
fn rules_hold_on_random_days_that_once_orphaned_jobs() {
    for seed in [900_070, 470_107, 473_098, 473_207, 475_155, 476_009] {
        let mut day = Day::new(seed, FAULTS_PER_DAY, FaultSchedule::Upgrade);
        day.play();
        let violations = &day.simulation.checker.violations;
        assert_eq!(*violations, vec![], "seed {seed}");
    }
}
