//! Tests of `job`.

use super::*;
use crate::config::StateLimits;
use crate::fixture::spec;
use crate::records::TaskBlockRecord;
use forkshift_wire::JobId;

const SINCE: Ms = 50_000;
const BOOT_MS: Ms = 10_000;

fn layout() -> BlockLayout {
    BlockLayout::implicit(&StateLimits {
        rps: 80.0,
        write_rps: 30.0,
        txn_ops: 12,
        value_bytes: 16_384,
    })
}

fn job(id: &str) -> Job {
    let spec = spec(&JobId::new(id), "team", JobKind::Array, 3);
    Job {
        submission_age: EventAge {
            age_when_learned_ms: 5_000,
            learned_at: SINCE,
        },
        ..Job::new(spec, 0, 1, layout(), SINCE)
    }
}

/// Name of the case, change to the job, and the expected wait time.
type Case = (&'static str, fn(&mut Job, TaskBlockRecord), Ms);

/// Guards against starvation: when the wait time of a large array counted from its
/// submission although its tasks kept completing, the array took precedence over
/// jobs that had not started at all.
#[test]
fn wait_time_restarts_when_a_task_completes() {
    let done = |from: u32, to: u32| TaskBlockRecord {
        last_attempt: 1,
        done: vec![(from, to)],
        bound: Vec::new(),
    };
    let cases: [Case; 3] = [
        ("nothing has completed", |_, _| (), 35_000),
        (
            "a task has completed",
            |j, _| j.last_completion_at = Some(SINCE + 20_000),
            10_000,
        ),
        (
            "restored with a completed task",
            |j, record| {
                j.restore_block(0, record, 2, SINCE);
            },
            30_000,
        ),
    ];
    for (name, change, expected) in cases {
        let mut job = job("j-1");
        change(&mut job, done(0, 1));
        assert_eq!(job.wait_ms(SINCE + 30_000), expected, "{name}");
        assert_eq!(job.age_ms(SINCE + 30_000), 35_000, "{name}: its age stays");
    }
}

/// Guards against a blocked team: if no machine can be provisioned for a job, the
/// quota reserved for it must be released to the team's other jobs.
#[test]
fn quota_reservation_ends_if_no_machine_boots_in_time() {
    let cases = [
        ("never lacked machines", None, true),
        ("has just begun to", Some(SINCE), true),
        ("for less than they take", Some(SINCE - BOOT_MS), true),
        ("for longer", Some(SINCE - 3 * BOOT_MS), false),
    ];
    for (name, since, kept) in cases {
        let mut job = job("j-1");
        job.lacking_machines_since = since;
        assert_eq!(job.can_reserve_quota(SINCE, BOOT_MS), kept, "{name}");
    }
}
