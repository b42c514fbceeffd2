//! The settings file that the platform hands to every controller, in TOML.
//!
//! Each struct stands for a table of the file and is named after it: [`Limits`] is
//! `[cluster.limits]`, [`Team`] an element of `[[cluster.teams]]`. Times are in seconds
//! unless a name says otherwise; rates are per second.

mod validation;

use crate::ids::NodeName;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

pub use validation::FieldProblem;

/// The whole file.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Settings {
    /// Name of this controller.
    #[serde(rename = "host_name")]
    pub node: NodeName,
    /// Zone of this controller.
    #[serde(rename = "domain", default)]
    pub zone: String,
    /// Address at which users, workers and health probes connect (HTTP).
    #[serde(rename = "bind")]
    pub listen: SocketAddr,
    /// Address at which the other controllers connect.
    #[serde(rename = "cluster_listen")]
    pub peer_listen: SocketAddr,
    /// The other controllers.
    #[serde(default)]
    pub peers: Vec<Peer>,
    /// Addresses of the cloud and the state service.
    #[serde(rename = "external")]
    pub services: Services,
    /// Settings that are the same for all controllers.
    #[serde(rename = "cluster")]
    pub cluster: Cluster,
}

/// Another controller.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Peer {
    /// Its name.
    #[serde(rename = "host_name")]
    pub node: NodeName,
    /// Its zone.
    #[serde(rename = "domain", default)]
    pub zone: String,
    /// Its [`Settings::peer_listen`].
    #[serde(rename = "endpoint")]
    pub addr: SocketAddr,
}

/// Addresses of the regional services.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Services {
    /// The cloud.
    #[serde(rename = "cloud")]
    pub cloud: SocketAddr,
    /// The state service, a consensus-backed key-value store.
    #[serde(rename = "state")]
    pub state: SocketAddr,
}

/// Settings that are the same for all controllers.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Cluster {
    /// Number of controllers.
    #[serde(rename = "initial_size")]
    pub node_count: u32,
    /// All zones.
    #[serde(default)]
    pub zones: Vec<String>,
    /// Bound on the error of the wall clock, in milliseconds.
    #[serde(rename = "time_bound_ms", default)]
    pub max_clock_error_ms: f64,
    /// Quotas of the teams.
    #[serde(default)]
    pub teams: Vec<Team>,
    /// Service-level objectives.
    #[serde(default)]
    pub objectives: Vec<Objective>,
    /// Timing of the workers.
    pub workers: Workers,
    /// Limits of the state service.
    pub state: StateLimits,
    /// Limits of the cloud.
    pub cloud: CloudLimits,
    /// Limits of this process.
    pub limits: Limits,
}

/// Quota of a team: what it is guaranteed and what it may use at most.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Team {
    /// Name of the team.
    pub name: String,
    /// Guaranteed CPUs.
    #[serde(rename = "cpus", default)]
    pub guaranteed_cpus: f64,
    /// Maximum CPUs; 0: no limit.
    #[serde(rename = "cpus_max", default)]
    pub max_cpus: f64,
    /// Guaranteed GPUs.
    #[serde(rename = "gpus", default)]
    pub guaranteed_gpus: f64,
    /// Maximum GPUs; 0: no limit.
    #[serde(rename = "gpus_max", default)]
    pub max_gpus: f64,
}

/// A service-level objective.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Objective {
    /// `wait`, `finished` or `guarantee`; others are ignored.
    pub kind: String,
    /// Class of jobs that it applies to; none: all.
    #[serde(default)]
    pub class: Option<String>,
    /// Time within which it is to be met, in seconds.
    #[serde(default)]
    pub within_s: f64,
    /// Fraction of the cases in which it is to be met, from 0 to 1.
    #[serde(rename = "share", default)]
    pub target_fraction: f64,
}

/// Timing of the workers, in seconds.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Workers {
    /// Interval between two heartbeats.
    #[serde(rename = "report_s")]
    pub heartbeat_interval_s: f64,
    /// Lease of a worker: without an answered heartbeat it stops its tasks after this time.
    #[serde(rename = "lease_s")]
    pub lease_s: f64,
    /// Timeout for a gang to become complete.
    #[serde(rename = "gang_wait_s")]
    pub gang_start_timeout_s: f64,
    /// Time within which a gang detects that one of its tasks exited.
    #[serde(rename = "gang_peer_s")]
    pub gang_exit_detection_s: f64,
    /// Time within which the tasks of a cancelled job must have exited.
    #[serde(rename = "cancel_s")]
    pub cancellation_deadline_s: f64,
}

/// Limits of the state service.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct StateLimits {
    /// Requests per second, of all controllers together.
    #[serde(rename = "rps")]
    pub requests_per_s: f64,
    /// Changes per second, of all controllers together.
    #[serde(rename = "write_rps")]
    pub writes_per_s: f64,
    /// Maximum size of a value, in KiB.
    #[serde(rename = "value_kb")]
    pub max_value_kib: f64,
    /// Maximum number of changes in a transaction.
    #[serde(rename = "txn_ops")]
    pub max_transaction_writes: usize,
    /// Limits that come into force some time after an upgrade, without notice.
    #[serde(default)]
    pub next: Option<NextStateLimits>,
}

/// Announced limits of the state service; a limit that is absent does not change.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct NextStateLimits {
    /// Requests per second, of all controllers together.
    #[serde(rename = "rps", default)]
    pub requests_per_s: Option<f64>,
    /// Changes per second, of all controllers together.
    #[serde(rename = "write_rps", default)]
    pub writes_per_s: Option<f64>,
    /// Maximum size of a value, in KiB.
    #[serde(rename = "value_kb", default)]
    pub max_value_kib: Option<f64>,
    /// Maximum number of changes in a transaction.
    #[serde(rename = "txn_ops", default)]
    pub max_transaction_writes: Option<usize>,
}

/// Limits of the cloud.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct CloudLimits {
    /// Requests per second.
    #[serde(rename = "rps")]
    pub requests_per_s: f64,
    /// Typical staleness of the machine list, in seconds.
    #[serde(default)]
    pub list_lag_s: f64,
}

/// Limits of this process.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Limits {
    /// Fraction of a CPU core.
    #[serde(rename = "cpu")]
    pub cpu_fraction: f64,
    /// Memory, in MB.
    #[serde(rename = "mem_mb")]
    pub memory_mb: f64,
    /// Open sockets.
    #[serde(rename = "sockets")]
    pub sockets: usize,
}

/// Why settings are refused.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The text is not TOML, or a field is missing or of another type.
    #[error("{0}")]
    Toml(#[from] toml::de::Error),
    /// The value of a field is not allowed.
    #[error("`{field}` {problem}")]
    Field {
        /// Path of the field, as in `cluster.teams[0].cpus`.
        field: String,
        /// What is wrong with the value.
        problem: FieldProblem,
    },
}

impl Settings {
    /// Parses and validates the text of a settings file.
    ///
    /// # Errors
    ///
    /// [`SettingsError`], for the first field that is refused.
    pub fn parse(text: &str) -> Result<Self, SettingsError> {
        let settings: Self = toml::from_str(text)?;
        validation::validate(&settings)?;
        Ok(settings)
    }
}

#[cfg(test)]
mod tests;
