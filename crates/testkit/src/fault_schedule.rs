//! Random fault schedules.
//!
//! The order of random draws must not change, so that a seed produces the same faults in every
//! build and recorded failures stay reproducible.

mod combinations;
mod single;

use crate::faults::{ControllerSelector, Fault, FaultKind};
use crate::simulation::random_job_id;
use crate::Ms;
use combinations::random_combination;
use forkshift_wire::JobId;
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::Rng;
use single::{random_fault, random_kind, random_repeat};
use std::ops::Range;

/// Number of fault kinds in early versions. Seeds that showed a failure with those versions stay
/// reproducible by drawing from these kinds only.
const EARLY_KINDS: u32 = 16;
/// Number of fault kinds from which single faults are drawn.
const KINDS: u32 = 19;

/// Time from the upgrade of one controller to the upgrade of the next.
const UPGRADE_INTERVAL: Range<Ms> = 2_000..15_000;
/// Time from the exit of a controller to its start as the new release.
const UPGRADE_DOWNTIME: Range<Ms> = 500..6_000;
/// Minimum time from the last upgrade until the announced limits take effect. The last upgraded
/// controller starts less than 6 s after its exit.
const MIN_LOWER_LIMITS_DELAY_MS: Ms = 8_000;

/// Draws `n` faults that begin between two times, of the kinds that early versions drew from.
pub fn random_early_faults(rng: &mut StdRng, from: Ms, to: Ms, n: usize) -> Vec<Fault> {
    random_schedule(rng, from, to, n, EARLY_KINDS)
}

/// Draws `n` single faults of all kinds that begin between two times.
pub fn random_faults(rng: &mut StdRng, from: Ms, to: Ms, n: usize) -> Vec<Fault> {
    random_schedule(rng, from, to, n, KINDS)
}

/// Draws an upgrade of all `nodes` controllers in random order, mostly one after another and
/// sometimes several at once, followed by lower store limits.
pub fn random_upgrade(rng: &mut StdRng, from: Ms, nodes: usize) -> Vec<Fault> {
    let mut order: Vec<usize> = (0..nodes).collect();
    order.shuffle(rng);
    let mut at = from;
    let mut faults = Vec::new();
    for node in order {
        let kind = FaultKind::Upgrade {
            node,
            restart_after: rng.random_range(UPGRADE_DOWNTIME),
        };
        faults.push(Fault { at, kind });
        if rng.random_range(0..4) > 0 {
            at += rng.random_range(UPGRADE_INTERVAL);
        }
    }
    at += MIN_LOWER_LIMITS_DELAY_MS + rng.random_range(0..30_000);
    let kind = FaultKind::LowerLimits;
    faults.push(Fault { at, kind });
    faults
}

/// Draws `n` faults that repeat executed requests and begin between two times. They are drawn
/// apart from the other faults, so that those of a seed stay the same.
pub fn random_repeats(rng: &mut StdRng, from: Ms, to: Ms, n: usize) -> Vec<Fault> {
    let faults = (0..n).map(|_| Fault {
        at: rng.random_range(from..to),
        kind: random_repeat(rng),
    });
    faults.collect()
}

fn random_schedule(rng: &mut StdRng, from: Ms, to: Ms, n: usize, kinds: u32) -> Vec<Fault> {
    let mut faults: Vec<Fault> = (0..n)
        .map(|_| Fault {
            at: rng.random_range(from..to),
            kind: random_kind(rng, kinds),
        })
        .collect();
    faults.sort_by_key(|fault| fault.at);
    faults
}

/// Draws pairs of faults close together, and known combinations of faults, that begin between two
/// times. Faults may select controllers and machines by their role, for instance the holder of one
/// of the day's first `jobs` jobs.
pub fn random_pairs(rng: &mut StdRng, from: Ms, to: Ms, pairs: usize, jobs: u32) -> Vec<Fault> {
    let mut faults = Vec::new();
    for _ in 0..pairs {
        let at = rng.random_range(from..to);
        if rng.random_range(0..3) == 0 {
            faults.extend(random_combination(rng, at, jobs));
            continue;
        }
        // Almost at the same time, or up to 3 s apart, or up to 15 s apart.
        let gap = match rng.random_range(0..3) {
            0 => rng.random_range(0..200),
            1 => rng.random_range(200..3_000),
            _ => rng.random_range(3_000..15_000),
        };
        for at in [at, at + gap] {
            let kind = random_fault(rng, jobs);
            faults.push(Fault { at, kind });
        }
    }
    faults.sort_by_key(|fault| fault.at);
    faults
}

fn random_job(rng: &mut StdRng, jobs: u32) -> JobId {
    random_job_id(rng.random_range(0..jobs))
}

fn random_controller(rng: &mut StdRng, jobs: u32) -> ControllerSelector {
    match rng.random_range(0..5) {
        0 | 1 => ControllerSelector::Leader,
        2 => ControllerSelector::HolderOfJob(random_job(rng, jobs)),
        3 => ControllerSelector::NextAfter(Box::new(ControllerSelector::Leader)),
        _ => ControllerSelector::Index(rng.random_range(0..3)),
    }
}
