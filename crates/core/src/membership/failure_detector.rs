//! Failure detection: tells failed machines from a partitioned zone and from an isolated
//! controller.
//!
//! A machine is silent if its holder, the controller that holds its shard, receives no
//! heartbeats from it. A single silent machine is treated as failed and is replaced. Many
//! machines that become silent at the same time indicate a network fault instead:
//!
//! - If nearly all machines of a holder are silent, the holder is isolated from its workers.
//!   It hands its shards over to a controller that may receive the heartbeats. Deleting the
//!   machines would delete a whole healthy fleet.
//! - If most machines of one zone are silent, the zone is partitioned. Controllers inside the
//!   zone keep its workers' leases alive (`Node::may_keep_worker_alive`), so the tasks there
//!   continue to run. The zone is usually reachable again before replacements would have
//!   booted.

use crate::config::{Config, HEARTBEAT_DELAY_ALLOWANCE_MS};
use crate::Ms;
use std::collections::BTreeMap;
use std::ops::Add;

/// The least number of machines from which a fault of their zone or holder is inferred.
const MIN_SAMPLE_MACHINES: u32 = 4;
/// Machines with a recent call from which a fault of the holder's outgoing calls is inferred,
/// if the holder has as many.
pub(crate) const MIN_CALL_SAMPLE_MACHINES: u32 = MIN_SAMPLE_MACHINES * 2;
/// Fraction of a zone's machines that must be silent for the zone to count as partitioned.
const PARTITIONED_ZONE_FRACTION: f64 = 0.75;
/// Fraction of a holder's machines that must be without heartbeats, or of its called
/// machines that must not answer, for the holder to count as isolated.
const ISOLATED_FRACTION: f64 = 0.9;
/// Fraction of a partitioned zone's workers that must be able to keep their leases for the
/// removal of the zone's machines to be delayed.
const MIN_KEPT_LEASES_FRACTION: f64 = 0.6;
/// Time until a replacement machine runs the tasks of a removed one, as a multiple of the
/// boot time: the replacement is provisioned, boots and pulls the images.
const REPLACEMENT_BOOT_TIMES: f64 = 1.3;
/// Removal timeout of a silent machine while every live controller is isolated, as a multiple
/// of the boot time. Replacements are of little use then, as their heartbeats would not be
/// received either, and failed machines are found in the cloud's list of machines.
const ALL_ISOLATED_BOOT_TIMES: f64 = 6.0;
/// Timeout of a worker's heartbeat request.
const WORKER_HEARTBEAT_TIMEOUT_MS: Ms = 4_000;
/// Pause of a worker before it sends its heartbeat to the next controller.
const NEXT_CONTROLLER_PAUSE_MS: Ms = 1_000;
/// Time allowed for a worker to follow a redirect to its holder.
const REDIRECT_ALLOWANCE_MS: Ms = 500;
/// Upper bound on the silence granted for reconnecting, as a fraction of a worker's lease.
const MAX_SILENCE_LEASE_FRACTION: f64 = 0.9;

/// The configured limit on the silence of a single machine, in milliseconds. The operator sets
/// it as a multiple of the worker lease.
pub(crate) fn configured_silence_ms(config: &Config) -> Ms {
    (config.lease_ms as f64 * config.operator.max_silence_leases) as Ms
}

/// Longest time from a worker's lost heartbeat until the holder receives the next one, in
/// milliseconds.
pub(crate) fn reconnect_ms(config: &Config) -> Ms {
    config.max_heartbeat_interval_ms()
        + WORKER_HEARTBEAT_TIMEOUT_MS
        + NEXT_CONTROLLER_PAUSE_MS
        + REDIRECT_ALLOWANCE_MS
        + HEARTBEAT_DELAY_ALLOWANCE_MS
}

/// The effective limit on the silence of a single machine, in milliseconds. A healthy machine
/// must not be removed because of one lost heartbeat: its worker reconnects after it has
/// waited for the answer, tried another controller and been redirected. With short leases the
/// reconnect takes longer than the configured limit, and a network outage of 1.5 s would
/// remove machines with all their tasks. The limit is therefore at least the reconnect time,
/// bounded by [`MAX_SILENCE_LEASE_FRACTION`].
pub(crate) fn max_silence_ms(config: &Config) -> Ms {
    let max_reconnect_ms = (config.lease_ms as f64 * MAX_SILENCE_LEASE_FRACTION) as Ms;
    configured_silence_ms(config).max(reconnect_ms(config).min(max_reconnect_ms))
}

/// The conclusions of the last update.
#[derive(Default)]
pub(crate) struct FailureDetector {
    /// Partitioned zones whose workers can keep their leases, and until when the removal of
    /// machines there is delayed. An entry outlasts the partition by the reconnect time:
    /// most workers reconnect at once, and machines of slower ones must not be removed
    /// meanwhile.
    partitioned_zones: BTreeMap<u16, Ms>,
    /// Until when the removal of machines is delayed in all zones, because this controller
    /// recently received too few heartbeats.
    recovering_until: Ms,
    /// This controller must not hold shards: it receives heartbeats from hardly any of its
    /// machines, or hardly any of them answers its calls.
    is_isolated: bool,
    /// Every live controller has recorded that it receives no heartbeats.
    are_all_isolated: bool,
}

