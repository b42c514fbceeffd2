//! What a controller is told before it starts.

use crate::bounds::Bounds;
use crate::membership::format::FormatVersion;
use crate::records::ShardId;
use crate::Ms;
use forkshift_links::Timing;
use forkshift_pools::Pools;
use forkshift_sched::{Resources, Weights};
use forkshift_wire::settings::{NextStateLimits, Objective, Settings};
use forkshift_wire::NodeName;
use std::collections::BTreeMap;

/// Settings that the operators may change; all have defaults.
#[derive(Clone, Debug)]
pub struct Operator {
    /// Weights of the score.
    pub weights: Weights,
    /// Seconds between the starts of two rounds.
    pub round_s: f64,
    /// Least seconds between two rounds that arrivals set off.
    pub round_gap_s: f64,
    /// Seconds between two looks of the leader at the shards.
    pub assign_s: f64,
    /// Spare places for classes with a short wait, as a multiple of what
    /// arrives while a machine boots.
    pub spare: f64,
    /// An empty machine is returned after this shard of its boot time.
    pub idle_boots: f64,
    /// A silent machine is given up after this shard of a lease.
    pub silent_leases: f64,
    /// The largest fleet that is expected, in machines. Limits too small for it are
    /// reported.
    pub machines: Option<u32>,
    /// Warm pools; none: they are off.
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
            round_s: 1.0,
            round_gap_s: 0.1,
            assign_s: 0.5,
            spare: 1.0,
            idle_boots: 0.2,
            silent_leases: 0.6,
            machines: None,
            pools: Pools::default(),
        }
    }
}

/// A team's guarantee and limit.
#[derive(Clone, Debug)]
pub struct Team {
    /// Its name.
    pub name: String,
    /// Its guarantee.
    pub guarantee: Resources,
    /// Its limit.
    pub limit: Resources,
    /// The shard that its jobs belong to.
    pub shard: ShardId,
}

/// Limits of the state service.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct StateLimits {
    /// Requests a second, of all controllers.
    pub rps: f64,
    /// Changes a second, of all controllers.
    pub write_rps: f64,
    /// Most changes in a transaction.
    pub txn_ops: usize,
    /// Largest value, in bytes.
    pub value_bytes: usize,
}

/// Conditions that a transaction may have for each change.
const CONDITIONS_PER_CHANGE: usize = 4;
const BYTES_PER_KB: f64 = 1024.0;

impl StateLimits {
    fn new(settings: &forkshift_wire::settings::StateLimits) -> Self {
        Self {
            rps: settings.rps,
            write_rps: settings.write_rps,
            txn_ops: settings.txn_ops,
            value_bytes: (settings.value_kb * BYTES_PER_KB) as usize,
        }
    }

    /// The smaller of each limit and the one that is announced for later.
    fn least(&self, next: &NextStateLimits) -> Self {
        let value_bytes = next.value_kb.map(|kb| (kb * BYTES_PER_KB) as usize);
        Self {
            rps: next.rps.map_or(self.rps, |n| n.min(self.rps)),
            write_rps: next
                .write_rps
                .map_or(self.write_rps, |n| n.min(self.write_rps)),
            txn_ops: next.txn_ops.map_or(self.txn_ops, |n| n.min(self.txn_ops)),
            value_bytes: value_bytes.map_or(self.value_bytes, |n| n.min(self.value_bytes)),
        }
    }

    /// Most conditions in a transaction.
    pub fn conditions(&self) -> usize {
        self.txn_ops * CONDITIONS_PER_CHANGE
    }
}

