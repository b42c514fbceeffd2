//! Timer queues: which machines and jobs are due to be looked at.
//!
//! A controller is woken by every message. What runs then must touch what has
//! changed and what is due, not the whole fleet: with 1,240 machines, passes
//! over all of them and over all jobs took most of the processor.

use crate::Ms;
use std::collections::{BTreeMap, BTreeSet};

/// Keys that are due: those that were touched, and others at their deadlines.
#[derive(Debug)]
pub(crate) struct TimerQueue<K> {
    touched: BTreeSet<K>,
    due: BTreeSet<(Ms, K)>,
    times: BTreeMap<K, Ms>,
}

impl<K> Default for TimerQueue<K> {
    fn default() -> Self {
        Self {
            touched: BTreeSet::new(),
            due: BTreeSet::new(),
            times: BTreeMap::new(),
        }
    }
}

impl<K: Ord + Clone> TimerQueue<K> {
    /// Makes a key due at once.
    pub(crate) fn touch(&mut self, k: &K) {
        if !self.touched.contains(k) {
            self.touched.insert(k.clone());
        }
    }

    /// Sets the deadline of a key, in place of any that was set before.
    pub(crate) fn wake(&mut self, k: &K, at: Ms) {
        match self.times.insert(k.clone(), at) {
            Some(old) if old == at => return,
            Some(old) => drop(self.due.remove(&(old, k.clone()))),
            None => {}
        }
        self.due.insert((at, k.clone()));
    }

    /// Drops a key and its deadline.
    pub(crate) fn forget(&mut self, k: &K) {
        self.touched.remove(k);
        if let Some(old) = self.times.remove(k) {
            self.due.remove(&(old, k.clone()));
        }
    }

    /// Takes all keys that are due. Their deadlines are dropped with them:
    /// whatever has to be looked at again must be given a new one.
    pub(crate) fn take(&mut self, now: Ms) -> Vec<K> {
        while let Some((at, _)) = self.due.first() {
            if *at > now {
                break;
            }
            if let Some((_, k)) = self.due.pop_first() {
                self.times.remove(&k);
                self.touched.insert(k);
            }
        }
        std::mem::take(&mut self.touched).into_iter().collect()
    }
}

#[cfg(test)]
mod tests;
