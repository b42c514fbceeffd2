//! The rule that polls of an accepted job are answered as long as most others are.

use super::{Checker, Rule};
use crate::Ms;
use forkshift_wire::JobId;
use std::collections::BTreeMap;

/// Maximum time in which every poll of a job fails while most others are answered.
const MAX_UNANSWERED_POLLS_MS: Ms = 90_000;
/// Length of the intervals in which polls are counted.
const INTERVAL_MS: Ms = 1_000;

/// Numbers of polls in one interval.
#[derive(Clone, Copy, Default)]
struct PollCounts {
    sent: u64,
    answered: u64,
}

/// Polls of accepted jobs and their answers.
#[derive(Default)]
pub(super) struct PollAnswers {
    /// When the first poll was sent that no answer has followed, by job.
    unanswered_since: BTreeMap<JobId, Ms>,
    /// Polls of all jobs, by the number of the interval.
    counts: BTreeMap<u64, PollCounts>,
}

impl PollAnswers {
    fn on_sent(&mut self, now: Ms, id: &JobId) {
        self.unanswered_since.entry(id.clone()).or_insert(now);
        self.counts.entry(now / INTERVAL_MS).or_default().sent += 1;
    }

    /// Records that a request about a job was answered.
    pub(super) fn on_answered(&mut self, now: Ms, id: &JobId) {
        if self.unanswered_since.remove(id).is_some() {
            self.counts.entry(now / INTERVAL_MS).or_default().answered += 1;
        }
    }

    /// Whether most polls since a time were answered.
    fn are_most_answered(&self, since: Ms) -> bool {
        let counts = self.counts.range(since / INTERVAL_MS..);
        let (sent, answered) = counts.fold((0, 0), |(sent, answered), (_, counts)| {
            (sent + counts.sent, answered + counts.answered)
        });
        answered * 2 > sent
    }

    /// Removes and returns the jobs whose polls have failed for too long, and since when.
    fn take_forgotten(&mut self, now: Ms) -> Vec<(JobId, Ms)> {
        let oldest = now.saturating_sub(2 * MAX_UNANSWERED_POLLS_MS) / INTERVAL_MS;
        self.counts = self.counts.split_off(&oldest);
        let late = self.unanswered_since.iter();
        let late = late.filter(|(_, since)| now >= **since + MAX_UNANSWERED_POLLS_MS);
        let forgotten: Vec<(JobId, Ms)> = late
            .filter(|(_, since)| self.are_most_answered(**since))
            .map(|(id, since)| (id.clone(), *since))
            .collect();
        for (id, _) in &forgotten {
            self.unanswered_since.remove(id);
        }
        forgotten
    }
}

impl Checker {
    /// Records that a user polls a job.
    pub fn on_poll_sent(&mut self, now: Ms, id: &JobId) {
        self.poll_answers.on_sent(now, id);
    }

    /// Checks that no accepted job is forgotten while most others are answered for.
    pub(super) fn check_polls_answered(&mut self, now: Ms) {
        for (id, since) in self.poll_answers.take_forgotten(now) {
            if self.accepted.contains_key(&id) {
                let details = format!("{id}: no poll answered since {since}");
                self.record_violation(Rule::Forgotten, now, details);
            }
        }
    }
}
