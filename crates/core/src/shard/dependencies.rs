//! Jobs with dependencies.
//!
//! The lasting record of a dependency decides. `done` is recorded there before a
//! dependent is started, `aborted` before its user is answered; both are written
//! under a precondition on the same head, so only one of them can be, and a
//! dependent of a cancelled job has never run.
//!
//! The holder of a blocked job learns of its dependencies in three ways: from
//! its own writes, from messages of whoever has recorded a final stage, and, as
//! messages may be lost, by reading their records repeatedly, at a rate that
//! keeps within a part of the request budget. A cancelled dependency cancels the
//! job, which is recorded and announced in the same way, so that it propagates
//! to all dependents, whoever holds them.

use crate::api::read_job;
use crate::context::Context;
use crate::node::{active_shard_of, active_shard_of_mut, Node};
use crate::pending_call::PendingCall;
use crate::recent_jobs::FinalStage;
use crate::records::{job_key, ShardId};
use crate::shard::job::{EventAge, Job};
use crate::shard::RecoveryState;
use crate::store::queue::Urgency;
use crate::timers::TimerQueue;
use crate::Ms;
use forkshift_wire::peer::Body;
use forkshift_wire::users::{JobStage, Priority};
use forkshift_wire::{JobId, NodeName};
use std::collections::{BTreeMap, BTreeSet};

/// A record of a dependency is read again after this part of the time in which
/// a cancelled job must be over.
const READ_PART: f64 = 0.1;
/// The part of the key-value store's request rate that goes into such reads.
const READ_RATE_PART: f64 = 0.05;
/// Least rate of reads that is assumed, per second.
const MIN_READ_RATE: f64 = 1e-3;
/// Pause after a read that failed, in milliseconds.
const RETRY_PAUSE_MS: Ms = 500;
/// What was read of a dependency counts for this part of the time in which a
/// cancelled job must be over; after it the stage of a dependent is uncertain.
const CERTAIN_PART: f64 = 0.5;

/// Priorities by the numbers that stand for them in messages.
const PRIORITIES: [Priority; 4] = [
    Priority::Low,
    Priority::Normal,
    Priority::High,
    Priority::Production,
];

/// A dependency of jobs that this controller holds.
struct Dependency {
    /// The jobs that wait for it.
    dependents: BTreeSet<JobId>,
    /// A read of its record is under way.
    is_reading: bool,
    /// The latest time at which it is known to have been unfinished, in
    /// milliseconds of the steady clock.
    unfinished_at: Ms,
    /// Its shard, if its record was read.
    shard: Option<ShardId>,
}

/// The dependencies of the blocked jobs that this controller holds.
#[derive(Default)]
pub(crate) struct DependencyTracker {
    /// Unfinished dependencies.
    waiting: BTreeMap<JobId, Dependency>,
    /// When the record of which dependency is to be read.
    reads: TimerQueue<JobId>,
}

impl DependencyTracker {
    /// Adds a job that waits for a dependency.
    fn add(&mut self, dependency: &JobId, dependent: &JobId, now: Ms) {
        let entry = self.waiting.entry(dependency.clone());
        let entry = entry.or_insert_with(|| Dependency {
            dependents: BTreeSet::new(),
            is_reading: false,
            unfinished_at: now,
            shard: None,
        });
        entry.dependents.insert(dependent.clone());
        self.reads.mark_due(dependency);
    }

    /// Removes a finished dependency, and returns the jobs that waited for it.
    fn remove(&mut self, dependency: &JobId) -> BTreeSet<JobId> {
        self.reads.remove(dependency);
        let entry = self.waiting.remove(dependency);
        entry.map(|d| d.dependents).unwrap_or_default()
    }

    /// The jobs that wait for a dependency.
    fn dependents_of(&self, dependency: &JobId) -> impl Iterator<Item = &JobId> {
        let entry = self.waiting.get(dependency);
        entry.into_iter().flat_map(|d| &d.dependents)
    }

    /// Pause between two reads of a record, so that all controllers together
    /// keep within their part of the requests.
    fn pause(&self, ctx: &Context) -> Ms {
        let min_pause_ms = ctx.config.cancellation_timeout_ms as f64 * READ_PART;
        let rate = ctx.limits.rps * READ_RATE_PART / ctx.config.nodes.len().max(1) as f64;
        let read_all_ms = self.waiting.len() as f64 * 1000.0 / rate.max(MIN_READ_RATE);
        min_pause_ms.max(read_all_ms) as Ms
    }
}

impl Job {
    /// Whether it waits for other jobs.
    pub(crate) fn is_blocked(&self) -> bool {
        !self.unresolved.is_empty()
    }

