//! Carries requests between the controllers' sockets and the world.
//!
//! The world plays users, workers, cloud and state service and knows of no
//! socket. The bridge serves HTTP for the services and for every hollow worker,
//! sends what users and workers ask to the controllers, and lets time pass.

use crate::addresses::{self, Addresses};
use crate::metrics::Metrics;
use crate::model_servers::{ModelServers, Replica};
use crate::pools::{AnsweringJobs, BurstSummary};
use crate::request_category;
use async_channel::Sender;
use async_executor::Task;
use async_io::Timer;
use forkshift_net::{
    Call, Client, ClientLimits, Executor, Request, Response, ServerLimits, Traffic,
};
use forkshift_testkit::{Answer, MachineChange, Outgoing, Service, World};
use forkshift_wire::MachineId;
use futures_lite::future;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// How often the world is moved on.
const TICK: Duration = Duration::from_millis(40);
/// Steps of the world are at most this long, in milliseconds.
const LONGEST_STEP_MS: u64 = 100;
/// A worker waits this long for the answer to a report.
const REPORT_PATIENCE: Duration = Duration::from_secs(4);
/// A user waits this long for the answer to a submission or a cancellation.
const USER_PATIENCE: Duration = Duration::from_secs(5);
/// A user waits this long for the answer to a question.
const QUESTION_PATIENCE: Duration = Duration::from_secs(2);
/// How often the load balancer probes a controller, and how long it waits.
const PROBE: Duration = Duration::from_secs(1);
/// Probes in a row without an answer after which a controller gets no users.
const PROBES_FAILED: u32 = 2;
/// A connection on which nothing moves for this long is closed.
const IDLE: Duration = Duration::from_secs(60);
/// Time for the body of a request.
const READ: Duration = Duration::from_secs(5);
/// Largest body that the services take.
const BODY_MOST: usize = 64 * 1024;
/// Connections that a service takes, and that a worker takes.
const SERVICE_CONNECTIONS: usize = 1_000;
const WORKER_CONNECTIONS: usize = 16;
/// Largest answer of a controller.
const ANSWER_MOST: u64 = 1024 * 1024;
/// Connections that users keep open to a controller.
const USER_CONNECTIONS: usize = 64;

/// A worker without a machine: its sockets alone.
struct HollowWorker {
    client: Rc<Client>,
    /// The controller that its connection leads to.
    node: usize,
    /// Serves its commands until it is dropped.
    _server: Option<Task<()>>,
}

/// Everything of a run but the controllers.
pub struct Bridge {
    ex: Executor,
    world: RefCell<World>,
    /// Calls of controllers that have no answer yet.
    calls: RefCell<HashMap<u64, Sender<Response>>>,
    next_call: Cell<u64>,
    controllers: Vec<SocketAddr>,
    workers: RefCell<HashMap<MachineId, HollowWorker>>,
    users: Rc<Client>,
    probes: Rc<Client>,
    /// Probes in a row that a controller has not answered.
    probes_failed: RefCell<Vec<u32>>,
    metrics: RefCell<Metrics>,
    started: Instant,
    /// Time of day at the start, in milliseconds since 1970.
    began_ms: u64,
    jobs: AnsweringJobs,
    model_servers: ModelServers,
    /// The replicas that the model servers were told of.
    replicas: RefCell<Vec<Replica>>,
}

impl Bridge {
    /// Serves the world's cloud and state service, and begins to let time pass.
    pub fn start(
        ex: &Executor,
        world: World,
        addresses: Addresses,
        controllers: usize,
        jobs: AnsweringJobs,
    ) -> io::Result<Rc<Self>> {
        let started = Instant::now();
        let wall = SystemTime::now().duration_since(UNIX_EPOCH);
        let bridge = Rc::new(Self {
            ex: ex.clone(),
            world: RefCell::new(world),
            calls: RefCell::default(),
            next_call: Cell::new(0),
            controllers: (0..controllers).map(|n| addresses.controller(n)).collect(),
            workers: RefCell::default(),
            users: Rc::new(client(USER_CONNECTIONS, USER_CONNECTIONS * controllers)),
            probes: Rc::new(client(1, controllers)),
            probes_failed: RefCell::new(vec![PROBES_FAILED; controllers]),
            metrics: RefCell::default(),
            started,
            began_ms: wall.map_or(0, |t| t.as_millis() as u64),
            jobs,
            model_servers: ModelServers::start(started),
            replicas: RefCell::default(),
        });
        for index in 0..controllers {
            let (state, cloud) = (addresses.state(index), addresses.cloud(index));
            bridge
                .serve(state, Service::State(index), SERVICE_CONNECTIONS)?
                .detach();
            bridge
                .serve(cloud, Service::Cloud(index), SERVICE_CONNECTIONS)?
                .detach();
        }
        for index in 0..controllers {
            ex.spawn(bridge.clone().probe(index)).detach();
        }
        ex.spawn(bridge.clone().pass_time()).detach();
        Ok(bridge)
    }

