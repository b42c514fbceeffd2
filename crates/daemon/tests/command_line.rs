//! The program's answers to settings, from the command line.

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
fn check_names_limits_that_are_too_small_and_what_would_do() {
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
    for (name, operator, code, said) in cases {
        let output = check(name, operator);
        let errors = String::from_utf8_lossy(&output.stderr);
        assert_eq!(output.status.code(), Some(code), "{operator}: {errors}");
        for line in said {
            assert!(errors.contains(line), "{operator}: {errors}");
        }
    }
}
