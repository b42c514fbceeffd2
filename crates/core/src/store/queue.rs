//! The queue of calls to the key-value store, with its rate limit and backoff.
//!
//! Calls leave in the order of their urgency, then of their arrival. Writes of one urgency
//! are never reordered.

use crate::pending_call::PendingCall;
pub(crate) use crate::store::rate::{StoreRate, TokenBucket};
use crate::Ms;
use rand::rngs::StdRng;
use rand::Rng;
use std::collections::{BTreeMap, BTreeSet};

/// Longest pause between two attempts at a store that refuses calls.
const MAX_BACKOFF: Ms = 1_000;
/// First pause between two attempts at a store that refuses calls.
const MIN_BACKOFF: Ms = 50;
/// Shortest time between two recoveries that are noted.
const RECOVERY_PAUSE: Ms = 1_000;
/// Writes in a transaction that accepts a job.
const SUBMISSION_WRITES: f64 = 2.0;

/// How urgent a call is; the order is that of the queue.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub(crate) enum Urgency {
    /// Leases, leadership and shard assignments: never held back.
    Membership,
    /// The leader's provisioning.
    Leadership,
    /// A user waits for the answer. While the store is down such calls fail at once: the
    /// user is told when to retry rather than kept waiting.
    User,
    /// Starts and outcomes of tasks.
    Tasks,
    /// Calls that nothing waits for.
    Background,
}

impl Urgency {
    /// Writes that a call of this urgency leaves for submissions. Where a controller has few
    /// writes a second, submissions would otherwise queue behind writes that nobody waits
    /// for.
    fn reserved_writes(self) -> f64 {
        match self {
            Self::Membership | Self::Leadership | Self::User => 0.0,
            Self::Tasks | Self::Background => SUBMISSION_WRITES,
        }
    }
}

/// A call to the key-value store.
#[derive(Debug)]
pub(crate) struct StoreCall {
    pub(crate) method: &'static str,
    pub(crate) path: String,
    pub(crate) body: Option<Vec<u8>>,
    /// Puts and removals in it.
    pub(crate) writes: usize,
    pub(crate) timeout: Ms,
    /// A call that has not been sent by then fails with 503.
    pub(crate) expires: Ms,
    pub(crate) pending: PendingCall,
}

/// Calls that leave the queue.
#[derive(Debug, Default)]
pub(crate) struct DueCalls {
    /// To be sent now.
    pub(crate) to_send: Vec<StoreCall>,
    /// To fail without having been sent.
    pub(crate) rejected: Vec<StoreCall>,
}

/// A call's place in the queue: its urgency, then its serial number.
type QueuePosition = (Urgency, u64);

/// The queue in front of the key-value store.
pub(crate) struct StoreQueue {
    /// Calls without writes and calls with writes, each in order: while no write may be
    /// sent, only the former are looked at.
    reads: BTreeMap<QueuePosition, StoreCall>,
    changes: BTreeMap<QueuePosition, StoreCall>,
    /// When each call expires.
    expiries: BTreeSet<(Ms, QueuePosition)>,
    /// Writes in the queued calls.
    writes_queued: usize,
    next_sequence: u64,
    requests: TokenBucket,
    writes: TokenBucket,
    /// Only calls of `Urgency::Membership` are sent before this.
    pause_until: Ms,
    backoff: Ms,
    /// Since when the store has answered with 503; none if it served the last call.
    out_since: Option<Ms>,
    /// Whether users' writes may be sent in advance of the rate limit.
    allows_advance: bool,
    /// A call has had no answer, or a 503, since the last other answer.
    is_disturbed: bool,
    /// When the store answered again after a disturbance, if that is not noted yet.
    recovered_at: Option<Ms>,
    /// When a recovery was noted last.
    recovery_noted_at: Ms,
    /// Calls sent since the demand was last computed.
    sent: StoreRate,
    sent_since: Ms,
}

