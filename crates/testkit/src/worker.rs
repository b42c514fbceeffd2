//! A stand-in for a worker.

use crate::check::{Checker, Place};
use crate::world::Mistake;
use crate::Ms;
use forkshift_wire::cloud::MachineType;
use forkshift_wire::users::{JobKind, JobSpec};
use forkshift_wire::workers::{
    Command, CommandRequest, ExitCause, HeldImages, Prefetch, TaskReport, TaskStage, Verb,
    WorkerHeartbeat,
};
use forkshift_wire::{JobId, MachineId, TaskRef};
use std::collections::BTreeMap;

/// A job as it truly is.
#[derive(Clone, Debug)]
pub(crate) struct Truth {
    pub(crate) spec: JobSpec,
    pub(crate) run_ms: Ms,
    pub(crate) mistake: Option<Mistake>,
}

impl Truth {
    /// Whether a gang that began to run then has failed by now.
    pub(crate) fn fails_by(&self, began: Ms, now: Ms) -> bool {
        matches!(self.mistake, Some(Mistake::After(time)) if now >= began + time)
    }
}

#[derive(Clone, Debug)]
pub(crate) struct OnMachine {
    pub(crate) stage: TaskStage,
    cause: Option<ExitCause>,
    saved: bool,
    /// Whether it is of a gang.
    pub(crate) is_gang: bool,
    /// When its present stage ends by itself.
    pub(crate) until: Ms,
    /// Since when it has had its image.
    since: Ms,
}

/// CPUs, GPUs and memory.
pub(crate) type Room = (f64, f64, f64);

/// How many of a job's tasks fit into some room.
pub(crate) fn fitting(room: Room, s: &JobSpec) -> u32 {
    let (cpus, gpus, memory) = room;
    let parts = [(cpus, s.cpus), (gpus, s.gpus), (memory, s.memory_gb)];
    let needed = parts.into_iter().filter(|(_, need)| *need > 0.0);
    let times = needed.map(|(has, need)| ((has + 1e-6) / need).floor().max(0.0) as u32);
    times.min().unwrap_or(u32::MAX)
}

/// What a worker needs to know of the world.
pub(crate) struct Around<'a> {
    pub(crate) now: Ms,
    pub(crate) truths: &'a BTreeMap<JobId, Truth>,
    pub(crate) check: &'a mut Checker,
    pub(crate) lease_ms: Ms,
}

pub(crate) struct Worker {
    pub(crate) id: MachineId,
    addr: String,
    pub(crate) machine_type: String,
    pub(crate) zone: String,
    pub(crate) spot: bool,
    room: Room,
    fetch_rate: f64,
    pub(crate) incarnation: u64,
    seq: u64,
    pub(crate) token: u64,
    pub(crate) tasks: BTreeMap<(TaskRef, u64), OnMachine>,
    /// No task's stage ends by itself before this.
    next_due: Ms,
    /// Whether a task of a gang has been started here.
    pub(crate) has_gang_tasks: bool,
    images: Vec<String>,
    /// Whether it tells its images, and fetches them before a task needs them.
    tells_images: bool,
    /// Images that it fetches ahead, and when each is there.
    prefetching: BTreeMap<String, Ms>,
    /// What it fetches ahead does not come before this.
    pub(crate) stuck_until: Ms,
    /// The node that it reports to.
    pub(crate) node: usize,
    pub(crate) next_report: Ms,
    /// The report under way: its number, incarnation, and when it was sent.
    pub(crate) open: Option<(u64, u64, Ms)>,
    /// When the last report was sent.
    pub(crate) reported: Option<Ms>,
    /// When a higher token was last reason for a report.
    token_reported: Option<Ms>,
    pub(crate) answered: Ms,
    pub(crate) sick_until: Ms,
    pub(crate) hung_until: Ms,
    /// What others send does not reach it until then.
    pub(crate) deaf_until: Ms,
    /// What others send to it is lost until then.
    pub(crate) lost_until: Ms,
    /// It reaches no controller until then.
    pub(crate) mute_until: Ms,
    /// What it sends, and what is sent to it, takes long until then.
    pub(crate) slow_until: Ms,
    pub(crate) cut_until: Ms,
    pub(crate) taken_at: Option<Ms>,
}

impl Worker {
    /// The worker of a machine that is just up.
    pub(crate) fn new(
        (id, addr): (MachineId, String),
        machine_type: &MachineType,
        zone: &str,
        spot: bool,
        now: Ms,
        tells_images: bool,
    ) -> Self {
        let t = machine_type;
        Self {
            id,
            addr,
            machine_type: t.name.clone(),
            zone: zone.to_owned(),
            spot,
            room: (t.cpus, t.gpus, t.memory_gb),
            fetch_rate: t.fetch_gb_per_s,
            incarnation: 1,
            seq: 0,
            token: 0,
            tasks: BTreeMap::new(),
            next_due: 0,
            has_gang_tasks: false,
            images: Vec::new(),
            tells_images,
            prefetching: BTreeMap::new(),
            stuck_until: 0,
            node: 0,
            next_report: now,
            open: None,
            reported: None,
            token_reported: None,
            answered: now,
            sick_until: 0,
            hung_until: 0,
            deaf_until: 0,
            lost_until: 0,
            mute_until: 0,
            slow_until: 0,
            cut_until: 0,
            taken_at: None,
        }
    }

