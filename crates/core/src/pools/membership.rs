//! A machine's membership in a warm pool: the state that heartbeats show, the state in the
//! machine's record, and their reconciliation.

use super::prefetch::STALLED_REASON;
use crate::context::Context;
use crate::membership::format::FormatVersion;
use crate::records::MachineRecord;
use crate::shard::machine::Machine;
use crate::shard::Shard;
use crate::store::view::ClusterView;
use crate::Ms;
use forkshift_pools::{EndReason, Membership, Pool, PoolName, PoolState};
use forkshift_wire::workers::HeldImages;
use forkshift_wire::MachineId;
use std::collections::BTreeSet;

/// State of a machine that concerns warm pools.
#[derive(Debug, Default)]
pub(crate) struct MachinePool {
    /// Membership according to the machine's record; `None` outside of pools.
    pub(crate) membership: Option<Membership>,
    /// Pool that the machine was chosen for, until the membership is recorded.
    pub(crate) joining: Option<PoolName>,
    /// Whether the machine must leave its pool because the pool has too many machines.
    pub(crate) is_surplus: bool,
    /// Images in the worker's cache; `None` if the worker does not report them.
    held_images: Option<BTreeSet<String>>,
    /// Time since which the image of the pool has been missing on the machine.
    pub(super) missing_since: Option<Ms>,
    /// Time at which the command to fetch the image was last sent.
    pub(super) prefetch_sent_at: Option<Ms>,
    /// Whether the machine's state differs from the recorded one.
    has_unrecorded_change: bool,
}

impl MachinePool {
    /// The initial state of a machine, from its record.
    pub(crate) fn new(record: &MachineRecord) -> Self {
        Self {
            membership: record.pool.clone(),
            ..Self::default()
        }
    }

    /// Adopts the membership of a changed record. Other state is reset if the pool changed.
    pub(crate) fn update_from_record(&mut self, record: &MachineRecord) {
        let previous = std::mem::replace(&mut self.membership, record.pool.clone());
        if previous.map(|m| m.pool) != self.membership.as_ref().map(|m| m.pool.clone()) {
            self.joining = None;
            self.is_surplus = false;
            self.missing_since = None;
            self.prefetch_sent_at = None;
        }
    }

    /// Whether a change must be written or an image fetched, so that the machine must be
    /// reconciled again soon.
    pub(crate) fn is_pending(&self) -> bool {
        self.has_unrecorded_change || self.joining.is_some() || self.missing_since.is_some()
    }
}

impl Machine {
    /// Whether the machine is a member of a pool, has no tasks and is not being decommissioned.
    pub(crate) fn is_unused_pool_member(&self) -> bool {
        self.pool.membership.is_some()
            && self.tasks.is_empty()
            && self.decommission_reason.is_none()
    }

    /// Updates the images in the worker's cache from a heartbeat.
    pub(crate) fn update_held_images(&mut self, ctx: &mut Context, reported: Option<&HeldImages>) {
        let Some(reported) = reported else {
            self.pool.held_images = None;
            return;
        };
        let held: BTreeSet<String> = reported.held.iter().cloned().collect();
        if self.pool.held_images.as_ref() == Some(&held) {
            return;
        }
        // Drops the images that the worker no longer has. The order of last use is preserved.
        if self.tasks.is_empty() {
            let numbers: BTreeSet<u32> = held.iter().map(|i| ctx.images.intern(i)).collect();
            self.cached_images
                .retain(|(image, _)| numbers.contains(image));
        }
        self.pool.held_images = Some(held);
    }

    /// The machine's state in a pool according to its worker's heartbeats. Until a new holder
    /// has received the first heartbeat, the recorded state applies, so that warm machines do
    /// not appear to be booting after a failover.
    pub(crate) fn state_for(&self, pool: &Pool) -> PoolState {
        let recorded = self.pool.membership.as_ref().map(|m| m.state);
        match &self.pool.held_images {
            _ if self.last_heartbeat_at.is_none() => recorded.unwrap_or(PoolState::Booting),
            None => PoolState::Up,
            Some(held) if held.contains(&pool.image) => PoolState::Warm,
            Some(_) => PoolState::Fetching,
        }
    }

    /// Whether the machine's record may be written: no write is in flight, and the view includes
    /// the previous one.
    fn may_write_record(&self, view: &ClusterView) -> bool {
        !self.is_writing_record && view.revision >= self.record_required_revision
    }

    /// Whether the machine may join a pool: it is unused, and no other shard has requested it.
    fn may_join_pool(&self, view: &ClusterView) -> bool {
        self.tasks.is_empty()
            && self.decommission_reason.is_none()
            && self.transfer_version.is_none()
            && self.orphans.is_empty()
            && !is_requested_by_other_shard(view, &self.id)
    }
}

/// Whether another shard has requested a machine.
pub(super) fn is_requested_by_other_shard(view: &ClusterView, id: &MachineId) -> bool {
    let versioned = view.machines.get(id);
    versioned.is_some_and(|m| m.record.reassign_to.is_some())
}

