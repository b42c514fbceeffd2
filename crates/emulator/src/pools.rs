//! What a run shows of warm pools: how soon a burst's replicas answer, and whether the
//! pools' accounts agree with what the stand-in cloud charged.

use crate::model_servers::Replica;
use crate::site::Site;
use forkshift_pools::audit::{mistakes, Life};
use forkshift_pools::report::{report, Accounts, PriceList, Span};
use forkshift_pools::Interval;
use forkshift_testkit::World;
use forkshift_wire::{JobId, MachineId, TaskRef};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// By how much an interval may lie outside a machine's life: both are noted in steps of
/// the hollow process, and a machine that died is known by its silence.
pub const CLOCK_OFF_MS: u64 = 250;

/// What became of a burst.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct BurstFigures {
    /// Replicas that were asked for.
    pub replicas: u64,
    /// Those that answered.
    pub answered: u64,
    /// From the submission until the first of them answered, in milliseconds.
    pub first_answer_ms: Option<u64>,
    /// From the submission until all had answered.
    pub all_answered_ms: Option<u64>,
}

/// What pools' accounts hold, beside the cloud's.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PoolFigures {
    /// Machines that were in pools.
    pub machines: u64,
    /// Machine-seconds that were asked for, and that too few machines were ready.
    pub asked_s: f64,
    /// Machine-seconds short.
    pub short_s: f64,
    /// Machine-seconds warm.
    pub warm_s: f64,
    /// What pools are charged, by their accounts.
    pub cost: f64,
    /// What the cloud charged for the same times of the same machines.
    pub cloud_cost: f64,
    /// The largest difference between the two for one machine, as seconds of its price.
    pub largest_difference_s: f64,
    /// Machines handed out, jobs missed, machines reclaimed and lost.
    pub handed_out: u64,
    /// Jobs that found no machine.
    pub missed: u64,
    /// Machines reclaimed.
    pub reclaimed: u64,
    /// Machines lost.
    pub lost: u64,
    /// What is wrong with the accounts.
    pub mistakes: Vec<String>,
    /// What `forkshift pools report` says that pools cost, where it was asked.
    pub reported_cost: Option<f64>,
}

/// The jobs whose replicas answer: all of them, and those of bursts with when they are
/// submitted.
#[derive(Clone, Debug, Default)]
pub struct AnsweringJobs {
    /// All of them.
    pub all: BTreeSet<JobId>,
    /// Those of bursts: when, and how many replicas.
    pub bursts: Vec<(f64, JobId, u32)>,
}

impl AnsweringJobs {
    /// Of the classes that answer.
    pub fn new(site: &Site, plans: &[forkshift_testkit::Plan]) -> Self {
        let mut jobs = Self::default();
        for plan in plans {
            let class = site.classes.iter().find(|c| c.name == plan.spec.class);
            let Some(class) = class.filter(|c| c.answers) else {
                continue;
            };
            jobs.all.insert(plan.spec.id.clone());
            if let Some(at_s) = class.burst_s {
                let burst = (at_s, plan.spec.id.clone(), plan.spec.tasks);
                jobs.bursts.push(burst);
            }
        }
        jobs
    }

    /// Their replicas that are on machines.
    pub fn replicas(&self, world: &World) -> Vec<Replica> {
        let on_machines = world.tasks_of(&self.all).into_iter();
        on_machines
            .map(|(task, machine, is_ready)| Replica {
                task,
                machine,
                is_ready,
            })
            .collect()
    }

    /// How soon the replicas of bursts answered.
    pub fn figures(&self, first_answers: &BTreeMap<TaskRef, Duration>) -> BurstFigures {
        let mut after_ms: Vec<u64> = Vec::new();
        let mut replicas = 0;
        for (at_s, job, tasks) in &self.bursts {
            replicas += u64::from(*tasks);
            let of_job = first_answers.iter().filter(|(task, _)| task.job == *job);
            after_ms.extend(of_job.map(|(_, at)| {
                let after_s = at.as_secs_f64() - at_s;
                (after_s.max(0.0) * 1_000.0).round() as u64
            }));
        }
        let all = after_ms.len() as u64 == replicas;
        BurstFigures {
            replicas,
            answered: after_ms.len() as u64,
            first_answer_ms: after_ms.iter().min().copied(),
            all_answered_ms: after_ms.iter().max().copied().filter(|_| all),
        }
    }
}

/// Pools' accounts as the state service has them, and the cloud's charges. The world
/// began at `began_ms`, in milliseconds since 1970.
pub fn pool_figures(world: &World, site: &Site, began_ms: u64) -> PoolFigures {
    let now_ms = began_ms + world.now();
    let accounts = world.pool_accounts(now_ms);
    let lives = world.pool_lives(began_ms);
    let all = Span {
        from_ms: 0,
        to_ms: now_ms + 1,
    };
    let found = report(&accounts, all, now_ms);
    let mistakes = mistakes(&accounts.intervals, &lives, CLOCK_OFF_MS);
    let mut figures = PoolFigures {
        mistakes: mistakes.iter().map(ToString::to_string).collect(),
        ..PoolFigures::default()
    };
    for pool in &found.pools {
        figures.asked_s += pool.asked_s;
        figures.short_s += pool.short_s;
        figures.warm_s += pool.machine_s.warm;
        figures.cost += pool.cost.sum();
        figures.handed_out += u64::from(pool.handed_out);
        figures.missed += u64::from(pool.missed);
        figures.reclaimed += u64::from(pool.reclaimed);
        figures.lost += u64::from(pool.lost);
    }
    compare(&mut figures, &accounts, &lives, site, all);
    figures
}

/// Compares what each machine costs by the accounts with what the cloud charged.
fn compare(
    figures: &mut PoolFigures,
    accounts: &Accounts,
    lives: &BTreeMap<MachineId, Life>,
    site: &Site,
    all: Span,
) {
    let prices = PriceList::new(&accounts.prices);
    let mut by_machine: BTreeMap<&MachineId, (f64, f64, f64)> = BTreeMap::new();
    for interval in &accounts.intervals {
        let hourly = cloud_price(site, interval);
        let life = lives.get(&interval.machine).copied().unwrap_or_default();
        let within = interval
            .to_ms
            .min(life.1)
            .saturating_sub(interval.from_ms.max(life.0));
        let charged = hourly * within as f64 / 3_600_000.0;
        let entry = by_machine.entry(&interval.machine).or_default();
        entry.0 += prices.cost(interval, all).0;
        entry.1 += charged;
        entry.2 = hourly;
    }
    figures.machines = by_machine.len() as u64;
    for (cost, charged, hourly) in by_machine.into_values() {
        figures.cloud_cost += charged;
        let difference_s = (cost - charged).abs() / hourly.max(1e-9) * 3_600.0;
        figures.largest_difference_s = figures.largest_difference_s.max(difference_s);
    }
}

/// What the stand-in cloud charges an hour: its prices do not change.
fn cloud_price(site: &Site, interval: &Interval) -> f64 {
    let of_type = site
        .machine_types
        .iter()
        .find(|t| t.name == interval.machine_type);
    let price = of_type.and_then(|t| match interval.spot {
        true => t.spot_price,
        false => Some(t.price),
    });
    price.unwrap_or(0.0)
}

#[cfg(test)]
mod tests;
