//! Whether a failed task tells of its machine or of its job.
//!
//! Mostly the machine is faulty; a job that was submitted with a mistake fails
//! on every machine. What tells them apart is whether the job runs elsewhere: a
//! machine is given up when jobs failed on it that run well on others. Until
//! that is known it is on probation, and a job that fails again and again is
//! probed with one task at a time, ever more seldom.

use crate::Ms;
use forkshift_wire::{JobId, MachineId};
use std::collections::BTreeMap;

/// Pause before a job that failed again is tried again; it doubles.
const MIN_RETRY_PAUSE: Ms = 2_000;
const MAX_RETRY_PAUSE: Ms = 60_000;
/// A job that failed on so many machines, or so many times in a row, is itself
/// to blame.
const BLAME_MACHINES: usize = 3;
const BLAME_STRIKES: u32 = 4;
/// From so many machines, or times in a row, on, one task is tried at a time.
const LIMIT_MACHINES: usize = 2;
const LIMIT_STRIKES: u32 = 2;
/// Failed machines that a job remembers.
const MAX_REMEMBERED_MACHINES: usize = 8;
/// Jobs that failed on a machine and run well elsewhere, before it is given up.
const FAULTY_AFTER_JOBS: usize = 2;
/// Reports for which a task must run to run well, beyond twice the longest
/// run that ended in a failure.
const WELL_HEARTBEATS: Ms = 4;

/// Reports after which a machine on probation is first tried again.
const QUARANTINE_HEARTBEATS: Ms = 4;

/// How long a task must run before that speaks for its job and its machine.
pub(crate) fn well_after(longest_failed_run: Ms, report_ms: Ms) -> Ms {
    longest_failed_run * 2 + report_ms * WELL_HEARTBEATS
}

/// A job's failures since a task of it last ran well.
#[derive(Default)]
pub(crate) struct JobFailures {
    /// Machines that it failed on, and when it last did.
    machines: BTreeMap<MachineId, Ms>,
    /// Failures in a row; those of tasks placed before one was known count once.
    strikes: u32,
    struck_at: Ms,
    /// The longest run that ended in a failure.
    pub(crate) longest_run: Ms,
    /// Machines that it is kept away from, and since when.
    excluded_machines: BTreeMap<MachineId, Ms>,
}

impl JobFailures {
    /// A task that was placed at a time has failed after it ran for so long.
    pub(crate) fn add(&mut self, machine: &MachineId, placed: Ms, ran: Ms, now: Ms) {
        if self.strikes == 0 || placed >= self.struck_at {
            self.strikes += 1;
            self.struck_at = now;
        }
        self.longest_run = self.longest_run.max(ran);
        for known in [&mut self.machines, &mut self.excluded_machines] {
            known.insert(machine.clone(), now);
            if known.len() > MAX_REMEMBERED_MACHINES {
                let oldest = known.iter().min_by_key(|(_, at)| **at);
                let oldest = oldest.map(|(id, _)| id.clone());
                oldest.and_then(|id| known.remove(&id));
            }
        }
    }

    /// A task that began to run then has run well.
    pub(crate) fn ran_well(&mut self, began: Ms) {
        if began >= self.struck_at {
            self.reset();
        }
    }

    /// A task has completed. Where the job failed is still avoided for a while.
    pub(crate) fn reset(&mut self) {
        self.machines.clear();
        self.strikes = 0;
    }

    /// Whether it has failed since it last ran well.
    pub(crate) fn is_suspect(&self) -> bool {
        self.strikes > 0
    }

    /// Whether it is to be tried with one task at a time.
    pub(crate) fn is_limited_to_one_task(&self) -> bool {
        self.strikes >= LIMIT_STRIKES || self.machines.len() >= LIMIT_MACHINES
    }

    /// Whether it, and no machine, is to blame.
    pub(crate) fn is_blamed(&self) -> bool {
        self.strikes >= BLAME_STRIKES || self.machines.len() >= BLAME_MACHINES
    }

