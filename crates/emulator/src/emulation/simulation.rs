//! Builds the simulated world of a site: cloud, key-value store, users and hollow workers.

use crate::addresses;
use crate::load::milliseconds;
use crate::site::{CapacitySpec, MachineTypeSpec, Site, TeamSpec};
use forkshift_testkit::{BootModel, DeploymentConfig, Fleet, JobPlan, ServicesConfig, Simulation};
use forkshift_wire::cloud::MachineType;

/// Interval at which users poll the status of their jobs, in milliseconds.
const STATUS_POLL_MS: u64 = 5_000;

/// The simulated world of a site whose users submit the planned jobs. Its controllers are
/// processes that connect over sockets.
pub(super) fn world(site: &Site, plans: Vec<JobPlan>) -> Simulation {
    let deployment = ServicesConfig {
        fleet: fleet(site),
        team_limits: site.teams.iter().flat_map(team_limits).collect(),
        max_value_bytes: (site.state.value_kb * 1024.0) as usize,
        max_transaction_writes: site.state.txn_ops,
    };
    Simulation::remote(site.seed, plans, Vec::new(), size(site), deployment)
}

fn size(site: &Site) -> DeploymentConfig {
    let timeouts = &site.workers;
    DeploymentConfig {
        controllers: site.controllers.count,
        store_rps: site.state.rps,
        store_write_rps: site.state.write_rps,
        cloud_rps: site.cloud.rps,
        heartbeat_ms: milliseconds(timeouts.report_s),
        lease_ms: milliseconds(timeouts.lease_s),
        gang_wait_ms: milliseconds(timeouts.gang_wait_s),
        cancel_ms: milliseconds(timeouts.cancel_s),
        poll_ms: STATUS_POLL_MS,
        announces_images: timeouts.tells_images,
        ..DeploymentConfig::default()
    }
}

/// Limits of CPUs and GPUs of each team of an entry, by the team's name; 0: no limit.
fn team_limits(team: &TeamSpec) -> impl Iterator<Item = (String, (f64, f64))> {
    let limit = (team.cpus_max, team.gpus_max);
    team.names().into_iter().map(move |name| (name, limit))
}

fn fleet(site: &Site) -> Fleet {
    let types = site.machine_types.iter();
    let capacity = site.capacity.iter().flat_map(|capacity| {
        let key = |is_spot| {
            let machine_type = capacity.machine_type.clone();
            (machine_type, capacity.zone.clone(), is_spot)
        };
        [(key(false), capacity.count), (key(true), capacity.spot)]
    });
    Fleet {
        types: types
            .map(|spec| machine_type(spec, &site.capacity))
            .collect(),
        capacity: capacity.collect(),
        boots: BootModel::Normal {
            failure_probability: site.cloud.boot_fail,
        },
        address: addresses::worker,
    }
}

fn machine_type(spec: &MachineTypeSpec, capacity: &[CapacitySpec]) -> MachineType {
    let of_type = capacity
        .iter()
        .filter(|capacity| capacity.machine_type == spec.name);
    MachineType {
        name: spec.name.clone(),
        cpus: spec.cpus,
        gpus: spec.gpus,
        memory_gb: spec.memory_gb,
        cache_gb: spec.cache_gb,
        fetch_gb_per_s: spec.fetch_gb_per_s,
        price_per_hour: spec.price,
        spot_price_per_hour: spec.spot_price,
        boot_s: spec.boot_s,
        zones: of_type.map(|capacity| capacity.zone.clone()).collect(),
    }
}
