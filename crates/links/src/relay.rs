//! Which workers' reports are passed on, and to whom.

use crate::Ms;
use forkshift_wire::{MachineId, NodeName};
use std::collections::BTreeMap;

/// A holder that asks for reports of some machines.
#[derive(Debug)]
struct Request {
    incarnation: u64,
    until: Ms,
    /// Numbers the lists: one list may take several messages.
    list: u64,
}

/// Machines that their holders do not hear. A controller to which one of them reports
/// passes the report on, instead of sending the worker to a holder that it can't reach:
/// there and back takes the worker as long as a short lease lasts.
#[derive(Debug, Default)]
pub struct RelayTable {
    holders: BTreeMap<NodeName, Request>,
    machines: BTreeMap<MachineId, (NodeName, u64)>,
}

impl RelayTable {
    /// A start of a holder does not hear these machines, and says so until then. `list`
    /// grows with each list of a start; messages with the same one add up.
    pub fn on_relay_request(
        &mut self,
        from: &NodeName,
        incarnation: u64,
        list: u64,
        machines: impl IntoIterator<Item = MachineId>,
        until: Ms,
    ) {
        let known = self.holders.get(from);
        if known.is_some_and(|r| r.incarnation == incarnation && r.list > list) {
            // An older list that came late.
            return;
        }
        if known.is_some_and(|r| r.incarnation != incarnation || r.list < list) {
            self.machines.retain(|_, (holder, _)| holder != from);
        }
        let request = Request {
            incarnation,
            until,
            list,
        };
        self.holders.insert(from.clone(), request);
        let entries = machines
            .into_iter()
            .map(|id| (id, (from.clone(), incarnation)));
        self.machines.extend(entries);
    }

    /// Whether a start of a holder asks for a machine's reports.
    pub fn is_requested_by(
        &self,
        machine: &MachineId,
        holder: &NodeName,
        incarnation: u64,
        now: Ms,
    ) -> bool {
        let asked = self.machines.get(machine);
        let is_theirs = asked.is_some_and(|(node, start)| node == holder && *start == incarnation);
        let request = self.holders.get(holder);
        is_theirs && request.is_some_and(|r| r.incarnation == incarnation && now < r.until)
    }

    /// Forgets what holders do not ask for any more.
    pub fn remove_expired(&mut self, now: Ms) {
        self.holders.retain(|_, r| now < r.until);
        let holders = &self.holders;
        self.machines
            .retain(|_, (node, _)| holders.contains_key(node));
    }

    /// Whether no machine is known.
    pub fn is_empty(&self) -> bool {
        self.machines.is_empty()
    }
}
