//! The configuration of a controller.

use crate::bounds::{Bounds, BYTES_PER_KB};
use crate::membership::format::FormatVersion;
use crate::records::ShardId;
use crate::Ms;
use forkshift_links::LinkTiming;
use forkshift_pools::Pools;
use forkshift_sched::{Resources, Weights};
use forkshift_wire::settings::{NextStateLimits, Objective, Settings, Team as TeamSettings};
use forkshift_wire::NodeName;
use std::collections::BTreeMap;

/// Settings that operators may change; all have defaults.
#[derive(Clone, Debug)]
pub struct Operator {
    /// Weights of the score by which machines are chosen.
    pub weights: Weights,
    /// Seconds between the starts of two scheduling rounds.
    pub round_interval_s: f64,
    /// Least seconds between two rounds that arrivals trigger.
    pub min_round_interval_s: f64,
    /// Seconds between two checks of the shards' assignment by the leader.
    pub assignment_interval_s: f64,
    /// Spare places for classes with a short wait, as a multiple of the tasks that
    /// arrive while a machine boots.
    pub spare_ratio: f64,
    /// An empty machine is released after this part of its boot time.
    pub idle_boots: f64,
    /// A silent machine is decommissioned after this part of a lease.
    pub max_silence_leases: f64,
    /// The largest fleet that is expected, in machines. Limits that are too small for it
    /// are logged.
    pub expected_machines: Option<u32>,
    /// Warm pools; none: they are disabled.
    pub pools: Pools,
}

impl Default for Operator {
    fn default() -> Self {
        Self {
            weights: Weights {
                fit: 1.0 / 3.0,
                cost: 1.0 / 6.0,
                latency: 1.0 / 2.0,
            },
            round_interval_s: 1.0,
            min_round_interval_s: 0.1,
            assignment_interval_s: 0.5,
            spare_ratio: 1.0,
            idle_boots: 0.2,
            max_silence_leases: 0.6,
            expected_machines: None,
            pools: Pools::default(),
        }
    }
}

/// A team with its quota.
#[derive(Clone, Debug)]
pub struct Team {
    /// Its name.
    pub name: String,
    /// Resources that it is guaranteed.
    pub guarantee: Resources,
    /// Resources that it may use at most.
    pub limit: Resources,
    /// The shard that its jobs belong to.
    pub shard: ShardId,
}

impl Team {
    /// A team of the settings, whose jobs belong to a shard.
    fn new(settings: &TeamSettings, shard: ShardId) -> Self {
        Self {
            name: settings.name.clone(),
            guarantee: Resources::new(settings.guaranteed_cpus, settings.guaranteed_gpus, 0.0),
            limit: Resources::new(settings.max_cpus, settings.max_gpus, 0.0),
            shard,
        }
    }
}

/// Least sum of a resource that teams are guaranteed, as a divisor.
const MIN_TOTAL: f64 = 1e-9;
/// Least weight of a team, so that guests are spread over the shards, too.
const MIN_TEAM_WEIGHT: f64 = 1e-6;

/// Limits of the key-value store.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct StateLimits {
    /// Requests a second, of all controllers together.
    pub rps: f64,
    /// Changes a second, of all controllers together.
    pub write_rps: f64,
    /// Most changes in a transaction.
    pub txn_ops: usize,
    /// Largest value, in bytes.
    pub value_bytes: usize,
}

/// Conditions that a transaction may have for each change.
const CONDITIONS_PER_CHANGE: usize = 4;

impl StateLimits {
    fn new(settings: &forkshift_wire::settings::StateLimits) -> Self {
        Self {
            rps: settings.requests_per_s,
            write_rps: settings.writes_per_s,
            txn_ops: settings.max_transaction_writes,
            value_bytes: (settings.max_value_kib * BYTES_PER_KB) as usize,
        }
    }

