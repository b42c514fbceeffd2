//! Defective jobs fail on every machine until their users cancel them. The scheduler must
//! retry them with increasing delays and not lose them, decommission no healthy machine
//! because of them, still decommission faulty machines, and not delay other jobs.

use forkshift_testkit::job_id as id;
use forkshift_testkit::{
    ControllerSelector, DeploymentConfig, Fault, FaultKind, JobDefect, JobPlan, MachineFault,
    MachineSelector, Ms, Simulation,
};
use forkshift_wire::users::{JobKind, JobSpec};
use forkshift_wire::{JobId, MachineId};
use std::collections::BTreeMap;

/// The recorded reason for decommissioning a machine on which tasks of several jobs fail.
const FAULTY_REASON: &str = "it fails what it starts";
/// When the first defective job is submitted, and when all of them are cancelled.
const DEFECTIVE_FROM: Ms = 40_000;
const CANCEL_AT: Ms = 220_000;
const END: Ms = 270_000;
/// The lowest number of a healthy array job; defective jobs have lower numbers.
const FIRST_HEALTHY_JOB: u32 = 100;
const TWO_MINUTES: Ms = 120_000;

fn plan(n: u32, at: Ms, kind: JobKind, tasks: u32, run_ms: Ms) -> JobPlan {
    let mut plan = JobPlan::plain(n, at, kind, tasks, run_ms);
    plan.spec.gpus = 0.0;
    plan
}

/// The machines that jobs may run on.
#[derive(Clone, Copy, Debug)]
enum Fleet {
    Mixed,
    OneType,
    /// This many machines of one type in one zone; the cloud offers no more.
    Few(u32),
}

impl Fleet {
    fn size(self) -> DeploymentConfig {
        let defaults = DeploymentConfig::default();
        let capacity = match self {
            Self::Few(n) => n,
            _ => defaults.capacity,
        };
        DeploymentConfig {
            capacity,
            ..defaults
        }
    }

    fn restrict(self, spec: &mut JobSpec) {
        if !matches!(self, Self::Mixed) {
            spec.machine_types = Some(vec!["c8".to_owned()]);
        }
        if matches!(self, Self::Few(_)) {
            spec.zone = Some("b".to_owned());
        }
    }
}

/// Healthy jobs of two teams: a one-task array job every `interval` milliseconds, and a
/// service of each team. A fleet of few machines has one team only.
fn healthy_jobs(fleet: Fleet, interval: Ms) -> Vec<JobPlan> {
    let mut plans = vec![plan(0, 1_000, JobKind::Service, 1, 0)];
    // The service keeps a machine of the second team up. Without it the machine would be
    // returned and provisioned again, and random boot times would change the waits.
    if !matches!(fleet, Fleet::Few(_)) {
        let mut other = plan(50, 1_000, JobKind::Service, 1, 0);
        other.spec.team = "team-1".to_owned();
        plans.push(other);
    }
    for (n, at) in (5_000..200_000).step_by(interval as usize).enumerate() {
        let mut plan = plan(FIRST_HEALTHY_JOB + n as u32, at, JobKind::Array, 1, 5_000);
        // The teams may be in shards of two controllers, which cannot share one machine.
        if n % 2 == 1 && !matches!(fleet, Fleet::Few(_)) {
            plan.spec.team = "team-1".to_owned();
        }
        plans.push(plan);
    }
    for plan in &mut plans {
        fleet.restrict(&mut plan.spec);
    }
    plans
}

/// Kind, number of tasks and defect of a job.
type DefectiveJob = (JobKind, u32, JobDefect);

fn defective_jobs(fleet: Fleet, jobs: &[DefectiveJob]) -> Vec<JobPlan> {
    let one = |(n, (kind, tasks, defect)): (usize, &DefectiveJob)| {
        let at = DEFECTIVE_FROM + 500 * n as Ms;
        let mut plan = plan(1 + n as u32, at, *kind, *tasks, 30_000);
        plan.defect = Some(*defect);
        plan.cancel_at = Some(CANCEL_AT);
        fleet.restrict(&mut plan.spec);
        plan
    };
    jobs.iter().enumerate().map(one).collect()
}

