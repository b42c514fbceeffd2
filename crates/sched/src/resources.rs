//! Amounts of CPUs, GPUs and memory, in thousandths so that sums are exact.

use std::ops::{Add, AddAssign, Sub, SubAssign};

/// An amount of each resource, in thousandths.
#[derive(Clone, Copy, Default, PartialEq, Eq, Hash, Debug)]
pub struct Resources {
    /// CPUs.
    pub cpus: i64,
    /// GPUs.
    pub gpus: i64,
    /// Memory in GB.
    pub memory: i64,
}

fn milli(x: f64) -> i64 {
    (x * 1000.0).round() as i64
}

impl Resources {
    /// From the decimal numbers of the interfaces.
    pub fn new(cpus: f64, gpus: f64, memory_gb: f64) -> Self {
        Self {
            cpus: milli(cpus),
            gpus: milli(gpus),
            memory: milli(memory_gb),
        }
    }

    /// Whether this much fits into `room`.
    pub fn fits(&self, room: &Self) -> bool {
        self.cpus <= room.cpus && self.gpus <= room.gpus && self.memory <= room.memory
    }

    /// The smaller of each.
    pub fn least(&self, other: &Self) -> Self {
        Self {
            cpus: self.cpus.min(other.cpus),
            gpus: self.gpus.min(other.gpus),
            memory: self.memory.min(other.memory),
        }
    }

    /// What is left without `other`, and nothing less than zero.
    pub fn saturating_sub(&self, other: &Self) -> Self {
        Self {
            cpus: (self.cpus - other.cpus).max(0),
            gpus: (self.gpus - other.gpus).max(0),
            memory: (self.memory - other.memory).max(0),
        }
    }

    /// `n` times this.
    pub fn times(&self, n: i64) -> Self {
        Self {
            cpus: self.cpus * n,
            gpus: self.gpus * n,
            memory: self.memory * n,
        }
    }

    /// Whether it is nothing at all.
    pub fn is_zero(&self) -> bool {
        *self == Self::default()
    }

    /// The largest share of `total` that this takes of any resource.
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
}

impl Add for Resources {
    type Output = Self;
    fn add(mut self, other: Self) -> Self {
        self += other;
        self
    }
}

impl AddAssign for Resources {
    fn add_assign(&mut self, other: Self) {
        self.cpus += other.cpus;
        self.gpus += other.gpus;
        self.memory += other.memory;
    }
}

impl Sub for Resources {
    type Output = Self;
    fn sub(mut self, other: Self) -> Self {
        self -= other;
        self
    }
}

impl SubAssign for Resources {
    fn sub_assign(&mut self, other: Self) {
        self.cpus -= other.cpus;
        self.gpus -= other.gpus;
        self.memory -= other.memory;
    }
}