    /// The smaller of each limit and the one that is announced for later.
    fn min_with(&self, next: &NextStateLimits) -> Self {
        let value_bytes = next.max_value_kib.map(|kb| (kb * BYTES_PER_KB) as usize);
        Self {
            rps: next
                .requests_per_s
                .map_or(self.rps, |rps| rps.min(self.rps)),
            write_rps: next
                .writes_per_s
                .map_or(self.write_rps, |rps| rps.min(self.write_rps)),
            txn_ops: next
                .max_transaction_writes
                .map_or(self.txn_ops, |ops| ops.min(self.txn_ops)),
            value_bytes: value_bytes.map_or(self.value_bytes, |bytes| bytes.min(self.value_bytes)),
        }
    }

    /// Most conditions in a transaction.
    pub fn conditions(&self) -> usize {
        self.txn_ops * CONDITIONS_PER_CHANGE
    }
}

/// The settings in the form that the controller works with.
#[derive(Clone, Debug)]
pub struct Config {
    /// Name of this controller.
    pub node: NodeName,
    /// Names of all controllers, in order.
    pub nodes: Vec<NodeName>,
    /// Zones of all controllers, by name.
    pub zones: BTreeMap<NodeName, String>,
    /// Teams by name.
    pub teams: BTreeMap<String, Team>,
    /// Whether some teams are guests: they are guaranteed nothing, while others are
    /// guaranteed something.
    pub has_borrowers: bool,
    /// Shortest `wait` objective of each class, in seconds.
    pub wait_objectives: BTreeMap<String, f64>,
    /// Shortest `finished` objective of each class, in seconds.
    pub completion_objectives: BTreeMap<String, f64>,
    /// Lease of a worker, in milliseconds.
    pub lease_ms: Ms,
    /// Interval between two heartbeats of a worker, in milliseconds.
    pub heartbeat_interval_ms: Ms,
    /// Time within which the tasks of a cancelled job must have exited, in milliseconds.
    pub cancellation_timeout_ms: Ms,
    /// Bound on the error of the time of day, in milliseconds.
    pub max_clock_error_ms: Ms,
    /// Time within which a gang must be complete, in milliseconds.
    pub gang_wait_ms: Ms,
    /// Limits of the key-value store as they are now.
    pub state_limits: StateLimits,
    /// The smaller of those and of the limits that are announced for after the
    /// upgrade.
    pub least_state_limits: StateLimits,
    /// The newest format that this controller reads and writes.
    pub format: FormatVersion,
    /// Rate limit of the cloud, in requests a second.
    pub cloud_rps: f64,
    /// Lag of the cloud's machine list, in milliseconds.
    pub list_lag_ms: Ms,
    /// Bounds on what is held and sent.
    pub bounds: Bounds,
    /// The operators' own settings.
    pub operator: Operator,
}

/// The part of the time for a cancellation that is reserved for clock drift and late timers.
const CLOCK_DRIFT_PART: f64 = 0.01;

/// The longest pause between two heartbeats, as a multiple of the interval.
const MAX_HEARTBEAT_JITTER: f64 = 1.25;
/// Allowance for delays of a heartbeat on the network and for late timers, in milliseconds.
pub(crate) const HEARTBEAT_DELAY_ALLOWANCE_MS: Ms = 500;

/// Time that a worker's attempt at a controller that does not answer takes, in
/// milliseconds: 4 s without an answer and 1 s more.
const UNANSWERED_ATTEMPT_MS: f64 = 5_000.0;

/// Bounds of the timeout of calls to workers, in milliseconds.
const MIN_CALL_MS: Ms = 1_000;
const MAX_CALL_MS: Ms = 4_000;
/// Bounds of the duration of a controller's lease, in milliseconds.
const MIN_NODE_LEASE_MS: Ms = 2_000;
const MAX_NODE_LEASE_MS: Ms = 5_000;

