//! Machines: they boot, report, run tasks and end.

use super::network::{Dest, Message, Origin};
use super::remote::MachineChange;
use super::World;
use crate::worker::{Around, Worker};
use crate::Ms;
use forkshift_wire::workers::{ExitCause, HeartbeatReply, Redirect, TaskStage};
use forkshift_wire::{JobId, MachineId, TaskRef};
use rand::Rng;
use std::collections::BTreeMap;

/// Least time between two reports of a worker.
const REPORT_GAP_MS: Ms = 500;

impl World {
    pub(super) fn end_worker(&mut self, id: &MachineId) {
        let Some(mut w) = self.workers.remove(id) else {
            return;
        };
        w.wipe(&mut self.check);
        if let Some(remote) = &mut self.remote {
            remote.machines.push(MachineChange::Gone(id.clone()));
        }
    }

    pub(super) fn boot(&mut self) {
        for id in std::mem::take(&mut self.cloud.ended) {
            self.end_worker(&id);
        }
        for id in self.cloud.take_up(self.now) {
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
            w.node = self.rng.random_range(0..self.size.nodes);
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
            let mut around = Around {
                now,
                truths: &self.truths,
                check: &mut self.check,
                lease_ms: self.size.lease_ms,
            };
            w.tick(&mut around);
            if is_remote {
                w.note_news(now, self.size.lease_ms, known);
            }
            if w.open.is_some_and(|(_, _, sent)| now >= sent + 4_000) {
                w.open = None;
                w.node = (w.node + 1) % self.size.nodes;
                w.next_report = now + 1_000;
            }
            let rests = is_remote && w.reported.is_some_and(|at| now < at + REPORT_GAP_MS);
            if w.open.is_none() && now >= w.next_report && !rests {
                let report = w.report(now);
                w.open = Some((report.sequence, report.incarnation, now));
                w.reported = Some(now);
                let period = self.size.report_ms;
                w.next_report = match is_remote {
                    true => now + self.rng.random_range(period * 3 / 4..=period * 5 / 4),
                    false => now + period,
                };
                let body = serde_json::to_vec(&report).unwrap_or_default();
                self.reports += 1;
                reports.push(Message {
                    origin: Origin::Worker {
                        id: w.id.clone(),
                        report: report.sequence,
                    },
                    dest: Dest::Node(w.node),
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
            w.give_up_waiting(self.now, &mut self.check, self.size.gang_wait_ms);
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
            let truth = &self.truths[&job];
            let whole = members.len() as u32 == truth.spec.tasks;
            let began = self.gangs.get(&(job.clone(), attempt)).copied();
            let done = (0..truth.spec.tasks).all(|index| {
                self.check.is_completed(&TaskRef {
                    job: job.clone(),
                    index,
                })
            });
            let waits = members
                .iter()
                .any(|(_, _, s)| *s == TaskStage::WaitingForGang);
            let cause = match began {
                None if whole && waits => {
                    self.gangs.insert((job.clone(), attempt), self.now);
                    for (m, task, _) in &members {
                        let w = self.workers.get_mut(m);
                        if let Some(t) = w.and_then(|w| w.tasks.get_mut(&(task.clone(), attempt))) {
                            t.stage = TaskStage::Running;
                        }
                    }
                    None
                }
                _ if done => Some(ExitCause::Done),
                Some(t) if whole && truth.fails_by(t, self.now) => Some(ExitCause::Error),
                Some(t) if whole && self.now >= t + truth.run_ms => Some(ExitCause::Done),
                Some(_) if !whole => Some(ExitCause::GangMemberLost),
                _ => None,
            };
            let Some(cause) = cause else { continue };
            for (m, task, _) in &members {
                let mut around = Around {
                    now: self.now,
                    truths: &self.truths,
                    check: &mut self.check,
                    lease_ms: self.size.lease_ms,
                };
                if cause == ExitCause::Done {
                    around.check.completed(around.now, task);
                }
                if cause == ExitCause::Error {
                    around.check.failed(self.now, task, m);
                }
                if let Some(w) = self.workers.get_mut(m).filter(|w| w.hung_until <= self.now) {
                    w.exit(&mut around, &(task.clone(), attempt), cause);
                }
            }
        }
    }

    pub(super) fn worker_answered(
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
        if w.open.is_none_or(|(seq, _, _)| seq != report) {
            return;
        }
        if status == 200 {
            if let Ok(reply) = serde_json::from_slice::<HeartbeatReply>(body) {
                let mut around = Around {
                    now,
                    truths: &self.truths,
                    check: &mut self.check,
                    lease_ms: self.size.lease_ms,
                };
                w.replied(&mut around, reply.token, &reply.commands);
                return;
            }
        }
        w.open = None;
        let redirect: Redirect = serde_json::from_slice(body).unwrap_or_default();
        let to = redirect
            .report_to
            .and_then(|n| n.strip_prefix("berth-").and_then(|n| n.parse().ok()));
        match to {
            Some(n) if status == 421 && n != w.node && n < self.size.nodes => {
                w.node = n;
                w.next_report = now + 100;
            }
            _ => {
                w.node = (w.node + 1) % self.size.nodes;
                w.next_report = now + 1_000;
            }
        }
    }
}
