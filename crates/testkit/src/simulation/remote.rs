//! Simulations whose controllers run as separate processes.
//!
//! The simulation models only the users, the workers, the cloud and the store, in real time.
//! Requests to controllers are queued for the caller, which sends them over sockets. The caller
//! passes the controllers' calls to [`Simulation::call`].

use super::network::{Destination, Message, Origin};
use super::selectors::controller_in;
use super::{Simulation, STEP_MS};
use crate::Ms;
use forkshift_core::epoch_of_token;
use forkshift_wire::workers::CommandRequest;
use forkshift_wire::MachineId;
use rand::Rng;
use serde_json::Value;

/// The sender of a request to a controller, to which the reply goes.
#[derive(Debug)]
pub struct Requester(Origin);

impl Requester {
    /// The machine that sent the request, if the request is a heartbeat.
    pub fn machine(&self) -> Option<&MachineId> {
        match &self.0 {
            Origin::Worker { id, .. } => Some(id),
            _ => None,
        }
    }
}

/// A request to be sent to a controller.
#[derive(Debug)]
pub struct ControllerRequest {
    /// Sender, to be passed to [`Simulation::deliver_reply`] with the reply.
    pub requester: Requester,
    /// Index of the controller.
    pub controller: usize,
    /// HTTP method.
    pub method: String,
    /// Path with query.
    pub path: String,
    /// JSON body; empty if there is none.
    pub body: Vec<u8>,
}

/// A response to a controller's call.
#[derive(Debug)]
pub struct CallResponse {
    /// Number that the caller passed to [`Simulation::call`].
    pub call: u64,
    /// HTTP status.
    pub status: u16,
    /// JSON body; empty if there is none.
    pub body: Vec<u8>,
}

/// A service or worker that controllers call.
#[derive(Clone, Debug)]
pub enum Service {
    /// Store, called by the controller with this index.
    Store(usize),
    /// Cloud, called by the controller with this index.
    Cloud(usize),
    /// Worker of a machine. The calling controller follows from the fencing token of its commands.
    Worker(MachineId),
}

/// A change of the set of machines that are up.
#[derive(Debug)]
pub enum MachineChange {
    /// The machine has booted and its worker is up.
    Up(MachineId),
    /// The machine was deleted or reclaimed, or has crashed.
    Removed(MachineId),
}

/// Queues between the simulation and controllers that run as separate processes.
#[derive(Default)]
pub(super) struct RemoteQueues {
    requests: Vec<ControllerRequest>,
    responses: Vec<CallResponse>,
    pub(super) machines: Vec<MachineChange>,
    /// Indices of the controllers to which the load balancer sends users.
    healthy: Vec<usize>,
}

impl Simulation {
    /// Runs until a time, rounded down to a multiple of 10 ms, in steps of up to `max_step_ms`.
    pub fn advance_to(&mut self, time: Ms, max_step_ms: Ms) {
        while self.now + STEP_MS <= time {
            let next = (self.now + max_step_ms.max(STEP_MS)).min(time);
            self.step_to(next - next % STEP_MS);
        }
    }

    /// Processes a controller's call. The response, if there is one, carries the number `call`.
    pub fn call(&mut self, call: u64, to: Service, method: &str, path: &str, body: Vec<u8>) {
        let (destination, controller) = match to {
            Service::Store(node) => (Destination::Store, Some(node)),
            Service::Cloud(node) => (Destination::Cloud, Some(node)),
            Service::Worker(id) => (Destination::Worker(id), self.controller_of_token(&body)),
        };
        self.send(Message {
            origin: Origin::RemoteController { call, controller },
            destination,
            method: method.to_owned(),
            path: path.to_owned(),
            body,
        });
    }

    /// The controller that sent commands: the holder of the shard whose epoch is that of the fencing
    /// token. None if no shard has this epoch any more.
    fn controller_of_token(&self, body: &[u8]) -> Option<usize> {
        let request: CommandRequest = serde_json::from_slice(body).ok()?;
        let epoch = epoch_of_token(request.token);
        let has_epoch =
            |record: &&Value| record.get("epoch").and_then(Value::as_u64) == Some(epoch);
        let record = self.shard_records().find(has_epoch)?;
        controller_in(record.get("holder"))
    }

    /// Delivers the reply of a controller to the sender of the request; status 0: there was none.
    pub fn deliver_reply(&mut self, requester: Requester, status: u16, body: Vec<u8>) {
        self.deliver_response(requester.0, status, body);
    }

    /// Takes the requests to controllers since the last call.
    pub fn take_requests(&mut self) -> Vec<ControllerRequest> {
        let remote = self.remote.as_mut();
        remote.map_or_else(Vec::new, |r| std::mem::take(&mut r.requests))
    }

    /// Takes the responses to controllers' calls since the last call.
    pub fn take_responses(&mut self) -> Vec<CallResponse> {
        let remote = self.remote.as_mut();
        remote.map_or_else(Vec::new, |r| std::mem::take(&mut r.responses))
    }

    /// Takes the machines that were added or removed since the last call.
    pub fn take_machine_changes(&mut self) -> Vec<MachineChange> {
        let remote = self.remote.as_mut();
        remote.map_or_else(Vec::new, |r| std::mem::take(&mut r.machines))
    }

    /// Sets the indices of the controllers to which the load balancer sends users. If there are none,
    /// it chooses from all controllers.
    pub fn set_healthy(&mut self, healthy: Vec<usize>) {
        if let Some(remote) = &mut self.remote {
            remote.healthy = healthy;
        }
    }

    /// Draws the controller to which the load balancer sends a user's request.
    pub(super) fn random_user_controller(&mut self) -> usize {
        let healthy = self.remote.as_ref().map_or(&[][..], |r| &r.healthy);
        match healthy.len() {
            0 => self.rng.random_range(0..self.config.controllers),
            n => healthy[self.rng.random_range(0..n)],
        }
    }

    pub(super) fn enqueue_request(&mut self, node: usize, message: Message) {
        let Some(remote) = &mut self.remote else {
            return;
        };
        remote.requests.push(ControllerRequest {
            requester: Requester(message.origin),
            controller: node,
            method: message.method,
            path: message.path,
            body: message.body,
        });
    }

    pub(super) fn enqueue_response(&mut self, call: u64, status: u16, body: Vec<u8>) {
        if let Some(remote) = &mut self.remote {
            remote.responses.push(CallResponse { call, status, body });
        }
    }
}
