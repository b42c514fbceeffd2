//! Simulated controllers: start, steps, and the messages that they send.

use super::config::settings;
use super::events::Event;
use super::network::{Destination, Message, Origin};
use super::partitions::ControllerFaults;
use super::{Simulation, WALL_CLOCK_OFFSET_MS};
use crate::Ms;
use forkshift_core::{
    Config, Effect, FormatVersion, Input, Node, Operator, Reply, RequestId, Target,
};
use forkshift_pools::{PoolSpec, Pools};
use forkshift_wire::settings::Settings;
use forkshift_wire::MachineId;
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::Rng;
use std::collections::{BTreeSet, HashMap};

/// Interval between the steps of a controller without input.
const IDLE_STEP_INTERVAL_MS: Ms = 50;
/// Minimum time between the steps of a controller with slow timers.
const SLOW_STEP_INTERVAL_MS: Ms = 1_500;

/// A controller, running or not.
pub(super) struct Controller {
    /// The controller's state machine; none while it is down.
    pub(super) node: Option<Node>,
    /// Whether the controller starts as the old release, which writes the first format version.
    pub(super) is_old: bool,
    /// Warm pools that the controller declares from its next start on.
    pub(super) pools: Vec<PoolSpec>,
    pub(super) incarnation: u64,
    /// Input for the next step.
    pub(super) inbox: Vec<Input>,
    last_step_at: Ms,
    /// Whether the controller was paused since its last step.
    was_paused: bool,
    /// Calls of the controller that have neither a response nor a timeout yet.
    pub(super) open_calls: BTreeSet<u64>,
    /// Senders of the requests that the controller has not replied to yet.
    open_requests: HashMap<RequestId, Origin>,
    next_request: u64,
    pub(super) faults: ControllerFaults,
}

impl Controller {
    pub(super) fn new(is_old: bool) -> Self {
        Self {
            node: None,
            is_old,
            pools: Vec::new(),
            incarnation: 0,
            inbox: Vec::new(),
            last_step_at: 0,
            was_paused: false,
            open_calls: BTreeSet::new(),
            open_requests: HashMap::new(),
            next_request: 0,
            faults: ControllerFaults::default(),
        }
    }

    pub(super) fn is_up(&self) -> bool {
        self.node.is_some()
    }

    /// Starts a new incarnation. Requests and calls of the previous one are lost.
    fn start(&mut self, settings: &Settings, incarnation: u64, seed: u64) {
        self.incarnation = incarnation;
        self.was_paused = false;
        self.inbox.clear();
        self.open_calls.clear();
        self.open_requests.clear();
        let config = self.config(settings);
        self.node = Some(Node::new(config, incarnation, seed));
    }

    fn config(&self, settings: &Settings) -> Config {
        let teams = settings.cluster.teams.iter();
        let teams: Vec<&str> = teams.map(|team| team.name.as_str()).collect();
        let pools = Pools::parse(&self.pools, &teams, &[]);
        let operator = Operator {
            pools: pools.unwrap_or_else(|e| panic!("pools: {e}")),
            ..Operator::default()
        };
        let mut config = Config::new(settings, operator);
        if self.is_old {
            config.format = FormatVersion::FIRST;
        }
        config
    }

    /// Adds a request to the input of the next step.
    pub(super) fn receive(&mut self, message: Message) {
        let request = RequestId(self.next_request);
        self.next_request += 1;
        self.open_requests.insert(request, message.origin);
        self.inbox.push(Input::Request {
            request,
            method: message.method,
            path: message.path,
            body: Some(message.body),
        });
    }

    /// Takes the input of a step; none if no step is due.
    fn begin_step(&mut self, now: Ms, rng: &mut StdRng) -> Option<Vec<Input>> {
        if !self.is_up() {
            return None;
        }
        if self.faults.paused_until > now {
            self.was_paused = true;
            return None;
        }
        let has_work = now >= self.last_step_at + IDLE_STEP_INTERVAL_MS || !self.inbox.is_empty();
        let is_slow = self.faults.slow_timers_until > now;
        let min_interval = if is_slow { SLOW_STEP_INTERVAL_MS } else { 0 };
        if !has_work || now < self.last_step_at + min_interval {
            return None;
        }
        self.last_step_at = now;
        Some(match std::mem::take(&mut self.was_paused) {
            true => self.resume(rng),
            false => std::mem::take(&mut self.inbox),
        })
    }

