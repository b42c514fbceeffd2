//! HTTP requests that wait for the controller's reply.

use async_channel::Sender;
use forkshift_core::{Input, Reply, RequestId};
use forkshift_net::{Request, Response};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;

/// Value of the `retry-after` header, in seconds, of a response without the controller's
/// reply.
const RETRY_AFTER_S: u32 = 1;

/// The HTTP requests that were queued for the controller and have no reply yet.
pub(super) struct PendingRequests {
    inputs: Sender<Input>,
    /// For each request, the channel on which its connection waits for the reply.
    reply_senders: RefCell<HashMap<RequestId, Sender<Reply>>>,
    next_id: Cell<u64>,
}

impl PendingRequests {
    /// Creates an empty set of requests. Each request will be queued in `inputs`.
    pub(super) fn new(inputs: Sender<Input>) -> Self {
        Self {
            inputs,
            reply_senders: RefCell::default(),
            next_id: Cell::default(),
        }
    }

    /// Queues a request as an input and waits for the controller's reply. If the connection
    /// is closed, the returned future is dropped, and a later reply is ignored.
    pub(super) async fn await_reply(&self, request: Request) -> Response {
        let id = self.next_request_id();
        let (reply_sender, reply) = async_channel::bounded(1);
        self.reply_senders.borrow_mut().insert(id, reply_sender);
        let _registration = Registration { requests: self, id };
        let input = Input::Request {
            request: id,
            method: request.method,
            path: request.path,
            body: request.body,
        };
        if self.inputs.send(input).await.is_err() {
            return unavailable();
        }
        match reply.recv().await {
            Ok(reply) => Response {
                status: reply.status,
                body: reply.body,
                retry_after_s: reply.retry_after_s,
            },
            Err(_) => unavailable(),
        }
    }

    /// Passes the controller's reply to the connection of the request, unless the connection
    /// has been closed.
    pub(super) fn reply(&self, request: RequestId, reply: Reply) {
        if let Some(sender) = self.reply_senders.borrow_mut().remove(&request) {
            // Sending fails only if the connection has been closed.
            let _ = sender.try_send(reply);
        }
    }

    fn next_request_id(&self) -> RequestId {
        let id = self.next_id.get();
        self.next_id.set(id + 1);
        RequestId(id)
    }
}

/// The response if the controller does not reply, because the process ends.
fn unavailable() -> Response {
    Response {
        status: 503,
        body: Vec::new(),
        retry_after_s: Some(RETRY_AFTER_S),
    }
}

/// Removes a request from [`PendingRequests`] when its future completes or is dropped.
struct Registration<'a> {
    requests: &'a PendingRequests,
    id: RequestId,
}

impl Drop for Registration<'_> {
    fn drop(&mut self) {
        self.requests.reply_senders.borrow_mut().remove(&self.id);
    }
}
