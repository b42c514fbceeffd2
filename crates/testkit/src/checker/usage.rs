//! Exact sums of the CPUs and GPUs that a team's tasks use.

use forkshift_wire::users::JobSpec;

/// CPUs and GPUs are counted in integer millionths, so that adding and removing tasks accumulates
/// no rounding error.
const PARTS_PER_UNIT: f64 = 1_000_000.0;

/// CPUs and GPUs in use, in millionths.
#[derive(Clone, Copy, Default, Debug, PartialEq, Eq)]
pub(super) struct Usage {
    cpu_parts: i64,
    gpu_parts: i64,
}

impl Usage {
    /// Adds the resources of one task of a job.
    pub(super) fn add(&mut self, spec: &JobSpec) {
        self.cpu_parts += parts(spec.cpus);
        self.gpu_parts += parts(spec.gpus);
    }

    /// Subtracts the resources of one task of a job.
    pub(super) fn remove(&mut self, spec: &JobSpec) {
        self.cpu_parts -= parts(spec.cpus);
        self.gpu_parts -= parts(spec.gpus);
    }

    /// CPUs in use.
    pub(super) fn cpus(self) -> f64 {
        self.cpu_parts as f64 / PARTS_PER_UNIT
    }

    /// GPUs in use.
    pub(super) fn gpus(self) -> f64 {
        self.gpu_parts as f64 / PARTS_PER_UNIT
    }
}

fn parts(amount: f64) -> i64 {
    (amount * PARTS_PER_UNIT).round() as i64
}
