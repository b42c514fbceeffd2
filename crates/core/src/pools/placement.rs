//! Reservation of warm pools' machines, and placement of tasks on them.
//!
//! In a scheduling round, the unused machines of a pool are reserved for tasks with the pool's
//! team and image. The ordinary score prefers these machines, because they hold the image.
//! Tasks within their team's guarantee that are unschedulable afterwards may use reserved
//! machines of other pools as well. Gangs may use all of them, as a gang needs several machines
//! at once. Other jobs may use only the machines beyond a pool's minimum, as new machines can be
//! provisioned for their tasks one by one.

use super::sizing::price_per_hour;
use crate::context::Context;
use crate::records::DemandRecord;
use crate::shard::job::Job;
use crate::shard::machine::Machine;
use crate::shard::scheduling::{is_usable, PendingJobs, MACHINE_RECLAIM_DELAY_ROUNDS};
use crate::shard::Shard;
use forkshift_pools::account::ColdStart;
use forkshift_pools::scaling::{retained_members, PoolMember};
use forkshift_pools::{Pool, PoolName};
use forkshift_sched::{run_round, MachineSnapshot, PendingTasks, Placement, Quota};
use forkshift_wire::{JobId, MachineId};
use std::collections::{BTreeMap, BTreeSet};

/// Number of the reservation of a pool's machines within its minimum. `pool` is the pool's
/// index among the declared pools.
fn minimum_reservation(pool: usize) -> u32 {
    pool as u32 * 2
}

/// Number of the reservation of a pool's machines beyond its minimum.
fn surplus_reservation(pool: usize) -> u32 {
    pool as u32 * 2 + 1
}

/// Whether a reservation covers machines beyond a pool's minimum.
fn is_surplus_reservation(reservation: u32) -> bool {
    reservation % 2 == 1
}

/// The reservations whose machines a job with this team and image may use.
pub(crate) fn open_reservations(ctx: &Context, team: &str, image: &str) -> BTreeSet<u32> {
    let pools = ctx.config.operator.pools.iter().enumerate();
    let own = pools.filter(|(_, pool)| pool.team == team && pool.image == image);
    own.flat_map(|(i, _)| [minimum_reservation(i), surplus_reservation(i)])
        .collect()
}

impl Shard {
    /// Whether a job has the team and image of a pool.
    pub(super) fn is_for_pool(&self, id: &JobId, pool: Option<&Pool>) -> bool {
        let job = self.jobs.get(id);
        let matches =
            |job: &Job, pool: &Pool| job.spec.team == pool.team && job.spec.image == pool.image;
        job.zip(pool).is_some_and(|(job, pool)| matches(job, pool))
    }

    /// The unused machines of the shard's pools, by pool.
    pub(super) fn unused_pool_members(&self) -> BTreeMap<PoolName, Vec<MachineId>> {
        let mut members: BTreeMap<PoolName, Vec<MachineId>> = BTreeMap::new();
        for machine in self.machines.values().filter(|m| m.is_unused_pool_member()) {
            if let Some(membership) = &machine.pool.membership {
                let of_pool = members.entry(membership.pool.clone()).or_default();
                of_pool.push(machine.id.clone());
            }
        }
        members
    }

    /// Converts machines of a pool to the input of the choice which members to keep.
    pub(super) fn to_pool_members(&self, pool: &Pool, ids: &[&MachineId]) -> Vec<PoolMember> {
        let machines = ids.iter().filter_map(|id| self.machines.get(*id));
        let member = |machine: &Machine| PoolMember {
            state: machine.state_for(pool),
            price_per_hour: price_per_hour(machine),
        };
        machines.map(member).collect()
    }

    /// The reservation of each unused machine of a pool.
    fn pool_reservations(&self, ctx: &Context) -> BTreeMap<MachineId, u32> {
        let mut reservations = BTreeMap::new();
        let members = self.unused_pool_members();
        for (pool_index, pool) in ctx.config.operator.pools.iter().enumerate() {
            let Some(ids) = members.get(&pool.name) else {
                continue;
            };
            let minimum = pool.calendar.size_at(ctx.wall_clock_ms).min_machines;
            let id_refs: Vec<&MachineId> = ids.iter().collect();
            let within_minimum = retained_members(&self.to_pool_members(pool, &id_refs), minimum);
            for (member, id) in ids.iter().enumerate() {
                let reservation = match within_minimum.contains(&member) {
                    true => minimum_reservation(pool_index),
                    false => surplus_reservation(pool_index),
                };
                reservations.insert(id.clone(), reservation);
            }
        }
        reservations
    }

    /// Sets the reservation of each host that is an unused machine of a pool.
    pub(crate) fn reserve_pool_machines(
        &self,
        ctx: &Context,
        usable: &[MachineId],
        hosts: &mut [MachineSnapshot],
    ) {
        let reservations = self.pool_reservations(ctx);
        if reservations.is_empty() {
            return;
        }
        for (id, host) in usable.iter().zip(hosts) {
            host.reserved_for = reservations.get(id).copied();
        }
    }

