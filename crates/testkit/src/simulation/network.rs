//! The network: what arrives where, when, and whether at all.

use super::size::zone_of;
use super::{Event, World};
use crate::worker::WorkerContext;
use crate::Ms;
use forkshift_core::{Input, RequestId};
use forkshift_wire::MachineId;
use rand::Rng;

#[derive(Clone, Debug)]
pub(super) enum Origin {
    Controller {
        index: usize,
        incarnation: u64,
        call: u64,
    },
    Worker {
        id: MachineId,
        sequence: u64,
    },
    User {
        user: usize,
        request: u64,
    },
    UnusualRequest(u64),
    /// A controller that is reached over real sockets, by the number of its call, and
    /// which one it is, if that is known.
    RemoteController {
        call: u64,
        controller: Option<usize>,
    },
    Duplicate,
}

#[derive(Clone, Debug)]
pub(super) enum Destination {
    State,
    Cloud,
    Worker(MachineId),
    Node(usize),
}

#[derive(Clone, Debug)]
pub(super) struct Message {
    pub(super) origin: Origin,
    pub(super) destination: Destination,
    pub(super) method: String,
    pub(super) path: String,
    pub(super) body: Vec<u8>,
}

impl World {
    pub(super) fn random_delay(&mut self) -> Ms {
        match self.rng.random_range(0..100) {
            0 => self.rng.random_range(100..400),
            _ => self.rng.random_range(2..15),
        }
    }

    /// How much longer a message takes from or to a machine on a slow link.
    pub(super) fn slow_link_delay(&mut self, origin: &Origin, dest: &Destination) -> Ms {
        let ((Origin::Worker { id, .. }, _) | (_, Destination::Worker(id))) = (origin, dest) else {
            return 0;
        };
        match self.workers.get(id) {
            Some(w) if w.slow_link_until > self.now => self.rng.random_range(500..8_000),
            _ => 0,
        }
    }

    pub(super) fn send(&mut self, message: Message) {
        let (until, hold) = self.partition(&message.origin, &message.destination);
        if self.remote.is_some() {
            // Real sockets take the time that they take.
            if until <= self.now {
                self.deliver_request(message);
            }
            return;
        }
        let delay = self.random_delay();
        let mut time = self.now + delay;
        if until > self.now {
            if !hold {
                return;
            }
            time = until + self.rng.random_range(1..30_000);
        }
        time += self.slow_link_delay(&message.origin, &message.destination);
        time += self.command_delay(&message.origin, &message.destination);
        self.copy_heartbeat(&message);
        if matches!(message.destination, Destination::Node(_))
            && self.now < self.late_copies_until
            && self.rng.random_range(0..4) == 0
        {
            if let Origin::Worker { .. } = message.origin {
                let copy = Message {
                    origin: Origin::Duplicate,
                    ..message.clone()
                };
                let late = self.now + self.rng.random_range(1_000..self.size.lease_ms * 4);
                self.schedule(late, Event::RequestArrival(copy));
            }
        }
        self.schedule(time, Event::RequestArrival(message));
    }

    pub(super) fn respond(&mut self, from: &Destination, to: Origin, status: u16, body: Vec<u8>) {
        let (until, _) = self.partition(&to, from);
        let lost = self.now < self.lost_responses_until && self.rng.random_range(0..20) == 0;
        let deaf = match &to {
            Origin::Worker { id, .. } => self
                .workers
                .get(id)
                .is_some_and(|w| w.inbound_blocked_until.max(w.inbound_lost_until) > self.now),
            _ => false,
        };
        if until > self.now || lost || deaf {
            return;
        }
        if self.remote.is_some() {
            self.deliver_response(to, status, body);
            return;
        }
        let mut time = self.now + self.random_delay() + self.slow_link_delay(&to, from);
        time += self.command_delay(&to, from);
        let slow = matches!(from, Destination::State) && self.now < self.slow_store_until;
        if slow && self.rng.random_range(0..4) == 0 {
            time += self.rng.random_range(100..1_500);
        }
        self.schedule(time, Event::ResponseArrival { to, status, body });
    }

