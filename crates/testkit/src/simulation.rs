//! The world around the controllers, in virtual time.

mod digest;
mod fault_injection;
mod network;
mod network_faults;
mod observe;
mod partitions;
mod pools;
mod remote;
mod size;
mod unusual_requests;
mod users;
mod waiting_jobs;
mod workers;

pub use remote::{Answer, MachineChange, Outgoing, Requester, Service};
pub use size::{settings, NextLimits, Size};
pub use users::{job_id, JobDefect, Plan};

use crate::checker::{Checker, Quiescence};
use crate::cloud::CloudModel;
use crate::faults::{Fault, FaultKind};
use crate::fleet::Fleet;
use crate::store::{SizeLimits, StoreBehavior, StoreModel};
use crate::worker::{GroundTruth, Worker};
use crate::Ms;
use digest::TrafficDigest;
use forkshift_core::{Config, Effect, FormatVersion, Input, Node, Operator, RequestId, Target};
use forkshift_pools::{PoolSpec, Pools};
use forkshift_wire::settings::Settings;
use forkshift_wire::{JobId, MachineId};
use network::{Destination, Message, Origin};
use network_faults::ActiveFaults;
use partitions::ControllerFaults;
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use remote::RemoteQueues;
use size::{TXN_OPS, VALUE_KB};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use unusual_requests::{PendingRequest, UnusualRequest};
use users::{User, UserState};

/// Time passes in steps of this.
const STEP_MS: Ms = 10;
/// The checker looks at what must not last this often.
const CHECK_INTERVAL_MS: Ms = 500;
/// Jobs that wait though there is room are looked for this often.
const WAITING_JOBS_INTERVAL_MS: Ms = 2_000;
/// A controller that nothing wakes looks at the clock this often.
const IDLE_STEP_INTERVAL_MS: Ms = 50;
/// Time of day when the world begins.
const WALL_CLOCK_OFFSET_MS: Ms = 1_000_000;

enum Event {
    RequestArrival(Message),
    ResponseArrival {
        to: Origin,
        status: u16,
        body: Vec<u8>,
    },
    PeerMessageArrival {
        to: usize,
        message: Vec<u8>,
    },
    ControllerRestart(usize),
    SpotReclaim(MachineId),
    FaultStart(FaultKind),
    UnusualRequest {
        id: JobId,
        node: usize,
        request: UnusualRequest,
    },
}

struct Controller {
    node: Option<Node>,
    /// It is still of the old release.
    is_old: bool,
    /// Pools that it declares from its next start on.
    pools: Vec<PoolSpec>,
    incarnation: u64,
    inbox: Vec<Input>,
    last_step_at: Ms,
    /// It stands still.
    was_paused: bool,
    /// Calls whose end has not been told.
    open_calls: BTreeSet<u64>,
    /// Requests that wait for an answer.
    open_requests: HashMap<RequestId, Origin>,
    next_request: u64,
    faults: ControllerFaults,
}

/// Most records on a page of the state service's listings.
const MAX_LIST_ITEMS: usize = 1_000;

