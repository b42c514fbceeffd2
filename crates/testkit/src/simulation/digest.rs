//! A digest of everything that the controllers send.
//!
//! Two builds that send the same bytes at the same times have the same digest
//! at the end of a day. So a change that is meant to keep the behaviour, a
//! rename for instance, is checked by comparing the digests of some days.

use super::network::Message;
use crate::Ms;
use std::hash::{DefaultHasher, Hash, Hasher};

/// What the controllers have sent so far, in the order in which they sent it.
#[derive(Default)]
pub(crate) struct TrafficDigest(DefaultHasher);

impl TrafficDigest {
    /// A controller sends a request to a service or a worker.
    pub(crate) fn call(&mut self, now: Ms, message: &Message) {
        let destination = format!("{:?}", message.destination);
        (now, destination, &message.method).hash(&mut self.0);
        (&message.path, &message.body).hash(&mut self.0);
    }

    /// A controller answers a request.
    pub(crate) fn reply(&mut self, now: Ms, node: usize, status: u16, body: &[u8]) {
        (now, node, status, body).hash(&mut self.0);
    }

    /// A controller sends a message to another one.
    pub(crate) fn peer(&mut self, now: Ms, node: usize, to: &str, message: &[u8]) {
        (now, node, to, message).hash(&mut self.0);
    }

    /// The digest so far.
    pub(crate) fn value(&self) -> u64 {
        self.0.finish()
    }
}
