//! The rules of the protocol, checked against what truly happens.

mod dependencies;
mod observations;
mod usage;

pub use observations::{Observations, StartSeen};
use usage::Usage;

use crate::Ms;
use forkshift_wire::users::{JobKind, JobSpec, JobStage};
use forkshift_wire::{JobId, MachineId, TaskRef};
use std::collections::{BTreeMap, BTreeSet};

/// A rule that can be broken.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub enum Rule {
    /// A task starts while it is on another machine.
    RanTwice,
    /// A team's tasks use more than its limit.
    Quota,
    /// A task starts where its job does not allow it.
    WrongPlace,
    /// A task of a cancelled job is there too late.
    RanCancelled,
    /// An accepted job is not known.
    Forgotten,
    /// A job that nobody submitted is known.
    Invented,
    /// A job is called done before it is.
    NotDone,
    /// A final state was taken back.
    WentBack,
    /// A job that can not run, or is malformed, was accepted.
    Unfit,
    /// Such a job got another answer than on a quiet day.
    WrongAnswer,
    /// All troubles are over, and no question about a job is answered.
    Unanswered,
    /// All troubles are over, and a job waits though there is room for it.
    LeftWaiting,
    /// One of the largest jobs of its class begins too late.
    LateBegin,
    /// A task starts before all jobs that its job needs are done.
    TooEarly,
    /// A job is called queued or running long after one that it needs was
    /// cancelled.
    Orphaned,
}

/// With all troubles over, a question has to be answered within this.
const MAX_UNANSWERED_MS: Ms = 75_000;
/// With all troubles over, a job for which there is room has to begin within this.
const MAX_WAIT_MS: Ms = 90_000;
/// The largest jobs have to begin within this.
const MAX_BEGIN_MS: Ms = 240_000;
/// One in so many jobs of a class is one of its largest.
const LARGEST_JOB_FRACTION: usize = 10;

/// When troubles end.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub enum Quiescence {
    /// Not yet.
    #[default]
    NotYet,
    /// They have been over since then.
    Since(Ms),
}

/// Where a task is, for the checker.
#[derive(Clone, Debug)]
pub struct Place {
    /// Machine.
    pub machine: MachineId,
    /// Its type.
    pub machine_type: String,
    /// Its zone.
    pub zone: String,
    /// Whether it is a spot machine.
    pub spot: bool,
}

/// Watches starts, ends and answers.
#[derive(Default)]
pub struct Checker {
    limits: BTreeMap<String, (f64, f64)>,
    cancel_ms: Ms,
    jobs: BTreeMap<JobId, JobSpec>,
    /// Accepted jobs, with the count of answers by then.
    accepted: BTreeMap<JobId, u64>,
    cancel_requested: BTreeSet<JobId>,
    /// Final stages, with the count of answers by then.
    final_stages: BTreeMap<JobId, (JobStage, u64)>,
    /// Counts requests and answers, in order.
    last_sequence: u64,
    quiescence: Quiescence,
    /// Jobs about which a question is open, and since when.
    unanswered: BTreeMap<JobId, Ms>,
    /// Jobs that wait though there is room, and since when.
    waiting_with_room: BTreeMap<JobId, Ms>,
    /// When users first spoke of a job.
    first_requested_at: BTreeMap<JobId, Ms>,
    /// The longest time until a job was accepted.
    max_acceptance_ms: Ms,
    begun_at: BTreeMap<JobId, Ms>,
    /// Jobs that must not be accepted.
    must_refuse: BTreeSet<JobId>,
    /// Jobs whose last task has completed since this was last looked at.
    pub(crate) newly_completed: Vec<JobId>,
    cancelled_at: BTreeMap<JobId, Ms>,
    /// When the last job that a job needs completed.
    ready_at: BTreeMap<JobId, Ms>,
    completed_tasks: BTreeMap<JobId, BTreeSet<u32>>,
    /// Where the tasks of each job are that are on a machine.
    placements: BTreeMap<JobId, BTreeMap<u32, Vec<Place>>>,
    /// What each team's tasks on machines use.
    team_usage: BTreeMap<String, Usage>,
    /// What is noted for measurements, if anything is.
    pub(crate) observations: Option<Observations>,
    /// Starts seen.
    pub starts: u64,
    starts_by_job: BTreeMap<JobId, u64>,
    /// Starts of tasks whose job's cancellation had been confirmed: when, how
    /// long after it, and which.
    pub starts_after_cancel: Vec<(Ms, Ms, TaskRef)>,
    /// Tasks that failed: when, which, and on which machine.
    pub failures: Vec<(Ms, TaskRef, MachineId)>,
    /// What was broken, with when and how.
    pub broken: Vec<(Rule, Ms, String)>,
}

