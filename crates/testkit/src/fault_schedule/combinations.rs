//! Combinations of faults that once violated a rule, or are close to such ones.

use super::random_job;
use crate::faults::{ControllerSelector, Fault, FaultKind, MachineFault, MachineSelector};
use crate::Ms;
use rand::rngs::StdRng;
use rand::Rng;

/// Index of a fault whose controller is selected as it begins.
const PLACEHOLDER_CONTROLLER: usize = 0;
/// Downtime of a crashed controller after which others have taken over.
const DOWNTIME_MS: Ms = 5_000;
/// Downtime of a crashed controller that is soon back.
const SHORT_DOWNTIME_MS: Ms = 900;
/// Downtime of all controllers that is longer than a worker's lease.
const LONG_DOWNTIME_MS: Ms = 14_000;
/// Changes of the leader, and the time between them.
const LEADER_CHANGES: u64 = 8;
const LEADER_CHANGE_INTERVAL_MS: Ms = 9_000;

/// Faults with the times at which they begin.
type TimedFaults = Vec<(Ms, FaultKind)>;

/// The times, durations and targets of a combination, all drawn before its kind.
struct CombinationDraws {
    at: Ms,
    soon: Ms,
    later: Ms,
    controller: ControllerSelector,
    /// A duration like that of single faults.
    time: Ms,
    /// A duration longer than a cancellation may take.
    long_time: Ms,
    /// Users cancel running jobs.
    cancel: FaultKind,
    lost_writes: FaultKind,
    holds_messages: bool,
    /// When another controller has taken over from one that fails at `at`.
    failover: Ms,
    after_failover: Ms,
}

impl CombinationDraws {
    fn new(rng: &mut StdRng, at: Ms, jobs: u32) -> Self {
        let soon = at + rng.random_range(0..4_000);
        let later = soon + rng.random_range(0..4_000);
        let controller = match rng.random() {
            true => ControllerSelector::Leader,
            false => ControllerSelector::HolderOfJob(random_job(rng, jobs)),
        };
        let time = rng.random_range(2_000..25_000);
        let long_time = rng.random_range(36_000..70_000);
        let cancel = FaultKind::CancelRunningJobs {
            count: rng.random_range(2..12),
            hang_ms: if rng.random() { time } else { 0 },
        };
        let lost_writes = FaultKind::LostWriteResponses {
            percent: 60,
            key_prefix: None,
            executes_at_once: rng.random(),
            time: time + 10_000,
        };
        let holds_messages = rng.random();
        let failover = at + rng.random_range(5_000..16_000);
        let after_failover = failover + rng.random_range(0..2_500);
        Self {
            at,
            soon,
            later,
            controller,
            time,
            long_time,
            cancel,
            lost_writes,
            holds_messages,
            failover,
            after_failover,
        }
    }

    fn cancel(&self) -> FaultKind {
        self.cancel.clone()
    }

    fn long_outage(&self) -> FaultKind {
        FaultKind::StoreOutage(self.long_time)
    }

    fn status_bursts(&self) -> FaultKind {
        FaultKind::StatusBursts(self.time + 15_000)
    }

    fn at_controller(&self, kind: FaultKind) -> FaultKind {
        kind.at(self.controller.clone())
    }

    fn lockout(&self) -> FaultKind {
        self.at_controller(FaultKind::StoreLockout {
            node: PLACEHOLDER_CONTROLLER,
            time: self.time,
        })
    }

    fn crash(&self, restart_after: Ms) -> FaultKind {
        self.at_controller(FaultKind::Crash {
            node: PLACEHOLDER_CONTROLLER,
            count: 1,
            restart_after,
        })
    }

    /// The controller is partitioned from the store.
    fn store_partition(&self) -> FaultKind {
        self.at_controller(FaultKind::ServicePartition {
            node: PLACEHOLDER_CONTROLLER,
            store: true,
            workers: false,
            cloud: false,
            time: self.long_time,
            holds_messages: false,
        })
    }

    /// The controller is partitioned from its peers.
    fn peer_partition(&self) -> FaultKind {
        self.at_controller(FaultKind::PeerPartition {
            node: PLACEHOLDER_CONTROLLER,
            peers: None,
            time: self.long_time,
            holds_messages: self.holds_messages,
        })
    }

    /// A fault of the machines of the controller's shards.
    fn machines(&self, fault: MachineFault) -> FaultKind {
        FaultKind::Machines(MachineSelector::HeldBy(self.controller.clone()), fault)
    }

    /// The controller is locked out of the store alone, then comes an outage that is longer
    /// than a cancellation may take.
    fn lockout_then_outage(&self) -> TimedFaults {
        vec![
            (self.at, self.lockout()),
            (self.soon, self.long_outage()),
            (self.later, self.cancel()),
        ]
    }

    fn cancel_then_lockout_and_outage(&self) -> TimedFaults {
        vec![
            (self.at, self.cancel()),
            (self.at, self.lockout()),
            (self.soon, self.long_outage()),
        ]
    }

