//! Tests of `failure_detector`.

use super::*;
use crate::config::{Config, Operator};
use forkshift_wire::settings::Settings;

const SETTINGS: &str = include_str!("../../../../examples/settings.toml");

/// Waiting for a zone where leases end anyway once cost more than the cut.
#[test]
fn a_zone_is_waited_for_where_leases_can_be_kept() {
    let mut cfg = Config::new(
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
    for (name, nodes, inside, lease, report, waits) in cases {
        cfg.nodes = (0..nodes).map(|n| NodeName::new(&n.to_string())).collect();
        let zone = |n: usize| if n < inside { "in" } else { "out" }.to_owned();
        let zones = cfg.nodes.iter().enumerate();
        cfg.zones = zones.map(|(n, name)| (name.clone(), zone(n))).collect();
        (cfg.lease_ms, cfg.report_ms) = (lease, report);
        assert_eq!(cfg.kept_in_cut("in") >= KEPT_LEAST, waits, "{name}");
    }
}
