//! Tests of `attestation`.

use super::*;
use crate::bounds::NAME_LENGTH_BYTES;
use crate::config::{Config, Operator};
use crate::records::ShardRecord;
use crate::store::view::Versioned;
use forkshift_wire::settings::Settings;

const SETTINGS: &str = include_str!("../../../../../examples/settings.toml");
/// When the last extension of our lease that succeeded was sent.
const SENT: Ms = 50_000;
const OURS: ShardId = ShardId(0);
const THEIRS: ShardId = ShardId(1);
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
    let us = node.ctx.config.node.clone();
    node.view.shards.insert(OURS, held(&us, 1));
    node.view
        .shards
        .insert(THEIRS, held(&NodeName::new("north"), 7));
    let shard = Shard::new(&mut node.ctx, OURS, EPOCH, 1);
    node.shards.insert(OURS, shard);
    node.membership.on_lease_renewed(&node.ctx, SENT, 200);
    let until = node.membership.lease_valid_until(&node.ctx);
    node.ctx.peer_confirmations.note_lease_valid_until(until);
    node
}

/// What a peer states: as of which of our heartbeats, and which epoch of our
/// shard it has seen; none: it has read nothing since it started.
#[derive(Clone, Copy)]
struct Says {
    from: &'static str,
    to_inc: u64,
    as_of: Ms,
    epoch: Option<u64>,
    refused_for: Option<Ms>,
}

fn says(from: &'static str, as_of: Ms, epoch: Option<u64>) -> Says {
    let to_inc = 1;
    Says {
        from,
        to_inc,
        as_of,
        epoch,
        refused_for: None,
    }
}

fn tell(node: &mut Node, says: Says, settled: Vec<SettledShard>) {
    let from = NodeName::new(says.from);
    let beat = PeerHeartbeat {
        sent_at: 1,
        acknowledged: Some(HeartbeatAck {
            incarnation: says.to_inc,
            sent_at: says.as_of,
        }),
        epochs: says.epoch.map(|e| vec![(OURS.0, e)]),
        store_refused_for_ms: says.refused_for,
        settled_shards: settled,
    };
    node.note_peer_alive(&from, 7);
    node.on_heartbeat(&from, 7, beat);
}

/// Whether a controller goes on answering workers of its shard, once peers have
/// told it something.
fn holds_on_after(mut node: Node, now: Ms, told: Vec<Says>) -> bool {
    node.ctx.now = now;
    for says in told {
        tell(&mut node, says, vec![]);
    }
    node.may_answer_without_lease(&node.shards[&OURS])
}

/// Once, an old holder answered its workers for as long as it heard any peer,
/// though a third controller may have confirmed a cancellation in its stead
/// just before an outage. It goes on only on the word of all of them.
#[test]
fn workers_are_answered_without_a_right_on_evidence_alone() {
    let config = node().ctx.config.clone();
    let own = config.node_lease_ms() - config.node_lease_ms() / 500;
    let grace = config.grace_ms();
    assert!(grace + config.lease_ms < config.cancel_ms);
    let end = SENT + own + grace;
    let later = end + 10_000;
    let seen = Some(EPOCH);
    let taken = Some(EPOCH + 1);
    let both = |a, b| vec![says("north", a, seen), says("south", b, seen)];
    let cases: Vec<(&str, Vec<Says>, Ms, bool)> = vec![
        ("nobody is heard, in time", vec![], end - 1, true),
        ("nobody is heard, too late", vec![], end, false),
        (
            "one of two attests",
            vec![says("north", later, seen)],
            end,
            false,
        ),
        ("both attest", both(later, later), later, true),
        (
            "both attested for a while",
            both(end, later),
            end + grace - 1,
            true,
        ),
        (
            "both attested too long ago",
            both(end, later),
            end + grace,
            false,
        ),
        (
            "one has restarted and read nothing",
            vec![says("north", later, seen), says("south", later, None)],
            end,
            false,
        ),
        (
            "one attested before it restarted",
            vec![
                says("north", later, seen),
                says("south", end, seen),
                says("south", later, None),
            ],
            end + grace,
            false,
        ),
        (
            "one has seen our successor",
            vec![says("north", later, seen), says("south", later, taken)],
            SENT + own,
            false,
        ),
        (
            "a late copy that has, as of long ago",
            vec![says("north", SENT, taken)],
            SENT + own,
            false,
        ),
        (
            "attestations are of our clock before a restart",
            vec![
                says("north", later, seen),
                Says {
                    to_inc: 99,
                    ..says("south", later, seen)
                },
            ],
            end,
            false,
        ),
        (
            "a late copy proves nothing new",
            vec![
                says("north", later, seen),
                says("south", SENT + own + 1, seen),
            ],
            end + grace,
            false,
        ),
    ];
    for (name, told, now, holds) in cases {
        assert_eq!(holds_on_after(node(), now, told), holds, "{name}");
    }
}

