//! What the checker notes for measurements.

use super::Checker;
use crate::Ms;
use forkshift_wire::users::Priority;
use forkshift_wire::{JobId, TaskRef};
use std::collections::{BTreeMap, BTreeSet};

/// A task that came onto a machine for the first time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StartSeen {
    /// Priority of its job.
    pub priority: Priority,
    /// Since its job's user first asked, in milliseconds.
    pub after: Ms,
}

/// Events that were noted and not taken yet.
#[derive(Clone, Debug, Default)]
pub struct Observations {
    /// First starts of tasks.
    pub starts: Vec<StartSeen>,
    /// Times from the first attempt to submit until the acceptance, in
    /// milliseconds.
    pub acceptances: Vec<Ms>,
    /// Tasks that have been seen to start.
    started: BTreeMap<JobId, BTreeSet<u32>>,
}

impl Checker {
    /// Notes starts and acceptances from now on, until they are taken.
    pub fn observe(&mut self) {
        self.observations.get_or_insert_default();
    }

    /// Takes what was noted since this was last called.
    pub fn take_observations(&mut self) -> (Vec<StartSeen>, Vec<Ms>) {
        let Some(observed) = &mut self.observations else {
            return Default::default();
        };
        (
            std::mem::take(&mut observed.starts),
            std::mem::take(&mut observed.acceptances),
        )
    }

    /// Notes a start, unless the task had started before.
    pub(super) fn observe_start(&mut self, now: Ms, task: &TaskRef, priority: Priority) {
        let asked = self
            .first_requested_at
            .get(&task.job)
            .copied()
            .unwrap_or(now);
        let Some(observed) = &mut self.observations else {
            return;
        };
        let started = observed.started.entry(task.job.clone()).or_default();
        if started.insert(task.index) {
            let after = now.saturating_sub(asked);
            observed.starts.push(StartSeen { priority, after });
        }
    }
}
