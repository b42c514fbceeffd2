//! The shares that are held here: they follow the records that the view shows.

use super::Node;
use crate::share::{hand_over, Share};

impl Node {
    /// Takes up shares that became ours, lets go of those that are not.
    pub(super) fn follow_shares(&mut self) {
        let node = self.ctx.cfg.node.clone();
        let inc = self.ctx.inc;
        let mut handing = Vec::new();
        let relief = self.relief();
        for (k, stamped) in &self.view.shares {
            let rec = &stamped.rec;
            if rec.holder != node || rec.inc != inc {
                if let Some(share) = self.shares.remove(k) {
                    log::info!("share {k}: now with {}", rec.holder);
                    share.release(&mut self.ctx);
                }
                continue;
            }
            if let Some(share) = self.shares.get_mut(k) {
                if share.epoch == rec.epoch && !share.reload {
                    share.version = stamped.version;
                    if let Some(to) = &relief {
                        // Calls to machines that we do not hear end late; the
                        // next holder's tokens make them void.
                        handing.push((*k, to.clone()));
                    } else if let Some(to) = rec.want.as_ref().filter(|w| **w != node) {
                        if self.view.nodes.contains_key(to) && share.is_quiet() {
                            handing.push((*k, to.clone()));
                        }
                    }
                    continue;
                }
            }
            if let Some(share) = self.shares.remove(k) {
                share.release(&mut self.ctx);
            }
            let used = self.used.get(k).copied().unwrap_or(0);
            if rec.epoch > used {
                self.used.insert(*k, rec.epoch);
                let share = Share::new(&mut self.ctx, *k, rec.epoch, stamped.version);
                self.shares.insert(*k, share);
            } else {
                // What we knew under this epoch is gone. Its tokens are not
                // used again: a new epoch is taken first.
                handing.push((*k, node.clone()));
            }
        }
        for (k, to) in handing {
            let at = self.moving.get(&k).copied().unwrap_or(0);
            if self.ctx.now < at {
                continue;
            }
            self.moving.insert(k, self.ctx.now + 1_000);
            // From here on we answer for the share no more, whatever becomes
            // of the request.
            if let Some(share) = self.shares.remove(&k) {
                share.release(&mut self.ctx);
            }
            hand_over(&mut self.ctx, &self.view, &[(k, to)]);
        }
    }
}
