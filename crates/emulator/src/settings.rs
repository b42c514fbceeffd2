//! Builds the settings files of the controllers from a site.

use crate::addresses::Addresses;
use crate::site::Site;
use forkshift_wire::settings::{
    CloudLimits, Cluster, Limits, Objective, Peer, Services, Settings, StateLimits, Team, Workers,
};
use forkshift_wire::NodeName;

/// Bound on the difference of the controllers' clocks, in milliseconds. All processes read
/// the clock of one machine.
const MAX_CLOCK_ERROR_MS: f64 = 50.0;
/// Processor limit that the settings state, in cores. The emulator does not enforce it.
const MAX_CPU_CORES: f64 = 1.0;
/// Memory limit that the settings state, in MB. The emulator does not enforce it.
const MAX_MEMORY_MB: f64 = 512.0;
/// Lag of the cloud's list of machines that the controllers must expect, in seconds; the
/// simulated cloud draws its lag around the same value.
const CLOUD_LIST_LAG_S: f64 = 4.0;
/// Fraction of a class's tasks that must start within the objective.
const START_OBJECTIVE_FRACTION: f64 = 0.9;

/// Name of the controller of an index. It appears in reports and names the log files.
pub(crate) fn controller_name(index: usize) -> String {
    format!("berth-{index}")
}

/// Zone of the controller of an index. Zones are assigned round-robin.
fn zone_of_controller(site: &Site, index: usize) -> String {
    site.zones[index % site.zones.len()].clone()
}

/// Settings of the controller of an index. It reaches the services under addresses of its
/// own, so that a fault can cut the links of one controller.
pub(crate) fn controller_settings(site: &Site, addresses: Addresses, index: usize) -> Settings {
    let peers = (0..site.controllers.count).filter(|peer| *peer != index);
    let peer = |peer| Peer {
        node: NodeName::new(&controller_name(peer)),
        zone: zone_of_controller(site, peer),
        addr: addresses.controller_peer(peer),
    };
    Settings {
        node: NodeName::new(&controller_name(index)),
        zone: zone_of_controller(site, index),
        listen: addresses.controller(index),
        peer_listen: addresses.controller_peer(index),
        peers: peers.map(peer).collect(),
        services: Services {
            cloud: addresses.cloud(index),
            state: addresses.store(index),
        },
        cluster: cluster(site),
    }
}

fn cluster(site: &Site) -> Cluster {
    Cluster {
        node_count: site.controllers.count as u32,
        zones: site.zones.clone(),
        max_clock_error_ms: MAX_CLOCK_ERROR_MS,
        teams: teams(site),
        objectives: objectives(site),
        workers: Workers {
            heartbeat_interval_s: site.workers.report_s,
            lease_s: site.workers.lease_s,
            gang_start_timeout_s: site.workers.gang_wait_s,
            gang_exit_detection_s: site.workers.gang_peer_s,
            cancellation_deadline_s: site.workers.cancel_s,
        },
        state: StateLimits {
            requests_per_s: site.state.rps,
            writes_per_s: site.state.write_rps,
            max_value_kib: site.state.value_kb,
            max_transaction_writes: site.state.txn_ops,
            next: None,
        },
        cloud: CloudLimits {
            requests_per_s: site.cloud.rps,
            list_lag_s: CLOUD_LIST_LAG_S,
        },
        limits: Limits {
            cpu_fraction: MAX_CPU_CORES,
            memory_mb: MAX_MEMORY_MB,
            sockets: site.controllers.sockets,
        },
    }
}

fn teams(site: &Site) -> Vec<Team> {
    let mut teams = Vec::new();
    for spec in &site.teams {
        teams.extend(spec.names().into_iter().map(|name| Team {
            name,
            guaranteed_cpus: spec.cpus,
            max_cpus: spec.cpus_max,
            guaranteed_gpus: spec.gpus,
            max_gpus: spec.gpus_max,
        }));
    }
    teams
}

fn objectives(site: &Site) -> Vec<Objective> {
    let objectives = site.classes.iter().filter_map(|class| {
        Some(Objective {
            kind: "wait".to_owned(),
            class: Some(class.name.clone()),
            within_s: class.wait_s?,
            target_fraction: START_OBJECTIVE_FRACTION,
        })
    });
    objectives.collect()
}
