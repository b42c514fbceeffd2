//! Rates at which the tasks of each class of jobs arrive: spare places are kept for them.

use super::Shard;
use crate::records::ShapeRecord;
use crate::Ms;
use forkshift_sched::Resources;
use forkshift_wire::users::JobSpec;

/// Time constant, in milliseconds, with which counted arrivals decay.
const ARRIVAL_DECAY_MS: f64 = 150_000.0;

/// Arrivals are taken to be counted for at least this long, in milliseconds, lest one of
/// them look like a rush.
const MIN_COUNTED_PERIOD_MS: f64 = ARRIVAL_DECAY_MS / 3.0;

/// Exponentially decaying count of a class's arrivals.
#[derive(Clone, Debug)]
pub(crate) struct ArrivalStats {
    /// Tasks that arrived, decayed until `updated_at`.
    decayed_tasks: f64,
    updated_at: Ms,
    /// A spare place for one task of the last arrival.
    pub(crate) last_shape: ShapeRecord,
    /// Team of the last arrival.
    pub(crate) last_team: String,
    /// Image of the last arrival.
    pub(crate) last_image: String,
}

impl ArrivalStats {
    /// Lets the count decay until now.
    fn decay(&mut self, now: Ms) {
        let elapsed = now.saturating_sub(self.updated_at) as f64;
        self.decayed_tasks *= (-elapsed / ARRIVAL_DECAY_MS).exp();
        self.updated_at = now;
    }

    /// Arriving tasks a second, if arrivals have been counted for `counted_ms`.
    pub(crate) fn rate(&mut self, now: Ms, counted_period_ms: Ms) -> f64 {
        self.decay(now);
        let counted_period_ms = (counted_period_ms as f64).max(MIN_COUNTED_PERIOD_MS);
        let decayed_period_ms =
            ARRIVAL_DECAY_MS * (1.0 - (-counted_period_ms / ARRIVAL_DECAY_MS).exp());
        self.decayed_tasks / (decayed_period_ms / 1000.0)
    }
}

impl Shard {
    /// Counts the tasks of a job that has just arrived.
    pub(super) fn count_arrival(&mut self, spec: &JobSpec, now: Ms) {
        let last_shape = headroom_shape(spec);
        let stats = self
            .arrivals_by_class
            .entry(spec.class.clone())
            .or_insert_with(|| ArrivalStats {
                decayed_tasks: 0.0,
                updated_at: now,
                last_shape: last_shape.clone(),
                last_team: spec.team.clone(),
                last_image: spec.image.clone(),
            });
        stats.decay(now);
        stats.decayed_tasks += f64::from(spec.tasks);
        stats.last_shape = last_shape;
        stats.last_team.clone_from(&spec.team);
        stats.last_image.clone_from(&spec.image);
    }
}

/// A spare place for one task of a job.
fn headroom_shape(spec: &JobSpec) -> ShapeRecord {
    let resources = Resources::new(spec.cpus, spec.gpus, spec.memory_gb);
    ShapeRecord {
        milli_resources: (
            resources.milli_cpus,
            resources.milli_gpus,
            resources.memory_mb,
        ),
        count: 1,
        types: spec.machine_types.clone(),
        zones: None,
        spot: spec.allow_spot,
        is_spare: true,
        may_reclaim: false,
        is_borrowing: false,
        is_gang: false,
    }
}
