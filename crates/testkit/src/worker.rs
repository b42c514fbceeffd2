//! A stand-in for a worker.

use crate::checker::{Checker, Place};
use crate::simulation::JobDefect;
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
pub(crate) struct GroundTruth {
    pub(crate) spec: JobSpec,
    pub(crate) run_ms: Ms,
    pub(crate) mistake: Option<JobDefect>,
}

impl GroundTruth {
    /// Whether a gang that began to run then has failed by now.
    pub(crate) fn has_failed_by(&self, began: Ms, now: Ms) -> bool {
        matches!(self.mistake, Some(JobDefect::FailsAfter(time)) if now >= began + time)
    }
}

#[derive(Clone, Debug)]
pub(crate) struct LocalTask {
    pub(crate) stage: TaskStage,
    cause: Option<ExitCause>,
    is_checkpoint_saved: bool,
    /// Whether it is of a gang.
    pub(crate) is_gang: bool,
    /// When its present stage ends by itself.
    pub(crate) stage_ends_at: Ms,
    /// Since when it has had its image.
    image_ready_at: Ms,
}

/// CPUs, GPUs and memory.
pub(crate) type Resources = (f64, f64, f64);

/// How many of a job's tasks fit into some room.
pub(crate) fn tasks_that_fit(room: Resources, s: &JobSpec) -> u32 {
    let (cpus, gpus, memory) = room;
    let parts = [(cpus, s.cpus), (gpus, s.gpus), (memory, s.memory_gb)];
    let needed = parts.into_iter().filter(|(_, need)| *need > 0.0);
    let times = needed.map(|(has, need)| ((has + 1e-6) / need).floor().max(0.0) as u32);
    times.min().unwrap_or(u32::MAX)
}

/// What a worker needs to know of the world.
pub(crate) struct WorkerContext<'a> {
    pub(crate) now: Ms,
    pub(crate) ground_truths: &'a BTreeMap<JobId, GroundTruth>,
    pub(crate) checker: &'a mut Checker,
    pub(crate) lease_ms: Ms,
}

