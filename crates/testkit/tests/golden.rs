//! Golden bytes of the soak: the lines that it prints of short days, whose digests cover
//! every request, answer and message of the controllers, and the names of its options.
//! The files of `days/` are read too. The expected forms are in `golden/`.

#[path = "golden/help.rs"]
mod help;

use std::path::Path;
use std::process::Command;

/// Runs the soak; gives its exit code and what it printed.
fn soak(arguments: &str) -> (i32, String) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_forkshift-soak"));
    let ran = command
        .args(arguments.split(' '))
        .env_remove("LOG_LEVEL")
        .output();
    let ran = ran.expect("the program runs");
    let printed = String::from_utf8(ran.stdout).expect("text");
    (ran.status.code().expect("an exit code"), printed)
}

#[test]
fn short_days_print_these_lines() {
    const DAYS: [&str; 4] = [
        "--seed 2 --days 3",
        "--seed 3 --days 2 --draw once --faults 12",
        "--seed 1 --days 2 --draw pairs",
        "--seed 2 --days 2 --draw upgrade",
    ];
    let mut seen = String::new();
    for arguments in DAYS {
        let (code, printed) = soak(arguments);
        seen += &format!("== {arguments}: exit {code}\n{printed}");
    }
    assert!(seen == include_str!("golden/days.txt"), "{seen}");
}

#[test]
fn the_command_line_has_these_options() {
    let (code, help) = soak("--help");
    let (refused, _) = soak("--draw none");
    assert_eq!((code, refused), (0, 2));
    let seen = help::option_names(&help);
    assert!(seen == include_str!("golden/options.txt"), "{seen}");
}

/// One day's file: its own fields, and when which fault comes.
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

#[test]
fn the_files_of_days_hold_these_days() {
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
    let seen = days.concat();
    assert!(seen == include_str!("golden/day_files.txt"), "{seen}");
}
