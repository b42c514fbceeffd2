//! The score of a machine for a task: weighted bin-packing fit, minus weighted cost, minus
//! weighted latency.

use crate::resources::Resources;

/// Weights of the score's terms, from 0 to 1. Operators set them so that they sum to 1.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Weights {
    /// Weight of the fit; a higher weight packs tasks onto machines with little free capacity.
    pub fit: f64,
    /// Weight of the cost of the task's run.
    pub cost: f64,
    /// Weight of the time until the task can start.
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

/// The inputs of the score, for a machine on which the task fits.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Candidate {
    /// Free resources of the machine, before the task is placed.
    pub(crate) free: Resources,
    /// Price of the machine for the estimated run time of the task.
    pub(crate) cost: f64,
    /// Seconds until the task can start: the remaining boot time of the machine plus the time
    /// to fetch the image.
    pub(crate) latency: f64,
}

/// Bin-packing fit: the mean, over CPUs, GPUs and memory, of the fraction of the free amount
/// that the task would use. It is from 0 to 1 for a task that fits. Resources with no free
/// amount do not count.
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

/// Index of the candidate with the highest score; the lowest index among equal scores. `None`
/// if there are no candidates. Cost and latency are divided by their maxima over the
/// candidates, so that each term is from 0 to 1 before it is weighted.
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

/// `value` divided by `max`; 0 if `max` is 0, so that the term does not affect the score.
fn normalized(value: f64, max: f64) -> f64 {
    if max > 0.0 {
        value / max
    } else {
        0.0
    }
}

#[cfg(test)]
mod tests;