/// The result of one simulation.
struct Outcome {
    simulation: Simulation,
    /// Machines decommissioned as faulty, with the time in milliseconds.
    decommissioned_at: BTreeMap<MachineId, Ms>,
    /// The longest time in milliseconds from a healthy job's submission to its first start.
    longest_wait: Ms,
}

fn run_simulation(plans: Vec<JobPlan>, faults: Vec<Fault>, fleet: Fleet) -> Outcome {
    let healthy_jobs: Vec<(JobId, Ms)> = plans
        .iter()
        .filter(|p| p.defect.is_none())
        .map(|p| (p.spec.id.clone(), p.submit_at))
        .collect();
    let mut simulation = Simulation::with_config(7, plans, faults, fleet.size());
    let mut decommissioned_at = BTreeMap::new();
    while simulation.now() < END {
        simulation.run_until(simulation.now() + 1_000);
        for (machine, why) in simulation.decommissioned() {
            if why == FAULTY_REASON && !decommissioned_at.contains_key(machine) {
                decommissioned_at.insert(machine.clone(), simulation.now());
            }
        }
    }
    let wait = |(id, at): &(JobId, Ms)| simulation.checker.began_at(id).unwrap_or(END) - at;
    let longest_wait = healthy_jobs.iter().map(wait).max().unwrap_or(0);
    Outcome {
        simulation,
        decommissioned_at,
        longest_wait,
    }
}

/// Violated checker rules and jobs that were not served.
fn rule_violations(simulation: &Simulation) -> Vec<String> {
    let violations = simulation
        .checker
        .violations
        .iter()
        .map(|violation| format!("{violation:?}"));
    violations.chain(simulation.unfinished_jobs()).collect()
}

/// The number of task failures of a job with `from <= time < to`.
fn failures(simulation: &Simulation, id: &JobId, from: Ms, to: Ms) -> usize {
    let all = simulation.checker.failures.iter();
    all.filter(|(at, task, _)| task.job == *id && (from..to).contains(at))
        .count()
}

/// Upper bound for the failures of a defective job in the last two minutes before its
/// cancellation, per task that is retried at a time.
const MAX_FAILURES_IN_LAST_TWO_MINUTES: usize = 8;
/// Upper bound for all failures of a defective job, apart from the first failure of each
/// of its tasks.
const MAX_RETRY_FAILURES: usize = 40;
/// How much longer a healthy job may wait than in a simulation without defective jobs.
const MAX_EXTRA_WAIT_MS: Ms = 15_000;
/// Machines that may be provisioned for each defective job, besides those for all the
/// tasks that its team's limit allows at once: until its tasks have failed, a defective
/// job cannot be distinguished from a healthy one.
const MAX_EXTRA_MACHINES_PER_JOB: usize = 6;
/// Tasks that fit on one machine, and tasks that a team's limit allows at a time.
const TASKS_PER_MACHINE: u32 = 4;
const TASK_LIMIT_PER_TEAM: u32 = 48;

/// Machines needed for all tasks of the defective jobs before the first has failed.
fn initial_demand(jobs: &[DefectiveJob]) -> usize {
    let tasks: u32 = jobs.iter().map(|(_, tasks, _)| tasks).sum();
    tasks.min(TASK_LIMIT_PER_TEAM).div_ceil(TASKS_PER_MACHINE) as usize
}

