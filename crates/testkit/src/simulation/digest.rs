//! A digest of everything that the controllers send.
//!
//! Two builds that send the same bytes at the same times have the same digest at the end
//! of a day. A change that is meant to keep the behaviour, a rename for instance, is
//! checked by comparing the digests of some days.

use super::network::{Destination, Message};
use crate::Ms;
use std::hash::{DefaultHasher, Hash, Hasher};

/// What the controllers have sent so far.
#[derive(Default)]
pub(super) struct Traffic {
    pub(super) digest: TrafficDigest,
    /// Messages between controllers, if they are recorded.
    pub(super) recorded_messages: Option<Vec<Vec<u8>>>,
}

/// Hash of what the controllers have sent so far, in the order in which they sent it.
#[derive(Default)]
pub(super) struct TrafficDigest(DefaultHasher);

impl TrafficDigest {
    /// Adds a controller's request to a service or a worker.
    pub(super) fn call(&mut self, now: Ms, message: &Message) {
        let destination = destination_label(&message.destination);
        (now, destination, &message.method).hash(&mut self.0);
        (&message.path, &message.body).hash(&mut self.0);
    }

    /// Adds a controller's response to a request.
    pub(super) fn reply(&mut self, now: Ms, controller: usize, status: u16, body: &[u8]) {
        (now, controller, status, body).hash(&mut self.0);
    }

    /// Adds a controller's message to another one.
    pub(super) fn peer(&mut self, now: Ms, controller: usize, to: &str, message: &[u8]) {
        (now, controller, to, message).hash(&mut self.0);
    }

    /// The digest so far.
    pub(super) fn value(&self) -> u64 {
        self.0.finish()
    }
}

/// The hashed form of a destination. It may not change, as the golden digests hold it.
fn destination_label(destination: &Destination) -> String {
    match destination {
        Destination::Store => "State".to_owned(),
        Destination::Cloud => "Cloud".to_owned(),
        Destination::Worker(id) => format!("Worker({id:?})"),
        Destination::Controller(index) => format!("Node({index})"),
    }
}
