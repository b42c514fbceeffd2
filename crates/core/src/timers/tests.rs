//! Tests of timer queues.

use super::*;

#[test]
fn touched_and_due_keys_are_taken_once() {
    let mut timers = TimerQueue::default();
    for (key, at) in [("a", 10), ("b", 20), ("c", 30), ("a", 25)] {
        timers.wake(&key, at);
    }
    timers.touch(&"d");
    timers.touch(&"c");
    let cases: [(Ms, &[&str]); 5] = [
        (10, &["c", "d"]),
        (10, &[]),
        (20, &["b"]),
        (27, &["a"]),
        (100, &["c"]),
    ];
    for (now, expected) in cases {
        assert_eq!(timers.take(now), expected, "at {now}");
    }
    timers.wake(&"e", 110);
    timers.touch(&"e");
    timers.forget(&"e");
    assert!(timers.take(200).is_empty());
}
