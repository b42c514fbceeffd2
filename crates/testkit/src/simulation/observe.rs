//! Read access to a simulation, for tests, the soak program and the emulator.

use super::users::{User, UserState};
use super::{Simulation, WALL_CLOCK_OFFSET_MS};
use crate::cloud::{Boot, ProvisionedMachines};
use crate::Ms;
use forkshift_core::{records, Node};
use forkshift_wire::users::{JobKind, JobSpec, JobStage};
use forkshift_wire::workers::TaskStage;
use forkshift_wire::{JobId, MachineId, TaskRef};
use std::collections::{BTreeMap, BTreeSet};

/// Counts of accepted jobs by the final stage that was reported to users or, if none was, by
/// whether a task is on a machine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct JobCounts {
    /// All accepted jobs.
    pub accepted: u64,
    /// Jobs that were reported as done.
    pub done: u64,
    /// Jobs that were reported as cancelled.
    pub cancelled: u64,
    /// Other jobs with a task on a machine.
    pub running: u64,
    /// Other jobs without a task on a machine.
    pub waiting: u64,
}

impl Simulation {
    /// Keys and values of the store's entries whose keys have a prefix, ordered by key.
    pub fn store_entries(&self, prefix: &str) -> Vec<(String, serde_json::Value)> {
        self.store.entries_with_prefix(prefix)
    }

    /// Start and end of the billing of each machine, in virtual time; no end: it is still billed.
    pub fn billing_periods(&self) -> &BTreeMap<MachineId, (Ms, Option<Ms>)> {
        &self.cloud.billing_periods
    }

