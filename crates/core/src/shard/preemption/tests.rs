//! Tests of preemption.

use crate::fixture::{spec, stopping_tasks, team_of, Fixture, WALL};
use crate::node::Node;
use crate::shard::job::StartState;
use forkshift_wire::users::{JobKind, JobSpec, Priority};
use forkshift_wire::workers::TaskStage;
use forkshift_wire::JobId;

/// CPUs of one running task; the fixture's machine has 96.
const RUNNING_CPUS: f64 = 12.0;

fn add_job(fixture: &mut Fixture, id: &str, change: impl FnOnce(&mut JobSpec)) -> JobId {
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

/// A machine that is full of running tasks of one job. Tasks with a higher index have run
/// for a shorter time.
fn full_machine(priority: Priority) -> (Fixture, JobId) {
    let mut fixture = Fixture::new();
    let job = add_job(&mut fixture, "j-1", |s| s.priority = priority);
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

/// Preemption for one pending replica must not stop more tasks than needed. Victims are
/// the tasks that have run for the shortest time, and only tasks of low or normal
/// priority.
#[test]
fn preemption_stops_the_shortest_running_tasks_until_the_pending_task_fits() {
    // Priority of the running and of the pending job, CPUs of one pending replica,
    // victims.
    let cases: [(Priority, Priority, f64, &[u32]); 6] = [
        (Priority::Low, Priority::Production, 10.0, &[7]),
        (Priority::Normal, Priority::Production, 12.0, &[7]),
        (Priority::Low, Priority::Production, 30.0, &[5, 6, 7]),
        (Priority::Low, Priority::Production, 97.0, &[]),
        (Priority::High, Priority::Production, 10.0, &[]),
        (Priority::Low, Priority::Normal, 10.0, &[]),
    ];
    for (running, pending, cpus, expected) in cases {
        let (mut fixture, job) = full_machine(running);
        add_job(&mut fixture, "j-2", |s| {
            s.kind = JobKind::Service;
            s.priority = pending;
            s.cpus = cpus;
            s.tasks = 1;
        });
        fixture.step(2_000);
        assert_eq!(
            stopping_tasks(&mut fixture, &job),
            expected,
            "{running:?} {pending:?} {cpus}"
        );
    }
}

/// Guards against computing the candidates once for each pending job instead of once for
/// all: with thousands of pending replicas that would take most of the controller's
/// processor time.
#[test]
fn preemption_skips_many_unplaceable_jobs_and_frees_capacity_for_one() {
    let (mut fixture, job) = full_machine(Priority::Low);
    for n in 0..2_000 {
        add_job(&mut fixture, &format!("j-{}", 10 + n), |s| {
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
        "preempted for the only job whose task can fit"
    );
}
