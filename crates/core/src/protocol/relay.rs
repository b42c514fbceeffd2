//! Relay of worker heartbeats that reach a controller other than the holder of their shard,
//! and indirect probes of workers.
//!
//! A worker that sends its heartbeat to another controller is usually redirected to the
//! holder. If the holder has announced that it receives no heartbeats from the machine, the
//! link between the two is lost. The heartbeat is then relayed to the holder, and the
//! holder's answer is returned to the worker. The answer renews the worker's lease and carries
//! commands like a direct one: the token and the commands come from the holder, which has a
//! valid lease, and the worker drops an answer that arrives after its timeout.
//!
//! The holder also probes a silent machine itself and requests probes from two other
//! controllers, as in SWIM's indirect probes. The worker's answer counts as a heartbeat,
//! except that it renews no lease. A machine that any controller can reach is therefore not
//! decommissioned. If the worker's lease has expired meanwhile, its changed incarnation shows
//! that.

use crate::bounds::encoded_name_bytes;
use crate::context::Context;
use crate::io::RequestId;
use crate::node::Node;
use crate::pending_call::PendingCall;
use crate::protocol::forwarding::{ForwardFallback, ForwardedRequest};
use crate::shard::{RecoveryState, Shard};
use crate::Ms;
use forkshift_links::{Decision, Link, LinkTiming};
use forkshift_wire::peer::Body;
use forkshift_wire::workers::WorkerHeartbeat;
use forkshift_wire::{MachineId, NodeName};

/// Timeout for the holder's answer to a relayed heartbeat, in milliseconds. It is below the
/// timeout of workers, which is 4 s.
const RELAY_TIMEOUT_MS: Ms = 2_000;
/// Validity of a relay request, in heartbeat intervals, which are the time between two
/// requests.
const RELAY_REQUEST_INTERVALS: Ms = 5;
/// Controllers that are requested to probe a machine. A single one may have lost its link to
/// the machine as well.
const MAX_PROBING_CONTROLLERS: usize = 2;

/// Whether a worker's heartbeat may be relayed to the holder.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) enum RelayPermission {
    /// The heartbeat has not been relayed yet.
    Allowed,
    /// The heartbeat was relayed, and the holder has not answered in time.
    AlreadyTried,
}

/// Machines whose heartbeats are overdue.
#[derive(Default)]
struct UnreachableMachines {
    /// Machines whose heartbeats other controllers should relay.
    to_relay: Vec<MachineId>,
    /// Machines of which a probe is due now.
    to_probe: Vec<MachineId>,
}

impl Shard {
    /// Adds machines of the shard whose heartbeats are overdue, and schedules this
    /// controller's own call to those of which a probe is due.
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
                found.to_relay.push(machine.id.clone());
            }
            if !link.is_recently_relayed(now, timing) && link.start_probe_if_due(now, timing) {
                found.to_probe.push(machine.id.clone());
                machine.must_send_token = true;
                machines_to_reconcile.mark_due(&machine.id);
            }
        }
    }
}

