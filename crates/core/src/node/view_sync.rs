//! Keeps the cluster view in sync with the key-value store: an initial listing, then watches.
//! Polls supplement the watch while a known revision has not reached the view.

use super::Node;
use crate::context::{is_watch_lost, revision_of};
use crate::pending_call::PendingCall;
use crate::records::CLUSTER_PREFIX;
use crate::shard::{RecoveryState, Shard};
use crate::store::queue::Urgency;
use crate::Ms;
use forkshift_wire::state::{Changes, Item, Page};

/// Time after which the store ends a watch on the cluster's records that has no changes, in
/// milliseconds.
const VIEW_WATCH_MS: Ms = 10_000;

/// Fraction of the store's request limit that the view watches of all controllers may use.
/// Without this limit, every single change would cause a new watch request.
const VIEW_WATCH_REQUEST_FRACTION: f64 = 0.2;

/// Delays before a failed listing, watch or poll is retried, in milliseconds.
const LIST_RETRY_MS: Ms = 200;
const WATCH_RETRY_MS: Ms = 250;
const POLL_RETRY_MS: Ms = 100;

/// The state of the calls that keep the cluster view in sync.
#[derive(Default)]
pub(super) struct ViewSync {
    /// Items of the listing's pages read so far.
    listed_items: Vec<Item>,
    /// The store's revision as of the listing's first page.
    listed_revision: u64,
    is_listing: bool,
    is_watching: bool,
    /// Number of the last watch. Answers to earlier watches do not reopen it.
    watch_serial: u64,
    /// When the next listing or watch may be opened.
    next_watch_at: Ms,
    is_polling: bool,
    next_poll_at: Ms,
    /// The highest revision of a conflict: the view polls until it has reached this revision.
    required_revision: u64,
}

impl Node {
    /// Starts the listing, or the poll and watch, that are due.
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

    /// Polls for changes if a shard, the registration or a retry after a conflict requires a
    /// revision that the view has not reached. The watch alone is not sufficient: writes of
    /// records outside of the view raise the store's revision without ending the watch.
    fn poll_if_due(&mut self) {
        let revision = self.view.revision;
        let is_awaited = |shard: &Shard| matches!(shard.recovery_state, RecoveryState::AwaitingView(r) if r > revision);
        let is_behind = self.shards.values().any(is_awaited)
            || self.membership.waits_for_view(&self.view)
            || revision < self.view_sync.required_revision;
        let sync = &mut self.view_sync;
        if is_behind && !sync.is_polling && self.ctx.now >= sync.next_poll_at {
            sync.is_polling = true;
            self.ctx
                .watch_store(CLUSTER_PREFIX, revision, 0, PendingCall::ViewPoll);
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
            .watch_store(CLUSTER_PREFIX, revision, VIEW_WATCH_MS, pending);
    }

    /// Requests a page of the cluster's records whose keys follow `from`; the first page if it
    /// is empty.
    fn list_view(&mut self, from: &str) {
        let mut path = format!("/kv?starts={CLUSTER_PREFIX}&most=500");
        if !from.is_empty() {
            path.push_str(&format!("&from={from}"));
        }
        self.ctx
            .read_store(Urgency::Membership, path, PendingCall::ViewList);
    }

    /// Processes a page of the listing. The view is replaced once all pages have been read.
    pub(super) fn on_view_list(&mut self, status: u16, body: &[u8]) {
        let page: Option<Page> = serde_json::from_slice(body).ok().filter(|_| status == 200);
        let sync = &mut self.view_sync;
        let Some(mut page) = page else {
            sync.is_listing = false;
            sync.next_watch_at = self.ctx.now + LIST_RETRY_MS;
            return;
        };
        if sync.listed_items.is_empty() {
            // The watch starts from the first page's revision, so it also delivers changes that
            // are made while the other pages are read.
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
            self.view.replace_all(items, sync.listed_revision);
        }
    }

    /// Processes the answer to a watch. Changes delivered by an earlier watch are merged too.
    pub(super) fn on_view_watch(&mut self, serial: u64, status: u16, body: &[u8]) {
        let is_current = serial == self.view_sync.watch_serial;
        self.view_sync.is_watching &= !is_current;
        if !self.merge_changes(status, body) && is_current {
            self.view_sync.next_watch_at = self.ctx.now + WATCH_RETRY_MS;
        }
    }

    /// Reopens all watches once the store has recovered from an outage. The answers to open
    /// watches may be lost, and jobs that another controller accepted meanwhile would not be
    /// seen until those watches time out.
    pub(super) fn reopen_watches(&mut self) {
        if !self.ctx.store.take_recovered(self.ctx.now) {
            return;
        }
        self.view_sync.is_watching = false;
        for shard in self.shards.values_mut() {
            shard.reopen_watch();
        }
    }

    /// Processes the answer to a poll.
    pub(super) fn on_view_poll(&mut self, status: u16, body: &[u8]) {
        self.view_sync.is_polling = false;
        if !self.merge_changes(status, body) {
            self.view_sync.next_poll_at = self.ctx.now + POLL_RETRY_MS;
        }
    }

    /// Merges the changes in the answer to a watch or poll into the view. Returns false if the
    /// call failed and is to be retried.
    fn merge_changes(&mut self, status: u16, body: &[u8]) -> bool {
        match serde_json::from_slice::<Changes>(body) {
            Ok(changes) if status == 200 => {
                self.view.apply_changes(changes.events, changes.revision);
            }
            // The view is listed anew.
            _ if is_watch_lost(status) => self.view.is_complete = false,
            _ => return false,
        }
        true
    }

    /// Requires the view to reach the revision of a conflict (409): the conflict shows that the
    /// view is behind the store.
    pub(super) fn require_revision_on_conflict(&mut self, status: u16, body: &[u8]) {
        if status == 409 {
            let required = &mut self.view_sync.required_revision;
            *required = revision_of(body).max(*required);
        }
    }
}
