//! Heartbeat timing, pauses of the process, and the liveness of machines and other controllers
//! as of the current step.

use super::Context;
use crate::membership::failure_detector::{max_silence_ms, MachineProfile};
use crate::membership::format::FormatVersion;
use crate::shard::machine::Machine;
use crate::Ms;
use forkshift_links::Decision;
use forkshift_wire::NodeName;

/// Lower bound on the heartbeat interval between controllers, in milliseconds.
const MIN_HEARTBEAT_INTERVAL_MS: Ms = 100;
/// Time without a message or acknowledgement after which another controller no longer counts
/// as alive, in heartbeat intervals.
const MAX_MISSED_PEER_HEARTBEATS: Ms = 5;

impl Context {
    /// The interval of heartbeats between controllers, failure detection and demand reports, in
    /// milliseconds. It equals the operator's assignment interval, with a lower bound.
    pub(crate) fn heartbeat_interval_ms(&self) -> Ms {
        crate::seconds_to_ms(self.config.operator.assignment_interval_s)
            .max(MIN_HEARTBEAT_INTERVAL_MS)
    }

    /// The greatest possible age of a time of day that another controller has read from its
    /// clock, in milliseconds. The clock of each controller may be wrong by the configured
    /// error.
    pub(crate) fn max_age_ms(&self, wall_clock_ms: Ms) -> Ms {
        self.wall_clock_ms.saturating_sub(wall_clock_ms) + self.config.max_clock_error_ms * 2
    }

    /// Whether warm pools may be used: they are configured, and the record format that supports
    /// them is finalized.
    pub(crate) fn has_pools(&self) -> bool {
        self.format >= FormatVersion::POOLS && !self.config.operator.pools.is_empty()
    }

    /// Detects that the process was paused before `now`: no step ran for more than half a
    /// heartbeat interval. The silence of machines is measured from the end of the pause, as
    /// nothing could be received during the pause.
    pub(crate) fn detect_process_pause(&mut self, now: Ms) {
        if now > self.now + self.config.heartbeat_interval_ms / 2 {
            self.resumed_at = now;
            self.store.limit_burst_after_pause(now);
        }
    }

    /// The limit on the silence of a single machine, in milliseconds.
    pub(crate) fn max_silence_ms(&self) -> Ms {
        max_silence_ms(&self.config)
    }

    /// Time that a machine may be silent before it is removed, in milliseconds, given what the
    /// failure detector and the link states show.
    pub(crate) fn decommission_timeout_ms(&self, machine: &Machine) -> Ms {
        let may_remove_silent = self
            .links
            .allows(Decision::DecommissionUnresponsiveMachines);
        let profile = MachineProfile {
            zone: machine.zone,
            boot_ms: machine.boot_ms,
        };
        self.failure_detector.decommission_timeout_ms(
            &self.config,
            self.now,
            may_remove_silent,
            profile,
        )
    }

    /// Whether another controller has acknowledged a recent heartbeat of this one, so that
    /// messages pass in both directions.
    pub(crate) fn is_peer_answering(&self, node: &NodeName) -> bool {
        self.is_recent_for_peer(self.peer_confirmations.alive_as_of(node))
    }

    /// Whether a message from an incarnation of another controller was received recently. That
    /// does not prove that messages reach that controller.
    pub(crate) fn is_peer_alive(&self, node: &NodeName, incarnation: u64) -> bool {
        self.is_recent_for_peer(self.peers.last_message_at(node, incarnation))
    }

    fn is_recent_for_peer(&self, time: Option<Ms>) -> bool {
        let max_silence_ms = self.heartbeat_interval_ms() * MAX_MISSED_PEER_HEARTBEATS;
        time.is_some_and(|time| self.now < time + max_silence_ms)
    }
}
