//! How many machines a pool should have, and which ones join and leave it.

use crate::account::PoolState;
use crate::calendar::Size;

/// How many machines a pool should have, where so many were handed out within the time
/// that a machine takes to be ready: as many may be needed again before the first one
/// that is rented now can replace any.
pub fn target(size: Size, handed_out: u32) -> u32 {
    handed_out.max(size.least).min(size.most)
}

/// A machine of a pool.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Member {
    /// What it is doing.
    pub state: PoolState,
    /// Its price an hour.
    pub price: f64,
}

/// Which members are kept as the pool's least, by their indices: those that are nearest
/// to being warm, the cheapest of them first. The rest may be handed to others.
pub fn core_members(members: &[Member], least: u32) -> Vec<usize> {
    let mut order: Vec<usize> = (0..members.len()).collect();
    order.sort_by(|&a, &b| keep_first(&members[a], &members[b]).then(a.cmp(&b)));
    order.truncate(least as usize);
    order
}

/// Which members leave a pool that has too many, by their indices: those that are
/// farthest from being warm, the dearest of them first.
pub fn leaving(members: &[Member], target: u32, cost_most: Option<f64>) -> Vec<usize> {
    let mut order: Vec<usize> = (0..members.len()).collect();
    order.sort_by(|&a, &b| keep_first(&members[b], &members[a]).then(b.cmp(&a)));
    let mut left = members.len();
    let mut cost: f64 = members.iter().map(|m| m.price).sum();
    let mut leaving = Vec::new();
    for index in order {
        let too_dear = cost_most.is_some_and(|most| cost > most * ROUNDING);
        if left <= target as usize && !too_dear {
            break;
        }
        left -= 1;
        cost -= members[index].price;
        leaving.push(index);
    }
    leaving
}

fn keep_first(a: &Member, b: &Member) -> std::cmp::Ordering {
    b.state.cmp(&a.state).then(a.price.total_cmp(&b.price))
}

/// A machine that nothing needs and that a pool may use.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// Whether its cache still holds the image, as far as is known.
    pub has_image: bool,
    /// Whether it is up.
    pub is_up: bool,
    /// Its price an hour.
    pub price: f64,
}

/// Which candidates join, by their indices: those with the image, then those that are up,
/// then the cheapest, up to `missing` machines and within a cost an hour.
pub fn joining(candidates: &[Candidate], missing: u32, cost_left: Option<f64>) -> Vec<usize> {
    let mut order: Vec<usize> = (0..candidates.len()).collect();
    order.sort_by(|&a, &b| {
        let (first, second) = (&candidates[a], &candidates[b]);
        let by_image = second.has_image.cmp(&first.has_image);
        let by_boot = second.is_up.cmp(&first.is_up);
        let by_price = first.price.total_cmp(&second.price);
        by_image.then(by_boot).then(by_price).then(a.cmp(&b))
    });
    let mut budget = cost_left.map(|most| most * ROUNDING);
    let mut joining = Vec::new();
    for index in order {
        if joining.len() as u32 == missing {
            break;
        }
        let price = candidates[index].price;
        if budget.is_some_and(|left| price > left) {
            continue;
        }
        budget = budget.map(|left| left - price);
        joining.push(index);
    }
    joining
}

/// How many machines of a price may be rented within what is left of a cost an hour.
pub fn affordable(missing: u32, price: f64, cost_left: Option<f64>) -> u32 {
    match cost_left {
        Some(left) if price > 0.0 => missing.min((left * ROUNDING / price).max(0.0) as u32),
        _ => missing,
    }
}

/// Sums of prices may be off by this.
const ROUNDING: f64 = 1.0 + 1e-9;

#[cfg(test)]
mod tests;
