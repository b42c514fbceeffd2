//! Measurements of the time until jobs are accepted and tasks start.

use super::Checker;
use crate::Ms;
use forkshift_wire::users::Priority;
use forkshift_wire::{JobId, TaskRef};
use std::collections::{BTreeMap, BTreeSet};

/// Measurement of the first start of a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FirstStart {
    /// Priority of the task's job.
    pub priority: Priority,
    /// Time from the first request about the task's job to the start, in milliseconds.
    pub after_ms: Ms,
}

/// Measurements since they were last taken.
#[derive(Clone, Debug, Default)]
pub(crate) struct StartMeasurements {
    /// First starts of tasks since the last call of [`Checker::take_observations`].
    pub starts: Vec<FirstStart>,
    /// Times from the first request about a job to its acceptance, in milliseconds.
    pub acceptances: Vec<Ms>,
    /// All tasks that have ever started, so that restarts are not measured.
    started: BTreeMap<JobId, BTreeSet<u32>>,
}

impl Checker {
    /// Starts measuring the times until tasks start and jobs are accepted.
    pub fn observe(&mut self) {
        self.observations.get_or_insert_default();
    }

    /// Takes the measurements since the last call: first starts of tasks, and times until
    /// acceptance in milliseconds. Both are empty unless [`Checker::observe`] was called.
    pub fn take_observations(&mut self) -> (Vec<FirstStart>, Vec<Ms>) {
        let Some(observations) = &mut self.observations else {
            return Default::default();
        };
        (
            std::mem::take(&mut observations.starts),
            std::mem::take(&mut observations.acceptances),
        )
    }

    /// Measures the first start of a task. Later starts are restarts and are left out.
    pub(super) fn measure_start(&mut self, now: Ms, task: &TaskRef, priority: Priority) {
        let requested_at = self
            .first_requested_at
            .get(&task.job)
            .copied()
            .unwrap_or(now);
        let Some(observations) = &mut self.observations else {
            return;
        };
        let started = observations.started.entry(task.job.clone()).or_default();
        if started.insert(task.index) {
            let after = now.saturating_sub(requested_at);
            observations.starts.push(FirstStart {
                priority,
                after_ms: after,
            });
        }
    }
}
