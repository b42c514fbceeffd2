//! Drains underused machines, so that they can be released.
//!
//! Replicas run until their users cancel them, so a machine with a few replicas never
//! becomes idle by itself. A replica is moved when another machine has capacity for it
//! now and has its image, or fetches it within a heartbeat interval. Tasks that complete
//! by themselves are left to run to their end.

mod moves;

use crate::bounds::fraction_of_machines;
use crate::context::Context;
use crate::records::capacity_of;
use crate::shard::job::Job;
use crate::shard::scheduling::SECONDS_PER_HOUR;
use crate::shard::Shard;
use crate::store::view::ClusterView;
use crate::Ms;
use forkshift_sched::MachineSnapshot;
use forkshift_wire::cloud::MachineType;
use forkshift_wire::users::JobSpec;
use forkshift_wire::{JobId, MachineId};
use std::collections::BTreeMap;

/// A machine is drained only if its value ratio is at most this: its tasks would then
/// cost at least a quarter less on the cheapest machines that fit them.
const MAX_DRAINED_VALUE_RATIO: f64 = 0.75;
/// One in this many machines of a shard is draining at a time.
const DRAINING_MACHINES_DIVISOR: usize = 64;
/// Lower bound on the number of machines that may be draining at a time, and on the
/// number of candidates that are checked in a round.
const MIN_DRAINING_MACHINES: usize = 3;
/// One in this many machines is checked as a candidate in a round. The number is bounded
/// because each check considers all hosts.
const DRAIN_CANDIDATES_DIVISOR: usize = 16;
/// One in this many machines, and at least one, starts to drain at a time. The same bound
/// applies to the draining machines that have a replica moved at a time.
const DRAIN_STEP_DIVISOR: usize = 256;
/// Minimum interval between two moves of replicas, in scheduling intervals. A move takes
/// the replica down for about a second.
const MIN_MOVE_INTERVAL_ROUNDS: f64 = 2.0;
/// Minimum interval between two starts of draining, in boot times. A machine whose tasks
/// don't fit elsewhere is checked again after the same time.
const MIN_DRAIN_INTERVAL_BOOTS: f64 = 0.1;
/// Machines that have been known for less than this many boot times are not drained.
const MIN_DRAINED_AGE_BOOTS: Ms = 2;
/// Lower bound on the price per second by which a value is divided, so that a free
/// machine causes no division by zero.
const MIN_PRICE_PER_S: f64 = 1e-12;
/// Price per hour of a task that fits on no machine type: so high that its machine is
/// never drained.
const MAX_PRICE_PER_HOUR: f64 = 1e9;

/// Values that are computed once a round and used for all moves.
struct MoveContext {
    /// Value ratio of each usable machine; see [`Shard::value_ratios`].
    value_ratios: Vec<f64>,
    /// Zone of every machine of the shard.
    zones: BTreeMap<MachineId, u16>,
}

impl Shard {
    /// Starts to drain the machines with the highest unused price whose tasks fit
    /// elsewhere, and moves replicas off machines that are draining. `hosts` shows the
    /// free capacity of the usable machines once all pending tasks and the headroom are
    /// placed.
    pub(crate) fn drain_underused_machines(
        &mut self,
        ctx: &mut Context,
        view: &ClusterView,
        usable: &[MachineId],
        hosts: &mut [MachineSnapshot],
    ) {
        let context = MoveContext {
            value_ratios: self.value_ratios(view, usable),
            zones: self.machine_zones(),
        };
        let draining = self.draining_machines();
        let max_draining = self.machine_limit(DRAINING_MACHINES_DIVISOR, MIN_DRAINING_MACHINES);
        let max_started = max_draining.saturating_sub(draining.len());
        self.start_draining(ctx, usable, hosts, &context, max_started);
        self.move_replicas(ctx, &draining, hosts, &context);
    }

    fn draining_machines(&self) -> Vec<MachineId> {
        let machines = self.machines.values();
        let draining = machines.filter(|m| m.is_draining && m.decommission_reason.is_none());
        draining.map(|m| m.id.clone()).collect()
    }

    /// One in `divisor` of the shard's machines, at least `min`.
    fn machine_limit(&self, divisor: usize, min: usize) -> usize {
        fraction_of_machines(self.machines.len(), divisor, min)
    }

    /// Cancels the draining of a machine whose capacity is needed again.
    pub(crate) fn cancel_draining(&mut self, id: &MachineId) {
        if let Some(machine) = self.machines.get_mut(id) {
            log::info!("machine {id}: draining cancelled, needed again");
            machine.is_draining = false;
            machine.idle_since = None;
        }
    }

