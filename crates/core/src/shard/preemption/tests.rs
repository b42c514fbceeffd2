//! Tests of `preempt`.

use crate::fixture::{spec, stopped, team_of, Fixture, WALL};
use crate::node::Node;
use crate::shard::job::StartState;
use forkshift_wire::users::{JobKind, JobSpec, Priority};
use forkshift_wire::workers::TaskStage;
use forkshift_wire::JobId;

/// CPUs of a task that runs; the fixture's machine has 96.
const RUNNING_CPUS: f64 = 12.0;

fn add(f: &mut Fixture, id: &str, change: impl FnOnce(&mut JobSpec)) -> JobId {
    let id = JobId::new(id);
    let team = team_of(f);
    let mut spec = spec(&id, &team, JobKind::Array, 8);
    spec.cpus = RUNNING_CPUS;
    change(&mut spec);
    let shard_id = f.shard;
    let Node { shards, ctx, .. } = &mut f.node;
    let shard = shards.get_mut(&shard_id).expect("the shard is held");
    shard.add_job(ctx, spec, None, WALL, 6);
    id
}

/// A machine that is full of tasks of one job; those with a higher index have run
/// for a shorter time.
fn full(priority: Priority) -> (Fixture, JobId) {
    let mut f = Fixture::new();
    let job = add(&mut f, "j-1", |s| s.priority = priority);
    let token = f.token();
    for index in 0..8 {
        f.bind(
            &job,
            index,
            StartState::SentByUs {
                token,
                incarnation: 1,
            },
        );
    }
    let now = f.node.ctx.now;
    let running = f.shard().jobs.get_mut(&job).expect("the job");
    for (index, binding) in &mut running.bound {
        binding.stage = Some(TaskStage::Running);
        binding.running_since = Some(now - 10_000 + u64::from(*index));
    }
    (f, job)
}

/// What is stopped for one waiting replica: as little as makes room, of those that
/// ran for the shortest, and only low or normal work.
#[test]
fn as_little_as_makes_room_is_stopped() {
    // Priority of what runs and of what waits, CPUs of one replica, what is stopped.
    let cases: [(Priority, Priority, f64, &[u32]); 6] = [
        (Priority::Low, Priority::Production, 10.0, &[7]),
        (Priority::Normal, Priority::Production, 12.0, &[7]),
        (Priority::Low, Priority::Production, 30.0, &[5, 6, 7]),
        (Priority::Low, Priority::Production, 97.0, &[]),
        (Priority::High, Priority::Production, 10.0, &[]),
        (Priority::Low, Priority::Normal, 10.0, &[]),
    ];
    for (runs, waits, cpus, expected) in cases {
        let (mut f, job) = full(runs);
        add(&mut f, "j-2", |s| {
            s.kind = JobKind::Service;
            s.priority = waits;
            s.cpus = cpus;
            s.tasks = 1;
        });
        f.step(2_000);
        assert_eq!(stopped(&mut f, &job), expected, "{runs:?} {waits:?} {cpus}");
    }
}

/// Machines are looked at once for all that wait, not once for each: thousands of
/// replicas once took four fifths of their holder's processor time.
#[test]
fn many_that_wait_for_the_same_stop_one_task() {
    let (mut f, job) = full(Priority::Low);
    for n in 0..2_000 {
        add(&mut f, &format!("j-{}", 10 + n), |s| {
            s.kind = JobKind::Service;
            s.priority = Priority::Production;
            s.cpus = if n < 1_999 { 97.0 } else { 10.0 };
            s.tasks = 1;
        });
    }
    f.step(2_000);
    assert_eq!(
        stopped(&mut f, &job),
        [7],
        "for the only one that can be helped"
    );
}