    /// Whether a task of a job is here that has not exited.
    pub(crate) fn has_task_of(&self, id: &JobId) -> bool {
        let mut all = self.tasks.iter();
        all.any(|((task, _), t)| task.job == *id && t.stage != TaskStage::Exited)
    }

    /// It, and what ails it, for who looks into a day.
    pub(crate) fn state(&self, now: Ms) -> String {
        let ails = [
            ("hung", self.hung_until),
            ("cut", self.cut_until),
            ("deaf", self.deaf_until.max(self.lost_until)),
            ("mute", self.mute_until),
            ("slow", self.slow_until),
        ];
        let ails: Vec<String> = ails
            .iter()
            .filter(|(_, until)| *until > now)
            .map(|(what, until)| format!("{what} until {until}"))
            .collect();
        format!(
            "{} of zone {} ({ails:?}, answered at {}, token {}, reports to {})",
            self.id, self.zone, self.answered, self.token, self.node
        )
    }

    pub(crate) fn report(&mut self, now: Ms) -> WorkerHeartbeat {
        self.seq += 1;
        WorkerHeartbeat {
            machine: self.id.clone(),
            addr: self.addr.clone(),
            machine_type: self.machine_type.clone(),
            zone: self.zone.clone(),
            spot: self.spot,
            incarnation: self.incarnation,
            sequence: self.seq,
            token: self.token,
            notice_s: self.taken_at.map(|t| t.saturating_sub(now) as f64 / 1000.0),
            tasks: self
                .tasks
                .iter()
                .map(|((task, attempt), t)| TaskReport {
                    task: task.clone(),
                    attempt: *attempt,
                    stage: t.stage,
                    cause: t.cause,
                    saved: t.saved,
                })
                .collect(),
            images: self.tells_images.then(|| HeldImages {
                held: self.images.clone(),
                fetching: self.prefetching.keys().cloned().collect(),
            }),
        }
    }

    /// Whether it hangs, and its lease is over: it kills all its tasks before
    /// it does anything else.
    pub(crate) fn is_hung_without_lease(&self, now: Ms, lease_ms: Ms) -> bool {
        self.hung_until > now && now > self.answered + lease_ms
    }

    /// Kills and forgets all tasks if the lease is over.
    fn expire(&mut self, a: &mut Around) {
        if a.now > self.answered + a.lease_ms {
            self.wipe(a.check);
            self.incarnation += 1;
            self.answered = a.now;
            self.open = None;
        }
    }

    /// `GET /status`.
    pub(crate) fn status(&mut self, a: &mut Around) -> Vec<u8> {
        self.expire(a);
        serde_json::to_vec(&self.report(a.now)).unwrap_or_default()
    }

    /// `POST /commands`. What was held up while it hung finds the next incarnation
    /// if the lease has run out meanwhile.
    pub(crate) fn commands(&mut self, a: &mut Around, body: &[u8]) -> (u16, Vec<u8>) {
        self.expire(a);
        let Ok(request) = serde_json::from_slice::<CommandRequest>(body) else {
            return (400, Vec::new());
        };
        let good = request.token >= self.token && request.incarnation == self.incarnation;
        if good {
            self.token = request.token;
            self.execute(a, &request.commands);
            self.prefetch(a.now, &request.prefetch);
        }
        let report = serde_json::to_vec(&self.report(a.now)).unwrap_or_default();
        (if good { 200 } else { 409 }, report)
    }

    /// Begins to fetch images ahead.
    fn prefetch(&mut self, now: Ms, wanted: &[Prefetch]) {
        let is_asked_for = wanted.is_empty() || self.tells_images;
        assert!(
            is_asked_for,
            "{} was told to fetch ahead and takes no such command",
            self.id
        );
        for image in wanted {
            if self.images.contains(&image.image) || self.prefetching.contains_key(&image.image) {
                continue;
            }
            let fetch = (image.image_gb / self.fetch_rate * 1000.0) as Ms;
            self.prefetching.insert(image.image.clone(), now + fetch);
        }
    }

