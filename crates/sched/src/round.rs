//! A scheduling round, which places pending tasks greedily.
//!
//! Jobs are placed in descending order of priority band, then of the wait of aged jobs, then
//! of estimated run time. An aged job that cannot be placed reserves what it lacks, so that
//! jobs that are placed after it do not use it up: either quota of its team, or a machine.

use crate::machine::MachineSnapshot;
use crate::machine_table::MachineTable;
use crate::pending::PendingTasks;
use crate::quota::{ExceededLimits, Quota};
use crate::resources::Resources;
use crate::score::Weights;
use crate::AgedJobReservation;
use std::collections::BTreeMap;

/// A placement that a round has chosen for a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Placement {
    /// Index of the job in the round's list of jobs.
    pub job: usize,
    /// Index of the task within its job.
    pub task: u32,
    /// Index of the machine in the round's list of machines.
    pub machine: usize,
}

/// Places each pending task that is within its team's quota and fits on a machine. Placed
/// tasks are removed from `unplaced_tasks` and charged to `machines` and `quotas`. Returns
/// the placements in the order in which they were made.
pub fn run_round(
    jobs: &mut [PendingTasks],
    machines: &mut [MachineSnapshot],
    quotas: &mut [Quota],
    weights: &Weights,
) -> Vec<Placement> {
    if jobs.iter().all(|job| job.unplaced_tasks.is_empty()) {
        return Vec::new();
    }
    let mut order: Vec<usize> = (0..jobs.len()).collect();
    order.sort_by(|&a, &b| jobs[a].round_order(&jobs[b]));
    let mut round = Round::new(machines, quotas, weights);
    for job_index in order {
        round.place_job(job_index, &mut jobs[job_index]);
    }
    round.finish()
}

/// The resources of a machine that are allocated to a task.
struct Allocation {
    machine: usize,
    /// Whether the machine had the image, or was fetching it, before the allocation.
    had_image: bool,
}

/// Quota that is charged to a team for an unplaced aged job until the end of the round.
struct ReservedQuota {
    team: usize,
    amount: Resources,
}

struct Round<'a> {
    table: MachineTable<'a>,
    quotas: &'a mut [Quota],
    weights: &'a Weights,
    placements: Vec<Placement>,
    /// By team: the resources of which the limit is too low for an aged job with a
    /// reservation. Later jobs of the team that use such a resource are not placed.
    exceeded_limits: BTreeMap<usize, ExceededLimits>,
    reserved_quotas: Vec<ReservedQuota>,
}

impl<'a> Round<'a> {
    fn new(
        machines: &'a mut [MachineSnapshot],
        quotas: &'a mut [Quota],
        weights: &'a Weights,
    ) -> Self {
        Self {
            table: MachineTable::new(machines),
            quotas,
            weights,
            placements: Vec::new(),
            exceeded_limits: BTreeMap::new(),
            reserved_quotas: Vec::new(),
        }
    }

    /// Places the tasks of a job. If some cannot be placed and the job has a reservation,
    /// reserves the quota or the machine that it lacks.
    fn place_job(&mut self, job_index: usize, job: &mut PendingTasks) {
        if self.is_blocked_by_exceeded_limit(job) {
            return;
        }
        if job.is_gang {
            self.place_gang(job_index, job);
        } else {
            self.place_tasks(job_index, job);
        }
        if job.reservation.reserves() && !job.unplaced_tasks.is_empty() {
            self.reserve(job);
        }
    }

    /// Whether the job uses a resource of which the quota is reserved for an earlier job of
    /// its team. Other resources are not compared: otherwise, a team at its GPU limit could
    /// not run jobs that need no GPU.
    fn is_blocked_by_exceeded_limit(&self, job: &PendingTasks) -> bool {
        let exceeded = self.exceeded_limits.get(&job.team);
        exceeded.is_some_and(|exceeded| exceeded.affects(&job.task_resources))
    }

    /// Reserves quota for an aged job with unplaced tasks or, if the quota suffices, a machine.
    fn reserve(&mut self, job: &mut PendingTasks) {
        let quota = &mut self.quotas[job.team];
        let amount = job.minimum_resources();
        if !quota.allows(&amount) {
            let exceeded = self.exceeded_limits.entry(job.team).or_default();
            *exceeded = exceeded.union(&quota.exceeded_limits(&amount));
            return;
        }
        job.lacks_machines = true;
        if job.reservation == AgedJobReservation::CapacityAndQuota {
            quota.used += amount;
            let team = job.team;
            self.reserved_quotas.push(ReservedQuota { team, amount });
        }
        self.hold_machine(job);
    }

