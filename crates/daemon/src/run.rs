//! `forkshift serve`: connects a controller's state machine to sockets and clocks.
//!
//! # Concurrency
//!
//! Everything runs on the main thread, on one local executor. All state of the controller
//! belongs to one task, the [`controller::Controller`]. Other tasks reach it only through
//! a queue of [`Input`]s:
//!
//! - the HTTP server queues requests and waits for their replies ([`requests`]);
//! - the peer listener queues messages of other controllers;
//! - each outgoing call is a task of its own, which queues the response.
//!
//! The controller takes all inputs that are queued as one batch, steps the state machine,
//! and executes the effects that it returns. A step is synchronous and does no I/O; nothing
//! else runs meanwhile, so its duration bounds the latency of every other task. The queue
//! has no bound of its own: what feeds it is bounded by the limits on connections, and on
//! calls under way in the core.
//!
//! The reactor's thread of `async-io` polls the sockets; no other thread is started here.
//!
//! # End
//!
//! There is no shutdown: the process is killed. What must survive is in the state service
//! before it is acknowledged.

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
use std::net::TcpListener;
use std::rc::Rc;
use std::time::Duration;

/// Maximum size of a request body, in bytes.
const MAX_BODY_BYTES: usize = 64 * 1024;
/// Time after which a connection without any traffic is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Timeout for the body of a request.
const BODY_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum number of idle connections of the client to one server.
const MAX_IDLE_PER_HOST: usize = 8;
/// Time for which the client keeps an idle connection.
const CLIENT_IDLE_TIMEOUT: Duration = Duration::from_secs(20);
/// Connections of each peer that are accepted. One is enough, but that of an earlier
/// incarnation may take a while to close.
const CONNECTIONS_PER_PEER: usize = 4;
/// Exclusive upper bound of an incarnation.
const INCARNATION_LIMIT: u64 = 1 << 52;
/// Interval between two log lines with the times of spans.
const SPANS_LOG_INTERVAL: Duration = Duration::from_secs(10);

/// Runs a controller until the process ends.
///
/// # Errors
///
/// Those of the system if an address can't be listened on.
pub(crate) fn run(settings: &Settings, config: Config, spans: Option<SpanTimes>) -> io::Result<()> {
    let bounds = config.bounds;
    let listener = forkshift_net::bind(settings.listen, bounds.connections)?;
    let peer_listener = TcpListener::bind(settings.peer_listen)?;
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
        state: settings.services.state,
        cloud: settings.services.cloud,
        links: links.collect(),
        requests,
    };
    let controller = Controller::new(node, ex.clone(), endpoints, sender);
    if let Some(spans) = spans {
        ex.spawn(log_spans(spans)).detach();
    }
    // The reactor's own thread waits for events. `async_io::block_on` would wait for
    // them here as well, and the two take turns at a switch of threads each.
    future::block_on(ex.run(controller.run(inputs)));
    Ok(())
}

/// Spawns the task that queues messages of other controllers.
fn spawn_peer_listener(ex: &Executor, listener: TcpListener, peers: usize, inputs: Sender<Input>) {
    let on_message = move |message| {
        // The queue is closed only if the process is about to end.
        let _ = inputs.try_send(Input::Peer(message));
    };
    let max_connections = peers * CONNECTIONS_PER_PEER;
    let listening = forkshift_net::listen(
        ex.clone(),
        listener,
        max_connections,
        MAX_MESSAGE_BYTES,
        on_message,
    );
    ex.spawn(listening).detach();
}

/// Spawns the task that accepts HTTP requests.
fn spawn_server(
    ex: &Executor,
    listener: TcpListener,
    limits: ServerLimits,
    requests: Rc<PendingRequests>,
) {
    let handler = move |request| {
        let requests = requests.clone();
        async move { requests.handle(request).await }
    };
    let serving = forkshift_net::serve(ex.clone(), listener, limits, handler);
    ex.spawn(serving).detach();
}

/// Logs the times of spans periodically.
async fn log_spans(spans: SpanTimes) {
    loop {
        Timer::after(SPANS_LOG_INTERVAL).await;
        if let Some(line) = spans.take_line() {
            log::info!("spans: {line}");
        }
    }
}
