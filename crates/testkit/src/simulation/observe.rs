//! What a world shows to those who look at it from outside.

use super::users::UserState;
use super::{JobCounts, World, WALL_CLOCK_OFFSET_MS};
use crate::cloud::Boot;
use crate::Ms;
use forkshift_core::{records, Node};
use forkshift_wire::users::{JobKind, JobStage};
use forkshift_wire::workers::TaskStage;
use forkshift_wire::{JobId, MachineId, TaskRef};
use std::collections::{BTreeMap, BTreeSet};

impl World {
    /// What the state service has below a prefix.
    pub fn store_entries(&self, prefix: &str) -> Vec<(String, serde_json::Value)> {
        self.store.entries_with_prefix(prefix)
    }

    /// When the cloud's charge for each machine began, and when it ended.
    pub fn billing_periods(&self) -> &BTreeMap<MachineId, (Ms, Option<Ms>)> {
        &self.cloud.billing_periods
    }

    /// Tasks of some jobs that are on machines and have not exited, and whether each runs.
    pub fn tasks_of(&self, jobs: &BTreeSet<JobId>) -> Vec<(TaskRef, MachineId, bool)> {
        let mut found = Vec::new();
        for worker in self.workers.values() {
            let tasks = worker.tasks.iter();
            let tasks = tasks
                .filter(|((task, _), t)| jobs.contains(&task.job) && t.stage != TaskStage::Exited);
            found.extend(tasks.map(|((task, _), t)| {
                let runs = t.stage == TaskStage::Running;
                (task.clone(), worker.id.clone(), runs)
            }));
        }
        found
    }

    /// The time of day, as all controllers have it.
    pub fn wall_clock(&self) -> Ms {
        self.now + WALL_CLOCK_OFFSET_MS
    }

    /// The time.
    pub fn now(&self) -> Ms {
        self.now
    }

    /// Requests that the state service would have refused by its limits with
    /// 429, of how many.
    pub fn over_limit(&self) -> (u64, u64) {
        self.store.over_limit
    }

    /// Transactions that the state service refused for their size.
    pub fn too_large(&self) -> u64 {
        self.store.too_large
    }

    /// The format that the controllers have finalized, as it is recorded.
    pub fn finalized_format(&self) -> Option<u64> {
        self.store.value(records::FINALIZED_FORMAT)?.as_u64()
    }

    /// Records that were put, with their keys, since they are kept.
    pub fn kept_records(&self) -> &[(String, serde_json::Value)] {
        self.store.recorded_puts.as_deref().unwrap_or_default()
    }

    /// Messages between controllers since they are kept.
    pub fn kept_messages(&self) -> &[Vec<u8>] {
        self.recorded_messages.as_deref().unwrap_or_default()
    }

    /// When a user was first told that a job is cancelled.
    pub fn cancelled_at(&self, id: &JobId) -> Option<Ms> {
        self.check.cancelled_at(id)
    }

    /// How many jobs are accepted, and how they stand.
    pub fn job_counts(&self) -> JobCounts {
        let mut counts = JobCounts::default();
        let ids = self.users.iter().map(|u| &u.plan.spec.id);
        for id in ids.filter(|id| self.check.is_accepted(id)) {
            counts.accepted += 1;
            match self.check.final_stage(id) {
                Some(JobStage::Done) => counts.done += 1,
                Some(JobStage::Cancelled) => counts.cancelled += 1,
                _ if self.check.running_tasks(id) > 0 => counts.running += 1,
                _ => counts.waiting += 1,
            }
        }
        counts
    }

    /// Replicas of services that were started again.
    pub fn replicas_restarted(&self) -> u64 {
        let specs = self.users.iter().map(|u| &u.plan.spec);
        let services = specs.filter(|s| s.kind == JobKind::Service);
        let again = services.map(|s| self.check.starts_of(&s.id).saturating_sub(s.tasks.into()));
        again.sum()
    }

    /// What a quiet end must show: everything accepted is done, or runs.
    pub fn unfinished_jobs(&self) -> Vec<String> {
        let mut left = Vec::new();
        for user in &self.users {
            let spec = &user.plan.spec;
            if user.state == UserState::Submitting {
                left.push(format!("{}: not accepted", spec.id));
            }
            if user.state != UserState::Polling
                || user.plan.cancel_at.is_none() && spec.kind == JobKind::Service
            {
                continue;
            }
            let tasks = (0..spec.tasks).map(|index| TaskRef {
                job: spec.id.clone(),
                index,
            });
            let cancelled = self.check.is_cancel_confirmed(&spec.id);
            let done = tasks.clone().all(|t| self.check.is_task_completed(&t));
            if !cancelled && self.check.is_cancel_wanted(&spec.id) && !done {
                left.push(format!("{}: not cancelled", spec.id));
            } else if !cancelled && !done && spec.kind != JobKind::Service {
                left.push(format!(
                    "{}: {:?} of {} tasks is not done",
                    spec.id, spec.kind, spec.tasks
                ));
            }
        }
        left
    }

    /// Machines that the cloud has been told to delete, or has taken.
    pub fn terminated_machines(&self) -> usize {
        self.cloud.terminated_count
    }

    /// Reports of workers so far, and what controllers that are up looked at.
    pub fn work_counts(&self) -> (u64, u64) {
        let nodes = self.controllers.iter().filter_map(|h| h.node.as_ref());
        (self.heartbeats_sent, nodes.map(Node::visits).sum())
    }

    /// Machines that were rented.
    pub fn provisioned_machines(&self) -> usize {
        self.cloud.terminated_count + self.cloud.machines.len()
    }

    /// Machines that were given up as their records say, and why.
    pub fn decommissioned(&self) -> &BTreeMap<MachineId, String> {
        &self.store.decommissioned
    }

    /// Rentals so far: when, type, zone, and how many machines were had.
    pub fn provisioning_log(&self) -> &[(Ms, String, String, u32)] {
        &self.cloud.provisioning_log
    }

    /// The boots of all machines that were rented, in the order of rental.
    pub fn boots(&self) -> &[Boot] {
        &self.cloud.boots
    }

    /// Machines that are paid for and not up.
    pub fn booting(&self) -> usize {
        let all = self.cloud.machines.values();
        all.filter(|m| !m.failed && m.up_at > self.now).count()
    }

    /// Machines that are up.
    pub fn machines(&self) -> usize {
        self.workers.len()
    }

    /// Most machines that were up at a time.
    pub fn max_machines(&self) -> usize {
        self.max_machines
    }

    /// A digest of everything that the controllers have sent, which is the
    /// same for two runs in which they did the same at the same times.
    pub fn digest(&self) -> u64 {
        self.digest.value()
    }

    /// Puts and deletes that the state service has carried out.
    pub fn writes(&self) -> u64 {
        self.store.writes
    }
}
