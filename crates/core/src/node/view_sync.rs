//! Keeps the copy of what all controllers share up to date, by a listing and a
//! watch.

use super::Node;
use crate::context::{is_watch_lost, revision_of};
use crate::pending_call::PendingCall;
use crate::records::CLUSTER;
use crate::shard::{Phase, Shard};
use crate::store::queue::Urgency;
use crate::Ms;
use forkshift_wire::state::{Changes, Page};

/// Longest wait of the watch on what all controllers share.
const WATCH_MS: Ms = 10_000;

/// The part of the requests to the state service that goes into that watch:
/// without a pause it would be opened anew with every single change.
const WATCH_PART: f64 = 0.2;

impl Node {
    /// Keeps the view up to date.
    pub(super) fn follow_view(&mut self) {
        let now = self.ctx.now;
        if !self.view.is_complete {
            if !self.is_listing && now >= self.watch_at {
                self.is_listing = true;
                self.listed_items.clear();
                self.list("");
            }
            return;
        }
        // Changes elsewhere in the service do not end the watch, so the view
        // may stay behind a revision that something waits for.
        let behind = |s: &Shard| matches!(s.phase, Phase::Waiting(r) if r > self.view.revision);
        let wanting = self.shards.values().any(behind)
            || self.membership.waits_for_view(&self.view)
            || self.view.revision < self.required_revision;
        if wanting && !self.is_polling_changes && now >= self.poll_changes_at {
            self.is_polling_changes = true;
            self.ctx
                .watch_store(CLUSTER, self.view.revision, 0, PendingCall::ViewPoll);
        }
        if !self.is_watching && now >= self.watch_at {
            self.is_watching = true;
            self.watch_serial += 1;
            self.watch_at = now + self.ctx.watch_pause(WATCH_PART);
            let revision = self.view.revision;
            let pending = PendingCall::ViewWatch {
                serial: self.watch_serial,
            };
            self.ctx.watch_store(CLUSTER, revision, WATCH_MS, pending);
        }
    }

    pub(super) fn list(&mut self, from: &str) {
        let mut path = format!("/kv?starts={CLUSTER}&most=500");
        if !from.is_empty() {
            path.push_str(&format!("&from={from}"));
        }
        self.ctx
            .read_store(Urgency::Membership, path, PendingCall::ViewList);
    }

    pub(super) fn on_view_list(&mut self, status: u16, body: &[u8]) {
        let page: Option<Page> = serde_json::from_slice(body).ok().filter(|_| status == 200);
        let Some(mut page) = page else {
            self.is_listing = false;
            self.watch_at = self.ctx.now + 200;
            return;
        };
        if self.listed_items.is_empty() {
            // What changes while the pages are read is shown by the watch.
            self.listed_revision = page.revision;
        }
        self.listed_items.append(&mut page.items);
        if page.has_next {
            if let Some(last) = self.listed_items.last() {
                let from = last.key.clone();
                self.list(&from);
                return;
            }
        }
        self.is_listing = false;
        let items = std::mem::take(&mut self.listed_items);
        if self.listed_revision > self.view.revision || !self.view.is_complete {
            self.view.replace(items, self.listed_revision);
        }
    }

    pub(super) fn on_view_watch(&mut self, serial: u64, status: u16, body: &[u8]) {
        let is_current = serial == self.watch_serial;
        self.is_watching &= !is_current;
        if !self.take_changes(status, body) && is_current {
            self.watch_at = self.ctx.now + 250;
        }
    }

    /// Opens all watches anew if the state service was not reached for a while
    /// and answers again: those that were open may have lost their answers, and
    /// would be waited for until they time out. Jobs that were accepted
    /// elsewhere meanwhile once waited for that long.
    pub(super) fn reopen_watches(&mut self) {
        if !self.ctx.store.take_recovered(self.ctx.now) {
            return;
        }
        self.is_watching = false;
        for shard in self.shards.values_mut() {
            shard.reopen_watch();
        }
    }

    pub(super) fn on_view_poll(&mut self, status: u16, body: &[u8]) {
        self.is_polling_changes = false;
        if !self.take_changes(status, body) {
            self.poll_changes_at = self.ctx.now + 100;
        }
    }

    /// Takes in what a watch has shown. Returns false if it failed.
    pub(super) fn take_changes(&mut self, status: u16, body: &[u8]) -> bool {
        match serde_json::from_slice::<Changes>(body) {
            Ok(changes) if status == 200 => self.view.apply(changes.events, changes.revision),
            // All is read again, in pages.
            _ if is_watch_lost(status) => self.view.is_complete = false,
            _ => return false,
        }
        true
    }

    /// A condition did not hold: the view has missed something, and must see
    /// it before the next try.
    pub(super) fn require_revision_on_conflict(&mut self, status: u16, body: &[u8]) {
        if status == 409 {
            self.required_revision = self.required_revision.max(revision_of(body));
        }
    }
}
