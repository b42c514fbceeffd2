//! The check that a job's transitive dependencies are not cancelled.
//!
//! A job may be reported as queued or running only if, at some recent time, none of its
//! transitive dependencies was recorded as cancelled: its user may otherwise have been told
//! long ago that one is. Every controller makes the same check before it gives such an
//! answer, whether it holds the job, answers from the job's record, or accepts it.

use crate::node::Node;
use crate::shard::job::Job;
use crate::Ms;
use forkshift_wire::users::JobStage;
use forkshift_wire::JobId;
use std::collections::BTreeSet;

/// Greatest age of the knowledge that a job's dependencies are not cancelled, as a fraction
/// of the cancellation timeout. The rest is left for clock drift and for the answer's way.
const MAX_AGE_FRACTION: f64 = 0.5;

/// What is known of the transitive dependencies of a job.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum DependencyCheck {
    /// None was cancelled as of a recent time.
    NotCancelled,
    /// One is cancelled, so that the job is bound to be cancelled.
    Cancelled,
    /// One may have been cancelled. The state of these jobs is not known at all; what is
    /// known of the others may be outdated.
    Uncertain(BTreeSet<JobId>),
}

/// What a walk through the transitive dependencies of jobs has found.
#[derive(Debug)]
pub(crate) struct DependencyWalk {
    /// Jobs that are recorded as cancelled. The walk doesn't go beyond them.
    pub(crate) cancelled: Vec<JobId>,
    /// Jobs of which nothing is known. The walk can't go beyond them.
    pub(crate) unknown: BTreeSet<JobId>,
    /// The time as of which none of the other jobs was recorded as cancelled, in milliseconds
    /// of the steady clock.
    pub(crate) not_cancelled_as_of: Ms,
}

impl Node {
    /// Checks the transitive dependencies of a job that names `dependencies`.
    pub(crate) fn check_dependencies<'a>(
        &'a self,
        dependencies: impl IntoIterator<Item = &'a JobId>,
    ) -> DependencyCheck {
        let walk = self.walk_dependencies(dependencies);
        let max_age_ms = self.ctx.config.cancellation_fraction_ms(MAX_AGE_FRACTION);
        let is_recent = self.ctx.now < walk.not_cancelled_as_of + max_age_ms;
        if !walk.cancelled.is_empty() {
            DependencyCheck::Cancelled
        } else if is_recent && walk.unknown.is_empty() {
            DependencyCheck::NotCancelled
        } else {
            DependencyCheck::Uncertain(walk.unknown)
        }
    }

    /// Visits jobs and their transitive dependencies.
    pub(crate) fn walk_dependencies<'a>(
        &'a self,
        ids: impl IntoIterator<Item = &'a JobId>,
    ) -> DependencyWalk {
        // Another holder of the shard may have recorded cancellations since the lease expired.
        let has_valid_lease = self.membership.has_valid_lease(&self.ctx, &self.view);
        let mut walk = DependencyWalk {
            cancelled: Vec::new(),
            unknown: BTreeSet::new(),
            not_cancelled_as_of: self.ctx.now,
        };
        let mut visited: BTreeSet<&JobId> = BTreeSet::new();
        let mut pending: Vec<&JobId> = ids.into_iter().collect();
        while let Some(id) = pending.pop() {
            if !visited.insert(id) {
                continue;
            }
            match self.final_stages.get(id) {
                Some(JobStage::Cancelled) => walk.cancelled.push(id.clone()),
                Some(_) => {}
                None => {
                    let held = self.held_job(id).filter(|_| has_valid_lease);
                    pending.extend(self.visit_unfinished(&mut walk, id, held));
                }
            }
        }
        walk
    }

    /// Adds a job without a known final stage to the walk, and returns its dependencies.
    /// `held` is the job in memory, if this controller is its holder.
    fn visit_unfinished<'a>(
        &'a self,
        walk: &mut DependencyWalk,
        id: &JobId,
        held: Option<&'a Job>,
    ) -> Vec<&'a JobId> {
        if let Some(job) = held {
            if job.is_cancellation_durable {
                walk.cancelled.push(id.clone());
                return Vec::new();
            }
            if job.is_cancelled {
                // The cancellation may have been recorded at any time since its request.
                let age_ms = job.cancellation_age_ms(self.ctx.now);
                let requested_at = self.ctx.now.saturating_sub(age_ms);
                walk.not_cancelled_as_of = walk.not_cancelled_as_of.min(requested_at);
            }
            return job.unresolved_dependencies.iter().collect();
        }
        let Some(job) = self.job_feed.unfinished(id) else {
            walk.unknown.insert(id.clone());
            return Vec::new();
        };
        let as_of = self.job_feed.unfinished_as_of(job);
        walk.not_cancelled_as_of = walk.not_cancelled_as_of.min(as_of);
        job.dependencies.iter().collect()
    }
}
