//! Teams' guarantees and limits.

use crate::resources::Resources;

/// What one team may use, and what its tasks may be using.
#[derive(Clone, Copy, Debug, Default)]
pub struct Quota {
    /// Guaranteed; memory is not counted.
    pub guarantee: Resources,
    /// The most at any time; 0 means that there is no bound.
    pub limit: Resources,
    /// Taken by every task that may be on a machine.
    pub used: Resources,
}

impl Quota {
    /// Whether a task may be added without breaking the limit.
    pub fn allows(&self, task: &Resources) -> bool {
        within(&(self.used + *task), &self.limit)
    }

    /// Whether `n` tasks at once could ever be allowed.
    pub fn could_allow(&self, task: &Resources, n: i64) -> bool {
        within(&task.times(n), &self.limit)
    }

    /// Whether the team stays within its guarantee with this added.
    pub fn guarantees(&self, more: &Resources) -> bool {
        !self.guarantee.is_zero() && within(&(self.used + *more), &self.guarantee)
    }

    /// Whether the team uses more than its guarantee. A team without any
    /// guarantee borrows all that it uses.
    pub fn is_borrowing(&self) -> bool {
        if self.is_guest() {
            return !self.used.is_zero();
        }
        !within(&self.used, &self.guarantee)
    }

    /// Whether the team is guaranteed nothing.
    pub fn is_guest(&self) -> bool {
        self.guarantee.is_zero()
    }
}

/// Resources that a team's quota is short of.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Shortfall {
    cpus: bool,
    gpus: bool,
}

impl Shortfall {
    /// Whether a task would take some of what is short.
    pub fn concerns(&self, task: &Resources) -> bool {
        (self.cpus && task.cpus > 0) || (self.gpus && task.gpus > 0)
    }

    /// What either is short of.
    pub fn or(&self, other: &Self) -> Self {
        Self {
            cpus: self.cpus || other.cpus,
            gpus: self.gpus || other.gpus,
        }
    }
}

impl Quota {
    /// What keeps something from being added.
    pub fn shortfall(&self, more: &Resources) -> Shortfall {
        let sum = self.used + *more;
        Shortfall {
            cpus: !holds(sum.cpus, self.limit.cpus),
            gpus: !holds(sum.gpus, self.limit.gpus),
        }
    }
}

/// A bound of 0 means that there is none on that resource.
fn holds(sum: i64, bound: i64) -> bool {
    bound == 0 || sum <= bound
}

fn within(sum: &Resources, bound: &Resources) -> bool {
    holds(sum.cpus, bound.cpus) && holds(sum.gpus, bound.gpus)
}

#[cfg(test)]
mod tests;
