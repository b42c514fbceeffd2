//! Tests of the log of exceeded bounds.

use super::{Overflow, OverflowLog, LOG_INTERVAL_MS};

/// A bound that is exceeded in every step must not flood the log, and no occurrence may be lost
/// from the counts.
#[test]
fn first_overflow_is_logged_at_once_and_later_ones_are_counted_until_the_next_line() {
    let mut log = OverflowLog::default();
    let bound = Overflow::ForwardedRequests;
    assert_eq!(log.record(1_000, bound), Some(1));
    assert_eq!(log.record(1_001, bound), None);
    assert_eq!(log.record(1_000 + LOG_INTERVAL_MS - 1, bound), None);
    assert_eq!(log.record(1_000, Overflow::Demand), Some(1));
    assert_eq!(log.record(1_000 + LOG_INTERVAL_MS, bound), Some(3));
}
