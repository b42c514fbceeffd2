//! The rules about tasks on machines: a task is on one machine at a time, the job allows that
//! machine, the team stays within its limits, and the job was not cancelled too long ago.

use super::{Checker, Place, Rule};
use crate::Ms;
use forkshift_wire::users::{JobKind, JobSpec};
use forkshift_wire::{JobId, MachineId, TaskRef};
use std::collections::{BTreeMap, BTreeSet};

/// Tolerance for rounding errors when fractional amounts are compared.
const ROUNDING_TOLERANCE: f64 = 1e-6;

impl Checker {
    /// Records that a task has its image and starts. It counts as on its machine until
    /// [`Checker::on_task_ended`].
    pub fn on_task_started(&mut self, now: Ms, task: &TaskRef, place: Place) {
        self.starts += 1;
        *self.starts_by_job.entry(task.job.clone()).or_default() += 1;
        let Some(spec) = self.jobs.get(&task.job).cloned() else {
            return;
        };
        self.check_single_place(now, task, &place);
        self.measure_start(now, task, spec.priority);
        self.check_dependencies(now, &task.job, &task.to_string());
        self.check_place(now, task, &spec, &place);
        self.check_not_cancelled(now, task);
        let tasks = self.placements.entry(task.job.clone()).or_default();
        tasks.entry(task.index).or_default().push(place);
        let usage = self.team_usage.entry(spec.team.clone()).or_default();
        usage.add(&spec);
        // An array begins with its first task, a gang or service once all tasks run.
        let is_array = spec.kind == JobKind::Array;
        if is_array || self.running_tasks(&task.job) as u32 == spec.tasks {
            self.began_at.entry(task.job.clone()).or_insert(now);
        }
        self.check_quota(now, &spec.team);
    }

    /// Records that a worker starts an attempt that it has forgotten.
    pub(crate) fn on_attempt_restarted(&mut self, now: Ms, task: &TaskRef, machine: &MachineId) {
        let restart = (now, task.clone(), machine.clone());
        self.restarted_attempts.push(restart);
    }

    fn check_single_place(&mut self, now: Ms, task: &TaskRef, place: &Place) {
        if let Some(places) = self.places_of(task) {
            let details = format!("{task} on {} and {places:?}", place.machine);
            self.record_violation(Rule::RanTwice, now, details);
        }
    }

    fn check_place(&mut self, now: Ms, task: &TaskRef, spec: &JobSpec, place: &Place) {
        let tasks = self.placements.get(&task.job).into_iter().flatten();
        let others: Vec<&Place> = tasks
            .filter(|(index, _)| **index != task.index)
            .flat_map(|(_, places)| places)
            .collect();
        let in_same_zone = others.iter().filter(|other| other.zone == place.zone);
        let in_same_zone = in_same_zone.count() as u32;
        let types = spec.machine_types.as_ref();
        let is_wrong = types.is_some_and(|types| !types.contains(&place.machine_type))
            || spec.zone.as_ref().is_some_and(|zone| *zone != place.zone)
            || (place.spot && !spec.allow_spot)
            || (spec.require_same_zone && in_same_zone < others.len() as u32)
            || (spec.spread_over_zones && in_same_zone + 1 > spec.tasks.div_ceil(2));
        if is_wrong {
            self.record_violation(Rule::WrongPlace, now, format!("{task} on {place:?}"));
        }
    }

    fn check_not_cancelled(&mut self, now: Ms, task: &TaskRef) {
        let Some(at) = self.cancelled_at.get(&task.job) else {
            return;
        };
        let start = (now, now - at, task.clone());
        let is_late = now > at + self.cancel_ms;
        self.starts_after_cancel.push(start);
        if is_late {
            self.record_violation(Rule::RanCancelled, now, format!("{task} starts"));
        }
    }

    fn check_quota(&mut self, now: Ms, team: &str) {
        let Some(&(max_cpus, max_gpus)) = self.limits.get(team) else {
            return;
        };
        let usage = self.team_usage.get(team).copied().unwrap_or_default();
        let (cpus, gpus) = (usage.cpus(), usage.gpus());
        let is_over = |used: f64, max: f64| max > 0.0 && used > max + ROUNDING_TOLERANCE;
        if is_over(cpus, max_cpus) || is_over(gpus, max_gpus) {
            let details = format!("{team}: {cpus} CPUs, {gpus} GPUs");
            self.record_violation(Rule::Quota, now, details);
        }
    }

