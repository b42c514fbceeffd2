//! Heartbeats of workers that reach another controller than the holder of their shard.
//!
//! Such a worker is usually redirected to the holder. If the holder has announced that it
//! receives no heartbeats of the machine, the link is lost: the heartbeat is relayed, and
//! the holder's answer is returned to the worker. It renews the lease and carries commands
//! like a direct one: token and commands are the holder's, under its valid lease,
//! and the worker drops an answer that comes after its timeout.
//!
//! The holder also has a silent machine probed, by itself and by two others (as in SWIM's
//! indirect probes): the worker's answer is as good as a heartbeat, except that it renews no
//! lease. So a machine that some controller reaches is not decommissioned, and that its
//! lease has expired is known from its incarnation.

use crate::bounds::encoded_name_bytes;
use crate::context::Context;
use crate::io::RequestId;
use crate::node::Node;
use crate::pending_call::PendingCall;
use crate::protocol::forwarding::ForwardedRequest;
use crate::shard::{RecoveryState, Shard};
use crate::Ms;
use forkshift_links::{Decision, Link, LinkTiming};
use forkshift_wire::peer::Body;
use forkshift_wire::workers::WorkerHeartbeat;
use forkshift_wire::{MachineId, NodeName};

/// Time that the holder has for an answer, in milliseconds; workers wait 4 s.
const RELAY_TIMEOUT_MS: Ms = 2_000;
/// A list of machines to relay for is valid for this many intervals between two lists.
const RELAY_REQUEST_INTERVALS: Ms = 5;
/// Controllers that are requested to probe a machine: one may have lost the link, too.
const MAX_PROBERS: usize = 2;

/// Whether a heartbeat may be relayed to the holder.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) enum Relaying {
    /// It may.
    Allowed,
    /// It was, and the holder has not answered.
    Tried,
}

/// Machines whose heartbeats are not received.
#[derive(Default)]
struct UnreachableMachines {
    /// Their heartbeats are to be relayed by the controllers that receive them.
    relayed: Vec<MachineId>,
    /// They are to be probed now.
    probed: Vec<MachineId>,
}

impl Shard {
    /// Adds machines of the shard whose heartbeats are missing.
    fn find_unreachable_machines(
        &mut self,
        now: Ms,
        resumed_at: Ms,
        timing: &LinkTiming,
        found: &mut UnreachableMachines,
    ) {
        let Self {
            machines,
            machines_to_reconcile,
            ..
        } = self;
        let in_use = machines
            .values_mut()
            .filter(|machine| machine.decommission_reason.is_none());
        for machine in in_use {
            let is_up = machine.last_heartbeat_at.is_some() || !machine.tasks.is_empty();
            let since = machine.known_since.max(resumed_at);
            let link = &mut machine.link;
            if !is_up || !link.has_missed_heartbeats(now, since, timing) {
                continue;
            }
            if link.needs_relay(now, since, timing) {
                found.relayed.push(machine.id.clone());
            }
            if !link.is_recently_relayed(now, timing) && link.start_probe_if_due(now, timing) {
                found.probed.push(machine.id.clone());
                machine.must_send_token = true;
                machines_to_reconcile.mark_due(&machine.id);
            }
        }
    }
}

impl Node {
    /// Requests the heartbeats and probes of machines whose heartbeats are missing from the
    /// other controllers.
    pub(crate) fn request_relays(&mut self) {
        let timing = self.ctx.config.link_timing();
        let (now, resumed_at) = (self.ctx.now, self.ctx.resumed_at);
        self.ctx.relays.remove_expired(now);
        self.ctx.redirects.remove_expired(now);
        let mut unreachable = UnreachableMachines::default();
        let shards = self.shards.values_mut();
        for shard in shards.filter(|shard| shard.recovery_state == RecoveryState::Active) {
            shard.find_unreachable_machines(now, resumed_at, &timing, &mut unreachable);
        }
        self.send_probes(unreachable.probed);
        self.send_relay_request(unreachable.relayed);
    }

    /// Sends the machines whose heartbeats are to be relayed to all other controllers.
    fn send_relay_request(&mut self, relayed: Vec<MachineId>) {
        // An empty list takes back the one before it.
        if relayed.is_empty() && !std::mem::take(&mut self.has_relay_requests) {
            return;
        }
        self.has_relay_requests = !relayed.is_empty();
        self.relay_request_count += 1;
        let list = self.relay_request_count;
        let config = self.ctx.config.clone();
        for machines in split_into_messages(relayed, config.bounds.list_bytes) {
            for node in config.other_nodes() {
                let machines = machines.clone();
                self.ctx.send_to_peer(
                    node,
                    0,
                    Body::RelayRequest {
                        list_number: list,
                        machines,
                    },
                );
            }
        }
    }

    /// Requests probes of machines from some of the other controllers, each time from
    /// others.
    fn send_probes(&mut self, machines: Vec<MachineId>) {
        if machines.is_empty() {
            return;
        }
        let config = self.ctx.config.clone();
        let mut probers: Vec<&NodeName> = config
            .other_nodes()
            .filter(|node| self.ctx.is_peer_answering(node))
            .collect();
        let first = self.relay_request_count as usize % probers.len().max(1);
        probers.rotate_left(first);
        probers.truncate(MAX_PROBERS);
        for machines in split_into_messages(machines, config.bounds.list_bytes) {
            for node in &probers {
                let machines = machines.clone();
                self.ctx
                    .send_to_peer(node, 0, Body::ProbeRequest { machines });
            }
        }
    }

