//! HTTP servers of the simulated services and workers, which the controllers call.

use super::{SocketBridge, IDLE_TIMEOUT};
use crate::request_category::{classify, ClassifiedRequest};
use async_executor::Task;
use forkshift_net::{Request, Response, ServerLimits, Traffic};
use forkshift_testkit::{CallResponse, Service};
use futures_lite::future;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Timeout of reading the body of a request.
const READ_TIMEOUT: Duration = Duration::from_secs(5);
/// Largest body of a request, in bytes.
const MAX_BODY_BYTES: usize = 64 * 1024;
const HTTP_BAD_REQUEST: u16 = 400;

/// Removes a pending call on drop, also if the caller disconnects before the response.
struct PendingCall {
    bridge: Rc<SocketBridge>,
    number: u64,
}

impl Drop for PendingCall {
    fn drop(&mut self) {
        let mut calls = self.bridge.pending_calls.borrow_mut();
        calls.remove(&self.number);
    }
}

impl SocketBridge {
    /// Serves a service at an address until the task is dropped.
    pub(super) fn serve(
        self: &Rc<Self>,
        address: SocketAddr,
        service: Service,
        max_connections: usize,
    ) -> io::Result<Task<()>> {
        let listener = forkshift_net::bind_listener(address, max_connections)
            .map_err(|error| io::Error::new(error.kind(), format!("{address}: {error}")))?;
        let limits = ServerLimits {
            max_connections,
            max_keep_alive_connections: max_connections,
            max_body_bytes: MAX_BODY_BYTES,
            idle_timeout: IDLE_TIMEOUT,
            body_timeout: READ_TIMEOUT,
        };
        let bridge = self.clone();
        let handler = move |request| {
            let (bridge, service) = (bridge.clone(), service.clone());
            async move { bridge.handle(service, request).await }
        };
        let server = forkshift_net::serve_http(self.executor.clone(), listener, limits, handler);
        Ok(self.executor.spawn(server))
    }

    /// Passes a controller's call to the world and waits for the response. A call that the
    /// world never answers waits until the caller's timeout.
    async fn handle(self: Rc<Self>, service: Service, request: Request) -> Response {
        let Some(body) = request.body else {
            return body_too_large();
        };
        let (method, path) = (request.method, request.path);
        let is_worker = matches!(service, Service::Worker(_));
        let store_request =
            matches!(service, Service::Store(_)).then(|| classify(&method, &path, &body));
        let received_bytes = body.len() as u64;
        let response = self.call_world(service, &method, &path, body).await;
        if response.status >= HTTP_BAD_REQUEST {
            let (status, body) = (response.status, String::from_utf8_lossy(&response.body));
            log::debug!("{method} {path}: failed, status {status}, {body}");
        }
        if let Some(request) = store_request {
            self.record_store_request(&request, response.status);
        }
        if is_worker {
            self.record_command(received_bytes, response.body.len() as u64);
        }
        response
    }

    async fn call_world(
        self: &Rc<Self>,
        service: Service,
        method: &str,
        path: &str,
        body: Vec<u8>,
    ) -> Response {
        let number = self.next_call_number.get();
        self.next_call_number.set(number + 1);
        let (sender, receiver) = async_channel::bounded(1);
        self.pending_calls.borrow_mut().insert(number, sender);
        let _pending_call = PendingCall {
            bridge: self.clone(),
            number,
        };
        self.with_world(|world| world.call(number, service, method, path, body));
        self.dispatch();
        match receiver.recv().await {
            Ok(response) => response,
            Err(_) => future::pending().await,
        }
    }

    /// Completes a controller's call with the answer of the world.
    pub(super) fn complete_call(&self, answer: CallResponse) {
        if let Some(sender) = self.pending_calls.borrow_mut().remove(&answer.call) {
            let response = Response {
                status: answer.status,
                body: answer.body,
                retry_after_s: None,
            };
            // The caller may have disconnected.
            let _ = sender.try_send(response);
        }
    }

    fn record_store_request(&self, request: &ClassifiedRequest, status: u16) {
        self.with_metrics(|metrics| metrics.record_store_request(request, status));
    }

    fn record_command(&self, received: u64, sent: u64) {
        self.with_metrics(|metrics| {
            metrics.commands += 1;
            metrics.record_worker_traffic(Traffic { sent, received });
        });
    }
}

fn body_too_large() -> Response {
    Response {
        status: HTTP_BAD_REQUEST,
        body: br#"{"error":"too large"}"#.to_vec(),
        retry_after_s: None,
    }
}