    /// Takes the input of the first step after a pause: either everything that has arrived, in
    /// random order, as it comes from many connections, or nothing, as timers may fire first.
    fn resume(&mut self, rng: &mut StdRng) -> Vec<Input> {
        let mut input = std::mem::take(&mut self.inbox);
        input.shuffle(rng);
        if rng.random() {
            self.inbox = input;
            return Vec::new();
        }
        input
    }
}

/// Messages that a controller sends in one step.
#[derive(Default)]
struct Outbox {
    /// Timeouts of the calls.
    timeouts: Vec<(Ms, Origin)>,
    calls: Vec<Message>,
    replies: Vec<(Origin, Reply)>,
    /// Messages to peers, each with the name of the peer.
    peer_messages: Vec<(String, Vec<u8>)>,
}

impl Simulation {
    /// Sets the warm pools that a controller declares from its next start on.
    pub fn declare_pools(&mut self, node: usize, pools: Vec<PoolSpec>) {
        self.controllers[node].pools = pools;
    }

    pub(super) fn start_controller(&mut self, index: usize) {
        let settings = Settings::parse(&settings(index, &self.config))
            .unwrap_or_else(|e| panic!("invalid settings: {e}"));
        self.controller_starts += 1;
        let seed = self.rng.random();
        self.controllers[index].start(&settings, self.controller_starts, seed);
    }

    pub(super) fn step_controller(&mut self, index: usize) {
        let controller = &mut self.controllers[index];
        let Some(input) = controller.begin_step(self.now, &mut self.rng) else {
            return;
        };
        let outbox = self.run_step(index, input);
        self.send_outbox(index, outbox);
    }

    /// Runs a step of a controller and collects the messages that it sends.
    fn run_step(&mut self, index: usize, input: Vec<Input>) -> Outbox {
        let now = self.now;
        let controller = &mut self.controllers[index];
        let mut outbox = Outbox::default();
        let Some(node) = controller.node.as_mut() else {
            return outbox;
        };
        for effect in node.step(now, now + WALL_CLOCK_OFFSET_MS, input) {
            match effect {
                Effect::Respond { request, reply } => {
                    if let Some(origin) = controller.open_requests.remove(&request) {
                        outbox.replies.push((origin, reply));
                    }
                }
                Effect::SendToPeer { node, message } => {
                    outbox
                        .peer_messages
                        .push((node.as_str().to_owned(), message));
                }
                Effect::Call {
                    id,
                    target,
                    method,
                    path,
                    body,
                    timeout,
                } => {
                    controller.open_calls.insert(id);
                    let origin = Origin::Controller {
                        index,
                        incarnation: controller.incarnation,
                        call: id,
                    };
                    outbox.timeouts.push((now + timeout, origin.clone()));
                    outbox.calls.push(Message {
                        origin,
                        destination: destination_of(target),
                        method: method.to_owned(),
                        path,
                        body: body.unwrap_or_default(),
                    });
                }
            }
        }
        outbox
    }

    /// Sends the messages of a step. Their order determines the order of random draws.
    fn send_outbox(&mut self, index: usize, outbox: Outbox) {
        let now = self.now;
        for (to, message) in outbox.peer_messages {
            self.traffic.digest.peer(now, index, &to, &message);
            self.send_to_peer(index, &to, message);
        }
        for (time, to) in outbox.timeouts {
            let body = Vec::new();
            let status = 0;
            self.schedule(time, Event::ResponseArrival { to, status, body });
        }
        for message in outbox.calls {
            self.traffic.digest.call(now, &message);
            self.traffic.command_calls += u64::from(message.path == "/commands");
            self.send(message);
        }
        for (to, reply) in outbox.replies {
            let Reply { status, body, .. } = reply;
            self.traffic.digest.reply(now, index, status, &body);
            self.respond(&Destination::Controller(index), to, status, body);
        }
    }
}

fn destination_of(target: Target) -> Destination {
    match target {
        Target::Store => Destination::Store,
        Target::Cloud => Destination::Cloud,
        Target::Worker(address) => Destination::Worker(MachineId::new(&address)),
    }
}
