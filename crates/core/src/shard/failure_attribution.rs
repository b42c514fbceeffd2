//! Attribution of failed tasks to their machines or to their jobs.
//!
//! Mostly the machine is faulty; a job that was submitted with a mistake fails
//! on every machine. What distinguishes them is whether the job runs elsewhere:
//! a machine is decommissioned when jobs failed on it that run well on others.
//! Until that is known it is in quarantine, and a job that fails repeatedly is
//! tried with one task at a time and with growing pauses.

use crate::Ms;
use forkshift_wire::{JobId, MachineId};
use std::collections::BTreeMap;

/// Pause before a job that failed repeatedly is tried again, in milliseconds; it
/// doubles with each failure.
const MIN_RETRY_BACKOFF_MS: Ms = 2_000;
/// The longest such pause, in milliseconds.
const MAX_RETRY_BACKOFF_MS: Ms = 60_000;
/// Most times that a pause is doubled.
const MAX_DOUBLINGS: usize = 8;
/// A job that failed on so many machines is itself the cause.
const JOB_AT_FAULT_MACHINES: usize = 3;
/// A job that failed so many times in a row is itself the cause.
const JOB_AT_FAULT_FAILURES: u32 = 4;
/// A job that failed on so many machines is tried with one task at a time.
const ONE_TASK_LIMIT_MACHINES: usize = 2;
/// A job that failed so many times in a row is tried with one task at a time.
const ONE_TASK_LIMIT_FAILURES: u32 = 2;
/// Most machines that a job remembers to have failed on.
const MAX_TRACKED_MACHINES: usize = 8;
/// Jobs that failed on a machine and run well elsewhere, before the machine is
/// decommissioned.
const FAULTY_MACHINE_JOBS: usize = 2;
/// Heartbeat intervals for which a task must run to run well, beyond twice the
/// longest run that ended in a failure.
const HEALTHY_RUN_HEARTBEATS: Ms = 4;
/// Heartbeat intervals after which a quarantined machine is first tried again.
const QUARANTINE_RETRY_HEARTBEATS: Ms = 4;

/// How long a task must run to run well, in milliseconds.
pub(crate) fn min_healthy_run_ms(longest_failed_run: Ms, heartbeat_interval_ms: Ms) -> Ms {
    longest_failed_run * 2 + heartbeat_interval_ms * HEALTHY_RUN_HEARTBEATS
}

/// A job's failures since a task of it last ran well.
///
/// Times are in milliseconds of the steady clock.
#[derive(Default)]
pub(crate) struct JobFailures {
    /// Machines that it failed on, and when it last did.
    machines: BTreeMap<MachineId, Ms>,
    /// Failures in a row; those of tasks that were placed before the first of
    /// them was known count once.
    failures_in_row: u32,
    /// When the last counted failure happened.
    last_counted_at: Ms,
    /// The longest run that ended in a failure.
    pub(crate) longest_failed_run_ms: Ms,
    /// Machines on which it is not placed, and since when.
    excluded_machines: BTreeMap<MachineId, Ms>,
}

impl JobFailures {
    /// Adds the failure of a task that was placed at `placed_at` and ran for
    /// `ran_ms`.
    pub(crate) fn add(&mut self, machine: &MachineId, placed_at: Ms, ran_ms: Ms, now: Ms) {
        if self.failures_in_row == 0 || placed_at >= self.last_counted_at {
            self.failures_in_row += 1;
            self.last_counted_at = now;
        }
        self.longest_failed_run_ms = self.longest_failed_run_ms.max(ran_ms);
        for known in [&mut self.machines, &mut self.excluded_machines] {
            known.insert(machine.clone(), now);
            if known.len() > MAX_TRACKED_MACHINES {
                let oldest = known.iter().min_by_key(|(_, at)| **at);
                let oldest = oldest.map(|(id, _)| id.clone());
                oldest.and_then(|id| known.remove(&id));
            }
        }
    }

    /// Notes that a task that began to run at `began` has run well.
    pub(crate) fn record_healthy_run(&mut self, began: Ms) {
        if began >= self.last_counted_at {
            self.reset();
        }
    }

    /// Notes that a task has completed. Machines on which the job failed stay
    /// excluded for a while.
    pub(crate) fn reset(&mut self) {
        self.machines.clear();
        self.failures_in_row = 0;
    }

    /// Whether it has failed since it last ran well.
    pub(crate) fn is_suspect(&self) -> bool {
        self.failures_in_row > 0
    }

    /// Whether it is to be tried with one task at a time.
    pub(crate) fn is_limited_to_one_task(&self) -> bool {
        self.failures_in_row >= ONE_TASK_LIMIT_FAILURES
            || self.machines.len() >= ONE_TASK_LIMIT_MACHINES
    }

