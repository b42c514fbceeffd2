//! The queue of calls to the key-value store, with its rate limit and backoff.
//!
//! Calls are sent in the order of their urgency, then of their arrival. Writes of the same
//! urgency are never reordered.

use crate::pending_call::PendingCall;
pub(crate) use crate::store::rate::{StoreRate, TokenBucket};
use crate::Ms;
use rand::rngs::StdRng;
use rand::Rng;
use std::collections::{BTreeMap, BTreeSet};

/// Upper bound of the backoff while the store refuses calls, in milliseconds.
const MAX_BACKOFF_MS: Ms = 1_000;
/// First backoff after the store has refused a call, in milliseconds.
const MIN_BACKOFF_MS: Ms = 50;
/// Shortest interval between two recoveries that are reported, in milliseconds.
const MIN_RECOVERY_INTERVAL_MS: Ms = 1_000;
/// Number of writes in the transaction that accepts a submitted job.
const WRITES_PER_SUBMISSION: f64 = 2.0;

/// Urgency class of a call. Calls of an earlier class are sent first.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub(crate) enum Urgency {
    /// Leases, leadership and shard assignments. Rate limit and backoff don't hold these
    /// calls back.
    Membership,
    /// Provisioning of machines by the leader.
    Leadership,
    /// Calls for a user's request in progress. While the store refuses calls, these fail at
    /// once, so that the user receives an error and retries instead of waiting.
    User,
    /// Starts and outcomes of tasks.
    Tasks,
    /// Calls whose response neither a user nor a task waits for.
    Background,
}

impl Urgency {
    /// Number of write tokens that a call of this urgency leaves for submissions. Without this
    /// reserve, submissions would queue behind writes that no user waits for where a controller
    /// has few writes per second.
    fn reserved_writes(self) -> f64 {
        match self {
            Self::Membership | Self::Leadership | Self::User => 0.0,
            Self::Tasks | Self::Background => WRITES_PER_SUBMISSION,
        }
    }
}

/// A call to the key-value store.
#[derive(Debug)]
pub(crate) struct StoreCall {
    pub(crate) method: &'static str,
    pub(crate) path: String,
    pub(crate) body: Option<Vec<u8>>,
    /// Number of puts and removals in the call; 0 for a read.
    pub(crate) writes: usize,
    /// Time to wait for the response once the call is sent, in milliseconds.
    pub(crate) timeout_ms: Ms,
    /// A call that has not been sent by this time fails with status 503.
    pub(crate) expires_at: Ms,
    /// Routes the response to the caller.
    pub(crate) pending: PendingCall,
}

/// Calls that leave the queue.
#[derive(Debug, Default)]
pub(crate) struct DueCalls {
    /// Calls to send now.
    pub(crate) to_send: Vec<StoreCall>,
    /// Calls that fail without having been sent.
    pub(crate) rejected: Vec<StoreCall>,
}

/// The position of a call in the queue: its urgency, then its sequence number.
type QueuePosition = (Urgency, u64);

/// The queue in front of the key-value store.
pub(crate) struct StoreQueue {
    /// Queued calls without writes. Reads and writes are kept apart so that writes are not
    /// iterated over while the rate limit allows no write.
    read_calls: BTreeMap<QueuePosition, StoreCall>,
    /// Queued calls with writes.
    write_calls: BTreeMap<QueuePosition, StoreCall>,
    /// Expiry times of the queued calls.
    expiries: BTreeSet<(Ms, QueuePosition)>,
    /// Total number of writes in the queued calls.
    queued_writes: usize,
    next_sequence: u64,
    request_tokens: TokenBucket,
    write_tokens: TokenBucket,
    /// Until this time, only calls of `Urgency::Membership` are sent.
    paused_until: Ms,
    /// Upper bound of the next pause, in milliseconds; the pause is drawn from its upper half.
    backoff: Ms,
    /// When the store first answered with 503 since it last served a call; none while it
    /// serves calls.
    refusing_since: Option<Ms>,
    /// Whether calls of `Urgency::User` may overdraw the write tokens.
    is_overdraft_allowed: bool,
    /// Whether the last response was a timeout or a 503.
    was_last_call_unserved: bool,
    /// When the store answered again after timeouts or 503 responses; none once reported.
    recovered_at: Option<Ms>,
    /// When a recovery was last reported.
    recovery_reported_at: Ms,
    /// Requests and writes sent since the demand was last measured.
    sent: StoreRate,
    /// When the demand was last measured.
    measured_since: Ms,
}

