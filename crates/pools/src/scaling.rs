//! The target size of a pool, and the machines that join and leave it.

use crate::account::PoolState;
use crate::calendar::PoolSize;
use std::cmp::Ordering;

/// Relative tolerance for sums of prices.
const PRICE_TOLERANCE: f64 = 1.0 + 1e-9;

/// Target number of machines of a pool, given the number that was allocated to jobs within
/// the time that a new machine takes to be ready: as many may be needed again before a
/// machine that is provisioned now can replace any.
pub fn target_size(size: PoolSize, recently_allocated: u32) -> u32 {
    recently_allocated
        .max(size.min_machines)
        .min(size.max_machines)
}

/// A machine of a pool.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PoolMember {
    /// Its state.
    pub state: PoolState,
    /// Price per hour.
    pub price_per_hour: f64,
}

impl PoolMember {
    /// Orders the members that a pool keeps first: the closest to being warm, then the
    /// cheapest.
    fn retention_order(&self, other: &Self) -> Ordering {
        let by_state = other.state.cmp(&self.state);
        by_state.then(self.price_per_hour.total_cmp(&other.price_per_hour))
    }
}

/// Indices of the members that are the pool's least size: the closest to being warm, then
/// the cheapest. The others may be reclaimed.
pub fn retained_members(members: &[PoolMember], min_machines: u32) -> Vec<usize> {
    let mut order = by_retention(members);
    order.truncate(min_machines as usize);
    order
}

/// Indices of the members that leave a pool of more than `max_members`, or beyond its cost
/// limit per hour: the farthest from being warm first, then the most expensive.
pub fn members_to_remove(
    members: &[PoolMember],
    max_members: u32,
    max_cost_per_hour: Option<f64>,
) -> Vec<usize> {
    let mut remaining = members.len();
    let mut cost: f64 = members.iter().map(|member| member.price_per_hour).sum();
    let mut removed = Vec::new();
    for index in by_retention(members).into_iter().rev() {
        let is_over_cost = max_cost_per_hour.is_some_and(|most| cost > most * PRICE_TOLERANCE);
        if remaining <= max_members as usize && !is_over_cost {
            break;
        }
        remaining -= 1;
        cost -= members[index].price_per_hour;
        removed.push(index);
    }
    removed
}

/// Indices of all members, those that are kept first in front.
fn by_retention(members: &[PoolMember]) -> Vec<usize> {
    let mut order: Vec<usize> = (0..members.len()).collect();
    order.sort_by(|&a, &b| {
        let by_retention = members[a].retention_order(&members[b]);
        by_retention.then(a.cmp(&b))
    });
    order
}

/// An idle machine that a pool may use.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PoolCandidate {
    /// Whether its cache still holds the image, as far as is known.
    pub has_image: bool,
    /// Whether it is up.
    pub is_up: bool,
    /// Price per hour.
    pub price_per_hour: f64,
}

impl PoolCandidate {
    /// Orders the candidates that join first: those with the image, then those that are
    /// up, then the cheapest.
    fn preference_order(&self, other: &Self) -> Ordering {
        let by_image = other.has_image.cmp(&self.has_image);
        let by_up = other.is_up.cmp(&self.is_up);
        let by_price = self.price_per_hour.total_cmp(&other.price_per_hour);
        by_image.then(by_up).then(by_price)
    }
}

/// Indices of the candidates that join, in order of preference: at most `missing`, within
/// `budget_per_hour` per hour. A candidate that costs too much is skipped.
pub fn candidates_to_add(
    candidates: &[PoolCandidate],
    missing: u32,
    budget_per_hour: Option<f64>,
) -> Vec<usize> {
    let mut order: Vec<usize> = (0..candidates.len()).collect();
    order.sort_by(|&a, &b| {
        let by_preference = candidates[a].preference_order(&candidates[b]);
        by_preference.then(a.cmp(&b))
    });
    let mut budget = budget_per_hour.map(|cost| cost * PRICE_TOLERANCE);
    let mut added = Vec::new();
    for index in order {
        if added.len() as u32 == missing {
            break;
        }
        let price = candidates[index].price_per_hour;
        if budget.is_some_and(|budget| price > budget) {
            continue;
        }
        budget = budget.map(|budget| budget - price);
        added.push(index);
    }
    added
}

/// Number of machines of a price, at most `missing`, that may be provisioned within
/// `budget_per_hour` per hour.
pub fn affordable_machines(missing: u32, price: f64, budget_per_hour: Option<f64>) -> u32 {
    match budget_per_hour {
        Some(cost) if price > 0.0 => {
            // The cast rounds down, and saturates.
            let count = (cost * PRICE_TOLERANCE / price).max(0.0) as u32;
            missing.min(count)
        }
        _ => missing,
    }
}

#[cfg(test)]
mod tests;
