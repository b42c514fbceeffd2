use super::{parse_open_files, parse_total_memory_kib, MachineLimits, PreflightError};
use crate::site::Site;

#[test]
fn limits_are_parsed_from_proc_files() {
    let limits = "Limit                     Soft Limit           Hard Limit           Units     \n\
                  Max processes             95904                95904                processes \n\
                  Max open files            1024                 20000                files     \n";
    assert_eq!(parse_open_files(limits), Some(1_024));
    assert_eq!(
        parse_total_memory_kib("MemTotal:       24618936 kB\n"),
        Some(24_618_936)
    );
    assert_eq!(parse_open_files("Max open files unlimited"), None);
}

/// A run that exceeds a limit would fail half-way with an error that does not name the limit.
#[test]
fn run_beyond_a_machine_limit_is_refused_with_the_limit_it_needs() {
    let text = include_str!("../../../../examples/emulation.toml");
    let site = Site::parse(text).expect("a valid site");
    let enough = MachineLimits {
        max_open_files: 20_000,
        memory_kib: 16 * 1024 * 1024,
    };
    assert!(enough.check(&site).is_ok());
    let few_files = MachineLimits {
        max_open_files: 1_000,
        ..enough
    };
    let refused = few_files.check(&site).expect_err("too few files");
    let message = refused.to_string();
    assert!(
        message.contains("RLIMIT_NOFILE") && message.contains("ulimit -n 1160"),
        "{message}"
    );
    let little_memory = MachineLimits {
        memory_kib: 1024 * 1024,
        ..enough
    };
    let refused = little_memory.check(&site);
    assert!(
        matches!(refused, Err(PreflightError::Memory { .. })),
        "{refused:?}"
    );
}
