//! Tests of `settings`.

use super::*;

const GOOD: &str = include_str!("../../../../examples/settings.toml");

#[test]
fn wrong_settings_are_refused_with_the_name_of_the_field() {
    assert!(Settings::parse(GOOD).is_ok());
    let cases = [
        (
            "report_s = 1.0",
            "report_s = 0.0",
            "cluster.workers.report_s",
        ),
        (
            "lease_s = 10.0",
            "lease_s = -1.0",
            "cluster.workers.lease_s",
        ),
        (
            "cancel_s = 35.0",
            "cancel_s = nan",
            "cluster.workers.cancel_s",
        ),
        ("rps = 80.0", "rps = \"many\"", "rps"),
        ("write_rps = 30.0", "", "write_rps"),
        ("txn_ops = 12", "txn_ops = 1", "cluster.state.txn_ops"),
        ("txn_ops = 4", "txn_ops = 3", "cluster.state.next.txn_ops"),
        (
            "value_kb = 4.0",
            "value_kb = 0.0",
            "cluster.state.next.value_kb",
        ),
        (
            "write_rps = 20.0",
            "write_rps = -1.0",
            "cluster.state.next.write_rps",
        ),
        (
            "initial_size = 1",
            "initial_size = 0",
            "cluster.initial_size",
        ),
        ("sockets = 600", "sockets = 8", "cluster.limits.sockets"),
        ("gpus = 8.0", "gpus = -8.0", "cluster.teams[0].gpus"),
        ("host_name = \"berth-0\"", "host_name = \"\"", "host_name"),
        ("bind = \"127.0.0.1:8080\"", "bind = \"nowhere\"", "bind"),
        ("state = \"127.0.0.1:2379\"", "", "state"),
    ];
    for (old, new, field) in cases {
        assert!(GOOD.contains(old), "{old}");
        let text = GOOD.replacen(old, new, 1);
        match Settings::parse(&text) {
            Ok(_) => panic!("{new:?} was taken for {old:?}"),
            Err(e) => assert!(e.to_string().contains(field), "{new:?}: {e}"),
        }
    }
}

#[test]
fn unknown_fields_are_ignored() {
    let text = format!("later = 1\n{GOOD}\n[cluster.more]\nx = [1, 2]\n");
    assert!(Settings::parse(&text).is_ok());
}

/// Limits that are announced are optional, each of them.
#[test]
fn announced_limits_may_be_left_out() {
    let from = GOOD.find("[cluster.state.next]").expect("it is there");
    let to = from + GOOD[from..].find("\n\n").expect("it ends");
    let without = format!("{}{}", &GOOD[..from], &GOOD[to..]);
    let settings = Settings::parse(&without).expect("good settings");
    assert!(settings.cluster.state.next.is_none());
    let some = GOOD.replacen("write_rps = 20.0\n", "", 1);
    let settings = Settings::parse(&some).expect("good settings");
    let next = settings.cluster.state.next.expect("announced limits");
    assert_eq!((next.write_rps, next.txn_ops), (None, Some(4)));
}
