//! Rounds of a share: places waiting tasks, and computes the unmet demand.

use crate::context::{Context, Pending};
use crate::job::{Binding, Job, Sent};
use crate::machine::Machine;
use crate::records::{demand_key, share_key, total_of, DemandRecord, ShapeRecord};
use crate::share::Share;
use crate::store::Urgency;
use crate::view::View;
use crate::Ms;
use forkshift_sched::{run_round, Host, PendingTasks, Quota, Resources, Shortfall};
use forkshift_wire::peer::Body;
use forkshift_wire::state::{Cond, Txn, Write};
use forkshift_wire::users::{JobKind, Priority};
use forkshift_wire::{JobId, MachineId, TaskRef};
use serde_json::to_value;
use std::collections::{BTreeMap, BTreeSet};

/// Most tasks of one job that a round places.
const TASKS_A_ROUND: usize = 256;
/// Most shapes in the unmet demand of a share.
const SHAPES_MOST: usize = 24;
/// A running task that should end within this many boots leaves a spare place.
const SOON_BOOTS: f64 = 0.8;
/// A machine that is not up after this many boots is not waited for.
const OVERDUE_BOOTS: f64 = 1.5;
/// Jobs that waited this many boots go before all others, so that large ones
/// do not starve.
const AGED_BOOTS: f64 = 2.0;

/// A job reclaims machines of other shares after it has waited this many
/// rounds: by then its own share has no room for it.
const RECLAIM_ROUNDS: f64 = 2.0;
/// Jobs that failed again and again go behind all others, for so long: it may
/// be that they are well, and that nothing else ever leaves them room.
const PROBE_BAND: i32 = -1;
const PROBE_BEHIND: Ms = 180_000;
/// For so long such a job waits for room before a machine is rented for it.
const PROBE_WAIT: Ms = 60_000;

/// The part of the changes at the state service that goes into records of unmet demand.
const DEMAND_PART: f64 = 0.05;