    /// Whether the job, and no machine, is the cause.
    pub(crate) fn is_job_at_fault(&self) -> bool {
        self.failures_in_row >= JOB_AT_FAULT_FAILURES
            || self.machines.len() >= JOB_AT_FAULT_MACHINES
    }

    /// The pause before the job is tried again, in milliseconds.
    pub(crate) fn retry_backoff_ms(&self) -> Ms {
        if !self.is_limited_to_one_task() {
            return 0;
        }
        let extra_failures = self.failures_in_row.saturating_sub(ONE_TASK_LIMIT_FAILURES) as usize;
        let doublings = extra_failures.min(MAX_DOUBLINGS);
        (MIN_RETRY_BACKOFF_MS << doublings).min(MAX_RETRY_BACKOFF_MS)
    }

    /// Machines that it failed on since it last ran well.
    pub(crate) fn machines(&self) -> Vec<MachineId> {
        self.machines.keys().cloned().collect()
    }

    /// Machines on which the job is not placed. They are excluded for `while_ms`
    /// only: no other machine may become free, and these may be healthy.
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
    /// When the job last failed there.
    at: Ms,
    /// Whether the job has run well elsewhere since.
    is_job_healthy_elsewhere: bool,
}

/// A machine's failures since a task last ran well on it.
///
/// Times are in milliseconds of the steady clock.
#[derive(Default)]
pub(crate) struct MachineFailures {
    /// The last failure of each job.
    jobs: BTreeMap<JobId, MachineFailure>,
    /// When a task of a job that is not suspect last began to run.
    last_start_at: Ms,
    /// The longest run that ended in a failure.
    pub(crate) longest_failed_run_ms: Ms,
}

impl MachineFailures {
    /// Adds the failure of a job's task that ran for `ran_ms`.
    pub(crate) fn add(&mut self, job: &JobId, ran_ms: Ms, now: Ms) {
        self.longest_failed_run_ms = self.longest_failed_run_ms.max(ran_ms);
        let failure = self.jobs.entry(job.clone()).or_insert(MachineFailure {
            at: now,
            is_job_healthy_elsewhere: false,
        });
        failure.at = now;
    }

    /// Drops the failure of a job that is itself the cause.
    pub(crate) fn remove(&mut self, job: &JobId) {
        self.jobs.remove(job);
    }

    /// Notes that a job runs well elsewhere.
    pub(crate) fn mark_job_healthy_elsewhere(&mut self, job: &JobId) {
        if let Some(failure) = self.jobs.get_mut(job) {
            failure.is_job_healthy_elsewhere = true;
        }
    }

    /// Notes that a task of a job that is not suspect begins to run. That does
    /// not prove the machine healthy: the task may still fail.
    pub(crate) fn record_task_start(&mut self, now: Ms) {
        self.last_start_at = now;
    }

    /// Notes that a task that began to run at `began` has run well.
    pub(crate) fn record_healthy_run(&mut self, began: Ms) {
        self.jobs.retain(|_, failure| failure.at > began);
    }

    /// Whether no job has failed on the machine.
    pub(crate) fn is_empty(&self) -> bool {
        self.jobs.is_empty()
    }

    /// Whether the machine is faulty.
    pub(crate) fn is_faulty(&self) -> bool {
        let run_elsewhere = self.jobs.values().filter(|f| f.is_job_healthy_elsewhere);
        run_elsewhere.count() >= FAULTY_MACHINE_JOBS
    }

    /// When a job last failed on the machine.
    fn last_failure_at(&self) -> Ms {
        self.jobs.values().map(|f| f.at).max().unwrap_or(0)
    }

    /// Whether it may be faulty: it is then tried with one task at a time, of a
    /// job that did not fail elsewhere.
    pub(crate) fn is_quarantined(&self) -> bool {
        self.jobs.len() >= FAULTY_MACHINE_JOBS && self.last_start_at <= self.last_failure_at()
    }

    /// Whether a job failed on the machine in the last `while_ms`.
    pub(crate) fn has_failed_within(&self, now: Ms, while_ms: Ms) -> bool {
        now < self.last_failure_at() + while_ms
    }

    /// Whether a quarantined machine is to be tried again. The pause grows with
    /// the number of jobs that have failed on it, up to a boot time.
    pub(crate) fn is_retry_due(&self, now: Ms, heartbeat_interval_ms: Ms, boot_ms: Ms) -> bool {
        let extra_jobs = self.jobs.len().saturating_sub(FAULTY_MACHINE_JOBS);
        let doublings = extra_jobs.min(MAX_DOUBLINGS);
        let pause_ms = (heartbeat_interval_ms * QUARANTINE_RETRY_HEARTBEATS) << doublings;
        !self.has_failed_within(now, pause_ms.min(boot_ms))
    }
}

#[cfg(test)]
mod tests;
