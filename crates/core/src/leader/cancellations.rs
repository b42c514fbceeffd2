//! Removal of stale cancellation requests: those that the holder of the job has not
//! removed in time.

use super::Leader;
use crate::context::Context;
use crate::records::cancellation_key;
use crate::shard::remove_key;
use crate::store::view::ClusterView;
use crate::Ms;
use forkshift_wire::JobId;
use std::collections::BTreeMap;

/// A pending cancellation request.
struct TrackedCancellation {
    /// Version of the request's key.
    version: u64,
    /// When this leader first saw this version.
    first_seen_at: Ms,
}

/// Pending cancellation requests, by job.
#[derive(Default)]
pub(super) struct CancellationTracker {
    tracked: BTreeMap<JobId, TrackedCancellation>,
}

impl Leader {
    /// Removes cancellation requests that are older than the timeout: their jobs have ended
    /// in the meantime, or the store carried out the write of the key late. A user
    /// who received no response repeats the request.
    pub(super) fn remove_stale_cancellations(&mut self, ctx: &mut Context, view: &ClusterView) {
        let previous = std::mem::take(&mut self.cancellations.tracked);
        for (id, &version) in &view.cancellations {
            let earlier = previous
                .get(id)
                .filter(|earlier| earlier.version == version);
            let first_seen_at = earlier.map_or(ctx.now, |earlier| earlier.first_seen_at);
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
