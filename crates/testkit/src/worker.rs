//! A model of a worker: it holds a lease, sends heartbeats and runs tasks by its job's
//! ground truth.

mod heartbeats;
mod images;
mod resources;
mod tasks;

pub(crate) use heartbeats::PendingHeartbeat;
pub(crate) use resources::Resources;
pub(crate) use tasks::{LocalTask, TaskAttempt};

use crate::checker::Checker;
use crate::simulation::{JobDefect, JobPlan};
use crate::Ms;
use forkshift_wire::cloud::MachineType;
use forkshift_wire::users::{JobKind, JobSpec};
use forkshift_wire::workers::CommandRequest;
use forkshift_wire::{JobId, MachineId};
use std::collections::BTreeMap;

/// A heartbeat follows within this after a change of tasks or images.
const CHANGE_HEARTBEAT_DELAY_MS: Ms = 500;
/// A heartbeat follows within this after the exit of a task.
const EXIT_HEARTBEAT_DELAY_MS: Ms = 100;

/// What a job really does, whatever its specification says.
#[derive(Clone, Debug)]
pub(crate) struct GroundTruth {
    pub(crate) spec: JobSpec,
    pub(crate) run_ms: Ms,
    pub(crate) defect: Option<JobDefect>,
}

impl GroundTruth {
    pub(crate) fn from_plan(plan: &JobPlan) -> Self {
        Self {
            spec: plan.spec.clone(),
            run_ms: plan.run_ms,
            defect: plan.defect,
        }
    }

    /// Whether a gang that began to run at a time has failed by now.
    pub(crate) fn has_failed_by(&self, began_at: Ms, now: Ms) -> bool {
        matches!(self.defect, Some(JobDefect::FailsAfter(time)) if now >= began_at + time)
    }

    /// When a task that starts now ends by itself. Gangs end together and services not at
    /// all, unless they fail; a task that has completed before ends at once.
    fn run_ends_at(&self, now: Ms, is_completed: bool) -> Ms {
        match (self.spec.kind, self.defect) {
            (JobKind::Gang, _) => Ms::MAX,
            (_, Some(JobDefect::FailsAfter(time))) => now + time,
            (JobKind::Service, _) => Ms::MAX,
            (JobKind::Array, _) if is_completed => now,
            (JobKind::Array, _) => now + self.run_ms,
        }
    }
}

/// What a worker needs of the simulation around it.
pub(crate) struct WorkerContext<'a> {
    pub(crate) now: Ms,
    pub(crate) ground_truths: &'a BTreeMap<JobId, GroundTruth>,
    pub(crate) checker: &'a mut Checker,
    pub(crate) lease_ms: Ms,
}

impl<'a> WorkerContext<'a> {
    pub(crate) fn new(
        now: Ms,
        ground_truths: &'a BTreeMap<JobId, GroundTruth>,
        checker: &'a mut Checker,
        lease_ms: Ms,
    ) -> Self {
        Self {
            now,
            ground_truths,
            checker,
            lease_ms,
        }
    }
}

/// The worker of a machine.
pub(crate) struct Worker {
    pub(crate) id: MachineId,
    address: String,
    pub(crate) machine_type: String,
    pub(crate) zone: String,
    pub(crate) spot: bool,
    capacity: Resources,
    fetch_gb_per_s: f64,
    pub(crate) incarnation: u64,
    /// Sequence number of the last heartbeat.
    last_sequence: u64,
    /// Highest fencing token seen.
    pub(crate) token: u64,
    pub(crate) tasks: BTreeMap<TaskAttempt, LocalTask>,
    /// No task's stage ends by itself before this.
    next_stage_end: Ms,
    /// Whether a task of a gang has ever been started here.
    pub(crate) has_gang_tasks: bool,
    images: Vec<String>,
    /// Whether it announces its images and prefetches.
    announces_images: bool,
    /// Images that it prefetches, and when each is ready.
    prefetching: BTreeMap<String, Ms>,
    /// No prefetch completes before this.
    pub(crate) prefetch_stuck_until: Ms,
    /// The controller that it sends heartbeats to.
    pub(crate) controller: usize,
    pub(crate) next_heartbeat_at: Ms,
    pub(crate) pending_heartbeat: Option<PendingHeartbeat>,
    last_heartbeat_at: Option<Ms>,
    /// When a higher token last made a heartbeat due.
    last_token_heartbeat_at: Option<Ms>,
    pub(crate) lease_renewed_at: Ms,
    /// Until then, tasks fail once they have their image.
    pub(crate) tasks_fail_until: Ms,
    pub(crate) hung_until: Ms,
    /// Until then, responses to it are lost and commands to it are held back.
    pub(crate) inbound_blocked_until: Ms,
    /// Until then, responses and commands to it are lost.
    pub(crate) inbound_lost_until: Ms,
    /// Until then, its heartbeats are lost.
    pub(crate) outbound_lost_until: Ms,
    /// Until then, messages from and to it are slow.
    pub(crate) slow_link_until: Ms,
    /// Until then, nothing reaches it or leaves it.
    pub(crate) partitioned_until: Ms,
    /// When the cloud reclaims the machine, if that is announced.
    pub(crate) reclaimed_at: Option<Ms>,
}

