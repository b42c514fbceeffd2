use super::{parse_cpu_s, parse_resident_kib, ProcessUsage};

/// The program's name in `/proc/PID/stat` may contain spaces and parentheses, which must not
/// shift the fields after it.
#[test]
fn usage_is_parsed_from_proc_files() {
    let stat =
        "4711 (a (very) odd name) S 1 4711 4711 0 -1 4194560 900 0 0 0 250 50 0 0 20 0 2 0 77";
    assert_eq!(parse_cpu_s(stat), Some(3.0));
    assert_eq!(parse_cpu_s("4711"), None);
    let rollup =
        "00400000-7fff [rollup]\nRss:               10248 kB\nPss:                9000 kB\n";
    assert_eq!(parse_resident_kib(rollup), Some(10_248));
    let usage = ProcessUsage::of_this_process().expect("this process runs");
    assert!(usage.resident_kib > 0);
}
