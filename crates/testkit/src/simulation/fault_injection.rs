//! Faults as they come, and whom they hit.

use super::partitions::LinkPartition;
use super::{Event, World, STEP_MS};
use crate::faults::{ControllerSelector, FaultKind, MachineFault, Which};
use crate::store::SizeLimits;
use crate::worker::Worker;
use crate::Ms;
use forkshift_core::records::{self, ShardId};
use forkshift_wire::{JobId, MachineId};
use rand::Rng;

impl World {
    /// The controller that is meant, if there is one now.
    pub fn select_controller(&self, who: &ControllerSelector) -> Option<usize> {
        match who {
            ControllerSelector::Index(n) => Some(*n),
            ControllerSelector::HolderOfJob(id) => self.holder_of(id),
            ControllerSelector::Leader => self.leader(),
            ControllerSelector::NextAfter(who) => {
                let n = self.select_controller(who)?;
                let mut others = (1..self.size.nodes).map(|i| (n + i) % self.size.nodes);
                others.find(|n| self.controllers[*n].node.is_some())
            }
        }
    }

    pub(super) fn controller_index(&self, field: Option<&serde_json::Value>) -> Option<usize> {
        field?.as_str()?.strip_prefix("berth-")?.parse().ok()
    }

    /// The leader, as the state service has it.
    pub fn leader(&self) -> Option<usize> {
        self.controller_index(self.store.value(records::LEADER)?.get("node"))
    }

    pub(super) fn shard_of(&self, id: &JobId) -> Option<ShardId> {
        let shard = self.store.value(&records::job_key(id))?.get("share")?;
        Some(ShardId(shard.as_u64()? as u32))
    }

    /// The holder of a job's share, as the state service has it.
    pub fn holder_of(&self, id: &JobId) -> Option<usize> {
        let key = records::shard_key(self.shard_of(id)?);
        self.controller_index(self.store.value(&key)?.get("holder"))
    }

    /// Whether a controller holds a share, as the state service has it.
    pub fn holds_shards(&self, node: usize) -> bool {
        let shards = (0..self.size.nodes as u32).map(|k| records::shard_key(ShardId(k)));
        let mut records = shards.filter_map(|key| self.store.value(&key));
        records.any(|r| self.controller_index(r.get("holder")) == Some(node))
    }

    /// The epoch of a job's share, as the state service has it.
    pub fn epoch_of(&self, id: &JobId) -> Option<u64> {
        let key = records::shard_key(self.shard_of(id)?);
        self.store.value(&key)?.get("epoch")?.as_u64()
    }

    /// The machines of a zone that are up.
    pub fn machines_in(&self, zone: &str) -> Vec<MachineId> {
        let all = self.workers.values().filter(|w| w.zone == zone);
        all.map(|w| w.id.clone()).collect()
    }

    /// The machines that are meant and are up.
    pub fn machines_of(&self, which: &Which) -> Vec<MachineId> {
        let held = |w: &Worker, who: usize| {
            let machine = self.store.value(&records::machine_key(&w.id))?;
            let shard = ShardId(machine.get("share")?.as_u64()? as u32);
            let shard = self.store.value(&records::shard_key(shard))?;
            Some(self.controller_index(shard.get("holder"))? == who)
        };
        let meant = |w: &Worker| match which {
            Which::RunningJob(id) => w.has_task_of(id),
            Which::HeldBy(who) => self
                .select_controller(who)
                .is_some_and(|n| held(w, n).unwrap_or(false)),
            Which::InZone(zone) => w.zone == *zone,
            Which::Named(ids) => ids.contains(&w.id),
            Which::Some(_) | Which::All => true,
        };
        let all = self.workers.values().filter(|w| meant(w));
        all.map(|w| w.id.clone()).collect()
    }

