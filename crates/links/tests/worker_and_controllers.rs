//! A worker, the holder of its shard and three more controllers, with links that are cut
//! and healed in any order, against the protocol's rules for workers.
//!
//! The reference state says which links are up and keeps to what can be survived: the worker
//! loses two controllers at a time at most, or the holder while another has lost
//! the holder. Then its lease must not end, and once all is healed it is back at the holder.

use forkshift_links::{MachineLink, Ms, Redirects, RelayTable, Route, Timing};
use forkshift_wire::{MachineId, NodeName};
use proptest::prelude::*;
use proptest_state_machine::{prop_state_machine, ReferenceStateMachine, StateMachineTest};

const CONTROLLERS: usize = 4;
const HOLDER: usize = 0;
const STEP: Ms = 250;
const REPORT: Ms = 5_000;
const TIMEOUT: Ms = 4_000;
const NEXT: Ms = 1_000;
const LEASE: Ms = 24_000;
const LIST_EVERY: Ms = 500;
const LIST_LASTS: Ms = 2_500;
const INC: u64 = 7;
const TIMING: Timing = Timing {
    report_ms: 6_750,
    lease_ms: LEASE,
};

/// Which links are up.
#[derive(Clone, Debug)]
struct Network {
    /// Between the worker and each controller.
    worker: [bool; CONTROLLERS],
    /// Between the holder and each other controller.
    peers: [bool; CONTROLLERS],
}

impl Network {
    /// Whether what is cut can be survived.
    fn is_survivable(&self) -> bool {
        let others = HOLDER + 1..CONTROLLERS;
        let of_no_use = others.filter(|n| !self.worker[*n] || !self.peers[*n]);
        of_no_use.count() <= 1
    }
}

#[derive(Clone, Debug)]
enum Transition {
    Worker(usize, bool),
    Peer(usize, bool),
    Pass(Ms),
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
            2 => (node, any::<bool>()).prop_map(|(n, up)| Transition::Worker(n, up)),
            1 => (1..CONTROLLERS, any::<bool>()).prop_map(|(n, up)| Transition::Peer(n, up)),
            // Long enough that what a cut has cost of the lease is made good.
            3 => (LEASE..LEASE * 4).prop_map(Transition::Pass),
        ]
        .boxed()
    }

    fn apply(mut state: Self, transition: &Transition) -> Self {
        match transition {
            Transition::Worker(n, up) => state.worker[*n] = *up,
            Transition::Peer(n, up) => state.peers[*n] = *up,
            Transition::Pass(_) => {}
        }
        state
    }

    fn preconditions(state: &Self, transition: &Transition) -> bool {
        Self::apply(state.clone(), transition).is_survivable()
    }
}

/// The worker as the protocol has it, and what the controllers know.
struct Deployment {
    now: Ms,
    id: MachineId,
    /// The controller that the worker reports to, when it does next, and since when it
    /// has waited for an answer.
    at: usize,
    next: Ms,
    waits_since: Option<Ms>,
    /// When the last answered report was sent.
    renewed: Ms,
    link: MachineLink,
    called_at: Ms,
    listed_at: Ms,
    lists: u64,
    relays: Vec<RelayTable>,
    redirects: Vec<Redirects>,
}

impl Deployment {
    fn new() -> Self {
        let others = || 0..CONTROLLERS;
        Self {
            now: 0,
            id: MachineId::new("host-000001"),
            at: HOLDER,
            next: 0,
            waits_since: None,
            renewed: 0,
            link: MachineLink::default(),
            called_at: 0,
            listed_at: 0,
            lists: 0,
            relays: others().map(|_| RelayTable::default()).collect(),
            redirects: others().map(|_| Redirects::new(LEASE)).collect(),
        }
    }

    fn holder() -> NodeName {
        NodeName::new("holder")
    }

    fn step(&mut self, network: &Network) {
        self.now += STEP;
        self.holder_looks(network);
        if let Some(since) = self.waits_since {
            if self.now >= since + TIMEOUT {
                self.waits_since = None;
                self.at = (self.at + 1) % CONTROLLERS;
                self.next = self.now + NEXT;
            }
        } else if self.now >= self.next {
            self.report(network);
        }
        assert!(
            self.now < self.renewed + LEASE,
            "the lease has ended at {} ms, the worker tries {}, {network:?}",
            self.now,
            self.at
        );
    }

    /// The holder tells whether it hears the worker, and calls it when that is due.
    fn holder_looks(&mut self, network: &Network) {
        let due = self.link.is_probe_due(self.now) && self.now >= self.called_at;
        if due {
            self.called_at = self.now + TIMEOUT;
            let answered = network.worker[HOLDER];
            self.link.on_call(self.now, answered, &TIMING);
        }
        if self.now < self.listed_at {
            return;
        }
        self.listed_at = self.now + LIST_EVERY;
        self.lists += 1;
        let wanted = self.link.wants_relay(self.now, 0, &TIMING);
        for n in (HOLDER + 1..CONTROLLERS).filter(|n| network.peers[*n]) {
            let machines = wanted.then(|| self.id.clone());
            let until = self.now + LIST_LASTS;
            self.relays[n].on_relay_request(&Self::holder(), INC, self.lists, machines, until);
        }
    }

    fn report(&mut self, network: &Network) {
        let n = self.at;
        if !network.worker[n] {
            self.waits_since = Some(self.now);
        } else if n == HOLDER {
            self.link.on_heartbeat(self.now, Route::Direct, &TIMING);
            self.answered();
        } else {
            self.report_elsewhere(n, network);
        }
    }

    fn report_elsewhere(&mut self, n: usize, network: &Network) {
        let (id, holder) = (self.id.clone(), Self::holder());
        let asked = self.relays[n].is_requested_by(&id, &holder, INC, self.now);
        let came_back = self.redirects[n].has_returned(&id, &holder, INC, self.now);
        if !asked && !came_back {
            self.redirects[n].on_redirected(id, holder, INC, self.now);
            self.at = HOLDER;
            self.next = self.now;
        } else if network.peers[n] {
            self.link.on_heartbeat(self.now, Route::Relayed, &TIMING);
            self.answered();
        } else {
            self.at = (n + 1) % CONTROLLERS;
            self.next = self.now + NEXT;
        }
    }

    fn answered(&mut self) {
        self.renewed = self.now;
        self.next = self.now + REPORT;
    }
}

struct Links;

impl StateMachineTest for Links {
    type SystemUnderTest = Deployment;
    type Reference = Network;

    fn init_test(_: &Network) -> Deployment {
        Deployment::new()
    }

    fn apply(mut state: Deployment, network: &Network, transition: Transition) -> Deployment {
        // A cut may come at any moment between two reports.
        let time = match transition {
            Transition::Pass(time) => time,
            Transition::Worker(..) | Transition::Peer(..) => LEASE,
        };
        for _ in 0..time / STEP {
            state.step(network);
        }
        state
    }

    fn teardown(mut state: Deployment, _: Network) {
        let healed = Network {
            worker: [true; CONTROLLERS],
            peers: [true; CONTROLLERS],
        };
        // The longest pause between two tries, twice, and the way back.
        for _ in 0..LEASE * 20 / STEP {
            state.step(&healed);
        }
        assert_eq!(state.at, HOLDER, "the worker is back");
        assert!(!state.link.is_relayed());
    }
}

prop_state_machine! {
    #![proptest_config(ProptestConfig { cases: 1_000, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn a_lease_lasts_while_one_controller_is_reached_that_reaches_the_holder(
        sequential 1..24 => Links
    );
}