impl Share {
    /// Runs a round if one is due.
    pub(crate) fn round(&mut self, ctx: &mut Context, view: &View) {
        if ctx.now < self.next_round {
            return;
        }
        self.last_round = ctx.now;
        self.next_round = ctx.now + crate::ms(ctx.cfg.ops.round_s);
        let usable: Vec<MachineId> = self
            .machines
            .values()
            .filter(|m| is_usable(m, ctx))
            .map(|m| m.id.clone())
            .collect();
        let mut hosts: Vec<Host> = usable.iter().map(|id| host(&self.machines[id])).collect();
        let (ids, mut wants) = self.wants(ctx, &usable);
        let mut quotas = self.quotas.clone();
        let weights = ctx.cfg.ops.weights;
        let placed = run_round(&mut wants, &mut hosts, &mut quotas, &weights);
        self.note_lacking_room(ctx.now, &ids, &wants);
        let mut attempts: BTreeMap<usize, u64> = BTreeMap::new();
        let mut tried = BTreeSet::new();
        for p in &placed {
            let id = &ids[p.job];
            // One that may be faulty is tried with one task at a time.
            if self.on_probation(&usable[p.host]) && !tried.insert(p.host) {
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
            let version = job.touch(block);
            let binding = Binding {
                machine: usable[p.host].clone(),
                attempt,
                version,
                sent: Sent::No,
                stage: None,
                stop: None,
                since: ctx.now,
                running_since: None,
            };
            self.bind(id, p.task, binding);
            self.dirty.touch(id);
        }
        self.spare_others(ctx, &ids, &mut wants);
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

    /// What waits, as a round sees it.
    fn wants(
        &mut self,
        ctx: &mut Context,
        usable: &[MachineId],
    ) -> (Vec<JobId>, Vec<PendingTasks>) {
        let zones = self.zones();
        let boot_ms = self.boot_ms();
        let lasting = self.lasting();
        let on_probation = |i: &usize| self.on_probation(&usable[*i]);
        let probation: Vec<usize> = (0..usable.len()).filter(on_probation).collect();
        let is_new = |i: &&usize| self.newly_on_probation(ctx, &usable[**i]);
        let new_on_it: Vec<usize> = probation.iter().filter(is_new).copied().collect();
        let is_tried = |i: &&usize| self.is_tried(ctx, &usable[**i]);
        let not_tried: Vec<usize> = probation.iter().filter(|i| !is_tried(i)).copied().collect();
        let mut ids = Vec::new();
        let mut wants = Vec::new();
        for (id, job) in &self.jobs {
            if ctx.now < job.not_before || job.is_blocked() {
                continue;
            }
            // Most jobs wait for nothing.
            if job.bound.len() + job.done.len() as usize >= job.spec.tasks as usize {
                continue;
            }
            let gang = job.is_gang();
            // One that failed again and again, with all of its tasks at once,
            // once took a fleet's room and its rentals.
            let probed = job.failures.is_probed();
            let mut waiting = job.waiting(if gang { usize::MAX } else { TASKS_A_ROUND });
            if probed && !gang {
                waiting.truncate(1);
            }
            // What is left of a gang's last attempt must be gone first.
            if waiting.is_empty() || (gang && !job.bound.is_empty()) {
                continue;
            }
            let Some(&team) = self.teams.get(&job.spec.team) else {
                continue;
            };
            let mut want = pending_tasks_of(ctx, job, team, &zones);
            if probed && job.is_trying(ctx.now, ctx.cfg.report_ms) {
                continue;
            }
            let behind = probed && ctx.now < job.not_before + PROBE_BEHIND;
            let aged = !behind && is_aged(job, ctx.now, boot_ms);
            // Kept free for it, the quota must come free some day: what services
            // hold does not. A whole team once waited for one job in vain.
            let at_once = if gang { waiting.len() as i64 } else { 1 };
            let need = lasting[team] + job.task.times(at_once);
            want.reserves = aged && self.quotas[team].could_allow(&need, 1);
            let guaranteed = self.quotas[team].guarantees(&job.task.times(waiting.len() as i64));
            want.band = match behind {
                true => PROBE_BAND,
                false => band(job, guaranteed, aged),
            };
            let is_late = job.age(ctx.now) > crate::ms(ctx.cfg.ops.round_s * RECLAIM_ROUNDS);
            want.reclaims =
                ctx.cfg.has_guests && !probed && (guaranteed || job.priority() >= Priority::High);
            want.reclaims_machines = want.reclaims && is_late;
            want.is_guest_work = self.is_guest_work(ctx, job);
            want.borrows = self.is_patient(ctx, job);
            if aged {
                want.waited_s = job.waiting_for(ctx.now) as f64 / 1000.0;
            }
            want.keeps_quota = want.reserves && job.may_keep_quota(ctx.now, boot_ms);
            want.waiting = waiting;
            let avoided = job.failures.avoided(ctx.now, boot_ms);
            want.avoid = avoided
                .filter_map(|m| usable.iter().position(|u| u == m))
                .collect();
            want.avoid.extend(&not_tried);
            if gang || job.failures.is_suspect() {
                want.avoid.extend(&new_on_it);
            }
            wants.push(want);
            ids.push(id.clone());
        }
        (ids, wants)
    }

    /// Whether a machine may be faulty.
    fn on_probation(&self, id: &MachineId) -> bool {
        let machine = self.machines.get(id);
        machine.is_some_and(|m| m.failures.on_probation())
    }

    /// Whether it is, since less than a boot ago. For no longer: it may be well,
    /// and another may never come.
    fn newly_on_probation(&self, ctx: &Context, id: &MachineId) -> bool {
        let machine = self.machines.get(id);
        machine
            .is_some_and(|m| m.failures.on_probation() && m.failures.is_recent(ctx.now, m.boot_ms))
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
            m.failures.is_tried(ctx.now, ctx.cfg.report_ms, m.boot_ms)
                && !m.tasks.iter().any(starts)
        })
    }

