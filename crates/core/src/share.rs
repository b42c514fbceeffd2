//! A share that this controller holds: its jobs and its machines.

use crate::agenda::Agenda;
use crate::ctx::{is_watch_lost, Ctx, Pending, Reply};
use crate::job::{Binding, Job, Sent, Stop};
use crate::machine::Machine;
use crate::records::{
    live_prefix, machine_key, node_key, share_key, total_of, BlockRec, DemandRec, HeadRec,
    MachineRec, ShapeRec, ShareId, ShareRec, EPOCH,
};
use crate::store::Urgency;
use crate::view::{Changed, View};
use crate::Ms;
use forkshift_sched::{Quota, Resources};
use forkshift_wire::state::{Change, Changes, Cond, Item, Page, Txn, Write};
use forkshift_wire::users::JobSpec;
use forkshift_wire::{JobId, MachineId, NodeName, TaskRef};
use serde_json::{from_value, to_value, Value};
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// The part of the requests to the state service that goes into watches on
/// shares' jobs.
const WATCH_PART: f64 = 0.1;
/// Least pause between two of them.
const WATCH_GAP: Ms = 200;
/// Pause before its jobs are read again: without one, a controller that was
/// refused while it took a share over asked as fast as it was answered.
const LIST_PAUSE: Ms = 200;
/// A token is an epoch above a counter of this many bits.
pub(crate) const TOKEN_BITS: u32 = 24;

/// How far a share is.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) enum Phase {
    /// Its jobs are being read.
    Loading,
    /// Its jobs are read as of a revision that the view has not reached.
    Waiting(u64),
    /// In use.
    Active,
}

/// What is known of the arrivals of a class.
#[derive(Clone, Debug)]
pub(crate) struct ClassStats {
    /// Tasks, fading out.
    weight: f64,
    at: Ms,
    pub(crate) last: ShapeRec,
}

/// A share that this controller holds.
pub(crate) struct Share {
    pub(crate) id: ShareId,
    pub(crate) epoch: u64,
    /// Version of its record.
    pub(crate) version: u64,
    pub(crate) phase: Phase,
    /// Since when it is in use.
    pub(crate) active_since: Ms,
    pub(crate) jobs: BTreeMap<JobId, Job>,
    pub(crate) machines: BTreeMap<MachineId, Machine>,
    pub(crate) teams: BTreeMap<String, usize>,
    pub(crate) quotas: Vec<Quota>,
    /// Machines to be looked at.
    pub(crate) look: Agenda<MachineId>,
    /// Jobs that may have to be written.
    pub(crate) dirty: Agenda<JobId>,
    /// Jobs of which mere progress is to be written, once a round.
    pub(crate) progress: BTreeSet<JobId>,
    /// Gangs that may have lost a task.
    pub(crate) broken: BTreeSet<JobId>,
    /// Cancelled jobs, for when their tasks must be gone.
    pub(crate) cancels: Agenda<JobId>,
    /// Jobs that are over, with the revision that removed them: a watch may
    /// still show how they were created.
    gone: HashMap<JobId, u64>,
    loaded: Vec<Item>,
    /// When its jobs are to be read anew.
    list_at: Option<Ms>,
    live_rev: u64,
    watching: bool,
    watch_at: Ms,
    pub(crate) next_round: Ms,
    pub(crate) last_round: Ms,
    pub(crate) next_progress: Ms,
    pub(crate) classes: BTreeMap<String, ClassStats>,
    /// Since when arrivals are counted: jobs that were taken over, or came
    /// before anything could run, are a backlog and tell of no rate.
    pub(crate) counting_since: Option<Ms>,
    pub(crate) drained_at: Ms,
    pub(crate) moved_at: Ms,
    pub(crate) preempted_at: Ms,
    pub(crate) demand_at: Ms,
    /// What the leader was told last, and when.
    pub(crate) told: DemandRec,
    pub(crate) told_at: Ms,
    pub(crate) demand_putting: bool,
    /// Shown again only in sight of this revision.
    pub(crate) demand_from: u64,
    pub(crate) reload: bool,
    /// Somebody has seen a higher epoch of it, which our view has not: without
    /// a right of our own we answer for it no more.
    pub(crate) superseded: bool,
    /// A job was added for which a cancellation may have been left.
    pub(crate) look_for_aborts: bool,
}

