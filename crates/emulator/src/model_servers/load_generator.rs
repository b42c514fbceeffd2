//! Open-loop load generator over all model servers: its request rate does not depend on how
//! fast the servers answer.

use super::{FirstAnswers, ModelServerMap, HTTP_OK, IDLE_CONNECTION_TIMEOUT, MAX_BODY_BYTES};
use async_io::Timer;
use forkshift_net::{Call, Client, ClientLimits, Executor};
use forkshift_wire::TaskRef;
use futures_lite::future;
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Requests per second over all servers.
const REQUESTS_PER_S: u64 = 200;
/// Largest number of in-flight requests. Requests beyond it are skipped, not delayed.
const MAX_CONCURRENT_REQUESTS: usize = 500;
/// Timeout of a request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(1);
const MICROSECONDS_PER_S: u64 = 1_000_000;

/// Sends requests to all servers in turn, at a fixed rate.
pub(super) struct LoadGenerator {
    executor: Executor,
    /// Start of the run. Times of answers are relative to it.
    started: Instant,
    servers: ModelServerMap,
    first_answers: FirstAnswers,
    client: Client,
    concurrent_requests: Cell<usize>,
}

impl LoadGenerator {
    pub(super) fn new(
        executor: &Executor,
        started: Instant,
        servers: ModelServerMap,
        first_answers: FirstAnswers,
    ) -> Rc<Self> {
        let client = Client::new(ClientLimits {
            max_idle_per_host: 1,
            max_idle: MAX_CONCURRENT_REQUESTS,
            idle_timeout: IDLE_CONNECTION_TIMEOUT,
            max_response_bytes: MAX_BODY_BYTES as u64,
        });
        Rc::new(Self {
            executor: executor.clone(),
            started,
            servers,
            first_answers,
            client,
            concurrent_requests: Cell::new(0),
        })
    }

    /// Sends requests at the fixed rate until the task is dropped.
    pub(super) async fn run(self: Rc<Self>) {
        let load_started = Instant::now();
        for number in 0_u64.. {
            let offset = Duration::from_micros(number * MICROSECONDS_PER_S / REQUESTS_PER_S);
            Timer::at(load_started + offset).await;
            let target = self.target(number);
            let has_capacity = self.concurrent_requests.get() < MAX_CONCURRENT_REQUESTS;
            let Some((task, address)) = target.filter(|_| has_capacity) else {
                continue;
            };
            self.concurrent_requests
                .set(self.concurrent_requests.get() + 1);
            let request = self.clone().send_request(task, address);
            self.executor.spawn(request).detach();
            future::yield_now().await;
        }
    }

    /// The server for the request of this number, round-robin; `None` if there are no servers.
    fn target(&self, number: u64) -> Option<(TaskRef, SocketAddr)> {
        let servers = self.servers.borrow();
        let count = servers.len().max(1) as u64;
        let ((task, _), server) = servers.iter().nth((number % count) as usize)?;
        Some((task.clone(), server.address))
    }

    /// Sends a request, and records the time if it is the first one that the replica answers
    /// with 200.
    async fn send_request(self: Rc<Self>, task: TaskRef, address: SocketAddr) {
        let call = Call {
            addr: address,
            method: "POST",
            path: "/answer".to_owned(),
            body: Some(b"{}".to_vec()),
            timeout: REQUEST_TIMEOUT,
        };
        let is_answered = self.client.call(call).await.status == HTTP_OK;
        self.concurrent_requests
            .set(self.concurrent_requests.get() - 1);
        if let (true, Ok(mut answers)) = (is_answered, self.first_answers.lock()) {
            answers
                .entry(task)
                .or_insert_with(|| self.started.elapsed());
        }
    }
}
