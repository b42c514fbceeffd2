//! Tests of `failure_attribution`.

use super::*;

const HEARTBEAT_INTERVAL_MS: Ms = 1_000;
const BOOT_MS: Ms = 10_000;

fn machine(n: usize) -> MachineId {
    MachineId::new(&format!("m-{n}"))
}

fn job(n: usize) -> JobId {
    JobId::new(&format!("j-{n}"))
}

/// Failures as machine, when the task was placed, and when it failed; whether
/// the job is then limited to one task, whether it is blamed, and its pause.
type Case = (&'static str, &'static [(usize, Ms, Ms)], (bool, bool), Ms);

const JOB_FAILURE_CASES: [Case; 8] = [
    ("none", &[], (false, false), 0),
    ("one", &[(1, 0, 10)], (false, false), 0),
    (
        "many tasks of one wave, on one machine",
        &[(1, 0, 10), (1, 0, 11), (1, 5, 12), (1, 9, 13), (1, 9, 14)],
        (false, false),
        0,
    ),
    (
        "one wave on two machines",
        &[(1, 0, 10), (2, 0, 11)],
        (true, false),
        2_000,
    ),
    (
        "one wave on three machines",
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
fn a_job_is_slowed_down_by_its_failures() {
    for (name, failed, (limited, blamed), pause) in JOB_FAILURE_CASES {
        let mut failures = JobFailures::default();
        for (on, placed, now) in failed {
            failures.add(&machine(*on), *placed, 0, *now);
        }
        assert_eq!(failures.is_suspect(), !failed.is_empty(), "{name}");
        assert_eq!(failures.is_limited_to_one_task(), limited, "{name}");
        assert_eq!(failures.is_job_at_fault(), blamed, "{name}");
        assert_eq!(failures.retry_backoff_ms(), pause, "{name}");
    }
}

/// Only a task that began after the last failure ends the suspicion: others of
/// the job may fail for as long as that one runs.
#[test]
fn a_run_after_the_failure_clears_the_job() {
    for (began, suspect) in [(5, true), (30, false)] {
        let mut failures = JobFailures::default();
        failures.add(&machine(1), 0, 0, 10);
        failures.add(&machine(1), 15, 0, 20);
        failures.record_healthy_run(began);
        assert_eq!(failures.is_suspect(), suspect, "began at {began}");
        assert_eq!(
            failures.excluded_machines(25, BOOT_MS).count(),
            1,
            "still excluded"
        );
        assert_eq!(failures.excluded_machines(20 + BOOT_MS, BOOT_MS).count(), 0);
    }
}

/// A job that fails everywhere until it is cancelled takes no memory for that.
#[test]
fn few_machines_are_remembered() {
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

/// A machine is faulty for jobs that run elsewhere, and for no others.
#[test]
fn only_jobs_that_run_elsewhere_count_against_a_machine() {
    // Jobs that failed there; those that run well elsewhere; whether the machine
    // is faulty, and whether it is quarantined.
    type Case = (usize, &'static [usize], bool, bool);
    let cases: [Case; 6] = [
        (0, &[], false, false),
        (1, &[1], false, false),
        (2, &[], false, true),
        (2, &[1], false, true),
        (2, &[1, 2], true, true),
        (9, &[], false, true),
    ];
    for (failed, well, faulty, quarantined) in cases {
        let name = format!("{failed} failed, {well:?} run well");
        let mut failures = MachineFailures::default();
        for n in 1..=failed {
            failures.add(&job(n), 0, 100 + n as Ms);
        }
        for n in well {
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

/// The more jobs fail on a quarantined machine, the more seldom it is tried; a
/// start ends the quarantine, only a run clears the failures.
#[test]
fn a_quarantined_machine_is_tried_and_cleared() {
    let mut failures = MachineFailures::default();
    failures.add(&job(1), 0, 100);
    failures.add(&job(2), 0, 100);
    let first = 100 + HEARTBEAT_INTERVAL_MS * QUARANTINE_RETRY_HEARTBEATS;
    assert!(!failures.is_retry_due(first - 1, HEARTBEAT_INTERVAL_MS, BOOT_MS));
    assert!(failures.is_retry_due(first, HEARTBEAT_INTERVAL_MS, BOOT_MS));
    failures.add(&job(3), 0, 100);
    assert!(!failures.is_retry_due(first, HEARTBEAT_INTERVAL_MS, BOOT_MS));
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
    assert!(failures.is_faulty(), "that run began before they failed");
    failures.record_healthy_run(150);
    assert!(failures.is_empty());
}

/// A job that runs for a while before it fails proves nothing by such a run.
#[test]
fn a_run_must_be_longer_than_those_that_failed() {
    for (failed_run, least) in [(0, 4_000), (3_000, 10_000), (60_000, 124_000)] {
        assert_eq!(min_healthy_run_ms(failed_run, HEARTBEAT_INTERVAL_MS), least);
    }
}
