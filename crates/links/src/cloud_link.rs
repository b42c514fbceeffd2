//! The leader's link to the cloud.

use crate::Ms;

/// Consecutive calls without a response after which the link may be lost.
const MIN_LOST_CALLS: u32 = 3;

/// Known state of a controller's link to the cloud, and the time from which it may be
/// elected leader again.
///
/// Only calls without any response count: a refusal shows that the link is up, and an
/// outage of the cloud is the same for every leader.
#[derive(Clone, Copy, Default, PartialEq, Eq, Debug)]
pub struct CloudLink {
    /// Consecutive calls without a response.
    unanswered_calls: u32,
    /// End of the first of them.
    unanswered_since: Ms,
    /// Until then the controller does not stand for election unless no other one does.
    abstains_until: Ms,
    /// Duration of the latest abstention; 0 if there was none since the last response.
    abstention: Ms,
}

impl CloudLink {
    /// Notes that a call has ended, with a response or without one.
    pub fn on_call(&mut self, now: Ms, is_answered: bool) {
        if is_answered {
            *self = Self::default();
            return;
        }
        if self.unanswered_calls == 0 {
            self.unanswered_since = now;
        }
        self.unanswered_calls = self.unanswered_calls.saturating_add(1);
    }

    /// Whether calls have had no response for `patience`. After a resignation without any
    /// response since, they must have had none for as long as the controller abstained:
    /// otherwise leadership keeps moving at the same rate where no controller reaches the
    /// cloud.
    pub fn is_lost(&self, now: Ms, patience: Ms) -> bool {
        let lost_after = self.unanswered_since + patience.max(self.abstention);
        self.unanswered_calls >= MIN_LOST_CALLS && now >= lost_after
    }

    /// Notes that the controller has resigned as leader. Each resignation doubles the
    /// abstention, from `first_abstention` to `longest_abstention`, so that leadership does
    /// not move for ever where no controller reaches the cloud.
    pub fn on_resigned(&mut self, now: Ms, first_abstention: Ms, longest_abstention: Ms) {
        let doubled = self.abstention * 2;
        self.abstention = doubled.clamp(first_abstention, longest_abstention);
        self.abstains_until = now + self.abstention;
    }

    /// Notes that the controller was elected: earlier calls are no evidence of the link's
    /// present state.
    pub fn on_elected(&mut self) {
        self.unanswered_calls = 0;
    }

    /// Whether the controller leaves the election to others.
    pub fn abstains_from_election(&self, now: Ms) -> bool {
        now < self.abstains_until
    }
}
