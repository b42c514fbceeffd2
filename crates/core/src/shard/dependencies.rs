//! Jobs that depend on other jobs.
//!
//! The permanent record of a dependency is authoritative. `done` is recorded there
//! before any dependent is started, and `aborted` before the user is told that the
//! dependency is cancelled. Both are written under a precondition on the same head,
//! so only one of the two can be recorded, and no dependent of a cancelled job has
//! ever run.
//!
//! The controller that holds a blocked job learns the final stage of a dependency in
//! three ways: from its own write, from a message of the controller that recorded
//! the stage, and, as messages may be lost, by polling the dependency's record at a
//! rate within a fraction of the store's request rate limit. A cancelled dependency
//! cancels the dependent, which is recorded and announced in the same way, so that
//! the cancellation reaches all transitive dependents, whichever controllers hold
//! them.

use crate::api::parse_job_record;
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

/// Least interval between two reads of a dependency's record, as a fraction of the
/// cancellation timeout: the time in which a cancelled job must have stopped running.
const READ_INTERVAL_FRACTION: f64 = 0.1;
/// Fraction of the key-value store's request rate limit that all controllers together
/// spend on reads of dependencies.
const READ_RATE_FRACTION: f64 = 0.05;
/// Lower bound on the read rate, in reads per second, which prevents a division by 0.
const MIN_READS_PER_S: f64 = 1e-3;
/// Pause before a failed read is retried, in milliseconds.
const RETRY_PAUSE_MS: Ms = 500;
/// How long the last evidence that a dependency is unfinished is valid, as a fraction
/// of the cancellation timeout. After that the dependency may have been cancelled, so
/// the stage of its dependents is uncertain.
const MAX_EVIDENCE_AGE_FRACTION: f64 = 0.5;

/// Priorities, indexed by the number that encodes them in messages.
const PRIORITIES: [Priority; 4] = [
    Priority::Low,
    Priority::Normal,
    Priority::High,
    Priority::Production,
];

/// An unfinished dependency of blocked jobs that this controller holds.
struct Dependency {
    /// The jobs that are blocked by the dependency.
    dependents: BTreeSet<JobId>,
    has_read_in_flight: bool,
    /// The latest time at which the dependency is known to have been unfinished, in
    /// milliseconds of the steady clock. Initially the time of registration.
    last_known_unfinished_at: Ms,
    /// Shard of the dependency; none until its record was read.
    shard: Option<ShardId>,
}

/// Unfinished dependencies of the blocked jobs that this controller holds.
#[derive(Default)]
pub(crate) struct DependencyTracker {
    unfinished: BTreeMap<JobId, Dependency>,
    /// Deadlines of the next read of each dependency's record.
    read_timers: TimerQueue<JobId>,
}

impl DependencyTracker {
    /// Registers a job that is blocked by a dependency, and makes a read of the
    /// dependency's record due.
    fn add(&mut self, dependency: &JobId, dependent: &JobId, now: Ms) {
        let entry = self.unfinished.entry(dependency.clone());
        let entry = entry.or_insert_with(|| Dependency {
            dependents: BTreeSet::new(),
            has_read_in_flight: false,
            last_known_unfinished_at: now,
            shard: None,
        });
        entry.dependents.insert(dependent.clone());
        self.read_timers.mark_due(dependency);
    }

    /// Removes a finished dependency, and returns the jobs that it blocked.
    fn remove(&mut self, dependency: &JobId) -> BTreeSet<JobId> {
        self.read_timers.remove(dependency);
        let entry = self.unfinished.remove(dependency);
        entry.map(|d| d.dependents).unwrap_or_default()
    }

    /// The jobs that are blocked by a dependency.
    fn dependents_of(&self, dependency: &JobId) -> impl Iterator<Item = &JobId> {
        let entry = self.unfinished.get(dependency);
        entry.into_iter().flat_map(|d| &d.dependents)
    }