/// Inputs of an update of the failure detector.
pub(crate) struct Observations<'a> {
    pub(crate) now: Ms,
    /// Time that workers need to reconnect after an outage, in milliseconds.
    pub(crate) reconnect_ms: Ms,
    /// The machines of the active shards held here, by zone.
    pub(crate) zones: &'a BTreeMap<u16, MachineCounts>,
    /// This controller receives heartbeats from enough of its machines.
    pub(crate) receives_heartbeats: bool,
    /// This controller has a valid lease, but must not hold shards.
    pub(crate) is_isolated: bool,
    /// Every live controller has recorded that it receives no heartbeats.
    pub(crate) are_all_isolated: bool,
}

impl FailureDetector {
    /// Whether this controller is isolated from its machines.
    pub(crate) fn is_isolated(&self) -> bool {
        self.is_isolated
    }

    /// Updates the conclusions. `can_keep_leases` states for a zone's number whether enough
    /// workers can keep their leases while the zone is partitioned.
    pub(crate) fn update(
        &mut self,
        observations: &Observations<'_>,
        can_keep_leases: impl Fn(u16) -> bool,
    ) {
        let now = observations.now;
        let recovered_at = now + observations.reconnect_ms;
        self.partitioned_zones.retain(|_, until| now < *until);
        for (zone, counts) in observations.zones {
            if counts.is_partitioned() && can_keep_leases(*zone) {
                self.partitioned_zones.insert(*zone, recovered_at);
            }
        }
        if !observations.receives_heartbeats {
            self.recovering_until = recovered_at;
        }
        self.is_isolated = observations.is_isolated;
        self.are_all_isolated = observations.are_all_isolated;
    }

    /// Time that a machine may be silent before it is removed, in milliseconds.
    ///
    /// The duration of a partition is unknown. The machines of a partitioned zone are kept
    /// for as long as replacements would take, so at most twice that time is lost. If most
    /// workers cannot reach a controller inside the zone before their leases expire, their
    /// tasks are lost in any case, and a restart elsewhere is not delayed.
    pub(crate) fn decommission_timeout_ms(
        &self,
        config: &Config,
        now: Ms,
        may_remove_silent: bool,
        machine: MachineProfile,
    ) -> Ms {
        let is_partitioned = self.partitioned_zones.contains_key(&machine.zone);
        let boot_times = if self.are_all_isolated {
            ALL_ISOLATED_BOOT_TIMES
        } else if !may_remove_silent || now < self.recovering_until || is_partitioned {
            REPLACEMENT_BOOT_TIMES
        } else {
            0.0
        };
        let timeout_ms = (machine.boot_ms as f64 * boot_times) as Ms;
        timeout_ms.max(max_silence_ms(config))
    }
}

/// Properties of a machine that its removal timeout depends on.
#[derive(Clone, Copy, Debug)]
pub(crate) struct MachineProfile {
    /// Number of the zone in `Context::types_and_zones`.
    pub(crate) zone: u16,
    pub(crate) boot_ms: Ms,
}

/// Whether enough workers of a zone can keep their leases during a partition of the zone.
pub(crate) fn can_zone_keep_leases(config: &Config, zone: &str) -> bool {
    config.partition_survival_fraction(zone) >= MIN_KEPT_LEASES_FRACTION
}

/// Counts of the machines of which heartbeats are due.
#[derive(Clone, Copy, Default, Debug)]
pub(crate) struct MachineCounts {
    pub(crate) all: u32,
    /// No recent heartbeat was received, whether directly, relayed, or as a probe's answer.
    pub(crate) silent: u32,
    /// Heartbeats are not received directly. Includes the silent machines.
    pub(crate) without_heartbeats: u32,
    /// Heartbeats are received, and the machine was called recently.
    pub(crate) called: u32,
    /// Heartbeats are received, but the machine does not answer calls.
    pub(crate) unanswering: u32,
}

impl MachineCounts {
    /// Whether so many machines of a zone are silent that the zone is partitioned.
    fn is_partitioned(&self) -> bool {
        is_at_least_fraction(self.silent, self.all, PARTITIONED_ZONE_FRACTION)
    }

    /// Whether heartbeats are received from too few of the machines.
    pub(crate) fn lacks_heartbeats(&self) -> bool {
        is_at_least_fraction(self.without_heartbeats, self.all, ISOLATED_FRACTION)
    }

    /// Whether too few of the called machines answer. Machines without a recent call are not
    /// evidence.
    pub(crate) fn lacks_answers(&self) -> bool {
        is_at_least_fraction(self.unanswering, self.called, ISOLATED_FRACTION)
    }

    /// Whether more machines should be called: some do not answer, and too few were called
    /// to tell a failed machine from a controller whose calls fail.
    pub(crate) fn needs_more_calls(&self) -> bool {
        self.unanswering > 0 && self.called < MIN_CALL_SAMPLE_MACHINES.min(self.all)
    }
}

impl Add for MachineCounts {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self {
            all: self.all + other.all,
            silent: self.silent + other.silent,
            without_heartbeats: self.without_heartbeats + other.without_heartbeats,
            called: self.called + other.called,
            unanswering: self.unanswering + other.unanswering,
        }
    }
}

/// Whether `count` is at least a fraction of `all`, and `all` is a sufficient sample.
fn is_at_least_fraction(count: u32, all: u32, fraction: f64) -> bool {
    all >= MIN_SAMPLE_MACHINES && f64::from(count) >= fraction * f64::from(all)
}

#[cfg(test)]
mod tests;
