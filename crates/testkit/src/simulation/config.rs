//! Configuration of a simulated deployment, and the settings files of its controllers.

use crate::faults::ZONES;
use crate::Ms;
use rand::rngs::StdRng;
use rand::Rng;

/// Size, limits and timing of a simulated deployment.
#[derive(Clone, Copy, Debug)]
pub struct DeploymentConfig {
    /// Number of controllers, and of shards.
    pub controllers: usize,
    /// Number of teams.
    pub teams: usize,
    /// Maximum number of on-demand machines per type and zone. For spot machines it is half of this
    /// number.
    pub capacity: u32,
    /// Rate limit of the store, in requests per second.
    pub store_rps: f64,
    /// Rate limit of the store, in writes per second.
    pub store_write_rps: f64,
    /// Rate limit of the cloud in the controllers' settings, in requests per second. The simulated
    /// cloud does not enforce it.
    pub cloud_rps: f64,
    /// CPUs and GPUs that each team is guaranteed.
    pub guarantee: (f64, f64),
    /// Maximum number of CPUs and GPUs that each team may use.
    pub limit: (f64, f64),
    /// Interval between the heartbeats of a worker.
    pub heartbeat_ms: Ms,
    /// Duration of a worker's lease.
    pub lease_ms: Ms,
    /// Time after which a worker ends the tasks of an incomplete gang.
    pub gang_wait_ms: Ms,
    /// Time within which the tasks of a cancelled job must have exited.
    pub cancel_ms: Ms,
    /// Interval between a user's polls of a job that is not in a final stage.
    pub poll_ms: Ms,
    /// Announced limits of the store, which take effect with [`crate::FaultKind::LowerLimits`].
    pub next_limits: Option<NextLimits>,
    /// Whether all controllers start as the old release.
    pub starts_with_old_release: bool,
    /// Whether workers report their images and accept prefetch commands.
    pub announces_images: bool,
}

impl Default for DeploymentConfig {
    fn default() -> Self {
        Self {
            controllers: 3,
            teams: 4,
            capacity: 5,
            store_rps: 200.0,
            store_write_rps: 80.0,
            cloud_rps: 5.0,
            guarantee: (16.0, 8.0),
            limit: (96.0, 24.0),
            heartbeat_ms: 1_000,
            lease_ms: 10_000,
            gang_wait_ms: DEFAULT_GANG_WAIT_MS,
            cancel_ms: 35_000,
            poll_ms: DEFAULT_POLL_MS,
            next_limits: None,
            starts_with_old_release: false,
            announces_images: false,
        }
    }
}

impl DeploymentConfig {
    /// Draws between low and default team limits, and between a cancellation time of 20 s, only twice
    /// the lease of a worker, and the default.
    pub fn random(rng: &mut StdRng) -> Self {
        let default = Self::default();
        Self {
            limit: match rng.random() {
                true => (24.0, 12.0),
                false => default.limit,
            },
            cancel_ms: match rng.random_range(0..3) {
                0 => 20_000,
                _ => default.cancel_ms,
            },
            ..default
        }
    }

    /// Five controllers with a capacity for a fleet of some 1,860 machines, spot machines not counted.
    pub fn five_by_1860() -> Self {
        Self {
            controllers: 5,
            teams: 5,
            capacity: 300,
            store_rps: 700.0,
            store_write_rps: 250.0,
            cloud_rps: 8.0,
            guarantee: (5_000.0, 1_000.0),
            limit: (20_000.0, 4_000.0),
            heartbeat_ms: 5_000,
            lease_ms: 24_000,
            cancel_ms: 35_000,
            ..Self::default()
        }
    }

    /// Five controllers with a capacity for a fleet of some 4,200 machines, spot machines not counted.
    pub fn five_by_4200() -> Self {
        Self {
            capacity: 700,
            store_rps: 1_600.0,
            store_write_rps: 570.0,
            cloud_rps: 18.0,
            guarantee: (12_000.0, 2_300.0),
            limit: (46_000.0, 9_200.0),
            ..Self::five_by_1860()
        }
    }

    /// Seven controllers and sixteen teams with a capacity for a fleet of some 810 machines, spot
    /// machines not counted.
    pub fn seven_by_810() -> Self {
        Self {
            controllers: 7,
            teams: 16,
            capacity: 130,
            store_rps: 300.0,
            store_write_rps: 100.0,
            cloud_rps: 4.0,
            guarantee: (500.0, 250.0),
            limit: (2_000.0, 900.0),
            heartbeat_ms: 2_000,
            lease_ms: 13_000,
            cancel_ms: 35_000,
            ..Self::default()
        }
    }
}

/// Default time after which a worker ends the tasks of an incomplete gang.
const DEFAULT_GANG_WAIT_MS: Ms = 20_000;
/// Default interval between a user's polls of a job. Real users poll less often.
const DEFAULT_POLL_MS: Ms = 1_500;

