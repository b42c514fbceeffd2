//! The other controllers from which messages have been received, with the times that
//! liveness checks and heartbeat acknowledgements need.

use crate::Ms;
use forkshift_wire::peer::HeartbeatAck;
use forkshift_wire::NodeName;
use std::collections::BTreeMap;

/// One incarnation of another controller.
#[derive(Clone, Copy, Debug)]
struct Peer {
    incarnation: u64,
    /// When its last message was received, by this controller's clock.
    last_message_at: Ms,
    /// The latest send time in its heartbeats, by the peer's clock; none before the first.
    last_heartbeat_sent_at: Option<u64>,
}

/// The last known incarnation of each other controller.
#[derive(Debug, Default)]
pub(crate) struct PeerTable {
    peers: BTreeMap<NodeName, Peer>,
}

impl PeerTable {
    /// Records the receipt of a message from a peer. The send time of the last heartbeat is
    /// kept only within one incarnation, as each incarnation has its own clock.
    pub(crate) fn record_message(&mut self, from: &NodeName, incarnation: u64, now: Ms) {
        let known = self.peer_of_incarnation(from, incarnation);
        let peer = Peer {
            incarnation,
            last_message_at: now,
            last_heartbeat_sent_at: known.and_then(|peer| peer.last_heartbeat_sent_at),
        };
        self.peers.insert(from.clone(), peer);
    }

    /// Records the send time of a peer's heartbeat, by the peer's clock. Heartbeats of other
    /// incarnations than the recorded one are ignored.
    pub(crate) fn record_heartbeat(&mut self, from: &NodeName, incarnation: u64, sent_at: u64) {
        let peer = self.peers.get_mut(from);
        if let Some(peer) = peer.filter(|peer| peer.incarnation == incarnation) {
            peer.last_heartbeat_sent_at = peer.last_heartbeat_sent_at.max(Some(sent_at));
        }
    }

    /// The acknowledgement of a peer's last heartbeat, to be sent in this controller's next
    /// heartbeat; none before the first one.
    pub(crate) fn acknowledgement(&self, node: &NodeName) -> Option<HeartbeatAck> {
        let peer = self.peers.get(node)?;
        peer.last_heartbeat_sent_at.map(|sent_at| HeartbeatAck {
            incarnation: peer.incarnation,
            sent_at,
        })
    }

    /// When the last message of an incarnation was received; none if the last message came
    /// from another incarnation.
    pub(crate) fn last_message_at(&self, node: &NodeName, incarnation: u64) -> Option<Ms> {
        let peer = self.peer_of_incarnation(node, incarnation)?;
        Some(peer.last_message_at)
    }

    /// Removes all peers, as if no message had been received.
    #[cfg(test)]
    pub(crate) fn clear(&mut self) {
        self.peers.clear();
    }

    fn peer_of_incarnation(&self, node: &NodeName, incarnation: u64) -> Option<&Peer> {
        let peer = self.peers.get(node);
        peer.filter(|peer| peer.incarnation == incarnation)
    }
}
