//! Tests of preemption.

use crate::fixture::{spec, stopping_tasks, team_of, Fixture, WALL};
use crate::node::Node;
use crate::shard::job::StartState;
use forkshift_wire::users::{JobKind, JobSpec, Priority};
use forkshift_wire::workers::TaskStage;
use forkshift_wire::JobId;

/// CPUs of a task that runs; the fixture's machine has 96.
const RUNNING_CPUS: f64 = 12.0;

fn add(fixture: &mut Fixture, id: &str, change: impl FnOnce(&mut JobSpec)) -> JobId {
    let id = JobId::new(id);
    let team = team_of(fixture);
    let mut spec = spec(&id, &team, JobKind::Array, 8);
    spec.cpus = RUNNING_CPUS;
    change(&mut spec);
    let shard_id = fixture.shard;
    let Node { shards, ctx, .. } = &mut fixture.node;
    let shard = shards.get_mut(&shard_id).expect("the shard is held");
    shard.add_job(ctx, spec, None, WALL, 6);
    id
}

/// A machine that is full of tasks of one job; those with a higher index have run
/// for a shorter time.
fn full_machine(priority: Priority) -> (Fixture, JobId) {
    let mut fixture = Fixture::new();
    let job = add(&mut fixture, "j-1", |s| s.priority = priority);
    let token = fixture.token();
    for index in 0..8 {
        fixture.bind(
            &job,
            index,
            StartState::SentByThisHolder {
                token,
                incarnation: 1,
            },
        );
    }
    let now = fixture.node.ctx.now;
    let running = fixture.shard().jobs.get_mut(&job).expect("the job");
    for (index, binding) in &mut running.bindings {
        binding.stage = Some(TaskStage::Running);
        binding.running_since = Some(now - 10_000 + u64::from(*index));
    }
    (fixture, job)
}

/// Victims for one waiting replica are as few as make room, those that ran for the
/// shortest, and only of low or normal priority.
#[test]
fn as_few_tasks_as_make_room_are_preempted() {
    // Priority of the running and of the waiting job, CPUs of one replica, victims.
    let cases: [(Priority, Priority, f64, &[u32]); 6] = [
        (Priority::Low, Priority::Production, 10.0, &[7]),
        (Priority::Normal, Priority::Production, 12.0, &[7]),
        (Priority::Low, Priority::Production, 30.0, &[5, 6, 7]),
        (Priority::Low, Priority::Production, 97.0, &[]),
        (Priority::High, Priority::Production, 10.0, &[]),
        (Priority::Low, Priority::Normal, 10.0, &[]),
    ];
    for (runs, waits, cpus, expected) in cases {
        let (mut fixture, job) = full_machine(runs);
        add(&mut fixture, "j-2", |s| {
            s.kind = JobKind::Service;
            s.priority = waits;
            s.cpus = cpus;
            s.tasks = 1;
        });
        fixture.step(2_000);
        assert_eq!(
            stopping_tasks(&mut fixture, &job),
            expected,
            "{runs:?} {waits:?} {cpus}"
        );
    }
}

/// Candidates are computed once for all waiting jobs, not once for each: thousands of
/// replicas would take most of their controller's processor time.
#[test]
fn many_jobs_with_the_same_requirement_preempt_one_task() {
    let (mut fixture, job) = full_machine(Priority::Low);
    for n in 0..2_000 {
        add(&mut fixture, &format!("j-{}", 10 + n), |s| {
            s.kind = JobKind::Service;
            s.priority = Priority::Production;
            s.cpus = if n < 1_999 { 97.0 } else { 10.0 };
            s.tasks = 1;
        });
    }
    fixture.step(2_000);
    assert_eq!(
        stopping_tasks(&mut fixture, &job),
        [7],
        "for the only one for which room can be made"
    );
}
