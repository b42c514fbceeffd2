//! Which decisions which cuts allow, and what is known of each link.

use forkshift_links::{CloudLink, Decision, Link, Links, MachineLink, RelayTable, Route, Timing};
use forkshift_wire::{MachineId, NodeName};
use proptest::prelude::*;

const TIMING: Timing = Timing {
    report_ms: 1_000,
    lease_ms: 10_000,
};

fn links_without(lost: &[Link]) -> Links {
    let mut links = Links::default();
    for link in Link::ALL {
        links.set(link, !lost.contains(&link));
    }
    links
}

/// The table of decisions, written out: a change to it has to be meant.
#[test]
fn each_cut_forbids_what_it_should() {
    use Decision::{HoldShards, Lead, RemoveSilentMachines, StartTasks};
    let cases: [(&[Link], &[Decision]); 6] = [
        (&[], &[]),
        (&[Link::Store], &[StartTasks, RemoveSilentMachines]),
        (&[Link::Heartbeats], &[RemoveSilentMachines, HoldShards]),
        (&[Link::WorkerCalls], &[HoldShards]),
        (&[Link::Cloud], &[Lead]),
        (&Link::ALL, &Decision::ALL),
    ];
    for (lost, forbidden) in cases {
        let links = links_without(lost);
        for decision in Decision::ALL {
            let expected = !forbidden.contains(&decision);
            assert_eq!(
                links.allow(decision),
                expected,
                "{decision:?} without {lost:?}"
            );
        }
    }
}

proptest! {
    /// A link that is lost never allows more than before.
    #[test]
    fn a_lost_link_allows_nothing_more(up in any::<[bool; 4]>(), lost in 0_usize..4) {
        let mut links = Links::default();
        for (link, is_up) in Link::ALL.into_iter().zip(up) {
            links.set(link, is_up);
        }
        let before = links;
        links.set(Link::ALL[lost], false);
        for decision in Decision::ALL {
            prop_assert!(!links.allow(decision) || before.allow(decision));
        }
    }
}

/// One call without an answer is no cut; one answer ends it.
#[test]
fn calls_are_lost_after_two_without_an_answer() {
    let mut link = MachineLink::default();
    for (answered, takes) in [(false, true), (false, false), (false, false), (true, true)] {
        link.on_call(1, answered, &TIMING);
        assert_eq!(link.is_callable(), takes);
    }
}

/// Where reports come by others nothing is started, and the worker is sent back only
/// after a call has shown that we reach it; each failed try costs a longer pause.
#[test]
fn a_relayed_worker_comes_back_at_a_pace() {
    let mut link = MachineLink::default();
    link.on_heartbeat(0, Route::Direct, &TIMING);
    assert!(link.accepts_starts() && !link.wants_relay(1_000, 0, &TIMING));
    assert!(link.wants_relay(1_001, 0, &TIMING));
    link.on_heartbeat(2_000, Route::Relayed, &TIMING);
    assert!(!link.accepts_starts() && !link.is_probe_due(6_999));
    let mut now = 7_000;
    let mut pauses = Vec::new();
    for _ in 0..3 {
        assert!(link.is_probe_due(now));
        link.on_call(now, true, &TIMING);
        assert!(!link.wants_relay(now, 0, &TIMING), "it is sent back");
        let began = now;
        while !link.is_probe_due(now) {
            now += 100;
            link.on_heartbeat(now, Route::Relayed, &TIMING);
        }
        pauses.push(now - began);
    }
    assert!(pauses.is_sorted() && pauses[0] < pauses[2], "{pauses:?}");
    link.on_heartbeat(now, Route::Direct, &TIMING);
    assert!(link.accepts_starts());
}

/// Only calls without any answer count, and a leader that resigned waits longer each time.
#[test]
fn the_cloud_is_lost_after_calls_without_an_answer() {
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
        "as long as it abstained"
    );
    link.on_resigned(2_000, 1_000, 4_000);
    assert!(link.abstains_from_election(3_999) && !link.abstains_from_election(4_000));
    link.on_call(5_000, true);
    link.on_resigned(6_000, 1_000, 4_000);
    assert!(!link.abstains_from_election(7_000), "an answer ends it");
}

/// Lists that come late, from an earlier start, or for another holder, count for nothing.
#[test]
fn only_the_newest_list_of_the_holder_counts() {
    let (holder, other) = (NodeName::new("a"), NodeName::new("b"));
    let machine = |n: u32| MachineId::new(&format!("host-{n}"));
    let mut table = RelayTable::default();
    table.on_relay_request(&holder, 1, 5, [machine(1)], 100);
    table.on_relay_request(&holder, 1, 5, [machine(2)], 100);
    table.on_relay_request(&holder, 1, 4, [machine(3)], 100);
    let wanted = |table: &RelayTable, n, holder, incarnation, now| {
        table.is_requested_by(&machine(n), holder, incarnation, now)
    };
    assert!(wanted(&table, 1, &holder, 1, 99) && wanted(&table, 2, &holder, 1, 99));
    assert!(!wanted(&table, 3, &holder, 1, 99), "an older list");
    assert!(!wanted(&table, 1, &other, 1, 99) && !wanted(&table, 1, &holder, 2, 99));
    assert!(!wanted(&table, 1, &holder, 1, 100), "it is over");
    table.on_relay_request(&holder, 2, 1, [machine(4)], 200);
    assert!(!wanted(&table, 1, &holder, 2, 150) && wanted(&table, 4, &holder, 2, 150));
    table.on_relay_request(&holder, 2, 2, [], 200);
    assert!(
        !wanted(&table, 4, &holder, 2, 150),
        "an empty list takes it back"
    );
    table.on_relay_request(&holder, 2, 3, [machine(4)], 200);
    table.remove_expired(200);
    assert!(table.is_empty());
}
