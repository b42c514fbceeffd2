//! The world around the controllers, in virtual time.

mod cuts;
mod digest;
mod fleet;
mod inject;
mod network;
mod observe;
mod odd;
mod pools;
mod remote;
mod size;
mod troubles;
mod users;
mod waiting;

pub use remote::{Answer, Asker, MachineChange, Outgoing, Service};
pub use size::{settings, NextLimits, Size};
pub use users::{job_id, Mistake, Plan};

use crate::check::{Calm, Checker};
use crate::cloud::Cloud;
use crate::faults::{Fault, FaultKind};
use crate::fleet::Fleet;
use crate::state::{ServiceModel, SizeLimits, State};
use crate::worker::{Truth, Worker};
use crate::Ms;
use cuts::Cuts;
use digest::Digest;
use forkshift_core::{Config, Effect, FormatVersion, Input, Node, Operator, RequestId, Target};
use forkshift_pools::{PoolSpec, Pools};
use forkshift_wire::settings::Settings;
use forkshift_wire::{JobId, MachineId};
use network::{Dest, Message, Origin};
use odd::{Aside, Ask};
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use remote::Remote;
use size::{TXN_OPS, VALUE_KB};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use troubles::Troubles;
use users::{Aim, User};

/// Time passes in steps of this.
const STEP: Ms = 10;
/// The checker looks at what must not last this often.
const CHECK_EVERY: Ms = 500;
/// Jobs that wait though there is room are looked for this often.
const LOOK_FOR_WAITING_EVERY: Ms = 2_000;
/// A controller that nothing wakes looks at the clock this often.
const IDLE: Ms = 50;
/// Time of day when the world begins.
const WALL_OFF: Ms = 1_000_000;

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
    Ask {
        id: JobId,
        node: usize,
        ask: Ask,
    },
}

struct Host {
    node: Option<Node>,
    /// It is still of the old release.
    is_old: bool,
    /// Pools that it declares from its next start on.
    pools: Vec<PoolSpec>,
    start: u64,
    inbox: Vec<Input>,
    stepped: Ms,
    /// It stands still.
    asleep: bool,
    /// Calls whose end has not been told.
    open: BTreeSet<u64>,
    /// Requests that wait for an answer.
    requests: HashMap<RequestId, Origin>,
    next_request: u64,
    cuts: Cuts,
}

/// Most records on a page of the state service's listings.
const LIST_ITEMS_MOST: usize = 1_000;

/// What the services around are like.
struct Services {
    fleet: Fleet,
    /// Most CPUs and GPUs of each team.
    limits: BTreeMap<String, (f64, f64)>,
    sizes: SizeLimits,
    model: ServiceModel,
}

/// What a world with controllers of their own is made of, beside its size.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// Machines that can be rented.
    pub fleet: Fleet,
    /// Most CPUs and GPUs that each team may use; 0: no limit.
    pub team_limits: BTreeMap<String, (f64, f64)>,
    /// Largest value that the state service takes.
    pub value_bytes: usize,
    /// Most changes in one of its transactions.
    pub txn_ops: usize,
}

/// Jobs that were accepted, by what their users were told, or else by whether a
/// task of them is on a machine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct JobCounts {
    /// All of them.
    pub accepted: u64,
    /// Told to be done.
    pub done: u64,
    /// Told to be cancelled.
    pub cancelled: u64,
    /// Neither, with a task on a machine.
    pub running: u64,
    /// Neither, with none.
    pub waiting: u64,
}

/// All of it.
pub struct World {
    size: Size,
    now: Ms,
    /// The time of the step before.
    before: Ms,
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
    troubles: Troubles,
    /// When the faults so far are over.
    troubled_until: Ms,
    /// Requests beside those that users make in turn.
    asides: BTreeMap<u64, Aside>,
    next_aside: u64,
    /// How many there were, and how many got an answer in time.
    asides_answered: (u64, u64),
    reports: u64,
    /// Messages between controllers, if they are kept.
    messages: Option<Vec<Vec<u8>>>,
    digest: Digest,
    /// What goes to and from controllers that are processes of their own.
    remote: Option<Remote>,
    /// Watches what truly happens.
    pub check: Checker,
}

impl World {
    /// A world with three controllers that are about to start.
    pub fn new(seed: u64, plans: Vec<Plan>, faults: Vec<Fault>) -> Self {
        Self::sized(seed, plans, faults, Size::default())
    }

