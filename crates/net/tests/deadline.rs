//! Deadlines on the real clock. The tests assert the order, and that none expires early,
//! not how late one may expire.

use forkshift_net::deadline_after;
use futures_lite::{future, FutureExt};
use std::cell::RefCell;
use std::time::{Duration, Instant};

/// Waits for a deadline and records it.
async fn record(order: &RefCell<Vec<u64>>, ms: u64) {
    let started = Instant::now();
    let duration = Duration::from_millis(ms);
    deadline_after(duration).await;
    assert!(started.elapsed() >= duration, "{ms} ms expired early");
    order.borrow_mut().push(ms);
}

/// The timer is set for the first deadline. One that is set later and expires earlier must
/// not wait for it.
#[test]
fn deadlines_expire_in_order_of_time_not_of_creation() {
    let order = RefCell::new(Vec::new());
    let later_ones = future::zip(record(&order, 120), record(&order, 60));
    let all = future::zip(later_ones, record(&order, 20));
    async_io::block_on(all);
    assert_eq!(*order.borrow(), [20, 60, 120]);
}

/// The timer stays set for a deadline that was cancelled. When it fires there is no waker
/// to call, and it has to be set for the next.
#[test]
fn deadline_after_a_cancelled_one_expires() {
    let order = RefCell::new(Vec::new());
    let cancelled = deadline_after(Duration::from_millis(30)).or(async {});
    let all = future::zip(cancelled, record(&order, 90));
    async_io::block_on(all);
    assert_eq!(*order.borrow(), [90]);
}

/// A deadline may be polled by one task first and then by another.
#[test]
fn last_task_to_poll_a_deadline_is_woken() {
    let mut deadline = deadline_after(Duration::from_millis(30));
    let polled = async_io::block_on(future::poll_once(&mut deadline));
    assert!(polled.is_none());
    async_io::block_on(deadline);
}