impl Share {
    pub(crate) fn new(ctx: &mut Ctx, id: ShareId, epoch: u64, version: u64) -> Self {
        log::info!("share {id}: ours from epoch {epoch}");
        let mut teams = BTreeMap::new();
        let mut quotas = Vec::new();
        for team in ctx.cfg.teams.values().filter(|t| t.share == id) {
            teams.insert(team.name.clone(), quotas.len());
            quotas.push(Quota {
                guarantee: team.guarantee,
                limit: team.limit,
                used: Resources::default(),
            });
        }
        let share = Self {
            id,
            epoch,
            version,
            phase: Phase::Loading,
            active_since: ctx.now,
            jobs: BTreeMap::new(),
            machines: BTreeMap::new(),
            teams,
            quotas,
            look: Agenda::default(),
            dirty: Agenda::default(),
            progress: BTreeSet::new(),
            broken: BTreeSet::new(),
            cancels: Agenda::default(),
            gone: HashMap::new(),
            loaded: Vec::new(),
            list_at: None,
            live_rev: 0,
            watching: false,
            watch_at: 0,
            next_round: ctx.now,
            last_round: 0,
            next_progress: 0,
            classes: BTreeMap::new(),
            counting_since: None,
            drained_at: 0,
            moved_at: 0,
            preempted_at: 0,
            demand_at: 0,
            told: DemandRec::default(),
            told_at: 0,
            demand_putting: false,
            demand_from: 0,
            reload: false,
            superseded: false,
            look_for_aborts: false,
        };
        share.list(ctx, "");
        share
    }

    fn list(&self, ctx: &mut Ctx, from: &str) {
        let prefix = live_prefix(self.id);
        let mut path = format!("/kv?starts={prefix}&most=400");
        if !from.is_empty() {
            path.push_str(&format!("&from={from}"));
        }
        let (share, epoch) = (self.id, self.epoch);
        ctx.read(Urgency::Member, path, Pending::ShareList { share, epoch });
    }

    /// Reads the jobs anew, when that is due.
    pub(crate) fn list_again(&mut self, ctx: &mut Ctx) {
        if self.list_at.take_if(|t| ctx.now >= *t).is_some() {
            self.list(ctx, "");
        }
    }

    pub(crate) fn on_list(&mut self, ctx: &mut Ctx, status: u16, body: &[u8]) {
        let page: Option<Page> = serde_json::from_slice(body).ok().filter(|_| status == 200);
        let Some(mut page) = page else {
            // Start over, after a pause; what was read may be old by now.
            self.loaded.clear();
            self.list_at = Some(ctx.now + LIST_PAUSE);
            return;
        };
        if self.live_rev == 0 || self.loaded.is_empty() {
            // Changes after the first page are shown by the watch.
            self.live_rev = page.revision;
        }
        self.loaded.append(&mut page.items);
        match self.loaded.last() {
            Some(last) if page.more => {
                let from = last.key.clone();
                self.list(ctx, &from);
            }
            _ => self.phase = Phase::Waiting(page.revision),
        }
    }

    /// Starts to use the share, once the view is as new as what was read.
    /// Only then does a machine that the view lacks not exist any more.
    pub(crate) fn activate(&mut self, ctx: &mut Ctx, view: &View) {
        // A machine of a type that is not known would be taken for gone.
        let mut ours = view.machines.values().filter(|m| m.rec.share == self.id);
        if !ours.all(|m| view.types.contains_key(&m.rec.machine_type)) {
            log::error!("share {}: a machine's type is not known", self.id);
            return;
        }
        self.phase = Phase::Active;
        self.active_since = ctx.now;
        self.sync_machines(ctx, view, &Changed::everything());
        let prefix = live_prefix(self.id);
        let items = std::mem::take(&mut self.loaded);
        let mut blocks = Vec::new();
        for item in items {
            let name = item.key.strip_prefix(&prefix).unwrap_or_default();
            match name.split_once('/') {
                None => self.load_head(ctx, item.value, item.version),
                Some((id, block)) => {
                    let id = JobId::new(id);
                    blocks.push((id, block.parse().unwrap_or(0), item));
                }
            }
        }
        for (id, block, item) in blocks {
            match from_value::<BlockRec>(item.value) {
                Ok(rec) if self.jobs.contains_key(&id) => {
                    self.restore(ctx, &id, block, rec, item.version);
                }
                _ => remove_key(ctx, item.key, item.version),
            }
        }
        for (id, job) in &self.jobs {
            self.dirty.touch(id);
            if job.is_gang() {
                self.broken.insert(id.clone());
            }
        }
        log::info!(
            "share {}: {} jobs and {} machines taken over",
            self.id,
            self.jobs.len(),
            self.machines.len()
        );
    }