impl Config {
    /// The configuration from settings that were validated.
    pub fn new(settings: &Settings, ops: Operator) -> Self {
        let cluster = &settings.cluster;
        let zones = zones_by_node(settings);
        let nodes: Vec<NodeName> = zones.keys().cloned().collect();
        let shard_count = nodes.len().max(cluster.node_count as usize);
        let ms = |seconds: f64| (seconds * 1000.0) as Ms;
        let state_limits = StateLimits::new(&cluster.state);
        let next_limits = cluster.state.next.clone().unwrap_or_default();
        Self {
            node: settings.node.clone(),
            teams: assign_teams(&cluster.teams, shard_count),
            nodes,
            zones,
            has_borrowers: has_guests(&cluster.teams),
            wait_objectives: shortest_objectives(&cluster.objectives, "wait"),
            completion_objectives: shortest_objectives(&cluster.objectives, "finished"),
            lease_ms: ms(cluster.workers.lease_s),
            heartbeat_interval_ms: ms(cluster.workers.heartbeat_interval_s),
            cancellation_timeout_ms: ms(cluster.workers.cancellation_deadline_s),
            max_clock_error_ms: cluster.max_clock_error_ms.max(0.0) as Ms,
            gang_wait_ms: ms(cluster.workers.gang_start_timeout_s),
            state_limits,
            least_state_limits: state_limits.min_with(&next_limits),
            format: FormatVersion::CURRENT,
            cloud_rps: cluster.cloud.requests_per_s,
            list_lag_ms: ms(cluster.cloud.list_lag_s),
            bounds: Bounds::new(settings, ops.round_interval_s),
            operator: ops,
        }
    }

    /// The format with which this controller registers while another one is finalized.
    /// That of warm pools is registered by controllers that have them enabled, and by all
    /// others once it is finalized.
    pub fn registered_format(&self, finalized: FormatVersion) -> FormatVersion {
        if !self.operator.pools.is_empty() || finalized >= FormatVersion::POOLS {
            self.format
        } else {
            self.format.min(FormatVersion::DEPENDENCIES)
        }
    }

    /// All controllers but this one, in order.
    pub fn other_nodes(&self) -> impl Iterator<Item = &NodeName> {
        self.nodes.iter().filter(|node| **node != self.node)
    }

    /// Number of shards.
    pub fn shard_count(&self) -> u32 {
        self.nodes.len() as u32
    }

    /// For how long a worker may be answered after a cancellation that is not known
    /// here, in milliseconds: its lease expires in time all the same.
    pub fn grace_ms(&self) -> Ms {
        self.safe_cancel_ms().saturating_sub(self.lease_ms)
    }

    /// For how long a worker may be answered by a new holder that does not know
    /// yet what was cancelled, in milliseconds: the cancellation may be a lease old.
    pub fn recovery_grace_ms(&self) -> Ms {
        self.safe_cancel_ms().saturating_sub(self.lease_ms * 2)
    }

    /// Timeout of calls to workers, in milliseconds. A start whose call times out late
    /// delays its task for as long.
    pub fn worker_call_timeout_ms(&self) -> Ms {
        (self.heartbeat_interval_ms * 2).clamp(MIN_CALL_MS, MAX_CALL_MS)
    }

    /// The longest pause between two heartbeats, in milliseconds.
    pub fn max_heartbeat_interval_ms(&self) -> Ms {
        (self.heartbeat_interval_ms as f64 * MAX_HEARTBEAT_JITTER) as Ms
    }

    /// Timing of the links to workers.
    pub fn link_timing(&self) -> LinkTiming {
        LinkTiming {
            heartbeat_timeout_ms: self.max_heartbeat_interval_ms() + HEARTBEAT_DELAY_ALLOWANCE_MS,
            lease_ms: self.lease_ms,
        }
    }

    /// The time that a cancellation has, less the allowance for clock drift and late
    /// timers, in milliseconds.
    fn safe_cancel_ms(&self) -> Ms {
        (self.cancellation_timeout_ms as f64 * (1.0 - CLOCK_DRIFT_PART)) as Ms
    }

