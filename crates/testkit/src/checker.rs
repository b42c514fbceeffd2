//! Checks the rules of the protocol against what truly happens.
//!
//! The checker sees starts and ends of tasks on machines, and requests and responses of
//! users. It knows nothing of how the controllers work.

mod dependencies;
mod observations;
mod progress;
mod responses;
mod tasks;
mod usage;

pub use observations::FirstStart;
pub(crate) use observations::StartMeasurements;
use usage::Usage;

use crate::Ms;
use forkshift_wire::users::{JobSpec, JobStage};
use forkshift_wire::{JobId, MachineId, TaskRef};
use std::collections::{BTreeMap, BTreeSet};

/// A rule that can be broken.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub enum Rule {
    /// A task starts while it is on another machine.
    RanTwice,
    /// A team's tasks use more than its limit.
    Quota,
    /// A task starts where its job does not allow it.
    WrongPlace,
    /// A task of a cancelled job is on a machine too late.
    RanCancelled,
    /// An accepted job is unknown later.
    Forgotten,
    /// A job that nobody submitted is known.
    Invented,
    /// A job is reported as done before it is.
    NotDone,
    /// A final state was reported and then another one.
    WentBack,
    /// A job that can not run, or is malformed, was accepted.
    Unfit,
    /// A job got another refusal than the protocol requires.
    WrongAnswer,
    /// All faults are over, and no request about a job is answered.
    Unanswered,
    /// All faults are over, and a job waits although there is room for it.
    LeftWaiting,
    /// One of the largest jobs of its class begins too late.
    LateBegin,
    /// A task starts before all jobs that its job depends on are done.
    TooEarly,
    /// A job is reported as queued or running long after one that it depends on was
    /// cancelled.
    Orphaned,
}

/// Whether all faults are over.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub enum Quiescence {
    /// Not yet.
    #[default]
    NotYet,
    /// They have been over since then.
    Since(Ms),
}

/// A place where a task is.
#[derive(Clone, Debug)]
pub struct Place {
    /// The machine.
    pub machine: MachineId,
    /// Its type.
    pub machine_type: String,
    /// Its zone.
    pub zone: String,
    /// Whether it is a spot machine.
    pub spot: bool,
}

/// Watches the starts and ends of tasks and the responses to users.
#[derive(Default)]
pub struct Checker {
    limits: BTreeMap<String, (f64, f64)>,
    cancel_ms: Ms,
    jobs: BTreeMap<JobId, JobSpec>,
    /// Accepted jobs, with the sequence number of the response.
    accepted: BTreeMap<JobId, u64>,
    cancel_requested: BTreeSet<JobId>,
    /// Final stages that users know of, with the sequence number of the response.
    final_stages: BTreeMap<JobId, (JobStage, u64)>,
    /// Sequence number of the last request or response.
    last_sequence: u64,
    quiescence: Quiescence,
    /// Jobs about which a request is unanswered, and since when.
    unanswered: BTreeMap<JobId, Ms>,
    /// Jobs that wait although there is room, and since when.
    pending_despite_capacity: BTreeMap<JobId, Ms>,
    /// When users first sent a request about a job.
    first_requested_at: BTreeMap<JobId, Ms>,
    /// Longest time until a job was accepted.
    max_acceptance_ms: Ms,
    began_at: BTreeMap<JobId, Ms>,
    /// Jobs that must not be accepted.
    expected_refusals: BTreeSet<JobId>,
    /// Jobs whose last task has completed, until they are taken.
    pub(crate) newly_completed: Vec<JobId>,
    cancelled_at: BTreeMap<JobId, Ms>,
    /// When the last job that a job depends on completed.
    ready_at: BTreeMap<JobId, Ms>,
    completed_tasks: BTreeMap<JobId, BTreeSet<u32>>,
    /// Where the tasks of each job are that are on a machine.
    placements: BTreeMap<JobId, BTreeMap<u32, Vec<Place>>>,
    /// What each team's tasks on machines use.
    team_usage: BTreeMap<String, Usage>,
    /// Measurements, if they are made.
    pub(crate) observations: Option<StartMeasurements>,
    /// Starts of tasks.
    pub starts: u64,
    starts_by_job: BTreeMap<JobId, u64>,
    /// Starts of tasks whose job's cancellation had been confirmed: when, how
    /// long after it, and which.
    pub starts_after_cancel: Vec<(Ms, Ms, TaskRef)>,
    /// Tasks that failed: when, which, and on which machine.
    pub failures: Vec<(Ms, TaskRef, MachineId)>,
    /// Violated rules, with when and how.
    pub violations: Vec<(Rule, Ms, String)>,
}

impl Checker {
    /// A checker for teams with limits on CPUs and GPUs; 0: no limit.
    pub fn new(limits: BTreeMap<String, (f64, f64)>, cancel_ms: Ms) -> Self {
        Self {
            limits,
            cancel_ms,
            ..Self::default()
        }
    }

    fn record_violation(&mut self, rule: Rule, now: Ms, what: String) {
        self.violations.push((rule, now, what));
    }

    /// Limits on the CPUs and GPUs of a team; 0: no limit.
    pub(crate) fn team_limits(&self, team: &str) -> (f64, f64) {
        self.limits.get(team).copied().unwrap_or_default()
    }

    /// Sets whether all faults are over, and since when.
    pub fn set_quiescence(&mut self, quiescence: Quiescence) {
        self.quiescence = quiescence;
    }

    /// Checks for conditions that may not last. `expired` are machines that hang and whose
    /// lease has expired.
    pub fn check_time_limits(&mut self, now: Ms, expired: &BTreeSet<MachineId>) {
        self.check_cancelled_tasks(now, expired);
        self.check_unanswered(now);
    }
}

#[cfg(test)]
mod tests;
