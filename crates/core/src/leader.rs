//! The leader: assigns shards to controllers, and alone speaks to the cloud.
//!
//! Its jobs are in the modules below; each is a part of [`Leader::tick`]. Every
//! write is conditional on the leader's own record, so that a deposed leader
//! can't write any more.

mod assignment;
mod deletion;
mod finalization;
mod inventory;
mod lending;
mod prices;
mod renting;

use crate::context::Context;
use crate::records::{abort_key, total_of, DemandRecord, ShardId, LEADER};
use crate::shard::remove_key;
use crate::store::TokenBucket;
use crate::view::{ChangedMachines, ClusterView};
use crate::Ms;
use forkshift_pools::account::Price;
use forkshift_sched::Resources;
use forkshift_wire::state::Precondition;
use forkshift_wire::{JobId, MachineId, NodeName};
use renting::Outcome;
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// What the leader remembers.
pub(crate) struct Leader {
    /// Whether this controller led at the last tick.
    active: bool,
    /// When it became leader.
    active_since: Ms,
    /// Rate limit of calls to the cloud.
    bucket: TokenBucket,
    /// The cloud is not called before this time.
    pause_until: Ms,
    /// When shards are assigned next.
    assign_at: Ms,
    /// Shards whose new assignment is being written.
    assigning: BTreeSet<ShardId>,
    /// When the catalogue is read next.
    catalog_at: Ms,
    /// When the list of machines is read next.
    list_at: Ms,
    /// Whether a list is being read.
    listing: bool,
    /// Names of requests that were sent to the cloud or are being recorded.
    renting: BTreeSet<String>,
    /// Answers of the cloud that are being written.
    outcomes: BTreeMap<String, Outcome>,
    /// Intents that the view must show before a shard's demand is looked at again.
    acted: BTreeMap<ShardId, u64>,
    /// Intents that are being written, with the shards that they are for.
    intents_being_written: BTreeMap<String, Vec<ShardId>>,
    /// How many intents this start has written; part of their names.
    intents_written: u64,
    /// Machines whose deletion or removal is under way.
    deleting: BTreeSet<MachineId>,
    /// Since when machines have been known.
    seen: HashMap<MachineId, Ms>,
    /// For how many lists in a row machines have been missing.
    absent: HashMap<MachineId, u32>,
    /// Machines asked of their shards, with the version that was asked.
    lending: BTreeMap<MachineId, u64>,
    /// The revision at which lending was last considered.
    lent_rev: u64,
    /// Demands that holders reported of their shards, under which epoch and when.
    reported: BTreeMap<ShardId, (u64, Ms, DemandRecord)>,
    /// Whether a demand was reported since lending was last considered.
    new_reports: bool,
    /// When lending and renting were last considered.
    planned_at: Ms,
    /// Controllers that are alive, with their starts and since when.
    nodes: BTreeMap<NodeName, (u64, Ms)>,
    /// Kinds of machines that could not be had, until when they are left
    /// alone, and the last pause.
    refused: BTreeMap<(String, String, bool), (Ms, Ms)>,
    /// Kinds of which a machine was overdue, and until when they are avoided.
    /// The zone with the fewest machines is preferred among equals, so one in
    /// which none ever came up was asked again and again, while a replica
    /// waited and there was room in others.
    avoided: BTreeMap<(String, String, bool), Ms>,
    /// When the finalization of a format is tried next.
    finalize_at: Ms,
    /// When those that keep it from being finalized are logged next.
    blockers_logged_at: Ms,
    /// When controllers of an old release are logged next.
    outdated_logged_at: Ms,
    /// Since when cancellations have waited, with the versions of their keys.
    aborts: BTreeMap<JobId, (u64, Ms)>,
    /// Prices that are recorded for the accounts of pools.
    recorded_prices: BTreeMap<String, Price>,
}