impl StoreQueue {
    /// An empty queue with a rate limit in requests and writes per second.
    pub(crate) fn new(rps: f64, write_rps: f64) -> Self {
        Self {
            read_calls: BTreeMap::new(),
            write_calls: BTreeMap::new(),
            expiries: BTreeSet::new(),
            queued_writes: 0,
            next_sequence: 0,
            request_tokens: TokenBucket::new(rps),
            write_tokens: TokenBucket::new(write_rps),
            paused_until: 0,
            backoff: MIN_BACKOFF_MS,
            refusing_since: None,
            is_overdraft_allowed: false,
            was_last_call_unserved: false,
            recovered_at: None,
            recovery_reported_at: 0,
            sent: StoreRate::default(),
            measured_since: 0,
        }
    }

    /// Sets the rate limit, in requests and writes per second.
    pub(crate) fn set_rates(&mut self, rate: &StoreRate) {
        self.request_tokens.set_rate(rate.requests);
        self.write_tokens.set_rate(rate.writes);
    }

    /// Sets whether calls of `Urgency::User` may overdraw the write tokens. Overdrafts are
    /// safe only while other controllers are known to leave some of the budget unused.
    pub(crate) fn set_overdraft_allowed(&mut self, allowed: bool) {
        self.is_overdraft_allowed = allowed;
    }

    /// Returns the demand per second: the rate of calls sent since the last measurement, plus
    /// the queued calls. Starts a new measurement.
    pub(crate) fn measure_demand(&mut self, now: Ms) -> StoreRate {
        let seconds = now.saturating_sub(self.measured_since).max(1) as f64 / 1000.0;
        let sent = std::mem::take(&mut self.sent).scaled(1.0 / seconds);
        self.measured_since = now;
        let queued = StoreRate {
            requests: self.len() as f64,
            writes: self.queued_writes as f64,
        };
        sent.plus(&queued)
    }

    /// Appends a call to its urgency class.
    pub(crate) fn push(&mut self, urgency: Urgency, call: StoreCall) {
        self.next_sequence += 1;
        let position = (urgency, self.next_sequence);
        self.expiries.insert((call.expires_at, position));
        self.queued_writes += call.writes;
        let queue = if call.writes > 0 {
            &mut self.write_calls
        } else {
            &mut self.read_calls
        };
        queue.insert(position, call);
    }

    /// Removes a call from the queue.
    fn remove(&mut self, position: &QueuePosition) -> Option<StoreCall> {
        let call = self.read_calls.remove(position);
        let call = call.or_else(|| self.write_calls.remove(position))?;
        self.expiries.remove(&(call.expires_at, *position));
        self.queued_writes -= call.writes;
        Some(call)
    }

    /// The position of the first call at or after `from`. Calls with writes are considered only
    /// if `includes_writes` is set.
    fn first_at_or_after(
        &self,
        from: QueuePosition,
        includes_writes: bool,
    ) -> Option<QueuePosition> {
        let read = self.read_calls.range(from..).next().map(|(p, _)| *p);
        let write = self.write_calls.range(from..).next().map(|(p, _)| *p);
        match (read, write.filter(|_| includes_writes)) {
            (Some(a), Some(b)) => Some(a.min(b)),
            (a, b) => a.or(b),
        }
    }

    /// Whether the store refuses calls of this controller with 503.
    pub(crate) fn is_refusing_calls(&self) -> bool {
        self.refusing_since.is_some()
    }

    /// Since when the store has refused calls without serving any; none if it serves calls.
    pub(crate) fn refusing_since(&self) -> Option<Ms> {
        self.refusing_since
    }

    /// Limits the tokens to a part of a burst after the process was paused until `now`.
    pub(crate) fn limit_burst_after_pause(&mut self, now: Ms) {
        self.request_tokens.limit_burst_after_pause(now);
        self.write_tokens.limit_burst_after_pause(now);
    }

    /// Whether the store answers again after timeouts or 503 responses. Returns true once for
    /// each recovery, and at most once per `MIN_RECOVERY_INTERVAL_MS`.
    pub(crate) fn take_recovered(&mut self, now: Ms) -> bool {
        if self.recovered_at.is_none() || now < self.recovery_reported_at + MIN_RECOVERY_INTERVAL_MS
        {
            return false;
        }
        self.recovered_at = None;
        self.recovery_reported_at = now;
        true
    }

    /// Largest number of writes that a transaction of `Urgency::Tasks` or a lower class should
    /// have. A larger transaction would use up the reserve for submissions.
    pub(crate) fn max_writes_per_batch(&self) -> usize {
        (self.write_tokens.burst() - WRITES_PER_SUBMISSION).max(WRITES_PER_SUBMISSION) as usize
    }

    /// Number of queued calls.
    pub(crate) fn len(&self) -> usize {
        self.read_calls.len() + self.write_calls.len()
    }

