//! The leader's link to the cloud.

use crate::Ms;

/// Calls in a row without an answer after which the link may be lost.
const LOST_CALLS: u32 = 3;

/// What a controller knows of its link to the cloud, and when it may lead again.
///
/// Only calls without any answer count: a refusal shows that the link is up, and an
/// outage of the cloud is the same for every leader.
#[derive(Clone, Copy, Default, PartialEq, Eq, Debug)]
pub struct CloudLink {
    unanswered: u32,
    /// When the first of them ended.
    since: Ms,
    /// We do not ask to lead before this, unless nobody else does.
    abstain_until: Ms,
    pause: Ms,
}

impl CloudLink {
    /// A call has ended.
    pub fn on_call(&mut self, now: Ms, is_answered: bool) {
        if is_answered {
            *self = Self::default();
            return;
        }
        if self.unanswered == 0 {
            self.since = now;
        }
        self.unanswered = self.unanswered.saturating_add(1);
    }

    /// Whether calls have had no answer for so long, or, if we have resigned before and had
    /// none since, for as long as we abstained then: leadership went round as fast as the first
    /// time where no controller reached the cloud.
    pub fn is_lost(&self, now: Ms, patience: Ms) -> bool {
        self.unanswered >= LOST_CALLS && now >= self.since + patience.max(self.pause)
    }

    /// We have given leadership up. Each time the next attempt is put off for longer: where
    /// nobody reaches the cloud, leadership must not go round without an end.
    pub fn on_resigned(&mut self, now: Ms, first_pause: Ms, longest_pause: Ms) {
        self.pause = (self.pause * 2).clamp(first_pause, longest_pause);
        self.abstain_until = now + self.pause;
    }

    /// We lead from now on: earlier calls say nothing of the link as it is.
    pub fn on_elected(&mut self) {
        self.unanswered = 0;
    }

    /// Whether we leave it to others to lead.
    pub fn abstains_from_election(&self, now: Ms) -> bool {
        now < self.abstain_until
    }
}
