//! The site file: a deployment, its load, and what is killed when.

mod check;

use forkshift_wire::users::{JobKind, Priority};
use serde::Deserialize;
use std::path::PathBuf;

pub use check::BadSite;

/// A whole site.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Site {
    /// Its name, for reports.
    pub name: String,
    /// Seed of everything that is drawn.
    #[serde(default = "default_seed")]
    pub seed: u64,
    /// Length of a run, in seconds.
    pub duration_s: f64,
    /// Figures are taken from this second on.
    #[serde(default)]
    pub warmup_s: f64,
    /// Names of the zones. Controllers are in them in turn.
    pub zones: Vec<String>,
    /// The controllers.
    pub controllers: Controllers,
    /// Machine types on offer.
    pub machine_types: Vec<MachineTypeSpec>,
    /// How many machines of a type there are in a zone.
    pub capacity: Vec<Capacity>,
    /// Teams with their guarantees and limits.
    pub teams: Vec<TeamSpec>,
    /// Times of the workers.
    pub workers: WorkerTimes,
    /// Limits of the state service.
    pub state: StateSpec,
    /// The cloud.
    pub cloud: CloudSpec,
    /// Classes of jobs.
    pub classes: Vec<Class>,
    /// Controllers and workers that are killed.
    #[serde(default)]
    pub kills: Vec<Kill>,
    /// Links that are cut.
    #[serde(default)]
    pub cuts: Vec<Cut>,
}

fn default_seed() -> u64 {
    1
}

/// The controllers, each a process of its own.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Controllers {
    /// How many.
    pub count: usize,
    /// The program that is run.
    #[serde(default = "default_program")]
    pub program: PathBuf,
    /// The operators' own settings for it.
    pub operator: Option<PathBuf>,
    /// Further arguments of `serve`.
    #[serde(default)]
    pub arguments: Vec<String>,
    /// One that was killed is started again after this many seconds.
    #[serde(default = "default_restart_s")]
    pub restart_s: f64,
    /// Sockets that each may use.
    #[serde(default = "default_sockets")]
    pub sockets: usize,
    /// First of the ports that are used on 127.0.0.0/8.
    #[serde(default = "default_base_port")]
    pub base_port: u16,
}

fn default_program() -> PathBuf {
    PathBuf::from("target/release/forkshift")
}

fn default_restart_s() -> f64 {
    3.0
}

fn default_sockets() -> usize {
    2_000
}

fn default_base_port() -> u16 {
    18_080
}

/// A machine type.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MachineTypeSpec {
    /// Its name.
    pub name: String,
    /// CPUs.
    pub cpus: f64,
    /// GPUs.
    #[serde(default)]
    pub gpus: f64,
    /// Memory, in GB.
    pub memory_gb: f64,
    /// Room for images, in GB.
    pub cache_gb: f64,
    /// Rate at which images are fetched, in GB a second.
    pub fetch_gb_per_s: f64,
    /// Price an hour.
    pub price: f64,
    /// Price an hour of a spot machine; none if left out.
    pub spot_price: Option<f64>,
    /// Usual time from the request until a machine is up, in seconds.
    pub boot_s: f64,
}

/// Machines of one type in one zone.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Capacity {
    /// The type.
    #[serde(rename = "type")]
    pub machine_type: String,
    /// The zone.
    pub zone: String,
    /// Ordinary machines.
    pub count: u32,
    /// Spot machines.
    #[serde(default)]
    pub spot: u32,
}

/// Teams that are alike.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TeamSpec {
    /// Name; where there are several, each gets a number behind it.
    pub name: String,
    /// How many.
    #[serde(default = "default_team_count")]
    pub count: usize,
    /// CPUs that each is guaranteed.
    #[serde(default)]
    pub cpus: f64,
    /// Most CPUs of each; 0: no limit.
    #[serde(default)]
    pub cpus_max: f64,
    /// GPUs that each is guaranteed.
    #[serde(default)]
    pub gpus: f64,
    /// Most GPUs of each; 0: no limit.
    #[serde(default)]
    pub gpus_max: f64,
}

fn default_team_count() -> usize {
    1
}

impl TeamSpec {
    /// Guarantees and limits of each.
    fn amounts(&mut self) -> [&mut f64; 4] {
        [
            &mut self.cpus,
            &mut self.cpus_max,
            &mut self.gpus,
            &mut self.gpus_max,
        ]
    }

    /// The names of all of them.
    pub fn names(&self) -> Vec<String> {
        match self.count {
            1 => vec![self.name.clone()],
            n => (0..n).map(|i| format!("{}-{i}", self.name)).collect(),
        }
    }
}

