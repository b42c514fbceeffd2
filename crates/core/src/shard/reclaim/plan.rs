//! Plans of reclaiming: the places for tasks at which the least run time is lost.

use crate::shard::reclaim::Victim;
use crate::Ms;
use forkshift_sched::{PendingTasks, Resources};
use std::collections::BTreeSet;

/// A machine with its free resources, and the tasks that may be stopped there.
pub(super) struct ReclaimCandidate {
    pub(super) machine_type: u16,
    pub(super) zone: u16,
    pub(super) spot: bool,
    /// What is free or about to be: tasks that are being stopped are not counted as
    /// running, so that no more is stopped than is needed.
    pub(super) free: Resources,
    /// In the order in which they are to be stopped.
    pub(super) victims: Vec<Victim>,
}

impl ReclaimCandidate {
    /// A place for one task with as few victims as make room for it; none if it does not
    /// fit even if all are stopped. `candidate` is the index of this candidate.
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

/// A place for one task. Places are ordered by the run time that is lost.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct PlannedPlacement {
    /// Run time that is lost.
    lost_ms: Ms,
    /// Index of the candidate.
    pub(super) candidate: usize,
    /// How many of the candidate's first victims are stopped.
    pub(super) victims: usize,
}

/// The places for all tasks of one request.
pub(super) struct ReclaimPlan {
    pub(super) placements: Vec<PlannedPlacement>,
}

impl ReclaimPlan {
    fn lost_ms(&self) -> Ms {
        self.placements.iter().map(|place| place.lost_ms).sum()
    }
}

/// The places for `count` tasks with which the least run time is lost; all of them in one
/// zone if the job needs that.
pub(super) fn cheapest_plan(
    pending: &PendingTasks,
    count: usize,
    candidates: &[ReclaimCandidate],
) -> Option<ReclaimPlan> {
    if !pending.one_zone || count == 1 {
        return plan_in_zone(pending, count, candidates, None);
    }
    let zones: BTreeSet<u16> = candidates.iter().map(|c| c.zone).collect();
    let plans = zones
        .into_iter()
        .filter_map(|zone| plan_in_zone(pending, count, candidates, Some(zone)));
    plans.min_by_key(ReclaimPlan::lost_ms)
}

/// The cheapest places in a zone, or in any if none is given.
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