    /// Notes that a dependency is done. Returns whether it was the last one: the
    /// job's age counts from then on.
    fn resolve(&mut self, dependency: &JobId, now: Ms) -> bool {
        if !self.unresolved.remove(dependency) || self.is_blocked() {
            return false;
        }
        self.submission_age = EventAge {
            when_learned_ms: 0,
            learned_at: now,
        };
        true
    }

    /// Its own priority or the highest of its dependents, whichever is higher.
    pub(crate) fn priority(&self) -> Priority {
        self.inherited_priority.max(self.spec.priority)
    }
}

impl Node {
    /// Registers new blocked jobs, and acts on dependencies that have finished.
    pub(crate) fn follow_dependencies(&mut self) {
        self.register_blocked_jobs();
        let mut finished = self.final_stages.take_unannounced();
        while !finished.is_empty() {
            for job in &finished {
                self.on_job_ended(job);
            }
            finished = self.final_stages.take_unannounced();
        }
        self.read_dependencies();
    }

    /// Registers the dependencies of jobs that were added since the last call.
    fn register_blocked_jobs(&mut self) {
        let mut new_jobs: Vec<(ShardId, JobId)> = Vec::new();
        for (shard_id, shard) in &mut self.shards {
            if shard.recovery_state == RecoveryState::Active {
                let ids = std::mem::take(&mut shard.new_blocked_jobs);
                new_jobs.extend(ids.into_iter().map(|id| (*shard_id, id)));
            }
        }
        for (shard_id, id) in new_jobs {
            let shard = self.shards.get(&shard_id);
            let job = shard.and_then(|shard| shard.jobs.get(&id));
            let Some(job) = job.filter(|j| j.is_blocked() && !j.is_cancelled) else {
                continue;
            };
            let priority = job.priority();
            let unresolved: Vec<JobId> = job.unresolved.iter().cloned().collect();
            for dependency in &unresolved {
                match self.final_stages.get(dependency) {
                    Some(stage) => self.resolve(&id, dependency, stage),
                    None => self.dependencies.add(dependency, &id, self.ctx.now),
                }
            }
            self.raise_priority(unresolved, priority);
        }
    }

    /// Handles the end of a job, whose final stage has become known.
    fn on_job_ended(&mut self, end: &FinalStage) {
        if end.is_ours {
            self.announce_job_ended(end);
        }
        for dependent in self.dependencies.remove(&end.id) {
            self.resolve(&dependent, &end.id, end.stage);
        }
    }

    /// Applies the final stage of a dependency to a dependent. If the dependency
    /// is done, the dependent has one less to wait for. If it is cancelled, that
    /// is recorded, so the dependent and all its own dependents are cancelled:
    /// those held here at once.
    fn resolve(&mut self, dependent: &JobId, dependency: &JobId, stage: JobStage) {
        if stage == JobStage::Cancelled {
            self.cancel_dependents(dependent, dependency);
            return;
        }
        let now = self.ctx.now;
        let Some(shard) = active_shard_of_mut(&mut self.shards, dependent) else {
            return;
        };
        let job = shard.jobs.get_mut(dependent);
        if job.is_some_and(|job| job.resolve(dependency, now)) {
            log::debug!("job {dependent}: unblocked, {dependency} is done");
            shard.schedule_round_soon(&self.ctx);
        }
    }

    /// Cancels a job of which a dependency was cancelled, and all that depend on
    /// it, as far as they are held here.
    fn cancel_dependents(&mut self, dependent: &JobId, dependency: &JobId) {
        let mut pending = vec![dependent.clone()];
        while let Some(id) = pending.pop() {
            let Some(shard) = active_shard_of_mut(&mut self.shards, &id) else {
                continue;
            };
            if shard.jobs.get(&id).is_none_or(|job| job.is_cancelled) {
                continue;
            }
            log::info!("job {id}: cancelled, dependency {dependency} is cancelled");
            shard.cancel(&self.ctx, &id);
            pending.extend(self.dependencies.dependents_of(&id).cloned());
        }
    }

    /// Announces to the other controllers that a job is finished. Those of the
    /// first release know no dependencies.
    fn announce_job_ended(&mut self, end: &FinalStage) {
        if self.ctx.format.is_first() {
            return;
        }
        let own_name = self.ctx.config.node.clone();
        let peers: Vec<NodeName> = self.ctx.config.nodes.clone();
        for peer in peers.iter().filter(|peer| **peer != own_name) {
            let body = Body::JobEnded {
                id: end.id.to_string(),
                cancelled: end.stage == JobStage::Cancelled,
            };
            self.ctx.send_to_peer(peer, 0, body);
        }
    }

    /// Handles the message of another controller that a job is finished.
    pub(crate) fn on_job_ended_message(&mut self, id: &str, cancelled: bool) {
        let Some(id) = JobId::parse(id) else { return };
        let stage = if cancelled {
            JobStage::Cancelled
        } else {
            JobStage::Done
        };
        self.final_stages.insert(id, stage);
    }

