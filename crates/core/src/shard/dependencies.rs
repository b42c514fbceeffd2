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
//! the stage, and, as messages may be lost, from the job feed. A job whose dependency
//! is cancelled is bound to be cancelled as well, and so are its own dependents, even
//! before that is recorded. Each controller therefore cancels all transitive
//! dependents that it holds at once, without waiting for the jobs in between.

mod check;
mod priorities;

pub(crate) use check::DependencyCheck;

use crate::job_feed::ReadPriority;
use crate::node::{active_shard_of_mut, Node};
use crate::recent_jobs::FinalStage;
use crate::records::ShardId;
use crate::shard::job::{EventAge, Job};
use crate::shard::RecoveryState;
use crate::Ms;
use forkshift_wire::peer::Body;
use forkshift_wire::users::{JobStage, Priority};
use forkshift_wire::{JobId, NodeName};
use std::collections::{BTreeMap, BTreeSet};

/// Interval at which the dependencies of all blocked jobs are reviewed, as a fraction of
/// the cancellation timeout: the time in which a cancelled job must have stopped running.
const REVIEW_INTERVAL_FRACTION: f64 = 0.1;

/// Unfinished dependencies of the blocked jobs that this controller holds.
#[derive(Default)]
pub(crate) struct DependencyTracker {
    /// The blocked jobs by the dependencies that block them.
    dependents: BTreeMap<JobId, BTreeSet<JobId>>,
    /// When the dependencies are reviewed next, in milliseconds of the steady clock.
    next_review_at: Ms,
}

impl DependencyTracker {
    /// Whether no job that this controller holds is blocked.
    pub(crate) fn is_empty(&self) -> bool {
        self.dependents.is_empty()
    }

    /// Registers a job that is blocked by a dependency.
    fn add(&mut self, dependency: &JobId, dependent: &JobId) {
        let dependents = self.dependents.entry(dependency.clone()).or_default();
        dependents.insert(dependent.clone());
    }

    /// Removes a finished dependency, and returns the jobs that it blocked.
    fn remove(&mut self, dependency: &JobId) -> BTreeSet<JobId> {
        self.dependents.remove(dependency).unwrap_or_default()
    }

    /// The jobs that are blocked by a dependency.
    fn dependents_of(&self, dependency: &JobId) -> impl Iterator<Item = &JobId> {
        self.dependents.get(dependency).into_iter().flatten()
    }