    /// A world of any size.
    pub fn sized(seed: u64, plans: Vec<Plan>, faults: Vec<Fault>, size: Size) -> Self {
        Self::with_pools(seed, plans, faults, size, Vec::new())
    }

    /// A world whose controllers declare warm pools, each its own.
    pub fn with_pools(
        seed: u64,
        plans: Vec<Plan>,
        faults: Vec<Fault>,
        size: Size,
        pools: Vec<Vec<PoolSpec>>,
    ) -> Self {
        let limits = (0..size.teams)
            .map(|t| (format!("team-{t}"), size.limit))
            .collect();
        let sizes = SizeLimits {
            value_bytes: VALUE_KB * 1024,
            txn_ops: TXN_OPS,
        };
        let services = Services {
            fleet: Fleet::default(),
            limits,
            sizes,
            model: ServiceModel::default(),
        };
        let mut world = Self::without_controllers(seed, plans, faults, size, services);
        for (host, pools) in world.hosts.iter_mut().zip(pools) {
            host.pools = pools;
        }
        for n in 0..size.nodes {
            world.start(n);
        }
        world
    }

    /// What pools a controller declares from its next start on.
    pub fn declare_pools(&mut self, node: usize, pools: Vec<PoolSpec>) {
        self.hosts[node].pools = pools;
    }

    /// A world whose controllers are processes of their own; see
    /// [`World::advance_to`]. The state service refuses what is beyond its limits.
    pub fn remote(
        seed: u64,
        plans: Vec<Plan>,
        faults: Vec<Fault>,
        size: Size,
        deployment: Deployment,
    ) -> Self {
        let services = Services {
            fleet: deployment.fleet,
            limits: deployment.team_limits,
            sizes: SizeLimits {
                value_bytes: deployment.value_bytes,
                txn_ops: deployment.txn_ops,
            },
            model: ServiceModel {
                page_items: LIST_ITEMS_MOST,
                enforces_limits: true,
            },
        };
        let mut world = Self::without_controllers(seed, plans, faults, size, services);
        world.remote = Some(Remote::default());
        world.check.observe();
        world
    }

