//! Amounts of CPUs, GPUs and memory, as whole thousandths so that sums are exact.

use std::ops::{Add, AddAssign, Sub, SubAssign};

/// Thousandths in one unit: in a CPU, a GPU or a GB.
const THOUSANDTHS: f64 = 1_000.0;

/// An amount of each resource, in thousandths.
#[derive(Clone, Copy, Default, PartialEq, Eq, Hash, Debug)]
pub struct Resources {
    /// Thousandths of a CPU.
    pub cpus: i64,
    /// Thousandths of a GPU.
    pub gpus: i64,
    /// Memory in thousandths of a GB.
    pub memory: i64,
}

impl Resources {
    /// From decimal numbers of CPUs, GPUs and GB, rounded to thousandths.
    pub fn new(cpus: f64, gpus: f64, memory_gb: f64) -> Self {
        let thousandths = |amount: f64| (amount * THOUSANDTHS).round() as i64;
        Self {
            cpus: thousandths(cpus),
            gpus: thousandths(gpus),
            memory: thousandths(memory_gb),
        }
    }

    /// Whether no resource exceeds that of `available`.
    pub fn fits(&self, available: &Self) -> bool {
        self.cpus <= available.cpus
            && self.gpus <= available.gpus
            && self.memory <= available.memory
    }

    /// The smaller amount of each resource.
    pub fn least(&self, other: &Self) -> Self {
        self.combine(other, i64::min)
    }

    /// The difference of each resource, but at least zero.
    pub fn saturating_sub(&self, other: &Self) -> Self {
        self.combine(other, |amount, less| (amount - less).max(0))
    }

    /// `factor` times each resource.
    pub fn times(&self, factor: i64) -> Self {
        Self {
            cpus: self.cpus * factor,
            gpus: self.gpus * factor,
            memory: self.memory * factor,
        }
    }

    /// Whether the amount of every resource is zero.
    pub fn is_zero(&self) -> bool {
        *self == Self::default()
    }

    /// Dominant share: the largest ratio of a resource to that of `total`. It is infinite
    /// if `total` has none of a resource that this has.
    pub fn largest_share(&self, total: &Self) -> f64 {
        let share = |part: i64, whole: i64| match (part, whole) {
            (0, _) => 0.0,
            (_, 0) => f64::INFINITY,
            _ => part as f64 / whole as f64,
        };
        share(self.cpus, total.cpus)
            .max(share(self.gpus, total.gpus))
            .max(share(self.memory, total.memory))
    }

    /// Applies an operation to each resource.
    fn combine(&self, other: &Self, operation: impl Fn(i64, i64) -> i64) -> Self {
        Self {
            cpus: operation(self.cpus, other.cpus),
            gpus: operation(self.gpus, other.gpus),
            memory: operation(self.memory, other.memory),
        }
    }
}

impl Add for Resources {
    type Output = Self;
    fn add(self, other: Self) -> Self {
        self.combine(&other, i64::add)
    }
}

impl AddAssign for Resources {
    fn add_assign(&mut self, other: Self) {
        *self = *self + other;
    }
}

impl Sub for Resources {
    type Output = Self;
    fn sub(self, other: Self) -> Self {
        self.combine(&other, i64::sub)
    }
}

impl SubAssign for Resources {
    fn sub_assign(&mut self, other: Self) {
        *self = *self - other;
    }
}
