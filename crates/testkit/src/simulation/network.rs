//! The network: delays and losses of messages, and their delivery to each kind of receiver.

use super::config::{controller_index, zone_of};
use super::events::Event;
use super::network_faults::LostWriteResponse;
use super::Simulation;
use crate::worker::WorkerContext;
use crate::Ms;
use forkshift_core::Input;
use forkshift_wire::MachineId;
use rand::Rng;
use serde_json::Value;

/// The sender of a request, to which the response goes.
#[derive(Clone, Debug)]
pub(super) enum Origin {
    /// A call of a simulated controller. Its response is dropped if the controller has restarted.
    Controller {
        index: usize,
        incarnation: u64,
        call: u64,
    },
    /// A heartbeat of a worker, by its sequence number.
    Worker { id: MachineId, sequence: u64 },
    /// A request of a user, by its number.
    User { user: usize, request: u64 },
    /// An adversarial request, by its number.
    AdversarialRequest(u64),
    /// A call of a controller that runs as a separate process. The index of the controller is absent
    /// if it is unknown.
    RemoteController {
        call: u64,
        controller: Option<usize>,
    },
    /// A copy of a request or a delayed write, whose response is discarded.
    Detached,
}

/// The receiver of a request.
#[derive(Clone, Debug)]
pub(super) enum Destination {
    /// Key-value store.
    Store,
    /// Cloud API.
    Cloud,
    /// Worker of a machine.
    Worker(MachineId),
    /// Controller with an index.
    Controller(usize),
}

/// A request in transit.
#[derive(Clone, Debug)]
pub(super) struct Message {
    pub(super) origin: Origin,
    pub(super) destination: Destination,
    pub(super) method: String,
    pub(super) path: String,
    pub(super) body: Vec<u8>,
}

impl Message {
    /// A copy whose response is discarded.
    pub(super) fn detached(&self) -> Self {
        Self {
            origin: Origin::Detached,
            ..self.clone()
        }
    }
}

impl Simulation {
    /// Draws the delay of a message on a healthy link: 2 to 15 ms, and 100 to 400 ms for one in a
    /// hundred.
    fn random_delay(&mut self) -> Ms {
        match self.rng.random_range(0..100) {
            0 => self.rng.random_range(100..400),
            _ => self.rng.random_range(2..15),
        }
    }

    /// Draws the additional delay of a message from or to a machine with a slow link; 0 for others.
    fn slow_link_delay(&mut self, origin: &Origin, destination: &Destination) -> Ms {
        let ((Origin::Worker { id, .. }, _) | (_, Destination::Worker(id))) = (origin, destination)
        else {
            return 0;
        };
        match self.workers.by_id.get(id) {
            Some(worker) if worker.slow_link_until > self.now => self.rng.random_range(500..8_000),
            _ => 0,
        }
    }

    /// Sends a request. A partition loses it, or delays it until up to 30 s after its end.
    pub(super) fn send(&mut self, message: Message) {
        let partition = self.partition(&message.origin, &message.destination);
        if self.remote.is_some() {
            // Messages of separate processes are delayed by the real sockets.
            if partition.is_none() {
                self.deliver_request(message);
            }
            return;
        }
        let delay = self.random_delay();
        let mut time = self.now + delay;
        if let Some(partition) = partition {
            if !partition.holds_messages {
                return;
            }
            time = partition.until + self.rng.random_range(1..30_000);
        }
        time += self.slow_link_delay(&message.origin, &message.destination);
        time += self.command_delay(&message.origin, &message.destination);
        self.copy_heartbeat(&message);
        self.send_late_copy(&message);
        self.schedule(time, Event::RequestArrival(message));
    }

    /// Sends a response. Partitions lose responses, even those that hold requests.
    pub(super) fn respond(&mut self, from: &Destination, to: Origin, status: u16, body: Vec<u8>) {
        let is_partitioned = self.partition(&to, from).is_some();
        let is_lost = self.is_response_lost();
        if is_partitioned || is_lost || self.is_inbound_blocked(&to) {
            return;
        }
        if self.remote.is_some() {
            self.deliver_response(to, status, body);
            return;
        }
        let mut time = self.now + self.random_delay() + self.slow_link_delay(&to, from);
        time += self.command_delay(&to, from);
        time += self.slow_store_delay(from);
        self.schedule(time, Event::ResponseArrival { to, status, body });
    }

    /// Whether the receiver of a response is a worker with a fault of its inbound link.
    fn is_inbound_blocked(&self, to: &Origin) -> bool {
        let Origin::Worker { id, .. } = to else {
            return false;
        };
        let worker = self.workers.by_id.get(id);
        worker.is_some_and(|worker| {
            let until = worker.inbound_blocked_until.max(worker.inbound_lost_until);
            until > self.now
        })
    }

    /// Delivers a request to its destination.
    pub(super) fn deliver_request(&mut self, message: Message) {
        match message.destination.clone() {
            Destination::Store => self.deliver_to_store(message),
            Destination::Cloud => self.deliver_to_cloud(message),
            Destination::Worker(id) => self.deliver_to_worker(&id, message),
            Destination::Controller(index) if self.remote.is_some() => {
                self.enqueue_request(index, message);
            }
            Destination::Controller(index) => self.deliver_to_controller(index, message),
        }
    }