    /// Interval between two reads of the same record, in milliseconds: long enough
    /// that all controllers together keep within `READ_RATE_FRACTION`.
    fn read_interval_ms(&self, ctx: &Context) -> Ms {
        let min_interval_ms = ctx.config.cancellation_timeout_ms as f64 * READ_INTERVAL_FRACTION;
        let rate = ctx.limits.rps * READ_RATE_FRACTION / ctx.config.nodes.len().max(1) as f64;
        let read_all_ms = self.unfinished.len() as f64 * 1000.0 / rate.max(MIN_READS_PER_S);
        min_interval_ms.max(read_all_ms) as Ms
    }
}

impl Job {
    /// Whether the job has dependencies that are not known to be done.
    pub(crate) fn is_blocked(&self) -> bool {
        !self.unresolved_dependencies.is_empty()
    }

    /// Removes a dependency that is done. Returns whether that unblocked the job,
    /// whose age counts from then on.
    fn resolve_dependency(&mut self, dependency: &JobId, now: Ms) -> bool {
        if !self.unresolved_dependencies.remove(dependency) || self.is_blocked() {
            return false;
        }
        self.submission_age = EventAge {
            age_when_learned_ms: 0,
            learned_at: now,
        };
        true
    }

    /// The job's own priority or the highest of its dependents, whichever is higher.
    pub(crate) fn priority(&self) -> Priority {
        self.inherited_priority.max(self.spec.priority)
    }
}

