//! The HTTP server for users, workers and health probes.
//!
//! Each connection has a task of its own, which handles one request at a time. The table
//! of open connections belongs to the accept loop and is shared with these tasks.

use crate::accept::Acceptor;
use crate::deadline;
use crate::stream::Stream;
use crate::Executor;
use async_h1::server::Encoder;
use async_io::Timer;
use futures_lite::{future, io, AsyncReadExt};
use http_types::headers::{HeaderValues, CONNECTION};
use http_types::{Body, Method, StatusCode};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::future::Future;
use std::net::TcpListener;
use std::rc::Rc;
use std::time::Duration;

/// A request that has been read completely.
#[derive(Debug)]
pub struct Request {
    /// `GET`, `POST`, …
    pub method: String,
    /// Path and query.
    pub path: String,
    /// The body; none if it was longer than the server allows.
    pub body: Option<Vec<u8>>,
}

/// A response.
#[derive(Clone, Debug)]
pub struct Response {
    /// HTTP status.
    pub status: u16,
    /// Body, in JSON.
    pub body: Vec<u8>,
    /// Value of the `retry-after` header, in seconds.
    pub retry_after_s: Option<u32>,
}

/// Limits of a server.
#[derive(Clone, Copy, Debug)]
pub struct ServerLimits {
    /// Maximum number of open connections; more wait in the backlog.
    pub max_connections: usize,
    /// Number of open connections beyond which each is closed after its response: there
    /// may be more workers than sockets, and each of them sends heartbeats.
    pub max_keep_alive_connections: usize,
    /// Maximum size of a request body, in bytes.
    pub max_body_bytes: usize,
    /// Time after which a connection without any traffic is closed.
    pub idle_timeout: Duration,
    /// Timeout for the body of a request.
    pub body_timeout: Duration,
}

/// Idle time after which a connection may be closed in favour of a new one.
const MIN_EVICTION_IDLE: Duration = Duration::from_secs(1);
/// Delay between two checks for a free place in the table.
const FULL_TABLE_DELAY: Duration = Duration::from_millis(5);

