//! Rates at which the jobs of each class arrive, to keep places for them.

use super::Shard;
use crate::records::ShapeRecord;
use crate::Ms;
use forkshift_sched::Resources;
use forkshift_wire::users::JobSpec;

/// Arrivals are remembered for about this long.
const ARRIVALS_MS: f64 = 150_000.0;

/// What is known of the arrivals of a class.
#[derive(Clone, Debug)]
pub(crate) struct ArrivalStats {
    /// Tasks, fading out.
    weight: f64,
    at: Ms,
    pub(crate) last: ShapeRecord,
    /// Team and image of the last arrival.
    pub(crate) last_team: String,
    pub(crate) last_image: String,
}

impl ArrivalStats {
    /// Lets the count fade until now.
    fn fade(&mut self, now: Ms) {
        let gone = now.saturating_sub(self.at) as f64;
        self.weight *= (-gone / ARRIVALS_MS).exp();
        self.at = now;
    }

    /// Tasks a second, counted for `elapsed`. A short time is taken for
    /// longer than it was, lest one arrival look like a rush.
    pub(crate) fn rate(&mut self, now: Ms, elapsed: Ms) -> f64 {
        self.fade(now);
        let elapsed = (elapsed as f64).max(ARRIVALS_MS / 3.0);
        let seen = ARRIVALS_MS * (1.0 - (-elapsed / ARRIVALS_MS).exp());
        self.weight / (seen / 1000.0)
    }
}

impl Shard {
    /// Counts the tasks of a job that has just arrived.
    pub(super) fn count_arrival(&mut self, spec: &JobSpec, now: Ms) {
        let res = Resources::new(spec.cpus, spec.gpus, spec.memory_gb);
        let last = ShapeRecord {
            milli_resources: (res.cpus, res.gpus, res.memory),
            count: 1,
            types: spec.types.clone(),
            zones: None,
            spot: spec.spot,
            is_spare: true,
            may_reclaim: false,
            is_borrowing: false,
            is_gang: false,
        };
        let stats = self
            .classes
            .entry(spec.class.clone())
            .or_insert(ArrivalStats {
                weight: 0.0,
                at: now,
                last: last.clone(),
                last_team: spec.team.clone(),
                last_image: spec.image.clone(),
            });
        stats.fade(now);
        stats.weight += f64::from(spec.tasks);
        stats.last = last;
        stats.last_team.clone_from(&spec.team);
        stats.last_image.clone_from(&spec.image);
    }
}
