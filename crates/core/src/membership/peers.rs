//! The other controllers from which messages have been received.

use crate::Ms;
use forkshift_wire::peer::HeartbeatAck;
use forkshift_wire::NodeName;
use std::collections::BTreeMap;

/// One incarnation of another controller.
#[derive(Clone, Copy, Debug)]
struct Peer {
    incarnation: u64,
    /// When its last message was received.
    last_message_at: Ms,
    /// The time in its last heartbeat, by its own clock.
    last_heartbeat_sent_at: Option<u64>,
}

/// The last known incarnation of each other controller.
#[derive(Debug, Default)]
pub(crate) struct PeerTable {
    peers: BTreeMap<NodeName, Peer>,
}

impl PeerTable {
    /// Notes a message of a peer. The time of the last heartbeat stays only within an
    /// incarnation, as each has a clock of its own.
    pub(crate) fn record_message(&mut self, from: &NodeName, incarnation: u64, now: Ms) {
        let known = self.peer_of_incarnation(from, incarnation);
        let peer = Peer {
            incarnation,
            last_message_at: now,
            last_heartbeat_sent_at: known.and_then(|peer| peer.last_heartbeat_sent_at),
        };
        self.peers.insert(from.clone(), peer);
    }

    /// Notes when the peer sent a heartbeat, by its own clock.
    pub(crate) fn record_heartbeat(&mut self, from: &NodeName, incarnation: u64, sent_at: u64) {
        let peer = self.peers.get_mut(from);
        if let Some(peer) = peer.filter(|peer| peer.incarnation == incarnation) {
            peer.last_heartbeat_sent_at = peer.last_heartbeat_sent_at.max(Some(sent_at));
        }
    }

    /// The acknowledgement of a peer's last heartbeat; none before the first one.
    pub(crate) fn acknowledgement(&self, node: &NodeName) -> Option<HeartbeatAck> {
        let peer = self.peers.get(node)?;
        peer.last_heartbeat_sent_at.map(|sent_at| HeartbeatAck {
            incarnation: peer.incarnation,
            sent_at,
        })
    }

    /// When the last message of an incarnation was received.
    pub(crate) fn last_message_at(&self, node: &NodeName, incarnation: u64) -> Option<Ms> {
        let peer = self.peer_of_incarnation(node, incarnation)?;
        Some(peer.last_message_at)
    }

    /// Forgets all peers.
    #[cfg(test)]
    pub(crate) fn clear(&mut self) {
        self.peers.clear();
    }

    fn peer_of_incarnation(&self, node: &NodeName, incarnation: u64) -> Option<&Peer> {
        let peer = self.peers.get(node);
        peer.filter(|peer| peer.incarnation == incarnation)
    }
}
