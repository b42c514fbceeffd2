//! Jobs that wait though there is room for them.

use super::users::UserState;
use super::World;
use crate::worker::{tasks_that_fit, Resources, Worker};
use forkshift_wire::users::{JobKind, JobSpec};
use forkshift_wire::workers::TaskStage;
use forkshift_wire::JobId;
use std::cell::OnceCell;
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// A machine that may take tasks, and what is free on it.
struct FreeMachine<'a> {
    worker: &'a Worker,
    free: Resources,
}

impl World {
    /// Tells the checker which accepted jobs have nothing on any machine, and
    /// whether there is room for them.
    pub(super) fn check_waiting_jobs(&mut self) {
        let mut somewhere: BTreeSet<&JobId> = BTreeSet::new();
        let mut used: BTreeMap<&str, (f64, f64)> = BTreeMap::new();
        for w in self.workers.values() {
            let here = w.tasks.iter();
            for ((task, _), _) in here.filter(|(_, t)| t.stage != TaskStage::Exited) {
                somewhere.insert(&task.job);
                let s = &self.ground_truths[&task.job].spec;
                let team = used.entry(&s.team).or_default();
                *team = (team.0 + s.cpus, team.1 + s.gpus);
            }
        }
        let rooms: OnceCell<Vec<FreeMachine>> = OnceCell::new();
        // Thousands may wait for the same while a fleet is large.
        let mut known: HashMap<String, bool> = HashMap::new();
        let mut found = Vec::new();
        for user in &self.users {
            let s = &user.plan.spec;
            let called_off = user.plan.cancel_at.is_some_and(|t| t <= self.now);
            let over =
                self.check.final_stage(&s.id).is_some() || self.check.is_job_completed(&s.id);
            // Retries of a job with a mistake are slowed down on purpose.
            let broken = user.plan.mistake.is_some();
            let blocked = self.check.is_blocked(&s.id);
            if blocked || user.state != UserState::Polling || called_off || over || broken {
                found.push((s.id.clone(), false));
                continue;
            }
            let has = !somewhere.contains(&s.id)
                && self.is_under_limit(s, used.get(s.team.as_str()).copied().unwrap_or_default())
                && *known.entry(placement_key(s)).or_insert_with(|| {
                    let rooms = rooms.get_or_init(|| self.free_machines());
                    has_room(rooms, s)
                });
            found.push((s.id.clone(), has));
        }
        for (id, has_room) in found {
            self.check.on_job_waiting(self.now, &id, has_room);
        }
    }

    /// A job as it was submitted, and what its team uses, for who looks into a day.
    pub fn describe(&self, id: &JobId) -> String {
        let Some(spec) = self.ground_truths.get(id).map(|t| &t.spec) else {
            return format!("{id} is nobody's");
        };
        let mut team = Vec::new();
        for w in self.workers.values() {
            let here = w.tasks.iter().filter(|(_, t)| t.stage != TaskStage::Exited);
            for ((task, _), t) in here {
                if self.ground_truths[&task.job].spec.team == spec.team {
                    team.push(format!("{task} {:?} on {}", t.stage, w.describe(self.now)));
                }
            }
        }
        let (holder, cancelled) = (self.holder_of(id), self.cancelled_at(id));
        format!("{spec:?}, held by {holder:?}, cancelled at {cancelled:?}; its team has {team:?}")
    }

    /// Tasks that have to find room at once.
    fn tasks_needed_at_once(s: &JobSpec) -> u32 {
        match s.kind {
            JobKind::Array => 1,
            _ => s.tasks,
        }
    }

    fn is_under_limit(&self, s: &JobSpec, (cpus, gpus): (f64, f64)) -> bool {
        let n = f64::from(Self::tasks_needed_at_once(s));
        let (cpus_max, gpus_max) = self.check.limit_of(&s.team);
        let under = |used: f64, most: f64| most == 0.0 || used <= most + 1e-6;
        under(cpus + n * s.cpus, cpus_max) && under(gpus + n * s.gpus, gpus_max)
    }

    /// What is free on each machine that the cloud does not take back.
    fn free_machines(&self) -> Vec<FreeMachine<'_>> {
        let workers = self.workers.values().filter(|w| w.reclaimed_at.is_none());
        let free = |worker| FreeMachine {
            worker,
            free: worker.free_resources(&self.ground_truths),
        };
        workers.map(free).collect()
    }
}

/// All of a job that decides whether there is room for it.
fn placement_key(s: &JobSpec) -> String {
    let resources = (s.cpus, s.gpus, s.memory_gb);
    let place = (&s.types, &s.zone, s.spot, s.spread, s.one_zone);
    format!(
        "{:?}",
        (World::tasks_needed_at_once(s), s.tasks, resources, place)
    )
}

/// Whether what a job needs at once has room.
fn has_room(rooms: &[FreeMachine], s: &JobSpec) -> bool {
    let fits = |room: &&FreeMachine| {
        let w = room.worker;
        s.types.as_ref().is_none_or(|t| t.contains(&w.machine_type))
            && s.zone.as_ref().is_none_or(|z| *z == w.zone)
            && (s.spot || !w.spot)
    };
    let mut zones: BTreeMap<&str, u32> = BTreeMap::new();
    for room in rooms.iter().filter(fits) {
        let in_zone = zones.entry(&room.worker.zone).or_default();
        *in_zone = in_zone.saturating_add(tasks_that_fit(room.free, s));
    }
    let needed = World::tasks_needed_at_once(s);
    let most = match s.spread {
        true => s.tasks.div_ceil(2),
        false => needed,
    };
    let rooms = zones.values().map(|n| (*n).min(most));
    match s.one_zone {
        true => rooms.max().unwrap_or(0) >= needed,
        false => rooms.sum::<u32>() >= needed,
    }
}
