//! Sends the requests of simulated users and workers to the controllers.

use super::SocketBridge;
use forkshift_net::Call;
use forkshift_testkit::ControllerRequest;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Timeout of a worker's heartbeat.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(4);
/// Timeout of a user's submission or cancellation.
const SUBMISSION_TIMEOUT: Duration = Duration::from_secs(5);
/// Timeout of a user's status query.
const QUERY_TIMEOUT: Duration = Duration::from_secs(2);

impl SocketBridge {
    /// Sends a request of a user or a worker to a controller, and delivers the response to the
    /// requester. A request of a worker that was removed meanwhile is dropped.
    pub(super) async fn send_request(self: Rc<Self>, request: ControllerRequest) {
        let machine = request.requester.machine().cloned();
        let client = match &machine {
            Some(machine) => match self.worker_client(machine, request.controller) {
                Some(client) => client,
                None => return,
            },
            None => self.user_client.clone(),
        };
        let is_query = request.method == "GET";
        let call = Call {
            addr: self.controllers[request.controller],
            method: if is_query { "GET" } else { "POST" },
            path: request.path,
            body: (!is_query).then_some(request.body),
            timeout: timeout(machine.is_some(), is_query),
        };
        let sent_at = Instant::now();
        let outcome = client.call(call).await;
        if machine.is_some() {
            let mut metrics = self.metrics.borrow_mut();
            metrics.record_heartbeat(outcome.status, sent_at.elapsed().as_millis() as u64);
            metrics.record_worker_traffic(client.take_traffic());
        }
        self.with_world(|world| {
            world.deliver_reply(request.requester, outcome.status, outcome.body);
        });
        self.dispatch_world_output();
    }
}

fn timeout(is_worker: bool, is_query: bool) -> Duration {
    match (is_worker, is_query) {
        (true, _) => HEARTBEAT_TIMEOUT,
        (false, true) => QUERY_TIMEOUT,
        (false, false) => SUBMISSION_TIMEOUT,
    }
}