/// Times of the workers, in seconds.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkerTimes {
    /// Between two reports.
    pub report_s: f64,
    /// Without an answered report a worker kills its tasks after this.
    pub lease_s: f64,
    /// A gang that is not complete by then gives up.
    pub gang_wait_s: f64,
    /// Within this a gang notices that a task is gone.
    pub gang_peer_s: f64,
    /// Within this the tasks of a cancelled job must be gone.
    pub cancel_s: f64,
    /// Workers tell their images, and fetch them before a task needs them.
    #[serde(default)]
    pub tells_images: bool,
}

/// Limits of the state service.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StateSpec {
    /// Requests a second.
    pub rps: f64,
    /// Changes a second.
    pub write_rps: f64,
    /// Largest value, in KiB.
    pub value_kb: f64,
    /// Most changes in a transaction.
    pub txn_ops: usize,
}

/// The cloud.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CloudSpec {
    /// Requests a second.
    pub rps: f64,
    /// Part of the new machines that never come up.
    #[serde(default)]
    pub boot_fail: f64,
}

/// What kind of job a class is of.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// Independent tasks.
    Array,
    /// All tasks run at the same time, or none does.
    Gang,
    /// Tasks run until the job is cancelled.
    Service,
}

impl From<Kind> for JobKind {
    fn from(kind: Kind) -> Self {
        match kind {
            Kind::Array => Self::Array,
            Kind::Gang => Self::Gang,
            Kind::Service => Self::Service,
        }
    }
}

/// The priority of a class.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum PrioritySpec {
    /// Waits for everything else.
    Low,
    /// The usual one.
    Normal,
    /// Before the usual one.
    High,
    /// Before everything else.
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

/// A class of jobs. Teams take turns in submitting them.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Its name.
    pub name: String,
    /// Kind of its jobs.
    pub kind: Kind,
    /// Their priority.
    pub priority: PrioritySpec,
    /// Numbers of tasks that a job may have, drawn evenly.
    pub tasks: Vec<u32>,
    /// CPUs of each task.
    pub cpus: f64,
    /// GPUs of each task.
    #[serde(default)]
    pub gpus: f64,
    /// Memory of each task, in GB.
    pub memory_gb: f64,
    /// Size of its image, in GB.
    #[serde(default)]
    pub image_gb: f64,
    /// How many images there are.
    #[serde(default = "default_images")]
    pub images: u32,
    /// Run time of a task, in seconds; half of it to one and a half times it.
    #[serde(default)]
    pub run_s: f64,
    /// Jobs at the start.
    #[serde(default)]
    pub initial: u32,
    /// Jobs that come a second after that.
    #[serde(default)]
    pub per_s: f64,
    /// Those begin to come at this second.
    #[serde(default)]
    pub from_s: f64,
    /// Part of the jobs that are cancelled.
    #[serde(default)]
    pub cancelled: f64,
    /// They are cancelled within this many seconds.
    #[serde(default)]
    pub cancelled_within_s: f64,
    /// At most half of the tasks in one zone.
    #[serde(default)]
    pub spread: bool,
    /// All tasks in one zone.
    #[serde(default)]
    pub one_zone: bool,
    /// May use spot machines.
    #[serde(default)]
    pub spot: bool,
    /// Its tasks should start within this many seconds.
    pub wait_s: Option<f64>,
    /// The team that submits it; teams take turns if it is left out.
    pub team: Option<String>,
    /// Its only image, by name.
    pub image: Option<String>,
    /// Its replicas are model servers that answer requests once they have their weights.
    #[serde(default)]
    pub answers: bool,
    /// The jobs of the start come together at this second instead.
    pub burst_s: Option<f64>,
}

fn default_images() -> u32 {
    1
}

impl Class {
    /// Tasks of a job on average.
    pub fn mean_tasks(&self) -> f64 {
        let sum: u32 = self.tasks.iter().sum();
        f64::from(sum) / self.tasks.len().max(1) as f64
    }
}

/// A controller or workers that are killed at a time: one of the four is named.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Kill {
    /// When, in seconds.
    pub at_s: f64,
    /// Index of a controller.
    pub controller: Option<usize>,
    /// A number of workers, drawn at random, with their machines.
    pub workers: Option<usize>,
    /// All workers of a zone, with their machines.
    pub zone: Option<String>,
    /// The controller that holds the shard of the replicas that answer.
    #[serde(default)]
    pub holder: bool,
}

