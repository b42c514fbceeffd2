//! Network partitions: which senders do not reach which receivers, and until when.

use super::config::zone_of;
use super::network::{Destination, Origin};
use super::Simulation;
use crate::faults::LinkDirection;
use crate::Ms;
use forkshift_wire::MachineId;
use std::collections::BTreeSet;

/// A partition between two ends until a time. The default is over.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Partition {
    pub(super) until: Ms,
    /// Whether requests are delivered after the end; else they are lost.
    pub(super) holds_messages: bool,
}

impl Partition {
    pub(super) fn new(until: Ms, holds_messages: bool) -> Self {
        Self {
            until,
            holds_messages,
        }
    }

    pub(super) fn is_active(self, now: Ms) -> bool {
        self.until > now
    }
}

/// The partition of a zone from everything outside of it.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ZonePartition {
    pub(super) zone: &'static str,
    pub(super) partition: Partition,
}

impl ZonePartition {
    /// Whether exactly one of two zones is the partitioned one.
    pub(super) fn separates(&self, zone: &str, other: &str) -> bool {
        (zone == self.zone) != (other == self.zone)
    }
}

/// The partition of a controller from some of its peers.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct PeerPartition {
    /// Bit set of the indices of the peers.
    peers: u64,
    partition: Partition,
}

impl PeerPartition {
    /// A partition from some peers, or from all if `peers` is absent.
    pub(super) fn new(peers: Option<&[usize]>, partition: Partition) -> Self {
        let bits = |peers: &[usize]| peers.iter().fold(0, |bits, peer| bits | 1 << peer);
        Self {
            peers: peers.map_or(u64::MAX, bits),
            partition,
        }
    }

    fn contains(&self, peer: usize) -> bool {
        self.peers >> peer & 1 == 1
    }
}

/// A partition between a controller and some machines.
#[derive(Clone, Debug)]
pub(super) struct LinkPartition {
    pub(super) machines: BTreeSet<MachineId>,
    pub(super) direction: LinkDirection,
    pub(super) partition: Partition,
}

impl LinkPartition {
    fn covers(&self, machine: &MachineId, direction: LinkDirection) -> bool {
        let is_lost = self.direction == LinkDirection::Both || self.direction == direction;
        is_lost && self.machines.contains(machine)
    }
}

/// The faults of a controller. Each is active until its time.
#[derive(Default, Clone)]
pub(super) struct ControllerFaults {
    /// The store refuses the controller's requests and leaves its watches without a response.
    pub(super) store_lockout_until: Ms,
    /// The store refuses the controller's requests.
    pub(super) store_refusal_until: Ms,
    pub(super) peer_partition: PeerPartition,
    /// The controller's commands do not reach workers.
    pub(super) command_partition: Partition,
    pub(super) link_partitions: Vec<LinkPartition>,
    pub(super) paused_until: Ms,
    pub(super) slow_timers_until: Ms,
    pub(super) store_partition_until: Ms,
    pub(super) worker_partition_until: Ms,
    pub(super) cloud_partition_until: Ms,
    /// Whether the partitions from the store, the workers and the cloud hold requests.
    pub(super) holds_messages: bool,
}

impl ControllerFaults {
    /// A partition until a time that holds requests if this controller's partitions do.
    fn partition(&self, until: Ms) -> Partition {
        Partition::new(until, self.holds_messages)
    }
}

impl Simulation {
    /// The active partition between the two ends of a request, if any.
    pub(super) fn partition(
        &self,
        origin: &Origin,
        destination: &Destination,
    ) -> Option<Partition> {
        if self.is_zone_boundary_crossed(origin, destination) {
            return Some(self.network_faults.zone_partition.partition);
        }
        let partition = match (origin, destination) {
            (Origin::RemoteController { controller, .. }, _) => {
                self.remote_controller_partition(*controller, destination)
            }
            (Origin::Controller { index, .. }, _) => self.controller_partition(*index, destination),
            (Origin::Worker { id, .. }, Destination::Controller(index)) => {
                self.worker_partition(id, *index)
            }
            _ => Partition::default(),
        };
        partition.is_active(self.now).then_some(partition)
    }

