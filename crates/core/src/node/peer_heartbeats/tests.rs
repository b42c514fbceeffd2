//! Tests of the heartbeats between controllers and the confirmations in them.

use super::*;
use crate::bounds::NAME_LENGTH_BYTES;
use crate::config::{Config, Operator};
use crate::context::Context;
use crate::records::ShardRecord;
use crate::store::view::Versioned;
use forkshift_wire::peer::HeartbeatAck;
use forkshift_wire::settings::Settings;

const SETTINGS: &str = include_str!("../../../../../examples/settings.toml");
/// When the last successful renewal of the lease was sent.
const RENEWED_AT: Ms = 50_000;
/// A shard held by the controller under test.
const HELD_SHARD: ShardId = ShardId(0);
/// A shard held by the peer `north`.
const PEER_SHARD: ShardId = ShardId(1);
const EPOCH: u64 = 5;

fn node() -> Node {
    let settings = Settings::parse(SETTINGS).expect("the example is good");
    let mut config = Config::new(&settings, Operator::default());
    let names = ["north", "south"].map(NodeName::new);
    config.nodes = [config.node.clone()].into_iter().chain(names).collect();
    let mut node = Node::new(config, 1, 1);
    let held = |holder: &NodeName, incarnation| Versioned {
        record: ShardRecord {
            holder: holder.clone(),
            holder_incarnation: incarnation,
            epoch: EPOCH,
            handover_to: None,
        },
        version: 1,
    };
    let own_name = node.ctx.config.node.clone();
    node.view.shards.insert(HELD_SHARD, held(&own_name, 1));
    node.view
        .shards
        .insert(PEER_SHARD, held(&NodeName::new("north"), 7));
    let shard = Shard::new(&mut node.ctx, HELD_SHARD, EPOCH, 1);
    node.shards.insert(HELD_SHARD, shard);
    node.membership.on_lease_renewed(&node.ctx, RENEWED_AT, 200);
    let until = node.membership.lease_valid_until(&node.ctx);
    node.ctx.peer_confirmations.extend_lease_validity(until);
    node
}

/// The confirmation of a peer: `as_of` is the send time of the acknowledged heartbeat. `epoch` is
/// the epoch of the held shard that the peer has seen; none if the peer has read nothing from
/// the store since it started.
#[derive(Clone, Copy)]
struct Confirmation {
    from: &'static str,
    to_incarnation: u64,
    as_of: Ms,
    epoch: Option<u64>,
    refused_for: Option<Ms>,
}

fn confirmation_of(from: &'static str, as_of: Ms, epoch: Option<u64>) -> Confirmation {
    Confirmation {
        from,
        to_incarnation: 1,
        as_of,
        epoch,
        refused_for: None,
    }
}

fn receive_heartbeat(node: &mut Node, confirmation: Confirmation, settled: Vec<SettledShard>) {
    let from = NodeName::new(confirmation.from);
    let heartbeat = PeerHeartbeat {
        sent_at: 1,
        acknowledged: Some(HeartbeatAck {
            incarnation: confirmation.to_incarnation,
            sent_at: confirmation.as_of,
        }),
        epochs: confirmation.epoch.map(|e| vec![(HELD_SHARD.0, e)]),
        store_refused_for_ms: confirmation.refused_for,
        settled_shards: settled,
    };
    node.record_peer_message(&from, 7);
    node.on_heartbeat(&from, 7, heartbeat);
}

/// Whether a controller without a valid lease answers workers of its shard at the time `now`,
/// after it has received confirmations from peers.
fn answers_without_lease(mut node: Node, now: Ms, confirmations: Vec<Confirmation>) -> bool {
    node.ctx.now = now;
    for confirmation in confirmations {
        receive_heartbeat(&mut node, confirmation, vec![]);
    }
    node.may_answer_without_lease(&node.shards[&HELD_SHARD])
}