    /// A job that failed again and again waits for room on machines that are
    /// there: nothing is stopped or rented for it, unless there is none for it,
    /// or it has waited for long.
    fn spare_others(&self, ctx: &Context, ids: &[JobId], wants: &mut [PendingTasks]) {
        for (id, want) in ids.iter().zip(wants) {
            let probed = self
                .jobs
                .get(id)
                .is_some_and(|j| j.failures.is_probed() && ctx.now < j.not_before + PROBE_WAIT);
            let fits = |m: &Machine| {
                m.condemned.is_none()
                    && want.allowed(m.machine_type, m.zone, m.spot)
                    && want.task.fits(&m.total)
            };
            if probed && self.machines.values().any(fits) {
                want.waiting.clear();
            }
        }
    }

    /// Books what found no room on machines that are still to come; what is
    /// left then, and spare places, are the share's unmet demand.
    fn compute_unmet_demand(
        &mut self,
        ctx: &mut Context,
        view: &View,
        usable: &[MachineId],
        mut hosts: Vec<Host>,
        mut wants: Vec<PendingTasks>,
        mut quotas: Vec<Quota>,
    ) {
        wants.sort_by(PendingTasks::by_claim);
        for (id, host) in usable.iter().zip(&mut hosts) {
            host.held = false;
            // It is tried with little, and may be given up.
            if self.newly_on_probation(ctx, id) {
                host.free = Resources::default();
            }
        }
        let now = self.shapes_of(ctx, view, &wants, &mut quotas.clone());
        // What guest teams use here counts as room for all others: it can be
        // reclaimed at once. Their tasks fill spare places as soon as these are
        // free; when they counted as taken, machine after machine was rented.
        let (mut guests, mut wants): (Vec<PendingTasks>, Vec<PendingTasks>) =
            wants.into_iter().partition(|w| w.is_guest_work);
        let reclaimable: Vec<Resources> = usable
            .iter()
            .map(|id| self.reclaimable_on(ctx, id))
            .collect();
        for (host, more) in hosts.iter_mut().zip(&reclaimable) {
            host.free += *more;
        }
        let mut draining = Vec::new();
        for machine in self.machines.values() {
            if machine.draining {
                draining.push(machine.id.clone());
                hosts.push(host(machine));
            }
        }
        for machine in self.machines.values() {
            // One that is overdue may come much later, or never.
            let overdue = (machine.boot_ms as f64 * OVERDUE_BOOTS) as Ms;
            let due = ctx.now < machine.since + overdue;
            if machine.heard.is_none() && machine.condemned.is_none() && due {
                hosts.push(coming(machine.total, machine, ctx.now));
            }
        }
        self.push_rental_intents(ctx, view, &mut hosts);
        for want in &mut wants {
            want.avoid.clear();
        }
        let weights = ctx.cfg.ops.weights;
        let booked = run_round(&mut wants, &mut hosts, &mut quotas, &weights);
        for (i, id) in draining.iter().enumerate() {
            // What is needed again is not drained any further.
            if booked.iter().any(|b| b.host == usable.len() + i) {
                self.stop_draining(id);
            }
        }
        wants.sort_by(PendingTasks::by_claim);
        let mut shapes = self.shapes_of(ctx, view, &wants, &mut quotas);
        let mut soon = hosts.clone();
        for (id, host) in usable.iter().zip(&mut soon) {
            host.free += self.free_soon(ctx, id);
        }
        let spare = self.spare(ctx, &mut soon);
        for (host, after) in hosts.iter_mut().zip(&soon) {
            host.free = host.free.least(&after.free);
        }
        shapes.extend(spare);
        self.drain_guests(ctx, usable, &hosts);
        for (host, more) in hosts.iter_mut().zip(&reclaimable) {
            host.free = host.free.saturating_sub(more);
        }
        run_round(&mut guests, &mut hosts, &mut quotas, &weights);
        shapes.extend(self.shapes_of(ctx, view, &guests, &mut quotas));
        shapes.truncate(SHAPES_MOST);
        self.note_idle(ctx, usable, &hosts);
        // A missing spare place fits on no machine that is here, or it
        // would have been booked there; only what waits speaks against it.
        if shapes.iter().all(|s| s.spare || s.borrows) {
            hosts.truncate(usable.len());
            self.drain(ctx, view, usable, &mut hosts);
        }
        let empty = usable.iter().filter_map(|id| self.machines.get(id));
        let empty = empty.filter(|m| m.tasks.is_empty() && !m.calling && m.exited.is_empty());
        let (surplus, free): (Vec<&Machine>, Vec<&Machine>) =
            empty.partition(|m| m.idle_since.is_some());
        let ids = |list: Vec<&Machine>| list.into_iter().map(|m| m.id.clone()).collect();
        let rec = DemandRecord {
            rev: view.revision,
            shapes,
            now,
            free: ids(free),
            surplus: ids(surplus),
            borrowed: self.borrowed_machines(ctx, usable),
        };
        self.show_demand(ctx, view, rec);
    }

