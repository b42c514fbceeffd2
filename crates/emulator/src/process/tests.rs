use super::{cpu_s_in, resident_kb_in, ProcessFigures};

#[test]
fn figures_are_read() {
    let stat =
        "4711 (a (very) odd name) S 1 4711 4711 0 -1 4194560 900 0 0 0 250 50 0 0 20 0 2 0 77";
    assert_eq!(cpu_s_in(stat), Some(3.0));
    assert_eq!(cpu_s_in("4711"), None);
    let rollup =
        "00400000-7fff [rollup]\nRss:               10248 kB\nPss:                9000 kB\n";
    assert_eq!(resident_kb_in(rollup), Some(10_248));
    let own = ProcessFigures::own().expect("this process runs");
    assert!(own.resident_kb > 0);
}