impl Node {
    /// Registers new blocked jobs, unblocks or cancels the dependents of jobs whose
    /// final stage has become known, and sends the due reads of dependencies.
    pub(crate) fn update_dependencies(&mut self) {
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

    /// Registers the dependencies of blocked jobs that were added since the last call,
    /// and passes the jobs' priorities on to the dependencies.
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
            let unresolved: Vec<JobId> = job.unresolved_dependencies.iter().cloned().collect();
            for dependency in &unresolved {
                match self.final_stages.get(dependency) {
                    Some(stage) => self.on_dependency_ended(&id, dependency, stage),
                    None => self.dependencies.add(dependency, &id, self.ctx.now),
                }
            }
            self.raise_inherited_priority(unresolved, priority);
        }
    }

    /// Handles a final stage that has become known: announces it if this controller
    /// recorded it, and updates the dependents held here.
    fn on_job_ended(&mut self, end: &FinalStage) {
        if end.is_recorded_here {
            self.announce_job_ended(end);
        }
        for dependent in self.dependencies.remove(&end.id) {
            self.on_dependency_ended(&dependent, &end.id, end.stage);
        }
    }

    /// Updates a dependent after the end of a dependency. A dependency that is done
    /// no longer blocks the dependent. If the dependency is cancelled, which is
    /// durable, the dependent and its transitive dependents are cancelled: those that
    /// this controller holds at once, the others by their holders.
    fn on_dependency_ended(&mut self, dependent: &JobId, dependency: &JobId, stage: JobStage) {
        if stage == JobStage::Cancelled {
            self.cancel_dependents(dependent, dependency);
            return;
        }
        let now = self.ctx.now;
        let Some(shard) = active_shard_of_mut(&mut self.shards, dependent) else {
            return;
        };
        let job = shard.jobs.get_mut(dependent);
        if job.is_some_and(|job| job.resolve_dependency(dependency, now)) {
            log::debug!("job {dependent}: unblocked, {dependency} is done");
            shard.schedule_round_soon(&self.ctx);
        }
    }

    /// Cancels a job whose dependency was cancelled, and its transitive dependents as
    /// far as this controller holds them.
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

    /// Announces a job's final stage to the other controllers. Controllers of the first
    /// release don't know the message, so none is sent while the finalized format is
    /// theirs.
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

    /// Handles another controller's message that it has recorded a job's final stage.
    pub(crate) fn on_job_ended_message(&mut self, id: &str, cancelled: bool) {
        let Some(id) = JobId::parse(id) else { return };
        let stage = if cancelled {
            JobStage::Cancelled
        } else {
            JobStage::Done
        };
        self.final_stages.insert(id, stage);
    }

    /// Sends the due reads of dependencies' records, and drops dependencies that no
    /// longer block any job held here.
    fn read_dependencies(&mut self) {
        let interval_ms = self.dependencies.read_interval_ms(&self.ctx);
        for id in self.dependencies.read_timers.pop_due(self.ctx.now) {
            self.ctx.work_units += 1;
            let shards = &self.shards;
            let is_blocked = |dependent: &JobId| {
                let job = shards.values().find_map(|s| s.jobs.get(dependent));
                job.is_some_and(|j| j.unresolved_dependencies.contains(&id) && !j.is_cancelled)
            };
            let Some(dependency) = self.dependencies.unfinished.get_mut(&id) else {
                continue;
            };
            // The shard of a dependent may have been handed over since.
            dependency.dependents.retain(is_blocked);
            if dependency.dependents.is_empty() {
                self.dependencies.unfinished.remove(&id);
                continue;
            }
            self.dependencies
                .read_timers
                .set_deadline(&id, self.ctx.now + interval_ms);
            // The final stage of a dependency held here becomes known without a read.
            if dependency.has_read_in_flight || active_shard_of(shards, &id).is_some() {
                continue;
            }
            dependency.has_read_in_flight = true;
            let path = format!("/kv/{}", job_key(&id));
            let pending = PendingCall::DependencyRead {
                id: id.clone(),
                sent: self.ctx.now,
            };
            self.ctx.read_store(Urgency::Tasks, path, pending);
        }
    }

    /// Handles the read of a dependency's record, which was requested at `sent`. An
    /// unfinished dependency's holder is sent the priority of the dependents.
    pub(crate) fn on_dependency_read(&mut self, id: &JobId, sent: Ms, status: u16, body: &[u8]) {
        let Some(dependency) = self.dependencies.unfinished.get_mut(id) else {
            return;
        };
        dependency.has_read_in_flight = false;
        let record = parse_job_record(body).filter(|_| status == 200);
        let Some(record) = record else {
            self.dependencies
                .read_timers
                .set_deadline(id, self.ctx.now + RETRY_PAUSE_MS);
            return;
        };
        if record.stage.is_final() {
            self.final_stages.insert(id.clone(), record.stage);
            return;
        }
        dependency.last_known_unfinished_at = dependency.last_known_unfinished_at.max(sent);
        dependency.shard = Some(record.shard);
        self.send_inherited_priority(id, record.shard);
    }

    /// Whether every dependency of a blocked job is held here or was known to be
    /// unfinished recently enough. Otherwise one may be cancelled, and another
    /// controller may have told a user so.
    pub(crate) fn are_dependencies_known_unfinished(&self, job: &Job) -> bool {
        let max_age_ms =
            (self.ctx.config.cancellation_timeout_ms as f64 * MAX_EVIDENCE_AGE_FRACTION) as Ms;
        let is_recently_unfinished = |id: &JobId| {
            let dependency = self.dependencies.unfinished.get(id);
            let since = dependency.map(|d| d.last_known_unfinished_at);
            active_shard_of(&self.shards, id).is_some()
                || since.is_none_or(|t| self.ctx.now < t + max_age_ms)
        };
        job.unresolved_dependencies
            .iter()
            .all(is_recently_unfinished)
    }

    /// Raises the inherited priority of jobs and their transitive dependencies to the
    /// priority of a dependent. For jobs of other shards, a message is sent to the
    /// shard's holder, once the shard is known.
    fn raise_inherited_priority(&mut self, mut jobs: Vec<JobId>, priority: Priority) {
        while let Some(id) = jobs.pop() {
            let Some(shard) = active_shard_of_mut(&mut self.shards, &id) else {
                let shard = self.dependencies.unfinished.get(&id).and_then(|d| d.shard);
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
            jobs.extend(job.unresolved_dependencies.iter().cloned());
            shard.schedule_round_soon(&self.ctx);
        }
    }

    /// Sends the highest priority of a dependency's dependents to the controller that
    /// holds the dependency's shard.
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

    /// Handles another controller's message that a job with this priority depends on a
    /// job that is held here. Unreadable ids and unknown priorities are ignored.
    pub(crate) fn on_inherited_priority_message(&mut self, id: &str, priority: u8) {
        let (Some(id), Some(priority)) = (JobId::parse(id), PRIORITIES.get(usize::from(priority)))
        else {
            return;
        };
        if active_shard_of(&self.shards, &id).is_some() {
            self.raise_inherited_priority(vec![id], *priority);
        }
    }
}

#[cfg(test)]
mod tests;
