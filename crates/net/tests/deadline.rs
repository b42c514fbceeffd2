//! Tests of deadlines, on the real clock. The tests assert the order in which deadlines
//! expire and that none expires early. They don't assert how late a deadline may expire,
//! which depends on the load of the machine.

use forkshift_net::deadline_after;
use futures_lite::{future, FutureExt};
use std::cell::RefCell;
use std::time::{Duration, Instant};

/// Waits for a deadline and appends its duration to `order`.
async fn wait_and_record(order: &RefCell<Vec<u64>>, ms: u64) {
    let started = Instant::now();
    let duration = Duration::from_millis(ms);
    deadline_after(duration).await;
    assert!(started.elapsed() >= duration, "{ms} ms expired early");
    order.borrow_mut().push(ms);
}

/// The timer is set for the deadline that is created first. A deadline that is created later
/// and expires earlier must not wait for that timer.
#[test]
fn deadlines_expire_in_order_of_time_not_of_creation() {
    let order = RefCell::new(Vec::new());
    let later_ones = future::zip(wait_and_record(&order, 120), wait_and_record(&order, 60));
    let all = future::zip(later_ones, wait_and_record(&order, 20));
    async_io::block_on(all);
    assert_eq!(*order.borrow(), [20, 60, 120]);
}

/// The timer stays set for a deadline that was cancelled. When the timer fires, there is no
/// waker to call, and the timer must be set for the next deadline.
#[test]
fn deadline_after_a_cancelled_one_expires() {
    let order = RefCell::new(Vec::new());
    let cancelled = deadline_after(Duration::from_millis(30)).or(async {});
    let all = future::zip(cancelled, wait_and_record(&order, 90));
    async_io::block_on(all);
    assert_eq!(*order.borrow(), [90]);
}

/// A deadline may be polled by one task and then by another; only the waker of the last poll
/// counts.
#[test]
fn last_task_to_poll_a_deadline_is_woken() {
    let mut deadline = deadline_after(Duration::from_millis(30));
    let polled = async_io::block_on(future::poll_once(&mut deadline));
    assert!(polled.is_none());
    async_io::block_on(deadline);
}