    /// The part of a zone's workers that find a controller inside before their
    /// leases expire, if the zone is partitioned from all others.
    pub fn zones_kept_in_partition(&self, zone: &str) -> f64 {
        let controllers_inside = self.zones.values().filter(|z| *z == zone).count() as f64;
        let other_controllers = self.nodes.len().saturating_sub(1).max(1) as f64;
        let time_ms = self.lease_ms.saturating_sub(self.heartbeat_interval_ms) as f64;
        let attempts = time_ms / UNANSWERED_ATTEMPT_MS;
        let hit_rate = (controllers_inside / other_controllers).min(1.0);
        1.0 - (1.0 - hit_rate).powf(attempts)
    }

    /// Duration of a controller's own lease at the key-value store, in milliseconds: a
    /// crash must be detected, and its shard recovered elsewhere, well within the lease
    /// of its workers.
    pub fn node_lease_ms(&self) -> Ms {
        (self.lease_ms / 4).clamp(MIN_NODE_LEASE_MS, MAX_NODE_LEASE_MS)
    }
}

/// Zones of all controllers, by name.
fn zones_by_node(settings: &Settings) -> BTreeMap<NodeName, String> {
    let peers = settings.peers.iter().map(|peer| (&peer.node, &peer.zone));
    peers
        .chain([(&settings.node, &settings.zone)])
        .map(|(node, zone)| (node.clone(), zone.clone()))
        .collect()
}

/// Whether some teams are guaranteed nothing, and others something.
fn has_guests(teams: &[TeamSettings]) -> bool {
    let is_guest = |team: &TeamSettings| team.guaranteed_cpus <= 0.0 && team.guaranteed_gpus <= 0.0;
    teams.iter().any(is_guest) && !teams.iter().all(is_guest)
}

/// The shortest time of each class among the objectives of a kind, in seconds.
fn shortest_objectives(objectives: &[Objective], kind: &str) -> BTreeMap<String, f64> {
    let mut times = BTreeMap::new();
    for objective in objectives.iter().filter(|objective| objective.kind == kind) {
        if let Some(class) = &objective.class {
            let shortest = times.entry(class.clone()).or_insert(objective.within_s);
            *shortest = objective.within_s.min(*shortest);
        }
    }
    times
}

/// Assigns the teams to shards by their guarantees, the largest first to the shard with
/// the least. Every controller comes to the same result from the same settings.
fn assign_teams(teams: &[TeamSettings], shard_count: usize) -> BTreeMap<String, Team> {
    let total = |resource: fn(&TeamSettings) -> f64| {
        let sum = teams.iter().map(resource).sum::<f64>();
        sum.max(MIN_TOTAL)
    };
    let (cpus, gpus) = (
        total(|team| team.guaranteed_cpus),
        total(|team| team.guaranteed_gpus),
    );
    let weight = |team: &TeamSettings| team.guaranteed_cpus / cpus + team.guaranteed_gpus / gpus;
    let mut by_weight: Vec<&TeamSettings> = teams.iter().collect();
    by_weight.sort_by(|a, b| weight(b).total_cmp(&weight(a)).then(a.name.cmp(&b.name)));
    let mut loads = vec![0.0; shard_count];
    let mut assigned = BTreeMap::new();
    for team in by_weight {
        let shard = least_loaded(&loads);
        loads[shard] += weight(team).max(MIN_TEAM_WEIGHT);
        let shard = ShardId(shard as u32);
        assigned.insert(team.name.clone(), Team::new(team, shard));
    }
    assigned
}

/// The first of the shards with the smallest load.
fn least_loaded(loads: &[f64]) -> usize {
    let mut least = 0;
    for shard in 1..loads.len() {
        if loads[shard] < loads[least] {
            least = shard;
        }
    }
    least
}
