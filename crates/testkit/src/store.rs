//! A model of the consensus-backed key-value store: leases, compare-and-swap transactions,
//! listings and watches.

mod changes;
mod leases;
mod limits;
mod transactions;

pub(crate) use limits::SizeLimits;

use crate::Ms;
use changes::{Change, Watch};
use forkshift_wire::state::Transaction;
use forkshift_wire::MachineId;
use leases::Leases;
use limits::RateLimiter;
use serde_json::{json, Value};
use std::collections::{BTreeMap, VecDeque};
use std::ops::Bound;
use std::str::FromStr;

/// An HTTP status and a JSON body.
type Response = (u16, Value);

/// Page size of a listing whose request names none.
const DEFAULT_PAGE_ITEMS: usize = 1_000;

struct Entry {
    value: Value,
    /// Revision of the last put, which preconditions of transactions refer to.
    version: u64,
    /// The lease at whose end the entry is removed, if any.
    lease: Option<u64>,
}

/// The store. `W` identifies the senders of watches, to which the responses go.
pub(crate) struct StoreModel<W> {
    entries: BTreeMap<String, Entry>,
    revision: u64,
    leases: Leases,
    change_log: VecDeque<Change>,
    watches: Vec<Watch<W>>,
    pub(crate) is_down: bool,
    /// Number of puts and removals executed so far.
    pub(crate) writes: u64,
    /// Keys and values of all puts since recording began; absent if puts are not recorded.
    pub(crate) recorded_puts: Option<Vec<(String, Value)>>,
    /// Machines whose record was ever marked as decommissioned, with the first reason.
    pub(crate) decommissioned: BTreeMap<MachineId, String>,
    size_limits: SizeLimits,
    /// Number of transactions refused for their size.
    pub(crate) oversized_transactions: u64,
    request_limiter: RateLimiter,
    write_limiter: RateLimiter,
    /// Number of requests beyond the rate limits, and of all requests.
    pub(crate) rate_limit_counts: (u64, u64),
    behavior: StoreBehavior,
}

/// How strictly the model follows the protocol.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StoreBehavior {
    /// Maximum page size of a listing.
    pub(crate) max_page_items: usize,
    /// Whether requests beyond the rate limits are refused with 429. Otherwise they are counted and
    /// executed.
    pub(crate) enforces_limits: bool,
}

impl Default for StoreBehavior {
    /// Small pages, so that controllers have to page even in small deployments, and no refusal of
    /// requests beyond the rate limits.
    fn default() -> Self {
        Self {
            max_page_items: 40,
            enforces_limits: false,
        }
    }
}

/// The value of a query parameter of a path.
fn query_parameter<'a>(path: &'a str, name: &str) -> Option<&'a str> {
    let (_, query) = path.split_once('?')?;
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
}

fn query_number<T: FromStr>(path: &str, name: &str) -> Option<T> {
    query_parameter(path, name)?.parse().ok()
}

fn malformed() -> Response {
    (400, json!({"error": "malformed"}))
}

impl<W> StoreModel<W> {
    pub(crate) fn new(
        rps: f64,
        write_rps: f64,
        size_limits: SizeLimits,
        behavior: StoreBehavior,
    ) -> Self {
        Self {
            entries: BTreeMap::new(),
            revision: 0,
            leases: Leases::default(),
            change_log: VecDeque::new(),
            watches: Vec::new(),
            is_down: false,
            writes: 0,
            recorded_puts: None,
            decommissioned: BTreeMap::new(),
            size_limits,
            oversized_transactions: 0,
            request_limiter: RateLimiter::new(rps),
            write_limiter: RateLimiter::new(write_rps),
            rate_limit_counts: (0, 0),
            behavior,
        }
    }

    /// Entries whose keys have a prefix, in the order of keys.
    pub(crate) fn entries_with_prefix(&self, prefix: &str) -> Vec<(String, Value)> {
        let entries = self.entries.range(prefix.to_owned()..);
        let entries = entries.take_while(|(key, _)| key.starts_with(prefix));
        entries
            .map(|(key, entry)| (key.clone(), entry.value.clone()))
            .collect()
    }

    /// The current value of a key.
    pub(crate) fn value(&self, key: &str) -> Option<&Value> {
        self.entries.get(key).map(|entry| &entry.value)
    }

    /// Replaces the write rate limit and the size limits.
    pub(crate) fn set_limits(&mut self, write_rps: f64, size_limits: SizeLimits) {
        self.write_limiter = RateLimiter::new(write_rps);
        self.size_limits = size_limits;
    }

