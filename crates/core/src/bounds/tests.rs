//! Tests of bounds.

use super::*;
use forkshift_wire::MachineId;

const SETTINGS: &str = include_str!("../../../../examples/settings.toml");

/// Settings of a controller with the given limits and number of peers.
fn settings(memory_mb: f64, sockets: usize, peers: usize) -> Settings {
    let mut settings = Settings::parse(SETTINGS).expect("the example is good");
    settings.cluster.limits.memory_mb = memory_mb;
    settings.cluster.limits.sockets = sockets;
    for n in 0..peers {
        settings.peers.push(forkshift_wire::settings::Peer {
            node: forkshift_wire::NodeName::new(&format!("peer-{n}")),
            zone: String::new(),
            addr: settings.listen,
        });
    }
    settings
}

/// No bound is a fixed number: with twice the memory and sockets, each is twice as large.
#[test]
fn bounds_are_proportional_to_the_settings() {
    let small = Bounds::new(&settings(100.0, 1_000, 4), 1.0);
    let large = Bounds::new(&settings(200.0, 2_000, 4), 1.0);
    let cases = [
        (small.connections, large.connections, 600),
        (
            small.keep_alive_connections,
            large.keep_alive_connections,
            300,
        ),
        (small.idle_connections, large.idle_connections, 100),
        (small.worker_calls, large.worker_calls, 150),
        (small.forwarded_requests, large.forwarded_requests, 600),
        (small.cached_jobs, large.cached_jobs, 10_240),
        (small.feed_entries, large.feed_entries, 20_480),
        (small.image_names, large.image_names, 20_480),
        (small.peer_queue_bytes, large.peer_queue_bytes, 1_310_720),
        (
            small.answer_bytes as usize,
            large.answer_bytes as usize,
            10_485_760,
        ),
    ];
    for (n, (small, large, expected)) in cases.into_iter().enumerate() {
        assert_eq!(small, expected, "case {n}");
        assert_eq!(large, expected * 2, "case {n}");
    }
}

/// Fractions of small limits must not round down to 0, which would block the controller.
#[test]
fn every_bound_of_the_smallest_controller_is_at_least_one() {
    let bounds = Bounds::new(&settings(0.001, 32, 64), 1.0);
    assert!(bounds.cached_jobs >= 1 && bounds.image_names >= 1);
    assert!(bounds.feed_entries >= 1);
    assert!(bounds.worker_calls >= 1 && bounds.forwarded_requests >= 1);
    assert_eq!(
        bounds.peer_queue_bytes, MAX_MESSAGE_BYTES,
        "any single message"
    );
    assert_eq!(bounds.answer_bytes, MIN_ANSWER_BYTES, "any page");
}

/// A message must be able to list all machines of a shard, even if one shard has the whole fleet.
/// If the list were truncated, some machines would be missing from it.
#[test]
fn names_of_4000_machines_fit_in_one_message() {
    let bounds = Bounds::new(&settings(40.0, 600, 4), 1.0);
    let names = (0..4_000).map(|n| MachineId::new(&format!("host-{n:06}")));
    let names: Vec<String> = names.map(|id| id.to_string()).collect();
    let in_json = serde_json::to_vec(&names).unwrap().len();
    let in_heartbeat: usize = names.iter().map(|name| name.len() + 4).sum();
    assert!(in_json <= bounds.list_bytes, "{in_json} bytes");
    assert!(in_heartbeat <= bounds.list_bytes, "{in_heartbeat} bytes");
    assert!(bounds.list_bytes < MAX_MESSAGE_BYTES);
}

/// Operations that are limited to a fraction of the machines must proceed in small shards, too.
#[test]
fn fraction_of_machines_is_at_least_the_minimum() {
    let cases = [
        (0, 3),
        (3, 3),
        (191, 3),
        (192, 3),
        (255, 3),
        (256, 4),
        (4_000, 62),
    ];
    for (machines, expected) in cases {
        assert_eq!(
            fraction_of_machines(machines, 64, 3),
            expected,
            "{machines}"
        );
    }
}

/// With a fixed number of tasks per round, machines for a large array job would be provisioned
/// only for that number of tasks in each boot time.
#[test]
fn round_considers_as_many_tasks_as_can_be_recorded_before_the_next_one() {
    let tasks_a_round = |write_rps: f64, value_kib: f64, round_s: f64| {
        let mut settings = settings(40.0, 600, 4);
        settings.cluster.state.writes_per_s = write_rps;
        settings.cluster.state.max_value_kib = value_kib;
        Bounds::new(&settings, round_s).tasks_per_round
    };
    let cases = [
        (250.0, 8.0, 1.0, 10_240),
        (500.0, 8.0, 1.0, 20_480),
        (250.0, 16.0, 1.0, 20_480),
        (250.0, 8.0, 2.0, 20_480),
        (6.25, 8.0, 1.0, 256),
        (1.0, 2.0, 0.1, 256),
    ];
    for (write_rps, value_kb, round_s, expected) in cases {
        let found = tasks_a_round(write_rps, value_kb, round_s);
        assert_eq!(
            found, expected,
            "{write_rps} changes of {value_kb} KiB, {round_s} s"
        );
    }
}