/// What the services around are like.
struct Services {
    fleet: Fleet,
    /// Most CPUs and GPUs of each team.
    limits: BTreeMap<String, (f64, f64)>,
    sizes: SizeLimits,
    model: StoreBehavior,
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
    previous_step_at: Ms,
    rng: StdRng,
    controllers: Vec<Controller>,
    store: StoreModel<Origin>,
    cloud: CloudModel,
    workers: BTreeMap<MachineId, Worker>,
    ground_truths: BTreeMap<JobId, GroundTruth>,
    users: Vec<User>,
    faults: Vec<Fault>,
    injected_faults: Vec<(Ms, FaultKind)>,
    events: BTreeMap<(Ms, u64), Event>,
    next_event: u64,
    late_copies_until: Ms,
    lost_responses_until: Ms,
    cloud_down_until: Ms,
    store_down_until: Ms,
    controller_starts: u64,
    gang_starts: BTreeMap<(JobId, u64), Ms>,
    max_machines: usize,
    /// The zone that is cut off, until when, and whether messages are held.
    zone_partition: (&'static str, Ms, bool),
    slow_store_until: Ms,
    late_writes_until: Ms,
    active_faults: ActiveFaults,
    /// When the faults so far are over.
    faults_until: Ms,
    /// Requests beside those that users make in turn.
    unusual_requests: BTreeMap<u64, PendingRequest>,
    last_unusual_request: u64,
    /// How many there were, and how many got an answer in time.
    unusual_request_counts: (u64, u64),
    heartbeats_sent: u64,
    /// Messages between controllers, if they are kept.
    recorded_messages: Option<Vec<Vec<u8>>>,
    digest: TrafficDigest,
    /// What goes to and from controllers that are processes of their own.
    remote: Option<RemoteQueues>,
    /// Watches what truly happens.
    pub check: Checker,
}

impl World {
    /// A world with three controllers that are about to start.
    pub fn new(seed: u64, plans: Vec<Plan>, faults: Vec<Fault>) -> Self {
        Self::with_size(seed, plans, faults, Size::default())
    }

    /// A world of any size.
    pub fn with_size(seed: u64, plans: Vec<Plan>, faults: Vec<Fault>, size: Size) -> Self {
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
            model: StoreBehavior::default(),
        };
        let mut world = Self::without_controllers(seed, plans, faults, size, services);
        for (host, pools) in world.controllers.iter_mut().zip(pools) {
            host.pools = pools;
        }
        for n in 0..size.nodes {
            world.start_controller(n);
        }
        world
    }

