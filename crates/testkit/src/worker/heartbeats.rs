//! Heartbeats of a worker, and the lease that the responses renew.

use super::{Worker, WorkerContext};
use crate::Ms;
use forkshift_wire::workers::{Command, HeldImages, TaskStatus, WorkerHeartbeat};

/// A heartbeat that awaits its response.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PendingHeartbeat {
    sequence: u64,
    incarnation: u64,
    sent_at: Ms,
}

impl Worker {
    /// Builds the next heartbeat, which reports the state of the worker and all its tasks.
    pub(crate) fn heartbeat(&mut self, now: Ms) -> WorkerHeartbeat {
        self.last_sequence += 1;
        let notice_ms = self.reclaimed_at.map(|at| at.saturating_sub(now));
        WorkerHeartbeat {
            machine: self.id.clone(),
            addr: self.address.clone(),
            machine_type: self.machine_type.clone(),
            zone: self.zone.clone(),
            spot: self.spot,
            incarnation: self.incarnation,
            sequence: self.last_sequence,
            token: self.token,
            reclaim_notice_s: notice_ms.map(|ms| ms as f64 / 1000.0),
            tasks: self.task_reports(),
            images: self.announces_images.then(|| HeldImages {
                held: self.images.clone(),
                fetching: self.prefetching.keys().cloned().collect(),
            }),
        }
    }

    fn task_reports(&self) -> Vec<TaskStatus> {
        let tasks = self.tasks.iter();
        tasks
            .map(|((task, attempt), local)| TaskStatus {
                task: task.clone(),
                attempt: *attempt,
                stage: local.stage,
                cause: local.cause,
                checkpoint_saved: local.is_checkpoint_saved,
            })
            .collect()
    }

    /// Builds the next heartbeat and records that it awaits a response.
    pub(crate) fn begin_heartbeat(&mut self, now: Ms) -> WorkerHeartbeat {
        let heartbeat = self.heartbeat(now);
        self.pending_heartbeat = Some(PendingHeartbeat {
            sequence: heartbeat.sequence,
            incarnation: heartbeat.incarnation,
            sent_at: now,
        });
        self.last_heartbeat_at = Some(now);
        heartbeat
    }

    /// Whether the next heartbeat is due. It is sent at least `min_gap` after the last one, and only
    /// if no response is awaited.
    pub(crate) fn is_heartbeat_due(&self, now: Ms, min_gap: Ms) -> bool {
        let last = self.last_heartbeat_at;
        let is_too_soon = last.is_some_and(|at| now < at + min_gap);
        self.pending_heartbeat.is_none() && now >= self.next_heartbeat_at && !is_too_soon
    }

    /// Whether the pending heartbeat has had no response within a timeout.
    pub(crate) fn is_heartbeat_overdue(&self, now: Ms, timeout: Ms) -> bool {
        let pending = self.pending_heartbeat;
        pending.is_some_and(|pending| now >= pending.sent_at + timeout)
    }

    /// Whether the heartbeat with a sequence number awaits its response.
    pub(crate) fn is_heartbeat_pending(&self, sequence: u64) -> bool {
        let pending = self.pending_heartbeat;
        pending.is_some_and(|pending| pending.sequence == sequence)
    }

    /// Processes a successful response to the pending heartbeat: renews the lease as of the time at
    /// which the heartbeat was sent, and executes the commands. Responses to an earlier incarnation
    /// and responses with a lower token are ignored.
    pub(crate) fn on_heartbeat_reply(
        &mut self,
        context: &mut WorkerContext,
        token: u64,
        commands: &[Command],
    ) {
        let Some(pending) = self.pending_heartbeat.take() else {
            return;
        };
        if pending.incarnation != self.incarnation || token < self.token {
            return;
        }
        self.token = token;
        self.lease_renewed_at = pending.sent_at;
        self.execute_commands(context, commands);
    }

    /// Makes a heartbeat due now if the incarnation or the token is higher than the given ones. A
    /// higher token does so at most once per half a lease, as the protocol requires.
    pub(crate) fn schedule_heartbeat_after_change(
        &mut self,
        now: Ms,
        lease_ms: Ms,
        (incarnation, token): (u64, u64),
    ) {
        let last = self.last_token_heartbeat_at;
        let is_token_due = last.is_none_or(|at| now >= at + lease_ms / 2);
        let has_new_token = self.token > token && is_token_due;
        if has_new_token {
            self.last_token_heartbeat_at = Some(now);
        }
        if has_new_token || self.incarnation > incarnation {
            self.next_heartbeat_at = self.next_heartbeat_at.min(now);
        }
    }

    fn has_lease(&self, now: Ms, lease_ms: Ms) -> bool {
        now <= self.lease_renewed_at + lease_ms
    }

    /// Whether the worker hangs and its lease has expired. It kills all tasks before it does anything
    /// else when it resumes.
    pub(crate) fn is_hung_without_lease(&self, now: Ms, lease_ms: Ms) -> bool {
        self.hung_until > now && !self.has_lease(now, lease_ms)
    }

    /// Kills all tasks and begins a new incarnation if the lease has expired.
    pub(super) fn expire_lease(&mut self, context: &mut WorkerContext) {
        if !self.has_lease(context.now, context.lease_ms) {
            self.kill_all_tasks(context.checker);
            self.incarnation += 1;
            self.lease_renewed_at = context.now;
            self.pending_heartbeat = None;
        }
    }

    /// Makes the next heartbeat due after `delay` at the latest.
    pub(super) fn schedule_heartbeat_within(&mut self, now: Ms, delay: Ms) {
        self.next_heartbeat_at = self.next_heartbeat_at.min(now + delay);
    }
}
