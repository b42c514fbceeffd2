//! Rates of calls to the key-value store, and the token bucket that enforces a rate.

use crate::Ms;

/// Fraction of a burst that is available after the process was paused. All controllers may
/// have been paused together, and each of them first sends calls that the rate limit doesn't
/// hold back, such as lease renewals.
const BURST_FRACTION_AFTER_PAUSE: f64 = 0.5;

/// A rate of calls to the store, in requests and writes per second.
#[derive(Clone, Copy, Default, PartialEq, Debug)]
pub(crate) struct StoreRate {
    pub(crate) requests: f64,
    pub(crate) writes: f64,
}

impl StoreRate {
    /// Converts from the unit of peer messages, calls per 1000 s.
    pub(crate) fn from_milli(requests: u32, writes: u32) -> Self {
        Self {
            requests: f64::from(requests) / 1000.0,
            writes: f64::from(writes) / 1000.0,
        }
    }

    /// Requests and writes in the unit of peer messages, calls per 1000 s.
    pub(crate) fn as_milli(&self) -> (u32, u32) {
        let milli = |rate: f64| (rate * 1000.0) as u32;
        (milli(self.requests), milli(self.writes))
    }

    /// Combines the requests of both rates, and the writes of both rates, with `f`.
    fn zip_with(&self, other: &Self, f: fn(f64, f64) -> f64) -> Self {
        Self {
            requests: f(self.requests, other.requests),
            writes: f(self.writes, other.writes),
        }
    }

    /// The sum of both rates.
    pub(crate) fn plus(&self, other: &Self) -> Self {
        self.zip_with(other, |a, b| a + b)
    }

    /// The maximum of the requests, and the maximum of the writes.
    pub(crate) fn max(&self, other: &Self) -> Self {
        self.zip_with(other, f64::max)
    }

    /// The difference of both rates, each component at least 0.
    pub(crate) fn saturating_sub(&self, other: &Self) -> Self {
        self.zip_with(other, |a, b| (a - b).max(0.0))
    }

    /// The rate times `factor`.
    pub(crate) fn scaled(&self, factor: f64) -> Self {
        Self {
            requests: self.requests * factor,
            writes: self.writes * factor,
        }
    }
}

/// A token bucket that holds one second's worth of its rate. Forced calls and overdrafts may
/// take more tokens than there are, which leaves a bounded debt: a negative balance.
#[derive(Debug)]
pub(crate) struct TokenBucket {
    /// Tokens per second.
    rate: f64,
    /// Available tokens; negative while the bucket is in debt.
    tokens: f64,
    refilled_at: Ms,
}

impl TokenBucket {
    /// A full bucket.
    pub(crate) fn new(rate: f64) -> Self {
        Self {
            rate,
            tokens: rate,
            refilled_at: 0,
        }
    }

    /// Changes the rate; the tokens in the bucket stay.
    pub(crate) fn set_rate(&mut self, rate: f64) {
        self.rate = rate;
    }

    /// Adds the tokens that have accrued since the last refill.
    pub(crate) fn refill(&mut self, now: Ms) {
        let gained = now.saturating_sub(self.refilled_at) as f64 / 1000.0 * self.rate;
        self.tokens = (self.tokens + gained).min(self.burst());
        self.refilled_at = now;
    }

    /// The capacity of the bucket, and the limit on its debt: one second's worth of tokens,
    /// at least 1.
    pub(super) fn burst(&self) -> f64 {
        self.rate.max(1.0)
    }

    /// Takes `n` tokens if they are available, or in any case if `force` is set. Returns
    /// whether they were taken. The debt is bounded, so that forced calls during an incident
    /// don't block other calls for long. If `n` exceeds the capacity, a full bucket suffices.
    pub(crate) fn take(&mut self, n: f64, force: bool) -> bool {
        if force || self.tokens >= n.min(self.burst()) {
            self.tokens = (self.tokens - n).max(-n.max(self.burst()));
            return true;
        }
        false
    }

    /// Takes `n` tokens if at least `reserve` tokens remain, or if the bucket is full.
    pub(super) fn take_above_reserve(&mut self, n: f64, reserve: f64) -> bool {
        let is_low = self.tokens < (n + reserve).min(self.burst());
        !is_low && self.take(n, true)
    }

    /// Takes `n` tokens if the resulting debt is at most one second's worth of tokens.
    pub(super) fn take_with_overdraft(&mut self, n: f64) -> bool {
        self.tokens - n >= -self.burst() && self.take(n, true)
    }

    /// Removes the available tokens; a debt remains.
    pub(crate) fn discard_tokens(&mut self) {
        self.tokens = self.tokens.min(0.0);
    }

    /// Limits the tokens to a part of a burst after the process was paused until `now`.
    pub(super) fn limit_burst_after_pause(&mut self, now: Ms) {
        self.refill(now);
        self.tokens = self.tokens.min(self.burst() * BURST_FRACTION_AFTER_PAUSE);
    }
}

#[cfg(test)]
mod tests;