    /// The tasks that wait, as shapes, as far as the quotas allow.
    fn shapes_of(
        &self,
        ctx: &mut Context,
        view: &View,
        wants: &[PendingTasks],
        quotas: &mut [Quota],
    ) -> Vec<ShapeRecord> {
        let mut shapes: Vec<ShapeRecord> = Vec::new();
        let names: BTreeMap<u16, String> = type_names(ctx, view);
        let zone_names: BTreeMap<u16, String> = view
            .zones()
            .into_iter()
            .map(|z| (ctx.intern(z) as u16, z.to_owned()))
            .collect();
        let mut held: BTreeMap<usize, Shortfall> = BTreeMap::new();
        for want in wants {
            // What a round keeps from being placed needs no machine either.
            if held.get(&want.team).is_some_and(|s| s.concerns(&want.task)) {
                continue;
            }
            if want.reserves && !want.waiting.is_empty() {
                let short = held.entry(want.team).or_default();
                *short = short.or(&quotas[want.team].shortfall(&want.task));
            }
            let mut n = 0;
            while n < want.waiting.len() && quotas[want.team].allows(&want.task) {
                quotas[want.team].used += want.task;
                n += 1;
            }
            if n == 0 || (want.gang && n < want.waiting.len()) {
                continue;
            }
            let allowed = zone_names.iter().filter(|(z, _)| want.zone_allowed(**z));
            let allowed: Vec<String> = allowed.map(|(_, name)| name.clone()).collect();
            let types = want.types.as_ref();
            add_shape(
                &mut shapes,
                ShapeRecord {
                    res: (want.task.cpus, want.task.gpus, want.task.memory),
                    n: n as u32,
                    types: types.map(|t| t.iter().filter_map(|t| names.get(t).cloned()).collect()),
                    zones: (allowed.len() < zone_names.len()).then_some(allowed),
                    spot: want.spot,
                    spare: false,
                    reclaims: want.reclaims_machines,
                    borrows: want.borrows,
                },
            );
        }
        shapes.truncate(SHAPES_MOST);
        shapes
    }

    fn push_rental_intents(&self, ctx: &mut Context, view: &View, hosts: &mut Vec<Host>) {
        for intent in view.rental_intents.values().map(|c| &c.rec) {
            let Some(of_type) = view.types.get(&intent.machine_type) else {
                continue;
            };
            let left = intent.in_turn().into_iter().skip(intent.placed as usize);
            let t = &of_type.rec;
            for _ in left.filter(|k| *k == self.id) {
                hosts.push(Host {
                    free: total_of(t),
                    total: total_of(t),
                    machine_type: ctx.intern(&intent.machine_type) as u16,
                    zone: ctx.intern(&intent.zone) as u16,
                    spot: intent.spot,
                    price: t.price / 3600.0,
                    fetch_rate: t.fetch_gb_per_s,
                    images: BTreeSet::new(),
                    held: false,
                    delay: t.boot_s,
                });
            }
        }
    }

