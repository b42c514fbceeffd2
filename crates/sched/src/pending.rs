//! The waiting tasks of a job, with the constraints on their placement.

use crate::entitlement::{AgedJobReservation, CapacityClass, Reclaim};
use crate::resources::Resources;
use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet};

/// The tasks of one job that wait to be placed.
#[derive(Clone, Debug, Default)]
pub struct PendingTasks {
    /// Resources of each task.
    pub task_resources: Resources,
    /// Numbers of the waiting tasks, at most as many as the round may place.
    pub unplaced_tasks: Vec<u32>,
    /// Number of all tasks of the job.
    pub total_tasks: u32,
    /// Gang scheduling: all of `waiting` are placed, or none.
    pub is_gang: bool,
    /// Priority band; the larger goes first. Within a band the longest wait goes first,
    /// then the longest estimate.
    pub priority_band: i32,
    /// Seconds since the submission of a job that has waited long; 0 for all
    /// others, among which the longest estimate goes first.
    pub aged_wait_s: f64,
    /// What is reserved for it against the jobs behind it.
    pub reservation: AgedJobReservation,
    /// What borrowed capacity may be reclaimed for it.
    pub reclaim: Reclaim,
    /// Whether it runs on idle capacity.
    pub capacity_class: CapacityClass,
    /// Set by a round: the job has a reservation, and lacks nothing but machines.
    pub lacks_machines: bool,
    /// Predicted run time in seconds.
    pub estimated_run_s: f64,
    /// Index of the team's quota.
    pub team: usize,
    /// Image, as a number given by the caller.
    pub image: u32,
    /// Size of the image in GB.
    pub image_gb: f64,
    /// Allowed machine types; `None` allows any.
    pub allowed_types: Option<Vec<u16>>,
    /// The only allowed zone; `None` allows any.
    pub required_zone: Option<u16>,
    /// Whether all tasks must be in one zone.
    pub require_same_zone: bool,
    /// Whether at most half of the tasks, rounded up, may be in one zone.
    pub spread_over_zones: bool,
    /// Whether spot instances are allowed.
    pub allows_spot: bool,
    /// Number of the job's placed tasks by zone.
    pub tasks_by_zone: BTreeMap<u16, u32>,
    /// Indices of the machines that are excluded for this job.
    pub excluded_machines: BTreeSet<usize>,
    /// Reservations of machines that this job may use.
    pub open_reservations: BTreeSet<u32>,
}

impl PendingTasks {
    /// Orders by precedence: the higher band, and within it the longest wait. By estimate
    /// alone, a short job that had waited for minutes was overtaken by every longer one
    /// that had come to wait long, too.
    pub fn precedence_order(&self, other: &Self) -> Ordering {
        let band = other.priority_band.cmp(&self.priority_band);
        band.then(other.aged_wait_s.total_cmp(&self.aged_wait_s))
    }

    /// Orders by a round's sequence: by precedence, then the longest estimate first.
    pub(crate) fn round_order(&self, other: &Self) -> Ordering {
        let precedence = self.precedence_order(other);
        precedence.then(other.estimated_run_s.total_cmp(&self.estimated_run_s))
    }

    /// Resources that must be free at the same time for any of its tasks to be placed:
    /// those of all waiting tasks of a gang, of one task otherwise.
    pub fn minimum_resources(&self) -> Resources {
        let tasks = if self.is_gang {
            self.unplaced_tasks.len()
        } else {
            1
        };
        self.task_resources.scaled_by(tasks as i64)
    }

    /// Whether a task may be placed in a zone, given the job's placed tasks.
    pub fn allows_zone(&self, zone: u16) -> bool {
        if self.required_zone.is_some_and(|required| required != zone) {
            return false;
        }
        if self.require_same_zone && self.has_task_outside(zone) {
            return false;
        }
        let placed = self.tasks_by_zone.get(&zone).copied().unwrap_or(0);
        !self.spread_over_zones || placed < self.total_tasks.div_ceil(2)
    }

    fn has_task_outside(&self, zone: u16) -> bool {
        self.tasks_by_zone
            .iter()
            .any(|(other, count)| *other != zone && *count > 0)
    }

    /// Whether it may use a machine that is reserved like this; any job may use a machine
    /// without a reservation.
    pub fn may_use_reserved(&self, reserved_for: Option<u32>) -> bool {
        reserved_for.is_none_or(|number| self.open_reservations.contains(&number))
    }

    /// Whether a task may run on a machine of this type, zone and kind.
    pub fn allows_machine(&self, machine_type: u16, zone: u16, spot: bool) -> bool {
        let allows_type = |types: &Vec<u16>| types.contains(&machine_type);
        (self.allows_spot || !spot)
            && self.allowed_types.as_ref().is_none_or(allows_type)
            && self.allows_zone(zone)
    }
}