impl Checker {
    /// A checker for teams with limits on CPUs and GPUs; 0: no limit.
    pub fn new(limits: BTreeMap<String, (f64, f64)>, cancel_ms: Ms) -> Self {
        Self {
            limits,
            cancel_ms,
            ..Self::default()
        }
    }

    fn record_violation(&mut self, rule: Rule, now: Ms, what: String) {
        self.broken.push((rule, now, what));
    }

    /// A user submits a job for the first time.
    pub fn on_submitted(&mut self, spec: &JobSpec) {
        self.jobs.insert(spec.id.clone(), spec.clone());
    }

    /// A user asks to cancel a job.
    pub fn on_cancel_requested(&mut self, id: &JobId) {
        self.cancel_requested.insert(id.clone());
    }

    /// A task has its image and is on its machine from now on.
    pub fn on_task_started(&mut self, now: Ms, task: &TaskRef, place: Place) {
        self.starts += 1;
        *self.starts_by_job.entry(task.job.clone()).or_default() += 1;
        let Some(spec) = self.jobs.get(&task.job).cloned() else {
            return;
        };
        if let Some(places) = self.places_of(task) {
            let what = format!("{task} on {} and {places:?}", place.machine);
            self.record_violation(Rule::RanTwice, now, what);
        }
        self.observe_start(now, task, spec.priority);
        self.check_dependencies(now, &task.job, &task.to_string());
        let types = spec.types.as_ref();
        let tasks = self.placements.get(&task.job).into_iter().flatten();
        let others: Vec<&Place> = tasks
            .filter(|(index, _)| **index != task.index)
            .flat_map(|(_, p)| p)
            .collect();
        let same = others.iter().filter(|p| p.zone == place.zone).count() as u32;
        let wrong = types.is_some_and(|t| !t.contains(&place.machine_type))
            || spec.zone.as_ref().is_some_and(|z| *z != place.zone)
            || (place.spot && !spec.spot)
            || (spec.one_zone && same < others.len() as u32)
            || (spec.spread && same + 1 > spec.tasks.div_ceil(2));
        if wrong {
            self.record_violation(Rule::WrongPlace, now, format!("{task} on {place:?}"));
        }
        if let Some(at) = self.cancelled_at.get(&task.job) {
            let late = (now, now - at, task.clone());
            self.starts_after_cancel.push(late);
            if now > at + self.cancel_ms {
                self.record_violation(Rule::RanCancelled, now, format!("{task} starts"));
            }
        }
        let tasks = self.placements.entry(task.job.clone()).or_default();
        tasks.entry(task.index).or_default().push(place);
        self.team_usage
            .entry(spec.team.clone())
            .or_default()
            .add(&spec);
        // An array begins with any task, the others with all.
        let begins =
            spec.kind == JobKind::Array || self.running_tasks(&task.job) as u32 == spec.tasks;
        if begins {
            self.begun_at.entry(task.job.clone()).or_insert(now);
        }
        self.check_quota(now, &spec.team);
    }

    fn check_quota(&mut self, now: Ms, team: &str) {
        let Some(&(cpus_max, gpus_max)) = self.limits.get(team) else {
            return;
        };
        let used = self.team_usage.get(team).copied().unwrap_or_default();
        let (cpus, gpus) = (used.cpus(), used.gpus());
        let over = |used: f64, most: f64| most > 0.0 && used > most + 1e-6;
        if over(cpus, cpus_max) || over(gpus, gpus_max) {
            self.record_violation(
                Rule::Quota,
                now,
                format!("{team}: {cpus} CPUs, {gpus} GPUs"),
            );
        }
    }

