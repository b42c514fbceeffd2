//! Machines: they boot, report, run tasks and end.

use super::network::{Destination, Message, Origin};
use super::remote::MachineChange;
use super::World;
use crate::worker::{Worker, WorkerContext};
use crate::Ms;
use forkshift_wire::workers::{ExitCause, HeartbeatReply, Redirect, TaskStage};
use forkshift_wire::{JobId, MachineId, TaskRef};
use rand::Rng;
use std::collections::BTreeMap;

/// Least time between two reports of a worker.
const MIN_HEARTBEAT_GAP_MS: Ms = 500;

impl World {
    pub(super) fn remove_worker(&mut self, id: &MachineId) {
        let Some(mut w) = self.workers.remove(id) else {
            return;
        };
        w.kill_all_tasks(&mut self.check);
        if let Some(remote) = &mut self.remote {
            remote.machines.push(MachineChange::Gone(id.clone()));
        }
    }

    pub(super) fn sync_workers_with_cloud(&mut self) {
        for id in std::mem::take(&mut self.cloud.newly_terminated) {
            self.remove_worker(&id);
        }
        for id in self.cloud.take_booted(self.now) {
            let Some(m) = self.cloud.machines.get(&id).filter(|m| !m.failed) else {
                continue;
            };
            let Some(machine_type) = self.cloud.fleet.machine_type(&m.machine_type) else {
                continue;
            };
            let named = (id.clone(), (self.cloud.fleet.address)(&id));
            let mut w = Worker::new(
                named,
                machine_type,
                &m.zone,
                m.spot,
                self.now,
                self.size.tells_images,
            );
            w.controller = self.rng.random_range(0..self.size.nodes);
            self.workers.insert(id.clone(), w);
            if let Some(remote) = &mut self.remote {
                remote.machines.push(MachineChange::Up(id.clone()));
            }
        }
    }

    pub(super) fn tick_workers(&mut self) {
        let now = self.now;
        let mut reports = Vec::new();
        let is_remote = self.remote.is_some();
        for w in self.workers.values_mut() {
            if w.hung_until > now {
                continue;
            }
            let known = (w.incarnation, w.token);
            let mut around = WorkerContext {
                now,
                ground_truths: &self.ground_truths,
                checker: &mut self.check,
                lease_ms: self.size.lease_ms,
            };
            w.tick(&mut around);
            if is_remote {
                w.schedule_changed_heartbeat(now, self.size.lease_ms, known);
            }
            if w.pending_heartbeat
                .is_some_and(|(_, _, sent)| now >= sent + 4_000)
            {
                w.pending_heartbeat = None;
                w.controller = (w.controller + 1) % self.size.nodes;
                w.next_heartbeat_at = now + 1_000;
            }
            let rests = is_remote
                && w.last_heartbeat_at
                    .is_some_and(|at| now < at + MIN_HEARTBEAT_GAP_MS);
            if w.pending_heartbeat.is_none() && now >= w.next_heartbeat_at && !rests {
                let report = w.heartbeat(now);
                w.pending_heartbeat = Some((report.sequence, report.incarnation, now));
                w.last_heartbeat_at = Some(now);
                let period = self.size.report_ms;
                w.next_heartbeat_at = match is_remote {
                    true => now + self.rng.random_range(period * 3 / 4..=period * 5 / 4),
                    false => now + period,
                };
                let body = serde_json::to_vec(&report).unwrap_or_default();
                self.heartbeats_sent += 1;
                reports.push(Message {
                    origin: Origin::Worker {
                        id: w.id.clone(),
                        sequence: report.sequence,
                    },
                    destination: Destination::Node(w.controller),
                    method: "POST".to_owned(),
                    path: "/v1/report".to_owned(),
                    body,
                });
            }
        }
        for report in reports {
            self.send(report);
        }
    }