    fn load_head(&mut self, ctx: &mut Ctx, value: Value, stamp: u64) {
        let head: HeadRec = match from_value(value) {
            Ok(head) => head,
            Err(e) => {
                log::error!("a job's record is not understood: {e}");
                return;
            }
        };
        let id = head.spec.id.clone();
        self.add_job(ctx, head.spec, head.at, stamp);
        self.restore(ctx, &id, 0, head.block, stamp);
        if head.cancelled {
            if let Some(job) = self.jobs.get_mut(&id) {
                job.cancelled = true;
                job.cancel_durable = true;
                job.cancelled_wall = head.cancelled_at;
                job.cancelled_for = ctx.since_wall(head.cancelled_at);
                job.cancelled_since = ctx.now;
                self.cancels.touch(&id);
            }
        }
    }

    fn restore(&mut self, ctx: &Ctx, id: &JobId, block: u32, rec: BlockRec, stamp: u64) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        for (index, binding) in job.restore(block, rec, stamp, ctx.now) {
            if self.machines.contains_key(&binding.machine) {
                self.bind(id, index, binding);
            } else if let Some(job) = self.jobs.get_mut(id) {
                // Its machine's record is gone, so the machine is.
                let block = job.block_of(index);
                job.touch(block);
            }
        }
    }

    /// Takes a new job on, unless it is known or over.
    pub(crate) fn add_job(&mut self, ctx: &mut Ctx, spec: JobSpec, at: Ms, stamp: u64) {
        let over = self.gone.get(&spec.id).is_some_and(|rev| stamp <= *rev);
        if over || self.jobs.contains_key(&spec.id) || !self.teams.contains_key(&spec.team) {
            return;
        }
        let image = ctx.intern(&spec.image);
        if self.counting_since.is_some() {
            self.count_arrival(&spec, ctx.now);
        }
        let mut job = Job::new(spec, image, stamp, ctx.cfg.value_bytes, ctx.now);
        job.at = at;
        job.waited = ctx.wall.saturating_sub(at);
        if ctx.cfg.waits.contains_key(&job.spec.class) {
            self.hurry(ctx);
        }
        self.jobs.insert(job.spec.id.clone(), job);
        self.look_for_aborts = true;
    }

    /// Takes a job on that another controller tells of, if the watch has not
    /// shown it yet. What the watch has passed is known, or over: a late copy
    /// of the message must not bring it back.
    pub(crate) fn told_of(&mut self, ctx: &mut Ctx, spec: JobSpec, at: Ms, revision: u64) {
        if self.phase == Phase::Active && revision > self.live_rev {
            self.add_job(ctx, spec, at, revision);
        }
    }

    /// Somebody has seen a higher epoch of the share.
    pub(crate) fn supersede(&mut self, how: &str) {
        if !self.superseded {
            log::info!("share {}: not ours any more, {how}", self.id);
            self.superseded = true;
        }
    }

    /// The first token that is used for a machine: above those of earlier
    /// holders of the share, and of the machine's earlier shares.
    pub(crate) fn first_token(&self, rec: &MachineRec) -> u64 {
        (self.epoch << TOKEN_BITS).max(rec.floor + 1)
    }

    /// Asks for a round before its time.
    pub(crate) fn hurry(&mut self, ctx: &Ctx) {
        let gap = crate::ms(ctx.cfg.ops.round_gap_s);
        self.next_round = self.next_round.min(ctx.now.max(self.last_round + gap));
    }

    pub(crate) fn forget_job(&mut self, id: &JobId, revision: u64) {
        self.jobs.remove(id);
        self.dirty.forget(id);
        self.cancels.forget(id);
        self.progress.remove(id);
        self.broken.remove(id);
        self.gone.insert(id.clone(), revision);
    }

    /// Books a task on a machine.
    pub(crate) fn bind(&mut self, id: &JobId, index: u32, binding: Binding) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        if let Some(machine) = self.machines.get_mut(&binding.machine) {
            machine.used += job.task;
            machine.tasks.insert(TaskRef {
                job: id.clone(),
                index,
            });
            machine.use_image(job.image, job.spec.image_gb);
        }
        if let Some(team) = self.teams.get(&job.spec.team) {
            self.quotas[*team].used += job.task;
        }
        job.bound.insert(index, binding);
    }

    /// Takes a task off its machine, and has the change written.
    pub(crate) fn unbind(&mut self, id: &JobId, index: u32) -> Option<Binding> {
        let job = self.jobs.get_mut(id)?;
        let binding = job.bound.remove(&index)?;
        let block = job.block_of(index);
        job.touch(block);
        if let Some(machine) = self.machines.get_mut(&binding.machine) {
            machine.used -= job.task;
            machine.tasks.remove(&TaskRef {
                job: id.clone(),
                index,
            });
        }
        if let Some(team) = self.teams.get(&job.spec.team) {
            self.quotas[*team].used -= job.task;
        }
        if job.is_gang() {
            self.broken.insert(id.clone());
        }
        self.dirty.touch(id);
        Some(binding)
    }

    /// Follows the view: new machines, changed records, machines that are gone.
    pub(crate) fn sync_machines(&mut self, ctx: &mut Ctx, view: &View, changed: &Changed) {
        if changed.all {
            let known = self.machines.keys().chain(view.machines.keys());
            let all: BTreeSet<MachineId> = known.cloned().collect();
            for id in &all {
                self.sync_machine(ctx, view, id);
            }
        } else {
            for id in &changed.machines {
                self.sync_machine(ctx, view, id);
            }
        }
    }

    fn sync_machine(&mut self, ctx: &mut Ctx, view: &View, id: &MachineId) {
        ctx.visits += 1;
        let ours = view.machines.get(id).filter(|m| m.rec.share == self.id);
        let Some(stamped) = ours else {
            self.drop_machine(ctx, id);
            return;
        };
        self.look.touch(id);
        if let Some(machine) = self.machines.get_mut(id) {
            if machine.version != stamped.version {
                machine.version = stamped.version;
                machine.leaving = None;
                if stamped.rec.condemned.is_some() {
                    machine.condemned = stamped.rec.condemned.clone();
                }
                machine.addr = stamped.rec.addr.clone().or(machine.addr.take());
            }
        } else if let Some(machine) = self.new_machine(ctx, view, id, &stamped.rec, stamped.version)
        {
            self.machines.insert(id.clone(), machine);
        }
    }

    fn new_machine(
        &self,
        ctx: &mut Ctx,
        view: &View,
        id: &MachineId,
        rec: &MachineRec,
        version: u64,
    ) -> Option<Machine> {
        let of_type = &view.types.get(&rec.machine_type)?.rec;
        let hourly = if rec.spot {
            of_type.spot_price.unwrap_or(of_type.price)
        } else {
            of_type.price
        };
        Some(Machine {
            id: id.clone(),
            machine_type: ctx.intern(&rec.machine_type) as u16,
            zone: ctx.intern(&rec.zone) as u16,
            spot: rec.spot,
            total: total_of(of_type),
            price: hourly / 3600.0,
            fetch_rate: of_type.fetch_gb_per_s,
            cache_gb: of_type.cache_gb,
            boot_ms: crate::ms(of_type.boot_s),
            addr: rec.addr.clone(),
            condemned: rec.condemned.clone(),
            version,
            putting: false,
            put_from: 0,
            session: 0,
            seq: 0,
            echo: 0,
            token: self.first_token(rec),
            unechoed_since: None,
            heard: None,
            since: ctx.now,
            taken_at: None,
            calling: false,
            retry_at: 0,
            unanswered: false,
            push: rec.addr.is_some(),
            tasks: BTreeSet::new(),
            used: Resources::default(),
            orphans: Vec::new(),
            exited: Vec::new(),
            fates: BTreeMap::new(),
            images: rec
                .images
                .iter()
                .map(|(name, gb)| (ctx.intern(name), *gb))
                .collect(),
            errors: BTreeSet::new(),
            full_until: 0,
            leaving: None,
            vacating: false,
            deleted: false,
            delete_at: 0,
            full_house_until: 0,
            draining: false,
            idle_since: None,
        })
    }

    /// The machine's record is gone: the cloud has answered that it was
    /// deleted, so nothing that was on it is left.
    fn drop_machine(&mut self, ctx: &Ctx, id: &MachineId) {
        if !self.machines.contains_key(id) {
            return;
        }
        self.unbind_all(ctx, id);
        self.machines.remove(id);
        self.look.forget(id);
    }

    /// Nothing that was on a machine is left.
    pub(crate) fn unbind_all(&mut self, ctx: &Ctx, id: &MachineId) {
        let tasks = self.machines.get(id).map(|m| m.tasks.clone());
        for task in tasks.into_iter().flatten() {
            self.unbind(&task.job, task.index);
        }
        self.hurry(ctx);
    }

    /// Gives a machine that the leader asks for to another share, if it is
    /// free. From the moment the write is sent nothing is placed there until
    /// the record has changed: a write without an answer may land late, and
    /// the other share then owns whatever is on the machine.
    pub(crate) fn give_away(&mut self, ctx: &mut Ctx, view: &View, id: &MachineId) {
        let Some(to) = view.machines.get(id).and_then(|m| m.rec.want) else {
            if let Some(machine) = self.machines.get_mut(id) {
                machine.vacating = false;
            }
            return;
        };
        let names = self.image_names(ctx, id);
        let Some(machine) = self.machines.get_mut(id) else {
            return;
        };
        if machine.putting || view.revision < machine.put_from || to == self.id {
            return;
        }
        let free = machine.tasks.is_empty()
            && machine.exited.is_empty()
            && machine.orphans.is_empty()
            && !machine.calling
            && !machine.unanswered
            && machine.condemned.is_none()
            && machine.is_confirmed();
        let floor = machine.token;
        if free || machine.leaving.is_some() {
            machine.leaving = Some(machine.version);
            self.put_machine(ctx, view, id, |rec| {
                rec.share = to;
                rec.want = None;
                rec.floor = floor;
                rec.images = names;
            });
        } else if !self.vacate(ctx, id) {
            self.put_machine(ctx, view, id, |rec| rec.want = None);
        }
    }

    fn image_names(&self, ctx: &Ctx, id: &MachineId) -> Vec<(String, f64)> {
        let images = self.machines.get(id).map(|m| m.images.as_slice());
        let images = images.unwrap_or_default().iter();
        images
            .filter_map(|(i, gb)| Some((ctx.name_of(*i)?, *gb)))
            .collect()
    }

    /// Writes a machine's record, on condition that it and the share are as we know them.
    pub(crate) fn put_machine(
        &mut self,
        ctx: &mut Ctx,
        view: &View,
        id: &MachineId,
        change: impl FnOnce(&mut MachineRec),
    ) {
        let (Some(machine), Some(stamped)) = (self.machines.get_mut(id), view.machines.get(id))
        else {
            return;
        };
        if machine.putting || view.revision < machine.put_from {
            return;
        }
        machine.putting = true;
        let mut rec = stamped.rec.clone();
        change(&mut rec);
        // Only a takeover needs an address; all else frees a machine.
        let moves = rec.share != stamped.rec.share || rec.condemned != stamped.rec.condemned;
        let urgency = if moves { Urgency::Work } else { Urgency::Later };
        let key = machine_key(id);
        let txn = Txn {
            conds: vec![
                Cond {
                    key: share_key(self.id),
                    version: self.version,
                },
                Cond {
                    key: key.clone(),
                    version: stamped.version,
                },
            ],
            writes: vec![Write::put(key, to_value(rec).unwrap_or_default())],
        };
        ctx.txn(urgency, &txn, Pending::MachinePut(id.clone()));
    }

    /// Gives a machine up: nothing more is placed there, and the leader
    /// deletes it once the record says so.
    pub(crate) fn condemn(&mut self, id: &MachineId, why: &str) {
        let Some(machine) = self.machines.get_mut(id) else {
            return;
        };
        if machine.condemned.is_none() {
            log::info!(
                "machine {id}: condemned, {why}, {} tasks",
                machine.tasks.len()
            );
            machine.condemned = Some(why.to_owned());
            self.look.touch(id);
        }
    }

    /// Writes that a machine is given up, until the record says so, and takes
    /// away from it what was never sent there.
    pub(crate) fn record_condemned(&mut self, ctx: &mut Ctx, view: &View, id: &MachineId) {
        let Some(machine) = self.machines.get(id) else {
            return;
        };
        let Some(why) = machine.condemned.clone() else {
            return;
        };
        let tasks: Vec<TaskRef> = machine.tasks.iter().cloned().collect();
        self.drop_unsent_of(tasks);
        let recorded = view.machines.get(id);
        if recorded.is_some_and(|m| m.rec.condemned.is_none()) {
            self.put_machine(ctx, view, id, |rec| rec.condemned = Some(why));
        }
    }

    /// Takes tasks that were never sent off their machine.
    pub(crate) fn drop_unsent_of(&mut self, tasks: Vec<TaskRef>) {
        for task in tasks {
            let job = self.jobs.get_mut(&task.job);
            let binding = job.and_then(|j| j.bound.get_mut(&task.index));
            if let Some(binding) = binding.filter(|b| b.sent == Sent::No) {
                binding.stop = Some(Stop::after(0.0));
                self.drop_unsent(&task.job);
            }
        }
    }

    /// Says at debug level what every task that is not running waits for.
    pub(crate) fn explain(&self) {
        if !log::log_enabled!(log::Level::Debug) {
            return;
        }
        for job in self.jobs.values() {
            let waiting = job.waiting(1_000).len();
            if waiting > 0 || job.is_over() {
                let quota = self.teams.get(&job.spec.team).map(|t| self.quotas[*t].used);
                log::debug!(
                    "{} of {}: {waiting} wait, {} done, cancelled {}, over {}, not before {}, {:?}",
                    job.spec.id,
                    job.spec.team,
                    job.done.len(),
                    job.cancelled,
                    job.is_over(),
                    job.not_before,
                    quota
                );
            }
            for (index, b) in &job.bound {
                if b.running_since.is_none() || b.stop.is_some() {
                    let durable = job.is_durable(*index, b.version);
                    log::debug!(
                        "{}/{index}: {:?} on {}, sent {:?}, stop {:?}, durable {durable}",
                        job.spec.id,
                        b.stage,
                        b.machine,
                        b.sent,
                        b.stop
                    );
                }
            }
        }
        for m in self.machines.values() {
            log::debug!(
                "machine {}: {} tasks, {:?} used, draining {}, idle since {:?}, session {}, echo {} of {}, calling {}, unanswered {}, exited {}, condemned {}",
                m.id,
                m.tasks.len(),
                m.used,
                m.draining,
                m.idle_since,
                m.session,
                m.echo,
                m.token,
                m.calling,
                m.unanswered,
                m.exited.len(),
                m.condemned.is_some()
            );
        }
    }

    /// The share is not ours any more: users who wait ask whoever has it.
    pub(crate) fn let_go(self, ctx: &mut Ctx) {
        let waiters = self.jobs.into_values().flat_map(|j| j.cancel_waiters);
        for token in waiters {
            ctx.respond(token, Reply::later("try again"));
        }
    }

    /// The longest boot of its machines.
    pub(crate) fn boot_ms(&self) -> Ms {
        self.machines.values().map(|m| m.boot_ms).max().unwrap_or(0)
    }

    /// Has a task stopped, with the time that it needs to save.
    pub(crate) fn stop_task(&mut self, task: &TaskRef) {
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let stop = Stop::after(job.spec.save_s);
        if let Some(binding) = job.bound.get_mut(&task.index) {
            binding.stop = Some(stop);
            self.look.touch(&binding.machine);
        }
    }

    /// Keeps a watch on the share's jobs, for those that other controllers accept.
    pub(crate) fn watch(&mut self, ctx: &mut Ctx) {
        if self.watching || self.live_rev == 0 || ctx.now < self.watch_at {
            return;
        }
        self.watching = true;
        self.watch_at = ctx.now + ctx.watch_pause(WATCH_PART);
        let pending = Pending::ShareWatch {
            share: self.id,
            epoch: self.epoch,
        };
        ctx.watch(&live_prefix(self.id), self.live_rev, 10_000, pending);
    }

    pub(crate) fn on_watch(&mut self, ctx: &mut Ctx, status: u16, body: &[u8]) {
        self.watching = false;
        // Our own writes come back here; a pause lets them come together. Of
        // new jobs we are told by whoever accepted them.
        self.watch_at = self.watch_at.max(ctx.now + WATCH_GAP);
        if is_watch_lost(status) {
            self.reload = true;
        }
        let changes: Option<Changes> = serde_json::from_slice(body).ok().filter(|_| status == 200);
        let Some(changes) = changes else { return };
        let prefix = live_prefix(self.id);
        for event in changes.events {
            let Change::Put {
                put,
                value,
                version,
            } = event
            else {
                continue;
            };
            let Some(name) = put.strip_prefix(&prefix) else {
                continue;
            };
            let id = JobId::new(name);
            if name.contains('/') || version <= self.live_rev || self.jobs.contains_key(&id) {
                continue;
            }
            // Others write heads of new jobs only: all else is an old write of
            // ours, of a job that may be over.
            let head = from_value::<HeadRec>(value).ok();
            let head = head.filter(|h| !h.cancelled && h.block == BlockRec::default());
            if let Some(head) = head {
                self.add_job(ctx, head.spec, head.at, version);
            }
        }
        self.live_rev = self.live_rev.max(changes.revision);
        let seen = self.live_rev;
        self.gone.retain(|_, rev| *rev >= seen);
    }

    fn count_arrival(&mut self, spec: &JobSpec, now: Ms) {
        let res = Resources::new(spec.cpus, spec.gpus, spec.memory_gb);
        let last = ShapeRec {
            res: (res.cpus, res.gpus, res.memory),
            n: 1,
            types: spec.types.clone(),
            zones: None,
            spot: spec.spot,
            spare: true,
            reclaims: false,
            borrows: false,
        };
        let stats = self
            .classes
            .entry(spec.class.clone())
            .or_insert(ClassStats {
                weight: 0.0,
                at: now,
                last: last.clone(),
            });
        stats.fade(now);
        stats.weight += f64::from(spec.tasks);
        stats.last = last;
    }
}

