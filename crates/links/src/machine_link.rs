//! The link between the holder of a shard and one of its machines.

use crate::Ms;

/// Number of consecutive calls without a response after which the machine counts as
/// unreachable.
const UNREACHABLE_AFTER_CALLS: u32 = 2;
/// Time that a worker has for a failback to the holder, in heartbeat timeouts.
const FAILBACK_HEARTBEAT_TIMEOUTS: u64 = 2;
/// Longest backoff between two failbacks, in leases of the worker.
const MAX_BACKOFF_LEASES: u64 = 8;

/// The route by which a heartbeat reached the holder of the shard.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum HeartbeatRoute {
    /// The worker sent the heartbeat to the holder.
    Direct,
    /// The worker sent the heartbeat to another controller, which relayed it.
    Relayed,
}

/// Durations that the state of links depends on. They are derived from the settings of the
/// cluster.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct LinkTiming {
    /// Time after a heartbeat at which the next one counts as missed: the longest interval
    /// between two heartbeats plus an allowance for delays.
    pub heartbeat_timeout_ms: Ms,
    /// Duration of a worker's lease. A worker stops its tasks when the lease expires.
    pub lease_ms: Ms,
}

impl LinkTiming {
    /// Time that a worker has for its failback to the holder.
    fn failback_ms(&self) -> Ms {
        self.heartbeat_timeout_ms * FAILBACK_HEARTBEAT_TIMEOUTS
    }

    /// Backoff between the first relayed heartbeat and the first failback.
    fn first_backoff_ms(&self) -> Ms {
        self.lease_ms / 2
    }

    /// Longest backoff between two failbacks. Failbacks are not frequent, because each takes
    /// a part of the worker's lease.
    fn max_backoff_ms(&self) -> Ms {
        self.lease_ms * MAX_BACKOFF_LEASES
    }
}

/// State of the link between the holder of a shard and one of the shard's machines, as the
/// holder can observe it.
///
/// A worker that does not reach the holder sends its heartbeats to another controller,
/// which relays them. A *failback* is the return of the worker to direct heartbeats. It is
/// attempted after a call has shown that the holder reaches the machine: the holder
/// requests no relay for some time, and the other controller redirects the worker.
#[derive(Clone, Copy, Default, PartialEq, Eq, Debug)]
pub struct MachineLink {
    /// Time of the last direct heartbeat.
    last_direct_at: Option<Ms>,
    /// Time of the last relayed heartbeat.
    last_relayed_at: Option<Ms>,
    /// Number of consecutive calls without a response.
    unanswered_calls: u32,
    /// Time at which the last call ended.
    last_call_at: Option<Ms>,
    /// Time from which a machine without heartbeats may be probed again. Until then, the
    /// machine is called only to send commands.
    next_probe_at: Ms,
    /// End of the current failback. Until then, the holder requests no relay, so that other
    /// controllers redirect the worker to it.
    failback_until: Ms,
    /// Time from which an answered call starts the next failback.
    next_failback_at: Ms,
    /// Backoff before the next failback; 0 if the last failback succeeded.
    backoff_ms: Ms,
}

impl MachineLink {
    /// Records the arrival of a heartbeat.
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
            // No heartbeat was relayed for the duration of a lease: the failback succeeded.
            self.backoff_ms = 0;
        }
    }

    fn on_relayed_heartbeat(&mut self, now: Ms, timing: &LinkTiming) {
        if !self.is_relayed() {
            let doubled = self.backoff_ms * 2;
            self.backoff_ms = doubled.clamp(timing.first_backoff_ms(), timing.max_backoff_ms());
            self.next_failback_at = now + self.backoff_ms;
        }
        self.last_relayed_at = Some(now);
    }

    /// Records the end of a call to the machine. `is_answered` is true for any response. A
    /// response starts a failback if one is due.
    pub fn on_call(&mut self, now: Ms, is_answered: bool, timing: &LinkTiming) {
        self.last_call_at = Some(now);
        if !is_answered {
            self.unanswered_calls = self.unanswered_calls.saturating_add(1);
            return;
        }
        self.unanswered_calls = 0;
        if self.is_failback_probe_due(now) {
            self.failback_until = now + timing.failback_ms();
            self.backoff_ms = (self.backoff_ms * 2).min(timing.max_backoff_ms());
            self.next_failback_at = self.failback_until + self.backoff_ms;
        }
    }

    /// Whether the latest heartbeat was relayed.
    pub fn is_relayed(&self) -> bool {
        self.last_relayed_at > self.last_direct_at
    }

    /// Whether the latest heartbeat was relayed, and arrived within the heartbeat timeout.
    pub fn is_recently_relayed(&self, now: Ms, timing: &LinkTiming) -> bool {
        let relayed_at = self.last_relayed_at.filter(|_| self.is_relayed());
        relayed_at.is_some_and(|at| now < at + timing.heartbeat_timeout_ms)
    }

    /// Whether calls reach the machine, according to the latest calls. True if there was no
    /// call yet.
    pub fn is_reachable(&self) -> bool {
        self.unanswered_calls < UNREACHABLE_AFTER_CALLS
    }

    /// Whether a call has ended within the duration of a lease, so that the result of
    /// [`Self::is_reachable`] is recent.
    pub fn has_recent_call(&self, now: Ms, timing: &LinkTiming) -> bool {
        self.last_call_at
            .is_some_and(|at| now < at + timing.lease_ms)
    }

    /// Whether tasks may be started on the machine. Both directions of the link must be up:
    /// a call sends the start, and direct heartbeats report the outcome.
    pub fn can_start_tasks(&self) -> bool {
        self.is_reachable() && !self.is_relayed()
    }

    /// Whether a direct heartbeat is overdue. `since` is the time from which the controller
    /// could receive heartbeats of the machine. A worker that has not sent one yet has half
    /// of its lease, because it must be redirected to this controller first.
    pub fn has_missed_heartbeats(&self, now: Ms, since: Ms, timing: &LinkTiming) -> bool {
        match self.last_direct_at {
            Some(direct_at) => now > direct_at.max(since) + timing.heartbeat_timeout_ms,
            None => now > since + timing.lease_ms / 2,
        }
    }

    /// Whether other controllers should relay the worker's heartbeats: a direct heartbeat is
    /// overdue and no failback is in progress. See [`Self::has_missed_heartbeats`] for
    /// `since`.
    pub fn needs_relay(&self, now: Ms, since: Ms, timing: &LinkTiming) -> bool {
        now >= self.failback_until && self.has_missed_heartbeats(now, since, timing)
    }

    /// Whether a probe of a machine without heartbeats is due: a call by this controller, and
    /// calls by others on its request. If one is due, schedules the next after a quarter of
    /// a lease.
    pub fn start_probe_if_due(&mut self, now: Ms, timing: &LinkTiming) -> bool {
        if now < self.next_probe_at {
            return false;
        }
        self.next_probe_at = now + timing.lease_ms / 4;
        true
    }

    /// Whether heartbeats are relayed and a call is due that checks if a failback can
    /// succeed.
    pub fn is_failback_probe_due(&self, now: Ms) -> bool {
        self.is_relayed() && now >= self.next_failback_at
    }
}
