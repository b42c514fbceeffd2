//! The rules about progress: pending jobs begin in time.

use super::{Checker, Quiescence, Rule};
use crate::Ms;
use forkshift_wire::users::JobSpec;
use forkshift_wire::JobId;
use std::collections::BTreeMap;

/// Maximum time that a job may stay pending after the last fault while there is free capacity.
const MAX_PENDING_WITH_CAPACITY_MS: Ms = 90_000;
/// Maximum time from when one of the largest jobs is ready until it begins, faults included.
const MAX_LARGEST_JOB_DELAY_MS: Ms = 240_000;
/// One in this many jobs of a class, rounded up, counts as one of the largest.
const JOBS_PER_LARGEST_JOB: usize = 10;

impl Checker {
    /// Records whether a job is pending although machines have free capacity for it and its team is
    /// under its limit. The time starts anew whenever this is not so or a fault is active.
    pub fn on_job_pending(&mut self, now: Ms, id: &JobId, has_free_capacity: bool) {
        let Quiescence::Since(quiet_since) = self.quiescence else {
            self.pending_despite_capacity.clear();
            return;
        };
        if !has_free_capacity {
            self.pending_despite_capacity.remove(id);
            return;
        }
        let since = *self
            .pending_despite_capacity
            .entry(id.clone())
            .or_insert(now);
        if now > since.max(quiet_since) + MAX_PENDING_WITH_CAPACITY_MS {
            self.pending_despite_capacity.remove(id);
            self.record_violation(Rule::LeftWaiting, now, format!("{id} since {since}"));
        }
    }

    /// Checks at the end of a run that the largest jobs of each class have begun in time. Jobs that
    /// were cancelled before they began are left out.
    pub fn finish(&mut self, now: Ms) {
        let mut classes: BTreeMap<&str, Vec<&JobSpec>> = BTreeMap::new();
        for spec in self.jobs.values() {
            classes.entry(&spec.class).or_default().push(spec);
        }
        let mut late = Vec::new();
        for specs in classes.into_values() {
            let largest = largest_jobs(specs).into_iter();
            late.extend(largest.filter_map(|spec| self.late_begin(now, spec)));
        }
        for details in late {
            self.record_violation(Rule::LateBegin, now, details);
        }
    }

    /// Describes a job that did not begin in time; none if it did, or was cancelled before.
    fn late_begin(&self, now: Ms, spec: &JobSpec) -> Option<String> {
        let requested_at = *self.first_requested_at.get(&spec.id)?;
        let ready_at = self.ready_since(&spec.id, requested_at)?;
        let began_at = self.began_at.get(&spec.id);
        let until = began_at.copied().unwrap_or(now);
        let is_cancelled = began_at.is_none() && self.is_cancel_wanted(&spec.id);
        let is_late = until > ready_at + MAX_LARGEST_JOB_DELAY_MS && !is_cancelled;
        let (id, class) = (&spec.id, &spec.class);
        is_late.then(|| format!("{id} of {class}: {began_at:?} after {ready_at}"))
    }
}

/// The largest jobs of one class by the sum of the CPUs and GPUs of all tasks.
fn largest_jobs(mut specs: Vec<&JobSpec>) -> Vec<&JobSpec> {
    let size = |spec: &JobSpec| f64::from(spec.tasks) * (spec.cpus + spec.gpus);
    specs.sort_by(|a, b| size(b).total_cmp(&size(a)));
    specs.truncate(specs.len().div_ceil(JOBS_PER_LARGEST_JOB));
    specs
}
