//! A stand-in for the state service.

use crate::Ms;
use forkshift_wire::state::{Transaction, Write};
use forkshift_wire::MachineId;
use serde_json::{json, Value};
use std::collections::{BTreeMap, VecDeque};
use std::ops::Bound;

struct Entry {
    value: Value,
    version: u64,
    lease: Option<u64>,
}

/// A watch that waits for a change.
pub(crate) struct Watch<W> {
    pub(crate) watcher: W,
    prefix: String,
    after_revision: u64,
    expires_at: Ms,
}

/// A rate with bursts of one second's worth.
struct RateLimiter {
    rate: f64,
    tokens: f64,
    refilled_at: Ms,
}

impl RateLimiter {
    fn new(rate: f64) -> Self {
        Self {
            rate,
            tokens: rate,
            refilled_at: 0,
        }
    }

    /// Whether so many more are within it.
    fn try_take(&mut self, now: Ms, n: f64) -> bool {
        let gained = now.saturating_sub(self.refilled_at) as f64 / 1000.0 * self.rate;
        self.tokens = (self.tokens + gained).min(self.rate);
        self.refilled_at = now;
        let within = self.tokens >= n;
        if within {
            self.tokens -= n;
        }
        within
    }
}

/// The store; `W` names those who wait at a watch.
pub(crate) struct StoreModel<W> {
    entries: BTreeMap<String, Entry>,
    revision: u64,
    leases: BTreeMap<u64, (Ms, Ms)>,
    next_lease: u64,
    change_log: VecDeque<(u64, String, Option<Value>)>,
    watches: Vec<Watch<W>>,
    pub(crate) is_down: bool,
    /// Puts and deletes so far.
    pub(crate) writes: u64,
    /// What was put so far, if that is kept.
    pub(crate) recorded_puts: Option<Vec<(String, Value)>>,
    /// Machines whose records said that they are given up, and why.
    pub(crate) decommissioned: BTreeMap<MachineId, String>,
    /// Largest value, in bytes, and most changes in a transaction.
    size_limits: SizeLimits,
    /// Transactions that were refused for their size.
    pub(crate) too_large: u64,
    request_limiter: RateLimiter,
    write_limiter: RateLimiter,
    /// Requests beyond the limits, and requests in all.
    pub(crate) over_limit: (u64, u64),
    behavior: StoreBehavior,
}

/// How exactly the stand-in follows the protocol where tests need less or more.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StoreBehavior {
    /// Most records on a page of a listing.
    pub(crate) max_page_items: usize,
    /// Refuses requests beyond the limits with 429, rather than only count them.
    pub(crate) enforces_limits: bool,
}

impl Default for StoreBehavior {
    /// Small pages, so that paging is exercised; requests beyond the limits are
    /// counted and carried out.
    fn default() -> Self {
        Self {
            max_page_items: 40,
            enforces_limits: false,
        }
    }
}

/// Limits on a transaction's size.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SizeLimits {
    pub(crate) value_bytes: usize,
    pub(crate) txn_ops: usize,
}

impl SizeLimits {
    /// What of a transaction goes beyond them.
    fn excess(&self, txn: &Transaction) -> Option<String> {
        if txn.writes.len() > self.txn_ops {
            return Some(format!("{} changes", txn.writes.len()));
        }
        if txn.preconditions.len() > self.txn_ops * MAX_PRECONDITIONS_PER_WRITE {
            return Some(format!("{} conditions", txn.preconditions.len()));
        }
        txn.writes.iter().find_map(|write| match write {
            Write::Put { put, value, .. } if value.to_string().len() > self.value_bytes => {
                Some(format!("{put} is too large"))
            }
            _ => None,
        })
    }
}

/// Conditions that a transaction may have for each change.
const MAX_PRECONDITIONS_PER_WRITE: usize = 4;

/// Largest transaction, in bytes.
const MAX_TRANSACTION_BYTES: usize = 64 * 1024;

/// Changes that are kept for watches.
const MAX_LOG_ENTRIES: usize = 10_000;

