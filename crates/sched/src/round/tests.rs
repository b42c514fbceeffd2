//! Tests of scheduling rounds.

use super::*;

/// An empty machine with 64 CPUs and the given number of GPUs.
fn machine(gpus: f64, zone: u16) -> MachineSnapshot {
    let total = Resources::new(64.0, gpus, 256.0);
    MachineSnapshot {
        free: total,
        total,
        zone,
        price_per_s: 1.0,
        fetch_gb_per_s: 1.0,
        ..MachineSnapshot::default()
    }
}

/// A job with the given number of pending tasks, each of which needs `gpus` GPUs.
fn pending(tasks: u32, gpus: f64) -> PendingTasks {
    PendingTasks {
        task_resources: Resources::new(1.0, gpus, 1.0),
        unplaced_tasks: (0..tasks).collect(),
        total_tasks: tasks,
        estimated_run_s: 10.0,
        image_gb: 1.0,
        allows_spot: true,
        ..PendingTasks::default()
    }
}

/// The quota of one team with a limit of the given number of GPUs.
fn quota(gpus: f64) -> Vec<Quota> {
    vec![Quota {
        limit: Resources::new(1000.0, gpus, 0.0),
        ..Quota::default()
    }]
}

/// Runs a round for one team with a limit of the given number of GPUs.
fn run(jobs: &mut [PendingTasks], machines: &mut [MachineSnapshot], gpus: f64) -> Vec<Placement> {
    run_round(jobs, machines, &mut quota(gpus), &Weights::default())
}

#[test]
fn longest_estimated_run_is_placed_first_within_a_band() {
    let mut jobs = [pending(1, 8.0), pending(1, 8.0), pending(1, 8.0)];
    jobs[1].estimated_run_s = 20.0;
    jobs[2].priority_band = 1;
    jobs[2].estimated_run_s = 1.0;
    let mut machines = [machine(8.0, 0), machine(8.0, 0)];
    let placed = run(&mut jobs, &mut machines, 100.0);
    let order: Vec<usize> = placed.iter().map(|p| p.job).collect();
    assert_eq!(order, [2, 1]);
    assert_eq!(
        jobs[0].unplaced_tasks,
        [0],
        "a task that fits on no machine stays unplaced"
    );
}

/// Guards against starvation of aged jobs. Jobs of the same team with a longer estimated run
/// time, submitted later, were placed first each time capacity became free; a large job
/// started only after 289 s.
#[test]
fn longest_wait_is_placed_first_among_aged_jobs() {
    // Band, wait and estimate of two jobs, and which is placed.
    let cases = [
        (
            "neither aged: the longest estimate",
            (0, 0.0, 5.0),
            (0, 0.0, 20.0),
            1,
        ),
        (
            "both aged: the longest wait",
            (8, 90.0, 5.0),
            (8, 70.0, 20.0),
            0,
        ),
        (
            "both aged, equal waits: the longest estimate",
            (8, 70.0, 5.0),
            (8, 70.0, 20.0),
            1,
        ),
        ("one aged: the aged one", (8, 70.0, 5.0), (0, 0.0, 20.0), 0),
        ("bands precede waits", (8, 90.0, 5.0), (9, 70.0, 20.0), 1),
    ];
    for (name, first, second, expected) in cases {
        let mut jobs = [pending(1, 8.0), pending(1, 8.0)];
        for (job, (band, aged_wait_s, estimate)) in jobs.iter_mut().zip([first, second]) {
            job.priority_band = band;
            job.aged_wait_s = aged_wait_s;
            job.estimated_run_s = estimate;
        }
        let placed = run(&mut jobs, &mut [machine(8.0, 0)], 100.0);
        let placed: Vec<usize> = placed.iter().map(|p| p.job).collect();
        assert_eq!(placed, [expected], "{name}");
    }
}

