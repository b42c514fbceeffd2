//! Timer queues: which machines and jobs are due to be checked.
//!
//! A controller runs a step for every message. A step must process what has
//! changed and what is due, not the whole fleet: with 1,240 machines, passes
//! over all of them and over all jobs took most of the CPU time.

use crate::Ms;
use std::collections::{BTreeMap, BTreeSet};

/// Keys that are due: those that were marked due, and others at their deadlines.
///
/// Invariant: `by_deadline` and `deadlines` hold the same pairs.
#[derive(Debug)]
pub(crate) struct TimerQueue<K> {
    due_now: BTreeSet<K>,
    by_deadline: BTreeSet<(Ms, K)>,
    deadlines: BTreeMap<K, Ms>,
}

impl<K> Default for TimerQueue<K> {
    fn default() -> Self {
        Self {
            due_now: BTreeSet::new(),
            by_deadline: BTreeSet::new(),
            deadlines: BTreeMap::new(),
        }
    }
}

impl<K: Ord + Clone> TimerQueue<K> {
    /// Makes a key due at once.
    pub(crate) fn mark_due(&mut self, key: &K) {
        if !self.due_now.contains(key) {
            self.due_now.insert(key.clone());
        }
    }

    /// Sets the deadline of a key, in place of any that was set before.
    pub(crate) fn set_deadline(&mut self, key: &K, at: Ms) {
        match self.deadlines.insert(key.clone(), at) {
            Some(old) if old == at => return,
            Some(old) => drop(self.by_deadline.remove(&(old, key.clone()))),
            None => {}
        }
        self.by_deadline.insert((at, key.clone()));
    }

    /// Drops a key and its deadline.
    pub(crate) fn remove(&mut self, key: &K) {
        self.due_now.remove(key);
        if let Some(old) = self.deadlines.remove(key) {
            self.by_deadline.remove(&(old, key.clone()));
        }
    }

    /// Takes all keys that are due. Their deadlines are dropped with them:
    /// a key that has to be checked again must be given a new one.
    pub(crate) fn pop_due(&mut self, now: Ms) -> Vec<K> {
        while let Some((at, _)) = self.by_deadline.first() {
            if *at > now {
                break;
            }
            if let Some((_, key)) = self.by_deadline.pop_first() {
                self.deadlines.remove(&key);
                self.due_now.insert(key);
            }
        }
        std::mem::take(&mut self.due_now).into_iter().collect()
    }
}

#[cfg(test)]
mod tests;
