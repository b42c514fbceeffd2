//! HTTP requests that wait for the controller's reply.

use async_channel::Sender;
use forkshift_core::{Input, Reply, RequestId};
use forkshift_net::{Request, Response};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;

/// Value of `retry-after`, in seconds, if the controller gives no reply.
const RETRY_AFTER_S: u32 = 1;

/// Hands requests to the controller, and its replies to the connections.
pub(super) struct PendingRequests {
    inputs: Sender<Input>,
    /// Where the reply to each request goes.
    replies: RefCell<HashMap<RequestId, Sender<Reply>>>,
    next_id: Cell<u64>,
}

impl PendingRequests {
    /// No requests yet; they will be queued as inputs.
    pub(super) fn new(inputs: Sender<Input>) -> Self {
        Self {
            inputs,
            replies: RefCell::default(),
            next_id: Cell::default(),
        }
    }

    /// Queues a request and waits for the reply. If dropped before that, because the
    /// connection is closed, the reply will be ignored.
    pub(super) async fn handle(&self, request: Request) -> Response {
        let id = self.new_id();
        let (reply_sender, reply) = async_channel::bounded(1);
        self.replies.borrow_mut().insert(id, reply_sender);
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

    /// Passes the controller's reply on, unless the connection is closed.
    pub(super) fn reply(&self, request: RequestId, reply: Reply) {
        if let Some(sender) = self.replies.borrow_mut().remove(&request) {
            // It fails only if the connection has been closed.
            let _ = sender.try_send(reply);
        }
    }

    fn new_id(&self) -> RequestId {
        let id = self.next_id.get();
        self.next_id.set(id + 1);
        RequestId(id)
    }
}

fn unavailable() -> Response {
    Response {
        status: 503,
        body: Vec::new(),
        retry_after_s: Some(RETRY_AFTER_S),
    }
}

/// Removes a request when its handler ends or is dropped.
struct Registration<'a> {
    requests: &'a PendingRequests,
    id: RequestId,
}

impl Drop for Registration<'_> {
    fn drop(&mut self) {
        self.requests.replies.borrow_mut().remove(&self.id);
    }
}
