//! A digest of all messages that the simulated controllers send.
//!
//! Two builds whose controllers send the same bytes at the same times have the same digest at the
//! end of a run. A change that must not alter the behavior, such as a rename, is checked by
//! comparing digests.

use super::network::{Destination, Message};
use crate::Ms;
use std::hash::{DefaultHasher, Hash, Hasher};

/// Record of the messages that the controllers have sent so far.
#[derive(Default)]
pub(super) struct ControllerTraffic {
    pub(super) digest: TrafficDigest,
    /// Number of calls with commands to workers.
    pub(super) command_calls: u64,
    /// Messages between controllers since recording began; absent if they are not recorded.
    pub(super) recorded_messages: Option<Vec<Vec<u8>>>,
}

/// Hash of all messages of the controllers so far, in the order of sending.
#[derive(Default)]
pub(super) struct TrafficDigest(DefaultHasher);

impl TrafficDigest {
    /// Adds a call of a controller to a service or a worker.
    pub(super) fn call(&mut self, now: Ms, message: &Message) {
        let destination = destination_label(&message.destination);
        (now, destination, &message.method).hash(&mut self.0);
        (&message.path, &message.body).hash(&mut self.0);
    }

    /// Adds a reply of a controller to a request.
    pub(super) fn reply(&mut self, now: Ms, controller: usize, status: u16, body: &[u8]) {
        (now, controller, status, body).hash(&mut self.0);
    }

    /// Adds a message of a controller to a peer.
    pub(super) fn peer(&mut self, now: Ms, controller: usize, to: &str, message: &[u8]) {
        (now, controller, to, message).hash(&mut self.0);
    }

    /// The digest of all messages so far.
    pub(super) fn value(&self) -> u64 {
        self.0.finish()
    }
}

/// The hashed form of a destination. It must not change, as the expected digests of the golden
/// tests depend on it.
fn destination_label(destination: &Destination) -> String {
    match destination {
        Destination::Store => "State".to_owned(),
        Destination::Cloud => "Cloud".to_owned(),
        Destination::Worker(id) => format!("Worker({id:?})"),
        Destination::Controller(index) => format!("Node({index})"),
    }
}
