//! Exit codes and messages of rejected command lines and site files. Each is rejected before
//! any controller or socket is started.

use std::fs;
use std::path::PathBuf;
use std::process::{Command, Output};

const EXAMPLE: &str = include_str!("../../../examples/emulation.toml");

fn emulator(arguments: &[&str]) -> Output {
    let program = env!("CARGO_BIN_EXE_forkshift-emulator");
    let output = Command::new(program).args(arguments).output();
    output.expect("the program runs")
}

/// A site file that is removed on drop.
struct SiteFile(PathBuf);

impl SiteFile {
    fn new(name: &str, text: &str) -> Self {
        let file = format!("{}-{name}.toml", std::process::id());
        let path = std::env::temp_dir().join(file);
        fs::write(&path, text).expect("a file is written");
        Self(path)
    }
}

impl Drop for SiteFile {
    fn drop(&mut self) {
        let _ = fs::remove_file(&self.0);
    }
}

#[test]
fn an_invalid_site_is_rejected_with_the_reason() {
    let program = "target/release/forkshift";
    let cases = [
        ("unknown", EXAMPLE.replace("seed = 1", "sead = 1"), "sead"),
        (
            "range",
            EXAMPLE.replace("duration_s = 48.0", "duration_s = -1.0"),
            "`duration_s` must be above 0",
        ),
        (
            "program",
            EXAMPLE.replace(program, "no/such/program"),
            "no/such/program: not found; build it",
        ),
    ];
    for (name, text, reason) in cases {
        let site = SiteFile::new(name, &text);
        let output = emulator(&["run", &site.0.display().to_string()]);
        let errors = String::from_utf8_lossy(&output.stderr);
        assert_eq!(output.status.code(), Some(2), "{name}: {errors}");
        assert!(errors.contains(reason), "{name}: {errors}");
    }
}

#[test]
fn invalid_overrides_are_rejected_with_the_field() {
    let site = SiteFile::new("sizes", EXAMPLE);
    let path = site.0.display().to_string();
    let cases = [
        (["run", &path, "--controllers", "0"], "`controllers.count`"),
        (["run", &path, "--duration-s", "0"], "`duration_s`"),
        (
            ["run", "no/such/site.toml", "--seed", "1"],
            "no/such/site.toml",
        ),
    ];
    for (arguments, reason) in cases {
        let output = emulator(&arguments);
        let errors = String::from_utf8_lossy(&output.stderr);
        assert_eq!(output.status.code(), Some(2), "{arguments:?}: {errors}");
        assert!(errors.contains(reason), "{arguments:?}: {errors}");
    }
}