    /// Whether a request crosses the boundary of a partitioned zone.
    fn is_zone_boundary_crossed(&self, origin: &Origin, destination: &Destination) -> bool {
        let ZonePartition { zone, partition } = self.network_faults.zone_partition;
        let is_worker_inside = |id: &MachineId| {
            let worker = self.workers.by_id.get(id);
            worker.is_some_and(|worker| worker.zone == zone)
        };
        let is_origin_inside = match origin {
            Origin::Controller { index, .. } => zone_of(*index) == zone,
            Origin::Worker { id, .. } => is_worker_inside(id),
            Origin::User { .. }
            | Origin::AdversarialRequest(_)
            | Origin::RemoteController { .. }
            | Origin::Detached => false,
        };
        let is_destination_inside = match destination {
            Destination::Controller(index) => zone_of(*index) == zone,
            Destination::Worker(id) => is_worker_inside(id),
            Destination::Store | Destination::Cloud => false,
        };
        partition.is_active(self.now) && is_origin_inside != is_destination_inside
    }

    /// The partition of a controller's call, which may be over.
    fn controller_partition(&self, index: usize, destination: &Destination) -> Partition {
        let faults = &self.controllers[index].faults;
        match destination {
            Destination::Store => faults.partition(faults.store_partition_until),
            Destination::Cloud => faults.partition(faults.cloud_partition_until),
            Destination::Worker(id) => self.command_partition(index, id),
            Destination::Controller(_) => Partition::default(),
        }
    }

    fn command_partition(&self, index: usize, id: &MachineId) -> Partition {
        let faults = &self.controllers[index].faults;
        if faults.command_partition.is_active(self.now) {
            return faults.command_partition;
        }
        if let Some(partition) = self.link_partition(index, id, LinkDirection::Commands) {
            return partition;
        }
        let worker = self.workers.by_id.get(id);
        let lost_until = worker.map_or(0, |worker| worker.inbound_lost_until);
        if lost_until > self.now {
            return Partition::new(lost_until, false);
        }
        let blocked_until = worker.map_or(0, |worker| worker.inbound_blocked_until);
        let until = faults.worker_partition_until;
        let until = until.max(self.unreachable_until(id)).max(blocked_until);
        Partition::new(until, true)
    }

    /// The partition of a call of a controller that runs as a separate process, which may be over.
    /// These partitions lose all messages, as sockets hold none.
    fn remote_controller_partition(
        &self,
        controller: Option<usize>,
        destination: &Destination,
    ) -> Partition {
        let faults = controller.map(|index| &self.controllers[index].faults);
        let until = match (destination, faults) {
            (Destination::Store, Some(faults)) => faults.store_partition_until,
            (Destination::Cloud, Some(faults)) => faults.cloud_partition_until,
            (Destination::Worker(id), _) => {
                let link = controller
                    .and_then(|index| self.link_partition(index, id, LinkDirection::Commands));
                match link {
                    Some(partition) => partition.until,
                    None => self.remote_worker_unreachable_until(id),
                }
            }
            _ => 0,
        };
        Partition::new(until, false)
    }

    fn remote_worker_unreachable_until(&self, id: &MachineId) -> Ms {
        let worker = self.workers.by_id.get(id);
        let inbound = worker.map_or(0, |worker| {
            worker.inbound_lost_until.max(worker.inbound_blocked_until)
        });
        self.unreachable_until(id).max(inbound)
    }

    /// The partition of a worker's heartbeat to a controller, which may be over.
    fn worker_partition(&self, id: &MachineId, index: usize) -> Partition {
        let worker = self.workers.by_id.get(id);
        let lost_until = worker.map_or(0, |worker| worker.outbound_lost_until);
        if lost_until > self.now {
            return Partition::new(lost_until, false);
        }
        if let Some(partition) = self.link_partition(index, id, LinkDirection::Heartbeats) {
            return partition;
        }
        let faults = &self.controllers[index].faults;
        let until = faults.worker_partition_until;
        faults.partition(until.max(self.unreachable_until(id)))
    }

    /// Time until which a machine is partitioned or hangs.
    fn unreachable_until(&self, id: &MachineId) -> Ms {
        let worker = self.workers.by_id.get(id);
        worker.map_or(0, |worker| worker.partitioned_until.max(worker.hung_until))
    }

    /// The active partition between a controller and a machine in a direction, if any.
    fn link_partition(
        &self,
        index: usize,
        id: &MachineId,
        direction: LinkDirection,
    ) -> Option<Partition> {
        let mut links = self.controllers[index].faults.link_partitions.iter();
        let link =
            links.find(|link| link.partition.is_active(self.now) && link.covers(id, direction))?;
        Some(link.partition)
    }

    /// The active partition between two controllers, if any.
    pub(super) fn peer_partition(&self, from: usize, to: usize) -> Option<Partition> {
        let mut ends = [(from, to), (to, from)].into_iter();
        ends.find_map(|(index, peer)| {
            let peers = self.controllers[index].faults.peer_partition;
            let is_lost = peers.partition.is_active(self.now) && peers.contains(peer);
            is_lost.then_some(peers.partition)
        })
    }
}