/// Settings in the form that the controller works with.
#[derive(Clone, Debug)]
pub struct Config {
    /// This controller.
    pub node: NodeName,
    /// All controllers, in order.
    pub nodes: Vec<NodeName>,
    /// Zones of all controllers.
    pub zones: BTreeMap<NodeName, String>,
    /// Teams by name.
    pub teams: BTreeMap<String, Team>,
    /// Whether some teams are guests: they are guaranteed nothing, others are.
    pub has_guests: bool,
    /// Shortest `wait` objective of each class, in seconds.
    pub waits: BTreeMap<String, f64>,
    /// Shortest `finished` objective of each class, in seconds.
    pub finishes: BTreeMap<String, f64>,
    /// Lease of a worker.
    pub lease_ms: Ms,
    /// Between two reports of a worker.
    pub report_ms: Ms,
    /// Within this a cancelled job's tasks must be gone.
    pub cancel_ms: Ms,
    /// Bound on the error of the time of day.
    pub clock_off_ms: Ms,
    /// Within this a gang must be complete.
    pub gang_wait_ms: Ms,
    /// Limits of the state service as they are now.
    pub state_limits: StateLimits,
    /// The smaller of those and of the limits that are announced for after the
    /// upgrade.
    pub least_state_limits: StateLimits,
    /// The newest format that this controller reads and writes.
    pub format: FormatVersion,
    /// Requests a second to the cloud.
    pub cloud_rps: f64,
    /// Lag of the cloud's machine list.
    pub list_lag_ms: Ms,
    /// What may be held and sent.
    pub bounds: Bounds,
    /// The operators' own settings.
    pub ops: Operator,
}

/// The part of the time for a cancellation that is kept for drift and late timers.
const LATE_PART: f64 = 0.01;

/// The longest pause between two reports, as a multiple of the usual one.
const REPORT_SPREAD: f64 = 1.25;
/// For delays on a report's way, and timers that are late, in milliseconds.
pub(crate) const REPORT_LATE_MS: Ms = 500;

/// What a worker's try at a controller that does not answer takes.
const TRY_MS: f64 = 5_000.0;

impl Config {
    /// Takes over settings that were checked.
    pub fn new(settings: &Settings, ops: Operator) -> Self {
        let c = &settings.cluster;
        let mut nodes: Vec<NodeName> = settings.peers.iter().map(|p| p.node.clone()).collect();
        nodes.push(settings.node.clone());
        nodes.sort();
        nodes.dedup();
        let peers = settings.peers.iter().map(|p| (&p.node, &p.zone));
        let all = peers.chain([(&settings.node, &settings.zone)]);
        let zones = all.map(|(n, z)| (n.clone(), z.clone())).collect();
        let waits = shortest(&c.objectives, "wait");
        let finishes = shortest(&c.objectives, "finished");
        let ms = |s: f64| (s * 1000.0) as Ms;
        let state_limits = StateLimits::new(&c.state);
        Self {
            node: settings.node.clone(),
            teams: spread_teams(&c.teams, nodes.len().max(c.nodes as usize)),
            nodes,
            zones,
            has_guests: has_guests(&c.teams),
            waits,
            finishes,
            lease_ms: ms(c.workers.lease_s),
            report_ms: ms(c.workers.report_s),
            cancel_ms: ms(c.workers.cancel_s),
            clock_off_ms: c.clock_off_ms.max(0.0) as Ms,
            gang_wait_ms: ms(c.workers.gang_wait_s),
            state_limits,
            least_state_limits: state_limits.least(&c.state.next.clone().unwrap_or_default()),
            format: FormatVersion::CURRENT,
            cloud_rps: c.cloud.rps,
            list_lag_ms: ms(c.cloud.list_lag_s),
            bounds: Bounds::new(settings, ops.round_s),
            ops,
        }
    }

    /// The format with which this controller registers, where one is finalized. That of
    /// warm pools is asked for by those that have them switched on, and taken by all
    /// others once it is finalized.
    pub fn registered_format(&self, finalized: FormatVersion) -> FormatVersion {
        let wants_pools = !self.ops.pools.is_empty() || finalized >= FormatVersion::POOLS;
        match wants_pools {
            true => self.format,
            false => self.format.min(FormatVersion::DEPENDENCIES),
        }
    }

    /// All controllers but this one, in order.
    pub fn other_nodes(&self) -> impl Iterator<Item = &NodeName> {
        self.nodes.iter().filter(|n| **n != self.node)
    }

    /// Number of shards.
    pub fn shards(&self) -> u32 {
        self.nodes.len() as u32
    }

    /// For how long a worker may be answered after a cancellation that we have
    /// not heard of: its lease ends in time all the same.
    pub fn grace_ms(&self) -> Ms {
        self.in_time_ms().saturating_sub(self.lease_ms)
    }