    pub(super) fn inject_machine_fault(&mut self, which: &Which, fault: MachineFault) {
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
                MachineFault::Die => self.crash_machine(&id),
                MachineFault::Hang(time) => w.hung_until = now + time,
                MachineFault::Partition(time) => w.partitioned_until = now + time,
                MachineFault::InboundLoss(time) => w.inbound_lost_until = now + time,
                MachineFault::OutboundLoss(time) => w.outbound_lost_until = now + time,
                MachineFault::SlowLink(time) => w.slow_link_until = now + time,
                MachineFault::FailTasks(time) => w.failing_until = now + time,
                MachineFault::EvictImages => w.evict_images(now),
                MachineFault::StuckPrefetch(time) => w.prefetch_stuck_until = now + time,
            }
        }
    }

    /// A controller ends, and comes back as the old release or the new one.
    fn restart_with_release(&mut self, node: usize, is_old: bool, restart_after: Ms) {
        self.controllers[node].node = None;
        self.controllers[node].is_old = is_old;
        self.schedule(self.now + restart_after, Event::ControllerRestart(node));
    }

    /// The limits that were announced come into force.
    fn lower_limits(&mut self) {
        if let Some(next) = self.size.next_limits {
            let sizes = SizeLimits {
                value_bytes: next.value_kb * 1024,
                txn_ops: next.txn_ops,
            };
            self.store.set_limits(next.write_rps, sizes);
        }
    }

    /// A machine stops with all that is on it.
    pub(super) fn crash_machine(&mut self, id: &MachineId) {
        self.remove_worker(id);
        if let Some(m) = self.cloud.machines.get_mut(id) {
            m.failed = true;
        }
        self.cloud.end_billing(id, self.now);
    }

    /// Faults that have come, with when. Controllers that were named by what
    /// they are have their indices here.
    pub fn injected_faults(&self) -> &[(Ms, FaultKind)] {
        &self.injected_faults
    }

    pub(super) fn inject(&mut self, kind: FaultKind) {
        let now = self.now;
        let kind = match kind {
            FaultKind::At(who, kind) => match self.select_controller(&who) {
                Some(n) => kind.with_controller(n),
                None => {
                    self.schedule(now + STEP_MS, Event::FaultStart(FaultKind::At(who, kind)));
                    return;
                }
            },
            kind => kind,
        };
        let over = now + kind.duration(self.size.lease_ms);
        self.faults_until = self.faults_until.max(over);
        self.injected_faults.push((now, kind.clone()));
        let pick = |world: &mut Self| {
            let ids: Vec<MachineId> = world.workers.keys().cloned().collect();
            (!ids.is_empty()).then(|| ids[world.rng.random_range(0..ids.len())].clone())
        };
        match kind {
            FaultKind::Crash {
                node,
                count,
                restart_after,
            } => {
                let nodes = self.size.nodes;
                for n in (0..count).map(|i| (node + i) % nodes) {
                    self.controllers[n].node = None;
                    self.schedule(now + restart_after, Event::ControllerRestart(n));
                }
            }
            FaultKind::Upgrade {
                node,
                restart_after,
            } => self.restart_with_release(node, false, restart_after),
            FaultKind::Downgrade {
                node,
                restart_after,
            } => self.restart_with_release(node, true, restart_after),
            FaultKind::LowerLimits => self.lower_limits(),
            FaultKind::Cut {
                node,
                state,
                workers,
                cloud,
                time,
                hold,
            } => {
                let cuts = &mut self.controllers[node].faults;
                cuts.holds_messages = hold;
                for (on, until) in [
                    (state, &mut cuts.store_partition_until),
                    (workers, &mut cuts.worker_partition_until),
                    (cloud, &mut cuts.cloud_partition_until),
                ] {
                    if on {
                        *until = now + time;
                    }
                }
            }
            FaultKind::ZonePartition { zone, time, hold } => {
                self.zone_partition = (zone, now + time, hold)
            }
            FaultKind::StoreRefusal { node, time } => {
                self.controllers[node].faults.store_refusal_until = now + time
            }
            FaultKind::SlowTimers { node, time } => {
                self.controllers[node].faults.slow_timers_until = now + time
            }
            FaultKind::StoreOutage(time) => {
                self.store.set_down(true, now);
                self.store_down_until = now + time;
            }
            FaultKind::SlowStore(time) => self.slow_store_until = now + time,
            FaultKind::LateWrites(time) => self.late_writes_until = now + time,
            FaultKind::CloudOutage(time) => {
                self.cloud.is_down = true;
                self.cloud_down_until = now + time;
            }
            FaultKind::LateHeartbeatCopies(time) => self.late_copies_until = now + time,
            FaultKind::LostResponses(time) => self.lost_responses_until = now + time,
            FaultKind::MachineCrash => {
                if let Some(id) = pick(self) {
                    self.crash_machine(&id);
                }
            }
            FaultKind::At(_, kind) => self.inject(*kind),
            FaultKind::Machines(which, fault) => self.inject_machine_fault(&which, fault),
            FaultKind::StoreLockout { node, time } => {
                self.controllers[node].faults.store_lockout_until = now + time
            }
            FaultKind::PeerPartition {
                node,
                peers,
                time,
                hold,
            } => {
                let bits = peers.map_or(u64::MAX, |w| w.iter().fold(0, |b, n| b | 1 << n));
                self.controllers[node].faults.peer_partition = (now + time, bits, hold);
            }
            FaultKind::CommandPartition { node, time, hold } => {
                self.controllers[node].faults.command_partition = (now + time, hold);
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
                let cut = LinkPartition {
                    machines,
                    direction: lost,
                    until,
                    holds_messages: hold,
                };
                self.controllers[node]
                    .faults
                    .link_partitions
                    .retain(|cut| cut.until > now);
                self.controllers[node].faults.link_partitions.push(cut);
            }
            FaultKind::LostWriteResponses {
                percent,
                key_prefix,
                executes_at_once,
                time,
            } => {
                self.active_faults.lost_write_responses =
                    (now + time, percent, key_prefix, executes_at_once)
            }
            FaultKind::LateHeartbeats {
                percent,
                until_failover,
                time,
            } => self.active_faults.late_heartbeats = (now + time, percent, until_failover),
            FaultKind::SlowBoots { which, time } => {
                self.cloud.slow_boots = Some((now + time, which))
            }
            FaultKind::FastBoots(time) => self.cloud.fast_boots_until = now + time,
            FaultKind::DelayedCommands { percent, time } => {
                self.active_faults.delayed_commands = (now + time, percent);
            }
            FaultKind::CancelRunningJobs { count, hang_ms } => {
                self.cancel_running_jobs(count, hang_ms)
            }
            FaultKind::CancelCompletingJobs { percent, time } => {
                self.active_faults.cancel_completing_jobs = (now + time, percent);
            }
            FaultKind::UnusualRequests(time) => {
                self.active_faults.unusual_requests_until = now + time
            }
            FaultKind::StatusBursts(time) => self.active_faults.status_bursts_until = now + time,
            FaultKind::Pause { node, time } => {
                self.controllers[node].faults.paused_until = now + time
            }
            FaultKind::SpotReclaim { notice } => {
                let ids: Vec<MachineId> = self
                    .workers
                    .values()
                    .filter(|w| w.spot)
                    .map(|w| w.id.clone())
                    .collect();
                for id in ids {
                    if let Some(w) = self.workers.get_mut(&id) {
                        w.reclaimed_at = (notice > 0).then_some(now + notice);
                    }
                    self.schedule(now + notice, Event::SpotReclaim(id));
                }
            }
            FaultKind::MachineHang(time)
            | FaultKind::MachinePartition(time)
            | FaultKind::MachineInboundBlocked(time)
            | FaultKind::MachineFailsTasks(time) => {
                let id = pick(self);
                let Some(w) = id.and_then(|id| self.workers.get_mut(&id)) else {
                    return;
                };
                match kind {
                    FaultKind::MachineHang(_) => w.hung_until = now + time,
                    FaultKind::MachinePartition(_) => w.partitioned_until = now + time,
                    FaultKind::MachineInboundBlocked(_) => w.inbound_blocked_until = now + time,
                    _ => w.failing_until = now + time,
                }
            }
        }
    }
}
