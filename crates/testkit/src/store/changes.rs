//! The log of changes, and watches, which are long polls of that log.

use super::{query_number, query_parameter, Response, StoreModel};
use crate::Ms;
use serde_json::{json, Value};

/// Maximum number of changes in the log. A watch from an earlier revision gets 410 and has to list
/// the entries anew.
pub(super) const MAX_LOG_ENTRIES: usize = 10_000;

/// A put or, if there is no value, a removal.
pub(super) struct Change {
    pub(super) revision: u64,
    pub(super) key: String,
    pub(super) value: Option<Value>,
}

impl Change {
    fn to_json(&self) -> Value {
        let (key, revision) = (&self.key, self.revision);
        match &self.value {
            Some(value) => json!({"put": key, "data": value, "stamp": revision}),
            None => json!({"remove": key, "stamp": revision}),
        }
    }
}

/// A watch without a response yet.
pub(super) struct Watch<W> {
    watcher: W,
    prefix: String,
    /// Changes up to this revision are known to the watcher.
    after_revision: u64,
    /// The watch gets a response without changes at this time.
    expires_at: Ms,
}

impl<W> StoreModel<W> {
    /// Responds to `GET /changes`. Returns none if there is no change yet, and the watch waits.
    pub(super) fn watch(&mut self, now: Ms, path: &str, watcher: W) -> Option<Response> {
        let prefix = query_parameter(path, "starts").unwrap_or_default();
        let after_revision = query_number(path, "from").unwrap_or(0);
        let wait_ms: Ms = query_number(path, "wait_ms").unwrap_or(0);
        if self.is_log_truncated_after(after_revision) {
            return Some((410, json!({})));
        }
        if wait_ms > 0 && !self.has_changed(prefix, after_revision) {
            self.watches.push(Watch {
                watcher,
                prefix: prefix.to_owned(),
                after_revision,
                expires_at: now + wait_ms,
            });
            return None;
        }
        Some((200, self.changes_reply(prefix, after_revision)))
    }

    /// Whether the log may no longer hold all changes after a revision.
    fn is_log_truncated_after(&self, revision: u64) -> bool {
        let first = self.change_log.front();
        first.is_some_and(|change| change.revision > revision + 1)
            && self.change_log.len() >= MAX_LOG_ENTRIES
    }

    /// Removes the watches that have changes or have expired, and returns their responses. Watches
    /// of locked-out senders stay open.
    pub(super) fn take_ready_watches(
        &mut self,
        now: Ms,
        is_locked_out: impl Fn(&W) -> bool,
    ) -> Vec<(W, Value)> {
        let mut ready = Vec::new();
        for watch in std::mem::take(&mut self.watches) {
            let is_ready =
                now >= watch.expires_at || self.has_changed(&watch.prefix, watch.after_revision);
            if is_ready && !is_locked_out(&watch.watcher) {
                let reply = self.changes_reply(&watch.prefix, watch.after_revision);
                ready.push((watch.watcher, reply));
            } else {
                self.watches.push(watch);
            }
        }
        ready
    }

    /// Changes in the log after a revision to keys with a prefix, oldest first.
    fn changes_after<'a>(
        &'a self,
        prefix: &'a str,
        revision: u64,
    ) -> impl Iterator<Item = &'a Change> {
        let log = &self.change_log;
        let first = log.partition_point(|change| change.revision <= revision);
        let later = log.range(first..);
        later.filter(move |change| change.key.starts_with(prefix))
    }

    fn has_changed(&self, prefix: &str, after_revision: u64) -> bool {
        self.changes_after(prefix, after_revision).next().is_some()
    }

    fn changes_reply(&self, prefix: &str, after_revision: u64) -> Value {
        let changes = self.changes_after(prefix, after_revision);
        let changes: Vec<Value> = changes.map(Change::to_json).collect();
        json!({"ledger_rev": self.revision, "news": changes})
    }
}
