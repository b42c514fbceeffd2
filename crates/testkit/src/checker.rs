//! An independent checker of the protocol's rules.
//!
//! The checker's ground truth is the starts and ends of tasks on machines and the requests and
//! responses of users. It has no access to the state of the controllers.

mod dependencies;
mod observations;
mod poll_answers;
mod progress;
mod responses;
mod tasks;
mod usage;

pub use observations::FirstStart;
pub(crate) use observations::StartMeasurements;
use poll_answers::PollAnswers;
use usage::Usage;

use crate::Ms;
use forkshift_wire::users::{JobSpec, JobStage};
use forkshift_wire::{JobId, MachineId, TaskRef};
use std::collections::{BTreeMap, BTreeSet};

/// A rule of the protocol. Reports print its name.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub enum Rule {
    /// A task started while an attempt of it was still on a machine.
    RanTwice,
    /// The tasks of a team used more CPUs or GPUs than its limit.
    Quota,
    /// A task started on a machine whose type, zone or spot flag its job does not allow, or in a
    /// zone that violates the job's zone constraints.
    WrongPlace,
    /// A task of a job was on a machine longer after the confirmed cancellation than the
    /// configured cancellation time.
    RanCancelled,
    /// An accepted job was reported as unknown, or its resubmission was refused, later; or for 90 s
    /// no poll of it was answered while most others were.
    Forgotten,
    /// A request about a job that nobody submitted succeeded.
    Invented,
    /// A job was reported as done before all of its tasks had completed.
    NotDone,
    /// A job was reported in another stage after a final one, or as cancelled although nobody
    /// cancelled it.
    WentBack,
    /// A malformed job, or a job that can never be scheduled, was accepted.
    Unfit,
    /// A submission was refused with another status than the protocol requires.
    WrongAnswer,
    /// All faults were over, and for 75 s no request about an accepted job was answered.
    Unanswered,
    /// All faults were over, and a job stayed pending for 90 s although a machine had free capacity
    /// for it and its team was under its limit.
    LeftWaiting,
    /// One of the largest jobs of its class began more than 240 s after it was ready.
    LateBegin,
    /// A task started before all dependencies of its job had completed.
    TooEarly,
    /// A job was reported as queued or running longer after the confirmed cancellation of one of
    /// its dependencies than the configured cancellation time.
    Orphaned,
}

/// Whether all faults are over. Rules about progress apply only then.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub enum Quiescence {
    /// A fault is active or still scheduled.
    #[default]
    NotYet,
    /// All faults have been over since this time.
    Since(Ms),
}

/// The machine that a task is on, with the properties that a job may constrain.
#[derive(Clone, Debug)]
pub struct Place {
    /// Id of the machine.
    pub machine: MachineId,
    /// Machine type.
    pub machine_type: String,
    /// Zone of the machine.
    pub zone: String,
    /// Whether the cloud may reclaim the machine.
    pub spot: bool,
}

/// Collects starts and ends of tasks and responses to users, and records violated rules.
#[derive(Default)]
pub struct Checker {
    /// CPU and GPU limit of each team; 0: no limit.
    limits: BTreeMap<String, (f64, f64)>,
    /// Time after a confirmed cancellation within which all tasks must have exited.
    cancel_ms: Ms,
    /// Submitted jobs, whether accepted or not.
    jobs: BTreeMap<JobId, JobSpec>,
    /// Accepted jobs, with the sequence number of the first successful response.
    accepted: BTreeMap<JobId, u64>,
    cancel_requested: BTreeSet<JobId>,
    /// Final stages reported to users, with the sequence number of the first such response.
    final_stages: BTreeMap<JobId, (JobStage, u64)>,
    /// Sequence number of the last request or response. Requests and responses share one sequence,
    /// which orders them.
    last_sequence: u64,
    quiescence: Quiescence,
    /// Jobs with an unanswered request, and when the first unanswered request was sent.
    unanswered: BTreeMap<JobId, Ms>,
    /// Polls of accepted jobs and their answers.
    poll_answers: PollAnswers,
    /// Pending jobs for which there is free capacity, and since when.
    pending_despite_capacity: BTreeMap<JobId, Ms>,
    /// When a user first sent a request about each job.
    first_requested_at: BTreeMap<JobId, Ms>,
    /// Longest time from the first request about a job until its acceptance.
    max_acceptance_ms: Ms,
    began_at: BTreeMap<JobId, Ms>,
    /// Jobs that controllers must refuse.
    expected_refusals: BTreeSet<JobId>,
    /// Jobs whose last task has completed since the simulation last took this list.
    pub(crate) newly_completed: Vec<JobId>,
    /// When a response first confirmed the cancellation of each job.
    cancelled_at: BTreeMap<JobId, Ms>,
    /// When the last dependency of each dependent job completed.
    ready_at: BTreeMap<JobId, Ms>,
    completed_tasks: BTreeMap<JobId, BTreeSet<u32>>,
    /// Machines of the tasks that are on machines, by job and task index. A task has several only
    /// if [`Rule::RanTwice`] was violated.
    placements: BTreeMap<JobId, BTreeMap<u32, Vec<Place>>>,
    /// CPUs and GPUs that each team's tasks on machines use.
    team_usage: BTreeMap<String, Usage>,
    /// Measurements of starts and acceptances; absent unless [`Checker::observe`] was called.
    pub(crate) observations: Option<StartMeasurements>,
    /// Number of task starts so far.
    pub starts: u64,
    starts_by_job: BTreeMap<JobId, u64>,
    /// Starts of tasks after the confirmed cancellation of their job: time, time since the
    /// confirmation, and task. They violate a rule only after the cancellation time.
    pub starts_after_cancel: Vec<(Ms, Ms, TaskRef)>,
    /// Starts of attempts that their worker had forgotten: time, task and machine. They violate a
    /// rule only if the task is on another machine, completed, or not allowed there any more.
    pub restarted_attempts: Vec<(Ms, TaskRef, MachineId)>,
    /// Failures of tasks: time, task and machine.
    pub failures: Vec<(Ms, TaskRef, MachineId)>,
    /// Violations so far: rule, time and details.
    pub violations: Vec<(Rule, Ms, String)>,
}

impl Checker {
    /// Creates a checker. `limits` are the CPU and GPU limits of the teams (0: no limit), and
    /// `cancel_ms` is the time within which tasks of a cancelled job must have exited.
    pub fn new(limits: BTreeMap<String, (f64, f64)>, cancel_ms: Ms) -> Self {
        Self {
            limits,
            cancel_ms,
            ..Self::default()
        }
    }

    fn record_violation(&mut self, rule: Rule, now: Ms, details: String) {
        self.violations.push((rule, now, details));
    }

    /// CPU and GPU limits of a team; 0: no limit.
    pub(crate) fn team_limits(&self, team: &str) -> (f64, f64) {
        self.limits.get(team).copied().unwrap_or_default()
    }

    /// Sets whether all faults are over, which enables the rules about progress.
    pub fn set_quiescence(&mut self, quiescence: Quiescence) {
        self.quiescence = quiescence;
    }

    /// Checks the conditions with a time limit: tasks of cancelled jobs and unanswered requests.
    /// `expired` are the machines that hang and whose lease has expired.
    pub fn check_time_limits(&mut self, now: Ms, expired: &BTreeSet<MachineId>) {
        self.check_cancelled_tasks(now, expired);
        self.check_unanswered(now);
        self.check_polls_answered(now);
    }
}

#[cfg(test)]
mod tests;
