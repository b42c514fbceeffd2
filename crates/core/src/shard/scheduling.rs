//! Rounds of a shard: places waiting tasks, and computes the unmet demand.

use crate::context::Context;
use crate::pools::open_reservations;
use crate::shard::job::{Binding, Job, StartState};
use crate::shard::machine::Machine;
use crate::shard::Shard;
use crate::store::view::ClusterView;
use crate::Ms;
use forkshift_sched::{run_round, Host, PendingTasks, Reclaim, Reservation, Resources, Standing};
use forkshift_wire::users::{JobKind, Priority};
use forkshift_wire::{JobId, MachineId, TaskRef};
use std::collections::{BTreeMap, BTreeSet};

/// Jobs that waited this many boots go before all others, so that large ones
/// do not starve.
const AGED_BOOTS: f64 = 2.0;

/// A job reclaims machines of other shards after it has waited this many
/// rounds: by then its own shard has no room for it.
pub(crate) const RECLAIM_ROUNDS: f64 = 2.0;
/// Jobs that failed again and again go behind all others, for so long: it may
/// be that they are well, and that nothing else ever leaves them room.
const SUSPECT_BAND: i32 = -1;
const PROBE_BEHIND: Ms = 180_000;
/// For so long such a job waits for room before a machine is rented for it.
const PROBE_WAIT: Ms = 60_000;

impl Shard {
    /// Runs a round if one is due.
    pub(crate) fn round(&mut self, ctx: &mut Context, view: &ClusterView) {
        if ctx.now < self.next_round_at {
            return;
        }
        let _span = tracing::debug_span!("round").entered();
        self.last_round_at = ctx.now;
        self.next_round_at = ctx.now + crate::ms(ctx.config.ops.round_s);
        let usable: Vec<MachineId> = self
            .machines
            .values()
            .filter(|m| is_usable(m, ctx))
            .map(|m| m.id.clone())
            .collect();
        let mut hosts: Vec<Host> = usable.iter().map(|id| host(&self.machines[id])).collect();
        self.reserve_members(ctx, &usable, &mut hosts);
        let (ids, mut wants) = self.pending_tasks(ctx, &usable);
        let mut quotas = self.quotas.clone();
        let weights = ctx.config.ops.weights;
        let mut placed = run_round(&mut wants, &mut hosts, &mut quotas, &weights);
        self.note_misses(ctx, &ids, &wants);
        placed.extend(self.reclaim_members(ctx, &ids, &mut wants, &mut hosts, &mut quotas));
        self.note_lacking_room(ctx.now, &ids, &wants);
        let mut attempts: BTreeMap<usize, u64> = BTreeMap::new();
        let mut tried = BTreeSet::new();
        for p in &placed {
            let id = &ids[p.job];
            // One that may be faulty is tried with one task at a time.
            if self.quarantined_machines(&usable[p.host]) && !tried.insert(p.host) {
                continue;
            }
            let Some(job) = self.jobs.get_mut(id) else {
                continue;
            };
            let attempt = if job.is_gang() {
                *attempts
                    .entry(p.job)
                    .or_insert_with(|| job.next_gang_attempt())
            } else {
                job.next_attempt(p.task)
            };
            let block = job.block_of(p.task);
            let version = job.mark_block_changed(block);
            let binding = Binding {
                machine: usable[p.host].clone(),
                attempt,
                version,
                start: StartState::NotSent,
                stage: None,
                stop: None,
                since: ctx.now,
                running_since: None,
            };
            self.bind(id, p.task, binding);
            self.unwritten_jobs.touch(id);
        }
        self.protect_other_machines(ctx, &ids, &mut wants);
        self.preempt(ctx, &ids, &wants, &usable, &quotas);
        self.reclaim(ctx, &wants, &usable, &quotas);
        self.compute_unmet_demand(ctx, view, &usable, hosts, wants, quotas);
    }

