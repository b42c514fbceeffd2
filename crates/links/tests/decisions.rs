//! Decisions that are permitted during partitions, and the state of links after heartbeats
//! and calls.

use forkshift_links::{
    CloudLink, Decision, HeartbeatRoute, Link, LinkStates, LinkTiming, MachineLink, RelayTable,
};
use forkshift_wire::{MachineId, NodeName};
use proptest::prelude::*;

const TIMING: LinkTiming = LinkTiming {
    heartbeat_timeout_ms: 1_000,
    lease_ms: 10_000,
};

fn links_without(lost: &[Link]) -> LinkStates {
    let mut links = LinkStates::default();
    for link in Link::ALL {
        links.set(link, !lost.contains(&link));
    }
    links
}

/// Guards against accidental changes: a change to the required links must be made here too.
#[test]
fn each_lost_link_forbids_the_decisions_that_require_it() {
    use Decision::{DecommissionUnresponsiveMachines, HoldShards, RemainLeader, StartTasks};
    let cases: [(&[Link], &[Decision]); 6] = [
        (&[], &[]),
        (
            &[Link::Store],
            &[StartTasks, DecommissionUnresponsiveMachines],
        ),
        (
            &[Link::Heartbeats],
            &[DecommissionUnresponsiveMachines, HoldShards],
        ),
        (&[Link::WorkerCalls], &[HoldShards]),
        (&[Link::Cloud], &[RemainLeader]),
        (&Link::ALL, &Decision::ALL),
    ];
    for (lost, forbidden) in cases {
        let links = links_without(lost);
        for decision in Decision::ALL {
            let expected = !forbidden.contains(&decision);
            assert_eq!(
                links.allows(decision),
                expected,
                "{decision:?} without {lost:?}"
            );
        }
    }
}

proptest! {
    /// Guards against inverted rules: the loss of a link must not permit a decision that was
    /// forbidden before.
    #[test]
    fn lost_link_permits_no_further_decision(up in any::<[bool; 4]>(), lost in 0_usize..4) {
        let mut links = LinkStates::default();
        for (link, is_up) in Link::ALL.into_iter().zip(up) {
            links.set(link, is_up);
        }
        let before = links;
        links.set(Link::ALL[lost], false);
        for decision in Decision::ALL {
            prop_assert!(!links.allows(decision) || before.allows(decision));
        }
    }
}

/// Guards against false alarms: a single call without a response is no evidence of a
/// partition, and a single response ends one.
#[test]
fn machine_is_unreachable_after_two_calls_without_response() {
    let mut link = MachineLink::default();
    for (is_answered, is_reachable) in [(false, true), (false, false), (false, false), (true, true)]
    {
        link.on_call(1, is_answered, &TIMING);
        assert_eq!(link.is_reachable(), is_reachable);
    }
}

/// Guards against a worker that loses its lease to repeated failbacks. A failback is
/// attempted only after a call has reached the machine, and each failed one doubles the
/// backoff. While heartbeats are relayed, no task is started.
#[test]
fn failed_failbacks_of_a_relayed_worker_back_off() {
    let mut link = MachineLink::default();
    link.on_heartbeat(0, HeartbeatRoute::Direct, &TIMING);
    assert!(link.can_start_tasks() && !link.needs_relay(1_000, 0, &TIMING));
    assert!(link.needs_relay(1_001, 0, &TIMING));
    link.on_heartbeat(2_000, HeartbeatRoute::Relayed, &TIMING);
    assert!(!link.can_start_tasks() && !link.is_failback_probe_due(6_999));
    let mut now = 7_000;
    let mut backoffs = Vec::new();
    for _ in 0..3 {
        assert!(link.is_failback_probe_due(now));
        link.on_call(now, true, &TIMING);
        assert!(!link.needs_relay(now, 0, &TIMING), "failback in progress");
        let started_at = now;
        while !link.is_failback_probe_due(now) {
            now += 100;
            link.on_heartbeat(now, HeartbeatRoute::Relayed, &TIMING);
        }
        backoffs.push(now - started_at);
    }
    assert!(
        backoffs.is_sorted() && backoffs[0] < backoffs[2],
        "{backoffs:?}"
    );
    link.on_heartbeat(now, HeartbeatRoute::Direct, &TIMING);
    assert!(link.can_start_tasks());
}

/// Guards against leadership that keeps moving while no controller reaches the cloud. The
/// link is lost only after several calls without any response, and a leader that resigns
/// abstains for longer each time.
#[test]
fn cloud_link_is_lost_after_calls_without_response() {
    let mut link = CloudLink::default();
    for now in [100, 200] {
        link.on_call(now, false);
    }
    assert!(!link.is_lost(10_000, 500));
    link.on_call(300, false);
    assert!(!link.is_lost(599, 500) && link.is_lost(600, 500));
    link.on_resigned(600, 1_000, 4_000);
    assert!(link.abstains_from_election(1_599) && !link.abstains_from_election(1_600));
    link.on_elected();
    assert!(!link.is_lost(9_000, 500));
    for now in [700, 800, 900] {
        link.on_call(now, false);
    }
    assert!(
        !link.is_lost(1_699, 500) && link.is_lost(1_700, 500),
        "lost after the duration of the abstention"
    );
    link.on_resigned(2_000, 1_000, 4_000);
    assert!(link.abstains_from_election(3_999) && !link.abstains_from_election(4_000));
    link.on_call(5_000, true);
    link.on_resigned(6_000, 1_000, 4_000);
    assert!(
        !link.abstains_from_election(7_000),
        "a response resets the abstention"
    );
}

/// Guards against outdated relay requests: an older list, another incarnation, another holder
/// or an expired request must not cause a relay.
#[test]
fn outdated_relay_requests_are_ignored() {
    let (holder, other) = (NodeName::new("a"), NodeName::new("b"));
    let machine = |n: u32| MachineId::new(&format!("host-{n}"));
    let mut table = RelayTable::default();
    table.on_relay_request(&holder, 1, 5, [machine(1)], 100);
    table.on_relay_request(&holder, 1, 5, [machine(2)], 100);
    table.on_relay_request(&holder, 1, 4, [machine(3)], 100);
    let is_requested = |table: &RelayTable, n, holder, incarnation, now| {
        table.is_requested_by(&machine(n), holder, incarnation, now)
    };
    assert!(is_requested(&table, 1, &holder, 1, 99) && is_requested(&table, 2, &holder, 1, 99));
    assert!(!is_requested(&table, 3, &holder, 1, 99), "an older list");
    assert!(!is_requested(&table, 1, &other, 1, 99) && !is_requested(&table, 1, &holder, 2, 99));
    assert!(
        !is_requested(&table, 1, &holder, 1, 100),
        "an expired request"
    );
    table.on_relay_request(&holder, 2, 1, [machine(4)], 200);
    assert!(!is_requested(&table, 1, &holder, 2, 150) && is_requested(&table, 4, &holder, 2, 150));
    table.on_relay_request(&holder, 2, 2, [], 200);
    assert!(
        !is_requested(&table, 4, &holder, 2, 150),
        "an empty list removes the machine"
    );
    table.on_relay_request(&holder, 2, 3, [machine(4)], 200);
    table.remove_expired(200);
    assert!(table.is_empty());
}
