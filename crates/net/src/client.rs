//! The HTTP client for the state service, the cloud and workers.
//!
//! Connections are pooled and reused. A call is attempted once: only the caller knows
//! whether a retry is safe.

use crate::deadline;
use crate::stream::{Stream, Traffic};
use async_h1::client::Encoder;
use futures_lite::{future, AsyncReadExt};
use http_types::headers::CONNECTION;
use http_types::{Body, Method, Url};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// One HTTP request to a service or a worker.
#[derive(Clone, Debug)]
pub struct Call {
    /// Address of the server.
    pub addr: SocketAddr,
    /// `GET`, `POST` or `DELETE`.
    pub method: &'static str,
    /// Path and query.
    pub path: String,
    /// Body, in JSON.
    pub body: Option<Vec<u8>>,
    /// Time after which a response is no longer accepted.
    pub timeout: Duration,
}

/// Result of a call.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// HTTP status; 0 if there was no response.
    pub status: u16,
    /// Body of the response.
    pub body: Vec<u8>,
}

impl Outcome {
    /// A result without a body.
    fn without_body(status: u16) -> Self {
        Self {
            status,
            body: Vec::new(),
        }
    }
}

/// Status of an outcome without a response.
const NO_RESPONSE: u16 = 0;
/// Status of an outcome whose response was longer than the client allows.
pub const STATUS_RESPONSE_TOO_LONG: u16 = 413;

/// Limits of a client.
#[derive(Clone, Copy, Debug)]
pub struct ClientLimits {
    /// Maximum number of idle connections to one server.
    pub max_idle_per_host: usize,
    /// Maximum number of idle connections in all.
    pub max_idle: usize,
    /// Time for which an idle connection is kept.
    pub idle_timeout: Duration,
    /// Maximum size of a response body, in bytes.
    pub max_response_bytes: u64,
}

/// Why a call has no response.
#[derive(Debug, thiserror::Error)]
enum CallError {
    /// The server can't be connected to.
    #[error("connection failed: {0}")]
    Connect(#[source] io::Error),
    /// The timeout passed while the connection was being established.
    #[error("timed out while connecting")]
    Expired,
    /// Sending or receiving failed.
    #[error("connection lost: {0}")]
    Io(#[from] io::Error),
    /// The request can't be encoded, or the response is not HTTP.
    #[error("HTTP error: {0}")]
    Http(http_types::Error),
    /// The response is longer than allowed.
    #[error("the response exceeds {0} bytes")]
    TooLong(u64),
}

impl From<http_types::Error> for CallError {
    fn from(error: http_types::Error) -> Self {
        Self::Http(error)
    }
}

/// An HTTP client with a pool of idle connections.
///
/// It belongs to one thread; calls on it may overlap.
pub struct Client {
    idle: RefCell<HashMap<SocketAddr, Vec<IdleConnection>>>,
    limits: ClientLimits,
    traffic: Cell<Traffic>,
}

/// A connection that is kept for reuse.
struct IdleConnection {
    stream: Stream,
    idle_since: Instant,
}

impl Client {
    /// A client without connections.
    pub fn new(limits: ClientLimits) -> Self {
        Self {
            idle: RefCell::default(),
            limits,
            traffic: Cell::default(),
        }
    }

    /// Makes a call, once. It completes within the timeout of the call; if dropped before
    /// that, it closes its connection.
    pub async fn call(&self, call: Call) -> Outcome {
        let started = Instant::now();
        let response = async {
            let attempted = self.attempt(&call, started).await;
            attempted.unwrap_or_else(|error| failed_outcome(&call, &error))
        };
        let timeout = async {
            deadline::deadline_after(call.timeout).await;
            log::debug!("{} {} {}: timed out", call.addr, call.method, call.path);
            Outcome::without_body(NO_RESPONSE)
        };
        future::or(response, timeout).await
    }

    /// Returns the bytes that completed calls have moved, with their heads, since this was
    /// last called.
    pub fn take_traffic(&self) -> Traffic {
        self.traffic.take()
    }

    /// Closes connections that have been idle for longer than the client keeps them.
    pub fn close_expired_connections(&self) {
        let keep = self.limits.idle_timeout;
        self.idle.borrow_mut().retain(|_, connections| {
            connections.retain(|idle| idle.idle_since.elapsed() < keep);
            !connections.is_empty()
        });
    }

    async fn attempt(&self, call: &Call, started: Instant) -> Result<Outcome, CallError> {
        let connection = CloseOnDrop::new(self.connect(call.addr).await?);
        // The process may have been paused while it connected. The request is stale then,
        // and the timer that ends the call may not have fired yet.
        if started.elapsed() >= call.timeout {
            return Err(CallError::Expired);
        }
        let stream = &connection.stream;
        stream.send(Encoder::new(http_request(call)?)).await?;
        let mut response = async_h1::client::decode(stream.clone()).await?;
        let body = self.read_body(&mut response).await?;
        self.add_traffic(stream.take_traffic());
        if body.len() as u64 > self.limits.max_response_bytes {
            return Err(CallError::TooLong(self.limits.max_response_bytes));
        }
        if !is_last(&response) {
            self.put_back(call.addr, connection.keep_open());
        }
        let status = response.status().into();
        Ok(Outcome { status, body })
    }

    /// An idle connection to a server, or a new one.
    async fn connect(&self, addr: SocketAddr) -> Result<Stream, CallError> {
        match self.take_idle(addr) {
            Some(stream) => Ok(stream),
            None => Stream::connect(addr).await.map_err(CallError::Connect),
        }
    }

    fn take_idle(&self, addr: SocketAddr) -> Option<Stream> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&addr)?;
        while let Some(connection) = connections.pop() {
            let is_recent = connection.idle_since.elapsed() < self.limits.idle_timeout;
            if is_recent && connection.stream.is_reusable() {
                return Some(connection.stream);
            }
        }
        None
    }

