//! Connects the simulated world with the controllers over real sockets.
//!
//! The simulation of users, workers, cloud and key-value store opens no sockets itself. The
//! bridge serves HTTP for the simulated services and for every hollow worker, sends the
//! requests of users and workers to the controllers, and advances the simulated time with the
//! clock.

mod health;
mod hollow_workers;
mod requests;
mod services;

use crate::addresses::Addresses;
use crate::metrics::Metrics;
use crate::model_servers::{ModelServers, Replica};
use crate::pools::{BurstSummary, ModelServerJobs};
use async_channel::Sender;
use async_io::Timer;
use forkshift_net::{Client, ClientLimits, Executor, Response};
use forkshift_testkit::{Service, Simulation};
use forkshift_wire::MachineId;
use health::ProbeFailures;
use hollow_workers::HollowWorker;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Interval at which the simulated time is advanced.
const CLOCK_INTERVAL: Duration = Duration::from_millis(40);
/// Longest step of the simulated time, in milliseconds. A simulation that lags behind the clock
/// catches up in steps of this length.
const MAX_CLOCK_STEP_MS: u64 = 100;
/// Time after which an idle connection is closed.
const IDLE_CONNECTION_TIMEOUT: Duration = Duration::from_secs(60);
/// Largest number of connections that one address of a service accepts.
const MAX_SERVICE_CONNECTIONS: usize = 1_000;
/// Largest response of a controller, in bytes.
const MAX_RESPONSE_BYTES: u64 = 1024 * 1024;
/// Idle connections that the users' client keeps open to each controller.
const USER_CONNECTIONS_PER_CONTROLLER: usize = 64;

/// The simulated world of a run and its sockets: everything but the controllers' processes.
pub(crate) struct SocketBridge {
    executor: Executor,
    world: RefCell<Simulation>,
    /// Calls of controllers that the world has not answered yet, by call number.
    pending_calls: RefCell<HashMap<u64, Sender<Response>>>,
    next_call_number: Cell<u64>,
    /// Addresses of the controllers, by index.
    controllers: Vec<SocketAddr>,
    workers: RefCell<HashMap<MachineId, HollowWorker>>,
    user_client: Rc<Client>,
    probe_client: Rc<Client>,
    probe_failures: RefCell<ProbeFailures>,
    metrics: RefCell<Metrics>,
    started: Instant,
    /// Wall-clock time at the start, in milliseconds since 1970.
    start_time_ms: u64,
    jobs: ModelServerJobs,
    model_servers: ModelServers,
    /// The replicas that were last passed to the model servers.
    replicas: RefCell<Vec<Replica>>,
}

impl SocketBridge {
    /// Serves the world's cloud and key-value store to each controller, and spawns the tasks
    /// that advance the simulated time and probe the controllers. Fails if an address is in
    /// use.
    pub(crate) fn start(
        executor: &Executor,
        world: Simulation,
        addresses: Addresses,
        controllers: usize,
        jobs: ModelServerJobs,
    ) -> io::Result<Rc<Self>> {
        let bridge = Rc::new(Self::new(executor, world, addresses, controllers, jobs));
        for index in 0..controllers {
            let services = [
                (addresses.store(index), Service::Store(index)),
                (addresses.cloud(index), Service::Cloud(index)),
            ];
            for (address, service) in services {
                let server = bridge.serve(address, service, MAX_SERVICE_CONNECTIONS)?;
                server.detach();
            }
        }
        for index in 0..controllers {
            executor.spawn(bridge.clone().probe(index)).detach();
        }
        executor.spawn(bridge.clone().run_clock()).detach();
        Ok(bridge)
    }

