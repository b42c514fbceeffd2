//! The settings file that the platform hands to every controller.

use crate::ids::NodeName;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// The whole file.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Settings {
    /// This controller.
    #[serde(rename = "host_name")]
    pub node: NodeName,
    /// Its zone.
    #[serde(rename = "domain", default)]
    pub zone: String,
    /// Where users, workers and probes come in.
    #[serde(rename = "bind")]
    pub listen: SocketAddr,
    /// Where the other controllers come in.
    #[serde(rename = "cluster_listen")]
    pub peer_listen: SocketAddr,
    /// The other controllers.
    #[serde(default)]
    pub peers: Vec<Peer>,
    /// Cloud and state service.
    #[serde(rename = "external")]
    pub services: Services,
    /// What all controllers share.
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
    /// Its `cluster_listen`.
    #[serde(rename = "endpoint")]
    pub addr: SocketAddr,
}

/// Where the regional services are.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Services {
    /// The cloud.
    pub cloud: SocketAddr,
    /// The state service.
    pub state: SocketAddr,
}

/// What all controllers share.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Cluster {
    /// Number of controllers.
    #[serde(rename = "initial_size")]
    pub nodes: u32,
    /// All zones.
    #[serde(default)]
    pub zones: Vec<String>,
    /// Bound on the error of the time of day.
    #[serde(rename = "time_bound_ms", default)]
    pub clock_off_ms: f64,
    /// Teams.
    #[serde(default)]
    pub teams: Vec<Team>,
    /// What users expect of each class.
    #[serde(default)]
    pub objectives: Vec<Objective>,
    /// Workers.
    pub workers: Workers,
    /// Limits of the state service.
    pub state: StateLimits,
    /// Limits of the cloud.
    pub cloud: CloudLimits,
    /// Limits of this process.
    pub limits: Limits,
}

/// A team's guarantee and limit.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Team {
    /// Its name.
    pub name: String,
    /// Guaranteed CPUs.
    #[serde(default)]
    pub cpus: f64,
    /// Most CPUs; 0: none.
    #[serde(default)]
    pub cpus_max: f64,
    /// Guaranteed GPUs.
    #[serde(default)]
    pub gpus: f64,
    /// Most GPUs; 0: none.
    #[serde(default)]
    pub gpus_max: f64,
}

/// What users expect of a class.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Objective {
    /// `wait`, `finished` or `guarantee`; others are ignored.
    pub kind: String,
    /// The class, where it is meant for one.
    #[serde(default)]
    pub class: Option<String>,
    /// Within which time.
    #[serde(default)]
    pub within_s: f64,
    /// For which share.
    #[serde(default)]
    pub share: f64,
}

/// Times of the workers.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Workers {
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
}

/// Limits of the state service.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct StateLimits {
    /// Requests a second, of all controllers together.
    pub rps: f64,
    /// Changes a second, of all controllers together.
    pub write_rps: f64,
    /// Largest value.
    pub value_kb: f64,
    /// Most changes in a transaction.
    pub txn_ops: usize,
    /// Limits that come into force some time after an upgrade, without notice.
    #[serde(default)]
    pub next: Option<NextStateLimits>,
}

/// Announced limits of the state service; a limit that is left out stays.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct NextStateLimits {
    /// Requests a second, of all controllers together.
    #[serde(default)]
    pub rps: Option<f64>,
    /// Changes a second, of all controllers together.
    #[serde(default)]
    pub write_rps: Option<f64>,
    /// Largest value.
    #[serde(default)]
    pub value_kb: Option<f64>,
    /// Most changes in a transaction.
    #[serde(default)]
    pub txn_ops: Option<usize>,
}

/// Limits of the cloud.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct CloudLimits {
    /// Requests a second.
    pub rps: f64,
    /// Usual lag of the machine list.
    #[serde(default)]
    pub list_lag_s: f64,
}

/// Limits of this process.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Limits {
    /// Share of a core.
    #[serde(rename = "cpu")]
    pub cpu_share: f64,
    /// Memory.
    #[serde(rename = "mem_mb")]
    pub memory_mb: f64,
    /// Sockets.
    #[serde(rename = "sockets")]
    pub sockets: usize,
}

/// A shard changes hands, and a job ends, in this many changes at once.
const TXN_OPS_LEAST: usize = 4;

/// Why settings are refused.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// Not TOML, or a field is missing or of another type.
    #[error("{0}")]
    Toml(#[from] toml::de::Error),
    /// A field is out of its range.
    #[error("`{field}` {problem}")]
    Field {
        /// The field, with its path.
        field: String,
        /// What is wrong with it.
        problem: &'static str,
    },
}

impl Settings {
    /// Reads and checks a settings file.
    pub fn parse(text: &str) -> Result<Self, SettingsError> {
        let settings: Self = toml::from_str(text)?;
        settings.check()?;
        Ok(settings)
    }

    fn check(&self) -> Result<(), SettingsError> {
        let c = &self.cluster;
        let positive = [
            ("cluster.workers.report_s", c.workers.report_s),
            ("cluster.workers.lease_s", c.workers.lease_s),
            ("cluster.workers.gang_wait_s", c.workers.gang_wait_s),
            ("cluster.workers.gang_peer_s", c.workers.gang_peer_s),
            ("cluster.workers.cancel_s", c.workers.cancel_s),
            ("cluster.state.rps", c.state.rps),
            ("cluster.state.write_rps", c.state.write_rps),
            ("cluster.state.value_kb", c.state.value_kb),
            ("cluster.cloud.rps", c.cloud.rps),
            ("cluster.limits.cpu", c.limits.cpu_share),
            ("cluster.limits.mem_mb", c.limits.memory_mb),
        ];
        let next = c.state.next.clone().unwrap_or_default();
        let announced = [
            ("cluster.state.next.rps", next.rps),
            ("cluster.state.next.write_rps", next.write_rps),
            ("cluster.state.next.value_kb", next.value_kb),
        ];
        let announced = announced.iter().filter_map(|(f, v)| Some((*f, (*v)?)));
        let wrong = |field: &str, problem| SettingsError::Field {
            field: field.to_owned(),
            problem,
        };
        for (field, value) in positive.into_iter().chain(announced) {
            if !(value.is_finite() && value > 0.0) {
                return Err(wrong(field, "must be above 0"));
            }
        }
        if c.nodes == 0 {
            return Err(wrong("cluster.initial_size", "must be above 0"));
        }
        let operations = [
            ("cluster.state.txn_ops", Some(c.state.txn_ops)),
            ("cluster.state.next.txn_ops", next.txn_ops),
        ];
        for (field, value) in operations {
            if value.is_some_and(|n| n < TXN_OPS_LEAST) {
                return Err(wrong(field, "must be at least 4"));
            }
        }
        if c.limits.sockets < 32 {
            return Err(wrong("cluster.limits.sockets", "must be at least 32"));
        }
        if self.node.as_str().is_empty() {
            return Err(wrong("host_name", "must not be empty"));
        }
        for (i, peer) in self.peers.iter().enumerate() {
            if peer.node == self.node {
                let field = format!("peers[{i}].host_name");
                return Err(wrong(&field, "is this controller's own name"));
            }
        }
        for (i, team) in c.teams.iter().enumerate() {
            let amounts = [
                ("cpus", team.cpus),
                ("cpus_max", team.cpus_max),
                ("gpus", team.gpus),
                ("gpus_max", team.gpus_max),
            ];
            for (name, value) in amounts {
                if !(value.is_finite() && value >= 0.0) {
                    let field = format!("cluster.teams[{i}].{name}");
                    return Err(wrong(&field, "must not be negative"));
                }
            }
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests;
