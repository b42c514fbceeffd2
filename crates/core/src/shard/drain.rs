//! Draining of machines that are hardly used, so that they can be released.
//!
//! Replicas run until their users cancel them, so a machine that holds a few of them is
//! never idle by itself. A replica is moved when it finds a place at once where its image
//! is; tasks that complete by themselves are waited for.

mod moves;

use crate::bounds::part_of_machines;
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

/// A machine is drained only if the value of its tasks is at most this part of its price.
const MAX_DRAINED_VALUE_RATIO: f64 = 0.75;
/// One in so many machines of a shard is drained at a time.
const DRAINING_PART: usize = 64;
/// At least this many are, and are tried in a round.
const MIN_DRAINING: usize = 3;
/// One in so many machines is tried in a round: each try goes over all of them.
const TRIES_PART: usize = 16;
/// One in so many machines is chosen, and has a replica moved, at a time.
const STEP_PART: usize = 256;
/// Rounds between two moves: each takes a replica down for about a second.
const MOVE_PAUSE_ROUNDS: f64 = 2.0;
/// Pause between two machines, in boots.
const PAUSE_BOOTS: f64 = 0.1;
/// Machines younger than this many boots are not drained.
const MIN_AGE_BOOTS: Ms = 2;
/// The lowest price of a machine by which values are divided.
const MIN_PRICE: f64 = 1e-12;
/// The hourly price that counts for a job that fits on no machine type.
const MAX_PRICE_PER_HOUR: f64 = 1e9;

/// What is the same for all tasks that might be moved in a round.
struct MoveContext {
    /// The value of the tasks of every usable machine, as a part of its price.
    value_ratios: Vec<f64>,
    /// The zone of every machine.
    zones: BTreeMap<MachineId, u16>,
}

impl Shard {
    /// Drains the machines that waste most, if their tasks fit elsewhere, and moves
    /// replicas off machines that are being drained. `hosts` shows what is free on the
    /// usable machines once all that waits, and the spare places, are booked.
    pub(crate) fn drain(
        &mut self,
        ctx: &mut Context,
        view: &ClusterView,
        usable: &[MachineId],
        hosts: &mut [MachineSnapshot],
    ) {
        let context = MoveContext {
            value_ratios: self.value_ratios(view, usable),
            zones: self.zones(),
        };
        let draining = self.draining_machines();
        let max_draining = self.machines_part(DRAINING_PART, MIN_DRAINING);
        let max_chosen = max_draining.saturating_sub(draining.len());
        self.choose_drained(ctx, usable, hosts, &context, max_chosen);
        self.move_replicas(ctx, &draining, hosts, &context);
    }

    fn draining_machines(&self) -> Vec<MachineId> {
        let machines = self.machines.values();
        let draining = machines.filter(|m| m.is_draining && m.decommission_reason.is_none());
        draining.map(|m| m.id.clone()).collect()
    }

    /// One in so many of the shard's machines, and at least so many.
    fn machines_part(&self, part: usize, min: usize) -> usize {
        part_of_machines(self.machines.len(), part, min)
    }

    /// Cancels the draining of a machine that is needed.
    pub(crate) fn stop_draining(&mut self, id: &MachineId) {
        if let Some(machine) = self.machines.get_mut(id) {
            log::info!("machine {id}: draining cancelled, needed again");
            machine.is_draining = false;
            machine.idle_since = None;
        }
    }

