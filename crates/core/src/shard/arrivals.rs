//! Estimates at which rate the tasks of each job class arrive. Headroom is computed from
//! these rates.

use super::Shard;
use crate::records::ShapeRecord;
use crate::Ms;
use forkshift_sched::Resources;
use forkshift_wire::users::JobSpec;

/// Time constant of the exponential decay of counted arrivals, in milliseconds.
const ARRIVAL_DECAY_MS: f64 = 150_000.0;

/// Lower bound on the period over which a rate is computed, in milliseconds, so that one
/// early arrival does not look like a high rate.
const MIN_COUNTED_PERIOD_MS: f64 = ARRIVAL_DECAY_MS / 3.0;

/// Exponentially decaying count of the tasks of a job class that have arrived.
#[derive(Clone, Debug)]
pub(crate) struct ArrivalStats {
    /// Number of arrived tasks, decayed until `updated_at`.
    decayed_tasks: f64,
    updated_at: Ms,
    /// Headroom shape for one task of the last arrival.
    pub(crate) last_shape: ShapeRecord,
    /// Team of the last arrival.
    pub(crate) last_team: String,
    /// Image of the last arrival.
    pub(crate) last_image: String,
}

impl ArrivalStats {
    /// Applies the decay since the last update.
    fn decay(&mut self, now: Ms) {
        let elapsed = now.saturating_sub(self.updated_at) as f64;
        self.decayed_tasks *= (-elapsed / ARRIVAL_DECAY_MS).exp();
        self.updated_at = now;
    }

    /// Arriving tasks per second, if arrivals have been counted for `counted_period_ms`.
    pub(crate) fn rate(&mut self, now: Ms, counted_period_ms: Ms) -> f64 {
        self.decay(now);
        let counted_period_ms = (counted_period_ms as f64).max(MIN_COUNTED_PERIOD_MS);
        let decayed_period_ms =
            ARRIVAL_DECAY_MS * (1.0 - (-counted_period_ms / ARRIVAL_DECAY_MS).exp());
        self.decayed_tasks / (decayed_period_ms / 1000.0)
    }
}

impl Shard {
    /// Counts the tasks of a job that has just been submitted.
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

/// The headroom shape for one task of a job.
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
        is_headroom: true,
        may_reclaim: false,
        is_borrowing: false,
        is_gang: false,
    }
}
