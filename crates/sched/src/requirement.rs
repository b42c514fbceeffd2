//! What tasks require of any machine, in a form that can be compared and hashed.

use crate::pending::PendingTasks;
use crate::resources::Resources;
use std::collections::BTreeSet;

/// Most zones whose bits fit into a mask; with more, there is no [`PlacementRequirement`].
pub(crate) const MAX_ZONES: usize = u64::BITS as usize;

/// What tasks require of any machine, given the zones that they may still use. Jobs with
/// equal requirements fit on the same machines.
#[derive(Clone, PartialEq, Eq, Hash, Debug)]
pub struct PlacementRequirement {
    task: Resources,
    types: Option<Vec<u16>>,
    /// One bit for each allowed zone.
    zone_mask: u64,
    spot: bool,
    reservations: BTreeSet<u32>,
}

impl PlacementRequirement {
    /// The requirement of a job's tasks in a fleet with these zones; `None` if there are
    /// more zones than bits in the mask.
    pub fn new(job: &PendingTasks, zones: &[u16]) -> Option<Self> {
        if zones.len() > MAX_ZONES {
            return None;
        }
        let zones = zones.iter().enumerate();
        let allowed = zones.filter(|(_, zone)| job.allows_zone(**zone));
        Some(Self {
            task: job.task_resources,
            types: job.allowed_types.clone(),
            zone_mask: allowed.fold(0, |mask, (bit, _)| mask | 1 << bit),
            spot: job.allows_spot,
            reservations: job.open_reservations.clone(),
        })
    }
}