    /// Takes in what was fetched ahead.
    fn finish_prefetches(&mut self, now: Ms) {
        if self.prefetching.is_empty() || now < self.stuck_until {
            return;
        }
        let is_there = |until: &Ms| now >= *until;
        let there: Vec<String> = self
            .prefetching
            .iter()
            .filter(|(_, until)| is_there(until))
            .map(|(image, _)| image.clone())
            .collect();
        for image in there {
            self.prefetching.remove(&image);
            if !self.images.contains(&image) {
                self.images.push(image);
            }
            self.next_report = self.next_report.min(now + 500);
        }
    }

    /// Loses all images, as other ones needed the room.
    pub(crate) fn evict_images(&mut self, now: Ms) {
        self.images.clear();
        self.next_report = self.next_report.min(now + 500);
    }

    /// A 200 to the report under way.
    pub(crate) fn replied(&mut self, a: &mut Around, token: u64, commands: &[Command]) {
        let Some((_, incarnation, sent)) = self.open.take() else {
            return;
        };
        if incarnation != self.incarnation || token < self.token {
            return;
        }
        self.token = token;
        self.answered = sent;
        self.execute(a, commands);
    }

    /// Lets a higher token or a new incarnation be reason for a report, as the
    /// protocol has it: a token at most once in half a lease.
    pub(crate) fn note_news(&mut self, now: Ms, lease_ms: Ms, (incarnation, token): (u64, u64)) {
        let token_due = self
            .token_reported
            .is_none_or(|at| now >= at + lease_ms / 2);
        let is_higher = self.token > token && token_due;
        if is_higher {
            self.token_reported = Some(now);
        }
        if is_higher || self.incarnation > incarnation {
            self.next_report = self.next_report.min(now);
        }
    }

    fn execute(&mut self, a: &mut Around, commands: &[Command]) {
        let before = self.tasks.len();
        for command in commands {
            let key = (command.task.clone(), command.attempt);
            match command.verb {
                Verb::Start => self.start(a, key),
                Verb::Stop => self.stop(a, &key, command.grace_s.unwrap_or(0.0)),
                Verb::Forget => {
                    let exited = self
                        .tasks
                        .get(&key)
                        .is_some_and(|t| t.stage == TaskStage::Exited);
                    if exited {
                        self.tasks.remove(&key);
                    }
                }
            }
        }
        if before != self.tasks.len() {
            self.next_report = self.next_report.min(a.now + 500);
        }
    }

    fn start(&mut self, a: &mut Around, key: (TaskRef, u64)) {
        if self.tasks.contains_key(&key) {
            return;
        }
        let Some(truth) = a
            .truths
            .get(&key.0.job)
            .filter(|t| key.0.index < t.spec.tasks)
        else {
            self.refuse(key, ExitCause::UnknownTask);
            return;
        };
        let here = |t: &OnMachine| t.stage != TaskStage::Exited;
        if self
            .tasks
            .iter()
            .any(|((task, _), t)| *task == key.0 && here(t))
        {
            self.refuse(key, ExitCause::InUse);
            return;
        }
        let s = &truth.spec;
        if fitting(self.free(a.truths), s) == 0 {
            self.refuse(key, ExitCause::NoRoom);
            return;
        }
        let fetch = if self.images.contains(&s.image) {
            0
        } else {
            (s.image_gb / self.fetch_rate * 1000.0) as Ms
        };
        let task = OnMachine {
            stage: TaskStage::Fetching,
            cause: None,
            saved: false,
            is_gang: s.kind == JobKind::Gang,
            until: a.now + fetch,
            since: a.now + fetch,
        };
        self.next_due = self.next_due.min(task.until);
        self.has_gang_tasks |= task.is_gang;
        self.tasks.insert(key, task);
    }

    /// What is left of its room; fetching tasks count.
    pub(crate) fn free(&self, truths: &BTreeMap<JobId, Truth>) -> Room {
        let here = self.tasks.iter();
        let here = here.filter(|(_, t)| t.stage != TaskStage::Exited);
        let used = here.fold((0.0, 0.0, 0.0), |used, ((task, _), _)| {
            let s = &truths[&task.job].spec;
            (used.0 + s.cpus, used.1 + s.gpus, used.2 + s.memory_gb)
        });
        let (cpus, gpus, memory) = self.room;
        (cpus - used.0, gpus - used.1, memory - used.2)
    }

    fn refuse(&mut self, key: (TaskRef, u64), cause: ExitCause) {
        let task = OnMachine {
            stage: TaskStage::Exited,
            cause: Some(cause),
            saved: false,
            is_gang: false,
            until: 0,
            since: 0,
        };
        self.tasks.insert(key, task);
    }

    fn stop(&mut self, a: &mut Around, key: &(TaskRef, u64), grace_s: f64) {
        let Some(task) = self.tasks.get_mut(key) else {
            return;
        };
        let spec = &a.truths[&key.0.job].spec;
        let saves = spec.checkpoint_s > 0.0 && grace_s >= spec.save_s;
        match task.stage {
            TaskStage::Exited => {}
            TaskStage::Running if saves => {
                task.stage = TaskStage::Saving;
                task.until = a.now + (spec.save_s * 1000.0) as Ms;
                self.next_due = self.next_due.min(task.until);
            }
            TaskStage::Saving if grace_s > 0.0 => {}
            _ => self.exit(a, key, ExitCause::Stopped),
        }
    }

