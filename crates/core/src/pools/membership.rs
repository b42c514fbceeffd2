//! A machine's membership in a pool: its state as messages show it, and as it is recorded.

use crate::context::Context;
use crate::membership::format::FormatVersion;
use crate::records::MachineRecord;
use crate::shard::machine::Machine;
use crate::shard::Shard;
use crate::store::view::ClusterView;
use crate::Ms;
use forkshift_pools::{Ended, Membership, Pool, PoolName, PoolState};
use forkshift_wire::workers::{HeldImages, Prefetch};
use forkshift_wire::MachineId;
use std::collections::BTreeSet;

/// A fetch that takes so many times as long as it should, and a lease, never ends.
const STALLED_FETCHES: f64 = 4.0;
/// Reports after which the command to fetch an image is repeated.
const REPEAT_REPORTS: Ms = 2;
/// Why a machine is given up that does not get its pool's image.
const STALLED: &str = "it does not fetch its pool's image";

/// A machine's part in warm pools.
#[derive(Debug, Default)]
pub(crate) struct MachinePool {
    /// Its membership, as its record has it.
    pub(crate) membership: Option<Membership>,
    /// The pool that it is to join.
    pub(crate) joining: Option<PoolName>,
    /// It is to leave its pool, which has too many.
    pub(crate) is_surplus: bool,
    /// Images that its worker reports; none: it does not tell.
    held: Option<BTreeSet<String>>,
    /// Since when its pool's image has been missing, and when it was told to fetch it.
    missing_since: Option<Ms>,
    told_at: Option<Ms>,
    /// Its state is not the recorded one.
    is_unrecorded: bool,
}

impl MachinePool {
    /// As a machine's record has it.
    pub(crate) fn new(record: &MachineRecord) -> Self {
        Self {
            membership: record.pool.clone(),
            ..Self::default()
        }
    }

    /// Follows a changed record.
    pub(crate) fn follow(&mut self, record: &MachineRecord) {
        let had = std::mem::replace(&mut self.membership, record.pool.clone());
        if had.map(|m| m.pool) != self.membership.as_ref().map(|m| m.pool.clone()) {
            self.joining = None;
            self.is_surplus = false;
            self.missing_since = None;
            self.told_at = None;
        }
    }

    /// Whether something is to be written, or its image to be waited for.
    pub(crate) fn is_busy(&self) -> bool {
        self.is_unrecorded || self.joining.is_some() || self.missing_since.is_some()
    }
}

impl Machine {
    /// Whether it is a pool's machine, and in use by nobody.
    pub(crate) fn is_pool_member(&self) -> bool {
        self.pool.membership.is_some()
            && self.tasks.is_empty()
            && self.decommission_reason.is_none()
    }

    /// Takes in which images its worker reports.
    pub(crate) fn note_images(&mut self, ctx: &mut Context, reported: Option<&HeldImages>) {
        let Some(reported) = reported else {
            self.pool.held = None;
            return;
        };
        let held: BTreeSet<String> = reported.held.iter().cloned().collect();
        if self.pool.held.as_ref() == Some(&held) {
            return;
        }
        // What the worker has is known now; what it uses next is kept account of as ever.
        if self.tasks.is_empty() {
            let numbers: BTreeSet<u32> = held.iter().map(|i| ctx.images.number(i)).collect();
            self.images.retain(|(image, _)| numbers.contains(image));
        }
        self.pool.held = Some(held);
    }

    /// What it is doing for a pool, as its worker's messages show it. Before the first one
    /// reaches a new holder that is what was recorded: a takeover once made warm machines
    /// look as if they booted.
    pub(crate) fn state_for(&self, pool: &Pool) -> PoolState {
        let recorded = self.pool.membership.as_ref().map(|m| m.state);
        match &self.pool.held {
            _ if self.last_heartbeat_at.is_none() => recorded.unwrap_or(PoolState::Booting),
            None => PoolState::Up,
            Some(held) if held.contains(&pool.image) => PoolState::Warm,
            Some(_) => PoolState::Fetching,
        }
    }

    /// For how long a fetch of a pool's image may take.
    fn patience(&self, ctx: &Context, pool: &Pool) -> Ms {
        let fetch_s = pool.image_gb / self.fetch_rate.max(1e-9);
        crate::ms(fetch_s * STALLED_FETCHES) + ctx.config.lease_ms
    }
}

impl Shard {
    /// Brings a machine's recorded membership in line with what it is doing: it joins,
    /// goes on to another state, or leaves. What is charged for ends and begins at the
    /// moment at which this is decided.
    pub(crate) fn note_membership(
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
        let at_ms = self.left_at(ctx, id, next);
        self.follow_fetch(ctx, id, &membership, next);
        let is_changed = next != Ok(membership.state);
        if let Some(machine) = self.machines.get_mut(id) {
            machine.pool.is_unrecorded = is_changed;
            if !is_changed
                || machine.is_writing_record
                || view.revision < machine.record_required_revision
            {
                return;
            }
        }
        if let Err(why) = next {
            log::info!("machine {id}: leaves pool {}, {why:?}", membership.pool);
            if why == Ended::HandedOut {
                self.pools.note_handed_out(&membership.pool, ctx.now);
            }
        }
        self.update_machine_record_with(ctx, view, id, |record| {
            record.close_membership(id, at_ms, next)
        });
    }

