//! The tasks that wait for a place, as input of a scheduling round.

use crate::context::Context;
use crate::pools::open_reservations;
use crate::shard::job::Job;
use crate::shard::Shard;
use crate::Ms;
use forkshift_sched::{CapacityClass, PendingTasks, Reclaim, Reservation, Resources};
use forkshift_wire::users::{JobKind, Priority};
use forkshift_wire::{JobId, MachineId};
use std::collections::{BTreeMap, BTreeSet};

/// Jobs that waited for this many boots go before all others, so that large ones
/// do not starve.
const AGED_BOOTS: f64 = 2.0;

/// A job reclaims machines of other shards after it has waited for this many
/// rounds: by then its own shard has no room for it.
pub(crate) const RECLAIM_ROUNDS: f64 = 2.0;

/// Jobs that failed repeatedly go behind all others for this long: they may be well,
/// and other jobs may never leave them room.
const FAILING_JOB_DEFERRAL_MS: Ms = 180_000;

/// The band of a job that is deferred as it failed repeatedly.
const FAILING_JOB_BAND: i32 = -1;

/// Added to the band of a job within its team's guarantee.
const GUARANTEED_BAND: i32 = 4;

/// Added to the band of a job that has waited long.
const AGED_BAND: i32 = 8;

/// The waiting tasks of a round, with the jobs that they belong to: both lists have the
/// same length and order.
pub(crate) struct PendingJobs {
    /// Identifiers of the jobs.
    pub(crate) ids: Vec<JobId>,
    /// The waiting tasks of each job.
    pub(crate) tasks: Vec<PendingTasks>,
}

impl PendingJobs {
    /// The jobs with their waiting tasks.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (&JobId, &PendingTasks)> {
        self.ids.iter().zip(&self.tasks)
    }
}

/// What is the same for all jobs of a round.
struct RoundContext<'a> {
    /// Machines on which tasks may be placed; hosts have their indices.
    usable: &'a [MachineId],
    /// The zone of every machine.
    zones: BTreeMap<MachineId, u16>,
    /// The longest boot of the shard's machines.
    boot_ms: Ms,
    /// What services hold of each team's quota.
    held_by_services: Vec<Resources>,
    /// Hosts that have been in quarantine for less than a boot.
    newly_quarantined: Vec<usize>,
    /// Quarantined hosts that are not to be probed now.
    not_probed: Vec<usize>,
}

impl Shard {
    /// The jobs with tasks that wait for a place.
    pub(super) fn pending_jobs(&self, ctx: &mut Context, usable: &[MachineId]) -> PendingJobs {
        let round = self.round_context(ctx, usable);
        let mut pending = PendingJobs {
            ids: Vec::new(),
            tasks: Vec::new(),
        };
        for (id, job) in &self.jobs {
            if let Some(tasks) = self.pending_tasks_of_job(ctx, job, &round) {
                pending.tasks.push(tasks);
                pending.ids.push(id.clone());
            }
        }
        pending
    }

