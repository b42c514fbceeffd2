//! Tests of `settings`.

use super::*;

const VALID: &str = include_str!("../../../../examples/settings.toml");

#[test]
fn invalid_setting_is_refused_with_the_path_of_its_field() {
    assert!(Settings::parse(VALID).is_ok());
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
        assert!(VALID.contains(old), "{old}");
        let text = VALID.replacen(old, new, 1);
        match Settings::parse(&text) {
            Ok(_) => panic!("{new:?} was accepted for {old:?}"),
            Err(e) => assert!(e.to_string().contains(field), "{new:?}: {e}"),
        }
    }
}

#[test]
fn unknown_fields_are_ignored() {
    let text = format!("later = 1\n{VALID}\n[cluster.more]\nx = [1, 2]\n");
    assert!(Settings::parse(&text).is_ok());
}

/// The table `[cluster.state.next]` and each limit in it may be absent.
#[test]
fn announced_limits_are_optional() {
    let start = VALID.find("[cluster.state.next]").expect("the table");
    let end = start + VALID[start..].find("\n\n").expect("the end of the table");
    let without_table = format!("{}{}", &VALID[..start], &VALID[end..]);
    let settings = Settings::parse(&without_table).expect("valid settings");
    assert!(settings.cluster.state.next.is_none());
    let without_limit = VALID.replacen("write_rps = 20.0\n", "", 1);
    let settings = Settings::parse(&without_limit).expect("valid settings");
    let next = settings.cluster.state.next.expect("announced limits");
    assert_eq!(
        (next.writes_per_s, next.max_transaction_writes),
        (None, Some(4))
    );
}
