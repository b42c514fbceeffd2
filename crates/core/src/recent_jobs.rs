//! Bounded memory of jobs, including those that this controller does not hold.

use forkshift_wire::users::JobStage;
use forkshift_wire::JobId;
use std::collections::{HashMap, VecDeque};

/// A value for each of the most recent jobs.
///
/// Invariant: `oldest_first` holds just the keys of `values`.
pub(crate) struct RecentJobs<T> {
    /// Most jobs that are remembered.
    capacity: usize,
    values: HashMap<JobId, T>,
    /// Jobs in the order in which they were inserted.
    oldest_first: VecDeque<JobId>,
}

impl<T: Copy> RecentJobs<T> {
    /// Remembers up to `capacity` jobs.
    pub(crate) fn new(capacity: usize) -> Self {
        Self {
            capacity,
            values: HashMap::new(),
            oldest_first: VecDeque::new(),
        }
    }

    /// Sets the value of a job, and drops the oldest jobs beyond the capacity. Returns
    /// whether the job had no value.
    pub(crate) fn insert(&mut self, id: JobId, value: T) -> bool {
        let is_new = self.values.insert(id.clone(), value).is_none();
        if is_new {
            self.oldest_first.push_back(id);
        }
        while self.oldest_first.len() > self.capacity {
            if let Some(oldest) = self.oldest_first.pop_front() {
                self.values.remove(&oldest);
            }
        }
        is_new
    }

    /// The value of a job, if it is remembered.
    pub(crate) fn get(&self, id: &JobId) -> Option<T> {
        self.values.get(id).copied()
    }
}

/// A final stage that has just become known.
#[derive(Clone, Debug)]
pub(crate) struct FinalStage {
    pub(crate) id: JobId,
    pub(crate) stage: JobStage,
    /// Whether this controller has recorded it, and notifies the others.
    pub(crate) is_recorded_here: bool,
}

/// Final stages of recent jobs.
pub(crate) struct FinalStages {
    stages: RecentJobs<JobStage>,
    /// Those that became known since they were last taken.
    unannounced: Vec<FinalStage>,
}

impl FinalStages {
    /// Remembers the final stages of up to `capacity` jobs.
    pub(crate) fn new(capacity: usize) -> Self {
        Self {
            stages: RecentJobs::new(capacity),
            unannounced: Vec::new(),
        }
    }

    /// A final stage was read, or was received from another controller.
    pub(crate) fn insert(&mut self, id: JobId, stage: JobStage) {
        self.insert_stage(id, stage, false);
    }

    /// A final stage was recorded by this controller.
    pub(crate) fn insert_written(&mut self, id: JobId, stage: JobStage) {
        self.insert_stage(id, stage, true);
    }

    fn insert_stage(&mut self, id: JobId, stage: JobStage, is_recorded_here: bool) {
        if self.stages.insert(id.clone(), stage) {
            self.unannounced.push(FinalStage {
                id,
                stage,
                is_recorded_here,
            });
        }
    }

    /// The final stage of a job, if it is known.
    pub(crate) fn get(&self, id: &JobId) -> Option<JobStage> {
        self.stages.get(id)
    }

    /// Takes the final stages that have become known since the last call.
    pub(crate) fn take_unannounced(&mut self) -> Vec<FinalStage> {
        std::mem::take(&mut self.unannounced)
    }
}

#[cfg(test)]
mod tests;
