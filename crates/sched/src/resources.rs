//! Amounts of CPUs, GPUs and memory, as whole thousandths so that sums are exact.

use std::ops::{Add, AddAssign, Sub, SubAssign};

/// Thousandths in one unit. The units are a CPU, a GPU and a GB.
const THOUSANDTHS: f64 = 1_000.0;

/// An amount of each resource, in thousandths. A difference of amounts may be negative.
#[derive(Clone, Copy, Default, PartialEq, Eq, Hash, Debug)]
pub struct Resources {
    /// Thousandths of a CPU.
    pub milli_cpus: i64,
    /// Thousandths of a GPU.
    pub milli_gpus: i64,
    /// Memory in thousandths of a GB.
    pub memory_mb: i64,
}

impl Resources {
    /// Converts decimal numbers of CPUs, GPUs and GB, rounded to thousandths.
    pub fn new(cpus: f64, gpus: f64, memory_gb: f64) -> Self {
        let thousandths = |amount: f64| (amount * THOUSANDTHS).round() as i64;
        Self {
            milli_cpus: thousandths(cpus),
            milli_gpus: thousandths(gpus),
            memory_mb: thousandths(memory_gb),
        }
    }

    /// Whether the amount of each resource is at most the amount in `available`.
    pub fn fits_in(&self, available: &Self) -> bool {
        self.milli_cpus <= available.milli_cpus
            && self.milli_gpus <= available.milli_gpus
            && self.memory_mb <= available.memory_mb
    }

    /// The smaller of the two amounts, separately for each resource.
    pub fn component_min(&self, other: &Self) -> Self {
        self.combine(other, i64::min)
    }

    /// The difference of each resource; zero where `other` has more.
    pub fn saturating_sub(&self, other: &Self) -> Self {
        self.combine(other, |amount, subtrahend| (amount - subtrahend).max(0))
    }

    /// The amount of each resource, multiplied by `factor`.
    pub fn scaled_by(&self, factor: i64) -> Self {
        Self {
            milli_cpus: self.milli_cpus * factor,
            milli_gpus: self.milli_gpus * factor,
            memory_mb: self.memory_mb * factor,
        }
    }

    /// Whether the amount of every resource is zero.
    pub fn is_zero(&self) -> bool {
        *self == Self::default()
    }

    /// Dominant share, as in dominant resource fairness: the largest ratio of an amount to
    /// the amount of the same resource in `total`. It is infinite if a resource that is
    /// used here is zero in `total`.
    pub fn dominant_share(&self, total: &Self) -> f64 {
        let share = |part: i64, whole: i64| match (part, whole) {
            (0, _) => 0.0,
            (_, 0) => f64::INFINITY,
            _ => part as f64 / whole as f64,
        };
        share(self.milli_cpus, total.milli_cpus)
            .max(share(self.milli_gpus, total.milli_gpus))
            .max(share(self.memory_mb, total.memory_mb))
    }

    fn combine(&self, other: &Self, operation: impl Fn(i64, i64) -> i64) -> Self {
        Self {
            milli_cpus: operation(self.milli_cpus, other.milli_cpus),
            milli_gpus: operation(self.milli_gpus, other.milli_gpus),
            memory_mb: operation(self.memory_mb, other.memory_mb),
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