    /// Updates the backoff and the availability of the store from the status of a response; 0
    /// means that no response arrived.
    pub(crate) fn on_response(&mut self, status: u16, now: Ms, rng: &mut StdRng) {
        if matches!(status, 0 | 503) {
            self.was_last_call_unserved = true;
        } else if std::mem::take(&mut self.was_last_call_unserved) {
            self.recovered_at = Some(now);
        }
        match status {
            0 => {}
            429 => {
                self.request_tokens.discard_tokens();
                self.write_tokens.discard_tokens();
            }
            503 => {
                self.refusing_since.get_or_insert(now);
                let pause = rng.random_range(self.backoff / 2..=self.backoff);
                self.paused_until = self.paused_until.max(now + pause);
                self.backoff = (self.backoff * 2).min(MAX_BACKOFF_MS);
            }
            _ => {
                self.refusing_since = None;
                self.backoff = MIN_BACKOFF_MS;
                self.paused_until = 0;
            }
        }
    }

    /// Removes and returns the calls to send now, and the calls that fail unsent: expired
    /// calls, and users' calls while the store refuses calls. Writes beyond the rate limit are
    /// not iterated over, as the queue is long when many machines start or end at once.
    pub(crate) fn take_due(&mut self, now: Ms) -> DueCalls {
        self.request_tokens.refill(now);
        self.write_tokens.refill(now);
        let mut due = DueCalls {
            to_send: Vec::new(),
            // Expired calls are removed first: after a pause of the process, the decisions
            // behind them are outdated.
            rejected: self.take_expired(now),
        };
        let mut may_write = true;
        let mut from = (Urgency::Membership, 0);
        while let Some(position) = self.first_at_or_after(from, may_write) {
            from = (position.0, position.1 + 1);
            match self.admit(&position, now) {
                Admission::Send => due.to_send.extend(self.dequeue(&position)),
                Admission::Reject => due.rejected.extend(self.remove(&position)),
                Admission::Skip => {}
                Admission::SkipWrites => may_write = false,
                Admission::Stop => break,
            }
        }
        due
    }

    /// Decides whether a call is sent now, and takes its tokens if so.
    fn admit(&mut self, position: &QueuePosition, now: Ms) -> Admission {
        let urgency = position.0;
        if self.is_refusing_calls() && urgency == Urgency::User {
            return Admission::Reject;
        }
        let is_forced = urgency == Urgency::Membership;
        if !is_forced && now < self.paused_until {
            // Users' calls further back in the queue must still be rejected.
            let may_reject_more = self.is_refusing_calls() && urgency <= Urgency::User;
            return if may_reject_more {
                Admission::Skip
            } else {
                Admission::Stop
            };
        }
        let writes = self.write_calls.get(position).map_or(0, |c| c.writes) as f64;
        if writes > 0.0 && !self.take_write_tokens(writes, urgency) {
            return Admission::SkipWrites;
        }
        if !self.request_tokens.take(1.0, is_forced) {
            // Returns the write tokens, as the call is not sent.
            self.write_tokens.take(-writes, true);
            return Admission::Stop;
        }
        Admission::Send
    }

    /// Takes the tokens for `n` writes, according to the reserve and the overdraft of the
    /// urgency class. Returns whether they were taken.
    fn take_write_tokens(&mut self, n: f64, urgency: Urgency) -> bool {
        if self.is_overdraft_allowed
            && urgency == Urgency::User
            && self.write_tokens.take_with_overdraft(n)
        {
            return true;
        }
        if urgency == Urgency::Membership {
            return self.write_tokens.take(n, true);
        }
        self.write_tokens
            .take_above_reserve(n, urgency.reserved_writes())
    }

    /// Removes a call to be sent, and counts it as sent.
    fn dequeue(&mut self, position: &QueuePosition) -> Option<StoreCall> {
        let call = self.remove(position)?;
        let sent = StoreRate {
            requests: 1.0,
            writes: call.writes as f64,
        };
        self.sent = self.sent.plus(&sent);
        Some(call)
    }

    /// Removes and returns the calls that have expired.
    fn take_expired(&mut self, now: Ms) -> Vec<StoreCall> {
        let mut expired = Vec::new();
        while let Some((at, position)) = self.expiries.first().copied() {
            if at > now {
                break;
            }
            expired.extend(self.remove(&position));
        }
        expired
    }
}

/// The decision about a queued call.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Admission {
    /// The call is sent.
    Send,
    /// The call fails unsent.
    Reject,
    /// The call stays queued.
    Skip,
    /// The call stays queued, and so do all writes after it, as writes are not reordered.
    SkipWrites,
    /// The call stays queued, and so do all calls after it.
    Stop,
}

#[cfg(test)]
mod tests;
