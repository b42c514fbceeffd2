//! Deadlines of calls and connections, all on one timer.
//!
//! Nearly every deadline is cancelled long before it expires, because the response arrives.
//! Setting a timer of `async-io` interrupts the reactor. The interruption costs a write, a
//! second wait for events and, often, a switch to the reactor's thread: some ten system
//! calls for each request. In this module, a deadline is an entry in an ordered map, and a
//! single timer is set for the earliest entry. The timer stays set when that entry is
//! cancelled, so one timer serves many deadlines.
//!
//! The map is behind a mutex, because the timer fires on the reactor's thread. The lock is
//! held while the map and the timer are changed, and released before wakers are called.

use async_io::Timer;
use std::collections::BTreeMap;
use std::future::Future;
use std::pin::Pin;
use std::sync::{Arc, LazyLock, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, Wake, Waker};
use std::time::{Duration, Instant};

/// Time at which a deadline expires, and a unique number that distinguishes deadlines with
/// the same time.
type DeadlineKey = (Instant, u64);

/// All pending deadlines of this process.
static DEADLINES: LazyLock<Arc<Deadlines>> = LazyLock::new(Arc::default);

/// Returns a future that completes after `duration`. Dropping the future earlier cancels the
/// deadline without a system call.
pub fn deadline_after(duration: Duration) -> Deadline {
    let number = DEADLINES.lock().next_deadline_number();
    Deadline {
        key: (Instant::now() + duration, number),
    }
}

/// A future that completes at a point in time; see [`deadline_after`].
#[derive(Debug)]
pub struct Deadline {
    key: DeadlineKey,
}

impl Future for Deadline {
    type Output = ();

    fn poll(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        if Instant::now() >= self.key.0 {
            return Poll::Ready(());
        }
        let mut state = DEADLINES.lock();
        state.pending.insert(self.key, cx.waker().clone());
        let expired = state.set_timer(&DEADLINES);
        drop(state);
        expired.into_iter().for_each(Waker::wake);
        Poll::Pending
    }
}

impl Drop for Deadline {
    fn drop(&mut self) {
        DEADLINES.lock().pending.remove(&self.key);
    }
}

/// The pending deadlines. This type is also the waker of their timer.
#[derive(Default)]
struct Deadlines(Mutex<DeadlineState>);

#[derive(Default)]
struct DeadlineState {
    /// Wakers of the pending deadlines.
    pending: BTreeMap<DeadlineKey, Waker>,
    /// The timer and the time at which it fires, which is no later than the earliest
    /// pending deadline. None if the timer has fired or was never set.
    timer: Option<(Timer, Instant)>,
    next_number: u64,
}

impl Deadlines {
    fn lock(&self) -> MutexGuard<'_, DeadlineState> {
        // No operation on the state can panic halfway, so the state behind a poisoned mutex
        // is consistent.
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl DeadlineState {
    fn next_deadline_number(&mut self) -> u64 {
        self.next_number += 1;
        self.next_number
    }

    /// Sets the timer for the earliest deadline, unless the timer already fires at that
    /// time or earlier. Returns the wakers of deadlines that expired in the meantime; the
    /// caller releases the lock before it calls them.
    fn set_timer(&mut self, deadlines: &Arc<Deadlines>) -> Vec<Waker> {
        let mut expired = Vec::new();
        while let Some((earliest, _)) = self.pending.keys().next().copied() {
            if self
                .timer
                .as_ref()
                .is_some_and(|(_, fires_at)| *fires_at <= earliest)
            {
                break;
            }
            let mut timer = Timer::at(earliest);
            let waker = Waker::from(deadlines.clone());
            let polled = Pin::new(&mut timer).poll(&mut Context::from_waker(&waker));
            match polled {
                Poll::Pending => self.timer = Some((timer, earliest)),
                Poll::Ready(_) => expired.extend(self.remove_expired(earliest)),
            }
        }
        expired
    }

    /// Removes the deadlines up to `now`, and returns their wakers.
    fn remove_expired(&mut self, now: Instant) -> Vec<Waker> {
        let not_expired = self.pending.split_off(&(now, u64::MAX));
        let expired = std::mem::replace(&mut self.pending, not_expired);
        expired.into_values().collect()
    }
}

impl Wake for Deadlines {
    /// Called when the timer fires: wakes the tasks of expired deadlines, and sets the timer
    /// for the next deadline.
    fn wake(self: Arc<Self>) {
        let mut state = self.lock();
        state.timer = None;
        let mut expired = state.remove_expired(Instant::now());
        expired.extend(state.set_timer(&self));
        drop(state);
        expired.into_iter().for_each(Waker::wake);
    }
}
