//! Tests of the division of the request budget.

use super::*;
use crate::config::Operator;
use crate::context::Context;
use crate::membership::format::FormatVersion;
use crate::records::NodeRecord;
use crate::store::view::Versioned;
use forkshift_wire::settings::Settings;

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

/// Controllers with and without grants use rates at the same time. The sum of all rates must
/// stay within the store's limit whichever controllers have demand and grants, and demand is
/// served before the unused rate is shared equally.
#[test]
fn sum_of_all_rates_stays_within_the_limit() {
    let names = ["n0", "n1", "n2", "n3"];
    let view = view(&names);
    // Writes per second that n1 to n3 demand, and whether each of them has a valid grant and
    // receives the next one.
    let cases = [
        ("quiet", [0.0, 0.0, 0.0], [true, true, true]),
        ("one is busy", [500.0, 0.0, 0.0], [true, true, true]),
        ("all are busy", [500.0, 500.0, 500.0], [true, true, true]),
        ("one is new", [500.0, 500.0, 0.0], [true, false, true]),
        ("all are new", [500.0, 500.0, 0.0], [false, false, false]),
    ];
    for (name, demands, granted) in cases {
        let mut leader = ctx("n0", &names);
        let mut budget = Budget::default();
        let others = names.iter().skip(1).zip(demands).zip(granted);
        for ((n, writes), granted) in others.clone() {
            let rate = StoreRate {
                requests: 0.0,
                writes,
            };
            budget.on_budget_request(10_000, NodeName::new(n), 1, rate, granted);
        }
        let inputs = BudgetInputs::from(&leader);
        let messages = budget.tick(&inputs, &mut leader.store, &view);
        let mut rates = vec![budget.rate(&inputs, &view).writes];
        for ((n, _), granted) in others {
            let member = ctx(n, &names);
            let mut own = Budget::default();
            for message in &messages {
                let Body::BudgetGrant { writes, requests } = &message.body else {
                    continue;
                };
                if message.to.to_string() == **n && granted {
                    let rate = StoreRate::from_milli(*requests, *writes);
                    own.on_grant(&member, NodeName::new("n0"), 1, rate);
                }
            }
            rates.push(own.rate(&BudgetInputs::from(&member), &view).writes);
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

/// A grant must not be used after its expiry, or under another leader than its issuer: the new
/// leader may grant the same rate to others.
#[test]
fn a_grant_is_invalid_under_another_leader_and_after_its_expiry() {
    let names = ["n0", "n1"];
    let mut member = ctx("n1", &names);
    let mut own = Budget::default();
    let rate = StoreRate {
        requests: 0.0,
        writes: 1_000.0,
    };
    own.on_grant(&member, NodeName::new("n0"), 1, rate);
    let mut view = view(&names);
    assert!(own.rate(&BudgetInputs::from(&member), &view).writes > 1_000.0);
    if let Some(leader) = view.leader.as_mut() {
        leader.record.incarnation = 2;
    }
    assert!(own.rate(&BudgetInputs::from(&member), &view).writes < 1_000.0);
    if let Some(leader) = view.leader.as_mut() {
        leader.record.incarnation = 1;
    }
    member.now += 60_000;
    assert!(own.rate(&BudgetInputs::from(&member), &view).writes < 1_000.0);
}

/// A grant may wait in the socket while the process is paused, and its rate may be granted to
/// other controllers meanwhile. Until the next grant, the controller uses its equal share, which
/// the leader reserves for controllers without a grant.
#[test]
fn grant_received_during_a_process_pause_is_ignored() {
    let names = ["n0", "n1"];
    let view = view(&names);
    let all = StoreRate {
        requests: 1e6,
        writes: 1e6,
    };
    // Length of the pause, time from its end to the receipt of the grant, and whether the
    // grant is used.
    let cases = [(0, 0, true), (20_000, 0, false), (20_000, 2_000, true)];
    for (pause_ms, after_ms, counts) in cases {
        let mut ctx = ctx("n1", &names);
        let mut budget = Budget::default();
        let equal_share_rate = budget.rate(&BudgetInputs::from(&ctx), &view);
        ctx.detect_process_pause(ctx.now + pause_ms);
        ctx.now += pause_ms + after_ms;
        budget.on_grant(&ctx, NodeName::new("n0"), 1, all);
        let rate = budget.rate(&BudgetInputs::from(&ctx), &view);
        assert_eq!(
            rate != equal_share_rate,
            counts,
            "{pause_ms} ms, {after_ms} ms after it"
        );
    }
}
