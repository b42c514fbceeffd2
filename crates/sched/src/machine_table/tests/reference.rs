//! Reference implementation of rounds: scores every machine for every task, without classes.

use crate::entitlement::AgedJobReservation;
use crate::machine::MachineSnapshot;
use crate::pending::PendingTasks;
use crate::quota::{ExceededLimits, Quota};
use crate::resources::Resources;
use crate::round::Placement;
use crate::score::{choose, Candidate, Weights};
use std::collections::{BTreeMap, BTreeSet};

/// Places pending tasks by the same rules as the round under test.
pub(super) fn run_round(
    jobs: &mut [PendingTasks],
    machines: &mut [MachineSnapshot],
    quotas: &mut [Quota],
    weights: &Weights,
) -> Vec<Placement> {
    let mut order: Vec<usize> = (0..jobs.len()).collect();
    order.sort_by(|&a, &b| jobs[a].round_order(&jobs[b]));
    let mut placed = Vec::new();
    let mut exceeded_limits: BTreeMap<usize, ExceededLimits> = BTreeMap::new();
    let mut reserved_quotas: Vec<(usize, Resources)> = Vec::new();
    for job_index in order {
        let job = &mut jobs[job_index];
        if exceeded_limits
            .get(&job.team)
            .is_some_and(|s| s.affects(&job.task_resources))
        {
            continue;
        }
        if job.is_gang {
            placed.extend(place_gang(job_index, job, machines, quotas, weights));
        }
        while !job.is_gang && place_next(job_index, job, machines, quotas, weights, &mut placed) {}
        if job.reservation.reserves() && !job.unplaced_tasks.is_empty() {
            let team = &mut quotas[job.team];
            let amount = job.minimum_resources();
            if !team.allows(&amount) {
                let exceeded = exceeded_limits.entry(job.team).or_default();
                *exceeded = exceeded.union(&team.exceeded_limits(&amount));
                continue;
            }
            job.lacks_machines = true;
            hold_machine(job, machines);
            if job.reservation == AgedJobReservation::CapacityAndQuota {
                team.used += amount;
                reserved_quotas.push((job.team, amount));
            }
        }
    }
    for (team, amount) in reserved_quotas {
        quotas[team].used -= amount;
    }
    placed
}

/// Holds the machine with the largest share of free resources, among those that could run a
/// task of the job.
fn hold_machine(job: &PendingTasks, machines: &mut [MachineSnapshot]) {
    let fits = |machine: &MachineSnapshot| {
        job.task_resources.fits_in(&machine.total)
            && job.allows_machine(machine.machine_type, machine.zone, machine.is_spot)
            && job.may_use_reserved(machine.reserved_for)
    };
    let free = |machine: &MachineSnapshot| {
        1.0 - (machine.total - machine.free).dominant_share(&machine.total)
    };
    let best = machines
        .iter_mut()
        .enumerate()
        .filter(|(index, machine)| fits(machine) && !job.excluded_machines.contains(index))
        .max_by(|(_, a), (_, b)| free(a).total_cmp(&free(b)));
    if let Some((_, machine)) = best {
        machine.is_held_for_aged_job = true;
    }
}

/// Places the next task of a job. Returns false if there is none, or if it cannot be placed.
fn place_next(
    job_index: usize,
    job: &mut PendingTasks,
    machines: &mut [MachineSnapshot],
    quotas: &mut [Quota],
    weights: &Weights,
    placed: &mut Vec<Placement>,
) -> bool {
    let Some(&task) = job.unplaced_tasks.first() else {
        return false;
    };
    let Some(machine) = place_one(job, machines, quotas, weights, None) else {
        return false;
    };
    job.unplaced_tasks.remove(0);
    placed.push(Placement {
        job: job_index,
        task,
        machine,
    });
    true
}

/// Chooses a machine for one task and allocates its resources.
fn place_one(
    job: &mut PendingTasks,
    machines: &mut [MachineSnapshot],
    quotas: &mut [Quota],
    weights: &Weights,
    zone: Option<u16>,
) -> Option<usize> {
    if !quotas[job.team].allows(&job.task_resources) {
        return None;
    }
    let mut indices = Vec::new();
    let mut candidates = Vec::new();
    for (index, machine) in machines.iter().enumerate() {
        let fits = !machine.is_held_for_aged_job
            && job.task_resources.fits_in(&machine.free)
            && zone.is_none_or(|z| z == machine.zone)
            && job.allows_machine(machine.machine_type, machine.zone, machine.is_spot)
            && job.may_use_reserved(machine.reserved_for)
            && !job.excluded_machines.contains(&index);
        if !fits {
            continue;
        }
        let fetch = if machine.images.contains(&job.image) || machine.fetch_gb_per_s <= 0.0 {
            0.0
        } else {
            job.image_gb / machine.fetch_gb_per_s
        };
        indices.push(index);
        candidates.push(Candidate {
            free: machine.free,
            cost: machine.price_per_s * job.estimated_run_s,
            latency: machine.startup_delay_s + fetch,
        });
    }
    let chosen = indices[choose(
        &job.task_resources,
        candidates.into_iter().enumerate(),
        weights,
    )?];
    let machine = &mut machines[chosen];
    machine.free -= job.task_resources;
    machine.images.insert(job.image);
    quotas[job.team].used += job.task_resources;
    *job.tasks_by_zone.entry(machine.zone).or_default() += 1;
    Some(chosen)
}

/// Places all unplaced tasks of a gang, or none.
fn place_gang(
    job_index: usize,
    job: &mut PendingTasks,
    machines: &mut [MachineSnapshot],
    quotas: &mut [Quota],
    weights: &Weights,
) -> Vec<Placement> {
    let zones: Vec<Option<u16>> = if job.require_same_zone {
        let all: BTreeSet<u16> = machines.iter().map(|machine| machine.zone).collect();
        all.into_iter().map(Some).collect()
    } else {
        vec![None]
    };
    for zone in zones {
        let before = (job.tasks_by_zone.clone(), quotas[job.team].used);
        let mut allocated: Vec<(usize, bool)> = Vec::new();
        let mut placed = Vec::new();
        for task in job.unplaced_tasks.clone() {
            let had_image: Vec<bool> = machines
                .iter()
                .map(|machine| machine.images.contains(&job.image))
                .collect();
            let Some(machine) = place_one(job, machines, quotas, weights, zone) else {
                break;
            };
            allocated.push((machine, had_image[machine]));
            placed.push(Placement {
                job: job_index,
                task,
                machine,
            });
        }
        if placed.len() == job.unplaced_tasks.len() {
            job.unplaced_tasks.clear();
            return placed;
        }
        for (machine, had_image) in allocated.into_iter().rev() {
            machines[machine].free += job.task_resources;
            if !had_image {
                machines[machine].images.remove(&job.image);
            }
        }
        (job.tasks_by_zone, quotas[job.team].used) = before;
    }
    Vec::new()
}