/// Why a connection ends early.
#[derive(Debug, thiserror::Error)]
enum ConnectionError {
    /// Sending or receiving failed.
    #[error("connection lost: {0}")]
    Io(#[from] io::Error),
    /// The bytes are not an HTTP request.
    #[error("malformed request: {0}")]
    Malformed(http_types::Error),
    /// The body did not arrive completely, or not in time.
    #[error("incomplete body: {0}")]
    IncompleteBody(#[source] io::Error),
}

/// An open connection. Clones share the state.
#[derive(Clone)]
struct Connection {
    stream: Stream,
    /// Whether a request is waiting for its response.
    is_busy: Rc<Cell<bool>>,
}

/// The open connections.
#[derive(Default)]
struct ConnectionTable {
    open: RefCell<BTreeMap<u64, Connection>>,
    next_id: Cell<u64>,
}

impl ConnectionTable {
    fn len(&self) -> usize {
        self.open.borrow().len()
    }

    /// Adds a connection, and returns its key.
    fn insert(&self, connection: Connection) -> u64 {
        let id = self.next_id.get();
        self.next_id.set(id + 1);
        self.open.borrow_mut().insert(id, connection);
        id
    }

    fn remove(&self, id: u64) {
        self.open.borrow_mut().remove(&id);
    }

    /// Closes the connection that has been idle longest, unless that was only shortly.
    fn evict_idle(&self) {
        let open = self.open.borrow();
        let longest_idle = open
            .values()
            .filter(|connection| !connection.is_busy.get())
            .map(|connection| (connection.stream.idle_for(), &connection.stream))
            .max_by_key(|(idle_time, _)| *idle_time);
        match longest_idle {
            Some((idle_time, stream)) if idle_time >= MIN_EVICTION_IDLE => stream.close(),
            _ => {}
        }
    }
}

/// Serves requests until the process exits. `handler` is called for each request, and
/// may be called again before its earlier futures have completed.
pub async fn serve_http<F, Fut>(
    ex: Executor,
    listener: TcpListener,
    limits: ServerLimits,
    handler: F,
) where
    F: Fn(Request) -> Fut + Clone + 'static,
    Fut: Future<Output = Response> + 'static,
{
    let acceptor = match Acceptor::new(listener, "server") {
        Ok(acceptor) => acceptor,
        Err(e) => {
            log::error!("server: cannot listen, {e}");
            return;
        }
    };
    let table: Rc<ConnectionTable> = Rc::default();
    loop {
        // Idle clients must not lock others out. Connections beyond the limit wait in the
        // backlog, where a load balancer sees that they are not accepted and fails over.
        if table.len() >= limits.max_connections {
            table.evict_idle();
            Timer::after(FULL_TABLE_DELAY).await;
            continue;
        }
        let connection = Connection {
            stream: acceptor.accept().await,
            is_busy: Rc::default(),
        };
        let id = table.insert(connection.clone());
        let (table, handler) = (table.clone(), handler.clone());
        ex.spawn(async move {
            serve_connection(&connection, limits, &table, handler).await;
            connection.stream.close();
            table.remove(id);
        })
        .detach();
    }
}

/// Handles the requests of a connection, one after another, until it is closed or idle.
async fn serve_connection<F, Fut>(
    connection: &Connection,
    limits: ServerLimits,
    table: &ConnectionTable,
    handler: F,
) where
    F: Fn(Request) -> Fut + 'static,
    Fut: Future<Output = Response> + 'static,
{
    let serving = async {
        while exchange(connection, limits, table, &handler).await? == Next::KeepAlive {}
        Ok::<(), ConnectionError>(())
    };
    let idle = async {
        connection.stream.wait_idle(limits.idle_timeout).await;
        Ok(())
    };
    if let Err(e) = future::or(serving, idle).await {
        log::debug!("server: {e}");
    }
}

/// What happens to a connection after a response.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Next {
    KeepAlive,
    Close,
}

/// Reads a request and responds to it. The head must arrive within twice the idle time.
///
/// `async_h1::accept` would do the same, but sets a timer of `async-io` for each request,
/// which [`deadline`] avoids.
async fn exchange<F, Fut>(
    connection: &Connection,
    limits: ServerLimits,
    table: &ConnectionTable,
    handler: &F,
) -> Result<Next, ConnectionError>
where
    F: Fn(Request) -> Fut + 'static,
    Fut: Future<Output = Response> + 'static,
{
    let stream = &connection.stream;
    let head_timeout = async {
        deadline::deadline_after(limits.idle_timeout * 2).await;
        Ok(None)
    };
    let decoding = async_h1::server::decode(stream.clone());
    let decoded = future::or(decoding, head_timeout).await;
    let Some((request, mut unread)) = decoded.map_err(ConnectionError::Malformed)? else {
        return Ok(Next::Close);
    };
    let method = request.method();
    let closed_by_client = is_close(request.header(CONNECTION));
    connection.is_busy.set(true);
    let handled = handle(request, limits, handler).await;
    connection.is_busy.set(false);
    let mut response = handled?;
    if table.len() > limits.max_keep_alive_connections {
        response.insert_header(CONNECTION, "close");
    }
    let is_last = closed_by_client || is_close(response.header(CONNECTION));
    stream.send(Encoder::new(response, method)).await?;
    // What is left of the body precedes the next request.
    io::copy(&mut unread, &mut io::sink()).await?;
    Ok(match is_last {
        true => Next::Close,
        false => Next::KeepAlive,
    })
}

fn is_close(connection: Option<&HeaderValues>) -> bool {
    connection.is_some_and(|values| values.as_str().eq_ignore_ascii_case("close"))
}

/// Reads the rest of a request, and has it handled.
async fn handle<F, Fut>(
    mut request: http_types::Request,
    limits: ServerLimits,
    handler: &F,
) -> Result<http_types::Response, ConnectionError>
where
    F: Fn(Request) -> Fut,
    Fut: Future<Output = Response>,
{
    let body = read_body(&mut request, limits).await?;
    let is_body_too_long = body.is_none();
    let response = handler(Request {
        method: request.method().to_string(),
        path: path_and_query(&request),
        body,
    })
    .await;
    let mut response = http_response(response);
    if is_body_too_long {
        // Reading the rest of the body would cost more than a new connection.
        response.insert_header(CONNECTION, "close");
    }
    Ok(response)
}

/// Reads the body of a request; none if it is longer than allowed.
async fn read_body(
    request: &mut http_types::Request,
    limits: ServerLimits,
) -> Result<Option<Vec<u8>>, ConnectionError> {
    if request
        .len()
        .is_some_and(|length| length > limits.max_body_bytes)
    {
        return Ok(None);
    }
    let mut body = Vec::new();
    if request.len() == Some(0) || request.method() == Method::Get {
        return Ok(Some(body));
    }
    let reading = async {
        let mut limited = request.take(limits.max_body_bytes as u64 + 1);
        limited.read_to_end(&mut body).await
    };
    let timeout = async {
        deadline::deadline_after(limits.body_timeout).await;
        Err(io::ErrorKind::TimedOut.into())
    };
    let read = future::or(reading, timeout).await;
    read.map_err(ConnectionError::IncompleteBody)?;
    Ok((body.len() <= limits.max_body_bytes).then_some(body))
}

fn path_and_query(request: &http_types::Request) -> String {
    let url = request.url();
    match url.query() {
        Some(query) => format!("{}?{query}", url.path()),
        None => url.path().to_owned(),
    }
}

fn http_response(response: Response) -> http_types::Response {
    let status = StatusCode::try_from(response.status);
    let status = status.unwrap_or(StatusCode::InternalServerError);
    let mut http_response = http_types::Response::new(status);
    http_response.set_body(Body::from_bytes(response.body));
    http_response.insert_header("content-type", "application/json");
    if let Some(seconds) = response.retry_after_s {
        http_response.insert_header("retry-after", seconds.to_string());
    }
    http_response
}
