//! The snapshot of a machine that a scheduling round works on.

use crate::resources::Resources;
use std::collections::BTreeSet;

/// The state of a machine as a local copy of the round, which subtracts the resources of
/// each placed task from `free`.
#[derive(Clone, Debug, Default)]
pub struct MachineSnapshot {
    /// Resources that the round may allocate to tasks.
    pub free: Resources,
    /// Installed resources, used or not.
    pub total: Resources,
    /// Machine type, as a number given by the caller.
    pub machine_type: u16,
    /// Zone, as a number given by the caller.
    pub zone: u16,
    /// Whether the machine is a spot instance, which the cloud may preempt.
    pub is_spot: bool,
    /// Price per second, in the currency of the catalogue.
    pub price_per_s: f64,
    /// Rate at which images are fetched, in GB/s; 0 if a fetch counts as instantaneous.
    pub fetch_gb_per_s: f64,
    /// Images that are cached or being fetched, as numbers given by the caller. The round
    /// adds the image of each placed task.
    pub images: BTreeSet<u32>,
    /// Set by the round: the machine is held for an aged job (see
    /// [`AgedJobReservation`](crate::AgedJobReservation)), and the round places no further
    /// task on it.
    pub is_held_for_aged_job: bool,
    /// Seconds until the machine can start a task; 0 unless it is booting.
    pub startup_delay_s: f64,
    /// Number of the machine's reservation, given by the caller, for example of a warm pool.
    /// Only jobs with this number in `open_reservations` may use the machine. `None` if any
    /// job may use it.
    pub reserved_for: Option<u32>,
}
