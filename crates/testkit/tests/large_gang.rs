//! A gang of 512 tasks: it is recorded and started within the transactions that the
//! state service takes, also when its holder ends between any two writes.

use forkshift_testkit::job_id as id;
use forkshift_testkit::{FaultKind, Plan, Size, Who, World};
use forkshift_wire::users::{JobKind, JobStage};

type Ms = u64;

const TASKS: u32 = 512;
const SUBMITTED: Ms = 25_000;
const RUN: Ms = 15_000;
const END: Ms = 200_000;

fn world(seed: u64) -> World {
    let mut gang = Plan::plain(0, SUBMITTED, JobKind::Gang, TASKS, RUN);
    gang.spec.cpus = 1.0;
    gang.spec.gpus = 0.0;
    gang.spec.memory_gb = 1.0;
    let size = Size {
        capacity: 20,
        limit: (1_000.0, 100.0),
        ..Size::default()
    };
    World::sized(seed, vec![gang], Vec::new(), size)
}

/// Plays until so many changes were written since the gang was accepted, or the end.
fn play_writes(world: &mut World, writes: u64) {
    while !world.check.is_accepted(&id(0)) && world.now() < END {
        world.run_until(world.now() + 10);
    }
    let from = world.writes();
    while world.writes() < from + writes && world.now() < END {
        world.run_until(world.now() + 10);
    }
}

fn finish(world: &mut World, what: &str) {
    while world.check.told(&id(0)).is_none() && world.now() < END {
        world.run_until(world.now() + 1_000);
    }
    world.close();
    assert_eq!(world.check.told(&id(0)), Some(JobStage::Done), "{what}");
    assert_eq!(world.check.broken, vec![], "{what}");
    assert_eq!(world.unserved(), Vec::<String>::new(), "{what}");
    assert_eq!(world.too_large(), 0, "{what}: a transaction was too large");
}

/// What a whole gang writes fits into the service's transactions.
#[test]
fn a_gang_of_512_is_recorded_within_the_limits() {
    let mut world = world(900);
    world.keep_formats();
    finish(&mut world, "nothing goes wrong");
    let mut records = world.kept_records().iter();
    assert!(
        records.any(|(key, _)| key.ends_with("/5")),
        "its last block"
    );
    let began = world.check.began_at(&id(0)).expect("it began");
    assert!(began < SUBMITTED + 60_000, "it began at {began}");
}

/// The holder ends after each number of changes that the gang takes from its
/// acceptance until it is done; all 512 tasks run at the same time all the same.
#[test]
fn a_holder_may_end_between_any_two_writes_of_a_large_gang() {
    let mut whole = world(900);
    play_writes(&mut whole, 0);
    let from = whole.writes();
    finish(&mut whole, "nothing goes wrong");
    let changes = whole.writes() - from;
    assert!(
        changes > 12,
        "it takes several transactions: {changes} changes"
    );
    for writes in 0..changes {
        let mut world = world(900);
        play_writes(&mut world, writes);
        let crash = FaultKind::Crash {
            node: 0,
            count: 1,
            back: 3_000,
        };
        world.fault_now(FaultKind::At(Who::HolderOf(id(0)), Box::new(crash)));
        finish(
            &mut world,
            &format!("the holder ends after {writes} changes"),
        );
    }
}
