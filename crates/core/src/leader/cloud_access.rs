//! Access to the cloud: its rate limit, and a pause after a refusal.

use crate::store::queue::TokenBucket;
use crate::Ms;

/// The part of the cloud's rate limit that the leader uses.
const RATE_LIMIT_FRACTION: f64 = 0.9;
/// Pause of all calls after the cloud was unavailable, in milliseconds.
const UNAVAILABLE_PAUSE_MS: Ms = 500;

/// When the cloud may be called.
pub(super) struct CloudAccess {
    rate_limit: TokenBucket,
    paused_until: Ms,
}

impl CloudAccess {
    /// `rps` is the rate limit that the cloud announces, in requests a second.
    pub(super) fn new(rps: f64) -> Self {
        Self {
            rate_limit: TokenBucket::new(rps * RATE_LIMIT_FRACTION),
            paused_until: 0,
        }
    }

    /// Adds the calls that the time since the last refill allows.
    pub(super) fn refill(&mut self, now: Ms) {
        self.rate_limit.refill(now);
    }

    /// Whether the cloud may be called now; counts the call if so.
    pub(super) fn try_acquire(&mut self, now: Ms) -> bool {
        now >= self.paused_until && self.rate_limit.take(1.0, false)
    }

    /// Returns true if the cloud refused a call for a reason that may pass, and
    /// pauses all calls then. A lack of capacity is an answer.
    pub(super) fn pause_if_unavailable(&mut self, now: Ms, status: u16, body: &[u8]) -> bool {
        let is_unavailable = match status {
            0 | 429 => true,
            503 => !String::from_utf8_lossy(body).contains("capacity"),
            _ => false,
        };
        if is_unavailable {
            self.paused_until = now + UNAVAILABLE_PAUSE_MS;
        }
        is_unavailable
    }
}
