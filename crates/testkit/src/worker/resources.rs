//! CPUs, GPUs and memory of machines and tasks.

use forkshift_wire::cloud::MachineType;
use forkshift_wire::users::JobSpec;

/// Tolerance for rounding errors in sums of fractional amounts.
const ROUNDING_TOLERANCE: f64 = 1e-6;

/// An amount of CPUs, GPUs and memory.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Resources {
    pub(crate) cpus: f64,
    pub(crate) gpus: f64,
    pub(crate) memory_gb: f64,
}

impl Resources {
    /// Capacity of a machine of a type.
    pub(super) fn of_machine(machine_type: &MachineType) -> Self {
        Self {
            cpus: machine_type.cpus,
            gpus: machine_type.gpus,
            memory_gb: machine_type.memory_gb,
        }
    }

    /// Resources that one task of a job uses.
    pub(crate) fn of_task(spec: &JobSpec) -> Self {
        Self {
            cpus: spec.cpus,
            gpus: spec.gpus,
            memory_gb: spec.memory_gb,
        }
    }

    pub(crate) fn plus(self, other: Self) -> Self {
        Self {
            cpus: self.cpus + other.cpus,
            gpus: self.gpus + other.gpus,
            memory_gb: self.memory_gb + other.memory_gb,
        }
    }

    pub(super) fn minus(self, other: Self) -> Self {
        Self {
            cpus: self.cpus - other.cpus,
            gpus: self.gpus - other.gpus,
            memory_gb: self.memory_gb - other.memory_gb,
        }
    }

    /// Number of a job's tasks that fit into these resources; `u32::MAX` if the tasks use none.
    pub(crate) fn tasks_that_fit(self, spec: &JobSpec) -> u32 {
        let pairs = [
            (self.cpus, spec.cpus),
            (self.gpus, spec.gpus),
            (self.memory_gb, spec.memory_gb),
        ];
        let needed = pairs.into_iter().filter(|(_, need)| *need > 0.0);
        let counts =
            needed.map(|(free, need)| ((free + ROUNDING_TOLERANCE) / need).floor().max(0.0) as u32);
        counts.min().unwrap_or(u32::MAX)
    }
}
