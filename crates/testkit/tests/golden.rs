//! Golden output of the soak program: its lines for short simulations, with digests over
//! every request, response and message of the controllers, and the names of its options.
//! The fields of the files in `days/` are compared too. The expected texts are in `golden/`.

#[path = "golden/help.rs"]
mod help;

use std::path::Path;
use std::process::Command;

/// Runs the soak program with space-separated arguments; returns its exit code and standard
/// output.
fn soak(arguments: &str) -> (i32, String) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_forkshift-soak"));
    let output = command
        .args(arguments.split(' '))
        .env_remove("LOG_LEVEL")
        .output();
    let output = output.expect("the program runs");
    let printed = String::from_utf8(output.stdout).expect("text");
    (output.status.code().expect("an exit code"), printed)
}

/// A digest that differs means a change of the scheduler's behaviour for the same seed.
#[test]
fn short_simulations_print_the_golden_lines() {
    const DAYS: [&str; 4] = [
        "--seed 2 --days 3 --repeats 0",
        "--seed 3 --days 2 --draw once --faults 12 --repeats 0",
        "--seed 1 --days 2 --draw pairs --repeats 0",
        "--seed 2 --days 2 --draw upgrade --repeats 0",
    ];
    let mut actual = String::new();
    for arguments in DAYS {
        let (code, printed) = soak(arguments);
        actual += &format!("== {arguments}: exit {code}\n{printed}");
    }
    assert!(actual == include_str!("golden/days.txt"), "{actual}");
}

/// Scripts use the options by name, and a value that is unknown must end with exit code 2.
#[test]
fn the_command_line_has_the_golden_options() {
    let (code, help) = soak("--help");
    let (unknown_value_code, _) = soak("--draw none");
    assert_eq!((code, unknown_value_code), (0, 2));
    let actual = help::option_names(&help);
    assert!(actual == include_str!("golden/options.txt"), "{actual}");
}

/// The top-level fields of a file in `days/`, and a line with time and kind for each fault.
fn show_day(file: &str, day: &toml::Table) -> String {
    let mut text = format!("== {file}\n");
    for (name, value) in day.iter().filter(|(name, _)| *name != "faults") {
        text += &format!("{name} = {value}\n");
    }
    for fault in day["faults"].as_array().expect("faults") {
        text += &format!("{} {}\n", fault["at_s"], fault["kind"]);
    }
    text
}

/// A change of the file format must not drop or rename fields of the recorded days.
#[test]
fn day_files_have_the_golden_fields() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../days");
    let files = std::fs::read_dir(folder).expect("the folder");
    let mut days: Vec<String> = files
        .map(|file| {
            let file = file.expect("a file");
            let text = std::fs::read_to_string(file.path()).expect("text");
            let day: toml::Table = text.parse().expect("TOML");
            show_day(&file.file_name().to_string_lossy(), &day)
        })
        .collect();
    days.sort();
    let actual = days.concat();
    assert!(actual == include_str!("golden/day_files.txt"), "{actual}");
}
