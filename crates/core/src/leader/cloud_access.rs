//! Rate limit of calls to the cloud, and the pause after the cloud was unavailable.

use crate::store::queue::TokenBucket;
use crate::Ms;

/// Fraction of the cloud's rate limit that the leader uses.
const RATE_LIMIT_FRACTION: f64 = 0.9;
/// Pause of all calls after a call failed because the cloud was unavailable, in
/// milliseconds.
const UNAVAILABLE_PAUSE_MS: Ms = 500;

/// Decides when the cloud may be called.
pub(super) struct CloudAccess {
    rate_limit: TokenBucket,
    paused_until: Ms,
}

impl CloudAccess {
    /// `rps` is the cloud's rate limit, in requests per second.
    pub(super) fn new(rps: f64) -> Self {
        Self {
            rate_limit: TokenBucket::new(rps * RATE_LIMIT_FRACTION),
            paused_until: 0,
        }
    }

    /// Adds the tokens that have accrued since the last refill.
    pub(super) fn refill(&mut self, now: Ms) {
        self.rate_limit.refill(now);
    }

    /// Returns whether the cloud may be called now, and takes the token for the call if so.
    pub(super) fn try_acquire(&mut self, now: Ms) -> bool {
        now >= self.paused_until && self.rate_limit.take(1.0, false)
    }

    /// Returns whether a call failed for a transient reason: no response (status 0), the
    /// rate limit, or an outage. If so, pauses all calls. A 503 whose body states a lack
    /// of capacity is a regular response, not an outage.
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