impl Node {
    /// Requests the other controllers to relay the heartbeats of machines whose heartbeats are
    /// overdue, and to probe those machines whose probe is due.
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
        self.send_probes(unreachable.to_probe);
        self.send_relay_request(unreachable.to_relay);
    }

    /// Sends the list of machines whose heartbeats are to be relayed to all other controllers.
    /// Nothing is sent if this list and the last one are empty.
    fn send_relay_request(&mut self, relayed: Vec<MachineId>) {
        // An empty list revokes the previous one.
        if relayed.is_empty() && !std::mem::take(&mut self.has_requested_relays) {
            return;
        }
        self.has_requested_relays = !relayed.is_empty();
        self.last_relay_list_number += 1;
        let list_number = self.last_relay_list_number;
        let config = self.ctx.config.clone();
        for machines in split_into_messages(relayed, config.bounds.list_bytes) {
            for node in config.other_nodes() {
                let machines = machines.clone();
                self.ctx.send_to_peer(
                    node,
                    0,
                    Body::RelayRequest {
                        list_number,
                        machines,
                    },
                );
            }
        }
    }

    /// Requests probes of machines from up to [`MAX_PROBING_CONTROLLERS`] controllers that have
    /// recently acknowledged a heartbeat. The selection rotates with the number of the last relay request.
    fn send_probes(&mut self, machines: Vec<MachineId>) {
        if machines.is_empty() {
            return;
        }
        let config = self.ctx.config.clone();
        let mut probing_nodes: Vec<&NodeName> = config
            .other_nodes()
            .filter(|node| self.ctx.is_peer_answering(node))
            .collect();
        let first = self.last_relay_list_number as usize % probing_nodes.len().max(1);
        probing_nodes.rotate_left(first);
        probing_nodes.truncate(MAX_PROBING_CONTROLLERS);
        for machines in split_into_messages(machines, config.bounds.list_bytes) {
            for node in &probing_nodes {
                let machines = machines.clone();
                self.ctx
                    .send_to_peer(node, 0, Body::ProbeRequest { machines });
            }
        }
    }

    /// Probes machines on request of another controller, which receives no heartbeats from
    /// them. Machines without a known address, and those beyond the limit on worker calls in
    /// flight, are skipped.
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

    /// Processes the end of a probe that `holder` requested. A worker's answer is sent to the
    /// holder; without an answer nothing is sent.
    pub(crate) fn on_worker_probed(&mut self, holder: &NodeName, status: u16, body: &[u8]) {
        if status == 200 {
            let heartbeat = body.to_vec();
            self.ctx
                .send_to_peer(holder, 0, Body::ProbeResult { heartbeat });
        }
    }

    /// Processes the answer of a worker to another controller's probe, as a heartbeat to the
    /// active shards held here.
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

    /// Records that another controller requests the heartbeats of these machines. Lists with
    /// the same number are parts of one list.
    pub(crate) fn on_relay_request(
        &mut self,
        from: &NodeName,
        incarnation: u64,
        list_number: u64,
        machines: &[String],
    ) {
        let until = self.ctx.now + self.ctx.heartbeat_interval_ms() * RELAY_REQUEST_INTERVALS;
        let view = &self.view;
        let machines = machines.iter().map(|id| MachineId::new(id));
        // Only machines in this controller's view can send heartbeats to it.
        let known = machines.filter(|id| view.machines.contains_key(id));
        self.ctx
            .relays
            .on_relay_request(from, incarnation, list_number, known, until);
    }

    /// The holder that a machine's heartbeat should be relayed to. None if the heartbeat should
    /// not be relayed, or if the holder does not acknowledge this controller's heartbeats: its
    /// answer would not arrive in time.
    pub(crate) fn relay_target(&self, machine: &MachineId) -> Option<NodeName> {
        let holder = self.unreachable_holder(machine);
        holder.filter(|node| self.ctx.is_peer_answering(node))
    }

    /// Relays a worker's heartbeat to the holder that the worker cannot reach.
    pub(crate) fn relay_heartbeat(&mut self, request: RequestId, holder: &NodeName, body: Vec<u8>) {
        let forwarded = ForwardedRequest::heartbeat(body);
        let fallback = ForwardFallback::HandleLocally;
        self.forward(request, holder, forwarded, fallback, RELAY_TIMEOUT_MS);
    }

    /// The other controller that holds a machine, if the link between the two is lost: the
    /// holder has requested the machine's heartbeats, or the worker was recently redirected to
    /// the holder and has returned.
    pub(crate) fn unreachable_holder(&self, machine: &MachineId) -> Option<NodeName> {
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

    /// Records the state of a link. Logs a change, and which decisions are suspended by it.
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

/// Splits machine names into lists of up to `max_bytes` each when encoded. Returns at least
/// one list, which may be empty.
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
