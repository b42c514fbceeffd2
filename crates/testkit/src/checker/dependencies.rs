//! The rules about dependencies between jobs.

use super::{Checker, Rule};
use crate::Ms;
use forkshift_wire::users::JobStage;
use forkshift_wire::JobId;
use std::collections::BTreeSet;

impl Checker {
    /// Direct and indirect dependencies of a job.
    fn transitive_dependencies(&self, id: &JobId) -> BTreeSet<JobId> {
        let mut dependencies = BTreeSet::new();
        let mut to_visit = vec![id.clone()];
        while let Some(id) = to_visit.pop() {
            let spec = self.jobs.get(&id);
            for dependency in spec.into_iter().flat_map(|s| &s.dependencies) {
                if dependencies.insert(dependency.clone()) {
                    to_visit.push(dependency.clone());
                }
            }
        }
        dependencies
    }

    /// Whether all tasks of a job have completed.
    pub(crate) fn is_job_completed(&self, id: &JobId) -> bool {
        let done = self.completed_tasks.get(id).map_or(0, BTreeSet::len) as u32;
        self.jobs.get(id).is_some_and(|s| done == s.tasks)
    }

    /// Whether a direct dependency of a job has not completed.
    pub(crate) fn is_blocked(&self, id: &JobId) -> bool {
        let spec = self.jobs.get(id);
        let mut dependencies = spec.into_iter().flat_map(|s| &s.dependencies);
        dependencies.any(|d| !self.is_job_completed(d))
    }

    /// Checks that the dependencies of a job have completed as one of its tasks starts. `task`
    /// names the task.
    pub(super) fn check_dependencies(&mut self, now: Ms, id: &JobId, task: &str) {
        if self.is_blocked(id) {
            self.record_violation(Rule::TooEarly, now, format!("{task} starts"));
        }
    }

    /// Records that the dependents of a completed job are ready, unless they have other incomplete
    /// dependencies.
    pub(super) fn record_ready_dependents(&mut self, now: Ms, completed: &JobId) {
        let depends = |id: &&JobId| self.jobs[*id].dependencies.contains(completed);
        let ids: Vec<JobId> = self.jobs.keys().filter(depends).cloned().collect();
        for id in ids {
            if !self.is_blocked(&id) {
                self.ready_at.entry(id).or_insert(now);
            }
        }
    }

    /// When a job became ready: when it was submitted or its last dependency completed, whichever
    /// is later. None while a dependency is incomplete.
    pub(super) fn ready_since(&self, id: &JobId, submitted: Ms) -> Option<Ms> {
        let spec = self.jobs.get(id)?;
        if spec.dependencies.is_empty() {
            return Some(submitted);
        }
        if self.is_blocked(id) {
            return None;
        }
        Some(
            self.ready_at
                .get(id)
                .map_or(submitted, |t| submitted.max(*t)),
        )
    }

    /// Whether a job may be cancelled: its cancellation was requested, or the cancellation of a
    /// direct or indirect dependency that was not reported as done.
    pub fn is_cancel_wanted(&self, id: &JobId) -> bool {
        let cancels_others = |id: &JobId| {
            self.cancel_requested.contains(id) && self.final_stage(id) != Some(JobStage::Done)
        };
        self.cancel_requested.contains(id)
            || self.transitive_dependencies(id).iter().any(cancels_others)
    }

    /// Checks a job that is reported as queued or running: none of its dependencies may have been
    /// cancelled longer ago than the cancellation time.
    pub(super) fn check_orphaned(&mut self, now: Ms, id: &JobId) {
        let dependencies = self.transitive_dependencies(id);
        let cancelled = dependencies
            .iter()
            .filter_map(|dependency| Some((dependency, self.cancelled_at(dependency)?)));
        let first = cancelled.min_by_key(|(_, at)| *at);
        if let Some((dependency, _)) = first.filter(|(_, at)| now > at + self.cancel_ms) {
            let details = format!("{id}, which needs {dependency}");
            self.record_violation(Rule::Orphaned, now, details);
        }
    }

    /// Checks that a submission is not refused with 422 for dependencies that are all accepted.
    pub(crate) fn check_admission(&mut self, now: Ms, id: &JobId, status: u16) {
        let spec = self.jobs.get(id);
        let dependencies = spec.map(|s| s.dependencies.clone()).unwrap_or_default();
        let are_accepted = dependencies.iter().all(|id| self.is_accepted(id));
        if status == 422 && !dependencies.is_empty() && are_accepted {
            let details = format!("{id}: 422 of {dependencies:?}");
            self.record_violation(Rule::WrongAnswer, now, details);
        }
    }
}
