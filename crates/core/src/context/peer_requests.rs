//! Requests that other controllers have forwarded to this one, and answers to requests of all
//! kinds.

use super::Context;
use crate::io::{Effect, Reply, RequestId, PEER_REQUEST_BIT};
use crate::Ms;
use forkshift_wire::peer::Body;
use forkshift_wire::NodeName;

/// Time after which a forwarded request is dropped, as its sender no longer waits for an answer,
/// in milliseconds.
const PEER_REQUEST_TTL_MS: Ms = 5_000;

/// The origin of a request that another controller has forwarded.
pub(crate) struct PeerRequest {
    from: NodeName,
    /// The incarnation that forwarded the request. A later incarnation may use the same number
    /// for another request, and must not accept this answer for that request.
    incarnation: u64,
    /// The sender's number for the request.
    request_number: u64,
    expires_at: Ms,
}

impl Context {
    /// Registers a request that another controller has forwarded, and returns its local id.
    pub(crate) fn register_peer_request(
        &mut self,
        from: NodeName,
        incarnation: u64,
        request_number: u64,
    ) -> RequestId {
        self.next_call += 1;
        let request = RequestId(self.next_call | PEER_REQUEST_BIT);
        let peer_request = PeerRequest {
            from,
            incarnation,
            request_number,
            expires_at: self.now + PEER_REQUEST_TTL_MS,
        };
        self.peer_requests.insert(request, peer_request);
        request
    }

    /// Drops the forwarded requests that have expired, without an answer.
    pub(crate) fn expire_peer_requests(&mut self) {
        let now = self.now;
        self.peer_requests
            .retain(|_, request| now < request.expires_at);
    }

    /// Answers a request from a user, a worker or another controller.
    pub(crate) fn respond(&mut self, request: RequestId, reply: Reply) {
        if request.is_from_peer() {
            self.respond_to_peer(request, reply);
        } else {
            self.effects.push(Effect::Respond { request, reply });
        }
    }

    /// Sends the answer to a forwarded request, unless the request has expired.
    fn respond_to_peer(&mut self, request: RequestId, reply: Reply) {
        let Some(peer_request) = self.peer_requests.remove(&request) else {
            return;
        };
        let body = Body::ForwardedResponse {
            incarnation: peer_request.incarnation,
            request_number: peer_request.request_number,
            status: reply.status,
            body: reply.body,
            retry_after_s: reply.retry_after_s,
        };
        self.send_to_peer(&peer_request.from, 0, body);
    }
}
