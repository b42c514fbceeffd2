//! Faults as they come, and whom they hit.

use super::cuts::LinkCut;
use super::{Event, World, STEP};
use crate::faults::{FaultKind, MachineFault, Which, Who};
use crate::state::SizeLimits;
use crate::worker::Worker;
use crate::Ms;
use forkshift_core::records::{self, ShardId};
use forkshift_wire::{JobId, MachineId};
use rand::Rng;

impl World {
    /// The controller that is meant, if there is one now.
    pub fn index_of(&self, who: &Who) -> Option<usize> {
        match who {
            Who::Index(n) => Some(*n),
            Who::HolderOf(id) => self.holder_of(id),
            Who::Leader => self.leader(),
            Who::Besides(who) => {
                let n = self.index_of(who)?;
                let mut others = (1..self.size.nodes).map(|i| (n + i) % self.size.nodes);
                others.find(|n| self.hosts[*n].node.is_some())
            }
        }
    }

    pub(super) fn named(&self, field: Option<&serde_json::Value>) -> Option<usize> {
        field?.as_str()?.strip_prefix("berth-")?.parse().ok()
    }

    /// The leader, as the state service has it.
    pub fn leader(&self) -> Option<usize> {
        self.named(self.state.value(records::LEADER)?.get("node"))
    }

    pub(super) fn shard_of(&self, id: &JobId) -> Option<ShardId> {
        let shard = self.state.value(&records::job_key(id))?.get("share")?;
        Some(ShardId(shard.as_u64()? as u32))
    }

    /// The holder of a job's share, as the state service has it.
    pub fn holder_of(&self, id: &JobId) -> Option<usize> {
        let key = records::shard_key(self.shard_of(id)?);
        self.named(self.state.value(&key)?.get("holder"))
    }

    /// Whether a controller holds a share, as the state service has it.
    pub fn holds_shards(&self, node: usize) -> bool {
        let shards = (0..self.size.nodes as u32).map(|k| records::shard_key(ShardId(k)));
        let mut records = shards.filter_map(|key| self.state.value(&key));
        records.any(|r| self.named(r.get("holder")) == Some(node))
    }

    /// The epoch of a job's share, as the state service has it.
    pub fn epoch_of(&self, id: &JobId) -> Option<u64> {
        let key = records::shard_key(self.shard_of(id)?);
        self.state.value(&key)?.get("epoch")?.as_u64()
    }

    /// The machines of a zone that are up.
    pub fn machines_in(&self, zone: &str) -> Vec<MachineId> {
        let all = self.workers.values().filter(|w| w.zone == zone);
        all.map(|w| w.id.clone()).collect()
    }

    /// The machines that are meant and are up.
    pub fn machines_of(&self, which: &Which) -> Vec<MachineId> {
        let held = |w: &Worker, who: usize| {
            let machine = self.state.value(&records::machine_key(&w.id))?;
            let shard = ShardId(machine.get("share")?.as_u64()? as u32);
            let shard = self.state.value(&records::shard_key(shard))?;
            Some(self.named(shard.get("holder"))? == who)
        };
        let meant = |w: &Worker| match which {
            Which::OfJob(id) => w.has_task_of(id),
            Which::OfHolder(who) => self
                .index_of(who)
                .is_some_and(|n| held(w, n).unwrap_or(false)),
            Which::OfZone(zone) => w.zone == *zone,
            Which::Named(ids) => ids.contains(&w.id),
            Which::Some(_) | Which::All => true,
        };
        let all = self.workers.values().filter(|w| meant(w));
        all.map(|w| w.id.clone()).collect()
    }

    pub(super) fn inject_machines(&mut self, which: &Which, fault: MachineFault) {
        let now = self.now;
        let mut ids = self.machines_of(which);
        if let Which::Some(n) = which {
            while ids.len() > *n {
                let i = self.rng.random_range(0..ids.len());
                ids.swap_remove(i);
            }
        }
        for id in ids {
            let Some(w) = self.workers.get_mut(&id) else {
                continue;
            };
            match fault {
                MachineFault::Die => self.die(&id),
                MachineFault::Hang(time) => w.hung_until = now + time,
                MachineFault::Cut(time) => w.cut_until = now + time,
                MachineFault::Deaf(time) => w.lost_until = now + time,
                MachineFault::Mute(time) => w.mute_until = now + time,
                MachineFault::Slow(time) => w.slow_until = now + time,
                MachineFault::Sick(time) => w.sick_until = now + time,
                MachineFault::Evict => w.evict_images(now),
                MachineFault::StuckFetch(time) => w.stuck_until = now + time,
            }
        }
    }

    /// A controller ends, and comes back as the old release or the new one.
    fn change_release(&mut self, node: usize, is_old: bool, back: Ms) {
        self.hosts[node].node = None;
        self.hosts[node].is_old = is_old;
        self.at(self.now + back, Event::Restart(node));
    }

    /// The limits that were announced come into force.
    fn lower_limits(&mut self) {
        if let Some(next) = self.size.next_limits {
            let sizes = SizeLimits {
                value_bytes: next.value_kb * 1024,
                txn_ops: next.txn_ops,
            };
            self.state.set_limits(next.write_rps, sizes);
        }
    }

    /// A machine stops with all that is on it.
    pub(super) fn die(&mut self, id: &MachineId) {
        self.end_worker(id);
        if let Some(m) = self.cloud.machines.get_mut(id) {
            m.failed = true;
        }
        self.cloud.note_end(id, self.now);
    }

    /// Faults that have come, with when. Controllers that were named by what
    /// they are have their indices here.
    pub fn injected(&self) -> &[(Ms, FaultKind)] {
        &self.injected
    }

