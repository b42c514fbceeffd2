//! A long outage after a failover: the state service refuses the holder of a
//! shard alone, another takes the shard and confirms a cancellation, then the service is out for
//! all, for longer than a cancelled task may stay. Workers go on reporting to
//! the old holder. The task must be gone in time all the same.

use forkshift_testkit::job_id as id;
use forkshift_testkit::{
    ControllerSelector, DeploymentConfig, Fault, FaultKind, JobPlan, MachineFault, MachineSelector,
    Simulation,
};
use forkshift_wire::users::JobKind;

/// When the service begins to refuse the holder.
const REFUSED: u64 = 50_000;
/// Until the outage: longer than the holder's own lease, or shorter.
const LONG: u64 = 9_000;
const SHORT: u64 = 1_500;
/// How long the outage is: the users' 61 s of 49 s, in this world's measure.
const OUTAGE: u64 = 44_000;
const CANCEL: u64 = 35_000;
const NODES: usize = 5;

/// Which of the others the old holder hears.
#[derive(Clone, Copy, PartialEq, Debug)]
enum Hears {
    All,
    Some,
    None,
}

/// How the new holder reaches the workers directly.
#[derive(Clone, Copy, PartialEq, Debug)]
enum Reaches {
    AtOnce,
    Late,
    Never,
}

/// What becomes of the new holder after it confirmed.
#[derive(Clone, Copy, PartialEq, Debug)]
enum Then {
    Stays,
    Ends,
}

#[derive(Clone, Debug)]
struct Variant {
    before: u64,
    hears: Hears,
    reaches: Reaches,
    then: Then,
    machines: Option<MachineFault>,
}

const PLAIN: Variant = Variant {
    before: LONG,
    hears: Hears::All,
    reaches: Reaches::Never,
    then: Then::Stays,
    machines: None,
};

/// A long array of two tasks.
fn job(n: u32, cancel_at: Option<u64>) -> JobPlan {
    JobPlan {
        cancel_at,
        target_controller: Some(ControllerSelector::HolderOfJob(id(n))),
        ..JobPlan::plain(n, 2_000, JobKind::Array, 2, 300_000)
    }
}

fn holder() -> ControllerSelector {
    ControllerSelector::HolderOfJob(id(0))
}

/// The faults of one pair of troubles that begins at a time.
fn pair(at: u64, v: &Variant) -> Vec<Fault> {
    let (node, hold) = (0, false);
    let outage = at + v.before;
    let fault = |at, kind| Fault { at, kind };
    let all = OUTAGE + v.before;
    let mut faults = vec![
        fault(
            at,
            FaultKind::StoreLockout { node, time: 14_000 }.at(holder()),
        ),
        fault(outage, FaultKind::StoreOutage(OUTAGE)),
    ];
    let cut = |peers| FaultKind::PeerPartition {
        node,
        peers,
        time: all,
        holds_messages: hold,
    };
    match v.hears {
        Hears::All => {}
        Hears::Some => faults.push(fault(at, cut(Some(vec![0])).at(holder()))),
        Hears::None => faults.push(fault(at, cut(None).at(holder()))),
    }
    // Whoever takes over: direct commands are cut off from all of them.
    let time = match v.reaches {
        Reaches::AtOnce => 0,
        Reaches::Late => 20_000,
        Reaches::Never => all,
    };
    for node in (0..NODES).filter(|_| time > 0) {
        faults.push(fault(
            at,
            FaultKind::CommandPartition {
                node,
                time,
                holds_messages: hold,
            },
        ));
    }
    let taken_over = at + v.before / 2;
    if let Some(what) = v.machines {
        let kind = FaultKind::Machines(MachineSelector::RunningJob(id(0)), what);
        faults.push(fault(taken_over, kind));
    }
    if v.then == Then::Ends {
        let (count, restart_after) = (1, 3_000);
        let crash = FaultKind::Crash {
            node,
            count,
            restart_after,
        };
        faults.push(fault(outage + 100, crash.at(holder())));
    }
    faults
}

fn play(name: &str, seed: u64, v: &Variant, pairs: u64) {
    let gap = v.before + OUTAGE + 30_000;
    let cancel = |n: u64| REFUSED + n * gap + v.before.saturating_sub(3_500);
    let plans = (0..pairs).map(|n| job(n as u32, Some(cancel(n))));
    let mut faults: Vec<Fault> = (0..pairs)
        .flat_map(|n| pair(REFUSED + n * gap, v))
        .collect();
    faults.sort_by_key(|f| f.at);
    let size = DeploymentConfig {
        controllers: NODES,
        cancel_ms: CANCEL,
        ..DeploymentConfig::default()
    };
    let mut simulation = Simulation::with_config(seed, plans.collect(), faults, size);
    simulation.run_until(REFUSED - 10);
    assert_eq!(
        simulation.checker.running_tasks(&id(0)),
        2,
        "{name}: the job runs"
    );
    let epoch = simulation.epoch_of(&id(0));
    simulation.run_until(REFUSED + v.before);
    if v.before == LONG {
        assert!(
            simulation.epoch_of(&id(0)) > epoch,
            "{name}: another holds it"
        );
        assert!(
            simulation.cancelled_at(&id(0)).is_some(),
            "{name}: confirmed"
        );
        let cut = v.reaches == Reaches::Never && v.hears == Hears::None;
        if cut && v.then == Then::Stays {
            assert_eq!(
                simulation.checker.running_tasks(&id(0)),
                2,
                "{name}: it still runs"
            );
        }
    }
    simulation.run_until(REFUSED + pairs * gap + 60_000);
    assert_eq!(simulation.checker.violations, vec![], "{name}");
    for n in 0..pairs as u32 {
        assert!(simulation.cancelled_at(&id(n)).is_some(), "{name}: {n}");
        assert_eq!(simulation.checker.running_tasks(&id(n)), 0, "{name}: {n}");
    }
}

