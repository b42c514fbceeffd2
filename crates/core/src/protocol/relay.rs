//! Reports of workers that reach another controller than the holder of their shard.
//!
//! Such a worker is usually sent to the holder. If the holder has said that it does not
//! hear the machine, the way there is cut: the report is passed on, and the holder's answer
//! is given to the worker. It renews the lease and carries commands as one that
//! the holder gives itself: token and commands are the holder's, given by its right,
//! and the worker drops what comes later than it would wait.
//!
//! The holder also has a silent machine called, by itself and by two others (as in SWIM's
//! indirect probes): what the worker answers is as good as a report, except that it renews no
//! lease. So a machine that somebody reaches is not given up, and that its lease has
//! ended is known from its incarnation.

use crate::bounds::listed_bytes;
use crate::context::Context;
use crate::io::RequestId;
use crate::node::Node;
use crate::pending_call::PendingCall;
use crate::protocol::forwarding::ForwardedRequest;
use crate::shard::{Phase, Shard};
use crate::Ms;
use forkshift_links::{Decision, Link, Timing};
use forkshift_wire::peer::Body;
use forkshift_wire::workers::WorkerHeartbeat;
use forkshift_wire::{MachineId, NodeName};

/// Time that the holder has for an answer; workers wait 4 s.
const ANSWER_MS: Ms = 2_000;
/// A list of unheard machines counts for so many pauses between two lists.
const LIST_LOOKS: Ms = 5;
/// Controllers that are asked to call a machine: one may have lost it, too.
const PROBERS: usize = 2;

/// Whether a report may be passed on to the holder.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) enum Relaying {
    /// It may.
    Allowed,
    /// The holder had it and has not answered.
    Tried,
}

/// Machines that are not heard.
#[derive(Default)]
struct UnreachableMachines {
    /// Their reports are to be passed on by whoever gets them.
    relayed: Vec<MachineId>,
    /// They are to be called now.
    probed: Vec<MachineId>,
}

impl Shard {
    /// Adds machines that should report to us and are not heard.
    fn find_unreachable_machines(
        &mut self,
        now: Ms,
        awake_since: Ms,
        timing: &Timing,
        found: &mut UnreachableMachines,
    ) {
        let Self {
            machines,
            recheck: look,
            ..
        } = self;
        for m in machines
            .values_mut()
            .filter(|m| m.decommission_reason.is_none())
        {
            let is_up = m.last_heartbeat_at.is_some() || !m.tasks.is_empty();
            let since = m.known_since.max(awake_since);
            if !is_up || !m.link.has_missed_heartbeats(now, since, timing) {
                continue;
            }
            if m.link.wants_relay(now, since, timing) {
                found.relayed.push(m.id.clone());
            }
            if !m.link.is_recently_relayed(now, timing) && m.link.take_probe(now, timing) {
                found.probed.push(m.id.clone());
                m.must_send_token = true;
                look.touch(&m.id);
            }
        }
    }
}

impl Node {
    /// Asks the other controllers for the reports of machines that we do not hear.
    pub(crate) fn ask_for_relays(&mut self) {
        let timing = self.ctx.config.link_timing();
        let (now, awake_since) = (self.ctx.now, self.ctx.resumed_at);
        self.ctx.relays.remove_expired(now);
        self.ctx.redirects.remove_expired(now);
        let mut unheard = UnreachableMachines::default();
        let active = self.shards.values_mut();
        for shard in active.filter(|s| s.phase == Phase::Active) {
            shard.find_unreachable_machines(now, awake_since, &timing, &mut unheard);
        }
        self.send_probes(unheard.probed);
        self.send_relay_request(unheard.relayed);
    }

    fn send_relay_request(&mut self, unheard: Vec<MachineId>) {
        // An empty list takes back the one before it.
        if unheard.is_empty() && !std::mem::take(&mut self.has_relay_requests) {
            return;
        }
        self.has_relay_requests = !unheard.is_empty();
        self.relay_request_count += 1;
        let list = self.relay_request_count;
        let config = self.ctx.config.clone();
        for machines in split_into_messages(unheard, config.bounds.list_bytes) {
            for node in config.other_nodes() {
                let machines = machines.clone();
                self.ctx
                    .send_to_peer(node, 0, Body::RelayRequest { list, machines });
            }
        }
    }

    /// Has machines called by some of the other controllers, each time by others.
    fn send_probes(&mut self, machines: Vec<MachineId>) {
        if machines.is_empty() {
            return;
        }
        let config = self.ctx.config.clone();
        let others = config
            .other_nodes()
            .filter(|n| self.ctx.is_peer_answering(n));
        let mut others: Vec<&NodeName> = others.collect();
        let first = self.relay_request_count as usize % others.len().max(1);
        others.rotate_left(first);
        others.truncate(PROBERS);
        for machines in split_into_messages(machines, config.bounds.list_bytes) {
            for node in &others {
                let machines = machines.clone();
                self.ctx
                    .send_to_peer(node, 0, Body::ProbeRequest { machines });
            }
        }
    }

