//! Gangs, whose tasks start together and end together on several machines.

use super::Simulation;
use crate::worker::WorkerContext;
use crate::Ms;
use forkshift_wire::workers::{ExitCause, TaskStage};
use forkshift_wire::{JobId, MachineId, TaskRef};
use std::collections::BTreeMap;

/// A task of an attempt of a gang that has its image and has not exited.
struct GangMember {
    machine: MachineId,
    task: TaskRef,
    stage: TaskStage,
}

/// A job and the number of its attempt.
type Attempt = (JobId, u64);

/// The transition that an attempt of a gang makes now.
enum Transition {
    None,
    /// All tasks begin to run.
    Run,
    /// All tasks exit.
    Exit(ExitCause),
}

impl Simulation {
    /// Starts gangs that are complete, and ends gangs that are done, have failed, have lost a member
    /// or were incomplete for too long.
    pub(super) fn tick_gangs(&mut self) {
        for worker in self.workers.by_id.values_mut() {
            worker.time_out_gangs(self.now, &mut self.checker, self.config.gang_wait_ms);
        }
        for (attempt, members) in self.gang_members() {
            match self.gang_transition(&attempt, &members) {
                Transition::None => {}
                Transition::Run => self.run_gang(&attempt, &members),
                Transition::Exit(cause) => self.exit_gang(attempt.1, &members, cause),
            }
        }
    }

    fn gang_members(&self) -> BTreeMap<Attempt, Vec<GangMember>> {
        let mut attempts: BTreeMap<Attempt, Vec<GangMember>> = BTreeMap::new();
        let workers = self.workers.by_id.values();
        for worker in workers.filter(|worker| worker.has_gang_tasks) {
            for ((task, attempt), local) in &worker.tasks {
                let is_ready =
                    matches!(local.stage, TaskStage::WaitingForGang | TaskStage::Running);
                if !local.is_gang || !is_ready {
                    continue;
                }
                let members = attempts.entry((task.job.clone(), *attempt)).or_default();
                members.push(GangMember {
                    machine: worker.id.clone(),
                    task: task.clone(),
                    stage: local.stage,
                });
            }
        }
        attempts
    }

    fn gang_transition(&self, attempt: &Attempt, members: &[GangMember]) -> Transition {
        let ground_truth = &self.ground_truths[&attempt.0];
        let is_complete = members.len() as u32 == ground_truth.spec.tasks;
        let mut stages = members.iter().map(|member| member.stage);
        let is_waiting = stages.any(|stage| stage == TaskStage::WaitingForGang);
        let began_at: Option<Ms> = self.workers.gang_starts.get(attempt).copied();
        match began_at {
            None if is_complete && is_waiting => Transition::Run,
            _ if self.has_gang_completed(&attempt.0) => Transition::Exit(ExitCause::Done),
            Some(at) if is_complete && ground_truth.has_failed_by(at, self.now) => {
                Transition::Exit(ExitCause::Error)
            }
            Some(at) if is_complete && self.now >= at + ground_truth.run_ms => {
                Transition::Exit(ExitCause::Done)
            }
            Some(_) if !is_complete => Transition::Exit(ExitCause::GangMemberLost),
            _ => Transition::None,
        }
    }

    fn has_gang_completed(&self, job: &JobId) -> bool {
        (0..self.ground_truths[job].spec.tasks).all(|index| {
            let job = job.clone();
            self.checker.is_task_completed(&TaskRef { job, index })
        })
    }

    fn run_gang(&mut self, attempt: &Attempt, members: &[GangMember]) {
        let starts = &mut self.workers.gang_starts;
        starts.insert(attempt.clone(), self.now);
        for member in members {
            let worker = self.workers.by_id.get_mut(&member.machine);
            let key = (member.task.clone(), attempt.1);
            if let Some(local) = worker.and_then(|worker| worker.tasks.get_mut(&key)) {
                local.stage = TaskStage::Running;
            }
        }
    }

    fn exit_gang(&mut self, attempt: u64, members: &[GangMember], cause: ExitCause) {
        for GangMember { machine, task, .. } in members {
            let mut context = WorkerContext::new(
                self.now,
                &self.ground_truths,
                &mut self.checker,
                self.config.lease_ms,
            );
            match cause {
                ExitCause::Done => context.checker.on_task_completed(context.now, task),
                ExitCause::Error => context.checker.on_task_failed(context.now, task, machine),
                _ => {}
            }
            let worker = self.workers.by_id.get_mut(machine);
            if let Some(worker) = worker.filter(|worker| worker.hung_until <= context.now) {
                worker.exit_task(&mut context, &(task.clone(), attempt), cause);
            }
        }
    }
}
