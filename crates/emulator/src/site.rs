//! The site file: a deployment, its load, and the faults that a run injects.
//!
//! Fields have the names of the keys in the TOML file. Times are in seconds.

mod controllers;
mod error;
mod faults;
mod fleet;
mod overrides;
mod services;
mod validation;
mod workload;

use serde::Deserialize;

pub(crate) use controllers::ControllersSpec;
pub(crate) use error::SiteError;
pub(crate) use faults::{CrashSpec, CrashTarget, LinkCutSpec, LinkKind};
pub(crate) use fleet::{CapacitySpec, MachineTypeSpec};
pub(crate) use overrides::Overrides;
pub(crate) use services::{CloudSpec, StateStoreSpec, WorkerTimeouts};
pub(crate) use workload::{JobClass, JobKindSpec, TeamSpec};

/// A site file. An unknown key anywhere in it is an error.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Site {
    /// Name of the site, which reports contain.
    pub name: String,
    /// Seed of all random draws; 1 if left out.
    #[serde(default = "default_seed")]
    pub seed: u64,
    /// Length of a run, in seconds; at most 3,600.
    pub duration_s: f64,
    /// Length of the warm-up at the start of a run, which is not measured, in seconds.
    #[serde(default)]
    pub warmup_s: f64,
    /// Names of the zones. Controllers are assigned to them round-robin.
    pub zones: Vec<String>,
    /// The controllers.
    pub controllers: ControllersSpec,
    /// Machine types that the simulated cloud offers.
    pub machine_types: Vec<MachineTypeSpec>,
    /// Number of machines that the cloud has of each type in each zone.
    pub capacity: Vec<CapacitySpec>,
    /// Teams with their quotas.
    pub teams: Vec<TeamSpec>,
    /// Intervals and timeouts of the workers.
    pub workers: WorkerTimeouts,
    /// Limits of the key-value store.
    pub state: StateStoreSpec,
    /// Limits and failures of the cloud.
    pub cloud: CloudSpec,
    /// Classes of jobs.
    pub classes: Vec<JobClass>,
    /// Controllers and workers that crash.
    #[serde(default)]
    pub kills: Vec<CrashSpec>,
    /// Links that are cut for a while.
    #[serde(default)]
    pub cuts: Vec<LinkCutSpec>,
}

fn default_seed() -> u64 {
    1
}

impl Site {
    /// Parses and validates the text of a site file.
    pub(crate) fn parse(text: &str) -> Result<Self, SiteError> {
        let site: Self = toml::from_str(text)?;
        validation::validate(&site)?;
        Ok(site)
    }

    /// Number of on-demand machines that the cloud has; spot machines are not counted.
    pub(crate) fn on_demand_machines(&self) -> u32 {
        self.capacity.iter().map(|capacity| capacity.count).sum()
    }

    /// Number of spot machines that the cloud has.
    pub(crate) fn spot_machines(&self) -> u32 {
        self.capacity.iter().map(|capacity| capacity.spot).sum()
    }

    /// Names of all teams, in the order of the file. Entries with several teams are expanded.
    pub(crate) fn team_names(&self) -> Vec<String> {
        self.teams.iter().flat_map(TeamSpec::names).collect()
    }

    /// Mean task starts per second of the jobs that arrive during the run; initial jobs are not
    /// counted.
    pub(crate) fn starts_per_s(&self) -> f64 {
        let rates = self
            .classes
            .iter()
            .map(|class| class.per_s * class.mean_tasks());
        rates.sum()
    }
}

#[cfg(test)]
mod tests;
