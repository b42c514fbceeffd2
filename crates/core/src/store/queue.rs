//! The way to the state service: one queue, one budget, one backoff.

use crate::pending_call::PendingCall;
use crate::Ms;
use rand::rngs::StdRng;
use rand::Rng;
use std::collections::{BTreeMap, BTreeSet};

/// Requests and changes, in a second.
#[derive(Clone, Copy, Default, PartialEq, Debug)]
pub(crate) struct StoreRate {
    pub(crate) requests: f64,
    pub(crate) writes: f64,
}

impl StoreRate {
    /// From what messages hold: each in a thousand seconds.
    pub(crate) fn from_milli(requests: u32, writes: u32) -> Self {
        Self {
            requests: f64::from(requests) / 1000.0,
            writes: f64::from(writes) / 1000.0,
        }
    }

    /// As messages hold it: requests, then changes.
    pub(crate) fn as_milli(&self) -> (u32, u32) {
        let milli = |rate: f64| (rate * 1000.0) as u32;
        (milli(self.requests), milli(self.writes))
    }

    fn combine(&self, other: &Self, f: fn(f64, f64) -> f64) -> Self {
        Self {
            requests: f(self.requests, other.requests),
            writes: f(self.writes, other.writes),
        }
    }

    pub(crate) fn plus(&self, other: &Self) -> Self {
        self.combine(other, |a, b| a + b)
    }

    pub(crate) fn max(&self, other: &Self) -> Self {
        self.combine(other, f64::max)
    }

    /// What of this goes beyond another.
    pub(crate) fn saturating_sub(&self, other: &Self) -> Self {
        self.combine(other, |a, b| (a - b).max(0.0))
    }

    pub(crate) fn scaled(&self, x: f64) -> Self {
        Self {
            requests: self.requests * x,
            writes: self.writes * x,
        }
    }
}

/// A rate with bursts of one second's worth.
#[derive(Debug)]
pub(crate) struct TokenBucket {
    rate: f64,
    tokens: f64,
    at: Ms,
}

impl TokenBucket {
    pub(crate) fn new(rate: f64) -> Self {
        Self {
            rate,
            tokens: rate,
            at: 0,
        }
    }

    pub(crate) fn set_rate(&mut self, rate: f64) {
        self.rate = rate;
    }

    pub(crate) fn refill(&mut self, now: Ms) {
        let gained = now.saturating_sub(self.at) as f64 / 1000.0 * self.rate;
        self.tokens = (self.tokens + gained).min(self.burst());
        self.at = now;
    }

    /// The most that it holds, and that it may owe.
    fn burst(&self) -> f64 {
        self.rate.max(1.0)
    }

    /// Takes `n`, even into debt if forced to. What is forced through in a
    /// turmoil must not silence everything else for long.
    pub(crate) fn take(&mut self, n: f64, force: bool) -> bool {
        // More than one second's worth is let through when the bucket is full.
        if force || self.tokens >= n.min(self.burst()) {
            self.tokens = (self.tokens - n).max(-n.max(self.burst()));
            return true;
        }
        false
    }

    /// Takes `n` for a call of an urgency. What can wait leaves enough for a
    /// submission: with few changes a second for each controller, submissions
    /// once waited for a second behind writes that nobody waited for.
    ///
    /// In advance, a user's call may take what comes within the next second.
    fn take_for(&mut self, n: f64, urgency: Urgency, in_advance: bool) -> bool {
        if in_advance && urgency == Urgency::User && self.tokens - n >= -self.burst() {
            return self.take(n, true);
        }
        let keeps = match urgency {
            Urgency::Membership | Urgency::Leadership | Urgency::User => 0.0,
            Urgency::Tasks | Urgency::Background => SUBMISSION_WRITES,
        };
        let is_low = self.tokens < (n + keeps).min(self.burst());
        let goes = !is_low || urgency == Urgency::Membership;
        goes && self.take(n, true)
    }

    pub(crate) fn empty(&mut self) {
        self.tokens = self.tokens.min(0.0);
    }

