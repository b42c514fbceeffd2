//! Whose tasks may use a pool's machine.
//!
//! In a round a pool's machines are reserved: only tasks of the pool's team and image see
//! them, and find them by the ordinary score, as the image is there. What finds no room
//! afterwards and lies within its team's guarantee may take such a machine: a gang, which
//! needs several at once, any; other jobs only those beyond the pool's least, as they are
//! served by renting, one machine after another.

use super::sizing::hourly;
use crate::context::Context;
use crate::records::DemandRecord;
use crate::shard::job::Job;
use crate::shard::machine::Machine;
use crate::shard::scheduling::{is_usable, RECLAIM_ROUNDS};
use crate::shard::Shard;
use forkshift_pools::account::Miss;
use forkshift_pools::choice::{core_members, Member};
use forkshift_pools::{Pool, PoolName};
use forkshift_sched::{run_round, Host, PendingTasks, Placement, Quota};
use forkshift_wire::{JobId, MachineId};
use std::collections::{BTreeMap, BTreeSet};

/// The reservation of the machines that make up a pool's least.
fn least_number(pool: usize) -> u32 {
    pool as u32 * 2
}

/// The reservation of a pool's further machines.
fn further_number(pool: usize) -> u32 {
    pool as u32 * 2 + 1
}

/// Whether a reservation is one of further machines.
fn is_further(number: u32) -> bool {
    number % 2 == 1
}

/// The reservations that are open to a job of a team with an image.
pub(crate) fn open_reservations(ctx: &Context, team: &str, image: &str) -> BTreeSet<u32> {
    let pools = ctx.config.ops.pools.iter().enumerate();
    let own = pools.filter(|(_, pool)| pool.team == team && pool.image == image);
    own.flat_map(|(i, _)| [least_number(i), further_number(i)])
        .collect()
}

impl Shard {
    /// Whether a job is one that a pool is kept for.
    pub(super) fn is_for_pool(&self, id: &JobId, pool: Option<&Pool>) -> bool {
        let job = self.jobs.get(id);
        let matches =
            |job: &Job, pool: &Pool| job.spec.team == pool.team && job.spec.image == pool.image;
        job.zip(pool).is_some_and(|(job, pool)| matches(job, pool))
    }

    /// The machines of each pool, those in use aside.
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

    /// Members as choices see them.
    pub(super) fn as_members(&self, pool: &Pool, ids: &[&MachineId]) -> Vec<Member> {
        let machines = ids.iter().filter_map(|id| self.machines.get(*id));
        let member = |machine: &Machine| Member {
            state: machine.state_for(pool),
            price: hourly(machine),
        };
        machines.map(member).collect()
    }

    /// The reservations of all machines of pools that nobody uses.
    fn member_reservations(&self, ctx: &Context) -> BTreeMap<MachineId, u32> {
        let mut numbers = BTreeMap::new();
        let members = self.members();
        for (i, pool) in ctx.config.ops.pools.iter().enumerate() {
            let Some(ids) = members.get(&pool.name) else {
                continue;
            };
            let least = pool.calendar.size_at(ctx.wall_clock_ms).least;
            let in_order: Vec<&MachineId> = ids.iter().collect();
            let kept = core_members(&self.as_members(pool, &in_order), least);
            for (place, id) in ids.iter().enumerate() {
                let number = match kept.contains(&place) {
                    true => least_number(i),
                    false => further_number(i),
                };
                numbers.insert(id.clone(), number);
            }
        }
        numbers
    }

    /// Reserves the hosts that are pools' machines.
    pub(crate) fn reserve_members(&self, ctx: &Context, usable: &[MachineId], hosts: &mut [Host]) {
        let numbers = self.member_reservations(ctx);
        if numbers.is_empty() {
            return;
        }
        for (id, host) in usable.iter().zip(hosts) {
            host.reserved_for = numbers.get(id).copied();
        }
    }

    /// Offers pools' machines to other shards, for what has a right to room there.
    pub(crate) fn with_offered_members(
        &self,
        ctx: &Context,
        mut demand: DemandRecord,
    ) -> DemandRecord {
        for (id, number) in self.member_reservations(ctx) {
            let machine = self.machines.get(&id);
            if machine.is_none_or(|m| m.transfer_version.is_some() || !m.has_recent_heartbeat(ctx))
            {
                continue;
            }
            match is_further(number) {
                true => demand.reclaimable_machines.push(id),
                false => demand.pool_machines.push(id),
            }
        }
        demand
    }