    /// The value of the tasks of every usable machine: the least that their parts of
    /// machines cost, as a part of the machine's own price. GPUs that are idle below
    /// replicas without any make the value of a costly machine low.
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
            ratios.push(sum / machine.price_per_second.max(MIN_PRICE));
        }
        ratios
    }

    /// Starts to drain up to `max_chosen` machines, if a pause since the last ones is over.
    fn choose_drained(
        &mut self,
        ctx: &mut Context,
        usable: &[MachineId],
        hosts: &mut [MachineSnapshot],
        context: &MoveContext,
        max_chosen: usize,
    ) {
        let boot_ms = self.boot_ms();
        let pause = (boot_ms as f64 * PAUSE_BOOTS) as Ms;
        if ctx.now < self.last_drain_at + pause || ctx.now < self.active_since + boot_ms {
            return;
        }
        let mut to_choose = max_chosen.min(self.machines_part(STEP_PART, 1));
        let tries = (hosts.len() / TRIES_PART).max(MIN_DRAINING);
        let wasteful = self.wasteful_hosts(ctx, usable, context);
        for host in wasteful.into_iter().take(tries) {
            if to_choose == 0 {
                return;
            }
            let id = &usable[host];
            let has_places = self.book_all_elsewhere(ctx, id, host, hosts, context);
            let Some(machine) = self.machines.get_mut(id) else {
                continue;
            };
            if !has_places {
                machine.drain_retry_at = ctx.now + pause;
                continue;
            }
            log::info!(
                "machine {id}: draining started, {} tasks",
                machine.tasks.len()
            );
            machine.is_draining = true;
            self.last_drain_at = ctx.now;
            to_choose -= 1;
        }
    }

    /// Hosts that may be drained, as indices, the one that wastes most first.
    fn wasteful_hosts(
        &self,
        ctx: &Context,
        usable: &[MachineId],
        context: &MoveContext,
    ) -> Vec<usize> {
        let min_age = self.boot_ms() * MIN_AGE_BOOTS;
        let waste_of = |(host, id): (usize, &MachineId)| {
            let machine = self.machines.get(id)?;
            let value_ratio = context.value_ratios[host];
            let may_drain = !machine.tasks.is_empty()
                && value_ratio <= MAX_DRAINED_VALUE_RATIO
                && ctx.now > machine.known_since + min_age
                && ctx.now >= machine.drain_retry_at;
            may_drain.then_some((machine.price_per_second * (1.0 - value_ratio), host))
        };
        let mut wasteful: Vec<(f64, usize)> =
            usable.iter().enumerate().filter_map(waste_of).collect();
        wasteful.sort_by(|(a, _), (b, _)| b.total_cmp(a));
        wasteful.into_iter().map(|(_, host)| host).collect()
    }

    /// Moves a replica off each of some draining machines, if a pause since the last moves
    /// is over.
    fn move_replicas(
        &mut self,
        ctx: &mut Context,
        draining: &[MachineId],
        hosts: &mut [MachineSnapshot],
        context: &MoveContext,
    ) {
        let pause = crate::ms(ctx.config.operator.round_interval_s * MOVE_PAUSE_ROUNDS);
        if ctx.now < self.last_replica_move_at + pause {
            return;
        }
        let mut moves_left = self.machines_part(STEP_PART, 1);
        for id in draining {
            if moves_left > 0 && self.move_one_replica(ctx, id, hosts, context) {
                self.last_replica_move_at = ctx.now;
                moves_left -= 1;
            }
        }
    }
}

/// The least that one task's part of a machine costs an hour.
fn min_price_per_hour(job: &Job, view: &ClusterView) -> f64 {
    let types = view.machine_types.values().map(|t| &t.record);
    let allowed = types.filter(|t| allows_type(&job.spec, t));
    let prices = allowed.filter_map(|t| {
        let total = capacity_of(t);
        let price = t
            .spot_price_per_hour
            .filter(|_| job.spec.allow_spot)
            .unwrap_or(t.price_per_hour);
        let fits = job.task.fits_in(&total);
        fits.then(|| job.task.dominant_share(&total) * price)
    });
    prices.fold(f64::INFINITY, f64::min).min(MAX_PRICE_PER_HOUR)
}

fn allows_type(spec: &JobSpec, machine_type: &MachineType) -> bool {
    let types = spec.machine_types.as_ref();
    types.is_none_or(|names| names.contains(&machine_type.name))
}
