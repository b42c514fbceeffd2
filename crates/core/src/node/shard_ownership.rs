//! The shards that are held here: they follow the records that the view shows.

use super::Node;
use crate::context::revision_of;
use crate::records::ShardId;
use crate::shard::{hand_over, Shard};
use crate::Ms;

/// A handover whose request has no answer is tried again after this, in milliseconds.
const RETRY_MS: Ms = 1_000;

/// A handover that was asked for.
pub(super) struct Handover {
    /// It is not asked for again before this.
    retry_at: Ms,
    /// Nor before the view shows this revision, at which the service answered.
    answered_at: u64,
}

impl Node {
    /// Takes up shards that became ours, lets go of those that are not.
    pub(super) fn follow_shard_records(&mut self) {
        let node = self.ctx.config.node.clone();
        let incarnation = self.ctx.incarnation;
        let mut handing = Vec::new();
        let relief = self.handover_target();
        for (k, versioned) in &self.view.shards {
            let record = &versioned.record;
            if record.holder != node || record.holder_incarnation != incarnation {
                if let Some(shard) = self.shards.remove(k) {
                    log::info!("shard {k}: now with {}", record.holder);
                    shard.release(&mut self.ctx);
                }
                continue;
            }
            if let Some(shard) = self.shards.get_mut(k) {
                if shard.epoch == record.epoch && !shard.must_reload {
                    shard.version = versioned.version;
                    if let Some(to) = &relief {
                        // Calls to machines that we do not hear end late; the
                        // next holder's tokens make them void.
                        handing.push((*k, to.clone()));
                    } else if let Some(to) = record.handover_to.as_ref().filter(|w| **w != node) {
                        if self.view.nodes.contains_key(to) && shard.is_quiet() {
                            handing.push((*k, to.clone()));
                        }
                    }
                    continue;
                }
            }
            if let Some(shard) = self.shards.remove(k) {
                shard.release(&mut self.ctx);
            }
            let used = self.used_epochs.get(k).copied().unwrap_or(0);
            if record.epoch > used {
                self.used_epochs.insert(*k, record.epoch);
                let shard = Shard::new(&mut self.ctx, *k, record.epoch, versioned.version);
                self.shards.insert(*k, shard);
            } else {
                // What we knew under this epoch is gone. Its tokens are not
                // used again: a new epoch is taken first.
                handing.push((*k, node.clone()));
            }
        }
        for (k, to) in handing {
            if self.is_handover_pending(k) {
                continue;
            }
            let handover = Handover {
                retry_at: self.ctx.now + RETRY_MS,
                answered_at: 0,
            };
            self.handovers.insert(k, handover);
            // From here on we answer for the shard no more, whatever becomes
            // of the request.
            if let Some(shard) = self.shards.remove(&k) {
                shard.release(&mut self.ctx);
            }
            hand_over(&mut self.ctx, &self.view, &[(k, to)]);
        }
    }

    /// Whether a handover of a shard is under way, or its outcome is not seen yet.
    fn is_handover_pending(&self, k: ShardId) -> bool {
        self.handovers.get(&k).is_some_and(|handover| {
            self.ctx.now < handover.retry_at || self.view.revision < handover.answered_at
        })
    }

    /// A handover was answered. Until the view shows what the answer rests on, its
    /// versions are old: the same request would fail again and again, as fast as
    /// the service answers, and use up the changes of all controllers.
    pub(super) fn on_handed_over(&mut self, shards: &[ShardId], status: u16, body: &[u8]) {
        if !matches!(status, 200 | 409) {
            return;
        }
        self.require_revision_on_conflict(status, body);
        for k in shards {
            if let Some(handover) = self.handovers.get_mut(k) {
                handover.retry_at = self.ctx.now;
                handover.answered_at = revision_of(body);
            }
        }
    }
}

#[cfg(test)]
mod tests;