/// A link of a controller that is cut for a while.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Cut {
    /// When, in seconds.
    pub at_s: f64,
    /// For how long, in seconds.
    pub for_s: f64,
    /// Index of the controller; if left out, the one that holds the shard of the replicas
    /// that answer.
    pub controller: Option<usize>,
    /// Which link.
    pub link: CutLink,
    /// Of the links to workers every so manyth is cut.
    #[serde(default = "default_every")]
    pub every: usize,
}

fn default_every() -> usize {
    1
}

/// A link that can be cut.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum CutLink {
    /// To the state service.
    State,
    /// To the cloud.
    Cloud,
    /// Reports of workers.
    Reports,
    /// Commands to workers.
    Calls,
    /// Both.
    Workers,
}

/// What the command line sets in place of the site file.
#[derive(Clone, Copy, Debug, Default)]
pub struct Overrides {
    /// Workers in all: capacity, teams' amounts and jobs at the start follow.
    pub workers: Option<u32>,
    /// Task starts a second of what arrives: arrivals of arrays and gangs follow.
    pub starts_per_s: Option<f64>,
    /// Controllers.
    pub controllers: Option<usize>,
    /// Teams of each entry; what they have together stays.
    pub teams: Option<usize>,
    /// Length of the run, in seconds.
    pub duration_s: Option<f64>,
    /// Seed.
    pub seed: Option<u64>,
}

impl Overrides {
    /// The arguments of the command line that set the same.
    pub fn arguments(&self) -> Vec<String> {
        let given = [
            ("--workers", self.workers.map(|n| n.to_string())),
            (
                "--starts-per-second",
                self.starts_per_s.map(|n| n.to_string()),
            ),
            ("--controllers", self.controllers.map(|n| n.to_string())),
            ("--teams", self.teams.map(|n| n.to_string())),
            ("--duration-s", self.duration_s.map(|n| n.to_string())),
            ("--seed", self.seed.map(|n| n.to_string())),
        ];
        let given = given
            .into_iter()
            .filter_map(|(name, value)| Some((name, value?)));
        given
            .flat_map(|(name, value)| [name.to_owned(), value])
            .collect()
    }
}

impl Site {
    /// Reads and checks a site file.
    pub fn parse(text: &str) -> Result<Self, BadSite> {
        let site: Self = toml::from_str(text)?;
        check::check(&site)?;
        Ok(site)
    }

    /// Machines that there may be, spot machines apart.
    pub fn machines(&self) -> u32 {
        self.capacity.iter().map(|c| c.count).sum()
    }

    /// Task starts a second of what arrives after the start.
    pub fn starts_per_s(&self) -> f64 {
        self.classes.iter().map(|c| c.per_s * c.mean_tasks()).sum()
    }

    /// The site with what the command line sets.
    pub fn with(mut self, overrides: &Overrides) -> Result<Self, BadSite> {
        self.seed = overrides.seed.unwrap_or(self.seed);
        let count = overrides.controllers;
        self.controllers.count = count.unwrap_or(self.controllers.count);
        if let Some(count) = overrides.teams {
            self.divide_teams(count);
        }
        if let Some(duration_s) = overrides.duration_s {
            self.warmup_s *= duration_s / self.duration_s;
            self.duration_s = duration_s;
        }
        if let Some(workers) = overrides.workers {
            self.scale_to(workers);
        }
        if let Some(starts) = overrides.starts_per_s {
            let now = self.starts_per_s();
            for class in &mut self.classes {
                class.per_s *= if now > 0.0 { starts / now } else { 0.0 };
            }
        }
        check::check(&self)?;
        Ok(self)
    }

    /// Divides what the teams of each entry have among another number of them.
    fn divide_teams(&mut self, count: usize) {
        for team in &mut self.teams {
            let factor = team.count as f64 / count.max(1) as f64;
            team.count = count;
            for amount in team.amounts() {
                *amount *= factor;
            }
        }
    }

    fn scale_to(&mut self, workers: u32) {
        let factor = f64::from(workers) / f64::from(self.machines().max(1));
        let scaled = |n: u32| (f64::from(n) * factor).ceil() as u32;
        for capacity in &mut self.capacity {
            capacity.count = scaled(capacity.count);
            capacity.spot = scaled(capacity.spot);
        }
        for team in &mut self.teams {
            for amount in team.amounts() {
                *amount *= factor;
            }
        }
        for class in &mut self.classes {
            class.initial = (f64::from(class.initial) * factor).round() as u32;
            class.per_s *= factor;
        }
    }
}

#[cfg(test)]
mod tests;
