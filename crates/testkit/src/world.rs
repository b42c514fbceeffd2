//! The world around the controllers, in virtual time.

use crate::check::Checker;
use crate::cloud::Cloud;
use crate::faults::{Fault, FaultKind, MachineFault, Which, Who, ZONES};
use crate::state::State;
use crate::worker::{Around, Truth, Worker};
use crate::Ms;
use forkshift_core::records::{self, ShareId};
use forkshift_core::{Config, Effect, Input, Node, Operator, Target, Token};
use forkshift_wire::settings::Settings;
use forkshift_wire::users::{JobKind, JobSpec, JobStage, JobStatus, Priority};
use forkshift_wire::workers::{ExitCause, Redirect, ReportReply, TaskStage};
use forkshift_wire::{JobId, MachineId, TaskRef};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// Time passes in steps of this.
const STEP: Ms = 10;
/// A controller that nothing wakes looks at the clock this often.
const IDLE: Ms = 50;
/// Time of day when the world begins.
const WALL_OFF: Ms = 1_000_000;
const GANG_WAIT_MS: Ms = 20_000;

/// How large a world is.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    /// Controllers.
    pub nodes: usize,
    /// Teams.
    pub teams: usize,
    /// Machines of each type, zone and kind.
    pub capacity: u32,
    /// Requests a second that the state service takes.
    pub rps: f64,
    /// Changes a second that it takes.
    pub write_rps: f64,
    /// Requests a second that the cloud takes.
    pub cloud_rps: f64,
    /// CPUs and GPUs that each team is guaranteed.
    pub guarantee: (f64, f64),
    /// CPUs and GPUs that each team may use.
    pub limit: (f64, f64),
    /// Between two reports of a worker.
    pub report_ms: Ms,
    /// Lease of a worker.
    pub lease_ms: Ms,
    /// Time for a cancelled job's tasks to be gone.
    pub cancel_ms: Ms,
}

impl Default for Size {
    fn default() -> Self {
        Self {
            nodes: 3,
            teams: 4,
            capacity: 5,
            rps: 200.0,
            write_rps: 80.0,
            cloud_rps: 5.0,
            guarantee: (16.0, 8.0),
            limit: (96.0, 24.0),
            report_ms: 1_000,
            lease_ms: 10_000,
            cancel_ms: 35_000,
        }
    }
}

impl Size {
    /// Five controllers, and room for some 1,860 machines, spot ones apart.
    pub fn five_by_1860() -> Self {
        Self {
            nodes: 5,
            teams: 5,
            capacity: 300,
            rps: 700.0,
            write_rps: 250.0,
            cloud_rps: 8.0,
            guarantee: (5_000.0, 1_000.0),
            limit: (20_000.0, 4_000.0),
            report_ms: 5_000,
            lease_ms: 24_000,
            cancel_ms: 35_000,
        }
    }

    /// Seven controllers, sixteen teams, and room for some 810 machines, spot
    /// ones apart.
    pub fn seven_by_810() -> Self {
        Self {
            nodes: 7,
            teams: 16,
            capacity: 130,
            rps: 300.0,
            write_rps: 100.0,
            cloud_rps: 4.0,
            guarantee: (500.0, 250.0),
            limit: (2_000.0, 900.0),
            report_ms: 2_000,
            lease_ms: 13_000,
            cancel_ms: 35_000,
        }
    }
}

/// The settings of one of the controllers.
pub fn settings(node: usize, size: &Size) -> String {
    let Size {
        nodes,
        teams,
        rps,
        write_rps,
        cloud_rps,
        guarantee: (cpus, gpus),
        limit: (cpus_max, gpus_max),
        report_ms,
        lease_ms,
        cancel_ms,
        ..
    } = size;
    let seconds = |ms: &Ms| *ms as f64 / 1000.0;
    let (report_s, lease_s) = (seconds(report_ms), seconds(lease_ms));
    let cancel_s = seconds(cancel_ms);
    let peers: String = (0..*nodes)
        .filter(|n| *n != node)
        .map(|n| {
            format!("[[peers]]\nhost_name = \"berth-{n}\"\ndomain = \"{}\"\nendpoint = \"10.0.0.{}:8081\"\n", zone_of(n), n + 1)
        })
        .collect();
    let teams: String = (0..*teams)
        .map(|t| format!("[[cluster.teams]]\nname = \"team-{t}\"\ngpus = {gpus:?}\ngpus_max = {gpus_max:?}\ncpus = {cpus:?}\ncpus_max = {cpus_max:?}\n"))
        .collect();
    format!(
        "host_name = \"berth-{node}\"\ndomain = \"{1}\"\nbind = \"10.0.0.{0}:8080\"\ncluster_listen = \"10.0.0.{0}:8081\"\n\
         {peers}\n[external]\ncloud = \"10.2.0.2:8443\"\nstate = \"10.2.0.1:2379\"\n\
         [cluster]\ninitial_size = {nodes}\nzones = [\"a\", \"b\", \"c\"]\ntime_bound_ms = 250.0\n{teams}\
         [[cluster.objectives]]\nkind = \"wait\"\nclass = \"serve\"\nwithin_s = 8.0\nshare = 0.9\n\
         [cluster.workers]\nreport_s = {report_s:?}\nlease_s = {lease_s:?}\ngang_wait_s = 20.0\ngang_peer_s = 3.0\ncancel_s = {cancel_s:?}\n\
         [cluster.state]\nrps = {rps:?}\nwrite_rps = {write_rps:?}\nvalue_kb = 8.0\ntxn_ops = 12\n\
         [cluster.cloud]\nrps = {cloud_rps:?}\nlist_lag_s = 4.0\n\
         [cluster.limits]\ncpu = 0.12\nmem_mb = 40.0\nsockets = 600\n",
        node + 1,
        zone_of(node)
    )
}