    fn round_context<'a>(&self, ctx: &Context, usable: &'a [MachineId]) -> RoundContext<'a> {
        let is_quarantined = |host: &usize| self.is_quarantined(&usable[*host]);
        let quarantined: Vec<usize> = (0..usable.len()).filter(is_quarantined).collect();
        let is_new = |host: &&usize| self.is_newly_quarantined(ctx, &usable[**host]);
        let may_probe = |host: &&usize| self.may_probe(ctx, &usable[**host]);
        RoundContext {
            usable,
            zones: self.zones(),
            boot_ms: self.boot_ms(),
            held_by_services: self.held_by_services(),
            newly_quarantined: quarantined.iter().filter(is_new).copied().collect(),
            not_probed: quarantined
                .iter()
                .filter(|host| !may_probe(host))
                .copied()
                .collect(),
        }
    }

    /// What services hold of each team's quota.
    fn held_by_services(&self) -> Vec<Resources> {
        let mut held = vec![Resources::default(); self.quotas.len()];
        for job in self.jobs.values() {
            let team = self.teams.get(&job.spec.team);
            if let (JobKind::Service, Some(team)) = (job.spec.kind, team) {
                held[*team] += job.task_resources.scaled_by(job.bindings.len() as i64);
            }
        }
        held
    }

    /// The tasks of a job that wait for a place, if it has any that may be placed now.
    fn pending_tasks_of_job(
        &self,
        ctx: &mut Context,
        job: &Job,
        round: &RoundContext,
    ) -> Option<PendingTasks> {
        if ctx.now < job.placement_backoff_until || job.is_blocked() {
            return None;
        }
        let waiting = waiting_tasks(ctx, job)?;
        let team = *self.teams.get(&job.spec.team)?;
        let mut pending = pending_tasks_of(ctx, job, team, &round.zones);
        let is_probed = job.failures.is_limited_to_one_task();
        if is_probed && job.has_unproven_task(ctx.now, ctx.config.heartbeat_interval_ms) {
            return None;
        }
        let is_deferred =
            is_probed && ctx.now < job.placement_backoff_until + FAILING_JOB_DEFERRAL_MS;
        let is_aged = !is_deferred && is_aged(job, ctx.now, round.boot_ms);
        let need = job.task_resources.scaled_by(waiting.len() as i64);
        let is_guaranteed = self.quotas[team].is_within_guarantee(&need);
        pending.reservation = match is_aged {
            true => self.reservation_of(ctx, job, team, waiting.len(), round),
            false => Reservation::None,
        };
        pending.priority_band = match is_deferred {
            true => FAILING_JOB_BAND,
            false => band(job, is_guaranteed, is_aged),
        };
        pending.reclaim = match is_probed {
            true => Reclaim::Nothing,
            false => reclaim_of(ctx, job, is_guaranteed),
        };
        pending.capacity_class = self.standing_of(ctx, job, round.boot_ms);
        if is_aged {
            pending.waited_s = job.wait_ms(ctx.now) as f64 / 1000.0;
        }
        pending.waiting = waiting;
        pending.excluded_machines = excluded_hosts(ctx, job, round);
        Some(pending)
    }

    /// What a job that has waited long keeps from those behind it.
    fn reservation_of(
        &self,
        ctx: &Context,
        job: &Job,
        team: usize,
        waiting: usize,
        round: &RoundContext,
    ) -> Reservation {
        // Reserved quota must become free some day, and what services hold does not:
        // otherwise a whole team would wait for one job in vain.
        let at_once = if job.is_gang() { waiting as i64 } else { 1 };
        let need = round.held_by_services[team] + job.task_resources.scaled_by(at_once);
        match self.quotas[team].could_ever_allow(&need, 1) {
            true if job.can_reserve_quota(ctx.now, round.boot_ms) => Reservation::CapacityAndQuota,
            true => Reservation::Capacity,
            false => Reservation::None,
        }
    }
}

/// Indices of a job's tasks that wait for a place; none if it has none, or may not start
/// any now.
fn waiting_tasks(ctx: &Context, job: &Job) -> Option<Vec<u32>> {
    // Most jobs wait for nothing.
    if job.bindings.len() + job.completed.len() as usize >= job.spec.tasks as usize {
        return None;
    }
    let is_gang = job.is_gang();
    let max_tasks = match is_gang {
        true => usize::MAX,
        false => ctx.config.bounds.tasks_per_round,
    };
    let mut waiting = job.pending_tasks(max_tasks);
    // A job that failed repeatedly starts one task at a time: all at once could take a
    // fleet's room, and the machines that are provisioned for it.
    if job.failures.is_limited_to_one_task() && !is_gang {
        waiting.truncate(1);
    }
    // The tasks of a gang's last attempt must have exited first.
    let has_old_attempt = is_gang && !job.bindings.is_empty();
    (!waiting.is_empty() && !has_old_attempt).then_some(waiting)
}

