//! Failure detection: what it means that machines send no heartbeats.
//!
//! A single silent machine has failed, as far as its holder can tell, and is replaced. Many
//! silent ones at once have another cause. If nearly all machines are silent, the holder
//! itself is isolated from its workers: it hands its shards over to a controller that may
//! receive heartbeats, and does not have a whole fleet deleted. If most machines of one zone
//! are silent, the zone is partitioned. What runs there goes on while controllers inside it
//! answer (`Node::may_keep_worker_alive`), and is reachable again sooner than replacements
//! would have booted.

use crate::config::{Config, HEARTBEAT_DELAY_ALLOWANCE_MS};
use crate::Ms;
use std::collections::BTreeMap;
use std::ops::Add;

/// Fewer machines than this prove nothing about their zone or their holder.
const MIN_SAMPLE_MACHINES: u32 = 4;
/// Machines that are called to find out whether calls reach any.
pub(crate) const MIN_CALL_SAMPLE_MACHINES: u32 = MIN_SAMPLE_MACHINES * 2;
/// Part of a zone's machines that must be silent for it to count as partitioned.
const PARTITIONED_ZONE_FRACTION: f64 = 0.75;
/// Part of all machines that must be silent for their holder to count as isolated.
const ISOLATED_FRACTION: f64 = 0.9;
/// Part of a partitioned zone's workers that must be able to keep their leases for the zone
/// to be timeout_ms for.
const MIN_KEPT_LEASES_FRACTION: f64 = 0.6;
/// Boot times until a replacement runs what a machine has run: it has to be provisioned and
/// to pull the images.
const REPLACEMENT_BOOT_TIMES: f64 = 1.3;
/// Boot times after which a silent machine is removed although no controller receives
/// heartbeats from most of its machines: a replacement's would not be received either, and
/// the cloud lists the machines that have failed.
const ALL_ISOLATED_BOOT_TIMES: f64 = 6.0;
/// Time after which a worker gives up waiting for the answer to a heartbeat.
const WORKER_HEARTBEAT_TIMEOUT_MS: Ms = 4_000;
/// Pause of a worker before it tries the next controller.
const NEXT_CONTROLLER_PAUSE_MS: Ms = 1_000;
/// Time that a worker takes to follow a redirect to its holder.
const REDIRECT_ALLOWANCE_MS: Ms = 500;
/// Part of a worker's lease after which a silent machine is removed in any case.
const MAX_SILENCE_LEASE_FRACTION: f64 = 0.9;

/// Time that a single machine may be silent, as configured, in milliseconds.
pub(crate) fn configured_silence_ms(config: &Config) -> Ms {
    (config.lease_ms as f64 * config.operator.max_silence_leases) as Ms
}

/// Time from a worker's lost heartbeat until its next one can be received, in milliseconds.
pub(crate) fn reconnect_ms(config: &Config) -> Ms {
    config.max_heartbeat_interval_ms()
        + WORKER_HEARTBEAT_TIMEOUT_MS
        + NEXT_CONTROLLER_PAUSE_MS
        + REDIRECT_ALLOWANCE_MS
        + HEARTBEAT_DELAY_ALLOWANCE_MS
}

/// Time that a single machine may be silent, in milliseconds. One lost heartbeat must not
/// cost a healthy machine: its worker reconnects after it has timeout_ms for the answer, tried
/// another controller and been redirected. With short leases that takes longer than the
/// configured part of the lease, so a network outage of 1.5 s would cost machines with all
/// their tasks.
pub(crate) fn max_silence_ms(config: &Config) -> Ms {
    let most = (config.lease_ms as f64 * MAX_SILENCE_LEASE_FRACTION) as Ms;
    configured_silence_ms(config).max(reconnect_ms(config).min(most))
}

/// What the failure detector has concluded last.
#[derive(Default)]
pub(crate) struct FailureDetector {
    /// Zones that are partitioned and worth waiting for, and until when. An entry outlasts
    /// the partition by the time in which workers reconnect: most are back at once, and the
    /// others must not be removed meanwhile.
    partitioned_zones: BTreeMap<u16, Ms>,
    /// Until when the same holds for all zones, as this controller was isolated.
    recovering_until: Ms,
    /// Hardly any machine's heartbeats are received, or hardly any answers calls.
    is_isolated: bool,
    /// The same holds for all other controllers that are alive.
    are_all_isolated: bool,
}

