//! Measurements of starts and acceptances.

use super::Checker;
use crate::Ms;
use forkshift_wire::users::Priority;
use forkshift_wire::{JobId, TaskRef};
use std::collections::{BTreeMap, BTreeSet};

/// The first start of a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FirstStart {
    /// Priority of its job.
    pub priority: Priority,
    /// Time since the first request about its job, in milliseconds.
    pub after_ms: Ms,
}

/// Measurements that have not been taken yet.
#[derive(Clone, Debug, Default)]
pub(crate) struct StartMeasurements {
    /// First starts of tasks.
    pub starts: Vec<FirstStart>,
    /// Times from the first attempt to submit until the acceptance, in
    /// milliseconds.
    pub acceptances: Vec<Ms>,
    /// Tasks that have started.
    started: BTreeMap<JobId, BTreeSet<u32>>,
}

impl Checker {
    /// Measures starts and acceptances from now on.
    pub fn observe(&mut self) {
        self.observations.get_or_insert_default();
    }

    /// Takes the measurements since the last call: first starts, and times until acceptances.
    pub fn take_observations(&mut self) -> (Vec<FirstStart>, Vec<Ms>) {
        let Some(observations) = &mut self.observations else {
            return Default::default();
        };
        (
            std::mem::take(&mut observations.starts),
            std::mem::take(&mut observations.acceptances),
        )
    }

    /// Measures a start, unless the task had started before.
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
