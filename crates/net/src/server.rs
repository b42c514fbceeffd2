//! The server that users, workers and probes come to.

use crate::deadline;
use crate::stream::Stream;
use crate::Executor;
use async_h1::server::Encoder;
use async_io::{Async, Timer};
use futures_lite::{future, io, AsyncReadExt};
use http_types::headers::{HeaderValues, CONNECTION};
use http_types::{Body, Method, StatusCode};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::future::Future;
use std::net::TcpListener;
use std::rc::Rc;
use std::time::Duration;

/// A request, read whole.
#[derive(Debug)]
pub struct Request {
    /// `GET`, `POST`, …
    pub method: String,
    /// Path and query.
    pub path: String,
    /// The body; none if it was longer than allowed.
    pub body: Option<Vec<u8>>,
}

/// An answer.
#[derive(Clone, Debug)]
pub struct Response {
    /// HTTP status.
    pub status: u16,
    /// JSON.
    pub body: Vec<u8>,
    /// When to come back.
    pub retry_after_s: Option<u32>,
}

/// What bounds the server.
#[derive(Clone, Copy, Debug)]
pub struct ServerLimits {
    /// Connections at a time.
    pub connections: usize,
    /// Beyond this many, a connection is closed behind its answer: there may be
    /// more workers than sockets, and each reports now and then.
    pub roomy: usize,
    /// Largest body.
    pub body: usize,
    /// A connection on which nothing moves for this long is closed.
    pub idle: Duration,
    /// Time for the body of a request.
    pub read: Duration,
}

/// A connection that has been idle for this long may be closed for another.
const SPARE_IDLE: Duration = Duration::from_secs(1);

/// A connection, and whether a request on it waits for its answer.
type Entry = (Stream, Rc<Cell<bool>>);

/// The connections that are open.
#[derive(Default)]
struct Table {
    open: RefCell<BTreeMap<u64, Entry>>,
    next: Cell<u64>,
}

impl Table {
    fn len(&self) -> usize {
        self.open.borrow().len()
    }

    /// Closes the connection that has been idle longest, if there is one.
    fn close_idle(&self) {
        let open = self.open.borrow();
        let idle = open.values().filter(|(_, busy)| !busy.get());
        let idle = idle.map(|(stream, _)| (stream.idle_for(), stream));
        let oldest = idle.max_by_key(|(time, _)| *time);
        if let Some((_, stream)) = oldest.filter(|(time, _)| *time >= SPARE_IDLE) {
            stream.close();
        }
    }
}

/// Serves until the process ends.
pub async fn serve<F, Fut>(ex: Executor, listener: TcpListener, limits: ServerLimits, handler: F)
where
    F: Fn(Request) -> Fut + Clone + 'static,
    Fut: Future<Output = Response> + 'static,
{
    let listener = match Async::new(listener) {
        Ok(listener) => listener,
        Err(e) => {
            log::error!("cannot listen: {e}");
            return;
        }
    };
    let table: Rc<Table> = Rc::default();
    loop {
        // Nobody is shut out by those who sit idle. Connections beyond the
        // limit wait in the backlog, where the load balancer sees them as not
        // accepted and goes elsewhere.
        if table.len() >= limits.connections {
            table.close_idle();
            Timer::after(Duration::from_millis(5)).await;
            continue;
        }
        let stream = match listener.accept().await {
            Ok((stream, _)) => Stream::new(stream),
            Err(e) => {
                log::debug!("accept: {e}");
                Timer::after(Duration::from_millis(50)).await;
                continue;
            }
        };
        let id = table.next.get();
        table.next.set(id + 1);
        let busy = Rc::new(Cell::new(false));
        let entry = (stream.clone(), busy.clone());
        table.open.borrow_mut().insert(id, entry);
        let (table, handler) = (table.clone(), handler.clone());
        ex.spawn(async move {
            connection(&stream, limits, &table, &busy, handler).await;
            stream.close();
            table.open.borrow_mut().remove(&id);
        })
        .detach();
    }
}