    /// Reads the records of dependencies that are due.
    fn read_dependencies(&mut self) {
        let pause = self.dependencies.pause(&self.ctx);
        for id in self.dependencies.reads.take_due(self.ctx.now) {
            self.ctx.work_units += 1;
            let shards = &self.shards;
            let waits = |dependent: &JobId| {
                let job = shards.values().find_map(|s| s.jobs.get(dependent));
                job.is_some_and(|j| j.unresolved.contains(&id) && !j.is_cancelled)
            };
            let Some(dependency) = self.dependencies.waiting.get_mut(&id) else {
                continue;
            };
            // Their shard may have another holder now.
            dependency.dependents.retain(waits);
            if dependency.dependents.is_empty() {
                self.dependencies.waiting.remove(&id);
                continue;
            }
            self.dependencies
                .reads
                .set_deadline(&id, self.ctx.now + pause);
            // The end of a job that is held here is known at once.
            if dependency.is_reading || active_shard_of(shards, &id).is_some() {
                continue;
            }
            dependency.is_reading = true;
            let path = format!("/kv/{}", job_key(&id));
            let pending = PendingCall::DependencyRead {
                id: id.clone(),
                sent: self.ctx.now,
            };
            self.ctx.read_store(Urgency::Tasks, path, pending);
        }
    }

    /// Handles the read of a dependency's record.
    pub(crate) fn on_dependency_read(&mut self, id: &JobId, sent: Ms, status: u16, body: &[u8]) {
        let Some(dependency) = self.dependencies.waiting.get_mut(id) else {
            return;
        };
        dependency.is_reading = false;
        let record = read_job(body).filter(|_| status == 200);
        let Some(record) = record else {
            self.dependencies
                .reads
                .set_deadline(id, self.ctx.now + RETRY_PAUSE_MS);
            return;
        };
        if record.stage.is_final() {
            self.final_stages.insert(id.clone(), record.stage);
            return;
        }
        dependency.unfinished_at = dependency.unfinished_at.max(sent);
        dependency.shard = Some(record.shard);
        self.send_inherited_priority(id, record.shard);
    }

    /// Whether every dependency of a blocked job was recently known to be
    /// unfinished.
    pub(crate) fn is_known_unfinished(&self, job: &Job) -> bool {
        let max_age_ms = (self.ctx.config.cancellation_timeout_ms as f64 * CERTAIN_PART) as Ms;
        let is_certain = |id: &JobId| {
            let dependency = self.dependencies.waiting.get(id);
            let since = dependency.map(|d| d.unfinished_at);
            active_shard_of(&self.shards, id).is_some()
                || since.is_none_or(|t| self.ctx.now < t + max_age_ms)
        };
        job.unresolved.iter().all(is_certain)
    }

    /// Raises the inherited priority of jobs, and of all their dependencies, to
    /// that of a dependent.
    fn raise_priority(&mut self, mut jobs: Vec<JobId>, priority: Priority) {
        while let Some(id) = jobs.pop() {
            let Some(shard) = active_shard_of_mut(&mut self.shards, &id) else {
                let shard = self.dependencies.waiting.get(&id).and_then(|d| d.shard);
                if let Some(shard) = shard {
                    self.send_inherited_priority(&id, shard);
                }
                continue;
            };
            let Some(job) = shard.jobs.get_mut(&id) else {
                continue;
            };
            if job.inherited_priority >= priority {
                continue;
            }
            job.inherited_priority = priority;
            jobs.extend(job.unresolved.iter().cloned());
            shard.schedule_round_soon(&self.ctx);
        }
    }

    /// Sends the highest priority of a dependency's dependents to its holder.
    fn send_inherited_priority(&mut self, id: &JobId, shard: ShardId) {
        let dependents = self.dependencies.dependents_of(id);
        let jobs = dependents.filter_map(|d| self.shards.values().find_map(|s| s.jobs.get(d)));
        let Some(priority) = jobs.map(Job::priority).max() else {
            return;
        };
        let body = Body::InheritPriority {
            id: id.to_string(),
            priority: priority as u8,
        };
        self.send_to_holder(shard, body);
    }

    /// Handles the message that a job of another controller depends on one that
    /// is held here.
    pub(crate) fn on_inherited_priority_message(&mut self, id: &str, priority: u8) {
        let (Some(id), Some(priority)) = (JobId::parse(id), PRIORITIES.get(usize::from(priority)))
        else {
            return;
        };
        if active_shard_of(&self.shards, &id).is_some() {
            self.raise_priority(vec![id], *priority);
        }
    }
}

#[cfg(test)]
mod tests;