    fn deliver_to_store(&mut self, message: Message) {
        if self.is_write_late(&message) {
            self.execute_late(&message);
            return;
        }
        let lost_response = self.lost_write_response(&message);
        if self.is_refused_by_store(&message.origin) {
            // Watches of a refused controller get no response.
            if !message.path.starts_with("/changes") {
                let body = serde_json::json!({"error": "refused"});
                self.respond_json(message, 503, &body);
            }
            return;
        }
        if lost_response == Some(LostWriteResponse::ExecutedLate) {
            self.execute_late(&message);
            return;
        }
        let answer = self.store.handle(
            self.now,
            &message.method,
            &message.path,
            &message.body,
            message.origin.clone(),
        );
        if lost_response.is_some() {
            return;
        }
        if let Some((status, value)) = answer {
            self.repeat_executed(&message, status);
            self.respond_json(message, status, &value);
        }
    }

    fn is_refused_by_store(&self, origin: &Origin) -> bool {
        let Origin::Controller { index, .. } = origin else {
            return false;
        };
        let faults = &self.controllers[*index].faults;
        let refused_until = faults.store_refusal_until.max(faults.store_lockout_until);
        refused_until > self.now
    }

    fn deliver_to_cloud(&mut self, message: Message) {
        let (status, value) =
            self.cloud
                .handle(self.now, &message.path, &message.body, &mut self.rng);
        // The workers of deleted machines stop before the cloud responds.
        self.sync_workers_with_cloud();
        self.repeat_executed(&message, status);
        self.respond_json(message, status, &value);
    }

    fn respond_json(&mut self, request: Message, status: u16, value: &Value) {
        let body = value.to_string().into_bytes();
        self.respond(&request.destination, request.origin, status, body);
    }

    fn deliver_to_worker(&mut self, id: &MachineId, message: Message) {
        let now = self.now;
        let Some(worker) = self.workers.by_id.get_mut(id) else {
            return;
        };
        if worker.hung_until > now {
            let until = worker.hung_until;
            self.schedule(until, Event::RequestArrival(message));
            return;
        }
        let mut context = WorkerContext::new(
            self.now,
            &self.ground_truths,
            &mut self.checker,
            self.config.lease_ms,
        );
        let (status, body) = match message.path.as_str() {
            "/status" => (200, worker.status(&mut context)),
            _ => worker.respond_to_commands(&mut context, &message.body),
        };
        self.repeat_executed(&message, status);
        self.respond(&message.destination, message.origin, status, body);
    }

    fn deliver_to_controller(&mut self, index: usize, message: Message) {
        let controller = &mut self.controllers[index];
        if controller.is_up() {
            controller.receive(message);
        } else {
            self.respond(&message.destination, message.origin, 0, Vec::new());
        }
    }

    /// Delivers a response to the sender of the request. Responses to calls that timed out or to an
    /// earlier incarnation of a controller are dropped.
    pub(super) fn deliver_response(&mut self, to: Origin, status: u16, body: Vec<u8>) {
        match to {
            Origin::Detached => {}
            Origin::RemoteController { call, .. } => self.enqueue_response(call, status, body),
            Origin::Controller {
                index,
                incarnation,
                call,
            } => {
                let controller = &mut self.controllers[index];
                if controller.incarnation == incarnation && controller.open_calls.remove(&call) {
                    let response = Input::Response { call, status, body };
                    controller.inbox.push(response);
                }
            }
            Origin::Worker { id, sequence } => {
                self.on_heartbeat_response(&id, sequence, status, &body);
            }
            Origin::User { user, request } => self.on_user_response(user, request, status, &body),
            Origin::AdversarialRequest(request) => {
                self.on_adversarial_response(request, status, &body);
            }
        }
    }

    /// Sends a message to a peer by name. One in twenty messages is lost, one in twenty arrives
    /// twice, and one in twenty is delayed by up to 60 s.
    pub(super) fn send_to_peer(&mut self, from: usize, to: &str, message: Vec<u8>) {
        if let Some(recorded) = &mut self.traffic.recorded_messages {
            recorded.push(message.clone());
        }
        let to = controller_index(to).filter(|index| *index < self.controllers.len());
        let Some(to) = to else {
            return;
        };
        if let Some(partition) = self.peer_partition(from, to) {
            if partition.holds_messages {
                let late = partition.until + self.rng.random_range(1..30_000);
                self.schedule(late, Event::PeerMessageArrival { to, message });
            }
            return;
        }
        let is_slow = self.is_peer_link_slow(from, to);
        let copies = match self.rng.random_range(0..20) {
            0 => 0,
            1 => 2,
            _ => 1,
        };
        for _ in 0..copies {
            let is_late = is_slow || self.rng.random_range(0..20) == 0;
            let delay = match is_late {
                true => self.rng.random_range(100..60_000),
                false => self.random_delay(),
            };
            let message = message.clone();
            self.schedule(self.now + delay, Event::PeerMessageArrival { to, message });
        }
    }

    /// Whether messages between two controllers are delayed: their zones are partitioned from each
    /// other, or one of them does not reach the store.
    fn is_peer_link_slow(&self, from: usize, to: usize) -> bool {
        let zone_partition = &self.network_faults.zone_partition;
        let is_apart = zone_partition.partition.is_active(self.now)
            && zone_partition.separates(zone_of(from), zone_of(to));
        let store_partition_until = |index: usize| {
            let faults = &self.controllers[index].faults;
            faults.store_partition_until
        };
        store_partition_until(from).max(store_partition_until(to)) > self.now || is_apart
    }
}
