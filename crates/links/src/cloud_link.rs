//! The link of a controller to the cloud.

use crate::Ms;

/// Smallest number of consecutive calls without a response after which the link can count as
/// lost.
const MIN_UNANSWERED_CALLS: u32 = 3;

/// State of a controller's link to the cloud, and its backoff from leader elections.
///
/// A leader whose link is lost resigns, and abstains from elections for some time. Only
/// calls without any response are evidence of a lost link. An error response shows that
/// the link is up; an outage of the cloud itself affects every leader equally.
#[derive(Clone, Copy, Default, PartialEq, Eq, Debug)]
pub struct CloudLink {
    /// Number of consecutive calls without a response.
    unanswered_calls: u32,
    /// Time at which the first of these calls ended.
    unanswered_since: Ms,
    /// End of the abstention. Until then, the controller is a candidate only if no other
    /// controller is.
    abstains_until: Ms,
    /// Duration of the latest abstention; 0 if the controller has not resigned since the
    /// last response.
    abstention_ms: Ms,
}

impl CloudLink {
    /// Records the end of a call to the cloud. `is_answered` is true for any response, also
    /// an error. A response resets the state.
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

    /// Whether at least `MIN_UNANSWERED_CALLS` calls in a row, over at least `timeout_ms`,
    /// had no response. If the controller has resigned and received no response since, the
    /// calls must have been unanswered for the duration of its last abstention. Otherwise,
    /// leadership would keep moving at the same rate if no controller reaches the cloud.
    pub fn is_lost(&self, now: Ms, timeout_ms: Ms) -> bool {
        let lost_after = self.unanswered_since + timeout_ms.max(self.abstention_ms);
        self.unanswered_calls >= MIN_UNANSWERED_CALLS && now >= lost_after
    }

    /// Starts an abstention after the controller has resigned as the leader. The duration
    /// doubles with each resignation, from `min_abstention_ms` to `max_abstention_ms`, so
    /// that leadership moves ever less often if no controller reaches the cloud.
    pub fn on_resigned(&mut self, now: Ms, min_abstention_ms: Ms, max_abstention_ms: Ms) {
        let doubled = self.abstention_ms * 2;
        self.abstention_ms = doubled.clamp(min_abstention_ms, max_abstention_ms);
        self.abstains_until = now + self.abstention_ms;
    }

    /// Discards the count of unanswered calls after the controller was elected: calls of an
    /// earlier term are no evidence of the present state of the link.
    pub fn on_elected(&mut self) {
        self.unanswered_calls = 0;
    }

    /// Whether the controller abstains from leader elections.
    pub fn abstains_from_election(&self, now: Ms) -> bool {
        now < self.abstains_until
    }
}