    /// Another controller does not hear these machines, and asks us to call them.
    pub(crate) fn on_probe(&mut self, from: &NodeName, machines: &[String]) {
        let timeout = self.ctx.config.call_ms();
        let most = self.ctx.config.bounds.worker_calls;
        for id in machines.iter().map(|id| MachineId::new(id)) {
            let record = self.view.machines.get(&id);
            let addr = record.and_then(|m| m.record.addr.clone());
            let Some(addr) = addr.filter(|_| self.ctx.worker_calls < most) else {
                continue;
            };
            let holder = from.clone();
            self.ctx
                .request_worker_status(&addr, timeout, PendingCall::ProbeWorker { holder });
        }
    }

    /// A worker that we called for its holder has answered, or has not.
    pub(crate) fn on_worker_probed(&mut self, holder: &NodeName, status: u16, body: &[u8]) {
        if status == 200 {
            let heartbeat = body.to_vec();
            self.ctx
                .send_to_peer(holder, 0, Body::ProbeResult { heartbeat });
        }
    }

    /// What a worker of ours has answered to another controller.
    pub(crate) fn on_probe_result(&mut self, heartbeat: &[u8]) {
        let heartbeat: WorkerHeartbeat = match serde_json::from_slice(heartbeat) {
            Ok(heartbeat) => heartbeat,
            Err(e) => return log::info!("a worker's status is not understood: {e}"),
        };
        let Node { shards, ctx, .. } = self;
        let active = shards.values_mut().filter(|s| s.phase == Phase::Active);
        for shard in active {
            shard.on_worker_heartbeat(ctx, &heartbeat);
        }
    }

    /// Another controller does not hear these machines.
    pub(crate) fn on_relay_request(
        &mut self,
        from: &NodeName,
        incarnation: u64,
        list: u64,
        machines: &[String],
    ) {
        let until = self.ctx.now + self.ctx.heartbeat_interval_ms() * LIST_LOOKS;
        let view = &self.view;
        let machines = machines.iter().map(|id| MachineId::new(id));
        // What we do not know as a machine can't report to us as one.
        let known = machines.filter(|id| view.machines.contains_key(id));
        self.ctx
            .relays
            .on_relay_request(from, incarnation, list, known, until);
    }

    /// The holder that a machine's report is passed on to, if it is. One that we can't
    /// reach either has no answer in time: what is to be done without it is done at once.
    pub(crate) fn relay_to(&self, machine: &MachineId) -> Option<NodeName> {
        let holder = self.holder_without_link(machine);
        holder.filter(|node| self.ctx.is_peer_answering(node))
    }

    /// Passes a worker's report on to the holder that does not hear it.
    pub(crate) fn relay_report(&mut self, request: RequestId, holder: &NodeName, body: Vec<u8>) {
        let forwarded = ForwardedRequest::heartbeat(body);
        self.forward(request, holder, forwarded, ANSWER_MS);
    }

    /// The holder of a machine, if it has said that it does not hear it, or if the worker
    /// was sent there and came back.
    pub(crate) fn holder_without_link(&self, machine: &MachineId) -> Option<NodeName> {
        let shard = self.view.machines.get(machine)?.record.shard;
        let holder = &self.view.shards.get(&shard)?.record;
        let is_other = holder.holder != self.ctx.config.node;
        let Context {
            relays,
            redirects,
            now,
            ..
        } = &self.ctx;
        let wanted =
            relays.is_requested_by(machine, &holder.holder, holder.holder_incarnation, *now)
                || redirects.has_returned(machine, &holder.holder, holder.holder_incarnation, *now);
        (is_other && wanted).then(|| holder.holder.clone())
    }

    /// Notes a link, and logs it if it has changed.
    pub(crate) fn note_link(&mut self, link: Link, is_up: bool) {
        if !self.ctx.links.set(link, is_up) {
            return;
        }
        let state = if is_up { "up" } else { "lost" };
        log::info!("link to {link}: {state}");
        for decision in Decision::ALL {
            if self.ctx.links.missing_for(decision) == Some(link) {
                log::info!("without it: no {decision:?}");
            }
        }
    }
}

/// Spreads names over messages, at least one.
fn split_into_messages(machines: Vec<MachineId>, room: usize) -> Vec<Vec<String>> {
    let mut messages = vec![Vec::new()];
    let mut used = 0;
    for name in machines.iter().map(ToString::to_string) {
        let bytes = listed_bytes(&name);
        if used + bytes > room {
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