pub(crate) struct Worker {
    pub(crate) id: MachineId,
    address: String,
    pub(crate) machine_type: String,
    pub(crate) zone: String,
    pub(crate) spot: bool,
    room: Resources,
    fetch_gb_per_s: f64,
    pub(crate) incarnation: u64,
    last_sequence: u64,
    pub(crate) token: u64,
    pub(crate) tasks: BTreeMap<(TaskRef, u64), LocalTask>,
    /// No task's stage ends by itself before this.
    next_stage_end: Ms,
    /// Whether a task of a gang has been started here.
    pub(crate) has_gang_tasks: bool,
    images: Vec<String>,
    /// Whether it tells its images, and fetches them before a task needs them.
    announces_images: bool,
    /// Images that it fetches ahead, and when each is there.
    prefetching: BTreeMap<String, Ms>,
    /// What it fetches ahead does not come before this.
    pub(crate) prefetch_stuck_until: Ms,
    /// The node that it reports to.
    pub(crate) controller: usize,
    pub(crate) next_heartbeat_at: Ms,
    /// The report under way: its number, incarnation, and when it was sent.
    pub(crate) pending_heartbeat: Option<(u64, u64, Ms)>,
    /// When the last report was sent.
    pub(crate) last_heartbeat_at: Option<Ms>,
    /// When a higher token was last reason for a report.
    last_token_heartbeat_at: Option<Ms>,
    pub(crate) lease_renewed_at: Ms,
    pub(crate) failing_until: Ms,
    pub(crate) hung_until: Ms,
    /// What others send does not reach it until then.
    pub(crate) inbound_blocked_until: Ms,
    /// What others send to it is lost until then.
    pub(crate) inbound_lost_until: Ms,
    /// It reaches no controller until then.
    pub(crate) outbound_lost_until: Ms,
    /// What it sends, and what is sent to it, takes long until then.
    pub(crate) slow_link_until: Ms,
    pub(crate) partitioned_until: Ms,
    pub(crate) reclaimed_at: Option<Ms>,
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
            address: addr,
            machine_type: t.name.clone(),
            zone: zone.to_owned(),
            spot,
            room: (t.cpus, t.gpus, t.memory_gb),
            fetch_gb_per_s: t.fetch_gb_per_s,
            incarnation: 1,
            last_sequence: 0,
            token: 0,
            tasks: BTreeMap::new(),
            next_stage_end: 0,
            has_gang_tasks: false,
            images: Vec::new(),
            announces_images: tells_images,
            prefetching: BTreeMap::new(),
            prefetch_stuck_until: 0,
            controller: 0,
            next_heartbeat_at: now,
            pending_heartbeat: None,
            last_heartbeat_at: None,
            last_token_heartbeat_at: None,
            lease_renewed_at: now,
            failing_until: 0,
            hung_until: 0,
            inbound_blocked_until: 0,
            inbound_lost_until: 0,
            outbound_lost_until: 0,
            slow_link_until: 0,
            partitioned_until: 0,
            reclaimed_at: None,
        }
    }

    /// Whether a task of a job is here that has not exited.
    pub(crate) fn has_task_of(&self, id: &JobId) -> bool {
        let mut all = self.tasks.iter();
        all.any(|((task, _), t)| task.job == *id && t.stage != TaskStage::Exited)
    }

    /// It, and what ails it, for who looks into a day.
    pub(crate) fn describe(&self, now: Ms) -> String {
        let ails = [
            ("hung", self.hung_until),
            ("cut", self.partitioned_until),
            (
                "deaf",
                self.inbound_blocked_until.max(self.inbound_lost_until),
            ),
            ("mute", self.outbound_lost_until),
            ("slow", self.slow_link_until),
        ];
        let ails: Vec<String> = ails
            .iter()
            .filter(|(_, until)| *until > now)
            .map(|(what, until)| format!("{what} until {until}"))
            .collect();
        format!(
            "{} of zone {} ({ails:?}, answered at {}, token {}, reports to {})",
            self.id, self.zone, self.lease_renewed_at, self.token, self.controller
        )
    }

    pub(crate) fn heartbeat(&mut self, now: Ms) -> WorkerHeartbeat {
        self.last_sequence += 1;
        WorkerHeartbeat {
            machine: self.id.clone(),
            addr: self.address.clone(),
            machine_type: self.machine_type.clone(),
            zone: self.zone.clone(),
            spot: self.spot,
            incarnation: self.incarnation,
            sequence: self.last_sequence,
            token: self.token,
            notice_s: self
                .reclaimed_at
                .map(|t| t.saturating_sub(now) as f64 / 1000.0),
            tasks: self
                .tasks
                .iter()
                .map(|((task, attempt), t)| TaskReport {
                    task: task.clone(),
                    attempt: *attempt,
                    stage: t.stage,
                    cause: t.cause,
                    saved: t.is_checkpoint_saved,
                })
                .collect(),
            images: self.announces_images.then(|| HeldImages {
                held: self.images.clone(),
                fetching: self.prefetching.keys().cloned().collect(),
            }),
        }
    }

    /// Whether it hangs, and its lease is over: it kills all its tasks before
    /// it does anything else.
    pub(crate) fn is_hung_without_lease(&self, now: Ms, lease_ms: Ms) -> bool {
        self.hung_until > now && now > self.lease_renewed_at + lease_ms
    }

    /// Kills and forgets all tasks if the lease is over.
    fn expire_lease(&mut self, a: &mut WorkerContext) {
        if a.now > self.lease_renewed_at + a.lease_ms {
            self.kill_all_tasks(a.checker);
            self.incarnation += 1;
            self.lease_renewed_at = a.now;
            self.pending_heartbeat = None;
        }
    }

    /// `GET /status`.
    pub(crate) fn status(&mut self, a: &mut WorkerContext) -> Vec<u8> {
        self.expire_lease(a);
        serde_json::to_vec(&self.heartbeat(a.now)).unwrap_or_default()
    }

    /// `POST /commands`. What was held up while it hung finds the next incarnation
    /// if the lease has run out meanwhile.
    pub(crate) fn handle_commands(&mut self, a: &mut WorkerContext, body: &[u8]) -> (u16, Vec<u8>) {
        self.expire_lease(a);
        let Ok(request) = serde_json::from_slice::<CommandRequest>(body) else {
            return (400, Vec::new());
        };
        let good = request.token >= self.token && request.incarnation == self.incarnation;
        if good {
            self.token = request.token;
            self.execute_commands(a, &request.commands);
            self.prefetch(a.now, &request.prefetch);
        }
        let report = serde_json::to_vec(&self.heartbeat(a.now)).unwrap_or_default();
        (if good { 200 } else { 409 }, report)
    }

    /// Begins to fetch images ahead.
    fn prefetch(&mut self, now: Ms, wanted: &[Prefetch]) {
        let is_asked_for = wanted.is_empty() || self.announces_images;
        assert!(
            is_asked_for,
            "{} was told to fetch ahead and takes no such command",
            self.id
        );
        for image in wanted {
            if self.images.contains(&image.image) || self.prefetching.contains_key(&image.image) {
                continue;
            }
            let fetch = (image.image_gb / self.fetch_gb_per_s * 1000.0) as Ms;
            self.prefetching.insert(image.image.clone(), now + fetch);
        }
    }

    /// Takes in what was fetched ahead.
    fn complete_prefetches(&mut self, now: Ms) {
        if self.prefetching.is_empty() || now < self.prefetch_stuck_until {
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
            self.next_heartbeat_at = self.next_heartbeat_at.min(now + 500);
        }
    }

    /// Loses all images, as other ones needed the room.
    pub(crate) fn evict_images(&mut self, now: Ms) {
        self.images.clear();
        self.next_heartbeat_at = self.next_heartbeat_at.min(now + 500);
    }

    /// A 200 to the report under way.
    pub(crate) fn on_heartbeat_reply(
        &mut self,
        a: &mut WorkerContext,
        token: u64,
        commands: &[Command],
    ) {
        let Some((_, incarnation, sent)) = self.pending_heartbeat.take() else {
            return;
        };
        if incarnation != self.incarnation || token < self.token {
            return;
        }
        self.token = token;
        self.lease_renewed_at = sent;
        self.execute_commands(a, commands);
    }

    /// Lets a higher token or a new incarnation be reason for a report, as the
    /// protocol has it: a token at most once in half a lease.
    pub(crate) fn schedule_changed_heartbeat(
        &mut self,
        now: Ms,
        lease_ms: Ms,
        (incarnation, token): (u64, u64),
    ) {
        let token_due = self
            .last_token_heartbeat_at
            .is_none_or(|at| now >= at + lease_ms / 2);
        let is_higher = self.token > token && token_due;
        if is_higher {
            self.last_token_heartbeat_at = Some(now);
        }
        if is_higher || self.incarnation > incarnation {
            self.next_heartbeat_at = self.next_heartbeat_at.min(now);
        }
    }

    fn execute_commands(&mut self, a: &mut WorkerContext, commands: &[Command]) {
        let before = self.tasks.len();
        for command in commands {
            let key = (command.task.clone(), command.attempt);
            match command.verb {
                Verb::Start => self.start_task(a, key),
                Verb::Stop => self.stop_task(a, &key, command.grace_s.unwrap_or(0.0)),
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
            self.next_heartbeat_at = self.next_heartbeat_at.min(a.now + 500);
        }
    }

    fn start_task(&mut self, a: &mut WorkerContext, key: (TaskRef, u64)) {
        if self.tasks.contains_key(&key) {
            return;
        }
        let Some(truth) = a
            .ground_truths
            .get(&key.0.job)
            .filter(|t| key.0.index < t.spec.tasks)
        else {
            self.reject_task(key, ExitCause::UnknownTask);
            return;
        };
        let here = |t: &LocalTask| t.stage != TaskStage::Exited;
        if self
            .tasks
            .iter()
            .any(|((task, _), t)| *task == key.0 && here(t))
        {
            self.reject_task(key, ExitCause::InUse);
            return;
        }
        let s = &truth.spec;
        if tasks_that_fit(self.free_resources(a.ground_truths), s) == 0 {
            self.reject_task(key, ExitCause::NoRoom);
            return;
        }
        let fetch = if self.images.contains(&s.image) {
            0
        } else {
            (s.image_gb / self.fetch_gb_per_s * 1000.0) as Ms
        };
        let task = LocalTask {
            stage: TaskStage::Fetching,
            cause: None,
            is_checkpoint_saved: false,
            is_gang: s.kind == JobKind::Gang,
            stage_ends_at: a.now + fetch,
            image_ready_at: a.now + fetch,
        };
        self.next_stage_end = self.next_stage_end.min(task.stage_ends_at);
        self.has_gang_tasks |= task.is_gang;
        self.tasks.insert(key, task);
    }

    /// What is left of its room; fetching tasks count.
    pub(crate) fn free_resources(&self, truths: &BTreeMap<JobId, GroundTruth>) -> Resources {
        let here = self.tasks.iter();
        let here = here.filter(|(_, t)| t.stage != TaskStage::Exited);
        let used = here.fold((0.0, 0.0, 0.0), |used, ((task, _), _)| {
            let s = &truths[&task.job].spec;
            (used.0 + s.cpus, used.1 + s.gpus, used.2 + s.memory_gb)
        });
        let (cpus, gpus, memory) = self.room;
        (cpus - used.0, gpus - used.1, memory - used.2)
    }

    fn reject_task(&mut self, key: (TaskRef, u64), cause: ExitCause) {
        let task = LocalTask {
            stage: TaskStage::Exited,
            cause: Some(cause),
            is_checkpoint_saved: false,
            is_gang: false,
            stage_ends_at: 0,
            image_ready_at: 0,
        };
        self.tasks.insert(key, task);
    }

    fn stop_task(&mut self, a: &mut WorkerContext, key: &(TaskRef, u64), grace_s: f64) {
        let Some(task) = self.tasks.get_mut(key) else {
            return;
        };
        let spec = &a.ground_truths[&key.0.job].spec;
        let saves = spec.checkpoint_s > 0.0 && grace_s >= spec.save_s;
        match task.stage {
            TaskStage::Exited => {}
            TaskStage::Running if saves => {
                task.stage = TaskStage::Saving;
                task.stage_ends_at = a.now + (spec.save_s * 1000.0) as Ms;
                self.next_stage_end = self.next_stage_end.min(task.stage_ends_at);
            }
            TaskStage::Saving if grace_s > 0.0 => {}
            _ => self.exit_task(a, key, ExitCause::Stopped),
        }
    }

    pub(crate) fn exit_task(
        &mut self,
        a: &mut WorkerContext,
        key: &(TaskRef, u64),
        cause: ExitCause,
    ) {
        let Some(task) = self.tasks.get_mut(key) else {
            return;
        };
        if matches!(
            task.stage,
            TaskStage::WaitingForGang | TaskStage::Running | TaskStage::Saving
        ) {
            a.checker.on_task_ended(&key.0, &self.id);
        }
        task.is_checkpoint_saved = task.stage == TaskStage::Saving && cause == ExitCause::Stopped;
        task.stage = TaskStage::Exited;
        task.cause = Some(cause);
        self.next_heartbeat_at = self.next_heartbeat_at.min(a.now + 100);
    }

    /// Kills and forgets all tasks.
    pub(crate) fn kill_all_tasks(&mut self, check: &mut Checker) {
        for ((task, _), t) in std::mem::take(&mut self.tasks) {
            if !matches!(t.stage, TaskStage::Fetching | TaskStage::Exited) {
                check.on_task_ended(&task, &self.id);
            }
        }
    }

    /// Tasks whose gang has not become complete in time give up.
    pub(crate) fn time_out_gangs(&mut self, now: Ms, check: &mut Checker, wait: Ms) {
        if self.hung_until > now || !self.has_gang_tasks {
            return;
        }
        for ((task, _), t) in &mut self.tasks {
            if t.stage == TaskStage::WaitingForGang && now >= t.image_ready_at + wait {
                check.on_task_ended(task, &self.id);
                t.stage = TaskStage::Exited;
                t.cause = Some(ExitCause::GangTimeout);
                self.next_heartbeat_at = self.next_heartbeat_at.min(now + 100);
            }
        }
    }

    /// Lets time pass.
    pub(crate) fn tick(&mut self, a: &mut WorkerContext) {
        self.expire_lease(a);
        self.complete_prefetches(a.now);
        if a.now < self.next_stage_end {
            return;
        }
        let due: Vec<(TaskRef, u64)> = self
            .tasks
            .iter()
            .filter(|(_, t)| a.now >= t.stage_ends_at && t.stage != TaskStage::Exited)
            .map(|(k, _)| k.clone())
            .collect();
        for key in due {
            let stage = self.tasks[&key].stage;
            match stage {
                TaskStage::Fetching => self.on_image_ready(a, &key),
                TaskStage::Saving => self.exit_task(a, &key, ExitCause::Stopped),
                TaskStage::Running if a.ground_truths[&key.0.job].mistake.is_some() => {
                    a.checker.on_task_failed(a.now, &key.0, &self.id);
                    self.exit_task(a, &key, ExitCause::Error);
                }
                TaskStage::Running => {
                    a.checker.on_task_completed(a.now, &key.0);
                    self.exit_task(a, &key, ExitCause::Done);
                }
                _ => {}
            }
        }
        let open = self.tasks.values();
        let open = open.filter(|t| t.stage != TaskStage::Exited);
        self.next_stage_end = open.map(|t| t.stage_ends_at).min().unwrap_or(Ms::MAX);
    }

    fn on_image_ready(&mut self, a: &mut WorkerContext, key: &(TaskRef, u64)) {
        let truth = &a.ground_truths[&key.0.job];
        if !self.images.contains(&truth.spec.image) {
            self.images.push(truth.spec.image.clone());
        }
        let broken = truth.mistake == Some(JobDefect::FailsAtStart);
        if broken || a.now < self.failing_until {
            a.checker.on_task_failed(a.now, &key.0, &self.id);
            if broken {
                self.next_heartbeat_at = self.next_heartbeat_at.min(a.now + 500);
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
        a.checker.on_task_started(a.now, &key.0, place);
        let gang = truth.spec.kind == JobKind::Gang;
        let until = match (truth.spec.kind, truth.mistake) {
            (JobKind::Gang, _) => Ms::MAX,
            (_, Some(JobDefect::FailsAfter(time))) => a.now + time,
            (JobKind::Service, _) => Ms::MAX,
            (JobKind::Array, _) if a.checker.is_task_completed(&key.0) => a.now,
            (JobKind::Array, _) => a.now + truth.run_ms,
        };
        if let Some(task) = self.tasks.get_mut(key) {
            task.stage = if gang {
                TaskStage::WaitingForGang
            } else {
                TaskStage::Running
            };
            task.stage_ends_at = until;
        }
        self.next_heartbeat_at = self.next_heartbeat_at.min(a.now + 500);
    }
}

#[cfg(test)]
mod tests;
