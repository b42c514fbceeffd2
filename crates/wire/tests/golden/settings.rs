//! Golden encodings of the settings file.

use crate::case::texts;
use forkshift_wire::settings::*;
use forkshift_wire::NodeName;

fn addr(text: &str) -> std::net::SocketAddr {
    text.parse().expect("an address")
}

fn cluster() -> Cluster {
    Cluster {
        node_count: 3,
        zones: texts(&["hall-a", "hall-b"]),
        max_clock_error_ms: 2.5,
        teams: vec![Team {
            name: "vision".to_owned(),
            guaranteed_cpus: 10.0,
            max_cpus: 11.0,
            guaranteed_gpus: 12.0,
            max_gpus: 13.0,
        }],
        objectives: vec![Objective {
            kind: "wait".to_owned(),
            class: Some("nightly".to_owned()),
            within_s: 14.0,
            target_fraction: 0.95,
        }],
        workers: Workers {
            heartbeat_interval_s: 1.0,
            lease_s: 10.0,
            gang_start_timeout_s: 60.0,
            gang_exit_detection_s: 3.0,
            cancellation_deadline_s: 35.0,
        },
        state: StateLimits {
            requests_per_s: 80.0,
            writes_per_s: 30.0,
            max_value_kib: 8.0,
            max_transaction_writes: 12,
            next: Some(NextStateLimits {
                requests_per_s: Some(70.0),
                writes_per_s: Some(20.0),
                max_value_kib: Some(4.0),
                max_transaction_writes: Some(5),
            }),
        },
        cloud: CloudLimits {
            requests_per_s: 5.0,
            list_lag_s: 6.0,
        },
        limits: Limits {
            cpu_fraction: 0.5,
            memory_mb: 256.0,
            sockets: 600,
        },
    }
}

#[test]
fn files_are_parsed_and_encoded_as_before() {
    let full = Settings {
        node: NodeName::new("berth-0"),
        zone: "hall-a".to_owned(),
        listen: addr("127.0.0.1:8080"),
        peer_listen: addr("127.0.0.1:8081"),
        peers: vec![Peer {
            node: NodeName::new("berth-1"),
            zone: "hall-b".to_owned(),
            addr: addr("127.0.0.2:8081"),
        }],
        services: Services {
            cloud: addr("127.0.0.1:2378"),
            state: addr("127.0.0.1:2379"),
        },
        cluster: cluster(),
    };
    let file = include_str!("settings_full.toml");
    let read = Settings::parse(file).expect("valid settings");
    assert_eq!(toml::to_string(&full).expect("TOML"), file);
    assert_eq!(toml::to_string(&read).expect("TOML"), file);
    let minimal = Settings::parse(include_str!("settings_least.toml"));
    let minimal = toml::to_string(&minimal.expect("valid settings")).expect("TOML");
    assert_eq!(minimal, include_str!("settings_least_filled_in.toml"));
}
