//! The settings file, in TOML, that the platform gives to each controller.
//!
//! Each struct is a table of the file and is named after the table: [`Limits`] is
//! `[cluster.limits]`, [`Team`] is an element of `[[cluster.teams]]`. Times are in seconds
//! unless the name of the field has another unit; rates are per second.

mod validation;

use crate::ids::NodeName;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

pub use validation::FieldProblem;

/// The settings of one controller.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Settings {
    /// Name of this controller.
    #[serde(rename = "host_name")]
    pub node: NodeName,
    /// Zone of this controller; empty if it is not set.
    #[serde(rename = "domain", default)]
    pub zone: String,
    /// Address of the HTTP server for users, workers and health probes.
    #[serde(rename = "bind")]
    pub listen: SocketAddr,
    /// Address at which this controller receives messages of the other controllers (TCP).
    #[serde(rename = "cluster_listen")]
    pub peer_listen: SocketAddr,
    /// The other controllers; empty if there is only one controller.
    #[serde(default)]
    pub peers: Vec<Peer>,
    /// Addresses of the cloud and the key-value store.
    #[serde(rename = "external")]
    pub services: Services,
    /// Settings that are the same for all controllers.
    #[serde(rename = "cluster")]
    pub cluster: Cluster,
}

/// Another controller of the cluster.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Peer {
    /// Name of the controller.
    #[serde(rename = "host_name")]
    pub node: NodeName,
    /// Zone of the controller; empty if it is not set.
    #[serde(rename = "domain", default)]
    pub zone: String,
    /// The controller's [`Settings::peer_listen`].
    #[serde(rename = "endpoint")]
    pub addr: SocketAddr,
}

/// Addresses of the services that the controllers use.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Services {
    /// Address of the cloud (HTTP).
    #[serde(rename = "cloud")]
    pub cloud: SocketAddr,
    /// Address of the state service, a consensus-backed key-value store (HTTP).
    #[serde(rename = "state")]
    pub state: SocketAddr,
}

/// Settings that are the same for all controllers.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Cluster {
    /// Number of controllers in the cluster, at least 1.
    #[serde(rename = "initial_size")]
    pub node_count: u32,
    /// All zones of the cluster.
    #[serde(default)]
    pub zones: Vec<String>,
    /// Maximum error of a controller's wall clock, in milliseconds.
    #[serde(rename = "time_bound_ms", default)]
    pub max_clock_error_ms: f64,
    /// The teams and their quotas.
    #[serde(default)]
    pub teams: Vec<Team>,
    /// Service-level objectives.
    #[serde(default)]
    pub objectives: Vec<Objective>,
    /// Timing of the workers and of their tasks.
    pub workers: Workers,
    /// Limits of the key-value store.
    pub state: StateLimits,
    /// Limits of the cloud.
    pub cloud: CloudLimits,
    /// Resource limits of a controller's process.
    pub limits: Limits,
}

/// Quota of a team: the resources that the team is guaranteed, and the maximum that it may
/// use.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Team {
    /// Name of the team.
    pub name: String,
    /// Number of CPUs that the team is guaranteed.
    #[serde(rename = "cpus", default)]
    pub guaranteed_cpus: f64,
    /// Maximum number of CPUs that the team may use; 0: no limit.
    #[serde(rename = "cpus_max", default)]
    pub max_cpus: f64,
    /// Number of GPUs that the team is guaranteed.
    #[serde(rename = "gpus", default)]
    pub guaranteed_gpus: f64,
    /// Maximum number of GPUs that the team may use; 0: no limit.
    #[serde(rename = "gpus_max", default)]
    pub max_gpus: f64,
}

/// A service-level objective.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Objective {
    /// `wait`, for the time until the start, or `finished`, for the time until the completion.
    /// `guarantee` and unknown kinds are accepted and ignored.
    pub kind: String,
    /// Class of the jobs to which the objective applies; none: all classes.
    #[serde(default)]
    pub class: Option<String>,
    /// Time limit of the objective, in seconds.
    #[serde(default)]
    pub within_s: f64,
    /// Fraction of the cases in which the time limit should be met, from 0 to 1.
    #[serde(rename = "share", default)]
    pub target_fraction: f64,
}

/// Timing of the workers and of their tasks, in seconds.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Workers {
    /// Interval between two heartbeats of a worker.
    #[serde(rename = "report_s")]
    pub heartbeat_interval_s: f64,
    /// Duration of a worker's lease. A worker whose heartbeats are not accepted for this long
    /// stops its tasks.
    #[serde(rename = "lease_s")]
    pub lease_s: f64,
    /// Time within which all tasks of a gang must be ready to start; otherwise they exit.
    #[serde(rename = "gang_wait_s")]
    pub gang_start_timeout_s: f64,
    /// Time within which the tasks of a gang detect that one of them exited.
    #[serde(rename = "gang_peer_s")]
    pub gang_exit_detection_s: f64,
    /// Time within which the tasks of a cancelled job must have exited.
    #[serde(rename = "cancel_s")]
    pub cancellation_deadline_s: f64,
}

/// Limits of the key-value store.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct StateLimits {
    /// Requests per second, of all controllers together.
    #[serde(rename = "rps")]
    pub requests_per_s: f64,
    /// Writes per second, of all controllers together.
    #[serde(rename = "write_rps")]
    pub writes_per_s: f64,
    /// Maximum size of a value, in KiB.
    #[serde(rename = "value_kb")]
    pub max_value_kib: f64,
    /// Maximum number of writes in a transaction; at least 4.
    #[serde(rename = "txn_ops")]
    pub max_transaction_writes: usize,
    /// Limits that come into force some time after an announced upgrade, without further
    /// notice; none: no upgrade is announced.
    #[serde(default)]
    pub next: Option<NextStateLimits>,
}

/// Announced limits of the key-value store. A limit that is absent does not change.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct NextStateLimits {
    /// Requests per second, of all controllers together.
    #[serde(rename = "rps", default)]
    pub requests_per_s: Option<f64>,
    /// Writes per second, of all controllers together.
    #[serde(rename = "write_rps", default)]
    pub writes_per_s: Option<f64>,
    /// Maximum size of a value, in KiB.
    #[serde(rename = "value_kb", default)]
    pub max_value_kib: Option<f64>,
    /// Maximum number of writes in a transaction; at least 4.
    #[serde(rename = "txn_ops", default)]
    pub max_transaction_writes: Option<usize>,
}

/// Limits of the cloud.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct CloudLimits {
    /// Requests per second.
    #[serde(rename = "rps")]
    pub requests_per_s: f64,
    /// Typical time until a change of a machine appears in the machine list, in seconds.
    #[serde(default)]
    pub list_lag_s: f64,
}

/// Resource limits of a controller's process.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Limits {
    /// CPU time, as a fraction of one core.
    #[serde(rename = "cpu")]
    pub cpu_fraction: f64,
    /// Memory, in MB.
    #[serde(rename = "mem_mb")]
    pub memory_mb: f64,
    /// Number of open sockets, at least 32.
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
    #[error("`{field}` {problem}; the given value is {value}")]
    Field {
        /// Path of the field, as in `cluster.teams[0].cpus`.
        field: String,
        /// Which values are allowed.
        problem: FieldProblem,
        /// The given value.
        value: String,
    },
}

impl Settings {
    /// Parses the text of a settings file and validates all fields.
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