    pub(super) fn inject(&mut self, kind: FaultKind) {
        let now = self.now;
        let kind = match kind {
            FaultKind::At(who, kind) => match self.index_of(&who) {
                Some(n) => kind.aimed(n),
                None => {
                    self.at(now + STEP, Event::Inject(FaultKind::At(who, kind)));
                    return;
                }
            },
            kind => kind,
        };
        let over = now + kind.lasts(self.size.lease_ms);
        self.troubled_until = self.troubled_until.max(over);
        self.injected.push((now, kind.clone()));
        let pick = |world: &mut Self| {
            let ids: Vec<MachineId> = world.workers.keys().cloned().collect();
            (!ids.is_empty()).then(|| ids[world.rng.random_range(0..ids.len())].clone())
        };
        match kind {
            FaultKind::Crash { node, count, back } => {
                let nodes = self.size.nodes;
                for n in (0..count).map(|i| (node + i) % nodes) {
                    self.hosts[n].node = None;
                    self.at(now + back, Event::Restart(n));
                }
            }
            FaultKind::Upgrade { node, back } => self.change_release(node, false, back),
            FaultKind::Downgrade { node, back } => self.change_release(node, true, back),
            FaultKind::LowerLimits => self.lower_limits(),
            FaultKind::Cut {
                node,
                state,
                workers,
                cloud,
                time,
                hold,
            } => {
                let cuts = &mut self.hosts[node].cuts;
                cuts.hold = hold;
                for (on, until) in [
                    (state, &mut cuts.state),
                    (workers, &mut cuts.workers),
                    (cloud, &mut cuts.cloud),
                ] {
                    if on {
                        *until = now + time;
                    }
                }
            }
            FaultKind::ZoneCut { zone, time, hold } => self.zone_cut = (zone, now + time, hold),
            FaultKind::Refuse { node, time } => self.hosts[node].cuts.refuse = now + time,
            FaultKind::Slow { node, time } => self.hosts[node].cuts.slow = now + time,
            FaultKind::Outage(time) => {
                self.state.set_down(true, now);
                self.outage_until = now + time;
            }
            FaultKind::SlowState(time) => self.slow_state = now + time,
            FaultKind::LateWrites(time) => self.late_writes = now + time,
            FaultKind::CloudTrouble(time) => {
                self.cloud.down = true;
                self.cloud_until = now + time;
            }
            FaultKind::LateCopies(time) => self.late_copies = now + time,
            FaultKind::LostAnswers(time) => self.lost_answers = now + time,
            FaultKind::Die => {
                if let Some(id) = pick(self) {
                    self.die(&id);
                }
            }
            FaultKind::At(_, kind) => self.inject(*kind),
            FaultKind::Machines(which, fault) => self.inject_machines(&which, fault),
            FaultKind::Shut { node, time } => self.hosts[node].cuts.shut = now + time,
            FaultKind::PeerCut {
                node,
                with,
                time,
                hold,
            } => {
                let bits = with.map_or(u64::MAX, |w| w.iter().fold(0, |b, n| b | 1 << n));
                self.hosts[node].cuts.peers = (now + time, bits, hold);
            }
            FaultKind::DirectCut { node, time, hold } => {
                self.hosts[node].cuts.direct = (now + time, hold);
            }
            FaultKind::LinkCut {
                node,
                machines,
                lost,
                time,
                hold,
            } => {
                let machines = self.machines_of(&machines).into_iter().collect();
                let until = now + time;
                let cut = LinkCut {
                    machines,
                    lost,
                    until,
                    hold,
                };
                self.hosts[node].cuts.links.retain(|cut| cut.until > now);
                self.hosts[node].cuts.links.push(cut);
            }
            FaultKind::LostWrites {
                share,
                of,
                at_once,
                time,
            } => self.troubles.writes = (now + time, share, of, at_once),
            FaultKind::LateReports {
                share,
                for_next,
                time,
            } => self.troubles.reports = (now + time, share, for_next),
            FaultKind::SlowBoots { which, time } => self.cloud.slow = Some((now + time, which)),
            FaultKind::QuickBoots(time) => self.cloud.quick_until = now + time,
            FaultKind::HeldCommands { share, time } => {
                self.troubles.held_commands = (now + time, share);
            }
            FaultKind::CancelNow { count, hang } => self.cancel_now(count, hang),
            FaultKind::CancelAtEnd { share, time } => {
                self.troubles.cancel_at_end = (now + time, share);
            }
            FaultKind::OddRequests(time) => self.troubles.odd_requests = now + time,
            FaultKind::CloseLooks(time) => self.troubles.close_looks = now + time,
            FaultKind::Pause { node, time } => self.hosts[node].cuts.pause = now + time,
            FaultKind::Taken { notice } => {
                let ids: Vec<MachineId> = self
                    .workers
                    .values()
                    .filter(|w| w.spot)
                    .map(|w| w.id.clone())
                    .collect();
                for id in ids {
                    if let Some(w) = self.workers.get_mut(&id) {
                        w.taken_at = (notice > 0).then_some(now + notice);
                    }
                    self.at(now + notice, Event::Taken(id));
                }
            }
            FaultKind::Hang(time)
            | FaultKind::MachineCut(time)
            | FaultKind::Deaf(time)
            | FaultKind::Sick(time) => {
                let id = pick(self);
                let Some(w) = id.and_then(|id| self.workers.get_mut(&id)) else {
                    return;
                };
                match kind {
                    FaultKind::Hang(_) => w.hung_until = now + time,
                    FaultKind::MachineCut(_) => w.cut_until = now + time,
                    FaultKind::Deaf(_) => w.deaf_until = now + time,
                    _ => w.sick_until = now + time,
                }
            }
        }
    }
}
