//! Model test of a worker, the holder of its shard and three other controllers, while links
//! are lost and restored in random order. The worker follows the rules of the protocol.
//!
//! Guards against a lease that expires although the worker could reach the holder, directly
//! or by a relay, and against a worker that stays relayed after a partition. The reference
//! state is the state of the links. Generated partitions leave at least two of the three
//! other controllers with links to both the worker and the holder; the link between the
//! worker and the holder may be lost at any time.

use forkshift_links::{HeartbeatRoute, LinkTiming, MachineLink, Ms, RedirectHistory, RelayTable};
use forkshift_wire::{MachineId, NodeName};
use proptest::prelude::*;
use proptest_state_machine::{prop_state_machine, ReferenceStateMachine, StateMachineTest};

const CONTROLLERS: usize = 4;
const HOLDER: usize = 0;
const STEP_MS: Ms = 250;
const HEARTBEAT_INTERVAL_MS: Ms = 5_000;
const TIMEOUT_MS: Ms = 4_000;
/// Delay before a worker tries the next controller.
const RETRY_DELAY_MS: Ms = 1_000;
const LEASE_MS: Ms = 24_000;
const RELAY_REQUEST_INTERVAL_MS: Ms = 500;
const RELAY_REQUEST_TTL_MS: Ms = 2_500;
const HOLDER_INCARNATION: u64 = 7;
const TIMING: LinkTiming = LinkTiming {
    heartbeat_timeout_ms: 6_750,
    lease_ms: LEASE_MS,
};

/// Which links are up.
#[derive(Clone, Debug)]
struct Network {
    /// Links between the worker and each controller.
    worker: [bool; CONTROLLERS],
    /// Links between the holder and each other controller.
    peers: [bool; CONTROLLERS],
}

impl Network {
    /// Whether the worker's lease can be renewed: at most one of the other controllers lacks
    /// a link to the worker or to the holder.
    fn can_renew_lease(&self) -> bool {
        let others = HOLDER + 1..CONTROLLERS;
        let unusable = others.filter(|node| !self.worker[*node] || !self.peers[*node]);
        unusable.count() <= 1
    }
}

#[derive(Clone, Debug)]
enum Transition {
    /// Sets the link between the worker and a controller.
    SetWorkerLink(usize, bool),
    /// Sets the link between the holder and another controller.
    SetPeerLink(usize, bool),
    /// Advances the time by this duration.
    Wait(Ms),
}

impl ReferenceStateMachine for Network {
    type State = Self;
    type Transition = Transition;

    fn init_state() -> BoxedStrategy<Self> {
        let all_up = Self {
            worker: [true; CONTROLLERS],
            peers: [true; CONTROLLERS],
        };
        Just(all_up).boxed()
    }

    fn transitions(_: &Self) -> BoxedStrategy<Transition> {
        let node = 0..CONTROLLERS;
        prop_oneof![
            2 => (node, any::<bool>()).prop_map(|(node, is_up)| Transition::SetWorkerLink(node, is_up)),
            1 => (1..CONTROLLERS, any::<bool>()).prop_map(|(node, is_up)| Transition::SetPeerLink(node, is_up)),
            // Long enough for the worker to renew its lease in full after a partition.
            3 => (LEASE_MS..LEASE_MS * 4).prop_map(Transition::Wait),
        ]
        .boxed()
    }

    fn apply(mut state: Self, transition: &Transition) -> Self {
        match transition {
            Transition::SetWorkerLink(node, is_up) => state.worker[*node] = *is_up,
            Transition::SetPeerLink(node, is_up) => state.peers[*node] = *is_up,
            Transition::Wait(_) => {}
        }
        state
    }

    fn preconditions(state: &Self, transition: &Transition) -> bool {
        Self::apply(state.clone(), transition).can_renew_lease()
    }
}

/// The state of the worker and of all controllers.
struct Deployment {
    now: Ms,
    machine: MachineId,
    /// The controller that the worker sends heartbeats to.
    controller: usize,
    /// Time of the worker's next heartbeat.
    next_heartbeat_at: Ms,
    /// Time at which the heartbeat without a response was sent; `None` if there is none.
    awaiting_response_since: Option<Ms>,
    /// Time of the last answered heartbeat.
    lease_renewed_at: Ms,
    /// The holder's link to the machine.
    link: MachineLink,
    next_call_at: Ms,
    next_relay_request_at: Ms,
    relay_requests: u64,
    relays: Vec<RelayTable>,
    redirects: Vec<RedirectHistory>,
}

impl Deployment {
    fn new() -> Self {
        let controllers = || 0..CONTROLLERS;
        Self {
            now: 0,
            machine: MachineId::new("host-000001"),
            controller: HOLDER,
            next_heartbeat_at: 0,
            awaiting_response_since: None,
            lease_renewed_at: 0,
            link: MachineLink::default(),
            next_call_at: 0,
            next_relay_request_at: 0,
            relay_requests: 0,
            relays: controllers().map(|_| RelayTable::default()).collect(),
            redirects: controllers()
                .map(|_| RedirectHistory::new(LEASE_MS))
                .collect(),
        }
    }

