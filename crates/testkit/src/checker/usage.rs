//! What a team's tasks use, counted exactly.

use forkshift_wire::users::JobSpec;

/// Parts of a CPU or GPU that are counted: sums of these are exact, so tasks
/// that come and go leave no rounding error behind.
const PARTS: f64 = 1_000_000.0;

/// CPUs and GPUs that are in use.
#[derive(Clone, Copy, Default, Debug, PartialEq, Eq)]
pub(super) struct Usage {
    cpu_parts: i64,
    gpu_parts: i64,
}

impl Usage {
    /// A task of a job comes onto a machine.
    pub(super) fn add(&mut self, spec: &JobSpec) {
        self.cpu_parts += parts(spec.cpus);
        self.gpu_parts += parts(spec.gpus);
    }

    /// A task of a job is on its machine no more.
    pub(super) fn remove(&mut self, spec: &JobSpec) {
        self.cpu_parts -= parts(spec.cpus);
        self.gpu_parts -= parts(spec.gpus);
    }

    /// CPUs in use.
    pub(super) fn cpus(self) -> f64 {
        self.cpu_parts as f64 / PARTS
    }

    /// GPUs in use.
    pub(super) fn gpus(self) -> f64 {
        self.gpu_parts as f64 / PARTS
    }
}

fn parts(amount: f64) -> i64 {
    (amount * PARTS).round() as i64
}
