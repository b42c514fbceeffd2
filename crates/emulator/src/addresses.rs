//! Addresses in 127.0.0.0/8: each controller, each controller's view of a service, and each
//! hollow worker has an IP address of its own.

use forkshift_wire::MachineId;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};

/// Port of every hollow worker.
const WORKER_PORT: u16 = 9_000;
/// First port of the model servers on a machine.
const FIRST_MODEL_SERVER_PORT: u16 = 9_100;
/// Number of ports for model servers on a machine. Replicas whose task indexes differ by a
/// multiple of it would need the same port.
const MODEL_SERVER_PORTS: u32 = 1_000;
/// Second octet of the first workers' addresses: they begin at 127.64.0.0.
const FIRST_WORKER_SECOND_OCTET: u8 = 64;
/// Number of second octets for workers: their addresses end before 127.192.0.0.
const WORKER_SECOND_OCTETS: u8 = 128;
/// Third octet of the controllers' addresses, 127.0.1.0/24.
const CONTROLLER_THIRD_OCTET: u8 = 1;
/// Third octet of the key-value store's addresses, one for each controller.
const STORE_THIRD_OCTET: u8 = 2;
/// Third octet of the cloud's addresses, one for each controller.
const CLOUD_THIRD_OCTET: u8 = 3;

/// Addresses of the services and the controllers of a run. Copies are the same addresses.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Addresses {
    base_port: u16,
}

impl Addresses {
    /// Addresses with `base_port` for services and controllers, and the next port for the
    /// controllers' messages to each other.
    pub(crate) fn new(base_port: u16) -> Self {
        Self { base_port }
    }

    /// Address of the key-value store for one controller. Each controller has its own, so
    /// that the link of one controller can be cut.
    pub(crate) fn store(self, controller: usize) -> SocketAddr {
        self.controller_address(STORE_THIRD_OCTET, controller, self.base_port)
    }

    /// Address of the cloud for one controller, for the same reason as [`Self::store`].
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
/// computed from the task's index.
pub(crate) fn model_server(machine: &MachineId, task_index: u32) -> SocketAddr {
    let worker: Option<SocketAddr> = worker(machine).parse().ok();
    let ip = worker.map_or(IpAddr::V4(Ipv4Addr::LOCALHOST), |address| address.ip());
    let offset = (task_index % MODEL_SERVER_PORTS) as u16;
    SocketAddr::new(ip, FIRST_MODEL_SERVER_PORT + offset)
}

/// Address of a machine's worker, computed from the number at the end of the machine's name.
/// A name without a number counts as number 0.
pub(crate) fn worker(machine: &MachineId) -> String {
    let suffix = machine.as_str().rsplit('-').next();
    let number: u32 = suffix.and_then(|text| text.parse().ok()).unwrap_or(0);
    let [_, high, middle, low] = number.to_be_bytes();
    let second_octet = FIRST_WORKER_SECOND_OCTET + high % WORKER_SECOND_OCTETS;
    format!("127.{second_octet}.{middle}.{low}:{WORKER_PORT}")
}
