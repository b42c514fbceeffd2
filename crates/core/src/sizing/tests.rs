//! Tests of the check of limits against the expected fleet.

use super::*;

const SETTINGS: &str = include_str!("../../../../examples/settings.toml");

/// Each limit is tested at the smallest sufficient value and one below.
#[test]
fn shortfall_names_the_limit_and_the_smallest_sufficient_value() {
    let cases: [(u32, f64, usize, f64, &[&str]); 5] = [
        (4_000, 5.0, 1_334, 91.0, &[]),
        (4_000, 5.0, 1_333, 91.0, &["cluster.limits.sockets"]),
        (4_000, 5.0, 1_334, 90.0, &["cluster.limits.mem_mb"]),
        (
            4_000,
            1.0,
            600,
            40.0,
            &["cluster.limits.sockets", "cluster.limits.mem_mb"],
        ),
        (0, 1.0, 600, 40.0, &[]),
    ];
    for (machines, report_s, sockets, memory_mb, fields) in cases {
        let mut settings = Settings::parse(SETTINGS).expect("the example is good");
        settings.cluster.workers.heartbeat_interval_s = report_s;
        settings.cluster.limits.sockets = sockets;
        settings.cluster.limits.memory_mb = memory_mb;
        let found = shortfalls(&settings, machines);
        let named: Vec<&str> = found.iter().map(|s| s.field).collect();
        assert_eq!(named, fields, "{machines} machines, {sockets} sockets");
        // The required values of the shortfalls suffice.
        settings.cluster.limits.sockets = found.iter().fold(sockets, |n, s| match s.field {
            "cluster.limits.sockets" => s.needs as usize,
            _ => n,
        });
        settings.cluster.limits.memory_mb = found.iter().fold(memory_mb, |n, s| match s.field {
            "cluster.limits.mem_mb" => s.needs,
            _ => n,
        });
        assert_eq!(shortfalls(&settings, machines), Vec::new());
    }
}

/// Operators see only this text, in the log and in the output of the settings check.
#[test]
fn shortfall_displays_configured_value_required_value_and_effect() {
    let mut settings = Settings::parse(SETTINGS).expect("the example is good");
    settings.cluster.workers.heartbeat_interval_s = 1.0;
    settings.cluster.limits.memory_mb = 500.0;
    let found = shortfalls(&settings, 4_000);
    let text =
        "`cluster.limits.sockets` is 600, and 4000 machines need 6667: a controller that is \
                left alone answers some reports late";
    assert_eq!(found[0].to_string(), text);
}
