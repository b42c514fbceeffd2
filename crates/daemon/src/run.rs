//! Wiring: the owner of all state, fed by the server and by finished calls.

use crate::spans::SpanTimes;
use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use async_io::Timer;
use forkshift_core::{Config, Effect, Input, Node, Reply, RequestId, Target};
use forkshift_net::{
    Call, Client, ClientLimits, Executor, PeerLink, Request, Response, ServerLimits,
};
use forkshift_wire::peer::MAX_MESSAGE_BYTES;
use forkshift_wire::settings::Settings;
use forkshift_wire::NodeName;
use futures_lite::future;
use rand::Rng;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The largest body of a request.
const BODY_MOST: usize = 64 * 1024;
/// How long the owner waits for inputs before it looks at the clock.
const TICK: Duration = Duration::from_millis(50);
/// A connection on which nothing moves for this long is closed.
const IDLE: Duration = Duration::from_secs(30);
/// Time for the body of a request.
const READ: Duration = Duration::from_secs(5);

/// How often the times of spans are logged.
const SPANS_EVERY: Duration = Duration::from_secs(10);

type Waiting = Rc<RefCell<HashMap<RequestId, Sender<Reply>>>>;

/// Runs a controller until the process ends.
pub fn run(settings: &Settings, config: Config, spans: Option<SpanTimes>) -> io::Result<()> {
    let bounds = config.bounds;
    let listener = forkshift_net::bind(settings.listen, bounds.connections)?;
    let peer_listener = TcpListener::bind(settings.peer_listen)?;
    let ex: Executor = Rc::new(LocalExecutor::new());
    let mut rng = rand::rng();
    let node = Node::new(config, rng.random_range(1..1 << 52), rng.random());
    let (sender, receiver) = async_channel::unbounded();
    let waiting: Waiting = Rc::default();
    let limits = ServerLimits {
        connections: bounds.connections,
        roomy: bounds.kept_connections,
        body: BODY_MOST,
        idle: IDLE,
        read: READ,
    };
    let inbox = sender.clone();
    let take = move |message| {
        let _ = inbox.try_send(Input::Peer(message));
    };
    let connections = settings.peers.len() * 4;
    let listening = forkshift_net::listen(
        ex.clone(),
        peer_listener,
        connections,
        MAX_MESSAGE_BYTES,
        take,
    );
    ex.spawn(listening).detach();
    let links = settings.peers.iter();
    let links = links.map(|p| {
        (
            p.node.clone(),
            PeerLink::new(&ex, p.addr, bounds.peer_queue_bytes),
        )
    });
    let handler = handler(sender.clone(), waiting.clone());
    ex.spawn(forkshift_net::serve(ex.clone(), listener, limits, handler))
        .detach();
    log::info!("{} listens on {}", settings.node, settings.listen);
    let owner = Owner {
        node,
        ex: ex.clone(),
        client: Rc::new(Client::new(ClientLimits {
            per_host: 8,
            idle: bounds.idle_connections,
            keep: Duration::from_secs(20),
            largest: bounds.answer_bytes,
        })),
        state: settings.services.state,
        cloud: settings.services.cloud,
        links: links.collect(),
        sender,
        waiting,
        started: Instant::now(),
    };
    if let Some(spans) = spans {
        ex.spawn(log_spans(spans)).detach();
    }
    // The reactor's own thread waits for events. `async_io::block_on` would wait for
    // them here as well, and the two take turns at a switch of threads each.
    future::block_on(ex.run(owner.work(receiver)));
    Ok(())
}

/// Logs how long the parts of steps took.
async fn log_spans(spans: SpanTimes) {
    loop {
        Timer::after(SPANS_EVERY).await;
        if let Some(line) = spans.take_line() {
            log::info!("spans: {line}");
        }
    }
}

/// Hands requests to the owner and waits for its answers.
fn handler(
    sender: Sender<Input>,
    waiting: Waiting,
) -> impl Fn(Request) -> std::pin::Pin<Box<dyn std::future::Future<Output = Response>>> + Clone {
    let next = Rc::new(Cell::new(0_u64));
    move |req: Request| {
        let (sender, waiting) = (sender.clone(), waiting.clone());
        let request = RequestId(next.get());
        next.set(request.0 + 1);
        Box::pin(async move {
            let (reply, answer) = async_channel::bounded(1);
            waiting.borrow_mut().insert(request, reply);
            let guard = Forget(waiting, request);
            let input = Input::Request {
                request,
                method: req.method,
                path: req.path,
                body: req.body,
            };
            let sent = sender.send(input).await.is_ok();
            let reply = if sent { answer.recv().await.ok() } else { None };
            drop(guard);
            match reply {
                Some(reply) => Response {
                    status: reply.status,
                    body: reply.body,
                    retry_after_s: reply.retry_after_s,
                },
                None => Response {
                    status: 503,
                    body: Vec::new(),
                    retry_after_s: Some(1),
                },
            }
        })
    }
}

/// A request whose connection is gone waits for nothing any more.
struct Forget(Waiting, RequestId);

impl Drop for Forget {
    fn drop(&mut self) {
        self.0.borrow_mut().remove(&self.1);
    }
}

struct Owner {
    node: Node,
    ex: Executor,
    client: Rc<Client>,
    state: SocketAddr,
    cloud: SocketAddr,
    links: HashMap<NodeName, PeerLink>,
    sender: Sender<Input>,
    waiting: Waiting,
    started: Instant,
}

impl Owner {
    async fn work(mut self, receiver: Receiver<Input>) {
        let mut swept = Instant::now();
        loop {
            let next = async { receiver.recv().await.ok() };
            let tick = async {
                Timer::after(TICK).await;
                None
            };
            let mut batch: Vec<Input> = future::or(next, tick).await.into_iter().collect();
            while let Ok(input) = receiver.try_recv() {
                batch.push(input);
            }
            let now = self.started.elapsed().as_millis() as u64;
            let wall = SystemTime::now().duration_since(UNIX_EPOCH);
            let wall = wall.map_or(0, |t| t.as_millis() as u64);
            for effect in self.node.step(now, wall, batch) {
                self.carry_out(effect);
            }
            if swept.elapsed() > Duration::from_secs(5) {
                swept = Instant::now();
                self.client.sweep();
            }
            future::yield_now().await;
        }
    }

    fn carry_out(&self, effect: Effect) {
        match effect {
            Effect::Respond { request, reply } => {
                if let Some(sender) = self.waiting.borrow_mut().remove(&request) {
                    let _ = sender.try_send(reply);
                }
            }
            Effect::SendToPeer { node, message } => {
                if let Some(link) = self.links.get(&node) {
                    link.send(message);
                }
            }
            Effect::Call {
                id,
                target,
                method,
                path,
                body,
                timeout,
            } => {
                let addr = match &target {
                    Target::Store => Some(self.state),
                    Target::Cloud => Some(self.cloud),
                    Target::Worker(addr) => addr.parse().ok(),
                };
                let (client, sender) = (self.client.clone(), self.sender.clone());
                self.ex
                    .spawn(async move {
                        let (status, body) = match addr {
                            Some(addr) => {
                                let timeout = Duration::from_millis(timeout);
                                let call = Call {
                                    addr,
                                    method,
                                    path,
                                    body,
                                    timeout,
                                };
                                let outcome = client.call(call).await;
                                (outcome.status, outcome.body)
                            }
                            None => (0, Vec::new()),
                        };
                        let answer = Input::Response {
                            call: id,
                            status,
                            body,
                        };
                        let _ = sender.send(answer).await;
                    })
                    .detach();
            }
        }
    }
}