    /// What a pause has filled it with counts in part only.
    fn note_process_pause(&mut self, now: Ms) {
        self.refill(now);
        self.tokens = self.tokens.min(self.burst() * RESUMED_BURST_PART);
    }
}

/// The part of a burst that there is after standing still. All controllers may
/// have stood still together, and each first sends what can't be held back.
const RESUMED_BURST_PART: f64 = 0.5;
/// Changes of a transaction that accepts a job.
const SUBMISSION_WRITES: f64 = 2.0;

/// How urgent a call is; the order is that of the queue.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub(crate) enum Urgency {
    /// Leases, leadership, shards: never held back.
    Membership,
    /// The leader's rentals.
    Leadership,
    /// A user waits for the answer. Refused at once while the service is out:
    /// the user is told when to come back rather than kept waiting.
    User,
    /// Starts and the fate of tasks.
    Tasks,
    /// What can wait.
    Background,
}

/// A call to the state service.
#[derive(Debug)]
pub(crate) struct StoreCall {
    pub(crate) method: &'static str,
    pub(crate) path: String,
    pub(crate) body: Option<Vec<u8>>,
    /// Puts and deletes in it.
    pub(crate) writes: usize,
    pub(crate) timeout: Ms,
    /// If it has not been sent by then, it is answered with 503.
    pub(crate) expires: Ms,
    pub(crate) pending: PendingCall,
}

/// A call's place in the queue.
type QueuePosition = (Urgency, u64);

/// The queue in front of the state service.
pub(crate) struct Store {
    /// Calls that change nothing, and those that do, each in order: while no
    /// change may be made, only the former need to be looked at.
    reads: BTreeMap<QueuePosition, StoreCall>,
    changes: BTreeMap<QueuePosition, StoreCall>,
    /// When which call is of no use any more.
    expiries: BTreeSet<(Ms, QueuePosition)>,
    /// Changes that wait.
    writes_queued: usize,
    next_sequence: u64,
    requests: TokenBucket,
    writes: TokenBucket,
    /// Nothing but `Member` calls before this.
    pause_until: Ms,
    backoff: Ms,
    /// The last answer was a 503.
    out_since: Option<Ms>,
    /// Whether users' changes may be made in advance of the budget.
    allows_advance: bool,
    /// A call had no answer, or was refused, since the last answer.
    is_disturbed: bool,
    /// The service answered again after that, at this time.
    recovered_at: Option<Ms>,
    /// When that was last taken note of.
    recovery_noted_at: Ms,
    /// What was sent since the need was last asked for.
    sent: StoreRate,
    sent_since: Ms,
}

/// Longest pause between two tries at a service that refuses.
const MAX_BACKOFF: Ms = 1_000;
const MIN_BACKOFF: Ms = 50;
/// Least pause between two recoveries that are taken note of.
const RECOVERY_PAUSE: Ms = 1_000;

impl Store {
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

    /// Sets what may be used a second.
    pub(crate) fn set_rates(&mut self, rate: &StoreRate) {
        self.requests.set_rate(rate.requests);
        self.writes.set_rate(rate.writes);
    }

    /// Sets whether users' changes may be made in advance: only while others are
    /// known to leave some of the budget unused.
    pub(crate) fn allow_advance(&mut self, allowed: bool) {
        self.allows_advance = allowed;
    }

    /// What is needed a second: what was sent lately, and what waits.
    pub(crate) fn take_need(&mut self, now: Ms) -> StoreRate {
        let seconds = now.saturating_sub(self.sent_since).max(1) as f64 / 1000.0;
        let sent = std::mem::take(&mut self.sent).scaled(1.0 / seconds);
        self.sent_since = now;
        let waits = StoreRate {
            requests: self.len() as f64,
            writes: self.writes_queued as f64,
        };
        sent.plus(&waits)
    }

    /// Queues a call.
    pub(crate) fn push(&mut self, urgency: Urgency, call: StoreCall) {
        self.next_sequence += 1;
        let place = (urgency, self.next_sequence);
        self.expiries.insert((call.expires, place));
        self.writes_queued += call.writes;
        let queue = if call.writes > 0 {
            &mut self.changes
        } else {
            &mut self.reads
        };
        queue.insert(place, call);
    }

