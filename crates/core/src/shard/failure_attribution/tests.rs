//! Tests of [`failure_attribution`](super).

use super::*;

const HEARTBEAT_INTERVAL_MS: Ms = 1_000;
const BOOT_MS: Ms = 10_000;

fn machine(n: usize) -> MachineId {
    MachineId::new(&format!("m-{n}"))
}

fn job(n: usize) -> JobId {
    JobId::new(&format!("j-{n}"))
}

/// Name of the case; failures as (machine, placed at, failed at); whether the job is then
/// limited to one task and whether it is at fault; its retry backoff in milliseconds.
type Case = (&'static str, &'static [(usize, Ms, Ms)], (bool, bool), Ms);

const JOB_FAILURE_CASES: [Case; 8] = [
    ("none", &[], (false, false), 0),
    ("one", &[(1, 0, 10)], (false, false), 0),
    (
        "many tasks placed before the first failure, on one machine",
        &[(1, 0, 10), (1, 0, 11), (1, 5, 12), (1, 9, 13), (1, 9, 14)],
        (false, false),
        0,
    ),
    (
        "tasks placed before the first failure, on two machines",
        &[(1, 0, 10), (2, 0, 11)],
        (true, false),
        2_000,
    ),
    (
        "tasks placed before the first failure, on three machines",
        &[(1, 0, 10), (2, 0, 11), (3, 0, 12)],
        (true, true),
        2_000,
    ),
    (
        "twice on the same machine",
        &[(1, 0, 10), (1, 20, 30)],
        (true, false),
        2_000,
    ),
    (
        "four times on the only machine",
        &[(1, 0, 10), (1, 20, 30), (1, 40, 50), (1, 60, 70)],
        (true, true),
        8_000,
    ),
    (
        "nine times",
        &[
            (1, 0, 1),
            (1, 2, 3),
            (1, 4, 5),
            (1, 6, 7),
            (1, 8, 9),
            (1, 10, 11),
            (1, 12, 13),
            (1, 14, 15),
            (1, 16, 17),
        ],
        (true, true),
        MAX_RETRY_BACKOFF_MS,
    ),
];

#[test]
fn repeated_failures_limit_and_back_off_a_job_until_it_is_at_fault() {
    for (name, failed, (limited, at_fault), backoff_ms) in JOB_FAILURE_CASES {
        let mut failures = JobFailures::default();
        for (on, placed, now) in failed {
            failures.add(&machine(*on), *placed, 0, *now);
        }
        assert_eq!(failures.is_suspect(), !failed.is_empty(), "{name}");
        assert_eq!(failures.is_limited_to_one_task(), limited, "{name}");
        assert_eq!(failures.is_job_at_fault(), at_fault, "{name}");
        assert_eq!(failures.retry_backoff_ms(), backoff_ms, "{name}");
    }
}

/// A task that started before the last counted failure shows nothing about tasks started
/// later, so that its healthy run must not clear the job's failures.
#[test]
fn only_a_run_started_after_the_last_failure_clears_the_job() {
    for (started_at, suspect) in [(5, true), (30, false)] {
        let mut failures = JobFailures::default();
        failures.add(&machine(1), 0, 0, 10);
        failures.add(&machine(1), 15, 0, 20);
        failures.record_healthy_run(started_at);
        assert_eq!(failures.is_suspect(), suspect, "started at {started_at}");
        assert_eq!(
            failures.excluded_machines(25, BOOT_MS).count(),
            1,
            "still excluded"
        );
        assert_eq!(failures.excluded_machines(20 + BOOT_MS, BOOT_MS).count(), 0);
    }
}

/// A job that fails on every machine until it is cancelled must not accumulate an entry per
/// machine.
#[test]
fn tracked_machines_of_a_job_are_bounded() {
    let mut failures = JobFailures::default();
    for n in 0..1_000 {
        failures.add(&machine(n), n as Ms * 10, 0, n as Ms * 10 + 5);
    }
    let newest: Vec<MachineId> = (1_000 - MAX_TRACKED_MACHINES..1_000).map(machine).collect();
    assert_eq!(failures.machines(), newest);
    assert_eq!(
        failures.excluded_machines(9_995, BOOT_MS).count(),
        MAX_TRACKED_MACHINES
    );
}

