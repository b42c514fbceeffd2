//! Tests of `forward`.

use super::*;
use crate::fixture::Fixture;
use crate::io::Effect;
use crate::node::Node;
use forkshift_wire::peer::Envelope;

const PEER_INC: u64 = 9;

/// Statuses that were sent back to the controller that passes requests on.
fn refused(effects: &[Effect]) -> Vec<u16> {
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

fn pass_on(node: &mut Node, ask: u64) {
    let from = (NodeName::new("north"), PEER_INC);
    let path = format!("/submissions/j-{ask}");
    node.on_forwarded_request(from, ask, "GET", &path, None);
}

/// One request too many was dropped without a word: whoever had passed it on waited
/// half a second or more for an answer that never came.
#[test]
fn one_request_too_many_is_refused_at_once() {
    let mut f = Fixture::new();
    let most = f.node.ctx.config.bounds.forwarded_requests as u64;
    for ask in 0..most {
        pass_on(&mut f.node, ask);
    }
    assert_eq!(f.node.ctx.peer_requests.len() as u64, most, "all wait");
    assert_eq!(
        refused(&std::mem::take(&mut f.node.ctx.effects)),
        Vec::<u16>::new()
    );
    pass_on(&mut f.node, most);
    assert_eq!(f.node.ctx.peer_requests.len() as u64, most, "no more wait");
    assert_eq!(refused(&std::mem::take(&mut f.node.ctx.effects)), vec![503]);
}

/// What was refused elsewhere is dealt with here, without waiting.
#[test]
fn a_refused_request_is_dealt_with_by_whoever_passed_it_on() {
    let mut f = Fixture::new();
    let forward = PendingForward {
        request: RequestId(1),
        message: ForwardedRequest {
            method: "GET".to_owned(),
            path: "/submissions/j-1".to_owned(),
            body: None,
        },
        target: NodeName::new("north"),
        resend_at: None,
        deadline: f.node.ctx.now + QUESTION_MS,
    };
    f.node.forwards.insert(5, forward);
    f.node
        .on_forwarded_response(5, Reply::later("too many requests"));
    let effects = f.step(0);
    let reads = |e: &Effect| matches!(e, Effect::Call { path, .. } if path == "/kv/job/j-1");
    assert!(effects.iter().any(reads), "{effects:?}");
}
