//! The leader: assigns shards to controllers, and alone speaks to the cloud.
//!
//! Its jobs are in the modules below; each is a part of [`Leader::tick`]. Every
//! write is conditional on the leader's own record, so that a deposed leader
//! can't write any more.

mod assignment;
mod finalization;
mod inventory;
mod prices;
mod rebalancing;
mod scale_in;
mod scale_out;

use crate::context::Context;
use crate::records::{cancellation_key, capacity_of, DemandRecord, ShardId, LEADER};
use crate::shard::remove_key;
use crate::store::queue::TokenBucket;
use crate::store::view::{ChangedMachines, ClusterView};
use crate::Ms;
use forkshift_pools::account::Price;
use forkshift_sched::Resources;
use forkshift_wire::state::Precondition;
use forkshift_wire::{JobId, MachineId, NodeName};
use scale_out::ProvisioningResult;
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// What the leader remembers.
pub(crate) struct Leader {
    /// Whether this controller led at the last tick.
    was_leader: bool,
    /// When it became leader.
    leader_since: Ms,
    /// Rate limit of calls to the cloud.
    cloud_rate_limit: TokenBucket,
    /// The cloud is not called before this time.
    cloud_paused_until: Ms,
    /// When shards are assigned next.
    next_assignment_at: Ms,
    /// Shards whose new assignment is being written.
    shards_being_assigned: BTreeSet<ShardId>,
    /// When the catalogue is read next.
    next_catalog_at: Ms,
    /// When the list of machines is read next.
    next_list_at: Ms,
    /// Whether a list is being read.
    is_listing: bool,
    /// Names of requests that were sent to the cloud or are being recorded.
    requests_in_flight: BTreeSet<String>,
    /// Answers of the cloud that are being written.
    outcomes: BTreeMap<String, ProvisioningResult>,
    /// Intents that the view must show before a shard's demand is looked at again.
    intents_awaited: BTreeMap<ShardId, u64>,
    /// Intents that are being written, with the shards that they are for.
    intents_being_written: BTreeMap<String, Vec<ShardId>>,
    /// How many intents this start has written; part of their names.
    intents_written: u64,
    /// Machines whose deletion or removal is under way.
    machines_being_deleted: BTreeSet<MachineId>,
    /// Since when machines have been known.
    first_seen_at: HashMap<MachineId, Ms>,
    /// For how many lists in a row machines have been missing.
    missing_from_lists: HashMap<MachineId, u32>,
    /// Machines asked of their shards, with the version that was asked.
    machines_requested: BTreeMap<MachineId, u64>,
    /// The revision at which lending was last considered.
    rebalanced_revision: u64,
    /// Demands that holders reported of their shards, under which epoch and when.
    reported_demands: BTreeMap<ShardId, (u64, Ms, DemandRecord)>,
    /// Whether a demand was reported since lending was last considered.
    has_new_demands: bool,
    /// When lending and renting were last considered.
    last_planned_at: Ms,
    /// Controllers that are alive, with their starts and since when.
    nodes: BTreeMap<NodeName, (u64, Ms)>,
    /// Kinds of machines that could not be had, until when they are left
    /// alone, and the last pause.
    out_of_capacity: BTreeMap<(String, String, bool), (Ms, Ms)>,
    /// Kinds of which a machine was overdue, and until when they are avoided.
    /// The zone with the fewest machines is preferred among equals, so one in
    /// which none ever came up was asked again and again, while a replica
    /// waited and there was room in others.
    slow_to_boot: BTreeMap<(String, String, bool), Ms>,
    /// When the finalization of a format is tried next.
    next_finalization_at: Ms,
    /// When those that keep it from being finalized are logged next.
    blockers_logged_at: Ms,
    /// When controllers of an old release are logged next.
    outdated_logged_at: Ms,
    /// Since when cancellations have waited, with the versions of their keys.
    waiting_cancellations: BTreeMap<JobId, (u64, Ms)>,
    /// Prices that are recorded for the accounts of pools.
    recorded_prices: BTreeMap<String, Price>,
}

impl Leader {
    /// A controller that does not lead yet. It uses nine tenths of the cloud's
    /// rate limit.
    pub(crate) fn new(cloud_rps: f64) -> Self {
        Self {
            was_leader: false,
            leader_since: 0,
            cloud_rate_limit: TokenBucket::new(cloud_rps * 0.9),
            cloud_paused_until: 0,
            next_assignment_at: 0,
            shards_being_assigned: BTreeSet::new(),
            next_catalog_at: 0,
            next_list_at: 0,
            is_listing: false,
            requests_in_flight: BTreeSet::new(),
            outcomes: BTreeMap::new(),
            intents_awaited: BTreeMap::new(),
            intents_being_written: BTreeMap::new(),
            intents_written: 0,
            machines_being_deleted: BTreeSet::new(),
            first_seen_at: HashMap::new(),
            missing_from_lists: HashMap::new(),
            machines_requested: BTreeMap::new(),
            rebalanced_revision: 0,
            reported_demands: BTreeMap::new(),
            has_new_demands: false,
            last_planned_at: 0,
            nodes: BTreeMap::new(),
            out_of_capacity: BTreeMap::new(),
            slow_to_boot: BTreeMap::new(),
            next_finalization_at: 0,
            blockers_logged_at: 0,
            outdated_logged_at: 0,
            waiting_cancellations: BTreeMap::new(),
            recorded_prices: BTreeMap::new(),
        }
    }