/// The zone of a controller.
fn zone_of(node: usize) -> &'static str {
    ZONES[node % ZONES.len()]
}

/// A job that a user will submit.
#[derive(Clone, Debug)]
pub struct Plan {
    /// When.
    pub at: Ms,
    /// What.
    pub spec: JobSpec,
    /// How long each task truly runs.
    pub run_ms: Ms,
    /// When the user wants it cancelled.
    pub cancel_at: Option<Ms>,
    /// The controller that the user's requests go to; any if left out, or if
    /// there is none.
    pub at_node: Option<Who>,
}

impl Plan {
    /// A job drawn at random.
    pub fn random(rng: &mut StdRng, n: u32, at: Ms) -> Self {
        let kind = match rng.random_range(0..5) {
            0 | 1 => JobKind::Array,
            2 => JobKind::Gang,
            _ => JobKind::Service,
        };
        let tasks = match kind {
            JobKind::Array => rng.random_range(1..12),
            _ => rng.random_range(1..4),
        };
        let gpus = *[0.0, 1.0, 2.0, 4.0]
            .get(rng.random_range(0..4))
            .unwrap_or(&0.0);
        let run_ms = rng.random_range(2_000..15_000);
        let one_zone = rng.random_range(0..4) == 0;
        let saves = kind == JobKind::Gang && rng.random();
        let spec = JobSpec {
            id: JobId::new(&format!("j-{n:06}")),
            class: if kind == JobKind::Service {
                "serve"
            } else {
                "work"
            }
            .to_owned(),
            team: format!("team-{}", rng.random_range(0..4)),
            kind,
            priority: if kind == JobKind::Service {
                Priority::Production
            } else {
                Priority::Normal
            },
            tasks,
            cpus: rng.random_range(1..5).into(),
            gpus,
            memory_gb: 4.0,
            image: format!("img-{}", rng.random_range(0..4)),
            image_gb: 4.0,
            types: (gpus > 0.0 && rng.random()).then(|| vec!["g8".to_owned()]),
            zone: (rng.random_range(0..8) == 0).then(|| "b".to_owned()),
            one_zone,
            spread: !one_zone && kind == JobKind::Service && rng.random(),
            spot: kind != JobKind::Service && rng.random(),
            estimate_s: if kind == JobKind::Service {
                0.0
            } else {
                run_ms as f64 / 1000.0
            },
            checkpoint_s: if saves { 3.0 } else { 0.0 },
            save_s: if saves { 1.0 } else { 0.0 },
            deadline_s: None,
        };
        let spec = JobSpec {
            zone: if spec.spread { None } else { spec.zone.clone() },
            ..spec
        };
        let cancels = kind == JobKind::Service || rng.random_range(0..4) == 0;
        let cancel_at = cancels.then(|| at + rng.random_range(1_000..60_000));
        Self {
            at,
            spec,
            run_ms,
            cancel_at,
            at_node: None,
        }
    }
}

#[derive(Clone, Debug)]
enum Origin {
    Node { node: usize, start: u64, call: u64 },
    Worker { id: MachineId, report: u64 },
    User { user: usize, op: u64 },
    Nobody,
}

#[derive(Clone, Debug)]
enum Dest {
    State,
    Cloud,
    Worker(MachineId),
    Node(usize),
}

#[derive(Clone, Debug)]
struct Message {
    origin: Origin,
    dest: Dest,
    method: String,
    path: String,
    body: Vec<u8>,
}

enum Event {
    Arrive(Message),
    Answer {
        to: Origin,
        status: u16,
        body: Vec<u8>,
    },
    Peer {
        to: usize,
        message: Vec<u8>,
    },
    Restart(usize),
    Taken(MachineId),
    Inject(FaultKind),
}

#[derive(Default, Clone, Copy)]
struct Cuts {
    /// Refused by the state service, open watches included.
    shut: Ms,
    /// Until when it is cut off from which others, one bit each, and whether
    /// messages are held.
    peers: (Ms, u64, bool),
    /// Until when direct commands do not reach workers, and whether they are held.
    direct: (Ms, bool),
    pause: Ms,
    state: Ms,
    workers: Ms,
    cloud: Ms,
    refuse: Ms,
    slow: Ms,
    hold: bool,
}

struct Host {
    node: Option<Node>,
    start: u64,
    inbox: Vec<Input>,
    stepped: Ms,
    /// Calls whose end has not been told.
    open: BTreeSet<u64>,
    /// Requests that wait for an answer.
    requests: HashMap<Token, Origin>,
    next_token: u64,
    cuts: Cuts,
}

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Aim {
    Submit,
    Poll,
    Cancel,
    Over,
}

struct User {
    plan: Plan,
    aim: Aim,
    next: Ms,
    op: u64,
    open: bool,
    sent: Ms,
}

/// All of it.
pub struct World {
    size: Size,
    now: Ms,
    rng: StdRng,
    hosts: Vec<Host>,
    state: State<Origin>,
    cloud: Cloud,
    workers: BTreeMap<MachineId, Worker>,
    truths: BTreeMap<JobId, Truth>,
    users: Vec<User>,
    faults: Vec<Fault>,
    injected: Vec<(Ms, FaultKind)>,
    events: BTreeMap<(Ms, u64), Event>,
    next_event: u64,
    late_copies: Ms,
    lost_answers: Ms,
    cloud_until: Ms,
    outage_until: Ms,
    starts: u64,
    gangs: BTreeMap<(JobId, u64), Ms>,
    most_machines: usize,
    /// The zone that is cut off, until when, and whether messages are held.
    zone_cut: (&'static str, Ms, bool),
    slow_state: Ms,
    late_writes: Ms,
    reports: u64,
    /// Watches what truly happens.
    pub check: Checker,
}

impl World {
    /// A world with three controllers that are about to start.
    pub fn new(seed: u64, plans: Vec<Plan>, faults: Vec<Fault>) -> Self {
        Self::sized(seed, plans, faults, Size::default())
    }