impl StoreQueue {
    /// An empty queue with a rate limit in requests and writes a second.
    pub(crate) fn new(rps: f64, write_rps: f64) -> Self {
        Self {
            reads: BTreeMap::new(),
            changes: BTreeMap::new(),
            expiries: BTreeSet::new(),
            writes_queued: 0,
            next_sequence: 0,
            requests: TokenBucket::new(rps),
            writes: TokenBucket::new(write_rps),
            pause_until: 0,
            backoff: MIN_BACKOFF,
            out_since: None,
            allows_advance: false,
            is_disturbed: false,
            recovered_at: None,
            recovery_noted_at: 0,
            sent: StoreRate::default(),
            sent_since: 0,
        }
    }

    /// Sets the rate limit.
    pub(crate) fn set_rates(&mut self, rate: &StoreRate) {
        self.requests.set_rate(rate.requests);
        self.writes.set_rate(rate.writes);
    }

    /// Sets whether users' writes may be sent in advance of the rate limit. That is allowed
    /// only while other controllers are known to leave some of the budget unused.
    pub(crate) fn allow_advance(&mut self, allowed: bool) {
        self.allows_advance = allowed;
    }

    /// The demand a second: the rate since the last call of this, and the queued calls.
    pub(crate) fn take_demand(&mut self, now: Ms) -> StoreRate {
        let seconds = now.saturating_sub(self.sent_since).max(1) as f64 / 1000.0;
        let sent = std::mem::take(&mut self.sent).scaled(1.0 / seconds);
        self.sent_since = now;
        let queued = StoreRate {
            requests: self.len() as f64,
            writes: self.writes_queued as f64,
        };
        sent.plus(&queued)
    }

    /// Queues a call.
    pub(crate) fn push(&mut self, urgency: Urgency, call: StoreCall) {
        self.next_sequence += 1;
        let position = (urgency, self.next_sequence);
        self.expiries.insert((call.expires, position));
        self.writes_queued += call.writes;
        let queue = if call.writes > 0 {
            &mut self.changes
        } else {
            &mut self.reads
        };
        queue.insert(position, call);
    }

    /// Removes a call from the queue.
    fn remove(&mut self, position: &QueuePosition) -> Option<StoreCall> {
        let call = self.reads.remove(position);
        let call = call.or_else(|| self.changes.remove(position))?;
        self.expiries.remove(&(call.expires, *position));
        self.writes_queued -= call.writes;
        Some(call)
    }

    /// The first call at or behind a position; calls with writes count only if `with_changes`
    /// is set.
    fn first(&self, from: QueuePosition, with_changes: bool) -> Option<QueuePosition> {
        let read = self.reads.range(from..).next().map(|(p, _)| *p);
        let change = self.changes.range(from..).next().map(|(p, _)| *p);
        match (read, change.filter(|_| with_changes)) {
            (Some(a), Some(b)) => Some(a.min(b)),
            (a, b) => a.or(b),
        }
    }

    /// Whether the store refuses calls of this controller.
    pub(crate) fn is_out(&self) -> bool {
        self.out_since.is_some()
    }

    /// Since when the store has refused calls without serving any.
    pub(crate) fn out_since(&self) -> Option<Ms> {
        self.out_since
    }

    /// The process was paused until now.
    pub(crate) fn note_pause(&mut self, now: Ms) {
        self.requests.note_process_pause(now);
        self.writes.note_process_pause(now);
    }

    /// Whether the store answers again after a disturbance. Returns true once for each
    /// recovery, and at most once in `RECOVERY_PAUSE`.
    pub(crate) fn take_recovered(&mut self, now: Ms) -> bool {
        if self.recovered_at.is_none() || now < self.recovery_noted_at + RECOVERY_PAUSE {
            return false;
        }
        self.recovered_at = None;
        self.recovery_noted_at = now;
        true
    }

    /// Most writes that a transaction of `Urgency::Tasks` or less should have: more would
    /// use up the reserve for submissions.
    pub(crate) fn batch_limit(&self) -> usize {
        (self.writes.burst() - SUBMISSION_WRITES).max(SUBMISSION_WRITES) as usize
    }

    /// How many calls are queued.
    pub(crate) fn len(&self) -> usize {
        self.reads.len() + self.changes.len()
    }

