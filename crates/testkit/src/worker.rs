//! A model of a worker agent: it holds a lease, sends heartbeats, executes commands and runs tasks
//! as the ground truth of their jobs determines.

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
use std::collections::{BTreeMap, BTreeSet};

/// Maximum delay of a heartbeat after a change of the tasks or images of a worker.
const CHANGE_HEARTBEAT_DELAY_MS: Ms = 500;
/// Maximum delay of a heartbeat after the exit of a task.
const EXIT_HEARTBEAT_DELAY_MS: Ms = 100;

/// The actual behavior of a job's tasks, which its specification may misstate.
#[derive(Clone, Debug)]
pub(crate) struct GroundTruth {
    pub(crate) spec: JobSpec,
    /// Actual run time of each task.
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

    /// Whether a gang that began to run at `began_at` has failed by `now` due to a defect.
    pub(crate) fn has_failed_by(&self, began_at: Ms, now: Ms) -> bool {
        matches!(self.defect, Some(JobDefect::FailsAfter(time)) if now >= began_at + time)
    }

    /// When a task that starts now ends by itself; `Ms::MAX`: never, or when its whole gang ends.
    /// Services end only if they have a defect. A task that completed in an earlier attempt ends
    /// at once.
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

/// The parts of the simulation that a worker uses.
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

/// The worker agent of a machine, with its active faults.
pub(crate) struct Worker {
    pub(crate) id: MachineId,
    address: String,
    pub(crate) machine_type: String,
    pub(crate) zone: String,
    pub(crate) spot: bool,
    capacity: Resources,
    fetch_gb_per_s: f64,
    /// Increases whenever the lease expires. Commands for earlier incarnations are refused.
    pub(crate) incarnation: u64,
    /// Sequence number of the last heartbeat.
    last_sequence: u64,
    /// Highest fencing token received. Commands with a lower token are refused.
    pub(crate) token: u64,
    pub(crate) tasks: BTreeMap<TaskAttempt, LocalTask>,
    /// Attempts that were on this worker and were forgotten.
    forgotten: BTreeSet<TaskAttempt>,
    /// Earliest time at which the stage of a task may end by itself.
    next_stage_end: Ms,
    /// Whether a task of a gang was ever started on this worker. It saves the search for gangs on
    /// most workers.
    pub(crate) has_gang_tasks: bool,
    images: Vec<String>,
    /// Whether heartbeats list the images and the worker accepts prefetch commands.
    announces_images: bool,
    /// Images that are being prefetched, with the time at which each is ready.
    prefetching: BTreeMap<String, Ms>,
    /// Prefetches do not complete before this time.
    pub(crate) prefetch_stuck_until: Ms,
    /// Index of the controller to which the worker sends heartbeats.
    pub(crate) controller: usize,
    pub(crate) next_heartbeat_at: Ms,
    pub(crate) pending_heartbeat: Option<PendingHeartbeat>,
    last_heartbeat_at: Option<Ms>,
    /// When a higher token last triggered an early heartbeat.
    last_token_heartbeat_at: Option<Ms>,
    pub(crate) lease_renewed_at: Ms,
    /// Tasks fail when their image is ready, before this time.
    pub(crate) tasks_fail_until: Ms,
    /// The worker does not run before this time.
    pub(crate) hung_until: Ms,
    /// Responses to the worker are lost and commands are held until this time.
    pub(crate) inbound_blocked_until: Ms,
    /// Responses and commands to the worker are lost until this time.
    pub(crate) inbound_lost_until: Ms,
    /// Heartbeats of the worker are lost until this time.
    pub(crate) outbound_lost_until: Ms,
    /// Messages from and to the worker are delayed until this time.
    pub(crate) slow_link_until: Ms,
    /// The machine is partitioned from all others until this time.
    pub(crate) partitioned_until: Ms,
    /// When the cloud reclaims the machine; none if no reclaim was announced.
    pub(crate) reclaimed_at: Option<Ms>,
}

impl Worker {
    /// The worker of a machine, given by id and address, that has just booted.
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
            forgotten: BTreeSet::new(),
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

    /// Describes the worker and its active faults, for the analysis of a run.
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

    /// Expires the lease, completes prefetches and advances tasks as of now.
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

    /// Responds to `POST /commands`: 409 if the token is lower than a known one or the incarnation
    /// differs. Commands that were delayed while the worker hung are refused if the lease expired
    /// meanwhile, as that begins a new incarnation.
    pub(crate) fn respond_to_commands(
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
