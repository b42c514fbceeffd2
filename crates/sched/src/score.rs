//! The score of a machine for a task.

use crate::resources::Resources;

/// Weights of the score's terms; they sum to 1.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Weights {
    /// Of fit.
    pub fit: f64,
    /// Of cost.
    pub cost: f64,
    /// Of latency.
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

/// What the score needs to know of a machine that has room for the task.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// What is free there.
    pub free: Resources,
    /// Price of the task's estimated run there.
    pub cost: f64,
    /// Seconds until its image is there.
    pub latency: f64,
}

/// The average share of what is free that the task fills. A resource of which
/// nothing is free says nothing about the fit and is left out.
pub fn fit(task: &Resources, free: &Resources) -> f64 {
    let pairs = [
        (task.cpus, free.cpus),
        (task.gpus, free.gpus),
        (task.memory, free.memory),
    ];
    let (mut sum, mut n) = (0.0, 0);
    for (part, whole) in pairs {
        if whole > 0 {
            sum += part as f64 / whole as f64;
            n += 1;
        }
    }
    if n == 0 {
        0.0
    } else {
        sum / f64::from(n)
    }
}

/// The number of the candidate with the highest score; of equals, the lowest.
pub fn choose(
    task: &Resources,
    candidates: impl Iterator<Item = (usize, Candidate)> + Clone,
    w: &Weights,
) -> Option<usize> {
    let most = |f: fn(Candidate) -> f64| {
        let all = candidates.clone().map(|(_, c)| f(c));
        all.fold(0.0, f64::max)
    };
    let (cost, latency) = (most(|c| c.cost), most(|c| c.latency));
    // A maximum of zero zeroes its term.
    let part = |x: f64, max: f64| if max > 0.0 { x / max } else { 0.0 };
    let mut best: Option<(usize, f64)> = None;
    for (i, c) in candidates {
        let score = w.fit * fit(task, &c.free)
            - w.cost * part(c.cost, cost)
            - w.latency * part(c.latency, latency);
        if best.is_none_or(|(first, b)| score > b || (score == b && i < first)) {
            best = Some((i, score));
        }
    }
    best.map(|(i, _)| i)
}

#[cfg(test)]
mod tests;
