//! Tasks on a worker: execution of commands, changes of stage, and exits.

use super::{
    GroundTruth, Resources, Worker, WorkerContext, CHANGE_HEARTBEAT_DELAY_MS,
    EXIT_HEARTBEAT_DELAY_MS,
};
use crate::checker::{Checker, Place};
use crate::simulation::JobDefect;
use crate::Ms;
use forkshift_wire::users::JobKind;
use forkshift_wire::workers::{Command, ExitCause, TaskStage, Verb};
use forkshift_wire::{JobId, TaskRef};
use std::collections::BTreeMap;

/// A task and the number of its attempt.
pub(crate) type TaskAttempt = (TaskRef, u64);

/// A task attempt on a worker. Exited attempts stay until a `forget` command.
#[derive(Clone, Debug)]
pub(crate) struct LocalTask {
    pub(crate) stage: TaskStage,
    pub(super) cause: Option<ExitCause>,
    pub(super) is_checkpoint_saved: bool,
    /// Whether the task belongs to a gang.
    pub(crate) is_gang: bool,
    /// When the current stage ends by itself; `Ms::MAX`: never.
    pub(crate) stage_ends_at: Ms,
    /// When the image was or will be ready.
    image_ready_at: Ms,
}

impl LocalTask {
    fn fetching(is_gang: bool, image_ready_at: Ms) -> Self {
        Self {
            stage: TaskStage::Fetching,
            cause: None,
            is_checkpoint_saved: false,
            is_gang,
            stage_ends_at: image_ready_at,
            image_ready_at,
        }
    }

    fn rejected(cause: ExitCause) -> Self {
        Self {
            stage: TaskStage::Exited,
            cause: Some(cause),
            is_checkpoint_saved: false,
            is_gang: false,
            stage_ends_at: 0,
            image_ready_at: 0,
        }
    }

    fn has_exited(&self) -> bool {
        self.stage == TaskStage::Exited
    }

    /// Whether the checker counts the task as on its machine.
    fn is_started(&self) -> bool {
        !matches!(self.stage, TaskStage::Fetching | TaskStage::Exited)
    }

    fn exit(&mut self, cause: ExitCause) {
        self.stage = TaskStage::Exited;
        self.cause = Some(cause);
    }
}

impl Worker {
    /// Whether the worker has a task of a job that has not exited.
    pub(crate) fn has_task_of(&self, id: &JobId) -> bool {
        let mut tasks = self.tasks.iter();
        tasks.any(|((task, _), local)| task.job == *id && !local.has_exited())
    }

    /// Capacity that no task uses. Tasks that are still fetching their image use theirs.
    pub(crate) fn free_resources(&self, ground_truths: &BTreeMap<JobId, GroundTruth>) -> Resources {
        let tasks = self.tasks.iter().filter(|(_, local)| !local.has_exited());
        let used = tasks.fold(Resources::default(), |used, ((task, _), _)| {
            used.plus(Resources::of_task(&ground_truths[&task.job].spec))
        });
        self.capacity.minus(used)
    }

    pub(super) fn execute_commands(&mut self, context: &mut WorkerContext, commands: &[Command]) {
        let tasks_before = self.tasks.len();
        for command in commands {
            let attempt = (command.task.clone(), command.attempt);
            match command.verb {
                Verb::Start => self.start_task(context, attempt),
                Verb::Stop => self.stop_task(context, &attempt, command.grace_s.unwrap_or(0.0)),
                Verb::Forget => self.forget_task(&attempt),
            }
        }
        if tasks_before != self.tasks.len() {
            self.schedule_heartbeat_within(context.now, CHANGE_HEARTBEAT_DELAY_MS);
        }
    }

    fn forget_task(&mut self, attempt: &TaskAttempt) {
        if self.tasks.get(attempt).is_some_and(LocalTask::has_exited) {
            self.tasks.remove(attempt);
            self.forgotten.insert(attempt.clone());
        }
    }

    fn start_task(&mut self, context: &mut WorkerContext, attempt: TaskAttempt) {
        if self.tasks.contains_key(&attempt) {
            return;
        }
        let (task, now) = (&attempt.0, context.now);
        if self.forgotten.contains(&attempt) {
            context.checker.on_attempt_restarted(now, task, &self.id);
        }
        let ground_truth = context.ground_truths.get(&task.job);
        let Some(ground_truth) =
            ground_truth.filter(|ground_truth| task.index < ground_truth.spec.tasks)
        else {
            self.reject_task(attempt, ExitCause::UnknownTask);
            return;
        };
        let spec = &ground_truth.spec;
        if self.has_unfinished_attempt(task) {
            self.reject_task(attempt, ExitCause::OtherAttemptPresent);
            return;
        }
        let free = self.free_resources(context.ground_truths);
        if free.tasks_that_fit(spec) == 0 {
            self.reject_task(attempt, ExitCause::InsufficientResources);
            return;
        }
        let fetch_ms = match self.images.contains(&spec.image) {
            true => 0,
            false => self.fetch_ms(spec.image_gb),
        };
        let local = LocalTask::fetching(spec.kind == JobKind::Gang, now + fetch_ms);
        self.next_stage_end = self.next_stage_end.min(local.stage_ends_at);
        self.has_gang_tasks |= local.is_gang;
        self.tasks.insert(attempt, local);
    }

    /// Whether the worker has an attempt of a task that has not exited.
    fn has_unfinished_attempt(&self, task: &TaskRef) -> bool {
        let mut tasks = self.tasks.iter();
        tasks.any(|((other, _), local)| other == task && !local.has_exited())
    }

    fn reject_task(&mut self, attempt: TaskAttempt, cause: ExitCause) {
        self.tasks.insert(attempt, LocalTask::rejected(cause));
    }