/// A job that fails on every machine it tries must not get a machine decommissioned; only
/// jobs with a healthy run on another machine count.
#[test]
fn a_machine_is_faulty_only_for_jobs_healthy_elsewhere() {
    // Number of jobs that failed on the machine; those of them with a healthy run elsewhere;
    // whether the machine is faulty; whether it is quarantined.
    type Case = (usize, &'static [usize], bool, bool);
    let cases: [Case; 6] = [
        (0, &[], false, false),
        (1, &[1], false, false),
        (2, &[], false, true),
        (2, &[1], false, true),
        (2, &[1, 2], true, true),
        (9, &[], false, true),
    ];
    for (failed, healthy, faulty, quarantined) in cases {
        let name = format!("{failed} failed, {healthy:?} healthy elsewhere");
        let mut failures = MachineFailures::default();
        for n in 1..=failed {
            failures.add(&job(n), 0, 100 + n as Ms);
        }
        for n in healthy {
            failures.mark_job_healthy_elsewhere(&job(*n));
        }
        let now = BOOT_MS;
        assert_eq!(failures.is_faulty(), faulty, "{name}");
        assert_eq!(failures.is_quarantined(), quarantined, "{name}");
        assert_eq!(
            failures.has_failed_within(now, BOOT_MS),
            failed > 0,
            "{name}"
        );
        assert!(
            !failures.has_failed_within(now + BOOT_MS, BOOT_MS),
            "{name}"
        );
        for n in 1..=failed {
            failures.remove(&job(n));
        }
        assert!(failures.is_empty(), "{name}");
    }
}

/// A started task ends the quarantine, but only a healthy run that started after the failures
/// may clear them. The retry backoff doubles with each further job that failed.
#[test]
fn a_task_start_ends_quarantine_and_a_healthy_run_clears_failures() {
    let mut failures = MachineFailures::default();
    failures.add(&job(1), 0, 100);
    failures.add(&job(2), 0, 100);
    let first_retry_at = 100 + HEARTBEAT_INTERVAL_MS * QUARANTINE_RETRY_HEARTBEATS;
    assert!(!failures.is_retry_due(first_retry_at - 1, HEARTBEAT_INTERVAL_MS, BOOT_MS));
    assert!(failures.is_retry_due(first_retry_at, HEARTBEAT_INTERVAL_MS, BOOT_MS));
    failures.add(&job(3), 0, 100);
    assert!(!failures.is_retry_due(first_retry_at, HEARTBEAT_INTERVAL_MS, BOOT_MS));
    assert!(failures.is_retry_due(
        100 + HEARTBEAT_INTERVAL_MS * QUARANTINE_RETRY_HEARTBEATS * 2,
        HEARTBEAT_INTERVAL_MS,
        BOOT_MS
    ));

    failures.record_task_start(150);
    assert!(!failures.is_quarantined());
    for n in 1..=3 {
        failures.mark_job_healthy_elsewhere(&job(n));
    }
    failures.record_healthy_run(90);
    assert!(failures.is_faulty(), "the run started before the failures");
    failures.record_healthy_run(150);
    assert!(failures.is_empty());
}

/// The duration of a healthy run must exceed that of failed runs: a job that fails after a
/// minute on every machine would otherwise count as healthy before each failure.
#[test]
fn a_healthy_run_must_exceed_twice_the_longest_failed_run() {
    for (failed_run_ms, min_run_ms) in [(0, 4_000), (3_000, 10_000), (60_000, 124_000)] {
        assert_eq!(
            min_healthy_run_ms(failed_run_ms, HEARTBEAT_INTERVAL_MS),
            min_run_ms
        );
    }
}