    /// A task is not on its machine any more.
    pub fn on_task_ended(&mut self, task: &TaskRef, machine: &MachineId) {
        let Some(tasks) = self.placements.get_mut(&task.job) else {
            return;
        };
        let Some(places) = tasks.get_mut(&task.index) else {
            return;
        };
        let here = places.iter().position(|p| p.machine == *machine);
        if let Some(i) = here {
            places.remove(i);
            self.release_usage(&task.job, 1);
        }
        self.remove_empty_placement(task);
    }

    /// Where a task is, if it is on any machine.
    fn places_of(&self, task: &TaskRef) -> Option<&Vec<Place>> {
        self.placements.get(&task.job)?.get(&task.index)
    }

    /// So many tasks of a job use nothing any more.
    fn release_usage(&mut self, id: &JobId, tasks: usize) {
        let Some(spec) = self.jobs.get(id) else {
            return;
        };
        if let Some(used) = self.team_usage.get_mut(&spec.team) {
            for _ in 0..tasks {
                used.remove(spec);
            }
        }
    }

    /// Drops the entries of a task that is on no machine.
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

    /// A task has completed.
    pub fn on_task_completed(&mut self, now: Ms, task: &TaskRef) {
        let done = self.completed_tasks.entry(task.job.clone()).or_default();
        let tasks = self.jobs.get(&task.job).map_or(0, |s| s.tasks);
        if done.insert(task.index) && done.len() as u32 == tasks {
            self.newly_completed.push(task.job.clone());
            self.record_ready_dependents(now, &task.job);
        }
    }

    /// Whether a task has completed.
    pub fn is_task_completed(&self, task: &TaskRef) -> bool {
        self.completed_tasks
            .get(&task.job)
            .is_some_and(|d| d.contains(&task.index))
    }

    /// Most CPUs and GPUs that a team may use; 0: no limit.
    pub(crate) fn limit_of(&self, team: &str) -> (f64, f64) {
        self.limits.get(team).copied().unwrap_or_default()
    }

    /// Whether a user was told that a job is cancelled.
    pub fn is_cancel_confirmed(&self, id: &JobId) -> bool {
        self.cancelled_at.contains_key(id)
    }

    /// When a user was first told that a job is cancelled.
    pub fn cancelled_at(&self, id: &JobId) -> Option<Ms> {
        self.cancelled_at.get(id).copied()
    }

    /// When a job began: an array with its first task, others with all.
    pub fn began_at(&self, id: &JobId) -> Option<Ms> {
        self.begun_at.get(id).copied()
    }

    /// How often tasks of a job have started.
    pub fn starts_of(&self, id: &JobId) -> u64 {
        self.starts_by_job.get(id).copied().unwrap_or(0)
    }

    /// Tasks of a job that are on machines.
    pub fn running_tasks(&self, id: &JobId) -> usize {
        self.placements.get(id).map_or(0, BTreeMap::len)
    }

    /// Tasks that are on machines.
    pub fn tasks_on_machines(&self) -> usize {
        self.placements.values().map(BTreeMap::len).sum()
    }

    /// Whether a user has asked to cancel a job.
    pub fn is_cancel_requested(&self, id: &JobId) -> bool {
        self.cancel_requested.contains(id)
    }

    /// Whether a user was told that a job is accepted.
    pub fn is_accepted(&self, id: &JobId) -> bool {
        self.accepted.contains_key(id)
    }

    /// The final stage that a user was told.
    pub fn final_stage(&self, id: &JobId) -> Option<JobStage> {
        self.final_stages.get(id).map(|t| t.0)
    }

    /// A job that can not run, or is malformed, is about to be submitted.
    pub fn expect_refusal(&mut self, id: &JobId) {
        self.must_refuse.insert(id.clone());
    }

    /// Such a job got an answer: what it gets on a quiet day, or that it can
    /// not be decided now.
    pub fn check_refusal(&mut self, now: Ms, id: &JobId, status: u16, meant: u16) {
        if !matches!(status, 200 | 201 | 429 | 503 | 504) && status != meant {
            let what = format!("{id}: {status} instead of {meant}");
            self.record_violation(Rule::WrongAnswer, now, what);
        }
    }

