//! The scale-out plan: which machines to provision for tasks that fit on no existing
//! machine.
//!
//! The plan is greedy. Each step adds one machine for the first shape that still has
//! unplanned tasks. Of the offers that can run this shape, the one with the highest value of
//! tasks per price is chosen, with all remaining tasks that fit on the machine counted.

use crate::resources::Resources;

/// Lowest price per hour that a value is divided by: offers may be free of charge.
const MIN_PRICE_PER_HOUR: f64 = 1e-9;
/// Largest value of one task. It stands in for the infinite value of a task that no offer can
/// run, because infinity multiplied by a count of zero is not a number.
const MAX_TASK_VALUE: f64 = 1e9;
/// Largest relative difference between two values per price that count as equal.
const TIE_TOLERANCE: f64 = 0.001;

/// Tasks with equal resources and constraints that fit on no existing machine.
#[derive(Clone, Debug)]
pub struct TaskShape {
    /// Resources of each task.
    pub task_resources: Resources,
    /// Number of tasks of the shape.
    pub count: u32,
    /// Allowed machine types; `None` allows any.
    pub allowed_types: Option<Vec<u16>>,
    /// Allowed zones; `None` allows any.
    pub allowed_zones: Option<Vec<u16>>,
    /// Whether spot instances are allowed.
    pub allows_spot: bool,
    /// Whether only spot instances may be provisioned for these tasks.
    pub requires_spot: bool,
}

impl TaskShape {
    /// Whether a task could run on an empty machine of the offer.
    fn allows(&self, offer: &MachineOffer) -> bool {
        self.allows_purchase_option(offer.is_spot)
            && is_allowed(self.allowed_types.as_deref(), offer.machine_type)
            && is_allowed(self.allowed_zones.as_deref(), offer.zone)
            && self.task_resources.fits_in(&offer.total)
    }

    fn allows_purchase_option(&self, is_spot: bool) -> bool {
        if is_spot {
            self.allows_spot
        } else {
            !self.requires_spot
        }
    }

    /// Value of one task, as a price per hour: the lowest product, over the allowed offers, of
    /// the task's dominant share of a machine and the machine's price.
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

/// A machine type that the cloud offers in a zone, as spot or on-demand.
#[derive(Clone, Debug)]
pub struct MachineOffer {
    /// Machine type, as a number given by the caller.
    pub machine_type: u16,
    /// Zone, as a number given by the caller.
    pub zone: u16,
    /// Whether the offer is for spot instances, which the cloud may preempt.
    pub is_spot: bool,
    /// Installed resources.
    pub total: Resources,
    /// Price per hour, in the currency of the catalogue.
    pub price_per_hour: f64,
    /// Number of machines of this type that the shard has in the zone. Of offers with equal
    /// value per price, the one with the lowest number is chosen, which spreads machines
    /// over zones. The caller may add a penalty, for example for a zone that is slow to
    /// provide machines.
    pub machines_in_zone: u32,
}

/// The number of machines to provision of one offer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlannedMachines {
    /// Index of the offer in the list of offers.
    pub offer: usize,
    /// Number of machines, at least 1.
    pub count: u32,
}

/// Chooses at most `max_machines` machines for the tasks of `shapes`, which are in
/// descending order of urgency. Shapes that no offer can run get no machine.
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
    /// The shapes, with the number of tasks for which no machine is planned yet.
    remaining: Vec<TaskShape>,
    /// Value of one task of each shape.
    task_values: Vec<f64>,
    /// For each offer: `machines_in_zone` plus the planned machines of the offer.
    machine_counts: Vec<u32>,
    planned: Vec<PlannedMachines>,
}

/// The value of one more machine of an offer.
struct OfferValue {
    offer: usize,
    value_per_price: f64,
    machine_count: u32,
}

impl OfferValue {
    /// Whether this offer is preferred to `other`, which comes earlier in the list of offers
    /// and is kept if they are equal.
    fn is_better_than(&self, other: &Self) -> bool {
        let (value, other_value) = (self.value_per_price, other.value_per_price);
        value > other_value * (1.0 + TIE_TOLERANCE)
            || (value > other_value * (1.0 - TIE_TOLERANCE)
                && self.machine_count < other.machine_count)
    }
}

impl<'a> Planner<'a> {
    fn new(shapes: &[TaskShape], offers: &'a [MachineOffer]) -> Self {
        Self {
            offers,
            remaining: shapes.to_vec(),
            task_values: shapes.iter().map(|s| s.task_value(offers)).collect(),
            machine_counts: offers.iter().map(|offer| offer.machines_in_zone).collect(),
            planned: Vec::new(),
        }
    }

    /// Adds the machine with the highest value per price. Returns false if no offer can run
    /// any remaining task.
    fn add_machine(&mut self) -> bool {
        let Some(first) = self.first_shape() else {
            return false;
        };
        let Some(best) = self.best_offer(first) else {
            return false;
        };
        let placed = pack_tasks(&self.remaining, first, &self.offers[best]);
        for (shape, count) in self.remaining.iter_mut().zip(placed) {
            shape.count -= count;
        }
        self.machine_counts[best] += 1;
        self.add_planned(best);
        true
    }

    /// Index of the first shape with remaining tasks that some offer can run.
    fn first_shape(&self) -> Option<usize> {
        let is_unplanned = |shape: &TaskShape| {
            let mut offers = self.offers.iter();
            shape.count > 0 && offers.any(|offer| shape.allows(offer))
        };
        self.remaining.iter().position(is_unplanned)
    }

    /// Index of the offer with the highest value per price, among those that can run the
    /// shape `first`.
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
        let placed = pack_tasks(&self.remaining, first, &self.offers[offer]);
        let counts = placed.iter().zip(&self.task_values);
        let value: f64 = counts.map(|(count, value)| f64::from(*count) * value).sum();
        OfferValue {
            offer,
            value_per_price: value / self.offers[offer].price_per_hour.max(MIN_PRICE_PER_HOUR),
            machine_count: self.machine_counts[offer],
        }
    }

    fn add_planned(&mut self, offer: usize) {
        match self
            .planned
            .iter_mut()
            .find(|machines| machines.offer == offer)
        {
            Some(machines) => machines.count += 1,
            None => self.planned.push(PlannedMachines { offer, count: 1 }),
        }
    }
}

/// Packs remaining tasks on an empty machine of an offer, first those of the shape `first`,
/// then the others in their order. Returns the number of tasks of each shape.
fn pack_tasks(shapes: &[TaskShape], first: usize, offer: &MachineOffer) -> Vec<u32> {
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