    /// The controller is partitioned from the store and not from the workers.
    fn store_partition_then_cancel(&self) -> TimedFaults {
        vec![
            (self.at, self.store_partition()),
            (self.later, self.cancel()),
        ]
    }

    fn inbound_loss_then_crash(&self) -> TimedFaults {
        vec![
            (
                self.at,
                self.machines(MachineFault::InboundLoss(self.long_time)),
            ),
            (self.soon, self.crash(DOWNTIME_MS)),
            (self.later, self.cancel()),
        ]
    }

    fn late_heartbeats_then_lockout(&self) -> TimedFaults {
        let late_heartbeats = FaultKind::LateHeartbeats {
            percent: 50,
            until_failover: true,
            time: self.time + 5_000,
        };
        vec![
            (self.at, late_heartbeats),
            (self.soon, self.lockout()),
            (self.later, self.cancel()),
        ]
    }

    fn fast_boots_with_lost_writes(&self) -> TimedFaults {
        vec![
            (self.at, FaultKind::FastBoots(self.time + 10_000)),
            (self.at, self.lost_writes.clone()),
            (self.later, self.crash(DOWNTIME_MS)),
        ]
    }

    fn status_bursts_with_lost_writes(&self) -> TimedFaults {
        vec![
            (self.at, self.status_bursts()),
            (self.soon, self.lost_writes.clone()),
            (self.later, self.cancel()),
        ]
    }

    fn status_bursts_with_crash(&self) -> TimedFaults {
        vec![
            (self.at, self.status_bursts()),
            (self.soon, self.crash(SHORT_DOWNTIME_MS)),
            (self.soon, self.cancel()),
        ]
    }

    /// All controllers are down for longer than a worker's lease.
    fn cancel_then_crash_of_all(&self) -> TimedFaults {
        let crash = FaultKind::Crash {
            node: PLACEHOLDER_CONTROLLER,
            count: 3,
            restart_after: LONG_DOWNTIME_MS,
        };
        vec![(self.at, self.cancel()), (self.soon, crash)]
    }

    fn outbound_loss_then_outage(&self) -> TimedFaults {
        vec![
            (
                self.at,
                self.machines(MachineFault::OutboundLoss(self.time)),
            ),
            (self.soon, self.cancel()),
            (self.later, self.long_outage()),
        ]
    }

    /// Another controller has taken over, confirms cancellations and can't reach the
    /// workers; then nothing can be written.
    fn failover_without_command_links(&self) -> TimedFaults {
        let command_partition = |node| FaultKind::CommandPartition {
            node,
            time: self.long_time,
            holds_messages: self.holds_messages,
        };
        vec![
            (self.at, self.lockout()),
            (self.at, command_partition(0)),
            (self.at, command_partition(1)),
            (self.at, command_partition(2)),
            (self.failover, self.cancel()),
            (self.after_failover, self.long_outage()),
        ]
    }

    fn failover_then_outage(&self) -> TimedFaults {
        vec![
            (self.at, self.lockout()),
            (self.failover, self.cancel()),
            (self.after_failover, self.long_outage()),
        ]
    }

    /// The old leader or holder is partitioned from the store and its peers.
    fn failover_from_isolated_controller(&self) -> TimedFaults {
        vec![
            (self.at, self.store_partition()),
            (self.at, self.peer_partition()),
            (self.failover, self.cancel()),
            (self.after_failover, self.status_bursts()),
        ]
    }

    /// The leader changes again and again.
    fn leader_changes(&self, rng: &mut StdRng) -> TimedFaults {
        let lockouts = (0..LEADER_CHANGES).map(|change| {
            let lockout = FaultKind::StoreLockout {
                node: PLACEHOLDER_CONTROLLER,
                time: rng.random_range(1_000..12_000),
            };
            let at = self.at + change * LEADER_CHANGE_INTERVAL_MS;
            (at, lockout.at(ControllerSelector::Leader))
        });
        lockouts.chain([(self.later, self.cancel())]).collect()
    }
}

/// A combination of faults that begins at a time.
pub(super) fn random_combination(rng: &mut StdRng, at: Ms, jobs: u32) -> Vec<Fault> {
    let draws = CombinationDraws::new(rng, at, jobs);
    let faults = match rng.random_range(0..15) {
        0 | 1 => draws.lockout_then_outage(),
        2 => draws.cancel_then_lockout_and_outage(),
        3 => draws.store_partition_then_cancel(),
        4 => draws.inbound_loss_then_crash(),
        5 => draws.late_heartbeats_then_lockout(),
        6 => draws.fast_boots_with_lost_writes(),
        7 => draws.status_bursts_with_lost_writes(),
        8 => draws.status_bursts_with_crash(),
        9 => draws.cancel_then_crash_of_all(),
        10 => draws.outbound_loss_then_outage(),
        11 => draws.failover_without_command_links(),
        12 => draws.failover_then_outage(),
        13 => draws.failover_from_isolated_controller(),
        _ => draws.leader_changes(rng),
    };
    let faults = faults.into_iter();
    faults.map(|(at, kind)| Fault { at, kind }).collect()
}
