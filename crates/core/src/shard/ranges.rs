//! A set of task indices that is stored as ranges, because completed tasks of a large
//! array mostly form long runs.

use std::collections::BTreeMap;

/// A set of numbers, stored as maximal ranges.
#[derive(Clone, Debug, Default)]
pub(crate) struct RangeSet {
    /// Start of each range, and its exclusive end. Ranges neither overlap nor touch.
    runs: BTreeMap<u32, u32>,
    /// Number of elements.
    len: u32,
}

impl RangeSet {
    /// Adds the numbers from `from` up to, but not including, `to`.
    pub(crate) fn insert_range(&mut self, from: u32, to: u32) {
        for number in from..to {
            self.insert(number);
        }
    }

    /// Adds a number. Returns whether it was not in the set before.
    pub(crate) fn insert(&mut self, number: u32) -> bool {
        if self.contains(number) {
            return false;
        }
        self.len += 1;
        let mut start = number;
        let mut end = number + 1;
        if let Some((&run_start, &run_end)) = self.runs.range(..number).next_back() {
            if run_end == number {
                start = run_start;
            }
        }
        if let Some(next_end) = self.runs.remove(&(number + 1)) {
            end = next_end;
        }
        self.runs.insert(start, end);
        true
    }

    pub(crate) fn contains(&self, number: u32) -> bool {
        let run = self.runs.range(..=number).next_back();
        run.is_some_and(|(_, &end)| number < end)
    }

    /// Number of elements.
    pub(crate) fn len(&self) -> u32 {
        self.len
    }

    /// The parts of the set within `from..to`, as starts and exclusive ends in ascending
    /// order.
    pub(crate) fn ranges_within(&self, from: u32, to: u32) -> Vec<(u32, u32)> {
        self.runs
            .iter()
            .map(|(&start, &end)| (start.max(from), end.min(to)))
            .filter(|(start, end)| start < end)
            .collect()
    }

    /// The numbers below `to` that are not in the set, in ascending order. The cost of
    /// skipping a range does not depend on its length.
    pub(crate) fn missing_below(&self, to: u32) -> impl Iterator<Item = u32> + '_ {
        let ends = std::iter::once(0).chain(self.runs.values().copied());
        let starts = self.runs.keys().copied().chain(std::iter::once(to));
        ends.zip(starts)
            .flat_map(move |(end, next_start)| end..next_start.min(to))
    }
}

#[cfg(test)]
mod tests;