async fn connection<F, Fut>(
    stream: &Stream,
    limits: ServerLimits,
    table: &Table,
    busy: &Cell<bool>,
    handler: F,
) where
    F: Fn(Request) -> Fut + 'static,
    Fut: Future<Output = Response> + 'static,
{
    let serving = async {
        while exchange(stream, limits, table, busy, &handler).await? == Next::KeepAlive {}
        Ok::<(), http_types::Error>(())
    };
    let idle = async {
        stream.idle(limits.idle).await;
        Ok(())
    };
    if let Err(e) = future::or(serving, idle).await {
        log::debug!("connection: {e}");
    }
}

/// What becomes of a connection behind an answer.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Next {
    KeepAlive,
    Close,
}

/// Reads a request and answers it. `async_h1::accept` sets a timer of `async-io` for
/// each; the deadline of the head is the same here, twice the idle time.
async fn exchange<F, Fut>(
    stream: &Stream,
    limits: ServerLimits,
    table: &Table,
    busy: &Cell<bool>,
    handler: &F,
) -> http_types::Result<Next>
where
    F: Fn(Request) -> Fut + 'static,
    Fut: Future<Output = Response> + 'static,
{
    let late = async {
        deadline::after(limits.idle * 2).await;
        Ok(None)
    };
    let decoded = future::or(async_h1::server::decode(stream.clone()), late).await?;
    let Some((req, mut unread)) = decoded else {
        return Ok(Next::Close);
    };
    let method = req.method();
    let last_by_client = is_close(req.header(CONNECTION));
    busy.set(true);
    let answered = answer(req, limits, handler).await;
    busy.set(false);
    let mut res = answered?;
    if table.len() > limits.roomy {
        res.insert_header(CONNECTION, "close");
    }
    let last = last_by_client || is_close(res.header(CONNECTION));
    stream.send(Encoder::new(res, method)).await?;
    // What the handler left of the body stands before the next request.
    io::copy(&mut unread, &mut io::sink()).await?;
    Ok(if last { Next::Close } else { Next::KeepAlive })
}

fn is_close(connection: Option<&HeaderValues>) -> bool {
    connection.is_some_and(|values| values.as_str().eq_ignore_ascii_case("close"))
}

async fn answer<F, Fut>(
    mut req: http_types::Request,
    limits: ServerLimits,
    handler: &F,
) -> http_types::Result<http_types::Response>
where
    F: Fn(Request) -> Fut,
    Fut: Future<Output = Response>,
{
    let method = match req.method() {
        Method::Get => "GET".to_owned(),
        Method::Post => "POST".to_owned(),
        other => other.to_string(),
    };
    let url = req.url();
    let path = match url.query() {
        Some(query) => format!("{}?{query}", url.path()),
        None => url.path().to_owned(),
    };
    let mut whole = true;
    let mut body = Vec::new();
    if req.len().is_some_and(|len| len > limits.body) {
        whole = false;
    } else if req.len() != Some(0) && method != "GET" {
        let reading = async {
            let limit = limits.body as u64 + 1;
            (&mut req).take(limit).read_to_end(&mut body).await
        };
        let late = async {
            deadline::after(limits.read).await;
            Err(std::io::ErrorKind::TimedOut.into())
        };
        if let Err(e) = future::or(reading, late).await {
            return Err(http_types::Error::new(StatusCode::RequestTimeout, e));
        }
        whole = body.len() <= limits.body;
    }
    let reply = handler(Request {
        method,
        path,
        body: whole.then_some(body),
    })
    .await;
    let status = StatusCode::try_from(reply.status).unwrap_or(StatusCode::InternalServerError);
    let mut res = http_types::Response::new(status);
    res.set_body(Body::from_bytes(reply.body));
    res.insert_header("content-type", "application/json");
    if let Some(seconds) = reply.retry_after_s {
        res.insert_header("retry-after", seconds.to_string());
    }
    if !whole {
        // The rest of the body is not worth reading.
        res.insert_header("connection", "close");
    }
    Ok(res)
}
