//! The link between the holder of a shard and one of its machines.

use crate::Ms;

/// Consecutive calls without a response after which calls count as not reaching the machine.
const MIN_LOST_CALLS: u32 = 2;
/// Heartbeat intervals that a worker has for its failback to the holder.
const FAILBACK_HEARTBEATS: u64 = 2;
/// Leases of a worker in the longest backoff between two failbacks.
const MAX_BACKOFF_LEASES: u64 = 8;

/// The route by which a heartbeat reached the holder.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum HeartbeatRoute {
    /// From the worker itself.
    Direct,
    /// Relayed by another controller, to which the worker sends its heartbeats.
    Relayed,
}

/// Intervals that the states of links depend on, from the settings.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct LinkTiming {
    /// Heartbeat interval: the longest pause between two heartbeats, with the delay that is
    /// allowed for, in milliseconds.
    pub heartbeat_timeout_ms: Ms,
    /// Duration of a worker's lease, in milliseconds.
    pub lease_ms: Ms,
}

impl LinkTiming {
    /// Time that a worker has for its failback.
    fn failback_ms(&self) -> Ms {
        self.heartbeat_timeout_ms * FAILBACK_HEARTBEATS
    }

    /// Backoff before the first failback.
    fn first_backoff_ms(&self) -> Ms {
        self.lease_ms / 2
    }

    /// Longest backoff between two failbacks; each uses up a part of the worker's lease.
    fn longest_backoff_ms(&self) -> Ms {
        self.lease_ms * MAX_BACKOFF_LEASES
    }
}

/// Known state of the link between the holder of a shard and a machine.
///
/// A worker that does not reach the holder sends its heartbeats to another controller,
/// which relays them. Its failback, the return to direct heartbeats, is tried after a call
/// has shown that the holder reaches the machine.
#[derive(Clone, Copy, Default, PartialEq, Eq, Debug)]
pub struct MachineLink {
    /// Time of the last direct heartbeat.
    last_direct_at: Option<Ms>,
    /// Time of the last relayed heartbeat.
    last_relayed_at: Option<Ms>,
    /// Consecutive calls without a response.
    unanswered_calls: u32,
    /// End of the last call.
    last_call_at: Option<Ms>,
    /// Time of the next probe. Until then a machine without heartbeats is called only to
    /// send it commands.
    next_probe_at: Ms,
    /// Until then no relay is requested, so that the worker is redirected to the holder.
    failback_until: Ms,
    /// Time of the next call that may start a failback.
    next_failback_at: Ms,
    /// Backoff between failbacks.
    backoff: Ms,
}

impl MachineLink {
    /// Notes that a heartbeat has arrived.
    pub fn on_heartbeat(&mut self, now: Ms, route: HeartbeatRoute, timing: &LinkTiming) {
        match route {
            HeartbeatRoute::Direct => self.on_direct_heartbeat(now, timing),
            HeartbeatRoute::Relayed => self.on_relayed_heartbeat(now, timing),
        }
    }

    fn on_direct_heartbeat(&mut self, now: Ms, timing: &LinkTiming) {
        self.last_direct_at = Some(now);
        self.failback_until = 0;
        let is_past = |relayed_at: &mut Ms| now > *relayed_at + timing.lease_ms;
        if self.last_relayed_at.take_if(is_past).is_some() {
            // Heartbeats have been direct for a lease: the failback has succeeded.
            self.backoff = 0;
        }
    }

    fn on_relayed_heartbeat(&mut self, now: Ms, timing: &LinkTiming) {
        if !self.is_relayed() {
            let doubled = self.backoff * 2;
            self.backoff = doubled.clamp(timing.first_backoff_ms(), timing.longest_backoff_ms());
            self.next_failback_at = now + self.backoff;
        }
        self.last_relayed_at = Some(now);
    }

    /// Notes that a call has ended, with a response or without one. A response starts a
    /// failback that is due.
    pub fn on_call(&mut self, now: Ms, is_answered: bool, timing: &LinkTiming) {
        self.last_call_at = Some(now);
        if !is_answered {
            self.unanswered_calls = self.unanswered_calls.saturating_add(1);
            return;
        }
        self.unanswered_calls = 0;
        if self.is_failback_probe_due(now) {
            self.failback_until = now + timing.failback_ms();
            self.backoff = (self.backoff * 2).min(timing.longest_backoff_ms());
            self.next_failback_at = self.failback_until + self.backoff;
        }
    }

    /// Whether the latest heartbeat was relayed.
    pub fn is_relayed(&self) -> bool {
        self.last_relayed_at > self.last_direct_at
    }

    /// Whether the latest heartbeat was relayed, within the heartbeat interval.
    pub fn is_recently_relayed(&self, now: Ms, timing: &LinkTiming) -> bool {
        let relayed_at = self.last_relayed_at.filter(|_| self.is_relayed());
        relayed_at.is_some_and(|at| now < at + timing.heartbeat_timeout_ms)
    }

    /// Whether calls reach the machine, as far as is known.
    pub fn is_reachable(&self) -> bool {
        self.unanswered_calls < MIN_LOST_CALLS
    }

    /// Whether a call has ended within a lease, so that [`Self::is_reachable`] is recent.
    pub fn has_recent_call(&self, now: Ms, timing: &LinkTiming) -> bool {
        self.last_call_at
            .is_some_and(|at| now < at + timing.lease_ms)
    }

    /// Whether tasks may be started on the machine: the start is sent by a call, and its
    /// outcome is reported by direct heartbeats.
    pub fn can_start_tasks(&self) -> bool {
        self.is_reachable() && !self.is_relayed()
    }

    /// Whether a direct heartbeat is overdue. `since` is when the controller began to
    /// receive heartbeats. A worker that has sent none yet may still be redirected to this
    /// controller: it has half of its lease.
    pub fn has_missed_heartbeats(&self, now: Ms, since: Ms, timing: &LinkTiming) -> bool {
        match self.last_direct_at {
            Some(direct_at) => now > direct_at.max(since) + timing.heartbeat_timeout_ms,
            None => now > since + timing.lease_ms / 2,
        }
    }

    /// Whether other controllers should relay the worker's heartbeats: direct ones are
    /// missed and no failback is in progress.
    pub fn needs_relay(&self, now: Ms, since: Ms, timing: &LinkTiming) -> bool {
        now >= self.failback_until && self.has_missed_heartbeats(now, since, timing)
    }

    /// Whether a probe of a machine without heartbeats is due: calls by this controller
    /// and by others. If so, the next one is due after a quarter of a lease.
    pub fn start_probe_if_due(&mut self, now: Ms, timing: &LinkTiming) -> bool {
        if now < self.next_probe_at {
            return false;
        }
        self.next_probe_at = now + timing.lease_ms / 4;
        true
    }

    /// Whether a call is due that shows if a failback can succeed.
    pub fn is_failback_probe_due(&self, now: Ms) -> bool {
        self.is_relayed() && now >= self.next_failback_at
    }
}
