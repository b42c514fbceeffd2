//! Schedules of faults drawn from a seed.

use crate::faults::{ControllerSelector, Fault, FaultKind, MachineFault, Which, ZONES};
use crate::Ms;
use forkshift_wire::JobId;
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::Rng;

/// Kinds that a seed chooses from: seeds that once showed a failure chose from
/// fewer than there are now.
const EARLY_KINDS: u32 = 16;

const KINDS: u32 = 19;

/// Pause between two turns of an upgrade.
const UPGRADE_INTERVAL: std::ops::Range<Ms> = 2_000..15_000;

/// A schedule of faults between two times, as seeds drew them once.
pub fn random_early_faults(rng: &mut StdRng, from: Ms, to: Ms, n: usize) -> Vec<Fault> {
    random_schedule(rng, from, to, n, EARLY_KINDS)
}

/// A schedule of faults of all kinds between two times.
pub fn random_faults(rng: &mut StdRng, from: Ms, to: Ms, n: usize) -> Vec<Fault> {
    random_schedule(rng, from, to, n, KINDS)
}

/// An upgrade of all controllers, one or two at a time and in any order, and
/// lower limits some time after it, perhaps before the last one is back.
pub fn random_upgrade(rng: &mut StdRng, from: Ms, nodes: usize) -> Vec<Fault> {
    let mut order: Vec<usize> = (0..nodes).collect();
    order.shuffle(rng);
    let mut at = from;
    let mut faults = Vec::new();
    for node in order {
        let restart_after = rng.random_range(500..6_000);
        let kind = FaultKind::Upgrade {
            node,
            restart_after,
        };
        faults.push(Fault { at, kind });
        if rng.random_range(0..4) > 0 {
            at += rng.random_range(UPGRADE_INTERVAL);
        }
    }
    at += 8_000 + rng.random_range(0..30_000);
    let kind = FaultKind::LowerLimits;
    faults.push(Fault { at, kind });
    faults
}

fn random_schedule(rng: &mut StdRng, from: Ms, to: Ms, n: usize, kinds: u32) -> Vec<Fault> {
    let mut faults: Vec<Fault> = (0..n)
        .map(|_| Fault {
            at: rng.random_range(from..to),
            kind: random_kind(rng, kinds),
        })
        .collect();
    faults.sort_by_key(|f| f.at);
    faults
}

fn random_kind(rng: &mut StdRng, kinds: u32) -> FaultKind {
    let node = rng.random_range(0..3);
    let time = rng.random_range(2_000..25_000);
    match rng.random_range(0..kinds) {
        0 | 1 => FaultKind::Crash {
            node,
            count: rng.random_range(1..=3),
            restart_after: *[50, 300, 3_000, 6_000]
                .get(rng.random_range(0..4))
                .unwrap_or(&50),
        },
        2 => FaultKind::Cut {
            node,
            state: true,
            workers: false,
            cloud: false,
            time,
            hold: rng.random(),
        },
        3 => FaultKind::Cut {
            node,
            state: false,
            workers: true,
            cloud: false,
            time,
            hold: rng.random(),
        },
        4 => FaultKind::Cut {
            node,
            state: true,
            workers: true,
            cloud: true,
            time,
            hold: rng.random(),
        },
        5 => FaultKind::StoreRefusal { node, time },
        6 => FaultKind::StoreOutage(time),
        7 => FaultKind::CloudOutage(time),
        8 => FaultKind::SlowTimers { node, time },
        9 => FaultKind::MachineCrash,
        10 => FaultKind::MachineHang(time),
        11 => FaultKind::MachinePartition(time),
        12 => FaultKind::MachineInboundBlocked(time),
        13 => FaultKind::MachineFailsTasks(time),
        14 => FaultKind::SpotReclaim {
            notice: if rng.random() { 0 } else { 4_000 },
        },
        16 => FaultKind::ZonePartition {
            zone: ZONES[rng.random_range(0..3)],
            time,
            hold: rng.random(),
        },
        17 => FaultKind::SlowStore(time),
        18 => FaultKind::LateWrites(time),
        15 if rng.random() => FaultKind::LostResponses(time),
        _ => FaultKind::LateHeartbeatCopies(time),
    }
}

