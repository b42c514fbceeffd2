//! The client for state service, cloud and workers.
//!
//! Connections are kept and used again. A call is made once: whether it is
//! repeated is for the caller to say, who knows what a repetition means.

use crate::deadline;
use crate::stream::{Stream, Traffic};
use async_h1::client::Encoder;
use futures_lite::{future, AsyncReadExt};
use http_types::{Body, Method, Url};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// One request to a service or a worker.
#[derive(Clone, Debug)]
pub struct Call {
    /// Whom to ask.
    pub addr: SocketAddr,
    /// Whether it is a POST, a GET or a DELETE.
    pub method: &'static str,
    /// Path and query.
    pub path: String,
    /// JSON.
    pub body: Option<Vec<u8>>,
    /// No answer counts after this.
    pub timeout: Duration,
}

/// The answer; status 0 stands for none.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// HTTP status, or 0.
    pub status: u16,
    /// The body as it came.
    pub body: Vec<u8>,
}

struct Idle {
    stream: Stream,
    since: Instant,
}

/// Keeps connections for reuse.
pub struct Client {
    idle: RefCell<HashMap<SocketAddr, Vec<Idle>>>,
    limits: ClientLimits,
    traffic: Cell<Traffic>,
}

/// What bounds the client.
#[derive(Clone, Copy, Debug)]
pub struct ClientLimits {
    /// Idle connections that are kept to one host.
    pub per_host: usize,
    /// Idle connections that are kept in all.
    pub idle: usize,
    /// How long they are kept.
    pub keep: Duration,
    /// Largest answer, in bytes; a longer one ends the call with `TOO_LONG`.
    pub largest: u64,
}

/// The status that stands for an answer that is longer than allowed.
pub const TOO_LONG: u16 = 413;

impl Client {
    /// A client within such limits.
    pub fn new(limits: ClientLimits) -> Self {
        Self {
            idle: RefCell::default(),
            limits,
            traffic: Cell::default(),
        }
    }

    /// Makes a call, once.
    pub async fn call(&self, call: Call) -> Outcome {
        let began = Instant::now();
        let work = async {
            match self.attempt(&call, began).await {
                Ok(outcome) => outcome,
                Err(e) => {
                    log::debug!("{} {} {}: {e}", call.addr, call.method, call.path);
                    NO_ANSWER
                }
            }
        };
        let late = async {
            deadline::after(call.timeout).await;
            log::debug!("{} {} {}: no answer", call.addr, call.method, call.path);
            NO_ANSWER
        };
        future::or(work, late).await
    }

    /// Takes the count of bytes that calls which got their answer have moved, with
    /// their heads, since this was last called.
    pub fn take_traffic(&self) -> Traffic {
        self.traffic.take()
    }

    fn note_traffic(&self, stream: &Stream) {
        let (so_far, more) = (self.traffic.get(), stream.take_traffic());
        self.traffic.set(Traffic {
            sent: so_far.sent + more.sent,
            received: so_far.received + more.received,
        });
    }

    /// Closes connections that were not used for a while.
    pub fn sweep(&self) {
        let keep = self.limits.keep;
        self.idle.borrow_mut().retain(|_, list| {
            list.retain(|idle| idle.since.elapsed() < keep);
            !list.is_empty()
        });
    }

    fn reuse(&self, addr: SocketAddr) -> Option<Stream> {
        let mut idle = self.idle.borrow_mut();
        let list = idle.get_mut(&addr)?;
        while let Some(found) = list.pop() {
            if found.since.elapsed() < self.limits.keep && found.stream.is_quiet() {
                return Some(found.stream);
            }
        }
        None
    }

    async fn attempt(&self, call: &Call, began: Instant) -> http_types::Result<Outcome> {
        let stream = match self.reuse(call.addr) {
            Some(stream) => stream,
            None => Stream::connect(call.addr).await?,
        };
        let guard = CloseOnDrop(Some(stream));
        // The process may have stood still while it connected. What was to be
        // sent then is old, and the timer that ends the call has yet to fire.
        if began.elapsed() >= call.timeout {
            return Ok(NO_ANSWER);
        }
        let method = match call.method {
            "GET" => Method::Get,
            "DELETE" => Method::Delete,
            _ => Method::Post,
        };
        let url = Url::parse(&format!("http://{}{}", call.addr, call.path))?;
        let mut req = http_types::Request::new(method, url);
        if let Some(body) = &call.body {
            req.set_body(Body::from_bytes(body.clone()));
            req.insert_header("content-type", "application/json");
        }
        let Some(stream) = guard.0.as_ref() else {
            return Ok(NO_ANSWER);
        };
        stream.send(Encoder::new(req)).await?;
        let mut res = async_h1::client::decode(stream.clone()).await?;
        let mut body = Vec::new();
        (&mut res)
            .take(self.limits.largest + 1)
            .read_to_end(&mut body)
            .await?;
        self.note_traffic(stream);
        if body.len() as u64 > self.limits.largest {
            // Whoever asked must ask for less: the same again would be as long.
            log::error!("{} {}: the answer is too long", call.addr, call.path);
            return Ok(Outcome {
                status: TOO_LONG,
                body: Vec::new(),
            });
        }
        let closing = res
            .header("connection")
            .is_some_and(|v| v.as_str().eq_ignore_ascii_case("close"));
        let outcome = Outcome {
            status: res.status().into(),
            body,
        };
        if !closing {
            self.put_back(call.addr, guard.keep());
        }
        Ok(outcome)
    }

    fn put_back(&self, addr: SocketAddr, stream: Option<Stream>) {
        let mut idle = self.idle.borrow_mut();
        // Thousands of workers are called; most are not called again soon.
        let all: usize = idle.values().map(Vec::len).sum();
        let list = idle.entry(addr).or_default();
        let room = list.len() < self.limits.per_host && all < self.limits.idle;
        if let (Some(stream), true) = (stream, room) {
            let since = Instant::now();
            list.push(Idle { stream, since });
        }
    }
}

const NO_ANSWER: Outcome = Outcome {
    status: 0,
    body: Vec::new(),
};

/// A call that is given up must not leave its connection behind: an answer
/// that comes late would be taken for that of the next call.
struct CloseOnDrop(Option<Stream>);

impl CloseOnDrop {
    fn keep(mut self) -> Option<Stream> {
        self.0.take()
    }
}

impl Drop for CloseOnDrop {
    fn drop(&mut self) {
        if let Some(stream) = self.0.take() {
            stream.close();
        }
    }
}