    /// A world of any size.
    pub fn sized(seed: u64, plans: Vec<Plan>, mut faults: Vec<Fault>, size: Size) -> Self {
        faults.sort_by_key(|f| f.at);
        let limits = (0..size.teams)
            .map(|t| (format!("team-{t}"), size.limit))
            .collect();
        let mut world = Self {
            now: 0,
            rng: StdRng::seed_from_u64(seed),
            hosts: Vec::new(),
            state: State::new(),
            cloud: Cloud::new(size.capacity),
            size,
            workers: BTreeMap::new(),
            truths: BTreeMap::new(),
            users: plans
                .into_iter()
                .map(|plan| User {
                    next: plan.at,
                    plan,
                    aim: Aim::Submit,
                    op: 0,
                    open: false,
                    sent: 0,
                })
                .collect(),
            faults,
            injected: Vec::new(),
            events: BTreeMap::new(),
            next_event: 0,
            late_copies: 0,
            lost_answers: 0,
            cloud_until: 0,
            outage_until: 0,
            starts: 0,
            gangs: BTreeMap::new(),
            most_machines: 0,
            zone_cut: ("", 0, false),
            slow_state: 0,
            late_writes: 0,
            reports: 0,
            check: Checker::new(limits, size.cancel_ms),
        };
        for n in 0..size.nodes {
            world.hosts.push(Host {
                node: None,
                start: 0,
                inbox: Vec::new(),
                stepped: 0,
                open: BTreeSet::new(),
                requests: HashMap::new(),
                next_token: 0,
                cuts: Cuts::default(),
            });
            world.start(n);
        }
        world
    }

    fn start(&mut self, n: usize) {
        let settings =
            Settings::parse(&settings(n, &self.size)).unwrap_or_else(|e| panic!("settings: {e}"));
        self.starts += 1;
        let seed = self.rng.random();
        let host = &mut self.hosts[n];
        host.start = self.starts;
        host.inbox.clear();
        host.open.clear();
        host.requests.clear();
        host.node = Some(Node::new(
            Config::new(&settings, Operator::default()),
            self.starts,
            seed,
        ));
    }

    fn at(&mut self, time: Ms, event: Event) {
        self.next_event += 1;
        self.events
            .insert((time.max(self.now + 1), self.next_event), event);
    }

    fn delay(&mut self) -> Ms {
        match self.rng.random_range(0..100) {
            0 => self.rng.random_range(100..400),
            _ => self.rng.random_range(2..15),
        }
    }

    /// Until when two ends are cut off from each other, and whether messages are held.
    fn cut(&self, origin: &Origin, dest: &Dest) -> (Ms, bool) {
        let (zone, until, hold) = self.zone_cut;
        let of_worker = |id: &MachineId| self.workers.get(id).is_some_and(|w| w.zone == zone);
        let from_inside = match origin {
            Origin::Node { node, .. } => zone_of(*node) == zone,
            Origin::Worker { id, .. } => of_worker(id),
            Origin::User { .. } | Origin::Nobody => false,
        };
        let to_inside = match dest {
            Dest::Node(n) => zone_of(*n) == zone,
            Dest::Worker(id) => of_worker(id),
            Dest::State | Dest::Cloud => false,
        };
        if until > self.now && from_inside != to_inside {
            return (until, hold);
        }
        let node = |n: usize| self.hosts[n].cuts;
        let worker = |id: &MachineId| {
            self.workers
                .get(id)
                .map_or(0, |w| w.cut_until.max(w.hung_until))
        };
        match (origin, dest) {
            (Origin::Node { node: n, .. }, Dest::State) => (node(*n).state, node(*n).hold),
            (Origin::Node { node: n, .. }, Dest::Cloud) => (node(*n).cloud, node(*n).hold),
            (Origin::Node { node: n, .. }, Dest::Worker(id)) => {
                let (direct, direct_hold) = node(*n).direct;
                if direct > self.now {
                    return (direct, direct_hold);
                }
                let lost = self.workers.get(id).map_or(0, |w| w.lost_until);
                if lost > self.now {
                    return (lost, false);
                }
                let deaf = self.workers.get(id).map_or(0, |w| w.deaf_until);
                (node(*n).workers.max(worker(id)).max(deaf), true)
            }
            (Origin::Worker { id, .. }, Dest::Node(n)) => {
                let mute = self.workers.get(id).map_or(0, |w| w.mute_until);
                if mute > self.now {
                    return (mute, false);
                }
                (node(*n).workers.max(worker(id)), node(*n).hold)
            }
            _ => (0, false),
        }
    }

    /// How much longer a message takes from or to a machine on a slow link.
    fn dawdle(&mut self, origin: &Origin, dest: &Dest) -> Ms {
        let ((Origin::Worker { id, .. }, _) | (_, Dest::Worker(id))) = (origin, dest) else {
            return 0;
        };
        match self.workers.get(id) {
            Some(w) if w.slow_until > self.now => self.rng.random_range(500..8_000),
            _ => 0,
        }
    }

