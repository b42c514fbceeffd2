//! Cuts: which two ends do not reach each other, and until when.

use super::network::{Dest, Origin};
use super::size::zone_of;
use super::World;
use crate::faults::Direction;
use crate::Ms;
use forkshift_wire::MachineId;
use std::collections::BTreeSet;

/// A cut between a controller and some machines.
#[derive(Clone, Debug)]
pub(super) struct LinkCut {
    pub(super) machines: BTreeSet<MachineId>,
    pub(super) lost: Direction,
    pub(super) until: Ms,
    /// Messages are held back.
    pub(super) hold: bool,
}

/// What a controller is cut off from, each until a time.
#[derive(Default, Clone)]
pub(super) struct Cuts {
    /// Refused by the state service, open watches included.
    pub(super) shut: Ms,
    /// Until when it is cut off from which others, one bit each, and whether
    /// messages are held.
    pub(super) peers: (Ms, u64, bool),
    /// Until when direct commands do not reach workers, and whether they are held.
    pub(super) direct: (Ms, bool),
    /// Machines that it is cut off from.
    pub(super) links: Vec<LinkCut>,
    pub(super) pause: Ms,
    pub(super) state: Ms,
    pub(super) workers: Ms,
    pub(super) cloud: Ms,
    pub(super) refuse: Ms,
    pub(super) slow: Ms,
    pub(super) hold: bool,
}

impl World {
    /// Until when two ends are cut off from each other, and whether messages are held.
    pub(super) fn cut(&self, origin: &Origin, dest: &Dest) -> (Ms, bool) {
        let (zone, until, hold) = self.zone_cut;
        let of_worker = |id: &MachineId| self.workers.get(id).is_some_and(|w| w.zone == zone);
        let from_inside = match origin {
            Origin::Node { node, .. } => zone_of(*node) == zone,
            Origin::Worker { id, .. } => of_worker(id),
            Origin::User { .. } | Origin::Aside(_) | Origin::Remote { .. } | Origin::Nobody => {
                false
            }
        };
        let to_inside = match dest {
            Dest::Node(n) => zone_of(*n) == zone,
            Dest::Worker(id) => of_worker(id),
            Dest::State | Dest::Cloud => false,
        };
        if until > self.now && from_inside != to_inside {
            return (until, hold);
        }
        let node = |n: usize| &self.hosts[n].cuts;
        let worker = |id: &MachineId| {
            self.workers
                .get(id)
                .map_or(0, |w| w.cut_until.max(w.hung_until))
        };
        match (origin, dest) {
            (Origin::Remote { node: Some(n), .. }, Dest::State) => (node(*n).state, false),
            (Origin::Remote { node: Some(n), .. }, Dest::Cloud) => (node(*n).cloud, false),
            (Origin::Remote { node: n, .. }, Dest::Worker(id)) => {
                let cut = n.and_then(|n| self.link_cut(n, id, Direction::Calls));
                if let Some((until, _)) = cut {
                    return (until, false);
                }
                let link = self.workers.get(id);
                let silent = link.map_or(0, |w| w.lost_until.max(w.deaf_until));
                (worker(id).max(silent), false)
            }
            (Origin::Node { node: n, .. }, Dest::State) => (node(*n).state, node(*n).hold),
            (Origin::Node { node: n, .. }, Dest::Cloud) => (node(*n).cloud, node(*n).hold),
            (Origin::Node { node: n, .. }, Dest::Worker(id)) => {
                let (direct, direct_hold) = node(*n).direct;
                if direct > self.now {
                    return (direct, direct_hold);
                }
                if let Some(cut) = self.link_cut(*n, id, Direction::Calls) {
                    return cut;
                }
                let lost = self.workers.get(id).map_or(0, |w| w.lost_until);
                if lost > self.now {
                    return (lost, false);
                }
                let deaf = self.workers.get(id).map_or(0, |w| w.deaf_until);
                (node(*n).workers.max(worker(id)).max(deaf), true)
            }
            (Origin::Worker { id, .. }, Dest::Node(n)) => {
                let mute = self.workers.get(id).map_or(0, |w| w.mute_until);
                if mute > self.now {
                    return (mute, false);
                }
                if let Some(cut) = self.link_cut(*n, id, Direction::Reports) {
                    return cut;
                }
                (node(*n).workers.max(worker(id)), node(*n).hold)
            }
            _ => (0, false),
        }
    }

    /// Until when a controller and a machine are cut off from each other in a direction,
    /// and whether messages are held.
    fn link_cut(&self, node: usize, id: &MachineId, direction: Direction) -> Option<(Ms, bool)> {
        let cuts = self.hosts[node].cuts.links.iter();
        let mut meant = cuts.filter(|cut| {
            let lost = cut.lost == Direction::Both || cut.lost == direction;
            lost && cut.until > self.now && cut.machines.contains(id)
        });
        meant.next().map(|cut| (cut.until, cut.hold))
    }
}
