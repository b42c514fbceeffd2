//! Fault schedules that are drawn from a seed.
//!
//! The order of draws may not change: a seed stands for the same day in every build.

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
use single::{random_fault, random_kind};
use std::ops::Range;

/// Kinds of faults that early seeds drew from. Seeds that once showed a failure stay
/// reproducible with these.
const EARLY_KINDS: u32 = 16;
/// Kinds of faults that are drawn now.
const KINDS: u32 = 19;

/// Pause between the upgrades of two controllers.
const UPGRADE_INTERVAL: Range<Ms> = 2_000..15_000;
/// Time until an upgraded controller is back.
const UPGRADE_DOWNTIME: Range<Ms> = 500..6_000;
/// Least time from the last upgrade until the limits are lowered.
const MIN_LOWER_LIMITS_DELAY_MS: Ms = 8_000;

/// A schedule of faults between two times, of the kinds that early seeds drew from.
pub fn random_early_faults(rng: &mut StdRng, from: Ms, to: Ms, n: usize) -> Vec<Fault> {
    random_schedule(rng, from, to, n, EARLY_KINDS)
}

/// A schedule of faults of all kinds between two times.
pub fn random_faults(rng: &mut StdRng, from: Ms, to: Ms, n: usize) -> Vec<Fault> {
    random_schedule(rng, from, to, n, KINDS)
}

/// An upgrade of all controllers, one or two at a time and in any order, and lower limits
/// some time later, perhaps before the last controller is back.
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

/// A schedule of pairs of faults close together, of all kinds, also of controllers and
/// machines selected by their role, and of known combinations. Their jobs are the first
/// `jobs` of a day's.
pub fn random_pairs(rng: &mut StdRng, from: Ms, to: Ms, pairs: usize, jobs: u32) -> Vec<Fault> {
    let mut faults = Vec::new();
    for _ in 0..pairs {
        let at = rng.random_range(from..to);
        if rng.random_range(0..3) == 0 {
            faults.extend(random_combination(rng, at, jobs));
            continue;
        }
        // Together, just after one another, or a little apart.
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
