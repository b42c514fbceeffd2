//! The settings files that the controllers get.

use crate::addresses::Addresses;
use crate::site::Site;
use forkshift_wire::settings::{
    CloudLimits, Cluster, Limits, Objective, Peer, Services, Settings, StateLimits, Team, Workers,
};
use forkshift_wire::NodeName;

/// The bound on the error of the time of day: all run on one machine.
const CLOCK_OFF_MS: f64 = 50.0;
/// What a controller is told of its share of a core and of its memory. The
/// emulator measures both and limits neither.
const CPU_SHARE: f64 = 1.0;
const MEMORY_MB: f64 = 512.0;
/// Lag of the cloud's list, in seconds.
const LIST_LAG_S: f64 = 4.0;
/// The part of a class that must start in its time.
const WAIT_SHARE: f64 = 0.9;

/// The name of a controller.
pub fn controller_name(index: usize) -> String {
    format!("berth-{index}")
}

/// The zone of a controller.
fn zone_of(site: &Site, index: usize) -> String {
    site.zones[index % site.zones.len()].clone()
}

/// The settings of one controller.
pub fn settings(site: &Site, addresses: Addresses, index: usize) -> Settings {
    let others = (0..site.controllers.count).filter(|n| *n != index);
    let peer = |n| Peer {
        node: NodeName::new(&controller_name(n)),
        zone: zone_of(site, n),
        addr: addresses.controller_peer(n),
    };
    Settings {
        node: NodeName::new(&controller_name(index)),
        zone: zone_of(site, index),
        listen: addresses.controller(index),
        peer_listen: addresses.controller_peer(index),
        peers: others.map(peer).collect(),
        services: Services {
            cloud: addresses.cloud(index),
            state: addresses.state(index),
        },
        cluster: cluster(site),
    }
}

fn cluster(site: &Site) -> Cluster {
    Cluster {
        nodes: site.controllers.count as u32,
        zones: site.zones.clone(),
        clock_off_ms: CLOCK_OFF_MS,
        teams: teams(site),
        objectives: objectives(site),
        workers: Workers {
            report_s: site.workers.report_s,
            lease_s: site.workers.lease_s,
            gang_wait_s: site.workers.gang_wait_s,
            gang_peer_s: site.workers.gang_peer_s,
            cancel_s: site.workers.cancel_s,
        },
        state: StateLimits {
            rps: site.state.rps,
            write_rps: site.state.write_rps,
            value_kb: site.state.value_kb,
            txn_ops: site.state.txn_ops,
            next: None,
        },
        cloud: CloudLimits {
            rps: site.cloud.rps,
            list_lag_s: LIST_LAG_S,
        },
        limits: Limits {
            cpu_share: CPU_SHARE,
            memory_mb: MEMORY_MB,
            sockets: site.controllers.sockets,
        },
    }
}

fn teams(site: &Site) -> Vec<Team> {
    let mut teams = Vec::new();
    for spec in &site.teams {
        teams.extend(spec.names().into_iter().map(|name| Team {
            name,
            cpus: spec.cpus,
            cpus_max: spec.cpus_max,
            gpus: spec.gpus,
            gpus_max: spec.gpus_max,
        }));
    }
    teams
}

fn objectives(site: &Site) -> Vec<Objective> {
    let waits = site.classes.iter().filter_map(|class| {
        Some(Objective {
            kind: "wait".to_owned(),
            class: Some(class.name.clone()),
            within_s: class.wait_s?,
            share: WAIT_SHARE,
        })
    });
    waits.collect()
}
