//! Tests of forwarding.

use super::*;
use crate::fixture::Fixture;
use crate::io::Effect;
use crate::node::Node;
use forkshift_wire::peer::Envelope;

const PEER_INCARNATION: u64 = 9;

/// Drains the effects and returns the HTTP statuses of the answers to forwarded requests.
fn take_response_statuses(node: &mut Node) -> Vec<u16> {
    let effects = std::mem::take(&mut node.ctx.effects);
    let messages = effects.iter().filter_map(|e| match e {
        Effect::SendToPeer { message, .. } => Envelope::decode(message).ok(),
        _ => None,
    });
    messages
        .filter_map(|m| match m.body {
            Body::ForwardedResponse { status, .. } => Some(status),
            _ => None,
        })
        .collect()
}

fn receive_request(node: &mut Node, request_number: u64) {
    let sender = MessageSender {
        node: NodeName::new("north"),
        incarnation: PEER_INCARNATION,
    };
    let path = format!("/submissions/j-{request_number}");
    node.on_forwarded_request(&sender, request_number, "GET", &path, None);
}

/// A request beyond the limit must be refused with an answer. If it were dropped, its sender
/// would handle it only after the timeout.
#[test]
fn forwarded_request_beyond_the_bound_is_refused_at_once() {
    let mut f = Fixture::new();
    let max_requests = f.node.ctx.config.bounds.forwarded_requests as u64;
    for request_number in 0..max_requests {
        receive_request(&mut f.node, request_number);
    }
    let waiting = f.node.ctx.peer_requests.len() as u64;
    assert_eq!(waiting, max_requests, "all wait");
    assert_eq!(take_response_statuses(&mut f.node), Vec::<u16>::new());
    receive_request(&mut f.node, max_requests);
    let waiting = f.node.ctx.peer_requests.len() as u64;
    assert_eq!(waiting, max_requests, "no more wait");
    assert_eq!(take_response_statuses(&mut f.node), vec![503]);
}

/// A request that another controller refuses must be handled here at once, without waiting for
/// the timeout.
#[test]
fn refused_request_is_handled_by_the_controller_that_forwarded_it() {
    let mut f = Fixture::new();
    let forward = PendingForward {
        request: RequestId(1),
        forwarded: ForwardedRequest {
            method: "GET".to_owned(),
            path: "/submissions/j-1".to_owned(),
            body: None,
        },
        fallback: ForwardFallback::HandleLocally,
        target: NodeName::new("north"),
        resend_at: None,
        deadline: f.node.ctx.now + QUERY_TIMEOUT_MS,
    };
    f.node.pending_forwards.insert(5, forward);
    f.node
        .on_forwarded_response(5, Reply::unavailable("too many requests"));
    let effects = f.step(0);
    let reads = |e: &Effect| matches!(e, Effect::Call { path, .. } if path == "/kv/job/j-1");
    assert!(effects.iter().any(reads), "{effects:?}");
}
