//! Injection of faults into the simulated components.

use super::events::Event;
use super::network_faults::{LateHeartbeats, LostWriteResponses, RepeatedRequests, SampledFault};
use super::partitions::{LinkPartition, Partition, PeerPartition, ZonePartition};
use super::{Simulation, STEP_MS};
use crate::faults::{Fault, FaultKind, LinkDirection, MachineFault, MachineSelector};
use crate::store::SizeLimits;
use crate::Ms;
use forkshift_wire::MachineId;
use rand::Rng;
use std::collections::VecDeque;

/// Scheduled faults, and faults that have begun.
pub(super) struct FaultTimeline {
    /// Faults that have not begun, ordered by time.
    upcoming: VecDeque<Fault>,
    /// Faults that have begun, with the time at which they began.
    injected: Vec<(Ms, FaultKind)>,
    /// Time at which all faults that have begun are over.
    active_until: Ms,
    cloud_down_until: Ms,
    store_down_until: Ms,
}

impl FaultTimeline {
    pub(super) fn new(mut faults: Vec<Fault>) -> Self {
        faults.sort_by_key(|fault| fault.at);
        Self {
            upcoming: faults.into(),
            injected: Vec::new(),
            active_until: 0,
            cloud_down_until: 0,
            store_down_until: 0,
        }
    }

    fn pop_due(&mut self, now: Ms) -> Option<Fault> {
        let is_due = self.upcoming.front().is_some_and(|fault| fault.at <= now);
        is_due.then(|| self.upcoming.pop_front())?
    }

    fn record(&mut self, now: Ms, kind: FaultKind, duration: Ms) {
        self.active_until = self.active_until.max(now + duration);
        self.injected.push((now, kind));
    }

    /// When the last fault was over; none if a fault is active or still scheduled.
    pub(super) fn faults_over_since(&self, now: Ms) -> Option<Ms> {
        let is_quiet = self.upcoming.is_empty() && now >= self.active_until;
        is_quiet.then_some(self.active_until)
    }
}

impl Simulation {
    /// Faults that have begun, with the time at which they began. Controllers that were selected by
    /// their role appear with their indices.
    pub fn injected_faults(&self) -> &[(Ms, FaultKind)] {
        &self.faults.injected
    }

    pub(super) fn inject_due_faults(&mut self) {
        while let Some(fault) = self.faults.pop_due(self.now) {
            self.inject(fault.kind);
        }
    }

    /// Ends the outages of the cloud and the store whose duration is over.
    pub(super) fn end_outages(&mut self) {
        if self.cloud.is_down && self.now >= self.faults.cloud_down_until {
            self.cloud.is_down = false;
        }
        if self.store.is_down && self.now >= self.faults.store_down_until {
            self.store.set_down(false, self.now);
        }
    }

    /// Begins a fault. If its selector matches no controller, the fault is retried in the next step.
    /// The kinds of faults are handled by a chain of methods, each of which passes the kinds that
    /// are not its own to the next.
    pub(super) fn inject(&mut self, kind: FaultKind) {
        let kind = match kind {
            FaultKind::At(selector, kind) => match self.select_controller(&selector) {
                Some(index) => kind.with_controller(index),
                None => {
                    let retry = Event::FaultStart(FaultKind::At(selector, kind));
                    self.schedule(self.now + STEP_MS, retry);
                    return;
                }
            },
            kind => kind,
        };
        let duration = kind.duration(self.config.lease_ms);
        self.faults.record(self.now, kind.clone(), duration);
        self.begin_controller_fault(kind);
    }

    /// Begins a fault of a controller itself, or passes the fault on.
    fn begin_controller_fault(&mut self, kind: FaultKind) {
        let now = self.now;
        match kind {
            FaultKind::Crash {
                node,
                count,
                restart_after,
            } => self.crash_controllers(node, count, restart_after),
            FaultKind::Upgrade {
                node,
                restart_after,
            } => self.restart_with_release(node, false, restart_after),
            FaultKind::Downgrade {
                node,
                restart_after,
            } => self.restart_with_release(node, true, restart_after),
            FaultKind::StoreRefusal { node, time } => {
                self.controllers[node].faults.store_refusal_until = now + time;
            }
            FaultKind::StoreLockout { node, time } => {
                self.controllers[node].faults.store_lockout_until = now + time;
            }
            FaultKind::SlowTimers { node, time } => {
                self.controllers[node].faults.slow_timers_until = now + time;
            }
            FaultKind::Pause { node, time } => {
                self.controllers[node].faults.paused_until = now + time;
            }
            other => self.begin_partition(other),
        }
    }

