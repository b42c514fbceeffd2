//! Combinations of faults that violated a rule in the past, and variants of them.

use super::random_job;
use crate::faults::{ControllerSelector, Fault, FaultKind, MachineFault, MachineSelector};
use crate::Ms;
use rand::rngs::StdRng;
use rand::Rng;

/// Index in a fault whose controller is selected when it begins, and replaced then.
const PLACEHOLDER_CONTROLLER: usize = 0;
/// Downtime of a crashed controller that is long enough for a failover to other controllers.
const DOWNTIME_MS: Ms = 5_000;
/// Downtime of a crashed controller that restarts quickly.
const SHORT_DOWNTIME_MS: Ms = 900;
/// Downtime of all controllers that exceeds the lease of a worker, 10 s.
const LONG_DOWNTIME_MS: Ms = 14_000;
/// Number of times that the leader is locked out of the store, to force repeated elections.
const LEADER_CHANGES: u64 = 8;
/// Time between these lockouts.
const LEADER_CHANGE_INTERVAL_MS: Ms = 9_000;

/// Faults, each with the time at which it begins.
type TimedFaults = Vec<(Ms, FaultKind)>;

/// The times, durations and targets of a combination. All are drawn before the kind of the
/// combination, whether or not that kind uses them.
struct CombinationDraws {
    /// Start of the combination.
    at: Ms,
    /// Up to 4 s after `at`.
    soon: Ms,
    /// Up to 4 s after `soon`.
    later: Ms,
    /// The leader, or the holder of a job's shard.
    controller: ControllerSelector,
    /// A duration in the range of single faults, 2 to 25 s.
    time: Ms,
    /// A duration that exceeds the default time for a cancellation, 35 s.
    long_time: Ms,
    /// Cancellation of running jobs, with or without a hang of their machines.
    cancel: FaultKind,
    lost_writes: FaultKind,
    holds_messages: bool,
    /// Time at which a failover from a controller that failed at `at` may have completed.
    failover: Ms,
    /// Up to 2.5 s after `failover`.
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

    /// The selected controller does not reach the store.
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

    /// The selected controller does not reach its peers.
    fn peer_partition(&self) -> FaultKind {
        self.at_controller(FaultKind::PeerPartition {
            node: PLACEHOLDER_CONTROLLER,
            peers: None,
            time: self.long_time,
            holds_messages: self.holds_messages,
        })
    }

    /// A fault of the machines of the selected controller's shards.
    fn machines(&self, fault: MachineFault) -> FaultKind {
        FaultKind::Machines(MachineSelector::HeldBy(self.controller.clone()), fault)
    }

    /// The selected controller alone is locked out of the store, followed by an outage of the store
    /// for all that exceeds the time for a cancellation.
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

    /// The selected controller does not reach the store, but still reaches the workers.
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

    /// All controllers of a default deployment are down for longer than the lease of a worker.
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

    /// After a failover the new holder confirms cancellations while no controller's commands reach
    /// the workers; then an outage of the store prevents all writes.
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

    /// The previous leader or holder reaches neither the store nor its peers, so it does not learn of
    /// the failover.
    fn failover_from_isolated_controller(&self) -> TimedFaults {
        vec![
            (self.at, self.store_partition()),
            (self.at, self.peer_partition()),
            (self.failover, self.cancel()),
            (self.after_failover, self.status_bursts()),
        ]
    }

    /// The leader is locked out of the store repeatedly.
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

/// Draws a combination of faults that begins at a time. It may refer to the first `jobs` jobs of
/// the day.
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
