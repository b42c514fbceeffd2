//! Bounded caches of facts about jobs, including jobs that this controller does not hold.

use forkshift_wire::users::JobStage;
use forkshift_wire::JobId;
use std::collections::{HashMap, VecDeque};

/// A bounded cache with one value per job. The oldest entry is evicted first.
///
/// Invariant: `oldest_first` holds exactly the keys of `values`.
pub(crate) struct RecentJobs<T> {
    /// Maximum number of jobs.
    capacity: usize,
    values: HashMap<JobId, T>,
    /// Jobs in the order of their first insertion.
    oldest_first: VecDeque<JobId>,
}

impl<T: Copy> RecentJobs<T> {
    /// An empty cache of up to `capacity` jobs.
    pub(crate) fn new(capacity: usize) -> Self {
        Self {
            capacity,
            values: HashMap::new(),
            oldest_first: VecDeque::new(),
        }
    }

    /// Sets the value of a job, and evicts the oldest jobs beyond the capacity. Returns whether
    /// the job was not in the cache.
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

    /// The value of a job, if it is in the cache.
    pub(crate) fn get(&self, id: &JobId) -> Option<T> {
        self.values.get(id).copied()
    }
}

/// A final stage of a job that is new to the cache and not yet processed.
#[derive(Clone, Debug)]
pub(crate) struct FinalStage {
    pub(crate) id: JobId,
    pub(crate) stage: JobStage,
    /// Whether this controller has written the stage to the key-value store, and therefore
    /// notifies the other controllers.
    pub(crate) is_recorded_here: bool,
}

/// Bounded cache of the final stages of jobs.
pub(crate) struct FinalStages {
    stages: RecentJobs<JobStage>,
    /// Stages that were added since the last call of [`Self::take_unannounced`].
    unannounced: Vec<FinalStage>,
}

impl FinalStages {
    /// An empty cache of the final stages of up to `capacity` jobs.
    pub(crate) fn new(capacity: usize) -> Self {
        Self {
            stages: RecentJobs::new(capacity),
            unannounced: Vec::new(),
        }
    }

    /// Adds a final stage that was read from the key-value store, or received from another
    /// controller.
    pub(crate) fn insert(&mut self, id: JobId, stage: JobStage) {
        self.insert_stage(id, stage, false);
    }

    /// Adds a final stage that this controller has written to the key-value store.
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

    /// The final stage of a job, if it is in the cache.
    pub(crate) fn get(&self, id: &JobId) -> Option<JobStage> {
        self.stages.get(id)
    }

    /// Removes and returns the final stages that were added since the last call, for the jobs
    /// that depend on them and for the other controllers.
    pub(crate) fn take_unannounced(&mut self) -> Vec<FinalStage> {
        std::mem::take(&mut self.unannounced)
    }
}

#[cfg(test)]
mod tests;
