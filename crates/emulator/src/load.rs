//! Draws the jobs of a run.

use crate::site::{Class, Kind, Site};
use forkshift_testkit::Plan;
use forkshift_wire::users::JobSpec;
use forkshift_wire::JobId;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};

/// Jobs at the start are submitted within this many seconds for every thousand.
const INITIAL_S_PER_1000: f64 = 10.0;
/// Users wait for controllers before this.
const FIRST_S: f64 = 3.0;

/// All jobs of a run, drawn from the site's seed.
pub fn plans(site: &Site) -> Vec<Plan> {
    let mut rng = StdRng::seed_from_u64(site.seed);
    let teams: Vec<String> = site.teams.iter().flat_map(|t| t.names()).collect();
    let mut plans = Vec::new();
    for class in &site.classes {
        for at_s in arrivals(class, site.duration_s, &mut rng) {
            let n = plans.len();
            let team = class.team.as_ref().unwrap_or(&teams[n % teams.len()]);
            plans.push(plan(class, n, team, at_s, &mut rng));
        }
    }
    plans
}

/// When the jobs of a class are submitted, in seconds: those of the start, and
/// then at random with the class's rate.
fn arrivals(class: &Class, duration_s: f64, rng: &mut StdRng) -> Vec<f64> {
    let spread_s = f64::from(class.initial) * INITIAL_S_PER_1000 / 1000.0;
    let initial = (0..class.initial).map(|_| match class.burst_s {
        Some(at_s) => at_s,
        None => FIRST_S + rng.random_range(0.0..=spread_s),
    });
    let mut times: Vec<f64> = initial.collect();
    if class.per_s <= 0.0 {
        return times;
    }
    let mut at_s = (FIRST_S + spread_s).max(class.from_s);
    while at_s < duration_s {
        times.push(at_s);
        let unit: f64 = rng.random_range(f64::EPSILON..1.0);
        at_s -= unit.ln() / class.per_s;
    }
    times
}

fn plan(class: &Class, n: usize, team: &str, at_s: f64, rng: &mut StdRng) -> Plan {
    let run_s = match class.kind {
        Kind::Service => 0.0,
        _ => class.run_s * rng.random_range(0.5..1.5),
    };
    let cancels = rng.random_bool(class.cancelled);
    let cancel_at_s = cancels.then(|| at_s + class.cancelled_within_s * rng.random::<f64>());
    let spec = JobSpec {
        id: JobId::new(&format!("j-{n:06}")),
        class: class.name.clone(),
        team: team.to_owned(),
        kind: class.kind.into(),
        priority: class.priority.into(),
        tasks: class.tasks.choose(rng).copied().unwrap_or(1),
        cpus: class.cpus,
        gpus: class.gpus,
        memory_gb: class.memory_gb,
        image: image(class, rng),
        image_gb: class.image_gb,
        types: None,
        zone: None,
        one_zone: class.one_zone,
        spread: class.spread,
        spot: class.spot,
        estimate_s: run_s,
        checkpoint_s: 0.0,
        save_s: 0.0,
        deadline_s: None,
        dependencies: Vec::new(),
    };
    Plan {
        at: ms(at_s),
        spec,
        run_ms: ms(run_s),
        cancel_at: cancel_at_s.map(ms),
        at_node: None,
        mistake: None,
    }
}

/// The image of a job.
fn image(class: &Class, rng: &mut StdRng) -> String {
    match &class.image {
        Some(image) => image.clone(),
        None => format!("{}-{}", class.name, rng.random_range(0..class.images)),
    }
}

/// Seconds as milliseconds.
pub fn ms(seconds: f64) -> u64 {
    (seconds * 1000.0) as u64
}

#[cfg(test)]
mod tests;
