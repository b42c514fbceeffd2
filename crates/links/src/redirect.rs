//! The history of workers that were redirected to the holder of their shard.

use crate::Ms;
use forkshift_wire::{MachineId, NodeName};
use std::collections::BTreeMap;

/// A redirect of a worker to a holder. An incarnation is one run of a controller's process.
#[derive(Debug)]
struct Redirect {
    holder: NodeName,
    incarnation: u64,
    redirected_at: Ms,
}

/// The latest redirect of each worker by this controller.
///
/// A worker that returns within its lease either did not reach the holder or lost the link
/// to it soon, even if other controllers reach the holder. Another redirect would bring the
/// worker back again, until its lease expires. The whole lease counts, because the worker
/// may have tried other controllers in between, at a cost of 5 s for each that did not
/// respond.
#[derive(Debug)]
pub struct RedirectHistory {
    by_machine: BTreeMap<MachineId, Redirect>,
    /// Duration of a worker's lease, after which a redirect is forgotten.
    lease_ms: Ms,
}

impl RedirectHistory {
    /// An empty history, for workers whose lease lasts `lease_ms`.
    pub fn new(lease_ms: Ms) -> Self {
        Self {
            by_machine: BTreeMap::new(),
            lease_ms,
        }
    }

    /// Records that a worker is redirected to an incarnation of a holder. Replaces an earlier
    /// redirect of the worker.
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

    /// Whether the worker was redirected to this incarnation of the holder within the
    /// duration of its lease before `now`.
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

    /// Removes redirects that are older than the duration of a lease.
    pub fn remove_expired(&mut self, now: Ms) {
        let lease_ms = self.lease_ms;
        self.by_machine
            .retain(|_, redirect| now < redirect.redirected_at + lease_ms);
    }
}