/// What of borrowed resources may be given back to a job.
fn reclaim_of(ctx: &Context, job: &Job, is_guaranteed: bool) -> Reclaim {
    let is_entitled = is_guaranteed || job.priority() >= Priority::High;
    let from_borrowers = ctx.config.has_borrowers && is_entitled;
    let from_pools = ctx.has_pools() && is_guaranteed;
    if !(from_borrowers || from_pools) {
        return Reclaim::Nothing;
    }
    let is_late =
        job.age_ms(ctx.now) > crate::ms(ctx.config.operator.round_interval_s * RECLAIM_ROUNDS);
    match is_late {
        true => Reclaim::TasksAndMachines,
        false => Reclaim::Tasks,
    }
}

/// Hosts on which a job must not be placed.
fn excluded_hosts(ctx: &Context, job: &Job, round: &RoundContext) -> BTreeSet<usize> {
    let machines = job.failures.excluded_machines(ctx.now, round.boot_ms);
    let host_index = |machine: &MachineId| round.usable.iter().position(|u| u == machine);
    let mut hosts: BTreeSet<usize> = machines.filter_map(host_index).collect();
    hosts.extend(&round.not_probed);
    if job.is_gang() || job.failures.is_suspect() {
        hosts.extend(&round.newly_quarantined);
    }
    hosts
}

/// A job as a round sees it, without any waiting task.
pub(crate) fn pending_tasks_of(
    ctx: &mut Context,
    job: &Job,
    team: usize,
    zones: &BTreeMap<MachineId, u16>,
) -> PendingTasks {
    let spec = &job.spec;
    PendingTasks {
        task_resources: job.task_resources,
        priority_band: 0,
        waited_s: 0.0,
        reservation: Reservation::None,
        reclaim: Reclaim::Nothing,
        capacity_class: CapacityClass::Ordinary,
        lacks_machines: false,
        waiting: Vec::new(),
        total_tasks: spec.tasks,
        is_gang: job.is_gang(),
        estimated_run_s: spec.estimated_run_time_s,
        team,
        image: job.image,
        image_gb: spec.image_gb,
        allowed_types: type_numbers(ctx, spec.machine_types.as_deref()),
        required_zone: spec.zone.as_ref().map(|z| ctx.places.number(z)),
        one_zone: spec.require_same_zone,
        spread: spec.spread_over_zones,
        allows_spot: spec.allow_spot,
        tasks_by_zone: bound_per_zone(job, zones),
        excluded_machines: BTreeSet::new(),
        open_reservations: open_reservations(ctx, &spec.team, &spec.image),
    }
}

/// How many of a job's tasks are bound in each zone.
fn bound_per_zone(job: &Job, zones: &BTreeMap<MachineId, u16>) -> BTreeMap<u16, u32> {
    let mut counts = BTreeMap::new();
    for binding in job.bindings.values() {
        if let Some(zone) = zones.get(&binding.machine) {
            *counts.entry(*zone).or_default() += 1;
        }
    }
    counts
}

/// The numbers of machine types, as rounds use them in place of names.
pub(crate) fn type_numbers(ctx: &mut Context, types: Option<&[String]>) -> Option<Vec<u16>> {
    types.map(|t| t.iter().map(|name| ctx.places.number(name)).collect())
}

/// Whether a job has waited for so long that it goes before all others.
fn is_aged(job: &Job, now: Ms, boot_ms: Ms) -> bool {
    job.spec.kind != JobKind::Service
        && job.bindings.is_empty()
        && boot_ms > 0
        && job.wait_ms(now) as f64 > AGED_BOOTS * boot_ms as f64
}

/// The band of a job in a round: its priority, raised by a guarantee and by a long wait.
fn band(job: &Job, is_guaranteed: bool, is_aged: bool) -> i32 {
    let mut band = match job.priority() {
        Priority::Low => 0,
        Priority::Normal => 1,
        Priority::High => 2,
        Priority::Production => 3,
    };
    if is_guaranteed {
        band += GUARANTEED_BAND;
    }
    if is_aged {
        band += AGED_BAND;
    }
    band
}
