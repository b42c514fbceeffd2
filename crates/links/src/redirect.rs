//! Workers that were redirected to the holder of their shard.

use crate::Ms;
use forkshift_wire::{MachineId, NodeName};
use std::collections::BTreeMap;

/// A redirect of a worker to an incarnation of a holder.
#[derive(Debug)]
struct Redirect {
    holder: NodeName,
    incarnation: u64,
    redirected_at: Ms,
}

/// The latest redirect of each worker. A worker that comes back within its lease could not
/// reach the holder, or lost it soon, whether or not other controllers reach it. A second
/// redirect would bring it back here again, until its lease expires. In between it may have
/// tried other controllers, and lost 5 s with each that did not respond.
#[derive(Debug)]
pub struct RedirectHistory {
    by_machine: BTreeMap<MachineId, Redirect>,
    /// Duration of a worker's lease.
    lease_ms: Ms,
}

impl RedirectHistory {
    /// No redirects yet, of workers with such a lease in milliseconds.
    pub fn new(lease_ms: Ms) -> Self {
        Self {
            by_machine: BTreeMap::new(),
            lease_ms,
        }
    }

    /// Notes that a worker is redirected to an incarnation of a holder.
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
            redirected_at: now,
        };
        self.by_machine.insert(machine, redirect);
    }

    /// Whether a worker that sends a heartbeat now was redirected to that incarnation of a
    /// holder within its lease.
    pub fn was_recently_redirected(
        &self,
        machine: &MachineId,
        holder: &NodeName,
        incarnation: u64,
        now: Ms,
    ) -> bool {
        self.by_machine.get(machine).is_some_and(|redirect| {
            redirect.holder == *holder
                && redirect.incarnation == incarnation
                && now < redirect.redirected_at + self.lease_ms
        })
    }

    /// Removes redirects that are older than a lease.
    pub fn remove_expired(&mut self, now: Ms) {
        let lease_ms = self.lease_ms;
        self.by_machine
            .retain(|_, redirect| now < redirect.redirected_at + lease_ms);
    }
}