    /// Writes that a machine joins the pool that was chosen for it, if nothing has
    /// come between.
    fn join(&mut self, ctx: &mut Context, view: &ClusterView, id: &MachineId) {
        let Some(machine) = self.machines.get_mut(id) else {
            return;
        };
        let Some(name) = machine.pool.joining.clone() else {
            return;
        };
        let wanted = view
            .machines
            .get(id)
            .is_some_and(|m| m.record.reassign_to.is_some());
        let is_free = machine.tasks.is_empty()
            && machine.decommission_reason.is_none()
            && machine.transfer_version.is_none()
            && machine.orphans.is_empty()
            && !wanted;
        let pool = ctx.config.ops.pools.get(&name);
        let (Some(pool), true, true) = (pool, is_free, ctx.format >= FormatVersion::POOLS) else {
            machine.pool.joining = None;
            return;
        };
        let state = machine.state_for(pool);
        let at_ms = ctx.wall_clock_ms;
        if !machine.is_writing_record && view.revision >= machine.record_required_revision {
            log::info!("machine {id}: joins pool {name}, {state:?}");
        }
        self.update_machine_record_with(ctx, view, id, |record| {
            let begun = Membership::begin(name, state, at_ms, record.charged_until_ms);
            record.pool = Some(begun);
            None
        });
    }

    /// The state that a member is in now, or why it leaves.
    fn next_state(
        &self,
        ctx: &Context,
        id: &MachineId,
        membership: &Membership,
    ) -> Result<PoolState, Ended> {
        let machine = self.machines.get(id).ok_or(Ended::Lost)?;
        if machine.decommission_reason.is_some() {
            return Err(self.end_of_membership(ctx, id).1);
        }
        let pool = ctx.config.ops.pools.get(&membership.pool);
        if !machine.tasks.is_empty() {
            let is_own = |id| self.is_for_pool(id, pool);
            let handed_out = machine.tasks.iter().any(|task| is_own(&task.job));
            return Err(match handed_out {
                true => Ended::HandedOut,
                false => Ended::Reclaimed,
            });
        }
        let places = (
            ctx.places.name(machine.machine_type).unwrap_or_default(),
            ctx.places.name(machine.zone).unwrap_or_default(),
        );
        let is_ours = |p: &&Pool| self.teams.contains_key(&p.team);
        let allows = |p: &&Pool| p.allows(places.0, places.1, machine.spot);
        let pool = pool.filter(is_ours).filter(allows);
        let pool = pool.ok_or(Ended::Withdrawn)?;
        match machine.pool.is_surplus {
            true => Err(Ended::Surplus),
            false => Ok(machine.state_for(pool)),
        }
    }

    /// When and why the membership of a machine ends that is given up.
    pub(crate) fn end_of_membership(&self, ctx: &Context, id: &MachineId) -> (u64, Ended) {
        let condemned = self
            .machines
            .get(id)
            .and_then(|m| m.decommission_reason.as_deref());
        let ended = match condemned {
            Some(STALLED) => Ended::Stalled,
            _ => Ended::Lost,
        };
        (self.left_at(ctx, id, Err(ended)), ended)
    }

    /// The time of day at which a member leaves or changes. A machine that is given up
    /// was of use until it was last heard of.
    fn left_at(&self, ctx: &Context, id: &MachineId, next: Result<PoolState, Ended>) -> u64 {
        let machine = self.machines.get(id);
        let heard = machine.and_then(|m| m.last_heartbeat_at);
        match next {
            Err(Ended::Lost) => {
                let silent_for = heard.map_or(0, |heard| ctx.now.saturating_sub(heard));
                ctx.wall_clock_ms.saturating_sub(silent_for)
            }
            _ => ctx.wall_clock_ms,
        }
    }

    /// Notes since when a member's image has been missing, and gives the machine up if
    /// it does not come.
    fn follow_fetch(
        &mut self,
        ctx: &Context,
        id: &MachineId,
        membership: &Membership,
        next: Result<PoolState, Ended>,
    ) {
        let Some(machine) = self.machines.get_mut(id) else {
            return;
        };
        if next != Ok(PoolState::Fetching) {
            machine.pool.missing_since = None;
            machine.pool.told_at = None;
            return;
        }
        let since = *machine.pool.missing_since.get_or_insert(ctx.now);
        let Some(pool) = ctx.config.ops.pools.get(&membership.pool) else {
            return;
        };
        if ctx.now > since + machine.patience(ctx, pool) {
            self.decommission(id, STALLED);
        }
    }

    /// The image that a machine is to be told to fetch now.
    pub(crate) fn prefetch_due(&mut self, ctx: &Context, id: &MachineId) -> Vec<Prefetch> {
        let Some(machine) = self.machines.get_mut(id) else {
            return Vec::new();
        };
        let member = machine.pool.membership.as_ref();
        let pool = member.and_then(|m| ctx.config.ops.pools.get(&m.pool));
        let Some(pool) = pool.filter(|_| machine.is_pool_member() && ctx.has_valid_lease) else {
            return Vec::new();
        };
        let is_told = machine
            .pool
            .told_at
            .is_some_and(|at| ctx.now < at + ctx.config.report_ms * REPEAT_REPORTS);
        if machine.state_for(pool) != PoolState::Fetching || is_told {
            return Vec::new();
        }
        machine.pool.told_at = Some(ctx.now);
        vec![Prefetch {
            image: pool.image.clone(),
            image_gb: pool.image_gb,
        }]
    }
}
