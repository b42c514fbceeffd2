//! Tests of `budget`.

use super::*;
use crate::config::{Config, Operator};
use crate::membership::format::FormatVersion;
use crate::records::{LeaderRecord, NodeRecord};
use crate::store::view::Versioned;
use forkshift_wire::peer::Envelope;
use forkshift_wire::settings::Settings;
use std::rc::Rc;

const SETTINGS: &str = include_str!("../../../../../examples/settings.toml");

fn ctx(node: &str, names: &[&str]) -> Context {
    let settings = Settings::parse(SETTINGS).expect("the example is good");
    let mut config = Config::new(&settings, Operator::default());
    config.node = NodeName::new(node);
    config.nodes = names.iter().map(|n| NodeName::new(n)).collect();
    let mut ctx = Context::new(Rc::new(config), 1, 1);
    ctx.now = 10_000;
    ctx
}

fn view(names: &[&str]) -> ClusterView {
    let versioned = |record| Versioned { record, version: 1 };
    let mut view = ClusterView::default();
    for name in names {
        let record = versioned(NodeRecord {
            incarnation: 1,
            receives_no_heartbeats: false,
            format: FormatVersion::FIRST,
        });
        view.nodes.insert(NodeName::new(name), record);
    }
    view.leader = Some(Versioned {
        record: LeaderRecord {
            node: NodeName::new(names[0]),
            incarnation: 1,
        },
        version: 1,
    });
    view
}

/// Whatever is needed by whom, and whoever is heard: the sum of what all
/// may use stays within the limit, and need is served before ease.
#[test]
fn the_sum_of_all_grants_stays_within_the_limit() {
    let names = ["n0", "n1", "n2", "n3"];
    let view = view(&names);
    // Changes a second that n1 to n3 need, and whether they are heard
    // and keep to grants.
    let cases = [
        ("quiet", [0.0, 0.0, 0.0], [true, true, true]),
        ("one is busy", [500.0, 0.0, 0.0], [true, true, true]),
        ("all are busy", [500.0, 500.0, 500.0], [true, true, true]),
        ("one is new", [500.0, 500.0, 0.0], [true, false, true]),
        ("all are new", [500.0, 500.0, 0.0], [false, false, false]),
    ];
    for (name, needs, granted) in cases {
        let mut leader = ctx("n0", &names);
        let mut budget = Budget::default();
        let others = names.iter().skip(1).zip(needs).zip(granted);
        for ((n, writes), granted) in others.clone() {
            let rate = StoreRate {
                requests: 0.0,
                writes,
            };
            budget.on_budget_request(10_000, NodeName::new(n), 1, rate, granted);
        }
        budget.tick(&mut leader, &view);
        let mut rates = vec![budget.rate(&leader, &view).writes];
        for ((n, _), granted) in others {
            let member = ctx(n, &names);
            let mut own = Budget::default();
            for effect in &leader.effects {
                let crate::io::Effect::SendToPeer { node, message } = effect else {
                    continue;
                };
                let body = Envelope::decode(message).map(|e| e.body);
                let Ok(Body::BudgetGrant { writes, requests }) = body else {
                    continue;
                };
                if node.to_string() == **n && granted {
                    let rate = StoreRate::from_milli(requests, writes);
                    own.on_grant(&member, NodeName::new("n0"), 1, rate);
                }
            }
            rates.push(own.rate(&member, &view).writes);
        }
        let limit = leader.limits.write_rps;
        let sum: f64 = rates.iter().sum();
        assert!(sum <= limit * 0.951, "{name}: {rates:?} of {limit}");
        assert!(sum > limit * 0.9, "{name}: {rates:?} of {limit}");
        if name == "one is busy" {
            assert!(rates[1] > limit / 2.0, "{name}: {rates:?}");
        }
    }
}

/// A grant ends with its time, and with the leader that gave it.
#[test]
fn a_grant_is_void_under_another_leader_and_after_its_time() {
    let names = ["n0", "n1"];
    let mut member = ctx("n1", &names);
    let mut own = Budget::default();
    let rate = StoreRate {
        requests: 0.0,
        writes: 1_000.0,
    };
    own.on_grant(&member, NodeName::new("n0"), 1, rate);
    let mut view = view(&names);
    assert!(own.rate(&member, &view).writes > 1_000.0);
    if let Some(leader) = view.leader.as_mut() {
        leader.record.incarnation = 2;
    }
    assert!(own.rate(&member, &view).writes < 1_000.0);
    if let Some(leader) = view.leader.as_mut() {
        leader.record.incarnation = 1;
    }
    member.now += 60_000;
    assert!(own.rate(&member, &view).writes < 1_000.0);
}

/// A grant that waited while this controller stood still may have been given
/// to others since. Until the next one the even share is used, which the leader
/// keeps back for who has none.
#[test]
fn a_grant_from_before_a_stop_is_not_used() {
    let names = ["n0", "n1"];
    let view = view(&names);
    let all = StoreRate {
        requests: 1e6,
        writes: 1e6,
    };
    // How long it stood still, how long after that the grant is found, and
    // whether it counts.
    let cases = [(0, 0, true), (20_000, 0, false), (20_000, 2_000, true)];
    for (stop, after, counts) in cases {
        let mut ctx = ctx("n1", &names);
        let mut budget = Budget::default();
        let even = budget.rate(&ctx, &view);
        ctx.note_process_pause(ctx.now + stop);
        ctx.now += stop + after;
        budget.on_grant(&ctx, NodeName::new("n0"), 1, all);
        let rate = budget.rate(&ctx, &view);
        assert_eq!(rate != even, counts, "{stop} ms, {after} ms after it");
    }
}