    /// What pools a controller declares from its next start on.
    pub fn declare_pools(&mut self, node: usize, pools: Vec<PoolSpec>) {
        self.controllers[node].pools = pools;
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
            model: StoreBehavior {
                max_page_items: MAX_LIST_ITEMS,
                enforces_limits: true,
            },
        };
        let mut world = Self::without_controllers(seed, plans, faults, size, services);
        world.remote = Some(RemoteQueues::default());
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
            previous_step_at: 0,
            rng: StdRng::seed_from_u64(seed),
            controllers: Vec::new(),
            store: StoreModel::new(size.rps, size.write_rps, services.sizes, services.model),
            cloud: CloudModel::new(size.capacity, services.fleet),
            size,
            workers: BTreeMap::new(),
            ground_truths: BTreeMap::new(),
            users: plans
                .into_iter()
                .map(|plan| User {
                    next_request_at: plan.at,
                    plan,
                    state: UserState::Submitting,
                    last_request: 0,
                    ticket: 0,
                    is_waiting: false,
                    sent_at: 0,
                })
                .collect(),
            faults,
            injected_faults: Vec::new(),
            events: BTreeMap::new(),
            next_event: 0,
            late_copies_until: 0,
            lost_responses_until: 0,
            cloud_down_until: 0,
            store_down_until: 0,
            controller_starts: 0,
            gang_starts: BTreeMap::new(),
            max_machines: 0,
            zone_partition: ("", 0, false),
            slow_store_until: 0,
            late_writes_until: 0,
            active_faults: ActiveFaults::default(),
            faults_until: 0,
            unusual_requests: BTreeMap::new(),
            last_unusual_request: 0,
            unusual_request_counts: (0, 0),
            heartbeats_sent: 0,
            recorded_messages: None,
            digest: TrafficDigest::default(),
            remote: None,
            check: Checker::new(services.limits, size.cancel_ms),
        };
        for _ in 0..size.nodes {
            world.controllers.push(Controller {
                node: None,
                is_old: size.begins_old,
                pools: Vec::new(),
                incarnation: 0,
                inbox: Vec::new(),
                last_step_at: 0,
                was_paused: false,
                open_calls: BTreeSet::new(),
                open_requests: HashMap::new(),
                next_request: 0,
                faults: ControllerFaults::default(),
            });
        }
        world
    }

    fn start_controller(&mut self, n: usize) {
        let settings =
            Settings::parse(&settings(n, &self.size)).unwrap_or_else(|e| panic!("settings: {e}"));
        self.controller_starts += 1;
        let seed = self.rng.random();
        let host = &mut self.controllers[n];
        host.incarnation = self.controller_starts;
        host.was_paused = false;
        host.inbox.clear();
        host.open_calls.clear();
        host.open_requests.clear();
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
        host.node = Some(Node::new(config, self.controller_starts, seed));
    }

    fn schedule(&mut self, time: Ms, event: Event) {
        self.next_event += 1;
        self.events
            .insert((time.max(self.now + 1), self.next_event), event);
    }

    /// Plays until a time.
    pub fn run_until(&mut self, end: Ms) {
        while self.now < end {
            self.step_to(self.now + STEP_MS);
        }
    }

    /// Lets one step pass, until a time.
    fn step_to(&mut self, time: Ms) {
        self.previous_step_at = self.now;
        self.now = time;
        self.step();
    }

    /// Whether the present step has come to another multiple of a period. Steps in
    /// real time pass over most multiples without ending at them.
    fn crosses_multiple_of(&self, period: Ms) -> bool {
        self.now / period > self.previous_step_at / period
    }

    fn step(&mut self) {
        self.release_kept_heartbeats();
        while self.faults.first().is_some_and(|f| f.at <= self.now) {
            let fault = self.faults.remove(0);
            self.inject(fault.kind);
        }
        while let Some(entry) = self.events.first_entry() {
            if entry.key().0 > self.now {
                break;
            }
            let event = entry.remove();
            self.handle_event(event);
        }
        if self.cloud.is_down && self.now >= self.cloud_down_until {
            self.cloud.is_down = false;
        }
        if self.store.is_down && self.now >= self.store_down_until {
            self.store.set_down(false, self.now);
        }
        let (now, hosts) = (self.now, &self.controllers);
        let shut = |who: &Origin| match who {
            Origin::Controller { index: node, .. } => hosts[*node].faults.store_lockout_until > now,
            _ => false,
        };
        for (to, value) in self.store.tick(now, shut) {
            let body = value.to_string().into_bytes();
            self.respond(&Destination::State, to, 200, body);
        }
        self.cloud.tick(self.now);
        self.sync_workers_with_cloud();
        self.max_machines = self.max_machines.max(self.workers.len());
        self.tick_workers();
        self.tick_gangs();
        self.tick_users();
        self.tick_unusual_requests();
        for n in 0..self.controllers.len() {
            self.step_controller(n);
        }
        if self.crosses_multiple_of(CHECK_INTERVAL_MS) {
            let calm = match self.faults.is_empty() && self.now >= self.faults_until {
                true => Quiescence::Since(self.faults_until),
                false => Quiescence::NotYet,
            };
            self.check.set_quiescence(calm);
            let hung = self.workers.values();
            let expired = hung.filter(|w| w.is_hung_without_lease(self.now, self.size.lease_ms));
            let expired = expired.map(|w| w.id.clone()).collect();
            self.check.tick(self.now, &expired);
        }
        if self.crosses_multiple_of(WAITING_JOBS_INTERVAL_MS) {
            self.check_waiting_jobs();
        }
    }

    /// Something goes wrong now.
    pub fn fault_now(&mut self, kind: FaultKind) {
        self.inject(kind);
    }

    /// From now on, all that controllers write and tell each other is kept.
    pub fn record_formats(&mut self) {
        self.store.recorded_puts = Some(Vec::new());
        self.recorded_messages = Some(Vec::new());
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::RequestArrival(message) => self.deliver_request(message),
            Event::ResponseArrival { to, status, body } => match self.paused_until(&to) {
                // A controller that stands still gives no call up: by the time
                // it goes on, the answer may have come.
                Some(until) if status == 0 => {
                    self.schedule(until + 1, Event::ResponseArrival { to, status, body })
                }
                _ => self.deliver_response(to, status, body),
            },
            Event::PeerMessageArrival { to, message } => {
                if self.controllers[to].node.is_some() {
                    self.controllers[to].inbox.push(Input::Peer(message));
                }
            }
            Event::ControllerRestart(n) => {
                if self.controllers[n].node.is_none() {
                    self.start_controller(n);
                }
            }
            Event::FaultStart(kind) => self.inject(kind),
            Event::UnusualRequest {
                id,
                node,
                request: ask,
            } => self.send_unusual_request(id, node, ask),
            Event::SpotReclaim(id) => {
                self.remove_worker(&id);
                self.cloud.end_billing(&id, self.now);
                self.cloud.terminate(&id);
            }
        }
    }

    /// Until when the controller that made a call stands still.
    fn paused_until(&self, to: &Origin) -> Option<Ms> {
        let Origin::Controller { index: node, .. } = to else {
            return None;
        };
        let until = self.controllers[*node].faults.paused_until;
        (until > self.now).then_some(until)
    }

    /// What a controller finds as it goes on after standing still: all that
    /// has come meanwhile, from many connections, in any order; or nothing
    /// yet, as the clock is looked at first.
    fn resume(&mut self, n: usize) -> Vec<Input> {
        let mut found = std::mem::take(&mut self.controllers[n].inbox);
        found.shuffle(&mut self.rng);
        if self.rng.random() {
            self.controllers[n].inbox = found;
            return Vec::new();
        }
        found
    }

    fn step_controller(&mut self, n: usize) {
        let now = self.now;
        let host = &mut self.controllers[n];
        if host.node.is_none() {
            return;
        }
        if host.faults.paused_until > now {
            host.was_paused = true;
            return;
        }
        let pause = if host.faults.slow_timers_until > now {
            1_500
        } else {
            0
        };
        let due = now >= host.last_step_at + IDLE_STEP_INTERVAL_MS || !host.inbox.is_empty();
        if !due || now < host.last_step_at + pause {
            return;
        }
        host.last_step_at = now;
        let start = host.incarnation;
        let inbox = match std::mem::take(&mut host.was_paused) {
            true => self.resume(n),
            false => std::mem::take(&mut host.inbox),
        };
        let host = &mut self.controllers[n];
        let Some(node) = host.node.as_mut() else {
            return;
        };
        let mut late = Vec::new();
        let mut sends = Vec::new();
        let mut replies = Vec::new();
        let mut tells = Vec::new();
        for effect in node.step(now, now + WALL_CLOCK_OFFSET_MS, inbox) {
            match effect {
                Effect::Respond { request, reply } => {
                    if let Some(origin) = host.open_requests.remove(&request) {
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
                    host.open_calls.insert(id);
                    let origin = Origin::Controller {
                        index: n,
                        incarnation: start,
                        call: id,
                    };
                    late.push((now + timeout, origin.clone()));
                    let dest = match target {
                        Target::Store => Destination::State,
                        Target::Cloud => Destination::Cloud,
                        Target::Worker(addr) => Destination::Worker(MachineId::new(&addr)),
                    };
                    sends.push(Message {
                        origin,
                        destination: dest,
                        method: method.to_owned(),
                        path,
                        body: body.unwrap_or_default(),
                    });
                }
            }
        }
        for (to, message) in tells {
            self.digest.peer(now, n, to.as_str(), &message);
            self.send_to_peer(n, to.as_str(), message);
        }
        for (time, to) in late {
            self.schedule(
                time,
                Event::ResponseArrival {
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
            self.respond(&Destination::Node(n), to, status, body);
        }
    }

    /// Looks at the whole day, at its end.
    pub fn finish(&mut self) {
        self.check.finish(self.now);
    }
}
