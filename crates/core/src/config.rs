//! The configuration of a controller, derived from its settings file and the operators' options.

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

/// Tuning options that operators may set in a file of their own. All have defaults.
#[derive(Clone, Debug)]
pub struct Operator {
    /// Weights of the terms of the score by which a machine is chosen for a task.
    pub weights: Weights,
    /// Interval between the starts of two scheduling rounds, in seconds.
    pub round_interval_s: f64,
    /// Minimum interval between two rounds that are triggered by new jobs, in seconds.
    pub min_round_interval_s: f64,
    /// Interval between two checks of the shard assignment by the leader, in seconds.
    pub assignment_interval_s: f64,
    /// Headroom for job classes whose wait objective is shorter than a machine's boot time, as
    /// a multiple of the number of tasks that are expected to arrive during a boot.
    pub headroom_ratio: f64,
    /// Time after which an empty machine is released, as a multiple of its boot time.
    pub idle_boots: f64,
    /// Time without a heartbeat after which a machine is decommissioned, as a multiple of the
    /// worker lease.
    pub max_silence_leases: f64,
    /// Number of machines in the largest fleet that is expected. Limits that are too small for
    /// such a fleet are logged; if absent, no limit is checked.
    pub expected_machines: Option<u32>,
    /// Declared warm pools. If there are none, warm pools are disabled.
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
            headroom_ratio: 1.0,
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
    /// Name, which submissions refer to.
    pub name: String,
    /// Resources that the team is guaranteed.
    pub guarantee: Resources,
    /// Maximum resources that the team's tasks may use at a time.
    pub limit: Resources,
    /// The shard that the team's jobs belong to.
    pub shard: ShardId,
}

impl Team {
    /// A team from the settings, whose jobs belong to `shard`.
    fn new(settings: &TeamSettings, shard: ShardId) -> Self {
        Self {
            name: settings.name.clone(),
            guarantee: Resources::new(settings.guaranteed_cpus, settings.guaranteed_gpus, 0.0),
            limit: Resources::new(settings.max_cpus, settings.max_gpus, 0.0),
            shard,
        }
    }
}

/// Lower bound on the sum of all guarantees of a resource. Avoids a division by zero.
const MIN_GUARANTEE_TOTAL: f64 = 1e-9;
/// Lower bound on the weight of a team, so that teams without a guarantee are also distributed
/// over the shards.
const MIN_TEAM_WEIGHT: f64 = 1e-6;

/// Limits of the key-value store on all controllers together.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct StateLimits {
    /// Maximum requests per second.
    pub rps: f64,
    /// Maximum writes per second.
    pub write_rps: f64,
    /// Maximum number of writes in a transaction.
    pub txn_ops: usize,
    /// Maximum size of a value, in bytes.
    pub value_bytes: usize,
}

/// Preconditions that the store accepts in a transaction for each allowed write.
const PRECONDITIONS_PER_WRITE: usize = 4;

impl StateLimits {
    fn new(settings: &forkshift_wire::settings::StateLimits) -> Self {
        Self {
            rps: settings.requests_per_s,
            write_rps: settings.writes_per_s,
            txn_ops: settings.max_transaction_writes,
            value_bytes: (settings.max_value_kib * BYTES_PER_KB) as usize,
        }
    }

    /// The minimum of each limit and of the limit that is announced to replace it.
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

    /// Maximum number of preconditions in a transaction.
    pub fn max_preconditions(&self) -> usize {
        self.txn_ops * PRECONDITIONS_PER_WRITE
    }
}

/// The configuration of a controller, in the units that the core uses.
#[derive(Clone, Debug)]
pub struct Config {
    /// Name of this controller.
    pub node: NodeName,
    /// Names of all controllers, including this one, in alphabetical order.
    pub nodes: Vec<NodeName>,
    /// Zone of each controller.
    pub zones: BTreeMap<NodeName, String>,
    /// Teams by name.
    pub teams: BTreeMap<String, Team>,
    /// Whether teams may borrow capacity: some teams have no guarantee, while others have one.
    pub allows_borrowing: bool,
    /// Shortest `wait` objective of each job class, in seconds. Classes without one are absent.
    pub wait_objectives: BTreeMap<String, f64>,
    /// Shortest `finished` objective of each job class, in seconds. Classes without one are
    /// absent.
    pub completion_objectives: BTreeMap<String, f64>,
    /// Duration of a worker's lease, in milliseconds.
    pub lease_ms: Ms,
    /// Nominal interval between two heartbeats of a worker, in milliseconds.
    pub heartbeat_interval_ms: Ms,
    /// Time within which the tasks of a cancelled job must have exited, in milliseconds.
    pub cancellation_timeout_ms: Ms,
    /// Maximum error of a controller's wall clock, in milliseconds.
    pub max_clock_error_ms: Ms,
    /// Time within which all tasks of a gang must have started, in milliseconds.
    pub gang_start_timeout_ms: Ms,
    /// Limits of the key-value store that are in force now.
    pub state_limits: StateLimits,
    /// The minimum of each limit in force and of the limit that is announced for the time
    /// after the upgrade.
    pub min_state_limits: StateLimits,
    /// The newest record format that this controller can read and write.
    pub format: FormatVersion,
    /// Rate limit of the cloud, in requests per second.
    pub cloud_rps: f64,
    /// Typical staleness of the cloud's machine list, in milliseconds.
    pub list_lag_ms: Ms,
    /// Bounds on queues, caches, connections and messages.
    pub bounds: Bounds,
    /// Tuning options of the operators.
    pub operator: Operator,
}

