//! The program's responses to settings and records, from the command line.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Command, Output};

/// A settings file of the repository.
fn example() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../examples/settings.toml")
}

/// Runs `forkshift check` on the example with operators' settings.
fn check(name: &str, operator: &str) -> Output {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, operator).expect("a file for the settings");
    Command::new(env!("CARGO_BIN_EXE_forkshift"))
        .arg("check")
        .arg("--config")
        .arg(example())
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

/// A fake state service that gives every request the same response.
fn state_service(status: &'static str, body: &'static str) -> SocketAddr {
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

/// Runs `forkshift pools` against a state service.
fn pools(name: &str, state: SocketAddr, arguments: &[&str]) -> Output {
    let text = std::fs::read_to_string(example()).expect("the example");
    let text = text.replace("127.0.0.1:2379", &state.to_string());
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
const EMPTY: &str = r#"{"items":[],"has_next":false,"ledger_rev":1}"#;
const GARBLED: &str =
    r#"{"items":[{"key":"pool/x/1-odd","data":{},"stamp":1}],"has_next":false,"ledger_rev":1}"#;

/// A failure to read ends with exit code 1, and is never shown as an empty result.
#[test]
fn pools_command_fails_if_records_cannot_be_read() {
    let closed = TcpListener::bind("127.0.0.1:0").expect("a port");
    let unreachable = closed.local_addr().expect("an address");
    drop(closed);
    let cases: [(&str, SocketAddr, &[&str], i32, &str); 7] = [
        (
            "empty",
            state_service("200 OK", EMPTY),
            &REPORT,
            0,
            "nothing is recorded of pools",
        ),
        (
            "none",
            state_service("200 OK", EMPTY),
            &["status"],
            0,
            "no pool is recorded",
        ),
        (
            "out",
            state_service("503 Service Unavailable", "{}"),
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
            state_service("200 OK", GARBLED),
            &REPORT,
            1,
            "is not understood",
        ),
        (
            "html",
            state_service("200 OK", "<html>"),
            &["status"],
            1,
            "is not understood",
        ),
        (
            "span",
            unreachable,
            &["report", "--from", "2026-12-02", "--to", "2026-12-01"],
            1,
            "`--to` is not behind `--from`",
        ),
    ];
    for (name, state, arguments, exit_code, message) in cases {
        let output = pools(&format!("{name}.toml"), state, arguments);
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
