//! The table of workers whose heartbeats a controller relays, each with the holder that
//! requested it.

use crate::Ms;
use forkshift_wire::{MachineId, NodeName};
use std::collections::BTreeMap;

/// The latest request of a holder to relay the heartbeats of some of its machines.
#[derive(Debug)]
struct RelayRequest {
    /// Incarnation of the holder: one run of the controller's process.
    incarnation: u64,
    expires_at: Ms,
    /// Sequence number of the list of machines. Several messages with the same number
    /// together are one list.
    list_number: u64,
}

/// The holder that a machine's heartbeats are relayed to.
#[derive(Debug)]
struct RelayTarget {
    holder: NodeName,
    incarnation: u64,
}

/// Machines whose heartbeats do not reach their holder, as requested by the holders.
///
/// A controller that receives a heartbeat of such a machine relays it to the holder. A
/// redirect would send the worker to a holder that it cannot reach, and the return would
/// take as long as a short lease.
#[derive(Debug, Default)]
pub struct RelayTable {
    requests: BTreeMap<NodeName, RelayRequest>,
    targets: BTreeMap<MachineId, RelayTarget>,
}

impl RelayTable {
    /// Records a holder's request to relay the heartbeats of `machines` until `expires_at`.
    ///
    /// `list_number` increases with each list that an incarnation sends. A message with a
    /// higher number, or of another incarnation, replaces the machines of the holder. A
    /// message with the same number adds machines to the list. A message with a lower number
    /// is late, and is ignored.
    pub fn on_relay_request(
        &mut self,
        from: &NodeName,
        incarnation: u64,
        list_number: u64,
        machines: impl IntoIterator<Item = MachineId>,
        expires_at: Ms,
    ) {
        if let Some(known) = self.requests.get(from) {
            let is_same_incarnation = known.incarnation == incarnation;
            if is_same_incarnation && known.list_number > list_number {
                return;
            }
            if !is_same_incarnation || known.list_number < list_number {
                self.targets.retain(|_, target| target.holder != *from);
            }
        }
        let request = RelayRequest {
            incarnation,
            expires_at,
            list_number,
        };
        self.requests.insert(from.clone(), request);
        let target = || RelayTarget {
            holder: from.clone(),
            incarnation,
        };
        let targets = machines.into_iter().map(|machine| (machine, target()));
        self.targets.extend(targets);
    }

    /// Whether this incarnation of the holder has requested the heartbeats of the machine, and
    /// the request is still valid.
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
            |request: &RelayRequest| request.incarnation == incarnation && now < request.expires_at;
        self.targets.get(machine).is_some_and(is_target)
            && self.requests.get(holder).is_some_and(is_valid)
    }

    /// Removes expired requests together with their machines.
    pub fn remove_expired(&mut self, now: Ms) {
        self.requests.retain(|_, request| now < request.expires_at);
        let requests = &self.requests;
        self.targets
            .retain(|_, target| requests.contains_key(&target.holder));
    }

    /// Whether there is no machine whose heartbeats are relayed.
    pub fn is_empty(&self) -> bool {
        self.targets.is_empty()
    }
}