    fn send(&mut self, message: Message) {
        let delay = self.delay();
        let (until, hold) = self.cut(&message.origin, &message.dest);
        let mut time = self.now + delay;
        if until > self.now {
            if !hold {
                return;
            }
            time = until + self.rng.random_range(1..30_000);
        }
        time += self.dawdle(&message.origin, &message.dest);
        if matches!(message.dest, Dest::Node(_))
            && self.now < self.late_copies
            && self.rng.random_range(0..4) == 0
        {
            if let Origin::Worker { .. } = message.origin {
                let copy = Message {
                    origin: Origin::Nobody,
                    ..message.clone()
                };
                let late = self.now + self.rng.random_range(1_000..self.size.lease_ms * 4);
                self.at(late, Event::Arrive(copy));
            }
        }
        self.at(time, Event::Arrive(message));
    }

    fn reply(&mut self, from: &Dest, to: Origin, status: u16, body: Vec<u8>) {
        let (until, _) = self.cut(&to, from);
        let lost = self.now < self.lost_answers && self.rng.random_range(0..20) == 0;
        let deaf = match &to {
            Origin::Worker { id, .. } => self
                .workers
                .get(id)
                .is_some_and(|w| w.deaf_until.max(w.lost_until) > self.now),
            _ => false,
        };
        if until > self.now || lost || deaf {
            return;
        }
        let mut time = self.now + self.delay() + self.dawdle(&to, from);
        let slow = matches!(from, Dest::State) && self.now < self.slow_state;
        if slow && self.rng.random_range(0..4) == 0 {
            time += self.rng.random_range(100..1_500);
        }
        self.at(time, Event::Answer { to, status, body });
    }

    /// Plays until a time.
    pub fn run_until(&mut self, end: Ms) {
        while self.now < end {
            self.now += STEP;
            self.step();
        }
    }

    fn step(&mut self) {
        while self.faults.first().is_some_and(|f| f.at <= self.now) {
            let fault = self.faults.remove(0);
            self.inject(fault.kind);
        }
        while let Some(entry) = self.events.first_entry() {
            if entry.key().0 > self.now {
                break;
            }
            let event = entry.remove();
            self.happen(event);
        }
        if self.cloud.down && self.now >= self.cloud_until {
            self.cloud.down = false;
        }
        if self.state.down && self.now >= self.outage_until {
            self.state.set_down(false, self.now);
        }
        let (now, hosts) = (self.now, &self.hosts);
        let shut = |who: &Origin| match who {
            Origin::Node { node, .. } => hosts[*node].cuts.shut > now,
            _ => false,
        };
        for (to, value) in self.state.tick(now, shut) {
            let body = value.to_string().into_bytes();
            self.reply(&Dest::State, to, 200, body);
        }
        self.cloud.tick(self.now);
        self.boot();
        self.most_machines = self.most_machines.max(self.workers.len());
        self.tick_workers();
        self.tick_gangs();
        self.tick_users();
        for n in 0..self.hosts.len() {
            self.step_node(n);
        }
        if self.now.is_multiple_of(500) {
            self.check.tick(self.now);
        }
    }

    /// The controller that is meant, if there is one now.
    pub fn index_of(&self, who: &Who) -> Option<usize> {
        match who {
            Who::Index(n) => Some(*n),
            Who::HolderOf(id) => self.holder_of(id),
            Who::Leader => self.leader(),
            Who::Besides(who) => {
                let n = self.index_of(who)?;
                let mut others = (1..self.size.nodes).map(|i| (n + i) % self.size.nodes);
                others.find(|n| self.hosts[*n].node.is_some())
            }
        }
    }

    fn named(&self, field: Option<&serde_json::Value>) -> Option<usize> {
        field?.as_str()?.strip_prefix("berth-")?.parse().ok()
    }

    /// The leader, as the state service has it.
    pub fn leader(&self) -> Option<usize> {
        self.named(self.state.value(records::LEADER)?.get("node"))
    }

    fn share_of(&self, id: &JobId) -> Option<ShareId> {
        let share = self.state.value(&records::job_key(id))?.get("share")?;
        Some(ShareId(share.as_u64()? as u32))
    }

    /// The holder of a job's share, as the state service has it.
    pub fn holder_of(&self, id: &JobId) -> Option<usize> {
        let key = records::share_key(self.share_of(id)?);
        self.named(self.state.value(&key)?.get("holder"))
    }

    /// The epoch of a job's share, as the state service has it.
    pub fn epoch_of(&self, id: &JobId) -> Option<u64> {
        let key = records::share_key(self.share_of(id)?);
        self.state.value(&key)?.get("epoch")?.as_u64()
    }

    /// The machines that are meant and are up.
    pub fn machines_of(&self, which: &Which) -> Vec<MachineId> {
        let held = |w: &Worker, who: usize| {
            let machine = self.state.value(&records::machine_key(&w.id))?;
            let share = ShareId(machine.get("share")?.as_u64()? as u32);
            let share = self.state.value(&records::share_key(share))?;
            Some(self.named(share.get("holder"))? == who)
        };
        let meant = |w: &Worker| match which {
            Which::OfJob(id) => w.has_task_of(id),
            Which::OfHolder(who) => self
                .index_of(who)
                .is_some_and(|n| held(w, n).unwrap_or(false)),
            Which::OfZone(zone) => w.zone == *zone,
            Which::Named(ids) => ids.contains(&w.id),
            Which::Some(_) | Which::All => true,
        };
        let all = self.workers.values().filter(|w| meant(w));
        all.map(|w| w.id.clone()).collect()
    }

