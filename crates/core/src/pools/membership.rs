//! A machine's membership in a pool: its state as heartbeats show it, and as it is
//! recorded.

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

/// A machine's state with regard to warm pools.
#[derive(Debug, Default)]
pub(crate) struct MachinePool {
    /// Its membership, as its record has it.
    pub(crate) membership: Option<Membership>,
    /// The pool that it is to join.
    pub(crate) joining: Option<PoolName>,
    /// Whether it is to leave its pool, which has too many machines.
    pub(crate) is_surplus: bool,
    /// Images that its worker reports; none: the worker reports no images.
    held_images: Option<BTreeSet<String>>,
    /// Since when its pool's image has been missing.
    pub(super) missing_since: Option<Ms>,
    /// When the command to fetch that image was sent.
    pub(super) prefetch_sent_at: Option<Ms>,
    /// Whether its state is not the recorded one.
    has_unrecorded_change: bool,
}

impl MachinePool {
    /// The state of a machine that has just become known by its record.
    pub(crate) fn new(record: &MachineRecord) -> Self {
        Self {
            membership: record.pool.clone(),
            ..Self::default()
        }
    }

    /// Takes in a changed record.
    pub(crate) fn update_from_record(&mut self, record: &MachineRecord) {
        let previous = std::mem::replace(&mut self.membership, record.pool.clone());
        if previous.map(|m| m.pool) != self.membership.as_ref().map(|m| m.pool.clone()) {
            self.joining = None;
            self.is_surplus = false;
            self.missing_since = None;
            self.prefetch_sent_at = None;
        }
    }

    /// Whether a write or a fetch is outstanding, so that the machine is to be checked
    /// again soon.
    pub(crate) fn is_pending(&self) -> bool {
        self.has_unrecorded_change || self.joining.is_some() || self.missing_since.is_some()
    }
}

impl Machine {
    /// Whether it is a pool's machine, and used by nobody.
    pub(crate) fn is_unused_pool_member(&self) -> bool {
        self.pool.membership.is_some()
            && self.tasks.is_empty()
            && self.decommission_reason.is_none()
    }

    /// Takes in which images its worker reports.
    pub(crate) fn update_held_images(&mut self, ctx: &mut Context, reported: Option<&HeldImages>) {
        let Some(reported) = reported else {
            self.pool.held_images = None;
            return;
        };
        let held: BTreeSet<String> = reported.held.iter().cloned().collect();
        if self.pool.held_images.as_ref() == Some(&held) {
            return;
        }
        // Images that the worker does not hold are removed; the order of use is kept.
        if self.tasks.is_empty() {
            let numbers: BTreeSet<u32> = held.iter().map(|i| ctx.images.intern(i)).collect();
            self.cached_images
                .retain(|(image, _)| numbers.contains(image));
        }
        self.pool.held_images = Some(held);
    }

    /// Its state in a pool, as its worker's heartbeats show it. Before the first one
    /// reaches a new holder it is the recorded state, so that warm machines don't look as
    /// if they booted after a failover.
    pub(crate) fn state_for(&self, pool: &Pool) -> PoolState {
        let recorded = self.pool.membership.as_ref().map(|m| m.state);
        match &self.pool.held_images {
            _ if self.last_heartbeat_at.is_none() => recorded.unwrap_or(PoolState::Booting),
            None => PoolState::Up,
            Some(held) if held.contains(&pool.image) => PoolState::Warm,
            Some(_) => PoolState::Fetching,
        }
    }

    /// Whether its record may be written in sight of this view.
    fn may_write_record(&self, view: &ClusterView) -> bool {
        !self.is_writing_record && view.revision >= self.record_required_revision
    }

    /// Whether nothing uses it or has requested it, so that it may join a pool.
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
    /// Reconciles a machine's recorded membership with its state: it joins, changes its
    /// state, or leaves. One charged interval ends and the next begins at the moment at
    /// which this is decided.
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

    /// Writes that a machine joins the pool that was chosen for it, unless it has been
    /// used or requested since.
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

    /// The state that a member is in now, or why it leaves.
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

    /// When and why the membership of a machine ends that is decommissioned.
    pub(crate) fn end_of_membership(&self, ctx: &Context, id: &MachineId) -> (u64, EndReason) {
        let machine = self.machines.get(id);
        let ended = match machine.and_then(|m| m.decommission_reason.as_deref()) {
            Some(STALLED_REASON) => EndReason::FetchTimedOut,
            _ => EndReason::Failed,
        };
        (self.transition_time(ctx, id, Err(ended)), ended)
    }

    /// The wall-clock time, in milliseconds, at which a member leaves or changes its
    /// state. A machine that is lost was of use until its last heartbeat.
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

/// Whether a pool may have a machine, by its type, zone and kind.
pub(super) fn pool_allows_machine(ctx: &Context, pool: &Pool, machine: &Machine) -> bool {
    let machine_type = ctx
        .types_and_zones
        .name(machine.machine_type)
        .unwrap_or_default();
    let zone = ctx.types_and_zones.name(machine.zone).unwrap_or_default();
    pool.allows(machine_type, zone, machine.is_spot)
}
