//! The pending tasks of a job, with the constraints on their placement.

use crate::entitlement::{AgedJobReservation, CapacityClass, Reclaim};
use crate::resources::Resources;
use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet};

/// The pending tasks of one job, as input of a scheduling round.
#[derive(Clone, Debug, Default)]
pub struct PendingTasks {
    /// Resources of each task.
    pub task_resources: Resources,
    /// Indices, within the job, of the tasks without a machine. The caller limits their
    /// number to the tasks that one round may place. The round removes the tasks that it
    /// places.
    pub unplaced_tasks: Vec<u32>,
    /// Number of all tasks of the job, in any state.
    pub total_tasks: u32,
    /// Gang scheduling: the round places all of `unplaced_tasks`, or none.
    pub is_gang: bool,
    /// Jobs of a higher band are placed before those of a lower band. See
    /// [`Self::precedence_order`] for the order within a band.
    pub priority_band: i32,
    /// Seconds for which an aged job has been pending; 0 if the job is not aged.
    pub aged_wait_s: f64,
    /// What is reserved for the job against the jobs that are placed after it.
    pub reservation: AgedJobReservation,
    /// Which capacity may be reclaimed for the job.
    pub reclaim: Reclaim,
    /// Whether the job is ordinary or best-effort work.
    pub capacity_class: CapacityClass,
    /// Set by the round if the job has a reservation and unplaced tasks, and its quota
    /// suffices for them: it lacks only machines.
    pub lacks_machines: bool,
    /// Estimated run time of one task, in seconds.
    pub estimated_run_s: f64,
    /// Index of the team in the list of quotas.
    pub team: usize,
    /// Image, as a number given by the caller.
    pub image: u32,
    /// Size of the image in GB.
    pub image_gb: f64,
    /// Allowed machine types; `None` allows any.
    pub allowed_types: Option<Vec<u16>>,
    /// The only allowed zone; `None` allows any zone.
    pub required_zone: Option<u16>,
    /// Whether all tasks of the job must be in the same zone.
    pub require_same_zone: bool,
    /// Whether at most half of the job's tasks, rounded up, may be in any one zone.
    pub spread_over_zones: bool,
    /// Whether spot instances are allowed.
    pub allows_spot: bool,
    /// Number of the job's placed tasks by zone. The round adds the tasks that it places.
    pub tasks_by_zone: BTreeMap<u16, u32>,
    /// Indices of the machines on which this job must not be placed, for example because its
    /// tasks failed there.
    pub excluded_machines: BTreeSet<usize>,
    /// Numbers of the reservations whose machines the job may use, in addition to machines
    /// without a reservation.
    pub open_reservations: BTreeSet<u32>,
}

impl PendingTasks {
    /// Orders jobs by descending priority band, then by descending wait of aged jobs. If
    /// aged jobs were ordered by estimated run time, each longer job that becomes aged
    /// would overtake a short job that has been pending for minutes.
    pub fn precedence_order(&self, other: &Self) -> Ordering {
        let band = other.priority_band.cmp(&self.priority_band);
        band.then(other.aged_wait_s.total_cmp(&self.aged_wait_s))
    }

    /// Orders jobs as a round places them: by precedence, then by descending estimated run
    /// time.
    pub(crate) fn round_order(&self, other: &Self) -> Ordering {
        let precedence = self.precedence_order(other);
        precedence.then(other.estimated_run_s.total_cmp(&self.estimated_run_s))
    }

    /// Resources that must be free at the same time to place any task of the job: those of
    /// all unplaced tasks of a gang, and of one task of another job.
    pub fn minimum_resources(&self) -> Resources {
        let tasks = if self.is_gang {
            self.unplaced_tasks.len()
        } else {
            1
        };
        self.task_resources.scaled_by(tasks as i64)
    }

    /// Whether the zone constraints allow another task in a zone, given the placed tasks of
    /// the job.
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

    /// Whether the job may use a machine with this reservation; `None` is a machine without
    /// a reservation, which any job may use.
    pub fn may_use_reserved(&self, reserved_for: Option<u32>) -> bool {
        reserved_for.is_none_or(|number| self.open_reservations.contains(&number))
    }

    /// Whether a task may run on a machine of this type and zone that is a spot instance
    /// (`spot`) or an on-demand machine.
    pub fn allows_machine(&self, machine_type: u16, zone: u16, spot: bool) -> bool {
        let allows_type = |types: &Vec<u16>| types.contains(&machine_type);
        (self.allows_spot || !spot)
            && self.allowed_types.as_ref().is_none_or(allows_type)
            && self.allows_zone(zone)
    }
}
