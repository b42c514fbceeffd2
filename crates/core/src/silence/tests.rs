//! Tests of `silence`.

use super::*;
use crate::config::{Config, Operator};
use crate::records::ShareRec;
use crate::view::Stamped;
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

/// A holder that lost the state service and its peers once answered its
/// workers without a bound of its own, so that a task cancelled through its
/// successor could stay for as long as the cut lasted.
#[test]
fn what_is_kept_alive_without_a_right_ends_in_time() {
    let settings = Settings::parse(SETTINGS).expect("the example is good");
    let mut node = Node::new(Config::new(&settings, Operator::default()), 1, 1);
    let cfg = node.ctx.cfg.clone();
    let other = NodeName::new("elsewhere");
    let rec = ShareRec {
        holder: other.clone(),
        inc: 7,
        epoch: 1,
        want: None,
    };
    let share = ShareId(0);
    node.view.shares.insert(share, Stamped { rec, version: 1 });
    let sent = 50_000;
    node.member.on_extend(&node.ctx, sent, 200);
    let own = cfg.node_lease_ms();
    let grace = cfg.cancel_ms - cfg.lease_ms;
    // A successor can tell of a cancellation once our lease has run out,
    // a holder that we do not hear from the moment we are cut off.
    let held = sent + own + grace + cfg.lease_ms;
    assert!(held <= sent + own + cfg.cancel_ms);
    let cases = [
        ("the state service answers", 100, false, true, false),
        ("cut off", own, false, true, true),
        ("cut off, but its holder is there", own, true, true, false),
        ("nearly too long", grace - 100, false, true, true),
        (
            "too long for others' workers",
            grace + 1,
            false,
            true,
            false,
        ),
        ("too long", own + grace + 1, false, false, false),
        (
            "an outage: peers are there",
            own + grace + 1,
            true,
            true,
            false,
        ),
    ];
    for (name, after, peer, holds, keeps) in cases {
        node.ctx.now = sent + after;
        node.ctx.peers.clear();
        if peer {
            node.heard_peer(&other, 7);
        }
        assert_eq!(node.holds_on(), holds, "{name}: our own workers");
        assert_eq!(node.keeps(share), keeps, "{name}: others' workers");
    }
}
