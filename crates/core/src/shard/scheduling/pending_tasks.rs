//! Collects the pending tasks of a shard, with their priority bands and constraints, as
//! input of a scheduling round.

use crate::context::Context;
use crate::pools::open_reservations;
use crate::shard::job::Job;
use crate::shard::Shard;
use crate::Ms;
use forkshift_sched::{AgedJobReservation, CapacityClass, PendingTasks, Reclaim, Resources};
use forkshift_wire::users::{JobKind, Priority};
use forkshift_wire::{JobId, MachineId};
use std::collections::{BTreeMap, BTreeSet};

/// Wait, in multiples of the longest boot time, after which a job goes before all others,
/// so that large jobs do not starve.
const AGED_AFTER_BOOTS: f64 = 2.0;

/// Wait, in scheduling intervals, after which a job may reclaim whole machines of other
/// shards. By then its own shard has proved to have no capacity for it.
pub(crate) const MACHINE_RECLAIM_DELAY_ROUNDS: f64 = 2.0;

/// After its backoff, a job that failed repeatedly is scheduled behind all others for
/// this long, and at its usual priority afterwards. The limit is needed because the job
/// may have been repaired, and other jobs may never leave capacity for it.
const FAILING_JOB_DEFERRAL_MS: Ms = 180_000;

/// Priority band of a job that is deferred after repeated failures; below every other
/// band.
const FAILING_JOB_BAND: i32 = -1;

/// Added to the priority band of a job that is within its team's guarantee; exceeds the
/// difference between any two priorities.
const GUARANTEED_BAND_INCREASE: i32 = 4;

/// Added to the priority band of a job that has waited long; exceeds every other band.
const AGED_BAND_INCREASE: i32 = 8;

/// The pending tasks of a round, with the jobs that they belong to. Both lists have the
/// same length and order.
pub(crate) struct PendingJobs {
    pub(crate) ids: Vec<JobId>,
    /// The pending tasks of each job.
    pub(crate) tasks: Vec<PendingTasks>,
}

impl PendingJobs {
    /// Iterates over the jobs with their pending tasks.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (&JobId, &PendingTasks)> {
        self.ids.iter().zip(&self.tasks)
    }
}

/// Values that are computed once a round and used for all jobs.
struct RoundContext<'a> {
    /// Machines on which tasks may be placed, in the order of the round's hosts.
    usable: &'a [MachineId],
    /// Zone of every machine of the shard.
    zones: BTreeMap<MachineId, u16>,
    /// Longest boot time of the shard's machines, in milliseconds; 0 without machines.
    boot_ms: Ms,
    /// What services hold of each team's quota.
    quota_used_by_services: Vec<Resources>,
    /// Indices of quarantined hosts whose last failure is more recent than one boot time.
    newly_quarantined: Vec<usize>,
    /// Indices of quarantined hosts that must not get another task as a probe now.
    unavailable_for_probe: Vec<usize>,
}