#[test]
fn resources_of_a_placed_task_are_not_free_for_the_next_one() {
    let mut jobs = [pending(5, 4.0)];
    let mut machines = [machine(8.0, 0), machine(8.0, 0)];
    assert_eq!(run(&mut jobs, &mut machines, 100.0).len(), 4);
    assert!(machines.iter().all(|machine| machine.free.milli_gpus == 0));
}

#[test]
fn zone_constraints_limit_placements() {
    type Case = (&'static str, fn(&mut PendingTasks), usize);
    let cases: [Case; 6] = [
        ("anywhere", |_| (), 4),
        ("one zone", |job| job.require_same_zone = true, 2),
        (
            "one zone, with a task in another zone",
            |job| {
                job.require_same_zone = true;
                job.tasks_by_zone.insert(7, 1);
            },
            0,
        ),
        ("spread", |job| job.spread_over_zones = true, 4),
        (
            "spread, half of the tasks placed in one zone",
            |job| {
                job.spread_over_zones = true;
                job.tasks_by_zone.insert(0, 2);
            },
            2,
        ),
        ("required zone", |job| job.required_zone = Some(1), 2),
    ];
    for (name, change, expected) in cases {
        let mut jobs = [pending(4, 4.0)];
        change(&mut jobs[0]);
        let mut machines = [machine(8.0, 0), machine(8.0, 1)];
        assert_eq!(
            run(&mut jobs, &mut machines, 100.0).len(),
            expected,
            "{name}"
        );
    }
}

#[test]
fn spread_job_of_one_task_is_placed() {
    let mut jobs = [pending(1, 4.0)];
    jobs[0].spread_over_zones = true;
    assert_eq!(run(&mut jobs, &mut [machine(8.0, 0)], 100.0).len(), 1);
}

/// Guards against starvation of large tasks. Small tasks of the same team used the quota, or
/// the machine, as soon as a part of it became free; a large task was pending for nine
/// minutes.
#[test]
fn aged_job_reserves_quota_or_a_machine() {
    let cases = [
        ("lacks quota, not aged", false, 11.0, 8.0, 1),
        ("lacks quota, aged", true, 11.0, 8.0, 0),
        ("lacks a machine, not aged", false, 100.0, 6.0, 2),
        ("lacks a machine, aged", true, 100.0, 6.0, 0),
    ];
    for (name, aged, limit, free, expected) in cases {
        let mut jobs = [pending(1, 8.0), pending(2, 2.0)];
        jobs[0].priority_band = 1;
        jobs[0].reservation = if aged {
            AgedJobReservation::Capacity
        } else {
            AgedJobReservation::None
        };
        let mut machines = [machine(8.0, 0)];
        machines[0].free.milli_gpus = (free * 1000.0) as i64;
        let mut quotas = quota(limit);
        quotas[0].used = Resources::new(0.0, limit.min(8.0), 0.0);
        let placed = run_round(&mut jobs, &mut machines, &mut quotas, &Weights::default());
        assert_eq!(placed.len(), expected, "{name}");
    }
}

/// Guards against starvation of a gang that needs its team's whole limit and two machines.
/// While the second machine was booting, a later task used a part of the quota each time.
#[test]
fn quota_stays_reserved_while_the_job_fits_on_no_machine() {
    // Name, whether the quota is reserved, the team's limit in GPUs, and how many tasks of
    // the other job are placed.
    let cases = [
        ("not reserved: a later task uses the quota", false, 12.0, 1),
        ("reserved", true, 12.0, 0),
        ("quota beyond the reservation is available", true, 16.0, 1),
    ];
    for (name, reserves_quota, limit, expected) in cases {
        let mut jobs = [pending(3, 4.0), pending(1, 4.0)];
        jobs[0].is_gang = true;
        jobs[0].priority_band = 8;
        jobs[0].reservation = if reserves_quota {
            AgedJobReservation::CapacityAndQuota
        } else {
            AgedJobReservation::Capacity
        };
        jobs[0].allowed_types = Some(vec![0]);
        let mut other = machine(4.0, 0);
        other.machine_type = 1;
        let mut machines = [machine(8.0, 0), other];
        let mut quotas = quota(limit);
        let placed = run_round(&mut jobs, &mut machines, &mut quotas, &Weights::default());
        assert_eq!(placed.len(), expected, "{name}");
        assert!(jobs[0].lacks_machines, "{name}");
        let used = 4_000 * expected as i64;
        assert_eq!(
            quotas[0].used.milli_gpus, used,
            "{name}: only placed tasks use quota"
        );
    }
}

#[test]
fn gang_is_placed_whole_or_not_at_all() {
    let cases = [
        (4, false, 100.0, 4),
        (5, false, 100.0, 0),
        (3, true, 100.0, 0),
        (2, true, 100.0, 2),
        (4, false, 15.0, 0),
    ];
    for (tasks, require_same_zone, limit, expected) in cases {
        let mut jobs = [pending(tasks, 4.0)];
        jobs[0].is_gang = true;
        jobs[0].require_same_zone = require_same_zone;
        let mut machines = [machine(8.0, 0), machine(8.0, 1)];
        let placed = run(&mut jobs, &mut machines, limit);
        assert_eq!(
            placed.len(),
            expected,
            "{tasks} tasks, one zone: {require_same_zone}"
        );
        let free: i64 = machines.iter().map(|machine| machine.free.milli_gpus).sum();
        assert_eq!(free, 16_000 - 4_000 * expected as i64);
        if expected == 0 {
            assert!(machines.iter().all(|machine| machine.images.is_empty()));
        }
    }
}

#[test]
fn quota_machine_type_and_spot_limit_placements() {
    let mut jobs = [pending(4, 4.0)];
    assert_eq!(run(&mut jobs, &mut [machine(16.0, 0)], 9.0).len(), 2);
    let mut jobs = [pending(1, 4.0)];
    jobs[0].allows_spot = false;
    let mut spot = machine(8.0, 0);
    spot.is_spot = true;
    assert!(run(&mut jobs, &mut [spot], 100.0).is_empty());
    let mut jobs = [pending(1, 4.0)];
    jobs[0].allowed_types = Some(vec![3]);
    assert!(run(&mut jobs, &mut [machine(8.0, 0)], 100.0).is_empty());
}

/// Guards against blocking a whole team. While an aged job of a team at its GPU limit waited
/// for GPUs, the team's jobs without GPUs were not placed.
#[test]
fn reserved_quota_blocks_only_tasks_that_use_it() {
    let cases = [("uses GPUs", 2.0, 0), ("uses none", 0.0, 1)];
    for (name, gpus, expected) in cases {
        let mut jobs = [pending(1, 8.0), pending(1, gpus)];
        jobs[0].priority_band = 1;
        jobs[0].reservation = AgedJobReservation::Capacity;
        jobs[1].task_resources.milli_cpus = 1_000;
        let mut machines = [machine(8.0, 0)];
        machines[0].total.milli_cpus = 8_000;
        machines[0].free.milli_cpus = 8_000;
        let mut quotas = quota(11.0);
        quotas[0].used = Resources::new(0.0, 8.0, 0.0);
        let placed = run_round(&mut jobs, &mut machines, &mut quotas, &Weights::default());
        assert_eq!(placed.len(), expected, "{name}");
    }
}

/// Guards against idle machines. A gang that had failed on the only machine was excluded from
/// it for some time, and the machine was held for the gang all that time.
#[test]
fn excluded_machine_is_not_held_for_the_job() {
    for (is_excluded, expected) in [(false, 0), (true, 1)] {
        let mut jobs = [pending(1, 8.0), pending(1, 2.0)];
        jobs[0].priority_band = 1;
        jobs[0].reservation = AgedJobReservation::Capacity;
        let mut machines = [machine(8.0, 0)];
        machines[0].free.milli_gpus -= 1_000;
        if is_excluded {
            jobs[0].excluded_machines.insert(0);
        }
        let placed = run(&mut jobs, &mut machines, 100.0);
        assert_eq!(placed.len(), expected, "excluded: {is_excluded}");
    }
}
