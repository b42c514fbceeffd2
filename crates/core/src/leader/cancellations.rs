//! Removal of cancellation requests that nobody has removed in time.

use super::Leader;
use crate::context::Context;
use crate::records::cancellation_key;
use crate::shard::remove_key;
use crate::store::view::ClusterView;
use crate::Ms;
use forkshift_wire::JobId;
use std::collections::BTreeMap;

/// A cancellation that waits for the holder of its job.
struct TrackedCancellation {
    /// Version of its key.
    version: u64,
    /// Since when that version has been seen.
    first_seen_at: Ms,
}

/// Cancellations that wait, by job.
#[derive(Default)]
pub(super) struct CancellationTracker {
    tracked: BTreeMap<JobId, TrackedCancellation>,
}

impl Leader {
    /// Removes cancellations that have waited for too long: their jobs have ended
    /// first_seen_at, or the write of the key was carried out late. Users without an
    /// answer repeat the request.
    pub(super) fn remove_stale_cancellations(&mut self, ctx: &mut Context, view: &ClusterView) {
        let known = std::mem::take(&mut self.cancellations.tracked);
        for (id, &version) in &view.cancellations {
            let seen = known.get(id).filter(|known| known.version == version);
            let first_seen_at = seen.map_or(ctx.now, |known| known.first_seen_at);
            if ctx.now > first_seen_at + ctx.config.cancellation_timeout_ms {
                remove_key(ctx, cancellation_key(id), version);
            } else {
                let tracked = TrackedCancellation {
                    version,
                    first_seen_at,
                };
                self.cancellations.tracked.insert(id.clone(), tracked);
            }
        }
    }
}
