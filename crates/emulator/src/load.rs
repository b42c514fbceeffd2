//! Draws the jobs that simulated users submit during a run.

use crate::site::{JobClass, JobKindSpec, Site};
use forkshift_testkit::JobPlan;
use forkshift_wire::users::JobSpec;
use forkshift_wire::JobId;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};

/// Length of the period over which a class's initial jobs are submitted, in seconds per 1,000
/// jobs.
const INITIAL_SPREAD_S_PER_1000: f64 = 10.0;
const MILLISECONDS_PER_S: f64 = 1000.0;
/// Second of the run at which the first jobs are submitted. Until then the controllers start.
const FIRST_SUBMISSION_S: f64 = 3.0;

/// Draws all jobs of a run. The site's seed determines them. Classes without a team submit for
/// all teams in turn.
pub(crate) fn draw_job_plans(site: &Site) -> Vec<JobPlan> {
    let mut rng = StdRng::seed_from_u64(site.seed);
    let teams = site.team_names();
    let mut plans = Vec::new();
    for class in &site.classes {
        for at_s in draw_submission_times(class, site.duration_s, &mut rng) {
            let number = plans.len();
            let next_team = &teams[number % teams.len()];
            let team = class.team.as_ref().unwrap_or(next_team);
            plans.push(draw_job_plan(class, number, team, at_s, &mut rng));
        }
    }
    plans
}

/// Draws the submission times of the jobs of a class, in seconds since the start of the run.
/// Initial jobs are submitted together at `burst_s`, or else uniformly over a short period.
/// Further jobs arrive by a Poisson process with the rate `per_s`.
fn draw_submission_times(class: &JobClass, duration_s: f64, rng: &mut StdRng) -> Vec<f64> {
    let spread_s = f64::from(class.initial) * INITIAL_SPREAD_S_PER_1000 / 1000.0;
    let initial = (0..class.initial).map(|_| match class.burst_s {
        Some(at_s) => at_s,
        None => FIRST_SUBMISSION_S + rng.random_range(0.0..=spread_s),
    });
    let mut times: Vec<f64> = initial.collect();
    if class.per_s <= 0.0 {
        return times;
    }
    let mut next_s = (FIRST_SUBMISSION_S + spread_s).max(class.from_s);
    while next_s < duration_s {
        times.push(next_s);
        let unit: f64 = rng.random_range(f64::EPSILON..1.0);
        next_s -= unit.ln() / class.per_s;
    }
    times
}

/// Draws a job of a class that is submitted at `at_s`, in seconds since the start of the run.
fn draw_job_plan(
    class: &JobClass,
    number: usize,
    team: &str,
    at_s: f64,
    rng: &mut StdRng,
) -> JobPlan {
    let run_s = match class.kind {
        JobKindSpec::Service => 0.0,
        _ => class.run_s * rng.random_range(0.5..1.5),
    };
    let is_cancelled = rng.random_bool(class.cancelled);
    let cancel_at_s = is_cancelled.then(|| at_s + class.cancelled_within_s * rng.random::<f64>());
    let spec = JobSpec {
        id: JobId::new(&format!("j-{number:06}")),
        class: class.name.clone(),
        team: team.to_owned(),
        kind: class.kind.into(),
        priority: class.priority.into(),
        tasks: class.tasks.choose(rng).copied().unwrap_or(1),
        cpus: class.cpus,
        gpus: class.gpus,
        memory_gb: class.memory_gb,
        image: draw_image(class, rng),
        image_gb: class.image_gb,
        machine_types: None,
        zone: None,
        require_same_zone: class.one_zone,
        spread_over_zones: class.spread,
        allow_spot: class.spot,
        estimated_run_time_s: run_s,
        checkpoint_interval_s: 0.0,
        checkpoint_save_time_s: 0.0,
        deadline_s: None,
        dependencies: Vec::new(),
    };
    JobPlan {
        submit_at: milliseconds(at_s),
        spec,
        run_ms: milliseconds(run_s),
        cancel_at: cancel_at_s.map(milliseconds),
        target_controller: None,
        defect: None,
    }
}

/// The class's only image, or one drawn from its `images` numbered images.
fn draw_image(class: &JobClass, rng: &mut StdRng) -> String {
    match &class.image {
        Some(image) => image.clone(),
        None => format!("{}-{}", class.name, rng.random_range(0..class.images)),
    }
}

/// Converts seconds to milliseconds, rounded towards 0. A negative value gives 0.
pub(crate) fn milliseconds(seconds: f64) -> u64 {
    (seconds * MILLISECONDS_PER_S) as u64
}

#[cfg(test)]
mod tests;