    /// Another controller receives no heartbeats of these machines, and requests probes
    /// of them.
    pub(crate) fn on_probe_request(&mut self, from: &NodeName, machines: &[String]) {
        let timeout = self.ctx.config.worker_call_timeout_ms();
        let max_calls = self.ctx.config.bounds.worker_calls;
        for id in machines.iter().map(|id| MachineId::new(id)) {
            let machine = self.view.machines.get(&id);
            let addr = machine.and_then(|machine| machine.record.addr.clone());
            let Some(addr) = addr.filter(|_| self.ctx.worker_calls_in_flight < max_calls) else {
                continue;
            };
            let holder = from.clone();
            self.ctx
                .request_worker_status(&addr, timeout, PendingCall::ProbeWorker { holder });
        }
    }

    /// A probe of a worker for its holder has ended, with an answer or without.
    pub(crate) fn on_worker_probed(&mut self, holder: &NodeName, status: u16, body: &[u8]) {
        if status == 200 {
            let heartbeat = body.to_vec();
            self.ctx
                .send_to_peer(holder, 0, Body::ProbeResult { heartbeat });
        }
    }

    /// A worker of a shard that is held here has answered the probe of another controller.
    pub(crate) fn on_probe_result(&mut self, heartbeat: &[u8]) {
        let heartbeat: WorkerHeartbeat = match serde_json::from_slice(heartbeat) {
            Ok(heartbeat) => heartbeat,
            Err(e) => return log::info!("worker probe: answer malformed, {e}"),
        };
        let Node { shards, ctx, .. } = self;
        let shards = shards.values_mut();
        for shard in shards.filter(|shard| shard.recovery_state == RecoveryState::Active) {
            shard.on_worker_heartbeat(ctx, &heartbeat);
        }
    }

    /// Another controller requests the heartbeats of these machines.
    pub(crate) fn on_relay_request(
        &mut self,
        from: &NodeName,
        incarnation: u64,
        list: u64,
        machines: &[String],
    ) {
        let until = self.ctx.now + self.ctx.heartbeat_interval_ms() * RELAY_REQUEST_INTERVALS;
        let view = &self.view;
        let machines = machines.iter().map(|id| MachineId::new(id));
        // Only machines that are known here can send heartbeats to this controller.
        let known = machines.filter(|id| view.machines.contains_key(id));
        self.ctx
            .relays
            .on_relay_request(from, incarnation, list, known, until);
    }

    /// The holder that a machine's heartbeat is relayed to, if it is. One that can't be
    /// reached either is skipped: it would have no answer in time.
    pub(crate) fn relay_target(&self, machine: &MachineId) -> Option<NodeName> {
        let holder = self.holder_without_link(machine);
        holder.filter(|node| self.ctx.is_peer_answering(node))
    }

    /// Relays a worker's heartbeat to the holder that it does not reach.
    pub(crate) fn relay_heartbeat(&mut self, request: RequestId, holder: &NodeName, body: Vec<u8>) {
        let forwarded = ForwardedRequest::heartbeat(body);
        self.forward(request, holder, forwarded, RELAY_TIMEOUT_MS);
    }

    /// The other controller that holds a machine, if it has requested the machine's
    /// heartbeats, or if the worker was redirected there and came back.
    pub(crate) fn holder_without_link(&self, machine: &MachineId) -> Option<NodeName> {
        let shard = self.view.machines.get(machine)?.record.shard;
        let shard = &self.view.shards.get(&shard)?.record;
        let (holder, incarnation) = (&shard.holder, shard.holder_incarnation);
        if *holder == self.ctx.config.node {
            return None;
        }
        let Context {
            relays,
            redirects,
            now,
            ..
        } = &self.ctx;
        let is_link_lost = relays.is_requested_by(machine, holder, incarnation, *now)
            || redirects.was_recently_redirected(machine, holder, incarnation, *now);
        is_link_lost.then(|| holder.clone())
    }

    /// Notes the state of a link, and logs it if it has changed.
    pub(crate) fn set_link(&mut self, link: Link, is_up: bool) {
        if !self.ctx.links.set(link, is_up) {
            return;
        }
        let state = if is_up { "up" } else { "lost" };
        log::info!("link to {link}: {state}");
        for decision in Decision::ALL {
            if self.ctx.links.missing_link(decision) == Some(link) {
                log::info!("link to {link}: decision suspended, {decision:?}");
            }
        }
    }
}

/// Splits names into lists of up to `max_bytes` each, at least one.
fn split_into_messages(machines: Vec<MachineId>, max_bytes: usize) -> Vec<Vec<String>> {
    let mut messages = vec![Vec::new()];
    let mut used = 0;
    for name in machines.iter().map(ToString::to_string) {
        let bytes = encoded_name_bytes(&name);
        if used + bytes > max_bytes {
            messages.push(Vec::new());
            used = 0;
        }
        used += bytes;
        if let Some(last) = messages.last_mut() {
            last.push(name);
        }
    }
    messages
}

#[cfg(test)]
mod tests;
