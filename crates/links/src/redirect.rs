//! Workers that were sent to the holder of their shard and came back.

use crate::Ms;
use forkshift_wire::{MachineId, NodeName};
use std::collections::BTreeMap;

/// Where a worker was sent, and when.
#[derive(Debug)]
struct Redirect {
    holder: NodeName,
    incarnation: u64,
    at: Ms,
}

/// Remembers which workers were sent to which holder. One that comes back within a lease
/// could not reach it, or not for long, whoever else can: sent there once more it would come
/// back here again, as long as its lease lasts. It may have tried others in between, and lost
/// 5 s with each that did not answer.
#[derive(Debug)]
pub struct Redirects {
    sent: BTreeMap<MachineId, Redirect>,
    lease_ms: Ms,
}

impl Redirects {
    /// Remembers none, for workers with such a lease.
    pub fn new(lease_ms: Ms) -> Self {
        Self {
            sent: BTreeMap::new(),
            lease_ms,
        }
    }

    /// A worker is sent to a start of a holder.
    pub fn on_redirected(
        &mut self,
        machine: MachineId,
        holder: NodeName,
        incarnation: u64,
        now: Ms,
    ) {
        let redirect = Redirect {
            holder,
            incarnation,
            at: now,
        };
        self.sent.insert(machine, redirect);
    }

    /// Whether a worker that reports now was sent to that start of a holder before.
    pub fn has_returned(
        &self,
        machine: &MachineId,
        holder: &NodeName,
        incarnation: u64,
        now: Ms,
    ) -> bool {
        let sent = self.sent.get(machine);
        sent.is_some_and(|r| {
            r.holder == *holder && r.incarnation == incarnation && now < r.at + self.lease_ms
        })
    }

    /// Forgets workers that have not come back.
    pub fn remove_expired(&mut self, now: Ms) {
        let lease_ms = self.lease_ms;
        self.sent.retain(|_, r| now < r.at + lease_ms);
    }
}
