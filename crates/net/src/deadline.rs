//! Deadlines of calls and connections, all on one timer.
//!
//! Nearly every deadline is cancelled long before it expires, because the response arrives.
//! A timer of `async-io` interrupts the reactor when it is set, which costs a write, a
//! second wait for events and, often, a switch to the helper thread: some ten system
//! calls for each request and each call. Here a deadline is an entry in an ordered map,
//! and one timer is set for the earliest of them. The timer is not changed when that
//! deadline is cancelled, so it is set once for many deadlines.
//!
//! The map is behind a mutex, because the timer wakes it from the reactor's thread. The
//! lock is held for changes of the map and the timer, and released before wakers are
//! called.

use async_io::Timer;
use std::collections::BTreeMap;
use std::future::Future;
use std::pin::Pin;
use std::sync::{Arc, LazyLock, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, Wake, Waker};
use std::time::{Duration, Instant};

/// When a deadline expires, and a number that distinguishes it from others at that time.
type Key = (Instant, u64);

/// The deadlines of this process.
static DEADLINES: LazyLock<Arc<Deadlines>> = LazyLock::new(Arc::default);

/// Completes after `duration`. Dropping it before that is cheap.
pub fn deadline_after(duration: Duration) -> Deadline {
    let number = DEADLINES.lock().next_deadline_number();
    Deadline {
        key: (Instant::now() + duration, number),
    }
}

/// A future that completes at a point in time.
#[derive(Debug)]
pub struct Deadline {
    key: Key,
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

/// The pending deadlines; also the waker of their timer.
#[derive(Default)]
struct Deadlines(Mutex<State>);

#[derive(Default)]
struct State {
    /// Wakers of the pending deadlines.
    pending: BTreeMap<Key, Waker>,
    /// The timer, and when it fires: no later than the earliest deadline.
    timer: Option<(Timer, Instant)>,
    next_number: u64,
}

impl Deadlines {
    fn lock(&self) -> MutexGuard<'_, State> {
        // No operation on the state can panic halfway, so a poisoned one is consistent.
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn next_deadline_number(&mut self) -> u64 {
        self.next_number += 1;
        self.next_number
    }

    /// Sets the timer for the earliest deadline, unless it fires no later already.
    /// Returns the wakers of deadlines that have expired meanwhile, to be called without
    /// the lock.
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
                Poll::Ready(_) => expired.extend(self.take_expired(earliest)),
            }
        }
        expired
    }

    fn take_expired(&mut self, now: Instant) -> Vec<Waker> {
        let not_expired = self.pending.split_off(&(now, u64::MAX));
        let expired = std::mem::replace(&mut self.pending, not_expired);
        expired.into_values().collect()
    }
}

impl Wake for Deadlines {
    /// Called when the timer fires: wakes expired deadlines, and sets the timer for the next.
    fn wake(self: Arc<Self>) {
        let mut state = self.lock();
        state.timer = None;
        let mut expired = state.take_expired(Instant::now());
        expired.extend(state.set_timer(&self));
        drop(state);
        expired.into_iter().for_each(Waker::wake);
    }
}
