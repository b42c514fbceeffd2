//! Tests of the failure detector.

use super::*;
use crate::config::Operator;
use forkshift_links::Link;
use forkshift_wire::settings::Settings;
use forkshift_wire::NodeName;

const SETTINGS: &str = include_str!("../../../../../examples/settings.toml");

/// Guards against delaying removals in a partitioned zone where most workers' leases expire
/// before they reach a controller inside the zone: their tasks would restart later than
/// necessary.
#[test]
fn a_partitioned_zone_is_waited_for_where_leases_can_be_kept() {
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
        (config.lease_ms, config.heartbeat_interval_ms) = (lease, heartbeat);
        assert_eq!(can_zone_keep_leases(&config, "in"), waits, "{name}");
    }
}

/// A paused process receives nothing. On resuming it must not decommission machines as silent
/// before it has read the heartbeats that are queued in the sockets.
#[test]
fn a_pause_of_the_process_does_not_count_as_silence() {
    for (is_paused, is_decommissioned) in [(true, false), (false, true)] {
        let mut f = crate::fixture::Fixture::new();
        let silence_ms = f.node.ctx.config.lease_ms * 10;
        let steps = if is_paused { 1 } else { silence_ms / 500 };
        for _ in 0..steps {
            f.step(silence_ms / steps);
        }
        let id = f.machine.clone();
        let decommissioned = f.shard().machines[&id].decommission_reason.is_some();
        assert_eq!(decommissioned, is_decommissioned, "in {steps} steps");
    }
}

/// A worker whose heartbeat was lost reconnects before its machine is removed, unless its
/// lease is too short for that.
#[test]
fn one_lost_heartbeat_does_not_exceed_the_silence_limit() {
    // Lease, heartbeat interval, and longest silence, in milliseconds.
    let cases = [
        (24_000, 5_000, 14_400),
        (13_000, 2_000, 8_500),
        (10_000, 1_000, 7_250),
        (5_000, 1_000, 4_500),
    ];
    for (lease, heartbeat, waited) in cases {
        let mut f = crate::fixture::Fixture::new();
        let config = std::rc::Rc::get_mut(&mut f.node.ctx.config).expect("nobody else has it");
        (config.lease_ms, config.heartbeat_interval_ms) = (lease, heartbeat);
        assert_eq!(f.node.ctx.max_silence_ms(), waited, "lease of {lease} ms");
    }
}

/// If every controller is isolated, the heartbeats of replacements would not be received
/// either. Silent machines are then kept much longer than while another controller receives
/// heartbeats.
#[test]
fn silent_machines_are_kept_longer_where_all_controllers_are_isolated() {
    let mut f = crate::fixture::Fixture::new();
    let id = f.machine.clone();
    let mut waited = |are_all_isolated, is_isolated| {
        f.node.ctx.failure_detector = FailureDetector {
            is_isolated,
            are_all_isolated,
            ..FailureDetector::default()
        };
        f.node.set_link(Link::Heartbeats, !is_isolated);
        let machine = &f.node.shards[&f.shard].machines[&id];
        f.node.ctx.decommission_timeout_ms(machine)
    };
    let (connected, isolated, all_isolated) = (
        waited(false, false),
        waited(false, true),
        waited(true, true),
    );
    assert!(connected < isolated && isolated * 3 < all_isolated);
}
