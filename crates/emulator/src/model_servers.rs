//! Simulated model servers and the load on them, in a separate thread.
//!
//! Each replica of a class with `answers` has an HTTP server on the loopback network while its
//! task is on a machine. The server responds with 503 until the weights are loaded, and with
//! 200 afterwards. An open-loop load generator sends requests to all servers in turn at a fixed
//! rate, and records when each replica answers for the first time.

mod load_generator;

use crate::addresses;
use async_channel::{Receiver, Sender};
use async_executor::{LocalExecutor, Task};
use forkshift_net::{Executor, Request, Response, ServerLimits};
use forkshift_wire::{MachineId, TaskRef};
use load_generator::LoadGenerator;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// Largest number of connections that a server accepts.
const MAX_CONNECTIONS: usize = 16;
/// Time after which an idle connection, or one whose body is incomplete, is closed.
const IDLE_CONNECTION_TIMEOUT: Duration = Duration::from_secs(10);
/// Largest body of a request or response, in bytes.
const MAX_BODY_BYTES: usize = 1_024;
const HTTP_OK: u16 = 200;
const HTTP_UNAVAILABLE: u16 = 503;

/// A replica on a machine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Replica {
    /// The task that the replica is.
    pub task: TaskRef,
    /// The machine that the task is on.
    pub machine: MachineId,
    /// Whether the weights are loaded.
    pub is_ready: bool,
}

/// Time of the first answer of each replica since the start of the run.
pub(crate) type FirstAnswers = Arc<Mutex<BTreeMap<TaskRef, Duration>>>;

/// Handle of the thread with all model servers. The thread is joined on drop.
pub(crate) struct ModelServers {
    replicas: Sender<Vec<Replica>>,
    first_answers: FirstAnswers,
    thread: Option<JoinHandle<()>>,
}

impl ModelServers {
    /// Starts the thread. Times of answers are relative to `started`, the start of the run.
    pub(crate) fn start(started: Instant) -> Self {
        let (replicas, updates) = async_channel::unbounded();
        let first_answers = FirstAnswers::default();
        let answers = first_answers.clone();
        let thread = std::thread::spawn(move || run_servers(started, &updates, answers));
        Self {
            replicas,
            first_answers,
            thread: Some(thread),
        }
    }

    /// Replaces the set of replicas. Servers of replicas that are not in the set stop.
    pub(crate) fn set_replicas(&self, replicas: Vec<Replica>) {
        // Sending fails only if the thread has ended, which it does after the channel closes.
        let _ = self.replicas.try_send(replicas);
    }

    /// Time from the start of the run to the first answer of each replica that has answered.
    pub(crate) fn first_answers(&self) -> BTreeMap<TaskRef, Duration> {
        let answers = self.first_answers.lock();
        answers.map(|answers| answers.clone()).unwrap_or_default()
    }
}

impl Drop for ModelServers {
    fn drop(&mut self) {
        self.replicas.close();
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// The running model server of a replica.
struct ModelServer {
    address: SocketAddr,
    /// Shared with the request handler, so that the server becomes ready while it runs.
    is_ready: Rc<Cell<bool>>,
    /// Accepts connections until it is dropped.
    _task: Task<()>,
}

/// Model servers by the tasks and machines of their replicas. A task that restarts on another
/// machine gets another server.
type ModelServerMap = Rc<RefCell<BTreeMap<(TaskRef, MachineId), ModelServer>>>;

fn run_servers(started: Instant, updates: &Receiver<Vec<Replica>>, first_answers: FirstAnswers) {
    let executor: Executor = Rc::new(LocalExecutor::new());
    let servers: ModelServerMap = Rc::default();
    let generator = LoadGenerator::new(&executor, started, servers.clone(), first_answers);
    let load = executor.spawn(generator.run());
    let updating = async {
        while let Ok(replicas) = updates.recv().await {
            reconcile_servers(&executor, &servers, &replicas);
        }
    };
    async_io::block_on(executor.run(updating));
    drop(load);
}

/// Starts and stops servers so that exactly the given replicas have one, and updates the
/// readiness of the running ones.
fn reconcile_servers(executor: &Executor, servers: &ModelServerMap, replicas: &[Replica]) {
    let mut servers = servers.borrow_mut();
    let key = |replica: &Replica| (replica.task.clone(), replica.machine.clone());
    servers.retain(|existing, _| replicas.iter().any(|replica| key(replica) == *existing));
    for replica in replicas {
        if let Some(server) = servers.get(&key(replica)) {
            server.is_ready.set(replica.is_ready);
            continue;
        }
        match start_server(executor, replica) {
            Ok(server) => drop(servers.insert(key(replica), server)),
            Err(error) => {
                log::error!(
                    "model server of {}: listener failed, retrying at the next change of \
                     replicas, {error}",
                    replica.task
                );
            }
        }
    }
}

fn start_server(executor: &Executor, replica: &Replica) -> std::io::Result<ModelServer> {
    let address = addresses::model_server(&replica.machine, replica.task.index);
    let listener = forkshift_net::bind_listener(address, MAX_CONNECTIONS)?;
    let limits = ServerLimits {
        max_connections: MAX_CONNECTIONS,
        max_keep_alive_connections: MAX_CONNECTIONS,
        max_body_bytes: MAX_BODY_BYTES,
        idle_timeout: IDLE_CONNECTION_TIMEOUT,
        body_timeout: IDLE_CONNECTION_TIMEOUT,
    };
    let is_ready = Rc::new(Cell::new(replica.is_ready));
    let is_ready_now = is_ready.clone();
    let handler = move |_: Request| {
        let status = match is_ready_now.get() {
            true => HTTP_OK,
            false => HTTP_UNAVAILABLE,
        };
        async move {
            Response {
                status,
                body: b"{}".to_vec(),
                retry_after_s: None,
            }
        }
    };
    let server = forkshift_net::serve_http(executor.clone(), listener, limits, handler);
    Ok(ModelServer {
        address,
        is_ready,
        _task: executor.spawn(server),
    })
}

#[cfg(test)]
mod tests;
