//! The link between the holder of a shard and one of its machines.

use crate::Ms;

/// Calls in a row without an answer after which the link for calls counts as lost.
const LOST_CALLS: u32 = 2;

/// How a report came to the holder.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Route {
    /// From the worker itself.
    Direct,
    /// By another controller that the worker reports to.
    Relayed,
}

/// Times of links, from the settings.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Timing {
    /// The longest pause between two reports, with what they may be late by.
    pub report_ms: Ms,
    /// Lease of a worker.
    pub lease_ms: Ms,
}

impl Timing {
    /// Time for a worker that is sent back to its holder to report there.
    fn return_ms(&self) -> Ms {
        self.report_ms * 2
    }

    /// Pause before the first try to have a worker back.
    fn first_pause(&self) -> Ms {
        self.lease_ms / 2
    }

    /// The longest pause between two tries. Each costs the worker a part of its lease.
    fn longest_pause(&self) -> Ms {
        self.lease_ms * 8
    }
}

/// What the holder knows of the link to a machine.
#[derive(Clone, Copy, Default, PartialEq, Eq, Debug)]
pub struct MachineLink {
    /// When the last report came from the worker itself.
    reported: Option<Ms>,
    /// When the last one came by another controller.
    relayed: Option<Ms>,
    /// Calls in a row without an answer.
    unanswered: u32,
    /// When the last call ended.
    called: Option<Ms>,
    /// An unheard machine is called before this only if there is something to say.
    check_at: Ms,
    /// The worker is sent back to us until then.
    returning_until: Ms,
    /// When it is tried next to have the worker back, and the pause after that.
    probe_at: Ms,
    pause: Ms,
}

impl MachineLink {
    /// A report has come.
    pub fn on_heartbeat(&mut self, now: Ms, route: Route, timing: &Timing) {
        match route {
            Route::Direct => {
                self.reported = Some(now);
                self.returning_until = 0;
                if self
                    .relayed
                    .take_if(|t| now > *t + timing.lease_ms)
                    .is_some()
                {
                    // The worker has stayed with us for a lease.
                    self.pause = 0;
                }
            }
            Route::Relayed => {
                if !self.is_relayed() {
                    self.pause =
                        (self.pause * 2).clamp(timing.first_pause(), timing.longest_pause());
                    self.probe_at = now + self.pause;
                }
                self.relayed = Some(now);
            }
        }
    }

    /// A call has ended.
    pub fn on_call(&mut self, now: Ms, is_answered: bool, timing: &Timing) {
        self.called = Some(now);
        if !is_answered {
            self.unanswered = self.unanswered.saturating_add(1);
            return;
        }
        self.unanswered = 0;
        if self.is_relayed() && now >= self.probe_at {
            self.returning_until = now + timing.return_ms();
            self.pause = (self.pause * 2).min(timing.longest_pause());
            self.probe_at = self.returning_until + self.pause;
        }
    }

    /// Whether the newest report came by another controller.
    pub fn is_relayed(&self) -> bool {
        self.relayed > self.reported
    }

    /// Whether other controllers still pass on what the worker reports.
    pub fn is_recently_relayed(&self, now: Ms, timing: &Timing) -> bool {
        let relayed = self.relayed.filter(|_| self.is_relayed());
        relayed.is_some_and(|t| now < t + timing.report_ms)
    }

    /// Whether calls reach the machine, as far as is known.
    pub fn is_callable(&self) -> bool {
        self.unanswered < LOST_CALLS
    }

    /// Whether a call has shown within a lease if calls reach the machine.
    pub fn is_call_recent(&self, now: Ms, timing: &Timing) -> bool {
        self.called.is_some_and(|t| now < t + timing.lease_ms)
    }

    /// Whether tasks may be started there: the start goes out by a call, and what
    /// becomes of it is soon heard without another controller's help.
    pub fn accepts_starts(&self) -> bool {
        self.is_callable() && !self.is_relayed()
    }

    /// Whether the worker itself has not been heard for so long that it should have
    /// been. `since` is when we began to listen. A worker that we never heard may still be
    /// on its way to us: it has half of its lease.
    pub fn has_missed_heartbeats(&self, now: Ms, since: Ms, timing: &Timing) -> bool {
        match self.reported {
            Some(reported) => now > reported.max(since) + timing.report_ms,
            None => now > since + timing.lease_ms / 2,
        }
    }

    /// Whether other controllers should pass on what the worker reports to them.
    pub fn wants_relay(&self, now: Ms, since: Ms, timing: &Timing) -> bool {
        now >= self.returning_until && self.has_missed_heartbeats(now, since, timing)
    }

    /// Whether the machine is to be called, by us and by others, to find out what has
    /// become of it. It is not due again for a quarter of a lease.
    pub fn take_probe(&mut self, now: Ms, timing: &Timing) -> bool {
        if now < self.check_at {
            return false;
        }
        self.check_at = now + timing.lease_ms / 4;
        true
    }

    /// Whether a call is due that finds out if the worker can come back.
    pub fn is_probe_due(&self, now: Ms) -> bool {
        self.is_relayed() && now >= self.probe_at
    }
}
