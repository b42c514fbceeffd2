//! A scheduling round: waiting tasks are placed greedily, longest first; among jobs that
//! have waited long, the oldest first.

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
    /// Index of the job's pending tasks.
    pub job: usize,
    /// The task's number within its job.
    pub task: u32,
    /// Index of the machine.
    pub machine: usize,
}

/// Places the tasks for which there are quota and room. Placed tasks are removed from
/// `waiting`; the others stay there for the next round. Machines and quotas are charged
/// for what is placed.
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

/// A task's booking on a machine.
struct Booking {
    machine: usize,
    /// Whether the machine had the image before, or was fetching it.
    had_image: bool,
}

/// Quota that is reserved for a job until the round is over.
struct QuotaHold {
    team: usize,
    amount: Resources,
}

/// The state of a round.
struct Round<'a> {
    table: MachineTable<'a>,
    quotas: &'a mut [Quota],
    weights: &'a Weights,
    placements: Vec<Placement>,
    /// Resources that a team's quota lacks for a job with a reservation, by team.
    exceeded_limits: BTreeMap<usize, ExceededLimits>,
    quota_holds: Vec<QuotaHold>,
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
            quota_holds: Vec::new(),
        }
    }

    /// Places tasks of a job, and reserves what it lacks if it is entitled to that.
    fn place_job(&mut self, job_index: usize, job: &mut PendingTasks) {
        if self.is_quota_reserved(job) {
            return;
        }
        if job.is_gang {
            self.place_gang(job_index, job);
        } else {
            self.place_each(job_index, job);
        }
        if job.reservation.reserves() && !job.unplaced_tasks.is_empty() {
            self.reserve(job);
        }
    }

    /// Whether the job would use quota that is reserved for an earlier one. Only the scarce
    /// resources count: a team at its limit of GPUs once kept jobs without any from running.
    fn is_quota_reserved(&self, job: &PendingTasks) -> bool {
        let exceeded = self.exceeded_limits.get(&job.team);
        exceeded.is_some_and(|exceeded| exceeded.affects(&job.task_resources))
    }

    /// Reserves quota or, if the quota suffices, a machine for a job that is still waiting.
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
            self.quota_holds.push(QuotaHold { team, amount });
        }
        self.hold_machine(job);
    }

    /// Reserves the machine with the largest share of free resources among those that could
    /// run a task of the job, so that the jobs behind it do not fill it up.
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
        let emptiest = machines
            // No excluded machine is held for the job: a gang that had failed on the only
            // machine once kept all others off it.
            .filter(|(index, machine)| could_run(machine) && !job.excluded_machines.contains(index))
            .max_by(|(_, a), (_, b)| free_share(a).total_cmp(&free_share(b)));
        if let Some((index, _)) = emptiest {
            self.table.hold(index);
        }
    }

    /// Places the tasks of a job one by one, until one finds no room.
    fn place_each(&mut self, job_index: usize, job: &mut PendingTasks) {
        let mut count = 0;
        while count < job.unplaced_tasks.len() {
            let Some(booking) = self.book_task(job, None) else {
                break;
            };
            self.placements.push(Placement {
                job: job_index,
                task: job.unplaced_tasks[count],
                machine: booking.machine,
            });
            count += 1;
        }
        job.unplaced_tasks.drain(..count);
    }

    /// Chooses a machine for one task, in `zone` if it is given, and books it.
    fn book_task(&mut self, job: &mut PendingTasks, zone: Option<u16>) -> Option<Booking> {
        if !self.quotas[job.team].allows(&job.task_resources) {
            return None;
        }
        let machine = self.table.choose(job, zone, self.weights)?;
        let had_image = self.table.book(machine, job);
        self.quotas[job.team].used += job.task_resources;
        let zone = self.table.machines()[machine].zone;
        *job.tasks_by_zone.entry(zone).or_default() += 1;
        Some(Booking { machine, had_image })
    }

    /// Places all waiting tasks of a gang, or none. A gang that must be in one zone tries
    /// the zones in ascending order.
    fn place_gang(&mut self, job_index: usize, job: &mut PendingTasks) {
        let zones: Vec<Option<u16>> = if job.require_same_zone {
            self.table.zones().iter().copied().map(Some).collect()
        } else {
            vec![None]
        };
        for zone in zones {
            let Some(bookings) = self.book_gang(job, zone) else {
                continue;
            };
            let tasks = std::mem::take(&mut job.unplaced_tasks);
            let booked_tasks = tasks.into_iter().zip(bookings);
            let placements = booked_tasks.map(|(task, booking)| Placement {
                job: job_index,
                task,
                machine: booking.machine,
            });
            self.placements.extend(placements);
            return;
        }
    }

    /// Books all waiting tasks of a gang; if one finds no room, undoes the others.
    fn book_gang(&mut self, job: &mut PendingTasks, zone: Option<u16>) -> Option<Vec<Booking>> {
        let zones_before = job.tasks_by_zone.clone();
        let used_before = self.quotas[job.team].used;
        let mut bookings = Vec::new();
        while bookings.len() < job.unplaced_tasks.len() {
            let Some(booking) = self.book_task(job, zone) else {
                break;
            };
            bookings.push(booking);
        }
        if bookings.len() == job.unplaced_tasks.len() {
            return Some(bookings);
        }
        for booking in bookings.into_iter().rev() {
            self.table.undo(booking.machine, job, booking.had_image);
        }
        job.tasks_by_zone = zones_before;
        self.quotas[job.team].used = used_before;
        None
    }

    /// Releases the reserved quota, so that only placed tasks are charged.
    fn finish(self) -> Vec<Placement> {
        for hold in self.quota_holds {
            self.quotas[hold.team].used -= hold.amount;
        }
        self.placements
    }
}

#[cfg(test)]
mod tests;
