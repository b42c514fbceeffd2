//! Scheduling rounds of a shard.
//!
//! A round places pending tasks on usable machines. For tasks that fit on none, it frees
//! capacity by preemption and by reclaiming borrowed capacity, and then computes the
//! unmet demand, for which the leader provisions machines.
//!
//! A round works on snapshots of the machines, called hosts. The host at an index stands
//! for the usable machine at the same index.

mod pending_tasks;
mod quarantine;

pub(crate) use pending_tasks::{
    pending_tasks_of, type_numbers, PendingJobs, MACHINE_RECLAIM_DELAY_ROUNDS,
};

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

/// Converts the hourly price of a machine type to a price per second, the unit of a
/// host's price.
pub(crate) const SECONDS_PER_HOUR: f64 = 3600.0;

impl Shard {
    pub(crate) fn run_scheduling_round(&mut self, ctx: &mut Context, view: &ClusterView) {
        if ctx.now < self.next_round_at {
            return;
        }
        let _span = tracing::debug_span!("round").entered();
        self.last_round_at = ctx.now;
        self.next_round_at = ctx.now + crate::seconds_to_ms(ctx.config.operator.round_interval_s);
        let usable = self.usable_machines(ctx);
        let mut hosts: Vec<MachineSnapshot> = usable
            .iter()
            .map(|id| machine_snapshot(&self.machines[id]))
            .collect();
        self.reserve_pool_machines(ctx, &usable, &mut hosts);
        let mut pending = self.pending_jobs(ctx, &usable);
        let mut quotas = self.quotas.clone();
        let weights = ctx.config.operator.weights;
        let mut placements = run_round(&mut pending.tasks, &mut hosts, &mut quotas, &weights);
        self.record_cold_starts(ctx, &pending);
        placements.extend(self.place_on_pool_machines(ctx, &mut pending, &mut hosts, &mut quotas));
        self.record_machine_shortages(ctx.now, &pending);
        self.bind_placements(ctx.now, &placements, &pending.ids, &usable);
        self.skip_recently_failing_jobs(ctx, &mut pending);
        self.preempt(ctx, &pending, &usable, &quotas);
        self.reclaim_borrowed_capacity(ctx, &pending.tasks, &usable, &quotas);
        let remaining = RemainingCapacity { hosts, quotas };
        self.compute_unmet_demand(ctx, view, &usable, remaining, pending.tasks);
    }

    /// Machines on which tasks may be placed, in the order of the round's hosts.
    fn usable_machines(&self, ctx: &Context) -> Vec<MachineId> {
        let usable = self.machines.values().filter(|m| is_usable(m, ctx));
        usable.map(|m| m.id.clone()).collect()
    }

    /// Binds placed tasks to their machines. All tasks of a gang get the same attempt
    /// number.
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
            // A quarantined machine gets one task at a time, as a probe: it may be
            // faulty.
            if self.is_quarantined(machine) && !probed_hosts.insert(placement.machine) {
                continue;
            }
            let Some(job) = self.jobs.get_mut(id) else {
                continue;
            };
            let attempt = match job.is_gang() {
                true => *gang_attempts
                    .entry(placement.job)
                    .or_insert_with(|| job.allocate_gang_attempt()),
                false => job.allocate_attempt(placement.task),
            };
            let binding = new_binding(job, placement.task, attempt, machine, now);
            self.bind(id, placement.task, binding);
            self.unwritten_jobs.mark_due(id);
        }
    }

    /// Records, for jobs with a reservation, since when only a lack of machines has kept
    /// them pending.
    fn record_machine_shortages(&mut self, now: Ms, pending: &PendingJobs) {
        let lacking_machines = pending.iter().filter(|(_, tasks)| tasks.lacks_machines);
        for (id, _) in lacking_machines {
            if let Some(job) = self.jobs.get_mut(id) {
                job.lacking_machines_since.get_or_insert(now);
            }
        }
    }

    /// Zone of every machine of the shard, as a zone number.
    pub(crate) fn machine_zones(&self) -> BTreeMap<MachineId, u16> {
        let machines = self.machines.values();
        machines.map(|m| (m.id.clone(), m.zone)).collect()
    }
}

/// Creates a binding whose start command has not been sent yet, and marks the job's block
/// of the task as changed.
fn new_binding(job: &mut Job, task: u32, attempt: u64, machine: &MachineId, now: Ms) -> Binding {
    let block = job.block_of(task);
    let version = job.mark_block_changed(block);
    Binding {
        machine: machine.clone(),
        attempt,
        recorded_in_version: version,
        start: StartState::NotSent,
        stage: None,
        stop: None,
        bound_at: now,
        running_since: None,
    }
}

/// Whether tasks may be placed on a machine: its worker reports and has confirmed a fencing
/// token of this holder, no earlier call may still be executed late, and the machine is
/// not about to leave the shard.
pub(crate) fn is_usable(machine: &Machine, ctx: &Context) -> bool {
    machine.has_recent_heartbeat(ctx)
        && machine.decommission_reason.is_none()
        && !machine.is_draining
        && machine.transfer_version.is_none()
        && !machine.is_vacating
        && machine.spot_reclaim_at.is_none()
        && machine.has_acknowledged_holder()
        && !machine.has_unanswered_call
        && machine.link.can_start_tasks()
        && !machine.has_missed_heartbeats(ctx)
        && ctx.now >= machine.placement_blocked_until
}

/// A snapshot of a machine for a scheduling round, with its present free capacity.
pub(crate) fn machine_snapshot(machine: &Machine) -> MachineSnapshot {
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
        is_held_for_aged_job: false,
        startup_delay_s: 0.0,
        reserved_for: None,
    }
}
