//! Checks whether a controller's resource limits suffice for the expected size of the fleet.
//!
//! The check assumes the worst case: all other controllers have failed, so that one controller
//! holds every shard and serves every worker. `docs/CAPACITY.md` shows how resource usage grows
//! with the fleet.

use forkshift_wire::settings::Settings;
use std::fmt;

/// Memory usage of a controller without machines, in MB.
const BASE_MEMORY_MB: f64 = 6.7;
/// Memory usage per machine, in MB: 2.5 KB for the machine and its record, and 0.8 KB for each
/// of 16 tasks, the peak number of tasks on a machine.
const MEMORY_MB_PER_MACHINE: f64 = 0.0153;
/// Fraction of the memory that is left for this state by bounded queues, names and responses.
const STATE_MEMORY_FRACTION: f64 = 0.75;
/// Time for which a heartbeat occupies a connection, including connection setup, in seconds.
const HEARTBEAT_CONNECTION_S: f64 = 1.0;

/// A limit in the settings that is too small for the expected fleet.
#[derive(Clone, Debug, PartialEq)]
pub struct Shortfall {
    /// Path of the limit in the settings.
    pub field: &'static str,
    /// Configured value of the limit.
    pub has: f64,
    /// Smallest value that suffices.
    pub needs: f64,
    /// Number of machines in the expected fleet.
    pub machines: u32,
    /// Effect of the configured limit on the operation of the controller.
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

/// The limits of a controller that are too small for a fleet of `machines` machines.
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
