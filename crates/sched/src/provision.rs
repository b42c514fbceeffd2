//! Which machines to rent for what has no room.

use crate::resources::Resources;

/// Tasks of one shape that have no room.
#[derive(Clone, Debug)]
pub struct Shape {
    /// What each takes.
    pub task: Resources,
    /// How many.
    pub count: u32,
    /// Allowed types; none: any.
    pub types: Option<Vec<u16>>,
    /// Allowed zones; none: any.
    pub zones: Option<Vec<u16>>,
    /// May use spot machines.
    pub spot: bool,
    /// No ordinary machine is rented for it.
    pub spot_only: bool,
}

impl Shape {
    fn allows(&self, offer: &Offer) -> bool {
        (self.spot || !offer.spot)
            && (offer.spot || !self.spot_only)
            && self
                .types
                .as_ref()
                .is_none_or(|t| t.contains(&offer.machine_type))
            && self.zones.as_ref().is_none_or(|z| z.contains(&offer.zone))
            && self.task.fits(&offer.total)
    }
}

/// A kind of machine that may be had.
#[derive(Clone, Debug)]
pub struct Offer {
    /// Type, as a number given by the caller.
    pub machine_type: u16,
    /// Zone, likewise.
    pub zone: u16,
    /// Whether the cloud may take it back.
    pub spot: bool,
    /// What it has.
    pub total: Resources,
    /// Price an hour.
    pub price: f64,
    /// Machines of this shard in the zone; fewer is preferred among equals.
    pub held: u32,
}

/// A number of machines of one offer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rental {
    /// Index of the offer.
    pub offer: usize,
    /// How many.
    pub count: u32,
}

/// Chooses machines for the shapes, the most urgent shape first, by the worth
/// of what they can hold for their price. `most` bounds the number of machines.
pub fn plan(shapes: &[Shape], offers: &[Offer], most: u32) -> Vec<Rental> {
    let mut left: Vec<Shape> = shapes.to_vec();
    let mut rentals: Vec<Rental> = Vec::new();
    let mut held: Vec<u32> = offers.iter().map(|o| o.held).collect();
    let worths: Vec<f64> = left.iter().map(|s| worth(s, offers)).collect();
    for _ in 0..most {
        let Some(first) = left
            .iter()
            .position(|s| s.count > 0 && offers.iter().any(|o| s.allows(o)))
        else {
            break;
        };
        let mut best: Option<(usize, f64, u32)> = None;
        for (i, offer) in offers.iter().enumerate() {
            if !left[first].allows(offer) {
                continue;
            }
            let taken = fill(&left, first, offer);
            let value: f64 = taken
                .iter()
                .zip(&worths)
                .map(|(n, w)| f64::from(*n) * w)
                .sum();
            let rate = value / offer.price.max(1e-9);
            let better =
                best.is_none_or(|(_, r, h)| rate > r * 1.001 || (rate > r * 0.999 && held[i] < h));
            if better {
                best = Some((i, rate, held[i]));
            }
        }
        let Some((offer, _, _)) = best else { break };
        let taken = fill(&left, first, &offers[offer]);
        for (shape, n) in left.iter_mut().zip(taken) {
            shape.count -= n;
        }
        held[offer] += 1;
        match rentals.iter_mut().find(|r| r.offer == offer) {
            Some(rental) => rental.count += 1,
            None => rentals.push(Rental { offer, count: 1 }),
        }
    }
    rentals
}

/// How many tasks of each shape a new machine takes, `first` before the others.
fn fill(shapes: &[Shape], first: usize, offer: &Offer) -> Vec<u32> {
    let mut free = offer.total;
    let mut taken = vec![0; shapes.len()];
    let order = std::iter::once(first).chain((0..shapes.len()).filter(|i| *i != first));
    for i in order {
        if !shapes[i].allows(offer) {
            continue;
        }
        while taken[i] < shapes[i].count && shapes[i].task.fits(&free) {
            free -= shapes[i].task;
            taken[i] += 1;
        }
    }
    taken
}

/// What one task is worth: the least that its share of a machine costs.
fn worth(shape: &Shape, offers: &[Offer]) -> f64 {
    offers
        .iter()
        .filter(|o| shape.allows(o))
        .map(|o| shape.task.largest_share(&o.total) * o.price)
        .fold(f64::INFINITY, f64::min)
        .min(1e9)
}

#[cfg(test)]
mod tests;
