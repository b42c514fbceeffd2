//! `forkshift serve`: connects the state machine of a controller to sockets and clocks.
//!
//! # Concurrency
//!
//! All tasks run on the main thread, on one local executor. One task, the
//! [`controller::Controller`], owns all state of the controller. Other tasks reach that state
//! only through a queue of [`Input`]s:
//!
//! - the HTTP server queues requests and waits for their replies ([`requests`]);
//! - the peer listener queues messages of other controllers;
//! - each outgoing call is a task of its own, which queues the response.
//!
//! The controller takes all queued inputs as one batch, steps the state machine, and executes
//! the effects that the step returns. A step is synchronous and does no I/O. No other task
//! runs during a step, so the duration of a step bounds the latency of every other task.
//!
//! The queue itself is unbounded. Its length is bounded by the limits on connections, and by
//! the limits of the core on calls in flight.
//!
//! The reactor's thread of `async-io` polls the sockets. This module starts no other thread.
//!
//! # Shutdown
//!
//! There is none: the process is killed. Everything that must survive is written to the
//! key-value store before it is acknowledged.

mod controller;
mod requests;

use crate::spans::SpanTimes;
use async_channel::Sender;
use async_executor::LocalExecutor;
use async_io::Timer;
use controller::{Controller, Endpoints};
use forkshift_core::{Config, Input, Node};
use forkshift_net::{Client, ClientLimits, Executor, PeerLink, ServerLimits};
use forkshift_wire::peer::MAX_MESSAGE_BYTES;
use forkshift_wire::settings::Settings;
use futures_lite::future;
use rand::Rng;
use requests::PendingRequests;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::time::Duration;

/// Maximum size of a request body, in bytes. A request of this size can be forwarded to
/// another controller in one message of up to [`MAX_MESSAGE_BYTES`].
const MAX_BODY_BYTES: usize = 64 * 1024;
/// Time after which the HTTP server closes a connection without any traffic.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Timeout for receiving the body of a request.
const BODY_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum number of idle connections of the HTTP client to one server.
const MAX_IDLE_PER_HOST: usize = 8;
/// Time after which the HTTP client closes an idle connection.
const CLIENT_IDLE_TIMEOUT: Duration = Duration::from_secs(20);
/// Maximum number of incoming connections for each peer. A peer uses one connection, but
/// connections of its earlier incarnations may still be open after a restart.
const MAX_CONNECTIONS_PER_PEER: usize = 4;
/// Exclusive upper bound of an incarnation, a random number that identifies one run of a
/// controller. JSON readers that use 64-bit floats represent numbers below 2^53 exactly.
const INCARNATION_LIMIT: u64 = 1 << 52;
/// Interval between two log lines with the durations of spans.
const SPANS_LOG_INTERVAL: Duration = Duration::from_secs(10);

/// The controller can't listen on an address of the platform's settings.
#[derive(Debug, thiserror::Error)]
#[error("`{field}`: cannot listen on {addr}: {source}")]
pub(crate) struct ListenError {
    /// Name of the field in the settings.
    field: &'static str,
    /// Value of the field.
    addr: SocketAddr,
    /// The error of the operating system.
    source: io::Error,
}

/// Runs a controller until the process ends. With `spans`, their durations are logged
/// periodically.
///
/// # Errors
///
/// [`ListenError`], for the first address on which the controller can't listen.
pub(crate) fn run(
    settings: &Settings,
    config: Config,
    spans: Option<SpanTimes>,
) -> Result<(), ListenError> {
    let bounds = config.bounds;
    let listen_error = |field, addr| {
        move |source| ListenError {
            field,
            addr,
            source,
        }
    };
    let listener = forkshift_net::bind_listener(settings.listen, bounds.connections)
        .map_err(listen_error("bind", settings.listen))?;
    let peer_listener = TcpListener::bind(settings.peer_listen)
        .map_err(listen_error("cluster_listen", settings.peer_listen))?;
    let server_limits = ServerLimits {
        max_connections: bounds.connections,
        max_keep_alive_connections: bounds.keep_alive_connections,
        max_body_bytes: MAX_BODY_BYTES,
        idle_timeout: IDLE_TIMEOUT,
        body_timeout: BODY_TIMEOUT,
    };
    let client_limits = ClientLimits {
        max_idle_per_host: MAX_IDLE_PER_HOST,
        max_idle: bounds.idle_connections,
        idle_timeout: CLIENT_IDLE_TIMEOUT,
        max_response_bytes: bounds.answer_bytes,
    };
    let ex: Executor = Rc::new(LocalExecutor::new());
    let mut rng = rand::rng();
    let node = Node::new(config, rng.random_range(1..INCARNATION_LIMIT), rng.random());
    let (sender, inputs) = async_channel::unbounded();
    let requests = Rc::new(PendingRequests::new(sender.clone()));
    spawn_peer_listener(&ex, peer_listener, settings.peers.len(), sender.clone());
    spawn_server(&ex, listener, server_limits, requests.clone());
    log::info!("{} listens on {}", settings.node, settings.listen);
    let links = settings.peers.iter().map(|peer| {
        let link = PeerLink::new(&ex, peer.addr, bounds.peer_queue_bytes);
        (peer.node.clone(), link)
    });
    let endpoints = Endpoints {
        client: Rc::new(Client::new(client_limits)),
        store: settings.services.state,
        cloud: settings.services.cloud,
        links: links.collect(),
        requests,
    };
    let controller = Controller::new(node, ex.clone(), endpoints, sender);
    if let Some(spans) = spans {
        ex.spawn(log_spans(spans)).detach();
    }
    // The reactor's own thread waits for events. `async_io::block_on` would wait for events
    // on this thread as well; the two threads would alternate, at the cost of a thread switch
    // each time.
    future::block_on(ex.run(controller.run(inputs)));
    Ok(())
}

/// Spawns the task that receives messages of other controllers and queues them as inputs.
fn spawn_peer_listener(
    ex: &Executor,
    listener: TcpListener,
    peer_count: usize,
    inputs: Sender<Input>,
) {
    let on_message = move |message| {
        // Sending fails only if the queue is closed, which happens when the process ends.
        let _ = inputs.try_send(Input::Peer(message));
    };
    let max_connections = peer_count * MAX_CONNECTIONS_PER_PEER;
    let listening = forkshift_net::receive_peer_messages(
        ex.clone(),
        listener,
        max_connections,
        MAX_MESSAGE_BYTES,
        on_message,
    );
    ex.spawn(listening).detach();
}

/// Spawns the task that serves HTTP requests.
fn spawn_server(
    ex: &Executor,
    listener: TcpListener,
    limits: ServerLimits,
    requests: Rc<PendingRequests>,
) {
    let handler = move |request| {
        let requests = requests.clone();
        async move { requests.await_reply(request).await }
    };
    let serving = forkshift_net::serve_http(ex.clone(), listener, limits, handler);
    ex.spawn(serving).detach();
}

/// Logs the durations of spans every [`SPANS_LOG_INTERVAL`].
async fn log_spans(spans: SpanTimes) {
    loop {
        Timer::after(SPANS_LOG_INTERVAL).await;
        if let Some(line) = spans.take_summary() {
            log::info!("spans: {line}");
        }
    }
}
