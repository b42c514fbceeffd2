//! Tests of `agenda`.

use super::*;

#[test]
fn what_was_touched_and_what_is_due_comes_once() {
    let mut agenda = Agenda::default();
    for (k, at) in [("a", 10), ("b", 20), ("c", 30), ("a", 25)] {
        agenda.wake(&k, at);
    }
    agenda.touch(&"d");
    agenda.touch(&"c");
    let cases: [(Ms, &[&str]); 5] = [
        (10, &["c", "d"]),
        (10, &[]),
        (20, &["b"]),
        (27, &["a"]),
        (100, &["c"]),
    ];
    for (now, expected) in cases {
        assert_eq!(agenda.take(now), expected, "at {now}");
    }
    agenda.wake(&"e", 110);
    agenda.touch(&"e");
    agenda.forget(&"e");
    assert!(agenda.take(200).is_empty());
}
