//! A set of task numbers, kept as ranges.

use std::collections::BTreeMap;

/// A set of numbers that is mostly made of long runs.
#[derive(Clone, Debug, Default)]
pub(crate) struct Ranges {
    /// Start of each run, and its end, which is not part of it.
    runs: BTreeMap<u32, u32>,
    len: u32,
}

impl Ranges {
    /// Adds numbers from `from` up to, not including, `to`.
    pub(crate) fn insert_range(&mut self, from: u32, to: u32) {
        for x in from..to {
            self.insert(x);
        }
    }

    /// Adds a number, and says whether it is new.
    pub(crate) fn insert(&mut self, x: u32) -> bool {
        if self.contains(x) {
            return false;
        }
        self.len += 1;
        let mut start = x;
        let mut end = x + 1;
        if let Some((&s, &e)) = self.runs.range(..x).next_back() {
            if e == x {
                start = s;
            }
        }
        if let Some(&e) = self.runs.get(&(x + 1)) {
            end = e;
            self.runs.remove(&(x + 1));
        }
        self.runs.insert(start, end);
        true
    }

    /// Whether a number is in the set.
    pub(crate) fn contains(&self, x: u32) -> bool {
        let run = self.runs.range(..=x).next_back();
        run.is_some_and(|(_, &end)| x < end)
    }

    /// How many numbers are in the set.
    pub(crate) fn len(&self) -> u32 {
        self.len
    }

    /// The runs that lie in `from..to`.
    pub(crate) fn within(&self, from: u32, to: u32) -> Vec<(u32, u32)> {
        self.runs
            .iter()
            .map(|(&s, &e)| (s.max(from), e.min(to)))
            .filter(|(s, e)| s < e)
            .collect()
    }

    /// The numbers below `to` that are not in the set, without the runs
    /// being walked one number at a time.
    pub(crate) fn missing(&self, to: u32) -> impl Iterator<Item = u32> + '_ {
        let ends = std::iter::once(0).chain(self.runs.values().copied());
        let starts = self.runs.keys().copied().chain(std::iter::once(to));
        ends.zip(starts).flat_map(move |(a, b)| a..b.min(to))
    }
}

#[cfg(test)]
mod tests;
