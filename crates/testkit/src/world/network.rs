//! The network: what arrives where, when, and whether at all.

use super::size::zone_of;
use super::{Event, World};
use crate::worker::Around;
use crate::Ms;
use forkshift_core::{Input, RequestId};
use forkshift_wire::MachineId;
use rand::Rng;

#[derive(Clone, Debug)]
pub(super) enum Origin {
    Node {
        node: usize,
        start: u64,
        call: u64,
    },
    Worker {
        id: MachineId,
        report: u64,
    },
    User {
        user: usize,
        op: u64,
    },
    Aside(u64),
    /// A controller that is reached over real sockets, by the number of its call, and
    /// which one it is, if that is known.
    Remote {
        call: u64,
        node: Option<usize>,
    },
    Nobody,
}

#[derive(Clone, Debug)]
pub(super) enum Dest {
    State,
    Cloud,
    Worker(MachineId),
    Node(usize),
}

#[derive(Clone, Debug)]
pub(super) struct Message {
    pub(super) origin: Origin,
    pub(super) dest: Dest,
    pub(super) method: String,
    pub(super) path: String,
    pub(super) body: Vec<u8>,
}

impl World {
    pub(super) fn delay(&mut self) -> Ms {
        match self.rng.random_range(0..100) {
            0 => self.rng.random_range(100..400),
            _ => self.rng.random_range(2..15),
        }
    }

    /// How much longer a message takes from or to a machine on a slow link.
    pub(super) fn dawdle(&mut self, origin: &Origin, dest: &Dest) -> Ms {
        let ((Origin::Worker { id, .. }, _) | (_, Dest::Worker(id))) = (origin, dest) else {
            return 0;
        };
        match self.workers.get(id) {
            Some(w) if w.slow_until > self.now => self.rng.random_range(500..8_000),
            _ => 0,
        }
    }

    pub(super) fn send(&mut self, message: Message) {
        let (until, hold) = self.cut(&message.origin, &message.dest);
        if self.remote.is_some() {
            // Real sockets take the time that they take.
            if until <= self.now {
                self.arrive(message);
            }
            return;
        }
        let delay = self.delay();
        let mut time = self.now + delay;
        if until > self.now {
            if !hold {
                return;
            }
            time = until + self.rng.random_range(1..30_000);
        }
        time += self.dawdle(&message.origin, &message.dest);
        time += self.held_up(&message.origin, &message.dest);
        self.copy_report(&message);
        if matches!(message.dest, Dest::Node(_))
            && self.now < self.late_copies
            && self.rng.random_range(0..4) == 0
        {
            if let Origin::Worker { .. } = message.origin {
                let copy = Message {
                    origin: Origin::Nobody,
                    ..message.clone()
                };
                let late = self.now + self.rng.random_range(1_000..self.size.lease_ms * 4);
                self.at(late, Event::Arrive(copy));
            }
        }
        self.at(time, Event::Arrive(message));
    }

    pub(super) fn reply(&mut self, from: &Dest, to: Origin, status: u16, body: Vec<u8>) {
        let (until, _) = self.cut(&to, from);
        let lost = self.now < self.lost_answers && self.rng.random_range(0..20) == 0;
        let deaf = match &to {
            Origin::Worker { id, .. } => self
                .workers
                .get(id)
                .is_some_and(|w| w.deaf_until.max(w.lost_until) > self.now),
            _ => false,
        };
        if until > self.now || lost || deaf {
            return;
        }
        if self.remote.is_some() {
            self.answered(to, status, body);
            return;
        }
        let mut time = self.now + self.delay() + self.dawdle(&to, from);
        time += self.held_up(&to, from);
        let slow = matches!(from, Dest::State) && self.now < self.slow_state;
        if slow && self.rng.random_range(0..4) == 0 {
            time += self.rng.random_range(100..1_500);
        }
        self.at(time, Event::Answer { to, status, body });
    }