/// Fraction of the cancellation timeout that is reserved for clock drift and late timers.
const CLOCK_DRIFT_FRACTION: f64 = 0.01;

/// Maximum interval between two heartbeats of a worker, as a multiple of the nominal interval.
const MAX_HEARTBEAT_JITTER: f64 = 1.25;
/// Allowance for network delay of a heartbeat and for late timers, in milliseconds.
pub(crate) const HEARTBEAT_DELAY_ALLOWANCE_MS: Ms = 500;

/// Time that a worker spends on a controller that does not answer, in milliseconds: a timeout
/// of 4 s, and 1 s before the next controller is tried.
const UNANSWERED_ATTEMPT_MS: f64 = 5_000.0;

/// Lower and upper bound on the timeout of calls to workers, in milliseconds.
const MIN_WORKER_CALL_TIMEOUT_MS: Ms = 1_000;
const MAX_WORKER_CALL_TIMEOUT_MS: Ms = 4_000;
/// Lower and upper bound on the duration of a controller's lease, in milliseconds.
const MIN_NODE_LEASE_MS: Ms = 2_000;
const MAX_NODE_LEASE_MS: Ms = 5_000;

impl Config {
    /// Derives the configuration from validated settings and the operators' options.
    pub fn new(settings: &Settings, ops: Operator) -> Self {
        let cluster = &settings.cluster;
        let zones = zones_by_node(settings);
        let nodes: Vec<NodeName> = zones.keys().cloned().collect();
        let shard_count = nodes.len().max(cluster.node_count as usize);
        let ms = |seconds: f64| (seconds * 1000.0) as Ms;
        let state_limits = StateLimits::new(&cluster.state);
        let announced_limits = cluster.state.next.clone().unwrap_or_default();
        Self {
            node: settings.node.clone(),
            teams: assign_teams(&cluster.teams, shard_count),
            nodes,
            zones,
            allows_borrowing: allows_borrowing(&cluster.teams),
            wait_objectives: shortest_objectives(&cluster.objectives, "wait"),
            completion_objectives: shortest_objectives(&cluster.objectives, "finished"),
            lease_ms: ms(cluster.workers.lease_s),
            heartbeat_interval_ms: ms(cluster.workers.heartbeat_interval_s),
            cancellation_timeout_ms: ms(cluster.workers.cancellation_deadline_s),
            max_clock_error_ms: cluster.max_clock_error_ms.max(0.0) as Ms,
            gang_start_timeout_ms: ms(cluster.workers.gang_start_timeout_s),
            state_limits,
            min_state_limits: state_limits.min_with(&announced_limits),
            format: FormatVersion::CURRENT,
            cloud_rps: cluster.cloud.requests_per_s,
            list_lag_ms: ms(cluster.cloud.list_lag_s),
            bounds: Bounds::new(settings, ops.round_interval_s),
            operator: ops,
        }
    }

    /// The record format that this controller registers as supported, given the finalized one.
    /// Controllers without warm pools register the format of warm pools only after it is
    /// finalized, so that it is not finalized before all controllers have pools enabled.
    pub fn registered_format(&self, finalized: FormatVersion) -> FormatVersion {
        if !self.operator.pools.is_empty() || finalized >= FormatVersion::POOLS {
            self.format
        } else {
            self.format.min(FormatVersion::DEPENDENCIES)
        }
    }

    /// Names of all other controllers, in alphabetical order.
    pub fn other_nodes(&self) -> impl Iterator<Item = &NodeName> {
        self.nodes.iter().filter(|node| **node != self.node)
    }

    /// Number of shards: one for each controller in the settings.
    pub fn shard_count(&self) -> u32 {
        self.nodes.len() as u32
    }

    /// Time after a cancellation for which this controller may still renew the worker's lease
    /// without knowing of the cancellation, in milliseconds. A lease that was renewed at the
    /// end of this time still expires within the cancellation timeout.
    pub fn grace_ms(&self) -> Ms {
        self.cancellation_budget_ms().saturating_sub(self.lease_ms)
    }

