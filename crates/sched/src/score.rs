//! The score of a machine for a task: bin-packing fit, less cost, less latency, each with
//! its weight.

use crate::resources::Resources;

/// Weights of the score's terms; they sum to 1.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Weights {
    /// Weight of the fit.
    pub fit: f64,
    /// Weight of the cost.
    pub cost: f64,
    /// Weight of the latency.
    pub latency: f64,
}

impl Default for Weights {
    fn default() -> Self {
        Self {
            fit: 1.0 / 3.0,
            cost: 1.0 / 3.0,
            latency: 1.0 / 3.0,
        }
    }
}

/// What the score depends on, of a machine that has room for the task.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Candidate {
    /// Free resources of the machine.
    pub(crate) free: Resources,
    /// Price of the task's estimated run on it.
    pub(crate) cost: f64,
    /// Seconds until the task could start: until the machine is up and has the image.
    pub(crate) latency: f64,
}

/// Bin-packing score: the mean over the resources of the part of what is free that the
/// task would use, from 0 to 1 for a task that fits. A resource of which nothing is free
/// is left out of the mean.
fn fit(task: &Resources, free: &Resources) -> f64 {
    let used_and_free = [
        (task.milli_cpus, free.milli_cpus),
        (task.milli_gpus, free.milli_gpus),
        (task.memory_mb, free.memory_mb),
    ];
    let (mut sum, mut count) = (0.0, 0);
    for (used, free) in used_and_free {
        if free > 0 {
            sum += used as f64 / free as f64;
            count += 1;
        }
    }
    if count == 0 {
        0.0
    } else {
        sum / f64::from(count)
    }
}

/// The index of the candidate with the highest score; of equals, the lowest index. Cost
/// and latency are divided by their maxima over the candidates.
pub(crate) fn choose(
    task: &Resources,
    candidates: impl Iterator<Item = (usize, Candidate)> + Clone,
    weights: &Weights,
) -> Option<usize> {
    let maximum = |term: fn(Candidate) -> f64| {
        let values = candidates.clone().map(|(_, candidate)| term(candidate));
        values.fold(0.0, f64::max)
    };
    let max_cost = maximum(|candidate| candidate.cost);
    let max_latency = maximum(|candidate| candidate.latency);
    let mut best: Option<(usize, f64)> = None;
    for (index, candidate) in candidates {
        let score = weights.fit * fit(task, &candidate.free)
            - weights.cost * normalized(candidate.cost, max_cost)
            - weights.latency * normalized(candidate.latency, max_latency);
        let is_better = |(best_index, best_score): (usize, f64)| {
            score > best_score || (score == best_score && index < best_index)
        };
        if best.is_none_or(is_better) {
            best = Some((index, score));
        }
    }
    best.map(|(index, _)| index)
}

/// `value` as a part of `max`; a maximum of zero removes the term from the score.
fn normalized(value: f64, max: f64) -> f64 {
    if max > 0.0 {
        value / max
    } else {
        0.0
    }
}

#[cfg(test)]
mod tests;