/// Guards against answering workers on the confirmation of a single peer. A third controller may
/// have confirmed a cancellation as the new holder just before an outage, so the confirmations
/// of all peers are required.
#[test]
fn workers_are_answered_without_a_valid_lease_only_on_confirmations() {
    let config = node().ctx.config.clone();
    let own = config.node_lease_ms() - config.node_lease_ms() / 500;
    let grace = config.grace_ms();
    assert!(grace + config.lease_ms < config.cancellation_timeout_ms);
    let end = RENEWED_AT + own + grace;
    let later = end + 10_000;
    let seen = Some(EPOCH);
    let superseded = Some(EPOCH + 1);
    let both = |a, b| {
        vec![
            confirmation_of("north", a, seen),
            confirmation_of("south", b, seen),
        ]
    };
    let cases: Vec<(&str, Vec<Confirmation>, Ms, bool)> = vec![
        ("no confirmations, in time", vec![], end - 1, true),
        ("no confirmations, too late", vec![], end, false),
        (
            "one of two confirms",
            vec![confirmation_of("north", later, seen)],
            end,
            false,
        ),
        ("both confirm", both(later, later), later, true),
        (
            "both confirmed for a while",
            both(end, later),
            end + grace - 1,
            true,
        ),
        (
            "both confirmed too long ago",
            both(end, later),
            end + grace,
            false,
        ),
        (
            "one has restarted and read nothing",
            vec![
                confirmation_of("north", later, seen),
                confirmation_of("south", later, None),
            ],
            end,
            false,
        ),
        (
            "one confirmed before it restarted",
            vec![
                confirmation_of("north", later, seen),
                confirmation_of("south", end, seen),
                confirmation_of("south", later, None),
            ],
            end + grace,
            false,
        ),
        (
            "one has seen a successor",
            vec![
                confirmation_of("north", later, seen),
                confirmation_of("south", later, superseded),
            ],
            RENEWED_AT + own,
            false,
        ),
        (
            "a delayed heartbeat shows a successor, as of long ago",
            vec![confirmation_of("north", RENEWED_AT, superseded)],
            RENEWED_AT + own,
            false,
        ),
        (
            "one confirms to an earlier incarnation",
            vec![
                confirmation_of("north", later, seen),
                Confirmation {
                    to_incarnation: 99,
                    ..confirmation_of("south", later, seen)
                },
            ],
            end,
            false,
        ),
        (
            "a delayed heartbeat proves nothing new",
            vec![
                confirmation_of("north", later, seen),
                confirmation_of("south", RENEWED_AT + own + 1, seen),
            ],
            end + grace,
            false,
        ),
    ];
    for (name, confirmations, now, answers) in cases {
        assert_eq!(
            answers_without_lease(node(), now, confirmations),
            answers,
            "{name}"
        );
    }
}

/// Guards against the loss of all worker leases in an outage of the store during which one
/// controller has restarted and confirms nothing. A majority of controllers that the store has
/// refused since before the lease expired proves that no shard was reassigned.
#[test]
fn an_outage_confirmed_by_a_majority_keeps_workers_answered() {
    let config = node().ctx.config.clone();
    let lease_end = RENEWED_AT + config.node_lease_ms() - config.node_lease_ms() / 500;
    let now = lease_end + config.grace_ms() + 10_000;
    let seen = Some(EPOCH);
    let refused = |from, since: Ms| Confirmation {
        refused_for: Some(now - since),
        ..confirmation_of(from, now - 100, seen)
    };
    let restarted = confirmation_of("south", now - 100, None);
    // Name, time since which the store refuses this controller, received confirmations, and
    // whether workers are answered.
    let cases: Vec<(&str, Option<Ms>, Vec<Confirmation>, bool)> = vec![
        (
            "both are refused since before the lease expired",
            Some(RENEWED_AT),
            vec![refused("north", RENEWED_AT)],
            true,
        ),
        (
            "refused here only after the lease expired",
            Some(lease_end),
            vec![refused("north", RENEWED_AT)],
            false,
        ),
        (
            "the other is refused only after the lease expired",
            Some(RENEWED_AT),
            vec![refused("north", lease_end)],
            false,
        ),
        (
            "the store serves this controller",
            None,
            vec![refused("north", RENEWED_AT)],
            false,
        ),
        (
            "no other controller reports a refusal",
            Some(RENEWED_AT),
            vec![],
            false,
        ),
        (
            "the store has served the third",
            Some(RENEWED_AT),
            vec![refused("north", RENEWED_AT), restarted],
            false,
        ),
        (
            "the third has restarted, and is refused",
            Some(RENEWED_AT),
            vec![
                refused("north", RENEWED_AT),
                Confirmation {
                    refused_for: Some(1_000),
                    ..restarted
                },
            ],
            true,
        ),
        (
            "the third has seen a successor",
            Some(RENEWED_AT),
            vec![
                refused("north", RENEWED_AT),
                Confirmation {
                    epoch: Some(EPOCH + 1),
                    ..refused("south", RENEWED_AT)
                },
            ],
            false,
        ),
    ];
    for (name, refused_since, confirmations, answers) in cases {
        let mut node = node();
        let Context { store, rng, .. } = &mut node.ctx;
        if let Some(since) = refused_since {
            store.on_response(503, since, rng);
        }
        assert_eq!(
            answers_without_lease(node, now, confirmations),
            answers,
            "{name}"
        );
    }
}

