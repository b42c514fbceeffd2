//! Plans the reclaiming of borrowed capacity: finds the placements of tasks for which the
//! least run time is lost.

use crate::shard::reclaim::Victim;
use crate::Ms;
use forkshift_sched::{PendingTasks, Resources};
use std::collections::BTreeSet;

/// A machine with its free resources and the borrowed tasks that may be stopped there.
pub(super) struct ReclaimCandidate {
    pub(super) machine_type: u16,
    pub(super) zone: u16,
    pub(super) spot: bool,
    /// Resources that are free or will be soon. Tasks that are being stopped count as
    /// gone, so that no more tasks are stopped than needed.
    pub(super) free: Resources,
    /// Tasks that may be stopped, the one that loses the least run time first.
    pub(super) victims: Vec<Victim>,
}

impl ReclaimCandidate {
    /// A placement for one task that stops the first victims until the task fits; `None`
    /// if it does not fit even if all are stopped. `candidate` is the index of this
    /// candidate.
    fn placement_for(&self, pending: &PendingTasks, candidate: usize) -> Option<PlannedPlacement> {
        let mut free = self.free;
        let mut lost_ms = 0;
        let mut victims = 0;
        for victim in &self.victims {
            if pending.task_resources.fits_in(&free) {
                break;
            }
            free += victim.resources;
            lost_ms += victim.lost_ms;
            victims += 1;
        }
        pending
            .task_resources
            .fits_in(&free)
            .then_some(PlannedPlacement {
                lost_ms,
                candidate,
                victims,
            })
    }
}

/// A placement for one task. Placements are ordered by the run time that is lost.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct PlannedPlacement {
    /// Run time that is lost, in milliseconds.
    lost_ms: Ms,
    /// Index of the machine in the list of candidates.
    pub(super) candidate: usize,
    /// Number of the candidate's victims that are stopped, counted from the first.
    pub(super) victims: usize,
}

/// Placements for all tasks of one request.
pub(super) struct ReclaimPlan {
    pub(super) placements: Vec<PlannedPlacement>,
}

impl ReclaimPlan {
    fn lost_ms(&self) -> Ms {
        self.placements.iter().map(|place| place.lost_ms).sum()
    }
}

/// The placements for `count` tasks with which the least run time is lost; `None` if they
/// do not all fit. All placements are in one zone if the job requires that.
pub(super) fn cheapest_plan(
    pending: &PendingTasks,
    count: usize,
    candidates: &[ReclaimCandidate],
) -> Option<ReclaimPlan> {
    if !pending.require_same_zone || count == 1 {
        return plan_in_zone(pending, count, candidates, None);
    }
    let zones: BTreeSet<u16> = candidates.iter().map(|c| c.zone).collect();
    let plans = zones
        .into_iter()
        .filter_map(|zone| plan_in_zone(pending, count, candidates, Some(zone)));
    plans.min_by_key(ReclaimPlan::lost_ms)
}

/// The placements with the least lost run time in a zone, or in all zones if `zone` is
/// `None`. A machine gets at most one of the tasks.
fn plan_in_zone(
    pending: &PendingTasks,
    count: usize,
    candidates: &[ReclaimCandidate],
    zone: Option<u16>,
) -> Option<ReclaimPlan> {
    let is_allowed = |c: &ReclaimCandidate| {
        zone.is_none_or(|z| z == c.zone) && pending.allows_machine(c.machine_type, c.zone, c.spot)
    };
    let allowed = candidates.iter().enumerate().filter(|(_, c)| is_allowed(c));
    let mut placements: Vec<PlannedPlacement> = allowed
        .filter_map(|(index, candidate)| candidate.placement_for(pending, index))
        .collect();
    placements.sort_unstable();
    if placements.len() < count {
        return None;
    }
    placements.truncate(count);
    Some(ReclaimPlan { placements })
}
