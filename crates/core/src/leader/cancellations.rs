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
struct WaitingCancellation {
    /// Version of its key.
    version: u64,
    /// Since when that version has been seen.
    since: Ms,
}

/// Cancellations that wait, by job.
#[derive(Default)]
pub(super) struct CancellationTracker {
    waiting: BTreeMap<JobId, WaitingCancellation>,
}

impl Leader {
    /// Removes cancellations that have waited for too long: their jobs have ended
    /// since, or the write of the key was carried out late. Users without an
    /// answer repeat the request.
    pub(super) fn remove_stale_cancellations(&mut self, ctx: &mut Context, view: &ClusterView) {
        let known = std::mem::take(&mut self.cancellations.waiting);
        for (id, &version) in &view.cancellations {
            let seen = known.get(id).filter(|known| known.version == version);
            let since = seen.map_or(ctx.now, |known| known.since);
            if ctx.now > since + ctx.config.cancellation_timeout_ms {
                remove_key(ctx, cancellation_key(id), version);
            } else {
                let waiting = WaitingCancellation { version, since };
                self.cancellations.waiting.insert(id.clone(), waiting);
            }
        }
    }
}
