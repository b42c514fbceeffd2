//! The HTTP server for users, workers and health probes.
//!
//! Each connection has a task of its own, which serves one request at a time. The accept
//! loop and the tasks of the connections share the table of open connections.

use crate::accept::Acceptor;
use crate::deadline::deadline_after;
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

/// An HTTP request that was received completely.
#[derive(Debug)]
pub struct Request {
    /// HTTP method in upper case, as in `GET`.
    pub method: String,
    /// Path and query of the URL.
    pub path: String,
    /// The body, empty if the request has none. `None`: the body was longer than
    /// [`ServerLimits::max_body_bytes`].
    pub body: Option<Vec<u8>>,
}

/// The response to an HTTP request.
#[derive(Clone, Debug)]
pub struct Response {
    /// HTTP status; 500 is sent for a number that is not a status.
    pub status: u16,
    /// Body, in JSON.
    pub body: Vec<u8>,
    /// Value of the `retry-after` header, in seconds; none: the header is left out.
    pub retry_after_s: Option<u32>,
}

/// Limits of a server on connections and requests.
#[derive(Clone, Copy, Debug)]
pub struct ServerLimits {
    /// Maximum number of open connections. Further connections wait in the backlog of the
    /// listening socket.
    pub max_connections: usize,
    /// Number of open connections above which a connection is closed after its next
    /// response. There may be more workers than sockets, and every worker needs a connection
    /// for its heartbeats.
    pub max_keep_alive_connections: usize,
    /// Maximum size of a request body, in bytes.
    pub max_body_bytes: usize,
    /// Time after which a connection without any traffic is closed.
    pub idle_timeout: Duration,
    /// Timeout for receiving the body of a request.
    pub body_timeout: Duration,
}

/// Idle time after which a connection may be closed to accept a new one.
const MIN_IDLE_BEFORE_EVICTION: Duration = Duration::from_secs(1);
/// While the maximum number of connections is open: interval between two checks whether one
/// has been closed.
const FULL_TABLE_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Why a connection is closed before its client closes it.
#[derive(Debug, thiserror::Error)]
enum ConnectionError {
    /// Sending or receiving failed.
    #[error("connection lost: {0}")]
    Io(#[from] io::Error),
    /// The client sent something other than an HTTP request.
    #[error("malformed request: {0}")]
    Malformed(http_types::Error),
    /// The body did not arrive completely, or not in time.
    #[error("incomplete body: {0}")]
    IncompleteBody(#[source] io::Error),
}

/// An open connection. Clones refer to the same connection.
#[derive(Clone)]
struct Connection {
    stream: Stream,
    /// Whether a request has been received and its response is not ready yet.
    is_handling_request: Rc<Cell<bool>>,
}

/// The open connections of a server, by numbers that are assigned in order.
#[derive(Default)]
struct ConnectionTable {
    open: RefCell<BTreeMap<u64, Connection>>,
    next_id: Cell<u64>,
}

impl ConnectionTable {
    fn len(&self) -> usize {
        self.open.borrow().len()
    }

    /// Adds a connection and returns its number.
    fn insert(&self, connection: Connection) -> u64 {
        let id = self.next_id.get();
        self.next_id.set(id + 1);
        self.open.borrow_mut().insert(id, connection);
        id
    }

    fn remove(&self, id: u64) {
        self.open.borrow_mut().remove(&id);
    }

    /// Closes the connection that has been idle longest, if it has been idle for at least
    /// [`MIN_IDLE_BEFORE_EVICTION`]. A connection whose request is being handled is not closed.
    fn close_longest_idle(&self) {
        let open = self.open.borrow();
        let longest_idle = open
            .values()
            .filter(|connection| !connection.is_handling_request.get())
            .map(|connection| (connection.stream.idle_for(), &connection.stream))
            .max_by_key(|(idle_time, _)| *idle_time);
        match longest_idle {
            Some((idle_time, stream)) if idle_time >= MIN_IDLE_BEFORE_EVICTION => stream.close(),
            _ => {}
        }
    }
}

/// Serves HTTP requests until the process exits. `handler` is called once for each request;
/// it may be called again before the futures of earlier calls have completed.
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
            log::error!("server: cannot listen, requests will not be served: {e}");
            return;
        }
    };
    let table: Rc<ConnectionTable> = Rc::default();
    loop {
        // Idle clients must not block new ones, so the longest idle connection is closed.
        // Connections beyond the limit wait in the backlog, where a load balancer notices
        // that they are not accepted, and fails over to another controller.
        if table.len() >= limits.max_connections {
            table.close_longest_idle();
            Timer::after(FULL_TABLE_POLL_INTERVAL).await;
            continue;
        }
        let connection = Connection {
            stream: acceptor.accept().await,
            is_handling_request: Rc::default(),
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

/// Serves the requests of a connection one after another, until the connection is closed or
/// has been idle for [`ServerLimits::idle_timeout`].
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
        while serve_request(connection, limits, table, &handler).await? == AfterResponse::KeepAlive
        {
        }
        Ok::<(), ConnectionError>(())
    };
    let idle_timeout = async {
        connection.stream.wait_idle(limits.idle_timeout).await;
        Ok(())
    };
    if let Err(e) = future::or(serving, idle_timeout).await {
        log::debug!("server: connection closed, {e}");
    }
}