impl Worker {
    /// The worker of a machine that has just booted, with its name and address.
    pub(crate) fn new(
        (id, address): (MachineId, String),
        machine_type: &MachineType,
        zone: &str,
        spot: bool,
        now: Ms,
        announces_images: bool,
    ) -> Self {
        Self {
            id,
            address,
            machine_type: machine_type.name.clone(),
            zone: zone.to_owned(),
            spot,
            capacity: Resources::of_machine(machine_type),
            fetch_gb_per_s: machine_type.fetch_gb_per_s,
            incarnation: 1,
            last_sequence: 0,
            token: 0,
            tasks: BTreeMap::new(),
            next_stage_end: 0,
            has_gang_tasks: false,
            images: Vec::new(),
            announces_images,
            prefetching: BTreeMap::new(),
            prefetch_stuck_until: 0,
            controller: 0,
            next_heartbeat_at: now,
            pending_heartbeat: None,
            last_heartbeat_at: None,
            last_token_heartbeat_at: None,
            lease_renewed_at: now,
            tasks_fail_until: 0,
            hung_until: 0,
            inbound_blocked_until: 0,
            inbound_lost_until: 0,
            outbound_lost_until: 0,
            slow_link_until: 0,
            partitioned_until: 0,
            reclaimed_at: None,
        }
    }

    /// The worker and its active faults, for the analysis of a day.
    pub(crate) fn describe(&self, now: Ms) -> String {
        let inbound_until = self.inbound_blocked_until.max(self.inbound_lost_until);
        let faults = [
            ("hung", self.hung_until),
            ("partitioned", self.partitioned_until),
            ("without inbound link", inbound_until),
            ("without outbound link", self.outbound_lost_until),
            ("slow", self.slow_link_until),
        ];
        let active = faults.iter().filter(|(_, until)| *until > now);
        let active: Vec<String> = active
            .map(|(fault, until)| format!("{fault} until {until}"))
            .collect();
        format!(
            "{} of zone {} ({active:?}, lease renewed at {}, token {}, heartbeats to {})",
            self.id, self.zone, self.lease_renewed_at, self.token, self.controller
        )
    }

    /// Lets time pass.
    pub(crate) fn tick(&mut self, context: &mut WorkerContext) {
        self.expire_lease(context);
        self.complete_prefetches(context.now);
        self.advance_due_stages(context);
    }

    /// Responds to `GET /status`.
    pub(crate) fn status(&mut self, context: &mut WorkerContext) -> Vec<u8> {
        self.expire_lease(context);
        serde_json::to_vec(&self.heartbeat(context.now)).unwrap_or_default()
    }

    /// Responds to `POST /commands`. Commands that were held up while the worker hung find
    /// the next incarnation if the lease has expired meanwhile.
    pub(crate) fn handle_commands(
        &mut self,
        context: &mut WorkerContext,
        body: &[u8],
    ) -> (u16, Vec<u8>) {
        self.expire_lease(context);
        let Ok(request) = serde_json::from_slice::<CommandRequest>(body) else {
            return (400, Vec::new());
        };
        let is_valid = request.token >= self.token && request.incarnation == self.incarnation;
        if is_valid {
            self.token = request.token;
            self.execute_commands(context, &request.commands);
            self.prefetch(context.now, &request.prefetch);
        }
        let heartbeat = serde_json::to_vec(&self.heartbeat(context.now)).unwrap_or_default();
        (if is_valid { 200 } else { 409 }, heartbeat)
    }
}

#[cfg(test)]
mod tests;
