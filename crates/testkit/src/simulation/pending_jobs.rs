//! Detection of jobs that stay pending although machines have free capacity for them.

use super::users::{User, UserState};
use super::Simulation;
use crate::worker::{Resources, Worker};
use forkshift_wire::users::{JobKind, JobSpec};
use forkshift_wire::workers::TaskStage;
use forkshift_wire::JobId;
use std::cell::OnceCell;
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// A machine on which tasks may be placed, and its free capacity.
struct MachineFreeCapacity<'a> {
    worker: &'a Worker,
    free: Resources,
}

/// Summary of the tasks on machines that have not exited.
#[derive(Default)]
struct Allocation<'a> {
    /// Jobs with at least one such task.
    jobs: BTreeSet<&'a JobId>,
    /// Resources that each team's tasks use.
    by_team: BTreeMap<&'a str, Resources>,
}

impl Simulation {
    /// Reports to the checker for each job whether it is pending without a task on any machine
    /// although there is free capacity for it.
    pub(super) fn check_pending_jobs(&mut self) {
        let allocation = self.allocation();
        let machines: OnceCell<Vec<MachineFreeCapacity>> = OnceCell::new();
        // Results are cached, as thousands of jobs with the same needs may be pending in a large
        // deployment.
        let mut results: HashMap<String, bool> = HashMap::new();
        let mut found = Vec::new();
        for user in &self.users {
            let spec = &user.plan.spec;
            let has_free_capacity = self.should_start_when_capacity_is_free(user)
                && !allocation.jobs.contains(&spec.id)
                && self.is_under_limit(spec, &allocation)
                && *results.entry(placement_key(spec)).or_insert_with(|| {
                    let machines = machines.get_or_init(|| self.machines_with_free_capacity());
                    has_free_capacity(machines, spec)
                });
            found.push((spec.id.clone(), has_free_capacity));
        }
        for (id, has_free_capacity) in found {
            self.checker
                .on_job_pending(self.now, &id, has_free_capacity);
        }
    }

    fn allocation(&self) -> Allocation<'_> {
        let mut allocation = Allocation::default();
        for worker in self.workers.by_id.values() {
            for (task, _) in worker.present_tasks() {
                let spec = &self.ground_truths[&task.job].spec;
                allocation.jobs.insert(&task.job);
                let used = allocation.by_team.entry(&spec.team).or_default();
                *used = used.plus(Resources::of_task(spec));
            }
        }
        allocation
    }

    /// Whether a job should begin as soon as there is free capacity: it is accepted, neither in a
    /// final stage nor being cancelled, and has no incomplete dependency. Jobs with a defect are left
    /// out, as their retries are delayed by a backoff.
    fn should_start_when_capacity_is_free(&self, user: &User) -> bool {
        let id = &user.plan.spec.id;
        let is_cancelled = user.plan.cancel_at.is_some_and(|at| at <= self.now);
        let is_over = self.checker.final_stage(id).is_some() || self.checker.is_job_completed(id);
        user.state == UserState::Polling
            && user.plan.defect.is_none()
            && !is_cancelled
            && !is_over
            && !self.checker.is_blocked(id)
    }

    /// Describes a job's specification, its holder and the tasks of its team, for the analysis of a
    /// run.
    pub fn describe_job(&self, id: &JobId) -> String {
        let Some(spec) = self
            .ground_truths
            .get(id)
            .map(|ground_truth| &ground_truth.spec)
        else {
            return format!("{id} was never submitted");
        };
        let mut team = Vec::new();
        for worker in self.workers.by_id.values() {
            for (task, stage) in worker.present_tasks() {
                if self.ground_truths[&task.job].spec.team == spec.team {
                    let worker = worker.describe(self.now);
                    team.push(format!("{task} {stage:?} on {worker}"));
                }
            }
        }
        let (holder, cancelled) = (self.holder_of(id), self.cancelled_at(id));
        format!("{spec:?}, held by {holder:?}, cancelled at {cancelled:?}; its team has {team:?}")
    }

    /// Whether a team stays within its limits if a job begins.
    fn is_under_limit(&self, spec: &JobSpec, allocation: &Allocation) -> bool {
        let used = allocation.by_team.get(spec.team.as_str());
        let used = used.copied().unwrap_or_default();
        let tasks = f64::from(tasks_needed_at_once(spec));
        let (max_cpus, max_gpus) = self.checker.team_limits(&spec.team);
        let is_under = |used: f64, max: f64| max == 0.0 || used <= max + 1e-6;
        is_under(used.cpus + tasks * spec.cpus, max_cpus)
            && is_under(used.gpus + tasks * spec.gpus, max_gpus)
    }

    /// Free capacity of all machines, except those with an announced reclaim.
    fn machines_with_free_capacity(&self) -> Vec<MachineFreeCapacity<'_>> {
        let workers = self.workers.by_id.values();
        workers
            .filter(|worker| worker.reclaimed_at.is_none())
            .map(|worker| MachineFreeCapacity {
                worker,
                free: worker.free_resources(&self.ground_truths),
            })
            .collect()
    }
}

impl Worker {
    /// Tasks that have not exited, with their stages.
    fn present_tasks(&self) -> impl Iterator<Item = (&forkshift_wire::TaskRef, TaskStage)> {
        let tasks = self.tasks.iter();
        let present = tasks.filter(|(_, local)| local.stage != TaskStage::Exited);
        present.map(|((task, _), local)| (task, local.stage))
    }
}

/// Number of a job's tasks that must be placed together for the job to begin.
fn tasks_needed_at_once(spec: &JobSpec) -> u32 {
    match spec.kind {
        JobKind::Array => 1,
        JobKind::Gang | JobKind::Service => spec.tasks,
    }
}

/// All properties of a job that determine whether machines have capacity for it, as a cache key.
fn placement_key(spec: &JobSpec) -> String {
    let resources = (spec.cpus, spec.gpus, spec.memory_gb);
    let place = (
        &spec.machine_types,
        &spec.zone,
        spec.allow_spot,
        spec.spread_over_zones,
        spec.require_same_zone,
    );
    format!(
        "{:?}",
        (tasks_needed_at_once(spec), spec.tasks, resources, place)
    )
}

/// Whether machines have free capacity for the tasks that must be placed together, under the job's
/// zone constraints.
fn has_free_capacity(machines: &[MachineFreeCapacity], spec: &JobSpec) -> bool {
    let mut tasks_by_zone: BTreeMap<&str, u32> = BTreeMap::new();
    for machine in machines.iter().filter(|m| is_allowed(m.worker, spec)) {
        let in_zone = tasks_by_zone.entry(&machine.worker.zone).or_default();
        *in_zone = in_zone.saturating_add(machine.free.tasks_that_fit(spec));
    }
    let needed = tasks_needed_at_once(spec);
    let max_in_zone = match spec.spread_over_zones {
        true => spec.tasks.div_ceil(2),
        false => needed,
    };
    let fitting = tasks_by_zone
        .values()
        .map(|tasks| (*tasks).min(max_in_zone));
    match spec.require_same_zone {
        true => fitting.max().unwrap_or(0) >= needed,
        false => fitting.sum::<u32>() >= needed,
    }
}

/// Whether a job's constraints on type, zone and spot allow a machine.
fn is_allowed(worker: &Worker, spec: &JobSpec) -> bool {
    let types = spec.machine_types.as_ref();
    types.is_none_or(|types| types.contains(&worker.machine_type))
        && spec.zone.as_ref().is_none_or(|zone| *zone == worker.zone)
        && (spec.allow_spot || !worker.spot)
}
