//! Prefetching of a pool's image: members are commanded to fetch the image, and members whose
//! fetch stalls are decommissioned.

use crate::context::Context;
use crate::shard::machine::Machine;
use crate::shard::Shard;
use crate::Ms;
use forkshift_pools::{EndReason, Membership, Pool, PoolState};
use forkshift_wire::workers::Prefetch;
use forkshift_wire::MachineId;

/// A fetch has stalled if it takes longer than this multiple of the expected time, plus a
/// worker lease.
const STALLED_FETCH_FACTOR: f64 = 4.0;
/// Lower bound on the fetch rate, in GB per second. Avoids a division by zero.
pub(super) const MIN_FETCH_RATE: f64 = 1e-9;
/// Number of heartbeat intervals after which the command to fetch an image is sent again.
const RESEND_AFTER_HEARTBEATS: Ms = 2;
/// Recorded reason for decommissioning a machine whose fetch of the image has stalled.
pub(super) const STALLED_REASON: &str = "it does not fetch its pool's image";

impl Shard {
    /// Tracks for how long the image has been missing on a member, and decommissions the machine
    /// if the fetch has stalled.
    pub(super) fn track_fetch(
        &mut self,
        ctx: &Context,
        id: &MachineId,
        membership: &Membership,
        next: Result<PoolState, EndReason>,
    ) {
        let Some(machine) = self.machines.get_mut(id) else {
            return;
        };
        if next != Ok(PoolState::Fetching) {
            machine.pool.missing_since = None;
            machine.pool.prefetch_sent_at = None;
            return;
        }
        let since = *machine.pool.missing_since.get_or_insert(ctx.now);
        let Some(pool) = ctx.config.operator.pools.get(&membership.pool) else {
            return;
        };
        if ctx.now > since + fetch_timeout(machine, ctx, pool) {
            self.decommission(id, STALLED_REASON);
        }
    }

    /// The prefetch commands that are due for a machine: one for the pool's image, if the image
    /// is missing and no command was sent recently.
    pub(crate) fn due_prefetches(&mut self, ctx: &Context, id: &MachineId) -> Vec<Prefetch> {
        let Some(machine) = self.machines.get_mut(id) else {
            return Vec::new();
        };
        let membership = machine.pool.membership.as_ref();
        let pool = membership.and_then(|m| ctx.config.operator.pools.get(&m.pool));
        let Some(pool) = pool.filter(|_| machine.is_unused_pool_member() && ctx.has_valid_lease)
        else {
            return Vec::new();
        };
        let resend_after_ms = ctx.config.heartbeat_interval_ms * RESEND_AFTER_HEARTBEATS;
        let sent_at = machine.pool.prefetch_sent_at;
        let was_sent_recently = sent_at.is_some_and(|at| ctx.now < at + resend_after_ms);
        if machine.state_for(pool) != PoolState::Fetching || was_sent_recently {
            return Vec::new();
        }
        machine.pool.prefetch_sent_at = Some(ctx.now);
        vec![Prefetch {
            image: pool.image.clone(),
            image_gb: pool.image_gb,
        }]
    }
}

/// Time that a machine may take to fetch a pool's image, in milliseconds.
fn fetch_timeout(machine: &Machine, ctx: &Context, pool: &Pool) -> Ms {
    let fetch_s = pool.image_gb / machine.image_fetch_gb_per_s.max(MIN_FETCH_RATE);
    crate::seconds_to_ms(fetch_s * STALLED_FETCH_FACTOR) + ctx.config.lease_ms
}