    fn inject_machines(&mut self, which: &Which, fault: MachineFault) {
        let now = self.now;
        let mut ids = self.machines_of(which);
        if let Which::Some(n) = which {
            while ids.len() > *n {
                let i = self.rng.random_range(0..ids.len());
                ids.swap_remove(i);
            }
        }
        for id in ids {
            let Some(w) = self.workers.get_mut(&id) else {
                continue;
            };
            match fault {
                MachineFault::Die => self.die(&id),
                MachineFault::Hang(time) => w.hung_until = now + time,
                MachineFault::Cut(time) => w.cut_until = now + time,
                MachineFault::Deaf(time) => w.lost_until = now + time,
                MachineFault::Mute(time) => w.mute_until = now + time,
                MachineFault::Slow(time) => w.slow_until = now + time,
                MachineFault::Sick(time) => w.sick_until = now + time,
            }
        }
    }

    /// A machine stops with all that is on it.
    fn die(&mut self, id: &MachineId) {
        self.end_worker(id);
        if let Some(m) = self.cloud.machines.get_mut(id) {
            m.failed = true;
        }
    }

    /// Faults that have come, with when. Controllers that were named by what
    /// they are have their indices here.
    pub fn injected(&self) -> &[(Ms, FaultKind)] {
        &self.injected
    }

    /// The time.
    pub fn now(&self) -> Ms {
        self.now
    }

    /// When a user was first told that a job is cancelled.
    pub fn cancelled_at(&self, id: &JobId) -> Option<Ms> {
        self.check.cancelled_at(id)
    }

    fn inject(&mut self, kind: FaultKind) {
        let now = self.now;
        let kind = match kind {
            FaultKind::At(who, kind) => match self.index_of(&who) {
                Some(n) => kind.aimed(n),
                None => {
                    self.at(now + STEP, Event::Inject(FaultKind::At(who, kind)));
                    return;
                }
            },
            kind => kind,
        };
        self.injected.push((now, kind.clone()));
        let pick = |world: &mut Self| {
            let ids: Vec<MachineId> = world.workers.keys().cloned().collect();
            (!ids.is_empty()).then(|| ids[world.rng.random_range(0..ids.len())].clone())
        };
        match kind {
            FaultKind::Crash { node, count, back } => {
                let nodes = self.size.nodes;
                for n in (0..count).map(|i| (node + i) % nodes) {
                    self.hosts[n].node = None;
                    self.at(now + back, Event::Restart(n));
                }
            }
            FaultKind::Cut {
                node,
                state,
                workers,
                cloud,
                time,
                hold,
            } => {
                let cuts = &mut self.hosts[node].cuts;
                cuts.hold = hold;
                for (on, until) in [
                    (state, &mut cuts.state),
                    (workers, &mut cuts.workers),
                    (cloud, &mut cuts.cloud),
                ] {
                    if on {
                        *until = now + time;
                    }
                }
            }
            FaultKind::ZoneCut { zone, time, hold } => self.zone_cut = (zone, now + time, hold),
            FaultKind::Refuse { node, time } => self.hosts[node].cuts.refuse = now + time,
            FaultKind::Slow { node, time } => self.hosts[node].cuts.slow = now + time,
            FaultKind::Outage(time) => {
                self.state.set_down(true, now);
                self.outage_until = now + time;
            }
            FaultKind::SlowState(time) => self.slow_state = now + time,
            FaultKind::LateWrites(time) => self.late_writes = now + time,
            FaultKind::CloudTrouble(time) => {
                self.cloud.down = true;
                self.cloud_until = now + time;
            }
            FaultKind::LateCopies(time) => self.late_copies = now + time,
            FaultKind::LostAnswers(time) => self.lost_answers = now + time,
            FaultKind::Die => {
                if let Some(id) = pick(self) {
                    self.die(&id);
                }
            }
            FaultKind::At(_, kind) => self.inject(*kind),
            FaultKind::Machines(which, fault) => self.inject_machines(&which, fault),
            FaultKind::Shut { node, time } => self.hosts[node].cuts.shut = now + time,
            FaultKind::PeerCut {
                node,
                with,
                time,
                hold,
            } => {
                let bits = with.map_or(u64::MAX, |w| w.iter().fold(0, |b, n| b | 1 << n));
                self.hosts[node].cuts.peers = (now + time, bits, hold);
            }
            FaultKind::DirectCut { node, time, hold } => {
                self.hosts[node].cuts.direct = (now + time, hold);
            }
            FaultKind::Pause { node, time } => self.hosts[node].cuts.pause = now + time,
            FaultKind::Taken { notice } => {
                let ids: Vec<MachineId> = self
                    .workers
                    .values()
                    .filter(|w| w.spot)
                    .map(|w| w.id.clone())
                    .collect();
                for id in ids {
                    if let Some(w) = self.workers.get_mut(&id) {
                        w.taken_at = (notice > 0).then_some(now + notice);
                    }
                    self.at(now + notice, Event::Taken(id));
                }
            }
            FaultKind::Hang(time)
            | FaultKind::MachineCut(time)
            | FaultKind::Deaf(time)
            | FaultKind::Sick(time) => {
                let id = pick(self);
                let Some(w) = id.and_then(|id| self.workers.get_mut(&id)) else {
                    return;
                };
                match kind {
                    FaultKind::Hang(_) => w.hung_until = now + time,
                    FaultKind::MachineCut(_) => w.cut_until = now + time,
                    FaultKind::Deaf(_) => w.deaf_until = now + time,
                    _ => w.sick_until = now + time,
                }
            }
        }
    }