    /// Begins a network partition, or passes the fault on.
    fn begin_partition(&mut self, kind: FaultKind) {
        let now = self.now;
        match kind {
            FaultKind::ServicePartition {
                node,
                store,
                workers,
                cloud,
                time,
                holds_messages,
            } => {
                let faults = &mut self.controllers[node].faults;
                faults.holds_messages = holds_messages;
                for (is_lost, until) in [
                    (store, &mut faults.store_partition_until),
                    (workers, &mut faults.worker_partition_until),
                    (cloud, &mut faults.cloud_partition_until),
                ] {
                    if is_lost {
                        *until = now + time;
                    }
                }
            }
            FaultKind::ZonePartition {
                zone,
                time,
                holds_messages,
            } => {
                let partition = Partition::new(now + time, holds_messages);
                self.network_faults.zone_partition = ZonePartition { zone, partition };
            }
            FaultKind::PeerPartition {
                node,
                peers,
                time,
                holds_messages,
            } => {
                let partition = Partition::new(now + time, holds_messages);
                self.controllers[node].faults.peer_partition =
                    PeerPartition::new(peers.as_deref(), partition);
            }
            FaultKind::CommandPartition {
                node,
                time,
                holds_messages,
            } => {
                self.controllers[node].faults.command_partition =
                    Partition::new(now + time, holds_messages);
            }
            FaultKind::LinkPartition {
                node,
                machines,
                direction,
                time,
                holds_messages,
            } => self.partition_links(
                node,
                &machines,
                direction,
                Partition::new(now + time, holds_messages),
            ),
            other => self.begin_service_fault(other),
        }
    }

    /// Begins a fault of the store or the cloud, or passes the fault on.
    fn begin_service_fault(&mut self, kind: FaultKind) {
        let now = self.now;
        match kind {
            FaultKind::LowerLimits => self.lower_limits(),
            FaultKind::StoreOutage(time) => {
                self.store.set_down(true, now);
                self.faults.store_down_until = now + time;
            }
            FaultKind::SlowStore(time) => self.network_faults.slow_store_until = now + time,
            FaultKind::LateWrites(time) => self.network_faults.late_writes_until = now + time,
            FaultKind::LostWriteResponses {
                percent,
                key_prefix,
                executes_at_once,
                time,
            } => {
                self.network_faults.lost_write_responses = LostWriteResponses {
                    until: now + time,
                    percent,
                    key_prefix,
                    executes_at_once,
                };
            }
            FaultKind::CloudOutage(time) => {
                self.cloud.is_down = true;
                self.faults.cloud_down_until = now + time;
            }
            FaultKind::SlowBoots { which, time } => {
                self.cloud.slow_boots = Some((now + time, which));
            }
            FaultKind::FastBoots(time) => self.cloud.fast_boots_until = now + time,
            other => self.begin_message_or_request_fault(other),
        }
    }

    /// Begins a fault of messages or of users' requests, or passes the fault on.
    fn begin_message_or_request_fault(&mut self, kind: FaultKind) {
        let now = self.now;
        match kind {
            FaultKind::LateHeartbeatCopies(time) => {
                self.network_faults.late_copies_until = now + time;
            }
            FaultKind::LostResponses(time) => {
                self.network_faults.lost_responses_until = now + time;
            }
            FaultKind::LateHeartbeats {
                percent,
                until_failover,
                time,
            } => {
                self.network_faults.late_heartbeats = LateHeartbeats {
                    until: now + time,
                    percent,
                    until_failover,
                };
            }
            FaultKind::DelayedCommands { percent, time } => {
                let until = now + time;
                self.network_faults.delayed_commands = SampledFault { until, percent };
            }
            FaultKind::RepeatedRequests {
                receiver,
                percent,
                time,
            } => {
                let until = now + time;
                let sample = SampledFault { until, percent };
                let repeated = &mut self.network_faults.repeated_requests;
                repeated.push(RepeatedRequests { receiver, sample });
            }
            FaultKind::CancelRunningJobs { count, hang_ms } => {
                self.cancel_running_jobs(count, hang_ms);
            }
            FaultKind::CancelCompletingJobs { percent, time } => {
                let until = now + time;
                self.user_request_faults.cancel_completing_jobs = SampledFault { until, percent };
            }
            FaultKind::UnusualRequests(time) => {
                self.user_request_faults.adversarial_requests_until = now + time;
            }
            FaultKind::StatusBursts(time) => {
                self.user_request_faults.status_bursts_until = now + time;
            }
            other => self.begin_machine_fault(other),
        }
    }