impl Shard {
    /// Collects the jobs with tasks that may be placed in this round.
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
        let may_start_probe = |host: &&usize| self.may_start_probe(ctx, &usable[**host]);
        RoundContext {
            usable,
            zones: self.machine_zones(),
            boot_ms: self.max_boot_ms(),
            quota_used_by_services: self.quota_used_by_services(),
            newly_quarantined: quarantined.iter().filter(is_new).copied().collect(),
            unavailable_for_probe: quarantined
                .iter()
                .filter(|host| !may_start_probe(host))
                .copied()
                .collect(),
        }
    }

    /// What services hold of each team's quota.
    fn quota_used_by_services(&self) -> Vec<Resources> {
        let mut used = vec![Resources::default(); self.quotas.len()];
        for job in self.jobs.values() {
            let team = self.teams.get(&job.spec.team);
            if let (JobKind::Service, Some(team)) = (job.spec.kind, team) {
                used[*team] += job.task_resources.scaled_by(job.bindings.len() as i64);
            }
        }
        used
    }

    /// The pending tasks of a job, with the job's priority band, reservation and
    /// constraints; `None` if none of its tasks may be placed now.
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
        let is_limited_to_one_task = job.failures.is_limited_to_one_task();
        if is_limited_to_one_task
            && job.has_unproven_task(ctx.now, ctx.config.heartbeat_interval_ms)
        {
            return None;
        }
        let is_deferred = is_limited_to_one_task
            && ctx.now < job.placement_backoff_until + FAILING_JOB_DEFERRAL_MS;
        let is_aged = !is_deferred && is_aged(job, ctx.now, round.boot_ms);
        let needed = job.task_resources.scaled_by(waiting.len() as i64);
        let is_guaranteed = self.quotas[team].is_within_guarantee(&needed);
        pending.reservation = match is_aged {
            true => self.reservation_of(ctx, job, team, waiting.len(), round),
            false => AgedJobReservation::None,
        };
        pending.priority_band = match is_deferred {
            true => FAILING_JOB_BAND,
            false => priority_band(job, is_guaranteed, is_aged),
        };
        pending.reclaim = match is_limited_to_one_task {
            true => Reclaim::Nothing,
            false => reclaim_of(ctx, job, is_guaranteed),
        };
        pending.capacity_class = self.capacity_class_of(ctx, job, round.boot_ms);
        if is_aged {
            pending.aged_wait_s = job.wait_ms(ctx.now) as f64 / 1000.0;
        }
        pending.unplaced_tasks = waiting;
        pending.excluded_machines = excluded_hosts(ctx, job, round);
        Some(pending)
    }

    /// What is reserved for a job that has waited long, against the jobs behind it.
    fn reservation_of(
        &self,
        ctx: &Context,
        job: &Job,
        team: usize,
        waiting: usize,
        round: &RoundContext,
    ) -> AgedJobReservation {
        // Quota is reserved only if it can become free. The quota that services use never
        // does by itself, so a reservation that needs it would block the whole team for a
        // job that can never start.
        let simultaneous_tasks = if job.is_gang() { waiting as i64 } else { 1 };
        let needed =
            round.quota_used_by_services[team] + job.task_resources.scaled_by(simultaneous_tasks);
        match self.quotas[team].could_ever_allow(&needed, 1) {
            true if job.can_reserve_quota(ctx.now, round.boot_ms) => {
                AgedJobReservation::CapacityAndQuota
            }
            true => AgedJobReservation::Capacity,
            false => AgedJobReservation::None,
        }
    }
}

/// Indices of a job's pending tasks; `None` if the job has none, or may not start any
/// now.
fn waiting_tasks(ctx: &Context, job: &Job) -> Option<Vec<u32>> {
    // Fast path: all tasks of most jobs are bound or done.
    if job.bindings.len() + job.completed.len() as usize >= job.spec.tasks as usize {
        return None;
    }
    let is_gang = job.is_gang();
    let max_tasks = match is_gang {
        true => usize::MAX,
        false => ctx.config.bounds.tasks_per_round,
    };
    let mut waiting = job.pending_tasks(max_tasks);
    // A job that failed repeatedly starts one task at a time. All tasks at once could
    // occupy the capacity of the fleet, and the machines that are provisioned for them.
    if job.failures.is_limited_to_one_task() && !is_gang {
        waiting.truncate(1);
    }
    // A gang starts a new attempt only after all tasks of the last attempt have exited.
    let has_bound_attempt = is_gang && !job.bindings.is_empty();
    (!waiting.is_empty() && !has_bound_attempt).then_some(waiting)
}

/// Which capacity may be reclaimed for a job from borrowing teams and from warm pools.
fn reclaim_of(ctx: &Context, job: &Job, is_guaranteed: bool) -> Reclaim {
    let is_entitled = is_guaranteed || job.priority() >= Priority::High;
    let from_borrowers = ctx.config.allows_borrowing && is_entitled;
    let from_pools = ctx.has_pools() && is_guaranteed;
    if !(from_borrowers || from_pools) {
        return Reclaim::Nothing;
    }
    let may_reclaim_machines = job.age_ms(ctx.now)
        > crate::seconds_to_ms(ctx.config.operator.round_interval_s * MACHINE_RECLAIM_DELAY_ROUNDS);
    match may_reclaim_machines {
        true => Reclaim::TasksAndMachines,
        false => Reclaim::Tasks,
    }
}