fn query_parameter<'a>(path: &'a str, name: &str) -> Option<&'a str> {
    let (_, query) = path.split_once('?')?;
    let mut pairs = query.split('&').filter_map(|p| p.split_once('='));
    pairs.find(|(n, _)| *n == name).map(|(_, v)| v)
}

impl<W> StoreModel<W> {
    pub(crate) fn new(rps: f64, write_rps: f64, sizes: SizeLimits, service: StoreBehavior) -> Self {
        Self {
            size_limits: sizes,
            behavior: service,
            too_large: 0,
            request_limiter: RateLimiter::new(rps),
            write_limiter: RateLimiter::new(write_rps),
            over_limit: (0, 0),
            entries: BTreeMap::new(),
            revision: 0,
            leases: BTreeMap::new(),
            next_lease: 0,
            change_log: VecDeque::new(),
            watches: Vec::new(),
            is_down: false,
            writes: 0,
            recorded_puts: None,
            decommissioned: BTreeMap::new(),
        }
    }

    /// All records below a prefix.
    pub(crate) fn entries_with_prefix(&self, prefix: &str) -> Vec<(String, Value)> {
        let there = self.entries.range(prefix.to_owned()..);
        let there = there.take_while(|(key, _)| key.starts_with(prefix));
        there
            .map(|(key, entry)| (key.clone(), entry.value.clone()))
            .collect()
    }

    /// Lower limits come into force.
    pub(crate) fn set_limits(&mut self, write_rps: f64, sizes: SizeLimits) {
        self.write_limiter = RateLimiter::new(write_rps);
        self.size_limits = sizes;
    }

    /// An outage begins or ends. After it every lease has its full time.
    pub(crate) fn set_down(&mut self, down: bool, now: Ms) {
        self.is_down = down;
        for (ttl, until) in self.leases.values_mut() {
            *until = now + *ttl;
        }
    }

    /// Answers a request; none if the answer is still to come, or never comes.
    pub(crate) fn handle(
        &mut self,
        now: Ms,
        method: &str,
        path: &str,
        body: &[u8],
        who: W,
    ) -> Option<(u16, Value)> {
        if self.is_down {
            let watch = path.starts_with("/changes");
            return (!watch).then(|| (503, json!({"error": "outage"})));
        }
        let bare = path.split('?').next().unwrap_or_default();
        let parts: Vec<&str> = bare.trim_start_matches('/').split('/').collect();
        let txn: Option<serde_json::Result<Transaction>> = match parts.as_slice() {
            ["txn"] => Some(serde_json::from_slice(body)),
            _ => None,
        };
        let writes = match &txn {
            Some(Ok(txn)) => txn.writes.len() as f64,
            _ => 0.0,
        };
        let within =
            self.request_limiter.try_take(now, 1.0) && self.write_limiter.try_take(now, writes);
        self.over_limit.0 += u64::from(!within);
        self.over_limit.1 += 1;
        if !within && self.behavior.enforces_limits {
            return Some((429, json!({"error": "too many requests"})));
        }
        let (status, value) = match (method, parts.as_slice()) {
            ("GET", ["kv"]) => self.list(path),
            ("GET", ["kv", ..]) => self.get(&bare["/kv/".len()..]),
            ("POST", ["txn"]) if body.len() > MAX_TRANSACTION_BYTES => {
                self.too_large += 1;
                (400, json!({"error": "too large"}))
            }
            ("POST", ["txn"]) => match txn {
                Some(Ok(txn)) => self.transact(txn),
                Some(Err(e)) => (400, json!({"error": e.to_string()})),
                None => (400, json!({"error": "malformed"})),
            },
            ("POST", ["grants"]) => {
                let body: Value = serde_json::from_slice(body).unwrap_or_default();
                let ttl = body["life_ms"].as_u64().unwrap_or(1_000);
                self.next_lease += 1;
                self.leases.insert(self.next_lease, (ttl, now + ttl));
                (200, json!({"hold": self.next_lease}))
            }
            ("POST", ["grants", id, "extend"]) => {
                let id: u64 = id.parse().unwrap_or(0);
                match self.leases.get_mut(&id) {
                    Some((ttl, until)) => {
                        *until = now + *ttl;
                        (200, json!({"hold": id}))
                    }
                    None => (404, json!({})),
                }
            }
            ("GET", ["changes"]) => {
                let prefix = query_parameter(path, "starts")
                    .unwrap_or_default()
                    .to_owned();
                let from: u64 = query_parameter(path, "from")
                    .and_then(|v| v.parse().ok())
                    .unwrap_or(0);
                let wait: u64 = query_parameter(path, "wait_ms")
                    .and_then(|v| v.parse().ok())
                    .unwrap_or(0);
                if self
                    .change_log
                    .front()
                    .is_some_and(|(r, _, _)| *r > from + 1)
                    && self.change_log.len() >= MAX_LOG_ENTRIES
                {
                    (410, json!({}))
                } else if wait > 0 && !self.has_changed(&prefix, from) {
                    let until = now + wait;
                    self.watches.push(Watch {
                        watcher: who,
                        prefix,
                        after_revision: from,
                        expires_at: until,
                    });
                    return None;
                } else {
                    (200, self.changes_reply(&prefix, from))
                }
            }
            _ => (400, json!({"error": "malformed"})),
        };
        Some((status, value))
    }