    /// Whether this start of this controller is the recorded leader.
    pub(crate) fn is_leader(ctx: &Context, view: &ClusterView) -> bool {
        let leader = view.leader.as_ref();
        leader.is_some_and(|l| {
            l.record.node == ctx.config.node && l.record.incarnation == ctx.incarnation
        })
    }

    /// Does what is due, as long as this controller leads.
    pub(crate) fn tick(
        &mut self,
        ctx: &mut Context,
        view: &ClusterView,
        changed: &ChangedMachines,
    ) {
        self.track_nodes(ctx, view);
        if !view.is_complete || !Self::is_leader(ctx, view) {
            self.was_leader = false;
            return;
        }
        let _span = tracing::debug_span!("lead").entered();
        let anew = !self.was_leader;
        if anew {
            log::info!("leader from now on");
            ctx.cloud_link.on_elected();
            *self = Self {
                nodes: std::mem::take(&mut self.nodes),
                // A controller that leads for a second time must not use a
                // request's name again: the cloud would repeat its old answer.
                intents_written: self.intents_written,
                was_leader: true,
                leader_since: ctx.now,
                ..Self::new(ctx.config.cloud_rps)
            };
        }
        if anew || changed.all {
            self.follow_all_machines(ctx, view);
        }
        for id in &changed.machines {
            if view.machines.contains_key(id) {
                self.first_seen_at.entry(id.clone()).or_insert(ctx.now);
            } else {
                self.machines_being_deleted.remove(id);
            }
        }
        if ctx.now >= self.next_assignment_at {
            self.next_assignment_at = ctx.now + crate::ms(ctx.config.ops.assign_s);
            self.finalize_format(ctx, view);
            self.log_outdated(ctx, view);
            self.assign(ctx, view);
            self.remove_stale_cancellations(ctx, view);
        }
        self.cloud_rate_limit.refill(ctx.now);
        self.requests_in_flight
            .retain(|r| view.provisioning_intents.contains_key(r));
        self.delete_decommissioned(ctx, view);
        self.send_intents(ctx, view);
        let gap = crate::ms(ctx.config.ops.round_gap_s);
        if ctx.now >= self.last_planned_at + gap {
            self.last_planned_at = ctx.now;
            let demands = self.demands(ctx, view);
            if view.revision > self.rebalanced_revision || self.has_new_demands {
                self.rebalanced_revision = view.revision;
                self.has_new_demands = false;
                self.rebalance(ctx, view, &demands);
            }
            self.scale_out(ctx, view, &demands);
        }
        self.poll_cloud(ctx);
    }

    /// Notes since when machines have been known. A deletion of what the view
    /// lacks may be repeated: the cloud ignores names that it does not know.
    fn follow_all_machines(&mut self, ctx: &Context, view: &ClusterView) {
        for id in view.machines.keys() {
            self.first_seen_at.entry(id.clone()).or_insert(ctx.now);
        }
        self.machines_being_deleted
            .retain(|id| view.machines.contains_key(id));
    }

    /// Notes since when every start of a controller has been there.
    fn track_nodes(&mut self, ctx: &Context, view: &ClusterView) {
        self.nodes
            .retain(|name, (incarnation, _)| view.is_alive(name, *incarnation));
        for (name, node) in &view.nodes {
            self.nodes
                .entry(name.clone())
                .or_insert((node.record.incarnation, ctx.now));
        }
    }

    /// Removes what whoever asked for a cancellation has not: it has ended
    /// since, or the write of its key was carried out late. Users who were not
    /// told yet ask again.
    fn remove_stale_cancellations(&mut self, ctx: &mut Context, view: &ClusterView) {
        let known = std::mem::take(&mut self.waiting_cancellations);
        for (id, version) in &view.cancellations {
            let seen = known.get(id).filter(|(v, _)| v == version);
            let since = seen.map_or(ctx.now, |(_, t)| *t);
            if ctx.now > since + ctx.config.cancel_ms {
                remove_key(ctx, cancellation_key(id), *version);
            } else {
                self.waiting_cancellations
                    .insert(id.clone(), (*version, since));
            }
        }
    }

    /// Conditions of a leader's write: the record, and that we still lead.
    fn preconditions(&self, view: &ClusterView, key: String, version: u64) -> Vec<Precondition> {
        let leader = Precondition {
            key: LEADER.to_owned(),
            version: view.leader.as_ref().map_or(0, |l| l.version),
        };
        vec![leader, Precondition { key, version }]
    }

    /// Whether the cloud may be called now; counts the call.
    fn may_call(&mut self, ctx: &Context) -> bool {
        ctx.now >= self.cloud_paused_until && self.cloud_rate_limit.take(1.0, false)
    }

    /// Returns true if the cloud refused the call for a reason that may pass,
    /// and pauses all calls then. A lack of capacity is an answer.
    fn cloud_unavailable(&mut self, ctx: &Context, status: u16, body: &[u8]) -> bool {
        let unavailable = match status {
            0 | 429 => true,
            503 => !String::from_utf8_lossy(body).contains("capacity"),
            _ => false,
        };
        if unavailable {
            self.cloud_paused_until = ctx.now + 500;
        }
        unavailable
    }
}

/// The capacity of a machine of a type, if the type is known.
fn capacity_of_type(view: &ClusterView, machine_type: &str) -> Option<Resources> {
    view.machine_types
        .get(machine_type)
        .map(|t| capacity_of(&t.record))
}
