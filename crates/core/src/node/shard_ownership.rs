//! Shard ownership: acquires the shards that their records assign to this controller, releases
//! the others, and requests handovers.
//!
//! A handover is a transaction that assigns a shard to another controller under a new epoch.

use super::Node;
use crate::context::{revision_of, Context};
use crate::records::{ShardId, ShardRecord};
use crate::shard::{hand_over_shards, Shard};
use crate::store::view::{ClusterView, Versioned};
use crate::Ms;
use forkshift_wire::NodeName;
use std::collections::BTreeMap;

/// Time after which a handover request without an answer is retried, in milliseconds.
const HANDOVER_RETRY_MS: Ms = 1_000;

/// A requested handover, and the conditions for requesting it again.
pub(super) struct PendingHandover {
    /// The earliest time of the next request.
    retry_at: Ms,
    /// The revision that the view must have reached before the next request: that of the
    /// last answer, 0 before an answer.
    required_revision: u64,
}

impl Node {
    /// Acquires the shards that the view assigns to this incarnation, releases all others, and
    /// requests the handovers that are due.
    pub(super) fn reconcile_shard_ownership(&mut self) {
        let isolation_target = self.handover_target();
        let mut handovers: Vec<(ShardId, NodeName)> = Vec::new();
        let Node {
            ctx,
            view,
            shards,
            used_epochs,
            ..
        } = self;
        for (id, versioned) in &view.shards {
            let record = &versioned.record;
            if !is_assigned_here(record, ctx) {
                if let Some(shard) = shards.remove(id) {
                    log::info!(
                        "shard {id}: released, as it is assigned to {}",
                        record.holder
                    );
                    shard.release(ctx);
                }
                continue;
            }
            let held = shards.get_mut(id);
            let current = held.filter(|s| s.epoch == record.epoch && !s.must_reload);
            let next_holder = match current {
                Some(shard) => {
                    shard.version = versioned.version;
                    next_holder(shard, record, isolation_target.as_ref(), ctx, view)
                }
                None => acquire(*id, versioned, ctx, shards, used_epochs),
            };
            handovers.extend(next_holder.map(|node| (*id, node)));
        }
        for (id, node) in handovers {
            self.request_handover(id, node);
        }
    }

    /// Requests a handover, unless one is pending. The shard is released at once, whatever the
    /// answer will be.
    fn request_handover(&mut self, id: ShardId, to: NodeName) {
        if self.is_handover_pending(id) {
            return;
        }
        let handover = PendingHandover {
            retry_at: self.ctx.now + HANDOVER_RETRY_MS,
            required_revision: 0,
        };
        self.handovers.insert(id, handover);
        if let Some(shard) = self.shards.remove(&id) {
            shard.release(&mut self.ctx);
        }
        hand_over_shards(&mut self.ctx, &self.view, &[(id, to)]);
    }

    /// Whether a handover of a shard is in flight, or the view does not show its outcome yet.
    fn is_handover_pending(&self, id: ShardId) -> bool {
        self.handovers.get(&id).is_some_and(|handover| {
            self.ctx.now < handover.retry_at || self.view.revision < handover.required_revision
        })
    }

    /// Processes the answer to a handover request; statuses other than success and conflict
    /// leave the retry timeout in place. Until the view has reached the answer's revision, the
    /// record versions in the view are stale: the same request would conflict repeatedly, as
    /// fast as the store answers, and exhaust the request budget.
    pub(super) fn on_handover_written(&mut self, shards: &[ShardId], status: u16, body: &[u8]) {
        if !matches!(status, 200 | 409) {
            return;
        }
        self.require_revision_on_conflict(status, body);
        for id in shards {
            if let Some(handover) = self.handovers.get_mut(id) {
                handover.retry_at = self.ctx.now;
                handover.required_revision = revision_of(body);
            }
        }
    }
}

/// Whether a shard is assigned to this incarnation of this controller.
fn is_assigned_here(record: &ShardRecord, ctx: &Context) -> bool {
    record.holder == ctx.config.node && record.holder_incarnation == ctx.incarnation
}

/// The controller that a shard held here should be handed over to, if any. While this
/// controller is isolated, that is `isolation_target`, and the handover does not wait for calls
/// in flight: they may take long to end, and the next holder's fencing tokens make them
/// ineffective.
fn next_holder(
    shard: &Shard,
    record: &ShardRecord,
    isolation_target: Option<&NodeName>,
    ctx: &Context,
    view: &ClusterView,
) -> Option<NodeName> {
    if isolation_target.is_some() {
        return isolation_target.cloned();
    }
    let requested = record.handover_to.as_ref();
    let other = requested.filter(|node| **node != ctx.config.node)?;
    let is_possible = view.nodes.contains_key(other) && shard.has_no_calls_in_flight();
    is_possible.then(|| other.clone())
}

/// Acquires a shard under the epoch in its record, and drops its state under an earlier epoch.
///
/// If the epoch was used here before, the state that belongs to it is lost. Its fencing tokens
/// must not be issued again, so the shard is not acquired, and this controller is returned as
/// the target of a handover under a new epoch.
fn acquire(
    id: ShardId,
    versioned: &Versioned<ShardRecord>,
    ctx: &mut Context,
    shards: &mut BTreeMap<ShardId, Shard>,
    used_epochs: &mut BTreeMap<ShardId, u64>,
) -> Option<NodeName> {
    if let Some(shard) = shards.remove(&id) {
        shard.release(ctx);
    }
    let epoch = versioned.record.epoch;
    let last_used = used_epochs.get(&id).copied().unwrap_or(0);
    if epoch <= last_used {
        return Some(ctx.config.node.clone());
    }
    used_epochs.insert(id, epoch);
    let shard = Shard::new(ctx, id, epoch, versioned.version);
    shards.insert(id, shard);
    None
}

#[cfg(test)]
mod tests;
