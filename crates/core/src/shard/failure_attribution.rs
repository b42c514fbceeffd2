//! Attribution of task failures to the machine or to the job.
//!
//! A failed task has two likely causes: its machine is faulty, or its job was submitted with
//! an error and fails on every machine. The two are told apart by whether tasks of the same
//! job run on other machines. A machine is decommissioned once enough jobs that failed on it
//! run without failure elsewhere.
//!
//! Until the cause is known, the machine is in quarantine, and a job that fails repeatedly
//! runs one task at a time with an exponential backoff between attempts.
//!
//! A *healthy run* is a task that completes, or that runs for longer than
//! [`min_healthy_run_ms`].

use crate::Ms;
use forkshift_wire::{JobId, MachineId};
use std::collections::BTreeMap;

/// Initial backoff, in milliseconds, before a job that failed repeatedly is retried. The
/// backoff doubles with each further failure.
const MIN_RETRY_BACKOFF_MS: Ms = 2_000;
/// Upper bound of the retry backoff, in milliseconds.
const MAX_RETRY_BACKOFF_MS: Ms = 60_000;
/// Upper bound of the number of doublings of a backoff, so that the shift does not overflow.
const MAX_DOUBLINGS: usize = 8;
/// A job that failed on this many machines is itself at fault.
const JOB_AT_FAULT_MACHINES: usize = 3;
/// A job with this many consecutive failures is itself at fault.
const JOB_AT_FAULT_FAILURES: u32 = 4;
/// A job that failed on this many machines runs one task at a time.
const ONE_TASK_LIMIT_MACHINES: usize = 2;
/// A job with this many consecutive failures runs one task at a time.
const ONE_TASK_LIMIT_FAILURES: u32 = 2;
/// Upper bound of the machines tracked for each job, so that the memory of a job that fails
/// everywhere stays bounded. The entry with the oldest failure is dropped first.
const MAX_TRACKED_MACHINES: usize = 8;
/// Number of jobs that must fail on a machine before it is quarantined. The machine is
/// decommissioned once this many of the jobs that failed on it have healthy runs on other
/// machines.
const FAULTY_MACHINE_JOBS: usize = 2;
/// Heartbeat intervals, in addition to twice the longest failed run, for which a task must
/// run to count as a healthy run.
const HEALTHY_RUN_HEARTBEATS: Ms = 4;
/// Heartbeat intervals after the last failure before a quarantined machine is first retried.
const QUARANTINE_RETRY_HEARTBEATS: Ms = 4;

/// Duration in milliseconds after which a running task counts as a healthy run. It exceeds
/// `longest_failed_run_ms` because a run as long as the failed ones does not show that the
/// task will not fail.
pub(crate) fn min_healthy_run_ms(longest_failed_run_ms: Ms, heartbeat_interval_ms: Ms) -> Ms {
    longest_failed_run_ms * 2 + heartbeat_interval_ms * HEALTHY_RUN_HEARTBEATS
}

/// Failures of a job since its last healthy run.
///
/// Times are in milliseconds of the steady clock.
#[derive(Default)]
pub(crate) struct JobFailures {
    /// Machines on which the job failed, with the time of the last failure on each.
    machines: BTreeMap<MachineId, Ms>,
    /// Number of consecutive failures. Tasks that were already placed when the previous
    /// failure was counted are not counted, so that one batch of placements counts as one
    /// failure.
    consecutive_failures: u32,
    /// Time of the last failure that was counted in `consecutive_failures`.
    last_counted_at: Ms,
    /// Duration of the longest run that ended in a failure, in milliseconds.
    pub(crate) longest_failed_run_ms: Ms,
    /// Machines that are excluded from placement of the job, with the time of the last
    /// failure on each. Unlike `machines`, they are not cleared by a healthy run.
    excluded_machines: BTreeMap<MachineId, Ms>,
}

impl JobFailures {
    /// Records the failure of a task that was placed at `placed_at` and ran for `ran_ms`
    /// milliseconds.
    pub(crate) fn add(&mut self, machine: &MachineId, placed_at: Ms, ran_ms: Ms, now: Ms) {
        if self.consecutive_failures == 0 || placed_at >= self.last_counted_at {
            self.consecutive_failures += 1;
            self.last_counted_at = now;
        }
        self.longest_failed_run_ms = self.longest_failed_run_ms.max(ran_ms);
        for tracked in [&mut self.machines, &mut self.excluded_machines] {
            tracked.insert(machine.clone(), now);
            if tracked.len() > MAX_TRACKED_MACHINES {
                let oldest = tracked.iter().min_by_key(|(_, at)| **at);
                let oldest = oldest.map(|(id, _)| id.clone());
                oldest.and_then(|id| tracked.remove(&id));
            }
        }
    }

    /// Clears the failures if the task of a healthy run started after the last counted
    /// failure. An older task does not show that tasks started later will not fail.
    pub(crate) fn record_healthy_run(&mut self, started_at: Ms) {
        if started_at >= self.last_counted_at {
            self.reset();
        }
    }

    /// Clears the failures, as a task of the job has completed. The machines on which the job
    /// failed stay excluded until their exclusion expires.
    pub(crate) fn reset(&mut self) {
        self.machines.clear();
        self.consecutive_failures = 0;
    }

    /// Whether the job has failed since its last healthy run.
    pub(crate) fn is_suspect(&self) -> bool {
        self.consecutive_failures > 0
    }

    /// Whether the job may run only one task at a time.
    pub(crate) fn is_limited_to_one_task(&self) -> bool {
        self.consecutive_failures >= ONE_TASK_LIMIT_FAILURES
            || self.machines.len() >= ONE_TASK_LIMIT_MACHINES
    }