    fn get(&self, key: &str) -> (u16, Value) {
        match self.entries.get(key) {
            Some(e) => (
                200,
                json!({"key": key, "data": e.value, "stamp": e.version, "hold": e.lease}),
            ),
            None => (404, json!({"ledger_rev": self.revision})),
        }
    }

    fn list(&self, path: &str) -> (u16, Value) {
        let prefix = query_parameter(path, "starts").unwrap_or_default();
        let from = query_parameter(path, "from").unwrap_or_default();
        let most: usize = query_parameter(path, "most")
            .and_then(|v| v.parse().ok())
            .unwrap_or(1_000);
        let most = most.min(self.behavior.max_page_items);
        let first = match from >= prefix {
            true => Bound::Excluded(from.to_owned()),
            false => Bound::Included(prefix.to_owned()),
        };
        let mut found = self
            .entries
            .range((first, Bound::Unbounded))
            .take_while(|(k, _)| k.starts_with(prefix));
        let items: Vec<Value> = found
            .by_ref()
            .take(most)
            .map(|(k, e)| json!({"key": k, "data": e.value, "stamp": e.version}))
            .collect();
        let more = found.next().is_some();
        (
            200,
            json!({"items": items, "has_next": more, "ledger_rev": self.revision}),
        )
    }

    fn transact(&mut self, txn: Transaction) -> (u16, Value) {
        if let Some(excess) = self.size_limits.excess(&txn) {
            self.too_large += 1;
            log::info!("refused: {excess}");
            return (400, json!({"error": excess}));
        }
        for write in &txn.writes {
            if let Write::Put {
                lease: Some(lease), ..
            } = write
            {
                if !self.leases.contains_key(lease) {
                    return (400, json!({"error": "no such lease"}));
                }
            }
        }
        let version = |key: &str| self.entries.get(key).map_or(0, |e| e.version);
        let failed: Vec<&str> = txn
            .preconditions
            .iter()
            .filter(|c| version(&c.key) != c.version)
            .map(|c| c.key.as_str())
            .collect();
        if !failed.is_empty() {
            return (409, json!({"failed": failed, "ledger_rev": self.revision}));
        }
        self.writes += txn.writes.len() as u64;
        self.record_decommissioned(&txn);
        if !txn.writes.is_empty() {
            self.revision += 1;
        }
        for write in txn.writes {
            match write {
                Write::Put { put, value, lease } => {
                    if let Some(puts) = &mut self.recorded_puts {
                        puts.push((put.clone(), value.clone()));
                    }
                    self.change_log
                        .push_back((self.revision, put.clone(), Some(value.clone())));
                    let version = self.revision;
                    self.entries.insert(
                        put,
                        Entry {
                            value,
                            version,
                            lease,
                        },
                    );
                }
                Write::Remove { remove } => self.remove(remove),
            }
        }
        while self.change_log.len() > MAX_LOG_ENTRIES {
            self.change_log.pop_front();
        }
        (200, json!({"ledger_rev": self.revision}))
    }