/// Without a retry delay, a defective job fails several times a second, uses up the team's
/// limit and makes healthy machines look faulty. Each defect is compared with a simulation
/// of the same healthy jobs alone.
#[test]
fn retries_of_defective_jobs_are_delayed_and_do_not_affect_other_jobs() {
    const HEALTHY_JOB_INTERVAL: Ms = 6_000;
    use JobDefect::{FailsAfter, FailsAtStart};
    use JobKind::{Array, Gang, Service};
    let sets: [(&str, Vec<DefectiveJob>); 8] = [
        ("array at once", vec![(Array, 200, FailsAtStart)]),
        ("array after 4 s", vec![(Array, 200, FailsAfter(4_000))]),
        ("gang at once", vec![(Gang, 3, FailsAtStart)]),
        ("gang after 4 s", vec![(Gang, 3, FailsAfter(4_000))]),
        ("service at once", vec![(Service, 3, FailsAtStart)]),
        ("service after 4 s", vec![(Service, 3, FailsAfter(4_000))]),
        (
            "four at once",
            vec![
                (Array, 5, FailsAtStart),
                (Service, 1, FailsAtStart),
                (Gang, 2, FailsAtStart),
                (Service, 2, FailsAtStart),
            ],
        ),
        (
            "four of both kinds",
            vec![
                (Array, 5, FailsAfter(3_000)),
                (Service, 1, FailsAtStart),
                (Gang, 2, FailsAfter(6_000)),
                (Service, 2, FailsAfter(1_000)),
            ],
        ),
    ];
    let mut errors = Vec::new();
    for fleet in [Fleet::Mixed, Fleet::OneType, Fleet::Few(1), Fleet::Few(2)] {
        let baseline = run_simulation(healthy_jobs(fleet, HEALTHY_JOB_INTERVAL), vec![], fleet);
        let violations = rule_violations(&baseline.simulation);
        assert_eq!(violations, Vec::<String>::new(), "{fleet:?}");
        for (set, jobs) in &sets {
            let name = format!("{set}, {fleet:?}");
            let mut plans = healthy_jobs(fleet, HEALTHY_JOB_INTERVAL);
            plans.extend(defective_jobs(fleet, jobs));
            let outcome = run_simulation(plans, vec![], fleet);
            let mut check = |holds: bool, what: String| {
                if !holds {
                    errors.push(format!("{name}: {what}"));
                }
            };
            for what in rule_violations(&outcome.simulation) {
                check(false, what);
            }
            let decommissioned = &outcome.decommissioned_at;
            check(
                decommissioned.is_empty(),
                format!("healthy machines decommissioned: {decommissioned:?}"),
            );
            let (wait, before) = (outcome.longest_wait, baseline.longest_wait);
            check(
                wait <= before + MAX_EXTRA_WAIT_MS,
                format!("a healthy job waited {wait} ms, {before} ms without defective jobs"),
            );
            let (provisioned, before) = (
                outcome.simulation.provisioned_machines(),
                baseline.simulation.provisioned_machines(),
            );
            check(
                provisioned
                    <= before + initial_demand(jobs) + MAX_EXTRA_MACHINES_PER_JOB * jobs.len(),
                format!("{provisioned} machines provisioned, {before} without defective jobs"),
            );
            for n in 1..=jobs.len() as u32 {
                let cancelled = outcome.simulation.cancelled_at(&id(n));
                let Some(at) = cancelled else {
                    check(false, format!("{} is not cancelled", id(n)));
                    continue;
                };
                check(
                    at < CANCEL_AT + 5_000,
                    format!("{} cancelled at {at}", id(n)),
                );
                let count = |from, to| failures(&outcome.simulation, &id(n), from, to);
                let late = count(at + 5_000, END);
                check(late == 0, format!("{} failed after cancellation", id(n)));
                let last = count(CANCEL_AT - TWO_MINUTES, CANCEL_AT);
                let tasks = jobs[n as usize - 1].1 as usize;
                // A gang is retried as a whole: all its tasks fail together.
                let (tasks_per_retry, first) = match jobs[n as usize - 1].0 {
                    Gang => (tasks, tasks),
                    _ => (1, tasks),
                };
                check(
                    (1..=MAX_FAILURES_IN_LAST_TWO_MINUTES * tasks_per_retry).contains(&last),
                    format!("{} failed {last} times in the last two minutes", id(n)),
                );
                let all = count(0, END);
                check(
                    all <= first + MAX_RETRY_FAILURES * tasks_per_retry,
                    format!("{} failed {all} times", id(n)),
                );
            }
        }
    }
    assert_eq!(errors, Vec::<String>::new());
}

/// A service with five replicas, each of which fills half of a machine, so that other jobs
/// have free capacity on five machines.
fn service_on_five_machines(fleet: Fleet) -> JobPlan {
    let mut plan = plan(60, 1_000, JobKind::Service, 5, 0);
    plan.spec.cpus = 5.0;
    fleet.restrict(&mut plan.spec);
    plan
}