    /// Keeps only the pairs of dependency and dependent for which `is_blocked_by(dependent,
    /// dependency)` holds.
    fn retain(&mut self, is_blocked_by: impl Fn(&JobId, &JobId) -> bool) {
        self.dependents.retain(|dependency, dependents| {
            dependents.retain(|dependent| is_blocked_by(dependent, dependency));
            !dependents.is_empty()
        });
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
    /// final stage has become known, and keeps the job feed running for the others.
    pub(crate) fn update_dependencies(&mut self) {
        self.register_blocked_jobs();
        self.process_final_stages();
        if !self.dependencies.is_empty() && self.ctx.now >= self.dependencies.next_review_at {
            let config = &self.ctx.config;
            let interval_ms = config.cancellation_fraction_ms(REVIEW_INTERVAL_FRACTION);
            self.dependencies.next_review_at = self.ctx.now + interval_ms;
            self.review_dependencies();
        }
        if self.job_feed.take_progress() {
            self.resume_lookups();
            self.resume_admissions();
        }
        self.expire_delayed_lookups();
        self.expire_admissions();
        self.update_job_feed();
    }

    fn process_final_stages(&mut self) {
        let mut finished = self.final_stages.take_unannounced();
        while !finished.is_empty() {
            for job in &finished {
                self.on_job_ended(job);
            }
            finished = self.final_stages.take_unannounced();
        }
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
        let mut registered = BTreeSet::new();
        for (shard_id, id) in &new_jobs {
            let shard = self.shards.get(shard_id);
            let job = shard.and_then(|shard| shard.jobs.get(id));
            let Some(job) = job.filter(|j| j.is_blocked() && !j.is_cancelled) else {
                continue;
            };
            let priority = job.priority();
            let unresolved: Vec<JobId> = job.unresolved_dependencies.iter().cloned().collect();
            self.register_dependencies(id, &unresolved);
            self.raise_inherited_priority(unresolved.clone(), priority);
            registered.extend(unresolved);
        }
        if !registered.is_empty() {
            self.review_dependency_records(&registered);
        }
    }

    /// Registers the unresolved dependencies of a blocked job, except those that are known to
    /// have ended.
    fn register_dependencies(&mut self, id: &JobId, unresolved: &[JobId]) {
        for dependency in unresolved {
            match self.final_stages.get(dependency) {
                Some(JobStage::Cancelled) => {
                    self.cancel_with_dependents(vec![id.clone()], dependency);
                }
                Some(_) => self.resolve_dependency(id, dependency),
                None => self.dependencies.add(dependency, id),
            }
        }
    }

    /// Handles a final stage that has become known: announces it if this controller
    /// recorded it, and unblocks or cancels the dependents. A cancellation that is
    /// recorded is passed on through dependents that other controllers hold.
    fn on_job_ended(&mut self, end: &FinalStage) {
        if end.is_recorded_here {
            self.announce_job_ended(end);
        }
        if end.stage == JobStage::Cancelled {
            self.cancel_with_dependents(self.known_dependents_of(&end.id), &end.id);
        }
        self.job_feed.remove(&end.id);
        for dependent in self.dependencies.remove(&end.id) {
            if end.stage != JobStage::Cancelled {
                self.resolve_dependency(&dependent, &end.id);
            }
        }
    }

    /// Removes a dependency that is done from a blocked job.
    fn resolve_dependency(&mut self, dependent: &JobId, dependency: &JobId) {
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

    /// The jobs that are known here to depend directly on a job, whoever holds them.
    fn known_dependents_of(&self, id: &JobId) -> Vec<JobId> {
        let held = self.dependencies.dependents_of(id);
        held.chain(self.job_feed.dependents_of(id))
            .cloned()
            .collect()
    }

    /// Cancels jobs whose dependency was cancelled, and their transitive dependents, as far
    /// as this controller holds them. Their other holders do the same.
    fn cancel_with_dependents(&mut self, mut pending: Vec<JobId>, dependency: &JobId) {
        let mut visited = BTreeSet::new();
        while let Some(id) = pending.pop() {
            if !visited.insert(id.clone()) {
                continue;
            }
            pending.extend(self.known_dependents_of(&id));
            let Some(shard) = active_shard_of_mut(&mut self.shards, &id) else {
                continue;
            };
            if shard.jobs.get(&id).is_some_and(|job| !job.is_cancelled) {
                log::info!("job {id}: cancelled, dependency {dependency} is cancelled");
                shard.cancel(&self.ctx, &id);
            }
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

    /// Drops dependencies that no longer block any job held here, requests what is not known
    /// of the others, and repeats the messages about their priorities, which may be lost.
    fn review_dependencies(&mut self) {
        let shards = &self.shards;
        self.dependencies.retain(|dependent, dependency| {
            // The shard of a dependent may have been handed over since.
            let job = shards.values().find_map(|s| s.jobs.get(dependent));
            job.is_some_and(|job| {
                job.unresolved_dependencies.contains(dependency) && !job.is_cancelled
            })
        });
        let tracked: BTreeSet<JobId> = self.dependencies.dependents.keys().cloned().collect();
        self.review_dependency_records(&tracked);
        for id in &tracked {
            if let Some(job) = self.job_feed.unfinished(id) {
                let shard = job.shard;
                self.send_inherited_priority(id, shard);
            }
        }
    }

    /// Handles the read of a dependency's record that shows it unfinished: reads the records
    /// of its own dependencies as far as they are not known, and passes on the priority and
    /// the cancellation that are known of them.
    pub(crate) fn on_dependency_unfinished(&mut self, id: &JobId, shard: ShardId) {
        self.review_dependency_records(&BTreeSet::from([id.clone()]));
        self.send_inherited_priority(id, shard);
    }

    /// Requests the records of those jobs and of their transitive dependencies that are not
    /// known, and cancels the dependents of those that are cancelled.
    fn review_dependency_records(&mut self, ids: &BTreeSet<JobId>) {
        let walk = self.walk_dependencies(ids);
        self.job_feed
            .read(walk.unknown, ReadPriority::Background, self.ctx.now);
        for cancelled in walk.cancelled {
            self.cancel_with_dependents(self.known_dependents_of(&cancelled), &cancelled);
        }
    }
}

#[cfg(test)]
mod tests;
