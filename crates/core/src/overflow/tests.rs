use super::{Overflow, OverflowLog, LOG_PAUSE};

#[test]
fn the_first_is_logged_at_once_and_the_rest_are_counted() {
    let mut log = OverflowLog::default();
    let what = Overflow::ForwardedRequests;
    assert_eq!(log.note(1_000, what), Some(1));
    assert_eq!(log.note(1_001, what), None);
    assert_eq!(log.note(1_000 + LOG_PAUSE - 1, what), None);
    assert_eq!(log.note(1_000, Overflow::Demand), Some(1));
    assert_eq!(log.note(1_000 + LOG_PAUSE, what), Some(3));
}
