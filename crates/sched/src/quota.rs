//! Quotas: the guarantee and the limit of each team, and what it uses.

use crate::resources::Resources;

/// The quota of a team and its use. CPUs and GPUs count; memory does not.
#[derive(Clone, Copy, Debug, Default)]
pub struct Quota {
    /// Guaranteed resources; zero throughout if the team has no guarantee.
    pub guarantee: Resources,
    /// Most that may be used at any time; 0 means that the resource is not limited.
    pub limit: Resources,
    /// Resources of all tasks that may be on a machine.
    pub used: Resources,
}

impl Quota {
    /// Whether these resources may be used in addition without exceeding the limit.
    pub fn allows(&self, additional: &Resources) -> bool {
        is_within(&(self.used + *additional), &self.limit)
    }

    /// Whether `count` tasks at the same time could be allowed if nothing else were used.
    pub fn could_ever_allow(&self, task: &Resources, count: i64) -> bool {
        is_within(&task.scaled_by(count), &self.limit)
    }

    /// Whether the team stays within its guarantee with these resources in addition.
    /// A resource whose guarantee is 0 does not count, unless all are 0.
    pub fn is_within_guarantee(&self, additional: &Resources) -> bool {
        !self.has_no_guarantee() && is_within(&(self.used + *additional), &self.guarantee)
    }

    /// Whether the team uses more than its guarantee. A team without any
    /// guarantee borrows all that it uses.
    pub fn is_borrowing(&self) -> bool {
        if self.has_no_guarantee() {
            return !self.used.is_zero();
        }
        !is_within(&self.used, &self.guarantee)
    }

    /// Whether the team has no guarantee.
    pub fn has_no_guarantee(&self) -> bool {
        self.guarantee.is_zero()
    }

    /// The resources whose limit these resources in addition would exceed.
    pub fn exceeded_limits(&self, additional: &Resources) -> ExceededLimits {
        let sum = self.used + *additional;
        ExceededLimits {
            cpus: !is_within_bound(sum.milli_cpus, self.limit.milli_cpus),
            gpus: !is_within_bound(sum.milli_gpus, self.limit.milli_gpus),
        }
    }
}

/// The resources that a team's quota lacks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ExceededLimits {
    cpus: bool,
    gpus: bool,
}

impl ExceededLimits {
    /// Whether a task would use any of the lacking resources.
    pub fn affects(&self, task: &Resources) -> bool {
        (self.cpus && task.milli_cpus > 0) || (self.gpus && task.milli_gpus > 0)
    }

    /// The resources that either lacks.
    pub fn union(&self, other: &Self) -> Self {
        Self {
            cpus: self.cpus || other.cpus,
            gpus: self.gpus || other.gpus,
        }
    }
}

/// A bound of 0 means that the resource is not limited.
fn is_within_bound(sum: i64, bound: i64) -> bool {
    bound == 0 || sum <= bound
}

fn is_within(sum: &Resources, bound: &Resources) -> bool {
    is_within_bound(sum.milli_cpus, bound.milli_cpus)
        && is_within_bound(sum.milli_gpus, bound.milli_gpus)
}

#[cfg(test)]
mod tests;