/// Indices of the hosts on which a job must not be placed: those on which its tasks
/// failed recently and quarantined hosts that must not be probed now. All newly
/// quarantined hosts are excluded for gangs, and for jobs that have failed themselves of
/// late: a probe needs a job that is not at fault.
fn excluded_hosts(ctx: &Context, job: &Job, round: &RoundContext) -> BTreeSet<usize> {
    let machines = job.failures.excluded_machines(ctx.now, round.boot_ms);
    let host_index = |machine: &MachineId| round.usable.iter().position(|u| u == machine);
    let mut hosts: BTreeSet<usize> = machines.filter_map(host_index).collect();
    hosts.extend(&round.unavailable_for_probe);
    if job.is_gang() || job.failures.is_suspect() {
        hosts.extend(&round.newly_quarantined);
    }
    hosts
}

/// The placement constraints of a job for a scheduling round, without any pending task,
/// reservation or priority band. The caller sets those.
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
        aged_wait_s: 0.0,
        reservation: AgedJobReservation::None,
        reclaim: Reclaim::Nothing,
        capacity_class: CapacityClass::Ordinary,
        lacks_machines: false,
        unplaced_tasks: Vec::new(),
        total_tasks: spec.tasks,
        is_gang: job.is_gang(),
        estimated_run_s: spec.estimated_run_time_s,
        team,
        image: job.image,
        image_gb: spec.image_gb,
        allowed_types: type_numbers(ctx, spec.machine_types.as_deref()),
        required_zone: spec.zone.as_ref().map(|z| ctx.types_and_zones.intern(z)),
        require_same_zone: spec.require_same_zone,
        spread_over_zones: spec.spread_over_zones,
        allows_spot: spec.allow_spot,
        tasks_by_zone: bound_per_zone(job, zones),
        excluded_machines: BTreeSet::new(),
        open_reservations: open_reservations(ctx, &spec.team, &spec.image),
    }
}

/// Number of the job's bound tasks in each zone.
fn bound_per_zone(job: &Job, zones: &BTreeMap<MachineId, u16>) -> BTreeMap<u16, u32> {
    let mut counts = BTreeMap::new();
    for binding in job.bindings.values() {
        if let Some(zone) = zones.get(&binding.machine) {
            *counts.entry(*zone).or_default() += 1;
        }
    }
    counts
}

/// Converts names of machine types to the numbers that rounds use; `None` allows any
/// type.
pub(crate) fn type_numbers(ctx: &mut Context, types: Option<&[String]>) -> Option<Vec<u16>> {
    types.map(|t| {
        t.iter()
            .map(|name| ctx.types_and_zones.intern(name))
            .collect()
    })
}

/// Whether a job has waited long enough to go before all others. Services and jobs with a
/// bound task never do, and no job does in a shard without machines.
fn is_aged(job: &Job, now: Ms, boot_ms: Ms) -> bool {
    job.spec.kind != JobKind::Service
        && job.bindings.is_empty()
        && boot_ms > 0
        && job.wait_ms(now) as f64 > AGED_AFTER_BOOTS * boot_ms as f64
}

/// The priority band of a job in a round: the job's priority, raised if the job is within
/// its team's guarantee and if it has waited long.
fn priority_band(job: &Job, is_guaranteed: bool, is_aged: bool) -> i32 {
    let mut priority_band = match job.priority() {
        Priority::Low => 0,
        Priority::Normal => 1,
        Priority::High => 2,
        Priority::Production => 3,
    };
    if is_guaranteed {
        priority_band += GUARANTEED_BAND_INCREASE;
    }
    if is_aged {
        priority_band += AGED_BAND_INCREASE;
    }
    priority_band
}
