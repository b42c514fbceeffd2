//! Cuts: which two ends do not reach each other, and until when.

use super::network::{Destination, Origin};
use super::size::zone_of;
use super::World;
use crate::faults::Direction;
use crate::Ms;
use forkshift_wire::MachineId;
use std::collections::BTreeSet;

/// A cut between a controller and some machines.
#[derive(Clone, Debug)]
pub(super) struct LinkPartition {
    pub(super) machines: BTreeSet<MachineId>,
    pub(super) direction: Direction,
    pub(super) until: Ms,
    /// Messages are held back.
    pub(super) holds_messages: bool,
}

/// What a controller is cut off from, each until a time.
#[derive(Default, Clone)]
pub(super) struct ControllerFaults {
    /// Refused by the state service, open watches included.
    pub(super) store_lockout_until: Ms,
    /// Until when it is cut off from which others, one bit each, and whether
    /// messages are held.
    pub(super) peer_partition: (Ms, u64, bool),
    /// Until when direct commands do not reach workers, and whether they are held.
    pub(super) command_partition: (Ms, bool),
    /// Machines that it is cut off from.
    pub(super) link_partitions: Vec<LinkPartition>,
    pub(super) paused_until: Ms,
    pub(super) store_partition_until: Ms,
    pub(super) worker_partition_until: Ms,
    pub(super) cloud_partition_until: Ms,
    pub(super) store_refusal_until: Ms,
    pub(super) slow_timers_until: Ms,
    pub(super) holds_messages: bool,
}

impl World {
    /// Until when two ends are cut off from each other, and whether messages are held.
    pub(super) fn partition(&self, origin: &Origin, dest: &Destination) -> (Ms, bool) {
        let (zone, until, hold) = self.zone_partition;
        let of_worker = |id: &MachineId| self.workers.get(id).is_some_and(|w| w.zone == zone);
        let from_inside = match origin {
            Origin::Controller { index: node, .. } => zone_of(*node) == zone,
            Origin::Worker { id, .. } => of_worker(id),
            Origin::User { .. }
            | Origin::UnusualRequest(_)
            | Origin::RemoteController { .. }
            | Origin::Duplicate => false,
        };
        let to_inside = match dest {
            Destination::Node(n) => zone_of(*n) == zone,
            Destination::Worker(id) => of_worker(id),
            Destination::State | Destination::Cloud => false,
        };
        if until > self.now && from_inside != to_inside {
            return (until, hold);
        }
        let node = |n: usize| &self.controllers[n].faults;
        let worker = |id: &MachineId| {
            self.workers
                .get(id)
                .map_or(0, |w| w.partitioned_until.max(w.hung_until))
        };
        match (origin, dest) {
            (
                Origin::RemoteController {
                    controller: Some(n),
                    ..
                },
                Destination::State,
            ) => (node(*n).store_partition_until, false),
            (
                Origin::RemoteController {
                    controller: Some(n),
                    ..
                },
                Destination::Cloud,
            ) => (node(*n).cloud_partition_until, false),
            (Origin::RemoteController { controller: n, .. }, Destination::Worker(id)) => {
                let cut = n.and_then(|n| self.link_partition(n, id, Direction::Calls));
                if let Some((until, _)) = cut {
                    return (until, false);
                }
                let link = self.workers.get(id);
                let silent = link.map_or(0, |w| w.inbound_lost_until.max(w.inbound_blocked_until));
                (worker(id).max(silent), false)
            }
            (Origin::Controller { index: n, .. }, Destination::State) => {
                (node(*n).store_partition_until, node(*n).holds_messages)
            }
            (Origin::Controller { index: n, .. }, Destination::Cloud) => {
                (node(*n).cloud_partition_until, node(*n).holds_messages)
            }
            (Origin::Controller { index: n, .. }, Destination::Worker(id)) => {
                let (direct, direct_hold) = node(*n).command_partition;
                if direct > self.now {
                    return (direct, direct_hold);
                }
                if let Some(cut) = self.link_partition(*n, id, Direction::Calls) {
                    return cut;
                }
                let lost = self.workers.get(id).map_or(0, |w| w.inbound_lost_until);
                if lost > self.now {
                    return (lost, false);
                }
                let deaf = self.workers.get(id).map_or(0, |w| w.inbound_blocked_until);
                (
                    node(*n).worker_partition_until.max(worker(id)).max(deaf),
                    true,
                )
            }
            (Origin::Worker { id, .. }, Destination::Node(n)) => {
                let mute = self.workers.get(id).map_or(0, |w| w.outbound_lost_until);
                if mute > self.now {
                    return (mute, false);
                }
                if let Some(cut) = self.link_partition(*n, id, Direction::Reports) {
                    return cut;
                }
                (
                    node(*n).worker_partition_until.max(worker(id)),
                    node(*n).holds_messages,
                )
            }
            _ => (0, false),
        }
    }

    /// Until when a controller and a machine are cut off from each other in a direction,
    /// and whether messages are held.
    fn link_partition(
        &self,
        node: usize,
        id: &MachineId,
        direction: Direction,
    ) -> Option<(Ms, bool)> {
        let cuts = self.controllers[node].faults.link_partitions.iter();
        let mut meant = cuts.filter(|cut| {
            let lost = cut.direction == Direction::Both || cut.direction == direction;
            lost && cut.until > self.now && cut.machines.contains(id)
        });
        meant.next().map(|cut| (cut.until, cut.holds_messages))
    }
}
