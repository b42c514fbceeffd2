//! The leader role: assigns shards to controllers, moves machines between shards,
//! and provisions and deletes machines. Only the leader calls the cloud.
//!
//! [`Leader::tick`] runs the tasks of the modules below. Transactions that this role
//! builds itself have the version of the leader record as a precondition, which
//! fences off a deposed leader: its writes fail. Two shared functions use other
//! preconditions: assignments of shards depend on the epoch counter and on the
//! records of the shards and controllers, and the removal of a stale cancellation on
//! the version of its key.

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

/// Boot time assumed for a machine type whose record is missing, in seconds.
const DEFAULT_BOOT_S: f64 = 60.0;

/// A registered incarnation of a controller.
struct RegisteredNode {
    incarnation: u64,
    /// When this controller first saw the registration.
    registered_at: Ms,
}

/// State of the leader role. Each election resets the state, except for
/// [`Leader::nodes`] and the number of intents written.
pub(crate) struct Leader {
    /// Whether this controller was the leader at the last tick.
    was_leader: bool,
    /// When this controller was last elected.
    elected_at: Ms,
    /// When rebalancing of machines and scale-out last ran.
    last_planned_at: Ms,
    /// Registered controllers. Every controller tracks them, also while another
    /// one leads, so that a new leader knows how long each has been registered.
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
    /// The initial state, before any election. `cloud_rps` is the rate limit of
    /// the cloud, in requests per second.
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

    /// Whether the leader record names this incarnation of this controller.
    pub(crate) fn is_leader(ctx: &Context, view: &ClusterView) -> bool {
        view.leader.as_ref().is_some_and(|leader| {
            leader.record.node == ctx.config.node && leader.record.incarnation == ctx.incarnation
        })
    }

    /// Runs the leader's tasks that are due. On a controller that does not lead,
    /// only the registered controllers are tracked.
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

    /// Resets the state after this controller was elected.
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

    /// Runs the periodic tasks: finalization of formats, assignment of shards, and
    /// removal of stale cancellations.
    fn check_cluster(&mut self, ctx: &mut Context, view: &ClusterView) {
        self.assignment.next_check_at =
            ctx.now + crate::seconds_to_ms(ctx.config.operator.assignment_interval_s);
        self.finalize_format(ctx, view);
        self.log_unsupported_nodes(ctx, view);
        self.assign_shards(ctx, view);
        self.remove_stale_cancellations(ctx, view);
    }

    /// Moves machines between shards and provisions new ones, at most once per
    /// minimum round interval.
    fn plan_machines(&mut self, ctx: &mut Context, view: &ClusterView) {
        let interval = crate::seconds_to_ms(ctx.config.operator.min_round_interval_s);
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

    /// Records when each incarnation of a controller was first seen as registered.
    fn track_nodes(&mut self, ctx: &Context, view: &ClusterView) {
        self.nodes
            .retain(|name, node| view.is_registered(name, node.incarnation));
        for (name, node) in &view.nodes {
            self.nodes.entry(name.clone()).or_insert(RegisteredNode {
                incarnation: node.record.incarnation,
                registered_at: ctx.now,
            });
        }
    }
}

/// The capacity of a machine of this type. None if the type has no record.
fn capacity_of_type(view: &ClusterView, machine_type: &str) -> Option<Resources> {
    view.machine_types
        .get(machine_type)
        .map(|known| capacity_of(&known.record))
}

/// The boot time of machines of this type, in seconds.
fn boot_seconds(view: &ClusterView, machine_type: &str) -> f64 {
    view.machine_types
        .get(machine_type)
        .map_or(DEFAULT_BOOT_S, |known| known.record.boot_s)
}