    fn happen(&mut self, event: Event) {
        match event {
            Event::Arrive(message) => self.arrive(message),
            Event::Answer { to, status, body } => self.answered(to, status, body),
            Event::Peer { to, message } => {
                if self.hosts[to].node.is_some() {
                    self.hosts[to].inbox.push(Input::Peer(message));
                }
            }
            Event::Restart(n) => {
                if self.hosts[n].node.is_none() {
                    self.start(n);
                }
            }
            Event::Inject(kind) => self.inject(kind),
            Event::Taken(id) => {
                self.end_worker(&id);
                self.cloud.end(&id);
            }
        }
    }

    fn end_worker(&mut self, id: &MachineId) {
        if let Some(mut w) = self.workers.remove(id) {
            w.wipe(&mut self.check);
        }
    }

    fn boot(&mut self) {
        for id in std::mem::take(&mut self.cloud.ended) {
            self.end_worker(&id);
        }
        for (id, m) in &self.cloud.machines {
            if !m.failed && self.now >= m.up_at && !self.workers.contains_key(id) {
                let mut w = Worker::new(id.clone(), &m.machine_type, &m.zone, m.spot, self.now);
                w.node = self.rng.random_range(0..self.size.nodes);
                self.workers.insert(id.clone(), w);
            }
        }
    }

    fn tick_workers(&mut self) {
        let now = self.now;
        let mut reports = Vec::new();
        for w in self.workers.values_mut() {
            if w.hung_until > now {
                continue;
            }
            let mut around = Around {
                now,
                truths: &self.truths,
                check: &mut self.check,
                lease_ms: self.size.lease_ms,
            };
            w.tick(&mut around);
            if w.open.is_some_and(|(_, _, sent)| now >= sent + 4_000) {
                w.open = None;
                w.node = (w.node + 1) % self.size.nodes;
                w.next_report = now + 1_000;
            }
            if w.open.is_none() && now >= w.next_report {
                let report = w.report(now);
                w.open = Some((report.seq, report.session, now));
                w.next_report = now + self.size.report_ms;
                let body = serde_json::to_vec(&report).unwrap_or_default();
                self.reports += 1;
                reports.push(Message {
                    origin: Origin::Worker {
                        id: w.id.clone(),
                        report: report.seq,
                    },
                    dest: Dest::Node(w.node),
                    method: "POST".to_owned(),
                    path: "/v1/report".to_owned(),
                    body,
                });
            }
        }
        for report in reports {
            self.send(report);
        }
    }

    /// Gangs start together, end together, and notice that one is gone.
    fn tick_gangs(&mut self) {
        type Member = (MachineId, TaskRef, TaskStage);
        let mut attempts: BTreeMap<(JobId, u64), Vec<Member>> = BTreeMap::new();
        for w in self.workers.values_mut() {
            w.give_up_waiting(self.now, &mut self.check, GANG_WAIT_MS);
        }
        for w in self.workers.values() {
            for ((task, attempt), t) in &w.tasks {
                let gang = self
                    .truths
                    .get(&task.job)
                    .is_some_and(|t| t.spec.kind == JobKind::Gang);
                if gang && matches!(t.stage, TaskStage::Gathering | TaskStage::Running) {
                    let key = (task.job.clone(), *attempt);
                    attempts
                        .entry(key)
                        .or_default()
                        .push((w.id.clone(), task.clone(), t.stage));
                }
            }
        }
        for ((job, attempt), members) in attempts {
            let truth = &self.truths[&job];
            let whole = members.len() as u32 == truth.spec.tasks;
            let began = self.gangs.get(&(job.clone(), attempt)).copied();
            let done = (0..truth.spec.tasks).all(|index| {
                self.check.is_completed(&TaskRef {
                    job: job.clone(),
                    index,
                })
            });
            let waits = members.iter().any(|(_, _, s)| *s == TaskStage::Gathering);
            let cause = match began {
                None if whole && waits => {
                    self.gangs.insert((job.clone(), attempt), self.now);
                    for (m, task, _) in &members {
                        let w = self.workers.get_mut(m);
                        if let Some(t) = w.and_then(|w| w.tasks.get_mut(&(task.clone(), attempt))) {
                            t.stage = TaskStage::Running;
                        }
                    }
                    None
                }
                _ if done => Some(ExitCause::Done),
                Some(t) if whole && self.now >= t + truth.run_ms => Some(ExitCause::Done),
                Some(_) if !whole => Some(ExitCause::Peers),
                _ => None,
            };
            let Some(cause) = cause else { continue };
            for (m, task, _) in &members {
                let mut around = Around {
                    now: self.now,
                    truths: &self.truths,
                    check: &mut self.check,
                    lease_ms: self.size.lease_ms,
                };
                if cause == ExitCause::Done {
                    around.check.completed(task);
                }
                if let Some(w) = self.workers.get_mut(m).filter(|w| w.hung_until <= self.now) {
                    w.exit(&mut around, &(task.clone(), attempt), cause);
                }
            }
        }
    }