    /// A user sends a request about a job. The ticket goes with the answer: an
    /// answer may not be older than any that had come when it was asked for.
    pub fn on_request_sent(&mut self, now: Ms, id: &JobId) -> u64 {
        self.last_sequence += 1;
        self.unanswered.entry(id.clone()).or_insert(now);
        self.first_requested_at.entry(id.clone()).or_insert(now);
        self.last_sequence
    }

    /// A user got an answer about a job to a request that it has just sent.
    pub fn on_immediate_response(
        &mut self,
        now: Ms,
        id: &JobId,
        submission: bool,
        status: u16,
        stage: Option<JobStage>,
    ) {
        let ticket = self.on_request_sent(now, id);
        self.on_response(ticket, now, id, submission, status, stage);
    }

    /// A user got an answer about a job. `submission` tells a submission from
    /// a question; `stage` is what a 2xx said.
    /// Returns whether it was the first to say that the job is accepted, or
    /// that it is over.
    pub fn on_response(
        &mut self,
        ticket: u64,
        now: Ms,
        id: &JobId,
        submission: bool,
        status: u16,
        stage: Option<JobStage>,
    ) -> bool {
        self.last_sequence += 1;
        let order = self.last_sequence;
        let mut news = false;
        if matches!(status, 200 | 201 | 404) {
            self.unanswered.remove(id);
        }
        let known = self.accepted.get(id).is_some_and(|o| *o < ticket);
        match status {
            404 if known => self.record_violation(Rule::Forgotten, now, format!("{id}: 404")),
            400 | 422 if known && submission => {
                self.record_violation(Rule::Forgotten, now, format!("{id}: {status}"));
            }
            200 | 201 if self.must_refuse.contains(id) => {
                self.record_violation(Rule::Unfit, now, format!("{id}: {status}"));
            }
            200 | 201 if !self.jobs.contains_key(id) => {
                self.record_violation(Rule::Invented, now, format!("{id}: {status}"));
            }
            200 | 201 => {
                news = !self.accepted.contains_key(id);
                if news {
                    let asked = self.first_requested_at.get(id).copied().unwrap_or(now);
                    self.max_acceptance_ms = self.max_acceptance_ms.max(now - asked);
                    if let Some(observed) = &mut self.observations {
                        observed.acceptances.push(now - asked);
                    }
                }
                self.accepted.entry(id.clone()).or_insert(order);
            }
            _ => {}
        }
        let Some(stage) = stage.filter(|_| matches!(status, 200 | 201)) else {
            return news;
        };
        if let Some((old, since)) = self.final_stages.get(id).copied() {
            // Of two final stages one is wrong, in whatever order they come.
            if stage != old && (since < ticket || stage.is_final()) {
                self.record_violation(
                    Rule::WentBack,
                    now,
                    format!("{id}: {old:?}, then {stage:?}"),
                );
            }
        }
        if !stage.is_final() {
            self.check_orphaned(now, id);
        }
        if stage == JobStage::Cancelled && !self.is_cancel_wanted(id) {
            self.record_violation(Rule::WentBack, now, format!("{id}: nobody cancelled it"));
        }
        if stage == JobStage::Done {
            let done = self.completed_tasks.get(id).map_or(0, BTreeSet::len) as u32;
            if self.jobs.get(id).is_some_and(|s| done < s.tasks) {
                self.record_violation(Rule::NotDone, now, format!("{id}: {done} tasks done"));
            }
        }
        if stage.is_final() {
            news |= !self.final_stages.contains_key(id);
            self.final_stages
                .entry(id.clone())
                .or_insert((stage, order));
        }
        if stage == JobStage::Cancelled {
            self.cancelled_at.entry(id.clone()).or_insert(now);
        }
        news
    }

    /// A task has failed on a machine.
    pub(crate) fn on_task_failed(&mut self, now: Ms, task: &TaskRef, machine: &MachineId) {
        self.failures.push((now, task.clone(), machine.clone()));
    }

    /// The longest time from a user's first try until a job was accepted.
    pub fn max_acceptance_ms(&self) -> Ms {
        self.max_acceptance_ms
    }

