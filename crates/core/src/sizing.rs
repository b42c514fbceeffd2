//! Whether a controller's limits are enough for a fleet of some size.
//!
//! In the worst moment one controller holds every shard and serves every worker: the
//! others have ended. What it needs then follows from the measured slopes of
//! `docs/CAPACITY.md`.

use forkshift_wire::settings::Settings;
use std::fmt;

/// Memory of a controller without machines, in MB.
const BASE_MB: f64 = 6.7;
/// Memory for one machine, its record and its tasks, in MB: 2.5 KB, and sixteen tasks of
/// 0.8 KB, as at the measured peak.
const MACHINE_MB: f64 = 0.0153;
/// The part of the memory that is left beside bounded queues, names and answers.
const STATE_PART: f64 = 0.75;
/// For so many seconds a report takes a connection, with what it takes to open one.
const CONNECTION_S: f64 = 1.0;

/// A limit that is too small for the fleet.
#[derive(Clone, Debug, PartialEq)]
pub struct Shortfall {
    /// The field of the settings.
    pub field: &'static str,
    /// What it is.
    pub has: f64,
    /// What would do.
    pub needs: f64,
    /// Machines of the fleet.
    pub machines: u32,
    /// What happens if it stays as it is.
    pub effect: &'static str,
}

impl fmt::Display for Shortfall {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            field,
            has,
            needs,
            machines,
            effect,
        } = self;
        write!(
            f,
            "`{field}` is {has}, and {machines} machines need {needs}: {effect}"
        )
    }
}

/// Limits of a controller that are too small for a fleet of so many machines.
pub fn shortfalls(settings: &Settings, machines: u32) -> Vec<Shortfall> {
    let cluster = &settings.cluster;
    let fleet = f64::from(machines);
    let reports_a_second = fleet / cluster.workers.report_s;
    let sockets = reports_a_second * CONNECTION_S / crate::bounds::INCOMING_PART;
    let memory_mb = (BASE_MB + fleet * MACHINE_MB) / STATE_PART;
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
    needs.into_iter().filter(|s| s.has < s.needs).collect()
}

#[cfg(test)]
mod tests;