    /// The pause before the next try.
    pub(crate) fn pause(&self) -> Ms {
        if !self.is_limited_to_one_task() {
            return 0;
        }
        let doublings = self.strikes.saturating_sub(LIMIT_STRIKES).min(8);
        (MIN_RETRY_PAUSE << doublings).min(MAX_RETRY_PAUSE)
    }

    /// Machines that it failed on since it last ran well.
    pub(crate) fn machines(&self) -> Vec<MachineId> {
        self.machines.keys().cloned().collect()
    }

    /// Machines that it is kept away from. For a while only: another may never
    /// come free, and these may be well.
    pub(crate) fn excluded_machines(
        &self,
        now: Ms,
        while_ms: Ms,
    ) -> impl Iterator<Item = &MachineId> {
        let recent = self.excluded_machines.iter();
        recent
            .filter(move |(_, at)| now < **at + while_ms)
            .map(|(id, _)| id)
    }
}

/// A job's failure on a machine.
struct MachineFailure {
    at: Ms,
    /// The job has run well elsewhere.
    job_is_well: bool,
}

/// A machine's failures since a task last ran well on it.
#[derive(Default)]
pub(crate) struct MachineFailures {
    jobs: BTreeMap<JobId, MachineFailure>,
    /// When a task of a job that is not suspect last began to run.
    began: Ms,
    /// The longest run that ended in a failure.
    pub(crate) longest_run: Ms,
}

impl MachineFailures {
    /// A task of a job has failed here after it ran for so long.
    pub(crate) fn add(&mut self, job: &JobId, ran: Ms, now: Ms) {
        self.longest_run = self.longest_run.max(ran);
        let failure = self.jobs.entry(job.clone()).or_insert(MachineFailure {
            at: now,
            job_is_well: false,
        });
        failure.at = now;
    }

    /// The job is itself to blame.
    pub(crate) fn remove(&mut self, job: &JobId) {
        self.jobs.remove(job);
    }

    /// The job runs well elsewhere.
    pub(crate) fn job_is_well(&mut self, job: &JobId) {
        if let Some(failure) = self.jobs.get_mut(job) {
            failure.job_is_well = true;
        }
    }

    /// A task of a job that is not suspect begins to run. That is no proof: a
    /// machine may fail what runs on it.
    pub(crate) fn note_start(&mut self, now: Ms) {
        self.began = now;
    }

    /// A task that began to run then has run well.
    pub(crate) fn ran_well(&mut self, began: Ms) {
        self.jobs.retain(|_, failure| failure.at > began);
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.jobs.is_empty()
    }

    /// Whether the machine is faulty.
    pub(crate) fn is_faulty(&self) -> bool {
        let well = self.jobs.values().filter(|f| f.job_is_well);
        well.count() >= FAULTY_AFTER_JOBS
    }

    fn last(&self) -> Ms {
        self.jobs.values().map(|f| f.at).max().unwrap_or(0)
    }

    /// Whether it may be faulty: it is tried with one task at a time, of a job
    /// that did not fail elsewhere.
    pub(crate) fn is_quarantined(&self) -> bool {
        self.jobs.len() >= FAULTY_AFTER_JOBS && self.began <= self.last()
    }

    /// Whether a job failed there within a time.
    pub(crate) fn is_recent(&self, now: Ms, while_ms: Ms) -> bool {
        now < self.last() + while_ms
    }

    /// Whether one on probation is to be tried again: ever more seldom, the
    /// more jobs have failed on it, but once in a boot.
    pub(crate) fn is_tried(&self, now: Ms, report_ms: Ms, boot_ms: Ms) -> bool {
        let doublings = self.jobs.len().saturating_sub(FAULTY_AFTER_JOBS).min(8);
        let pause = (report_ms * QUARANTINE_HEARTBEATS) << doublings;
        !self.is_recent(now, pause.min(boot_ms))
    }
}

#[cfg(test)]
mod tests;
