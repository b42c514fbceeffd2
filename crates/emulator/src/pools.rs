//! Results of warm pools: how soon the replicas of a burst answer, and whether the usage
//! records of the pools agree with the charges of the simulated cloud.

use crate::model_servers::Replica;
use crate::site::Site;
use forkshift_pools::audit::{audit_errors, BillingPeriod};
use forkshift_pools::report::{usage_report, PriceList, TimeSpan, UsageRecords};
use forkshift_pools::UsageInterval;
use forkshift_testkit::{JobPlan, Simulation};
use forkshift_wire::{JobId, MachineId, TaskRef};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Largest time by which a recorded interval may begin before or end after the cloud's
/// billing period of the machine, in milliseconds. Both are recorded in steps of the
/// simulation, and a crash is detected only by missed heartbeats.
const MAX_INTERVAL_ERROR_MS: u64 = 250;
const MILLISECONDS_PER_S: f64 = 1_000.0;
const MILLISECONDS_PER_HOUR: f64 = 3_600_000.0;
const SECONDS_PER_HOUR: f64 = 3_600.0;
/// Lower bound of the price that a cost difference is divided by, so that the quotient is
/// finite for machines without a price.
const MIN_PRICE_PER_HOUR: f64 = 1e-9;

/// First answers of the replicas of bursts.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct BurstSummary {
    /// Number of replicas of all jobs of bursts.
    pub replicas: u64,
    /// Number of these replicas that have answered a request.
    pub answered: u64,
    /// From the submission until the first replica answered, in milliseconds; `None` if none
    /// has answered.
    pub first_answer_ms: Option<u64>,
    /// From the submission until all replicas had answered, in milliseconds; `None` if some
    /// have not.
    pub all_answered_ms: Option<u64>,
}

/// Totals of the pools' usage records, compared with the charges of the cloud.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct PoolSummary {
    /// Number of machines that were in pools.
    pub machines: u64,
    /// Machine-seconds that the configured sizes of the pools required.
    #[serde(rename = "asked_s")]
    pub requested_s: f64,
    /// Machine-seconds by which the ready machines fell short of the configured sizes.
    #[serde(rename = "short_s")]
    pub unmet_s: f64,
    /// Machine-seconds of machines that were up with the pool's image cached.
    pub warm_s: f64,
    /// Cost of the pools by their usage records.
    pub cost: f64,
    /// Charges of the cloud for the recorded intervals of the same machines.
    pub cloud_cost: f64,
    /// Largest difference between recorded cost and charge of one machine, in seconds of its
    /// price.
    #[serde(rename = "largest_difference_s")]
    pub max_cost_difference_s: f64,
    /// Number of machines that were allocated to tasks of the pool's team and image.
    #[serde(rename = "handed_out")]
    pub allocated: u64,
    /// Number of cold starts: starts that found no warm machine in their pool.
    #[serde(rename = "missed")]
    pub cold_starts: u64,
    /// Number of machines that were reclaimed for other tasks.
    pub reclaimed: u64,
    /// Number of machines that failed, were preempted by the cloud, or did not get the image.
    pub lost: u64,
    /// Errors of the audit of the records against the billing periods; empty if they agree.
    #[serde(rename = "mistakes")]
    pub discrepancies: Vec<String>,
    /// Cost of the pools by `forkshift pools report`; `None` if the command failed.
    pub reported_cost: Option<f64>,
}

/// A service whose replicas are model servers and which is submitted at a fixed time.
#[derive(Clone, Debug)]
pub(crate) struct BurstJob {
    /// Time of the submission, in seconds since the start of the run.
    pub at_s: f64,
    /// Id of the job.
    pub job: JobId,
    /// Number of replicas.
    pub replicas: u32,
}

/// The planned jobs whose replicas are model servers.
#[derive(Clone, Debug, Default)]
pub(crate) struct ModelServerJobs {
    /// Ids of all these jobs, in bursts or not.
    pub all: BTreeSet<JobId>,
    /// The jobs that are submitted in bursts.
    pub bursts: Vec<BurstJob>,
}

impl ModelServerJobs {
    /// Selects the planned jobs of the classes that set `answers`.
    pub(crate) fn new(site: &Site, plans: &[JobPlan]) -> Self {
        let mut jobs = Self::default();
        for JobPlan { spec, .. } in plans {
            let class = site.classes.iter().find(|class| class.name == spec.class);
            let Some(class) = class.filter(|class| class.answers) else {
                continue;
            };
            jobs.all.insert(spec.id.clone());
            jobs.bursts.extend(class.burst_s.map(|at_s| BurstJob {
                at_s,
                job: spec.id.clone(),
                replicas: spec.tasks,
            }));
        }
        jobs
    }

    /// The replicas that are on machines, with their machines and readiness.
    pub(crate) fn replicas(&self, world: &Simulation) -> Vec<Replica> {
        let tasks = world.tasks_of(&self.all).into_iter();
        tasks
            .map(|(task, machine, is_ready)| Replica {
                task,
                machine,
                is_ready,
            })
            .collect()
    }

