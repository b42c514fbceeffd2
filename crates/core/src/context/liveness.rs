//! The clock, and the liveness of machines and peers as of now.

use super::Context;
use crate::membership::failure_detector::{max_silence_ms, MachineProfile};
use crate::membership::format::FormatVersion;
use crate::shard::machine::Machine;
use crate::Ms;
use forkshift_links::Decision;
use forkshift_wire::NodeName;

/// Least heartbeat interval between controllers, in milliseconds.
const MIN_HEARTBEAT_INTERVAL_MS: Ms = 100;
/// Heartbeat intervals for which a peer may be silent and still count as alive.
const MAX_MISSED_PEER_HEARTBEATS: Ms = 5;

impl Context {
    /// The interval of heartbeats, failure detection and demand reports, in milliseconds.
    pub(crate) fn heartbeat_interval_ms(&self) -> Ms {
        crate::ms(self.config.operator.assignment_interval_s).max(MIN_HEARTBEAT_INTERVAL_MS)
    }

    /// The greatest possible age of a time of day that another controller has read, in
    /// milliseconds: the clocks of both controllers may be off.
    pub(crate) fn max_age_ms(&self, wall: Ms) -> Ms {
        self.wall_clock_ms.saturating_sub(wall) + self.config.max_clock_error_ms * 2
    }

    /// Whether warm pools are configured, and their format is finalized.
    pub(crate) fn has_pools(&self) -> bool {
        self.format >= FormatVersion::POOLS && !self.config.operator.pools.is_empty()
    }

    /// Detects that the process was paused until `now`. Silence is counted from there on, as
    /// nothing was received meanwhile.
    pub(crate) fn detect_process_pause(&mut self, now: Ms) {
        if now > self.now + self.config.heartbeat_interval_ms / 2 {
            self.resumed_at = now;
            self.store.note_pause(now);
        }
    }

    /// Time that a single machine may be silent, in milliseconds.
    pub(crate) fn max_silence_ms(&self) -> Ms {
        max_silence_ms(&self.config)
    }

    /// Time that a machine may be silent before it is removed, in milliseconds.
    pub(crate) fn removal_timeout_ms(&self, machine: &Machine) -> Ms {
        let may_remove_silent = self
            .links
            .allows(Decision::DecommissionUnresponsiveMachines);
        let profile = MachineProfile {
            zone: machine.zone,
            boot_ms: machine.boot_ms,
        };
        self.failure_detector
            .removal_timeout_ms(&self.config, self.now, may_remove_silent, profile)
    }

    /// Whether a controller has recently acknowledged a heartbeat of this one.
    pub(crate) fn is_peer_answering(&self, node: &NodeName) -> bool {
        self.is_recent_for_peer(self.peer_confirmations.alive_as_of(node))
    }

    /// Whether a message of an incarnation of another controller was received recently.
    pub(crate) fn is_peer_alive(&self, node: &NodeName, incarnation: u64) -> bool {
        self.is_recent_for_peer(self.peers.last_message_at(node, incarnation))
    }

    fn is_recent_for_peer(&self, time: Option<Ms>) -> bool {
        let max_silence_ms = self.heartbeat_interval_ms() * MAX_MISSED_PEER_HEARTBEATS;
        time.is_some_and(|time| self.now < time + max_silence_ms)
    }
}
