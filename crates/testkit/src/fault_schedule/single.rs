//! Random single faults.

use super::{random_controller, random_job, KINDS};
use crate::faults::{FaultKind, MachineFault, MachineSelector, RepeatedReceiver, ZONES};
use crate::Ms;
use rand::rngs::StdRng;
use rand::Rng;

/// Downtimes of crashed controllers on days with single faults.
const DOWNTIMES_MS: [Ms; 4] = [50, 300, 3_000, 6_000];
/// Downtimes of crashed controllers on days with pairs of faults. The longest exceeds the default
/// lease of a worker, 10 s.
const LONG_DOWNTIMES_MS: [Ms; 4] = [50, 900, 5_000, 14_000];
/// Time from the notice to the reclaim of spot machines, for reclaims with a notice.
const SPOT_NOTICE_MS: Ms = 4_000;

/// Draws a fault of one of the first `kinds` kinds.
pub(super) fn random_kind(rng: &mut StdRng, kinds: u32) -> FaultKind {
    let node = rng.random_range(0..3);
    let time = rng.random_range(2_000..25_000);
    match rng.random_range(0..kinds) {
        0 | 1 => random_crash(rng, node, &DOWNTIMES_MS),
        2 => random_service_partition(rng, node, [true, false, false], time),
        3 => random_service_partition(rng, node, [false, true, false], time),
        4 => random_service_partition(rng, node, [true, true, true], time),
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
            notice: if rng.random() { 0 } else { SPOT_NOTICE_MS },
        },
        16 => FaultKind::ZonePartition {
            zone: random_zone(rng),
            time,
            holds_messages: rng.random(),
        },
        17 => FaultKind::SlowStore(time),
        18 => FaultKind::LateWrites(time),
        15 if rng.random() => FaultKind::LostResponses(time),
        _ => FaultKind::LateHeartbeatCopies(time),
    }
}

/// Draws a fault of any kind, including faults of controllers and machines that are selected by
/// their role. It may refer to the first `jobs` jobs of the day.
pub(super) fn random_fault(rng: &mut StdRng, jobs: u32) -> FaultKind {
    let time = rng.random_range(2_000..25_000);
    let percent = rng.random_range(5..60);
    let holds_messages = rng.random();
    match rng.random_range(0..24) {
        0 | 1 => random_kind(rng, KINDS),
        kind @ (2..=4 | 7..=10) => {
            let fault = random_controller_fault(rng, kind, time, holds_messages);
            fault.at(random_controller(rng, jobs))
        }
        // The range exceeds the default time for a cancellation, 35 s.
        5 | 6 => FaultKind::StoreOutage(rng.random_range(2_000..62_000)),
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

/// Draws a fault that repeats executed requests to a random kind of receiver.
pub(super) fn random_repeat(rng: &mut StdRng) -> FaultKind {
    let receivers = [
        RepeatedReceiver::Worker,
        RepeatedReceiver::Store,
        RepeatedReceiver::Cloud,
    ];
    FaultKind::RepeatedRequests {
        receiver: receivers[rng.random_range(0..receivers.len())],
        percent: rng.random_range(5..60),
        time: rng.random_range(5_000..40_000),
    }
}

/// Draws a fault of a controller, whose index is filled in when the fault begins. `kind` is the
/// number that [`random_fault`] drew.
fn random_controller_fault(
    rng: &mut StdRng,
    kind: u32,
    time: Ms,
    holds_messages: bool,
) -> FaultKind {
    let node = 0;
    match kind {
        2 => random_crash(rng, node, &LONG_DOWNTIMES_MS),
        3 | 4 => FaultKind::StoreLockout { node, time },
        7 => FaultKind::ServicePartition {
            node,
            store: true,
            workers: false,
            cloud: rng.random(),
            time: rng.random_range(2_000..50_000),
            holds_messages,
        },
        8 => FaultKind::PeerPartition {
            node,
            peers: rng.random::<bool>().then(|| vec![rng.random_range(0..3)]),
            time,
            holds_messages,
        },
        9 => FaultKind::CommandPartition {
            node,
            time,
            holds_messages,
        },
        _ => FaultKind::Pause { node, time },
    }
}

fn random_crash(rng: &mut StdRng, node: usize, downtimes: &[Ms; 4]) -> FaultKind {
    FaultKind::Crash {
        node,
        count: rng.random_range(1..=3),
        restart_after: downtimes[rng.random_range(0..downtimes.len())],
    }
}

/// Draws a partition of a controller from the store, the workers and the cloud, as flagged.
fn random_service_partition(
    rng: &mut StdRng,
    node: usize,
    [store, workers, cloud]: [bool; 3],
    time: Ms,
) -> FaultKind {
    FaultKind::ServicePartition {
        node,
        store,
        workers,
        cloud,
        time,
        holds_messages: rng.random(),
    }
}

fn random_zone(rng: &mut StdRng) -> &'static str {
    ZONES[rng.random_range(0..ZONES.len())]
}

fn random_machine_fault(rng: &mut StdRng, jobs: u32) -> FaultKind {
    let time = rng.random_range(2_000..30_000);
    let which = match rng.random_range(0..4) {
        0 => MachineSelector::RunningJob(random_job(rng, jobs)),
        1 => MachineSelector::HeldBy(random_controller(rng, jobs)),
        2 => MachineSelector::InZone(random_zone(rng)),
        _ => MachineSelector::Random(rng.random_range(1..5)),
    };
    let fault = match rng.random_range(0..6) {
        0 => MachineFault::Hang(time),
        1 => MachineFault::Partition(time),
        2 => MachineFault::InboundLoss(time),
        3 => MachineFault::OutboundLoss(time),
        4 => MachineFault::SlowLink(time),
        _ => MachineFault::Crash,
    };
    FaultKind::Machines(which, fault)
}
