//! Whose tasks may use a pool's machine.
//!
//! In a round a pool's machines are reserved: only tasks of the pool's team and image may
//! use them, and find them by the ordinary score, as the image is there. Tasks within their
//! team's guarantee that find no room afterwards may use such a machine as well: gangs,
//! which need several at once, any; other jobs only those beyond the pool's minimum, as
//! machines are provisioned for them one after another.

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

/// The reservation of the machines that make up a pool's minimum.
fn minimum_reservation(pool: usize) -> u32 {
    pool as u32 * 2
}

/// The reservation of a pool's machines beyond its minimum.
fn surplus_reservation(pool: usize) -> u32 {
    pool as u32 * 2 + 1
}

/// Whether a reservation is one of machines beyond a pool's minimum.
fn is_surplus_reservation(reservation: u32) -> bool {
    reservation % 2 == 1
}

/// The reservations that are open to a job of a team with an image.
pub(crate) fn open_reservations(ctx: &Context, team: &str, image: &str) -> BTreeSet<u32> {
    let pools = ctx.config.operator.pools.iter().enumerate();
    let own = pools.filter(|(_, pool)| pool.team == team && pool.image == image);
    own.flat_map(|(i, _)| [minimum_reservation(i), surplus_reservation(i)])
        .collect()
}

impl Shard {
    /// Whether a job has the team and image that a pool is kept for.
    pub(super) fn is_for_pool(&self, id: &JobId, pool: Option<&Pool>) -> bool {
        let job = self.jobs.get(id);
        let matches =
            |job: &Job, pool: &Pool| job.spec.team == pool.team && job.spec.image == pool.image;
        job.zip(pool).is_some_and(|(job, pool)| matches(job, pool))
    }

    /// The unused machines of each pool.
    pub(super) fn members(&self) -> BTreeMap<PoolName, Vec<MachineId>> {
        let mut members: BTreeMap<PoolName, Vec<MachineId>> = BTreeMap::new();
        for machine in self.machines.values().filter(|m| m.is_pool_member()) {
            if let Some(membership) = &machine.pool.membership {
                let of_pool = members.entry(membership.pool.clone()).or_default();
                of_pool.push(machine.id.clone());
            }
        }
        members
    }

    /// Machines of a pool, as input of the choices on its size.
    pub(super) fn as_members(&self, pool: &Pool, ids: &[&MachineId]) -> Vec<PoolMember> {
        let machines = ids.iter().filter_map(|id| self.machines.get(*id));
        let member = |machine: &Machine| PoolMember {
            state: machine.state_for(pool),
            price_per_hour: price_per_hour(machine),
        };
        machines.map(member).collect()
    }

    /// The reservations of all unused machines of pools.
    fn member_reservations(&self, ctx: &Context) -> BTreeMap<MachineId, u32> {
        let mut reservations = BTreeMap::new();
        let members = self.members();
        for (pool_index, pool) in ctx.config.operator.pools.iter().enumerate() {
            let Some(ids) = members.get(&pool.name) else {
                continue;
            };
            let minimum = pool.calendar.size_at(ctx.wall_clock_ms).min_machines;
            let id_refs: Vec<&MachineId> = ids.iter().collect();
            let core = retained_members(&self.as_members(pool, &id_refs), minimum);
            for (member, id) in ids.iter().enumerate() {
                let reservation = match core.contains(&member) {
                    true => minimum_reservation(pool_index),
                    false => surplus_reservation(pool_index),
                };
                reservations.insert(id.clone(), reservation);
            }
        }
        reservations
    }

    /// Reserves the hosts that are pools' machines.
    pub(crate) fn reserve_members(
        &self,
        ctx: &Context,
        usable: &[MachineId],
        hosts: &mut [MachineSnapshot],
    ) {
        let reservations = self.member_reservations(ctx);
        if reservations.is_empty() {
            return;
        }
        for (id, host) in usable.iter().zip(hosts) {
            host.reserved_for = reservations.get(id).copied();
        }
    }

