//! The emulator's command line keeps its commands, options and defaults, which are in
//! `golden/options.txt`, and its exit code for rejected command lines.

#[path = "../../testkit/tests/golden/help.rs"]
mod help;

use std::process::{Command, Output};

fn emulator(arguments: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_forkshift-emulator"));
    let output = command.args(arguments).env_remove("LOG_LEVEL").output();
    output.expect("the program runs")
}

#[test]
fn the_command_line_has_the_golden_names() {
    let mut seen = String::new();
    for command in ["", "run", "sweep"] {
        let mut arguments: Vec<&str> = command.split_whitespace().collect();
        arguments.push("--help");
        let output = emulator(&arguments);
        assert_eq!(output.status.code(), Some(0), "{command}");
        let names = help::option_names(&String::from_utf8_lossy(&output.stdout));
        seen += &format!("== forkshift-emulator {command}\n{names}");
    }
    assert!(seen == include_str!("golden/options.txt"), "{seen}");
}

#[test]
fn a_rejected_command_line_exits_with_code_2() {
    let cases: [(&[&str], &str); 4] = [
        (&["run", "--speed"], "--speed"),
        (&["run", "no/such/site.toml"], "no/such/site.toml"),
        (
            &["sweep", "no/such/site.toml", "--sizes", "1,2"],
            "no/such/site.toml",
        ),
        (&["sweep", "site.toml"], "--sizes"),
    ];
    for (arguments, named) in cases {
        let output = emulator(arguments);
        let errors = String::from_utf8_lossy(&output.stderr);
        assert_eq!(output.status.code(), Some(2), "{arguments:?}: {errors}");
        assert!(errors.contains(named), "{arguments:?}: {errors}");
    }
}
