//! The rules about jobs that wait for others, and what follows from them.

use super::{Checker, Rule};
use crate::Ms;
use forkshift_wire::users::JobStage;
use forkshift_wire::JobId;
use std::collections::BTreeSet;

impl Checker {
    /// Jobs that a job needs, directly or through others.
    fn transitive_dependencies(&self, id: &JobId) -> BTreeSet<JobId> {
        let mut needed = BTreeSet::new();
        let mut open = vec![id.clone()];
        while let Some(id) = open.pop() {
            let spec = self.jobs.get(&id);
            for dependency in spec.into_iter().flat_map(|s| &s.dependencies) {
                if needed.insert(dependency.clone()) {
                    open.push(dependency.clone());
                }
            }
        }
        needed
    }

    /// Whether all tasks of a job have completed.
    pub(crate) fn is_job_completed(&self, id: &JobId) -> bool {
        let done = self.completed_tasks.get(id).map_or(0, BTreeSet::len) as u32;
        self.jobs.get(id).is_some_and(|s| done == s.tasks)
    }

    /// Whether a job waits for another that has not completed.
    pub(crate) fn is_blocked(&self, id: &JobId) -> bool {
        let spec = self.jobs.get(id);
        let mut dependencies = spec.into_iter().flat_map(|s| &s.dependencies);
        dependencies.any(|d| !self.is_job_completed(d))
    }

    /// A task of a job has started.
    pub(super) fn check_dependencies(&mut self, now: Ms, id: &JobId, what: &str) {
        if self.is_blocked(id) {
            self.record_violation(Rule::TooEarly, now, format!("{what} starts"));
        }
    }

    /// A job has completed: from now on the times count of those that waited
    /// for nothing else.
    pub(super) fn record_ready_dependents(&mut self, now: Ms, completed: &JobId) {
        let waits = |id: &&JobId| self.jobs[*id].dependencies.contains(completed);
        let ids: Vec<JobId> = self.jobs.keys().filter(waits).cloned().collect();
        for id in ids {
            if !self.is_blocked(&id) {
                self.ready_at.entry(id).or_insert(now);
            }
        }
    }

    /// Since when a job could begin, as far as others that it needs matter;
    /// none: it could not yet.
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

    /// Whether its user has asked to cancel it, or that of a job that it needs
    /// has, and was not told that this one is done.
    pub fn is_cancel_wanted(&self, id: &JobId) -> bool {
        let cancels_others = |id: &JobId| {
            self.cancel_requested.contains(id) && self.final_stage(id) != Some(JobStage::Done)
        };
        self.cancel_requested.contains(id)
            || self.transitive_dependencies(id).iter().any(cancels_others)
    }

    /// A user was told that a job is queued or running.
    pub(super) fn check_orphaned(&mut self, now: Ms, id: &JobId) {
        let needed = self.transitive_dependencies(id);
        let cancelled = needed
            .iter()
            .filter_map(|n| Some((n, self.cancelled_at(n)?)));
        let first = cancelled.min_by_key(|(_, at)| *at);
        if let Some((needed, _)) = first.filter(|(_, at)| now > at + self.cancel_ms) {
            let what = format!("{id}, which needs {needed}");
            self.record_violation(Rule::Orphaned, now, what);
        }
    }

    /// A submission that names only jobs that were accepted got an answer.
    pub(crate) fn check_admission(&mut self, now: Ms, id: &JobId, status: u16) {
        let spec = self.jobs.get(id);
        let named = spec.map(|s| s.dependencies.clone()).unwrap_or_default();
        if status == 422 && !named.is_empty() && named.iter().all(|d| self.is_accepted(d)) {
            self.record_violation(Rule::WrongAnswer, now, format!("{id}: 422 of {named:?}"));
        }
    }
}
