//! A bounded set of unfinished jobs, with an index by their dependencies.

use crate::records::ShardId;
use crate::Ms;
use forkshift_wire::JobId;
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// A job that was unfinished when its record was read.
pub(crate) struct UnfinishedJob {
    /// The job's dependencies, whether or not they are done.
    pub(crate) dependencies: Vec<JobId>,
    /// The shard that the job belongs to.
    pub(crate) shard: ShardId,
    /// When the read of the record was requested, in milliseconds of the steady clock.
    pub(crate) read_at: Ms,
}

struct Entry {
    job: UnfinishedJob,
    sequence: u64,
}

impl UnfinishedJob {
    /// The part of the capacity that the job takes: itself and its dependencies.
    fn size(&self) -> usize {
        1 + self.dependencies.len()
    }
}

/// A bounded set of unfinished jobs. The job that was inserted first is evicted first.
///
/// Invariant: `oldest_first` and `dependents` hold exactly the jobs of `entries`, and `size` is
/// the sum of their sizes.
pub(super) struct UnfinishedJobs {
    /// Maximum number of jobs and of dependencies that they name.
    capacity: usize,
    size: usize,
    entries: HashMap<JobId, Entry>,
    /// Jobs by the sequence number of their insertion.
    oldest_first: BTreeMap<u64, JobId>,
    next_sequence: u64,
    /// The jobs that name a job as their dependency.
    dependents: HashMap<JobId, BTreeSet<JobId>>,
}

impl UnfinishedJobs {
    /// An empty set of up to `capacity` jobs and dependencies.
    pub(super) fn new(capacity: usize) -> Self {
        Self {
            capacity,
            size: 0,
            entries: HashMap::new(),
            oldest_first: BTreeMap::new(),
            next_sequence: 0,
            dependents: HashMap::new(),
        }
    }

    /// The job with an id.
    pub(super) fn get(&self, id: &JobId) -> Option<&UnfinishedJob> {
        self.entries.get(id).map(|entry| &entry.job)
    }

    /// The jobs that name a job as their dependency.
    pub(super) fn dependents_of(&self, id: &JobId) -> impl Iterator<Item = &JobId> {
        self.dependents.get(id).into_iter().flatten()
    }

    /// Adds or replaces a job, and evicts the oldest jobs beyond the capacity.
    pub(super) fn insert(&mut self, id: JobId, job: UnfinishedJob) {
        self.remove(&id);
        for dependency in &job.dependencies {
            let dependents = self.dependents.entry(dependency.clone()).or_default();
            dependents.insert(id.clone());
        }
        self.size += job.size();
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        self.oldest_first.insert(sequence, id.clone());
        self.entries.insert(id, Entry { job, sequence });
        while self.size > self.capacity {
            let Some((_, oldest)) = self.oldest_first.pop_first() else {
                return;
            };
            self.remove(&oldest);
        }
    }

    /// Removes a job.
    pub(super) fn remove(&mut self, id: &JobId) {
        let Some(entry) = self.entries.remove(id) else {
            return;
        };
        self.oldest_first.remove(&entry.sequence);
        self.size -= entry.job.size();
        for dependency in &entry.job.dependencies {
            let Some(dependents) = self.dependents.get_mut(dependency) else {
                continue;
            };
            dependents.remove(id);
            if dependents.is_empty() {
                self.dependents.remove(dependency);
            }
        }
    }

    /// Removes all jobs.
    pub(super) fn clear(&mut self) {
        self.size = 0;
        self.entries.clear();
        self.oldest_first.clear();
        self.dependents.clear();
    }
}

#[cfg(test)]
mod tests;
