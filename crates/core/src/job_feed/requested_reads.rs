//! Reads of jobs' records that were requested: those that wait, and those in flight.

use crate::store::queue::Urgency;
use crate::Ms;
use forkshift_wire::JobId;
use std::collections::{BTreeMap, HashMap};

/// Who needs the result of a read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum ReadPriority {
    /// A user's request waits for it.
    Request,
    /// No request waits for it: a blocked job that is held here needs it.
    Background,
}

impl ReadPriority {
    /// The urgency of the call to the store. A read that a user's request waits for must not
    /// wait behind the requests of all users, as these are repeated until it is answered.
    pub(super) fn urgency(self) -> Urgency {
        match self {
            Self::Request => Urgency::User,
            Self::Background => Urgency::Tasks,
        }
    }
}

/// A read that waits to be sent.
struct QueuedRead {
    priority: ReadPriority,
    sequence: u64,
    /// Since when the record has been wanted, in milliseconds of the steady clock.
    wanted_since: Ms,
}

/// A read that was sent.
struct SentRead {
    /// The priority with which the read was sent.
    sent_as: ReadPriority,
    /// The highest priority with which the read was requested.
    wanted_as: ReadPriority,
    /// Since when the record has been wanted, in milliseconds of the steady clock.
    wanted_since: Ms,
}

/// A read that has returned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct FinishedRead {
    /// The highest priority with which the read was requested.
    pub(super) priority: ReadPriority,
    /// Since when the record has been wanted, in milliseconds of the steady clock.
    pub(super) wanted_since: Ms,
}

/// Requested reads of jobs' records, one per job, sent in the order of their requests within
/// each priority.
///
/// A job that was requested later must not be read first, whatever its id: requests arrive
/// without end, and a job that is overtaken each time would never be read.
///
/// Invariant: `oldest_first` holds exactly the jobs of `queued`.
#[derive(Default)]
pub(super) struct RequestedReads {
    queued: HashMap<JobId, QueuedRead>,
    /// Queued jobs by their priorities and sequence numbers.
    oldest_first: BTreeMap<(ReadPriority, u64), JobId>,
    next_sequence: u64,
    in_flight: HashMap<JobId, SentRead>,
}

impl RequestedReads {
    /// Requests the read of a job's record, or raises the priority of an earlier request.
    pub(super) fn request(&mut self, id: JobId, priority: ReadPriority, now: Ms) {
        if let Some(read) = self.in_flight.get_mut(&id) {
            read.wanted_as = read.wanted_as.min(priority);
            return;
        }
        match self.queued.get(&id) {
            None => self.push(id, priority, now),
            Some(read) if priority < read.priority => {
                let wanted_since = read.wanted_since;
                self.remove_queued(&id);
                self.push(id, priority, wanted_since);
            }
            Some(_) => {}
        }
    }

    fn push(&mut self, id: JobId, priority: ReadPriority, wanted_since: Ms) {
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        self.oldest_first.insert((priority, sequence), id.clone());
        let read = QueuedRead {
            priority,
            sequence,
            wanted_since,
        };
        self.queued.insert(id, read);
    }

    /// Removes a queued read whose result is known by now.
    pub(super) fn remove_queued(&mut self, id: &JobId) {
        if let Some(read) = self.queued.remove(id) {
            self.oldest_first.remove(&(read.priority, read.sequence));
        }
    }

    /// Moves the read of a priority that was requested first to those in flight, and returns
    /// its job.
    pub(super) fn start_next(&mut self, priority: ReadPriority) -> Option<JobId> {
        let mut queued = self
            .oldest_first
            .range((priority, 0)..=(priority, u64::MAX));
        let id = queued.next()?.1.clone();
        let wanted_since = self.queued.get(&id)?.wanted_since;
        self.remove_queued(&id);
        let read = SentRead {
            sent_as: priority,
            wanted_as: priority,
            wanted_since,
        };
        self.in_flight.insert(id.clone(), read);
        Some(id)
    }

    /// Removes a read that is in flight; none if the record is not being read.
    pub(super) fn finish(&mut self, id: &JobId) -> Option<FinishedRead> {
        let read = self.in_flight.remove(id)?;
        Some(FinishedRead {
            priority: read.wanted_as,
            wanted_since: read.wanted_since,
        })
    }

    /// Queues a failed read again, behind all others of its priority, so that a record that
    /// can't be read holds up no other.
    pub(super) fn retry(&mut self, id: JobId, read: FinishedRead) {
        self.push(id, read.priority, read.wanted_since);
    }

    /// Drops all reads.
    pub(super) fn clear(&mut self) {
        self.queued.clear();
        self.oldest_first.clear();
        self.in_flight.clear();
    }

    pub(super) fn queued_count(&self) -> usize {
        self.queued.len()
    }

    /// The number of reads in flight, of all priorities.
    pub(super) fn in_flight_count(&self) -> usize {
        self.in_flight.len()
    }

    /// The number of reads in flight that were sent with a priority.
    pub(super) fn in_flight_as(&self, priority: ReadPriority) -> usize {
        let reads = self.in_flight.values();
        reads.filter(|read| read.sent_as == priority).count()
    }

    /// Since when a job's record has been wanted; none if its read is not requested.
    pub(super) fn wanted_since(&self, id: &JobId) -> Option<Ms> {
        let queued = self.queued.get(id).map(|read| read.wanted_since);
        queued.or_else(|| Some(self.in_flight.get(id)?.wanted_since))
    }

    /// Since when the oldest requested record has been wanted.
    pub(super) fn oldest_wanted_since(&self) -> Option<Ms> {
        let queued = self.queued.values().map(|read| read.wanted_since);
        let in_flight = self.in_flight.values().map(|read| read.wanted_since);
        queued.chain(in_flight).min()
    }
}

#[cfg(test)]
mod tests;