    /// Whether all troubles are over, and since when.
    pub fn set_quiescence(&mut self, calm: Quiescence) {
        self.quiescence = calm;
    }

    /// A job waits, and whether a machine that fits has room for it while its
    /// team is under its limit.
    pub fn on_job_waiting(&mut self, now: Ms, id: &JobId, has_room: bool) {
        let Quiescence::Since(calm) = self.quiescence else {
            self.waiting_with_room.clear();
            return;
        };
        if !has_room {
            self.waiting_with_room.remove(id);
            return;
        }
        let since = *self.waiting_with_room.entry(id.clone()).or_insert(now);
        if now > since.max(calm) + MAX_WAIT_MS {
            self.waiting_with_room.remove(id);
            self.record_violation(Rule::LeftWaiting, now, format!("{id} since {since}"));
        }
    }

    fn check_unanswered(&mut self, now: Ms) {
        let Quiescence::Since(calm) = self.quiescence else {
            return;
        };
        let over = |since: Ms| now > since.max(calm) + MAX_UNANSWERED_MS;
        let all = self.unanswered.iter();
        let late: Vec<(JobId, Ms)> = all
            .filter(|(id, since)| over(**since) && self.accepted.contains_key(*id))
            .map(|(id, since)| (id.clone(), *since))
            .collect();
        for (id, since) in late {
            self.unanswered.remove(&id);
            self.record_violation(Rule::Unanswered, now, format!("{id} since {since}"));
        }
    }

    /// Looks at the whole day: the largest jobs of each class have begun in
    /// time. Those that were cancelled before are left out.
    pub fn finish(&mut self, now: Ms) {
        let mut classes: BTreeMap<&str, Vec<&JobSpec>> = BTreeMap::new();
        for spec in self.jobs.values() {
            classes.entry(&spec.class).or_default().push(spec);
        }
        let size = |s: &JobSpec| f64::from(s.tasks) * (s.cpus + s.gpus);
        let mut late = Vec::new();
        for (class, mut specs) in classes {
            specs.sort_by(|a, b| size(b).total_cmp(&size(a)));
            let largest = specs.len().div_ceil(LARGEST_JOB_FRACTION);
            for spec in specs.into_iter().take(largest) {
                let Some(asked) = self.first_requested_at.get(&spec.id) else {
                    continue;
                };
                let Some(asked) = self.ready_since(&spec.id, *asked) else {
                    continue;
                };
                let begun = self.begun_at.get(&spec.id);
                let until = begun.copied().unwrap_or(now);
                let called_off = begun.is_none() && self.is_cancel_wanted(&spec.id);
                if until > asked + MAX_BEGIN_MS && !called_off {
                    late.push(format!("{} of {class}: {begun:?} after {asked}", spec.id));
                }
            }
        }
        for what in late {
            self.record_violation(Rule::LateBegin, now, what);
        }
    }

    /// Looks at what must not last. `expired` are machines that hang and whose
    /// lease is over: nothing on them may go on, as the worker's first act will
    /// be to kill all its tasks. What is there once they do go on counts again.
    pub fn tick(&mut self, now: Ms, expired: &BTreeSet<MachineId>) {
        let late: Vec<TaskRef> = self
            .placements
            .iter()
            .filter(|(id, _)| {
                let at = self.cancelled_at.get(*id);
                at.is_some_and(|at| now > at + self.cancel_ms)
            })
            .flat_map(|(id, tasks)| tasks.iter().map(move |(index, p)| (id, *index, p)))
            .filter(|(_, _, places)| places.iter().any(|p| !expired.contains(&p.machine)))
            .map(|(id, index, _)| TaskRef {
                job: id.clone(),
                index,
            })
            .collect();
        for task in late {
            self.record_violation(Rule::RanCancelled, now, format!("{task} is still there"));
            let tasks = self.placements.get_mut(&task.job);
            let places = tasks.and_then(|t| t.get_mut(&task.index));
            let gone = places.map_or(0, |p| std::mem::take(p).len());
            self.release_usage(&task.job, gone);
            self.remove_empty_placement(&task);
        }
        self.check_unanswered(now);
    }
}

#[cfg(test)]
mod tests;