    fn put_back(&self, addr: SocketAddr, stream: Stream) {
        let mut idle = self.idle.borrow_mut();
        // There may be thousands of workers, most of which are not called again soon.
        let total: usize = idle.values().map(Vec::len).sum();
        let connections = idle.entry(addr).or_default();
        if connections.len() < self.limits.max_idle_per_host && total < self.limits.max_idle {
            let idle_since = Instant::now();
            connections.push(IdleConnection { stream, idle_since });
        }
    }

    /// Reads a body up to one byte beyond the limit, so that a longer one is detected.
    async fn read_body(&self, response: &mut http_types::Response) -> io::Result<Vec<u8>> {
        let mut body = Vec::new();
        let mut limited = response.take(self.limits.max_response_bytes + 1);
        limited.read_to_end(&mut body).await?;
        Ok(body)
    }

    fn add_traffic(&self, moved: Traffic) {
        let total = self.traffic.get();
        self.traffic.set(Traffic {
            sent: total.sent + moved.sent,
            received: total.received + moved.received,
        });
    }
}

/// Logs why a call failed, and returns the outcome that stands for it.
fn failed_outcome(call: &Call, error: &CallError) -> Outcome {
    match error {
        // A retry would fail as well: the caller must request less.
        CallError::TooLong(_) => {
            log::error!("{} {}: {error}", call.addr, call.path);
            Outcome::without_body(STATUS_RESPONSE_TOO_LONG)
        }
        _ => {
            log::debug!("{} {} {}: {error}", call.addr, call.method, call.path);
            Outcome::without_body(NO_RESPONSE)
        }
    }
}

fn http_request(call: &Call) -> http_types::Result<http_types::Request> {
    let method = match call.method {
        "GET" => Method::Get,
        "DELETE" => Method::Delete,
        _ => Method::Post,
    };
    let url = Url::parse(&format!("http://{}{}", call.addr, call.path))?;
    let mut request = http_types::Request::new(method, url);
    if let Some(body) = &call.body {
        request.set_body(Body::from_bytes(body.clone()));
        request.insert_header("content-type", "application/json");
    }
    Ok(request)
}

/// Whether the server closes the connection after this response.
fn is_last(response: &http_types::Response) -> bool {
    let connection = response.header(CONNECTION);
    connection.is_some_and(|value| value.as_str().eq_ignore_ascii_case("close"))
}

/// Closes the connection of a call that ends early: the late response would be taken for
/// that of the next call.
struct CloseOnDrop {
    stream: Stream,
    is_armed: bool,
}

impl CloseOnDrop {
    fn new(stream: Stream) -> Self {
        Self {
            stream,
            is_armed: true,
        }
    }

    fn keep_open(mut self) -> Stream {
        self.is_armed = false;
        self.stream.clone()
    }
}

impl Drop for CloseOnDrop {
    fn drop(&mut self) {
        if self.is_armed {
            self.stream.close();
        }
    }
}