    fn tick_users(&mut self) {
        for i in 0..self.users.len() {
            let user = &mut self.users[i];
            if user.open && self.now >= user.sent + 5_000 {
                user.open = false;
                user.next = self.now + 1_000;
            }
            if user.open || user.aim == Aim::Over || self.now < user.next {
                continue;
            }
            if user.aim == Aim::Poll && user.plan.cancel_at.is_some_and(|t| self.now >= t) {
                user.aim = Aim::Cancel;
            }
            user.op += 1;
            user.open = true;
            user.sent = self.now;
            let id = user.plan.spec.id.clone();
            let (method, path, body) = match user.aim {
                Aim::Submit => {
                    self.check.submitted(&user.plan.spec);
                    let truth = Truth {
                        spec: user.plan.spec.clone(),
                        run_ms: user.plan.run_ms,
                    };
                    self.truths.insert(id.clone(), truth);
                    let body = serde_json::to_vec(&user.plan.spec).unwrap_or_default();
                    ("POST", "/submissions".to_owned(), body)
                }
                Aim::Cancel => {
                    self.check.asked_cancel(&id);
                    ("POST", format!("/submissions/{id}/abort"), Vec::new())
                }
                _ => ("GET", format!("/submissions/{id}"), Vec::new()),
            };
            let (op, at_node) = (user.op, user.plan.at_node.clone());
            let node = match at_node.and_then(|who| self.index_of(&who)) {
                Some(n) => n,
                None => self.rng.random_range(0..self.size.nodes),
            };
            let message = Message {
                origin: Origin::User { user: i, op },
                dest: Dest::Node(node),
                method: method.to_owned(),
                path,
                body,
            };
            self.send(message);
        }
    }

    fn arrive(&mut self, m: Message) {
        let now = self.now;
        match m.dest.clone() {
            Dest::State => {
                let txn = m.path == "/txn" && !matches!(m.origin, Origin::Nobody);
                if txn && now < self.late_writes && self.rng.random_range(0..8) == 0 {
                    let late = now + self.rng.random_range(2_000..12_000);
                    let origin = Origin::Nobody;
                    self.at(late, Event::Arrive(Message { origin, ..m }));
                    return;
                }
                let refused = match &m.origin {
                    Origin::Node { node, .. } => {
                        let cuts = &self.hosts[*node].cuts;
                        cuts.refuse.max(cuts.shut) > now
                    }
                    _ => false,
                };
                let answer = if refused {
                    let watch = m.path.starts_with("/changes");
                    (!watch).then(|| (503, serde_json::json!({"error": "refused"})))
                } else {
                    self.state
                        .handle(now, &m.method, &m.path, &m.body, m.origin.clone())
                };
                if let Some((status, value)) = answer {
                    self.reply(&m.dest, m.origin, status, value.to_string().into_bytes());
                }
            }
            Dest::Cloud => {
                let (status, value) = self.cloud.handle(now, &m.path, &m.body, &mut self.rng);
                // What the cloud deleted is gone by the time it answers.
                self.boot();
                self.reply(&m.dest, m.origin, status, value.to_string().into_bytes());
            }
            Dest::Worker(id) => {
                let Some(w) = self.workers.get_mut(&id) else {
                    return;
                };
                if w.hung_until > now {
                    let until = w.hung_until;
                    self.at(until, Event::Arrive(m));
                    return;
                }
                let mut around = Around {
                    now,
                    truths: &self.truths,
                    check: &mut self.check,
                    lease_ms: self.size.lease_ms,
                };
                let (status, body) = w.commands(&mut around, &m.body);
                self.reply(&m.dest, m.origin, status, body);
            }
            Dest::Node(n) => {
                let host = &mut self.hosts[n];
                if host.node.is_none() {
                    self.reply(&m.dest, m.origin, 0, Vec::new());
                    return;
                }
                let token = Token(host.next_token);
                host.next_token += 1;
                host.requests.insert(token, m.origin);
                host.inbox.push(Input::Request {
                    token,
                    method: m.method,
                    path: m.path,
                    body: Some(m.body),
                });
            }
        }
    }

    fn answered(&mut self, to: Origin, status: u16, body: Vec<u8>) {
        match to {
            Origin::Nobody => {}
            Origin::Node { node, start, call } => {
                let host = &mut self.hosts[node];
                if host.start == start && host.open.remove(&call) {
                    host.inbox.push(Input::Answer { call, status, body });
                }
            }
            Origin::Worker { id, report } => self.worker_answered(&id, report, status, &body),
            Origin::User { user, op } => self.user_answered(user, op, status, &body),
        }
    }

    fn worker_answered(&mut self, id: &MachineId, report: u64, status: u16, body: &[u8]) {
        let now = self.now;
        let Some(w) = self.workers.get_mut(id).filter(|w| w.hung_until <= now) else {
            return;
        };
        if w.open.is_none_or(|(seq, _, _)| seq != report) {
            return;
        }
        if status == 200 {
            if let Ok(reply) = serde_json::from_slice::<ReportReply>(body) {
                let mut around = Around {
                    now,
                    truths: &self.truths,
                    check: &mut self.check,
                    lease_ms: self.size.lease_ms,
                };
                w.replied(&mut around, reply.token, &reply.orders);
                return;
            }
        }
        w.open = None;
        let redirect: Redirect = serde_json::from_slice(body).unwrap_or_default();
        let to = redirect
            .report_to
            .and_then(|n| n.strip_prefix("berth-").and_then(|n| n.parse().ok()));
        match to {
            Some(n) if status == 421 && n != w.node && n < self.size.nodes => {
                w.node = n;
                w.next_report = now + 100;
            }
            _ => {
                w.node = (w.node + 1) % self.size.nodes;
                w.next_report = now + 1_000;
            }
        }
    }

    fn user_answered(&mut self, i: usize, op: u64, status: u16, body: &[u8]) {
        let now = self.now;
        let user = &mut self.users[i];
        if user.op != op || !user.open {
            return;
        }
        user.open = false;
        let answer: Option<JobStatus> = serde_json::from_slice(body).ok();
        let stage = answer.map(|a| a.stage);
        let id = user.plan.spec.id.clone();
        let submission = user.aim == Aim::Submit;
        if status > 0 {
            self.check.answered(now, &id, submission, status, stage);
        }
        let good = matches!(status, 200 | 201);
        let last = stage.is_some_and(JobStage::is_final);
        (user.aim, user.next) = match user.aim {
            Aim::Submit if good => (Aim::Poll, now + 2_000),
            Aim::Submit if matches!(status, 400 | 422) => (Aim::Over, now),
            Aim::Cancel if good => (Aim::Poll, now + 3_000),
            // A final state is asked for again, to see that it stays.
            Aim::Poll if good && last => (Aim::Poll, now + 20_000),
            aim => (aim, now + 1_500),
        };
        if good && last {
            user.plan.cancel_at = None;
        }
    }

