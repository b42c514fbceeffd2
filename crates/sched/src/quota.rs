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

    /// Whether the team uses more than its guarantee.
    pub fn is_borrowing(&self) -> bool {
        !within(&self.used, &self.guarantee)
    }
}

/// A bound of 0 means that there is none on that resource.
fn within(sum: &Resources, bound: &Resources) -> bool {
    let holds = |sum: i64, bound: i64| bound == 0 || sum <= bound;
    holds(sum.cpus, bound.cpus) && holds(sum.gpus, bound.gpus)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn limits_count_cpus_and_gpus_and_zero_means_none() {
        let quota = |used: f64| Quota {
            guarantee: Resources::new(0.0, 4.0, 0.0),
            limit: Resources::new(0.0, 8.0, 0.0),
            used: Resources::new(0.0, used, 0.0),
        };
        let gpu = Resources::new(0.0, 2.0, 16.0);
        let cpu = Resources::new(1.0, 0.0, 1.0);
        let cases = [
            (quota(0.0), gpu, true, true),
            (quota(3.0), gpu, true, false),
            (quota(6.0), gpu, true, false),
            (quota(7.0), gpu, false, false),
            (quota(0.0), cpu, true, true),
            (quota(9.0), cpu, false, false),
            (Quota::default(), gpu, true, false),
        ];
        for (i, (q, task, allowed, guaranteed)) in cases.into_iter().enumerate() {
            assert_eq!(q.allows(&task), allowed, "case {i}");
            assert_eq!(q.guarantees(&task), guaranteed, "case {i}");
        }
        assert!(quota(0.0).could_allow(&gpu, 4));
        assert!(!quota(0.0).could_allow(&gpu, 5));
    }
}
