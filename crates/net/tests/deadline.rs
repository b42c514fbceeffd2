//! Deadlines on the real clock. What is asserted is their order and that none comes
//! early, not how late one may be.

use forkshift_net::after;
use futures_lite::{future, FutureExt};
use std::cell::RefCell;
use std::time::{Duration, Instant};

async fn note(order: &RefCell<Vec<u64>>, ms: u64) {
    let began = Instant::now();
    let duration = Duration::from_millis(ms);
    after(duration).await;
    assert!(began.elapsed() >= duration, "{ms} ms came early");
    order.borrow_mut().push(ms);
}

/// The timer is set for the first deadline. One that is set later and comes
/// earlier must not wait for it.
#[test]
fn an_earlier_deadline_that_is_set_later_comes_first() {
    let order = RefCell::new(Vec::new());
    let late = future::zip(note(&order, 120), note(&order, 60));
    let all = future::zip(late, note(&order, 20));
    async_io::block_on(all);
    assert_eq!(*order.borrow(), [20, 60, 120]);
}

/// The timer stays set for a deadline that was given up. When it fires there is
/// nobody to wake, and it has to be set for the next.
#[test]
fn a_deadline_behind_one_that_was_given_up_still_comes() {
    let order = RefCell::new(Vec::new());
    let given_up = after(Duration::from_millis(30)).or(async {});
    let all = future::zip(given_up, note(&order, 90));
    async_io::block_on(all);
    assert_eq!(*order.borrow(), [90]);
}

/// A deadline may be waited for from one task first and then from another.
#[test]
fn the_last_to_poll_a_deadline_is_woken() {
    let mut deadline = after(Duration::from_millis(30));
    let polled = async_io::block_on(future::poll_once(&mut deadline));
    assert!(polled.is_none());
    async_io::block_on(deadline);
}