    /// Time after a controller starts to hold a shard for which it may renew the leases of
    /// the shard's workers without knowing which jobs were cancelled, in milliseconds. One
    /// lease shorter than [`Self::grace_ms`], because an earlier holder may have confirmed a
    /// cancellation up to one lease before.
    pub fn recovery_grace_ms(&self) -> Ms {
        self.cancellation_budget_ms()
            .saturating_sub(self.lease_ms * 2)
    }

    /// Timeout of calls to workers, in milliseconds. A longer timeout delays a task whose start
    /// command gets no response.
    pub fn worker_call_timeout_ms(&self) -> Ms {
        (self.heartbeat_interval_ms * 2)
            .clamp(MIN_WORKER_CALL_TIMEOUT_MS, MAX_WORKER_CALL_TIMEOUT_MS)
    }

    /// Maximum interval between two heartbeats of a worker, in milliseconds.
    pub fn max_heartbeat_interval_ms(&self) -> Ms {
        (self.heartbeat_interval_ms as f64 * MAX_HEARTBEAT_JITTER) as Ms
    }

    /// Timing by which the state of links to workers is judged.
    pub fn link_timing(&self) -> LinkTiming {
        LinkTiming {
            heartbeat_timeout_ms: self.max_heartbeat_interval_ms() + HEARTBEAT_DELAY_ALLOWANCE_MS,
            lease_ms: self.lease_ms,
        }
    }

    /// A fraction of the cancellation timeout, in milliseconds.
    pub(crate) fn cancellation_fraction_ms(&self, fraction: f64) -> Ms {
        (self.cancellation_timeout_ms as f64 * fraction) as Ms
    }

    /// The cancellation timeout less the reserve for clock drift and late timers, in
    /// milliseconds.
    fn cancellation_budget_ms(&self) -> Ms {
        self.cancellation_fraction_ms(1.0 - CLOCK_DRIFT_FRACTION)
    }

    /// Expected fraction of a zone's workers that reach a controller inside the zone before
    /// their leases expire, if the zone is partitioned from all others. The estimate treats
    /// each attempt of a worker as a random choice among the other controllers.
    pub fn partition_survival_fraction(&self, zone: &str) -> f64 {
        let controllers_inside = self.zones.values().filter(|z| *z == zone).count() as f64;
        let other_controllers = self.nodes.len().saturating_sub(1).max(1) as f64;
        let remaining_ms = self.lease_ms.saturating_sub(self.heartbeat_interval_ms) as f64;
        let attempts = remaining_ms / UNANSWERED_ATTEMPT_MS;
        let hit_rate = (controllers_inside / other_controllers).min(1.0);
        1.0 - (1.0 - hit_rate).powf(attempts)
    }

    /// Duration of this controller's own lease in the key-value store, in milliseconds. The
    /// lease is a fraction of the worker lease: after a crash, its expiry must be detected and
    /// the shard recovered by another controller before the leases of the shard's workers
    /// expire.
    pub fn node_lease_ms(&self) -> Ms {
        (self.lease_ms / 4).clamp(MIN_NODE_LEASE_MS, MAX_NODE_LEASE_MS)
    }
}

/// Zone of each controller, this one included.
fn zones_by_node(settings: &Settings) -> BTreeMap<NodeName, String> {
    let peers = settings.peers.iter().map(|peer| (&peer.node, &peer.zone));
    peers
        .chain([(&settings.node, &settings.zone)])
        .map(|(node, zone)| (node.clone(), zone.clone()))
        .collect()
}

/// Whether some teams have no guarantee while others have one.
fn allows_borrowing(teams: &[TeamSettings]) -> bool {
    let has_no_guarantee =
        |team: &TeamSettings| team.guaranteed_cpus <= 0.0 && team.guaranteed_gpus <= 0.0;
    teams.iter().any(has_no_guarantee) && !teams.iter().all(has_no_guarantee)
}

/// The shortest objective of a kind for each job class, in seconds.
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

/// Assigns the teams to shards so that the guarantees are balanced: in descending order of
/// guarantee, each team goes to the least loaded shard. The result depends only on the
/// settings, so that all controllers agree.
fn assign_teams(teams: &[TeamSettings], shard_count: usize) -> BTreeMap<String, Team> {
    let total = |resource: fn(&TeamSettings) -> f64| {
        let sum = teams.iter().map(resource).sum::<f64>();
        sum.max(MIN_GUARANTEE_TOTAL)
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

/// Index of the least loaded shard; the first one on a tie.
fn least_loaded(loads: &[f64]) -> usize {
    let mut least = 0;
    for shard in 1..loads.len() {
        if loads[shard] < loads[least] {
            least = shard;
        }
    }
    least
}