/// Arrivals are remembered for about this long.
const ARRIVALS_MS: f64 = 150_000.0;

impl ClassStats {
    fn fade(&mut self, now: Ms) {
        let gone = now.saturating_sub(self.at) as f64;
        self.weight *= (-gone / ARRIVALS_MS).exp();
        self.at = now;
    }

    /// Tasks a second, counted for `elapsed`. A short time is taken for
    /// longer than it was, lest one arrival look like a rush.
    pub(crate) fn rate(&mut self, now: Ms, elapsed: Ms) -> f64 {
        self.fade(now);
        let elapsed = (elapsed as f64).max(ARRIVALS_MS / 3.0);
        let seen = ARRIVALS_MS * (1.0 - (-elapsed / ARRIVALS_MS).exp());
        self.weight / (seen / 1000.0)
    }
}

/// Removes a record that nothing refers to any more.
pub(crate) fn remove_key(ctx: &mut Ctx, key: String, version: u64) {
    let txn = Txn {
        conds: vec![Cond {
            key: key.clone(),
            version,
        }],
        writes: vec![Write::Remove { remove: key }],
    };
    ctx.txn(Urgency::Later, &txn, Pending::Housekeeping);
}

/// Hands shares to starts of controllers, each under a new epoch. It takes
/// hold only if the controllers that held them are as the view shows them:
/// gone, or started anew, or willing.
pub(crate) fn hand_over(ctx: &mut Ctx, view: &View, given: &[(ShareId, NodeName)]) {
    let (epoch_version, mut epoch) = view.epoch();
    let mut conds: BTreeMap<String, u64> = BTreeMap::from([(EPOCH.to_owned(), epoch_version)]);
    let mut writes = Vec::new();
    let mut shares = Vec::new();
    for (k, to) in given {
        let Some(node) = view.nodes.get(to) else {
            continue;
        };
        epoch += 1;
        let rec = ShareRec {
            holder: to.clone(),
            inc: node.rec.inc,
            epoch,
            want: None,
        };
        let share = view.shares.get(k);
        conds.insert(share_key(*k), share.map_or(0, |s| s.version));
        conds.insert(node_key(to), node.version);
        if let Some(old) = share.map(|s| &s.rec.holder) {
            conds.insert(node_key(old), view.nodes.get(old).map_or(0, |n| n.version));
        }
        writes.push(Write::put(share_key(*k), to_value(rec).unwrap_or_default()));
        shares.push(*k);
    }
    if shares.is_empty() {
        return;
    }
    writes.push(Write::put(EPOCH.to_owned(), epoch.into()));
    let conds = conds.into_iter();
    let conds = conds.map(|(key, version)| Cond { key, version }).collect();
    ctx.txn(
        Urgency::Member,
        &Txn { conds, writes },
        Pending::SharePut(shares),
    );
}
