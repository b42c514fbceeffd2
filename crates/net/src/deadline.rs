//! Deadlines of calls and connections, all on one timer.
//!
//! Nearly every deadline is given up long before it comes: the answer arrives.
//! A timer of `async-io` interrupts the reactor when it is set, which costs a
//! write, a second wait for events and, often, a switch to the helper thread:
//! some ten system calls for each request and each call. Here a deadline is an
//! entry in an ordered map, and one timer is set for the first of them. It is left
//! as it is when that one is given up, so it is set anew once for many deadlines.

use async_io::Timer;
use std::collections::BTreeMap;
use std::future::Future;
use std::pin::Pin;
use std::sync::{Arc, LazyLock, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, Wake, Waker};
use std::time::{Duration, Instant};

/// When a deadline comes, and a number that tells it from others at that moment.
type Key = (Instant, u64);

/// The deadlines of this process.
static DEADLINES: LazyLock<Arc<Deadlines>> = LazyLock::new(Arc::default);

/// Completes once so much time has passed.
///
/// It may be dropped before that at little cost, as most are.
pub fn after(duration: Duration) -> Deadline {
    let number = DEADLINES.lock().take_number();
    Deadline {
        key: (Instant::now() + duration, number),
    }
}

/// A moment that can be waited for.
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
        state.waiting.insert(self.key, cx.waker().clone());
        let due = state.set_timer(&DEADLINES);
        drop(state);
        due.into_iter().for_each(Waker::wake);
        Poll::Pending
    }
}

impl Drop for Deadline {
    fn drop(&mut self) {
        DEADLINES.lock().waiting.remove(&self.key);
    }
}

#[derive(Default)]
struct Deadlines(Mutex<State>);

#[derive(Default)]
struct State {
    /// Whom to wake at which moment.
    waiting: BTreeMap<Key, Waker>,
    /// The timer, and when it fires: no later than the first deadline.
    timer: Option<(Timer, Instant)>,
    next_number: u64,
}

impl Deadlines {
    fn lock(&self) -> MutexGuard<'_, State> {
        // No step on the state can fail halfway.
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn take_number(&mut self) -> u64 {
        self.next_number += 1;
        self.next_number
    }

    /// Sets the timer for the first deadline, unless it fires no later anyway.
    /// Returns whom to wake, without the lock, as their deadlines have come meanwhile.
    fn set_timer(&mut self, deadlines: &Arc<Deadlines>) -> Vec<Waker> {
        let mut due = Vec::new();
        while let Some((first, _)) = self.waiting.keys().next().copied() {
            if self.timer.as_ref().is_some_and(|(_, at)| *at <= first) {
                break;
            }
            let mut timer = Timer::at(first);
            let waker = Waker::from(deadlines.clone());
            let polled = Pin::new(&mut timer).poll(&mut Context::from_waker(&waker));
            match polled {
                Poll::Pending => self.timer = Some((timer, first)),
                Poll::Ready(_) => due.extend(self.take_due(first)),
            }
        }
        due
    }

    fn take_due(&mut self, now: Instant) -> Vec<Waker> {
        let later = self.waiting.split_off(&(now, u64::MAX));
        let due = std::mem::replace(&mut self.waiting, later);
        due.into_values().collect()
    }
}

impl Wake for Deadlines {
    /// The timer has fired: wakes whom it was for, and sets it for the next.
    fn wake(self: Arc<Self>) {
        let mut state = self.lock();
        state.timer = None;
        let mut due = state.take_due(Instant::now());
        due.extend(state.set_timer(&self));
        drop(state);
        due.into_iter().for_each(Waker::wake);
    }
}