    /// Adds the machines of pools to a demand record, which offers them to other shards for
    /// tasks within their teams' guarantees.
    pub(crate) fn with_offered_pool_machines(
        &self,
        ctx: &Context,
        mut demand: DemandRecord,
    ) -> DemandRecord {
        for (id, reservation) in self.pool_reservations(ctx) {
            let machine = self.machines.get(&id);
            if machine.is_none_or(|m| m.transfer_version.is_some() || !m.has_recent_heartbeat(ctx))
            {
                continue;
            }
            match is_surplus_reservation(reservation) {
                true => demand.reclaimable_machines.push(id),
                false => demand.pool_machines.push(id),
            }
        }
        demand
    }

    /// Places tasks on reserved machines that are within their teams' guarantees and
    /// unschedulable elsewhere.
    pub(crate) fn place_on_pool_machines(
        &self,
        ctx: &Context,
        pending: &mut PendingJobs,
        hosts: &mut [MachineSnapshot],
        quotas: &mut [Quota],
    ) -> Vec<Placement> {
        let reserved: BTreeSet<u32> = hosts.iter().filter_map(|h| h.reserved_for).collect();
        if reserved.is_empty() {
            return Vec::new();
        }
        let jobs = pending.iter().enumerate();
        let allowed_jobs: Vec<usize> = jobs
            .filter(|(_, (id, tasks))| self.may_use_pool_machines(ctx, id, tasks, quotas))
            .map(|(job, _)| job)
            .collect();
        let open = |job: &usize| with_pools_open(&pending.tasks[*job], &reserved);
        let mut opened: Vec<PendingTasks> = allowed_jobs.iter().map(open).collect();
        let mut placements = run_round(&mut opened, hosts, quotas, &ctx.config.operator.weights);
        for (job, tasks) in allowed_jobs.iter().zip(opened) {
            pending.tasks[*job].unplaced_tasks = tasks.unplaced_tasks;
            pending.tasks[*job].tasks_by_zone = tasks.tasks_by_zone;
        }
        for placement in &mut placements {
            placement.job = allowed_jobs[placement.job];
        }
        placements
    }

    /// Whether a job's pending tasks may use machines of any pool: they are within their team's
    /// guarantee, and the job is old enough that the ordinary rounds have proved to have no
    /// capacity for it.
    fn may_use_pool_machines(
        &self,
        ctx: &Context,
        id: &JobId,
        pending: &PendingTasks,
        quotas: &[Quota],
    ) -> bool {
        let reclaim_delay_ms = crate::seconds_to_ms(
            ctx.config.operator.round_interval_s * MACHINE_RECLAIM_DELAY_ROUNDS,
        );
        let has_waited = |job: &Job| job.age_ms(ctx.now) > reclaim_delay_ms;
        !pending.unplaced_tasks.is_empty()
            && quotas[pending.team].is_within_guarantee(&pending.minimum_resources())
            && self.jobs.get(id).is_some_and(has_waited)
    }

    /// Number of ready machines of a pool that are not usable yet, such as those without a
    /// heartbeat since a failover.
    fn unconfirmed_members(&self, ctx: &Context, pool: &Pool) -> usize {
        let is_unconfirmed = |machine: &&Machine| {
            let membership = machine.pool.membership.as_ref();
            let is_ready = membership.is_some_and(|m| m.pool == pool.name && m.state.is_ready());
            is_ready && machine.is_unused_pool_member() && !is_usable(machine, ctx)
        };
        self.machines.values().filter(is_unconfirmed).count()
    }

    /// Records the cold starts of jobs that found no machine in their pool.
    pub(crate) fn record_cold_starts(&mut self, ctx: &Context, pending: &PendingJobs) {
        if !ctx.has_pools() {
            return;
        }
        for (id, tasks) in pending.iter().filter(|(_, p)| !p.unplaced_tasks.is_empty()) {
            if let Some(cold_start) = self.cold_start_of(ctx, id, tasks) {
                self.pools.add_cold_start(id, cold_start);
            }
        }
        let jobs = &self.jobs;
        self.pools.retain_cold_starts(|id| jobs.contains_key(id));
    }

    /// The cold start of a job with pending tasks, if its pool should have had machines for the
    /// tasks: a window of the pool is open, and fewer machines are awaited after a failover.
    fn cold_start_of(
        &self,
        ctx: &Context,
        id: &JobId,
        pending: &PendingTasks,
    ) -> Option<ColdStart> {
        let mut pools = ctx.config.operator.pools.iter();
        let pool = pools.find(|pool| self.is_for_pool(id, Some(pool)))?;
        let job = self.jobs.get(id)?;
        let has_window = pool.calendar.size_at(ctx.wall_clock_ms).max_machines > 0;
        let is_missing = pending.unplaced_tasks.len() > self.unconfirmed_members(ctx, pool);
        (has_window && is_missing).then(|| ColdStart {
            pool: pool.name.clone(),
            job: id.to_string(),
            tasks: pending.unplaced_tasks.len() as u32,
            at_ms: job.submitted_at_wall_ms,
        })
    }
}

/// A copy of pending tasks that may use reserved machines: a gang all of them, other jobs only
/// those beyond the pools' minimum.
fn with_pools_open(pending: &PendingTasks, reserved: &BTreeSet<u32>) -> PendingTasks {
    let is_open = |reservation: &u32| pending.is_gang || is_surplus_reservation(*reservation);
    PendingTasks {
        open_reservations: reserved.iter().copied().filter(is_open).collect(),
        ..pending.clone()
    }
}