impl Shard {
    /// Reconciles a machine's recorded membership with its actual state: the machine joins a
    /// pool, changes its state in the pool, or leaves it. The charged interval of the previous
    /// state ends at the time of this decision, when the next interval begins.
    pub(crate) fn reconcile_membership(
        &mut self,
        ctx: &mut Context,
        view: &ClusterView,
        id: &MachineId,
    ) {
        let (Some(machine), Some(versioned)) = (self.machines.get(id), view.machines.get(id))
        else {
            return;
        };
        let Some(membership) = versioned.record.pool.clone() else {
            if machine.pool.joining.is_some() {
                self.join(ctx, view, id);
            }
            return;
        };
        let next = self.next_state(ctx, id, &membership);
        let at_ms = self.transition_time(ctx, id, next);
        self.track_fetch(ctx, id, &membership, next);
        let is_changed = next != Ok(membership.state);
        if let Some(machine) = self.machines.get_mut(id) {
            machine.pool.has_unrecorded_change = is_changed;
            if !is_changed || !machine.may_write_record(view) {
                return;
            }
        }
        if let Err(reason) = next {
            log::info!(
                "machine {id}: leaves pool {}, reason {reason:?}",
                membership.pool
            );
            if reason == EndReason::Allocated {
                self.pools.record_allocation(&membership.pool, ctx.now);
            }
        }
        self.update_machine_record_with(ctx, view, id, |record| {
            record.close_membership(id, at_ms, next)
        });
    }

    /// Records that a machine joins the pool that it was chosen for, unless the machine has
    /// been used or requested in the meantime.
    fn join(&mut self, ctx: &mut Context, view: &ClusterView, id: &MachineId) {
        let Some(machine) = self.machines.get_mut(id) else {
            return;
        };
        let Some(name) = machine.pool.joining.clone() else {
            return;
        };
        let may_join = machine.may_join_pool(view) && ctx.format >= FormatVersion::POOLS;
        let pool = ctx.config.operator.pools.get(&name).filter(|_| may_join);
        let Some(pool) = pool else {
            machine.pool.joining = None;
            return;
        };
        let state = machine.state_for(pool);
        let at_ms = ctx.wall_clock_ms;
        if machine.may_write_record(view) {
            log::info!("machine {id}: joins pool {name}, state {state:?}");
        }
        self.update_machine_record_with(ctx, view, id, |record| {
            let membership = Membership::begin(name, state, at_ms, record.charged_until_ms);
            record.pool = Some(membership);
            None
        });
    }

    /// The current state of a member, or the reason for which it leaves the pool.
    fn next_state(
        &self,
        ctx: &Context,
        id: &MachineId,
        membership: &Membership,
    ) -> Result<PoolState, EndReason> {
        let machine = self.machines.get(id).ok_or(EndReason::Failed)?;
        if machine.decommission_reason.is_some() {
            return Err(self.end_of_membership(ctx, id).1);
        }
        let declared = ctx.config.operator.pools.get(&membership.pool);
        if !machine.tasks.is_empty() {
            let mut tasks = machine.tasks.iter();
            let is_own = tasks.any(|task| self.is_for_pool(&task.job, declared));
            return Err(match is_own {
                true => EndReason::Allocated,
                false => EndReason::Reclaimed,
            });
        }
        let pool = declared
            .filter(|pool| {
                self.teams.contains_key(&pool.team) && pool_allows_machine(ctx, pool, machine)
            })
            .ok_or(EndReason::PoolRemoved)?;
        match machine.pool.is_surplus {
            true => Err(EndReason::ScaledIn),
            false => Ok(machine.state_for(pool)),
        }
    }

    /// Time and reason of the end of membership of a decommissioned machine.
    pub(crate) fn end_of_membership(&self, ctx: &Context, id: &MachineId) -> (u64, EndReason) {
        let machine = self.machines.get(id);
        let ended = match machine.and_then(|m| m.decommission_reason.as_deref()) {
            Some(STALLED_REASON) => EndReason::FetchTimedOut,
            _ => EndReason::Failed,
        };
        (self.transition_time(ctx, id, Err(ended)), ended)
    }

    /// The wall-clock time at which a member leaves the pool or changes its state, in
    /// milliseconds. A failed machine is charged only until its last heartbeat.
    fn transition_time(
        &self,
        ctx: &Context,
        id: &MachineId,
        next: Result<PoolState, EndReason>,
    ) -> u64 {
        if next != Err(EndReason::Failed) {
            return ctx.wall_clock_ms;
        }
        let machine = self.machines.get(id);
        let last_heartbeat_at = machine.and_then(|m| m.last_heartbeat_at);
        let silent_for = last_heartbeat_at.map_or(0, |at| ctx.now.saturating_sub(at));
        ctx.wall_clock_ms.saturating_sub(silent_for)
    }
}

/// Whether a pool allows a machine, by the machine's type, zone and spot status.
pub(super) fn pool_allows_machine(ctx: &Context, pool: &Pool, machine: &Machine) -> bool {
    let machine_type = ctx
        .types_and_zones
        .name(machine.machine_type)
        .unwrap_or_default();
    let zone = ctx.types_and_zones.name(machine.zone).unwrap_or_default();
    pool.allows(machine_type, zone, machine.is_spot)
}
