//! Listing of a shard's unfinished jobs, and the watch for new ones.
//!
//! After this controller was assigned the shard, it lists the jobs' records page by
//! page. A watch that starts at the revision of the first page then shows the jobs
//! that other controllers accept for the shard.

use super::{RecoveryState, Shard};
use crate::context::{is_watch_lost, Context};
use crate::pending_call::PendingCall;
use crate::records::{unfinished_jobs_prefix, JobHeadRecord, TaskBlockRecord};
use crate::store::queue::Urgency;
use crate::Ms;
use forkshift_wire::state::{Change, Changes, Item, Page};
use forkshift_wire::JobId;
use serde_json::{from_value, Value};
use std::collections::HashMap;

/// Fraction of the key-value store's request rate limit that all controllers
/// together spend on watches of their shards' jobs.
const WATCH_RATE_FRACTION: f64 = 0.1;
/// Least pause between the end of a watch and the next one of the shard, in
/// milliseconds. A watch also shows the shard's own writes; the pause lets several
/// of them share one response.
const MIN_WATCH_INTERVAL_MS: Ms = 200;
/// Time after which the store ends a watch without changes, in milliseconds.
const WATCH_HOLD_MS: u64 = 10_000;
/// Pause before the jobs are listed again after a failure, in milliseconds. Without
/// the pause, a controller whose requests were refused during a recovery repeated
/// them as fast as the store refused them.
const RELIST_PAUSE_MS: Ms = 200;
/// Upper bound on the records in one page of the listing.
const MAX_PAGE_ITEMS: u32 = 400;

/// State of the listing and of the watch of a shard's unfinished jobs.
///
/// Times are in milliseconds of the steady clock.
#[derive(Default)]
pub(super) struct JobsWatch {
    /// Revision of the store up to which this controller has seen all changes to the
    /// records; 0 before the first page.
    revision: u64,
    /// Listed records, kept until the shard becomes active.
    loaded_items: Vec<Item>,
    /// When the records are to be listed again; none unless the listing failed.
    relist_at: Option<Ms>,
    /// Whether a watch is in flight.
    is_open: bool,
    /// Number of the newest watch. The late end of an abandoned watch has a lower
    /// number and doesn't change `is_open`.
    serial: u64,
    /// The earliest time at which the next watch may be opened.
    next_open_at: Ms,
    /// Finished jobs and the revisions at which their heads were removed. The watch
    /// may still show earlier versions of those heads.
    removed_jobs: HashMap<JobId, u64>,
}

impl JobsWatch {
    /// Whether the watch has not reached a revision yet.
    pub(super) fn is_behind(&self, revision: u64) -> bool {
        revision > self.revision
    }

    /// Takes the listed records, to restore the jobs from them.
    pub(super) fn take_loaded_items(&mut self) -> Vec<Item> {
        std::mem::take(&mut self.loaded_items)
    }

    /// Records that the head of a finished job was removed at a revision.
    pub(super) fn record_removal(&mut self, id: &JobId, revision: u64) {
        self.removed_jobs.insert(id.clone(), revision);
    }

    /// Whether a version of a job's head precedes the head's removal.
    pub(super) fn is_removed(&self, id: &JobId, head_version: u64) -> bool {
        let removed_at = self.removed_jobs.get(id);
        removed_at.is_some_and(|revision| head_version <= *revision)
    }

    /// Sets the revision up to which the watch has shown all changes, and drops
    /// removals before it: no earlier version of those heads can be shown any more.
    fn advance_to(&mut self, revision: u64) {
        self.revision = self.revision.max(revision);
        let seen = self.revision;
        self.removed_jobs
            .retain(|_, removed_at| *removed_at >= seen);
    }
}

impl Shard {
    /// Requests the page of the jobs' records that follows the key `from`, or the
    /// first page if `from` is empty.
    pub(super) fn list_jobs(&self, ctx: &mut Context, from: &str) {
        let prefix = unfinished_jobs_prefix(self.id);
        let mut path = format!("/kv?starts={prefix}&most={MAX_PAGE_ITEMS}");
        if !from.is_empty() {
            path.push_str(&format!("&from={from}"));
        }
        let (shard, epoch) = (self.id, self.epoch);
        let pending = PendingCall::ShardList { shard, epoch };
        ctx.read_store(Urgency::Membership, path, pending);
    }