/// Whether a connection stays open after a response.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum AfterResponse {
    KeepAlive,
    Close,
}

/// Receives a request, calls the handler and sends the response.
///
/// The head of the request must arrive within twice [`ServerLimits::idle_timeout`]. This
/// timeout ends a connection whose client sends the head so slowly, byte by byte, that the
/// connection is never idle.
///
/// `async_h1::accept` has the same purpose, but sets a timer of `async-io` for each request;
/// the module `deadline` avoids that cost.
async fn serve_request<F, Fut>(
    connection: &Connection,
    limits: ServerLimits,
    table: &ConnectionTable,
    handler: &F,
) -> Result<AfterResponse, ConnectionError>
where
    F: Fn(Request) -> Fut + 'static,
    Fut: Future<Output = Response> + 'static,
{
    let stream = &connection.stream;
    let head_timeout = async {
        deadline_after(limits.idle_timeout * 2).await;
        Ok(None)
    };
    let decoding = async_h1::server::decode(stream.clone());
    let decoded = future::or(decoding, head_timeout).await;
    let Some((request, mut unread)) = decoded.map_err(ConnectionError::Malformed)? else {
        return Ok(AfterResponse::Close);
    };
    let method = request.method();
    let client_closes = is_close(request.header(CONNECTION));
    connection.is_handling_request.set(true);
    let handled = respond_to(request, limits, handler).await;
    connection.is_handling_request.set(false);
    let mut response = handled?;
    if table.len() > limits.max_keep_alive_connections {
        response.insert_header(CONNECTION, "close");
    }
    let is_last_response = client_closes || is_close(response.header(CONNECTION));
    stream.send(Encoder::new(response, method)).await?;
    // The next request follows the rest of the body, so the rest is read and discarded.
    io::copy(&mut unread, &mut io::sink()).await?;
    Ok(match is_last_response {
        true => AfterResponse::Close,
        false => AfterResponse::KeepAlive,
    })
}

/// Whether a `connection` header asks for the connection to be closed.
fn is_close(connection: Option<&HeaderValues>) -> bool {
    connection.is_some_and(|values| values.as_str().eq_ignore_ascii_case("close"))
}

/// Reads the body of a request, calls the handler, and returns its response.
async fn respond_to<F, Fut>(
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
        // Reading and discarding the rest of the body would cost more than a new connection.
        response.insert_header(CONNECTION, "close");
    }
    Ok(response)
}

/// Reads the body of a request. `None`: the body is longer than
/// [`ServerLimits::max_body_bytes`].
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
        deadline_after(limits.body_timeout).await;
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