/// Losing all leases in an outage whenever one controller has restarted would
/// be dear. Controllers that were refused together, from before our right ended
/// until now, prove that nobody else can have been given anything.
#[test]
fn an_outage_that_a_majority_has_seen_from_the_start_is_one() {
    let config = node().ctx.config.clone();
    let right = SENT + config.node_lease_ms() - config.node_lease_ms() / 500;
    let now = right + config.grace_ms() + 10_000;
    let seen = Some(EPOCH);
    let refused = |from, since: Ms| Says {
        refused_for: Some(now - since),
        ..says(from, now - 100, seen)
    };
    let restarted = says("south", now - 100, None);
    // Since when we are refused; what is heard; whether workers are answered.
    let cases: Vec<(&str, Option<Ms>, Vec<Says>, bool)> = vec![
        (
            "both since before",
            Some(SENT),
            vec![refused("north", SENT)],
            true,
        ),
        (
            "we later than our right",
            Some(right),
            vec![refused("north", SENT)],
            false,
        ),
        (
            "the other later",
            Some(SENT),
            vec![refused("north", right)],
            false,
        ),
        ("we are served", None, vec![refused("north", SENT)], false),
        ("nobody else", Some(SENT), vec![], false),
        (
            "the third was served",
            Some(SENT),
            vec![refused("north", SENT), restarted],
            false,
        ),
        (
            "the third has restarted, and is refused",
            Some(SENT),
            vec![
                refused("north", SENT),
                Says {
                    refused_for: Some(1_000),
                    ..restarted
                },
            ],
            true,
        ),
        (
            "the third has seen our successor",
            Some(SENT),
            vec![
                refused("north", SENT),
                Says {
                    epoch: Some(EPOCH + 1),
                    ..refused("south", SENT)
                },
            ],
            false,
        ),
    ];
    for (name, ours, told, holds) in cases {
        let mut node = node();
        let Context { store, rng, .. } = &mut node.ctx;
        if let Some(since) = ours {
            store.on_response(503, since, rng);
        }
        assert_eq!(holds_on_after(node, now, told), holds, "{name}");
    }
}

/// A worker whose holder is lost is answered by others only while nothing that
/// was confirmed can still be on it; so is one whose shard is being loaded.
#[test]
fn what_is_kept_for_others_ends_in_time() {
    let config = node().ctx.config.clone();
    let own = config.node_lease_ms();
    let grace = config.grace_ms();
    let settled = |shard: ShardId, unsettled: &[&str]| SettledShard {
        shard: shard.0,
        unsettled_machines: unsettled.iter().map(|m| (*m).to_owned()).collect(),
    };
    let none: &[&str] = &[];
    let held: &[&str] = &["m-1"];
    // As of when the holder stated what, whether it is there, now.
    let cases = [
        ("cut off", Some((SENT, none)), false, SENT + own, true),
        (
            "it holds a cancelled task",
            Some((SENT, held)),
            false,
            SENT + own,
            false,
        ),
        ("nothing was stated", None, false, SENT + own, false),
        (
            "its holder is there",
            Some((SENT, none)),
            true,
            SENT + own,
            false,
        ),
        (
            "we are served",
            Some((SENT, none)),
            false,
            SENT + own / 2,
            false,
        ),
        (
            "nearly too long",
            Some((SENT, none)),
            false,
            SENT + grace - 1,
            true,
        ),
        ("too long", Some((SENT, none)), false, SENT + grace, false),
    ];
    for (name, stated, there, now, keeps) in cases {
        let mut node = node();
        node.ctx.now = SENT;
        if let Some((as_of, unsettled)) = stated {
            let settled = vec![settled(THEIRS, unsettled), settled(OURS, unsettled)];
            tell(&mut node, says("north", as_of, Some(EPOCH)), settled);
        }
        node.ctx.now = now;
        if there {
            node.note_peer_alive(&NodeName::new("north"), 7);
        } else {
            node.ctx.peers.clear();
        }
        let machine = MachineId::new("m-1");
        assert_eq!(
            node.may_keep_worker_alive(THEIRS, &machine),
            keeps,
            "{name}: another's"
        );
        // While we load a shard the same holds, whoever else is there; besides,
        // what an earlier holder confirmed is a lease old at the most.
        let stated = stated.is_some_and(|(_, held)| held.is_empty());
        let in_time = (stated && now < SENT + grace) || now < SENT + config.loading_grace_ms();
        let mut shard = node.shards.remove(&OURS).expect("it is ours");
        shard.active_since = SENT;
        assert_eq!(
            node.may_answer_while_loading(&shard, &machine),
            in_time,
            "{name}: ours"
        );
    }
    assert!(config.loading_grace_ms() + config.lease_ms * 2 < config.cancel_ms);
}

fn unsettled(shard: u32, machines: usize) -> SettledShard {
    let names = (0..machines).map(|n| format!("host-{n:06}"));
    SettledShard {
        shard,
        unsettled_machines: names.collect(),
    }
}

/// A shard with more than a hundred machines that might hold a cancelled task once
/// made no statement: one array cancelled on a large fleet was enough, and a holder
/// that took the shard over then could not vouch for any of its machines.
#[test]
fn statements_are_left_out_only_where_a_heartbeat_has_no_room() {
    let name = "host-000000".len() + NAME_LENGTH_BYTES;
    let cases: [(usize, &[usize], &[u32]); 6] = [
        (100, &[100], &[0]),
        (100, &[101], &[]),
        (4_000, &[4_000], &[0]),
        (100, &[60, 40], &[0, 1]),
        (100, &[60, 41], &[1]),
        (100, &[101, 0, 30], &[1, 2]),
    ];
    for (room, machines, kept) in cases {
        let shards = machines.iter().enumerate();
        let mut settled: Vec<SettledShard> = shards.map(|(k, n)| unsettled(k as u32, *n)).collect();
        let left_out = keep_shortest_within(&mut settled, room * name);
        let shards: Vec<u32> = settled.iter().map(|s| s.shard).collect();
        assert_eq!(shards, kept, "{machines:?} with room for {room}");
        assert_eq!(left_out, machines.len() - kept.len());
    }
}

/// The longest list of names still leaves room for the rest of a heartbeat.
#[test]
fn a_heartbeat_that_names_as_many_machines_as_it_may_can_be_sent() {
    let room = Settings::parse(SETTINGS).map(|s| crate::Bounds::new(&s, 1.0).list_bytes);
    let machines = room.expect("the example is good") / ("host-000000".len() + NAME_LENGTH_BYTES);
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