    /// Summarises the first answers of the replicas of bursts. `first_answers` has times since
    /// the start of the run; answers of other jobs are ignored.
    pub(crate) fn burst_summary(
        &self,
        first_answers: &BTreeMap<TaskRef, Duration>,
    ) -> BurstSummary {
        let mut latencies_ms: Vec<u64> = Vec::new();
        let mut replicas = 0;
        for burst in &self.bursts {
            replicas += u64::from(burst.replicas);
            latencies_ms.extend(burst.latencies_ms(first_answers));
        }
        let answered = latencies_ms.len() as u64;
        let all_have_answered = answered == replicas;
        let max_ms = latencies_ms.iter().max().copied();
        BurstSummary {
            replicas,
            answered,
            first_answer_ms: latencies_ms.iter().min().copied(),
            all_answered_ms: max_ms.filter(|_| all_have_answered),
        }
    }
}

impl BurstJob {
    /// Time from the submission until the first answer of each replica that has answered, in
    /// milliseconds.
    fn latencies_ms<'a>(
        &'a self,
        first_answers: &'a BTreeMap<TaskRef, Duration>,
    ) -> impl Iterator<Item = u64> + 'a {
        let answers = first_answers.iter();
        let of_job = answers.filter(|(task, _)| task.job == self.job);
        of_job.map(|(_, answered_at)| {
            let latency_s = answered_at.as_secs_f64() - self.at_s;
            (latency_s.max(0.0) * MILLISECONDS_PER_S).round() as u64
        })
    }
}

/// Compares the pools' usage records in the key-value store with the charges of the cloud.
/// The run started at `start_time_ms`, in milliseconds since 1970.
pub(crate) fn pool_summary(world: &Simulation, site: &Site, start_time_ms: u64) -> PoolSummary {
    let now_ms = start_time_ms + world.now();
    let records = world.pool_accounts(now_ms);
    let billing_periods = world.billing_periods_from(start_time_ms);
    let whole_run = TimeSpan {
        from_ms: 0,
        to_ms: now_ms + 1,
    };
    let discrepancies = audit_errors(&records.intervals, &billing_periods, MAX_INTERVAL_ERROR_MS);
    let mut summary = PoolSummary {
        discrepancies: discrepancies.iter().map(ToString::to_string).collect(),
        ..PoolSummary::default()
    };
    for pool in &usage_report(&records, whole_run, now_ms).pools {
        summary.requested_s += pool.requested_s;
        summary.unmet_s += pool.unmet_s;
        summary.warm_s += pool.machine_s.warm;
        summary.cost += pool.cost.sum();
        summary.allocated += u64::from(pool.allocated);
        summary.cold_starts += u64::from(pool.cold_starts);
        summary.reclaimed += u64::from(pool.reclaimed);
        summary.lost += u64::from(pool.lost);
    }
    summary.add_machine_costs(&machine_costs(&records, &billing_periods, site, whole_run));
    summary
}

/// Cost of one machine while it was in pools.
#[derive(Default)]
struct MachineCost {
    /// Cost by the usage records.
    recorded: f64,
    /// Charges of the cloud for the recorded intervals.
    charged: f64,
    /// The cloud's price per hour.
    price_per_hour: f64,
}

impl MachineCost {
    /// Difference between recorded cost and charge, in seconds of the machine's price.
    fn difference_s(&self) -> f64 {
        let difference = (self.recorded - self.charged).abs();
        difference / self.price_per_hour.max(MIN_PRICE_PER_HOUR) * SECONDS_PER_HOUR
    }
}

impl PoolSummary {
    fn add_machine_costs(&mut self, costs: &BTreeMap<&MachineId, MachineCost>) {
        self.machines = costs.len() as u64;
        for cost in costs.values() {
            self.cloud_cost += cost.charged;
            self.max_cost_difference_s = self.max_cost_difference_s.max(cost.difference_s());
        }
    }
}

/// Cost of each machine in the records. The part of an interval outside the machine's billing
/// period is not charged; a machine without a billing period is not charged at all.
fn machine_costs<'a>(
    records: &'a UsageRecords,
    billing_periods: &BTreeMap<MachineId, BillingPeriod>,
    site: &Site,
    span: TimeSpan,
) -> BTreeMap<&'a MachineId, MachineCost> {
    let prices = PriceList::new(&records.prices);
    let mut costs: BTreeMap<&MachineId, MachineCost> = BTreeMap::new();
    for interval in &records.intervals {
        let price_per_hour = cloud_price(site, interval);
        let (created_ms, removed_ms) = billing_periods
            .get(&interval.machine)
            .copied()
            .unwrap_or_default();
        let start_ms = interval.from_ms.max(created_ms);
        let end_ms = interval.to_ms.min(removed_ms);
        let charged_ms = end_ms.saturating_sub(start_ms);
        let cost = costs.entry(&interval.machine).or_default();
        cost.recorded += prices.cost(interval, span).0;
        cost.charged += price_per_hour * charged_ms as f64 / MILLISECONDS_PER_HOUR;
        cost.price_per_hour = price_per_hour;
    }
    costs
}

/// The simulated cloud's price per hour of a recorded machine; 0 if the site has no price for
/// it. Prices are constant during a run.
fn cloud_price(site: &Site, interval: &UsageInterval) -> f64 {
    let machine_type = site
        .machine_types
        .iter()
        .find(|machine_type| machine_type.name == interval.machine_type);
    let price = machine_type.and_then(|machine_type| match interval.spot {
        true => machine_type.spot_price,
        false => Some(machine_type.price),
    });
    price.unwrap_or(0.0)
}

#[cfg(test)]
mod tests;
