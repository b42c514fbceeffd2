//! Scaling of a pool: its target size, and the machines that join and leave it.

use crate::account::PoolState;
use crate::calendar::PoolSize;
use std::cmp::Ordering;

/// Factor on cost limits that tolerates rounding errors in sums of prices.
const PRICE_TOLERANCE: f64 = 1.0 + 1e-9;

/// Target number of machines of a pool, within the bounds of `size`. `recently_allocated` is
/// the number of the pool's machines that were allocated to jobs within the time that a new
/// machine takes to become ready. The same number may be needed again before machines that
/// are provisioned now are ready.
pub fn target_size(size: PoolSize, recently_allocated: u32) -> u32 {
    recently_allocated
        .max(size.min_machines)
        .min(size.max_machines)
}

/// A machine of a pool, as input of the choice of members that leave.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PoolMember {
    /// State of the machine in the pool.
    pub state: PoolState,
    /// Price per hour.
    pub price_per_hour: f64,
}

impl PoolMember {
    /// Orders members by descending progress towards the state `Warm`, then by ascending
    /// price. Members that come first are retained longest.
    fn retention_order(&self, other: &Self) -> Ordering {
        let by_state = other.state.cmp(&self.state);
        by_state.then(self.price_per_hour.total_cmp(&other.price_per_hour))
    }
}

/// Indices of the members that make up the pool's minimum size: those closest to the state
/// `Warm`, then the cheapest. The other members may be reclaimed for tasks that do not
/// belong to the pool.
pub fn retained_members(members: &[PoolMember], min_machines: u32) -> Vec<usize> {
    let mut order = sorted_by_retention(members);
    order.truncate(min_machines as usize);
    order
}

/// Indices of the members that leave the pool, until it has at most `max_members` members
/// and costs at most `max_cost_per_hour`. Members farthest from the state `Warm` leave
/// first, then the most expensive. `None` is no cost limit.
pub fn members_to_remove(
    members: &[PoolMember],
    max_members: u32,
    max_cost_per_hour: Option<f64>,
) -> Vec<usize> {
    let mut remaining = members.len();
    let mut cost: f64 = members.iter().map(|member| member.price_per_hour).sum();
    let mut removed = Vec::new();
    for index in sorted_by_retention(members).into_iter().rev() {
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

/// Indices of all members, those that are retained longest first.
fn sorted_by_retention(members: &[PoolMember]) -> Vec<usize> {
    let mut order: Vec<usize> = (0..members.len()).collect();
    order.sort_by(|&a, &b| {
        let by_retention = members[a].retention_order(&members[b]);
        by_retention.then(a.cmp(&b))
    });
    order
}

/// An idle machine that may join a pool.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PoolCandidate {
    /// Whether the image is in the machine's cache, according to its last report.
    pub has_image: bool,
    /// Whether the machine is up; false while it boots.
    pub is_up: bool,
    /// Price per hour.
    pub price_per_hour: f64,
}

impl PoolCandidate {
    /// Orders candidates by preference: machines with the image first, then machines that
    /// are up, then by ascending price.
    fn preference_order(&self, other: &Self) -> Ordering {
        let by_image = other.has_image.cmp(&self.has_image);
        let by_up = other.is_up.cmp(&self.is_up);
        let by_price = self.price_per_hour.total_cmp(&other.price_per_hour);
        by_image.then(by_up).then(by_price)
    }
}

/// Indices of the candidates that join the pool, in order of preference. There are at most
/// `missing`, and the sum of their prices is at most `budget_per_hour`. A candidate that
/// exceeds the rest of the budget is skipped. `None` is no cost limit.
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

/// Number of machines at the given price per hour that may be provisioned: at most `missing`,
/// and as many as `budget_per_hour` allows. `None` is no cost limit.
pub fn affordable_machines(missing: u32, price: f64, budget_per_hour: Option<f64>) -> u32 {
    match budget_per_hour {
        Some(cost) if price > 0.0 => {
            // The cast rounds down, and saturates at the largest number.
            let count = (cost * PRICE_TOLERANCE / price).max(0.0) as u32;
            missing.min(count)
        }
        _ => missing,
    }
}

#[cfg(test)]
mod tests;
