//! How long a job has been waiting.

use super::Job;
use crate::Ms;

/// Boot times for which a team's quota is kept for a job that waits for
/// machines.
const QUOTA_RESERVATION_BOOTS: f64 = 2.0;

/// The age of an event that may have happened under an earlier holder.
///
/// Both fields are in milliseconds; clocks of two holders are not compared.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EventAge {
    /// Age of the event when this holder learned of it.
    pub(crate) when_learned_ms: Ms,
    /// When this holder learned of it (steady clock).
    pub(crate) learned_at: Ms,
}

impl EventAge {
    /// Age of the event in milliseconds.
    pub(crate) fn at(self, now: Ms) -> Ms {
        self.when_learned_ms + now.saturating_sub(self.learned_at)
    }
}

impl Job {
    /// Milliseconds since the job was submitted or, if it had dependencies,
    /// since the last of them was done.
    pub(crate) fn age_ms(&self, now: Ms) -> Ms {
        self.submission_age.at(now)
    }

    /// Milliseconds since a task of the job last completed, or else since it was
    /// submitted. A large array between two of its tasks, counted by its whole
    /// age, once went before jobs that had not begun at all.
    pub(crate) fn wait_ms(&self, now: Ms) -> Ms {
        match self.last_completion_at {
            Some(at) => now.saturating_sub(at),
            None => self.age_ms(now),
        }
    }

    /// Whether its team's quota is kept for the job while it lacks nothing but
    /// machines: for as long as provisioned ones should take to boot, and only
    /// once. Where none can be provisioned, its team must not be blocked.
    pub(crate) fn can_reserve_quota(&self, now: Ms, boot_ms: Ms) -> bool {
        let keep_ms = (boot_ms as f64 * QUOTA_RESERVATION_BOOTS) as Ms;
        self.lacking_machines_since
            .is_none_or(|since| now < since + keep_ms)
    }

    /// Milliseconds since its cancellation was first requested.
    pub(crate) fn cancellation_age_ms(&self, now: Ms) -> Ms {
        self.cancellation_age.at(now)
    }
}