    fn record_decommissioned(&mut self, txn: &Transaction) {
        for write in &txn.writes {
            let Write::Put { put, value, .. } = write else {
                continue;
            };
            let why = value.get("condemned").and_then(Value::as_str);
            if let (Some(id), Some(why)) = (put.strip_prefix("c/machine/"), why) {
                let first = self.decommissioned.entry(MachineId::new(id));
                first.or_insert_with(|| why.to_owned());
            }
        }
    }

    fn remove(&mut self, key: String) {
        if self.entries.remove(&key).is_some() {
            self.change_log.push_back((self.revision, key, None));
        }
    }

    /// The kept changes after a revision to keys with a prefix, oldest first.
    fn changes_after<'a>(
        &'a self,
        prefix: &'a str,
        from: u64,
    ) -> impl Iterator<Item = &'a (u64, String, Option<Value>)> {
        let first = self.change_log.partition_point(|(r, _, _)| *r <= from);
        let log = self.change_log.range(first..);
        log.filter(move |(_, k, _)| k.starts_with(prefix))
    }

    fn has_changed(&self, prefix: &str, from: u64) -> bool {
        self.changes_after(prefix, from).next().is_some()
    }

    fn changes(&self, prefix: &str, from: u64) -> Vec<Value> {
        self.changes_after(prefix, from)
            .map(|(r, k, v)| match v {
                Some(v) => json!({"put": k, "data": v, "stamp": r}),
                None => json!({"remove": k, "stamp": r}),
            })
            .collect()
    }

    fn changes_reply(&self, prefix: &str, from: u64) -> Value {
        json!({"ledger_rev": self.revision, "news": self.changes(prefix, from)})
    }

    /// Who leads and who holds what, in short: changes with every takeover.
    pub(crate) fn leadership_terms(&self) -> String {
        let all = self.entries.range("c/leader".to_owned()..);
        let all = all.take_while(|(k, _)| k.as_str() < "c/shard");
        let all = all.filter(|(k, _)| *k == "c/leader" || k.starts_with("c/share/"));
        all.fold(String::new(), |terms, (key, e)| {
            terms
                + key
                + &e.value["node"].to_string()
                + &e.value["inc"].to_string()
                + &e.value["epoch"].to_string()
        })
    }

    /// The value of a key, as it is now.
    pub(crate) fn value(&self, key: &str) -> Option<&Value> {
        self.entries.get(key).map(|e| &e.value)
    }

    /// Ends leases that ran out, and returns watches that have an answer.
    /// Those of who is `shut` out go on waiting.
    pub(crate) fn tick(&mut self, now: Ms, shut: impl Fn(&W) -> bool) -> Vec<(W, Value)> {
        if self.is_down {
            return Vec::new();
        }
        let over: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, (_, t))| now > *t)
            .map(|(l, _)| *l)
            .collect();
        for lease in over {
            self.leases.remove(&lease);
            let keys: Vec<String> = self
                .entries
                .iter()
                .filter(|(_, e)| e.lease == Some(lease))
                .map(|(k, _)| k.clone())
                .collect();
            if !keys.is_empty() {
                self.revision += 1;
            }
            for key in keys {
                self.remove(key);
            }
        }
        let mut ready = Vec::new();
        for w in std::mem::take(&mut self.watches) {
            let ready_now = now >= w.expires_at || self.has_changed(&w.prefix, w.after_revision);
            if ready_now && !shut(&w.watcher) {
                let reply = self.changes_reply(&w.prefix, w.after_revision);
                ready.push((w.watcher, reply));
            } else {
                self.watches.push(w);
            }
        }
        ready
    }
}
