//! What is to be looked at, and when.
//!
//! A controller is woken by every message. What runs then must touch what has
//! changed and what is due, not the whole fleet: with 1,240 machines, passes
//! over all of them and over all jobs took most of the processor.

use crate::Ms;
use std::collections::{BTreeMap, BTreeSet};

/// Things that something has happened to, and others at their time.
#[derive(Debug)]
pub(crate) struct Agenda<K> {
    touched: BTreeSet<K>,
    due: BTreeSet<(Ms, K)>,
    times: BTreeMap<K, Ms>,
}

impl<K> Default for Agenda<K> {
    fn default() -> Self {
        Self {
            touched: BTreeSet::new(),
            due: BTreeSet::new(),
            times: BTreeMap::new(),
        }
    }
}

impl<K: Ord + Clone> Agenda<K> {
    /// Has something looked at the next time.
    pub(crate) fn touch(&mut self, k: &K) {
        if !self.touched.contains(k) {
            self.touched.insert(k.clone());
        }
    }

    /// Has something looked at by a time, instead of any that was set before.
    pub(crate) fn wake(&mut self, k: &K, at: Ms) {
        match self.times.insert(k.clone(), at) {
            Some(old) if old == at => return,
            Some(old) => drop(self.due.remove(&(old, k.clone()))),
            None => {}
        }
        self.due.insert((at, k.clone()));
    }

    /// It is no more.
    pub(crate) fn forget(&mut self, k: &K) {
        self.touched.remove(k);
        if let Some(old) = self.times.remove(k) {
            self.due.remove(&(old, k.clone()));
        }
    }

    /// What is to be looked at now. Nothing is kept of it: whatever has to be
    /// looked at again must be given a new time.
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
