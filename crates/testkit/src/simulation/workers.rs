//! The workers of all machines that are up: their start, heartbeats and removal.

use super::config::controller_index;
use super::network::{Destination, Message, Origin};
use super::remote::MachineChange;
use super::Simulation;
use crate::worker::{Worker, WorkerContext};
use crate::Ms;
use forkshift_wire::workers::{HeartbeatReply, Redirect};
use forkshift_wire::{JobId, MachineId};
use rand::Rng;
use std::collections::BTreeMap;

/// Minimum time between two heartbeats of a worker if controllers run as separate processes.
const MIN_HEARTBEAT_GAP_MS: Ms = 500;
/// Timeout of a heartbeat, after which the worker turns to the next controller.
const HEARTBEAT_TIMEOUT_MS: Ms = 4_000;
/// Time until the next heartbeat after a failed or timed-out one.
const HEARTBEAT_RETRY_MS: Ms = 1_000;
/// Time until the next heartbeat after a redirect to another controller.
const REDIRECT_DELAY_MS: Ms = 100;

/// The workers of the machines that are up.
#[derive(Default)]
pub(super) struct WorkerFleet {
    pub(super) by_id: BTreeMap<MachineId, Worker>,
    /// When each attempt of a gang started to run.
    pub(super) gang_starts: BTreeMap<(JobId, u64), Ms>,
    /// Maximum number of machines that were up at the same time.
    pub(super) max_count: usize,
    pub(super) heartbeats_sent: u64,
}

impl WorkerFleet {
    pub(super) fn record_count(&mut self) {
        self.max_count = self.max_count.max(self.by_id.len());
    }
}

impl Simulation {
    /// Removes a worker and ends all its tasks.
    pub(super) fn remove_worker(&mut self, id: &MachineId) {
        let Some(mut worker) = self.workers.by_id.remove(id) else {
            return;
        };
        worker.kill_all_tasks(&mut self.checker);
        if let Some(remote) = &mut self.remote {
            remote.machines.push(MachineChange::Removed(id.clone()));
        }
    }

    /// Removes the workers of terminated machines and adds workers for booted machines.
    pub(super) fn sync_workers_with_cloud(&mut self) {
        for id in std::mem::take(&mut self.cloud.newly_terminated) {
            self.remove_worker(&id);
        }
        for id in self.cloud.take_booted(self.now) {
            self.add_worker(id);
        }
    }

    fn add_worker(&mut self, id: MachineId) {
        let instance = self.cloud.machines.get(&id);
        let Some(instance) = instance.filter(|instance| !instance.failed) else {
            return;
        };
        let fleet = &self.cloud.fleet;
        let Some(machine_type) = fleet.machine_type(&instance.machine_type) else {
            return;
        };
        let mut worker = Worker::new(
            (id.clone(), (fleet.address)(&id)),
            machine_type,
            &instance.zone,
            instance.spot,
            self.now,
            self.config.announces_images,
        );
        worker.controller = self.rng.random_range(0..self.config.controllers);
        self.workers.by_id.insert(id.clone(), worker);
        if let Some(remote) = &mut self.remote {
            remote.machines.push(MachineChange::Up(id));
        }
    }

    /// Advances all workers that do not hang, then sends the heartbeats that are due.
    pub(super) fn tick_workers(&mut self) {
        let now = self.now;
        let is_remote = self.remote.is_some();
        let mut heartbeats = Vec::new();
        for worker in self.workers.by_id.values_mut() {
            if worker.hung_until > now {
                continue;
            }
            let reported = (worker.incarnation, worker.token);
            worker.tick(&mut WorkerContext::new(
                self.now,
                &self.ground_truths,
                &mut self.checker,
                self.config.lease_ms,
            ));
            if is_remote {
                worker.schedule_heartbeat_after_change(now, self.config.lease_ms, reported);
            }
            if worker.is_heartbeat_overdue(now, HEARTBEAT_TIMEOUT_MS) {
                worker.pending_heartbeat = None;
                worker.controller = (worker.controller + 1) % self.config.controllers;
                worker.next_heartbeat_at = now + HEARTBEAT_RETRY_MS;
            }
            let min_gap = if is_remote { MIN_HEARTBEAT_GAP_MS } else { 0 };
            if !worker.is_heartbeat_due(now, min_gap) {
                continue;
            }
            let period = self.config.heartbeat_ms;
            // Jitter of a quarter of the period spreads the heartbeats that the emulator sends from
            // one computer.
            let next_in = match is_remote {
                true => self.rng.random_range(period * 3 / 4..=period * 5 / 4),
                false => period,
            };
            heartbeats.push(heartbeat_message(worker, now, next_in));
        }
        for heartbeat in heartbeats {
            self.workers.heartbeats_sent += 1;
            self.send(heartbeat);
        }
    }

    pub(super) fn on_heartbeat_response(
        &mut self,
        id: &MachineId,
        sequence: u64,
        status: u16,
        body: &[u8],
    ) {
        let now = self.now;
        let worker = self.workers.by_id.get_mut(id);
        let Some(worker) = worker.filter(|worker| worker.hung_until <= now) else {
            return;
        };
        if !worker.is_heartbeat_pending(sequence) {
            return;
        }
        if status == 200 {
            if let Ok(reply) = serde_json::from_slice::<HeartbeatReply>(body) {
                let mut context = WorkerContext::new(
                    self.now,
                    &self.ground_truths,
                    &mut self.checker,
                    self.config.lease_ms,
                );
                worker.on_heartbeat_reply(&mut context, reply.token, &reply.commands);
                return;
            }
        }
        worker.pending_heartbeat = None;
        let redirect: Redirect = serde_json::from_slice(body).unwrap_or_default();
        let target = redirect.holder_addr.as_deref().and_then(controller_index);
        match target {
            Some(index)
                if status == 421
                    && index != worker.controller
                    && index < self.config.controllers =>
            {
                worker.controller = index;
                worker.next_heartbeat_at = now + REDIRECT_DELAY_MS;
            }
            _ => {
                worker.controller = (worker.controller + 1) % self.config.controllers;
                worker.next_heartbeat_at = now + HEARTBEAT_RETRY_MS;
            }
        }
    }
}

/// Builds a worker's heartbeat and schedules the next one after `next_in`.
fn heartbeat_message(worker: &mut Worker, now: Ms, next_in: Ms) -> Message {
    let heartbeat = worker.begin_heartbeat(now);
    worker.next_heartbeat_at = now + next_in;
    Message {
        origin: Origin::Worker {
            id: worker.id.clone(),
            sequence: heartbeat.sequence,
        },
        destination: Destination::Controller(worker.controller),
        method: "POST".to_owned(),
        path: "/v1/report".to_owned(),
        body: serde_json::to_vec(&heartbeat).unwrap_or_default(),
    }
}