    /// Holds a machine for an aged job, so that the round places no more tasks on the
    /// machine. Of the machines that could run a task of the job if they were empty, the one
    /// with the lowest dominant share in use is held.
    fn hold_machine(&mut self, job: &PendingTasks) {
        let could_run = |machine: &MachineSnapshot| {
            job.task_resources.fits_in(&machine.total)
                && job.allows_machine(machine.machine_type, machine.zone, machine.is_spot)
                && job.may_use_reserved(machine.reserved_for)
        };
        let free_share = |machine: &MachineSnapshot| {
            1.0 - (machine.total - machine.free).dominant_share(&machine.total)
        };
        let machines = self.table.machines().iter().enumerate();
        let least_used = machines
            // A machine that is excluded for the job is not held for it. Otherwise, a gang
            // that failed on the only machine would leave it unused while it is excluded.
            .filter(|(index, machine)| could_run(machine) && !job.excluded_machines.contains(index))
            .max_by(|(_, a), (_, b)| free_share(a).total_cmp(&free_share(b)));
        if let Some((index, _)) = least_used {
            self.table.hold(index);
        }
    }

    /// Places the tasks of a job that is not a gang, until one cannot be placed. The tasks of
    /// a job are equal, so the others cannot be placed either.
    fn place_tasks(&mut self, job_index: usize, job: &mut PendingTasks) {
        let mut count = 0;
        while count < job.unplaced_tasks.len() {
            let Some(allocation) = self.allocate_task(job, None) else {
                break;
            };
            self.placements.push(Placement {
                job: job_index,
                task: job.unplaced_tasks[count],
                machine: allocation.machine,
            });
            count += 1;
        }
        job.unplaced_tasks.drain(..count);
    }

    /// Chooses a machine for one task and allocates its resources. If `zone` is given, the
    /// machine must be in it. `None` if the limit of the team would be exceeded, or if the
    /// task fits on no machine.
    fn allocate_task(&mut self, job: &mut PendingTasks, zone: Option<u16>) -> Option<Allocation> {
        if !self.quotas[job.team].allows(&job.task_resources) {
            return None;
        }
        let machine = self.table.choose(job, zone, self.weights)?;
        let had_image = self.table.allocate(machine, job);
        self.quotas[job.team].used += job.task_resources;
        let zone = self.table.machines()[machine].zone;
        *job.tasks_by_zone.entry(zone).or_default() += 1;
        Some(Allocation { machine, had_image })
    }

    /// Places all unplaced tasks of a gang, or none. For a gang that must be in the same
    /// zone, the zones are tried in ascending order.
    fn place_gang(&mut self, job_index: usize, job: &mut PendingTasks) {
        let zones: Vec<Option<u16>> = if job.require_same_zone {
            self.table.zones().iter().copied().map(Some).collect()
        } else {
            vec![None]
        };
        for zone in zones {
            let Some(allocations) = self.allocate_gang(job, zone) else {
                continue;
            };
            let tasks = std::mem::take(&mut job.unplaced_tasks);
            let allocated_tasks = tasks.into_iter().zip(allocations);
            let placements = allocated_tasks.map(|(task, allocation)| Placement {
                job: job_index,
                task,
                machine: allocation.machine,
            });
            self.placements.extend(placements);
            return;
        }
    }

    /// Allocates resources for all unplaced tasks of a gang. If one cannot be placed, the
    /// allocations of the others are released.
    fn allocate_gang(
        &mut self,
        job: &mut PendingTasks,
        zone: Option<u16>,
    ) -> Option<Vec<Allocation>> {
        let zones_before = job.tasks_by_zone.clone();
        let used_before = self.quotas[job.team].used;
        let mut allocations = Vec::new();
        while allocations.len() < job.unplaced_tasks.len() {
            let Some(allocation) = self.allocate_task(job, zone) else {
                break;
            };
            allocations.push(allocation);
        }
        if allocations.len() == job.unplaced_tasks.len() {
            return Some(allocations);
        }
        for allocation in allocations.into_iter().rev() {
            self.table
                .release(allocation.machine, job, allocation.had_image);
        }
        job.tasks_by_zone = zones_before;
        self.quotas[job.team].used = used_before;
        None
    }

    /// Releases the reserved quota, so that quotas are charged for placed tasks only.
    fn finish(self) -> Vec<Placement> {
        for reserved in self.reserved_quotas {
            self.quotas[reserved.team].used -= reserved.amount;
        }
        self.placements
    }
}

#[cfg(test)]
mod tests;