    /// Looks at the world, or changes it.
    pub fn with_world<T>(&self, look: impl FnOnce(&mut World) -> T) -> T {
        look(&mut self.world.borrow_mut())
    }

    /// Looks at what was counted, or changes it.
    pub fn with_metrics<T>(&self, look: impl FnOnce(&mut Metrics) -> T) -> T {
        look(&mut self.metrics.borrow_mut())
    }

    /// Time of day at the beginning, in milliseconds since 1970.
    pub fn began_ms(&self) -> u64 {
        self.began_ms
    }

    /// The controller that holds the shard of the replicas that answer.
    pub fn holder_of_answers(&self) -> Option<usize> {
        let job = self.jobs.all.first()?;
        self.with_world(|world| world.holder_of(job))
    }

    /// How soon the replicas of bursts answered.
    pub fn burst_summary(&self) -> BurstSummary {
        self.jobs.burst_summary(&self.model_servers.first_answers())
    }

    /// Tells the model servers which replicas there are, if that changed.
    fn follow_replicas(&self) {
        if self.jobs.all.is_empty() {
            return;
        }
        let replicas = self.with_world(|world| self.jobs.replicas(world));
        if *self.replicas.borrow() != replicas {
            self.model_servers.set_replicas(replicas.clone());
            self.replicas.replace(replicas);
        }
    }

    /// Since the beginning.
    pub fn elapsed(&self) -> Duration {
        self.started.elapsed()
    }

    /// Controllers that the load balancer finds healthy.
    pub fn healthy(&self) -> Vec<usize> {
        let failed = self.probes_failed.borrow();
        let healthy = failed.iter().enumerate();
        let healthy = healthy.filter(|(_, failed)| **failed < PROBES_FAILED);
        healthy.map(|(index, _)| index).collect()
    }

    async fn pass_time(self: Rc<Self>) {
        loop {
            Timer::after(TICK).await;
            self.advance();
            self.carry();
            self.follow_replicas();
        }
    }

    fn advance(&self) {
        let now = self.elapsed().as_millis() as u64;
        let mut world = self.world.borrow_mut();
        let mut metrics = self.metrics.borrow_mut();
        metrics.record_lag(now.saturating_sub(world.now()));
        world.advance_to(now, LONGEST_STEP_MS);
        let (starts, acceptances) = world.check.take_observations();
        metrics.record_observations(&starts, &acceptances);
    }

    /// Carries out what the world has for controllers.
    fn carry(self: &Rc<Self>) {
        let (requests, answers, machines) = self.with_world(|world| {
            (
                world.take_requests(),
                world.take_answers(),
                world.take_machine_changes(),
            )
        });
        for answer in answers {
            self.answer(answer);
        }
        for change in machines {
            self.change_machine(change);
        }
        for request in requests {
            self.ex.spawn(self.clone().ask(request)).detach();
        }
    }

    fn answer(&self, answer: Answer) {
        if let Some(sender) = self.calls.borrow_mut().remove(&answer.call) {
            let response = Response {
                status: answer.status,
                body: answer.body,
                retry_after_s: None,
            };
            // Whoever asked may have gone.
            let _ = sender.try_send(response);
        }
    }

    fn change_machine(self: &Rc<Self>, change: MachineChange) {
        match change {
            MachineChange::Gone(id) => {
                self.workers.borrow_mut().remove(&id);
            }
            MachineChange::Up(id) => {
                let addr: Option<SocketAddr> = addresses::worker(&id).parse().ok();
                let service = Service::Worker(id.clone());
                let server = addr.map(|addr| self.serve(addr, service, WORKER_CONNECTIONS));
                let server = server.transpose().unwrap_or_else(|e| {
                    log::error!("{id} can't be reached: {e}");
                    None
                });
                let worker = HollowWorker {
                    client: Rc::new(client(1, 1)),
                    node: 0,
                    _server: server,
                };
                self.workers.borrow_mut().insert(id, worker);
            }
        }
    }