/// Limits of the store that are announced to controllers before they take effect.
#[derive(Clone, Copy, Debug)]
pub struct NextLimits {
    /// Rate limit in writes per second.
    pub write_rps: f64,
    /// Maximum size of a value, in KiB.
    pub value_kb: usize,
    /// Maximum number of writes in a transaction.
    pub txn_ops: usize,
}

/// Maximum size of a value in the store before the announced limits take effect, in KiB.
pub(super) const INITIAL_MAX_VALUE_KB: usize = 8;
/// Maximum number of writes in a transaction before the announced limits take effect.
pub(super) const INITIAL_MAX_TRANSACTION_WRITES: usize = 12;
/// Prefix of the names of controllers; the index follows.
const CONTROLLER_NAME_PREFIX: &str = "berth-";

/// The settings file, in TOML, of the controller with an index.
pub fn settings(node: usize, config: &DeploymentConfig) -> String {
    let name = controller_name(node);
    let zone = zone_of(node);
    let host = node + 1;
    format!(
        "host_name = \"{name}\"\ndomain = \"{zone}\"\n\
         bind = \"10.0.0.{host}:8080\"\ncluster_listen = \"10.0.0.{host}:8081\"\n\
         {}\n[external]\ncloud = \"10.2.0.2:8443\"\nstate = \"10.2.0.1:2379\"\n{}",
        peer_settings(node, config),
        cluster_settings(config),
    )
}

fn peer_settings(node: usize, config: &DeploymentConfig) -> String {
    let peers = (0..config.controllers).filter(|peer| *peer != node);
    let settings = peers.map(|peer| {
        let (name, zone, host) = (controller_name(peer), zone_of(peer), peer + 1);
        format!(
            "[[peers]]\nhost_name = \"{name}\"\ndomain = \"{zone}\"\n\
             endpoint = \"10.0.0.{host}:8081\"\n"
        )
    });
    settings.collect()
}

fn team_settings(config: &DeploymentConfig) -> String {
    let ((cpus, gpus), (cpus_max, gpus_max)) = (config.guarantee, config.limit);
    let settings = (0..config.teams).map(|team| {
        format!(
            "[[cluster.teams]]\nname = \"team-{team}\"\ngpus = {gpus:?}\n\
             gpus_max = {gpus_max:?}\ncpus = {cpus:?}\ncpus_max = {cpus_max:?}\n"
        )
    });
    settings.collect()
}

fn next_limit_settings(config: &DeploymentConfig) -> String {
    config.next_limits.map_or(String::new(), |next| {
        let (write_rps, value_kb, txn_ops) = (next.write_rps, next.value_kb, next.txn_ops);
        format!(
            "[cluster.state.next]\nwrite_rps = {write_rps:?}\nvalue_kb = {value_kb}.0\n\
             txn_ops = {txn_ops}\n"
        )
    })
}

/// The part of the settings file that is the same for all controllers.
fn cluster_settings(config: &DeploymentConfig) -> String {
    let seconds = |ms: Ms| ms as f64 / 1000.0;
    let (nodes, teams) = (config.controllers, team_settings(config));
    let (report_s, lease_s) = (seconds(config.heartbeat_ms), seconds(config.lease_ms));
    let cancel_s = seconds(config.cancel_ms);
    let (rps, write_rps, cloud_rps) = (config.store_rps, config.store_write_rps, config.cloud_rps);
    let next = next_limit_settings(config);
    format!(
        "[cluster]\ninitial_size = {nodes}\nzones = [\"a\", \"b\", \"c\"]\n\
         time_bound_ms = 250.0\n{teams}\
         [[cluster.objectives]]\nkind = \"wait\"\nclass = \"serve\"\nwithin_s = 8.0\n\
         share = 0.9\n\
         [cluster.workers]\nreport_s = {report_s:?}\nlease_s = {lease_s:?}\n\
         gang_wait_s = 20.0\ngang_peer_s = 3.0\ncancel_s = {cancel_s:?}\n\
         [cluster.state]\nrps = {rps:?}\nwrite_rps = {write_rps:?}\n\
         value_kb = {INITIAL_MAX_VALUE_KB}.0\ntxn_ops = {INITIAL_MAX_TRANSACTION_WRITES}\n{next}\
         [cluster.cloud]\nrps = {cloud_rps:?}\nlist_lag_s = 4.0\n\
         [cluster.limits]\ncpu = 0.12\nmem_mb = 40.0\nsockets = 600\n"
    )
}

/// The name of the controller with an index.
fn controller_name(index: usize) -> String {
    format!("{CONTROLLER_NAME_PREFIX}{index}")
}

/// The index of the controller with a name; none if it is no such name.
pub(super) fn controller_index(name: &str) -> Option<usize> {
    name.strip_prefix(CONTROLLER_NAME_PREFIX)?.parse().ok()
}

/// The zone of the controller with an index.
pub(super) fn zone_of(node: usize) -> &'static str {
    ZONES[node % ZONES.len()]
}