    /// Books spare places for classes whose tasks must start sooner than a
    /// machine boots, and returns those that found none.
    fn spare(&mut self, ctx: &mut Context, hosts: &mut [Host]) -> Vec<ShapeRecord> {
        let boot_s = self.boot_ms() as f64 / 1000.0;
        let mut missing = Vec::new();
        let now = ctx.now;
        let factor = ctx.cfg.ops.spare;
        if self.counting_since.is_none() && self.machines.values().any(|m| m.heard.is_some()) {
            self.counting_since = Some(now);
        }
        let elapsed = self.counting_since.map_or(0, |t| now - t);
        let mut classes: Vec<(f64, ShapeRecord, f64)> = Vec::new();
        for (class, stats) in &mut self.classes {
            let Some(wait) = ctx.cfg.waits.get(class) else {
                continue;
            };
            if *wait < boot_s {
                classes.push((*wait, stats.last.clone(), stats.rate(now, elapsed)));
            }
        }
        classes.sort_by(|a, b| a.0.total_cmp(&b.0));
        for (_, shape, rate) in classes {
            let arrive = rate * boot_s * factor;
            let target = (arrive + arrive.sqrt() * factor.min(1.0)).ceil() as u32;
            let task = shape.resources();
            let types = names(ctx, shape.types.as_deref());
            let mut left = target;
            for host in hosts.iter_mut() {
                let allowed = (shape.spot || !host.spot)
                    && types
                        .as_ref()
                        .is_none_or(|t| t.contains(&host.machine_type));
                while left > 0 && allowed && task.fits(&host.free) {
                    host.free -= task;
                    left -= 1;
                }
            }
            if left > 0 {
                add_shape(&mut missing, ShapeRecord { n: left, ..shape });
            }
        }
        missing
    }

    /// What will be free on a machine before another could be up, as far as
    /// estimates tell: it serves as spare as well as a new machine would.
    fn free_soon(&self, ctx: &Context, id: &MachineId) -> Resources {
        let Some(machine) = self.machines.get(id) else {
            return Resources::default();
        };
        let by = ctx.now + (machine.boot_ms as f64 * SOON_BOOTS) as Ms;
        let ends = |task: &&TaskRef| {
            let job = self.jobs.get(&task.job)?;
            let binding = job.bound.get(&task.index)?;
            let end = binding.running_since? + crate::ms(job.spec.estimate_s);
            let ends_soon = job.spec.kind != JobKind::Service && end < by;
            (ends_soon && !self.is_reclaimable(ctx, job, binding)).then_some(job.task)
        };
        let tasks = machine.tasks.iter();
        tasks
            .filter_map(|t| ends(&t))
            .fold(Resources::default(), |sum, r| sum + r)
    }

    /// Notes since when a machine has been of no use.
    fn note_idle(&mut self, ctx: &Context, usable: &[MachineId], hosts: &[Host]) {
        for machine in self.machines.values_mut().filter(|m| m.draining) {
            if machine.note_empty(machine.tasks.is_empty(), ctx.now) {
                self.look.touch(&machine.id);
            }
        }
        for (id, host) in usable.iter().zip(hosts) {
            let Some(machine) = self.machines.get_mut(id) else {
                continue;
            };
            let empty = machine.tasks.is_empty() && host.free == machine.total;
            if machine.note_empty(empty, ctx.now) {
                self.look.touch(id);
            }
        }
    }

    /// Tells the leader the unmet demand, whenever that changes, and now and
    /// then that it has not.
    fn tell_demand(&mut self, ctx: &mut Context, view: &View, rec: &DemandRecord) {
        let Some(leader) = view.leader.as_ref().map(|l| l.rec.clone()) else {
            return;
        };
        let refresh = crate::ms(ctx.cfg.ops.round_s);
        if rec.is_like(&self.told) && ctx.now < self.told_at + refresh {
            return;
        }
        self.told = rec.clone();
        self.told_at = ctx.now;
        if leader.node == ctx.cfg.node {
            ctx.unmet_demand.push((self.id, self.epoch, rec.clone()));
            return;
        }
        let body = Body::Demand {
            share: self.id.0,
            demand: serde_json::to_string(rec).unwrap_or_default(),
        };
        ctx.tell(&leader.node, self.epoch, body);
    }

