//! Sockets of the hollow workers, which are simulated workers without a machine.

use super::{http_client, SocketBridge};
use crate::addresses;
use async_executor::Task;
use forkshift_net::Client;
use forkshift_testkit::{MachineChange, Service};
use forkshift_wire::MachineId;
use std::net::SocketAddr;
use std::rc::Rc;

/// Largest number of connections that a hollow worker accepts.
const MAX_WORKER_CONNECTIONS: usize = 16;

/// The sockets of a hollow worker.
pub(super) struct HollowWorker {
    /// The client for heartbeats.
    client: Rc<Client>,
    /// Index of the controller that the client connects to.
    controller: usize,
    /// Serves the worker's commands until it is dropped. `None` if the listener failed.
    _server: Option<Task<()>>,
}

impl SocketBridge {
    /// Opens or closes the sockets of a worker after its machine came up or was removed.
    pub(super) fn update_worker_sockets(self: &Rc<Self>, change: MachineChange) {
        match change {
            MachineChange::Removed(machine) => {
                self.workers.borrow_mut().remove(&machine);
            }
            MachineChange::Up(machine) => self.add_worker(machine),
        }
    }

    fn add_worker(self: &Rc<Self>, machine: MachineId) {
        let address: Option<SocketAddr> = addresses::worker(&machine).parse().ok();
        let service = Service::Worker(machine.clone());
        let server = address.map(|address| self.serve(address, service, MAX_WORKER_CONNECTIONS));
        let server = server.transpose().unwrap_or_else(|error| {
            log::error!("worker {machine}: listener failed, running without commands, {error}");
            None
        });
        let worker = HollowWorker {
            client: Rc::new(http_client(1, 1)),
            controller: 0,
            _server: server,
        };
        self.workers.borrow_mut().insert(machine, worker);
    }

    /// The client of a worker, which connects to one controller only: if the worker changes
    /// its controller, the old connection is closed. `None` if the worker was removed.
    pub(super) fn worker_client(
        &self,
        machine: &MachineId,
        controller: usize,
    ) -> Option<Rc<Client>> {
        let mut workers = self.workers.borrow_mut();
        let worker = workers.get_mut(machine)?;
        if worker.controller != controller {
            worker.controller = controller;
            worker.client = Rc::new(http_client(1, 1));
        }
        Some(worker.client.clone())
    }
}