    /// Asks a controller on behalf of a user or a worker.
    async fn ask(self: Rc<Self>, request: Outgoing) {
        let machine = request.asker.machine().cloned();
        let client = match &machine {
            Some(id) => match self.connection_of(id, request.node) {
                Some(client) => client,
                None => return,
            },
            None => self.users.clone(),
        };
        let is_question = request.method == "GET";
        let timeout = match (&machine, is_question) {
            (Some(_), _) => REPORT_PATIENCE,
            (None, true) => QUESTION_PATIENCE,
            (None, false) => USER_PATIENCE,
        };
        let call = Call {
            addr: self.controllers[request.node],
            method: if is_question { "GET" } else { "POST" },
            path: request.path,
            body: (!is_question).then_some(request.body),
            timeout,
        };
        let began = Instant::now();
        let outcome = client.call(call).await;
        if machine.is_some() {
            let mut metrics = self.metrics.borrow_mut();
            metrics.record_heartbeat(outcome.status, began.elapsed().as_millis() as u64);
            metrics.record_worker_traffic(client.take_traffic());
        }
        self.with_world(|w| w.deliver(request.asker, outcome.status, outcome.body));
        self.carry();
    }

    /// A worker's connection. It closes the one to another controller first.
    fn connection_of(&self, id: &MachineId, node: usize) -> Option<Rc<Client>> {
        let mut workers = self.workers.borrow_mut();
        let worker = workers.get_mut(id)?;
        if worker.node != node {
            worker.node = node;
            worker.client = Rc::new(client(1, 1));
        }
        Some(worker.client.clone())
    }

    fn serve(
        self: &Rc<Self>,
        addr: SocketAddr,
        service: Service,
        connections: usize,
    ) -> io::Result<Task<()>> {
        let listener = forkshift_net::bind(addr, connections)
            .map_err(|e| io::Error::new(e.kind(), format!("{addr}: {e}")))?;
        let limits = ServerLimits {
            connections,
            roomy: connections,
            body: BODY_MOST,
            idle: IDLE,
            read: READ,
        };
        let bridge = self.clone();
        let handler = move |request| {
            let (bridge, service) = (bridge.clone(), service.clone());
            async move { bridge.handle(service, request).await }
        };
        let serving = forkshift_net::serve(self.ex.clone(), listener, limits, handler);
        Ok(self.ex.spawn(serving))
    }

    /// Hands a controller's call to the world and waits for the answer. What the
    /// world leaves without an answer, the caller gives up in time.
    async fn handle(self: Rc<Self>, service: Service, request: Request) -> Response {
        let Some(body) = request.body else {
            return too_large();
        };
        let number = self.next_call.get();
        self.next_call.set(number + 1);
        let (sender, receiver) = async_channel::bounded(1);
        self.calls.borrow_mut().insert(number, sender);
        let guard = ForgetCall(self.clone(), number);
        let store_request = matches!(service, Service::State(_))
            .then(|| request_category::classify(&request.method, &request.path, &body));
        let is_worker = matches!(service, Service::Worker(_));
        let received = body.len() as u64;
        self.with_world(|w| w.call(number, service, &request.method, &request.path, body));
        self.carry();
        let response = match receiver.recv().await {
            Ok(response) => response,
            Err(_) => future::pending().await,
        };
        drop(guard);
        if response.status >= 400 {
            let (path, status) = (&request.path, response.status);
            let body = String::from_utf8_lossy(&response.body);
            log::debug!("{} {path}: {status} {body}", request.method);
        }
        let mut metrics = self.metrics.borrow_mut();
        if let Some(request) = store_request {
            metrics.record_store_request(&request, response.status);
        }
        if is_worker {
            let sent = response.body.len() as u64;
            metrics.commands += 1;
            metrics.record_worker_traffic(Traffic { sent, received });
        }
        response
    }

    /// Probes a controller as the load balancer does.
    async fn probe(self: Rc<Self>, index: usize) {
        loop {
            let call = Call {
                addr: self.controllers[index],
                method: "GET",
                path: "/up".to_owned(),
                body: None,
                timeout: PROBE,
            };
            let is_up = self.probes.call(call).await.status == 200;
            {
                let failed = &mut self.probes_failed.borrow_mut()[index];
                *failed = if is_up { 0 } else { *failed + 1 };
            }
            let healthy = self.healthy();
            self.with_world(|w| w.set_healthy(healthy));
            Timer::after(PROBE).await;
        }
    }
}

/// A call that is over waits for no answer any more.
struct ForgetCall(Rc<Bridge>, u64);

impl Drop for ForgetCall {
    fn drop(&mut self) {
        self.0.calls.borrow_mut().remove(&self.1);
    }
}

fn too_large() -> Response {
    Response {
        status: 400,
        body: br#"{"error":"too large"}"#.to_vec(),
        retry_after_s: None,
    }
}

fn client(per_host: usize, idle: usize) -> Client {
    Client::new(ClientLimits {
        per_host,
        idle,
        keep: IDLE,
        largest: ANSWER_MOST,
    })
}