/// Failures of defective jobs could hide those caused by a faulty machine. A machine that
/// turns faulty must be decommissioned about as fast as without defective jobs, and few
/// tasks of healthy jobs may fail on it until then.
#[test]
fn faulty_machines_are_decommissioned_while_defective_jobs_fail_elsewhere() {
    use JobDefect::{FailsAfter, FailsAtStart};
    use JobKind::{Array, Service};
    const HEALTHY_JOB_INTERVAL: Ms = 1_500;
    const FAULTY_FROM: Ms = 80_000;
    /// A healthy job that runs at `FAULTY_FROM`: tasks are being placed on its machine.
    const JOB_ON_FAULTY_MACHINE: u32 = 148;
    /// Bounds in milliseconds: with free capacity on other machines, and when a machine
    /// must boot first, which may take four times its nominal boot time.
    const DECOMMISSIONED_WITHIN_MS: [Ms; 2] = [16_000, 45_000];
    /// Tasks of healthy jobs that may fail on the faulty machine in the same two cases.
    const MAX_FAILED_TASKS: [usize; 2] = [3, 6];
    let sets: [(&str, Vec<DefectiveJob>); 3] = [
        ("alone", vec![]),
        ("a service at once", vec![(Service, 2, FailsAtStart)]),
        (
            "two of both kinds",
            vec![(Array, 5, FailsAfter(3_000)), (Service, 1, FailsAtStart)],
        ),
    ];
    let mut errors = Vec::new();
    for (has_free_capacity, fleet) in [
        (true, Fleet::Mixed),
        (true, Fleet::OneType),
        (false, Fleet::Mixed),
        (false, Fleet::OneType),
    ] {
        for (set, jobs) in &sets {
            let name = format!("{set}, {fleet:?}, free capacity elsewhere: {has_free_capacity}");
            let mut plans = healthy_jobs(fleet, HEALTHY_JOB_INTERVAL);
            plans.extend(defective_jobs(fleet, jobs));
            if has_free_capacity {
                plans.push(service_on_five_machines(fleet));
            }
            let which = MachineSelector::RunningJob(id(JOB_ON_FAULTY_MACHINE));
            let kind = FaultKind::Machines(which.clone(), MachineFault::FailTasks(END));
            let fault = Fault {
                at: FAULTY_FROM,
                kind,
            };
            let mut before =
                Simulation::with_config(7, plans.clone(), vec![fault.clone()], fleet.size());
            before.run_until(FAULTY_FROM - 10);
            let faulty = before.select_machines(&which);
            assert_eq!(faulty.len(), 1, "{name}");
            let outcome = run_simulation(plans, vec![fault], fleet);
            let mut check = |holds: bool, what: String| {
                if !holds {
                    errors.push(format!("{name}: {what}"));
                }
            };
            for what in rule_violations(&outcome.simulation) {
                check(false, what);
            }
            for machine in outcome.decommissioned_at.keys() {
                check(
                    faulty.contains(machine),
                    format!("healthy machine {machine} was decommissioned"),
                );
            }
            let within = DECOMMISSIONED_WITHIN_MS[usize::from(!has_free_capacity)];
            let decommissioned_after = outcome
                .decommissioned_at
                .get(&faulty[0])
                .map(|at| at - FAULTY_FROM);
            check(
                decommissioned_after.is_some_and(|after| after <= within),
                format!("decommissioned after {decommissioned_after:?} ms"),
            );
            let lost = outcome
                .simulation
                .checker
                .failures
                .iter()
                .filter(|(at, task, on)| {
                    *at >= FAULTY_FROM && faulty.contains(on) && task.job >= id(FIRST_HEALTHY_JOB)
                });
            let lost = lost.count();
            let most = MAX_FAILED_TASKS[usize::from(!has_free_capacity)];
            check(lost <= most, format!("{lost} tasks of healthy jobs failed"));
            println!(
                "{name}: decommissioned after {decommissioned_after:?} ms, \
                 {lost} tasks of healthy jobs failed"
            );
        }
    }
    assert_eq!(errors, Vec::<String>::new());
}

