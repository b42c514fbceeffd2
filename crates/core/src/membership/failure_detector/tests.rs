//! Tests of `failure_detector`.

use super::*;
use crate::config::{Config, Operator};
use forkshift_wire::settings::Settings;

const SETTINGS: &str = include_str!("../../../../../examples/settings.toml");

/// Waiting for a zone where leases end anyway once cost more than the cut.
#[test]
fn a_zone_is_waited_for_where_leases_can_be_kept() {
    let mut config = Config::new(
        &Settings::parse(SETTINGS).expect("the example is good"),
        Operator::default(),
    );
    let cases = [
        ("two of five inside, long leases", 5, 2, 24_000, 5_000, true),
        ("one of seven, short leases", 7, 1, 13_000, 2_000, false),
        ("two of seven, short leases", 7, 2, 13_000, 2_000, false),
        ("nobody inside", 5, 0, 60_000, 1_000, false),
        ("one of three, long leases", 3, 1, 24_000, 3_000, true),
    ];
    for (name, nodes, inside, lease, heartbeat, waits) in cases {
        config.nodes = (0..nodes).map(|n| NodeName::new(&n.to_string())).collect();
        let zone = |n: usize| if n < inside { "in" } else { "out" }.to_owned();
        let zones = config.nodes.iter().enumerate();
        config.zones = zones.map(|(n, name)| (name.clone(), zone(n))).collect();
        (config.lease_ms, config.report_ms) = (lease, heartbeat);
        assert_eq!(
            config.zones_kept_in_partition("in") >= KEPT_ALIVE_PART_LEAST,
            waits,
            "{name}"
        );
    }
}

/// While a controller stood still it could hear nobody: no machine is given up
/// as it goes on, before the reports that wait in the sockets are read.
#[test]
fn a_stop_is_not_taken_for_silence() {
    for (stands_still, given_up) in [(true, false), (false, true)] {
        let mut f = crate::fixture::Fixture::new();
        let patience = f.node.ctx.config.lease_ms * 10;
        let steps = if stands_still { 1 } else { patience / 500 };
        for _ in 0..steps {
            f.step(patience / steps);
        }
        let id = f.machine.clone();
        let condemned = f.shard().machines[&id].decommission_reason.is_some();
        assert_eq!(condemned, given_up, "in {steps} steps");
    }
}

/// A worker whose report was lost is heard again before it is given up, unless
/// its lease is too short for that.
#[test]
fn one_lost_report_is_no_silence() {
    // Lease and pause between two reports, and what is waited for.
    let cases = [
        (24_000, 5_000, 14_400),
        (13_000, 2_000, 8_500),
        (10_000, 1_000, 7_250),
        (5_000, 1_000, 4_500),
    ];
    for (lease, heartbeat, waited) in cases {
        let mut f = crate::fixture::Fixture::new();
        let config = std::rc::Rc::get_mut(&mut f.node.ctx.config).expect("nobody else has it");
        (config.lease_ms, config.report_ms) = (lease, heartbeat);
        assert_eq!(f.node.ctx.silent_ms(), waited, "lease of {lease} ms");
    }
}

/// Where no controller hears most machines another machine could not be heard either: what
/// is silent is waited for much longer than where others hear theirs.
#[test]
fn machines_are_kept_where_nobody_hears_any() {
    let mut f = crate::fixture::Fixture::new();
    let id = f.machine.clone();
    let mut waited = |are_all_isolated, is_isolated| {
        f.node.ctx.failure_detector = FailureDetector {
            is_isolated,
            are_all_isolated,
            ..FailureDetector::default()
        };
        f.node.note_link(Link::Heartbeats, !is_isolated);
        let machine = &f.node.shards[&f.shard].machines[&id];
        f.node.ctx.removal_timeout_ms(machine)
    };
    let (alone, others_hear, nobody_hears) = (
        waited(false, false),
        waited(false, true),
        waited(true, true),
    );
    assert!(alone < others_hear && others_hear * 3 < nobody_hears);
}
