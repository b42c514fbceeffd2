//! The leader role: assigns shards to controllers, and alone calls the cloud.
//!
//! Its jobs are in the modules below; each is a part of [`Leader::tick`]. Every
//! write is conditional on the leader's own record, so that a deposed leader
//! can't write any more.

mod assignment;
mod cancellations;
mod catalog;
mod cloud_access;
mod finalization;
mod inventory;
mod prices;
mod rebalancing;
mod scale_in;
mod scale_out;
mod transactions;

use crate::context::Context;
use crate::records::capacity_of;
use crate::store::view::{ChangedMachines, ClusterView};
use crate::Ms;
use assignment::AssignmentState;
use cancellations::CancellationTracker;
use catalog::CatalogState;
use cloud_access::CloudAccess;
use finalization::FinalizationState;
use forkshift_sched::Resources;
use forkshift_wire::NodeName;
use inventory::MachineInventory;
use rebalancing::RebalancingState;
use scale_out::ProvisioningState;
use std::collections::BTreeMap;

/// Boot time that is assumed of a machine type that is not known, in seconds.
const DEFAULT_BOOT_S: f64 = 60.0;

/// One incarnation of a controller, as seen by this one.
struct RegisteredNode {
    incarnation: u64,
    /// Since when it has been registered.
    registered_at: Ms,
}

/// State of the leader role. All but [`Leader::nodes`] and the count of intents
/// is reset at each election.
pub(crate) struct Leader {
    /// Whether this controller led at the last tick.
    was_leader: bool,
    /// When it was elected.
    elected_at: Ms,
    /// When rebalancing and scale-out were last considered.
    last_planned_at: Ms,
    /// Controllers that are alive; kept up to date while another one leads, too.
    nodes: BTreeMap<NodeName, RegisteredNode>,
    cloud: CloudAccess,
    assignment: AssignmentState,
    finalization: FinalizationState,
    cancellations: CancellationTracker,
    catalog: CatalogState,
    inventory: MachineInventory,
    provisioning: ProvisioningState,
    rebalancing: RebalancingState,
}

impl Leader {
    /// The role of a controller that does not lead yet. `cloud_rps` is the rate
    /// limit of the cloud, in requests a second.
    pub(crate) fn new(cloud_rps: f64) -> Self {
        Self {
            was_leader: false,
            elected_at: 0,
            last_planned_at: 0,
            nodes: BTreeMap::new(),
            cloud: CloudAccess::new(cloud_rps),
            assignment: AssignmentState::default(),
            finalization: FinalizationState::default(),
            cancellations: CancellationTracker::default(),
            catalog: CatalogState::default(),
            inventory: MachineInventory::default(),
            provisioning: ProvisioningState::default(),
            rebalancing: RebalancingState::default(),
        }
    }

    /// Whether this incarnation of this controller is the recorded leader.
    pub(crate) fn is_leader(ctx: &Context, view: &ClusterView) -> bool {
        view.leader.as_ref().is_some_and(|leader| {
            leader.record.node == ctx.config.node && leader.record.incarnation == ctx.incarnation
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
        let is_newly_elected = !self.was_leader;
        if is_newly_elected {
            self.start_term(ctx);
        }
        if is_newly_elected || changed.all {
            self.inventory.track_all(ctx.now, view);
        }
        self.inventory.track_changed(ctx.now, view, changed);
        if ctx.now >= self.assignment.next_check_at {
            self.check_cluster(ctx, view);
        }
        self.cloud.refill(ctx.now);
        self.provisioning.drop_completed_requests(view);
        self.delete_decommissioned(ctx, view);
        self.send_intents(ctx, view);
        self.plan_machines(ctx, view);
        self.poll_cloud(ctx);
    }

    /// Resets the state after an election.
    fn start_term(&mut self, ctx: &mut Context) {
        log::info!("leader: elected, incarnation {}", ctx.incarnation);
        ctx.cloud_link.on_elected();
        *self = Self {
            nodes: std::mem::take(&mut self.nodes),
            provisioning: self.provisioning.for_next_term(),
            was_leader: true,
            elected_at: ctx.now,
            ..Self::new(ctx.config.cloud_rps)
        };
    }

    /// The checks that run at a fixed interval: formats, assignment, cancellations.
    fn check_cluster(&mut self, ctx: &mut Context, view: &ClusterView) {
        self.assignment.next_check_at =
            ctx.now + crate::ms(ctx.config.operator.assignment_interval_s);
        self.finalize_format(ctx, view);
        self.log_unsupported_nodes(ctx, view);
        self.assign_shards(ctx, view);
        self.remove_stale_cancellations(ctx, view);
    }

    /// Moves machines between shards and provisions new ones, if the last time is
    /// long enough ago.
    fn plan_machines(&mut self, ctx: &mut Context, view: &ClusterView) {
        let interval = crate::ms(ctx.config.operator.min_round_interval_s);
        if ctx.now < self.last_planned_at + interval {
            return;
        }
        self.last_planned_at = ctx.now;
        let demands = self.rebalancing.demands(ctx, view);
        if self.rebalancing.observe_changes(view.revision) {
            self.rebalance_machines(ctx, view, &demands);
        }
        self.scale_out(ctx, view, &demands);
    }

    /// Notes since when each incarnation of a controller has been registered.
    fn track_nodes(&mut self, ctx: &Context, view: &ClusterView) {
        self.nodes
            .retain(|name, presence| view.is_registered(name, presence.incarnation));
        for (name, node) in &view.nodes {
            self.nodes.entry(name.clone()).or_insert(RegisteredNode {
                incarnation: node.record.incarnation,
                registered_at: ctx.now,
            });
        }
    }
}

/// The capacity of a machine of a type, if the type is known.
fn capacity_of_type(view: &ClusterView, machine_type: &str) -> Option<Resources> {
    view.machine_types
        .get(machine_type)
        .map(|known| capacity_of(&known.record))
}

/// The boot time of a machine of a type, in seconds.
fn boot_seconds(view: &ClusterView, machine_type: &str) -> f64 {
    view.machine_types
        .get(machine_type)
        .map_or(DEFAULT_BOOT_S, |known| known.record.boot_s)
}