    fn holder() -> NodeName {
        NodeName::new("holder")
    }

    fn step(&mut self, network: &Network) {
        self.now += STEP_MS;
        self.step_holder(network);
        if let Some(since) = self.awaiting_response_since {
            if self.now >= since + TIMEOUT_MS {
                self.awaiting_response_since = None;
                self.controller = (self.controller + 1) % CONTROLLERS;
                self.next_heartbeat_at = self.now + RETRY_DELAY_MS;
            }
        } else if self.now >= self.next_heartbeat_at {
            self.send_heartbeat(network);
        }
        assert!(
            self.now < self.lease_renewed_at + LEASE_MS,
            "the lease has expired at {} ms, the worker tries {}, {network:?}",
            self.now,
            self.controller
        );
    }

    /// The holder calls the worker if a failback is due, and requests relays if direct
    /// heartbeats are missing.
    fn step_holder(&mut self, network: &Network) {
        let is_call_due =
            self.link.is_failback_probe_due(self.now) && self.now >= self.next_call_at;
        if is_call_due {
            self.next_call_at = self.now + TIMEOUT_MS;
            let is_answered = network.worker[HOLDER];
            self.link.on_call(self.now, is_answered, &TIMING);
        }
        if self.now < self.next_relay_request_at {
            return;
        }
        self.next_relay_request_at = self.now + RELAY_REQUEST_INTERVAL_MS;
        self.relay_requests += 1;
        let wants_relay = self.link.needs_relay(self.now, 0, &TIMING);
        for node in (HOLDER + 1..CONTROLLERS).filter(|node| network.peers[*node]) {
            let machines = wants_relay.then(|| self.machine.clone());
            let until = self.now + RELAY_REQUEST_TTL_MS;
            self.relays[node].on_relay_request(
                &Self::holder(),
                HOLDER_INCARNATION,
                self.relay_requests,
                machines,
                until,
            );
        }
    }

    fn send_heartbeat(&mut self, network: &Network) {
        let node = self.controller;
        if !network.worker[node] {
            self.awaiting_response_since = Some(self.now);
        } else if node == HOLDER {
            self.link
                .on_heartbeat(self.now, HeartbeatRoute::Direct, &TIMING);
            self.on_response();
        } else {
            self.send_heartbeat_to_other_controller(node, network);
        }
    }

    fn send_heartbeat_to_other_controller(&mut self, node: usize, network: &Network) {
        let (machine, holder) = (self.machine.clone(), Self::holder());
        let (incarnation, now) = (HOLDER_INCARNATION, self.now);
        let is_relayed = self.relays[node].is_requested_by(&machine, &holder, incarnation, now);
        let redirects = &mut self.redirects[node];
        let has_returned = redirects.was_recently_redirected(&machine, &holder, incarnation, now);
        if !is_relayed && !has_returned {
            redirects.on_redirected(machine, holder, incarnation, now);
            self.controller = HOLDER;
            self.next_heartbeat_at = self.now;
        } else if network.peers[node] {
            self.link
                .on_heartbeat(self.now, HeartbeatRoute::Relayed, &TIMING);
            self.on_response();
        } else {
            self.controller = (node + 1) % CONTROLLERS;
            self.next_heartbeat_at = self.now + RETRY_DELAY_MS;
        }
    }

    fn on_response(&mut self) {
        self.lease_renewed_at = self.now;
        self.next_heartbeat_at = self.now + HEARTBEAT_INTERVAL_MS;
    }
}

struct LinksTest;

impl StateMachineTest for LinksTest {
    type SystemUnderTest = Deployment;
    type Reference = Network;

    fn init_test(_: &Network) -> Deployment {
        Deployment::new()
    }

    fn apply(mut state: Deployment, network: &Network, transition: Transition) -> Deployment {
        // After a link has changed, a whole lease passes, so that expiry would be seen.
        let duration_ms = match transition {
            Transition::Wait(duration_ms) => duration_ms,
            Transition::SetWorkerLink(..) | Transition::SetPeerLink(..) => LEASE_MS,
        };
        for _ in 0..duration_ms / STEP_MS {
            state.step(network);
        }
        state
    }

    fn teardown(mut state: Deployment, _: Network) {
        let restored = Network {
            worker: [true; CONTROLLERS],
            peers: [true; CONTROLLERS],
        };
        // 20 leases: twice the longest backoff between failbacks (8 leases), and a failback.
        for _ in 0..LEASE_MS * 20 / STEP_MS {
            state.step(&restored);
        }
        assert_eq!(
            state.controller, HOLDER,
            "the worker sends heartbeats to the holder"
        );
        assert!(!state.link.is_relayed());
    }
}

prop_state_machine! {
    #![proptest_config(ProptestConfig { cases: 1_000, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn lease_is_renewed_while_some_controller_reaches_worker_and_holder(
        sequential 1..24 => LinksTest
    );
}