    /// Notes for which jobs that waited long machines are all that is lacking.
    fn note_lacking_room(&mut self, now: Ms, ids: &[JobId], wants: &[PendingTasks]) {
        let lacking = ids.iter().zip(wants).filter(|(_, w)| w.lacks_room);
        for (id, _) in lacking {
            if let Some(job) = self.jobs.get_mut(id) {
                job.lacking_room_since.get_or_insert(now);
            }
        }
    }

    /// The zone of every machine.
    pub(crate) fn zones(&self) -> BTreeMap<MachineId, u16> {
        let machines = self.machines.values();
        machines.map(|m| (m.id.clone(), m.zone)).collect()
    }

    /// What services hold of each team's quota.
    fn lasting(&self) -> Vec<Resources> {
        let mut lasting = vec![Resources::default(); self.quotas.len()];
        for job in self.jobs.values() {
            if let (JobKind::Service, Some(team)) = (job.spec.kind, self.teams.get(&job.spec.team))
            {
                lasting[*team] += job.task.times(job.bound.len() as i64);
            }
        }
        lasting
    }

    /// What waits, as a round sees it, with the jobs that it is of.
    fn pending_tasks(
        &mut self,
        ctx: &mut Context,
        usable: &[MachineId],
    ) -> (Vec<JobId>, Vec<PendingTasks>) {
        let facts = self.round_facts(ctx, usable);
        let mut ids = Vec::new();
        let mut all = Vec::new();
        for (id, job) in &self.jobs {
            if let Some(pending) = self.pending_tasks_of_job(ctx, job, &facts) {
                all.push(pending);
                ids.push(id.clone());
            }
        }
        (ids, all)
    }