    /// Begins or ends an outage. Both renew all leases, so that no lease expires during an outage.
    pub(crate) fn set_down(&mut self, is_down: bool, now: Ms) {
        self.is_down = is_down;
        self.leases.renew_all(now);
    }

    /// Processes a request. Returns none if there is no response yet, or never will be: a watch
    /// that waits for a change, or a watch during an outage.
    pub(crate) fn handle(
        &mut self,
        now: Ms,
        method: &str,
        path: &str,
        body: &[u8],
        sender: W,
    ) -> Option<Response> {
        if self.is_down {
            let is_watch = path.starts_with("/changes");
            return (!is_watch).then(|| (503, json!({"error": "outage"})));
        }
        let bare = path.split('?').next().unwrap_or_default();
        let segments: Vec<&str> = bare.trim_start_matches('/').split('/').collect();
        let transaction: Option<serde_json::Result<Transaction>> =
            (segments == ["txn"]).then(|| serde_json::from_slice(body));
        if !self.count_request(now, transaction.as_ref()) && self.behavior.enforces_limits {
            return Some((429, json!({"error": "too many requests"})));
        }
        let response = match (method, segments.as_slice()) {
            ("GET", ["kv"]) => self.list(path),
            ("GET", ["kv", ..]) => self.get(&bare["/kv/".len()..]),
            ("POST", ["txn"]) => match transaction {
                Some(transaction) => self.handle_transaction(body, transaction),
                None => malformed(),
            },
            ("POST", ["grants"]) => self.grant_lease(now, body),
            ("POST", ["grants", id, "extend"]) => self.renew_lease(now, id),
            ("GET", ["changes"]) => return self.watch(now, path, sender),
            _ => malformed(),
        };
        Some(response)
    }

    /// Counts a request against the rate limits. Returns whether it is within them.
    fn count_request(
        &mut self,
        now: Ms,
        transaction: Option<&serde_json::Result<Transaction>>,
    ) -> bool {
        let writes = match transaction {
            Some(Ok(transaction)) => transaction.writes.len(),
            _ => 0,
        };
        let is_within = self.request_limiter.try_take(now, 1.0)
            && self.write_limiter.try_take(now, writes as f64);
        self.rate_limit_counts.0 += u64::from(!is_within);
        self.rate_limit_counts.1 += 1;
        is_within
    }

    fn get(&self, key: &str) -> Response {
        match self.entries.get(key) {
            Some(entry) => (
                200,
                json!({
                    "key": key,
                    "data": entry.value,
                    "stamp": entry.version,
                    "hold": entry.lease,
                }),
            ),
            None => (404, json!({"ledger_rev": self.revision})),
        }
    }

    /// Lists a page of the entries whose keys have a prefix and follow a key.
    fn list(&self, path: &str) -> Response {
        let prefix = query_parameter(path, "starts").unwrap_or_default();
        let after = query_parameter(path, "from").unwrap_or_default();
        let max: usize = query_number(path, "most").unwrap_or(DEFAULT_PAGE_ITEMS);
        let first = match after >= prefix {
            true => Bound::Excluded(after.to_owned()),
            false => Bound::Included(prefix.to_owned()),
        };
        let mut entries = self
            .entries
            .range((first, Bound::Unbounded))
            .take_while(|(key, _)| key.starts_with(prefix));
        let page = entries.by_ref().take(max.min(self.behavior.max_page_items));
        let items: Vec<Value> = page
            .map(|(key, entry)| json!({"key": key, "data": entry.value, "stamp": entry.version}))
            .collect();
        let has_next = entries.next().is_some();
        (
            200,
            json!({"items": items, "has_next": has_next, "ledger_rev": self.revision}),
        )
    }

    /// The incarnations and epochs of the leader and of all shard holders as one text, which changes
    /// with every failover.
    pub(crate) fn leadership_terms(&self) -> String {
        let entries = self.entries.range("c/leader".to_owned()..);
        entries
            .take_while(|(key, _)| key.as_str() < "c/shard")
            .filter(|(key, _)| *key == "c/leader" || key.starts_with("c/share/"))
            .map(|(key, entry)| {
                let value = &entry.value;
                format!("{key}{}{}{}", value["node"], value["inc"], value["epoch"])
            })
            .collect()
    }

    /// Removes the entries of expired leases, and returns the responses to watches that are ready.
    /// Watches of locked-out senders stay open. Nothing happens during an outage.
    pub(crate) fn tick(&mut self, now: Ms, is_locked_out: impl Fn(&W) -> bool) -> Vec<(W, Value)> {
        if self.is_down {
            return Vec::new();
        }
        self.expire_leases(now);
        self.take_ready_watches(now, is_locked_out)
    }
}
