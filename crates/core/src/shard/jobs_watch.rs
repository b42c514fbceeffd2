//! The list of a shard's unfinished jobs, and the watch that keeps it current.
//!
//! After a change of holder the jobs' records are listed page by page. A watch
//! from the revision of the first page then shows the jobs that other
//! controllers accept.

use super::{RecoveryState, Shard};
use crate::context::{is_watch_lost, Context};
use crate::pending_call::PendingCall;
use crate::records::{unfinished_prefix, JobHeadRecord, TaskBlockRecord};
use crate::store::queue::Urgency;
use crate::Ms;
use forkshift_wire::state::{Change, Changes, Item, Page};
use forkshift_wire::JobId;
use serde_json::{from_value, Value};
use std::collections::HashMap;

/// The part of the key-value store's request rate that goes into watches on
/// the jobs of shards.
const WATCH_RATE_PART: f64 = 0.1;
/// Least pause between two watches of a shard, in milliseconds: the shard's own
/// writes come back through it, and the pause lets them come together.
const MIN_WATCH_GAP_MS: Ms = 200;
/// Time for which the store holds a watch without changes, in milliseconds.
const WATCH_HOLD_MS: u64 = 10_000;
/// Pause before the jobs are listed again after a failure, in milliseconds.
/// Without one, a controller whose requests were refused during a recovery
/// repeated them as fast as they were answered.
const RELIST_PAUSE_MS: Ms = 200;
/// Most records on a page of the list.
const MAX_PAGE_ITEMS: u32 = 400;

/// What is known of the records of a shard's unfinished jobs.
///
/// Times are in milliseconds of the steady clock.
#[derive(Default)]
pub(super) struct JobsWatch {
    /// Revision up to which the records are known; 0 before the first page.
    revision: u64,
    /// Records that were read before the shard is active.
    loaded_items: Vec<Item>,
    /// When the records are to be listed again after a failure.
    relist_at: Option<Ms>,
    /// Whether a watch is open.
    is_open: bool,
    /// Number of the newest watch: the end of an earlier one does not close it.
    serial: u64,
    /// The earliest time at which the next watch may be opened.
    next_open_at: Ms,
    /// Finished jobs, with the revisions that removed them: the watch may still
    /// show their creation.
    removed_jobs: HashMap<JobId, u64>,
}

impl JobsWatch {
    /// Whether the watch has not shown a revision yet.
    pub(super) fn is_behind(&self, revision: u64) -> bool {
        revision > self.revision
    }

    /// Takes the records that were read before the shard is active.
    pub(super) fn take_loaded_items(&mut self) -> Vec<Item> {
        std::mem::take(&mut self.loaded_items)
    }

    /// Notes that a finished job was removed at a revision.
    pub(super) fn note_removed(&mut self, id: &JobId, revision: u64) {
        self.removed_jobs.insert(id.clone(), revision);
    }

    /// Whether this version of a job's head is older than its removal.
    pub(super) fn is_removed(&self, id: &JobId, head_version: u64) -> bool {
        let removed_at = self.removed_jobs.get(id);
        removed_at.is_some_and(|revision| head_version <= *revision)
    }

    /// Notes that all changes up to a revision were shown.
    fn advance_to(&mut self, revision: u64) {
        self.revision = self.revision.max(revision);
        let shown = self.revision;
        self.removed_jobs
            .retain(|_, removed_at| *removed_at >= shown);
    }
}

impl Shard {
    /// Reads a page of the jobs' records, from behind a key; empty: the first.
    pub(super) fn list_jobs(&self, ctx: &mut Context, from: &str) {
        let prefix = unfinished_prefix(self.id);
        let mut path = format!("/kv?starts={prefix}&most={MAX_PAGE_ITEMS}");
        if !from.is_empty() {
            path.push_str(&format!("&from={from}"));
        }
        let (shard, epoch) = (self.id, self.epoch);
        let pending = PendingCall::ShardList { shard, epoch };
        ctx.read_store(Urgency::Membership, path, pending);
    }

    /// Lists the jobs again after a failure, when that is due.
    pub(crate) fn relist_jobs(&mut self, ctx: &mut Context) {
        let is_due = |at: &mut Ms| ctx.now >= *at;
        if self.jobs_watch.relist_at.take_if(is_due).is_some() {
            self.list_jobs(ctx, "");
        }
    }

    /// Handles a page of the jobs' records, or the failure to read it.
    pub(crate) fn on_job_list(&mut self, ctx: &mut Context, status: u16, body: &[u8]) {
        let page: Option<Page> = serde_json::from_slice(body).ok().filter(|_| status == 200);
        let watch = &mut self.jobs_watch;
        let Some(mut page) = page else {
            // Start over after a pause: the pages that were read may be old by then.
            watch.loaded_items.clear();
            watch.relist_at = Some(ctx.now + RELIST_PAUSE_MS);
            return;
        };
        if watch.revision == 0 || watch.loaded_items.is_empty() {
            // Changes after the first page are shown by the watch.
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

    /// Keeps a watch open on the shard's jobs, for those that other controllers
    /// accept.
    pub(crate) fn watch_jobs(&mut self, ctx: &mut Context) {
        let watch = &mut self.jobs_watch;
        if watch.is_open || watch.revision == 0 || ctx.now < watch.next_open_at {
            return;
        }
        watch.is_open = true;
        watch.serial += 1;
        watch.next_open_at = ctx.now + ctx.watch_pause(WATCH_RATE_PART);
        let pending = PendingCall::ShardWatch {
            shard: self.id,
            epoch: self.epoch,
            serial: watch.serial,
        };
        let prefix = unfinished_prefix(self.id);
        ctx.watch_store(&prefix, watch.revision, WATCH_HOLD_MS, pending);
    }

    /// Abandons the open watch, so that another is opened.
    pub(crate) fn reopen_watch(&mut self) {
        self.jobs_watch.is_open = false;
    }

    /// Handles the changes that a watch has shown, or its end.
    pub(crate) fn on_jobs_watch(
        &mut self,
        ctx: &mut Context,
        serial: u64,
        status: u16,
        body: &[u8],
    ) {
        let watch = &mut self.jobs_watch;
        watch.is_open &= serial != watch.serial;
        watch.next_open_at = watch.next_open_at.max(ctx.now + MIN_WATCH_GAP_MS);
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

    /// Adds a job whose creation the watch has shown.
    fn on_job_put(&mut self, ctx: &mut Context, key: &str, value: Value, version: u64) {
        let prefix = unfinished_prefix(self.id);
        let Some(name) = key.strip_prefix(&prefix) else {
            return;
        };
        let id = JobId::new(name);
        let is_block = name.contains('/');
        if is_block || !self.jobs_watch.is_behind(version) || self.jobs.contains_key(&id) {
            return;
        }
        // Other controllers write heads of new jobs only. All else is an old
        // write of this holder, of a job that may be finished.
        let head = from_value::<JobHeadRecord>(value).ok();
        let head = head.filter(|h| !h.cancelled && h.block == TaskBlockRecord::default());
        if let Some(head) = head {
            self.add_job(ctx, head.spec, None, head.submitted_at_ms, version);
        }
    }
}
