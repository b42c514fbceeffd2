//! Keeps the cluster view up to date, by a listing and then watches.

use super::Node;
use crate::context::{is_watch_lost, revision_of};
use crate::pending_call::PendingCall;
use crate::records::CLUSTER;
use crate::shard::{RecoveryState, Shard};
use crate::store::queue::Urgency;
use crate::Ms;
use forkshift_wire::state::{Changes, Item, Page};

/// Time after which a watch on the cluster's records ends without changes, in milliseconds.
const VIEW_WATCH_MS: Ms = 10_000;

/// Part of the limit on requests to the store that is used for these watches. Without a pause
/// one would be opened with every single change.
const VIEW_WATCH_REQUEST_FRACTION: f64 = 0.2;

/// Pauses before a failed listing, watch or poll is repeated, in milliseconds.
const LIST_RETRY_MS: Ms = 200;
const WATCH_RETRY_MS: Ms = 250;
const POLL_RETRY_MS: Ms = 100;

/// How far the cluster view is in sync with the store, and the calls in flight for it.
#[derive(Default)]
pub(super) struct ViewSync {
    /// Items of the pages that have been read of a listing.
    listed_items: Vec<Item>,
    /// The store's revision at the first page.
    listed_revision: u64,
    is_listing: bool,
    is_watching: bool,
    /// Number of the last watch; the answers to earlier ones do not reopen it.
    watch_serial: u64,
    /// When the next listing or watch may be opened.
    next_watch_at: Ms,
    is_polling: bool,
    next_poll_at: Ms,
    /// The revision of the last conflict: the view must reach it before a retry.
    required_revision: u64,
}

impl Node {
    /// Starts the listing, poll or watch that is due.
    pub(super) fn sync_view(&mut self) {
        if !self.view.is_complete {
            self.list_if_due();
            return;
        }
        self.poll_if_due();
        self.watch_if_due();
    }

    fn list_if_due(&mut self) {
        if !self.view_sync.is_listing && self.ctx.now >= self.view_sync.next_watch_at {
            self.view_sync.is_listing = true;
            self.view_sync.listed_items.clear();
            self.list_view("");
        }
    }

    /// Polls for changes if something waits for a revision that the view has not reached.
    /// Writes of records that the view does not contain raise the store's revision without
    /// ending the watch.
    fn poll_if_due(&mut self) {
        let revision = self.view.revision;
        let is_awaited = |shard: &Shard| matches!(shard.recovery_state, RecoveryState::Waiting(r) if r > revision);
        let is_behind = self.shards.values().any(is_awaited)
            || self.membership.waits_for_view(&self.view)
            || revision < self.view_sync.required_revision;
        let sync = &mut self.view_sync;
        if is_behind && !sync.is_polling && self.ctx.now >= sync.next_poll_at {
            sync.is_polling = true;
            self.ctx
                .watch_store(CLUSTER, revision, 0, PendingCall::ViewPoll);
        }
    }

    fn watch_if_due(&mut self) {
        let sync = &mut self.view_sync;
        if sync.is_watching || self.ctx.now < sync.next_watch_at {
            return;
        }
        sync.is_watching = true;
        sync.watch_serial += 1;
        sync.next_watch_at = self.ctx.now + self.ctx.watch_interval_ms(VIEW_WATCH_REQUEST_FRACTION);
        let serial = sync.watch_serial;
        let revision = self.view.revision;
        let pending = PendingCall::ViewWatch { serial };
        self.ctx
            .watch_store(CLUSTER, revision, VIEW_WATCH_MS, pending);
    }

    /// Reads a page of the cluster's records from behind a key.
    fn list_view(&mut self, from: &str) {
        let mut path = format!("/kv?starts={CLUSTER}&most=500");
        if !from.is_empty() {
            path.push_str(&format!("&from={from}"));
        }
        self.ctx
            .read_store(Urgency::Membership, path, PendingCall::ViewList);
    }

    /// Handles a page of the listing. The view is replaced once all pages have been read.
    pub(super) fn on_view_list(&mut self, status: u16, body: &[u8]) {
        let page: Option<Page> = serde_json::from_slice(body).ok().filter(|_| status == 200);
        let sync = &mut self.view_sync;
        let Some(mut page) = page else {
            sync.is_listing = false;
            sync.next_watch_at = self.ctx.now + LIST_RETRY_MS;
            return;
        };
        if sync.listed_items.is_empty() {
            // The watch continues from the first page, so it shows what changes meanwhile.
            sync.listed_revision = page.revision;
        }
        sync.listed_items.append(&mut page.items);
        if page.has_next {
            if let Some(last) = sync.listed_items.last() {
                let from = last.key.clone();
                self.list_view(&from);
                return;
            }
        }
        sync.is_listing = false;
        let items = std::mem::take(&mut sync.listed_items);
        if sync.listed_revision > self.view.revision || !self.view.is_complete {
            self.view.replace(items, sync.listed_revision);
        }
    }

    /// Handles the answer to a watch. The changes of an earlier watch still count.
    pub(super) fn on_view_watch(&mut self, serial: u64, status: u16, body: &[u8]) {
        let is_current = serial == self.view_sync.watch_serial;
        self.view_sync.is_watching &= !is_current;
        if !self.merge_changes(status, body) && is_current {
            self.view_sync.next_watch_at = self.ctx.now + WATCH_RETRY_MS;
        }
    }

    /// Reopens all watches once the store answers again after a disturbance. The answers to
    /// open ones may be lost, and jobs that were accepted elsewhere meanwhile would wait
    /// until those watches time out.
    pub(super) fn reopen_watches(&mut self) {
        if !self.ctx.store.take_recovered(self.ctx.now) {
            return;
        }
        self.view_sync.is_watching = false;
        for shard in self.shards.values_mut() {
            shard.reopen_watch();
        }
    }

    /// Handles the answer to a poll.
    pub(super) fn on_view_poll(&mut self, status: u16, body: &[u8]) {
        self.view_sync.is_polling = false;
        if !self.merge_changes(status, body) {
            self.view_sync.next_poll_at = self.ctx.now + POLL_RETRY_MS;
        }
    }

    /// Applies the changes in the answer to a watch or poll. Returns false if it failed.
    fn merge_changes(&mut self, status: u16, body: &[u8]) -> bool {
        match serde_json::from_slice::<Changes>(body) {
            Ok(changes) if status == 200 => self.view.apply(changes.events, changes.revision),
            // The listing starts over.
            _ if is_watch_lost(status) => self.view.is_complete = false,
            _ => return false,
        }
        true
    }

    /// After a conflict the view is behind the store, and must catch up before a retry.
    pub(super) fn require_revision_on_conflict(&mut self, status: u16, body: &[u8]) {
        if status == 409 {
            let required = &mut self.view_sync.required_revision;
            *required = revision_of(body).max(*required);
        }
    }
}
