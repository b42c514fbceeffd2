//! The task that owns all state of a controller.

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

/// Maximum time between two steps: without inputs, timers are checked this often.
const MAX_STEP_INTERVAL: Duration = Duration::from_millis(50);
/// Minimum time between two sweeps of the client's idle connections.
const SWEEP_INTERVAL: Duration = Duration::from_secs(5);
/// Status of a call without a response.
const NO_RESPONSE: u16 = 0;

/// Where the effects of a step go.
pub(super) struct Endpoints {
    /// The client for all calls.
    pub client: Rc<Client>,
    /// Address of the state service.
    pub state: SocketAddr,
    /// Address of the cloud.
    pub cloud: SocketAddr,
    /// Links to the other controllers.
    pub links: HashMap<NodeName, PeerLink>,
    /// Requests that wait for their replies.
    pub requests: Rc<PendingRequests>,
}

/// Owner of the state machine; see [`super`] for the concurrency.
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
    /// A controller whose clock starts now.
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

    /// Steps the state machine for each batch of inputs, or at the latest after
    /// [`MAX_STEP_INTERVAL`]; never returns.
    pub(super) async fn run(mut self, inputs: Receiver<Input>) {
        let mut last_sweep = Instant::now();
        loop {
            let batch = next_batch(&inputs).await;
            let now_ms = self.started_at.elapsed().as_millis() as u64;
            for effect in self.node.step(now_ms, clock::unix_time_ms(), batch) {
                self.execute(effect);
            }
            if last_sweep.elapsed() > SWEEP_INTERVAL {
                last_sweep = Instant::now();
                self.endpoints.client.close_expired_connections();
            }
            // Other tasks get their turn even if inputs never cease.
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

    /// The address of a target; none if that of a worker is malformed.
    fn address_of(&self, target: &Target) -> Option<SocketAddr> {
        match target {
            Target::Store => Some(self.endpoints.state),
            Target::Cloud => Some(self.endpoints.cloud),
            Target::Worker(addr) => addr.parse().ok(),
        }
    }

    /// Spawns a task that makes a call and queues its response; without a call, it queues
    /// that there was none.
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
            // The queue is closed only if the process is about to end.
            let _ = inputs.send(response).await;
        };
        self.ex.spawn(calling).detach();
    }
}

/// Waits for an input, up to [`MAX_STEP_INTERVAL`], and takes all that are queued then.
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