    fn round_facts<'a>(&self, ctx: &Context, usable: &'a [MachineId]) -> RoundFacts<'a> {
        let on_probation = |i: &usize| self.quarantined_machines(&usable[*i]);
        let probation: Vec<usize> = (0..usable.len()).filter(on_probation).collect();
        let is_new = |i: &&usize| self.newly_quarantined(ctx, &usable[**i]);
        let is_tried = |i: &&usize| self.is_tried(ctx, &usable[**i]);
        RoundFacts {
            usable,
            zones: self.zones(),
            boot_ms: self.boot_ms(),
            lasting: self.lasting(),
            newly_quarantined: probation.iter().filter(is_new).copied().collect(),
            not_retried: probation.iter().filter(|i| !is_tried(i)).copied().collect(),
        }
    }

    /// The tasks of a job that wait for a place, if it has any.
    fn pending_tasks_of_job(
        &self,
        ctx: &mut Context,
        job: &Job,
        facts: &RoundFacts,
    ) -> Option<PendingTasks> {
        if ctx.now < job.not_before || job.is_blocked() {
            return None;
        }
        // Most jobs wait for nothing.
        if job.bound.len() + job.done.len() as usize >= job.spec.tasks as usize {
            return None;
        }
        let gang = job.is_gang();
        // One that failed again and again, with all of its tasks at once,
        // once took a fleet's room and its rentals.
        let probed = job.failures.is_limited_to_one_task();
        let most = ctx.config.bounds.tasks_a_round;
        let mut waiting = job.waiting(if gang { usize::MAX } else { most });
        if probed && !gang {
            waiting.truncate(1);
        }
        // What is left of a gang's last attempt must be gone first.
        if waiting.is_empty() || (gang && !job.bound.is_empty()) {
            return None;
        }
        let team = *self.teams.get(&job.spec.team)?;
        let mut pending = pending_tasks_of(ctx, job, team, &facts.zones);
        if probed && job.is_trying(ctx.now, ctx.config.report_ms) {
            return None;
        }
        let behind = probed && ctx.now < job.not_before + PROBE_BEHIND;
        let aged = !behind && is_aged(job, ctx.now, facts.boot_ms);
        // Kept free for it, the quota must come free some day: what services
        // hold does not. A whole team once waited for one job in vain.
        let at_once = if gang { waiting.len() as i64 } else { 1 };
        let need = facts.lasting[team] + job.task.times(at_once);
        let reserves = aged && self.quotas[team].could_allow(&need, 1);
        pending.reservation = match reserves {
            true if job.may_keep_quota(ctx.now, facts.boot_ms) => Reservation::RoomAndQuota,
            true => Reservation::Room,
            false => Reservation::None,
        };
        let guaranteed = self.quotas[team].guarantees(&job.task.times(waiting.len() as i64));
        pending.band = match behind {
            true => SUSPECT_BAND,
            false => band(job, guaranteed, aged),
        };
        let is_late = job.age(ctx.now) > crate::ms(ctx.config.ops.round_s * RECLAIM_ROUNDS);
        let from_guests = ctx.config.has_guests && (guaranteed || job.priority() >= Priority::High);
        let from_pools = ctx.has_pools() && guaranteed;
        let reclaims = !probed && (from_guests || from_pools);
        pending.reclaim = match reclaims {
            true if is_late => Reclaim::TasksAndMachines,
            true => Reclaim::Tasks,
            false => Reclaim::Nothing,
        };
        pending.standing = self.is_running_service(ctx, job, facts.boot_ms);
        if aged {
            pending.waited_s = job.waiting_for(ctx.now) as f64 / 1000.0;
        }
        pending.waiting = waiting;
        pending.avoid = hosts_to_avoid(ctx, job, facts);
        Some(pending)
    }

    /// Whether a machine may be faulty.
    fn quarantined_machines(&self, id: &MachineId) -> bool {
        let machine = self.machines.get(id);
        machine.is_some_and(|m| m.failures.is_quarantined())
    }

    /// Whether it is, since less than a boot ago. For no longer: it may be well,
    /// and another may never come.
    pub(crate) fn newly_quarantined(&self, ctx: &Context, id: &MachineId) -> bool {
        let machine = self.machines.get(id);
        machine.is_some_and(|m| {
            m.failures.is_quarantined() && m.failures.is_recent(ctx.now, m.boot_ms)
        })
    }

    /// Whether a machine on probation may be tried with one more task now.
    fn is_tried(&self, ctx: &Context, id: &MachineId) -> bool {
        let starts = |task: &TaskRef| {
            let job = self.jobs.get(&task.job);
            let binding = job.and_then(|j| j.bound.get(&task.index));
            binding.is_some_and(|b| b.running_since.is_none())
        };
        let machine = self.machines.get(id);
        machine.is_some_and(|m| {
            m.failures
                .is_tried(ctx.now, ctx.config.report_ms, m.boot_ms)
                && !m.tasks.iter().any(starts)
        })
    }

    /// A job that failed again and again waits for room on machines that are
    /// there: nothing is stopped or rented for it, unless there is none for it,
    /// or it has waited for long.
    fn protect_other_machines(&self, ctx: &Context, ids: &[JobId], wants: &mut [PendingTasks]) {
        for (id, want) in ids.iter().zip(wants) {
            let probed = self.jobs.get(id).is_some_and(|j| {
                j.failures.is_limited_to_one_task() && ctx.now < j.not_before + PROBE_WAIT
            });
            let fits = |m: &Machine| {
                m.decommission_reason.is_none()
                    && want.allowed(m.machine_type, m.zone, m.spot)
                    && want.task.fits(&m.total)
            };
            if probed && self.machines.values().any(fits) {
                want.waiting.clear();
            }
        }
    }
}

/// What holds for all jobs of a round.
struct RoundFacts<'a> {
    /// Machines on which tasks may be placed; hosts are named by their places here.
    usable: &'a [MachineId],
    /// The zone of every machine.
    zones: BTreeMap<MachineId, u16>,
    /// The longest boot of the shard's machines.
    boot_ms: Ms,
    /// What services hold of each team's quota.
    lasting: Vec<Resources>,
    /// Hosts that have been on probation for less than a boot.
    newly_quarantined: Vec<usize>,
    /// Hosts on probation that are not to be tried now.
    not_retried: Vec<usize>,
}