/// Each way in which the pair of troubles can fall, alone.
#[test]
fn a_cancelled_task_exits_in_time_whatever_fails_between_lockout_and_outage() {
    let long = OUTAGE + LONG;
    let variants = [
        PLAIN,
        Variant {
            before: SHORT,
            ..PLAIN
        },
        Variant {
            hears: Hears::Some,
            ..PLAIN
        },
        Variant {
            hears: Hears::None,
            ..PLAIN
        },
        Variant {
            reaches: Reaches::AtOnce,
            ..PLAIN
        },
        Variant {
            reaches: Reaches::Late,
            ..PLAIN
        },
        Variant {
            then: Then::Ends,
            ..PLAIN
        },
        Variant {
            hears: Hears::Some,
            then: Then::Ends,
            ..PLAIN
        },
        Variant {
            hears: Hears::None,
            then: Then::Ends,
            ..PLAIN
        },
        Variant {
            reaches: Reaches::AtOnce,
            then: Then::Ends,
            machines: Some(MachineFault::InboundLoss(9_000)),
            ..PLAIN
        },
        Variant {
            reaches: Reaches::AtOnce,
            machines: Some(MachineFault::Hang(long)),
            ..PLAIN
        },
        Variant {
            reaches: Reaches::AtOnce,
            machines: Some(MachineFault::Hang(9_000)),
            ..PLAIN
        },
        Variant {
            reaches: Reaches::AtOnce,
            machines: Some(MachineFault::Partition(long)),
            ..PLAIN
        },
        Variant {
            reaches: Reaches::AtOnce,
            machines: Some(MachineFault::Partition(9_000)),
            then: Then::Ends,
            ..PLAIN
        },
        Variant {
            machines: Some(MachineFault::OutboundLoss(9_000)),
            ..PLAIN
        },
    ];
    for (seed, variant) in (60..).zip(variants) {
        play(&format!("{variant:?}"), seed, &variant, 1);
    }
}

/// As on the users' day, the two pairs one after the other.
#[test]
fn a_cancelled_task_exits_in_time_when_lockout_and_outage_come_twice() {
    for (seed, then) in [(80, Then::Stays), (81, Then::Ends)] {
        let variant = Variant { then, ..PLAIN };
        play(&format!("twice, {then:?}"), seed, &variant, 2);
    }
}

/// The time for a cancellation counts from the first request, however many
/// holders the job has had since: its machines hang, and holders end one after
/// the other before any of them would give the machines up on its own count.
#[test]
fn the_deadline_of_a_cancellation_survives_changes_of_its_holder() {
    for (seed, restart_after) in [(90, 4_000), (91, 6_000)] {
        let (node, count) = (0, 1);
        let crash = |at| Fault {
            at,
            kind: FaultKind::Crash {
                node,
                count,
                restart_after,
            }
            .at(holder()),
        };
        let hang_ms = FaultKind::Machines(
            MachineSelector::RunningJob(id(0)),
            MachineFault::Hang(60_000),
        );
        let hang_ms = Fault {
            at: REFUSED,
            kind: hang_ms,
        };
        // Before a holder takes the machines for silent, it ends.
        let crashes = (0..6).map(|n| crash(REFUSED + 5_500 + n * 6_000));
        let faults = [hang_ms].into_iter().chain(crashes).collect();
        let size = DeploymentConfig {
            controllers: NODES,
            cancel_ms: CANCEL,
            ..DeploymentConfig::default()
        };
        let plans = vec![job(0, Some(REFUSED + 100))];
        let mut simulation = Simulation::with_config(seed, plans, faults, size);
        simulation.run_until(REFUSED + 5_000);
        let confirmed = simulation.cancelled_at(&id(0)).expect("confirmed");
        assert_eq!(
            simulation.checker.running_tasks(&id(0)),
            2,
            "its machines hang"
        );
        simulation.run_until(confirmed + CANCEL);
        assert_eq!(
            simulation.checker.running_tasks(&id(0)),
            0,
            "back after {restart_after} ms"
        );
        simulation.run_until(200_000);
        assert_eq!(
            simulation.checker.violations,
            vec![],
            "back after {restart_after} ms"
        );
    }
}
