//! The view that a scheduling round has of a machine.

use crate::resources::Resources;
use std::collections::BTreeSet;

/// A machine as a round sees it: a local copy whose free resources shrink with each
/// placement.
#[derive(Clone, Debug, Default)]
pub struct MachineSnapshot {
    /// Free resources.
    pub free: Resources,
    /// Installed resources.
    pub total: Resources,
    /// Machine type, as a number given by the caller.
    pub machine_type: u16,
    /// Zone, as a number given by the caller.
    pub zone: u16,
    /// Whether it is a spot instance, which the cloud may preempt.
    pub is_spot: bool,
    /// Price per second.
    pub price_per_s: f64,
    /// Rate at which images are fetched, in GB/s; 0 if fetches cost no time.
    pub fetch_gb_per_s: f64,
    /// Images that are cached or being fetched, as numbers given by the caller.
    pub images: BTreeSet<u32>,
    /// Whether it is reserved for a task that has waited long, and takes no others.
    pub is_held_for_aged_job: bool,
    /// Seconds until a task could start at all (of a machine that still boots).
    pub startup_delay_s: f64,
    /// Reservation whose jobs alone may use it, as a number given by the caller; `None`
    /// if any job may.
    pub reserved_for: Option<u32>,
}