    /// The value ratio of every usable machine: the lowest price of its tasks' shares on
    /// any allowed machine type, divided by the machine's own price. The ratio is low for
    /// a costly machine whose GPUs are idle while its tasks use none.
    fn value_ratios(&self, view: &ClusterView, usable: &[MachineId]) -> Vec<f64> {
        let mut value_of_job: BTreeMap<&JobId, f64> = BTreeMap::new();
        let mut ratios = Vec::new();
        for id in usable {
            let Some(machine) = self.machines.get(id) else {
                ratios.push(1.0);
                continue;
            };
            let mut sum = 0.0;
            for task in &machine.tasks {
                let value = value_of_job.entry(&task.job).or_insert_with(|| {
                    let job = self.jobs.get(&task.job);
                    job.map_or(0.0, |j| min_price_per_hour(j, view) / SECONDS_PER_HOUR)
                });
                sum += *value;
            }
            ratios.push(sum / machine.price_per_second.max(MIN_PRICE_PER_S));
        }
        ratios
    }

    /// Starts to drain up to `max_started` machines, if the minimum interval since the
    /// last start is over. A shard starts none within one boot time of its recovery.
    fn start_draining(
        &mut self,
        ctx: &mut Context,
        usable: &[MachineId],
        hosts: &mut [MachineSnapshot],
        context: &MoveContext,
        max_started: usize,
    ) {
        let boot_ms = self.max_boot_ms();
        let min_interval_ms = (boot_ms as f64 * MIN_DRAIN_INTERVAL_BOOTS) as Ms;
        if ctx.now < self.last_drain_at + min_interval_ms || ctx.now < self.active_since + boot_ms {
            return;
        }
        let mut starts_left = max_started.min(self.machine_limit(DRAIN_STEP_DIVISOR, 1));
        let max_candidates = (hosts.len() / DRAIN_CANDIDATES_DIVISOR).max(MIN_DRAINING_MACHINES);
        let underused = self.underused_hosts(ctx, usable, context);
        for host in underused.into_iter().take(max_candidates) {
            if starts_left == 0 {
                return;
            }
            let id = &usable[host];
            let all_fit = self.place_all_elsewhere(ctx, id, host, hosts, context);
            let Some(machine) = self.machines.get_mut(id) else {
                continue;
            };
            if !all_fit {
                machine.drain_retry_at = ctx.now + min_interval_ms;
                continue;
            }
            log::info!(
                "machine {id}: draining started, {} tasks",
                machine.tasks.len()
            );
            machine.is_draining = true;
            self.last_drain_at = ctx.now;
            starts_left -= 1;
        }
    }

    /// Indices of the hosts that may be drained, the one with the highest unused price
    /// first.
    fn underused_hosts(
        &self,
        ctx: &Context,
        usable: &[MachineId],
        context: &MoveContext,
    ) -> Vec<usize> {
        let min_age_ms = self.max_boot_ms() * MIN_DRAINED_AGE_BOOTS;
        let unused_price = |(host, id): (usize, &MachineId)| {
            let machine = self.machines.get(id)?;
            let value_ratio = context.value_ratios[host];
            let may_drain = !machine.tasks.is_empty()
                && value_ratio <= MAX_DRAINED_VALUE_RATIO
                && ctx.now > machine.known_since + min_age_ms
                && ctx.now >= machine.drain_retry_at;
            may_drain.then_some((machine.price_per_second * (1.0 - value_ratio), host))
        };
        let mut underused: Vec<(f64, usize)> =
            usable.iter().enumerate().filter_map(unused_price).collect();
        underused.sort_by(|(a, _), (b, _)| b.total_cmp(a));
        underused.into_iter().map(|(_, host)| host).collect()
    }

    /// Moves one replica off each of some draining machines, if the minimum interval
    /// since the last moves is over.
    fn move_replicas(
        &mut self,
        ctx: &mut Context,
        draining: &[MachineId],
        hosts: &mut [MachineSnapshot],
        context: &MoveContext,
    ) {
        let min_interval_ms =
            crate::seconds_to_ms(ctx.config.operator.round_interval_s * MIN_MOVE_INTERVAL_ROUNDS);
        if ctx.now < self.last_replica_move_at + min_interval_ms {
            return;
        }
        let mut moves_left = self.machine_limit(DRAIN_STEP_DIVISOR, 1);
        for id in draining {
            if moves_left > 0 && self.move_one_replica(ctx, id, hosts, context) {
                self.last_replica_move_at = ctx.now;
                moves_left -= 1;
            }
        }
    }
}

/// The lowest price per hour of one task's share of a machine, over all machine types
/// that the job allows and that the task fits on.
fn min_price_per_hour(job: &Job, view: &ClusterView) -> f64 {
    let types = view.machine_types.values().map(|t| &t.record);
    let allowed = types.filter(|t| allows_type(&job.spec, t));
    let prices = allowed.filter_map(|t| {
        let total = capacity_of(t);
        let price = t
            .spot_price_per_hour
            .filter(|_| job.spec.allow_spot)
            .unwrap_or(t.price_per_hour);
        let fits = job.task_resources.fits_in(&total);
        fits.then(|| job.task_resources.dominant_share(&total) * price)
    });
    prices.fold(f64::INFINITY, f64::min).min(MAX_PRICE_PER_HOUR)
}

fn allows_type(spec: &JobSpec, machine_type: &MachineType) -> bool {
    let types = spec.machine_types.as_ref();
    types.is_none_or(|names| names.contains(&machine_type.name))
}