    /// Gangs start together, end together, and notice that one is gone.
    pub(super) fn tick_gangs(&mut self) {
        type Member = (MachineId, TaskRef, TaskStage);
        let mut attempts: BTreeMap<(JobId, u64), Vec<Member>> = BTreeMap::new();
        for w in self.workers.values_mut() {
            w.time_out_gangs(self.now, &mut self.check, self.size.gang_wait_ms);
        }
        for w in self.workers.values().filter(|w| w.has_gang_tasks) {
            for ((task, attempt), t) in &w.tasks {
                if t.is_gang && matches!(t.stage, TaskStage::WaitingForGang | TaskStage::Running) {
                    let key = (task.job.clone(), *attempt);
                    attempts
                        .entry(key)
                        .or_default()
                        .push((w.id.clone(), task.clone(), t.stage));
                }
            }
        }
        for ((job, attempt), members) in attempts {
            let truth = &self.ground_truths[&job];
            let whole = members.len() as u32 == truth.spec.tasks;
            let began = self.gang_starts.get(&(job.clone(), attempt)).copied();
            let done = (0..truth.spec.tasks).all(|index| {
                self.check.is_task_completed(&TaskRef {
                    job: job.clone(),
                    index,
                })
            });
            let waits = members
                .iter()
                .any(|(_, _, s)| *s == TaskStage::WaitingForGang);
            let cause = match began {
                None if whole && waits => {
                    self.gang_starts.insert((job.clone(), attempt), self.now);
                    for (m, task, _) in &members {
                        let w = self.workers.get_mut(m);
                        if let Some(t) = w.and_then(|w| w.tasks.get_mut(&(task.clone(), attempt))) {
                            t.stage = TaskStage::Running;
                        }
                    }
                    None
                }
                _ if done => Some(ExitCause::Done),
                Some(t) if whole && truth.has_failed_by(t, self.now) => Some(ExitCause::Error),
                Some(t) if whole && self.now >= t + truth.run_ms => Some(ExitCause::Done),
                Some(_) if !whole => Some(ExitCause::GangMemberLost),
                _ => None,
            };
            let Some(cause) = cause else { continue };
            for (m, task, _) in &members {
                let mut around = WorkerContext {
                    now: self.now,
                    ground_truths: &self.ground_truths,
                    checker: &mut self.check,
                    lease_ms: self.size.lease_ms,
                };
                if cause == ExitCause::Done {
                    around.checker.on_task_completed(around.now, task);
                }
                if cause == ExitCause::Error {
                    around.checker.on_task_failed(self.now, task, m);
                }
                if let Some(w) = self.workers.get_mut(m).filter(|w| w.hung_until <= self.now) {
                    w.exit_task(&mut around, &(task.clone(), attempt), cause);
                }
            }
        }
    }

    pub(super) fn on_heartbeat_response(
        &mut self,
        id: &MachineId,
        report: u64,
        status: u16,
        body: &[u8],
    ) {
        let now = self.now;
        let Some(w) = self.workers.get_mut(id).filter(|w| w.hung_until <= now) else {
            return;
        };
        if w.pending_heartbeat.is_none_or(|(seq, _, _)| seq != report) {
            return;
        }
        if status == 200 {
            if let Ok(reply) = serde_json::from_slice::<HeartbeatReply>(body) {
                let mut around = WorkerContext {
                    now,
                    ground_truths: &self.ground_truths,
                    checker: &mut self.check,
                    lease_ms: self.size.lease_ms,
                };
                w.on_heartbeat_reply(&mut around, reply.token, &reply.commands);
                return;
            }
        }
        w.pending_heartbeat = None;
        let redirect: Redirect = serde_json::from_slice(body).unwrap_or_default();
        let to = redirect
            .report_to
            .and_then(|n| n.strip_prefix("berth-").and_then(|n| n.parse().ok()));
        match to {
            Some(n) if status == 421 && n != w.controller && n < self.size.nodes => {
                w.controller = n;
                w.next_heartbeat_at = now + 100;
            }
            _ => {
                w.controller = (w.controller + 1) % self.size.nodes;
                w.next_heartbeat_at = now + 1_000;
            }
        }
    }
}