/// Hosts that a job is kept away from.
fn hosts_to_avoid(ctx: &Context, job: &Job, facts: &RoundFacts) -> BTreeSet<usize> {
    let avoided = job.failures.excluded_machines(ctx.now, facts.boot_ms);
    let place = |m: &MachineId| facts.usable.iter().position(|u| u == m);
    let mut hosts: BTreeSet<usize> = avoided.filter_map(place).collect();
    hosts.extend(&facts.not_retried);
    if job.is_gang() || job.failures.is_suspect() {
        hosts.extend(&facts.newly_quarantined);
    }
    hosts
}

/// A job as a round sees it, with no tasks that wait.
pub(crate) fn pending_tasks_of(
    ctx: &mut Context,
    job: &Job,
    team: usize,
    zones: &BTreeMap<MachineId, u16>,
) -> PendingTasks {
    let spec = &job.spec;
    let mut at: BTreeMap<u16, u32> = BTreeMap::new();
    for binding in job.bound.values() {
        if let Some(zone) = zones.get(&binding.machine) {
            *at.entry(*zone).or_default() += 1;
        }
    }
    PendingTasks {
        task: job.task,
        band: 0,
        waited_s: 0.0,
        reservation: Reservation::None,
        reclaim: Reclaim::Nothing,
        standing: Standing::Ordinary,
        lacks_room: false,
        waiting: Vec::new(),
        total: spec.tasks,
        gang: job.is_gang(),
        estimate: spec.estimate_s,
        team,
        image: job.image,
        image_gb: spec.image_gb,
        types: names(ctx, spec.types.as_deref()),
        zone: spec.zone.as_ref().map(|z| ctx.places.number(z)),
        one_zone: spec.one_zone,
        spread: spec.spread,
        spot: spec.spot,
        zones: at,
        avoid: BTreeSet::new(),
        reservations: open_reservations(ctx, &spec.team, &spec.image),
    }
}

pub(crate) fn names(ctx: &mut Context, types: Option<&[String]>) -> Option<Vec<u16>> {
    types.map(|t| t.iter().map(|name| ctx.places.number(name)).collect())
}

/// Whether a job has waited for so long that it goes before all others.
fn is_aged(job: &Job, now: Ms, boot_ms: Ms) -> bool {
    job.spec.kind != JobKind::Service
        && job.bound.is_empty()
        && boot_ms > 0
        && job.waiting_for(now) as f64 > AGED_BOOTS * boot_ms as f64
}

/// Priority, the guarantee, and for how long a job has waited.
fn band(job: &Job, guaranteed: bool, aged: bool) -> i32 {
    let priority = match job.priority() {
        Priority::Low => 0,
        Priority::Normal => 1,
        Priority::High => 2,
        Priority::Production => 3,
    };
    priority + if guaranteed { 4 } else { 0 } + if aged { 8 } else { 0 }
}

/// Whether tasks may be placed on a machine.
pub(crate) fn is_usable(m: &Machine, ctx: &Context) -> bool {
    m.has_recent_heartbeat(ctx)
        && m.decommission_reason.is_none()
        && !m.is_draining
        && m.transfer_version.is_none()
        && !m.is_vacating
        && m.reclaimed_at.is_none()
        && m.is_confirmed()
        && !m.has_unanswered_call
        && m.link.accepts_starts()
        && !m.has_missed_heartbeats(ctx)
        && ctx.now >= m.full_until
}

pub(crate) fn host(m: &Machine) -> Host {
    Host {
        free: m.free(),
        total: m.total,
        machine_type: m.machine_type,
        zone: m.zone,
        spot: m.spot,
        price: m.price,
        fetch_rate: m.fetch_rate,
        images: m.images.iter().map(|(i, _)| *i).collect(),
        held: false,
        delay: 0.0,
        reserved_for: None,
    }
}
