//! The task that owns all state of a controller and executes the effects of its steps.

use super::requests::PendingRequests;
use crate::clock;
use async_channel::{Receiver, Sender};
use async_io::Timer;
use forkshift_core::{CallId, Effect, Input, Node, Target};
use forkshift_net::{Call, Client, Executor, PeerLink};
use forkshift_wire::NodeName;
use futures_lite::future;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Maximum time between two steps. The timers of the state machine are checked in each step,
/// so this is also their resolution when no inputs arrive.
const MAX_STEP_INTERVAL: Duration = Duration::from_millis(50);
/// Minimum time between two checks of the HTTP client for connections that have been idle too
/// long.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_secs(5);
/// Status that the state machine receives for a call without a response.
const NO_RESPONSE: u16 = 0;

/// The destinations of the effects of a step.
pub(super) struct Endpoints {
    /// The HTTP client for all calls.
    pub client: Rc<Client>,
    /// Address of the key-value store.
    pub store: SocketAddr,
    /// Address of the cloud.
    pub cloud: SocketAddr,
    /// Links to the other controllers, by their names.
    pub links: HashMap<NodeName, PeerLink>,
    /// HTTP requests that wait for their replies.
    pub requests: Rc<PendingRequests>,
}

/// Owner of the state machine. The documentation of [`super`] describes the concurrency.
pub(super) struct Controller {
    node: Node,
    ex: Executor,
    endpoints: Endpoints,
    /// The queue of inputs, for the responses to calls.
    inputs: Sender<Input>,
    /// Origin of the monotonic clock that the state machine sees.
    started_at: Instant,
}

impl Controller {
    /// Creates a controller whose monotonic clock starts now. Responses to calls are sent to
    /// `inputs`.
    pub(super) fn new(
        node: Node,
        ex: Executor,
        endpoints: Endpoints,
        inputs: Sender<Input>,
    ) -> Self {
        Self {
            node,
            ex,
            endpoints,
            inputs,
            started_at: Instant::now(),
        }
    }

    /// Steps the state machine for each batch of inputs, and at least every
    /// [`MAX_STEP_INTERVAL`]. Never returns.
    pub(super) async fn run(mut self, inputs: Receiver<Input>) {
        let mut last_idle_check = Instant::now();
        loop {
            let batch = next_batch(&inputs).await;
            let now_ms = self.started_at.elapsed().as_millis() as u64;
            for effect in self.node.step(now_ms, clock::unix_time_ms(), batch) {
                self.execute(effect);
            }
            if last_idle_check.elapsed() > IDLE_CHECK_INTERVAL {
                last_idle_check = Instant::now();
                self.endpoints.client.close_expired_connections();
            }
            // Lets other tasks run even if the queue is never empty.
            future::yield_now().await;
        }
    }

    fn execute(&self, effect: Effect) {
        match effect {
            Effect::Respond { request, reply } => self.endpoints.requests.reply(request, reply),
            Effect::SendToPeer { node, message } => {
                if let Some(link) = self.endpoints.links.get(&node) {
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
                let call = self.address_of(&target).map(|addr| Call {
                    addr,
                    method,
                    path,
                    body,
                    timeout: Duration::from_millis(timeout),
                });
                self.spawn_call(id, call);
            }
        }
    }

    /// The address of a call's target; none if a worker has reported a malformed address.
    fn address_of(&self, target: &Target) -> Option<SocketAddr> {
        match target {
            Target::Store => Some(self.endpoints.store),
            Target::Cloud => Some(self.endpoints.cloud),
            Target::Worker(addr) => addr.parse().ok(),
        }
    }

    /// Spawns a task that makes a call and queues the response as an input. Without a call,
    /// because the target has no valid address, the task queues a response with the status
    /// [`NO_RESPONSE`].
    fn spawn_call(&self, id: CallId, call: Option<Call>) {
        let (client, inputs) = (self.endpoints.client.clone(), self.inputs.clone());
        let calling = async move {
            let (status, body) = match call {
                Some(call) => {
                    let outcome = client.call(call).await;
                    (outcome.status, outcome.body)
                }
                None => (NO_RESPONSE, Vec::new()),
            };
            let response = Input::Response {
                call: id,
                status,
                body,
            };
            // Sending fails only if the queue is closed, which happens when the process ends.
            let _ = inputs.send(response).await;
        };
        self.ex.spawn(calling).detach();
    }
}

/// Waits for an input, no longer than [`MAX_STEP_INTERVAL`], and returns it with all other
/// inputs that are queued by then. The batch is empty if no input arrived.
async fn next_batch(inputs: &Receiver<Input>) -> Vec<Input> {
    let first = async { inputs.recv().await.ok() };
    let timeout = async {
        Timer::after(MAX_STEP_INTERVAL).await;
        None
    };
    let mut batch: Vec<Input> = future::or(first, timeout).await.into_iter().collect();
    while let Ok(input) = inputs.try_recv() {
        batch.push(input);
    }
    batch
}
