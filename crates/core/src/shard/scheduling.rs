//! Scheduling rounds of a shard.
//!
//! A round places waiting tasks on usable machines, then makes room for those that
//! found none by preemption and reclaiming, and computes the unmet demand.

mod pending_tasks;
mod quarantine;

pub(crate) use pending_tasks::{pending_tasks_of, type_numbers, PendingJobs, RECLAIM_ROUNDS};

use crate::context::Context;
use crate::shard::demand::RemainingCapacity;
use crate::shard::job::{Binding, Job, StartState};
use crate::shard::machine::Machine;
use crate::shard::Shard;
use crate::store::view::ClusterView;
use crate::Ms;
use forkshift_sched::{run_round, MachineSnapshot, Placement};
use forkshift_wire::{JobId, MachineId};
use std::collections::{BTreeMap, BTreeSet};

/// Prices of machine types are those of an hour, prices of hosts those of a second.
pub(crate) const SECONDS_PER_HOUR: f64 = 3600.0;

impl Shard {
    /// Runs a scheduling round if one is due.
    pub(crate) fn run_scheduling_round(&mut self, ctx: &mut Context, view: &ClusterView) {
        if ctx.now < self.next_round_at {
            return;
        }
        let _span = tracing::debug_span!("round").entered();
        self.last_round_at = ctx.now;
        self.next_round_at = ctx.now + crate::ms(ctx.config.operator.round_interval_s);
        let usable = self.usable_machines(ctx);
        let mut hosts: Vec<MachineSnapshot> = usable
            .iter()
            .map(|id| host_of(&self.machines[id]))
            .collect();
        self.reserve_members(ctx, &usable, &mut hosts);
        let mut pending = self.pending_jobs(ctx, &usable);
        let mut quotas = self.quotas.clone();
        let weights = ctx.config.operator.weights;
        let mut placements = run_round(&mut pending.tasks, &mut hosts, &mut quotas, &weights);
        self.note_pool_misses(ctx, &pending);
        placements.extend(self.reclaim_members(ctx, &mut pending, &mut hosts, &mut quotas));
        self.note_lacking_room(ctx.now, &pending);
        self.bind_placements(ctx.now, &placements, &pending.ids, &usable);
        self.skip_recently_failing_jobs(ctx, &mut pending);
        self.preempt(ctx, &pending, &usable, &quotas);
        self.reclaim(ctx, &pending.tasks, &usable, &quotas);
        let remaining = RemainingCapacity { hosts, quotas };
        self.compute_unmet_demand(ctx, view, &usable, remaining, pending.tasks);
    }

    /// Machines on which tasks may be placed. Hosts of a round have their indices.
    fn usable_machines(&self, ctx: &Context) -> Vec<MachineId> {
        let usable = self.machines.values().filter(|m| is_usable(m, ctx));
        usable.map(|m| m.id.clone()).collect()
    }

    /// Binds placed tasks to their machines. The tasks of a gang share one attempt.
    fn bind_placements(
        &mut self,
        now: Ms,
        placements: &[Placement],
        job_ids: &[JobId],
        usable: &[MachineId],
    ) {
        let mut gang_attempts: BTreeMap<usize, u64> = BTreeMap::new();
        let mut probed_hosts = BTreeSet::new();
        for placement in placements {
            let id = &job_ids[placement.job];
            let machine = &usable[placement.machine];
            // A quarantined machine is probed with one task at a time.
            if self.is_quarantined(machine) && !probed_hosts.insert(placement.machine) {
                continue;
            }
            let Some(job) = self.jobs.get_mut(id) else {
                continue;
            };
            let attempt = match job.is_gang() {
                true => *gang_attempts
                    .entry(placement.job)
                    .or_insert_with(|| job.next_gang_attempt()),
                false => job.next_attempt(placement.task),
            };
            let binding = new_binding(job, placement.task, attempt, machine, now);
            self.bind(id, placement.task, binding);
            self.unwritten_jobs.mark_due(id);
        }
    }

    /// Records since when jobs that waited long have lacked nothing but machines.
    fn note_lacking_room(&mut self, now: Ms, pending: &PendingJobs) {
        let lacking = pending.iter().filter(|(_, tasks)| tasks.lacks_machines);
        for (id, _) in lacking {
            if let Some(job) = self.jobs.get_mut(id) {
                job.lacking_machines_since.get_or_insert(now);
            }
        }
    }

    /// The zone of every machine.
    pub(crate) fn zones(&self) -> BTreeMap<MachineId, u16> {
        let machines = self.machines.values();
        machines.map(|m| (m.id.clone(), m.zone)).collect()
    }
}

/// A binding whose start was not sent yet; the job's block is marked as changed.
fn new_binding(job: &mut Job, task: u32, attempt: u64, machine: &MachineId, now: Ms) -> Binding {
    let block = job.block_of(task);
    let version = job.mark_block_changed(block);
    Binding {
        machine: machine.clone(),
        attempt,
        version,
        start: StartState::NotSent,
        stage: None,
        stop: None,
        bound_at: now,
        running_since: None,
    }
}

/// Whether tasks may be placed on a machine.
pub(crate) fn is_usable(machine: &Machine, ctx: &Context) -> bool {
    machine.has_recent_heartbeat(ctx)
        && machine.decommission_reason.is_none()
        && !machine.is_draining
        && machine.transfer_version.is_none()
        && !machine.is_vacating
        && machine.spot_reclaim_at.is_none()
        && machine.has_acknowledged_token()
        && !machine.has_unanswered_call
        && machine.link.can_start_tasks()
        && !machine.has_missed_heartbeats(ctx)
        && ctx.now >= machine.placement_blocked_until
}

/// A machine as a round sees it, with what is free now.
pub(crate) fn host_of(machine: &Machine) -> MachineSnapshot {
    MachineSnapshot {
        free: machine.free_capacity(),
        total: machine.capacity,
        machine_type: machine.machine_type,
        zone: machine.zone,
        is_spot: machine.is_spot,
        price_per_s: machine.price_per_second,
        fetch_gb_per_s: machine.image_fetch_gb_per_s,
        images: machine
            .cached_images
            .iter()
            .map(|(image, _)| *image)
            .collect(),
        is_held: false,
        startup_delay_s: 0.0,
        reserved_for: None,
    }
}