    /// Restarts the listing of the jobs once the pause after a failure has passed.
    pub(crate) fn relist_jobs(&mut self, ctx: &mut Context) {
        let is_due = |at: &mut Ms| ctx.now >= *at;
        if self.jobs_watch.relist_at.take_if(is_due).is_some() {
            self.list_jobs(ctx, "");
        }
    }

    /// Handles the response to a listing request: stores the page's records, then
    /// requests the next page or waits for the view to reach the last page's revision.
    pub(crate) fn on_job_list(&mut self, ctx: &mut Context, status: u16, body: &[u8]) {
        let page: Option<Page> = serde_json::from_slice(body).ok().filter(|_| status == 200);
        let watch = &mut self.jobs_watch;
        let Some(mut page) = page else {
            // List all pages again: after the pause, those that were read may be stale.
            watch.loaded_items.clear();
            watch.relist_at = Some(ctx.now + RELIST_PAUSE_MS);
            return;
        };
        if watch.revision == 0 || watch.loaded_items.is_empty() {
            // The watch shows all changes since the first page.
            watch.revision = page.revision;
        }
        watch.loaded_items.append(&mut page.items);
        match watch.loaded_items.last() {
            Some(last) if page.has_next => {
                let from = last.key.clone();
                self.list_jobs(ctx, &from);
            }
            _ => self.recovery_state = RecoveryState::AwaitingView(page.revision),
        }
    }

    /// Opens a watch for the jobs that other controllers accept for the shard, unless
    /// one is open, the listing has not begun, or the pause has not passed.
    pub(crate) fn watch_jobs(&mut self, ctx: &mut Context) {
        let watch = &mut self.jobs_watch;
        if watch.is_open || watch.revision == 0 || ctx.now < watch.next_open_at {
            return;
        }
        watch.is_open = true;
        watch.serial += 1;
        watch.next_open_at = ctx.now + ctx.watch_interval_ms(WATCH_RATE_FRACTION);
        let pending = PendingCall::ShardWatch {
            shard: self.id,
            epoch: self.epoch,
            serial: watch.serial,
        };
        let prefix = unfinished_jobs_prefix(self.id);
        ctx.watch_store(&prefix, watch.revision, WATCH_HOLD_MS, pending);
    }

    /// Abandons the open watch, so that [`Self::watch_jobs`] opens another.
    pub(crate) fn reopen_watch(&mut self) {
        self.jobs_watch.is_open = false;
    }

    /// Handles the end of a watch, which may have shown changes. If the store can't
    /// return the changes since the watch's revision, because they are too old or too
    /// many, the shard must be reloaded.
    pub(crate) fn on_jobs_watch(
        &mut self,
        ctx: &mut Context,
        serial: u64,
        status: u16,
        body: &[u8],
    ) {
        let watch = &mut self.jobs_watch;
        watch.is_open &= serial != watch.serial;
        watch.next_open_at = watch.next_open_at.max(ctx.now + MIN_WATCH_INTERVAL_MS);
        if is_watch_lost(status) {
            self.must_reload = true;
        }
        let changes: Option<Changes> = serde_json::from_slice(body).ok().filter(|_| status == 200);
        let Some(changes) = changes else { return };
        for event in changes.events {
            if let Change::Put {
                key,
                value,
                version,
            } = event
            {
                self.on_job_put(ctx, &key, value, version);
            }
        }
        self.jobs_watch.advance_to(changes.revision);
    }

    /// Handles a written record that the watch has shown: adds the job if the record
    /// is the head of a new one.
    fn on_job_put(&mut self, ctx: &mut Context, key: &str, value: Value, version: u64) {
        let prefix = unfinished_jobs_prefix(self.id);
        let Some(name) = key.strip_prefix(&prefix) else {
            return;
        };
        let id = JobId::new(name);
        let is_block = name.contains('/');
        if is_block || !self.jobs_watch.is_behind(version) || self.jobs.contains_key(&id) {
            return;
        }
        // Other controllers write only heads of new jobs. A head that is cancelled or
        // has recorded tasks is an earlier write of this controller, and its job may
        // be finished by now.
        let head = from_value::<JobHeadRecord>(value).ok();
        let head = head.filter(|h| !h.cancelled && h.block == TaskBlockRecord::default());
        if let Some(head) = head {
            self.add_job(ctx, head.spec, None, head.submitted_at_ms, version);
        }
    }
}