/// A schedule of pairs of troubles close together, of all kinds, also of
/// controllers and machines named by what they are. Their jobs are the first
/// `jobs` of a day's.
pub fn random_pairs(rng: &mut StdRng, from: Ms, to: Ms, pairs: usize, jobs: u32) -> Vec<Fault> {
    let mut faults = Vec::new();
    for _ in 0..pairs {
        let at = rng.random_range(from..to);
        if rng.random_range(0..3) == 0 {
            random_combination(rng, at, jobs, &mut faults);
            continue;
        }
        // Together, just after one another, or a little apart.
        let apart = match rng.random_range(0..3) {
            0 => rng.random_range(0..200),
            1 => rng.random_range(200..3_000),
            _ => rng.random_range(3_000..15_000),
        };
        for at in [at, at + apart] {
            let kind = random_fault(rng, jobs);
            faults.push(Fault { at, kind });
        }
    }
    faults.sort_by_key(|f| f.at);
    faults
}

/// One of the combinations of faults that once broke a rule, or were feared to.
fn random_combination(rng: &mut StdRng, at: Ms, jobs: u32, faults: &mut Vec<Fault>) {
    let node = 0;
    let soon = at + rng.random_range(0..4_000);
    let later = soon + rng.random_range(0..4_000);
    let who = match rng.random() {
        true => ControllerSelector::Leader,
        false => ControllerSelector::HolderOfJob(random_job(rng, jobs)),
    };
    let time = rng.random_range(2_000..25_000);
    let long = rng.random_range(36_000..70_000);
    let cancels = FaultKind::CancelRunningJobs {
        count: rng.random_range(2..12),
        hang_ms: if rng.random() { time } else { 0 },
    };
    let crash = |restart_after| FaultKind::Crash {
        node,
        count: 1,
        restart_after,
    };
    let all_crash = |restart_after| FaultKind::Crash {
        node,
        count: 3,
        restart_after,
    };
    let shut = FaultKind::StoreLockout { node, time };
    let looks = FaultKind::StatusBursts(time + 15_000);
    let lost = FaultKind::LostWriteResponses {
        percent: 60,
        key_prefix: None,
        executes_at_once: rng.random(),
        time: time + 10_000,
    };
    let cut = |time| FaultKind::Cut {
        node,
        state: true,
        workers: false,
        cloud: false,
        time,
        hold: false,
    };
    let machines = |fault| FaultKind::Machines(Which::HeldBy(who.clone()), fault);
    let hold = rng.random();
    let taken_over = at + rng.random_range(5_000..16_000);
    let after = taken_over + rng.random_range(0..2_500);
    let unheard = |which| FaultKind::CommandPartition {
        node: which,
        time: long,
        hold,
    };
    let combination: Vec<(Ms, FaultKind)> = match rng.random_range(0..15) {
        // Refused alone, then an outage longer than a cancellation may take.
        0 | 1 => vec![
            (at, shut.at(who)),
            (soon, FaultKind::StoreOutage(long)),
            (later, cancels),
        ],
        2 => vec![
            (at, cancels),
            (at, shut.at(who)),
            (soon, FaultKind::StoreOutage(long)),
        ],
        // Cut off from the state service and its peers, not from workers.
        3 => vec![(at, cut(long).at(who)), (later, cancels)],
        4 => vec![
            (at, machines(MachineFault::InboundLoss(long))),
            (soon, crash(5_000).at(who)),
            (later, cancels),
        ],
        5 => vec![
            (
                at,
                FaultKind::LateHeartbeats {
                    percent: 50,
                    until_failover: true,
                    time: time + 5_000,
                },
            ),
            (soon, shut.at(who)),
            (later, cancels),
        ],
        6 => vec![
            (at, FaultKind::FastBoots(time + 10_000)),
            (at, lost),
            (later, crash(5_000).at(who)),
        ],
        7 => vec![(at, looks), (soon, lost), (later, cancels)],
        8 => vec![(at, looks), (soon, crash(900).at(who)), (soon, cancels)],
        // All away for longer than a worker's lease.
        9 => vec![(at, cancels), (soon, all_crash(14_000))],
        10 => vec![
            (at, machines(MachineFault::OutboundLoss(time))),
            (soon, cancels),
            (later, FaultKind::StoreOutage(long)),
        ],
        // Another has taken over and says that jobs are cancelled, and can not
        // reach the workers; then nothing can be written.
        11 => vec![
            (at, shut.at(who)),
            (at, unheard(0)),
            (at, unheard(1)),
            (at, unheard(2)),
            (taken_over, cancels),
            (after, FaultKind::StoreOutage(long)),
        ],
        12 => vec![
            (at, shut.at(who)),
            (taken_over, cancels),
            (after, FaultKind::StoreOutage(long)),
        ],
        // The old one is cut off from the state service and its peers.
        13 => vec![
            (at, cut(long).at(who.clone())),
            (
                at,
                FaultKind::PeerPartition {
                    node,
                    peers: None,
                    time: long,
                    hold,
                }
                .at(who),
            ),
            (taken_over, cancels),
            (after, looks),
        ],
        // Leaders change again and again.
        _ => (0..8)
            .map(|i| {
                let shut = FaultKind::StoreLockout {
                    node,
                    time: rng.random_range(1_000..12_000),
                };
                (at + i * 9_000, shut.at(ControllerSelector::Leader))
            })
            .chain([(later, cancels)])
            .collect(),
    };
    faults.extend(combination.into_iter().map(|(at, kind)| Fault { at, kind }));
}