    fn without_controllers(
        seed: u64,
        plans: Vec<Plan>,
        mut faults: Vec<Fault>,
        size: Size,
        services: Services,
    ) -> Self {
        faults.sort_by_key(|f| f.at);
        let mut world = Self {
            now: 0,
            before: 0,
            rng: StdRng::seed_from_u64(seed),
            hosts: Vec::new(),
            state: State::new(size.rps, size.write_rps, services.sizes, services.model),
            cloud: Cloud::new(size.capacity, services.fleet),
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
                    ticket: 0,
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
            troubles: Troubles::default(),
            troubled_until: 0,
            asides: BTreeMap::new(),
            next_aside: 0,
            asides_answered: (0, 0),
            reports: 0,
            messages: None,
            digest: Digest::default(),
            remote: None,
            check: Checker::new(services.limits, size.cancel_ms),
        };
        for _ in 0..size.nodes {
            world.hosts.push(Host {
                node: None,
                is_old: size.begins_old,
                pools: Vec::new(),
                start: 0,
                inbox: Vec::new(),
                stepped: 0,
                asleep: false,
                open: BTreeSet::new(),
                requests: HashMap::new(),
                next_request: 0,
                cuts: Cuts::default(),
            });
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
        host.asleep = false;
        host.inbox.clear();
        host.open.clear();
        host.requests.clear();
        let teams: Vec<&str> = settings
            .cluster
            .teams
            .iter()
            .map(|t| t.name.as_str())
            .collect();
        let pools = Pools::parse(&host.pools, &teams, &[]);
        let operator = Operator {
            pools: pools.unwrap_or_else(|e| panic!("pools: {e}")),
            ..Operator::default()
        };
        let mut config = Config::new(&settings, operator);
        if host.is_old {
            config.format = FormatVersion::FIRST;
        }
        host.node = Some(Node::new(config, self.starts, seed));
    }

    fn at(&mut self, time: Ms, event: Event) {
        self.next_event += 1;
        self.events
            .insert((time.max(self.now + 1), self.next_event), event);
    }

    /// Plays until a time.
    pub fn run_until(&mut self, end: Ms) {
        while self.now < end {
            self.step_to(self.now + STEP);
        }
    }

    /// Lets one step pass, until a time.
    fn step_to(&mut self, time: Ms) {
        self.before = self.now;
        self.now = time;
        self.step();
    }

    /// Whether the present step has come to another multiple of a period. Steps in
    /// real time pass over most multiples without ending at them.
    fn comes_to_multiple_of(&self, period: Ms) -> bool {
        self.now / period > self.before / period
    }

    fn step(&mut self) {
        self.release_kept();
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
        self.tick_odd();
        for n in 0..self.hosts.len() {
            self.step_node(n);
        }
        if self.comes_to_multiple_of(CHECK_EVERY) {
            let calm = match self.faults.is_empty() && self.now >= self.troubled_until {
                true => Calm::Since(self.troubled_until),
                false => Calm::Not,
            };
            self.check.calm(calm);
            let hung = self.workers.values();
            let expired = hung.filter(|w| w.is_hung_without_lease(self.now, self.size.lease_ms));
            let expired = expired.map(|w| w.id.clone()).collect();
            self.check.tick(self.now, &expired);
        }
        if self.comes_to_multiple_of(LOOK_FOR_WAITING_EVERY) {
            self.look_for_waiting();
        }
    }

    /// Something goes wrong now.
    pub fn fault_now(&mut self, kind: FaultKind) {
        self.inject(kind);
    }

    /// From now on, all that controllers write and tell each other is kept.
    pub fn keep_formats(&mut self) {
        self.state.puts = Some(Vec::new());
        self.messages = Some(Vec::new());
    }

    fn happen(&mut self, event: Event) {
        match event {
            Event::Arrive(message) => self.arrive(message),
            Event::Answer { to, status, body } => match self.asleep_until(&to) {
                // A controller that stands still gives no call up: by the time
                // it goes on, the answer may have come.
                Some(until) if status == 0 => {
                    self.at(until + 1, Event::Answer { to, status, body })
                }
                _ => self.answered(to, status, body),
            },
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
            Event::Ask { id, node, ask } => self.ask(id, node, ask),
            Event::Taken(id) => {
                self.end_worker(&id);
                self.cloud.note_end(&id, self.now);
                self.cloud.end(&id);
            }
        }
    }

    /// Until when the controller that made a call stands still.
    fn asleep_until(&self, to: &Origin) -> Option<Ms> {
        let Origin::Node { node, .. } = to else {
            return None;
        };
        let until = self.hosts[*node].cuts.pause;
        (until > self.now).then_some(until)
    }

    /// What a controller finds as it goes on after standing still: all that
    /// has come meanwhile, from many connections, in any order; or nothing
    /// yet, as the clock is looked at first.
    fn wake(&mut self, n: usize) -> Vec<Input> {
        let mut found = std::mem::take(&mut self.hosts[n].inbox);
        found.shuffle(&mut self.rng);
        if self.rng.random() {
            self.hosts[n].inbox = found;
            return Vec::new();
        }
        found
    }

    fn step_node(&mut self, n: usize) {
        let now = self.now;
        let host = &mut self.hosts[n];
        if host.node.is_none() {
            return;
        }
        if host.cuts.pause > now {
            host.asleep = true;
            return;
        }
        let pause = if host.cuts.slow > now { 1_500 } else { 0 };
        let due = now >= host.stepped + IDLE || !host.inbox.is_empty();
        if !due || now < host.stepped + pause {
            return;
        }
        host.stepped = now;
        let start = host.start;
        let inbox = match std::mem::take(&mut host.asleep) {
            true => self.wake(n),
            false => std::mem::take(&mut host.inbox),
        };
        let host = &mut self.hosts[n];
        let Some(node) = host.node.as_mut() else {
            return;
        };
        let mut late = Vec::new();
        let mut sends = Vec::new();
        let mut replies = Vec::new();
        let mut tells = Vec::new();
        for effect in node.step(now, now + WALL_OFF, inbox) {
            match effect {
                Effect::Respond { request, reply } => {
                    if let Some(origin) = host.requests.remove(&request) {
                        replies.push((origin, reply.status, reply.body));
                    }
                }
                Effect::SendToPeer { node, message } => tells.push((node, message)),
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
                        Target::Store => Dest::State,
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
            self.digest.peer(now, n, to.as_str(), &message);
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
            self.digest.call(now, &message);
            self.send(message);
        }
        for (to, status, body) in replies {
            self.digest.reply(now, n, status, &body);
            self.reply(&Dest::Node(n), to, status, body);
        }
    }

    /// Looks at the whole day, at its end.
    pub fn close(&mut self) {
        self.check.close(self.now);
    }
}