    /// Adds pools' machines to a demand record, as offered to other shards for tasks
    /// within their teams' guarantees.
    pub(crate) fn with_offered_members(
        &self,
        ctx: &Context,
        mut demand: DemandRecord,
    ) -> DemandRecord {
        for (id, reservation) in self.member_reservations(ctx) {
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

    /// Places tasks within their teams' guarantees that found no room on pools' machines.
    pub(crate) fn reclaim_members(
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
        let reclaiming: Vec<usize> = jobs
            .filter(|(_, (id, tasks))| self.may_reclaim_members(ctx, id, tasks, quotas))
            .map(|(job, _)| job)
            .collect();
        let open = |job: &usize| with_pools_open(&pending.tasks[*job], &reserved);
        let mut opened: Vec<PendingTasks> = reclaiming.iter().map(open).collect();
        let mut placements = run_round(&mut opened, hosts, quotas, &ctx.config.operator.weights);
        for (job, tasks) in reclaiming.iter().zip(opened) {
            pending.tasks[*job].unplaced_tasks = tasks.unplaced_tasks;
            pending.tasks[*job].tasks_by_zone = tasks.tasks_by_zone;
        }
        for placement in &mut placements {
            placement.job = reclaiming[placement.job];
        }
        placements
    }

    /// Whether a job's waiting tasks are within its team's guarantee, and have waited for
    /// long enough to know that there is no other room.
    fn may_reclaim_members(
        &self,
        ctx: &Context,
        id: &JobId,
        pending: &PendingTasks,
        quotas: &[Quota],
    ) -> bool {
        let patience =
            crate::ms(ctx.config.operator.round_interval_s * MACHINE_RECLAIM_DELAY_ROUNDS);
        let has_waited = |job: &Job| job.age_ms(ctx.now) > patience;
        !pending.unplaced_tasks.is_empty()
            && quotas[pending.team].is_within_guarantee(&pending.minimum_resources())
            && self.jobs.get(id).is_some_and(has_waited)
    }

    /// How many ready machines of a pool may not be used yet, such as those that have not
    /// reported since a failover.
    fn unconfirmed_members(&self, ctx: &Context, pool: &Pool) -> usize {
        let is_unconfirmed = |machine: &&Machine| {
            let membership = machine.pool.membership.as_ref();
            let is_ready = membership.is_some_and(|m| m.pool == pool.name && m.state.is_ready());
            is_ready && machine.is_pool_member() && !is_usable(machine, ctx)
        };
        self.machines.values().filter(is_unconfirmed).count()
    }

    /// Records the jobs of each pool's team and image that found no machine of it, once
    /// each.
    pub(crate) fn note_pool_misses(&mut self, ctx: &Context, pending: &PendingJobs) {
        if !ctx.has_pools() {
            return;
        }
        for (id, tasks) in pending.iter().filter(|(_, p)| !p.unplaced_tasks.is_empty()) {
            if let Some(miss) = self.pool_miss(ctx, id, tasks) {
                self.pools.note_miss(id, miss);
            }
        }
        let jobs = &self.jobs;
        self.pools.retain_misses(|id| jobs.contains_key(id));
    }

    /// The miss of a job with waiting tasks, if a pool should have had machines for it.
    fn pool_miss(&self, ctx: &Context, id: &JobId, pending: &PendingTasks) -> Option<ColdStart> {
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

/// Waiting tasks to which pools' machines are open: all to a gang, and to other jobs those
/// beyond the pools' minimum.
fn with_pools_open(pending: &PendingTasks, reserved: &BTreeSet<u32>) -> PendingTasks {
    let is_open = |reservation: &u32| pending.is_gang || is_surplus_reservation(*reservation);
    PendingTasks {
        open_reservations: reserved.iter().copied().filter(is_open).collect(),
        ..pending.clone()
    }
}