    fn step_node(&mut self, n: usize) {
        let now = self.now;
        let host = &mut self.hosts[n];
        let Some(node) = host.node.as_mut() else {
            return;
        };
        if host.cuts.pause > now {
            return;
        }
        let pause = if host.cuts.slow > now { 1_500 } else { 0 };
        let due = now >= host.stepped + IDLE || !host.inbox.is_empty();
        if !due || now < host.stepped + pause {
            return;
        }
        host.stepped = now;
        let start = host.start;
        let inbox = std::mem::take(&mut host.inbox);
        let mut late = Vec::new();
        let mut sends = Vec::new();
        let mut replies = Vec::new();
        let mut tells = Vec::new();
        for effect in node.step(now, now + WALL_OFF, inbox) {
            match effect {
                Effect::Respond { token, reply } => {
                    if let Some(origin) = host.requests.remove(&token) {
                        replies.push((origin, reply.status, reply.body));
                    }
                }
                Effect::Tell { node, message } => tells.push((node, message)),
                Effect::Call {
                    id,
                    target,
                    method,
                    path,
                    body,
                    timeout,
                } => {
                    host.open.insert(id);
                    let origin = Origin::Node {
                        node: n,
                        start,
                        call: id,
                    };
                    late.push((now + timeout, origin.clone()));
                    let dest = match target {
                        Target::State => Dest::State,
                        Target::Cloud => Dest::Cloud,
                        Target::Worker(addr) => Dest::Worker(MachineId::new(&addr)),
                    };
                    sends.push(Message {
                        origin,
                        dest,
                        method: method.to_owned(),
                        path,
                        body: body.unwrap_or_default(),
                    });
                }
            }
        }
        for (to, message) in tells {
            self.tell(n, to.as_str(), message);
        }
        for (time, to) in late {
            self.at(
                time,
                Event::Answer {
                    to,
                    status: 0,
                    body: Vec::new(),
                },
            );
        }
        for message in sends {
            self.send(message);
        }
        for (to, status, body) in replies {
            self.reply(&Dest::Node(n), to, status, body);
        }
    }

    /// A message to a peer comes, or comes late, or comes twice, or is lost.
    fn tell(&mut self, from: usize, to: &str, message: Vec<u8>) {
        let to = to
            .strip_prefix("berth-")
            .and_then(|n| n.parse::<usize>().ok());
        let Some(to) = to.filter(|n| *n < self.hosts.len()) else {
            return;
        };
        for (one, other) in [(from, to), (to, from)] {
            let (until, with, hold) = self.hosts[one].cuts.peers;
            if until > self.now && with >> other & 1 == 1 {
                if hold {
                    let late = until + self.rng.random_range(1..30_000);
                    self.at(late, Event::Peer { to, message });
                }
                return;
            }
        }
        let (zone, until, _) = self.zone_cut;
        let apart = until > self.now && (zone_of(from) == zone) != (zone_of(to) == zone);
        let state = self.hosts[from].cuts.state.max(self.hosts[to].cuts.state);
        let cut = state > self.now || apart;
        let copies = match self.rng.random_range(0..20) {
            0 => 0,
            1 => 2,
            _ => 1,
        };
        for _ in 0..copies {
            let late = cut || self.rng.random_range(0..20) == 0;
            let delay = if late {
                self.rng.random_range(100..60_000)
            } else {
                self.delay()
            };
            let message = message.clone();
            self.at(self.now + delay, Event::Peer { to, message });
        }
    }

    /// What a quiet end must show: everything accepted is done, or runs.
    pub fn unserved(&self) -> Vec<String> {
        let mut left = Vec::new();
        for user in &self.users {
            let spec = &user.plan.spec;
            if user.aim == Aim::Submit {
                left.push(format!("{}: not accepted", spec.id));
            }
            if user.aim != Aim::Poll
                || user.plan.cancel_at.is_none() && spec.kind == JobKind::Service
            {
                continue;
            }
            let tasks = (0..spec.tasks).map(|index| TaskRef {
                job: spec.id.clone(),
                index,
            });
            let cancelled = self.check.was_cancelled(&spec.id);
            let done = tasks.clone().all(|t| self.check.is_completed(&t));
            if !cancelled && !done && spec.kind != JobKind::Service {
                left.push(format!(
                    "{}: {:?} of {} tasks is not done",
                    spec.id, spec.kind, spec.tasks
                ));
            }
        }
        left
    }

    /// Machines that the cloud has been told to delete, or has taken.
    pub fn ended(&self) -> usize {
        self.cloud.n_ended
    }

    /// Reports of workers so far, and what controllers that are up looked at.
    pub fn work(&self) -> (u64, u64) {
        let nodes = self.hosts.iter().filter_map(|h| h.node.as_ref());
        (self.reports, nodes.map(Node::visits).sum())
    }

    /// Machines that are up.
    pub fn machines(&self) -> usize {
        self.workers.len()
    }

    /// Most machines that were up at a time.
    pub fn most_machines(&self) -> usize {
        self.most_machines
    }

    /// Puts and deletes that the state service has carried out.
    pub fn writes(&self) -> u64 {
        self.state.writes
    }
}
