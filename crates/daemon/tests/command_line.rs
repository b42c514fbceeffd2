//! Tests of the program's exit codes and messages, for settings and for stored records.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Command, Output};

/// Path of the example settings in the repository.
fn example_settings() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../examples/settings.toml")
}

/// Runs `forkshift check` on the example settings and the given operators' settings.
fn check(name: &str, operator: &str) -> Output {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, operator).expect("a file for the settings");
    Command::new(env!("CARGO_BIN_EXE_forkshift"))
        .arg("check")
        .arg("--config")
        .arg(example_settings())
        .arg("--operator")
        .arg(path)
        .output()
        .expect("the program runs")
}

#[test]
fn check_names_insufficient_limits_and_sufficient_values() {
    let cases: [(&str, &str, i32, &[&str]); 4] = [
        ("small.textproto", "machines: 100", 0, &[]),
        (
            "sockets.textproto",
            "machines: 1000",
            1,
            &["`cluster.limits.sockets` is 600, and 1000 machines need 1667"],
        ),
        (
            "both.textproto",
            "machines: 4000",
            1,
            &[
                "`cluster.limits.sockets` is 600, and 4000 machines need 6667",
                "`cluster.limits.mem_mb` is 40, and 4000 machines need 91",
            ],
        ),
        (
            "none.textproto",
            "machines: 0",
            1,
            &["`machines` must be above 0"],
        ),
    ];
    for (name, operator, exit_code, messages) in cases {
        let output = check(name, operator);
        let errors = String::from_utf8_lossy(&output.stderr);
        assert_eq!(
            output.status.code(),
            Some(exit_code),
            "{operator}: {errors}"
        );
        for message in messages {
            assert!(errors.contains(message), "{operator}: {errors}");
        }
    }
}

/// Starts a fake key-value store that sends the same response to every request, and returns
/// its address.
fn fake_store(status: &'static str, body: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let addr = listener.local_addr().expect("an address");
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(mut stream) = stream else { continue };
            let mut request = [0; 4_096];
            let _ = stream.read(&mut request);
            let length = body.len();
            let response = format!(
                "HTTP/1.1 {status}\r\ncontent-length: {length}\r\nconnection: close\r\n\r\n{body}"
            );
            let _ = stream.write_all(response.as_bytes());
        }
    });
    addr
}

/// Runs `forkshift pools` against the key-value store at an address. `name` is the file name
/// of the settings.
fn pools(name: &str, store: SocketAddr, arguments: &[&str]) -> Output {
    let text = std::fs::read_to_string(example_settings()).expect("the example");
    let text = text.replace("127.0.0.1:2379", &store.to_string());
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, text).expect("a file for the settings");
    Command::new(env!("CARGO_BIN_EXE_forkshift"))
        .arg("pools")
        .args(arguments)
        .arg("--config")
        .arg(path)
        .output()
        .expect("the program runs")
}

const REPORT: [&str; 5] = ["report", "--from", "2026-12-01", "--to", "2026-12-02"];
/// A page without records.
const EMPTY_PAGE: &str = r#"{"items":[],"has_next":false,"ledger_rev":1}"#;
/// A page with a usage record that can't be parsed.
const MALFORMED_RECORD_PAGE: &str =
    r#"{"items":[{"key":"pool/x/1-odd","data":{},"stamp":1}],"has_next":false,"ledger_rev":1}"#;

/// Guards against a failure to read that is shown as an empty result: it must end with exit
/// code 1 and without standard output.
#[test]
fn pools_command_fails_if_records_cannot_be_read() {
    let closed = TcpListener::bind("127.0.0.1:0").expect("a port");
    let unreachable = closed.local_addr().expect("an address");
    drop(closed);
    let cases: [(&str, SocketAddr, &[&str], i32, &str); 7] = [
        (
            "empty",
            fake_store("200 OK", EMPTY_PAGE),
            &REPORT,
            0,
            "nothing is recorded of pools",
        ),
        (
            "none",
            fake_store("200 OK", EMPTY_PAGE),
            &["status"],
            0,
            "no pool is recorded",
        ),
        (
            "out",
            fake_store("503 Service Unavailable", "{}"),
            &REPORT,
            1,
            "refuses with 503",
        ),
        (
            "unreachable",
            unreachable,
            &["status"],
            1,
            "does not answer",
        ),
        (
            "odd",
            fake_store("200 OK", MALFORMED_RECORD_PAGE),
            &REPORT,
            1,
            "record pool/x/1-odd is malformed",
        ),
        (
            "html",
            fake_store("200 OK", "<html>"),
            &["status"],
            1,
            "sent a malformed page of records",
        ),
        (
            "span",
            unreachable,
            &["report", "--from", "2026-12-02", "--to", "2026-12-01"],
            1,
            "`--to` is `2026-12-01`, which is not after `--from` (`2026-12-02`)",
        ),
    ];
    for (name, store, arguments, exit_code, message) in cases {
        let output = pools(&format!("{name}.toml"), store, arguments);
        let (out, errors) = (
            String::from_utf8_lossy(&output.stdout),
            String::from_utf8_lossy(&output.stderr),
        );
        assert_eq!(
            output.status.code(),
            Some(exit_code),
            "{name}: {out}{errors}"
        );
        let text = if exit_code == 0 { &out } else { &errors };
        assert!(text.contains(message), "{name}: {out}{errors}");
        assert!(exit_code == 0 || out.is_empty(), "{name}: {out}");
    }
}
