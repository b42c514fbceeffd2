//! The HTTP client for calls to the key-value store, the cloud and workers.
//!
//! Connections are pooled and reused. The client sends each request once and never retries
//! it: only the caller knows whether a retry is safe.

use crate::deadline::deadline_after;
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

/// An HTTP request to the key-value store, the cloud or a worker.
#[derive(Clone, Debug)]
pub struct Call {
    /// Address of the server.
    pub addr: SocketAddr,
    /// `GET` or `DELETE`; any other value is sent as `POST`.
    pub method: &'static str,
    /// Path and query of the URL.
    pub path: String,
    /// Request body, in JSON; none: the request has no body.
    pub body: Option<Vec<u8>>,
    /// Time from the start of the call after which a response is no longer accepted.
    pub timeout: Duration,
}

/// Result of a call.
#[derive(Clone, Debug)]
pub struct CallOutcome {
    /// HTTP status of the response. 0: there was no response within the timeout.
    /// [`STATUS_RESPONSE_TOO_LONG`]: the response was discarded.
    pub status: u16,
    /// Body of the response; empty if there was no response or it was discarded.
    pub body: Vec<u8>,
}

impl CallOutcome {
    fn without_body(status: u16) -> Self {
        Self {
            status,
            body: Vec::new(),
        }
    }
}

/// Status of an outcome without a response.
const NO_RESPONSE: u16 = 0;
/// Status of an outcome whose response was longer than
/// [`ClientLimits::max_response_bytes`]. The client sets this status itself.
pub const STATUS_RESPONSE_TOO_LONG: u16 = 413;

/// Limits of a client on connections and responses.
#[derive(Clone, Copy, Debug)]
pub struct ClientLimits {
    /// Maximum number of idle connections to one server.
    pub max_idle_per_host: usize,
    /// Maximum number of idle connections to all servers together.
    pub max_idle: usize,
    /// Time after which an idle connection is closed.
    pub idle_timeout: Duration,
    /// Maximum size of a response body, in bytes.
    pub max_response_bytes: u64,
}

/// Why a call has no response.
#[derive(Debug, thiserror::Error)]
enum CallError {
    /// No connection could be established.
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
/// A client belongs to one thread. Several calls may be in flight at the same time.
pub struct Client {
    idle: RefCell<HashMap<SocketAddr, Vec<IdleConnection>>>,
    limits: ClientLimits,
    /// Traffic of completed calls since the last [`Client::take_traffic`].
    traffic: Cell<Traffic>,
}

/// An open connection without a call, kept for reuse.
struct IdleConnection {
    stream: Stream,
    idle_since: Instant,
}

impl Client {
    /// Creates a client without connections.
    pub fn new(limits: ClientLimits) -> Self {
        Self {
            idle: RefCell::default(),
            limits,
            traffic: Cell::default(),
        }
    }

    /// Sends a request once and waits for the response, no longer than the timeout of the
    /// call. If the returned future is dropped earlier, the connection is closed.
    pub async fn call(&self, call: Call) -> CallOutcome {
        let started = Instant::now();
        let response = async {
            let attempted = self.attempt(&call, started).await;
            attempted.unwrap_or_else(|error| failed_outcome(&call, &error))
        };
        let timeout = async {
            deadline_after(call.timeout).await;
            log::debug!("{} {} {}: timed out", call.addr, call.method, call.path);
            CallOutcome::without_body(NO_RESPONSE)
        };
        future::or(response, timeout).await
    }

    /// Returns the traffic of the calls that have completed since the last call of this
    /// method, including HTTP heads, and resets the counters.
    pub fn take_traffic(&self) -> Traffic {
        self.traffic.take()
    }

    /// Closes connections that have been idle for [`ClientLimits::idle_timeout`]. The owner
    /// of the client calls this method periodically.
    pub fn close_expired_connections(&self) {
        let idle_timeout = self.limits.idle_timeout;
        self.idle.borrow_mut().retain(|_, connections| {
            connections.retain(|idle| idle.idle_since.elapsed() < idle_timeout);
            !connections.is_empty()
        });
    }

    async fn attempt(&self, call: &Call, started: Instant) -> Result<CallOutcome, CallError> {
        let connection = CloseOnDrop::new(self.connect(call.addr).await?);
        // If the process was paused while the connection was being established, the request
        // is stale, but the timer that ends the call may not have fired yet.
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
        if !closes_connection(&response) {
            self.return_to_pool(call.addr, connection.disarm());
        }
        let status = response.status().into();
        Ok(CallOutcome { status, body })
    }

    /// Returns an idle connection to a server, or establishes a new one.
    async fn connect(&self, addr: SocketAddr) -> Result<Stream, CallError> {
        match self.reuse_idle(addr) {
            Some(stream) => Ok(stream),
            None => Stream::connect(addr).await.map_err(CallError::Connect),
        }
    }

    /// Takes the connection to a server that was pooled last and can serve another request.
    /// Connections that can't, and were pooled later, are dropped.
    fn reuse_idle(&self, addr: SocketAddr) -> Option<Stream> {
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

    /// Keeps a connection for reuse, or drops it if the pool has reached a limit.
    fn return_to_pool(&self, addr: SocketAddr, stream: Stream) {
        let mut idle = self.idle.borrow_mut();
        // The limit on the total matters for workers: there may be thousands of them, and
        // most are not called again soon.
        let total: usize = idle.values().map(Vec::len).sum();
        let connections = idle.entry(addr).or_default();
        if connections.len() < self.limits.max_idle_per_host && total < self.limits.max_idle {
            let idle_since = Instant::now();
            connections.push(IdleConnection { stream, idle_since });
        }
    }

    /// Reads a body up to one byte beyond the limit, so that the caller detects a body that
    /// is too long.
    async fn read_body(&self, response: &mut http_types::Response) -> io::Result<Vec<u8>> {
        let mut body = Vec::new();
        let mut limited = response.take(self.limits.max_response_bytes + 1);
        limited.read_to_end(&mut body).await?;
        Ok(body)
    }

    fn add_traffic(&self, traffic: Traffic) {
        let total = self.traffic.get();
        self.traffic.set(Traffic {
            sent: total.sent + traffic.sent,
            received: total.received + traffic.received,
        });
    }
}

/// Logs why a call failed, and returns the outcome that reports the failure.
fn failed_outcome(call: &Call, error: &CallError) -> CallOutcome {
    match error {
        // A retry would fail as well: the caller has to request a smaller response.
        CallError::TooLong(_) => {
            log::error!("{} {}: {error}", call.addr, call.path);
            CallOutcome::without_body(STATUS_RESPONSE_TOO_LONG)
        }
        _ => {
            log::debug!("{} {} {}: {error}", call.addr, call.method, call.path);
            CallOutcome::without_body(NO_RESPONSE)
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
fn closes_connection(response: &http_types::Response) -> bool {
    let connection = response.header(CONNECTION);
    connection.is_some_and(|value| value.as_str().eq_ignore_ascii_case("close"))
}

/// Closes the connection of a call when it is dropped, unless it was disarmed. A call that
/// ends early must not return its connection to the pool: the late response would be read as
/// the response to the next request.
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

    /// Returns the connection without closing it.
    fn disarm(mut self) -> Stream {
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