    fn show_demand(&mut self, ctx: &mut Context, view: &View, rec: DemandRecord) {
        self.tell_demand(ctx, view, &rec);
        // The record is for a leader that our messages do not reach.
        let shares = f64::from(ctx.cfg.shares());
        let pause = crate::ms(shares / (ctx.limits.write_rps * DEMAND_PART)).max(1_500);
        let unseen = self.demand_putting || view.revision < self.demand_from;
        if unseen || ctx.now < self.demand_at + pause {
            return;
        }
        let rec = rec.cut_to(ctx.limits.value_bytes);
        let none = DemandRecord::default();
        let shown = view.demands.get(&self.id).map_or(&none, |d| &d.rec);
        let stale = !rec.shapes.is_empty() && shown.rev < view.revision;
        let changed = !rec.is_like(shown);
        if !(changed || stale) {
            return;
        }
        self.demand_putting = true;
        self.demand_at = ctx.now;
        log::debug!(
            "share {}: unmet demand {:?}, {:?} wait now",
            self.id,
            rec.shapes,
            rec.now
        );
        let txn = Txn {
            conds: vec![Cond {
                key: share_key(self.id),
                version: self.version,
            }],
            writes: vec![Write::put(
                demand_key(self.id),
                to_value(rec).unwrap_or_default(),
            )],
        };
        let share = self.id;
        ctx.txn(Urgency::Later, &txn, Pending::Demand { share });
    }
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
        reserves: false,
        reclaims: false,
        reclaims_machines: false,
        is_guest_work: false,
        borrows: false,
        keeps_quota: false,
        lacks_room: false,
        waiting: Vec::new(),
        total: spec.tasks,
        gang: job.is_gang(),
        estimate: spec.estimate_s,
        team,
        image: job.image,
        image_gb: spec.image_gb,
        types: names(ctx, spec.types.as_deref()),
        zone: spec.zone.as_ref().map(|z| ctx.intern(z) as u16),
        one_zone: spec.one_zone,
        spread: spec.spread,
        spot: spec.spot,
        zones: at,
        avoid: BTreeSet::new(),
    }
}

fn add_shape(shapes: &mut Vec<ShapeRecord>, shape: ShapeRecord) {
    let same = |s: &&mut ShapeRecord| {
        s.res == shape.res
            && s.types == shape.types
            && s.zones == shape.zones
            && s.spot == shape.spot
            && s.reclaims == shape.reclaims
            && s.borrows == shape.borrows
    };
    match shapes.iter_mut().find(same) {
        Some(known) => known.n += shape.n,
        None => shapes.push(shape),
    }
}

pub(crate) fn names(ctx: &mut Context, types: Option<&[String]>) -> Option<Vec<u16>> {
    types.map(|t| t.iter().map(|name| ctx.intern(name) as u16).collect())
}

fn type_names(ctx: &mut Context, view: &View) -> BTreeMap<u16, String> {
    let types = view.types.keys();
    types.map(|t| (ctx.intern(t) as u16, t.clone())).collect()
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
    m.is_heard(ctx)
        && m.condemned.is_none()
        && !m.draining
        && m.leaving.is_none()
        && !m.vacating
        && m.taken_at.is_none()
        && m.is_confirmed()
        && !m.unanswered
        && ctx.now >= m.full_until
}

fn host(m: &Machine) -> Host {
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
    }
}

fn coming(free: Resources, m: &Machine, now: Ms) -> Host {
    let left = m.boot_ms.saturating_sub(now.saturating_sub(m.since));
    Host {
        free,
        delay: left as f64 / 1000.0,
        ..host(m)
    }
}
