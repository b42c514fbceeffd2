//! Quotas: the guarantee and the limit of each team, and the resources that it uses.

use crate::resources::Resources;

/// The quota of a team and the resources that it uses. Only CPUs and GPUs are limited and
/// guaranteed; memory is not.
#[derive(Clone, Copy, Debug, Default)]
pub struct Quota {
    /// Guaranteed resources; all zero if the team has no guarantee.
    pub guarantee: Resources,
    /// Maximum amount in use at any time; 0 means that the resource is not limited.
    pub limit: Resources,
    /// Resources of all of the team's tasks that may be running on a machine, which includes
    /// tasks that are being started or stopped.
    pub used: Resources,
}

impl Quota {
    /// Whether the team stays within its limit with these additional resources.
    pub fn allows(&self, additional: &Resources) -> bool {
        is_within(&(self.used + *additional), &self.limit)
    }

    /// Whether `count` tasks at the same time are within the limit of a team that uses
    /// nothing else. If not, the tasks can never be placed.
    pub fn could_ever_allow(&self, task: &Resources, count: i64) -> bool {
        is_within(&task.scaled_by(count), &self.limit)
    }

    /// Whether the team stays within its guarantee with these additional resources. A
    /// resource whose guarantee is 0 is not compared. If the team has no guarantee, the
    /// result is false.
    pub fn is_within_guarantee(&self, additional: &Resources) -> bool {
        !self.has_no_guarantee() && is_within(&(self.used + *additional), &self.guarantee)
    }

    /// Whether the team uses more than its guarantee. A team without a guarantee borrows all
    /// resources that it uses.
    pub fn is_borrowing(&self) -> bool {
        if self.has_no_guarantee() {
            return !self.used.is_zero();
        }
        !is_within(&self.used, &self.guarantee)
    }

    /// Whether the guarantee is zero for each resource.
    pub fn has_no_guarantee(&self) -> bool {
        self.guarantee.is_zero()
    }

    /// The resources of which the team would exceed its limit with these additional
    /// resources.
    pub fn exceeded_limits(&self, additional: &Resources) -> ExceededLimits {
        let sum = self.used + *additional;
        ExceededLimits {
            cpus: !is_within_bound(sum.milli_cpus, self.limit.milli_cpus),
            gpus: !is_within_bound(sum.milli_gpus, self.limit.milli_gpus),
        }
    }
}

/// The set of resources of which a team's limit would be exceeded.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ExceededLimits {
    cpus: bool,
    gpus: bool,
}

impl ExceededLimits {
    /// Whether a task uses any resource of the set.
    pub fn affects(&self, task: &Resources) -> bool {
        (self.cpus && task.milli_cpus > 0) || (self.gpus && task.milli_gpus > 0)
    }

    /// The resources that are in either set.
    pub fn union(&self, other: &Self) -> Self {
        Self {
            cpus: self.cpus || other.cpus,
            gpus: self.gpus || other.gpus,
        }
    }
}

/// Whether an amount is at most its bound. A bound of 0 means that the resource is not
/// limited.
fn is_within_bound(sum: i64, bound: i64) -> bool {
    bound == 0 || sum <= bound
}

fn is_within(sum: &Resources, bound: &Resources) -> bool {
    is_within_bound(sum.milli_cpus, bound.milli_cpus)
        && is_within_bound(sum.milli_gpus, bound.milli_gpus)
}

#[cfg(test)]
mod tests;
