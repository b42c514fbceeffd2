//! Addresses on the loopback network: each process and worker has one of its own.

use forkshift_wire::MachineId;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};

/// Port of every hollow worker; each worker has its own IP address.
const WORKER_PORT: u16 = 9_000;
/// First port of the model servers of a machine.
const FIRST_MODEL_SERVER_PORT: u16 = 9_100;
/// Number of ports of the model servers of a machine.
const MODEL_SERVER_PORTS: u32 = 1_000;
/// Second octet of the workers' first addresses.
const FIRST_WORKER_SECOND_OCTET: u8 = 64;
/// Number of second octets for workers; their addresses end before 127.192.0.0.
const WORKER_SECOND_OCTETS: u8 = 128;
/// Third octets of the addresses of controllers and services.
const CONTROLLER_THIRD_OCTET: u8 = 1;
const STORE_THIRD_OCTET: u8 = 2;
const CLOUD_THIRD_OCTET: u8 = 3;

/// Addresses of the services and the controllers of a run.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Addresses {
    base_port: u16,
}

impl Addresses {
    /// Addresses with ports from `base_port` on.
    pub(crate) fn new(base_port: u16) -> Self {
        Self { base_port }
    }

    /// Address of the key-value store for one controller. Each controller has its own, so
    /// that its link can be cut alone.
    pub(crate) fn store(self, controller: usize) -> SocketAddr {
        self.controller_address(STORE_THIRD_OCTET, controller, self.base_port)
    }

    /// Address of the cloud for one controller. Each controller has its own.
    pub(crate) fn cloud(self, controller: usize) -> SocketAddr {
        self.controller_address(CLOUD_THIRD_OCTET, controller, self.base_port)
    }

    /// Address at which a controller serves users and workers.
    pub(crate) fn controller(self, index: usize) -> SocketAddr {
        self.controller_address(CONTROLLER_THIRD_OCTET, index, self.base_port)
    }

    /// Address at which a controller receives messages of its peers.
    pub(crate) fn controller_peer(self, index: usize) -> SocketAddr {
        self.controller_address(CONTROLLER_THIRD_OCTET, index, self.base_port + 1)
    }

    fn controller_address(self, third_octet: u8, controller: usize, port: u16) -> SocketAddr {
        let ip = Ipv4Addr::new(127, 0, third_octet, controller as u8 + 1);
        SocketAddr::new(IpAddr::V4(ip), port)
    }
}

/// Address of a replica's model server: the IP address of its machine's worker, with a port
/// of the task's index.
pub(crate) fn model_server(machine: &MachineId, task_index: u32) -> SocketAddr {
    let worker: Option<SocketAddr> = worker(machine).parse().ok();
    let ip = worker.map_or(IpAddr::V4(Ipv4Addr::LOCALHOST), |address| address.ip());
    let offset = (task_index % MODEL_SERVER_PORTS) as u16;
    SocketAddr::new(ip, FIRST_MODEL_SERVER_PORT + offset)
}

/// Address of a machine's worker, computed from the number at the end of the machine's name.
pub(crate) fn worker(machine: &MachineId) -> String {
    let suffix = machine.as_str().rsplit('-').next();
    let number: u32 = suffix.and_then(|text| text.parse().ok()).unwrap_or(0);
    let [_, high, middle, low] = number.to_be_bytes();
    let second_octet = FIRST_WORKER_SECOND_OCTET + high % WORKER_SECOND_OCTETS;
    format!("127.{second_octet}.{middle}.{low}:{WORKER_PORT}")
}
