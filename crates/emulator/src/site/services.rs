//! Timeouts of the workers and limits of the simulated services.

use serde::Deserialize;

/// Intervals and timeouts of the workers, in seconds.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct WorkerTimeouts {
    /// Interval between two heartbeats.
    pub report_s: f64,
    /// Lease of a worker: it stops its tasks after this long without an acknowledged heartbeat.
    pub lease_s: f64,
    /// Start timeout of a gang: it aborts if not all of its tasks run after this long.
    pub gang_wait_s: f64,
    /// Time within which a gang detects that one of its tasks has exited.
    pub gang_peer_s: f64,
    /// Time within which the tasks of a cancelled job must have exited.
    pub cancel_s: f64,
    /// Whether workers list their cached images in heartbeats and prefetch images.
    #[serde(default)]
    pub tells_images: bool,
}

/// Limits of the key-value store.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct StateStoreSpec {
    /// Largest rate of requests, per second.
    pub rps: f64,
    /// Largest rate of writes, per second.
    pub write_rps: f64,
    /// Largest value, in KiB.
    pub value_kb: f64,
    /// Largest number of writes in a transaction.
    pub txn_ops: usize,
}

/// Limits and failures of the simulated cloud.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct CloudSpec {
    /// Largest rate of requests, per second.
    pub rps: f64,
    /// Probability that a new machine never comes up, from 0 to 1.
    #[serde(default)]
    pub boot_fail: f64,
}