    pub(super) fn deliver_request(&mut self, m: Message) {
        let now = self.now;
        match m.destination.clone() {
            Destination::State => {
                let txn = m.path == "/txn" && !matches!(m.origin, Origin::Duplicate);
                if txn && now < self.late_writes_until && self.rng.random_range(0..8) == 0 {
                    let late = now + self.rng.random_range(2_000..12_000);
                    let origin = Origin::Duplicate;
                    self.schedule(late, Event::RequestArrival(Message { origin, ..m }));
                    return;
                }
                let lost = self.lost_write_response(&m);
                let refused = match &m.origin {
                    Origin::Controller { index: node, .. } => {
                        let cuts = &self.controllers[*node].faults;
                        cuts.store_refusal_until.max(cuts.store_lockout_until) > now
                    }
                    _ => false,
                };
                if !refused && lost == Some(false) {
                    let late = now + self.rng.random_range(2_000..12_000);
                    let origin = Origin::Duplicate;
                    self.schedule(late, Event::RequestArrival(Message { origin, ..m }));
                    return;
                }
                let answer = if refused {
                    let watch = m.path.starts_with("/changes");
                    (!watch).then(|| (503, serde_json::json!({"error": "refused"})))
                } else {
                    self.store
                        .handle(now, &m.method, &m.path, &m.body, m.origin.clone())
                };
                if lost == Some(true) && !refused {
                    return;
                }
                if let Some((status, value)) = answer {
                    self.respond(
                        &m.destination,
                        m.origin,
                        status,
                        value.to_string().into_bytes(),
                    );
                }
            }
            Destination::Cloud => {
                let (status, value) = self.cloud.handle(now, &m.path, &m.body, &mut self.rng);
                // What the cloud deleted is gone by the time it answers.
                self.sync_workers_with_cloud();
                self.respond(
                    &m.destination,
                    m.origin,
                    status,
                    value.to_string().into_bytes(),
                );
            }
            Destination::Worker(id) => {
                let Some(w) = self.workers.get_mut(&id) else {
                    return;
                };
                if w.hung_until > now {
                    let until = w.hung_until;
                    self.schedule(until, Event::RequestArrival(m));
                    return;
                }
                let mut around = WorkerContext {
                    now,
                    ground_truths: &self.ground_truths,
                    checker: &mut self.check,
                    lease_ms: self.size.lease_ms,
                };
                let (status, body) = match m.path.as_str() {
                    "/status" => (200, w.status(&mut around)),
                    _ => w.handle_commands(&mut around, &m.body),
                };
                self.respond(&m.destination, m.origin, status, body);
            }
            Destination::Node(n) if self.remote.is_some() => self.enqueue_request(n, m),
            Destination::Node(n) => {
                let host = &mut self.controllers[n];
                if host.node.is_none() {
                    self.respond(&m.destination, m.origin, 0, Vec::new());
                    return;
                }
                let request = RequestId(host.next_request);
                host.next_request += 1;
                host.open_requests.insert(request, m.origin);
                host.inbox.push(Input::Request {
                    request,
                    method: m.method,
                    path: m.path,
                    body: Some(m.body),
                });
            }
        }
    }

    pub(super) fn deliver_response(&mut self, to: Origin, status: u16, body: Vec<u8>) {
        match to {
            Origin::Duplicate => {}
            Origin::RemoteController { call, .. } => self.enqueue_response(call, status, body),
            Origin::Controller {
                index: node,
                incarnation: start,
                call,
            } => {
                let host = &mut self.controllers[node];
                if host.incarnation == start && host.open_calls.remove(&call) {
                    host.inbox.push(Input::Response { call, status, body });
                }
            }
            Origin::Worker {
                id,
                sequence: report,
            } => self.on_heartbeat_response(&id, report, status, &body),
            Origin::User { user, request: op } => self.on_user_response(user, op, status, &body),
            Origin::UnusualRequest(aside) => self.on_unusual_response(aside, status, &body),
        }
    }

    /// A message to a peer comes, or comes late, or comes twice, or is lost.
    pub(super) fn send_to_peer(&mut self, from: usize, to: &str, message: Vec<u8>) {
        if let Some(kept) = &mut self.recorded_messages {
            kept.push(message.clone());
        }
        let to = to
            .strip_prefix("berth-")
            .and_then(|n| n.parse::<usize>().ok());
        let Some(to) = to.filter(|n| *n < self.controllers.len()) else {
            return;
        };
        for (one, other) in [(from, to), (to, from)] {
            let (until, with, hold) = self.controllers[one].faults.peer_partition;
            if until > self.now && with >> other & 1 == 1 {
                if hold {
                    let late = until + self.rng.random_range(1..30_000);
                    self.schedule(late, Event::PeerMessageArrival { to, message });
                }
                return;
            }
        }
        let (zone, until, _) = self.zone_partition;
        let apart = until > self.now && (zone_of(from) == zone) != (zone_of(to) == zone);
        let state = self.controllers[from]
            .faults
            .store_partition_until
            .max(self.controllers[to].faults.store_partition_until);
        let cut = state > self.now || apart;
        let copies = match self.rng.random_range(0..20) {
            0 => 0,
            1 => 2,
            _ => 1,
        };
        for _ in 0..copies {
            let late = cut || self.rng.random_range(0..20) == 0;
            let delay = if late {
                self.rng.random_range(100..60_000)
            } else {
                self.random_delay()
            };
            let message = message.clone();
            self.schedule(self.now + delay, Event::PeerMessageArrival { to, message });
        }
    }
}
