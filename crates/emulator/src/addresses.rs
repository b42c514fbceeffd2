//! Addresses on the loopback network, one for each process and worker.

use forkshift_wire::MachineId;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};

/// Port of all hollow workers; each has an IP address of its own.
const WORKER_PORT: u16 = 9_000;
/// First port of model servers, and how many there are on a machine.
const MODEL_PORT: u16 = 9_100;
const MODEL_PORTS: u16 = 1_000;
/// First part of workers' addresses behind 127.
const WORKER_NET: u32 = 64;

/// Where the services and the controllers of a run are.
#[derive(Clone, Copy, Debug)]
pub struct Addresses {
    base_port: u16,
}

impl Addresses {
    /// Those that use ports from `base_port` on.
    pub fn new(base_port: u16) -> Self {
        Self { base_port }
    }

    /// The state service, as a controller reaches it: each has an address of its own, so
    /// that its link alone can be cut.
    pub fn state(self, controller: usize) -> SocketAddr {
        at([127, 0, 2, controller as u8 + 1], self.base_port)
    }

    /// The cloud, likewise.
    pub fn cloud(self, controller: usize) -> SocketAddr {
        at([127, 0, 3, controller as u8 + 1], self.base_port)
    }

    /// Where a controller takes requests of users and workers.
    pub fn controller(self, index: usize) -> SocketAddr {
        at([127, 0, 1, index as u8 + 1], self.base_port)
    }

    /// Where it takes messages of the others.
    pub fn controller_peer(self, index: usize) -> SocketAddr {
        at([127, 0, 1, index as u8 + 1], self.base_port + 1)
    }
}

/// The address of a replica's model server: that of its machine's worker, with a port of
/// its own.
pub fn model_server(machine: &MachineId, task: u32) -> SocketAddr {
    let worker: Option<SocketAddr> = worker(machine).parse().ok();
    let ip = worker.map_or(IpAddr::V4(Ipv4Addr::LOCALHOST), |addr| addr.ip());
    SocketAddr::new(ip, MODEL_PORT + (task % u32::from(MODEL_PORTS)) as u16)
}

fn at(ip: [u8; 4], port: u16) -> SocketAddr {
    SocketAddr::new(IpAddr::V4(Ipv4Addr::from(ip)), port)
}

/// The address of a machine's worker, from the number that ends its name.
pub fn worker(machine: &MachineId) -> String {
    let number = machine.as_str().rsplit('-').next();
    let number: u32 = number.and_then(|n| n.parse().ok()).unwrap_or(0);
    let [_, high, middle, low] = number.to_be_bytes();
    let net = WORKER_NET as u8 + high % 128;
    format!("127.{net}.{middle}.{low}:{WORKER_PORT}")
}
