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
const ANSWER_MS: Ms = 75_000;
/// With all troubles over, a job for which there is room has to begin within this.
const WAIT_MS: Ms = 90_000;
/// The largest jobs have to begin within this.
const BEGIN_MS: Ms = 240_000;
/// One in so many jobs of a class is one of its largest.
const LARGEST: usize = 10;

/// When troubles end.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub enum Calm {
    /// Not yet.
    #[default]
    Not,
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
    cancel_asked: BTreeSet<JobId>,
    /// Final stages, with the count of answers by then.
    told: BTreeMap<JobId, (JobStage, u64)>,
    /// Counts requests and answers, in order.
    order: u64,
    calm: Calm,
    /// Jobs about which a question is open, and since when.
    open: BTreeMap<JobId, Ms>,
    /// Jobs that wait though there is room, and since when.
    waiting: BTreeMap<JobId, Ms>,
    /// When users first spoke of a job.
    first_asked: BTreeMap<JobId, Ms>,
    /// The longest time until a job was accepted.
    slowest: Ms,
    begun: BTreeMap<JobId, Ms>,
    /// Jobs that must not be accepted.
    unfit: BTreeSet<JobId>,
    /// Jobs whose last task has completed since this was last looked at.
    pub(crate) whole: Vec<JobId>,
    cancelled_at: BTreeMap<JobId, Ms>,
    /// When the last job that a job needs completed.
    ready: BTreeMap<JobId, Ms>,
    done: BTreeMap<JobId, BTreeSet<u32>>,
    /// Where the tasks of each job are that are on a machine.
    on: BTreeMap<JobId, BTreeMap<u32, Vec<Place>>>,
    /// What each team's tasks on machines use.
    used: BTreeMap<String, Usage>,
    /// What is noted for measurements, if anything is.
    pub(crate) observed: Option<Observations>,
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

    fn fail(&mut self, rule: Rule, now: Ms, what: String) {
        self.broken.push((rule, now, what));
    }

    /// A user submits a job for the first time.
    pub fn submitted(&mut self, spec: &JobSpec) {
        self.jobs.insert(spec.id.clone(), spec.clone());
    }

    /// A user asks to cancel a job.
    pub fn asked_cancel(&mut self, id: &JobId) {
        self.cancel_asked.insert(id.clone());
    }

    /// A task has its image and is on its machine from now on.
    pub fn started(&mut self, now: Ms, task: &TaskRef, place: Place) {
        self.starts += 1;
        *self.starts_by_job.entry(task.job.clone()).or_default() += 1;
        let Some(spec) = self.jobs.get(&task.job).cloned() else {
            return;
        };
        if let Some(places) = self.places_of(task) {
            let what = format!("{task} on {} and {places:?}", place.machine);
            self.fail(Rule::RanTwice, now, what);
        }
        self.observe_start(now, task, spec.priority);
        self.check_order(now, &task.job, &task.to_string());
        let types = spec.types.as_ref();
        let tasks = self.on.get(&task.job).into_iter().flatten();
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
            self.fail(Rule::WrongPlace, now, format!("{task} on {place:?}"));
        }
        if let Some(at) = self.cancelled_at.get(&task.job) {
            let late = (now, now - at, task.clone());
            self.starts_after_cancel.push(late);
            if now > at + self.cancel_ms {
                self.fail(Rule::RanCancelled, now, format!("{task} starts"));
            }
        }
        let tasks = self.on.entry(task.job.clone()).or_default();
        tasks.entry(task.index).or_default().push(place);
        self.used.entry(spec.team.clone()).or_default().add(&spec);
        // An array begins with any task, the others with all.
        let begins = spec.kind == JobKind::Array || self.running(&task.job) as u32 == spec.tasks;
        if begins {
            self.begun.entry(task.job.clone()).or_insert(now);
        }
        self.check_quota(now, &spec.team);
    }

    fn check_quota(&mut self, now: Ms, team: &str) {
        let Some(&(cpus_max, gpus_max)) = self.limits.get(team) else {
            return;
        };
        let used = self.used.get(team).copied().unwrap_or_default();
        let (cpus, gpus) = (used.cpus(), used.gpus());
        let over = |used: f64, most: f64| most > 0.0 && used > most + 1e-6;
        if over(cpus, cpus_max) || over(gpus, gpus_max) {
            self.fail(
                Rule::Quota,
                now,
                format!("{team}: {cpus} CPUs, {gpus} GPUs"),
            );
        }
    }

    /// A task is not on its machine any more.
    pub fn ended(&mut self, task: &TaskRef, machine: &MachineId) {
        let Some(tasks) = self.on.get_mut(&task.job) else {
            return;
        };
        let Some(places) = tasks.get_mut(&task.index) else {
            return;
        };
        let here = places.iter().position(|p| p.machine == *machine);
        if let Some(i) = here {
            places.remove(i);
            self.release(&task.job, 1);
        }
        self.forget_empty(task);
    }

    /// Where a task is, if it is on any machine.
    fn places_of(&self, task: &TaskRef) -> Option<&Vec<Place>> {
        self.on.get(&task.job)?.get(&task.index)
    }

    /// So many tasks of a job use nothing any more.
    fn release(&mut self, id: &JobId, tasks: usize) {
        let Some(spec) = self.jobs.get(id) else {
            return;
        };
        if let Some(used) = self.used.get_mut(&spec.team) {
            for _ in 0..tasks {
                used.remove(spec);
            }
        }
    }

    /// Drops the entries of a task that is on no machine.
    fn forget_empty(&mut self, task: &TaskRef) {
        let Some(tasks) = self.on.get_mut(&task.job) else {
            return;
        };
        if tasks.get(&task.index).is_some_and(Vec::is_empty) {
            tasks.remove(&task.index);
        }
        if tasks.is_empty() {
            self.on.remove(&task.job);
        }
    }

    /// A task has completed.
    pub fn completed(&mut self, now: Ms, task: &TaskRef) {
        let done = self.done.entry(task.job.clone()).or_default();
        let tasks = self.jobs.get(&task.job).map_or(0, |s| s.tasks);
        if done.insert(task.index) && done.len() as u32 == tasks {
            self.whole.push(task.job.clone());
            self.note_ready(now, &task.job);
        }
    }

    /// Whether a task has completed.
    pub fn is_completed(&self, task: &TaskRef) -> bool {
        self.done
            .get(&task.job)
            .is_some_and(|d| d.contains(&task.index))
    }

    /// Most CPUs and GPUs that a team may use; 0: no limit.
    pub(crate) fn limit_of(&self, team: &str) -> (f64, f64) {
        self.limits.get(team).copied().unwrap_or_default()
    }

    /// Whether a user was told that a job is cancelled.
    pub fn was_cancelled(&self, id: &JobId) -> bool {
        self.cancelled_at.contains_key(id)
    }

    /// When a user was first told that a job is cancelled.
    pub fn cancelled_at(&self, id: &JobId) -> Option<Ms> {
        self.cancelled_at.get(id).copied()
    }

    /// When a job began: an array with its first task, others with all.
    pub fn began_at(&self, id: &JobId) -> Option<Ms> {
        self.begun.get(id).copied()
    }

    /// How often tasks of a job have started.
    pub fn starts_of(&self, id: &JobId) -> u64 {
        self.starts_by_job.get(id).copied().unwrap_or(0)
    }

    /// Tasks of a job that are on machines.
    pub fn running(&self, id: &JobId) -> usize {
        self.on.get(id).map_or(0, BTreeMap::len)
    }

    /// Tasks that are on machines.
    pub fn tasks_on_machines(&self) -> usize {
        self.on.values().map(BTreeMap::len).sum()
    }

    /// Whether a user has asked to cancel a job.
    pub fn was_cancel_asked(&self, id: &JobId) -> bool {
        self.cancel_asked.contains(id)
    }

    /// Whether a user was told that a job is accepted.
    pub fn is_accepted(&self, id: &JobId) -> bool {
        self.accepted.contains_key(id)
    }

    /// The final stage that a user was told.
    pub fn told(&self, id: &JobId) -> Option<JobStage> {
        self.told.get(id).map(|t| t.0)
    }

    /// A job that can not run, or is malformed, is about to be submitted.
    pub fn unfit(&mut self, id: &JobId) {
        self.unfit.insert(id.clone());
    }

    /// Such a job got an answer: what it gets on a quiet day, or that it can
    /// not be decided now.
    pub fn refused(&mut self, now: Ms, id: &JobId, status: u16, meant: u16) {
        if !matches!(status, 200 | 201 | 429 | 503 | 504) && status != meant {
            let what = format!("{id}: {status} instead of {meant}");
            self.fail(Rule::WrongAnswer, now, what);
        }
    }

    /// A user sends a request about a job. The ticket goes with the answer: an
    /// answer may not be older than any that had come when it was asked for.
    pub fn ask(&mut self, now: Ms, id: &JobId) -> u64 {
        self.order += 1;
        self.open.entry(id.clone()).or_insert(now);
        self.first_asked.entry(id.clone()).or_insert(now);
        self.order
    }

    /// A user got an answer about a job to a request that it has just sent.
    pub fn answered(
        &mut self,
        now: Ms,
        id: &JobId,
        submission: bool,
        status: u16,
        stage: Option<JobStage>,
    ) {
        let ticket = self.ask(now, id);
        self.answered_to(ticket, now, id, submission, status, stage);
    }

    /// A user got an answer about a job. `submission` tells a submission from
    /// a question; `stage` is what a 2xx said.
    /// Returns whether it was the first to say that the job is accepted, or
    /// that it is over.
    pub fn answered_to(
        &mut self,
        ticket: u64,
        now: Ms,
        id: &JobId,
        submission: bool,
        status: u16,
        stage: Option<JobStage>,
    ) -> bool {
        self.order += 1;
        let order = self.order;
        let mut news = false;
        if matches!(status, 200 | 201 | 404) {
            self.open.remove(id);
        }
        let known = self.accepted.get(id).is_some_and(|o| *o < ticket);
        match status {
            404 if known => self.fail(Rule::Forgotten, now, format!("{id}: 404")),
            400 | 422 if known && submission => {
                self.fail(Rule::Forgotten, now, format!("{id}: {status}"));
            }
            200 | 201 if self.unfit.contains(id) => {
                self.fail(Rule::Unfit, now, format!("{id}: {status}"));
            }
            200 | 201 if !self.jobs.contains_key(id) => {
                self.fail(Rule::Invented, now, format!("{id}: {status}"));
            }
            200 | 201 => {
                news = !self.accepted.contains_key(id);
                if news {
                    let asked = self.first_asked.get(id).copied().unwrap_or(now);
                    self.slowest = self.slowest.max(now - asked);
                    if let Some(observed) = &mut self.observed {
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
        if let Some((old, since)) = self.told.get(id).copied() {
            // Of two final stages one is wrong, in whatever order they come.
            if stage != old && (since < ticket || stage.is_final()) {
                self.fail(
                    Rule::WentBack,
                    now,
                    format!("{id}: {old:?}, then {stage:?}"),
                );
            }
        }
        if !stage.is_final() {
            self.check_orphan(now, id);
        }
        if stage == JobStage::Cancelled && !self.is_cancel_wanted(id) {
            self.fail(Rule::WentBack, now, format!("{id}: nobody cancelled it"));
        }
        if stage == JobStage::Done {
            let done = self.done.get(id).map_or(0, BTreeSet::len) as u32;
            if self.jobs.get(id).is_some_and(|s| done < s.tasks) {
                self.fail(Rule::NotDone, now, format!("{id}: {done} tasks done"));
            }
        }
        if stage.is_final() {
            news |= !self.told.contains_key(id);
            self.told.entry(id.clone()).or_insert((stage, order));
        }
        if stage == JobStage::Cancelled {
            self.cancelled_at.entry(id.clone()).or_insert(now);
        }
        news
    }

    /// A task has failed on a machine.
    pub(crate) fn failed(&mut self, now: Ms, task: &TaskRef, machine: &MachineId) {
        self.failures.push((now, task.clone(), machine.clone()));
    }

    /// The longest time from a user's first try until a job was accepted.
    pub fn slowest_acceptance(&self) -> Ms {
        self.slowest
    }

    /// Whether all troubles are over, and since when.
    pub fn calm(&mut self, calm: Calm) {
        self.calm = calm;
    }

    /// A job waits, and whether a machine that fits has room for it while its
    /// team is under its limit.
    pub fn waits(&mut self, now: Ms, id: &JobId, has_room: bool) {
        let Calm::Since(calm) = self.calm else {
            self.waiting.clear();
            return;
        };
        if !has_room {
            self.waiting.remove(id);
            return;
        }
        let since = *self.waiting.entry(id.clone()).or_insert(now);
        if now > since.max(calm) + WAIT_MS {
            self.waiting.remove(id);
            self.fail(Rule::LeftWaiting, now, format!("{id} since {since}"));
        }
    }

    fn look_for_open_questions(&mut self, now: Ms) {
        let Calm::Since(calm) = self.calm else {
            return;
        };
        let over = |since: Ms| now > since.max(calm) + ANSWER_MS;
        let all = self.open.iter();
        let late: Vec<(JobId, Ms)> = all
            .filter(|(id, since)| over(**since) && self.accepted.contains_key(*id))
            .map(|(id, since)| (id.clone(), *since))
            .collect();
        for (id, since) in late {
            self.open.remove(&id);
            self.fail(Rule::Unanswered, now, format!("{id} since {since}"));
        }
    }

    /// Looks at the whole day: the largest jobs of each class have begun in
    /// time. Those that were cancelled before are left out.
    pub fn close(&mut self, now: Ms) {
        let mut classes: BTreeMap<&str, Vec<&JobSpec>> = BTreeMap::new();
        for spec in self.jobs.values() {
            classes.entry(&spec.class).or_default().push(spec);
        }
        let size = |s: &JobSpec| f64::from(s.tasks) * (s.cpus + s.gpus);
        let mut late = Vec::new();
        for (class, mut specs) in classes {
            specs.sort_by(|a, b| size(b).total_cmp(&size(a)));
            let largest = specs.len().div_ceil(LARGEST);
            for spec in specs.into_iter().take(largest) {
                let Some(asked) = self.first_asked.get(&spec.id) else {
                    continue;
                };
                let Some(asked) = self.ready_since(&spec.id, *asked) else {
                    continue;
                };
                let begun = self.begun.get(&spec.id);
                let until = begun.copied().unwrap_or(now);
                let called_off = begun.is_none() && self.is_cancel_wanted(&spec.id);
                if until > asked + BEGIN_MS && !called_off {
                    late.push(format!("{} of {class}: {begun:?} after {asked}", spec.id));
                }
            }
        }
        for what in late {
            self.fail(Rule::LateBegin, now, what);
        }
    }

    /// Looks at what must not last. `expired` are machines that hang and whose
    /// lease is over: nothing on them may go on, as the worker's first act will
    /// be to kill all its tasks. What is there once they do go on counts again.
    pub fn tick(&mut self, now: Ms, expired: &BTreeSet<MachineId>) {
        let late: Vec<TaskRef> = self
            .on
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
            self.fail(Rule::RanCancelled, now, format!("{task} is still there"));
            let tasks = self.on.get_mut(&task.job);
            let places = tasks.and_then(|t| t.get_mut(&task.index));
            let gone = places.map_or(0, |p| std::mem::take(p).len());
            self.release(&task.job, gone);
            self.forget_empty(&task);
        }
        self.look_for_open_questions(now);
    }
}

#[cfg(test)]
mod tests;
