//! What a controller remembers of jobs that it does not hold.

use forkshift_wire::users::JobStage;
use forkshift_wire::JobId;
use std::collections::{HashMap, VecDeque};

/// Something that is known of jobs, of as many as are worth remembering.
pub(crate) struct RecentJobs<T> {
    /// Most jobs that are remembered.
    capacity: usize,
    of: HashMap<JobId, T>,
    order: VecDeque<JobId>,
}

impl<T: Copy> RecentJobs<T> {
    /// Remembers up to `most` jobs.
    pub(crate) fn new(most: usize) -> Self {
        Self {
            capacity: most,
            of: HashMap::new(),
            order: VecDeque::new(),
        }
    }

    /// Notes something, and forgets the oldest if there is too much. Returns
    /// whether nothing was known of the job.
    pub(crate) fn insert(&mut self, id: JobId, what: T) -> bool {
        let is_new = self.of.insert(id.clone(), what).is_none();
        if is_new {
            self.order.push_back(id);
        }
        while self.order.len() > self.capacity {
            if let Some(old) = self.order.pop_front() {
                self.of.remove(&old);
            }
        }
        is_new
    }

    /// What is known of a job.
    pub(crate) fn get(&self, id: &JobId) -> Option<T> {
        self.of.get(id).copied()
    }
}

/// A final stage that has just become known.
#[derive(Clone, Debug)]
pub(crate) struct FinalStage {
    pub(crate) id: JobId,
    pub(crate) stage: JobStage,
    /// This controller has recorded it, and tells the others.
    pub(crate) is_ours: bool,
}

/// Final stages of jobs, as they are recorded.
pub(crate) struct FinalStages {
    stages: RecentJobs<JobStage>,
    unannounced: Vec<FinalStage>,
}

impl FinalStages {
    /// Remembers the final stages of up to `most` jobs.
    pub(crate) fn new(most: usize) -> Self {
        Self {
            stages: RecentJobs::new(most),
            unannounced: Vec::new(),
        }
    }

    /// A final stage was read, or was told by another controller.
    pub(crate) fn insert(&mut self, id: JobId, stage: JobStage) {
        self.note(id, stage, false);
    }

    /// A final stage was recorded by this controller.
    pub(crate) fn insert_written(&mut self, id: JobId, stage: JobStage) {
        self.note(id, stage, true);
    }

    fn note(&mut self, id: JobId, stage: JobStage, is_ours: bool) {
        if self.stages.insert(id.clone(), stage) {
            self.unannounced.push(FinalStage { id, stage, is_ours });
        }
    }

    /// The final stage of a job, if it is known.
    pub(crate) fn get(&self, id: &JobId) -> Option<JobStage> {
        self.stages.get(id)
    }

    /// What has become known since this was last asked for.
    pub(crate) fn take_unannounced(&mut self) -> Vec<FinalStage> {
        std::mem::take(&mut self.unannounced)
    }
}

#[cfg(test)]
mod tests;
