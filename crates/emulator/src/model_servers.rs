//! Stand-in model servers and the load on them, in a thread of their own.
//!
//! Each replica of a class that answers has a server on the loopback network from the
//! moment at which its task is on a machine. It refuses with 503 until the replica has
//! its weights. An open loop of requests goes over all of them in turn, at a fixed rate
//! and whatever becomes of earlier ones, and notes when each answers for the first time.

use crate::addresses;
use async_channel::{Receiver, Sender};
use async_executor::{LocalExecutor, Task};
use async_io::Timer;
use forkshift_net::{Call, Client, ClientLimits, Executor, Request, Response, ServerLimits};
use forkshift_wire::{MachineId, TaskRef};
use futures_lite::future;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// Requests a second over all servers.
const REQUESTS_PER_S: u64 = 200;
/// Requests that may be under way; more are left out.
const UNDER_WAY_MOST: usize = 500;
/// A request is given up after this.
const PATIENCE: Duration = Duration::from_secs(1);
/// Connections that a server takes.
const CONNECTIONS: usize = 16;
const IDLE: Duration = Duration::from_secs(10);
const BODY_MOST: usize = 1_024;

/// A replica on a machine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Replica {
    /// Its task.
    pub task: TaskRef,
    /// Its machine.
    pub machine: MachineId,
    /// Whether it has its weights.
    pub is_ready: bool,
}

/// When each replica answered for the first time, since the start of the run.
pub type FirstAnswers = Arc<Mutex<BTreeMap<TaskRef, Duration>>>;

/// The thread with all model servers.
pub struct ModelServers {
    replicas: Sender<Vec<Replica>>,
    first_answers: FirstAnswers,
    thread: Option<JoinHandle<()>>,
}

impl ModelServers {
    /// Starts the thread. Times count from `started`.
    pub fn start(started: Instant) -> Self {
        let (replicas, changes) = async_channel::unbounded();
        let first_answers = FirstAnswers::default();
        let answers = first_answers.clone();
        let thread = std::thread::spawn(move || run(started, &changes, answers));
        Self {
            replicas,
            first_answers,
            thread: Some(thread),
        }
    }

    /// Says which replicas there are now.
    pub fn set(&self, replicas: Vec<Replica>) {
        // The thread ends only with the channel.
        let _ = self.replicas.try_send(replicas);
    }

    /// When replicas answered for the first time.
    pub fn first_answers(&self) -> BTreeMap<TaskRef, Duration> {
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

/// A model server.
struct Server {
    addr: SocketAddr,
    is_ready: Rc<Cell<bool>>,
    _serving: Task<()>,
}

type Servers = Rc<RefCell<BTreeMap<(TaskRef, MachineId), Server>>>;

fn run(started: Instant, changes: &Receiver<Vec<Replica>>, answers: FirstAnswers) {
    let ex: Executor = Rc::new(LocalExecutor::new());
    let servers: Servers = Rc::default();
    let load = ex.spawn(send_load(ex.clone(), started, servers.clone(), answers));
    let following = async {
        while let Ok(replicas) = changes.recv().await {
            follow(&ex, &servers, &replicas);
        }
    };
    async_io::block_on(ex.run(following));
    drop(load);
}

/// Starts and ends servers, so that each replica has one.
fn follow(ex: &Executor, servers: &Servers, replicas: &[Replica]) {
    let mut servers = servers.borrow_mut();
    let key = |r: &Replica| (r.task.clone(), r.machine.clone());
    servers.retain(|known, _| replicas.iter().any(|r| key(r) == *known));
    for replica in replicas {
        if let Some(server) = servers.get(&key(replica)) {
            server.is_ready.set(replica.is_ready);
            continue;
        }
        match serve(ex, replica) {
            Ok(server) => drop(servers.insert(key(replica), server)),
            Err(e) => log::error!("{} has no server: {e}", replica.task),
        }
    }
}

fn serve(ex: &Executor, replica: &Replica) -> std::io::Result<Server> {
    let addr = addresses::model_server(&replica.machine, replica.task.index);
    let listener = forkshift_net::bind(addr, CONNECTIONS)?;
    let limits = ServerLimits {
        connections: CONNECTIONS,
        roomy: CONNECTIONS,
        body: BODY_MOST,
        idle: IDLE,
        read: IDLE,
    };
    let is_ready = Rc::new(Cell::new(replica.is_ready));
    let ready = is_ready.clone();
    let handler = move |_: Request| {
        let status = if ready.get() { 200 } else { 503 };
        async move {
            Response {
                status,
                body: b"{}".to_vec(),
                retry_after_s: None,
            }
        }
    };
    let serving = ex.spawn(forkshift_net::serve(ex.clone(), listener, limits, handler));
    Ok(Server {
        addr,
        is_ready,
        _serving: serving,
    })
}

/// Sends requests to all servers in turn, at a fixed rate.
async fn send_load(ex: Executor, started: Instant, servers: Servers, answers: FirstAnswers) {
    let client = Rc::new(Client::new(ClientLimits {
        per_host: 1,
        idle: UNDER_WAY_MOST,
        keep: IDLE,
        largest: BODY_MOST as u64,
    }));
    let under_way = Rc::new(Cell::new(0_usize));
    let began = Instant::now();
    for number in 0_u64.. {
        let at = Duration::from_micros(number * 1_000_000 / REQUESTS_PER_S);
        Timer::at(began + at).await;
        let target = {
            let servers = servers.borrow();
            let count = servers.len().max(1) as u64;
            let mut all = servers.iter();
            all.nth((number % count) as usize)
                .map(|((task, _), server)| (task.clone(), server.addr))
        };
        let Some((task, addr)) = target.filter(|_| under_way.get() < UNDER_WAY_MOST) else {
            continue;
        };
        under_way.set(under_way.get() + 1);
        let (client, under_way, answers) = (client.clone(), under_way.clone(), answers.clone());
        let asking = async move {
            let call = Call {
                addr,
                method: "POST",
                path: "/answer".to_owned(),
                body: Some(b"{}".to_vec()),
                timeout: PATIENCE,
            };
            let is_answered = client.call(call).await.status == 200;
            under_way.set(under_way.get() - 1);
            if let (true, Ok(mut answers)) = (is_answered, answers.lock()) {
                answers.entry(task).or_insert_with(|| started.elapsed());
            }
        };
        ex.spawn(asking).detach();
        future::yield_now().await;
    }
}

#[cfg(test)]
mod tests;