    fn new(
        executor: &Executor,
        world: Simulation,
        addresses: Addresses,
        controllers: usize,
        jobs: ModelServerJobs,
    ) -> Self {
        let started = Instant::now();
        let since_1970 = SystemTime::now().duration_since(UNIX_EPOCH);
        let addresses = (0..controllers).map(|index| addresses.controller(index));
        Self {
            executor: executor.clone(),
            world: RefCell::new(world),
            pending_calls: RefCell::default(),
            next_call_number: Cell::new(0),
            controllers: addresses.collect(),
            workers: RefCell::default(),
            user_client: Rc::new(http_client(
                USER_CONNECTIONS_PER_CONTROLLER,
                USER_CONNECTIONS_PER_CONTROLLER * controllers,
            )),
            probe_client: Rc::new(http_client(1, controllers)),
            probe_failures: RefCell::new(ProbeFailures::new(controllers)),
            metrics: RefCell::default(),
            started,
            start_time_ms: since_1970.map_or(0, |time| time.as_millis() as u64),
            jobs,
            model_servers: ModelServers::start(started),
            replicas: RefCell::default(),
        }
    }

    /// Calls a function with the simulated world. The function must not call the bridge.
    pub(crate) fn with_world<T>(&self, function: impl FnOnce(&mut Simulation) -> T) -> T {
        function(&mut self.world.borrow_mut())
    }

    /// Calls a function with the metrics. The function must not call the bridge.
    pub(crate) fn with_metrics<T>(&self, function: impl FnOnce(&mut Metrics) -> T) -> T {
        function(&mut self.metrics.borrow_mut())
    }

    /// Wall-clock time at the start of the run, in milliseconds since 1970.
    pub(crate) fn start_time_ms(&self) -> u64 {
        self.start_time_ms
    }

    /// Time since the start of the run.
    pub(crate) fn elapsed(&self) -> Duration {
        self.started.elapsed()
    }

    /// Index of the controller that holds the shard of the first job of model servers. `None`
    /// without such jobs, or while no controller holds the shard.
    pub(crate) fn model_server_shard_holder(&self) -> Option<usize> {
        let job = self.jobs.all.first()?;
        self.with_world(|world| world.holder_of(job))
    }

    /// Summary of the first answers of the replicas of bursts so far.
    pub(crate) fn burst_summary(&self) -> BurstSummary {
        self.jobs.burst_summary(&self.model_servers.first_answers())
    }

    async fn run_clock(self: Rc<Self>) {
        loop {
            Timer::after(CLOCK_INTERVAL).await;
            self.advance_world();
            self.dispatch_world_output();
            self.update_model_servers();
        }
    }

    fn advance_world(&self) {
        let now_ms = self.elapsed().as_millis() as u64;
        let mut world = self.world.borrow_mut();
        let mut metrics = self.metrics.borrow_mut();
        metrics.record_lag(now_ms.saturating_sub(world.now()));
        world.advance_to(now_ms, MAX_CLOCK_STEP_MS);
        let (starts, acceptances) = world.checker.take_observations();
        metrics.record_observations(&starts, &acceptances);
    }

    /// Passes the present replicas to the model servers if the replicas have changed.
    fn update_model_servers(&self) {
        if self.jobs.all.is_empty() {
            return;
        }
        let replicas = self.with_world(|world| self.jobs.replicas(world));
        if *self.replicas.borrow() != replicas {
            self.model_servers.set_replicas(replicas.clone());
            self.replicas.replace(replicas);
        }
    }

    /// Dispatches the queued output of the world: completes controllers' calls, opens and
    /// closes sockets of workers, and sends the requests of users and workers.
    fn dispatch_world_output(self: &Rc<Self>) {
        let (requests, answers, machines) = self.with_world(|world| {
            (
                world.take_requests(),
                world.take_responses(),
                world.take_machine_changes(),
            )
        });
        for answer in answers {
            self.complete_call(answer);
        }
        for change in machines {
            self.update_worker_sockets(change);
        }
        for request in requests {
            self.executor
                .spawn(self.clone().send_request(request))
                .detach();
        }
    }
}

fn http_client(connections_per_host: usize, idle_connections: usize) -> Client {
    Client::new(ClientLimits {
        max_idle_per_host: connections_per_host,
        max_idle: idle_connections,
        idle_timeout: IDLE_CONNECTION_TIMEOUT,
        max_response_bytes: MAX_RESPONSE_BYTES,
    })
}