impl Leader {
    /// A controller that does not lead yet. It uses nine tenths of the cloud's
    /// rate limit.
    pub(crate) fn new(cloud_rps: f64) -> Self {
        Self {
            active: false,
            active_since: 0,
            bucket: TokenBucket::new(cloud_rps * 0.9),
            pause_until: 0,
            assign_at: 0,
            assigning: BTreeSet::new(),
            catalog_at: 0,
            list_at: 0,
            listing: false,
            renting: BTreeSet::new(),
            outcomes: BTreeMap::new(),
            acted: BTreeMap::new(),
            intents_being_written: BTreeMap::new(),
            intents_written: 0,
            deleting: BTreeSet::new(),
            seen: HashMap::new(),
            absent: HashMap::new(),
            lending: BTreeMap::new(),
            lent_rev: 0,
            reported: BTreeMap::new(),
            new_reports: false,
            planned_at: 0,
            nodes: BTreeMap::new(),
            refused: BTreeMap::new(),
            avoided: BTreeMap::new(),
            finalize_at: 0,
            blockers_logged_at: 0,
            outdated_logged_at: 0,
            aborts: BTreeMap::new(),
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
        self.follow_nodes(ctx, view);
        if !view.is_complete || !Self::is_leader(ctx, view) {
            self.active = false;
            return;
        }
        let _span = tracing::debug_span!("lead").entered();
        let anew = !self.active;
        if anew {
            log::info!("leader from now on");
            ctx.cloud_link.on_elected();
            *self = Self {
                nodes: std::mem::take(&mut self.nodes),
                // A controller that leads for a second time must not use a
                // request's name again: the cloud would repeat its old answer.
                intents_written: self.intents_written,
                active: true,
                active_since: ctx.now,
                ..Self::new(ctx.config.cloud_rps)
            };
        }
        if anew || changed.all {
            self.follow_all_machines(ctx, view);
        }
        for id in &changed.machines {
            if view.machines.contains_key(id) {
                self.seen.entry(id.clone()).or_insert(ctx.now);
            } else {
                self.deleting.remove(id);
            }
        }
        if ctx.now >= self.assign_at {
            self.assign_at = ctx.now + crate::ms(ctx.config.ops.assign_s);
            self.finalize_format(ctx, view);
            self.log_outdated(ctx, view);
            self.assign(ctx, view);
            self.sweep_aborts(ctx, view);
        }
        self.bucket.refill(ctx.now);
        self.renting
            .retain(|r| view.provisioning_intents.contains_key(r));
        self.delete(ctx, view);
        self.rent(ctx, view);
        let gap = crate::ms(ctx.config.ops.round_gap_s);
        if ctx.now >= self.planned_at + gap {
            self.planned_at = ctx.now;
            let demands = self.demands(ctx, view);
            if view.revision > self.lent_rev || self.new_reports {
                self.lent_rev = view.revision;
                self.new_reports = false;
                self.lend(ctx, view, &demands);
            }
            self.write_rental_intents(ctx, view, &demands);
        }
        self.poll_cloud(ctx);
    }

    /// Notes since when machines have been known. A deletion of what the view
    /// lacks may be repeated: the cloud ignores names that it does not know.
    fn follow_all_machines(&mut self, ctx: &Context, view: &ClusterView) {
        for id in view.machines.keys() {
            self.seen.entry(id.clone()).or_insert(ctx.now);
        }
        self.deleting.retain(|id| view.machines.contains_key(id));
    }

    /// Notes since when every start of a controller has been there.
    fn follow_nodes(&mut self, ctx: &Context, view: &ClusterView) {
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
    fn sweep_aborts(&mut self, ctx: &mut Context, view: &ClusterView) {
        let known = std::mem::take(&mut self.aborts);
        for (id, version) in &view.cancellations {
            let seen = known.get(id).filter(|(v, _)| v == version);
            let since = seen.map_or(ctx.now, |(_, t)| *t);
            if ctx.now > since + ctx.config.cancel_ms {
                remove_key(ctx, abort_key(id), *version);
            } else {
                self.aborts.insert(id.clone(), (*version, since));
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
        ctx.now >= self.pause_until && self.bucket.take(1.0, false)
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
            self.pause_until = ctx.now + 500;
        }
        unavailable
    }
}

/// The capacity of a machine of a type, if the type is known.
fn total_in(view: &ClusterView, machine_type: &str) -> Option<Resources> {
    view.machine_types
        .get(machine_type)
        .map(|t| total_of(&t.record))
}
