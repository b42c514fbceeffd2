//! Which workers' heartbeats are relayed, and to which holder.

use crate::Ms;
use forkshift_wire::{MachineId, NodeName};
use std::collections::BTreeMap;

/// A holder's request to relay the heartbeats of some machines.
#[derive(Debug)]
struct Request {
    /// Incarnation of the holder.
    incarnation: u64,
    /// When the request expires.
    expires_at: Ms,
    /// Number of the list of machines; a list may take several messages.
    list: u64,
}

/// The holder that a machine's heartbeats are relayed to.
#[derive(Debug)]
struct RelayTarget {
    holder: NodeName,
    incarnation: u64,
}

/// Machines whose heartbeats do not reach their holders. A controller that receives a
/// heartbeat of such a machine relays it, instead of redirecting the worker to a holder that
/// it cannot reach: a redirect and the return take a worker as long as a short lease.
#[derive(Debug, Default)]
pub struct RelayTable {
    requests: BTreeMap<NodeName, Request>,
    targets: BTreeMap<MachineId, RelayTarget>,
}

impl RelayTable {
    /// Notes a holder's request to relay the heartbeats of these machines until it expires.
    /// `list` increases with each list of an incarnation; messages with the same number add
    /// up to one list. A message of an older list of the incarnation is ignored.
    pub fn on_relay_request(
        &mut self,
        from: &NodeName,
        incarnation: u64,
        list: u64,
        machines: impl IntoIterator<Item = MachineId>,
        until: Ms,
    ) {
        if let Some(known) = self.requests.get(from) {
            let is_same_incarnation = known.incarnation == incarnation;
            if is_same_incarnation && known.list > list {
                return;
            }
            if !is_same_incarnation || known.list < list {
                self.targets.retain(|_, target| target.holder != *from);
            }
        }
        let request = Request {
            incarnation,
            expires_at: until,
            list,
        };
        self.requests.insert(from.clone(), request);
        let target = || RelayTarget {
            holder: from.clone(),
            incarnation,
        };
        let targets = machines.into_iter().map(|machine| (machine, target()));
        self.targets.extend(targets);
    }

    /// Whether an incarnation of a holder requests the machine's heartbeats.
    pub fn is_requested_by(
        &self,
        machine: &MachineId,
        holder: &NodeName,
        incarnation: u64,
        now: Ms,
    ) -> bool {
        let is_target =
            |target: &RelayTarget| target.holder == *holder && target.incarnation == incarnation;
        let is_valid =
            |request: &Request| request.incarnation == incarnation && now < request.expires_at;
        self.targets.get(machine).is_some_and(is_target)
            && self.requests.get(holder).is_some_and(is_valid)
    }

    /// Removes expired requests with their machines.
    pub fn remove_expired(&mut self, now: Ms) {
        self.requests.retain(|_, request| now < request.expires_at);
        let requests = &self.requests;
        self.targets
            .retain(|_, target| requests.contains_key(&target.holder));
    }

    /// Whether no machine's heartbeats are to be relayed.
    pub fn is_empty(&self) -> bool {
        self.targets.is_empty()
    }
}
