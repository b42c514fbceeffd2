//! Leases. An entry that is bound to a lease is removed when the lease expires.

use super::{Response, StoreModel};
use crate::Ms;
use serde_json::{json, Value};
use std::collections::BTreeMap;

/// Duration of a lease whose request names none.
const DEFAULT_LEASE_MS: Ms = 1_000;

struct Lease {
    duration: Ms,
    expires_at: Ms,
}

/// Leases that have not expired, by id.
#[derive(Default)]
pub(super) struct Leases {
    by_id: BTreeMap<u64, Lease>,
    last_id: u64,
}

impl Leases {
    fn grant(&mut self, now: Ms, duration: Ms) -> u64 {
        self.last_id += 1;
        let expires_at = now + duration;
        let lease = Lease {
            duration,
            expires_at,
        };
        self.by_id.insert(self.last_id, lease);
        self.last_id
    }

    /// Renews a lease for its full duration; none if it has expired or never existed.
    fn renew(&mut self, now: Ms, id: u64) -> Option<()> {
        let lease = self.by_id.get_mut(&id)?;
        lease.expires_at = now + lease.duration;
        Some(())
    }

    pub(super) fn renew_all(&mut self, now: Ms) {
        for lease in self.by_id.values_mut() {
            lease.expires_at = now + lease.duration;
        }
    }

    pub(super) fn contains(&self, id: u64) -> bool {
        self.by_id.contains_key(&id)
    }

    fn take_expired(&mut self, now: Ms) -> Vec<u64> {
        let is_expired = |lease: &Lease| now > lease.expires_at;
        let leases = self.by_id.iter();
        let expired: Vec<u64> = leases
            .filter(|(_, lease)| is_expired(lease))
            .map(|(id, _)| *id)
            .collect();
        for id in &expired {
            self.by_id.remove(id);
        }
        expired
    }
}

impl<W> StoreModel<W> {
    /// Responds to `POST /grants`.
    pub(super) fn grant_lease(&mut self, now: Ms, body: &[u8]) -> Response {
        let body: Value = serde_json::from_slice(body).unwrap_or_default();
        let duration = body["life_ms"].as_u64().unwrap_or(DEFAULT_LEASE_MS);
        let id = self.leases.grant(now, duration);
        (200, json!({"hold": id}))
    }

    /// Responds to `POST /grants/{id}/extend`.
    pub(super) fn renew_lease(&mut self, now: Ms, id: &str) -> Response {
        let id = id.parse().unwrap_or(0);
        match self.leases.renew(now, id) {
            Some(()) => (200, json!({"hold": id})),
            None => (404, json!({})),
        }
    }

    /// Removes the entries whose leases have expired, at one revision per lease.
    pub(super) fn expire_leases(&mut self, now: Ms) {
        for lease in self.leases.take_expired(now) {
            let entries = self.entries.iter();
            let keys: Vec<String> = entries
                .filter(|(_, entry)| entry.lease == Some(lease))
                .map(|(key, _)| key.clone())
                .collect();
            if !keys.is_empty() {
                self.revision += 1;
            }
            for key in keys {
                self.remove(key);
            }
        }
    }
}