    pub(crate) fn exit(&mut self, a: &mut Around, key: &(TaskRef, u64), cause: ExitCause) {
        let Some(task) = self.tasks.get_mut(key) else {
            return;
        };
        if matches!(
            task.stage,
            TaskStage::WaitingForGang | TaskStage::Running | TaskStage::Saving
        ) {
            a.check.ended(&key.0, &self.id);
        }
        task.saved = task.stage == TaskStage::Saving && cause == ExitCause::Stopped;
        task.stage = TaskStage::Exited;
        task.cause = Some(cause);
        self.next_report = self.next_report.min(a.now + 100);
    }

    /// Kills and forgets all tasks.
    pub(crate) fn wipe(&mut self, check: &mut Checker) {
        for ((task, _), t) in std::mem::take(&mut self.tasks) {
            if !matches!(t.stage, TaskStage::Fetching | TaskStage::Exited) {
                check.ended(&task, &self.id);
            }
        }
    }

    /// Tasks whose gang has not become complete in time give up.
    pub(crate) fn give_up_waiting(&mut self, now: Ms, check: &mut Checker, wait: Ms) {
        if self.hung_until > now || !self.has_gang_tasks {
            return;
        }
        for ((task, _), t) in &mut self.tasks {
            if t.stage == TaskStage::WaitingForGang && now >= t.since + wait {
                check.ended(task, &self.id);
                t.stage = TaskStage::Exited;
                t.cause = Some(ExitCause::GangTimeout);
                self.next_report = self.next_report.min(now + 100);
            }
        }
    }

    /// Lets time pass.
    pub(crate) fn tick(&mut self, a: &mut Around) {
        self.expire(a);
        self.finish_prefetches(a.now);
        if a.now < self.next_due {
            return;
        }
        let due: Vec<(TaskRef, u64)> = self
            .tasks
            .iter()
            .filter(|(_, t)| a.now >= t.until && t.stage != TaskStage::Exited)
            .map(|(k, _)| k.clone())
            .collect();
        for key in due {
            let stage = self.tasks[&key].stage;
            match stage {
                TaskStage::Fetching => self.has_image(a, &key),
                TaskStage::Saving => self.exit(a, &key, ExitCause::Stopped),
                TaskStage::Running if a.truths[&key.0.job].mistake.is_some() => {
                    a.check.failed(a.now, &key.0, &self.id);
                    self.exit(a, &key, ExitCause::Error);
                }
                TaskStage::Running => {
                    a.check.completed(a.now, &key.0);
                    self.exit(a, &key, ExitCause::Done);
                }
                _ => {}
            }
        }
        let open = self.tasks.values();
        let open = open.filter(|t| t.stage != TaskStage::Exited);
        self.next_due = open.map(|t| t.until).min().unwrap_or(Ms::MAX);
    }

    fn has_image(&mut self, a: &mut Around, key: &(TaskRef, u64)) {
        let truth = &a.truths[&key.0.job];
        if !self.images.contains(&truth.spec.image) {
            self.images.push(truth.spec.image.clone());
        }
        let broken = truth.mistake == Some(Mistake::AtOnce);
        if broken || a.now < self.sick_until {
            a.check.failed(a.now, &key.0, &self.id);
            if broken {
                self.next_report = self.next_report.min(a.now + 500);
            }
            let task = self.tasks.get_mut(key);
            if let Some(task) = task {
                task.stage = TaskStage::Exited;
                task.cause = Some(ExitCause::Error);
            }
            return;
        }
        let place = Place {
            machine: self.id.clone(),
            machine_type: self.machine_type.clone(),
            zone: self.zone.clone(),
            spot: self.spot,
        };
        a.check.started(a.now, &key.0, place);
        let gang = truth.spec.kind == JobKind::Gang;
        let until = match (truth.spec.kind, truth.mistake) {
            (JobKind::Gang, _) => Ms::MAX,
            (_, Some(Mistake::After(time))) => a.now + time,
            (JobKind::Service, _) => Ms::MAX,
            (JobKind::Array, _) if a.check.is_completed(&key.0) => a.now,
            (JobKind::Array, _) => a.now + truth.run_ms,
        };
        if let Some(task) = self.tasks.get_mut(key) {
            task.stage = if gang {
                TaskStage::WaitingForGang
            } else {
                TaskStage::Running
            };
            task.until = until;
        }
        self.next_report = self.next_report.min(a.now + 500);
    }
}

#[cfg(test)]
mod tests;
