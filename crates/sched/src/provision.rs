//! Which machines to provision for tasks that fit on none of the existing ones.

use crate::resources::Resources;

/// Lowest price per hour that a value is divided by, so that machines may be free.
const MIN_PRICE: f64 = 1e-9;
/// Largest value of one task, for tasks that no offer can run.
const MAX_TASK_VALUE: f64 = 1e9;
/// Relative difference of two values per price below which they count as equal.
const TIE_TOLERANCE: f64 = 0.001;

/// Tasks of the same shape that have no room.
#[derive(Clone, Debug)]
pub struct TaskShape {
    /// Resources of each task.
    pub task_resources: Resources,
    /// Number of tasks.
    pub count: u32,
    /// Allowed machine types; `None` allows any.
    pub allowed_types: Option<Vec<u16>>,
    /// Allowed zones; `None` allows any.
    pub allowed_zones: Option<Vec<u16>>,
    /// Whether spot instances are allowed.
    pub allows_spot: bool,
    /// Whether no on-demand machine is provisioned for these tasks.
    pub requires_spot: bool,
}

impl TaskShape {
    /// Whether a task could run on such a machine.
    fn allows(&self, offer: &MachineOffer) -> bool {
        self.allows_kind(offer.is_spot)
            && is_allowed(self.allowed_types.as_deref(), offer.machine_type)
            && is_allowed(self.allowed_zones.as_deref(), offer.zone)
            && self.task_resources.fits_in(&offer.total)
    }

    fn allows_kind(&self, spot: bool) -> bool {
        if spot {
            self.allows_spot
        } else {
            !self.requires_spot
        }
    }

    /// Value of one task: the lowest cost of the part of a machine that it uses.
    fn task_value(&self, offers: &[MachineOffer]) -> f64 {
        let allowed = offers.iter().filter(|offer| self.allows(offer));
        allowed
            .map(|offer| self.task_resources.dominant_share(&offer.total) * offer.price_per_hour)
            .fold(f64::INFINITY, f64::min)
            .min(MAX_TASK_VALUE)
    }
}

fn is_allowed(allowed: Option<&[u16]>, number: u16) -> bool {
    allowed.is_none_or(|allowed| allowed.contains(&number))
}

/// A kind of machine that the cloud offers in a zone.
#[derive(Clone, Debug)]
pub struct MachineOffer {
    /// Machine type, as a number given by the caller.
    pub machine_type: u16,
    /// Zone, as a number given by the caller.
    pub zone: u16,
    /// Whether it is a spot instance, which the cloud may preempt.
    pub is_spot: bool,
    /// Installed resources.
    pub total: Resources,
    /// Price per hour.
    pub price_per_hour: f64,
    /// Number of the shard's machines in the zone; of equal offers, the one with fewer is
    /// preferred.
    pub machines_in_zone: u32,
}

/// A number of machines to provision of one offer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlannedMachines {
    /// Index of the offer.
    pub offer: usize,
    /// Number of machines.
    pub count: u32,
}

/// Chooses machines for unplaced tasks, at most `max_machines`. Each machine is chosen for
/// the first shape that still has tasks, by the value of all tasks that it could run per
/// price.
pub fn plan_scale_out(
    shapes: &[TaskShape],
    offers: &[MachineOffer],
    max_machines: u32,
) -> Vec<PlannedMachines> {
    let mut planner = Planner::new(shapes, offers);
    for _ in 0..max_machines {
        if !planner.add_machine() {
            break;
        }
    }
    planner.planned
}

/// The state of a plan while machines are added to it.
struct Planner<'a> {
    offers: &'a [MachineOffer],
    /// The shapes, with the tasks that the plan has no machine for yet.
    remaining: Vec<TaskShape>,
    /// Value of one task of each shape.
    task_values: Vec<f64>,
    /// Number of the shard's machines in each offer's zone, with the planned ones of the
    /// offer.
    machines_held: Vec<u32>,
    planned: Vec<PlannedMachines>,
}

/// What one machine of an offer would add to a plan.
struct OfferValue {
    offer: usize,
    value_per_price: f64,
    machines_held: u32,
}

impl OfferValue {
    /// Whether it is preferred to an earlier one.
    fn is_better_than(&self, other: &Self) -> bool {
        let (value, other_value) = (self.value_per_price, other.value_per_price);
        value > other_value * (1.0 + TIE_TOLERANCE)
            || (value > other_value * (1.0 - TIE_TOLERANCE)
                && self.machines_held < other.machines_held)
    }
}

impl<'a> Planner<'a> {
    fn new(shapes: &[TaskShape], offers: &'a [MachineOffer]) -> Self {
        Self {
            offers,
            remaining: shapes.to_vec(),
            task_values: shapes.iter().map(|s| s.task_value(offers)).collect(),
            machines_held: offers.iter().map(|offer| offer.machines_in_zone).collect(),
            planned: Vec::new(),
        }
    }

    /// Adds the best machine. Returns false if no offer can run any remaining task.
    fn add_machine(&mut self) -> bool {
        let Some(first) = self.first_shape() else {
            return false;
        };
        let Some(best) = self.best_offer(first) else {
            return false;
        };
        let placed = fill(&self.remaining, first, &self.offers[best]);
        for (shape, count) in self.remaining.iter_mut().zip(placed) {
            shape.count -= count;
        }
        self.machines_held[best] += 1;
        self.add_planned(best);
        true
    }

    /// The first shape with remaining tasks that some offer can run.
    fn first_shape(&self) -> Option<usize> {
        let is_open = |shape: &TaskShape| {
            let mut offers = self.offers.iter();
            shape.count > 0 && offers.any(|offer| shape.allows(offer))
        };
        self.remaining.iter().position(is_open)
    }

    /// The offer with the highest value per price for a machine that runs `first`.
    fn best_offer(&self, first: usize) -> Option<usize> {
        let mut best: Option<OfferValue> = None;
        for (index, offer) in self.offers.iter().enumerate() {
            if !self.remaining[first].allows(offer) {
                continue;
            }
            let found = self.value_of(index, first);
            if best.as_ref().is_none_or(|best| found.is_better_than(best)) {
                best = Some(found);
            }
        }
        best.map(|best| best.offer)
    }

    fn value_of(&self, offer: usize, first: usize) -> OfferValue {
        let placed = fill(&self.remaining, first, &self.offers[offer]);
        let counts = placed.iter().zip(&self.task_values);
        let value: f64 = counts.map(|(count, value)| f64::from(*count) * value).sum();
        OfferValue {
            offer,
            value_per_price: value / self.offers[offer].price_per_hour.max(MIN_PRICE),
            machines_held: self.machines_held[offer],
        }
    }

    fn add_planned(&mut self, offer: usize) {
        match self.planned.iter_mut().find(|r| r.offer == offer) {
            Some(machines) => machines.count += 1,
            None => self.planned.push(PlannedMachines { offer, count: 1 }),
        }
    }
}

/// Number of tasks of each shape that a new machine runs, `first` before the others.
fn fill(shapes: &[TaskShape], first: usize, offer: &MachineOffer) -> Vec<u32> {
    let mut free = offer.total;
    let mut placed = vec![0; shapes.len()];
    let others = (0..shapes.len()).filter(|index| *index != first);
    for index in std::iter::once(first).chain(others) {
        let shape = &shapes[index];
        if !shape.allows(offer) {
            continue;
        }
        while placed[index] < shape.count && shape.task_resources.fits_in(&free) {
            free -= shape.task_resources;
            placed[index] += 1;
        }
    }
    placed
}

#[cfg(test)]
mod tests;