/// Failure counts are not stored, so a new shard holder has none. It must delay the retries
/// of defective jobs again after a few failures, and decommission no machine because of
/// them.
#[test]
fn a_new_holder_delays_retries_of_defective_jobs_after_a_few_failures() {
    use JobDefect::{FailsAfter, FailsAtStart};
    use JobKind::{Array, Gang, Service};
    const CRASH_AT: Ms = 120_000;
    /// Upper bound for the failures of a job after the change of its holder, apart from one
    /// per task.
    const MAX_FAILURES_AFTER_CHANGE: usize = 24;
    let jobs = [
        (Array, 5, FailsAfter(3_000)),
        (Service, 1, FailsAtStart),
        (Gang, 2, FailsAfter(6_000)),
        (Service, 2, FailsAtStart),
    ];
    for fleet in [Fleet::OneType, Fleet::Few(2)] {
        let (node, count, back) = (0, 1, 8_000);
        let kind = FaultKind::Crash {
            node,
            count,
            restart_after: back,
        }
        .at(ControllerSelector::HolderOfJob(id(1)));
        let fault = Fault { at: CRASH_AT, kind };
        let mut plans = healthy_jobs(fleet, 6_000);
        plans.extend(defective_jobs(fleet, &jobs));
        let outcome = run_simulation(plans, vec![fault], fleet);
        assert_eq!(
            rule_violations(&outcome.simulation),
            Vec::<String>::new(),
            "{fleet:?}"
        );
        assert!(
            outcome.decommissioned_at.is_empty(),
            "{fleet:?}: {:?}",
            outcome.decommissioned_at
        );
        for (n, (_, tasks, _)) in (1..).zip(&jobs) {
            let failed = failures(&outcome.simulation, &id(n), CRASH_AT, END);
            let most = MAX_FAILURES_AFTER_CHANGE + *tasks as usize;
            assert!(
                (1..=most).contains(&failed),
                "{fleet:?}: {} failed {failed} times",
                id(n)
            );
            assert!(
                outcome.simulation.cancelled_at(&id(n)).is_some(),
                "{fleet:?}"
            );
        }
    }
}

/// A gang that has been pending for long gets capacity reserved. A defective gang that needs
/// most of the only machine must get no reservation between its retries: other jobs must
/// start as early as without it.
#[test]
fn a_defective_gang_reserves_no_machines_between_retries() {
    use JobKind::{Array, Gang};
    const LONG_RUN_MS: Ms = 50_000;
    let fleet = Fleet::Few(1);
    let long_healthy_jobs = || -> Vec<JobPlan> {
        let one = |n| {
            plan(
                FIRST_HEALTHY_JOB + n,
                45_000 + Ms::from(n) * 20_000,
                Array,
                1,
                LONG_RUN_MS,
            )
        };
        let mut plans: Vec<JobPlan> = (0..8).map(one).collect();
        // The service has the machine provisioned before the other jobs are submitted.
        plans.push(plan(0, 1_000, JobKind::Service, 1, 0));
        for plan in &mut plans {
            fleet.restrict(&mut plan.spec);
        }
        plans
    };
    let baseline = run_simulation(long_healthy_jobs(), vec![], fleet);
    let mut plans = long_healthy_jobs();
    plans.extend(defective_jobs(fleet, &[(Gang, 3, JobDefect::FailsAtStart)]));
    for plan in plans.iter_mut().filter(|p| p.defect.is_some()) {
        plan.submit_at = 25_000;
    }
    let outcome = run_simulation(plans, vec![], fleet);
    assert_eq!(rule_violations(&outcome.simulation), Vec::<String>::new());
    assert!(
        failures(&outcome.simulation, &id(1), 0, 60_000) >= 6,
        "the gang failed too seldom to test the reservation"
    );
    let wait_of = |outcome: &Outcome, n: u32| {
        let at = 45_000 + Ms::from(n) * 20_000;
        outcome
            .simulation
            .checker
            .began_at(&id(FIRST_HEALTHY_JOB + n))
            .unwrap_or(END)
            - at
    };
    for n in 0..8 {
        let (wait, before) = (wait_of(&outcome, n), wait_of(&baseline, n));
        assert!(
            wait <= before + 2_000,
            "job {n} waited {wait} ms, {before} ms without the gang"
        );
    }
}
