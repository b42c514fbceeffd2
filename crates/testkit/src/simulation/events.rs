//! The queue of scheduled events, and their execution.

use super::adversarial_requests::AdversarialRequest;
use super::network::{Message, Origin};
use super::Simulation;
use crate::faults::FaultKind;
use crate::Ms;
use forkshift_core::Input;
use forkshift_wire::{JobId, MachineId};
use std::collections::BTreeMap;

/// An event that is executed at a scheduled time.
pub(super) enum Event {
    /// A request reaches its destination.
    RequestArrival(Message),
    /// A response reaches the sender of the request; status 0: the request timed out.
    ResponseArrival {
        to: Origin,
        status: u16,
        body: Vec<u8>,
    },
    /// A message from a peer reaches a controller. It is lost if the controller is down.
    PeerMessageArrival { to: usize, message: Vec<u8> },
    /// A controller restarts, unless another event has restarted it.
    ControllerRestart(usize),
    /// The cloud reclaims a spot machine.
    SpotReclaim(MachineId),
    /// A fault begins.
    FaultStart(FaultKind),
    /// A user sends an adversarial request to a controller.
    AdversarialRequest {
        job: JobId,
        controller: usize,
        request: AdversarialRequest,
    },
}

/// Scheduled events, ordered by time and then by the order of scheduling.
#[derive(Default)]
pub(super) struct EventQueue {
    events: BTreeMap<(Ms, u64), Event>,
    last_sequence: u64,
}

impl EventQueue {
    fn push(&mut self, time: Ms, event: Event) {
        self.last_sequence += 1;
        self.events.insert((time, self.last_sequence), event);
    }

    /// Removes the first event if it is due.
    pub(super) fn pop_due(&mut self, now: Ms) -> Option<Event> {
        let entry = self.events.first_entry()?;
        (entry.key().0 <= now).then(|| entry.remove())
    }
}

impl Simulation {
    /// Schedules an event for a time, or for the next millisecond if that time is not in the future.
    pub(super) fn schedule(&mut self, time: Ms, event: Event) {
        self.events.push(time.max(self.now + 1), event);
    }

    pub(super) fn execute_event(&mut self, event: Event) {
        match event {
            Event::RequestArrival(message) => self.deliver_request(message),
            Event::ResponseArrival { to, status, body } => self.on_response(to, status, body),
            Event::PeerMessageArrival { to, message } => {
                if self.controllers[to].is_up() {
                    self.controllers[to].inbox.push(Input::Peer(message));
                }
            }
            Event::ControllerRestart(controller) => {
                if !self.controllers[controller].is_up() {
                    self.start_controller(controller);
                }
            }
            Event::FaultStart(kind) => self.inject(kind),
            Event::AdversarialRequest {
                job,
                controller,
                request,
            } => self.send_adversarial_request(job, controller, request),
            Event::SpotReclaim(id) => {
                self.remove_worker(&id);
                self.cloud.end_billing(&id, self.now);
                self.cloud.terminate(&id);
            }
        }
    }

    /// Delivers a response or the timeout of a request. The timeout of a paused controller's call is
    /// postponed until the controller resumes, as the response may still arrive during the pause.
    fn on_response(&mut self, to: Origin, status: u16, body: Vec<u8>) {
        match self.paused_until(&to) {
            Some(until) if status == 0 => {
                self.schedule(until + 1, Event::ResponseArrival { to, status, body });
            }
            _ => self.deliver_response(to, status, body),
        }
    }

    /// The end of the pause of the controller that sent a request, if it is paused.
    fn paused_until(&self, origin: &Origin) -> Option<Ms> {
        let Origin::Controller { index, .. } = origin else {
            return None;
        };
        let until = self.controllers[*index].faults.paused_until;
        (until > self.now).then_some(until)
    }
}
