//! Simulated model servers and the load on them, in a thread of their own.
//!
//! Each replica of a class that answers has a server on the loopback network while its task
//! is on a machine. The server responds with 503 until the weights are loaded. An open-loop
//! load generator sends requests to all servers in turn at a fixed rate, and records when
//! each replica answers for the first time.

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
/// Idle connections are closed after this.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Largest body of a request or response, in bytes.
const MAX_BODY_BYTES: usize = 1_024;
const HTTP_OK: u16 = 200;
const HTTP_UNAVAILABLE: u16 = 503;

/// A replica on a machine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Replica {
    /// The task of the replica.
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
    /// Starts the thread. The times of answers count from `started`.
    pub(crate) fn start(started: Instant) -> Self {
        let (replicas, updates) = async_channel::unbounded();
        let first_answers = FirstAnswers::default();
        let answers = first_answers.clone();
        let thread = std::thread::spawn(move || run(started, &updates, answers));
        Self {
            replicas,
            first_answers,
            thread: Some(thread),
        }
    }

    /// Replaces the set of replicas.
    pub(crate) fn set_replicas(&self, replicas: Vec<Replica>) {
        // The receiver is dropped only after this sender was closed.
        let _ = self.replicas.try_send(replicas);
    }

    /// Time of the first answer of each replica that has answered.
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

/// The model server of a replica.
struct Server {
    address: SocketAddr,
    is_ready: Rc<Cell<bool>>,
    /// Serves until it is dropped.
    _task: Task<()>,
}

/// Servers by the replicas' tasks and machines.
type Servers = Rc<RefCell<BTreeMap<(TaskRef, MachineId), Server>>>;

fn run(started: Instant, updates: &Receiver<Vec<Replica>>, first_answers: FirstAnswers) {
    let executor: Executor = Rc::new(LocalExecutor::new());
    let servers: Servers = Rc::default();
    let generator = LoadGenerator::new(&executor, started, servers.clone(), first_answers);
    let load = executor.spawn(generator.run());
    let updating = async {
        while let Ok(replicas) = updates.recv().await {
            update_servers(&executor, &servers, &replicas);
        }
    };
    async_io::block_on(executor.run(updating));
    drop(load);
}

/// Starts and stops servers, so that each replica has one.
fn update_servers(executor: &Executor, servers: &Servers, replicas: &[Replica]) {
    let mut servers = servers.borrow_mut();
    let key = |replica: &Replica| (replica.task.clone(), replica.machine.clone());
    servers.retain(|existing, _| replicas.iter().any(|replica| key(replica) == *existing));
    for replica in replicas {
        if let Some(server) = servers.get(&key(replica)) {
            server.is_ready.set(replica.is_ready);
            continue;
        }
        match serve(executor, replica) {
            Ok(server) => drop(servers.insert(key(replica), server)),
            Err(error) => {
                log::error!("model server of {}: listener failed, {error}", replica.task);
            }
        }
    }
}

fn serve(executor: &Executor, replica: &Replica) -> std::io::Result<Server> {
    let address = addresses::model_server(&replica.machine, replica.task.index);
    let listener = forkshift_net::bind_listener(address, MAX_CONNECTIONS)?;
    let limits = ServerLimits {
        max_connections: MAX_CONNECTIONS,
        max_keep_alive_connections: MAX_CONNECTIONS,
        max_body_bytes: MAX_BODY_BYTES,
        idle_timeout: IDLE_TIMEOUT,
        body_timeout: IDLE_TIMEOUT,
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
    Ok(Server {
        address,
        is_ready,
        _task: executor.spawn(server),
    })
}

#[cfg(test)]
mod tests;
