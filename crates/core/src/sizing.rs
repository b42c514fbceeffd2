//! Whether a controller's limits suffice for the expected size of the fleet.
//!
//! In the worst case one controller holds every shard and serves every worker, as all
//! others have failed. Its needs then follow from the slopes that were measured, see
//! `docs/CAPACITY.md`.

use forkshift_wire::settings::Settings;
use std::fmt;

/// Memory of a controller without machines, in MB.
const BASE_MEMORY_MB: f64 = 6.7;
/// Memory for one machine, its record and its tasks, in MB: 2.5 KB, and sixteen tasks of
/// 0.8 KB, as at the measured peak.
const MEMORY_MB_PER_MACHINE: f64 = 0.0153;
/// The part of the memory that remains beside bounded queues, names and answers.
const STATE_MEMORY_FRACTION: f64 = 0.75;
/// Time for which a heartbeat takes a connection, including its opening, in seconds.
const HEARTBEAT_CONNECTION_S: f64 = 1.0;

/// A limit that is too small for the fleet.
#[derive(Clone, Debug, PartialEq)]
pub struct Shortfall {
    /// Path of the field in the settings.
    pub field: &'static str,
    /// Its value.
    pub has: f64,
    /// The least value that suffices.
    pub needs: f64,
    /// Machines in the fleet.
    pub machines: u32,
    /// The effect of the limit as it is.
    pub effect: &'static str,
}

impl fmt::Display for Shortfall {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            field,
            has,
            needs,
            machines,
            effect,
        } = self;
        write!(
            formatter,
            "`{field}` is {has}, and {machines} machines need {needs}: {effect}"
        )
    }
}

/// Limits of a controller that are too small for a fleet of `machines` machines.
pub fn shortfalls(settings: &Settings, machines: u32) -> Vec<Shortfall> {
    let cluster = &settings.cluster;
    let fleet = f64::from(machines);
    let heartbeats_per_second = fleet / cluster.workers.heartbeat_interval_s;
    let sockets = heartbeats_per_second * HEARTBEAT_CONNECTION_S
        / crate::bounds::INCOMING_CONNECTIONS_FRACTION;
    let memory_mb = (BASE_MEMORY_MB + fleet * MEMORY_MB_PER_MACHINE) / STATE_MEMORY_FRACTION;
    let needs = [
        Shortfall {
            field: "cluster.limits.sockets",
            has: cluster.limits.sockets as f64,
            needs: sockets.ceil(),
            machines,
            effect: "a controller that is left alone answers some reports late",
        },
        Shortfall {
            field: "cluster.limits.mem_mb",
            has: cluster.limits.memory_mb,
            needs: memory_mb.ceil(),
            machines,
            effect: "a controller that is left alone may be ended for its memory",
        },
    ];
    needs
        .into_iter()
        .filter(|limit| limit.has < limit.needs)
        .collect()
}

#[cfg(test)]
mod tests;