    /// For how long a worker may be answered by a new holder that does not know
    /// yet what was cancelled: the cancellation may be a lease old.
    pub fn loading_grace_ms(&self) -> Ms {
        self.in_time_ms().saturating_sub(self.lease_ms * 2)
    }

    /// Time that a worker has to answer a call. A start whose call is given up late
    /// holds its task up for as long.
    pub fn call_ms(&self) -> Ms {
        (self.report_ms * 2).clamp(1_000, 4_000)
    }

    /// The longest pause between two reports.
    pub fn longest_report_ms(&self) -> Ms {
        (self.report_ms as f64 * REPORT_SPREAD) as Ms
    }

    /// Times of the links to workers.
    pub fn link_timing(&self) -> Timing {
        Timing {
            report_ms: self.longest_report_ms() + REPORT_LATE_MS,
            lease_ms: self.lease_ms,
        }
    }

    /// The time that a cancellation has, less what clocks drift and timers are
    /// late by.
    fn in_time_ms(&self) -> Ms {
        (self.cancel_ms as f64 * (1.0 - LATE_PART)) as Ms
    }

    /// The part of a zone's workers that find a controller inside before their
    /// leases end, if the zone is cut off: each try at one outside takes them
    /// 4 s without an answer and 1 s more.
    pub fn zones_kept_in_partition(&self, zone: &str) -> f64 {
        let inside = self.zones.values().filter(|z| *z == zone).count() as f64;
        let others = self.nodes.len().saturating_sub(1).max(1) as f64;
        let time = self.lease_ms.saturating_sub(self.report_ms) as f64;
        let tries = time / TRY_MS;
        1.0 - (1.0 - (inside / others).min(1.0)).powf(tries)
    }

    /// How long a controller's own lease at the state service lives: a crash
    /// must be noticed, and its shard loaded elsewhere, well within the lease
    /// of the workers that reported to it.
    pub fn node_lease_ms(&self) -> Ms {
        (self.lease_ms / 4).clamp(2_000, 5_000)
    }
}

/// Whether some teams are guaranteed nothing, and others something.
fn has_guests(teams: &[forkshift_wire::settings::Team]) -> bool {
    let is_guest = |t: &forkshift_wire::settings::Team| t.cpus <= 0.0 && t.gpus <= 0.0;
    teams.iter().any(is_guest) && !teams.iter().all(is_guest)
}

/// The shortest time of each class among the objectives of a kind.
fn shortest(objectives: &[Objective], kind: &str) -> BTreeMap<String, f64> {
    let mut times = BTreeMap::new();
    for objective in objectives.iter().filter(|o| o.kind == kind) {
        if let Some(class) = &objective.class {
            let within = times.entry(class.clone()).or_insert(objective.within_s);
            *within = objective.within_s.min(*within);
        }
    }
    times
}

/// Spreads the teams over the shards by their guarantees, the largest first.
/// Every controller comes to the same result from the same settings.
fn spread_teams(teams: &[forkshift_wire::settings::Team], shards: usize) -> BTreeMap<String, Team> {
    let sum =
        |f: fn(&forkshift_wire::settings::Team) -> f64| teams.iter().map(f).sum::<f64>().max(1e-9);
    let (cpus, gpus) = (sum(|t| t.cpus), sum(|t| t.gpus));
    let weight = |t: &forkshift_wire::settings::Team| t.cpus / cpus + t.gpus / gpus;
    let mut order: Vec<&forkshift_wire::settings::Team> = teams.iter().collect();
    order.sort_by(|a, b| weight(b).total_cmp(&weight(a)).then(a.name.cmp(&b.name)));
    let mut load = vec![0.0; shards];
    let mut spread = BTreeMap::new();
    for team in order {
        let mut shard = 0;
        for k in 1..shards {
            if load[k] < load[shard] {
                shard = k;
            }
        }
        load[shard] += weight(team).max(1e-6);
        spread.insert(
            team.name.clone(),
            Team {
                name: team.name.clone(),
                guarantee: Resources::new(team.cpus, team.gpus, 0.0),
                limit: Resources::new(team.cpus_max, team.gpus_max, 0.0),
                shard: ShardId(shard as u32),
            },
        );
    }
    spread
}
