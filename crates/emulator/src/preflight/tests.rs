use super::{files_in, memory_in, Allowance, Unfit};
use crate::site::Site;

#[test]
fn limits_are_read() {
    let limits = "Limit                     Soft Limit           Hard Limit           Units     \n\
                  Max processes             95904                95904                processes \n\
                  Max open files            1024                 20000                files     \n";
    assert_eq!(files_in(limits), Some(1_024));
    assert_eq!(memory_in("MemTotal:       24618936 kB\n"), Some(24_618_936));
    assert_eq!(files_in("Max open files unlimited"), None);
}

#[test]
fn a_run_that_does_not_fit_is_refused_with_what_it_needs() {
    let text = include_str!("../../../../examples/emulation.toml");
    let site = Site::parse(text).expect("good");
    let enough = Allowance {
        files: 20_000,
        memory_kb: 16 * 1024 * 1024,
    };
    assert!(enough.check(&site).is_ok());
    let few_files = Allowance {
        files: 1_000,
        ..enough
    };
    let refused = few_files.check(&site).expect_err("too few files");
    let said = refused.to_string();
    assert!(
        said.contains("RLIMIT_NOFILE") && said.contains("ulimit -n 1160"),
        "{said}"
    );
    let little_memory = Allowance {
        memory_kb: 1024 * 1024,
        ..enough
    };
    let refused = little_memory.check(&site);
    assert!(matches!(refused, Err(Unfit::Memory { .. })), "{refused:?}");
}