    fn stop_task(&mut self, context: &mut WorkerContext, attempt: &TaskAttempt, grace_s: f64) {
        let Some(local) = self.tasks.get_mut(attempt) else {
            return;
        };
        let spec = &context.ground_truths[&attempt.0.job].spec;
        let saves_checkpoint =
            spec.checkpoint_interval_s > 0.0 && grace_s >= spec.checkpoint_save_time_s;
        match local.stage {
            TaskStage::Exited => {}
            TaskStage::Running if saves_checkpoint => {
                local.stage = TaskStage::Saving;
                local.stage_ends_at = context.now + (spec.checkpoint_save_time_s * 1000.0) as Ms;
                self.next_stage_end = self.next_stage_end.min(local.stage_ends_at);
            }
            TaskStage::Saving if grace_s > 0.0 => {}
            _ => self.exit_task(context, attempt, ExitCause::Stopped),
        }
    }

    /// Ends a task and schedules a heartbeat that reports the exit.
    pub(crate) fn exit_task(
        &mut self,
        context: &mut WorkerContext,
        attempt: &TaskAttempt,
        cause: ExitCause,
    ) {
        let Some(local) = self.tasks.get_mut(attempt) else {
            return;
        };
        if local.is_started() {
            context.checker.on_task_ended(&attempt.0, &self.id);
        }
        let is_saving = local.stage == TaskStage::Saving;
        local.is_checkpoint_saved = is_saving && cause == ExitCause::Stopped;
        local.exit(cause);
        self.schedule_heartbeat_within(context.now, EXIT_HEARTBEAT_DELAY_MS);
    }

    /// Kills all tasks and removes them, so that no heartbeat reports them.
    pub(crate) fn kill_all_tasks(&mut self, checker: &mut Checker) {
        for (attempt, local) in std::mem::take(&mut self.tasks) {
            if local.is_started() {
                checker.on_task_ended(&attempt.0, &self.id);
            }
            self.forgotten.insert(attempt);
        }
    }

    /// Ends the tasks whose image has been ready for `timeout` while their gang was incomplete.
    pub(crate) fn time_out_gangs(&mut self, now: Ms, checker: &mut Checker, timeout: Ms) {
        if self.hung_until > now || !self.has_gang_tasks {
            return;
        }
        let mut has_exits = false;
        for ((task, _), local) in &mut self.tasks {
            let is_waiting = local.stage == TaskStage::WaitingForGang;
            if is_waiting && now >= local.image_ready_at + timeout {
                checker.on_task_ended(task, &self.id);
                local.exit(ExitCause::GangTimeout);
                has_exits = true;
            }
        }
        if has_exits {
            self.schedule_heartbeat_within(now, EXIT_HEARTBEAT_DELAY_MS);
        }
    }

    /// Advances the tasks whose current stage is over.
    pub(super) fn advance_due_stages(&mut self, context: &mut WorkerContext) {
        if context.now < self.next_stage_end {
            return;
        }
        let tasks = self.tasks.iter();
        let due: Vec<TaskAttempt> = tasks
            .filter(|(_, local)| context.now >= local.stage_ends_at && !local.has_exited())
            .map(|(attempt, _)| attempt.clone())
            .collect();
        for attempt in due {
            self.advance_stage(context, &attempt);
        }
        let present = self.tasks.values().filter(|local| !local.has_exited());
        let ends = present.map(|local| local.stage_ends_at);
        self.next_stage_end = ends.min().unwrap_or(Ms::MAX);
    }

    fn advance_stage(&mut self, context: &mut WorkerContext, attempt: &TaskAttempt) {
        let task = &attempt.0;
        match self.tasks[attempt].stage {
            TaskStage::Fetching => self.on_image_ready(context, attempt),
            TaskStage::Saving => self.exit_task(context, attempt, ExitCause::Stopped),
            TaskStage::Running if context.ground_truths[&task.job].defect.is_some() => {
                context.checker.on_task_failed(context.now, task, &self.id);
                self.exit_task(context, attempt, ExitCause::Error);
            }
            TaskStage::Running => {
                context.checker.on_task_completed(context.now, task);
                self.exit_task(context, attempt, ExitCause::Done);
            }
            TaskStage::WaitingForGang | TaskStage::Exited => {}
        }
    }

    fn on_image_ready(&mut self, context: &mut WorkerContext, attempt: &TaskAttempt) {
        let (now, task) = (context.now, &attempt.0);
        let ground_truth = &context.ground_truths[&task.job];
        self.add_image(ground_truth.spec.image.clone());
        let is_defective = ground_truth.defect == Some(JobDefect::FailsAtStart);
        if is_defective || now < self.tasks_fail_until {
            context.checker.on_task_failed(now, task, &self.id);
            if is_defective {
                self.schedule_heartbeat_within(now, CHANGE_HEARTBEAT_DELAY_MS);
            }
            if let Some(local) = self.tasks.get_mut(attempt) {
                local.exit(ExitCause::Error);
            }
            return;
        }
        context.checker.on_task_started(now, task, self.place());
        let is_completed = context.checker.is_task_completed(task);
        let stage_ends_at = ground_truth.run_ends_at(now, is_completed);
        if let Some(local) = self.tasks.get_mut(attempt) {
            local.stage = match ground_truth.spec.kind {
                JobKind::Gang => TaskStage::WaitingForGang,
                JobKind::Array | JobKind::Service => TaskStage::Running,
            };
            local.stage_ends_at = stage_ends_at;
        }
        self.schedule_heartbeat_within(now, CHANGE_HEARTBEAT_DELAY_MS);
    }

    fn place(&self) -> Place {
        Place {
            machine: self.id.clone(),
            machine_type: self.machine_type.clone(),
            zone: self.zone.clone(),
            spot: self.spot,
        }
    }
}
