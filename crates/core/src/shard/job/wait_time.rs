//! Age and wait time of a job, and how long quota is reserved for it.

use super::Job;
use crate::Ms;

/// How long a team's quota is reserved for a job that lacks machines, in boot
/// times of the shard's slowest machine.
const QUOTA_RESERVATION_BOOTS: f64 = 2.0;

/// The age of an event that may have happened under an earlier holder.
///
/// The steady clocks of two controllers aren't comparable, so the age is the one
/// at which this controller learned of the event plus the time since.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EventAge {
    /// Age of the event when this controller learned of it, in milliseconds.
    pub(crate) age_when_learned_ms: Ms,
    /// When this controller learned of the event, in milliseconds of its steady
    /// clock.
    pub(crate) learned_at: Ms,
}

impl EventAge {
    /// Age of the event in milliseconds at the steady-clock time `now`.
    pub(crate) fn at(self, now: Ms) -> Ms {
        self.age_when_learned_ms + now.saturating_sub(self.learned_at)
    }
}

impl Job {
    /// Milliseconds since the job was submitted or, if it had dependencies,
    /// since the last of them was done.
    pub(crate) fn age_ms(&self, now: Ms) -> Ms {
        self.submission_age.at(now)
    }

    /// Milliseconds since a task of the job last completed or, if none has, since
    /// the start of its [age](Self::age_ms). With the age alone, a large array that
    /// makes progress took precedence over jobs that had not started at all.
    pub(crate) fn wait_ms(&self, now: Ms) -> Ms {
        match self.last_completion_at {
            Some(at) => now.saturating_sub(at),
            None => self.age_ms(now),
        }
    }

    /// Whether the team's quota may be reserved for the job while it is
    /// unschedulable for lack of machines alone. The reservation lasts as long as
    /// newly provisioned machines should take to boot, and is made only once: if no
    /// machine can be provisioned, the job must not block the rest of its team.
    pub(crate) fn can_reserve_quota(&self, now: Ms, boot_ms: Ms) -> bool {
        let reservation_ms = (boot_ms as f64 * QUOTA_RESERVATION_BOOTS) as Ms;
        self.lacking_machines_since
            .is_none_or(|since| now < since + reservation_ms)
    }

    /// Milliseconds since the job's cancellation was first requested.
    pub(crate) fn cancellation_age_ms(&self, now: Ms) -> Ms {
        self.cancellation_age.at(now)
    }
}