    /// Begins a fault of machines, the last kinds of the chain.
    fn begin_machine_fault(&mut self, kind: FaultKind) {
        let until = |time: Ms| self.now + time;
        match kind {
            FaultKind::Machines(selector, fault) => {
                self.inject_into_selected_machines(&selector, fault);
            }
            FaultKind::SpotReclaim { notice } => self.reclaim_spot_machines(notice),
            FaultKind::MachineCrash => {
                if let Some(id) = self.random_machine() {
                    self.crash_machine(&id);
                }
            }
            FaultKind::MachineHang(time) => {
                let until = until(time);
                self.with_random_worker(|worker| worker.hung_until = until);
            }
            FaultKind::MachinePartition(time) => {
                let until = until(time);
                self.with_random_worker(|worker| worker.partitioned_until = until);
            }
            FaultKind::MachineInboundBlocked(time) => {
                let until = until(time);
                self.with_random_worker(|worker| worker.inbound_blocked_until = until);
            }
            FaultKind::MachineFailsTasks(time) => {
                let until = until(time);
                self.with_random_worker(|worker| worker.tasks_fail_until = until);
            }
            // The selector of a nested selection is resolved separately.
            FaultKind::At(_, kind) => self.inject(*kind),
            other => unreachable!("{other:?} is handled earlier in the chain"),
        }
    }

    fn crash_controllers(&mut self, first: usize, count: usize, restart_after: Ms) {
        let nodes = self.config.controllers;
        for index in (0..count).map(|offset| (first + offset) % nodes) {
            self.controllers[index].node = None;
            self.schedule(self.now + restart_after, Event::ControllerRestart(index));
        }
    }

    /// Stops a controller and schedules its restart as the old or the new release.
    fn restart_with_release(&mut self, index: usize, is_old: bool, restart_after: Ms) {
        self.controllers[index].node = None;
        self.controllers[index].is_old = is_old;
        self.schedule(self.now + restart_after, Event::ControllerRestart(index));
    }

    fn partition_links(
        &mut self,
        index: usize,
        machines: &MachineSelector,
        direction: LinkDirection,
        partition: Partition,
    ) {
        let now = self.now;
        let machines = self.select_machines(machines).into_iter().collect();
        let links = &mut self.controllers[index].faults.link_partitions;
        links.retain(|link| link.partition.is_active(now));
        links.push(LinkPartition {
            machines,
            direction,
            partition,
        });
    }

    /// Makes the announced limits of the store take effect, if the configuration has any.
    fn lower_limits(&mut self) {
        if let Some(next) = self.config.next_limits {
            let sizes = SizeLimits {
                value_bytes: next.value_kb * 1024,
                txn_ops: next.txn_ops,
            };
            self.store.set_limits(next.write_rps, sizes);
        }
    }

    fn random_machine(&mut self) -> Option<MachineId> {
        let ids: Vec<MachineId> = self.workers.by_id.keys().cloned().collect();
        (!ids.is_empty()).then(|| ids[self.rng.random_range(0..ids.len())].clone())
    }

    fn with_random_worker(&mut self, change: impl FnOnce(&mut crate::worker::Worker)) {
        let id = self.random_machine();
        if let Some(worker) = id.and_then(|id| self.workers.by_id.get_mut(&id)) {
            change(worker);
        }
    }

    fn reclaim_spot_machines(&mut self, notice: Ms) {
        let at = self.now + notice;
        let workers = self.workers.by_id.values_mut();
        let mut ids = Vec::new();
        for worker in workers.filter(|worker| worker.spot) {
            worker.reclaimed_at = (notice > 0).then_some(at);
            ids.push(worker.id.clone());
        }
        for id in ids {
            self.schedule(at, Event::SpotReclaim(id));
        }
    }

    pub(super) fn inject_into_selected_machines(
        &mut self,
        selector: &MachineSelector,
        fault: MachineFault,
    ) {
        let mut ids = self.select_machines(selector);
        if let MachineSelector::Random(count) = selector {
            while ids.len() > *count {
                let index = self.rng.random_range(0..ids.len());
                ids.swap_remove(index);
            }
        }
        for id in ids {
            self.inject_into_machine(&id, fault);
        }
    }

    fn inject_into_machine(&mut self, id: &MachineId, fault: MachineFault) {
        let now = self.now;
        let Some(worker) = self.workers.by_id.get_mut(id) else {
            return;
        };
        match fault {
            MachineFault::Crash => self.crash_machine(id),
            MachineFault::Hang(time) => worker.hung_until = now + time,
            MachineFault::Partition(time) => worker.partitioned_until = now + time,
            MachineFault::InboundLoss(time) => worker.inbound_lost_until = now + time,
            MachineFault::OutboundLoss(time) => worker.outbound_lost_until = now + time,
            MachineFault::SlowLink(time) => worker.slow_link_until = now + time,
            MachineFault::FailTasks(time) => worker.tasks_fail_until = now + time,
            MachineFault::EvictImages => worker.evict_images(now),
            MachineFault::StuckPrefetch(time) => worker.prefetch_stuck_until = now + time,
        }
    }

    /// Stops a machine and all its tasks for good, and ends its billing. The cloud lists it as
    /// failed.
    fn crash_machine(&mut self, id: &MachineId) {
        self.remove_worker(id);
        if let Some(instance) = self.cloud.machines.get_mut(id) {
            instance.failed = true;
        }
        self.cloud.end_billing(id, self.now);
    }
}