/// Guards against keeping a cancelled task alive beyond its deadline. A worker whose holder is
/// unreachable, or whose shard is being loaded, may be answered only while no task with a
/// confirmed cancellation can be on its machine.
#[test]
fn workers_of_other_holders_are_kept_alive_only_without_cancelled_tasks() {
    let config = node().ctx.config.clone();
    let own = config.node_lease_ms();
    let grace = config.grace_ms();
    let settled = |shard: ShardId, unsettled: &[&str]| SettledShard {
        shard: shard.0,
        unsettled_machines: unsettled.iter().map(|m| (*m).to_owned()).collect(),
    };
    let none: &[&str] = &[];
    let held: &[&str] = &["m-1"];
    // Name, time and unsettled machines of the holder's statement, whether the holder is alive,
    // the current time, and whether the worker is kept alive.
    let cases = [
        (
            "cut off from store and holder",
            Some((RENEWED_AT, none)),
            false,
            RENEWED_AT + own,
            true,
        ),
        (
            "the machine holds a cancelled task",
            Some((RENEWED_AT, held)),
            false,
            RENEWED_AT + own,
            false,
        ),
        ("no statement made", None, false, RENEWED_AT + own, false),
        (
            "the holder is alive",
            Some((RENEWED_AT, none)),
            true,
            RENEWED_AT + own,
            false,
        ),
        (
            "the store serves this controller",
            Some((RENEWED_AT, none)),
            false,
            RENEWED_AT + own / 2,
            false,
        ),
        (
            "at the last time within the grace period",
            Some((RENEWED_AT, none)),
            false,
            RENEWED_AT + grace - 1,
            true,
        ),
        (
            "at the end of the grace period",
            Some((RENEWED_AT, none)),
            false,
            RENEWED_AT + grace,
            false,
        ),
    ];
    for (name, statement, is_holder_alive, now, keeps) in cases {
        let mut node = node();
        node.ctx.now = RENEWED_AT;
        if let Some((as_of, unsettled)) = statement {
            let settled = vec![
                settled(PEER_SHARD, unsettled),
                settled(HELD_SHARD, unsettled),
            ];
            receive_heartbeat(
                &mut node,
                confirmation_of("north", as_of, Some(EPOCH)),
                settled,
            );
        }
        node.ctx.now = now;
        if is_holder_alive {
            node.record_peer_message(&NodeName::new("north"), 7);
        } else {
            node.ctx.peers.clear();
        }
        let machine = MachineId::new("m-1");
        assert_eq!(
            node.may_keep_worker_alive(PEER_SHARD, &machine),
            keeps,
            "{name}: another holder's shard"
        );
        // While a shard is loaded, the statement counts whether or not peers are alive. Without
        // a statement, workers are answered during the recovery grace period, as the last
        // answer of an earlier holder is at most a lease old.
        let is_settled = statement.is_some_and(|(_, held)| held.is_empty());
        let in_time = (is_settled && now < RENEWED_AT + grace)
            || now < RENEWED_AT + config.recovery_grace_ms();
        let mut shard = node
            .shards
            .remove(&HELD_SHARD)
            .expect("the shard is held here");
        shard.active_since = RENEWED_AT;
        assert_eq!(
            node.may_answer_while_loading(&shard, &machine),
            in_time,
            "{name}: a shard held here"
        );
    }
    assert!(config.recovery_grace_ms() + config.lease_ms * 2 < config.cancellation_timeout_ms);
}

fn unsettled(shard: u32, machines: usize) -> SettledShard {
    let names = (0..machines).map(|n| format!("host-{n:06}"));
    SettledShard {
        shard,
        unsettled_machines: names.collect(),
    }
}

/// A shard with many unsettled machines, as after the cancellation of an array on a large fleet,
/// must still make its statement if it fits into a heartbeat. Without the statement the next
/// holder could not answer any of the shard's workers while it loads the shard.
#[test]
fn longest_statements_are_dropped_when_a_heartbeat_is_too_large() {
    let name_bytes = "host-000000".len() + NAME_LENGTH_BYTES;
    let cases: [(usize, &[usize], &[u32]); 6] = [
        (100, &[100], &[0]),
        (100, &[101], &[]),
        (4_000, &[4_000], &[0]),
        (100, &[60, 40], &[0, 1]),
        (100, &[60, 41], &[1]),
        (100, &[101, 0, 30], &[1, 2]),
    ];
    for (max_names, machines, kept) in cases {
        let shards = machines.iter().enumerate();
        let mut settled: Vec<SettledShard> = shards.map(|(k, n)| unsettled(k as u32, *n)).collect();
        let left_out = retain_shortest_within(&mut settled, max_names * name_bytes);
        let shards: Vec<u32> = settled.iter().map(|s| s.shard).collect();
        assert_eq!(shards, kept, "{machines:?} with space for {max_names}");
        assert_eq!(left_out, machines.len() - kept.len());
    }
}

/// A heartbeat with the longest list of machines that the size limit permits must not exceed the
/// maximum size of a message.
#[test]
fn a_heartbeat_with_the_longest_list_of_machines_can_be_encoded() {
    let max_bytes = Settings::parse(SETTINGS).map(|s| crate::Bounds::new(&s, 1.0).list_bytes);
    let machines =
        max_bytes.expect("the example is good") / ("host-000000".len() + NAME_LENGTH_BYTES);
    assert!(machines >= 4_000, "{machines} machines");
    let body = Body::Heartbeat(PeerHeartbeat {
        sent_at: u64::MAX,
        acknowledged: Some(HeartbeatAck {
            incarnation: 1,
            sent_at: 2,
        }),
        epochs: Some((0..64).map(|k| (k, u64::MAX)).collect()),
        store_refused_for_ms: Some(1),
        settled_shards: vec![unsettled(0, machines)],
    });
    let envelope = forkshift_wire::peer::Envelope {
        version: body.version(),
        from: "berth-0".to_owned(),
        incarnation: 1,
        epoch: 1,
        body,
    };
    assert!(envelope.encode().is_ok());
}