    pub(super) fn arrive(&mut self, m: Message) {
        let now = self.now;
        match m.dest.clone() {
            Dest::State => {
                let txn = m.path == "/txn" && !matches!(m.origin, Origin::Nobody);
                if txn && now < self.late_writes && self.rng.random_range(0..8) == 0 {
                    let late = now + self.rng.random_range(2_000..12_000);
                    let origin = Origin::Nobody;
                    self.at(late, Event::Arrive(Message { origin, ..m }));
                    return;
                }
                let lost = self.write_is_lost(&m);
                let refused = match &m.origin {
                    Origin::Node { node, .. } => {
                        let cuts = &self.hosts[*node].cuts;
                        cuts.refuse.max(cuts.shut) > now
                    }
                    _ => false,
                };
                if !refused && lost == Some(false) {
                    let late = now + self.rng.random_range(2_000..12_000);
                    let origin = Origin::Nobody;
                    self.at(late, Event::Arrive(Message { origin, ..m }));
                    return;
                }
                let answer = if refused {
                    let watch = m.path.starts_with("/changes");
                    (!watch).then(|| (503, serde_json::json!({"error": "refused"})))
                } else {
                    self.state
                        .handle(now, &m.method, &m.path, &m.body, m.origin.clone())
                };
                if lost == Some(true) && !refused {
                    return;
                }
                if let Some((status, value)) = answer {
                    self.reply(&m.dest, m.origin, status, value.to_string().into_bytes());
                }
            }
            Dest::Cloud => {
                let (status, value) = self.cloud.handle(now, &m.path, &m.body, &mut self.rng);
                // What the cloud deleted is gone by the time it answers.
                self.boot();
                self.reply(&m.dest, m.origin, status, value.to_string().into_bytes());
            }
            Dest::Worker(id) => {
                let Some(w) = self.workers.get_mut(&id) else {
                    return;
                };
                if w.hung_until > now {
                    let until = w.hung_until;
                    self.at(until, Event::Arrive(m));
                    return;
                }
                let mut around = Around {
                    now,
                    truths: &self.truths,
                    check: &mut self.check,
                    lease_ms: self.size.lease_ms,
                };
                let (status, body) = match m.path.as_str() {
                    "/status" => (200, w.status(&mut around)),
                    _ => w.commands(&mut around, &m.body),
                };
                self.reply(&m.dest, m.origin, status, body);
            }
            Dest::Node(n) if self.remote.is_some() => self.hand_out(n, m),
            Dest::Node(n) => {
                let host = &mut self.hosts[n];
                if host.node.is_none() {
                    self.reply(&m.dest, m.origin, 0, Vec::new());
                    return;
                }
                let request = RequestId(host.next_request);
                host.next_request += 1;
                host.requests.insert(request, m.origin);
                host.inbox.push(Input::Request {
                    request,
                    method: m.method,
                    path: m.path,
                    body: Some(m.body),
                });
            }
        }
    }

    pub(super) fn answered(&mut self, to: Origin, status: u16, body: Vec<u8>) {
        match to {
            Origin::Nobody => {}
            Origin::Remote { call, .. } => self.answer_remote(call, status, body),
            Origin::Node { node, start, call } => {
                let host = &mut self.hosts[node];
                if host.start == start && host.open.remove(&call) {
                    host.inbox.push(Input::Response { call, status, body });
                }
            }
            Origin::Worker { id, report } => self.worker_answered(&id, report, status, &body),
            Origin::User { user, op } => self.user_answered(user, op, status, &body),
            Origin::Aside(aside) => self.aside_answered(aside, status, &body),
        }
    }

    /// A message to a peer comes, or comes late, or comes twice, or is lost.
    pub(super) fn tell(&mut self, from: usize, to: &str, message: Vec<u8>) {
        if let Some(kept) = &mut self.messages {
            kept.push(message.clone());
        }
        let to = to
            .strip_prefix("berth-")
            .and_then(|n| n.parse::<usize>().ok());
        let Some(to) = to.filter(|n| *n < self.hosts.len()) else {
            return;
        };
        for (one, other) in [(from, to), (to, from)] {
            let (until, with, hold) = self.hosts[one].cuts.peers;
            if until > self.now && with >> other & 1 == 1 {
                if hold {
                    let late = until + self.rng.random_range(1..30_000);
                    self.at(late, Event::Peer { to, message });
                }
                return;
            }
        }
        let (zone, until, _) = self.zone_cut;
        let apart = until > self.now && (zone_of(from) == zone) != (zone_of(to) == zone);
        let state = self.hosts[from].cuts.state.max(self.hosts[to].cuts.state);
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
                self.delay()
            };
            let message = message.clone();
            self.at(self.now + delay, Event::Peer { to, message });
        }
    }
}
