//! Teams, and the classes of jobs that they submit.

use forkshift_wire::users::{JobKind, Priority};
use serde::Deserialize;

/// One team, or several teams of the same quotas.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct TeamSpec {
    /// Name of the team; if `count` is above 1, an index is appended for each team.
    pub name: String,
    /// Number of teams of this entry, from 1 to 1,000; 1 if left out.
    #[serde(default = "default_team_count")]
    pub count: usize,
    /// Guaranteed CPUs of each team.
    #[serde(default)]
    pub cpus: f64,
    /// Limit of the CPUs that each team may use; 0: no limit.
    #[serde(default)]
    pub cpus_max: f64,
    /// Guaranteed GPUs of each team.
    #[serde(default)]
    pub gpus: f64,
    /// Limit of the GPUs that each team may use; 0: no limit.
    #[serde(default)]
    pub gpus_max: f64,
}

fn default_team_count() -> usize {
    1
}

impl TeamSpec {
    /// Multiplies the guaranteed resources and the limits of each team by a factor.
    pub(super) fn scale_quotas(&mut self, factor: f64) {
        self.cpus *= factor;
        self.cpus_max *= factor;
        self.gpus *= factor;
        self.gpus_max *= factor;
    }

    /// Names of all teams of the entry.
    pub(crate) fn names(&self) -> Vec<String> {
        match self.count {
            1 => vec![self.name.clone()],
            count => (0..count)
                .map(|index| format!("{}-{index}", self.name))
                .collect(),
        }
    }
}

/// Kind of the jobs of a class.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum JobKindSpec {
    /// Independent tasks.
    Array,
    /// Gang-scheduled: all tasks run at the same time, or none does.
    Gang,
    /// Replicas that run until the job is cancelled.
    Service,
}

impl From<JobKindSpec> for JobKind {
    fn from(kind: JobKindSpec) -> Self {
        match kind {
            JobKindSpec::Array => Self::Array,
            JobKindSpec::Gang => Self::Gang,
            JobKindSpec::Service => Self::Service,
        }
    }
}

/// Priority of the jobs of a class.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum PrioritySpec {
    /// Scheduled after all others.
    Low,
    /// The default.
    Normal,
    /// Scheduled before jobs of normal priority.
    High,
    /// Scheduled before all others.
    Production,
}

impl From<PrioritySpec> for Priority {
    fn from(priority: PrioritySpec) -> Self {
        match priority {
            PrioritySpec::Low => Self::Low,
            PrioritySpec::Normal => Self::Normal,
            PrioritySpec::High => Self::High,
            PrioritySpec::Production => Self::Production,
        }
    }
}

/// A class of jobs.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct JobClass {
    /// Name of the class.
    pub name: String,
    /// Kind of the jobs.
    pub kind: JobKindSpec,
    /// Priority of the jobs.
    pub priority: PrioritySpec,
    /// Numbers of tasks that a job may have; each job's is drawn uniformly from them.
    pub tasks: Vec<u32>,
    /// CPUs of each task.
    pub cpus: f64,
    /// GPUs of each task.
    #[serde(default)]
    pub gpus: f64,
    /// Memory of each task, in GB.
    pub memory_gb: f64,
    /// Size of each image, in GB.
    #[serde(default)]
    pub image_gb: f64,
    /// Number of different images that are drawn from, if `image` is left out.
    #[serde(default = "default_images")]
    pub images: u32,
    /// Mean run time of a task, in seconds. A job's is drawn uniformly from 0.5 to 1.5 times the
    /// mean. Services ignore it: they run until they are cancelled.
    #[serde(default)]
    pub run_s: f64,
    /// Number of jobs that are submitted at the start of the run, or at `burst_s`.
    #[serde(default)]
    pub initial: u32,
    /// Mean rate of further jobs, which arrive by a Poisson process, per second.
    #[serde(default)]
    pub per_s: f64,
    /// Second of the run at which further jobs begin to arrive.
    #[serde(default)]
    pub from_s: f64,
    /// Fraction of the jobs that are cancelled, from 0 to 1.
    #[serde(default)]
    pub cancelled: f64,
    /// Longest time from submission to cancellation, in seconds.
    #[serde(default)]
    pub cancelled_within_s: f64,
    /// Whether at most half of the tasks may run in one zone.
    #[serde(default)]
    pub spread: bool,
    /// Whether all tasks must run in one zone.
    #[serde(default)]
    pub one_zone: bool,
    /// Whether tasks may run on spot machines.
    #[serde(default)]
    pub spot: bool,
    /// Objective for the time until a task starts, in seconds; no objective if left out.
    pub wait_s: Option<f64>,
    /// Name of the team that submits the jobs; if left out, all teams do in turn.
    pub team: Option<String>,
    /// Name of the only image; if left out, each job's is drawn from `images` images.
    pub image: Option<String>,
    /// Whether replicas are model servers, which answer requests once their weights are
    /// loaded.
    #[serde(default)]
    pub answers: bool,
    /// Second of the run at which the initial jobs are submitted all together; if left out, they
    /// are spread over a period at the start.
    pub burst_s: Option<f64>,
}

fn default_images() -> u32 {
    1
}

impl JobClass {
    /// Mean number of tasks of a job.
    pub(crate) fn mean_tasks(&self) -> f64 {
        let sum: u32 = self.tasks.iter().sum();
        f64::from(sum) / self.tasks.len().max(1) as f64
    }
}