    /// Tasks of some jobs that have not exited, each with its machine and whether it runs, as opposed
    /// to fetching its image, waiting for its gang or saving a checkpoint.
    pub fn tasks_of(&self, jobs: &BTreeSet<JobId>) -> Vec<(TaskRef, MachineId, bool)> {
        let mut found = Vec::new();
        for worker in self.workers.by_id.values() {
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

    /// Current wall-clock time in milliseconds, as all controllers see it.
    pub fn wall_clock(&self) -> Ms {
        self.now + WALL_CLOCK_OFFSET_MS
    }

    /// Current virtual time.
    pub fn now(&self) -> Ms {
        self.now
    }

    /// Number of requests beyond the store's rate limits, and of all requests to the store.
    pub fn rate_limit_counts(&self) -> (u64, u64) {
        self.store.rate_limit_counts
    }

    /// Number of transactions that the store refused for their size.
    pub fn oversized_transactions(&self) -> u64 {
        self.store.oversized_transactions
    }

    /// The finalized format version according to the store; none before the first finalization.
    pub fn finalized_format(&self) -> Option<u64> {
        self.store.value(records::FINALIZED_FORMAT_KEY)?.as_u64()
    }

    /// Keys and values of all puts since [`Simulation::record_puts_and_messages`]; empty if it was
    /// not called.
    pub fn recorded_puts(&self) -> &[(String, serde_json::Value)] {
        self.store.recorded_puts.as_deref().unwrap_or_default()
    }

    /// Messages between controllers since [`Simulation::record_puts_and_messages`]; empty if it was
    /// not called.
    pub fn recorded_messages(&self) -> &[Vec<u8>] {
        self.traffic
            .recorded_messages
            .as_deref()
            .unwrap_or_default()
    }

    /// When a response first confirmed that a job is cancelled.
    pub fn cancelled_at(&self, id: &JobId) -> Option<Ms> {
        self.checker.cancelled_at(id)
    }

    /// Counts of the accepted jobs by stage.
    pub fn job_counts(&self) -> JobCounts {
        let mut counts = JobCounts::default();
        let ids = self.users.iter().map(|u| &u.plan.spec.id);
        for id in ids.filter(|id| self.checker.is_accepted(id)) {
            counts.accepted += 1;
            match self.checker.final_stage(id) {
                Some(JobStage::Done) => counts.done += 1,
                Some(JobStage::Cancelled) => counts.cancelled += 1,
                _ if self.checker.running_tasks(id) > 0 => counts.running += 1,
                _ => counts.waiting += 1,
            }
        }
        counts
    }

    /// Number of task starts of services beyond the first start of each replica.
    pub fn replicas_restarted(&self) -> u64 {
        let specs = self.users.iter().map(|u| &u.plan.spec);
        let services = specs.filter(|s| s.kind == JobKind::Service);
        let again = services.map(|s| self.checker.starts_of(&s.id).saturating_sub(s.tasks.into()));
        again.sum()
    }

    /// Descriptions of the jobs that are not as they must be at the end of a run without active
    /// faults: not accepted or refused, requested to be cancelled but not confirmed, or, except for
    /// services, not completed.
    pub fn unfinished_jobs(&self) -> Vec<String> {
        let users = self.users.iter();
        users
            .filter_map(|user| self.unfinished_reason(user))
            .collect()
    }

    fn unfinished_reason(&self, user: &User) -> Option<String> {
        let spec = &user.plan.spec;
        let is_service = spec.kind == JobKind::Service;
        match user.state {
            UserState::Submitting => return Some(format!("{}: not accepted", spec.id)),
            UserState::Polling if user.plan.cancel_at.is_some() || !is_service => {}
            _ => return None,
        }
        if self.checker.is_cancel_confirmed(&spec.id) || self.has_completed(spec) {
            return None;
        }
        if self.checker.is_cancel_wanted(&spec.id) {
            return Some(format!("{}: not cancelled", spec.id));
        }
        let (id, kind, tasks) = (&spec.id, spec.kind, spec.tasks);
        (!is_service).then(|| format!("{id}: {kind:?} of {tasks} tasks is not done"))
    }

    fn has_completed(&self, spec: &JobSpec) -> bool {
        (0..spec.tasks).all(|index| {
            let job = spec.id.clone();
            self.checker.is_task_completed(&TaskRef { job, index })
        })
    }

    /// Number of machines that were deleted or reclaimed.
    pub fn terminated_machines(&self) -> usize {
        self.cloud.terminated_count
    }

    /// Number of heartbeats sent by all workers, and number of items that the running controllers
    /// have visited. Tests use the latter to bound the controllers' work.
    pub fn heartbeat_and_visit_counts(&self) -> (u64, u64) {
        let nodes = self
            .controllers
            .iter()
            .filter_map(|controller| controller.node.as_ref());
        (self.workers.heartbeats_sent, nodes.map(Node::visits).sum())
    }

    /// Number of calls with commands that controllers have sent to workers.
    pub fn command_calls(&self) -> u64 {
        self.traffic.command_calls
    }

    /// Number of machines that were ever provisioned.
    pub fn provisioned_machines(&self) -> usize {
        self.cloud.terminated_count + self.cloud.machines.len()
    }

    /// Machines whose record was ever marked as decommissioned, with the first reason.
    pub fn decommissioned(&self) -> &BTreeMap<MachineId, String> {
        &self.store.decommissioned
    }

    /// The requests so far that provisioned machines.
    pub fn provisioning_log(&self) -> &[ProvisionedMachines] {
        &self.cloud.provisioning_log
    }

    /// The boots of all machines, in the order of provisioning.
    pub fn boots(&self) -> &[Boot] {
        &self.cloud.boots
    }

    /// Number of machines that are billed and not up.
    pub fn booting_machines(&self) -> usize {
        let all = self.cloud.machines.values();
        all.filter(|m| !m.failed && m.up_at > self.now).count()
    }

    /// Number of machines that are up.
    pub fn machines(&self) -> usize {
        self.workers.by_id.len()
    }

    /// Maximum number of machines that were up at the same time.
    pub fn max_machines(&self) -> usize {
        self.workers.max_count
    }

    /// A digest of all messages of the simulated controllers. It is equal for two runs in which the
    /// controllers sent the same messages at the same times.
    pub fn digest(&self) -> u64 {
        self.traffic.digest.value()
    }

    /// Number of puts and removals that the store has executed.
    pub fn writes(&self) -> u64 {
        self.store.writes
    }
}
