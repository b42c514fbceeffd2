//! The placement requirement of tasks, in a form that can be compared and hashed.

use crate::pending::PendingTasks;
use crate::resources::Resources;
use std::collections::BTreeSet;

/// Largest number of zones that the zone mask has bits for. In a fleet with more zones there
/// is no [`PlacementRequirement`], and callers evaluate each job separately.
pub(crate) const MAX_ZONES: usize = u64::BITS as usize;

/// The attributes of a job that decide on which machines its tasks fit. The zones are those
/// that the job's zone constraints still allow, given its placed tasks. Jobs with equal
/// requirements fit on the same machines, apart from machines that are excluded for one of
/// the jobs. Callers use requirements as keys of a set of those that no machine satisfies.
#[derive(Clone, PartialEq, Eq, Hash, Debug)]
pub struct PlacementRequirement {
    task_resources: Resources,
    allowed_types: Option<Vec<u16>>,
    /// Bit `n` is set if the zone at index `n` of the fleet's zones is allowed.
    zone_mask: u64,
    allows_spot: bool,
    open_reservations: BTreeSet<u32>,
}

impl PlacementRequirement {
    /// The requirement of a job's tasks in a fleet with these zones. Requirements can be
    /// compared only if they were computed with the same `zones`. `None` if there are more
    /// zones than bits in the mask.
    pub fn new(job: &PendingTasks, zones: &[u16]) -> Option<Self> {
        if zones.len() > MAX_ZONES {
            return None;
        }
        let zones = zones.iter().enumerate();
        let allowed = zones.filter(|(_, zone)| job.allows_zone(**zone));
        Some(Self {
            task_resources: job.task_resources,
            allowed_types: job.allowed_types.clone(),
            zone_mask: allowed.fold(0, |mask, (bit, _)| mask | 1 << bit),
            allows_spot: job.allows_spot,
            open_reservations: job.open_reservations.clone(),
        })
    }
}