    /// Records that a task is no longer on a machine.
    pub fn on_task_ended(&mut self, task: &TaskRef, machine: &MachineId) {
        let tasks = self.placements.get_mut(&task.job);
        let Some(places) = tasks.and_then(|tasks| tasks.get_mut(&task.index)) else {
            return;
        };
        let index = places.iter().position(|place| place.machine == *machine);
        if let Some(index) = index {
            places.remove(index);
            self.release_usage(&task.job, 1);
        }
        self.remove_empty_placement(task);
    }

    /// Records that a task has completed. Repeated completions are ignored.
    pub fn on_task_completed(&mut self, now: Ms, task: &TaskRef) {
        let completed = self.completed_tasks.entry(task.job.clone()).or_default();
        let tasks = self.jobs.get(&task.job).map_or(0, |spec| spec.tasks);
        if completed.insert(task.index) && completed.len() as u32 == tasks {
            self.newly_completed.push(task.job.clone());
            self.record_ready_dependents(now, &task.job);
        }
    }

    /// Records that a task has failed on a machine.
    pub(crate) fn on_task_failed(&mut self, now: Ms, task: &TaskRef, machine: &MachineId) {
        self.failures.push((now, task.clone(), machine.clone()));
    }

    /// The machines that a task is on; none if it is on no machine.
    fn places_of(&self, task: &TaskRef) -> Option<&Vec<Place>> {
        self.placements.get(&task.job)?.get(&task.index)
    }

    /// Subtracts the resources of a number of a job's tasks from the usage of its team.
    fn release_usage(&mut self, id: &JobId, tasks: usize) {
        let Some(spec) = self.jobs.get(id) else {
            return;
        };
        if let Some(usage) = self.team_usage.get_mut(&spec.team) {
            for _ in 0..tasks {
                usage.remove(spec);
            }
        }
    }

    /// Removes the empty entries of a task that is on no machine.
    fn remove_empty_placement(&mut self, task: &TaskRef) {
        let Some(tasks) = self.placements.get_mut(&task.job) else {
            return;
        };
        if tasks.get(&task.index).is_some_and(Vec::is_empty) {
            tasks.remove(&task.index);
        }
        if tasks.is_empty() {
            self.placements.remove(&task.job);
        }
    }

    /// Checks that the tasks of cancelled jobs have left their machines in time. Tasks on `expired`
    /// machines, which hang and whose lease has expired, are left out: the worker has to kill them
    /// before it does anything else when it resumes. If a task outlives the hang, it is checked
    /// again. A reported task is removed, so that it is reported once.
    pub(super) fn check_cancelled_tasks(&mut self, now: Ms, expired: &BTreeSet<MachineId>) {
        for task in self.late_cancelled_tasks(now, expired) {
            let details = format!("{task} is still there");
            self.record_violation(Rule::RanCancelled, now, details);
            let tasks = self.placements.get_mut(&task.job);
            let places = tasks.and_then(|tasks| tasks.get_mut(&task.index));
            let removed = places.map_or(0, |places| std::mem::take(places).len());
            self.release_usage(&task.job, removed);
            self.remove_empty_placement(&task);
        }
    }

    fn late_cancelled_tasks(&self, now: Ms, expired: &BTreeSet<MachineId>) -> Vec<TaskRef> {
        let is_late = |id: &JobId| {
            let at = self.cancelled_at.get(id);
            at.is_some_and(|at| now > at + self.cancel_ms)
        };
        let is_counted = |places: &[Place]| {
            let mut machines = places.iter().map(|place| &place.machine);
            machines.any(|machine| !expired.contains(machine))
        };
        let jobs = self.placements.iter().filter(|(id, _)| is_late(id));
        jobs.flat_map(|(id, tasks)| {
            let late = tasks.iter().filter(|(_, places)| is_counted(places));
            late.map(|(index, _)| TaskRef {
                job: id.clone(),
                index: *index,
            })
        })
        .collect()
    }

    /// Whether a task has completed.
    pub fn is_task_completed(&self, task: &TaskRef) -> bool {
        let completed = self.completed_tasks.get(&task.job);
        completed.is_some_and(|completed| completed.contains(&task.index))
    }

    /// When a job began: an array with its first task, a gang or service once all tasks ran.
    pub fn began_at(&self, id: &JobId) -> Option<Ms> {
        self.began_at.get(id).copied()
    }

    /// Number of task starts of a job, restarts included.
    pub fn starts_of(&self, id: &JobId) -> u64 {
        self.starts_by_job.get(id).copied().unwrap_or(0)
    }

    /// Number of a job's tasks that are on machines.
    pub fn running_tasks(&self, id: &JobId) -> usize {
        self.placements.get(id).map_or(0, BTreeMap::len)
    }

    /// Number of tasks that are on machines.
    pub fn tasks_on_machines(&self) -> usize {
        self.placements.values().map(BTreeMap::len).sum()
    }
}
