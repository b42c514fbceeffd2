//! Tests of timer queues.

use super::*;

/// A key must be returned once when it is marked and when its deadline passes. Only the last
/// deadline counts, and removed keys never become due.
#[test]
fn marked_keys_and_keys_past_their_deadline_are_returned_once() {
    let mut timers = TimerQueue::default();
    for (key, at) in [("a", 10), ("b", 20), ("c", 30), ("a", 25)] {
        timers.set_deadline(&key, at);
    }
    timers.mark_due(&"d");
    timers.mark_due(&"c");
    let cases: [(Ms, &[&str]); 5] = [
        (10, &["c", "d"]),
        (10, &[]),
        (20, &["b"]),
        (27, &["a"]),
        (100, &["c"]),
    ];
    for (now, expected) in cases {
        assert_eq!(timers.pop_due(now), expected, "at {now}");
    }
    timers.set_deadline(&"e", 110);
    timers.mark_due(&"e");
    timers.remove(&"e");
    assert!(timers.pop_due(200).is_empty());
}