    fn remove(&mut self, place: &QueuePosition) -> Option<StoreCall> {
        let call = self.reads.remove(place);
        let call = call.or_else(|| self.changes.remove(place))?;
        self.expiries.remove(&(call.expires, *place));
        self.writes_queued -= call.writes;
        Some(call)
    }

    /// The first call at or behind a place, leaving changes out or not.
    fn first(&self, from: QueuePosition, with_changes: bool) -> Option<QueuePosition> {
        let read = self.reads.range(from..).next().map(|(p, _)| *p);
        let change = self.changes.range(from..).next().map(|(p, _)| *p);
        match (read, change.filter(|_| with_changes)) {
            (Some(a), Some(b)) => Some(a.min(b)),
            (a, b) => a.or(b),
        }
    }

    /// Whether the service refuses us.
    pub(crate) fn is_out(&self) -> bool {
        self.out_since.is_some()
    }

    /// Since when it has, without an answer in between.
    pub(crate) fn out_since(&self) -> Option<Ms> {
        self.out_since
    }

    /// This controller has stood still until now.
    pub(crate) fn note_pause(&mut self, now: Ms) {
        self.requests.note_process_pause(now);
        self.writes.note_process_pause(now);
    }

    /// Whether the service was not reached for a while and answers again, once
    /// each time and not too often.
    pub(crate) fn take_recovered(&mut self, now: Ms) -> bool {
        if self.recovered_at.is_none() || now < self.recovery_noted_at + RECOVERY_PAUSE {
            return false;
        }
        self.recovered_at = None;
        self.recovery_noted_at = now;
        true
    }

    /// Most changes that should go together where they can wait: more would use
    /// up what is kept for submissions.
    pub(crate) fn batch_limit(&self) -> usize {
        (self.writes.burst() - SUBMISSION_WRITES).max(SUBMISSION_WRITES) as usize
    }

    /// How many calls wait.
    pub(crate) fn len(&self) -> usize {
        self.reads.len() + self.changes.len()
    }

    /// Learns from a status how the service is.
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

    /// Calls that may go out now, and calls that waited too long. What may
    /// not go out is not walked over: the queue is long when many machines
    /// start or end at once.
    pub(crate) fn take_due(&mut self, now: Ms) -> (Vec<StoreCall>, Vec<StoreCall>) {
        self.requests.refill(now);
        self.writes.refill(now);
        let mut go = Vec::new();
        // First of all: after standing still, what was decided before is old.
        let mut late = self.expired(now);
        let mut changes = true;
        let mut from = (Urgency::Membership, 0);
        while let Some(place) = self.first(from, changes) {
            from = (place.0, place.1 + 1);
            if self.is_out() && place.0 == Urgency::User {
                late.extend(self.remove(&place));
                continue;
            }
            let member = place.0 == Urgency::Membership;
            if !member && now < self.pause_until {
                if !self.is_out() || place.0 > Urgency::User {
                    break;
                }
                continue;
            }
            let n = self.changes.get(&place).map_or(0, |c| c.writes) as f64;
            if n > 0.0 && !self.writes.take_for(n, place.0, self.allows_advance) {
                // The order of changes is kept: none goes before this one.
                changes = false;
                continue;
            }
            if !self.requests.take(1.0, member) {
                // The writes were not made after all.
                self.writes.take(-n, true);
                break;
            }
            if let Some(call) = self.remove(&place) {
                let sent = StoreRate {
                    requests: 1.0,
                    writes: n,
                };
                self.sent = self.sent.plus(&sent);
                go.push(call);
            }
        }
        (go, late)
    }

    /// Takes calls that waited too long out of the queue.
    fn expired(&mut self, now: Ms) -> Vec<StoreCall> {
        let mut late = Vec::new();
        while let Some((at, place)) = self.expiries.first().copied() {
            if at > now {
                break;
            }
            late.extend(self.remove(&place));
        }
        late
    }
}

#[cfg(test)]
mod tests;
