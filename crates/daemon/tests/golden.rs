//! Golden tests of the interface for operators: the names on the command line, the files that
//! `check` accepts and refuses, and the output of `pools` for stored records. The expected
//! results are in `golden/`. The texts of errors and of help are not part of them.

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
    let output = command.args(arguments).output();
    output.expect("the program runs")
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

/// Writes a file, and returns its path as a command-line argument.
fn write_file(name: &str, content: &str) -> String {
    let folder: PathBuf = Path::new(env!("CARGO_TARGET_TMPDIR")).join("golden");
    std::fs::create_dir_all(&folder).expect("a folder");
    let path = folder.join(name);
    std::fs::write(&path, content).expect("a file");
    path.display().to_string()
}

#[test]
fn command_line_names_are_unchanged() {
    let commands = [
        "",
        "serve",
        "check",
        "pools",
        "pools status",
        "pools report",
    ];
    let mut actual = String::new();
    for command in commands {
        let mut arguments: Vec<&str> = command.split_whitespace().collect();
        arguments.push("--help");
        let output = forkshift(&arguments);
        assert_eq!(output.status.code(), Some(0), "{command}");
        let names = help::option_names(&text(&output.stdout));
        actual += &format!("== forkshift {command}\n{names}");
    }
    assert!(actual == include_str!("golden/options.txt"), "{actual}");
}

/// Runs `check` with the files and arguments of a case, a line of `check.jsonl`. `number` is
/// the index of the line and makes the names of the files unique.
fn check(number: usize, case: &Value) -> Output {
    let mut settings = SETTINGS.to_owned();
    if let Some([from, to]) = case["settings"].as_array().map(Vec::as_slice) {
        let (from, to) = (from.as_str().expect("text"), to.as_str().expect("text"));
        assert!(settings.contains(from), "{from}");
        settings = settings.replacen(from, to, 1);
    }
    let mut arguments = vec!["check".to_owned(), "--config".to_owned()];
    arguments.push(write_file(&format!("{number}.toml"), &settings));
    for (field, ending) in [("operator", "textproto"), ("catalog", "json")] {
        if let Some(content) = case[field].as_str() {
            arguments.push(format!("--{field}"));
            arguments.push(write_file(&format!("{number}.{ending}"), content));
        }
    }
    let additional = case["arguments"].as_array().into_iter().flatten();
    arguments.extend(additional.map(|a| a.as_str().expect("text").to_owned()));
    let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
    forkshift(&arguments)
}

/// Each line of `check.jsonl` has the files, the expected exit code, and the names that the
/// error message must contain.
#[test]
fn check_accepts_and_refuses_the_same_files() {
    for (number, line) in include_str!("golden/check.jsonl").lines().enumerate() {
        let case: Value = serde_json::from_str(line).expect("JSON");
        let output = check(number, &case);
        let errors = text(&output.stderr);
        let code = output.status.code().map(i64::from);
        assert_eq!(code, case["exit"].as_i64(), "{line}: {errors}");
        assert_eq!(code == Some(0), errors.is_empty(), "{line}: {errors}");
        assert_eq!(code == Some(0), !output.stdout.is_empty(), "{line}");
        for name in case["names"].as_array().into_iter().flatten() {
            let name = name.as_str().expect("text");
            assert!(errors.contains(name), "{line}: {errors}");
        }
    }
}

/// The page of all fixture records whose keys start with the requested prefix.
fn page(request: &str) -> String {
    let prefix = request.split("starts=").nth(1).expect("a prefix");
    let prefix = prefix.split(['&', ' ']).next().expect("a prefix");
    let line_start = format!(r#"{{"key":"{prefix}"#);
    let records = include_str!("golden/records.jsonl").lines();
    let found: Vec<&str> = records
        .filter(|line| line.starts_with(&line_start))
        .collect();
    let items = found.join(",");
    format!(r#"{{"items":[{items}],"has_next":false,"ledger_rev":16}}"#)
}

/// Starts a fake key-value store with the records of `records.jsonl`, and returns its
/// address.
fn fake_store() -> SocketAddr {
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

/// Runs `pools` against a fake key-value store, and returns its standard output.
fn pools(command: &str) -> String {
    let addr = fake_store().to_string();
    let settings = SETTINGS.replace("127.0.0.1:2379", &addr);
    let name = format!("{}.toml", command.replace(' ', "_"));
    let config = write_file(&name, &settings);
    let mut arguments = vec!["pools"];
    arguments.extend(command.split(' '));
    arguments.extend(["--config", &config]);
    let output = forkshift(&arguments);
    let errors = text(&output.stderr);
    assert_eq!(output.status.code(), Some(0), "{command}: {errors}");
    text(&output.stdout)
}

#[test]
fn pools_output_is_unchanged() {
    const COMMANDS: [&str; 5] = [
        "status",
        "status --json",
        "report --from 2026-12-01 --to 2026-12-01T06:30:00Z",
        "report --from 2026-12-01 --to 2026-12-01T06:30:00Z --json",
        "report --from 2020-01-01 --to 2020-01-02 --json",
    ];
    let mut actual = String::new();
    for command in COMMANDS {
        actual += &format!("== {command}\n{}", pools(command));
    }
    assert!(actual == include_str!("golden/pools.txt"), "{actual}");
}