/// What the failure detector concludes from.
pub(crate) struct Observations<'a> {
    pub(crate) now: Ms,
    /// Time in which workers reconnect after an outage, in milliseconds.
    pub(crate) reconnect_ms: Ms,
    pub(crate) zones: &'a BTreeMap<u16, MachineCounts>,
    /// This controller receives heartbeats from enough of its machines.
    pub(crate) receives_heartbeats: bool,
    /// This controller should hold no shards.
    pub(crate) is_isolated: bool,
    /// All controllers that are alive have recorded that they are isolated.
    pub(crate) are_all_isolated: bool,
}

impl FailureDetector {
    /// Whether this controller is isolated from its machines.
    pub(crate) fn is_isolated(&self) -> bool {
        self.is_isolated
    }

    /// Updates the conclusions. `can_keep_leases` tells whether enough workers of a zone can
    /// keep their leases while it is partitioned.
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
    /// Nobody knows how long a zone stays partitioned. Its machines are timeout_ms for as long
    /// as replacements would take, so that in no case more than twice that time is lost.
    /// Where most workers cannot reach a controller inside the zone before their leases
    /// expire, their tasks are lost anyway, and are better restarted elsewhere at once.
    pub(crate) fn removal_timeout_ms(
        &self,
        config: &Config,
        now: Ms,
        may_remove_silent: bool,
        machine: MachineProfile,
    ) -> Ms {
        let is_partitioned = self.partitioned_zones.contains_key(&machine.zone);
        let boots = if self.are_all_isolated {
            ALL_ISOLATED_BOOT_TIMES
        } else if !may_remove_silent || now < self.recovering_until || is_partitioned {
            REPLACEMENT_BOOT_TIMES
        } else {
            0.0
        };
        let timeout_ms = (machine.boot_ms as f64 * boots) as Ms;
        timeout_ms.max(max_silence_ms(config))
    }
}

/// What the removal timeout of a machine depends on.
#[derive(Clone, Copy, Debug)]
pub(crate) struct MachineProfile {
    pub(crate) zone: u16,
    pub(crate) boot_ms: Ms,
}

/// Whether enough workers of a partitioned zone can keep their leases for the zone to be
/// timeout_ms for.
pub(crate) fn can_zone_keep_leases(config: &Config, zone: &str) -> bool {
    config.zones_kept_in_partition(zone) >= MIN_KEPT_LEASES_FRACTION
}

/// Machines that should send heartbeats.
#[derive(Clone, Copy, Default, Debug)]
pub(crate) struct MachineCounts {
    pub(crate) all: u32,
    /// Nothing is received from them, in whichever way.
    pub(crate) silent: u32,
    /// Their own heartbeats are not received.
    pub(crate) without_heartbeats: u32,
    /// Their heartbeats are received, and they were called recently.
    pub(crate) called: u32,
    /// Their heartbeats are received, and they do not answer calls.
    pub(crate) unanswering: u32,
}

impl MachineCounts {
    /// Whether so many machines of a zone are silent that the zone is partitioned.
    fn is_partitioned(&self) -> bool {
        is_at_least_fraction(self.silent, self.all, PARTITIONED_ZONE_FRACTION)
    }

    /// Whether heartbeats are received from too few of all machines.
    pub(crate) fn lacks_heartbeats(&self) -> bool {
        is_at_least_fraction(self.without_heartbeats, self.all, ISOLATED_FRACTION)
    }

    /// Whether too few of the called machines answer. Those that were not called prove
    /// nothing about calls.
    pub(crate) fn lacks_answers(&self) -> bool {
        is_at_least_fraction(self.unanswering, self.called, ISOLATED_FRACTION)
    }

    /// Whether more machines should be called: some do not answer, and too few were called
    /// to tell a failed machine from an isolated controller.
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

/// Whether `count` is at least a part of `all`, and `all` is large enough to prove anything.
fn is_at_least_fraction(count: u32, all: u32, part: f64) -> bool {
    all >= MIN_SAMPLE_MACHINES && f64::from(count) >= part * f64::from(all)
}

#[cfg(test)]
mod tests;
