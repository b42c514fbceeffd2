//! Simulations whose controllers are processes of their own.
//!
//! The simulation then plays users, workers, cloud and store only, in real time. Requests
//! to controllers are queued for the caller, which sends them over sockets, and the caller
//! passes in the controllers' calls.

use super::network::{Destination, Message, Origin};
use super::selectors::controller_in;
use super::{Simulation, STEP_MS};
use crate::Ms;
use forkshift_core::epoch_of_token;
use forkshift_wire::workers::CommandRequest;
use forkshift_wire::MachineId;
use rand::Rng;
use serde_json::Value;

/// The sender of a request to a controller, which gets the response.
#[derive(Debug)]
pub struct Requester(Origin);

impl Requester {
    /// The machine whose heartbeat this is, if it is one.
    pub fn machine(&self) -> Option<&MachineId> {
        match &self.0 {
            Origin::Worker { id, .. } => Some(id),
            _ => None,
        }
    }
}

/// A request for a controller.
#[derive(Debug)]
pub struct ControllerRequest {
    /// The sender.
    pub requester: Requester,
    /// Index of the controller.
    pub controller: usize,
    /// HTTP method.
    pub method: String,
    /// Path.
    pub path: String,
    /// JSON.
    pub body: Vec<u8>,
}

/// A response to a controller's call.
#[derive(Debug)]
pub struct CallResponse {
    /// The number that the call was passed in with.
    pub call: u64,
    /// HTTP status.
    pub status: u16,
    /// JSON.
    pub body: Vec<u8>,
}

/// A service or worker that controllers call.
#[derive(Clone, Debug)]
pub enum Service {
    /// The store, as the controller of that index reaches it.
    Store(usize),
    /// The cloud, likewise.
    Cloud(usize),
    /// A machine's worker.
    Worker(MachineId),
}

/// A machine that was added or removed.
#[derive(Debug)]
pub enum MachineChange {
    /// Its worker is up.
    Up(MachineId),
    /// It was removed.
    Removed(MachineId),
}

/// Queues between the simulation and controllers that run as processes.
#[derive(Default)]
pub(super) struct RemoteQueues {
    requests: Vec<ControllerRequest>,
    responses: Vec<CallResponse>,
    pub(super) machines: Vec<MachineChange>,
    /// Controllers that are healthy for the load balancer.
    healthy: Vec<usize>,
}

impl Simulation {
    /// Runs until a time, in steps of up to `max_step_ms`.
    pub fn advance_to(&mut self, time: Ms, max_step_ms: Ms) {
        while self.now + STEP_MS <= time {
            let next = (self.now + max_step_ms.max(STEP_MS)).min(time);
            self.step_to(next - next % STEP_MS);
        }
    }

    /// Passes in a controller's call. The response, if there is one, bears its number.
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

    /// The controller that has sent commands: the holder with the epoch of their token.
    fn controller_of_token(&self, body: &[u8]) -> Option<usize> {
        let request: CommandRequest = serde_json::from_slice(body).ok()?;
        let epoch = epoch_of_token(request.token);
        let has_epoch =
            |record: &&Value| record.get("epoch").and_then(Value::as_u64) == Some(epoch);
        let record = self.shard_records().find(has_epoch)?;
        controller_in(record.get("holder"))
    }

    /// Delivers the response of a controller; status 0 stands for none.
    pub fn deliver_reply(&mut self, requester: Requester, status: u16, body: Vec<u8>) {
        self.deliver_response(requester.0, status, body);
    }

    /// Takes the requests that are to be sent to controllers.
    pub fn take_requests(&mut self) -> Vec<ControllerRequest> {
        let remote = self.remote.as_mut();
        remote.map_or_else(Vec::new, |r| std::mem::take(&mut r.requests))
    }

    /// Takes the responses to controllers' calls.
    pub fn take_responses(&mut self) -> Vec<CallResponse> {
        let remote = self.remote.as_mut();
        remote.map_or_else(Vec::new, |r| std::mem::take(&mut r.responses))
    }

    /// Takes the machines that were added or removed.
    pub fn take_machine_changes(&mut self) -> Vec<MachineChange> {
        let remote = self.remote.as_mut();
        remote.map_or_else(Vec::new, |r| std::mem::take(&mut r.machines))
    }

    /// Sets which controllers are healthy for the load balancer.
    pub fn set_healthy(&mut self, healthy: Vec<usize>) {
        if let Some(remote) = &mut self.remote {
            remote.healthy = healthy;
        }
    }

    /// The controller to which the load balancer sends a user, drawn at random.
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