fn random_job(rng: &mut StdRng, jobs: u32) -> JobId {
    JobId::new(&format!("j-{:06}", rng.random_range(0..jobs)))
}

fn random_controller(rng: &mut StdRng, jobs: u32) -> ControllerSelector {
    match rng.random_range(0..5) {
        0 | 1 => ControllerSelector::Leader,
        2 => ControllerSelector::HolderOfJob(random_job(rng, jobs)),
        3 => ControllerSelector::NextAfter(Box::new(ControllerSelector::Leader)),
        _ => ControllerSelector::Index(rng.random_range(0..3)),
    }
}

fn random_machine_fault(rng: &mut StdRng, jobs: u32) -> FaultKind {
    let time = rng.random_range(2_000..30_000);
    let which = match rng.random_range(0..4) {
        0 => Which::RunningJob(random_job(rng, jobs)),
        1 => Which::HeldBy(random_controller(rng, jobs)),
        2 => Which::InZone(ZONES[rng.random_range(0..3)]),
        _ => Which::Some(rng.random_range(1..5)),
    };
    let fault = match rng.random_range(0..6) {
        0 => MachineFault::Hang(time),
        1 => MachineFault::Partition(time),
        2 => MachineFault::InboundLoss(time),
        3 => MachineFault::OutboundLoss(time),
        4 => MachineFault::SlowLink(time),
        _ => MachineFault::Die,
    };
    FaultKind::Machines(which, fault)
}

fn random_fault(rng: &mut StdRng, jobs: u32) -> FaultKind {
    let node = 0;
    let time = rng.random_range(2_000..25_000);
    let percent = rng.random_range(5..60);
    let hold = rng.random();
    match rng.random_range(0..24) {
        0 | 1 => random_kind(rng, KINDS),
        2 => FaultKind::Crash {
            node,
            count: rng.random_range(1..=3),
            restart_after: *[50, 900, 5_000, 14_000]
                .get(rng.random_range(0..4))
                .unwrap_or(&50),
        }
        .at(random_controller(rng, jobs)),
        3 | 4 => FaultKind::StoreLockout { node, time }.at(random_controller(rng, jobs)),
        // Also longer than a cancellation may take.
        5 | 6 => FaultKind::StoreOutage(rng.random_range(2_000..62_000)),
        7 => FaultKind::Cut {
            node,
            state: true,
            workers: false,
            cloud: rng.random(),
            time: rng.random_range(2_000..50_000),
            hold,
        }
        .at(random_controller(rng, jobs)),
        8 => FaultKind::PeerPartition {
            node,
            peers: rng.random::<bool>().then(|| vec![rng.random_range(0..3)]),
            time,
            hold,
        }
        .at(random_controller(rng, jobs)),
        9 => FaultKind::CommandPartition { node, time, hold }.at(random_controller(rng, jobs)),
        10 => FaultKind::Pause { node, time }.at(random_controller(rng, jobs)),
        11..=13 => random_machine_fault(rng, jobs),
        14 | 15 => FaultKind::LostWriteResponses {
            percent,
            key_prefix: [None, Some("live/"), Some("c/"), Some("job/")][rng.random_range(0..4)],
            executes_at_once: rng.random(),
            time,
        },
        16 => FaultKind::LateHeartbeats {
            percent,
            until_failover: rng.random(),
            time,
        },
        17 => FaultKind::FastBoots(time),
        18 => FaultKind::DelayedCommands { percent, time },
        19 | 20 => FaultKind::CancelRunningJobs {
            count: rng.random_range(1..8),
            hang_ms: if rng.random() { time } else { 0 },
        },
        21 => FaultKind::CancelCompletingJobs { percent, time },
        22 => FaultKind::UnusualRequests(time),
        _ => FaultKind::StatusBursts(time),
    }
}