    /// Places tasks that have a right to room and found none on pools' machines.
    pub(crate) fn reclaim_members(
        &self,
        ctx: &Context,
        ids: &[JobId],
        wants: &mut [PendingTasks],
        hosts: &mut [Host],
        quotas: &mut [Quota],
    ) -> Vec<Placement> {
        let reserved: BTreeSet<u32> = hosts.iter().filter_map(|h| h.reserved_for).collect();
        if reserved.is_empty() {
            return Vec::new();
        }
        let may = |i: &usize| self.may_reclaim_members(ctx, &ids[*i], &wants[*i], quotas);
        let reclaiming: Vec<usize> = (0..wants.len()).filter(may).collect();
        let open = |want: &PendingTasks| PendingTasks {
            reservations: match want.gang {
                true => reserved.clone(),
                false => reserved
                    .iter()
                    .copied()
                    .filter(|n| is_further(*n))
                    .collect(),
            },
            ..want.clone()
        };
        let mut opened: Vec<PendingTasks> = reclaiming.iter().map(|i| open(&wants[*i])).collect();
        let placed = run_round(&mut opened, hosts, quotas, &ctx.config.ops.weights);
        for (i, want) in reclaiming.iter().zip(opened) {
            wants[*i].waiting = want.waiting;
            wants[*i].zones = want.zones;
        }
        let in_all = |p: Placement| Placement {
            job: reclaiming[p.job],
            ..p
        };
        placed.into_iter().map(in_all).collect()
    }

    /// Whether what is left of a job waits within its team's guarantee, and has done so
    /// for long enough to know that there is no other room.
    fn may_reclaim_members(
        &self,
        ctx: &Context,
        id: &JobId,
        want: &PendingTasks,
        quotas: &[Quota],
    ) -> bool {
        let patience = crate::ms(ctx.config.ops.round_s * RECLAIM_ROUNDS);
        let needed = if want.gang { want.waiting.len() } else { 1 };
        let has_waited = |job: &Job| job.age(ctx.now) > patience;
        !want.waiting.is_empty()
            && quotas[want.team].guarantees(&want.task.times(needed as i64))
            && self.jobs.get(id).is_some_and(has_waited)
    }

    /// Ready machines of a pool that a holder who has just taken over has not heard yet.
    fn members_not_heard(&self, ctx: &Context, pool: &Pool) -> usize {
        let is_waited_for = |machine: &&Machine| {
            let membership = machine.pool.membership.as_ref();
            let is_ready = membership.is_some_and(|m| m.pool == pool.name && m.state.is_ready());
            is_ready && machine.is_pool_member() && !is_usable(machine, ctx)
        };
        self.machines.values().filter(is_waited_for).count()
    }

    /// Counts the jobs of a pool's team and image that found no machine of it, once each.
    pub(crate) fn note_misses(&mut self, ctx: &Context, ids: &[JobId], wants: &[PendingTasks]) {
        if !ctx.has_pools() {
            return;
        }
        for (id, want) in ids.iter().zip(wants).filter(|(_, w)| !w.waiting.is_empty()) {
            let own = |pool: &&Pool| self.is_for_pool(id, Some(pool));
            let Some(pool) = ctx.config.ops.pools.iter().find(own) else {
                continue;
            };
            if pool.calendar.size_at(ctx.wall_clock_ms).most == 0 {
                continue;
            }
            let Some(job) = self.jobs.get(id) else {
                continue;
            };
            if want.waiting.len() <= self.members_not_heard(ctx, pool) {
                continue;
            }
            let miss = Miss {
                pool: pool.name.clone(),
                job: id.to_string(),
                tasks: want.waiting.len() as u32,
                at_ms: job.submitted_at_wall_ms,
            };
            self.pools.note_miss(id, miss);
        }
        let jobs = &self.jobs;
        self.pools.forget_misses(|id| jobs.contains_key(id));
    }
}