    /// Whether the failures are attributed to the job and not to its machines.
    pub(crate) fn is_job_at_fault(&self) -> bool {
        self.consecutive_failures >= JOB_AT_FAULT_FAILURES
            || self.machines.len() >= JOB_AT_FAULT_MACHINES
    }

    /// Backoff in milliseconds before the job is retried; 0 while the job is not limited to
    /// one task.
    pub(crate) fn retry_backoff_ms(&self) -> Ms {
        if !self.is_limited_to_one_task() {
            return 0;
        }
        let extra_failures = self
            .consecutive_failures
            .saturating_sub(ONE_TASK_LIMIT_FAILURES) as usize;
        let doublings = extra_failures.min(MAX_DOUBLINGS);
        (MIN_RETRY_BACKOFF_MS << doublings).min(MAX_RETRY_BACKOFF_MS)
    }

    /// Machines on which the job has failed since its last healthy run.
    pub(crate) fn machines(&self) -> Vec<MachineId> {
        self.machines.keys().cloned().collect()
    }

    /// Machines on which the job must not be placed: those on which it failed in the last
    /// `window_ms` milliseconds. The exclusion expires because these machines may be healthy
    /// and no other machine may become free.
    pub(crate) fn excluded_machines(
        &self,
        now: Ms,
        window_ms: Ms,
    ) -> impl Iterator<Item = &MachineId> {
        let tracked = self.excluded_machines.iter();
        tracked
            .filter(move |(_, at)| now < **at + window_ms)
            .map(|(id, _)| id)
    }
}

/// Failure of a job on a machine.
struct MachineFailure {
    /// Time of the job's last failure on the machine.
    last_failed_at: Ms,
    /// Whether the job has since had a healthy run on another machine.
    is_job_healthy_elsewhere: bool,
}

/// Failures on a machine since the last healthy run of a task on it.
///
/// Times are in milliseconds of the steady clock.
#[derive(Default)]
pub(crate) struct MachineFailures {
    /// Last failure of each job.
    jobs: BTreeMap<JobId, MachineFailure>,
    /// Time at which a task of a job that is not suspect last started to run on the machine.
    last_task_start_at: Ms,
    /// Duration of the longest run that ended in a failure, in milliseconds.
    pub(crate) longest_failed_run_ms: Ms,
}

impl MachineFailures {
    /// Records the failure of a task of `job` that ran for `ran_ms` milliseconds.
    pub(crate) fn add(&mut self, job: &JobId, ran_ms: Ms, now: Ms) {
        self.longest_failed_run_ms = self.longest_failed_run_ms.max(ran_ms);
        let failure = self.jobs.entry(job.clone()).or_insert(MachineFailure {
            last_failed_at: now,
            is_job_healthy_elsewhere: false,
        });
        failure.last_failed_at = now;
    }

    /// Removes the failure of a job that is itself at fault.
    pub(crate) fn remove(&mut self, job: &JobId) {
        self.jobs.remove(job);
    }

    /// Records that a job that failed on this machine has had a healthy run.
    pub(crate) fn mark_job_healthy_elsewhere(&mut self, job: &JobId) {
        if let Some(failure) = self.jobs.get_mut(job) {
            failure.is_job_healthy_elsewhere = true;
        }
    }

    /// Records that a task of a job that is not suspect has started to run. The start ends
    /// the quarantine but does not clear the failures, as the task may still fail.
    pub(crate) fn record_task_start(&mut self, now: Ms) {
        self.last_task_start_at = now;
    }

    /// Clears the failures that happened no later than `started_at`, the start of a healthy
    /// run on the machine.
    pub(crate) fn record_healthy_run(&mut self, started_at: Ms) {
        self.jobs
            .retain(|_, failure| failure.last_failed_at > started_at);
    }

    /// Whether no failure is recorded for the machine.
    pub(crate) fn is_empty(&self) -> bool {
        self.jobs.is_empty()
    }

    /// Whether the failures are attributed to the machine, which must be decommissioned.
    pub(crate) fn is_faulty(&self) -> bool {
        let healthy_elsewhere = self.jobs.values().filter(|f| f.is_job_healthy_elsewhere);
        healthy_elsewhere.count() >= FAULTY_MACHINE_JOBS
    }

    /// Time of the last failure on the machine; 0 if there is none.
    fn last_failure_at(&self) -> Ms {
        self.jobs
            .values()
            .map(|f| f.last_failed_at)
            .max()
            .unwrap_or(0)
    }

    /// Whether the machine may be faulty. A quarantined machine runs one task at a time, of a
    /// job that did not fail elsewhere.
    pub(crate) fn is_quarantined(&self) -> bool {
        self.jobs.len() >= FAULTY_MACHINE_JOBS && self.last_task_start_at <= self.last_failure_at()
    }

    /// Whether a job failed on the machine in the last `window_ms` milliseconds.
    pub(crate) fn has_failed_within(&self, now: Ms, window_ms: Ms) -> bool {
        now < self.last_failure_at() + window_ms
    }

    /// Whether a quarantined machine is due for a retry. The backoff doubles with each
    /// further job that has failed on the machine, up to the machine's boot time.
    pub(crate) fn is_retry_due(&self, now: Ms, heartbeat_interval_ms: Ms, boot_ms: Ms) -> bool {
        let extra_jobs = self.jobs.len().saturating_sub(FAULTY_MACHINE_JOBS);
        let doublings = extra_jobs.min(MAX_DOUBLINGS);
        let pause_ms = (heartbeat_interval_ms * QUARANTINE_RETRY_HEARTBEATS) << doublings;
        !self.has_failed_within(now, pause_ms.min(boot_ms))
    }
}

#[cfg(test)]
mod tests;
