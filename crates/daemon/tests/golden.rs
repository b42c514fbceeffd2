//! Golden forms of what operators see of `forkshift`: names on the command line, what
//! `check` takes and refuses, and what `pools` prints of stored records. The expected
//! forms are in `golden/`; the prose of errors and of help is not among them.

#[path = "../../testkit/tests/golden/help.rs"]
mod help;

use serde_json::Value;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Command, Output};

const SETTINGS: &str = include_str!("../../../examples/settings.toml");

fn forkshift(arguments: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_forkshift"));
    let ran = command.args(arguments).output();
    ran.expect("the program runs")
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

/// A new file of a test, with its path as an argument.
fn file(name: &str, content: &str) -> String {
    let folder: PathBuf = Path::new(env!("CARGO_TARGET_TMPDIR")).join("golden");
    std::fs::create_dir_all(&folder).expect("a folder");
    let path = folder.join(name);
    std::fs::write(&path, content).expect("a file");
    path.display().to_string()
}

#[test]
fn the_command_line_has_these_names() {
    let commands = [
        "",
        "serve",
        "check",
        "pools",
        "pools status",
        "pools report",
    ];
    let mut seen = String::new();
    for command in commands {
        let mut arguments: Vec<&str> = command.split_whitespace().collect();
        arguments.push("--help");
        let ran = forkshift(&arguments);
        assert_eq!(ran.status.code(), Some(0), "{command}");
        let names = help::option_names(&text(&ran.stdout));
        seen += &format!("== forkshift {command}\n{names}");
    }
    assert!(seen == include_str!("golden/options.txt"), "{seen}");
}

/// Runs `check` as a line of the fixture says.
fn check(number: usize, case: &Value) -> Output {
    let mut settings = SETTINGS.to_owned();
    if let Some([from, to]) = case["settings"].as_array().map(Vec::as_slice) {
        let (from, to) = (from.as_str().expect("text"), to.as_str().expect("text"));
        assert!(settings.contains(from), "{from}");
        settings = settings.replacen(from, to, 1);
    }
    let mut arguments = vec!["check".to_owned(), "--config".to_owned()];
    arguments.push(file(&format!("{number}.toml"), &settings));
    for (field, ending) in [("operator", "textproto"), ("catalog", "json")] {
        if let Some(content) = case[field].as_str() {
            arguments.push(format!("--{field}"));
            arguments.push(file(&format!("{number}.{ending}"), content));
        }
    }
    let more = case["arguments"].as_array().into_iter().flatten();
    arguments.extend(more.map(|a| a.as_str().expect("text").to_owned()));
    let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
    forkshift(&arguments)
}

/// Each line of `check.jsonl` has the files, the exit code, and what the error names.
#[test]
fn check_takes_and_refuses_these_files() {
    for (number, line) in include_str!("golden/check.jsonl").lines().enumerate() {
        let case: Value = serde_json::from_str(line).expect("JSON");
        let ran = check(number, &case);
        let errors = text(&ran.stderr);
        let code = ran.status.code().map(i64::from);
        assert_eq!(code, case["exit"].as_i64(), "{line}: {errors}");
        assert_eq!(code == Some(0), errors.is_empty(), "{line}: {errors}");
        assert_eq!(code == Some(0), !ran.stdout.is_empty(), "{line}");
        for name in case["names"].as_array().into_iter().flatten() {
            let name = name.as_str().expect("text");
            assert!(errors.contains(name), "{line}: {errors}");
        }
    }
}

/// The page of the records below the prefix that a request asks for.
fn page(request: &str) -> String {
    let prefix = request.split("starts=").nth(1).expect("a prefix");
    let prefix = prefix.split(['&', ' ']).next().expect("a prefix");
    let begins = format!(r#"{{"key":"{prefix}"#);
    let records = include_str!("golden/records.jsonl").lines();
    let found: Vec<&str> = records.filter(|line| line.starts_with(&begins)).collect();
    let items = found.join(",");
    format!(r#"{{"items":[{items}],"has_next":false,"ledger_rev":16}}"#)
}

/// A state service that holds the records of the fixture.
fn state_service() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let addr = listener.local_addr().expect("an address");
    std::thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let mut request = [0; 4_096];
            let read = stream.read(&mut request).unwrap_or(0);
            let body = page(&text(&request[..read]));
            let length = body.len();
            let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n");
            let _ = write!(stream, "{head}connection: close\r\n\r\n{body}");
        }
    });
    addr
}

/// Runs `pools` against that state service; gives what it printed.
fn pools(command: &str) -> String {
    let addr = state_service().to_string();
    let settings = SETTINGS.replace("127.0.0.1:2379", &addr);
    let name = format!("{}.toml", command.replace(' ', "_"));
    let config = file(&name, &settings);
    let mut arguments = vec!["pools"];
    arguments.extend(command.split(' '));
    arguments.extend(["--config", &config]);
    let ran = forkshift(&arguments);
    let errors = text(&ran.stderr);
    assert_eq!(ran.status.code(), Some(0), "{command}: {errors}");
    text(&ran.stdout)
}

#[test]
fn pools_print_these_tables_and_json() {
    const COMMANDS: [&str; 5] = [
        "status",
        "status --json",
        "report --from 2026-12-01 --to 2026-12-01T06:30:00Z",
        "report --from 2026-12-01 --to 2026-12-01T06:30:00Z --json",
        "report --from 2020-01-01 --to 2020-01-02 --json",
    ];
    let mut seen = String::new();
    for command in COMMANDS {
        seen += &format!("== {command}\n{}", pools(command));
    }
    assert!(seen == include_str!("golden/pools.txt"), "{seen}");
}