    /// Updates the backoff and the state of the store from the status of an answer.
    pub(crate) fn on_response(&mut self, status: u16, now: Ms, rng: &mut StdRng) {
        if matches!(status, 0 | 503) {
            self.is_disturbed = true;
        } else if std::mem::take(&mut self.is_disturbed) {
            self.recovered_at = Some(now);
        }
        match status {
            0 => {}
            429 => {
                self.requests.empty();
                self.writes.empty();
            }
            503 => {
                self.out_since.get_or_insert(now);
                let pause = rng.random_range(self.backoff / 2..=self.backoff);
                self.pause_until = self.pause_until.max(now + pause);
                self.backoff = (self.backoff * 2).min(MAX_BACKOFF);
            }
            _ => {
                self.out_since = None;
                self.backoff = MIN_BACKOFF;
                self.pause_until = 0;
            }
        }
    }

    /// Removes and returns the calls that may be sent now, and those that fail unsent:
    /// expired ones, and users' calls while the store is down. Writes that exceed the rate
    /// limit are not iterated over, as the queue is long when many machines start or end at
    /// once.
    pub(crate) fn take_due(&mut self, now: Ms) -> DueCalls {
        self.requests.refill(now);
        self.writes.refill(now);
        let mut due = DueCalls {
            to_send: Vec::new(),
            // Expired calls go first: after a pause, earlier decisions are outdated.
            rejected: self.expired(now),
        };
        let mut may_write = true;
        let mut from = (Urgency::Membership, 0);
        while let Some(position) = self.first(from, may_write) {
            from = (position.0, position.1 + 1);
            match self.admit(&position, now) {
                Verdict::Send => due.to_send.extend(self.take_to_send(&position)),
                Verdict::Reject => due.rejected.extend(self.remove(&position)),
                Verdict::Skip => {}
                Verdict::SkipWrites => may_write = false,
                Verdict::Stop => break,
            }
        }
        due
    }

    /// Decides about a call, and takes its tokens if it is sent.
    fn admit(&mut self, position: &QueuePosition, now: Ms) -> Verdict {
        let urgency = position.0;
        if self.is_out() && urgency == Urgency::User {
            return Verdict::Reject;
        }
        let is_forced = urgency == Urgency::Membership;
        if !is_forced && now < self.pause_until {
            // Users' calls behind this one are still to be rejected.
            let may_reject_more = self.is_out() && urgency <= Urgency::User;
            return if may_reject_more {
                Verdict::Skip
            } else {
                Verdict::Stop
            };
        }
        let writes = self.changes.get(position).map_or(0, |c| c.writes) as f64;
        if writes > 0.0 && !self.take_writes(writes, urgency) {
            return Verdict::SkipWrites;
        }
        if !self.requests.take(1.0, is_forced) {
            // The writes are not sent after all.
            self.writes.take(-writes, true);
            return Verdict::Stop;
        }
        Verdict::Send
    }

    /// Takes the tokens of `n` writes if the urgency allows it.
    fn take_writes(&mut self, n: f64, urgency: Urgency) -> bool {
        if self.allows_advance && urgency == Urgency::User && self.writes.take_in_advance(n) {
            return true;
        }
        if urgency == Urgency::Membership {
            return self.writes.take(n, true);
        }
        self.writes.take_above_reserve(n, urgency.reserved_writes())
    }

    /// Removes a call that is sent now, and counts it.
    fn take_to_send(&mut self, position: &QueuePosition) -> Option<StoreCall> {
        let call = self.remove(position)?;
        let sent = StoreRate {
            requests: 1.0,
            writes: call.writes as f64,
        };
        self.sent = self.sent.plus(&sent);
        Some(call)
    }

    /// Removes and returns the calls that have expired.
    fn expired(&mut self, now: Ms) -> Vec<StoreCall> {
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

/// What happens to a queued call now.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Verdict {
    Send,
    /// It fails unsent.
    Reject,
    /// It stays queued.
    Skip,
    /// It stays queued, and so do all writes behind it, as their order is kept.
    SkipWrites,
    /// It stays queued, and so does everything behind it.
    Stop,
}

#[cfg(test)]
mod tests;
